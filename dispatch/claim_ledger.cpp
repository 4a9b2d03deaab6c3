#include "dispatch/claim_ledger.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

constexpr std::chrono::milliseconds RetryDelay{200};
// Maximum time for which an outcome waits to be written together with a new claim of the same bucket.
constexpr std::chrono::milliseconds RecordDelay{300};

bool isDefiniteFailure(error_code code)
{
    switch (code) {
    case error_code::Unreachable:
    case error_code::Unavailable:
    case error_code::Overloaded:
    case error_code::TooLarge:
    case error_code::Invalid:
        return true;
    default:
        // Includes Conflict: when the client sends a write twice, the second copy conflicts with the first.
        return false;
    }
}

} // namespace

claim_ledger::claim_ledger(claim_limits limits, time_point now)
    : m_limits(limits)
    , m_writeTokens(limits.writesPerSecond)
    , m_tokensRefilledAt(now)
{
    BALSAM_ASSERT(limits.writesPerSecond >= 1 && limits.commands >= 1);
}

claim_ledger::actions claim_ledger::submit(claim_request request, time_point now, unix_time wallClock)
{
    if (wallClock >= request.expiresAt) {
        return {end_command{request.id, outcome::NotRun, refusal_reason::KeyExpired, {}}};
    }
    if (now >= request.deadline) {
        return {end_command{request.id, outcome::NotRun, refusal_reason::DeadlineTooShort, {}}};
    }
    if (!isStorableKey(request.key)) {
        return {end_command{request.id, outcome::NotRun, refusal_reason::None, {}}};
    }
    if (size() >= m_limits.commands) {
        return {end_command{request.id, outcome::NotRun, refusal_reason::QueueFull, {}}};
    }
    const std::string object = claimObjectName(request.service, request.key);
    bucket_state &bucket = m_buckets[object];
    if (const entry *active = findActive(bucket, request.key)) {
        const bool isAnswered = active->machine.state() == claim_state::Recording && active->ended == outcome::Answered;
        const outcome repeatedOutcome = isAnswered ? outcome::Answered : outcome::Unknown;
        return {end_command{request.id, repeatedOutcome, refusal_reason::KeyRepeated, isAnswered ? active->result : std::string()}};
    }
    m_objectById.emplace(request.id, object);
    entry command;
    command.request = std::move(request);
    command.submittedAt = now;
    command.waitingSince = now;
    bucket.entries.push_back(std::move(command));
    actions out;
    startDueCall(object, bucket, out, now, wallClock);
    return out;
}

claim_ledger::actions claim_ledger::onReadDone(const std::string &object, const result<stored_object> &read, time_point now, unix_time wallClock)
{
    bucket_state &bucket = m_buckets.at(object);
    BALSAM_ASSERT(bucket.hasCallInFlight);
    bucket.hasCallInFlight = false;
    actions out;
    result<claim_records> parsed = claim_records();
    std::uint64_t version = 0;
    if (read) {
        parsed = parseClaims(read.value().value);
        version = read.value().version;
    } else if (read.error().code != error_code::NotFound) {
        parsed = read.error();
    }
    if (!parsed) {
        bucket.retryAt = now + RetryDelay;
        refuseQueued(bucket, refusal_reason::StoreUnavailable, out, now);
        return out;
    }
    bucket.stored = std::move(parsed.value());
    bucket.version = version;
    bucket.isCurrent = true;
    bucket.readAt = now;
    startDueCall(object, bucket, out, now, wallClock);
    return out;
}

claim_ledger::actions claim_ledger::onWriteDone(const std::string &object, const result<std::uint64_t> &written, time_point now, unix_time wallClock)
{
    bucket_state &bucket = m_buckets.at(object);
    BALSAM_ASSERT(bucket.hasCallInFlight);
    bucket.hasCallInFlight = false;
    actions out;
    if (written) {
        bucket.version = written.value();
        confirmWrite(bucket, out, now);
    } else if (isDefiniteFailure(written.error().code)) {
        refuseWrite(bucket, out, now);
    } else {
        bucket.isCurrent = false;
        for (entry &command : bucket.entries) {
            command.machine.process(claim_event::WriteUnsettled);
        }
    }
    bucket.operations.clear();
    bucket.pendingRecords.clear();
    eraseDone(bucket);
    startDueCall(object, bucket, out, now, wallClock);
    return out;
}

claim_ledger::actions claim_ledger::finish(std::uint64_t id, outcome ended, refusal_reason reason, std::string result, time_point now, unix_time wallClock)
{
    const std::string object = m_objectById.at(id);
    bucket_state &bucket = m_buckets.at(object);
    const auto found = std::find_if(bucket.entries.begin(), bucket.entries.end(), [&](const entry &command) { return command.request.id == id; });
    BALSAM_ASSERT(found != bucket.entries.end() && found->machine.state() == claim_state::Sent);
    actions out;
    found->ended = ended;
    found->waitingSince = now;
    found->machine.process(ended == outcome::NotRun ? claim_event::NotStarted : claim_event::Ended);
    if (ended == outcome::Answered && result.size() <= m_limits.resultBytes) {
        found->result = result;
    }
    respond(*found, ended, reason, std::move(result), out);
    startDueCall(object, bucket, out, now, wallClock);
    return out;
}

claim_ledger::actions claim_ledger::advance(time_point now, unix_time wallClock)
{
    actions out;
    std::vector<std::pair<time_point, const std::string *>> due;
    for (auto &[object, bucket] : m_buckets) {
        endExpired(bucket, out, now);
        if (bucket.entries.empty() || bucket.hasCallInFlight) {
            continue;
        }
        time_point oldest = time_point::max();
        for (const entry &command : bucket.entries) {
            oldest = std::min(oldest, command.waitingSince);
        }
        due.emplace_back(oldest, &object);
    }
    // The limited writes go to the buckets with the longest wait first.
    std::sort(due.begin(), due.end());
    for (const auto &[oldest, object] : due) {
        startDueCall(*object, m_buckets.at(*object), out, now, wallClock);
    }
    return out;
}

std::size_t claim_ledger::size() const
{
    return m_objectById.size();
}

void claim_ledger::startDueCall(const std::string &object, bucket_state &bucket, actions &out, time_point now, unix_time wallClock)
{
    if (bucket.hasCallInFlight || bucket.entries.empty() || now < bucket.retryAt) {
        return;
    }
    if (bucket.isCurrent) {
        resolveEntries(bucket, out, now);
    }
    if (bucket.entries.empty()) {
        return;
    }
    if (!bucket.isCurrent) {
        bucket.hasCallInFlight = true;
        out.emplace_back(std::in_place_type<read_claims>, read_claims{object});
        return;
    }
    refillWriteTokens(now);
    if (!isWriteDue(bucket, now) || m_writeTokens < 1) {
        return;
    }
    buildWrite(bucket, wallClock);
    if (refuseWhenTooLarge(bucket, out, now)) {
        return;
    }
    m_writeTokens -= 1;
    bucket.hasCallInFlight = true;
    out.emplace_back(std::in_place_type<write_claims>, write_claims{object, bucket.version, claimText(bucket.pendingRecords)});
}

void claim_ledger::resolveEntries(bucket_state &bucket, actions &out, time_point now)
{
    for (entry &command : bucket.entries) {
        resolveEntry(bucket, command, out, now);
        if (!bucket.isCurrent) {
            break;
        }
    }
    eraseDone(bucket);
}

void claim_ledger::resolveEntry(bucket_state &bucket, entry &command, actions &out, time_point now)
{
    const claim_state state = command.machine.state();
    if (state != claim_state::Queued && state != claim_state::Settling) {
        return;
    }
    const auto found = bucket.stored.find(command.request.key);
    const bool isAbsent = found == bucket.stored.end() || isReleasing(bucket, found->second);
    if (!isAbsent && found->second.nonce == command.request.nonce) {
        command.machine.process(claim_event::FoundPresent);
        runClaimed(command, out, now);
        return;
    }
    if (isAbsent) {
        // A delayed write that expects the current version can still take effect; one that expects an older version can't.
        if (state == claim_state::Settling && bucket.version > command.expectedVersion) {
            command.machine.process(claim_event::FoundAbsent);
        }
        return;
    }
    // Another owner may have recorded the outcome or released the claim since the last read, so the object is read again.
    if (found->second.state == recorded_state::Claimed && bucket.readAt < command.submittedAt) {
        bucket.isCurrent = false;
        return;
    }
    respondToRepeatedKey(command, found->second, out, now);
}

bool claim_ledger::isWriteDue(const bucket_state &bucket, time_point now) const
{
    return std::any_of(bucket.entries.begin(), bucket.entries.end(), [&](const entry &command) {
        const claim_state state = command.machine.state();
        const bool isClaim = state == claim_state::Queued || state == claim_state::Settling;
        const bool isRecord = state == claim_state::Recording || state == claim_state::Releasing;
        return isClaim || (isRecord && now - command.waitingSince >= RecordDelay);
    });
}

void claim_ledger::buildWrite(bucket_state &bucket, unix_time wallClock)
{
    bucket.operations.clear();
    bucket.pendingRecords = bucket.stored;
    std::erase_if(bucket.pendingRecords, [&](const auto &item) { return item.second.expiresAt + m_limits.maxClockSkew <= wallClock; });
    // Removes released claims first, because the same write may claim their keys again.
    for (entry &command : bucket.entries) {
        if (command.machine.state() != claim_state::Releasing) {
            continue;
        }
        const auto found = bucket.pendingRecords.find(command.request.key);
        if (found != bucket.pendingRecords.end() && found->second.nonce == command.request.nonce) {
            bucket.pendingRecords.erase(found);
        }
        bucket.operations[command.request.id] = write_operation::Release;
    }
    for (entry &command : bucket.entries) {
        const claim_state state = command.machine.state();
        if (state == claim_state::Recording) {
            const auto found = bucket.pendingRecords.find(command.request.key);
            if (found != bucket.pendingRecords.end() && found->second.nonce == command.request.nonce) {
                found->second.state = command.ended == outcome::Answered ? recorded_state::Answered : recorded_state::Unknown;
                found->second.result = command.result;
            }
            bucket.operations[command.request.id] = write_operation::Record;
        } else if (state == claim_state::Queued || state == claim_state::Settling) {
            bucket.pendingRecords[command.request.key] = {command.request.expiresAt, recorded_state::Claimed, command.request.nonce, {}};
            bucket.operations[command.request.id] = write_operation::Claim;
            command.expectedVersion = bucket.version;
            command.machine.process(claim_event::WriteStarted);
        }
    }
}

bool claim_ledger::refuseWhenTooLarge(bucket_state &bucket, actions &out, time_point now)
{
    if (claimText(bucket.pendingRecords).size() <= m_limits.objectBytes) {
        return false;
    }
    refuseWrite(bucket, out, now);
    bucket.operations.clear();
    bucket.pendingRecords.clear();
    eraseDone(bucket);
    return true;
}

void claim_ledger::confirmWrite(bucket_state &bucket, actions &out, time_point now)
{
    bucket.stored = std::move(bucket.pendingRecords);
    for (entry &command : bucket.entries) {
        const auto operation = bucket.operations.find(command.request.id);
        if (operation == bucket.operations.end()) {
            continue;
        }
        if (operation->second != write_operation::Claim) {
            command.machine.process(claim_event::Stored);
            continue;
        }
        command.machine.process(claim_event::WriteConfirmed);
        runClaimed(command, out, now);
    }
}

void claim_ledger::refuseWrite(bucket_state &bucket, actions &out, time_point now)
{
    bucket.retryAt = now + RetryDelay;
    for (entry &command : bucket.entries) {
        command.machine.process(claim_event::WriteRefused);
    }
    refuseQueued(bucket, refusal_reason::StoreUnavailable, out, now);
}

void claim_ledger::runClaimed(entry &command, actions &out, time_point now)
{
    if (command.machine.state() != claim_state::Claimed) {
        return;
    }
    if (now >= command.request.deadline) {
        withdraw(command, outcome::NotRun, refusal_reason::DeadlineTooShort, out, now);
        return;
    }
    command.machine.process(claim_event::RunStarted);
    out.emplace_back(std::in_place_type<run_command>, run_command{command.request.id});
}

void claim_ledger::withdraw(entry &command, outcome ended, refusal_reason reason, actions &out, time_point now)
{
    command.machine.process(claim_event::Withdrawn);
    command.waitingSince = now;
    respond(command, ended, reason, {}, out);
}

void claim_ledger::respond(entry &command, outcome ended, refusal_reason reason, std::string result, actions &out)
{
    BALSAM_ASSERT(!command.hasResponded);
    command.hasResponded = true;
    out.emplace_back(std::in_place_type<end_command>, end_command{command.request.id, ended, reason, std::move(result)});
}

void claim_ledger::respondToRepeatedKey(entry &command, const claim_record &record, actions &out, time_point now)
{
    const bool hasResult = record.state == recorded_state::Answered && !record.result.empty();
    // The object contains the claim of another command, so no write of this command can still take effect and nothing must be released.
    command.machine.process(claim_event::FoundAbsent);
    command.machine.process(claim_event::Withdrawn);
    command.waitingSince = now;
    respond(command, hasResult ? outcome::Answered : outcome::Unknown, refusal_reason::KeyRepeated, hasResult ? record.result : std::string(), out);
}

void claim_ledger::refuseQueued(bucket_state &bucket, refusal_reason reason, actions &out, time_point now)
{
    for (entry &command : bucket.entries) {
        if (command.machine.state() == claim_state::Queued) {
            withdraw(command, outcome::NotRun, reason, out, now);
        }
    }
    eraseDone(bucket);
}

void claim_ledger::eraseDone(bucket_state &bucket)
{
    std::erase_if(bucket.entries, [&](const entry &command) {
        const bool isDone = command.machine.state() == claim_state::Done;
        if (isDone) {
            m_objectById.erase(command.request.id);
        }
        return isDone;
    });
}

void claim_ledger::endExpired(bucket_state &bucket, actions &out, time_point now)
{
    for (entry &command : bucket.entries) {
        if (command.hasResponded || now < command.request.deadline) {
            continue;
        }
        switch (command.machine.state()) {
        case claim_state::Queued:
            withdraw(command, outcome::NotRun, bucket.isCurrent ? refusal_reason::DeadlineTooShort : refusal_reason::StoreUnavailable, out, now);
            break;
        case claim_state::Writing:
        case claim_state::Settling:
        case claim_state::Rewriting:
            // The command wasn't sent, but its key can't be retried until the claim is removed, so the outcome isn't NotRun.
            withdraw(command, outcome::Unknown, refusal_reason::StoreUnavailable, out, now);
            break;
        default:
            break;
        }
    }
    eraseDone(bucket);
}

bool claim_ledger::isReleasing(const bucket_state &bucket, const claim_record &record) const
{
    return std::any_of(bucket.entries.begin(), bucket.entries.end(), [&](const entry &command) {
        return command.machine.state() == claim_state::Releasing && command.request.nonce == record.nonce;
    });
}

claim_ledger::entry *claim_ledger::findActive(bucket_state &bucket, std::string_view key)
{
    const auto found = std::find_if(bucket.entries.begin(), bucket.entries.end(), [&](const entry &command) {
        return command.request.key == key && command.machine.state() != claim_state::Releasing;
    });
    return found == bucket.entries.end() ? nullptr : &*found;
}

void claim_ledger::refillWriteTokens(time_point now)
{
    const std::chrono::duration<double> passed = now - m_tokensRefilledAt;
    m_tokensRefilledAt = now;
    m_writeTokens = std::min<double>(m_limits.writesPerSecond, m_writeTokens + passed.count() * m_limits.writesPerSecond);
}

} // namespace balsamhook
