#pragma once

#include <cstddef>

namespace balsamhook
{

/// Budget for the extra attempts (hedges, retries and restarts) of one service: each first attempt earns a share of a token, each extra attempt costs
/// one. The number of extra attempts never exceeds burst + percent / 100 * first attempts. Not thread-safe.
class token_budget
{
public:
    /// Precondition: percent in 0..100, burst at least 0. The budget starts full.
    token_budget(double percent, double burst);

    void setPercent(double percent);
    void earn(std::size_t firstAttempts);

    /// Takes a token for a retry; false when there is none.
    bool takeForRetry();

    /// Takes a token for a hedge; false when few are left: hedging stops first, retries keep the rest.
    bool takeForHedge();

private:
    bool take(double floor);

    double m_percent;
    double m_burst;
    double m_tokens;
};

} // namespace balsamhook
