#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <utility>

namespace balsamhook
{

/// Discrete-event simulation: runs scheduled actions in the order of their simulated times. Not thread-safe.
class event_simulator
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit event_simulator(time_point start)
        : m_now(start)
    {
    }

    time_point now() const
    {
        return m_now;
    }

    void schedule(time_point at, std::function<void()> action)
    {
        m_events.emplace(at, std::move(action));
    }

    /// Runs until no action is scheduled.
    void run()
    {
        while (!m_events.empty()) {
            const auto first = m_events.begin();
            m_now = first->first;
            const auto action = std::move(first->second);
            m_events.erase(first);
            action();
        }
    }

private:
    std::multimap<time_point, std::function<void()>> m_events;
    time_point m_now;
};

} // namespace balsamhook
