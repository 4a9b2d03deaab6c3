#pragma once

#include "catalogue/catalogue.h"
#include "http/http.h"
#include "node/node_context.h"
#include "node/outgoing_request.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamhook
{

/// What this instance holds of one target: its registration, what it learned about it, and its connections.
struct target_link
{
    registered_target target;
    bool isLapsed = false;
    bool isRemoved = false; ///< Gets no requests any more.
    target_health health;
    cold_bound coldBound;
    std::vector<std::shared_ptr<target_connection>> idle;
    unsigned connections = 0; ///< Open or being opened.
    std::chrono::steady_clock::time_point noNewConnectionsUntil{}; ///< While others are open.
    std::chrono::steady_clock::time_point learnedAt{}; ///< When the registration was read.
};

using target_link_ptr = std::shared_ptr<target_link>;

enum class attempt_outcome : std::uint8_t {
    Success, ///< A complete, signed answer with status 2xx.
    TargetFailure, ///< The target ran the request and answered with another status.
    NotRun, ///< The target said that it did not run the request.
    Unreachable, ///< Nothing was sent.
    Lost, ///< Sent; the connection ended or the response can't be used. It may have run.
};

std::string_view nameOf(attempt_outcome outcome);

/// True when the target may have run the request.
bool mayHaveRun(attempt_outcome outcome);

struct attempt_result
{
    attempt_outcome outcome = attempt_outcome::Unreachable;
    http_message response; ///< Valid for Success, TargetFailure and NotRun.
    std::chrono::microseconds duration{0};
};

/// The targets that one request, or one shard of it, was sent to.
struct asked_targets
{
    std::vector<std::string> tried; ///< May have run it, or can't.
    std::vector<std::string> refused; ///< Did not run it and may be asked again.

    /// Takes over the outcome of an attempt that went to a target in tried.
    void onOutcome(const std::string &targetId, const attempt_result &result);

    std::size_t sends() const;

    /// The target that was asked last; empty when none was.
    std::string last() const;
};

/// What is sent with one attempt.
struct attempt_order
{
    std::shared_ptr<const outgoing_request> request;
    std::chrono::steady_clock::time_point deadline; ///< Handed on to the target as the time left.
    std::chrono::microseconds typical{0}; ///< Usual latency of such a request, for the target's health.
    bool mayRepeat = true; ///< False: only a connection that was used a moment ago, or a new one, is good enough.
};

/// One send of a request to one target. Ends with its handler, or with abandon().
class target_attempt : public std::enable_shared_from_this<target_attempt>
{
public:
    using handler = std::function<void(attempt_result)>;

    target_attempt(node_context &context, target_link_ptr link, attempt_order order, handler done);

    void start();

    /// Nobody waits for the answer any more. When the caller has left, the connection is closed so that the target stops; else the target may finish
    /// until the deadline that it was given, and its connection is kept.
    void abandon(bool callerLeft);

    const target_link &link() const;
    bool wasSent() const;

private:
    std::shared_ptr<target_connection> takeIdle(std::chrono::steady_clock::time_point now);
    void openConnection();
    void failToOpen();
    void send(std::shared_ptr<target_connection> connection, bool isReused);
    void onExchanged(exchange_result exchanged);
    attempt_outcome classify(const exchange_result &exchanged) const;
    void updateHealth(attempt_outcome outcome, const exchange_result &exchanged, std::chrono::steady_clock::time_point now);
    void release(bool keep);
    void finish(attempt_result result);

    node_context &m_context;
    target_link_ptr m_link;
    attempt_order m_order;
    handler m_done;
    std::shared_ptr<target_connection> m_connection;
    timer_queue::handle m_timer = 0;
    std::chrono::steady_clock::time_point m_startedAt{};
    bool m_isReused = false;
    bool m_wasSent = false;
    bool m_isOver = false;
};

using target_attempt_ptr = std::shared_ptr<target_attempt>;

/// Opens a connection to a target and keeps it for later requests. The handler is called once.
void openKeptConnection(node_context &context, const target_link_ptr &link, std::chrono::milliseconds timeout, std::function<void(bool isOpen)> done);

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
    unsigned connectionLimit(const target_link &link) const;
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
