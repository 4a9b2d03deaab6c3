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
    std::chrono::milliseconds lease{3000};
    std::chrono::milliseconds heartbeat{500};
    std::chrono::milliseconds drift{500}; ///< Largest difference of two clocks over the lease time, with margin.
    std::chrono::milliseconds aliveAfter{1600}; ///< A member heard within this time counts as alive for the ranking: three heartbeats and a delay.
    std::size_t fullPeers = 16; ///< Up to so many members each period pings all of them.
    std::size_t randomPeers = 8; ///< Pings per period in larger lists, besides controller, reporter and joining instances.
    std::size_t rumours = 16; ///< Per datagram.
};

struct send_gossip
{
    std::string peerEndpoint; ///< "IP:port"
    gossip content;
};

/// Read an object; the result goes to objectRead() or storeFailed().
struct read_object
{
    std::string kind;
    std::string name;
};

/// Conditional update of an object. After a success the new object goes to objectRead(), after a conflict or a lost answer the object that was read
/// back; after any other failure storeFailed() is called.
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
/// Rules that keep two instances from acting on one target:
/// - A member is entitled until the lease time after it sent a heartbeat that its reporter has written to the store, or that a majority of its
///   member list acknowledged. Acknowledgements count from listed incarnations only.
/// - A member that hasn't heard another one for lease plus drift declares it dead and acknowledges nothing to it until it adopts a newer list. It
///   makes the declaration as a rumour with the list version in the field sequence.
/// - A member is removed only after at least half of the list (and of the list before, unless it confirmed the current one) declared it dead
///   under the current version, and after its lease, unchanged for lease plus drift, was revoked by a conditional update of the lease object.
///   The reporter doesn't renew a lease that was revoked under its list version.
/// - A restarted controller declares its former incarnation dead, which can't acknowledge any more; after lease plus drift this counts as a
///   declaration about everyone. Precondition: the two incarnations of an instance never run at the same time.
/// - A list is written only when every remaining member confirmed the one before.
///
/// A heartbeat sequence starts at a number derived from the incarnation, so that an acknowledgement can't be mistaken for one of another
/// incarnation. Not thread-safe.
class membership_node
{
public:
    membership_node(member_entry self, std::string incarnation, membership_settings values, std::uint64_t seed);

    /// Does the periodic work; does nothing when called again within the heartbeat period.
    std::vector<membership_action> tick(boot_clock::time_point now);

    /// Does what can't wait for the next period: tells the others what was applied, revokes leases and writes the list on objects that were just
    /// read. Writes that wait for the next period would meet a newer version each time, because reporters write once a period, too.
    std::vector<membership_action> react(boot_clock::time_point now);

    void receive(const gossip &datagram, boot_clock::time_point now);

    /// Takes an object that was read or written; no value when it doesn't exist.
    void objectRead(const std::string &kind, const std::string &name, const std::optional<stored_object> &object, boot_clock::time_point now);

    /// The store couldn't be used for this object.
    void storeFailed(const std::string &kind, const std::string &name);

    /// Takes a member list that a peer sent. Lists that aren't newer are ignored.
    void offerList(const member_list &list, boot_clock::time_point now);

    /// Makes the document of a revision available for the assignment.
    void provideDocument(std::uint64_t revision, document_pointer document, boot_clock::time_point now);

    /// Tells the newest root, which the next member list will use.
    void setNewestRoot(std::uint64_t revision, std::string root);

    /// Tells what the local programs applied, with all other targets released. Only increases.
    void setApplied(std::uint64_t revision, std::uint64_t listVersion);

    /// Starts a planned stop: the next list marks this instance as leaving.
    void startLeaving();

    /// Ends a planned stop. Precondition: the local programs act on no target any more.
    void finishLeaving();

    /// Updates the entitlement state. Call it before state().
    void updateState(boot_clock::time_point now);

    /// Until when this instance may act as owner; the epoch when it may not at all.
    boot_clock::time_point entitledUntil(boot_clock::time_point now) const;

    entitlement_state state() const;
    const member_list &list() const;
    bool isMember() const;
    const owner_map &owners() const;

    /// Targets on which this instance may act while it is entitled.
    std::vector<std::string> actionable() const;

    /// True when the instance was heard recently, or is this one.
    bool isAlive(std::string_view instance, boot_clock::time_point now) const;

    /// True for the first-ranked live members of the data centre, as many as count.
    bool isRankedInDataCentre(std::size_t count, boot_clock::time_point now) const;

    /// True when this instance writes the member list now.
    bool isController(boot_clock::time_point now) const;

    /// Configuration revision that the instance applied, as last heard; 0 when unknown.
    std::uint64_t appliedRevision(std::string_view instance) const;

    /// Newest revision that any member applied, and a live member that has it.
    struct newer_state
    {
        std::uint64_t revision = 0;
        std::string revisionPeer; ///< Frame endpoint
        std::uint64_t listVersion = 0;
        std::string listPeer; ///< Frame endpoint
    };
    newer_state newestHeard(boot_clock::time_point now) const;

    /// When this instance sent the newest heartbeat that a majority of the list has acknowledged: what these members told is at least as recent.
    /// The epoch when there is none, also in a list of one member. A process that resumes reads old datagrams from its socket, so the time at
    /// which a datagram was read tells nothing about its age.
    boot_clock::time_point majorityAcknowledged(boot_clock::time_point now) const;

    /// A list that waits for the document of its revision; nullptr when there is none.
    const member_list *pendingList() const;

    const std::string &incarnation() const;

private:
    struct peer_state
    {
        member_entry entry;
        std::string incarnation;
        std::uint64_t sequence = 0;
        std::uint64_t indirectSequence = 0;
        boot_clock::time_point heardAt;
        boot_clock::time_point indirectAt;
        std::uint64_t appliedRevision = 0;
        std::uint64_t appliedListVersion = 0;
        boot_clock::time_point acknowledged; ///< When this instance sent the newest heartbeat that the peer acknowledged.
        std::map<std::string, std::pair<std::string, std::uint64_t>, std::less<>> declaredDead; ///< Instance to incarnation and list version.
        bool left = false;
    };
    struct observed_lease
    {
        lease_entry value;
        boot_clock::time_point since;
    };
    struct lease_object
    {
        std::optional<std::uint64_t> version; ///< No value until it was read.
        lease_table leases;
    };
    using peer_key = std::pair<std::string, std::string>; ///< Instance and incarnation.

    std::uint64_t firstSequence(const std::string &incarnation) const;
    /// True when the incarnation has run for so long that what a former incarnation of its instance acknowledged has expired.
    bool hasOutlivedFormer(std::uint64_t sequence, const std::string &incarnation) const;
    const peer_state *listedPeer(const listed_member &member) const;
    std::optional<boot_clock::time_point> sentAt(std::uint64_t sequence) const;
    std::vector<const listed_member *> ranking(boot_clock::time_point now) const;
    const listed_member *reporterOf(const std::string &dataCentre, boot_clock::time_point now) const;
    boot_clock::time_point majorityUntil(boot_clock::time_point now) const;
    bool mayAcknowledge(const std::string &instance, const std::string &incarnation) const;

    void takeStatements(const gossip &datagram, peer_state &peer, boot_clock::time_point now);
    void takeRumour(const rumour &heard, peer_state &from, boot_clock::time_point now);
    void confirmLease(std::uint64_t sequence);
    void readLeases(const std::string &dataCentre, const std::optional<stored_object> &object, boot_clock::time_point now);
    void adoptPending(boot_clock::time_point now);
    void startNewIncarnation();
    void declareDeaths(boot_clock::time_point now);
    void forgetOldPeers(boot_clock::time_point now);

    std::vector<std::string> gossipTargets(boot_clock::time_point now);
    gossip datagramFor(const std::string &peerEndpoint, boot_clock::time_point now);
    void addRumours(gossip &datagram, boot_clock::time_point now);

    void renewLeases(std::vector<membership_action> &actions, boot_clock::time_point now);
    bool mayWriteList(boot_clock::time_point now) const;
    void readObjects(std::vector<membership_action> &actions, boot_clock::time_point now);
    void writeList(std::vector<membership_action> &actions, boot_clock::time_point now);
    void ping(std::vector<membership_action> &actions, boot_clock::time_point now);
    void revokeLeases(std::vector<membership_action> &actions, boot_clock::time_point now);
    void add(std::vector<membership_action> &actions, membership_action action);
    bool hasLeaseExpired(const listed_member &member, boot_clock::time_point now) const;
    bool isRevoked(const listed_member &member) const;
    bool hasRemovalConsent(const listed_member &member) const;
    std::size_t countConsents(const listed_member &member, const std::vector<std::string> &voters) const;
    bool hasConsented(const std::string &voter, const listed_member &about) const;
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
    std::map<std::string, std::string, std::less<>> m_dead; ///< Declared by this instance under the adopted list: instance to incarnation.
    std::optional<std::uint64_t> m_listObjectVersion; ///< Store version of members/list when last read.
    std::uint64_t m_storedListVersion = 0; ///< List version in that object.
    std::map<std::string, lease_object, std::less<>> m_leaseObjects; ///< By data centre.
    std::map<std::string, observed_lease, std::less<>> m_observed; ///< By instance.
    std::set<std::string> m_busyObjects; ///< Objects with a call under way.
    std::map<std::uint64_t, document_pointer> m_documents;

    std::uint64_t m_newestRevision = 0;
    std::string m_newestRoot;
    std::uint64_t m_appliedRevision = 0;
    std::uint64_t m_appliedListVersion = 0;
    std::uint64_t m_gossipedRevision = 0; ///< What the last datagrams told.
    std::uint64_t m_gossipedListVersion = 0;
    bool m_left = false;
};

} // namespace balsamhook
