#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace balsamhook
{

/// Histogram of latencies with log-linear buckets: 32 per power of two, so a quantile exceeds the exact value by at most 1/32.
/// Range 0 to 2^36 microseconds (19 hours); negative values count as 0. Greater values go to the last bucket, so quantiles above the range are too low.
/// Not thread-safe.
class latency_histogram
{
public:
    latency_histogram();

    void add(std::chrono::microseconds latency);
    void add(const latency_histogram &other);

    /// Returns an upper bound of the given quantile (0 to 1) within the range; 0 when the histogram is empty.
    std::chrono::microseconds quantile(double quantile) const;

    std::chrono::microseconds maximum() const;
    std::uint64_t count() const;

private:
    std::vector<std::uint64_t> m_buckets;
    std::uint64_t m_count = 0;
    std::chrono::microseconds m_maximum{0};
};

} // namespace balsamhook
