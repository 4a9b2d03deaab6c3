#pragma once

#include "base/base.h"
#include "http/http.h"
#include "node/crash_tracker.h"
#include "node/target_limits.h"
#include "platform/platform.h"
#include "routing/routing.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <random>

namespace balsamhook
{

/// Parts of the machine's memory, as divisors. While a buffer grows, it takes up to half as much again. What is left is for the program, the catalogue, the
/// connections to targets, and the pages of the store once they are parsed.
constexpr std::size_t ConnectionMemoryDivisor = 3; ///< What connections of callers and of others from outside hold.
constexpr std::size_t ResponseMemoryDivisor = 5; ///< Responses of targets that are received or merged.
constexpr std::size_t StoreMemoryDivisor = 16; ///< Responses of the store, and of other instances.

/// Limits of the connections from outside, on all ports together, for a machine.
inline connection_account::limits connectionLimits(const platform_settings &settings)
{
    constexpr std::size_t FileDescriptors = 200;
    constexpr std::size_t MaxOutgoingDescriptors = 800; // For targets, the store and other instances.
    constexpr std::size_t OutgoingDivisor = 5;
    constexpr std::size_t MinConnections = 16;
    const std::size_t reserved = FileDescriptors + std::min(MaxOutgoingDescriptors, settings.descriptors / OutgoingDivisor);
    return {settings.memoryBytes / ConnectionMemoryDivisor, std::max(MinConnections, settings.descriptors - std::min(settings.descriptors, reserved))};
}

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
    response_memory storeResponses{settings.memoryBytes / StoreMemoryDivisor}; ///< Of the store, and of other instances.
    connection_account connections{connectionLimits(settings)}; ///< From outside, on all ports.
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
