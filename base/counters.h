#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace balsamhook
{

/// Named counters and gauges of one program, served by GET /metrics. Not thread-safe: each program has one thread.
class counters
{
public:
    /// Adds to a counter; creates it at 0. Names are Prometheus style, with labels included: requests_total{outcome="answered"}.
    void add(std::string_view name, std::int64_t amount = 1);

    /// Sets a gauge.
    void set(std::string_view name, std::int64_t value);

    /// Returns the value, or 0 when the name was never used.
    std::int64_t value(std::string_view name) const;

    /// Returns all values in the Prometheus text format, sorted by name.
    std::string text() const;

private:
    std::map<std::string, std::int64_t, std::less<>> m_values;
};

} // namespace balsamhook
