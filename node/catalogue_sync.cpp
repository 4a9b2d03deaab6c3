#include "node/catalogue_sync.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace balsamhook
{

namespace asio = boost::asio;
using json = nlohmann::json;

namespace
{

constexpr std::chrono::milliseconds WatchTime{10000};
constexpr std::chrono::milliseconds ProbeWatchTime{1};
/// After a change the next watch waits this long, so that a burst of changes costs few calls.
constexpr std::chrono::milliseconds ChangePause{150};
constexpr std::chrono::milliseconds FirstRetry{100};
constexpr std::chrono::milliseconds LongestRetry{400};
/// A call that went into a silent store is given up early, so that the next one finds the store soon after it is back; a slow store gets more time
/// with each failure.
constexpr std::chrono::milliseconds ShortestListTimeout{400};
constexpr std::chrono::milliseconds LongestListTimeout{2500};
constexpr std::chrono::milliseconds LookForNeed{25};
constexpr std::chrono::milliseconds ExpireInterval{250};
/// A store that failed for this long is replaced by another instance's knowledge.
constexpr std::chrono::milliseconds AskPeersAfter{400};
constexpr std::chrono::milliseconds AskPeersInterval{700};
constexpr std::chrono::milliseconds PeerTimeout{600};
/// While the store doesn't answer probes, calls that are charged in full are tried this rarely: what it refuses to one kind of call it may grant another.
constexpr std::chrono::milliseconds LostRetry{1000};
/// Calls that end this soon after they were dropped here say nothing about the store.
constexpr std::chrono::milliseconds DropTime{50};

/// What was asked before a change of need is not used.
error outdated()
{
    return error{error_code::Closed, error_step::Store, {}, "no longer needed"};
}

} // namespace

catalogue_sync::catalogue_sync(node_context &context, metadata_store &store, handlers callbacks)
    : m_context(context)
    , m_store(store)
    , m_handlers(std::move(callbacks))
    , m_configurationKind(context.io, platform_kind::Configuration)
    , m_targetKind(context.io, platform_kind::Targets)
    , m_evacuationKind(context.io, platform_kind::Evacuations)
    , m_probe(context, store, [this](clock::time_point lostBefore) { onStoreAnswered(lostBefore); })
{
}

void catalogue_sync::start()
{
    for (followed_kind *kind : {&m_configurationKind, &m_targetKind, &m_evacuationKind}) {
        kind->lostAt = clock::now();
        asio::co_spawn(m_context.io, follow(*kind), asio::detached);
    }
    asio::co_spawn(m_context.io, askPeers(), asio::detached);
    m_probe.start();
    expireTargets();
}

void catalogue_sync::setNeeded(bool isNeeded)
{
    if (m_isNeeded == isNeeded) {
        return;
    }
    m_isNeeded = isNeeded;
    ++m_period;
    m_hasTargets = false;
    for (followed_kind *kind : {&m_configurationKind, &m_targetKind, &m_evacuationKind}) {
        kind->isListed = false;
        kind->lostAt = clock::now();
    }
    m_probe.setActive(isNeeded);
    dropCalls(clock::now());
    if (!isNeeded) {
        forget();
    }
    m_context.log.write(event_class::Belief, event_line("catalogue", isNeeded ? "follow" : "rest").add("version", m_version), clock::now());
}

void catalogue_sync::forget()
{
    // What isn't followed any more must not be used when a request comes later.
    m_isPublished = false;
    m_handlers.onConfiguration(nullptr);
    for (const std::string &id : m_targets.clear()) {
        m_handlers.onTargetRemoved(id);
    }
    m_targetRecords.clear();
}

bool catalogue_sync::isReady() const
{
    return m_isNeeded && m_isPublished && m_hasTargets;
}

asio::awaitable<void> catalogue_sync::follow(followed_kind &kind)
{
    std::chrono::milliseconds pause = FirstRetry;
    while (true) {
        if (!m_isNeeded) {
            co_await sleepFor(m_context.io, LookForNeed);
            continue;
        }
        result<void> outcome = success();
        if (kind.isListed) {
            outcome = co_await watchOnce(kind);
        } else {
            outcome = co_await readList(kind);
        }
        // A call that was dropped here says nothing about the store.
        const bool wasDropped = !outcome && outcome.error().code == error_code::Closed && clock::now() - m_callsDroppedAt < DropTime;
        if (wasDropped) {
            continue;
        }
        noteResult(kind, outcome);
        if (outcome) {
            pause = FirstRetry;
            continue;
        }
        if (outcome.error().code == error_code::NotFound) {
            kind.isListed = false;
            continue;
        }
        m_probe.suspect();
        co_await waitAfterFailure(kind, pause);
        pause = std::min(pause * 2, LongestRetry);
    }
}

asio::awaitable<void> catalogue_sync::waitAfterFailure(followed_kind &kind, std::chrono::milliseconds pause)
{
    co_await sleepFor(m_context.io, pause);
    if (!m_probe.isLost()) {
        co_return;
    }
    boost::system::error_code ignored;
    kind.retry.expires_after(LostRetry - pause);
    co_await kind.retry.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void catalogue_sync::onStoreAnswered(clock::time_point lostBefore)
{
    if (lostBefore != clock::time_point{}) {
        m_context.log.write(event_class::Belief, event_line("catalogue", "watches_renewed").add("why", "store answers again"), clock::now());
        dropCalls(lostBefore);
    }
    for (followed_kind *kind : {&m_configurationKind, &m_targetKind, &m_evacuationKind}) {
        kind->retry.cancel();
    }
}

void catalogue_sync::dropCalls(clock::time_point begunBefore)
{
    m_callsDroppedAt = clock::now();
    m_store.cancelCalls(begunBefore);
}

void catalogue_sync::noteResult(followed_kind &kind, const result<void> &outcome)
{
    const auto now = clock::now();
    if (outcome) {
        kind.listTimeout = ShortestListTimeout;
        if (!kind.isReachable) {
            m_context.log.write(event_class::Belief,
                                event_line("catalogue", "store_regained")
                                    .add("kind", kind.kind)
                                    .add("lost_ms", std::chrono::duration_cast<std::chrono::microseconds>(now - kind.lostAt))
                                    .add("revision", kind.revision),
                                now);
        }
        if (&kind == &m_targetKind && !kind.isReachable) {
            m_handlers.onTargetsRegained();
        }
        kind.isReachable = true;
        return;
    }
    if (outcome.error().code == error_code::NotFound) {
        m_context.log.write(event_class::Belief, event_line("catalogue", "history_gone").add("kind", kind.kind).add("revision", kind.revision), now);
        return;
    }
    if (outcome.error().code == error_code::Timeout) {
        kind.listTimeout = std::min(std::max(kind.listTimeout, ShortestListTimeout) * 3 / 2, LongestListTimeout);
    }
    if (kind.isReachable) {
        kind.lostAt = now;
        m_context.log.write(event_class::Belief,
                            event_line("catalogue", "store_lost").add("kind", kind.kind).add("why", describe(outcome.error())).add("revision", kind.revision),
                            now);
    }
    kind.isReachable = false;
}

asio::awaitable<result<void>> catalogue_sync::readList(followed_kind &kind)
{
    std::set<std::string> present;
    std::string after;
    std::uint64_t revision = 0;
    const unsigned period = m_period;
    while (true) {
        const auto page = co_await m_store.list(kind.kind, after, read_mode::Current, std::max(kind.listTimeout, ShortestListTimeout));
        if (period != m_period) {
            co_return outdated();
        }
        if (!page) {
            co_return page.error();
        }
        // Changes made while the pages are read come again with the watch, which starts at the first page.
        revision = revision == 0 ? page.value().revision : revision;
        for (const store_object &object : page.value().objects) {
            after = object.name;
            present.insert(object.name);
            apply(kind.kind, object, false);
        }
        if (!page.value().hasMore || page.value().objects.empty()) {
            break;
        }
    }
    retain(kind.kind, present);
    kind.revision = revision;
    kind.isListed = true;
    co_return success();
}

asio::awaitable<result<void>> catalogue_sync::watchOnce(followed_kind &kind)
{
    // After a failure a short watch tells at once that the store is back; a long one would tell when something changes.
    const unsigned period = m_period;
    const auto batch = co_await m_store.watch(kind.kind, kind.revision, kind.isReachable ? WatchTime : ProbeWatchTime);
    if (period != m_period) {
        co_return outdated();
    }
    if (!batch) {
        co_return batch.error();
    }
    for (const object_change &change : batch.value().changes) {
        apply(kind.kind, change.object, change.isDeleted);
    }
    kind.revision = std::max(kind.revision, batch.value().revision);
    if (!batch.value().changes.empty()) {
        co_await sleepFor(m_context.io, ChangePause);
    }
    co_return success();
}

void catalogue_sync::apply(const std::string &kind, const store_object &object, bool isDeleted)
{
    if (kind == platform_kind::Configuration) {
        if (object.name == ConfigurationObject && !isDeleted) {
            applyConfiguration(object.spec, "store");
        }
        return;
    }
    if (kind == platform_kind::Targets) {
        if (isDeleted) {
            lapseTarget(object.name);
        } else {
            applyTarget(object.name, object.spec);
        }
        return;
    }
    std::set<std::string> evacuations = m_evacuations;
    if (isDeleted) {
        evacuations.erase(object.name);
    } else {
        evacuations.insert(object.name);
    }
    applyEvacuations(std::move(evacuations));
}

void catalogue_sync::retain(const std::string &kind, const std::set<std::string> &present)
{
    if (kind == platform_kind::Evacuations) {
        applyEvacuations(present);
        return;
    }
    if (kind != platform_kind::Targets) {
        return;
    }
    m_hasTargets = true;
    for (const auto &[id, known] : m_targets.records()) {
        if (present.count(id) == 0) {
            m_targetRecords.erase(id);
        }
    }
    for (const std::string &id : m_targets.retain(present, clock::now())) {
        if (const auto *known = m_targets.find(id)) {
            m_handlers.onTarget(*known, false);
        } else {
            m_handlers.onTargetRemoved(id);
        }
    }
}

void catalogue_sync::applyConfiguration(const json &spec, std::string_view source)
{
    const auto decoded = decodeConfiguration(spec);
    const auto now = clock::now();
    if (!decoded) {
        m_context.log.write(event_class::Belief, event_line("catalogue", "configuration_unreadable").add("why", describe(decoded.error())), now);
        return;
    }
    const std::uint64_t version = decoded.value()->version();
    // A late message must not bring back an older version.
    if (version < m_version || (version == m_version && m_isPublished)) {
        return;
    }
    m_context.log.write(event_class::Belief,
                        event_line("catalogue", "configuration_applied")
                            .add("version", version)
                            .add("previous", m_version)
                            .add("routes", static_cast<std::uint64_t>(decoded.value()->routes().size()))
                            .add("source", source),
                        now);
    m_version = version;
    m_isPublished = true;
    m_configurationRecord = spec;
    m_handlers.onConfiguration(decoded.value());
}

void catalogue_sync::applyTarget(const std::string &id, const json &spec)
{
    const auto now = clock::now();
    const auto decoded = decodeTarget(id, spec);
    if (!decoded) {
        if (m_unreadable.insert(id).second) {
            m_context.log.write(event_class::Belief, event_line("catalogue", "target_unreadable").add("target", id).add("why", describe(decoded.error())), now);
        }
        lapseTarget(id);
        return;
    }
    const target_catalogue::change change = m_targets.apply(decoded.value(), now);
    if (change == target_catalogue::change::None) {
        return;
    }
    m_targetRecords[id] = spec;
    m_handlers.onTarget(*m_targets.find(id), change == target_catalogue::change::Restarted);
    const registered_target &target = decoded.value();
    m_context.log.write(event_class::Belief,
                        event_line("catalogue", change == target_catalogue::change::Added ? "target_added" : "target_updated")
                            .add("target", id)
                            .add("service", target.service)
                            .add("address", describe(target.address))
                            .add("draining", target.condition == target_condition::Draining)
                            .add("warmup_ms", target.warmupLeft.count())
                            .add("heartbeat", target.heartbeat),
                        now);
}

void catalogue_sync::lapseTarget(const std::string &id)
{
    const auto now = clock::now();
    m_targetRecords.erase(id);
    const target_catalogue::change change = m_targets.lapse(id, now);
    if (change == target_catalogue::change::None) {
        return;
    }
    m_context.log.write(event_class::Belief, event_line("catalogue", "target_lapsed").add("target", id), now);
    if (change == target_catalogue::change::Removed) {
        m_handlers.onTargetRemoved(id);
    } else {
        m_handlers.onTarget(*m_targets.find(id), false);
    }
}

void catalogue_sync::expireTargets()
{
    const auto now = clock::now();
    for (const std::string &id : m_targets.expire(now)) {
        m_context.log.write(event_class::Belief, event_line("catalogue", "target_removed").add("target", id), now);
        m_handlers.onTargetRemoved(id);
    }
    m_context.timers.start(now + ExpireInterval, [this] { expireTargets(); });
}

void catalogue_sync::applyEvacuations(std::set<std::string> dataCentres)
{
    if (dataCentres == m_evacuations) {
        return;
    }
    m_evacuations = std::move(dataCentres);
    std::string names;
    for (const std::string &name : m_evacuations) {
        names.append(names.empty() ? "" : ",").append(name);
    }
    m_context.log.write(event_class::Belief, event_line("catalogue", "evacuations").add("data_centres", names), clock::now());
    m_handlers.onEvacuations(m_evacuations);
}

bool catalogue_sync::isStoreReached() const
{
    return m_isNeeded && !isStoreLost();
}

bool catalogue_sync::isStoreLost() const
{
    const auto now = clock::now();
    const auto isLost = [now](const followed_kind &kind) { return !kind.isReachable && now - kind.lostAt > AskPeersAfter; };
    return m_probe.isLostFor(AskPeersAfter) || isLost(m_configurationKind) || isLost(m_targetKind) || isLost(m_evacuationKind);
}

asio::awaitable<void> catalogue_sync::askPeers()
{
    while (true) {
        co_await sleepFor(m_context.io, AskPeersInterval);
        if (!m_isNeeded || !isStoreLost()) {
            continue;
        }
        for (const endpoint &peer : m_handlers.peers()) {
            if (co_await askPeer(peer)) {
                break;
            }
        }
    }
}

asio::awaitable<bool> catalogue_sync::askPeer(endpoint peer)
{
    http_request request;
    request.path = "/internal/catalogue";
    request.query["version"] = std::to_string(m_version);
    const unsigned period = m_period;
    const auto answered = co_await fetch(peer, {}, std::move(request), PeerTimeout);
    constexpr unsigned Ok = 200;
    if (period != m_period || !answered || answered.value().status != Ok) {
        co_return false;
    }
    const json body = json::parse(answered.value().body, nullptr, false);
    if (!body.is_object()) {
        co_return false;
    }
    if (body.contains("configuration")) {
        applyConfiguration(body["configuration"], "peer");
    }
    std::set<std::string> present;
    // Named, because the loop below only refers to it.
    const json targets = body.value("targets", json::object());
    for (const auto &[id, spec] : targets.items()) {
        present.insert(id);
        applyTarget(id, spec);
    }
    retain(platform_kind::Targets, present);
    applyEvacuations(body.value("evacuations", std::set<std::string>()));
    m_context.numbers.add("catalogue_from_peer_total");
    co_return true;
}

std::string catalogue_sync::snapshot(std::uint64_t knownVersion) const
{
    // Only what comes from the store itself is passed on, so that two instances don't keep old knowledge alive for each other.
    if (isStoreLost() || !isReady()) {
        return {};
    }
    json body{{"targets", m_targetRecords}, {"evacuations", m_evacuations}};
    if (m_version > knownVersion) {
        body["configuration"] = m_configurationRecord;
    }
    return body.dump();
}

} // namespace balsamhook
