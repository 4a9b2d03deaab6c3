#include "node/peer_task.h"

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
/// Addresses in a datagram; keeps it well below the usual limit of 1,500 bytes.
constexpr std::size_t AddressesPerHeartbeat = 64;
constexpr std::chrono::milliseconds MembersIntervalAlone{2000};
constexpr std::chrono::milliseconds RegisterAfter{1500}; ///< Most instances know each other through the seeds by then.
constexpr std::chrono::milliseconds SettleTime{1200};
constexpr std::chrono::milliseconds ShortestSettleTime{150};
constexpr std::chrono::milliseconds QuietTime{100}; ///< Without a new peer.
constexpr std::chrono::milliseconds PeerSettling{2000}; ///< While it is new, an instance tells everyone of itself.
constexpr std::chrono::milliseconds ListTimeout{2500};
constexpr std::chrono::milliseconds FirstRetry{200};
constexpr std::chrono::milliseconds LongestRetry{3000};

/// Address in an instance's entry; empty when it can't be read.
std::string addressIn(const store_object &entry)
{
    const auto address = entry.spec.find("address");
    return address != entry.spec.end() && address->is_string() ? address->get<std::string>() : std::string();
}

} // namespace

peer_task::peer_task(node_context &context, metadata_store &store, peer_times times)
    : m_context(context)
    , m_store(store)
    , m_socket(context.io)
    , m_peers(context.settings.instance)
    , m_incarnation(static_cast<std::uint64_t>(unixTime().count()))
    , m_times(times)
{
}

peer_task::~peer_task()
{
    *m_isAlive = false;
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
        return failure(error_code::Unreachable, error_step::Listen, settings.address, failed.message());
    }
    m_socket.non_blocking(true, failed);
    for (const std::string &seed : settings.seeds) {
        m_peers.learnAddress(seed, clock::now());
    }
    m_startedAt = clock::now();
    refreshSenders(m_startedAt);
    receive();
    tick();
    m_membersReadAt = m_startedAt;
    asio::co_spawn(m_context.io, readMembers(), asio::detached);
    return success();
}

void peer_task::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender, [this, isAlive = m_isAlive](const boost::system::error_code &failed, std::size_t size) {
        if (!*isAlive) {
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
    peer_heartbeat heartbeat;
    try {
        msgpack::unpack(m_buffer.data(), size).get().convert(heartbeat);
    } catch (const std::exception &broken) {
        m_context.numbers.add("peer_datagrams_malformed_total");
        return;
    }
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
                       heartbeat.mostSenders,
                       std::chrono::milliseconds(heartbeat.intervalMilliseconds),
                       heartbeat.targetDataCentres};
    m_context.crashes.merge(heartbeat.crashes, boot_clock::now());
    const bool isNew = m_peers.hear(status, now);
    for (const std::string &address : heartbeat.knownAddresses) {
        if (address != m_context.settings.address) {
            // A new instance introduces itself at once to all that it hears of, so that it soon knows who runs requests.
            const bool isNewAddress = m_peers.learnAddress(address, now);
            if (isNewAddress && now - m_startedAt < PeerSettling) {
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
        // A peer that has just started learns of this instance and others without waiting for its turn.
        sendTo(status.address, true);
        refreshSenders(now);
    }
}

std::string peer_task::encode(bool withAddresses) const
{
    const platform_settings &settings = m_context.settings;
    peer_heartbeat heartbeat;
    heartbeat.instance = settings.instance;
    heartbeat.incarnation = m_incarnation;
    heartbeat.address = settings.address;
    heartbeat.dataCentre = settings.dataCentre;
    heartbeat.callerPort = settings.callers.port;
    heartbeat.isServing = m_status.isServing;
    heartbeat.isImpaired = m_status.isImpaired;
    heartbeat.processorShare = settings.processorShare;
    heartbeat.mostSenders = static_cast<std::uint32_t>(m_status.mostSenders);
    heartbeat.intervalMilliseconds = static_cast<std::uint32_t>(interval().count());
    heartbeat.targetDataCentres = m_status.targetDataCentres;
    heartbeat.crashes = m_context.crashes.recent(boot_clock::now());
    if (withAddresses) {
        heartbeat.knownAddresses = m_peers.addresses();
        std::shuffle(heartbeat.knownAddresses.begin(), heartbeat.knownAddresses.end(), m_context.random);
        heartbeat.knownAddresses.resize(std::min(heartbeat.knownAddresses.size(), AddressesPerHeartbeat));
    }
    msgpack::sbuffer packed;
    msgpack::pack(packed, heartbeat);
    return {packed.data(), packed.size()};
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
    // A datagram that can't be sent now is like one that was lost: the next follows soon.
    m_socket.send_to(asio::buffer(datagram), peer, 0, failed);
}

std::chrono::milliseconds peer_task::interval() const
{
    return isSender() ? HeartbeatInterval : StandbyInterval;
}

void peer_task::sendHeartbeats(clock::time_point now)
{
    const bool isSettling = now - m_startedAt < PeerSettling;
    const bool isStandbyDue = now >= m_standbyTurnAt;
    if (!isSender() && !isSettling && !isStandbyDue) {
        return;
    }
    m_standbyTurnAt = isStandbyDue ? now + StandbyInterval : m_standbyTurnAt;
    m_isStandbyTurn = !m_isStandbyTurn;
    const std::string datagram = encode(false);
    std::set<std::string> unheard;
    for (const std::string &address : m_peers.addresses()) {
        unheard.insert(address);
    }
    for (const peer_table::peer &peer : m_peers.recent(now)) {
        unheard.erase(peer.status.address);
        const bool isToSender = m_senders.count(peer.status.instance) > 0;
        if (isToSender || (isSender() && m_isStandbyTurn)) {
            sendDatagram(peer.status.address, datagram);
        }
    }
    // Addresses that never answered: seeds that are still starting, or instances that others mentioned.
    for (const std::string &address : unheard) {
        if (isSender() || isSettling) {
            sendTo(address, isSettling);
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
    refreshSenders(now);
    sendHeartbeats(now);
    keepRegistered(now);
    m_ticker = m_context.timers.start(now + HeartbeatInterval, [this] { tick(); });
}

std::size_t peer_task::mostSenders() const
{
    std::size_t most = m_status.mostSenders;
    if (most == 0) {
        for (const peer_table::peer &peer : m_peers.alive(clock::now())) {
            most = std::max(most, peer.status.mostSenders);
        }
    }
    return most == 0 ? sendersFor(0) : most;
}

std::set<std::string> peer_task::sendersAmong(const std::vector<peer_table::peer> &peers) const
{
    const platform_settings &settings = m_context.settings;
    std::vector<sender_candidate> candidates{{settings.instance, settings.dataCentre, settings.processorShare}};
    for (const peer_table::peer &peer : peers) {
        candidates.push_back({peer.status.instance, peer.status.dataCentre, peer.status.processorShare});
    }
    return chooseSenders(candidates, mostSenders());
}

void peer_task::refreshSenders(clock::time_point now)
{
    std::set<std::string> chosen = sendersAmong(m_peers.alive(now));
    if (chosen == m_senders) {
        return;
    }
    m_senders = std::move(chosen);
    m_context.log.write(
        event_class::StateChange, event_line("peers", "senders").add("count", static_cast<std::uint64_t>(m_senders.size())).add("self", isSender()), now);
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
    const std::size_t heard = sendersAmong(m_peers.recent(now)).size();
    const bool isSettling = now - m_startedAt < PeerSettling;
    return static_cast<unsigned>(isSettling ? std::max(heard, std::min(m_registeredCount, mostSenders())) : heard);
}

bool peer_task::isSettled() const
{
    if (m_wasSender) {
        return true;
    }
    const auto now = clock::now();
    const auto passed = now - m_startedAt;
    const bool isQuiet = m_lastNewPeerAt != clock::time_point{} && now - m_lastNewPeerAt > QuietTime;
    return passed > SettleTime || (passed > ShortestSettleTime && isQuiet);
}

void peer_task::keepRegistered(clock::time_point now)
{
    if (now - m_startedAt < RegisterAfter) {
        return;
    }
    // Senders are registered, so that an instance whose seeds are all gone finds someone.
    if (!m_isRegistered && !m_isRegistering && isSender()) {
        m_isRegistering = true;
        asio::co_spawn(m_context.io, registerInStore(), asio::detached);
    }
    const bool isAlone = m_peers.alive(now).empty();
    const bool isDue = now - m_membersReadAt > (isAlone ? std::min(MembersIntervalAlone, m_times.membersInterval) : m_times.membersInterval);
    if ((isAlone || isSender()) && isDue) {
        m_membersReadAt = now;
        asio::co_spawn(m_context.io, readMembers(), asio::detached);
    }
}

nlohmann::json peer_task::registration() const
{
    return {{"address", m_context.settings.address}, {"data_centre", m_context.settings.dataCentre}, {"incarnation", m_incarnation}};
}

asio::awaitable<void> peer_task::registerInStore()
{
    const auto isAlive = m_isAlive;
    std::chrono::milliseconds pause = FirstRetry;
    const nlohmann::json spec = registration();
    while (!m_isRegistered) {
        auto written = co_await m_store.create(MemberKind, m_context.settings.instance, spec);
        if (*isAlive && !written && written.error().code == error_code::Conflict) {
            written = co_await m_store.replace(MemberKind, m_context.settings.instance, spec);
        }
        if (!*isAlive) {
            co_return;
        }
        m_isRegistered = written.has_value();
        if (m_isRegistered) {
            break;
        }
        m_context.log.write(event_class::StateChange, event_line("peers", "registration_failed").add("why", describe(written.error())), clock::now());
        co_await sleepFor(m_context.io, pause);
        if (!*isAlive) {
            co_return;
        }
        pause = std::min(pause * 2, LongestRetry);
    }
    m_isRegistering = false;
}

asio::awaitable<void> peer_task::readMembers()
{
    const auto isAlive = m_isAlive;
    std::vector<store_object> registered;
    bool hasMore = true;
    while (hasMore) {
        // Stale entries are good enough: an address that answers is taken over, others are forgotten.
        const std::string after = registered.empty() ? std::string() : registered.back().name;
        auto page = co_await m_store.list(MemberKind, after, read_mode::Stale, ListTimeout);
        if (!*isAlive) {
            co_return;
        }
        if (!page) {
            m_context.log.write(event_class::StateChange, event_line("peers", "members_unread").add("why", describe(page.error())), clock::now());
            co_return;
        }
        hasMore = page.value().hasMore && !page.value().objects.empty();
        std::move(page.value().objects.begin(), page.value().objects.end(), std::back_inserter(registered));
    }
    co_await takeMembers(std::move(registered));
}

asio::awaitable<void> peer_task::takeMembers(std::vector<store_object> registered)
{
    const auto isAlive = m_isAlive;
    m_registeredCount = registered.size();
    const auto own
        = std::find_if(registered.begin(), registered.end(), [this](const store_object &object) { return object.name == m_context.settings.instance; });
    noteOwnEntry(own == registered.end() ? nullptr : &*own);
    for (const store_object &object : registered) {
        const std::string address = addressIn(object);
        if (object.name == m_context.settings.instance) {
            continue;
        }
        if (isRemovable(object.name)) {
            const auto removed = co_await m_store.remove(MemberKind, object.name, object.revision);
            if (!*isAlive) {
                co_return;
            }
            m_context.log.write(event_class::StateChange,
                                event_line("peers", "member_removed").add("peer", object.name).add("result", removed ? "removed" : "failed"),
                                clock::now());
        } else if (!address.empty()) {
            m_peers.learnAddress(address, clock::now());
        }
    }
}

void peer_task::noteOwnEntry(const store_object *own)
{
    const bool isSame = own != nullptr && addressIn(*own) == m_context.settings.address;
    const bool isFirstRead = clock::now() - m_startedAt < RegisterAfter;
    m_wasSender = m_wasSender || (isSame && isFirstRead);
    // Someone who did not hear this instance for long may have removed its entry.
    m_isRegistered = isSame;
}

bool peer_task::isRemovable(const std::string &instance) const
{
    const auto now = clock::now();
    if (!isSender() || now - m_startedAt < m_times.removeAfter || !isFirstSender(m_context.settings.instance, m_senders, instance)) {
        return false;
    }
    const auto known = m_peers.recent(now);
    return std::none_of(known.begin(), known.end(), [&](const peer_table::peer &peer) { return peer.status.instance == instance; });
}

void peer_task::setStatus(own_status status)
{
    const bool hasChanged = m_status.isServing != status.isServing || m_status.isImpaired != status.isImpaired;
    m_status = std::move(status);
    if (!hasChanged) {
        return;
    }
    const std::string datagram = encode(false);
    for (const std::string &address : m_peers.addresses()) {
        sendDatagram(address, datagram);
    }
}

const peer_table &peer_task::peers() const
{
    return m_peers;
}

} // namespace balsamhook
