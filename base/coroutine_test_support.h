#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>

namespace balsamhook
{

/// Runs a coroutine to completion on the context. Returns false when it is still running after 20 s; the limit is long enough that the result of a
/// test doesn't depend on the load of the machine. Rethrows an exception of the coroutine.
inline bool runToEnd(boost::asio::io_context &context, boost::asio::awaitable<void> task)
{
    constexpr std::chrono::seconds Timeout{20};
    bool done = false;
    context.restart();
    boost::asio::co_spawn(context, std::move(task), [&](std::exception_ptr failed) {
        done = true;
        context.stop();
        if (failed) {
            std::rethrow_exception(failed);
        }
    });
    context.run_for(Timeout);
    return done;
}

} // namespace balsamhook
