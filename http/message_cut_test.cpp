#include <doctest/doctest.h>

#include "http/http.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <optional>
#include <rapidcheck.h>
#include <sstream>
#include <utility>

using namespace balsamhook;

namespace
{

constexpr std::size_t HeaderLimitBytes = 256;
constexpr std::size_t BodyLimitBytes = 64;
constexpr message_reader::limits Limits{HeaderLimitBytes, BodyLimitBytes};

/// What a reader makes of a byte stream: its messages, and how it ended.
struct outcome
{
    std::string messages;
    std::string ending;

    bool operator==(const outcome &) const = default;
};

std::ostream &operator<<(std::ostream &out, const outcome &value)
{
    return out << value.messages << value.ending;
}

std::string describe(const http_message &message)
{
    std::ostringstream out;
    out << message.method << ' ' << message.target << ' ' << message.status << (message.keepAlive ? " keep-alive" : " close");
    for (const header_field &field : message.fields) {
        out << '|' << field.name << ": " << field.value;
    }
    out << "|body: " << message.body << '\n';
    return out.str();
}

/// Feeds the pieces as a connection does: what isn't consumed is passed again in front of the next piece.
class stream_reading
{
public:
    explicit stream_reading(message_kind kind)
        : m_reader(kind, Limits)
    {
    }

    void feed(std::string_view piece)
    {
        m_unparsed.append(piece);
        while (!m_failed && !m_unparsed.empty()) {
            m_unparsed.erase(0, m_reader.feed(m_unparsed, m_failed));
            if (m_failed || !m_reader.isDone()) {
                return;
            }
            m_outcome.messages += describe(m_reader.take());
        }
    }

    outcome end()
    {
        const bool isWithinMessage = m_reader.hasStarted();
        if (isWithinMessage && !m_failed) {
            m_reader.endOfStream(m_failed);
            m_outcome.messages += m_failed ? "" : describe(m_reader.take());
        }
        m_outcome.ending = m_failed ? m_failed.message() : "complete";
        return m_outcome;
    }

private:
    message_reader m_reader;
    std::string m_unparsed;
    boost::system::error_code m_failed;
    outcome m_outcome;
};

outcome readWhole(message_kind kind, std::string_view text)
{
    stream_reading reading(kind);
    reading.feed(text);
    return reading.end();
}

outcome readByteByByte(message_kind kind, std::string_view text)
{
    stream_reading reading(kind);
    for (const char &byte : text) {
        reading.feed({&byte, 1});
    }
    return reading.end();
}

outcome readInPieces(message_kind kind, std::string_view text, std::size_t firstCut, std::size_t secondCut)
{
    stream_reading reading(kind);
    reading.feed(text.substr(0, firstCut));
    reading.feed(text.substr(firstCut, secondCut - firstCut));
    reading.feed(text.substr(secondCut));
    return reading.end();
}

/// Checks that every way to cut the text into up to three pieces, and into single bytes, reads as the whole does.
void checkAllCuts(message_kind kind, const std::string &text)
{
    INFO("text: ", text);
    const outcome whole = readWhole(kind, text);
    CHECK(readByteByByte(kind, text) == whole);
    for (std::size_t first = 0; first <= text.size(); ++first) {
        for (std::size_t second = first; second <= text.size(); ++second) {
            INFO("cut at ", first, " and ", second);
            REQUIRE(readInPieces(kind, text, first, second) == whole);
        }
    }
}

const std::string Get = "GET /a/?b=c HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string ChunkedHead = "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Bodies in chunks, proper and malformed ones.
const std::vector<std::string> ChunkedBodies{
    "0\r\n\r\n",
    "000\r\n\r\n",
    "0;a\r\n\r\n",
    "0;a=\"b;c\"\r\nA: b\r\n\r\n",
    "0\r\nA: b\r\nC:\r\n d\r\n\r\n",
    "5\r\nhello\r\n0\r\n\r\n",
    "5;a=b\r\nhello\r\n6\r\n world\r\n0\r\nA: b\r\n\r\n",
    "5\r\nhello0\r\n\r\n",
    "5\r\nhello\r\n\r\n0\r\n\r\n",
    "g\r\n\r\n",
    "\r\n\r\n",
    "0\r\r\n\r\n",
    "0 \r\n\r\n",
    "0;\"\r\n\r\n",
    "0;a=\"\r\n\r\n\r\n",
    "5;a=\"\r\nhello\r\n0\r\n\r\n",
    "0\r\n A: b\r\n\r\n",
    "0\r\nA b\r\n\r\n",
    "0\r\nContent-Length: 3\r\n\r\n",
    "ffffffffffffffffffffff\r\n\r\n",
    "41\r\n",
    "0\r\n",
    "0\r\n\r",
    "5\r\nhel",
};

} // namespace

TEST_CASE("message_reader: an empty chunked body cut into \"0 CR LF\", \"CR\", \"LF\" is read as the whole (one such request ended the process, SIGABRT)")
{
    for (const std::string &head : {ChunkedHead, std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")}) {
        const message_kind kind = head == ChunkedHead ? message_kind::Request : message_kind::Response;
        stream_reading reading(kind);
        for (const std::string &piece : {head, std::string("0\r\n"), std::string("\r"), std::string("\n")}) {
            reading.feed(piece);
        }
        CHECK(reading.end() == readWhole(kind, head + "0\r\n\r\n"));
    }
}

TEST_CASE("message_reader: a chunked body cut at any bytes is read as the whole (an empty one in three segments ended the process)")
{
    for (const std::string &body : ChunkedBodies) {
        checkAllCuts(message_kind::Request, ChunkedHead + body);
        checkAllCuts(message_kind::Response, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body);
    }
}

TEST_CASE("message_reader: a header cut at any bytes is read as the whole (where it was cut decided whether it was too long or malformed)")
{
    const std::string line = "A: " + std::string(59, 'x') + "\r\n";
    const std::vector<std::string> requests{
        Get,
        Get + Get,
        "POST /a/ HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello" + Get,
        "POST /a/ HTTP/1.1\r\nContent-Length: 5\r\n\r\nhel",
        "POST /a/ HTTP/1.1\r\nContent-Length: 65\r\n\r\n",
        "POST /a/ HTTP/1.1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
        "GET /a/ HTTP/1.1\r\nA: b\r\n c\r\n\td\r\nE:\r\n f\r\n\r\n",
        "GET /a/ HTTP/1.0\r\nA:\r\n\r\n",
        "GET /a/ HTTP/1.1\r\nA b\r\n\r\n",
        "GET /a/ HTTP/1.1\r\nA: b\rc\r\n\r\n",
        "GET /a/ HTTP/1.1\r\nA: b\nC: d\r\n\r\n",
        "GET /a/ HTTP/1.1\r\n A: b\r\n\r\n",
        "GET /a/ HTTP/1.1\n\n",
        "GET  HTTP/1.1\r\n\r\n",
        "GET /a/ HTTP/2.0\r\n\r\n",
        "\r\nGET /a/ HTTP/1.1\r\n\r\n",
        "GET /a/ HTTP/1.1\r\n" + line + line + line + line,
        "GET /a/ HTTP/1.1\r\n" + line + line + line + line + "\r\n",
        "GET /" + std::string(HeaderLimitBytes, 'a') + " HTTP/1.1\r\n\r\n",
        "GET /" + std::string(HeaderLimitBytes, 'a'),
        "GET /a/ HTTP/1.1\r\nHo",
    };
    for (const std::string &text : requests) {
        checkAllCuts(message_kind::Request, text);
    }
    const std::vector<std::string> responses{
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 000 OK\r\n\r\n",
        "HTTP/1.1 20 OK\r\n\r\n",
        "not a response",
        "HTTP/1.1 200 OK\r\nA: b\x01\r\n\r\n",
    };
    for (const std::string &text : responses) {
        checkAllCuts(message_kind::Response, text);
    }
}

TEST_CASE("message_reader: a header whose fields come one by one is bound by the limit (each segment that ended just behind a line began a new count)")
{
    // Each piece ends with the first byte of the next line.
    const std::string piece = ": b\r\nA";
    for (const message_kind kind : {message_kind::Request, message_kind::Response}) {
        stream_reading reading(kind);
        reading.feed(kind == message_kind::Request ? "GET /a/ HTTP/1.1\r\nA" : "HTTP/1.1 200 OK\r\nA");
        for (std::size_t size = 0; size <= 4 * HeaderLimitBytes; size += piece.size()) {
            reading.feed(piece);
        }
        reading.feed(": b\r\n\r\n");
        CHECK(reading.end().ending == make_error_code(boost::beast::http::error::header_limit).message());
    }
}

namespace
{

/// A message of the given kind from the grammar of HTTP, mostly small, at times over the limits.
std::string arbitraryMessage(message_kind kind)
{
    const auto pick = [](const std::vector<std::string> &choices) { return *rc::gen::elementOf(choices); };
    std::string text = kind == message_kind::Request ? pick({"GET / HTTP/1.1\r\n", "POST /a HTTP/1.1\r\n", "PUT /b HTTP/1.0\r\n"})
                                                     : pick({"HTTP/1.1 200 OK\r\n", "HTTP/1.1 503 \r\n", "HTTP/1.1 100 \r\n", "HTTP/1.1 304 \r\n"});
    const int fields = *rc::gen::inRange(0, 4);
    for (int i = 0; i < fields; ++i) {
        text += pick({"A: b\r\n", "Host: h\r\n", "Connection: close\r\n", "C:\r\n d\r\n", "E: " + std::string(100, 'x') + "\r\n"});
    }
    const std::string body(static_cast<std::size_t>(*rc::gen::inRange(0, 70)), 'b');
    if (*rc::gen::arbitrary<bool>()) {
        return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    if (*rc::gen::arbitrary<bool>()) {
        return text + "\r\n" + body;
    }
    text += "Transfer-Encoding: chunked\r\n\r\n";
    const int chunks = *rc::gen::inRange(0, 3);
    for (int i = 0; i < chunks; ++i) {
        text += pick({"1\r\na\r\n", "2;e=f\r\n\r\n\r\n", "03;e=\"\r\"\r\nabc\r\n", "A\r\n0123456789\r\n"});
    }
    return text + pick({"0\r\n", "00\r\n", "0;e\r\n", "0;e=\"f\"\r\n"}) + pick({"", "A: b\r\n", "C:\r\n d\r\n"}) + "\r\n";
}

/// Changes, drops or inserts some bytes, mostly such as mean something in HTTP.
std::string spoil(std::string text)
{
    static const std::string Bytes = "\r\n0:; \t\"\\fa\x01\x7f\xff";
    const int changes = *rc::gen::inRange(0, 4);
    for (int i = 0; i < changes && !text.empty(); ++i) {
        const auto position = static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(text.size())));
        const char byte = *rc::gen::elementOf(Bytes);
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            text[position] = byte;
            break;
        case 1:
            text.erase(position, 1);
            break;
        default:
            text.insert(position, 1, byte);
        }
    }
    return text;
}

} // namespace

TEST_CASE("message_reader: any messages, spoiled and cut in any way, read as the whole (guards against bytes from outside that end the process)")
{
    CHECK(rc::check([] {
        const message_kind kind = *rc::gen::arbitrary<bool>() ? message_kind::Request : message_kind::Response;
        const std::string text = spoil(arbitraryMessage(kind) + arbitraryMessage(kind));
        const outcome whole = readWhole(kind, text);
        RC_ASSERT(readByteByByte(kind, text) == whole);
        stream_reading reading(kind);
        std::string_view rest = text;
        while (!rest.empty()) {
            const auto size = std::min<std::size_t>(rest.size(), static_cast<std::size_t>(*rc::gen::inRange(1, 12)));
            reading.feed(rest.substr(0, size));
            rest.remove_prefix(size);
        }
        RC_ASSERT(reading.end() == whole);
    }));
}

namespace
{

/// What an exchange makes of the pieces that a target sends before it closes the connection.
std::string exchangeOf(const std::vector<std::string_view> &pieces)
{
    exchange_machine machine(Limits);
    machine.begin("mine", true);
    machine.onRequestWritten();
    std::optional<exchange_result> result;
    for (const std::string_view piece : pieces) {
        if (!piece.empty() && !machine.hasEnded()) {
            auto finished = machine.onBytes(piece);
            result = result ? result : std::move(finished);
        }
    }
    if (auto finished = machine.onEnd(connection_end::ClosedByTarget, true); finished && !result) {
        result = std::move(finished);
    }
    REQUIRE(result);
    return result->outcome == exchange_outcome::Completed ? describe(result->response) : "lost\n";
}

} // namespace

TEST_CASE(
    "exchange_machine: a response cut at any bytes gives the same result as whole (a searcher's empty chunked answer in three segments ended the process)")
{
    std::vector<std::string> texts{
        "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nContent-Length: 5\r\n\r\nhel",
        "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nContent-Length: 2\r\n\r\nhi surplus",
        "HTTP/1.1 103 \r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: mine\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: mine\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\nuntil the end",
    };
    for (const std::string &body : ChunkedBodies) {
        texts.push_back("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body);
    }
    for (const std::string_view text : texts) {
        INFO("text: ", text);
        const std::string whole = exchangeOf({text});
        for (std::size_t first = 0; first <= text.size(); ++first) {
            for (std::size_t second = first; second <= text.size(); ++second) {
                INFO("cut at ", first, " and ", second);
                REQUIRE(exchangeOf({text.substr(0, first), text.substr(first, second - first), text.substr(second)}) == whole);
            }
        }
    }
}
