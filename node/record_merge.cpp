#include "node/record_merge.h"

#include <algorithm>
#include <functional>

namespace balsamhook
{

void record_merge::add(std::string_view part)
{
    for (std::size_t offset = 0; offset + RecordBytes <= part.size(); offset += RecordBytes) {
        m_records.emplace_back(part.substr(offset, RecordBytes));
    }
}

std::string record_merge::greatest(std::size_t count)
{
    const std::size_t kept = std::min(count, m_records.size());
    // std::string compares as unsigned bytes.
    std::partial_sort(m_records.begin(), m_records.begin() + static_cast<std::ptrdiff_t>(kept), m_records.end(), std::greater<>());
    std::string body;
    body.reserve(kept * RecordBytes);
    for (std::size_t i = 0; i < kept; ++i) {
        body += m_records[i];
    }
    return body;
}

} // namespace balsamhook
