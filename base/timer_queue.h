#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>

namespace balsamhook
{

/// Many one-shot timers on one timer of the event loop, so that starting and stopping one costs no system call in most cases.
/// Not thread-safe: all calls come from the thread of the io_context.
class timer_queue
{
public:
    using clock = std::chrono::steady_clock;
    using handle = std::uint64_t;

    /// Precondition: context outlives the queue.
    explicit timer_queue(boost::asio::io_context &context);

    /// Runs the action once at the given time or soon after. Never runs it inside this call.
    handle start(clock::time_point due, std::function<void()> action);

    /// Stops a timer; does nothing when it has run or was stopped before. Timers that are due run in batches: a timer in the current batch can't be
    /// stopped any more.
    void stop(handle timer);

private:
    struct entry
    {
        handle id = 0;
        std::function<void()> action;
    };

    void arm();
    void runDue();

    boost::asio::steady_timer m_timer;
    std::multimap<clock::time_point, entry> m_entries;
    std::map<handle, std::multimap<clock::time_point, entry>::iterator> m_byHandle;
    clock::time_point m_armedFor = clock::time_point::max();
    handle m_next = 1;
};

} // namespace balsamhook
