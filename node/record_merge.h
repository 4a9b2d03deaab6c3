#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace balsamhook
{

/// Size of one record in a part.
constexpr std::size_t RecordBytes = 16;

/// Keeps the greatest records of many parts. Records are compared as unsigned bytes; equal records all count. Not thread-safe.
class record_merge
{
public:
    /// Up to count records are the result.
    explicit record_merge(std::size_t count);

    /// Adds the records of a part; a remainder shorter than a record is ignored.
    void add(std::string_view part);

    /// Memory that the records take, in bytes.
    std::size_t heldBytes() const;

    /// Returns the greatest records, greatest first. Precondition: no other call follows.
    std::string greatest();

private:
    /// Sorts the greatest records to the front and drops the others.
    void prune();

    using record = std::array<unsigned char, RecordBytes>;

    std::size_t m_count;
    std::vector<record> m_records; ///< At most twice the count and some more, so that a part without end isn't kept.
};

} // namespace balsamhook
