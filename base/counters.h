#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace balsamhook
{

/// Named counters and gauges of one program, served by GET /metrics. Not thread-safe: each program runs on one thread.
class counters
{
public:
    /// Adds to a counter, which starts at 0. The name is in Prometheus style and includes the labels, as in requests_total{outcome="answered"}.
    void add(std::string_view name, std::int64_t amount = 1);

    /// Sets a gauge.
    void set(std::string_view name, std::int64_t value);

    /// Returns the value, or 0 when no counter or gauge has this name.
    std::int64_t value(std::string_view name) const;

    /// Returns all values in the Prometheus text format, sorted by name and with the prefix balsam_.
    std::string text() const;

private:
    std::map<std::string, std::int64_t, std::less<>> m_values;
};

} // namespace balsamhook
