#pragma once

#include "base/base.h"
#include "node/crash_watch.h"
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

/// What all tasks of the process share. All of them run on the one thread of the io_context.
struct node_context
{
    using clock = std::chrono::steady_clock;

    boost::asio::io_context &io;
    timer_queue &timers;
    event_log &log;
    counters &numbers;
    platform_settings &settings;
    retry_budget budget;
    crash_watch crashes{log, numbers};
    data_centre_monitor reach;
    std::mt19937 random{std::random_device{}()};

    /// Returns a number in 0 to 1.
    double draw()
    {
        return std::uniform_real_distribution<double>(0, 1)(random);
    }
};

/// Waits in a coroutine.
inline boost::asio::awaitable<void> sleepFor(boost::asio::io_context &io, std::chrono::milliseconds time)
{
    boost::asio::steady_timer timer(io, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

} // namespace balsamhook
