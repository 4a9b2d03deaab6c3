#pragma once

#include "node/node_context.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <set>

namespace balsamhook
{

/// Finds out whether the platform's store answers, with cheap stale reads: one a second while it does, many that overtake each other while it doesn't, so
/// that its return is seen at once although earlier calls still wait for answers that never come. Not thread-safe.
class store_probe
{
public:
    using clock = std::chrono::steady_clock;

    /// Called when the store answers again. Calls that began before the given time got lost; the start of the clock: none is known to be lost.
    using answered_handler = std::function<void(clock::time_point lostBefore)>;

    /// Precondition: context and store outlive the object.
    store_probe(node_context &context, metadata_store &store, answered_handler onAnswered);

    void start();

    /// While it is not active, nothing is read.
    void setActive(bool isActive);

    /// A call to the store failed.
    void suspect();

    /// True from a failed call, or a probe without an answer, until a probe is answered.
    bool isLost() const;

    /// True when it has been lost for longer than the given time.
    bool isLostFor(std::chrono::milliseconds time) const;

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> probe();
    void onAnswer(clock::time_point startedAt);
    void onFailure(clock::time_point startedAt);
    bool isOverdue(clock::time_point now) const;
    void setLost();

    node_context &m_context;
    metadata_store &m_store;
    answered_handler m_onAnswered;
    std::multiset<clock::time_point> m_pending; ///< Starts of the probes under way.
    clock::time_point m_lastStart{};
    clock::time_point m_lastAnsweredStart{}; ///< Start of the newest probe that was answered.
    bool m_isActive = false;
    bool m_isLost = false;
    clock::time_point m_lostAt{}; ///< Valid while lost.
    bool m_wereCallsLost = false; ///< A probe failed, so other calls may be waiting in vain.
};

} // namespace balsamhook
