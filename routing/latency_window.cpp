#include "routing/latency_window.h"

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
    std::vector<microseconds> sorted = m_samples;
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    m_median = *middle;
    const auto high = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() * 9 / 10);
    std::nth_element(sorted.begin(), high, sorted.end());
    m_percentile90 = *high;
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
