#pragma once

#include "http/message_kind.h"

#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace balsamhook
{

/// Finds the end of a message's header, checks it byte by byte, and so judges each header in the same way, however it is cut. Bytes that can't belong to one
/// are found at once, without waiting for its end. Not thread-safe.
class header_scanner
{
public:
    /// The first line may take as many bytes as the limit says, and so may the others together.
    header_scanner(message_kind kind, std::size_t limitBytes);

    /// Returns the size of the header, its empty line included, or 0 if it isn't complete. Precondition: after 0 was returned, the data starts with the same
    /// bytes. Errors: header_limit, bad_version, bad_method, bad_line_ending, bad_field, bad_value.
    std::size_t scan(std::string_view data, boost::system::error_code &failed);

private:
    enum class place : std::uint8_t {
        FirstLine,
        LineEnd, ///< Behind the carriage return of a line.
        LineStart,
        FieldName,
        FieldValue,
        HeaderEnd, ///< Behind the carriage return of the empty line.
        Done,
    };

    void take(char byte, boost::system::error_code &failed);
    void takeFirstLine(char byte, boost::system::error_code &failed);
    void takeLineStart(char byte, boost::system::error_code &failed);
    void takeFieldName(char byte, boost::system::error_code &failed);
    void takeFieldValue(char byte, boost::system::error_code &failed);
    void takeLineFeed(char byte, place next, boost::system::error_code &failed);

    message_kind m_kind;
    std::size_t m_limitBytes;
    std::size_t m_scanned = 0;
    std::size_t m_counted = 0; ///< Bytes of the first line, or of those behind it.
    place m_place = place::FirstLine;
    bool m_hasMethod = false;
    bool m_hasFirstLine = false;
};

} // namespace balsamhook
