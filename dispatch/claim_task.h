#pragma once

#include "base/base.h"
#include "dispatch/claim_ledger.h"
#include "platform/object_store.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace balsamhook
{

/// A command that is claimed in the store before it is sent.
struct claimed_command
{
    std::string service;
    std::string key;
    std::chrono::milliseconds expiresAt{0}; ///< Unix time
    boot_clock::time_point deadline;
    std::function<void(std::uint64_t id)> onClaimed; ///< Called at most once, when the claim is stored. Must lead to one call of claim_task::finish().
    std::function<void(const end_command &)> onEnded; ///< Called exactly once, possibly before submit() returns.
};

/// Performs the reads and writes of a claim ledger. Not thread-safe: all calls come from the thread of its io_context.
class claim_task : public std::enable_shared_from_this<claim_task>
{
public:
    /// Precondition: context, store and metrics outlive the task.
    claim_task(boost::asio::io_context &context, object_store &store, claim_limits limits, counters &metrics);

    /// Starts the periodic work. Precondition: called once.
    void start();
    void stop();

    void submit(claimed_command command);

    /// Records the outcome of a command for which onClaimed was called. NotRun means that the target definitely didn't start it.
    void finish(std::uint64_t id, outcome ended, refusal_reason reason, std::string result);

    /// Number of commands without a recorded outcome or a released claim.
    std::size_t size() const;

private:
    void perform(const claim_ledger::actions &actions);
    void endCommand(const end_command &ended);

    static boost::asio::awaitable<void> advancePeriodically(std::shared_ptr<claim_task> self);
    static boost::asio::awaitable<void> read(std::shared_ptr<claim_task> self, std::string object);
    static boost::asio::awaitable<void> write(std::shared_ptr<claim_task> self, write_claims request);

    boost::asio::io_context &m_context;
    object_store &m_store;
    counters &m_metrics;
    claim_ledger m_ledger;
    std::map<std::uint64_t, claimed_command> m_commands; ///< Commands without a response.
    std::uint64_t m_nextId = 0;
    boost::asio::steady_timer m_timer;
    bool m_stopped = false;
};

} // namespace balsamhook
