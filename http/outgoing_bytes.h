#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <list>
#include <memory>
#include <string>

namespace balsamhook
{

/// Bytes on their way to a socket, in the order in which they were added. Bytes that buffers() has handed out stay in place until they are written, also while
/// others are added, so an asynchronous write may refer to them. Not thread-safe.
class outgoing_bytes
{
public:
    using buffers_type = std::array<boost::asio::const_buffer, 2>;

    void add(std::string bytes);

    /// Adds bytes that others send as well.
    void add(std::shared_ptr<const std::string> bytes);

    /// Returns the next bytes, of up to two additions. They are valid until they are written, or the object is destroyed.
    buffers_type buffers() const;

    /// The first bytes of buffers() were written. Precondition: buffers() has as many.
    void onWritten(std::size_t size);

    bool isEmpty() const;

    /// Memory of what was added and isn't shared, in bytes.
    std::size_t heldBytes() const;

private:
    struct part
    {
        std::string own;
        std::shared_ptr<const std::string> shared; ///< In place of own if not empty.

        const std::string &bytes() const
        {
            return shared ? *shared : own;
        }
    };

    std::list<part> m_parts; ///< None is empty. A list, as its elements stay in place and an idle connection needs no memory for it.
    std::size_t m_written = 0; ///< Of the first part.
};

} // namespace balsamhook
