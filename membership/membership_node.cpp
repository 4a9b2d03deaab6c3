#include "membership/membership_node.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

constexpr std::size_t MaxDocuments = 8;
constexpr std::chrono::seconds PeerRetentionPeriod{60};
/// An instance that isn't a member is no longer pinged when it has been silent for this time.
constexpr std::chrono::seconds JoinerTimeout{3};
const std::string ListObject = "members/list";

/// Minimum number of removal votes that makes a majority of acknowledgements among the voters impossible. A list of one member has no majority.
std::size_t removalQuorum(std::size_t voters)
{
    return voters <= 1 ? 0 : voters - voters / 2;
}

} // namespace

membership_node::membership_node(member_entry self, std::string incarnation, membership_settings values, std::uint64_t seed)
    : m_self(std::move(self))
    , m_incarnation(std::move(incarnation))
    , m_settings(values)
    , m_random(seed)
    , m_guard(m_self.instance)
{
    m_sequence = firstSequence(m_incarnation);
    m_documents[0] = std::make_shared<configuration_document>();
}

std::uint64_t membership_node::firstSequence(const std::string &incarnation) const
{
    // 2^20 heartbeats of 500 ms are six days. The ranges of any two incarnations overlap with a probability of 2^-40, before and after these six days.
    constexpr unsigned RangeBits = 20;
    constexpr unsigned UnusedBits = 24;
    return (stableHash(incarnation) >> UnusedBits) << RangeBits;
}

bool membership_node::haveFormerAcknowledgementsExpired(std::uint64_t sequence, const std::string &incarnation) const
{
    const auto heartbeats = static_cast<std::uint64_t>((m_settings.leaseDuration + m_settings.clockDriftMargin) / m_settings.heartbeatInterval) + 1;
    return sequence - firstSequence(incarnation) > heartbeats;
}

// --- state

const member_list &membership_node::list() const
{
    return m_list;
}

const member_list *membership_node::pendingList() const
{
    return m_pending ? &*m_pending : nullptr;
}

const std::string &membership_node::incarnation() const
{
    return m_incarnation;
}

bool membership_node::isMember() const
{
    return m_list.contains(m_self.instance, m_incarnation);
}

const owner_map &membership_node::owners() const
{
    return m_guard.owners();
}

entitlement_state membership_node::state() const
{
    return m_machine.state();
}

const membership_node::peer_state *membership_node::listedPeer(const listed_member &member) const
{
    const auto found = m_peers.find({member.entry.instance, member.incarnation});
    return found == m_peers.end() ? nullptr : &found->second;
}

std::optional<boot_clock::time_point> membership_node::sentAt(std::uint64_t sequence) const
{
    for (const auto &[sent, time] : m_sent) {
        if (sent == sequence) {
            return time;
        }
    }
    return std::nullopt;
}

bool membership_node::isAlive(std::string_view instance, boot_clock::time_point now) const
{
    if (instance == m_self.instance) {
        return true;
    }
    const listed_member *member = m_list.find(instance);
    const peer_state *peer = member == nullptr ? nullptr : listedPeer(*member);
    return peer != nullptr && !peer->left && now - std::max(peer->receivedAt, peer->indirectReceivedAt) <= m_settings.aliveTimeout;
}

std::vector<const listed_member *> membership_node::ranking(boot_clock::time_point now) const
{
    std::vector<const listed_member *> live;
    for (const listed_member &member : m_list.members) {
        const bool isLocal = member.entry.instance == m_self.instance;
        if (isLocal ? isMember() : isAlive(member.entry.instance, now)) {
            live.push_back(&member);
        }
    }
    return live;
}

const listed_member *membership_node::reporterOf(const std::string &dataCentre, boot_clock::time_point now) const
{
    for (const listed_member *member : ranking(now)) {
        if (member->entry.dataCentre == dataCentre) {
            return member;
        }
    }
    return nullptr;
}

bool membership_node::isRankedInDataCentre(std::size_t count, boot_clock::time_point now) const
{
    std::size_t rank = 0;
    for (const listed_member *member : ranking(now)) {
        if (member->entry.dataCentre != m_self.dataCentre) {
            continue;
        }
        if (member->entry.instance == m_self.instance) {
            return rank < count;
        }
        ++rank;
    }
    return false;
}

bool membership_node::isController(boot_clock::time_point now) const
{
    const auto live = ranking(now);
    if (!live.empty()) {
        return live.front()->entry.instance == m_self.instance && isMember();
    }
    // No listed member is alive, so any joining instance may write the list by a conditional update. When there is a list already, it first waits until
    // all acknowledgements of its former incarnation have expired.
    return m_list.version == 0 || haveFormerAcknowledgementsExpired(m_sequence, m_incarnation);
}

std::uint64_t membership_node::appliedRevision(std::string_view instance) const
{
    if (instance == m_self.instance) {
        return m_appliedRevision;
    }
    const listed_member *member = m_list.find(instance);
    const peer_state *peer = member == nullptr ? nullptr : listedPeer(*member);
    return peer == nullptr ? 0 : peer->appliedRevision;
}

membership_node::reported_versions membership_node::newestReported(boot_clock::time_point now) const
{
    reported_versions newest;
    for (const auto &[key, peer] : m_peers) {
        if (now - peer.receivedAt > m_settings.aliveTimeout) {
            continue;
        }
        if (peer.appliedRevision > newest.revision) {
            newest.revision = peer.appliedRevision;
            newest.revisionPeer = peer.entry.controlEndpoint;
        }
        if (peer.appliedListVersion > newest.listVersion) {
            newest.listVersion = peer.appliedListVersion;
            newest.listPeer = peer.entry.controlEndpoint;
        }
    }
    return newest;
}

boot_clock::time_point membership_node::majorityHeartbeatTime(boot_clock::time_point now) const
{
    const std::size_t quorum = m_list.members.size() / 2 + 1;
    if (m_list.members.size() <= 1) {
        return {};
    }
    std::vector<boot_clock::time_point> sentTimes{now};
    for (const listed_member &member : m_list.members) {
        const peer_state *peer = listedPeer(member);
        if (member.entry.instance != m_self.instance && peer != nullptr && peer->acknowledgedSentAt != boot_clock::time_point()) {
            sentTimes.push_back(peer->acknowledgedSentAt);
        }
    }
    if (sentTimes.size() < quorum) {
        return {};
    }
    std::sort(sentTimes.begin(), sentTimes.end(), std::greater<>());
    return sentTimes[quorum - 1];
}

boot_clock::time_point membership_node::majorityUntil(boot_clock::time_point now) const
{
    const auto sent = majorityHeartbeatTime(now);
    return sent == boot_clock::time_point() ? sent : sent + m_settings.leaseDuration;
}

boot_clock::time_point membership_node::entitledUntil(boot_clock::time_point now) const
{
    if (m_hasLeft || !isMember()) {
        return {};
    }
    return std::max(m_leaseUntil, majorityUntil(now));
}

void membership_node::updateState(boot_clock::time_point now)
{
    const bool canAct = !m_hasLeft && isMember();
    m_machine.update(canAct && m_leaseUntil > now, canAct && majorityUntil(now) > now);
}

std::vector<std::string> membership_node::actionableTargets() const
{
    if (!isMember() || m_hasLeft) {
        return {};
    }
    std::map<std::string, std::uint64_t, std::less<>> confirmed;
    for (const listed_member &member : m_list.members) {
        const peer_state *peer = listedPeer(member);
        confirmed[member.entry.instance] = peer == nullptr ? 0 : peer->appliedListVersion;
    }
    return m_guard.actionableTargets(confirmed);
}

bool membership_node::mayAcknowledge(const std::string &instance, const std::string &incarnation) const
{
    return isMember() && m_list.contains(instance, incarnation) && m_declaredDead.count(instance) == 0;
}

// --- events

void membership_node::receive(const gossip &datagram, boot_clock::time_point now)
{
    const std::string &instance = datagram.sender.instance;
    const bool isFormerIncarnation = instance == m_self.instance;
    if (isFormerIncarnation) {
        return;
    }
    peer_state &peer = m_peers[{instance, datagram.incarnation}];
    if (datagram.sequence > peer.sequence) {
        // Datagrams may arrive out of order; addresses and the leaving flag are taken from the newest one.
        peer.entry = datagram.sender;
        peer.incarnation = datagram.incarnation;
        peer.sequence = datagram.sequence;
        peer.receivedAt = now;
    }
    processContent(datagram, peer, now);
}

void membership_node::processContent(const gossip &datagram, peer_state &peer, boot_clock::time_point now)
{
    peer.appliedRevision = std::max(peer.appliedRevision, datagram.appliedRevision);
    peer.appliedListVersion = std::max(peer.appliedListVersion, datagram.appliedMemberListVersion);
    if (const auto sent = sentAt(datagram.acknowledgedSequence)) {
        peer.acknowledgedSentAt = std::max(peer.acknowledgedSentAt, *sent);
    }
    confirmLease(datagram.leaseSequence);
    for (const rumour &received : datagram.rumours) {
        processRumour(received, peer, now);
    }
}

void membership_node::processRumour(const rumour &received, peer_state &from, boot_clock::time_point now)
{
    if (received.state == member_state::Dead) {
        if (received.instance == from.entry.instance && received.incarnation == from.incarnation) {
            from.left = true;
            return;
        }
        auto &declared = from.declaredDead[received.instance];
        if (received.sequence >= declared.second) {
            declared = {received.incarnation, received.sequence};
        }
        return;
    }
    const auto subject = m_peers.find({received.instance, received.incarnation});
    if (subject != m_peers.end() && received.sequence > std::max(subject->second.sequence, subject->second.indirectSequence)) {
        subject->second.indirectSequence = received.sequence;
        subject->second.indirectReceivedAt = now;
    }
}

void membership_node::confirmLease(std::uint64_t sequence)
{
    if (const auto sent = sentAt(sequence)) {
        m_leaseUntil = std::max(m_leaseUntil, *sent + m_settings.leaseDuration);
    }
}

void membership_node::onObjectRead(const std::string &kind, const std::string &name, const std::optional<stored_object> &object, boot_clock::time_point now)
{
    m_objectsInFlight.erase(kind + "/" + name);
    if (kind == "leases") {
        processLeases(name, object, now);
        return;
    }
    if (!object) {
        m_listObjectVersion = 0;
        m_storedListVersion = 0;
        return;
    }
    const auto parsed = parseMemberList(object->value);
    if (!parsed) {
        logError("control", "can't parse the member list in the store: " + describe(parsed.error()));
        return;
    }
    m_listObjectVersion = object->version;
    m_storedListVersion = parsed.value().version;
    offerList(parsed.value(), now);
}

void membership_node::onStoreFailed(const std::string &kind, const std::string &name)
{
    m_objectsInFlight.erase(kind + "/" + name);
}

void membership_node::processLeases(const std::string &dataCentre, const std::optional<stored_object> &object, boot_clock::time_point now)
{
    lease_object &cached = m_leaseObjects[dataCentre];
    const std::uint64_t version = object ? object->version : 0;
    if (cached.version && version < *cached.version) {
        return;
    }
    lease_table leases;
    if (object) {
        auto parsed = parseLeases(object->value);
        if (!parsed) {
            logError("control", "can't parse the leases of " + dataCentre + " in the store: " + describe(parsed.error()));
            return;
        }
        leases = std::move(parsed.value());
    }
    cached = {version, std::move(leases)};
    for (const listed_member &member : m_list.members) {
        if (member.entry.dataCentre != dataCentre) {
            continue;
        }
        const lease_entry value = cached.leases.find(member.entry.instance, member.incarnation);
        const auto observed = m_observedLeases.find(member.entry.instance);
        const bool isUnchanged = observed != m_observedLeases.end() && observed->second.value.incarnation == value.incarnation
            && observed->second.value.sequence == value.sequence;
        if (isUnchanged) {
            observed->second.value = value;
        } else {
            m_observedLeases[member.entry.instance] = {value, now};
        }
        if (member.entry.instance == m_self.instance && value.incarnation == m_incarnation) {
            confirmLease(value.sequence);
        }
    }
}

void membership_node::offerList(const member_list &list, boot_clock::time_point now)
{
    const std::uint64_t newest = m_pending ? m_pending->version : m_list.version;
    if (list.version > newest) {
        m_pending = list;
    }
    adoptPending(now);
}

void membership_node::provideDocument(std::uint64_t revision, document_pointer document, boot_clock::time_point now)
{
    m_documents[revision] = std::move(document);
    while (m_documents.size() > MaxDocuments) {
        // Keeps revision 0, the empty configuration, which is always available.
        m_documents.erase(std::next(m_documents.begin()));
    }
    adoptPending(now);
}

void membership_node::adoptPending(boot_clock::time_point now)
{
    if (!m_pending) {
        return;
    }
    const auto document = m_documents.find(m_pending->revision);
    if (document == m_documents.end()) {
        return;
    }
    const bool wasMember = isMember();
    m_list = std::move(*m_pending);
    m_pending.reset();
    m_guard.advance(m_list, assignTargets(m_list.entries(), *document->second));
    m_declaredDead.clear();
    m_adoptedAt = now;
    std::map<peer_key, boot_clock::time_point> listedSince;
    for (const listed_member &member : m_list.members) {
        const peer_key key{member.entry.instance, member.incarnation};
        const auto previous = m_listedSince.find(key);
        listedSince[key] = previous == m_listedSince.end() ? now : previous->second;
    }
    m_listedSince = std::move(listedSince);
    if (wasMember && !isMember()) {
        startNewIncarnation();
    }
}

/// A removed member joins again as a new incarnation, so that acknowledgements and leases of the new membership can't extend the old one.
void membership_node::startNewIncarnation()
{
    ++m_restarts;
    m_incarnation += "." + std::to_string(m_restarts);
    m_sequence = firstSequence(m_incarnation);
    m_sent.clear();
    m_leaseUntil = {};
    m_appliedListVersion = 0;
    for (auto &[key, peer] : m_peers) {
        peer.acknowledgedSentAt = {};
    }
}

void membership_node::setNewestRoot(std::uint64_t revision, std::string root)
{
    if (revision > m_newestRevision) {
        m_newestRevision = revision;
        m_newestRoot = std::move(root);
    }
}

void membership_node::setApplied(std::uint64_t revision, std::uint64_t listVersion)
{
    m_appliedRevision = std::max(m_appliedRevision, revision);
    if (isMember()) {
        m_appliedListVersion = std::max(m_appliedListVersion, std::min(listVersion, m_list.version));
    }
}

void membership_node::startLeaving()
{
    m_self.leaving = true;
}

void membership_node::finishLeaving()
{
    m_hasLeft = true;
    m_machine.leave();
}

// --- periodic work

std::vector<membership_action> membership_node::tick(boot_clock::time_point now)
{
    if (m_lastTick && now - *m_lastTick < m_settings.heartbeatInterval) {
        return {};
    }
    // Silence of the peers during a pause of this process doesn't indicate that they failed.
    const bool wasPaused = m_lastTick && now - *m_lastTick > m_settings.aliveTimeout;
    if (wasPaused) {
        m_resumedAt = now;
    }
    m_lastTick = now;
    ++m_sequence;
    m_sent.emplace_back(m_sequence, now);
    while (now - m_sent.front().second > m_settings.leaseDuration) {
        m_sent.pop_front();
    }
    declareDeadMembers(now);
    removeExpiredPeers(now);
    updateState(now);

    std::vector<membership_action> actions;
    sendGossip(actions, now);
    // Revocations precede renewals: an object has at most one call in flight, and a renewal can wait for the next heartbeat interval.
    if (mayWriteList(now)) {
        revokeLeases(actions, now);
    }
    renewLeases(actions, now);
    if (mayWriteList(now)) {
        writeList(actions, now);
    }
    readObjects(actions, now);
    return actions;
}

std::vector<membership_action> membership_node::runUrgentWork(boot_clock::time_point now)
{
    std::vector<membership_action> actions;
    if (!m_lastTick) {
        return actions;
    }
    if (m_sentRevision < m_appliedRevision || m_sentListVersion < m_appliedListVersion) {
        sendGossip(actions, now);
    }
    if (mayWriteList(now)) {
        revokeLeases(actions, now);
        writeList(actions, now);
    }
    return actions;
}

void membership_node::sendGossip(std::vector<membership_action> &actions, boot_clock::time_point now)
{
    for (const std::string &peerEndpoint : gossipEndpoints(now)) {
        actions.push_back(send_gossip{peerEndpoint, makeDatagram(peerEndpoint, now)});
    }
    m_sentRevision = m_appliedRevision;
    m_sentListVersion = m_appliedListVersion;
}

void membership_node::declareDeadMembers(boot_clock::time_point now)
{
    if (!isMember()) {
        return;
    }
    for (const listed_member &member : m_list.members) {
        if (member.entry.instance == m_self.instance) {
            continue;
        }
        const peer_state *peer = listedPeer(member);
        const auto listed = m_listedSince.find({member.entry.instance, member.incarnation});
        BALSAM_ASSERT(listed != m_listedSince.end());
        const auto lastReceived = std::max({m_resumedAt, listed->second, peer == nullptr ? boot_clock::time_point() : peer->receivedAt});
        if (now - lastReceived > m_settings.leaseDuration + m_settings.clockDriftMargin) {
            m_declaredDead[member.entry.instance] = member.incarnation;
        }
    }
}

void membership_node::removeExpiredPeers(boot_clock::time_point now)
{
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        const bool isExpired = now - peer->second.receivedAt > PeerRetentionPeriod && !m_list.contains(peer->first.first, peer->first.second);
        peer = isExpired ? m_peers.erase(peer) : std::next(peer);
    }
}

std::vector<std::string> membership_node::gossipEndpoints(boot_clock::time_point now)
{
    std::set<std::string> endpoints;
    std::vector<std::string> members;
    for (const listed_member &member : m_list.members) {
        if (member.entry.instance != m_self.instance) {
            members.push_back(member.entry.gossipEndpoint);
        }
    }
    if (members.size() > m_settings.fullPingLimit) {
        std::shuffle(members.begin(), members.end(), m_random);
        members.resize(m_settings.randomPingPeers);
        const auto live = ranking(now);
        const listed_member *reporter = reporterOf(m_self.dataCentre, now);
        for (const listed_member *mandatory : {live.empty() ? nullptr : live.front(), reporter}) {
            if (mandatory != nullptr && mandatory->entry.instance != m_self.instance) {
                endpoints.insert(mandatory->entry.gossipEndpoint);
            }
        }
    }
    endpoints.insert(members.begin(), members.end());
    for (const auto &[key, peer] : m_peers) {
        if (now - peer.receivedAt < JoinerTimeout && m_list.find(key.first) == nullptr) {
            endpoints.insert(peer.entry.gossipEndpoint);
        }
    }
    return {endpoints.begin(), endpoints.end()};
}

gossip membership_node::makeDatagram(const std::string &peerEndpoint, boot_clock::time_point now)
{
    gossip datagram;
    datagram.sender = m_self;
    datagram.incarnation = m_incarnation;
    datagram.sequence = m_sequence;
    datagram.appliedRevision = m_appliedRevision;
    datagram.appliedMemberListVersion = m_appliedListVersion;
    for (const listed_member &member : m_list.members) {
        if (member.entry.gossipEndpoint != peerEndpoint || member.entry.instance == m_self.instance) {
            continue;
        }
        const peer_state *peer = listedPeer(member);
        if (peer != nullptr && mayAcknowledge(member.entry.instance, member.incarnation)) {
            datagram.acknowledgedSequence = peer->sequence;
        }
        const auto leases = m_leaseObjects.find(member.entry.dataCentre);
        if (leases != m_leaseObjects.end()) {
            datagram.leaseSequence = leases->second.leases.find(member.entry.instance, member.incarnation).sequence;
        }
    }
    addRumours(datagram, now);
    return datagram;
}

void membership_node::addRumours(gossip &datagram, boot_clock::time_point now)
{
    if (m_hasLeft) {
        datagram.rumours.push_back({m_self.instance, m_incarnation, member_state::Dead, m_sequence});
    }
    const listed_member *former = m_list.find(m_self.instance);
    if (former != nullptr && former->incarnation != m_incarnation) {
        datagram.rumours.push_back({m_self.instance, former->incarnation, member_state::Dead, m_list.version});
    }
    const std::size_t count = m_list.members.size();
    // With a random start index each rumour is sent eventually, also when not all fit into one datagram.
    const std::size_t start = count == 0 ? 0 : m_random() % count;
    for (std::size_t i = 0; i < count && datagram.rumours.size() < m_settings.maxRumours; ++i) {
        const auto dead = m_declaredDead.find(m_list.members[(start + i) % count].entry.instance);
        if (dead != m_declaredDead.end()) {
            datagram.rumours.push_back({dead->first, dead->second, member_state::Dead, m_list.version});
        }
    }
    for (std::size_t i = 0; i < count && datagram.rumours.size() < m_settings.maxRumours; ++i) {
        const listed_member &member = m_list.members[(start + i) % count];
        const peer_state *peer = listedPeer(member);
        if (peer != nullptr && m_declaredDead.count(member.entry.instance) == 0) {
            const auto state = isAlive(member.entry.instance, now) ? member_state::Alive : member_state::Suspect;
            datagram.rumours.push_back({member.entry.instance, member.incarnation, state, std::max(peer->sequence, peer->indirectSequence)});
        }
    }
}

void membership_node::addStoreCall(std::vector<membership_action> &actions, membership_action action)
{
    const std::string object = std::visit(
        [](const auto &call) -> std::string {
            if constexpr (std::is_same_v<std::decay_t<decltype(call)>, send_gossip>) {
                return {};
            } else {
                return call.kind + "/" + call.name;
            }
        },
        action);
    if (m_objectsInFlight.insert(object).second) {
        actions.push_back(std::move(action));
    }
}

// --- leases

void membership_node::renewLeases(std::vector<membership_action> &actions, boot_clock::time_point now)
{
    const listed_member *reporter = reporterOf(m_self.dataCentre, now);
    if (reporter == nullptr || reporter->entry.instance != m_self.instance) {
        return;
    }
    const lease_object &cached = m_leaseObjects[m_self.dataCentre];
    if (!cached.version) {
        addStoreCall(actions, read_object{"leases", m_self.dataCentre});
        return;
    }
    if (cached.leases.listVersion > m_list.version) {
        // Leases of members that the newer list doesn't contain must not be renewed. Only reads the object until the newer list is adopted.
        addStoreCall(actions, read_object{"leases", m_self.dataCentre});
        return;
    }
    lease_table leases;
    leases.listVersion = m_list.version;
    for (const listed_member &member : m_list.members) {
        if (member.entry.dataCentre != m_self.dataCentre) {
            continue;
        }
        lease_entry lease = cached.leases.find(member.entry.instance, member.incarnation);
        const peer_state *peer = listedPeer(member);
        const std::uint64_t newestSequence = member.entry.instance == m_self.instance ? m_sequence : (peer == nullptr ? 0 : peer->sequence);
        // A revocation under an older list doesn't prevent a renewal: the current list still contains the member, so the revocation can't lead to its
        // removal any more. Heartbeats that aren't recent are not written, because a changed lease restarts the expiry period of a silent member.
        const bool isRecent = member.entry.instance == m_self.instance || (peer != nullptr && now - peer->receivedAt <= 2 * m_settings.heartbeatInterval);
        const bool mayRenew = lease.revokedAt < m_list.version && isRecent;
        if (mayRenew && newestSequence > lease.sequence) {
            lease = {member.incarnation, newestSequence, 0};
        }
        leases.entries[member.entry.instance] = lease;
    }
    addStoreCall(actions, write_object{"leases", m_self.dataCentre, *cached.version, leasesText(leases)});
}

bool membership_node::hasLeaseExpired(const listed_member &member, boot_clock::time_point now) const
{
    const auto observed = m_observedLeases.find(member.entry.instance);
    return observed != m_observedLeases.end() && observed->second.value.incarnation == member.incarnation
        && now - observed->second.unchangedSince > m_settings.leaseDuration + m_settings.clockDriftMargin;
}

bool membership_node::isRevoked(const listed_member &member) const
{
    const auto observed = m_observedLeases.find(member.entry.instance);
    return observed != m_observedLeases.end() && observed->second.value.incarnation == member.incarnation && observed->second.value.revokedAt == m_list.version;
}

void membership_node::revokeLeases(std::vector<membership_action> &actions, boot_clock::time_point now)
{
    std::map<std::string, lease_table> revoked;
    for (const listed_member &member : m_list.members) {
        const std::string &dataCentre = member.entry.dataCentre;
        const auto object = m_leaseObjects.find(dataCentre);
        const bool isWritable = object != m_leaseObjects.end() && object->second.version && object->second.leases.listVersion <= m_list.version;
        if (!isWritable || isRevoked(member) || !hasLeaseExpired(member, now) || !hasRemovalQuorum(member)) {
            continue;
        }
        lease_table &leases = revoked.try_emplace(dataCentre, object->second.leases).first->second;
        lease_entry lease = leases.find(member.entry.instance, member.incarnation);
        lease.revokedAt = m_list.version;
        leases.entries[member.entry.instance] = lease;
        leases.listVersion = m_list.version;
    }
    for (const auto &[dataCentre, leases] : revoked) {
        addStoreCall(actions, write_object{"leases", dataCentre, *m_leaseObjects[dataCentre].version, leasesText(leases)});
    }
}

// --- member list

bool membership_node::hasVotedForRemoval(const std::string &voter, const listed_member &subject) const
{
    if (voter == m_self.instance) {
        const auto dead = m_declaredDead.find(subject.entry.instance);
        const bool declared = dead != m_declaredDead.end() && dead->second == subject.incarnation;
        return isMember() ? declared : haveFormerAcknowledgementsExpired(m_sequence, m_incarnation);
    }
    const listed_member *listed = m_list.find(voter);
    for (auto peer = m_peers.lower_bound({voter, ""}); listed != nullptr && peer != m_peers.end() && peer->first.first == voter; ++peer) {
        const peer_state &state = peer->second;
        const auto hasDeclared = [&](const listed_member &member) {
            const auto declared = state.declaredDead.find(member.entry.instance);
            return declared != state.declaredDead.end() && declared->second == std::pair{member.incarnation, m_list.version};
        };
        const bool isListed = listed->incarnation == state.incarnation;
        // A later incarnation of the voter votes for every removal after it has declared the listed one dead and all acknowledgements of that one have
        // expired.
        const bool isSuccessor = !isListed && hasDeclared(*listed) && haveFormerAcknowledgementsExpired(state.sequence, state.incarnation);
        if (isSuccessor || (isListed && hasDeclared(subject))) {
            return true;
        }
    }
    return false;
}

std::size_t membership_node::countRemovalVotes(const listed_member &member, const std::vector<std::string> &voters) const
{
    return static_cast<std::size_t>(std::count_if(voters.begin(), voters.end(), [&](const std::string &voter) { return hasVotedForRemoval(voter, member); }));
}

bool membership_node::hasRemovalQuorum(const listed_member &member) const
{
    std::vector<std::string> voters;
    voters.reserve(m_list.members.size());
    for (const listed_member &voter : m_list.members) {
        voters.push_back(voter.entry.instance);
    }
    if (countRemovalVotes(member, voters) < removalQuorum(voters.size())) {
        return false;
    }
    const peer_state *peer = listedPeer(member);
    const bool hasConfirmed = member.joined == m_list.version || (peer != nullptr && peer->appliedListVersion >= m_list.version);
    return hasConfirmed || countRemovalVotes(member, m_list.previous) >= removalQuorum(m_list.previous.size());
}

bool membership_node::isRemovable(const listed_member &member) const
{
    const peer_state *peer = listedPeer(member);
    const bool hasLeft = peer != nullptr && peer->left;
    return hasLeft || (isRevoked(member) && hasRemovalQuorum(member));
}

bool membership_node::needsReinstatement(boot_clock::time_point now) const
{
    // Gives a removal in progress time to complete, so that the list isn't written twice.
    const auto gracePeriod = 2 * (m_settings.leaseDuration + m_settings.clockDriftMargin);
    if (now - m_adoptedAt < gracePeriod) {
        return false;
    }
    return std::any_of(m_list.members.begin(), m_list.members.end(), [&](const listed_member &member) {
        const bool isLocal = member.entry.instance == m_self.instance && isMember();
        const peer_state *peer = listedPeer(member);
        const bool isActive = isLocal || (peer != nullptr && now - peer->receivedAt <= m_settings.aliveTimeout);
        return isActive && !isRemovable(member) && (isRevoked(member) || hasRemovalQuorum(member));
    });
}

member_list membership_node::nextList(boot_clock::time_point now) const
{
    member_list next;
    next.version = m_list.version + 1;
    next.revision = std::max(m_newestRevision, m_list.revision);
    next.root = m_newestRevision > m_list.revision ? m_newestRoot : m_list.root;
    for (const listed_member &member : m_list.members) {
        next.previous.push_back(member.entry.instance);
        if (isRemovable(member)) {
            continue;
        }
        listed_member kept = member;
        const peer_state *peer = listedPeer(member);
        const bool isLocal = member.entry.instance == m_self.instance && member.incarnation == m_incarnation;
        kept.entry.leaving = member.entry.leaving || (isLocal ? m_self.leaving : peer != nullptr && peer->entry.leaving);
        next.members.push_back(std::move(kept));
    }
    const auto join = [&](const member_entry &entry, const std::string &incarnation) {
        if (next.find(entry.instance) == nullptr) {
            next.members.push_back({entry, incarnation, next.version});
        }
    };
    if (!isMember() && !m_hasLeft && !m_self.leaving) {
        join(m_self, m_incarnation);
    }
    for (const auto &[key, peer] : m_peers) {
        // A removed member that hasn't received the newer list still reports a list version. It must not join again under the same incarnation.
        const bool isJoining = peer.appliedListVersion == 0 && !m_list.contains(key.first, key.second) && !peer.left && !peer.entry.leaving;
        if (isJoining && now - peer.receivedAt <= m_settings.aliveTimeout) {
            join(peer.entry, peer.incarnation);
        }
    }
    std::sort(next.members.begin(), next.members.end(), [](const listed_member &left, const listed_member &right) {
        return left.entry.instance < right.entry.instance;
    });
    for (listed_member &member : next.members) {
        member.entry.alive = true;
    }
    return next;
}

bool membership_node::mayWriteList(boot_clock::time_point now) const
{
    return !m_hasLeft && isController(now);
}

void membership_node::readObjects(std::vector<membership_action> &actions, boot_clock::time_point now)
{
    // A joining instance finds its peers in the stored list.
    const bool needsList = mayWriteList(now) || (!isMember() && !m_hasLeft);
    if (needsList) {
        addStoreCall(actions, read_object{"members", "list"});
    }
    // The second member of the ranking also observes leases, so that it doesn't restart the expiry periods when it takes over from the first one.
    const auto live = ranking(now);
    const bool isObserver = std::any_of(live.begin(), live.begin() + std::min<std::ptrdiff_t>(2, std::ssize(live)), [&](const listed_member *member) {
        return member->entry.instance == m_self.instance;
    });
    if (!mayWriteList(now) && !isObserver) {
        return;
    }
    std::set<std::string> dataCentres;
    for (const listed_member &member : m_list.members) {
        dataCentres.insert(member.entry.dataCentre);
    }
    for (const std::string &dataCentre : dataCentres) {
        addStoreCall(actions, read_object{"leases", dataCentre});
    }
}

void membership_node::writeList(std::vector<membership_action> &actions, boot_clock::time_point now)
{
    const bool isCurrent = m_listObjectVersion && m_storedListVersion == m_list.version && !m_pending;
    if (!isCurrent) {
        return;
    }
    member_list next = nextList(now);
    const bool isConfirmed = std::all_of(m_list.members.begin(), m_list.members.end(), [&](const listed_member &member) {
        const listed_member *kept = next.find(member.entry.instance);
        const peer_state *peer = listedPeer(member);
        const bool isLocal = member.entry.instance == m_self.instance && member.incarnation == m_incarnation;
        const std::uint64_t confirmed = isLocal ? m_appliedListVersion : (peer == nullptr ? 0 : peer->appliedListVersion);
        return kept == nullptr || kept->incarnation != member.incarnation || confirmed >= m_list.version;
    });
    const auto keyOf = [](const listed_member &member) { return std::tuple(member.entry.instance, member.incarnation, member.entry.leaving); };
    const bool isSame = next.revision == m_list.revision
        && std::equal(next.members.begin(), next.members.end(), m_list.members.begin(), m_list.members.end(), [&](const auto &left, const auto &right) {
                            return keyOf(left) == keyOf(right);
                        });
    if (!isConfirmed || (isSame && !needsReinstatement(now)) || m_documents.count(next.revision) == 0) {
        return;
    }
    next.nonce = m_incarnation + "-" + std::to_string(m_sequence);
    addStoreCall(actions, write_object{"members", "list", *m_listObjectVersion, memberListText(next)});
}

} // namespace balsamhook
