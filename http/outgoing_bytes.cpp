#include "http/outgoing_bytes.h"

#include "base/assert.h"

#include <utility>

namespace balsamhook
{

void outgoing_bytes::add(std::string bytes)
{
    if (!bytes.empty()) {
        m_parts.push_back({std::move(bytes), nullptr});
    }
}

void outgoing_bytes::add(std::shared_ptr<const std::string> bytes)
{
    if (bytes && !bytes->empty()) {
        m_parts.push_back({{}, std::move(bytes)});
    }
}

outgoing_bytes::buffers_type outgoing_bytes::buffers() const
{
    buffers_type next;
    auto buffer = next.begin();
    for (auto added = m_parts.begin(); added != m_parts.end() && buffer != next.end(); ++added, ++buffer) {
        *buffer = boost::asio::buffer(added->bytes());
    }
    next.front() += m_written;
    return next;
}

void outgoing_bytes::onWritten(std::size_t size)
{
    m_written += size;
    while (!m_parts.empty() && m_written >= m_parts.front().bytes().size()) {
        m_written -= m_parts.front().bytes().size();
        m_parts.pop_front();
    }
    BALSAM_ASSERT(m_written == 0 || !m_parts.empty());
}

bool outgoing_bytes::isEmpty() const
{
    return m_parts.empty();
}

std::size_t outgoing_bytes::heldBytes() const
{
    std::size_t bytes = 0;
    for (const part &added : m_parts) {
        bytes += sizeof(part) + added.own.capacity();
    }
    return bytes;
}

} // namespace balsamhook
