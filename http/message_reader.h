#pragma once

#include "http/message_kind.h"
#include "http/response_memory.h"

#include <boost/system/error_code.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace balsamhook
{

/// Header field with the name in its original case.
struct header_field
{
    std::string name;
    std::string value;
};

/// Parsed HTTP/1.1 request or response.
struct http_message
{
    std::string method; ///< Requests only.
    std::string target; ///< Requests only: undecoded path and query.
    unsigned status = 0; ///< Responses only.
    std::vector<header_field> fields;
    std::string body; ///< Chunked encoding is removed.
    bool keepAlive = false;
    std::shared_ptr<void> memory; ///< Counts the message's memory while a copy exists; may be empty.

    /// Returns the value of the first field with this name, ignoring case, or nullptr.
    const std::string *find(std::string_view name) const;
};

/// Compares header names, ignoring case.
bool isSameName(std::string_view left, std::string_view right);

/// True for hop-by-hop headers, which apply to a single connection and must not be forwarded.
bool isHopByHop(std::string_view name);

/// True for the status of a response to a request that asks for no other protocol: 100 to 599, but not 101.
bool isValidStatus(unsigned status);

/// True for the status of a response that a final one follows.
bool isInterimStatus(unsigned status);

/// Incremental parser for the sequence of HTTP messages on one connection, based on Boost.Beast. Not thread-safe.
class message_reader
{
public:
    struct limits
    {
        std::size_t headerBytes = 64 * 1024;
        std::size_t bodyBytes = 16 * 1024 * 1024;
    };

    /// Most bytes that feed() leaves unconsumed without an error, unless the message has ended before them.
    static std::size_t maxUnconsumedBytes(const limits &allowed);

    message_reader(message_kind kind, limits allowed);
    ~message_reader();
    message_reader(message_reader &&) noexcept;
    message_reader &operator=(message_reader &&) noexcept;

    /// Parses the data and returns the number of bytes consumed. Stops at the end of a message and before an incomplete header, line of a chunk or trailer; the
    /// unconsumed bytes must be passed again, followed by the bytes received next. After an error the reader can't be used any more. How the bytes of a
    /// connection are cut makes no difference to what is read.
    std::size_t feed(std::string_view data, boost::system::error_code &failed);

    /// Signals that the peer shut down its sending side. Completes a response whose body extends to the end of the connection; any other incomplete message
    /// is an error. Precondition: hasStarted().
    void endOfStream(boost::system::error_code &failed);

    bool hasStarted() const; ///< At least one byte of the current message was passed to feed(), even if none was consumed yet.
    bool hasHeader() const;
    bool isDone() const;

    /// Memory that the current message takes, in bytes.
    std::size_t heldBytes() const;

    /// True if the request has the header "Expect: 100-continue". Precondition: hasHeader().
    bool expectsContinue() const;

    /// Returns the parsed message and resets the reader for the next one. Precondition: isDone().
    http_message take();

    /// The next response has no body regardless of its Content-Length, as for HEAD. Precondition: no data was fed since the last take().
    void expectNoBody();

private:
    class parser_base;
    template<bool IsRequest>
    class parser;

    void restart();

    message_kind m_kind;
    limits m_limits;
    std::unique_ptr<parser_base> m_parser;
};

} // namespace balsamhook
