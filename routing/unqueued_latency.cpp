#include "routing/unqueued_latency.h"

#include <cstdint>

namespace balsamhook
{

namespace
{

constexpr double LowPercentile = 0.25;
constexpr int QueueObjectiveDivisor = 3;
constexpr double UnknownSlowShare = 0.5;

std::chrono::microseconds slowAfter(std::chrono::microseconds lowPercentile, std::chrono::milliseconds objective)
{
    return lowPercentile + std::chrono::microseconds(objective) / QueueObjectiveDivisor;
}

} // namespace

unqueued_latency::unqueued_latency(microseconds initialEstimate)
    : m_initialEstimate(initialEstimate)
{
}

unqueued_latency::microseconds unqueued_latency::lowPercentile() const
{
    return m_lowPercentile.isEmpty() ? m_initialEstimate : microseconds(static_cast<std::int64_t>(m_lowPercentile.value()));
}

void unqueued_latency::observe(const latency_window &latency, std::chrono::milliseconds objective, clock::time_point now)
{
    m_lowPercentile.add(static_cast<double>(latency.percentile(LowPercentile).count()), now);
    m_slowShare.add(latency.shareAbove(slowAfter(lowPercentile(), objective)), now);
}

latency_profile unqueued_latency::profile(const latency_window &latency, std::chrono::milliseconds objective) const
{
    return {latency.median(), slowAfter(lowPercentile(), objective), m_slowShare.isEmpty() ? UnknownSlowShare : m_slowShare.value()};
}

} // namespace balsamhook
