#include "node/peer_task.h"

#include "node/member_record.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iterator>
#include <set>

namespace balsamhook
{

namespace asio = boost::asio;
using asio::ip::udp;

namespace
{

constexpr const char *MemberKind = "members";
constexpr std::chrono::milliseconds HeartbeatInterval{400};
constexpr std::chrono::milliseconds StandbyInterval{2000};
/// Keeps a datagram well below the usual MTU of 1,500 bytes.
constexpr std::size_t MaxAddressesPerHeartbeat = 64;
/// Names of data centres and ids of requests come from other writers and from callers, and may be long.
constexpr std::size_t MaxDataCentresPerHeartbeat = 16;
constexpr std::chrono::milliseconds IsolatedMemberListInterval{2000}; ///< While no peer is alive.
constexpr std::chrono::milliseconds RegistrationDelay{1500}; ///< By then most instances have discovered each other through the seeds.
/// Instances write their entries again at random times within this period after the store lost them, so that it isn't called by all of a fleet at once.
constexpr std::chrono::milliseconds ReregistrationPeriod{1500};
constexpr std::chrono::milliseconds DiscoveryTimeout{1500};
constexpr std::chrono::milliseconds MinDiscoveryPeriod{150};
constexpr std::chrono::milliseconds QuietPeriod{100}; ///< Time without a new peer after which discovery counts as complete.
/// Limits, refusals and demand go out with one heartbeat in as many as there are times this many senders, so that what an instance receives of them doesn't
/// grow with the fleet.
constexpr std::uint64_t SendersPerReport = 4;
constexpr std::chrono::milliseconds StartupPeriod{2000}; ///< An instance that has just started is in discovery.
/// An instance that has just started names no senders: where all start together, it takes those that it heard of first for the strongest. By then each
/// instance has asked at least twice.
constexpr std::chrono::milliseconds SettlingPeriod{700};
constexpr std::chrono::milliseconds ListTimeout{2500};
constexpr std::chrono::milliseconds InitialRetryDelay{200};
constexpr std::chrono::milliseconds MaxRetryDelay{3000};

std::string pack(const peer_heartbeat &heartbeat)
{
    msgpack::sbuffer packed;
    msgpack::pack(packed, heartbeat);
    return {packed.data(), packed.size()};
}

} // namespace

peer_task::peer_task(node_context &context, metadata_store &store, peer_timings timings)
    : m_context(context)
    , m_store(store)
    , m_socket(context.io)
    , m_peers(context.settings.instance)
    , m_incarnation(static_cast<std::uint64_t>(unixTime().count()))
    , m_timings(timings)
{
}

peer_task::~peer_task()
{
    *m_isTaskAlive = false;
    m_context.timers.stop(m_ticker);
}

result<void> peer_task::start()
{
    const platform_settings &settings = m_context.settings;
    boost::system::error_code failed;
    const udp::endpoint local(asio::ip::make_address(settings.address, failed), settings.peerPort);
    if (!failed) {
        m_socket.open(local.protocol(), failed);
    }
    if (!failed) {
        m_socket.bind(local, failed);
    }
    if (failed) {
        boost::system::error_code ignored;
        m_socket.close(ignored);
        return failure(error_code::Unreachable, error_step::Listen, settings.address, failed.message());
    }
    m_socket.non_blocking(true, failed);
    for (const std::string &seed : settings.seeds) {
        m_peers.addAddress(seed, clock::now());
    }
    m_startedAt = clock::now();
    updateSenders(m_startedAt);
    receive();
    tick();
    m_memberListReadAt = m_startedAt;
    asio::co_spawn(m_context.io, readMembers(), asio::detached);
    return success();
}

void peer_task::receive()
{
    m_socket.async_receive_from(
        asio::buffer(m_buffer), m_datagramSource, [this, isTaskAlive = m_isTaskAlive](const boost::system::error_code &failed, std::size_t size) {
            if (!*isTaskAlive) {
                return;
            }
            if (!failed) {
                onDatagram(size);
            }
            receive();
        });
}

void peer_task::onDatagram(std::size_t size)
{
    const std::optional<peer_heartbeat> decoded = decodeHeartbeat({m_buffer.data(), size});
    if (!decoded) {
        m_context.metrics.add("peer_datagrams_malformed_total");
        return;
    }
    const peer_heartbeat &heartbeat = *decoded;
    if (heartbeat.version != PeerMessageVersion || heartbeat.instance == m_context.settings.instance) {
        return;
    }
    const auto now = clock::now();
    peer_status status{heartbeat.instance,
                       heartbeat.incarnation,
                       heartbeat.address,
                       heartbeat.dataCentre,
                       {heartbeat.address, heartbeat.callerPort},
                       heartbeat.isServing,
                       heartbeat.isImpaired,
                       heartbeat.processorShare,
                       heartbeat.maxSenders,
                       std::chrono::milliseconds(heartbeat.intervalMilliseconds),
                       heartbeat.targetDataCentres,
                       heartbeat.limitDemand};
    m_context.crashes.merge(heartbeat.crashes, boot_clock::now());
    m_context.crashes.merge(heartbeat.refusals, boot_clock::now());
    m_context.limits.merge(heartbeat.limits, now);
    const bool isNew = m_peers.onHeartbeat(status, now);
    m_wasIntroduced = m_wasIntroduced || !heartbeat.knownAddresses.empty();
    for (const std::string &address : heartbeat.knownAddresses) {
        if (address != m_context.settings.address) {
            // The senders are to know this instance at once.
            const bool isNewAddress = m_peers.addAddress(address, now);
            if (isNewAddress && isDiscovering(now)) {
                m_lastNewPeerAt = now;
                sendTo(address, false);
            }
        }
    }
    if (isNew) {
        m_lastNewPeerAt = now;
        m_context.log.write(
            event_class::StateChange,
            event_line("peers", "peer_alive").add("peer", status.instance).add("incarnation", status.incarnation).add("serving", status.isServing),
            now);
        updateSenders(now);
        // A peer that has just started gets a heartbeat at once, not only with the next regular one. An instance that is itself in discovery may take many
        // for senders that are none, so it names them only to those that ask.
        sendTo(status.address, heartbeat.asksForSenders || (isSender() && !isDiscovering(now)));
        sendDatagram(status.address, encodeReport());
    } else if (heartbeat.asksForSenders) {
        sendTo(status.address, true);
    }
}

std::string peer_task::encode(bool withAddresses) const
{
    return encode(peer_heartbeat(), withAddresses);
}

std::string peer_task::encodeReport()
{
    peer_heartbeat heartbeat;
    heartbeat.limitDemand = m_context.limits.demand(clock::now());
    heartbeat.limits = m_context.limits.announcements(clock::now());
    heartbeat.refusals = m_context.crashes.nextRefusals(boot_clock::now());
    return encode(std::move(heartbeat), false);
}

std::uint64_t peer_task::reportInterval() const
{
    return (m_senders.size() + SendersPerReport - 1) / SendersPerReport;
}

std::string peer_task::encode(peer_heartbeat heartbeat, bool withAddresses) const
{
    const platform_settings &settings = m_context.settings;
    heartbeat.instance = settings.instance;
    heartbeat.incarnation = m_incarnation;
    heartbeat.address = settings.address;
    heartbeat.dataCentre = settings.dataCentre;
    heartbeat.callerPort = settings.callers.port;
    heartbeat.isServing = m_status.isServing;
    heartbeat.isImpaired = m_status.isImpaired;
    heartbeat.processorShare = settings.processorShare;
    heartbeat.maxSenders = static_cast<std::uint32_t>(m_status.maxSenders);
    heartbeat.intervalMilliseconds = static_cast<std::uint32_t>(heartbeatInterval().count());
    heartbeat.targetDataCentres = m_status.targetDataCentres;
    heartbeat.targetDataCentres.resize(std::min(heartbeat.targetDataCentres.size(), MaxDataCentresPerHeartbeat));
    heartbeat.crashes = m_context.crashes.recentCrashes(boot_clock::now());
    if (withAddresses) {
        heartbeat.knownAddresses = introductions();
    }
    std::string datagram = pack(heartbeat);
    if (datagram.size() > m_buffer.size()) {
        m_context.metrics.add("peer_crashes_not_announced_total", static_cast<std::int64_t>(heartbeat.crashes.size()));
        heartbeat.crashes.clear();
        datagram = pack(heartbeat);
    }
    return datagram;
}

std::vector<std::string> peer_task::introductions() const
{
    std::vector<std::string> senders;
    if (clock::now() - m_startedAt < SettlingPeriod) {
        return senders;
    }
    for (const peer_table::peer &peer : m_peers.alive(clock::now())) {
        if (m_senders.count(peer.status.instance) > 0) {
            senders.push_back(peer.status.address);
        }
    }
    std::shuffle(senders.begin(), senders.end(), m_context.random);
    senders.resize(std::min(senders.size(), MaxAddressesPerHeartbeat));
    return senders;
}

void peer_task::sendTo(const std::string &address, bool withAddresses)
{
    sendDatagram(address, encode(withAddresses));
}

void peer_task::sendDatagram(const std::string &address, const std::string &datagram)
{
    boost::system::error_code failed;
    const udp::endpoint peer(asio::ip::make_address(address, failed), m_context.settings.peerPort);
    if (failed) {
        return;
    }
    m_context.metrics.add("peer_datagrams_sent_total");
    m_context.metrics.add("peer_bytes_sent_total", static_cast<std::int64_t>(datagram.size()));
    // A failed send is treated like a lost datagram: the next heartbeat follows soon.
    m_socket.send_to(asio::buffer(datagram), peer, 0, failed);
}

std::chrono::milliseconds peer_task::heartbeatInterval() const
{
    return isSender() ? HeartbeatInterval : StandbyInterval;
}

bool peer_task::isDiscovering(clock::time_point now) const
{
    return now - m_startedAt < StartupPeriod || m_peers.alive(now).empty();
}

void peer_task::askSeeds()
{
    peer_heartbeat question;
    question.asksForSenders = true;
    const std::string datagram = encode(std::move(question), false);
    for (const std::string &seed : m_context.settings.seeds) {
        if (seed != m_context.settings.address) {
            sendDatagram(seed, datagram);
        }
    }
}

void peer_task::sendHeartbeats(clock::time_point now)
{
    const bool isInDiscovery = isDiscovering(now);
    if (isInDiscovery) {
        askSeeds();
    }
    const bool isStandbyHeartbeatDue = now >= m_nextStandbyHeartbeatAt;
    if (!isSender() && !isInDiscovery && !isStandbyHeartbeatDue) {
        return;
    }
    m_nextStandbyHeartbeatAt = isStandbyHeartbeatDue ? now + StandbyInterval : m_nextStandbyHeartbeatAt;
    m_includesStandby = !m_includesStandby;
    const std::string plain = encode(false);
    const std::uint64_t interval = std::max<std::uint64_t>(1, reportInterval());
    const std::string toSenders = m_tick % interval == 0 ? encodeReport() : plain;
    // Standby instances get every second heartbeat.
    const std::string toStandby = m_tick / 2 % interval == 0 ? encodeReport() : plain;
    ++m_tick;
    std::set<std::string> addressesWithoutHeartbeat;
    for (const std::string &address : m_peers.addresses()) {
        addressesWithoutHeartbeat.insert(address);
    }
    for (const peer_table::peer &peer : m_peers.recent(now)) {
        addressesWithoutHeartbeat.erase(peer.status.address);
        const bool isPeerSender = m_senders.count(peer.status.instance) > 0;
        const bool isDue = isPeerSender ? isSender() || isStandbyHeartbeatDue : isSender() && m_includesStandby;
        if (isDue) {
            sendDatagram(peer.status.address, isPeerSender ? toSenders : toStandby);
        }
    }
    // Addresses without a heartbeat are those of seeds that are still starting, or come from peers or from the store.
    for (const std::string &address : addressesWithoutHeartbeat) {
        if (isSender() || isInDiscovery) {
            sendDatagram(address, plain);
        }
    }
}

void peer_task::tick()
{
    const auto now = clock::now();
    for (const std::string &lost : m_peers.expire(now)) {
        const bool wasSender = m_senders.count(lost) > 0;
        m_context.log.write(event_class::StateChange, event_line("peers", "peer_lost").add("peer", lost).add("sender", wasSender), now);
    }
    updateSenders(now);
    sendHeartbeats(now);
    maintainRegistration(now);
    m_ticker = m_context.timers.start(now + HeartbeatInterval, [this] { tick(); });
}

std::size_t peer_task::maxSenders() const
{
    std::size_t limit = m_status.maxSenders;
    if (limit == 0) {
        for (const peer_table::peer &peer : m_peers.alive(clock::now())) {
            limit = std::max(limit, peer.status.maxSenders);
        }
    }
    return limit == 0 ? maxSendersFor(0) : limit;
}

std::set<std::string> peer_task::selectSenders(const std::vector<peer_table::peer> &peers) const
{
    const platform_settings &settings = m_context.settings;
    std::vector<sender_candidate> candidates{{settings.instance, settings.dataCentre, settings.processorShare}};
    for (const peer_table::peer &peer : peers) {
        candidates.push_back({peer.status.instance, peer.status.dataCentre, peer.status.processorShare});
    }
    return chooseSenders(candidates, maxSenders());
}

void peer_task::updateSenders(clock::time_point now)
{
    std::set<std::string> chosen = selectSenders(m_peers.alive(now));
    if (chosen == m_senders) {
        return;
    }
    std::set<std::string> added;
    std::set_difference(chosen.begin(), chosen.end(), m_senders.begin(), m_senders.end(), std::inserter(added, added.end()));
    m_senders = std::move(chosen);
    if (isSender() && !isDiscovering(now)) {
        introduce(added, now);
    }
    m_context.log.write(event_class::StateChange,
                        event_line("peers", "senders_changed").add("count", static_cast<std::uint64_t>(m_senders.size())).add("is_sender", isSender()),
                        now);
}

void peer_task::introduce(const std::set<std::string> &addedSenders, clock::time_point now)
{
    for (const peer_table::peer &peer : m_peers.alive(now)) {
        if (addedSenders.count(peer.status.instance) > 0) {
            sendTo(peer.status.address, true);
        }
    }
}

const std::set<std::string> &peer_task::senders() const
{
    return m_senders;
}

bool peer_task::isSender() const
{
    return m_senders.count(m_context.settings.instance) > 0;
}

unsigned peer_task::recentSenders() const
{
    const auto now = clock::now();
    const std::size_t recentCount = selectSenders(m_peers.recent(now)).size();
    const bool isStartingUp = now - m_startedAt < StartupPeriod;
    return static_cast<unsigned>(isStartingUp ? std::max(recentCount, std::min(m_registeredCount, maxSenders())) : recentCount);
}

bool peer_task::isDiscoveryComplete() const
{
    if (m_wasRegisteredAtStart) {
        return true;
    }
    const auto now = clock::now();
    const auto elapsed = now - m_startedAt;
    const bool isQuiet = m_lastNewPeerAt != clock::time_point{} && now - m_lastNewPeerAt > QuietPeriod;
    return elapsed > DiscoveryTimeout || (elapsed > MinDiscoveryPeriod && m_wasIntroduced && isQuiet);
}

void peer_task::maintainRegistration(clock::time_point now)
{
    if (now - m_startedAt < RegistrationDelay) {
        return;
    }
    // Senders are registered so that an instance can discover peers when none of its seeds is running.
    // The entry also holds the refused requests, which have to survive a restart of all instances.
    const bool isCurrent = m_isRegistered && m_storedDecisions == m_context.crashes.decisions();
    if (!isCurrent && !m_isRegistering && isSender() && now >= m_registrationDueAt) {
        m_isRegistering = true;
        m_isRegistered = false;
        asio::co_spawn(m_context.io, registerInStore(), asio::detached);
    }
    const bool isIsolated = m_peers.alive(now).empty();
    const bool isDue
        = now - m_memberListReadAt > (isIsolated ? std::min(IsolatedMemberListInterval, m_timings.memberListInterval) : m_timings.memberListInterval);
    if ((isIsolated || isSender()) && isDue) {
        m_memberListReadAt = now;
        asio::co_spawn(m_context.io, readMembers(), asio::detached);
    }
}

void peer_task::onStoreRestored()
{
    ++m_storeRestorations;
    m_isRegistered = false;
    m_registrationDueAt = clock::now() + std::chrono::duration_cast<std::chrono::milliseconds>(ReregistrationPeriod * m_context.draw());
}

nlohmann::json peer_task::registration() const
{
    member_record record;
    record.address = m_context.settings.address;
    record.dataCentre = m_context.settings.dataCentre;
    record.incarnation = m_incarnation;
    record.refusals = m_context.crashes.currentRefusals(boot_clock::now());
    return encodeMember(record);
}

asio::awaitable<void> peer_task::registerInStore()
{
    const auto isTaskAlive = m_isTaskAlive;
    std::chrono::milliseconds delay = InitialRetryDelay;
    m_storedDecisions = m_context.crashes.decisions();
    const nlohmann::json spec = registration();
    while (!m_isRegistered) {
        const unsigned restorations = m_storeRestorations;
        auto written = co_await m_store.create(MemberKind, m_context.settings.instance, spec);
        if (*isTaskAlive && !written && written.error().code == error_code::Conflict) {
            written = co_await m_store.replace(MemberKind, m_context.settings.instance, spec);
        }
        if (!*isTaskAlive) {
            co_return;
        }
        const bool isLost = restorations != m_storeRestorations;
        m_isRegistered = written.has_value() && !isLost;
        if (m_isRegistered) {
            break;
        }
        if (isLost) {
            continue;
        }
        m_context.log.write(event_class::StateChange, event_line("peers", "registration_failed").add("reason", describe(written.error())), clock::now());
        co_await sleepFor(m_context.io, delay);
        if (!*isTaskAlive) {
            co_return;
        }
        delay = std::min(delay * 2, MaxRetryDelay);
    }
    m_isRegistering = false;
}

asio::awaitable<void> peer_task::readMembers()
{
    const auto isTaskAlive = m_isTaskAlive;
    const unsigned restorations = m_storeRestorations;
    std::vector<store_object> registered;
    std::string after;
    bool hasMore = true;
    while (hasMore) {
        // A stale read suffices: the peer table removes an address from which no heartbeat arrives.
        auto page = co_await m_store.list(MemberKind, after, read_mode::Stale, ListTimeout);
        if (!*isTaskAlive) {
            co_return;
        }
        if (!page) {
            m_context.log.write(event_class::StateChange, event_line("peers", "member_list_failed").add("reason", describe(page.error())), clock::now());
            co_return;
        }
        hasMore = page.value().hasMore;
        after = page.value().lastName;
        std::move(page.value().objects.begin(), page.value().objects.end(), std::back_inserter(registered));
    }
    co_await processMembers(std::move(registered), restorations);
}

asio::awaitable<void> peer_task::processMembers(std::vector<store_object> registered, unsigned restorations)
{
    const auto isTaskAlive = m_isTaskAlive;
    if (restorations != m_storeRestorations) {
        co_return;
    }
    m_registeredCount = registered.size();
    const auto localEntry
        = std::find_if(registered.begin(), registered.end(), [this](const store_object &object) { return object.name == m_context.settings.instance; });
    recordLocalEntry(localEntry == registered.end() ? nullptr : &*localEntry);
    for (const store_object &object : registered) {
        const member_record record = decodeMember(object.spec);
        m_context.crashes.merge(record.refusals, boot_clock::now());
        if (object.name == m_context.settings.instance) {
            continue;
        }
        if (isRemovable(object.name)) {
            const auto removed = co_await m_store.remove(MemberKind, object.name, object.revision);
            if (!*isTaskAlive) {
                co_return;
            }
            // The revisions may have been given to other entries since.
            if (restorations != m_storeRestorations) {
                co_return;
            }
            m_context.log.write(event_class::StateChange,
                                event_line("peers", "member_removed").add("peer", object.name).add("result", removed ? "removed" : "failed"),
                                clock::now());
        } else if (!record.address.empty()) {
            m_peers.addAddress(record.address, clock::now());
        }
    }
}

void peer_task::recordLocalEntry(const store_object *localEntry)
{
    const bool isCurrent = localEntry != nullptr && decodeMember(localEntry->spec).address == m_context.settings.address;
    const bool isFirstRead = clock::now() - m_startedAt < RegistrationDelay;
    m_wasRegisteredAtStart = m_wasRegisteredAtStart || (isCurrent && isFirstRead);
    // A sender that received no heartbeats from this instance may have removed its entry.
    m_isRegistered = isCurrent;
}

bool peer_task::isRemovable(const std::string &instance) const
{
    const auto now = clock::now();
    if (!isSender() || now - m_startedAt < m_timings.removalDelay || !isFirstSender(m_context.settings.instance, m_senders, instance)) {
        return false;
    }
    const auto known = m_peers.recent(now);
    return std::none_of(known.begin(), known.end(), [&](const peer_table::peer &peer) { return peer.status.instance == instance; });
}

void peer_task::setStatus(instance_status status)
{
    const bool hasChanged = m_status.isServing != status.isServing || m_status.isImpaired != status.isImpaired;
    m_status = std::move(status);
    if (!hasChanged) {
        return;
    }
    const std::string datagram = encode(false);
    if (isSender()) {
        for (const std::string &address : m_peers.addresses()) {
            sendDatagram(address, datagram);
        }
        return;
    }
    for (const peer_table::peer &peer : m_peers.alive(clock::now())) {
        if (m_senders.count(peer.status.instance) > 0) {
            sendDatagram(peer.status.address, datagram);
        }
    }
}

const peer_table &peer_task::peers() const
{
    return m_peers;
}

} // namespace balsamhook
