#pragma once

#include "configuration/configuration.h"
#include "membership/assignment.h"
#include "membership/entitlement_machine.h"
#include "membership/member_list.h"
#include "membership/takeover_guard.h"
#include "platform/platform.h"

#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace balsamhook
{

struct membership_settings
{
    std::chrono::milliseconds leaseDuration{3000};
    std::chrono::milliseconds heartbeatInterval{500};
    std::chrono::milliseconds clockDriftMargin{500}; ///< Maximum divergence of two clocks over the lease duration, with margin.
    std::chrono::milliseconds aliveTimeout{1600}; ///< Three heartbeats and a network delay; members silent for longer are left out of the ranking.
    std::size_t fullPingLimit = 16; ///< Maximum number of other members for which each period pings all of them.
    std::size_t randomPingPeers = 8; ///< Pings per period in larger lists, besides controller, reporter and joining instances.
    std::size_t maxRumours = 16; ///< Per datagram.
};

struct send_gossip
{
    std::string peerEndpoint; ///< "IP:port"
    gossip content;
};

/// Reads an object. The result is passed to onObjectRead() or onStoreFailed().
struct read_object
{
    std::string kind;
    std::string name;
};

/// Updates an object conditionally. After a success the new object is passed to onObjectRead(), after a conflict or a lost response the object that
/// was read back; after any other failure onStoreFailed() is called.
struct write_object
{
    std::string kind;
    std::string name;
    std::uint64_t expected = 0;
    std::string value;
};

using membership_action = std::variant<send_gossip, read_object, write_object>;

using document_pointer = std::shared_ptr<const configuration_document>;

/// Membership of one instance: failure detection by gossip, lease and entitlement, the member list, and the takeover guard.
///
/// Rules that prevent two instances from acting on one target:
/// - A member is entitled for the lease duration from the time at which it sent a heartbeat that its reporter has written to the store, or that a
///   majority of its member list acknowledged. Only acknowledgements of listed incarnations count.
/// - A member that received nothing from another member for the lease duration plus clock drift declares it dead, and sends it no
///   acknowledgements until a newer list is adopted. The declaration is a rumour with the list version in the field sequence.
/// - A member is removed only after at least half of the list (and of the previous list, unless the member confirmed the current one) declared it
///   dead under the current version, and after its lease, unchanged for lease duration plus clock drift, was revoked by a conditional update of the
///   lease object. The reporter doesn't renew a lease that was revoked under its list version.
/// - A restarted controller declares its former incarnation dead, which can't acknowledge any more; after the lease duration plus clock drift this
///   counts as a declaration about every member. Precondition: two incarnations of an instance never run at the same time.
/// - A list is written only when every remaining member confirmed the previous one.
///
/// Heartbeat sequences start at a number derived from the incarnation, so that an acknowledgement can't be mistaken for one of another
/// incarnation. Not thread-safe.
class membership_node
{
public:
    membership_node(member_entry self, std::string incarnation, membership_settings values, std::uint64_t seed);

    /// Does the work of one heartbeat interval. Does nothing when called again within the interval.
    std::vector<membership_action> tick(boot_clock::time_point now);

    /// Does the work that can't wait for the next heartbeat interval: announces newly applied versions, revokes leases and writes the list based on
    /// objects that were just read. Writes at the next interval would conflict each time, because reporters also write once per interval.
    std::vector<membership_action> runUrgentWork(boot_clock::time_point now);

    void receive(const gossip &datagram, boot_clock::time_point now);

    /// Processes an object that was read or written; no value when it doesn't exist.
    void onObjectRead(const std::string &kind, const std::string &name, const std::optional<stored_object> &object, boot_clock::time_point now);

    /// Processes the failure of a call for this object.
    void onStoreFailed(const std::string &kind, const std::string &name);

    /// Processes a member list from a peer. Lists that aren't newer are ignored.
    void offerList(const member_list &list, boot_clock::time_point now);

    /// Adds the document of a revision, which the assignment of a list with this revision needs.
    void provideDocument(std::uint64_t revision, document_pointer document, boot_clock::time_point now);

    /// Sets the newest configuration root for the next member list. Roots that aren't newer are ignored.
    void setNewestRoot(std::uint64_t revision, std::string root);

    /// Sets the versions that the local programs applied. Precondition: they released all targets that aren't actionable under these versions. Lower
    /// versions are ignored.
    void setApplied(std::uint64_t revision, std::uint64_t listVersion);

    /// Starts a planned stop: the next list marks this instance as leaving.
    void startLeaving();

    /// Completes a planned stop. Precondition: the local programs don't act on any target.
    void finishLeaving();

    /// Updates the entitlement state that state() returns.
    void updateState(boot_clock::time_point now);

    /// Returns the time until which this instance may act as owner; the epoch when it isn't entitled.
    boot_clock::time_point entitledUntil(boot_clock::time_point now) const;

    entitlement_state state() const;
    const member_list &list() const;
    bool isMember() const;
    const owner_map &owners() const;

    /// Returns the targets that this instance may act on while it is entitled.
    std::vector<std::string> actionableTargets() const;

    /// Returns whether a newer heartbeat of the member was received, or reported by a peer, within the alive timeout; true for the local instance.
    bool isAlive(std::string_view instance, boot_clock::time_point now) const;

    /// Returns whether this instance is among the given number of first-ranked live members of its data centre.
    bool isRankedInDataCentre(std::size_t count, boot_clock::time_point now) const;

    /// Returns whether this instance is the controller: the first live member in the ranking or, when no member is alive, any joining instance. The
    /// controller writes the member list, except after finishLeaving().
    bool isController(boot_clock::time_point now) const;

    /// Returns the configuration revision that the instance last reported as applied; 0 when unknown.
    std::uint64_t appliedRevision(std::string_view instance) const;

    /// Newest revision and list version that live peers reported as applied, each with a peer that has it.
    struct reported_versions
    {
        std::uint64_t revision = 0;
        std::string revisionPeer; ///< Control endpoint.
        std::uint64_t listVersion = 0;
        std::string listPeer; ///< Control endpoint.
    };
    reported_versions newestReported(boot_clock::time_point now) const;

    /// Returns the time at which this instance sent the newest heartbeat that a majority of the list has acknowledged; the reports of these members
    /// are at least as recent. The epoch when there is none, also in a list of one member. The time at which a datagram is read doesn't show its
    /// age, because a process that resumes after a pause reads old datagrams from its socket.
    boot_clock::time_point majorityHeartbeatTime(boot_clock::time_point now) const;

    /// Returns the list that can't be adopted before the document of its revision is provided; nullptr when there is none.
    const member_list *pendingList() const;

    const std::string &incarnation() const;

private:
    struct peer_state
    {
        member_entry entry;
        std::string incarnation;
        std::uint64_t sequence = 0;
        std::uint64_t indirectSequence = 0;
        boot_clock::time_point receivedAt;
        boot_clock::time_point indirectReceivedAt;
        std::uint64_t appliedRevision = 0;
        std::uint64_t appliedListVersion = 0;
        boot_clock::time_point acknowledgedSentAt; ///< When this instance sent the newest heartbeat that the peer acknowledged.
        std::map<std::string, std::pair<std::string, std::uint64_t>, std::less<>> declaredDead; ///< Instance to incarnation and list version.
        bool left = false;
    };
    struct observed_lease
    {
        lease_entry value;
        boot_clock::time_point unchangedSince;
    };
    struct lease_object
    {
        std::optional<std::uint64_t> version; ///< No value before the first read.
        lease_table leases;
    };
    using peer_key = std::pair<std::string, std::string>; ///< Instance and incarnation.

    std::uint64_t firstSequence(const std::string &incarnation) const;
    /// Returns whether the incarnation has run for long enough that all acknowledgements of a former incarnation of its instance have expired.
    bool haveFormerAcknowledgementsExpired(std::uint64_t sequence, const std::string &incarnation) const;
    const peer_state *listedPeer(const listed_member &member) const;
    std::optional<boot_clock::time_point> sentAt(std::uint64_t sequence) const;
    std::vector<const listed_member *> ranking(boot_clock::time_point now) const;
    const listed_member *reporterOf(const std::string &dataCentre, boot_clock::time_point now) const;
    boot_clock::time_point majorityUntil(boot_clock::time_point now) const;
    bool mayAcknowledge(const std::string &instance, const std::string &incarnation) const;

    void processContent(const gossip &datagram, peer_state &peer, boot_clock::time_point now);
    void processRumour(const rumour &received, peer_state &from, boot_clock::time_point now);
    void confirmLease(std::uint64_t sequence);
    void processLeases(const std::string &dataCentre, const std::optional<stored_object> &object, boot_clock::time_point now);
    void adoptPending(boot_clock::time_point now);
    void startNewIncarnation();
    void declareDeadMembers(boot_clock::time_point now);
    void removeExpiredPeers(boot_clock::time_point now);

    std::vector<std::string> gossipEndpoints(boot_clock::time_point now);
    gossip makeDatagram(const std::string &peerEndpoint, boot_clock::time_point now);
    void addRumours(gossip &datagram, boot_clock::time_point now);

    void renewLeases(std::vector<membership_action> &actions, boot_clock::time_point now);
    bool mayWriteList(boot_clock::time_point now) const;
    void readObjects(std::vector<membership_action> &actions, boot_clock::time_point now);
    void writeList(std::vector<membership_action> &actions, boot_clock::time_point now);
    void sendGossip(std::vector<membership_action> &actions, boot_clock::time_point now);
    void revokeLeases(std::vector<membership_action> &actions, boot_clock::time_point now);
    /// Adds the store call unless another call for the same object is in flight.
    void addStoreCall(std::vector<membership_action> &actions, membership_action action);
    bool hasLeaseExpired(const listed_member &member, boot_clock::time_point now) const;
    bool isRevoked(const listed_member &member) const;
    bool hasRemovalQuorum(const listed_member &member) const;
    std::size_t countRemovalVotes(const listed_member &member, const std::vector<std::string> &voters) const;
    bool hasVotedForRemoval(const std::string &voter, const listed_member &subject) const;
    bool isRemovable(const listed_member &member) const;
    bool needsReinstatement(boot_clock::time_point now) const;
    member_list nextList(boot_clock::time_point now) const;

    member_entry m_self;
    std::string m_incarnation;
    std::uint64_t m_restarts = 0;
    membership_settings m_settings;
    std::mt19937_64 m_random;
    entitlement_machine m_machine;
    takeover_guard m_guard;

    std::uint64_t m_sequence = 0;
    std::optional<boot_clock::time_point> m_lastTick;
    std::deque<std::pair<std::uint64_t, boot_clock::time_point>> m_sent;
    boot_clock::time_point m_leaseUntil;
    std::map<peer_key, peer_state> m_peers;

    member_list m_list;
    std::optional<member_list> m_pending;
    boot_clock::time_point m_adoptedAt;
    boot_clock::time_point m_resumedAt; ///< When this process last resumed after a pause.
    std::map<peer_key, boot_clock::time_point> m_listedSince; ///< When this instance first saw each member in a list.
    std::map<std::string, std::string, std::less<>> m_declaredDead; ///< Instance to incarnation; declared by this instance under the adopted list.
    std::optional<std::uint64_t> m_listObjectVersion; ///< Store version of members/list when last read.
    std::uint64_t m_storedListVersion = 0; ///< List version in that object.
    std::map<std::string, lease_object, std::less<>> m_leaseObjects; ///< By data centre.
    std::map<std::string, observed_lease, std::less<>> m_observedLeases; ///< By instance.
    std::set<std::string> m_objectsInFlight; ///< Kind and name of the objects with a call in flight.
    std::map<std::uint64_t, document_pointer> m_documents;

    std::uint64_t m_newestRevision = 0;
    std::string m_newestRoot;
    std::uint64_t m_appliedRevision = 0;
    std::uint64_t m_appliedListVersion = 0;
    std::uint64_t m_sentRevision = 0; ///< Applied revision in the last datagrams.
    std::uint64_t m_sentListVersion = 0; ///< Applied list version in the last datagrams.
    bool m_hasLeft = false;
};

} // namespace balsamhook
