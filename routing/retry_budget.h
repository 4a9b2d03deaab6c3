#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace balsamhook
{

/// Limits the extra sends (beyond the first of each request) to a service, so that all instances together stay within the service's limit: a share of its
/// requests plus a fixed slack in each window. Each instance uses the share of its local requests and an equal part of the slack. Not thread-safe.
class retry_budget
{
public:
    using clock = std::chrono::steady_clock;

    struct limits
    {
        double ratio = 0.2; ///< Extra sends for each request.
        double slack = 0; ///< Extra sends in each window besides the ratio, for all instances together.
        std::chrono::milliseconds window{10000};
    };

    /// Precondition: the window is longer than 0. During the first window only half of the slack counts, because a preceding process may have used its part
    /// of the same window.
    retry_budget(limits allowed, clock::time_point startedAt);

    /// Replaces the limits. Precondition: the window is unchanged.
    void setLimits(const limits &allowed);

    /// Sets the number of instances that share the slack. Precondition: at least 1.
    void setInstances(unsigned count);

    /// Counts a request for the service.
    void onRequest(const std::string &service, clock::time_point now);

    /// Counts one extra send and returns true when it is within the budget. reserve: share of the budget that must stay unused, 0 to 1; hedges reserve a
    /// part for retries of failed sends.
    bool tryAcquire(const std::string &service, double reserve, clock::time_point now);

private:
    static constexpr std::size_t Buckets = 20;

    struct usage
    {
        std::array<std::uint32_t, Buckets> requests{};
        std::array<std::uint32_t, Buckets> extraSends{};
        std::int64_t bucket = 0; ///< Newest bucket, counted from the epoch of the clock.
    };

    std::int64_t bucketAt(clock::time_point now) const;
    void advance(usage &used, std::int64_t bucket) const;

    limits m_limits;
    clock::time_point m_startedAt;
    unsigned m_instances = 1;
    std::unordered_map<std::string, usage> m_usage;
};

} // namespace balsamhook
