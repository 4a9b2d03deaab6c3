#pragma once

#include "base/base.h"
#include "dispatch/claim_machine.h"
#include "dispatch/claim_object.h"
#include "platform/object_store.h"
#include "wire/protocol.h"

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace balsamhook
{

struct claim_limits
{
    std::uint32_t writesPerSecond = 20; ///< Of this instance, over all buckets.
    std::size_t commands = 4096; ///< Commands without a recorded outcome or a released claim.
    std::size_t objectBytes = 900 * 1024; ///< Below the platform's limit of 1 MB.
    std::size_t resultBytes = 16 * 1024; ///< A larger result isn't stored, so a repeated key doesn't get it.
    std::chrono::milliseconds maxClockSkew{60000}; ///< Between the wall clocks of two instances.
};

/// A command to claim.
struct claim_request
{
    std::uint64_t id = 0;
    std::string service;
    std::string key;
    std::chrono::milliseconds expiresAt{0}; ///< Unix time
    boot_clock::time_point deadline;
    std::string nonce; ///< Random and unique.
};

/// The task reads the object and calls onReadDone().
struct read_claims
{
    std::string object;
};

/// The task writes the object once, without retries, and calls onWriteDone().
struct write_claims
{
    std::string object;
    std::uint64_t expectedVersion = 0; ///< 0: the object doesn't exist yet.
    std::string text;
};

/// The command is claimed: the task sends it once and calls finish().
struct run_command
{
    std::uint64_t id = 0;
};

/// The response to the command. The ledger returns exactly one for each id.
struct end_command
{
    std::uint64_t id = 0;
    outcome ended = outcome::Unknown;
    refusal_reason reason = refusal_reason::None;
    std::string result;
};

using claim_action = std::variant<read_claims, write_claims, run_command, end_command>;

/// Claims commands in the store before they are sent, so that each key runs at most once. A conditional update writes all pending keys of a
/// bucket, and each bucket has at most one read or write in flight. Pure logic: time points in, actions out. Not thread-safe.
class claim_ledger
{
public:
    using time_point = boot_clock::time_point;
    using unix_time = std::chrono::milliseconds;
    using actions = std::vector<claim_action>;

    /// Precondition: all limits are at least 1.
    claim_ledger(claim_limits limits, time_point now);

    /// Submits a command. Precondition: id and nonce are unique.
    actions submit(claim_request request, time_point now, unix_time wallClock);

    /// Handle the result of a requested read or write. Precondition: the call is in flight for this object.
    actions onReadDone(const std::string &object, const result<stored_object> &read, time_point now, unix_time wallClock);
    actions onWriteDone(const std::string &object, const result<std::uint64_t> &written, time_point now, unix_time wallClock);

    /// Records the outcome of a command for which run_command was returned. NotRun means that the target definitely didn't start it.
    actions finish(std::uint64_t id, outcome ended, refusal_reason reason, std::string result, time_point now, unix_time wallClock);

    /// Ends commands whose deadline has passed and starts the reads and writes that are due.
    actions advance(time_point now, unix_time wallClock);

    /// Number of commands without a recorded outcome or a released claim.
    std::size_t size() const;

private:
    /// What the write in flight does for an entry.
    enum class write_operation : std::uint8_t {
        Claim,
        Record,
        Release,
    };

    struct entry
    {
        claim_request request;
        claim_machine machine;
        time_point submittedAt;
        time_point waitingSince; ///< Start of the wait for the next write.
        std::uint64_t expectedVersion = 0; ///< Object version that the last claim write expected.
        bool hasResponded = false;
        outcome ended = outcome::Unknown;
        std::string result;
    };

    struct bucket_state
    {
        claim_records stored; ///< Content of the object at this version.
        std::uint64_t version = 0;
        bool isCurrent = false; ///< False when the object must be read before the next write.
        bool hasCallInFlight = false; ///< A read or write is in flight.
        time_point readAt{};
        time_point retryAt{}; ///< Earliest time of the next call after a failure.
        std::list<entry> entries;
        std::map<std::uint64_t, write_operation> operations; ///< Of the write in flight, by command id.
        claim_records pendingRecords; ///< Content that the write in flight stores.
    };

    void startDueCall(const std::string &object, bucket_state &bucket, actions &out, time_point now, unix_time wallClock);
    void resolveEntries(bucket_state &bucket, actions &out, time_point now);
    void resolveEntry(bucket_state &bucket, entry &command, actions &out, time_point now);
    bool isWriteDue(const bucket_state &bucket, time_point now) const;
    void buildWrite(bucket_state &bucket, unix_time wallClock);
    bool refuseWhenTooLarge(bucket_state &bucket, actions &out, time_point now);
    void confirmWrite(bucket_state &bucket, actions &out, time_point now);
    void refuseWrite(bucket_state &bucket, actions &out, time_point now);
    void runClaimed(entry &command, actions &out, time_point now);
    void withdraw(entry &command, outcome ended, refusal_reason reason, actions &out, time_point now);
    void respond(entry &command, outcome ended, refusal_reason reason, std::string result, actions &out);
    void respondToRepeatedKey(entry &command, const claim_record &record, actions &out, time_point now);
    void refuseQueued(bucket_state &bucket, refusal_reason reason, actions &out, time_point now);
    void eraseDone(bucket_state &bucket);
    void endExpired(bucket_state &bucket, actions &out, time_point now);
    bool isReleasing(const bucket_state &bucket, const claim_record &record) const;
    entry *findActive(bucket_state &bucket, std::string_view key);
    void refillWriteTokens(time_point now);

    claim_limits m_limits;
    std::map<std::string, bucket_state, std::less<>> m_buckets;
    std::map<std::uint64_t, std::string> m_objectById; ///< Object of each command.
    double m_writeTokens; ///< Token bucket of claim_limits::writesPerSecond.
    time_point m_tokensRefilledAt;
};

} // namespace balsamhook
