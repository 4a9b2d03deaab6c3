#include "node/record_merge.h"

#include <algorithm>
#include <cstring>
#include <functional>

namespace balsamhook
{

namespace
{

/// Sorting fewer records more often would cost more than keeping them.
constexpr std::size_t MinKeptRecords = 256;

} // namespace

record_merge::record_merge(std::size_t count)
    : m_count(count)
{
}

void record_merge::add(std::string_view part)
{
    for (std::size_t offset = 0; offset + RecordBytes <= part.size(); offset += RecordBytes) {
        std::memcpy(m_records.emplace_back().data(), part.data() + offset, RecordBytes);
        if (m_records.size() / 2 > std::max(m_count, MinKeptRecords)) {
            prune();
        }
    }
}

void record_merge::prune()
{
    const std::size_t kept = std::min(m_count, m_records.size());
    std::partial_sort(m_records.begin(), m_records.begin() + static_cast<std::ptrdiff_t>(kept), m_records.end(), std::greater<>());
    m_records.resize(kept);
}

std::size_t record_merge::heldBytes() const
{
    return m_records.capacity() * sizeof(record);
}

std::string record_merge::greatest()
{
    prune();
    std::string body;
    body.reserve(m_records.size() * RecordBytes);
    for (const record &kept : m_records) {
        body.append(kept.begin(), kept.end());
    }
    return body;
}

} // namespace balsamhook
