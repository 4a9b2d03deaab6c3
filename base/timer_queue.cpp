#include "base/timer_queue.h"

#include <vector>

namespace balsamhook
{

timer_queue::timer_queue(boost::asio::io_context &context)
    : m_timer(context)
{
}

timer_queue::handle timer_queue::start(clock::time_point due, std::function<void()> action)
{
    const handle id = m_next++;
    m_byHandle.emplace(id, m_entries.emplace(due, entry{id, std::move(action)}));
    arm();
    return id;
}

void timer_queue::stop(handle timer)
{
    const auto found = m_byHandle.find(timer);
    if (found == m_byHandle.end()) {
        return;
    }
    m_entries.erase(found->second);
    m_byHandle.erase(found);
}

void timer_queue::arm()
{
    // stop() doesn't rearm the event loop's timer: a wake-up without a due timer costs less than a system call for each stop.
    if (m_entries.empty() || m_entries.begin()->first >= m_armedFor) {
        return;
    }
    m_armedFor = m_entries.begin()->first;
    m_timer.expires_at(m_armedFor);
    m_timer.async_wait([this](const boost::system::error_code &failed) {
        if (failed) {
            return;
        }
        m_armedFor = clock::time_point::max();
        runDue();
        arm();
    });
}

void timer_queue::runDue()
{
    const auto now = clock::now();
    std::vector<std::function<void()>> due;
    while (!m_entries.empty() && m_entries.begin()->first <= now) {
        const auto first = m_entries.begin();
        m_byHandle.erase(first->second.id);
        due.push_back(std::move(first->second.action));
        m_entries.erase(first);
    }
    for (const auto &action : due) {
        action();
    }
}

} // namespace balsamhook
