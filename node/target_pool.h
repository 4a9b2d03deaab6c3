#pragma once

#include "node/target_attempt.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamhook
{

/// All registered targets, by id and by service, with their connections. Not thread-safe.
class target_pool
{
public:
    /// Precondition: context outlives the pool.
    explicit target_pool(node_context &context);

    /// Adds a target or updates its registration. A restarted target gets a new link: its health and connections start anew.
    void update(const target_catalogue::record &record, bool hasRestarted);

    void remove(const std::string &id);

    /// Sets the data centres whose targets get no requests.
    void setEvacuated(std::set<std::string> dataCentres);

    /// Sets the configuration with the connection limits of services, and the number of senders that share these limits.
    void setLimits(std::shared_ptr<const routing_configuration> configuration, unsigned senderCount);

    /// Sets the senders. Only the sender that ranks first for a cold target sends to it. An instance that is partitioned from its peers and from the store
    /// has no reliable list of senders and sends to no cold target.
    void setSenders(std::set<std::string> senders, bool isPartitioned);

    /// Returns the targets of a service that are ready and not in an evacuated data centre.
    std::vector<target_link_ptr> usable(const std::string &service) const;

    /// True when the service's targets together may get at least this many more requests at once, within the limits of requests in flight and connections.
    bool hasRoomFor(unsigned requests, const std::string &service, std::chrono::steady_clock::time_point now) const;

    /// True when a usable target of the service, in a reachable data centre, is available now or before the given time, and its request limit permits a
    /// request of this instance by then.
    bool hasAvailable(const std::string &service, std::chrono::steady_clock::time_point now, std::chrono::steady_clock::time_point before) const;

    /// True when the service has a usable target in a reachable data centre, now or after a backoff.
    bool isReachable(const std::string &service, std::chrono::steady_clock::time_point now) const;

    /// Records that this instance has a request for the service, for its share of the targets' request limits.
    void onWanted(const std::string &service, std::chrono::steady_clock::time_point now);

    /// To be called when a request is refused because of the targets' request limits. Returns when a request that comes back finds room: each refused one
    /// gets a later time, as only one request can use it.
    std::chrono::steady_clock::time_point reserveLimited(const std::string &service, std::chrono::steady_clock::time_point now);

    /// Returns when a usable target of the service in a reachable data centre is expected to be available: now or at the end of its backoff. Without such
    /// a target, returns the time given to expectRegistrations() or, when that is past, the end of a fixed delay. Takes request limits and the requests
    /// refused because of them into account.
    std::chrono::steady_clock::time_point expectedAvailable(const std::string &service, std::chrono::steady_clock::time_point now) const;

    /// To be called after the registrations were read at the end of a store outage: targets whose entries expired meanwhile register again by the given time.
    void expectRegistrations(std::chrono::steady_clock::time_point before);

    /// Returns the properties of a target that chooseReplica() needs.
    replica_view view(target_link &link, std::chrono::steady_clock::time_point now) const;

    /// Returns the views of all links for one request, in the same order. A hedge uses only what targets' request limits leave over.
    std::vector<replica_view>
    views(const std::vector<target_link_ptr> &links, const attempted_targets &attempted, bool isHedge, std::chrono::steady_clock::time_point now) const;

    /// Starts an attempt. The handler is called at most once, from the event loop after send() has returned.
    target_attempt_ptr send(const target_link_ptr &link, attempt_options options, target_attempt::handler done);

    /// Number of usable targets in each data centre.
    std::map<std::string, std::size_t> targetsOfDataCentre() const;

    /// All registered targets by id.
    const std::unordered_map<std::string, target_link_ptr> &all() const;

    std::size_t size() const;

private:
    void setRoom(target_link &link) const;
    unsigned room(const target_link &link, unsigned most, std::chrono::steady_clock::time_point now) const;
    unsigned connectionLimit(const target_link &link, std::chrono::steady_clock::time_point now) const;
    std::chrono::milliseconds warmupLeft(const target_link &link, std::chrono::steady_clock::time_point now) const;
    double coldStartRate(const target_link &link, std::chrono::steady_clock::time_point now) const;
    bool isColdStartLimited(target_link &link, std::chrono::steady_clock::time_point now) const;
    bool isUsable(const target_link &link) const;
    /// Returns the earliest of the given times of the usable targets in reachable data centres; empty without such a target.
    template<typename time_of>
    std::optional<std::chrono::steady_clock::time_point> earliest(const std::string &service, time_of availableAt) const;

    /// When a target is available, without and with request limits.
    std::optional<std::chrono::steady_clock::time_point> earliestAvailable(const std::string &service, std::chrono::steady_clock::time_point now) const;
    std::optional<std::chrono::steady_clock::time_point> earliestPermitted(const std::string &service, std::chrono::steady_clock::time_point now) const;
    double limitedRate(const std::string &service) const;
    std::chrono::steady_clock::time_point permittedAt(const registered_target &target, bool isHedge) const;
    void detach(const target_link_ptr &link);

    node_context &m_context;
    std::unordered_map<std::string, target_link_ptr> m_byId;
    std::unordered_map<std::string, std::vector<target_link_ptr>> m_byService;
    std::set<std::string> m_evacuated;
    std::chrono::steady_clock::time_point m_registrationsDueAt{};
    std::shared_ptr<const routing_configuration> m_configuration;
    unsigned m_senderCount = 1;
    std::unordered_map<std::string, std::chrono::steady_clock::time_point> m_reservedUntil; ///< By service, for requests refused because of limits.
    std::chrono::steady_clock::time_point m_startedAt = std::chrono::steady_clock::now();
    std::set<std::string> m_senders;
    bool m_isPartitioned = false;
};

} // namespace balsamhook
