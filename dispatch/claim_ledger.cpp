#include "dispatch/claim_ledger.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

constexpr std::chrono::milliseconds RetryPause{200};
// Outcomes wait for a claim of the same bucket, whose write then carries them, but not longer than this.
constexpr std::chrono::milliseconds RecordDelay{300};

bool isSurelyNotWritten(error_code code)
{
    switch (code) {
    case error_code::Unreachable:
    case error_code::Unavailable:
    case error_code::Overloaded:
    case error_code::TooLarge:
    case error_code::Invalid:
        return true;
    default:
        // A conflict included: a client that sent the request twice gets it for its own first write.
        return false;
    }
}

} // namespace

claim_ledger::claim_ledger(claim_limits limits, time_point now)
    : m_limits(limits)
    , m_writes(limits.writesPerSecond)
    , m_refilledAt(now)
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
    bucket &each = m_buckets[object];
    if (const entry *active = findActive(each, request.key)) {
        const bool isAnswered = active->machine.state() == claim_state::Recording && active->ended == outcome::Answered;
        const outcome repeated = isAnswered ? outcome::Answered : outcome::Unknown;
        return {end_command{request.id, repeated, refusal_reason::KeyRepeated, isAnswered ? active->result : std::string()}};
    }
    m_objectOf.emplace(request.id, object);
    entry command;
    command.request = std::move(request);
    command.submittedAt = now;
    command.changedAt = now;
    each.entries.push_back(std::move(command));
    actions out;
    pump(object, each, out, now, wallClock);
    return out;
}

claim_ledger::actions claim_ledger::readDone(const std::string &object, const result<stored_object> &read, time_point now, unix_time wallClock)
{
    bucket &each = m_buckets.at(object);
    BALSAM_ASSERT(each.busy);
    each.busy = false;
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
        each.retryAt = now + RetryPause;
        refuseUnwritten(each, refusal_reason::StoreUnavailable, out, now);
        return out;
    }
    each.stored = std::move(parsed.value());
    each.version = version;
    each.known = true;
    each.readAt = now;
    pump(object, each, out, now, wallClock);
    return out;
}

claim_ledger::actions claim_ledger::writeDone(const std::string &object, const result<std::uint64_t> &written, time_point now, unix_time wallClock)
{
    bucket &each = m_buckets.at(object);
    BALSAM_ASSERT(each.busy);
    each.busy = false;
    actions out;
    if (written) {
        each.version = written.value();
        confirmWrite(each, out, now);
    } else if (isSurelyNotWritten(written.error().code)) {
        refuseWrite(each, out, now);
    } else {
        each.known = false;
        for (entry &command : each.entries) {
            command.machine.process(claim_event::WriteUnsettled);
        }
    }
    each.parts.clear();
    each.written.clear();
    eraseDone(each);
    pump(object, each, out, now, wallClock);
    return out;
}

claim_ledger::actions claim_ledger::ended(std::uint64_t id, outcome how, refusal_reason reason, std::string result, time_point now, unix_time wallClock)
{
    const std::string object = m_objectOf.at(id);
    bucket &each = m_buckets.at(object);
    const auto found = std::find_if(each.entries.begin(), each.entries.end(), [&](const entry &command) { return command.request.id == id; });
    BALSAM_ASSERT(found != each.entries.end() && found->machine.state() == claim_state::Sent);
    actions out;
    found->ended = how;
    found->changedAt = now;
    found->machine.process(how == outcome::NotRun ? claim_event::NotStarted : claim_event::Ended);
    if (how == outcome::Answered && result.size() <= m_limits.resultBytes) {
        found->result = result;
    }
    answer(*found, how, reason, std::move(result), out);
    pump(object, each, out, now, wallClock);
    return out;
}

claim_ledger::actions claim_ledger::advance(time_point now, unix_time wallClock)
{
    actions out;
    std::vector<std::pair<time_point, const std::string *>> due;
    for (auto &[object, each] : m_buckets) {
        endExpired(each, out, now);
        if (each.entries.empty() || each.busy) {
            continue;
        }
        time_point oldest = time_point::max();
        for (const entry &command : each.entries) {
            oldest = std::min(oldest, command.changedAt);
        }
        due.emplace_back(oldest, &object);
    }
    // The bounded writes go to those who have waited longest.
    std::sort(due.begin(), due.end());
    for (const auto &[oldest, object] : due) {
        pump(*object, m_buckets.at(*object), out, now, wallClock);
    }
    return out;
}

std::size_t claim_ledger::size() const
{
    return m_objectOf.size();
}

void claim_ledger::pump(const std::string &object, bucket &each, actions &out, time_point now, unix_time wallClock)
{
    if (each.busy || each.entries.empty() || now < each.retryAt) {
        return;
    }
    if (each.known) {
        evaluate(each, out, now);
    }
    if (each.entries.empty()) {
        return;
    }
    if (!each.known) {
        each.busy = true;
        out.emplace_back(std::in_place_type<read_claims>, read_claims{object});
        return;
    }
    refill(now);
    if (!wantsWrite(each, now) || m_writes < 1) {
        return;
    }
    buildWrite(each, wallClock);
    if (refuseWhenTooLarge(each, out, now)) {
        return;
    }
    m_writes -= 1;
    each.busy = true;
    out.emplace_back(std::in_place_type<write_claims>, write_claims{object, each.version, claimText(each.written)});
}

void claim_ledger::evaluate(bucket &each, actions &out, time_point now)
{
    for (entry &command : each.entries) {
        evaluateEntry(each, command, out, now);
        if (!each.known) {
            break;
        }
    }
    eraseDone(each);
}

void claim_ledger::evaluateEntry(bucket &each, entry &command, actions &out, time_point now)
{
    const claim_state state = command.machine.state();
    if (state != claim_state::Queued && state != claim_state::Settling) {
        return;
    }
    const auto found = each.stored.find(command.request.key);
    const bool isAbsent = found == each.stored.end() || isReleasing(each, found->second);
    if (!isAbsent && found->second.nonce == command.request.nonce) {
        command.machine.process(claim_event::FoundOwn);
        start(command, out, now);
        return;
    }
    if (isAbsent) {
        // A write over the present version could still arrive late; one over an older version can't take effect any more.
        if (state == claim_state::Settling && each.version > command.writtenOver) {
            command.machine.process(claim_event::FoundAbsent);
        }
        return;
    }
    // Another owner may have recorded the outcome or released the claim since it was read.
    if (found->second.state == recorded_state::Claimed && each.readAt < command.submittedAt) {
        each.known = false;
        return;
    }
    answerRepeated(command, found->second, out, now);
}

bool claim_ledger::wantsWrite(const bucket &each, time_point now) const
{
    return std::any_of(each.entries.begin(), each.entries.end(), [&](const entry &command) {
        const claim_state state = command.machine.state();
        const bool isClaim = state == claim_state::Queued || state == claim_state::Settling;
        const bool isRecord = state == claim_state::Recording || state == claim_state::Releasing;
        return isClaim || (isRecord && now - command.changedAt >= RecordDelay);
    });
}

void claim_ledger::buildWrite(bucket &each, unix_time wallClock)
{
    each.parts.clear();
    each.written = each.stored;
    std::erase_if(each.written, [&](const auto &item) { return item.second.expiresAt + m_limits.expiryMargin <= wallClock; });
    // Removals first, because a key may be claimed again by the same write.
    for (entry &command : each.entries) {
        if (command.machine.state() != claim_state::Releasing) {
            continue;
        }
        const auto found = each.written.find(command.request.key);
        if (found != each.written.end() && found->second.nonce == command.request.nonce) {
            each.written.erase(found);
        }
        each.parts[command.request.id] = write_part::Release;
    }
    for (entry &command : each.entries) {
        const claim_state state = command.machine.state();
        if (state == claim_state::Recording) {
            const auto found = each.written.find(command.request.key);
            if (found != each.written.end() && found->second.nonce == command.request.nonce) {
                found->second.state = command.ended == outcome::Answered ? recorded_state::Answered : recorded_state::Unknown;
                found->second.result = command.result;
            }
            each.parts[command.request.id] = write_part::Record;
        } else if (state == claim_state::Queued || state == claim_state::Settling) {
            each.written[command.request.key] = {command.request.expiresAt, recorded_state::Claimed, command.request.nonce, {}};
            each.parts[command.request.id] = write_part::Claim;
            command.writtenOver = each.version;
            command.machine.process(claim_event::WriteStarted);
        }
    }
}

bool claim_ledger::refuseWhenTooLarge(bucket &each, actions &out, time_point now)
{
    if (claimText(each.written).size() <= m_limits.objectBytes) {
        return false;
    }
    refuseWrite(each, out, now);
    each.parts.clear();
    each.written.clear();
    eraseDone(each);
    return true;
}

void claim_ledger::confirmWrite(bucket &each, actions &out, time_point now)
{
    each.stored = std::move(each.written);
    for (entry &command : each.entries) {
        const auto part = each.parts.find(command.request.id);
        if (part == each.parts.end()) {
            continue;
        }
        if (part->second != write_part::Claim) {
            command.machine.process(claim_event::Stored);
            continue;
        }
        command.machine.process(claim_event::WriteConfirmed);
        start(command, out, now);
    }
}

void claim_ledger::refuseWrite(bucket &each, actions &out, time_point now)
{
    each.retryAt = now + RetryPause;
    for (entry &command : each.entries) {
        command.machine.process(claim_event::WriteRefused);
    }
    refuseUnwritten(each, refusal_reason::StoreUnavailable, out, now);
}

void claim_ledger::start(entry &command, actions &out, time_point now)
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
    command.changedAt = now;
    answer(command, ended, reason, {}, out);
}

void claim_ledger::answer(entry &command, outcome ended, refusal_reason reason, std::string result, actions &out)
{
    BALSAM_ASSERT(!command.answered);
    command.answered = true;
    out.emplace_back(std::in_place_type<end_command>, end_command{command.request.id, ended, reason, std::move(result)});
}

void claim_ledger::answerRepeated(entry &command, const claim_record &record, actions &out, time_point now)
{
    const bool hasResult = record.state == recorded_state::Answered && !record.result.empty();
    command.machine.process(claim_event::FoundAbsent);
    command.machine.process(claim_event::Withdrawn);
    command.changedAt = now;
    answer(command, hasResult ? outcome::Answered : outcome::Unknown, refusal_reason::KeyRepeated, hasResult ? record.result : std::string(), out);
}

void claim_ledger::refuseUnwritten(bucket &each, refusal_reason reason, actions &out, time_point now)
{
    for (entry &command : each.entries) {
        if (command.machine.state() == claim_state::Queued) {
            withdraw(command, outcome::NotRun, reason, out, now);
        }
    }
    eraseDone(each);
}

void claim_ledger::eraseDone(bucket &each)
{
    std::erase_if(each.entries, [&](const entry &command) {
        const bool isDone = command.machine.state() == claim_state::Done;
        if (isDone) {
            m_objectOf.erase(command.request.id);
        }
        return isDone;
    });
}

void claim_ledger::endExpired(bucket &each, actions &out, time_point now)
{
    for (entry &command : each.entries) {
        if (command.answered || now < command.request.deadline) {
            continue;
        }
        switch (command.machine.state()) {
        case claim_state::Queued:
            withdraw(command, outcome::NotRun, each.known ? refusal_reason::DeadlineTooShort : refusal_reason::StoreUnavailable, out, now);
            break;
        case claim_state::Writing:
        case claim_state::Settling:
        case claim_state::Rewriting:
            // Nothing was sent, but until the claim is settled and removed the key can't be tried again, so this isn't "not run".
            withdraw(command, outcome::Unknown, refusal_reason::StoreUnavailable, out, now);
            break;
        default:
            break;
        }
    }
    eraseDone(each);
}

bool claim_ledger::isReleasing(const bucket &each, const claim_record &record) const
{
    return std::any_of(each.entries.begin(), each.entries.end(), [&](const entry &command) {
        return command.machine.state() == claim_state::Releasing && command.request.nonce == record.nonce;
    });
}

claim_ledger::entry *claim_ledger::findActive(bucket &each, std::string_view key)
{
    const auto found = std::find_if(each.entries.begin(), each.entries.end(), [&](const entry &command) {
        return command.request.key == key && command.machine.state() != claim_state::Releasing;
    });
    return found == each.entries.end() ? nullptr : &*found;
}

void claim_ledger::refill(time_point now)
{
    const std::chrono::duration<double> passed = now - m_refilledAt;
    m_refilledAt = now;
    m_writes = std::min<double>(m_limits.writesPerSecond, m_writes + passed.count() * m_limits.writesPerSecond);
}

} // namespace balsamhook
