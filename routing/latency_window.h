#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace balsamhook
{

/// Median and 90th percentile of the most recent latencies of one kind of request. Not thread-safe.
class latency_window
{
public:
    using microseconds = std::chrono::microseconds;

    /// The initial estimate is the median until enough samples were added.
    explicit latency_window(microseconds initialEstimate);

    void add(microseconds latency);

    microseconds median() const;
    microseconds percentile90() const;

private:
    void refresh();

    std::vector<microseconds> m_samples;
    std::size_t m_nextIndex = 0;
    std::size_t m_samplesSinceRefresh = 0;
    microseconds m_median;
    microseconds m_percentile90;
};

} // namespace balsamhook
