#include "http/header_scanner.h"

#include <array>
#include <boost/beast/http/error.hpp>

namespace balsamhook
{

namespace http = boost::beast::http;

namespace
{

/// How a response begins; "0" stands for any digit.
constexpr std::string_view StatusLineStart = "HTTP/0.0 000 ";

bool isDigit(char byte)
{
    return byte >= '0' && byte <= '9';
}

/// For each byte, whether it may stand in a method or in the name of a field.
constexpr std::array<bool, 256> TokenCharacters = [] {
    constexpr std::string_view Separators = "\"(),/:;<=>?@[\\]{}";
    std::array<bool, 256> isToken{};
    for (char byte = '!'; byte < '\x7f'; ++byte) {
        isToken[static_cast<unsigned char>(byte)] = Separators.find(byte) == std::string_view::npos;
    }
    return isToken;
}();

bool isTokenCharacter(char byte)
{
    return TokenCharacters[static_cast<unsigned char>(byte)];
}

/// True for control characters other than the tabulator, none of which may stand within a line.
bool isControlCharacter(char byte)
{
    const auto code = static_cast<unsigned char>(byte);
    return (code < ' ' && byte != '\t') || byte == '\x7f';
}

} // namespace

header_scanner::header_scanner(message_kind kind, std::size_t limitBytes)
    : m_kind(kind)
    , m_limitBytes(limitBytes)
{
}

std::size_t header_scanner::scan(std::string_view data, boost::system::error_code &failed)
{
    while (m_scanned < data.size() && m_place != place::Done && !failed) {
        if (++m_counted > m_limitBytes) {
            failed = http::error::header_limit;
            break;
        }
        take(data[m_scanned], failed);
        ++m_scanned;
    }
    return m_place == place::Done && !failed ? m_scanned : 0;
}

void header_scanner::take(char byte, boost::system::error_code &failed)
{
    switch (m_place) {
    case place::FirstLine:
        takeFirstLine(byte, failed);
        break;
    case place::LineEnd:
        takeLineFeed(byte, place::LineStart, failed);
        break;
    case place::LineStart:
        takeLineStart(byte, failed);
        break;
    case place::FieldName:
        takeFieldName(byte, failed);
        break;
    case place::FieldValue:
        takeFieldValue(byte, failed);
        break;
    case place::HeaderEnd:
        takeLineFeed(byte, place::Done, failed);
        break;
    case place::Done:
        break;
    }
}

void header_scanner::takeFirstLine(char byte, boost::system::error_code &failed)
{
    const std::size_t position = m_counted - 1;
    if (m_kind == message_kind::Response && position < StatusLineStart.size()) {
        const char expected = StatusLineStart[position];
        if (expected == '0' ? !isDigit(byte) : byte != expected) {
            failed = http::error::bad_version;
        }
        return;
    }
    if (m_kind == message_kind::Request && !m_hasMethod) {
        m_hasMethod = byte == ' ' && position > 0;
        if (!m_hasMethod && !isTokenCharacter(byte)) {
            failed = http::error::bad_method;
        }
        return;
    }
    if (byte == '\r') {
        m_place = place::LineEnd;
    } else if (isControlCharacter(byte)) {
        failed = http::error::bad_line_ending;
    }
}

void header_scanner::takeLineStart(char byte, boost::system::error_code &failed)
{
    const bool isFirst = m_counted == 1;
    if (byte == '\r') {
        m_place = place::HeaderEnd;
    } else if ((byte == ' ' || byte == '\t') && !isFirst) {
        // A folded line.
        m_place = place::FieldValue;
    } else {
        m_place = place::FieldName;
        // An empty name is none.
        failed = isTokenCharacter(byte) ? boost::system::error_code() : http::error::bad_field;
    }
}

void header_scanner::takeFieldName(char byte, boost::system::error_code &failed)
{
    if (byte == ':') {
        m_place = place::FieldValue;
    } else if (!isTokenCharacter(byte)) {
        failed = http::error::bad_field;
    }
}

void header_scanner::takeFieldValue(char byte, boost::system::error_code &failed)
{
    if (byte == '\r') {
        m_place = place::LineEnd;
    } else if (isControlCharacter(byte)) {
        failed = http::error::bad_value;
    }
}

void header_scanner::takeLineFeed(char byte, place next, boost::system::error_code &failed)
{
    if (byte != '\n') {
        failed = http::error::bad_line_ending;
        return;
    }
    if (m_place == place::LineEnd && !m_hasFirstLine) {
        m_hasFirstLine = true;
        m_counted = 0;
    }
    m_place = next;
}

} // namespace balsamhook
