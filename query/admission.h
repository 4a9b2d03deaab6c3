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
    /// limit: queries and commands in flight. Precondition: at least 1.
    explicit admission(std::size_t limit);

    /// Returns why the query is refused, or an empty string when it may start. A query is refused when the limit is reached, or when the expected queue
    /// times leave fewer shards than the minimum coverage needs that can start within the remaining time.
    std::string_view refusalReason(
        std::size_t running, const service_layout &service, const target_view &targets, double minimumCoverage, std::chrono::microseconds remaining) const;

    /// True above half of the limit, so that hedging stops before queries are refused.
    bool isOverloaded(std::size_t running) const;

private:
    std::size_t m_limit;
};

} // namespace balsamhook
