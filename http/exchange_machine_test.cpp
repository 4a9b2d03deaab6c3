#include <doctest/doctest.h>

#include "http/http.h"

#include <cctype>
#include <rapidcheck.h>
#include <utility>

using namespace balsamhook;

namespace
{

/// A response whose body names the send that it answers.
std::string responseTo(int send, bool hasId = true, bool keepsAlive = true)
{
    const std::string body = "answers " + std::to_string(send);
    std::string text = "HTTP/1.1 200 OK\r\n";
    text += hasId ? "Request-Id: r" + std::to_string(send) + "\r\n" : "";
    text += keepsAlive ? "" : "Connection: close\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// What a target writes after one request: mostly its response, and at times something else before, after or in place of it. A target that breaks off within
/// a response writes nothing more, as bytes that happen to complete it would make a valid response.
std::string arbitraryOutput(int send, bool &isBrokenOff)
{
    const auto earlier = [send] { return *rc::gen::inRange(1, send + 1); };
    std::string output;
    const int parts = *rc::gen::inRange(0, 4);
    for (int i = 0; i < parts; ++i) {
        switch (*rc::gen::inRange(0, 10)) {
        case 0:
            output += "HTTP/1.1 103 Early Hints\r\n\r\n";
            break;
        case 1:
            output += responseTo(earlier());
            break;
        case 2:
            output += responseTo(earlier(), false);
            break;
        case 3:
            output += "not a response";
            break;
        case 4:
            output += responseTo(send, true, false);
            break;
        case 5:
            isBrokenOff = true;
            return output + responseTo(send).substr(0, static_cast<std::size_t>(*rc::gen::inRange(1, 60)));
        default:
            output += responseTo(send);
        }
    }
    return output;
}

exchange_machine makeMachine()
{
    return exchange_machine(message_reader::limits{});
}

/// Feeds the text in slices of arbitrary size until the exchange or the connection ends, and returns how many bytes were fed.
std::size_t feed(exchange_machine &machine, const std::string &text, std::size_t from, std::optional<exchange_result> &result)
{
    while (from < text.size() && !result && !machine.hasEnded()) {
        const auto size = static_cast<std::size_t>(*rc::gen::inRange(1, 40));
        result = machine.onBytes(std::string_view(text).substr(from, size));
        from += std::min(size, text.size() - from);
    }
    return from;
}

/// Plays a connection with up to four requests; each must get its own response or none.
void checkConnection()
{
    exchange_machine machine = makeMachine();
    std::string late; // Written by the target after an earlier request, and received only after the next one was begun.
    bool isBrokenOff = false;
    for (int send = 1; send <= 4 && machine.isReusable() && !isBrokenOff; ++send) {
        machine.begin("r" + std::to_string(send), true);
        const std::string output = std::exchange(late, {}) + arbitraryOutput(send, isBrokenOff);
        std::optional<exchange_result> result;
        if (*rc::gen::arbitrary<bool>()) {
            machine.onRequestWritten();
        }
        const std::size_t fed = feed(machine, output, 0, result);
        machine.onRequestWritten();
        if (!result) {
            RC_ASSERT(!machine.isReusable());
            const auto end = *rc::gen::element(connection_end::ClosedByTarget, connection_end::ResetByTarget, connection_end::Failed);
            result = machine.onEnd(end, true);
        }
        RC_ASSERT(result.has_value());
        if (result->outcome == exchange_outcome::Completed) {
            RC_ASSERT(result->response.body == "answers " + std::to_string(send));
        } else {
            RC_ASSERT(!machine.isReusable());
        }
        if (fed == output.size() || !machine.isReusable()) {
            continue;
        }
        if (*rc::gen::arbitrary<bool>()) {
            late = output.substr(fed);
            continue;
        }
        RC_ASSERT(!machine.onBytes(std::string_view(output).substr(fed)).has_value());
        RC_ASSERT(machine.hasEnded());
    }
}

} // namespace

TEST_CASE("exchange_machine: whatever a target writes, a request gets only its own response (guards against requests that are answered by late copies)")
{
    constexpr int ConnectionsPerTest = 20;
    const bool holds = rc::check([] {
        for (int i = 0; i < ConnectionsPerTest; ++i) {
            checkConnection();
        }
    });
    CHECK(holds);
}

TEST_CASE("exchange_machine: a sound target's connection is reused (guards against opening a connection for each request)")
{
    exchange_machine machine = makeMachine();
    for (int send = 1; send <= 20; ++send) {
        REQUIRE(machine.isReusable());
        machine.begin("r" + std::to_string(send), true);
        machine.onRequestWritten();
        const auto result = machine.onBytes("HTTP/1.1 100 Continue\r\n\r\n" + responseTo(send));
        REQUIRE(result);
        CHECK(result->outcome == exchange_outcome::Completed);
    }
    CHECK(machine.isReusable());
}

TEST_CASE("exchange_machine: a response without an id counts only on a connection without earlier requests (guards against copies without an id)")
{
    exchange_machine machine = makeMachine();
    machine.begin("r1", true);
    machine.onRequestWritten();
    REQUIRE(machine.onBytes(responseTo(1, false)).has_value());
    REQUIRE(machine.isReusable());
    machine.begin("r2", true);
    machine.onRequestWritten();
    CHECK_FALSE(machine.onBytes(responseTo(1, false)).has_value());
    const auto result = machine.onBytes(responseTo(2));
    REQUIRE(result);
    CHECK(result->response.body == "answers 2");
    CHECK_FALSE(machine.isReusable());
}

TEST_CASE("exchange_machine: a connection that delivered a response to another request is not reused (guards against further copies on it)")
{
    exchange_machine machine = makeMachine();
    machine.begin("r1", true);
    machine.onRequestWritten();
    REQUIRE(machine.onBytes(responseTo(0) + responseTo(1)).has_value());
    CHECK(machine.hasEnded());
}

TEST_CASE("exchange_machine: a response before the request was written whole ends the connection (guards against bytes of a request in place of the rest)")
{
    exchange_machine machine = makeMachine();
    machine.begin("r1", true);
    const auto result = machine.onBytes(responseTo(1));
    REQUIRE(result);
    CHECK(result->outcome == exchange_outcome::Completed);
    CHECK(machine.hasEnded());
}

TEST_CASE("exchange_machine: the response to HEAD after an interim response has no body (guards against waiting for one)")
{
    exchange_machine machine = makeMachine();
    machine.begin("r1", false);
    machine.onRequestWritten();
    const auto result = machine.onBytes("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 9\r\n\r\n");
    REQUIRE(result);
    CHECK(result->outcome == exchange_outcome::Completed);
    CHECK(machine.isReusable());
}

TEST_CASE("exchange_machine: interim responses without end are lost (guards against unlimited work for one request)")
{
    exchange_machine machine = makeMachine();
    machine.begin("r1", true);
    machine.onRequestWritten();
    std::optional<exchange_result> result;
    for (int i = 0; i < 100 && !result; ++i) {
        result = machine.onBytes("HTTP/1.1 103 Early Hints\r\n\r\n");
    }
    REQUIRE(result);
    CHECK(result->outcome == exchange_outcome::Lost);
}

namespace
{

/// Result of a first request whose target writes the text and then closes the connection; whether the text alone ended the exchange is in isEndedByBytes.
struct answered_request
{
    explicit answered_request(const std::string &text)
    {
        exchange_machine machine = makeMachine();
        machine.begin("r1", true);
        machine.onRequestWritten();
        result = machine.onBytes(text);
        isEndedByBytes = result.has_value();
        isReusable = machine.isReusable();
        if (!result) {
            result = machine.onEnd(connection_end::ClosedByTarget, true);
        }
    }

    bool isLost() const
    {
        return result && result->outcome == exchange_outcome::Lost;
    }

    std::optional<exchange_result> result;
    bool isEndedByBytes = false;
    bool isReusable = false;
};

std::string withStatus(const std::string &status)
{
    return "HTTP/1.1 " + status + " X\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nab";
}

} // namespace

TEST_CASE(
    "exchange_machine: many heads and bodies without end together stay within the memory, and small responses find room (memory was limited per response)")
{
    constexpr std::size_t Limit = 1024 * 1024;
    constexpr std::size_t Machines = 500;
    const std::string line(60, 'x');
    for (const auto &[start, repeated] : std::vector<std::pair<std::string, std::string>>{{"", line},
                                                                                          {"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nX: ", line},
                                                                                          {"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n", "a:\r\n"},
                                                                                          {"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n", line},
                                                                                          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", line}}) {
        CAPTURE(start);
        const response_memory memory(Limit);
        std::vector<std::unique_ptr<exchange_machine>> machines;
        machines.reserve(Machines);
        std::string piece = start;
        for (std::size_t i = 0; i < Machines; ++i) {
            machines.push_back(std::make_unique<exchange_machine>(message_reader::limits{}, &memory));
            machines.back()->begin("r1", true);
            machines.back()->onRequestWritten();
        }
        std::size_t most = 0;
        for (int round = 0; round < 20; ++round) {
            for (const auto &machine : machines) {
                if (!machine->hasEnded()) {
                    (void)machine->onBytes(piece);
                }
                most = std::max(most, memory.used());
            }
            exchange_machine sound(message_reader::limits{}, &memory);
            sound.begin("r1", true);
            sound.onRequestWritten();
            const auto result = sound.onBytes(responseTo(1));
            REQUIRE(result);
            CHECK(result->outcome == exchange_outcome::Completed);
            piece.clear();
            while (piece.size() < 4000) {
                piece += repeated;
            }
        }
        CHECK(most <= Limit + (Machines + 1) * response_memory::SmallResponseBytes);
        machines.clear();
        CHECK(memory.used() == 0);
    }
}

TEST_CASE("response_memory: any sequence stays within the limit and small responses, and counts nothing twice or for ever")
{
    const bool holds = rc::check([] {
        constexpr std::size_t Limit = 200 * 1024;
        const response_memory memory(Limit);
        std::vector<std::pair<response_memory::holding_pointer, std::size_t>> held;
        std::size_t expected = 0;
        for (int step = 0; step < 50; ++step) {
            if (held.empty() || *rc::gen::inRange(0, 3) == 0) {
                held.emplace_back(memory.hold(), 0);
            }
            const auto index = *rc::gen::inRange<std::size_t>(0, held.size());
            if (*rc::gen::inRange(0, 5) == 0) {
                expected -= held[index].second;
                held.erase(held.begin() + static_cast<std::ptrdiff_t>(index));
            } else {
                const auto bytes = *rc::gen::inRange<std::size_t>(0, 150 * 1024);
                auto &[holding, size] = held[index];
                const bool hasRoom = holding->resize(bytes);
                RC_ASSERT(hasRoom || bytes > response_memory::SmallResponseBytes);
                RC_ASSERT(!hasRoom || bytes <= Limit / 2 || bytes <= size);
                expected += hasRoom ? bytes - size : 0;
                size = hasRoom ? bytes : size;
            }
            RC_ASSERT(memory.used() == expected);
            RC_ASSERT(expected <= Limit + held.size() * response_memory::SmallResponseBytes);
        }
        held.clear();
        RC_ASSERT(memory.used() == 0);
    });
    CHECK(holds);
}

TEST_CASE("exchange_machine: a status line that HTTP doesn't have ends the exchange at once (a caller got status 000 as an answer)")
{
    for (const std::string status : {"000", "001", "099", "101", "600", "999", "20", "2000", "2x0", "-20", "+20", " 200", "200\t", "\x01"}) {
        CAPTURE(status);
        const answered_request answered(withStatus(status));
        CHECK(answered.isLost());
        CHECK(answered.isEndedByBytes);
        // What follows it belongs to no request either.
        CHECK(answered_request(withStatus(status) + responseTo(1)).isLost());
    }
    for (const std::string status : {"200", "404", "503", "599"}) {
        CAPTURE(status);
        const answered_request answered(withStatus(status));
        REQUIRE(answered.result);
        CHECK(answered.result->outcome == exchange_outcome::Completed);
        CHECK(std::to_string(answered.result->response.status) == status);
    }
}

TEST_CASE("exchange_machine: a body in a transfer coding other than chunked is lost (a caller got bytes that were not the target's body)")
{
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n";
    const std::string chunks = "\r\n2\r\nab\r\n0\r\n\r\n";
    for (const std::string coding :
         {"gzip, chunked", "gzip", "chunked, gzip", "xchunked", "chunked;q=1", "identity", "chunked, chunked", "chunked,", "", "chunked\r\n ,gzip"}) {
        CAPTURE(coding);
        CHECK(answered_request(head + "Transfer-Encoding: " + coding + "\r\n" + chunks).isLost());
        CHECK(answered_request(head + "Content-Length: 2\r\nTransfer-Encoding: " + coding + "\r\n\r\nab").isLost());
    }
    CHECK(answered_request(head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n" + chunks).isLost());
    CHECK(answered_request(head + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n" + chunks).isLost());
    for (const std::string coding : {"chunked", "Chunked", " chunked ", "\r\n chunked"}) {
        CAPTURE(coding);
        const answered_request answered(head + "Transfer-Encoding: " + coding + "\r\n" + chunks);
        REQUIRE_FALSE(answered.isLost());
        CHECK(answered.result->response.body == "ab");
        CHECK(answered.isReusable);
    }
}

TEST_CASE("exchange_machine: fields of a trailer are no fields of the header (a signature or id in a trailer counted)")
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
    const std::string chunks = "\r\n2\r\nab\r\n0\r\n";
    const answered_request answered(head + "Request-Id: r1\r\n" + chunks + "Server-Stamp: forged\r\nNot-Executed: 1\r\nX: 1\r\n\r\n");
    REQUIRE_FALSE(answered.isLost());
    CHECK(answered.result->response.body == "ab");
    CHECK(answered.result->response.find("Server-Stamp") == nullptr);
    CHECK(answered.result->response.find("Not-Executed") == nullptr);
    CHECK(answered.result->response.fields.size() == 2);
    for (const std::string trailer : {"X Y: 1", "X\x01: 1", "X : 1", "X", ": 1", "X: a\x01"}) {
        CAPTURE(trailer);
        CHECK(answered_request(head + "Request-Id: r1\r\n" + chunks + trailer + "\r\n\r\n").isLost());
    }
}

TEST_CASE("exchange_machine: a response that names another request beside this one is not its response (guards against mixed responses)")
{
    const std::string rest = "Content-Length: 2\r\n\r\nab";
    CHECK(answered_request("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nRequest-Id: r2\r\n" + rest).isLost());
    CHECK(answered_request("HTTP/1.1 200 OK\r\nRequest-Id: r1, r2\r\n" + rest).isLost());
    CHECK_FALSE(answered_request("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nRequest-Id: r1\r\n" + rest).isLost());
}

TEST_CASE("exchange_machine: a blank or a control byte in the name of a field ends the exchange (guards against lines that are passed on, and wrong bodies)")
{
    const std::string rest = "Content-Length: 2\r\n\r\nab";
    for (int byte = 0; byte < 256; ++byte) {
        CAPTURE(byte);
        const bool isTokenByte
            = std::isalnum(byte) != 0 || (byte != 0 && std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(byte)) != std::string_view::npos);
        // The byte stands alone, first, within and last in a name, and in names that tell where the body ends.
        const std::string odd(1, static_cast<char>(byte));
        for (const std::string &line :
             {odd + ": 1", odd + "X: 1", "X" + odd + "Y: 1", "X" + odd + ": 1", "Content-Length" + odd + ": 1", "Transfer-Encoding" + odd + ": chunked"}) {
            const answered_request first("HTTP/1.1 200 OK\r\n" + line + "\r\nRequest-Id: r1\r\n" + rest);
            const answered_request later("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nY: 1\r\n" + line + "\r\n" + rest);
            if (byte == ':') {
                continue; // Ends the name: the rest of the line is the value.
            }
            CAPTURE(line);
            if (isTokenByte) {
                CHECK_FALSE(later.isLost());
                continue;
            }
            CHECK(first.isLost());
            CHECK(first.isEndedByBytes);
            // A line that begins with a blank or a tab continues the line before it.
            const bool isContinuation = line.front() == ' ' || line.front() == '\t';
            CHECK(later.isLost() != isContinuation);
        }
    }
}

TEST_CASE("exchange_machine: a folded line becomes one line and hides no field (guards against heads that others read in another way)")
{
    const answered_request answered("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nX: a\r\n Content-Length: 5\r\n\t:b\r\nContent-Length: 2\r\n\r\nab");
    REQUIRE_FALSE(answered.isLost());
    CHECK(answered.result->response.body == "ab");
    CHECK(*answered.result->response.find("X") == "a Content-Length: 5 :b");
    CHECK(answered.result->response.fields.size() == 3);
    for (const std::string lines : {"X: a\r\n b\x01", "X: a\r\n\x01", "X: a\x01", "X: a\rb", "X: a\nb: c", "X: a\x7f", "Content-Length: 2\r\n 0", "X:\r\n\n"}) {
        CAPTURE(lines);
        CHECK(answered_request("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n" + lines + "\r\nContent-Length: 2\r\n\r\nab").isLost());
    }
}
