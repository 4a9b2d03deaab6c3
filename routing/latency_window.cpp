#include "routing/latency_window.h"

#include "base/assert.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

constexpr std::size_t WindowSamples = 256;
constexpr std::size_t SamplesPerRefresh = 16;

} // namespace

latency_window::latency_window(microseconds initialEstimate)
    : m_median(initialEstimate)
    , m_percentile90(initialEstimate * 2)
{
}

void latency_window::add(microseconds latency)
{
    if (m_samples.size() < WindowSamples) {
        m_samples.push_back(latency);
    } else {
        m_samples[m_nextIndex] = latency;
        m_nextIndex = (m_nextIndex + 1) % WindowSamples;
    }
    if (++m_samplesSinceRefresh >= SamplesPerRefresh) {
        refresh();
    }
}

void latency_window::refresh()
{
    m_samplesSinceRefresh = 0;
    m_median = percentile(0.5);
    m_percentile90 = percentile(0.9);
}

latency_window::microseconds latency_window::percentile(double share) const
{
    BALSAM_ASSERT(share >= 0 && share < 1);
    if (m_samples.empty()) {
        return m_median;
    }
    std::vector<microseconds> sorted = m_samples;
    const auto selected = sorted.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(sorted.size()) * share);
    std::nth_element(sorted.begin(), selected, sorted.end());
    return *selected;
}

double latency_window::shareAbove(microseconds latency) const
{
    if (m_samples.empty()) {
        return 0;
    }
    const auto above = std::count_if(m_samples.begin(), m_samples.end(), [latency](microseconds sample) { return sample > latency; });
    return static_cast<double>(above) / static_cast<double>(m_samples.size());
}

latency_window::microseconds latency_window::median() const
{
    return m_median;
}

latency_window::microseconds latency_window::percentile90() const
{
    return m_percentile90;
}

} // namespace balsamhook
