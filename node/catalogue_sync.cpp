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

constexpr std::chrono::milliseconds WatchTimeout{10000};
constexpr std::chrono::milliseconds ProbeWatchTimeout{1};
/// Delay between a watch that returned changes and the next one, so that a burst of changes costs few calls.
constexpr std::chrono::milliseconds ChangeDelay{150};
/// Delay before a list is read again because its answer couldn't be applied, so that a store whose answers disagree about the era costs few calls.
constexpr std::chrono::milliseconds RelistDelay{100};
constexpr std::chrono::milliseconds InitialRetryDelay{100};
constexpr std::chrono::milliseconds MaxRetryDelay{400};
/// List calls to a store that doesn't respond time out early, so that the next call soon detects its recovery. The timeout grows with each timed-out
/// call, so that a slow store can be read.
constexpr std::chrono::milliseconds MinListTimeout{400};
constexpr std::chrono::milliseconds MaxListTimeout{2500};
constexpr std::chrono::milliseconds ActivationPollInterval{25};
/// The catalogue is fetched from peers once the store has been failing for this long.
constexpr std::chrono::milliseconds PeerFallbackDelay{400};
constexpr std::chrono::milliseconds PeerFetchInterval{700};
constexpr std::chrono::milliseconds PeerTimeout{600};
/// Retry delay while the probe finds the store unreachable. Lists and watches cost more than probes, so they become rare; they don't stop, because the
/// store may refuse probes and still accept other calls.
constexpr std::chrono::milliseconds UnreachableRetryDelay{1000};
/// A call that ends with Closed this soon after dropCalls() is taken to have been dropped, which isn't a failure of the store.
constexpr std::chrono::milliseconds DropWindow{50};

/// Result of calls that began before the last setActive().
error inactiveError()
{
    return error{error_code::Closed, error_step::Store, {}, "catalogue sync was deactivated or reactivated during the call"};
}

/// Result of a watch whose changes are too large to be received at once: a list has pages.
error tooManyChangesError(const error &reason)
{
    return error{error_code::NotFound, error_step::Store, reason.peer, "the changes are too large for one response"};
}

} // namespace

catalogue_sync::catalogue_sync(node_context &context, metadata_store &store, handlers callbacks)
    : m_context(context)
    , m_store(store)
    , m_handlers(std::move(callbacks))
    , m_applied(context, m_handlers)
    , m_configurationKind(context.io, platform_kind::Configuration)
    , m_targetKind(context.io, platform_kind::Targets)
    , m_evacuationKind(context.io, platform_kind::Evacuations)
    , m_probe(context, store, probeHandlers())
{
}

store_probe::handlers catalogue_sync::probeHandlers()
{
    store_probe::handlers handlers;
    handlers.onRecovered = [this](clock::time_point lostBefore) { onStoreRecovered(lostBefore); };
    handlers.onResponse = [this](const object_page &page) { followEra(m_era.observeHint(page.era), "probe", page.revision); };
    return handlers;
}

void catalogue_sync::followEra(store_era::verdict verdict, std::string_view source, std::uint64_t revision)
{
    if (verdict == store_era::verdict::Outdated) {
        m_context.metrics.add("store_answers_of_earlier_eras_total");
    }
    if (m_era.followed() == m_loggedEra) {
        return;
    }
    if (verdict == store_era::verdict::Changed) {
        m_context.metrics.add("store_era_changes_total");
    }
    m_context.log.write(event_class::StateChange,
                        event_line("catalogue", verdict == store_era::verdict::Changed ? "store_era_changed" : "store_era")
                            .add("previous", m_loggedEra.value_or(0))
                            .add("current", m_era.followed().value_or(0))
                            .add("source", source)
                            .add("revision", revision)
                            .add("configuration", m_configurationKind.progress.revisions().newest)
                            .add("targets", m_targetKind.progress.revisions().newest)
                            .add("evacuations", m_evacuationKind.progress.revisions().newest),
                        clock::now());
    m_loggedEra = m_era.followed();
    if (verdict == store_era::verdict::Changed) {
        onEraChanged();
    }
}

void catalogue_sync::listAgain()
{
    for (watched_kind *kind : {&m_configurationKind, &m_targetKind, &m_evacuationKind}) {
        kind->progress.onHistoryExpired();
    }
}

void catalogue_sync::onEraChanged()
{
    for (watched_kind *kind : {&m_configurationKind, &m_targetKind, &m_evacuationKind}) {
        kind->progress.beginEra();
        kind->eraBegan = clock::now();
        kind->retryTimer.cancel();
    }
    m_applied.beginEra();
    // Watches from revisions of the earlier era would wait for changes that can't be told from those.
    dropCalls(clock::now());
    m_handlers.onTargetListRecovered();
    m_handlers.onStoreRestored();
}

void catalogue_sync::discardAnswer(const watched_kind &kind, copy_progress::call_token call, std::uint64_t revision)
{
    if (kind.progress.beginCall() != call) {
        return;
    }
    // The call began after the revision that it falls short of was read, so the store has returned to an older copy without naming another era.
    m_context.metrics.add("store_era_changes_total");
    m_context.log.write(
        event_class::StateChange,
        event_line("catalogue", "store_revisions_went_back").add("kind", kind.kind).add("revision", revision).add("held", kind.progress.revisions().newest),
        clock::now());
    onEraChanged();
}

void catalogue_sync::start()
{
    for (watched_kind *kind : {&m_configurationKind, &m_targetKind, &m_evacuationKind}) {
        kind->failingSince = clock::now();
        asio::co_spawn(m_context.io, syncKind(*kind), asio::detached);
    }
    asio::co_spawn(m_context.io, fetchFromPeers(), asio::detached);
    m_probe.start();
    m_applied.start();
}

void catalogue_sync::setActive(bool isActive)
{
    if (m_isActive == isActive) {
        return;
    }
    m_isActive = isActive;
    ++m_activation;
    m_era.reset();
    m_loggedEra.reset();
    for (watched_kind *kind : {&m_configurationKind, &m_targetKind, &m_evacuationKind}) {
        kind->progress.reset();
        kind->eraBegan.reset();
        kind->failingSince = clock::now();
    }
    m_probe.setActive(isActive);
    dropCalls(clock::now());
    if (!isActive) {
        m_applied.discard();
    }
    m_context.log.write(event_class::StateChange,
                        event_line("catalogue", isActive ? "activated" : "deactivated").add("version", m_applied.configurationVersion()),
                        clock::now());
}

bool catalogue_sync::isReady() const
{
    return m_isActive && m_applied.hasConfiguration() && m_targetKind.progress.isComplete() && m_evacuationKind.progress.isComplete();
}

asio::awaitable<void> catalogue_sync::syncKind(watched_kind &kind)
{
    std::chrono::milliseconds delay = InitialRetryDelay;
    while (true) {
        if (!m_isActive) {
            co_await sleepFor(m_context.io, ActivationPollInterval);
            continue;
        }
        result<void> outcome = success();
        if (kind.progress.isListed()) {
            outcome = co_await watchOnce(kind);
        } else {
            outcome = co_await readList(kind);
        }
        const bool wasDropped = !outcome && outcome.error().code == error_code::Closed && clock::now() - m_callsDroppedAt < DropWindow;
        if (wasDropped) {
            continue;
        }
        recordResult(kind, outcome);
        if (outcome) {
            delay = InitialRetryDelay;
            if (!kind.progress.isListed()) {
                co_await sleepFor(m_context.io, RelistDelay);
            }
            continue;
        }
        if (outcome.error().code == error_code::NotFound) {
            kind.progress.onHistoryExpired();
            continue;
        }
        m_probe.reportFailure();
        co_await waitAfterFailure(kind, delay);
        delay = std::min(delay * 2, MaxRetryDelay);
    }
}

asio::awaitable<void> catalogue_sync::waitAfterFailure(watched_kind &kind, std::chrono::milliseconds delay)
{
    co_await sleepFor(m_context.io, delay);
    if (!m_probe.isUnreachable()) {
        co_return;
    }
    boost::system::error_code ignored;
    kind.retryTimer.expires_after(UnreachableRetryDelay - delay);
    co_await kind.retryTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void catalogue_sync::onStoreRecovered(clock::time_point lostBefore)
{
    if (lostBefore != clock::time_point{}) {
        m_context.log.write(event_class::StateChange, event_line("catalogue", "watches_restarted").add("reason", "store responds again"), clock::now());
        dropCalls(lostBefore);
    }
    for (watched_kind *kind : {&m_configurationKind, &m_targetKind, &m_evacuationKind}) {
        kind->retryTimer.cancel();
    }
}

void catalogue_sync::dropCalls(clock::time_point begunBefore)
{
    m_callsDroppedAt = clock::now();
    m_store.cancelCalls(begunBefore);
}

void catalogue_sync::recordResult(watched_kind &kind, const result<void> &outcome)
{
    const auto now = clock::now();
    if (outcome) {
        kind.listTimeout = MinListTimeout;
        if (!kind.isReachable) {
            m_context.log.write(event_class::StateChange,
                                event_line("catalogue", "store_recovered")
                                    .add("kind", kind.kind)
                                    .add("outage_ms", std::chrono::duration_cast<std::chrono::microseconds>(now - kind.failingSince))
                                    .add("revision", kind.progress.revisions().completeThrough),
                                now);
        }
        if (&kind == &m_targetKind && !kind.isReachable) {
            m_handlers.onTargetListRecovered();
        }
        kind.isReachable = true;
        return;
    }
    if (outcome.error().code == error_code::NotFound) {
        m_context.log.write(event_class::StateChange,
                            event_line("catalogue", "history_expired").add("kind", kind.kind).add("revision", kind.progress.revisions().completeThrough),
                            now);
        return;
    }
    if (outcome.error().code == error_code::Timeout) {
        kind.listTimeout = std::min(std::max(kind.listTimeout, MinListTimeout) * 3 / 2, MaxListTimeout);
    }
    if (kind.isReachable) {
        kind.failingSince = now;
        m_context.log.write(event_class::StateChange,
                            event_line("catalogue", "store_unreachable")
                                .add("kind", kind.kind)
                                .add("reason", describe(outcome.error()))
                                .add("revision", kind.progress.revisions().completeThrough),
                            now);
    }
    kind.isReachable = false;
}

asio::awaitable<result<void>> catalogue_sync::readList(watched_kind &kind)
{
    std::set<std::string> listed;
    std::string after;
    std::uint64_t firstRevision = 0;
    const unsigned activation = m_activation;
    const copy_progress::call_token call = kind.progress.beginCall();
    const store_era::call_token eraCall = m_era.beginCall();
    while (true) {
        const auto page = co_await m_store.list(kind.kind, after, read_mode::Current, std::max(kind.listTimeout, MinListTimeout));
        if (activation != m_activation) {
            co_return inactiveError();
        }
        if (!page) {
            co_return page.error();
        }
        followEra(m_era.observe(page.value().era, eraCall), kind.kind, page.value().revision);
        if (!kind.progress.acceptPage(call, page.value().revision)) {
            discardAnswer(kind, call, page.value().revision);
            co_return success();
        }
        firstRevision = firstRevision == 0 ? page.value().revision : firstRevision;
        for (const store_object &object : page.value().objects) {
            listed.insert(object.name);
            m_applied.apply(kind.kind, object, false);
        }
        if (!page.value().hasMore) {
            break;
        }
        after = page.value().lastName;
    }
    m_applied.retain(kind.kind, listed);
    kind.progress.onListed(firstRevision);
    logListed(kind, listed.size());
    co_return success();
}

void catalogue_sync::logListed(watched_kind &kind, std::size_t objects)
{
    if (!kind.eraBegan) {
        return;
    }
    const auto now = clock::now();
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(now - *std::exchange(kind.eraBegan, std::nullopt));
    m_context.log.write(event_class::StateChange,
                        event_line("catalogue", "era_listed")
                            .add("kind", kind.kind)
                            .add("era", m_era.followed().value_or(0))
                            .add("revision", kind.progress.revisions().completeThrough)
                            .add("objects", static_cast<std::uint64_t>(objects))
                            .add("after_ms", elapsed),
                        now);
}

asio::awaitable<result<void>> catalogue_sync::watchOnce(watched_kind &kind)
{
    // After a failure a short watch detects the recovery at once; a long one would return only at the next change.
    const unsigned activation = m_activation;
    const copy_progress::call_token call = kind.progress.beginCall();
    const store_era::call_token eraCall = m_era.beginCall();
    auto batch = co_await m_store.watch(kind.kind, kind.progress.revisions().completeThrough, kind.isReachable ? WatchTimeout : ProbeWatchTimeout);
    if (activation != m_activation) {
        co_return inactiveError();
    }
    if (!batch) {
        const bool isTooLarge = batch.error().code == error_code::TooLarge;
        co_return isTooLarge ? tooManyChangesError(batch.error()) : batch.error();
    }
    followEra(m_era.observe(batch.value().era, eraCall), kind.kind, batch.value().revision);
    if (!kind.progress.acceptChanges(call, batch.value().revision)) {
        discardAnswer(kind, call, batch.value().revision);
        co_return success();
    }
    for (const object_change &change : batch.value().changes) {
        m_applied.apply(kind.kind, change.object, change.isDeleted);
    }
    const bool hasChanges = !batch.value().changes.empty();
    batch = change_batch{}; // Not kept during the delay.
    if (hasChanges) {
        co_await sleepFor(m_context.io, ChangeDelay);
    }
    co_return success();
}

bool catalogue_sync::isStoreReachable() const
{
    return m_isActive && !hasStoreOutage();
}

bool catalogue_sync::hasStoreOutage() const
{
    const auto now = clock::now();
    const auto isUnreachable = [now](const watched_kind &kind) { return !kind.isReachable && now - kind.failingSince > PeerFallbackDelay; };
    return m_probe.isUnreachableFor(PeerFallbackDelay) || isUnreachable(m_configurationKind) || isUnreachable(m_targetKind) || isUnreachable(m_evacuationKind);
}

asio::awaitable<void> catalogue_sync::fetchFromPeers()
{
    while (true) {
        co_await sleepFor(m_context.io, PeerFetchInterval);
        if (!m_isActive || !hasStoreOutage()) {
            continue;
        }
        // All are asked, because one that was frozen may not have noticed yet that its catalogue is outdated.
        for (const endpoint &peer : m_handlers.peers()) {
            co_await fetchFromPeer(peer);
        }
    }
}

asio::awaitable<void> catalogue_sync::fetchFromPeer(endpoint peer)
{
    http_request request;
    request.path = "/internal/catalogue";
    if (m_era.followed()) {
        request.query["era"] = std::to_string(*m_era.followed());
    }
    request.query["configuration"] = std::to_string(m_configurationKind.progress.revisions().newest);
    request.query["targets"] = std::to_string(m_targetKind.progress.revisions().newest);
    request.query["evacuations"] = std::to_string(m_evacuationKind.progress.revisions().newest);
    const unsigned activation = m_activation;
    const auto response = co_await fetch(peer, {}, std::move(request), PeerTimeout, &m_context.storeResponses);
    constexpr unsigned Ok = 200;
    if (activation != m_activation || !response || response.value().status != Ok) {
        co_return;
    }
    if (const auto offered = decodeSnapshot(response.value().body)) {
        adopt(*offered);
    } else {
        m_context.metrics.add("catalogue_from_peer_malformed_total");
    }
}

void catalogue_sync::adopt(const catalogue_snapshot &offered)
{
    const store_era::verdict verdict = m_era.observeHint(offered.era);
    followEra(verdict, "peer", offered.targets ? offered.targets->revisions.newest : 0);
    // A copy of a peer that knows no eras can't be compared with what is held here of a named one; it serves only where nothing is held yet.
    const bool isComparable = offered.era == m_era.followed();
    if (verdict == store_era::verdict::Outdated || (!isComparable && isReady())) {
        return;
    }
    // A copy that can't be read must not count as progress.
    const bool isConfigurationReadable = offered.configuration && decodeConfiguration(offered.configuration->content);
    if (offered.configuration && !isConfigurationReadable) {
        m_context.metrics.add("catalogue_from_peer_malformed_total");
    }
    if (isConfigurationReadable && m_configurationKind.progress.acceptPeerCopy(offered.configuration->revisions)) {
        m_applied.applyConfiguration(offered.configuration->content, "peer");
        logAdopted(m_configurationKind);
    }
    if (offered.targets && m_targetKind.progress.acceptPeerCopy(offered.targets->revisions)) {
        m_applied.replaceTargets(offered.targets->content);
        logAdopted(m_targetKind);
    }
    if (offered.evacuations && m_evacuationKind.progress.acceptPeerCopy(offered.evacuations->revisions)) {
        m_applied.replaceEvacuations(offered.evacuations->content);
        logAdopted(m_evacuationKind);
    }
    if (!isComparable) {
        listAgain();
    }
}

void catalogue_sync::logAdopted(const watched_kind &kind)
{
    m_context.metrics.add("catalogue_from_peer_total");
    m_context.log.write(event_class::StateChange,
                        event_line("catalogue", "copy_taken")
                            .add("kind", kind.kind)
                            .add("source", "peer")
                            .add("complete_through", kind.progress.revisions().completeThrough)
                            .add("newest", kind.progress.revisions().newest),
                        clock::now());
}

std::optional<std::uint64_t> catalogue_sync::era() const
{
    return m_era.followed();
}

std::optional<catalogue_snapshot> catalogue_sync::snapshot(const known_revisions &peer) const
{
    // While the store is unreachable, this instance asks others itself.
    if (hasStoreOutage() || !isReady()) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> era = m_era.followed();
    if (peer.era && peer.era > era) {
        return std::nullopt;
    }
    // Later eras go before any revisions.
    const bool isLaterEra = peer.era && peer.era < era;
    const auto isLater = [isLaterEra](const watched_kind &kind, std::uint64_t known) {
        const std::uint64_t completeThrough = kind.progress.revisions().completeThrough;
        return isLaterEra ? completeThrough > 0 : completeThrough > known;
    };
    catalogue_snapshot held;
    held.era = era;
    if (isLater(m_configurationKind, peer.configuration)) {
        held.configuration = {m_configurationKind.progress.revisions(), m_applied.configurationRecord()};
    }
    if (isLater(m_targetKind, peer.targets)) {
        held.targets = {m_targetKind.progress.revisions(), m_applied.targetRecords()};
    }
    if (isLater(m_evacuationKind, peer.evacuations)) {
        held.evacuations = {m_evacuationKind.progress.revisions(), m_applied.evacuations()};
    }
    return held;
}

} // namespace balsamhook
