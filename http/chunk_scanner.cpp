#include "http/chunk_scanner.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>

namespace balsamhook
{

namespace http = boost::beast::http;

namespace
{

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view EmptyLine = "\r\n\r\n";

/// Searches for the pattern, which may begin in the bytes that were searched before.
std::size_t findFrom(std::string_view data, std::string_view pattern, std::size_t scanned, std::size_t first)
{
    const std::size_t overlap = pattern.size() - 1;
    return data.find(pattern, std::max(first, scanned > overlap ? scanned - overlap : 0));
}

/// True for the line of a chunk without bytes.
bool isLastChunk(std::string_view line)
{
    const std::string_view size = line.substr(0, line.find_first_not_of("0123456789abcdefABCDEF"));
    return !size.empty() && size.find_first_not_of('0') == std::string_view::npos;
}

} // namespace

chunk_scanner::chunk_scanner(std::size_t limitBytes)
    : m_limitBytes(limitBytes)
{
}

std::size_t chunk_scanner::scan(std::string_view data, boost::system::error_code &failed)
{
    if (m_lineSize == 0) {
        m_lineSize = findLine(data, failed);
    }
    if (m_lineSize == 0 || failed) {
        return 0;
    }
    const std::size_t lineStart = m_isFirst ? 0 : LineEnd.size();
    if (!isLastChunk(data.substr(lineStart, m_lineSize - lineStart))) {
        return onFound(m_lineSize);
    }
    const std::size_t size = findTrailerEnd(data, failed);
    return size == 0 || failed ? 0 : onFound(size);
}

std::size_t chunk_scanner::findLine(std::string_view data, boost::system::error_code &failed)
{
    const std::size_t lineStart = m_isFirst ? 0 : LineEnd.size();
    const std::string_view chunkEnd = data.substr(0, lineStart);
    if (chunkEnd != LineEnd.substr(0, chunkEnd.size())) {
        failed = http::error::bad_chunk;
        return 0;
    }
    const std::size_t found = findFrom(data, LineEnd, m_scanned, lineStart);
    const std::size_t size = found == std::string_view::npos ? 0 : found + LineEnd.size();
    m_scanned = size == 0 ? data.size() : size;
    if (m_scanned > lineStart + m_limitBytes) {
        failed = http::error::bad_chunk_extension;
    }
    return size;
}

std::size_t chunk_scanner::findTrailerEnd(std::string_view data, boost::system::error_code &failed)
{
    const std::size_t found = findFrom(data, EmptyLine, m_scanned, m_lineSize - LineEnd.size());
    const std::size_t size = found == std::string_view::npos ? 0 : found + EmptyLine.size();
    m_scanned = size == 0 ? data.size() : size;
    if (m_scanned > m_lineSize + m_limitBytes) {
        failed = http::error::header_limit;
    }
    return size;
}

std::size_t chunk_scanner::onFound(std::size_t size)
{
    m_lineSize = 0;
    m_scanned = 0;
    m_isFirst = false;
    return size;
}

} // namespace balsamhook
