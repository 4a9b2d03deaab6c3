#include "query/latency_window.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

constexpr std::size_t MinSamples = 20; ///< Up to this number of samples, the 95th percentile is the maximum.
constexpr std::size_t RecomputeInterval = 8; ///< Samples
constexpr std::size_t Percentile = 95;

} // namespace

void latency_window::add(std::chrono::microseconds sample)
{
    m_samples[m_sampleCount % Capacity] = sample;
    ++m_sampleCount;
    if (m_sampleCount >= MinSamples && (m_sampleCount % RecomputeInterval == 0 || !m_percentile)) {
        recompute();
    }
}

void latency_window::recompute()
{
    const std::size_t count = std::min(m_sampleCount, Capacity);
    auto sorted = m_samples;
    const auto position = sorted.begin() + static_cast<std::ptrdiff_t>(count * Percentile / 100);
    std::nth_element(sorted.begin(), position, sorted.begin() + static_cast<std::ptrdiff_t>(count));
    m_percentile = *position;
}

std::optional<std::chrono::microseconds> latency_window::percentile95() const
{
    return m_percentile;
}

} // namespace balsamhook
