#include "routing/retry_budget.h"

#include "base/assert.h"

#include <algorithm>
#include <numeric>

namespace balsamhook
{

namespace
{

/// Share of the budget that is used; the rest covers instances that haven't discovered each other yet and windows that aren't aligned.
constexpr double UsedShare = 0.8;

} // namespace

retry_budget::retry_budget(limits allowed, clock::time_point startedAt)
    : m_limits(allowed)
    , m_startedAt(startedAt)
{
    BALSAM_ASSERT(allowed.window.count() > 0);
}

void retry_budget::setLimits(const limits &allowed)
{
    BALSAM_ASSERT(allowed.window == m_limits.window);
    m_limits = allowed;
}

void retry_budget::setInstances(unsigned count)
{
    BALSAM_ASSERT(count >= 1);
    m_instances = count;
}

std::int64_t retry_budget::bucketAt(clock::time_point now) const
{
    const auto width = std::chrono::duration_cast<clock::duration>(m_limits.window) / static_cast<std::int64_t>(Buckets);
    return now.time_since_epoch() / width;
}

void retry_budget::advance(usage &used, std::int64_t bucket) const
{
    const std::int64_t steps = std::min<std::int64_t>(bucket - used.bucket, Buckets);
    for (std::int64_t i = 0; i < steps; ++i) {
        const auto index = static_cast<std::size_t>((bucket - i) % static_cast<std::int64_t>(Buckets));
        used.requests[index] = 0;
        used.extraSends[index] = 0;
    }
    used.bucket = std::max(used.bucket, bucket);
}

void retry_budget::onRequest(const std::string &service, clock::time_point now)
{
    usage &used = m_usage[service];
    advance(used, bucketAt(now));
    ++used.requests[static_cast<std::size_t>(used.bucket % static_cast<std::int64_t>(Buckets))];
}

bool retry_budget::tryAcquire(const std::string &service, double reserve, clock::time_point now)
{
    usage &used = m_usage[service];
    advance(used, bucketAt(now));
    const double requests = std::accumulate(used.requests.begin(), used.requests.end(), 0.0);
    const double extraSends = std::accumulate(used.extraSends.begin(), used.extraSends.end(), 0.0);
    const double startShare = now - m_startedAt < m_limits.window ? 0.5 : 1.0;
    const double slack = m_limits.slack * startShare / m_instances;
    const double allowed = (m_limits.ratio * requests + slack) * UsedShare * (1 - reserve);
    if (extraSends + 1 > allowed) {
        return false;
    }
    ++used.extraSends[static_cast<std::size_t>(used.bucket % static_cast<std::int64_t>(Buckets))];
    return true;
}

} // namespace balsamhook
