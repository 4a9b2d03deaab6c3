#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace balsamhook
{

/// Version of the protocol between the system's own processes. A peer with another version is refused.
constexpr std::uint16_t ProtocolVersion = 1;

/// Largest frame that a process accepts unless its settings say otherwise.
constexpr std::uint32_t DefaultFrameLimitBytes = 4 * 1024 * 1024;

/// Numbers of the messages on the wire. Numbers are never reused.
enum class message_type : std::uint16_t {
    Hello = 1,
    SubQueryBatch = 2,
    SubAnswer = 3,
    CancelAttempts = 4,
    CommandRequest = 5,
    CommandAnswer = 6,
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

/// How an attempt or a request ended. NotRun is said only when the target surely didn't start it.
enum class outcome : std::uint8_t {
    Answered = 1,
    NotRun = 2,
    Unknown = 3,
};

/// Why an attempt gave no answer.
enum class refusal_reason : std::uint8_t {
    None = 0,
    NotOwner = 1, ///< The dispatcher doesn't own the target now, or isn't entitled.
    QueueFull = 2,
    DeadlineTooShort = 3, ///< The expected queue time exceeds the remaining time.
    TargetLeaving = 4,
    DataCentreOut = 5,
    TargetShedding = 6,
    TargetUnreachable = 7,
    TargetFailed = 8, ///< The connection broke or the target broke the protocol.
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

/// A consistent state of a service's data: the layout of its shards and the version of its index. Ordered by age.
struct snapshot
{
    std::uint64_t layoutEpoch = 0;
    std::uint64_t indexVersion = 0;

    auto operator<=>(const snapshot &other) const = default;
};

/// First message on each connection, in both directions.
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
    snapshot pinned;
    std::int64_t remainingMicroseconds = 0;
    std::string text;
    std::uint32_t limit = 0;
    std::vector<sub_query_item> items;
};

/// What an owner knows about one of its targets.
struct target_report
{
    std::string target;
    std::vector<snapshot> snapshots;
    bool usable = false; ///< The owner sends new work to it.
    bool cold = true;
    std::uint32_t queueLength = 0;
    std::uint32_t slotLimit = 0;
    std::int64_t serviceTimeMicroseconds = 0; ///< High percentile (95%) of recent answers; 0 when unknown.
};

/// The end of one attempt.
struct sub_answer
{
    std::uint64_t attemptId = 0;
    outcome ended = outcome::Unknown;
    refusal_reason reason = refusal_reason::None;
    snapshot readFrom; ///< Meaningful when answered.
    std::string hits; ///< JSON array of the target's hits when answered.
    std::int64_t serviceMicroseconds = 0; ///< Time between send to and answer of the target.
    target_report report;
};

struct cancel_attempts
{
    std::vector<std::uint64_t> attemptIds;
};

/// A request that may not be repeated.
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

struct command_answer
{
    std::uint64_t attemptId = 0;
    outcome ended = outcome::Unknown;
    refusal_reason reason = refusal_reason::None;
    std::string result; ///< JSON when answered.
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
    bool alive = true; ///< Heard recently by this controller.
};

struct target_owner
{
    std::string target;
    std::string instance;
};

/// Everything a local program needs to know: the configuration in force, the members, and who owns which target.
struct control_state
{
    std::uint64_t configurationRevision = 0;
    std::uint64_t memberListVersion = 0;
    std::string configuration; ///< JSON text of the configuration document.
    std::vector<member_entry> members;
    std::vector<target_owner> owners;
    std::vector<std::string> ownedTargets; ///< Targets on which this instance may act now.
    bool stopping = false; ///< The instance is leaving: no new callers.
};

/// Until when the instance may act, as boot clock nanoseconds of this machine.
struct entitlement
{
    std::int64_t entitledUntil = 0; ///< Sends to targets.
    std::int64_t acceptUntil = 0; ///< New work from callers: the configuration is known to be fresh until then.
};

struct program_status
{
    program_role role = program_role::Front;
    std::uint64_t appliedRevision = 0;
    std::uint64_t appliedMemberListVersion = 0;
    std::vector<std::string> activeTargets; ///< Targets that still have work in flight or connections open.
    std::uint64_t inFlight = 0;
};

struct fetch_sections
{
    std::uint64_t atLeastRevision = 0;
    std::vector<std::string> hashes; ///< Empty: only the root.
};

struct section_text
{
    std::string hash;
    std::string text;
};

struct sections
{
    std::string root; ///< JSON text of the root object; empty when the peer has none.
    std::vector<section_text> texts;
};

enum class member_state : std::uint8_t {
    Alive = 1,
    Suspect = 2,
    Dead = 3,
    Leaving = 4,
};

struct rumour
{
    std::string instance;
    std::string incarnation;
    member_state state = member_state::Alive;
    std::uint64_t sequence = 0; ///< Newest heartbeat sequence heard from the instance.
};

struct quarantine_notice
{
    std::uint64_t fingerprint = 0;
    std::int64_t remainingMilliseconds = 0;
};

/// A target that crashed on a request that ran there alone.
struct target_crash
{
    std::uint64_t fingerprint = 0;
    std::string target;
};

/// What an owner knows about requests that crash targets; sent to each front end when it connects and after each crash.
struct crash_notice
{
    std::vector<target_crash> crashes;
    std::vector<quarantine_notice> refused;
};

/// One UDP datagram between controllers.
struct gossip
{
    member_entry sender;
    std::string incarnation;
    std::uint64_t sequence = 0; ///< Also the sender's lease heartbeat.
    std::uint64_t appliedRevision = 0;
    std::uint64_t appliedMemberListVersion = 0;
    std::uint64_t acknowledgedSequence = 0; ///< Newest sequence received from the addressee; 0 when none.
    std::uint64_t leaseSequence = 0; ///< Newest sequence of the addressee that the reporter has written to the store.
    std::vector<rumour> rumours;
    std::vector<quarantine_notice> quarantined;
};

using message = std::variant<hello,
                             sub_query_batch,
                             sub_answer,
                             cancel_attempts,
                             command_request,
                             command_answer,
                             target_reports,
                             control_state,
                             entitlement,
                             program_status,
                             fetch_sections,
                             sections,
                             gossip,
                             crash_notice>;

} // namespace balsamhook
