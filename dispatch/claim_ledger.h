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
    std::uint32_t writesPerSecond = 20; ///< Of this instance, for all buckets.
    std::size_t commands = 4096; ///< Commands whose claim isn't settled and recorded yet.
    std::size_t objectBytes = 900 * 1024; ///< Below the megabyte that the platform accepts.
    std::size_t resultBytes = 16 * 1024; ///< A larger result isn't kept for repeated keys.
    std::chrono::milliseconds expiryMargin{60000}; ///< Largest difference between the wall clocks of two instances.
};

/// A command to claim.
struct claim_request
{
    std::uint64_t id = 0;
    std::string service;
    std::string key;
    std::chrono::milliseconds expiresAt{0}; ///< Unix time
    boot_clock::time_point deadline;
    std::string nonce; ///< Random, never used before.
};

/// The task reads the object and calls readDone().
struct read_claims
{
    std::string object;
};

/// The task writes the object once, without any retry, and calls writeDone().
struct write_claims
{
    std::string object;
    std::uint64_t expectedVersion = 0; ///< 0: the object doesn't exist yet.
    std::string text;
};

/// The command is claimed: the task sends it once and calls ended().
struct run_command
{
    std::uint64_t id = 0;
};

/// The answer to the command. The ledger gives exactly one for each id.
struct end_command
{
    std::uint64_t id = 0;
    outcome ended = outcome::Unknown;
    refusal_reason reason = refusal_reason::None;
    std::string result;
};

using claim_action = std::variant<read_claims, write_claims, run_command, end_command>;

/// Claims commands in the store before they are sent, so that each key runs at most once. The pending keys of one bucket go in one
/// conditional update, and a bucket has one read or write in flight. Pure logic: time points in, actions out. Not thread-safe.
class claim_ledger
{
public:
    using time_point = boot_clock::time_point;
    using unix_time = std::chrono::milliseconds;
    using actions = std::vector<claim_action>;

    /// Precondition: all limits are at least 1.
    claim_ledger(claim_limits limits, time_point now);

    /// Offers a command. Precondition: id and nonce were never used before.
    actions submit(claim_request request, time_point now, unix_time wallClock);

    /// Results of the reads and writes that were asked for.
    actions readDone(const std::string &object, const result<stored_object> &read, time_point now, unix_time wallClock);
    actions writeDone(const std::string &object, const result<std::uint64_t> &written, time_point now, unix_time wallClock);

    /// Ends a command that run_command was given for. NotRun says that the target surely didn't start it.
    actions ended(std::uint64_t id, outcome how, refusal_reason reason, std::string result, time_point now, unix_time wallClock);

    /// Ends commands whose deadline has passed and starts the reads and writes that are due.
    actions advance(time_point now, unix_time wallClock);

    /// Commands whose claim isn't settled and recorded yet.
    std::size_t size() const;

private:
    /// Part that an entry plays in the write under way.
    enum class write_part : std::uint8_t {
        Claim,
        Record,
        Release,
    };

    struct entry
    {
        claim_request request;
        claim_machine machine;
        time_point submittedAt;
        time_point changedAt; ///< Since when it waits for its next write.
        std::uint64_t writtenOver = 0; ///< Version that its last unsettled write expected.
        bool answered = false;
        outcome ended = outcome::Unknown;
        std::string result;
    };

    struct bucket
    {
        claim_records stored; ///< As of the version.
        std::uint64_t version = 0;
        bool known = false; ///< False: read before the next write.
        bool busy = false; ///< A read or write is under way.
        time_point readAt{};
        time_point retryAt{}; ///< Not before this time, after a failure.
        std::list<entry> entries;
        std::map<std::uint64_t, write_part> parts; ///< Of the write under way.
        claim_records written; ///< By the write under way.
    };

    void pump(const std::string &object, bucket &each, actions &out, time_point now, unix_time wallClock);
    void evaluate(bucket &each, actions &out, time_point now);
    void evaluateEntry(bucket &each, entry &command, actions &out, time_point now);
    bool wantsWrite(const bucket &each, time_point now) const;
    void buildWrite(bucket &each, unix_time wallClock);
    bool refuseWhenTooLarge(bucket &each, actions &out, time_point now);
    void confirmWrite(bucket &each, actions &out, time_point now);
    void refuseWrite(bucket &each, actions &out, time_point now);
    void start(entry &command, actions &out, time_point now);
    void withdraw(entry &command, outcome ended, refusal_reason reason, actions &out, time_point now);
    void answer(entry &command, outcome ended, refusal_reason reason, std::string result, actions &out);
    void answerRepeated(entry &command, const claim_record &record, actions &out, time_point now);
    void refuseUnwritten(bucket &each, refusal_reason reason, actions &out, time_point now);
    void eraseDone(bucket &each);
    void endExpired(bucket &each, actions &out, time_point now);
    bool isReleasing(const bucket &each, const claim_record &record) const;
    entry *findActive(bucket &each, std::string_view key);
    void refill(time_point now);

    claim_limits m_limits;
    std::map<std::string, bucket, std::less<>> m_buckets;
    std::map<std::uint64_t, std::string> m_objectOf; ///< Object of each entry.
    double m_writes; ///< Writes that may be started now.
    time_point m_refilledAt;
};

} // namespace balsamhook
