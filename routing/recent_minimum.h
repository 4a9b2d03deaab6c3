#pragma once

#include <chrono>

namespace balsamhook
{

/// Minimum of the values of the current and the previous period of 30 s: follows a lasting increase within a minute and a decrease at once. Not thread-safe.
class recent_minimum
{
public:
    using clock = std::chrono::steady_clock;

    void add(double value, clock::time_point now);

    bool isEmpty() const;

    /// Precondition: not empty.
    double value() const;

private:
    double m_current = 0; ///< Of the current period; valid once m_periodEndsAt is set.
    double m_previous = 0; ///< Of the previous period.
    clock::time_point m_periodEndsAt{};
};

} // namespace balsamhook
