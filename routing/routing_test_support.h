#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <utility>

namespace balsamhook
{

/// Simulated time for tests that play a load: runs actions in the order of their times.
class event_play
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit event_play(time_point start)
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

    /// Runs until no action is left.
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
