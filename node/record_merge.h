#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace balsamhook
{

/// Size of one record in a part.
constexpr std::size_t RecordBytes = 16;

/// Collects the records of many parts and returns the greatest. Records are compared as unsigned bytes; equal records are all kept. Not thread-safe.
class record_merge
{
public:
    /// Adds the records of a part; a remainder shorter than a record is ignored.
    void add(std::string_view part);

    /// Returns up to count records, greatest first. Precondition: no other call follows.
    std::string greatest(std::size_t count);

private:
    std::vector<std::string> m_records;
};

} // namespace balsamhook
