#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace balsamhook
{

/// Usual latency of a kind of request, by which the responses of a single target are judged.
struct latency_profile
{
    std::chrono::microseconds median{0}; ///< Over all targets.
    std::chrono::microseconds slowAfter{0}; ///< A response that takes longer is slow.
    double slowShare = 0; ///< Of the responses, while targets have no queue; 0 to 1.
};

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

    /// Returns a percentile, given as a share of 0 to 1 (exclusive), of the samples; the initial estimate while there are none.
    microseconds percentile(double share) const;

    /// Returns the share of the samples that are longer; 0 while there are none.
    double shareAbove(microseconds latency) const;

private:
    void refresh();

    std::vector<microseconds> m_samples;
    std::size_t m_nextIndex = 0; ///< Of the oldest sample, once the window is full.
    std::size_t m_samplesSinceRefresh = 0;
    microseconds m_median;
    microseconds m_percentile90;
};

} // namespace balsamhook
