#pragma once

#include <cstddef>

namespace balsamhook
{

/// Token bucket for the extra attempts (hedges, retries and restarts) of one service: each first attempt adds percent / 100 of a token, each extra
/// attempt takes one. The number of extra attempts never exceeds burst + percent / 100 * first attempts. Not thread-safe.
class token_budget
{
public:
    /// The bucket starts full, or empty when percent is 0. Precondition: percent in 0..100, burst at least 0.
    token_budget(double percent, double burst);

    /// Empties the bucket when percent is 0. Precondition: percent in 0..100.
    void setPercent(double percent);

    /// Adds the tokens for a number of first attempts, up to the burst.
    void deposit(std::size_t firstAttempts);

    /// Takes a token for a retry or a restart; false when none is left.
    bool tryAcquireForRetry();

    /// Takes a token for a hedge; false when only the reserve for retries is left, so hedging stops before retries.
    bool tryAcquireForHedge();

private:
    bool tryAcquire(double reserve);

    double m_percent;
    double m_burst;
    double m_tokens;
};

} // namespace balsamhook
