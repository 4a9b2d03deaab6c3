#include "http/response_memory.h"

#include "base/assert.h"

namespace balsamhook
{

response_memory::holding::holding(std::shared_ptr<std::size_t> used, std::size_t limit)
    : m_used(std::move(used))
    , m_limit(limit)
{
}

response_memory::holding::~holding()
{
    BALSAM_ASSERT(*m_used >= m_bytes);
    *m_used -= m_bytes;
}

bool response_memory::holding::resize(std::size_t bytes)
{
    const std::size_t others = *m_used - m_bytes;
    const std::size_t total = others + bytes;
    // What is left free with this response has to be as much as the response takes.
    const bool isWithinLimit = total <= m_limit && bytes <= m_limit - total;
    const bool isShrinking = bytes <= m_bytes;
    if (!isWithinLimit && !isShrinking && bytes > SmallResponseBytes) {
        return false;
    }
    *m_used = total;
    m_bytes = bytes;
    return true;
}

response_memory::response_memory(std::size_t limitBytes)
    : m_limit(limitBytes)
{
}

response_memory::holding_pointer response_memory::hold() const
{
    return std::make_shared<holding>(m_used, m_limit);
}

std::size_t response_memory::used() const
{
    return *m_used;
}

} // namespace balsamhook
