#include "http/message_reader.h"

#include "base/assert.h"
#include "http/chunk_scanner.h"
#include "http/header_scanner.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/basic_parser.hpp>
#include <cctype>
#include <limits>

namespace balsamhook
{

namespace beast = boost::beast;

bool isSameName(std::string_view left, std::string_view right)
{
    return beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 9> HopByHopNames{
        "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade"};
    return std::any_of(HopByHopNames.begin(), HopByHopNames.end(), [name](std::string_view hopByHopName) { return isSameName(hopByHopName, name); });
}

bool isValidStatus(unsigned status)
{
    constexpr unsigned First = 100;
    constexpr unsigned Last = 599;
    constexpr unsigned SwitchingProtocols = 101;
    return status >= First && status <= Last && status != SwitchingProtocols;
}

bool isInterimStatus(unsigned status)
{
    constexpr unsigned FirstFinal = 200;
    return status < FirstFinal;
}

const std::string *http_message::find(std::string_view name) const
{
    const auto found = std::find_if(fields.begin(), fields.end(), [name](const header_field &field) { return isSameName(field.name, name); });
    return found == fields.end() ? nullptr : &found->value;
}

namespace
{

/// True unless the header names a transfer coding other than chunked, or names one twice.
bool isChunkedOnly(const http_message &message)
{
    std::size_t codings = 0;
    for (const header_field &field : message.fields) {
        if (!isSameName(field.name, "Transfer-Encoding")) {
            continue;
        }
        if (!isSameName(field.value, "chunked") || ++codings > 1) {
            return false;
        }
    }
    return true;
}

} // namespace

/// Interface of the request parser and the response parser.
class message_reader::parser_base
{
public:
    virtual ~parser_base() = default;
    virtual std::size_t feed(std::string_view data, boost::system::error_code &failed) = 0;
    virtual void endOfStream(boost::system::error_code &failed) = 0;
    virtual bool hasStarted() const = 0;
    virtual bool hasHeader() const = 0;
    virtual bool isDone() const = 0;
    virtual bool isKeepAlive() const = 0;
    virtual void expectNoBody() = 0;

    /// A field takes far more memory than a short line has bytes.
    std::size_t heldBytes() const
    {
        return message.target.capacity() + message.fields.capacity() * sizeof(header_field) + m_fieldBytes + message.body.capacity();
    }

    http_message message;

protected:
    std::size_t m_fieldBytes = 0; ///< Of all names and values.
};

template<bool IsRequest>
class message_reader::parser final : public message_reader::parser_base, private beast::http::basic_parser<IsRequest>
{
    using base = beast::http::basic_parser<IsRequest>;
    using string_view = beast::string_view;

public:
    explicit parser(const limits &allowed)
        : m_headerScanner(IsRequest ? message_kind::Request : message_kind::Response, allowed.headerBytes)
        , m_chunkScanner(allowed.headerBytes)
    {
        // The scanners keep to the limit.
        base::header_limit(std::numeric_limits<std::uint32_t>::max());
        base::body_limit(allowed.bodyBytes);
    }

    std::size_t feed(std::string_view data, boost::system::error_code &failed) override
    {
        std::size_t consumed = 0;
        failed = {};
        m_hasStarted = m_hasStarted || !data.empty();
        while (consumed < data.size() && !base::is_done() && !failed) {
            const std::string_view part = nextPart(data.substr(consumed), failed);
            if (part.empty()) {
                break;
            }
            consumed += base::put(boost::asio::buffer(part.data(), part.size()), failed);
        }
        if (failed == beast::http::error::need_more) {
            // Headers and the framing of chunks are passed as a whole: a first line is too short for its version, or an extension doesn't end.
            failed = base::is_header_done() ? beast::http::error::bad_chunk : beast::http::error::bad_version;
        }
        return consumed;
    }

    void endOfStream(boost::system::error_code &failed) override
    {
        failed = {};
        if (!base::is_header_done()) {
            failed = beast::http::error::partial_message;
            return;
        }
        base::put_eof(failed);
    }

    bool hasStarted() const override
    {
        return m_hasStarted;
    }

    bool hasHeader() const override
    {
        return base::is_header_done();
    }

    bool isDone() const override
    {
        return base::is_done();
    }

    bool isKeepAlive() const override
    {
        return base::keep_alive();
    }

    void expectNoBody() override
    {
        base::skip(true);
    }

private:
    using error_code = beast::error_code;

    void on_request_impl(beast::http::verb, string_view method, string_view target, int, error_code &) override
    {
        message.method.assign(method.data(), method.size());
        message.target.assign(target.data(), target.size());
    }

    void on_response_impl(int code, string_view, int, error_code &failed) override
    {
        message.status = static_cast<unsigned>(code);
        if (!isValidStatus(message.status)) {
            failed = beast::http::error::bad_status;
        }
    }

    void on_field_impl(beast::http::field, string_view name, string_view value, error_code &) override
    {
        // Fields of a trailer come after those of the header and aren't kept: whoever reads the message takes them for the header's.
        if (!base::is_header_done()) {
            message.fields.push_back({std::string(name), std::string(value)});
            m_fieldBytes += name.size() + value.size();
        }
    }

    void on_header_impl(error_code &failed) override
    {
        // No other coding than chunked was asked for, and none can be passed on, as the field concerns this connection only.
        if (!isChunkedOnly(message)) {
            failed = beast::http::error::bad_transfer_encoding;
        }
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> &length, error_code &) override
    {
        constexpr std::uint64_t MaxReserveBytes = 4 * 1024;
        message.body.reserve(static_cast<std::size_t>(std::min(length.value_or(0), MaxReserveBytes)));
        m_length = length;
    }

    std::size_t on_body_impl(string_view body, error_code &) override
    {
        appendToBody(body);
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t size, string_view, error_code &) override
    {
        m_chunkBytesLeft = size;
    }

    std::size_t on_chunk_body_impl(std::uint64_t, string_view body, error_code &) override
    {
        appendToBody(body);
        m_chunkBytesLeft -= body.size();
        return body.size();
    }

    void on_finish_impl(error_code &) override
    {
    }

    /// Returns what the parser can take of the data; empty if more bytes are needed.
    std::string_view nextPart(std::string_view data, error_code &failed)
    {
        if (!base::is_header_done()) {
            return data.substr(0, m_headerScanner.scan(data, failed));
        }
        if (!base::chunked()) {
            return data;
        }
        if (m_chunkBytesLeft > 0) {
            return data.substr(0, m_chunkBytesLeft);
        }
        return data.substr(0, m_chunkScanner.scan(data, failed));
    }

    void appendToBody(string_view bytes)
    {
        const std::size_t needed = message.body.size() + bytes.size();
        if (needed > message.body.capacity() && m_length) {
            // Doubled as usual, but not beyond a length that is known; reserve() alone never grows by less than double.
            std::string grown;
            grown.reserve(std::max(needed, std::min(2 * message.body.capacity(), static_cast<std::size_t>(*m_length))));
            grown.append(message.body);
            message.body = std::move(grown);
        }
        message.body.append(bytes.data(), bytes.size());
    }

    boost::optional<std::uint64_t> m_length; ///< Of the body, if the header names it.
    header_scanner m_headerScanner;
    chunk_scanner m_chunkScanner;
    std::uint64_t m_chunkBytesLeft = 0; ///< Of the current chunk.
    bool m_hasStarted = false;
};

std::size_t message_reader::maxUnconsumedBytes(const limits &allowed)
{
    // A first line and fields, or the end of a chunk, the line of the last one and a trailer.
    constexpr std::size_t ChunkEndBytes = 2;
    return ChunkEndBytes + 2 * allowed.headerBytes;
}

message_reader::message_reader(message_kind kind, limits allowed)
    : m_kind(kind)
    , m_limits(allowed)
{
    restart();
}

message_reader::~message_reader() = default;
message_reader::message_reader(message_reader &&) noexcept = default;
message_reader &message_reader::operator=(message_reader &&) noexcept = default;

void message_reader::restart()
{
    if (m_kind == message_kind::Request) {
        m_parser = std::make_unique<parser<true>>(m_limits);
    } else {
        m_parser = std::make_unique<parser<false>>(m_limits);
    }
}

std::size_t message_reader::feed(std::string_view data, boost::system::error_code &failed)
{
    return m_parser->feed(data, failed);
}

void message_reader::endOfStream(boost::system::error_code &failed)
{
    m_parser->endOfStream(failed);
}

bool message_reader::hasStarted() const
{
    return m_parser->hasStarted();
}

bool message_reader::hasHeader() const
{
    return m_parser->hasHeader();
}

bool message_reader::isDone() const
{
    return m_parser->isDone();
}

std::size_t message_reader::heldBytes() const
{
    return m_parser->heldBytes();
}

bool message_reader::expectsContinue() const
{
    BALSAM_ASSERT(hasHeader());
    const std::string *expect = m_parser->message.find("Expect");
    return expect != nullptr && isSameName(*expect, "100-continue");
}

http_message message_reader::take()
{
    BALSAM_ASSERT(isDone());
    http_message message = std::move(m_parser->message);
    message.keepAlive = m_parser->isKeepAlive();
    restart();
    return message;
}

void message_reader::expectNoBody()
{
    m_parser->expectNoBody();
}

} // namespace balsamhook
