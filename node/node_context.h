#pragma once

#include "base/base.h"
#include "http/http.h"
#include "node/crash_tracker.h"
#include "node/target_limits.h"
#include "platform/platform.h"
#include "routing/routing.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <random>

namespace balsamhook
{

/// Part of the machine's memory for the responses that are received at one time: buffers grow by doubling and a response is copied twice on its way to the
/// caller.
constexpr std::size_t ResponseMemoryDivisor = 16;

/// State shared by all tasks of the process. Not thread-safe: all tasks run on the one thread of the io_context.
struct node_context
{
    using clock = std::chrono::steady_clock;

    boost::asio::io_context &io;
    timer_queue &timers;
    event_log &log;
    counters &metrics;
    platform_settings &settings;
    retry_budget budget;
    crash_tracker crashes{log, metrics};
    target_limits limits{log, metrics, settings.instance};
    target_notices notices;
    data_centre_monitor dataCentres;
    response_memory responses{settings.memoryBytes / ResponseMemoryDivisor}; ///< Of targets.
    response_memory storeResponses{settings.memoryBytes / ResponseMemoryDivisor}; ///< Of the store, and of other instances.
    std::mt19937 random{std::random_device{}()};

    /// Returns a uniformly distributed random number in [0, 1).
    double draw()
    {
        return std::uniform_real_distribution<double>(0, 1)(random);
    }
};

/// Suspends the calling coroutine for the given time.
inline boost::asio::awaitable<void> sleepFor(boost::asio::io_context &io, std::chrono::milliseconds time)
{
    boost::asio::steady_timer timer(io, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

} // namespace balsamhook
