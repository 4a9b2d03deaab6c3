#pragma once

#include "node/node_context.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <set>

namespace balsamhook
{

/// Detects outages and the recovery of the platform's store with cheap stale reads: one per second while the store is reachable, more frequent ones while
/// it is unreachable. Probes of an unreachable store overlap, so that the recovery is detected at once although earlier reads still wait for lost responses.
/// Not thread-safe.
class store_probe
{
public:
    using clock = std::chrono::steady_clock;

    struct handlers
    {
        /// The store responds again. Calls that began before the given time are taken to be lost; the clock's epoch means that none are.
        std::function<void(clock::time_point lostBefore)> onRecovered;
        std::function<void(const object_page &)> onResponse; ///< A probe succeeded; the page may be old.
    };

    /// Precondition: context and store outlive the object.
    store_probe(node_context &context, metadata_store &store, handlers callbacks);

    /// Precondition: called once; the object exists as long as the io_context runs.
    void start();

    /// While inactive, the store is not read. Activation makes it count as reachable.
    void setActive(bool isActive);

    /// Marks the store as unreachable after the failure of another call to it.
    void reportFailure();

    /// True from a failed call or an overdue or failed probe until a probe succeeds or the probing is activated again.
    bool isUnreachable() const;

    /// True when the store has been unreachable for longer than the given duration.
    bool isUnreachableFor(std::chrono::milliseconds duration) const;

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> probe();
    void onResponse(clock::time_point startedAt);
    void onFailure(clock::time_point startedAt);
    bool isOverdue(clock::time_point now) const;
    void markUnreachable();

    node_context &m_context;
    metadata_store &m_store;
    handlers m_handlers;
    std::multiset<clock::time_point> m_pending; ///< Start times of the probes in flight.
    clock::time_point m_lastStart{};
    clock::time_point m_lastRespondedStart{}; ///< Start time of the newest probe that succeeded.
    bool m_isActive = false;
    bool m_isUnreachable = false;
    clock::time_point m_unreachableSince{}; ///< Valid while unreachable.
    bool m_hasLostCalls = false; ///< A probe failed, so other calls may wait for responses that were lost.
};

} // namespace balsamhook
