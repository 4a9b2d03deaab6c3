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

/// The targets by service, with their connections. Not thread-safe.
class target_pool
{
public:
    explicit target_pool(node_context &context);

    /// Takes over a registration.
    void update(const target_catalogue::record &known, bool hasRestarted);

    void remove(const std::string &id);

    /// Data centres that get no requests.
    void setEvacuated(std::set<std::string> dataCentres);

    /// The configuration that names the connection limits, and the instances that share them.
    void setLimits(std::shared_ptr<const routing_configuration> configuration, unsigned instances);

    /// The instances that run requests; decides which one sends to a cold target. An instance that is cut off from the others and from the store can't
    /// know that, and sends to none.
    void setSenders(std::set<std::string> senders, bool isCutOff);

    /// Targets of a service that may get requests now: ready, and in a data centre that takes work.
    std::vector<target_link_ptr> usable(const std::string &service) const;

    /// True when a usable target of the service is available now or before the given time.
    bool hasAvailable(const std::string &service, std::chrono::steady_clock::time_point now, std::chrono::steady_clock::time_point before) const;

    /// When a target of the service that can be reached is expected to be available: now, after a pause that follows its failures, or once targets have
    /// registered again.
    std::chrono::steady_clock::time_point expectedAvailable(const std::string &service, std::chrono::steady_clock::time_point now) const;

    /// The registrations were read after the store had been away: targets whose entries expired meanwhile register again by the given time.
    void expectRegistrations(std::chrono::steady_clock::time_point before);

    /// Fills in what the choice of a replica needs.
    replica_view view(target_link &link, std::chrono::steady_clock::time_point now) const;

    /// The views of all links for one request, for chooseReplica().
    std::vector<replica_view> views(const std::vector<target_link_ptr> &links, const asked_targets &asked, std::chrono::steady_clock::time_point now) const;

    target_attempt_ptr send(const target_link_ptr &link, attempt_order order, target_attempt::handler done);

    /// Ready targets in each data centre.
    std::map<std::string, std::size_t> targetsOfDataCentre() const;

    /// All registered targets by id.
    const std::unordered_map<std::string, target_link_ptr> &all() const;

    std::size_t size() const;

private:
    unsigned connectionLimit(const target_link &link, std::chrono::steady_clock::time_point now) const;
    std::chrono::milliseconds warmupLeft(const target_link &link, std::chrono::steady_clock::time_point now) const;
    double coldRate(const target_link &link, std::chrono::steady_clock::time_point now) const;
    bool isColdLimitReached(target_link &link, std::chrono::steady_clock::time_point now) const;
    bool isUsable(const target_link &link) const;
    std::optional<std::chrono::steady_clock::time_point> firstAvailable(const std::string &service, std::chrono::steady_clock::time_point now) const;
    void closeIdle(target_link &link);
    void detach(const target_link_ptr &link);

    node_context &m_context;
    std::unordered_map<std::string, target_link_ptr> m_byId;
    std::unordered_map<std::string, std::vector<target_link_ptr>> m_byService;
    std::set<std::string> m_evacuated;
    std::chrono::steady_clock::time_point m_registrationsDue{};
    std::shared_ptr<const routing_configuration> m_configuration;
    unsigned m_instances = 1;
    std::chrono::steady_clock::time_point m_startedAt = std::chrono::steady_clock::now();
    std::set<std::string> m_senders;
    bool m_isCutOff = false;
};

} // namespace balsamhook
