#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace balsamhook
{

/// Histogram of latencies with log-linear buckets: 32 for each power of two, so a quantile is at most about 3% too high.
/// Range 0 to 2^36 microseconds (19 hours); greater values go to the last bucket. Not thread-safe.
class latency_histogram
{
public:
    latency_histogram();

    void add(std::chrono::microseconds latency);
    void add(const latency_histogram &other);

    /// Returns the latency that the share `quantile` (0 to 1) of the values doesn't exceed; 0 when empty.
    std::chrono::microseconds quantile(double quantile) const;

    std::chrono::microseconds highest() const;
    std::uint64_t count() const;

private:
    std::vector<std::uint64_t> m_buckets;
    std::uint64_t m_count = 0;
    std::chrono::microseconds m_highest{0};
};

} // namespace balsamhook
