#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace balsamhook
{

/// Version of the protocol between the system's own processes. Messages with a different version are refused.
constexpr std::uint16_t ProtocolVersion = 1;

/// Default limit for the payload of a frame, without the length prefix.
constexpr std::uint32_t DefaultFrameLimitBytes = 4 * 1024 * 1024;

/// Message types on the wire. The number of a removed type is never reused.
enum class message_type : std::uint16_t {
    Hello = 1,
    SubQueryBatch = 2,
    SubResponse = 3,
    CancelAttempts = 4,
    CommandRequest = 5,
    CommandResponse = 6,
    TargetReports = 7,
    ControlState = 8,
    Entitlement = 9,
    ProgramStatus = 10,
    FetchSections = 11,
    Sections = 12,
    Gossip = 13,
    CrashNotice = 14,
};

enum class program_role : std::uint8_t {
    Front = 1,
    Dispatch = 2,
    Control = 3,
};

/// How an attempt or a request ended.
enum class outcome : std::uint8_t {
    Answered = 1,
    NotRun = 2, ///< Reported only when it is certain that no target started the request.
    Unknown = 3, ///< The request may have run.
};

/// Why an attempt has no response.
enum class refusal_reason : std::uint8_t {
    None = 0,
    NotOwner = 1, ///< The dispatcher currently doesn't own the target or has no valid entitlement.
    QueueFull = 2,
    DeadlineTooShort = 3, ///< The expected queue time exceeds the remaining time.
    TargetLeaving = 4,
    DataCentreOut = 5,
    TargetShedding = 6,
    TargetUnreachable = 7,
    TargetFailed = 8, ///< The connection was lost or the target violated the protocol.
    SnapshotMissing = 9,
    Timeout = 10,
    Cancelled = 11,
    Quarantined = 12,
    KeyExpired = 13,
    KeyRepeated = 14,
    StoreUnavailable = 15,
    UnknownTarget = 16,
    Stopping = 17,
};

/// A consistent state of a service's data: the layout of its shards and the version of its index. Newer snapshots compare greater.
struct snapshot
{
    std::uint64_t layoutEpoch = 0;
    std::uint64_t indexVersion = 0;

    auto operator<=>(const snapshot &other) const = default;
};

/// First message in each direction of a connection.
struct hello
{
    std::string instance;
    std::string incarnation;
    program_role role = program_role::Front;
    std::string dataCentre;
};

/// One attempt to read one shard from one target.
struct sub_query_item
{
    std::uint64_t attemptId = 0;
    std::string target;
    std::string shard;
};

/// All attempts of one query that go to one dispatcher.
struct sub_query_batch
{
    std::string queryId;
    std::string traceparent;
    std::string service;
    snapshot pinned; ///< Snapshot that the targets must read.
    std::int64_t remainingMicroseconds = 0;
    std::string text;
    std::uint32_t limit = 0; ///< Maximum number of hits in each response.
    std::vector<sub_query_item> items;
};

/// State of a target as observed by the instance that owns it.
struct target_report
{
    std::string target;
    std::vector<snapshot> snapshots;
    bool usable = false; ///< The owner sends new requests to it.
    bool cold = true; ///< False only when the owner's slot limit has reached the target's configured slots.
    std::uint32_t queueLength = 0;
    std::uint32_t slotLimit = 0;
    std::int64_t serviceTimeMicroseconds = 0; ///< 95th percentile over recent responses; 0 when unknown.
};

/// Result of one attempt, with a response or the reason why there is none.
struct sub_response
{
    std::uint64_t attemptId = 0;
    outcome ended = outcome::Unknown;
    refusal_reason reason = refusal_reason::None;
    snapshot readFrom; ///< Valid when ended is Answered.
    std::string hits; ///< JSON array of the target's hits when ended is Answered.
    std::int64_t serviceTimeMicroseconds = 0; ///< Time from sending the request to the target until its response.
    target_report report;
};

struct cancel_attempts
{
    std::vector<std::uint64_t> attemptIds;
};

/// A request that may run at most once.
struct command_request
{
    std::uint64_t attemptId = 0;
    std::string traceparent;
    std::string service;
    std::string target;
    std::string key;
    std::int64_t expiresAtUnixMilliseconds = 0;
    std::int64_t remainingMicroseconds = 0;
    std::string payload; ///< JSON
};

struct command_response
{
    std::uint64_t attemptId = 0;
    outcome ended = outcome::Unknown;
    refusal_reason reason = refusal_reason::None;
    std::string result; ///< JSON when ended is Answered.
};

struct target_reports
{
    std::vector<target_report> reports;
};

/// An entry of the member list.
struct member_entry
{
    std::string instance;
    std::string dataCentre;
    std::string frontEndpoint; ///< Advertised "IP:port" for callers.
    std::string dispatchEndpoint;
    std::string controlEndpoint; ///< TCP frames
    std::string gossipEndpoint; ///< UDP
    std::string operatorEndpoint; ///< HTTP
    bool leaving = false;
    bool alive = true; ///< This controller recently received a heartbeat of the instance, directly or through a peer.
};

struct target_owner
{
    std::string target;
    std::string instance;
};

/// State that the controller sends to the programs of its instance: the active configuration, the members, and the owner of each target.
struct control_state
{
    std::uint64_t configurationRevision = 0;
    std::uint64_t memberListVersion = 0;
    std::string configuration; ///< JSON text of the configuration document.
    std::vector<member_entry> members;
    std::vector<target_owner> owners;
    std::vector<std::string> ownedTargets; ///< Targets to which this instance may currently send requests.
    bool stopping = false; ///< The instance is leaving and accepts no new callers.
};

/// Times until which the instance may act, in nanoseconds of this machine's boot clock.
struct entitlement
{
    std::int64_t entitledUntil = 0; ///< Limit for sending requests to targets.
    std::int64_t acceptUntil = 0; ///< Limit for accepting requests from callers; the configuration counts as fresh until then.
};

struct program_status
{
    program_role role = program_role::Front;
    std::uint64_t appliedRevision = 0;
    std::uint64_t appliedMemberListVersion = 0;
    std::vector<std::string> activeTargets; ///< Targets with requests in flight or open connections.
    std::uint64_t inFlight = 0;
};

/// Request of a controller to a peer for the root of the active configuration and for sections of it.
struct fetch_sections
{
    std::uint64_t minRevision = 0; ///< Newest revision announced to the requester; 0 when unknown. The peer doesn't compare it with its root.
    std::vector<std::string> hashes; ///< Sections to send in addition to the root.
};

struct section_text
{
    std::string hash;
    std::string text;
};

/// Response to fetch_sections. Sections that the sender doesn't have are missing.
struct sections
{
    std::string root; ///< JSON text of the root object; empty when the sender has none.
    std::vector<section_text> texts;
};

enum class member_state : std::uint8_t {
    Alive = 1,
    Suspect = 2,
    Dead = 3,
    Leaving = 4,
};

/// State of a member that controllers pass on in gossip messages.
struct rumour
{
    std::string instance;
    std::string incarnation;
    member_state state = member_state::Alive;
    std::uint64_t sequence = 0; ///< Newest received heartbeat sequence of the instance; for a dead member of the list, the version of the list.
};

/// A quarantined request fingerprint and how long it stays refused.
struct quarantine_notice
{
    std::uint64_t fingerprint = 0;
    std::int64_t remainingMilliseconds = 0;
};

/// A target that crashed while the request was the only one running on it.
struct target_crash
{
    std::uint64_t fingerprint = 0;
    std::string target;
};

/// Crashes and quarantined requests that an owner has recorded. Sent to each front end when it connects and after each crash.
struct crash_notice
{
    std::vector<target_crash> crashes;
    std::vector<quarantine_notice> quarantined;
};

/// One UDP datagram between controllers.
struct gossip
{
    member_entry sender;
    std::string incarnation;
    std::uint64_t sequence = 0; ///< Also serves as the sender's lease heartbeat.
    std::uint64_t appliedRevision = 0;
    std::uint64_t appliedMemberListVersion = 0;
    std::uint64_t acknowledgedSequence = 0; ///< Newest sequence received from the recipient; 0 when none.
    std::uint64_t leaseSequence = 0; ///< Newest sequence of the recipient that the sender has written to the store.
    std::vector<rumour> rumours;
    std::vector<quarantine_notice> quarantined;
};

using message = std::variant<hello,
                             sub_query_batch,
                             sub_response,
                             cancel_attempts,
                             command_request,
                             command_response,
                             target_reports,
                             control_state,
                             entitlement,
                             program_status,
                             fetch_sections,
                             sections,
                             gossip,
                             crash_notice>;

} // namespace balsamhook
