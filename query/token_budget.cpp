#include "query/token_budget.h"

#include "base/base.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

/// Share of the burst that only retries may use.
constexpr double RetryReserve = 0.25;

} // namespace

token_budget::token_budget(double percent, double burst)
    : m_percent(percent)
    , m_burst(burst)
    , m_tokens(percent > 0 ? burst : 0)
{
    BALSAM_ASSERT(percent >= 0 && percent <= 100 && burst >= 0);
}

void token_budget::setPercent(double percent)
{
    BALSAM_ASSERT(percent >= 0 && percent <= 100);
    m_percent = percent;
    m_tokens = percent > 0 ? m_tokens : 0;
}

void token_budget::deposit(std::size_t firstAttempts)
{
    m_tokens = std::min(m_burst, m_tokens + static_cast<double>(firstAttempts) * m_percent / 100);
}

bool token_budget::tryAcquireForRetry()
{
    return tryAcquire(0);
}

bool token_budget::tryAcquireForHedge()
{
    return tryAcquire(m_burst * RetryReserve);
}

bool token_budget::tryAcquire(double reserve)
{
    if (m_tokens - 1 < reserve) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace balsamhook
