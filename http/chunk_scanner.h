#pragma once

#include <boost/system/error_code.hpp>
#include <cstddef>
#include <string_view>

namespace balsamhook
{

/// Finds the end of the framing in front of the next chunk of a body: the line with its size, or the last chunk with its trailer. Boost.Beast's parser is given
/// each as a whole, because assertions of it fail for some cuts. Not thread-safe.
class chunk_scanner
{
public:
    /// The line of a chunk and a trailer may take as many bytes as the limit says.
    explicit chunk_scanner(std::size_t limitBytes);

    /// Returns the size of the framing, the end of the chunk before it included, or 0 if it isn't complete. Precondition: after 0 was returned, the data starts
    /// with the same bytes, and otherwise behind the chunk whose framing was returned last. Errors: bad_chunk, bad_chunk_extension, header_limit.
    std::size_t scan(std::string_view data, boost::system::error_code &failed);

private:
    std::size_t findLine(std::string_view data, boost::system::error_code &failed);
    std::size_t findTrailerEnd(std::string_view data, boost::system::error_code &failed);
    std::size_t onFound(std::size_t size);

    std::size_t m_limitBytes;
    std::size_t m_lineSize = 0; ///< With the end of the chunk before it; 0 until it is found.
    std::size_t m_scanned = 0; ///< Bytes that were searched without success.
    bool m_isFirst = true;
};

} // namespace balsamhook
