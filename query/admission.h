#pragma once

#include "query/service_layout.h"
#include "query/target_view.h"

#include <chrono>
#include <cstddef>
#include <string_view>

namespace balsamhook
{

/// Admission control: decides whether a new query may start. Not thread-safe.
class admission
{
public:
    /// limit: maximum number of queries and commands in flight. Precondition: at least 1.
    explicit admission(std::size_t limit);

    /// Returns why the query is refused, or an empty string when it may start. "overloaded": the limit is reached. "deadline_too_short": because of the
    /// expected queue times, too few shards for the minimum coverage, or none, can start within the remaining time.
    std::string_view refusalReason(
        std::size_t inFlight, const service_layout &service, const target_view &targets, double minimumCoverage, std::chrono::microseconds remaining) const;

    /// True above half of the limit, so that hedging stops before queries are refused.
    bool isOverloaded(std::size_t inFlight) const;

private:
    std::size_t m_limit;
};

} // namespace balsamhook
