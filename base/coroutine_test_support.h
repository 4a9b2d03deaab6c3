#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>

namespace balsamhook
{

/// Runs a coroutine to its end on the context, for at most 20 seconds: enough for a busy machine, so that the verdict doesn't depend on speed.
/// Returns false when the time ran out.
inline bool runToEnd(boost::asio::io_context &context, boost::asio::awaitable<void> task)
{
    constexpr std::chrono::seconds Limit{20};
    bool done = false;
    context.restart();
    boost::asio::co_spawn(context, std::move(task), [&](std::exception_ptr failed) {
        done = true;
        context.stop();
        if (failed) {
            std::rethrow_exception(failed);
        }
    });
    context.run_for(Limit);
    return done;
}

} // namespace balsamhook
