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

/// A command that is claimed before it runs.
struct claimed_command
{
    std::string service;
    std::string key;
    std::chrono::milliseconds expiresAt{0}; ///< Unix time
    boot_clock::time_point deadline;
    std::function<void(std::uint64_t id)> run; ///< Called at most once, when the claim is in the store; calls claim_task::ended() once.
    std::function<void(const end_command &)> end; ///< Called exactly once, possibly before submit() returns.
};

/// Carries out the reads and writes of a claim ledger. Not thread-safe: all calls come from the thread of its io_context.
class claim_task : public std::enable_shared_from_this<claim_task>
{
public:
    /// Precondition: context, store and numbers outlive the task.
    claim_task(boost::asio::io_context &context, object_store &store, claim_limits limits, counters &numbers);

    /// Starts the periodic work. Precondition: called once.
    void start();
    void stop();

    void submit(claimed_command command);

    /// Ends a command that run was called for. NotRun says that the target surely didn't start it.
    void ended(std::uint64_t id, outcome how, refusal_reason reason, std::string result);

    /// Commands that aren't answered, or whose outcome isn't recorded yet.
    std::size_t size() const;

private:
    void perform(const claim_ledger::actions &actions);
    void endCommand(const end_command &ended);

    static boost::asio::awaitable<void> advancePeriodically(std::shared_ptr<claim_task> self);
    static boost::asio::awaitable<void> read(std::shared_ptr<claim_task> self, std::string object);
    static boost::asio::awaitable<void> write(std::shared_ptr<claim_task> self, write_claims wanted);

    boost::asio::io_context &m_context;
    object_store &m_store;
    counters &m_numbers;
    claim_ledger m_ledger;
    std::map<std::uint64_t, claimed_command> m_commands; ///< Those that haven't been answered.
    std::uint64_t m_nextId = 0;
    boost::asio::steady_timer m_timer;
    bool m_stopped = false;
};

} // namespace balsamhook
