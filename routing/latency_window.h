#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace balsamhook
{

/// Median and 90th percentile of the most recent latencies of one kind of request, recomputed after every 16 samples. Not thread-safe.
class latency_window
{
public:
    using microseconds = std::chrono::microseconds;

    /// Until the first 16 samples, the initial estimate is the median and twice its value the 90th percentile.
    explicit latency_window(microseconds initialEstimate);

    void add(microseconds latency);

    microseconds median() const;
    microseconds percentile90() const;

private:
    void refresh();

    std::vector<microseconds> m_samples;
    std::size_t m_nextIndex = 0; ///< Of the oldest sample, once the window is full.
    std::size_t m_samplesSinceRefresh = 0;
    microseconds m_median;
    microseconds m_percentile90;
};

} // namespace balsamhook
