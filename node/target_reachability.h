#pragma once

#include "node/target_pool.h"

#include <chrono>
#include <memory>
#include <set>
#include <string>

namespace balsamhook
{

/// Detects data centres whose targets are unreachable from this instance, probes each of them with one connection at a time, and determines whether the
/// instance can still serve its routes. Not thread-safe.
class target_reachability
{
public:
    using clock = std::chrono::steady_clock;

    /// Precondition: context and pool outlive the object.
    target_reachability(node_context &context, target_pool &pool);

    /// Updates the state of the data centres and probes unreachable ones; to be called a few times per second. The configuration may be nullptr.
    void update(const routing_configuration *configuration, clock::time_point now);

    /// True while at least one route can't be served because of unreachable data centres; other instances may be able to serve it.
    bool isImpaired() const;

private:
    void updateDataCentres(clock::time_point now);
    void probeUnreachable();
    void probe(const target_link_ptr &link);
    bool canServe(const route &served, clock::time_point now) const;

    node_context &m_context;
    target_pool &m_pool;
    std::set<std::string> m_probing; ///< Data centres with a connection being opened.
    bool m_isImpaired = false;
};

} // namespace balsamhook
