#pragma once

#include "query/service_layout.h"
#include "query/target_view.h"

#include <chrono>
#include <cstddef>
#include <string_view>

namespace balsamhook
{

/// Decides whether a new query may start. Not thread-safe.
class admission
{
public:
    /// Precondition: limit is at least 1.
    explicit admission(std::size_t limit);

    /// Returns why the query is refused, or an empty text. It is refused when too many run, or when the expected queue times leave too few shards
    /// that can start within the remaining time.
    std::string_view
    refusal(std::size_t running, const service_layout &service, const target_view &targets, double minimumCoverage, std::chrono::microseconds remaining) const;

    /// True from half of the limit on: hedging stops before queries are refused.
    bool isOverloaded(std::size_t running) const;

private:
    std::size_t m_limit;
};

} // namespace balsamhook
