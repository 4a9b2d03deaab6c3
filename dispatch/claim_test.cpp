#include <doctest/doctest.h>

#include "dispatch/dispatch.h"

#include <algorithm>
#include <rapidcheck.h>
#include <set>

using namespace balsamhook;
using namespace std::chrono_literals;

namespace
{

const boot_clock::time_point Start{1h};
constexpr std::chrono::milliseconds WallClock{1000000};

/// Distinct keys of the same bucket.
std::vector<std::string> keysOfOneBucket(std::size_t count)
{
    std::vector<std::string> keys{"key"};
    for (int i = 0; keys.size() < count; ++i) {
        const std::string candidate = "key" + std::to_string(i);
        if (claimBucket(candidate) == claimBucket(keys.front())) {
            keys.push_back(candidate);
        }
    }
    return keys;
}

claim_request makeRequest(std::uint64_t id, const std::string &key, std::chrono::milliseconds remaining = 1000ms)
{
    return {id, "ledger", key, WallClock + 1h, Start + remaining, "nonce" + std::to_string(id)};
}

/// Returns the action of one type, or nullptr. Checks that there is at most one.
template<class Action>
const Action *findOnly(const claim_ledger::actions &actions)
{
    const Action *found = nullptr;
    for (const claim_action &action : actions) {
        if (const auto *match = std::get_if<Action>(&action)) {
            CHECK(found == nullptr);
            found = match;
        }
    }
    return found;
}

result<stored_object> notFound()
{
    return failure(error_code::NotFound, error_step::Store, "store", "no such object");
}

template<class Value>
result<Value> failed(error_code code)
{
    return failure(code, error_step::Store, "store", "failed");
}

/// A ledger whose bucket was read once and is empty.
struct ledger_fixture
{
    ledger_fixture()
    {
        const auto actions = ledger.submit(makeRequest(1, keys[0]), Start, WallClock);
        REQUIRE(findOnly<read_claims>(actions) != nullptr);
        object = findOnly<read_claims>(actions)->object;
    }

    const std::vector<std::string> keys = keysOfOneBucket(4);
    claim_ledger ledger{claim_limits{}, Start};
    std::string object;
};

} // namespace

TEST_CASE("claim_ledger: a command runs only after its claim is stored, and a repeated key gets the recorded outcome")
{
    ledger_fixture fixture;
    auto actions = fixture.ledger.onReadDone(fixture.object, notFound(), Start, WallClock);
    CHECK(findOnly<run_command>(actions) == nullptr);
    const write_claims *write = findOnly<write_claims>(actions);
    REQUIRE(write != nullptr);
    CHECK(write->expectedVersion == 0);
    CHECK(parseClaims(write->text).value().at(fixture.keys[0]).state == recorded_state::Claimed);
    actions = fixture.ledger.onWriteDone(fixture.object, std::uint64_t(1), Start, WallClock);
    CHECK(findOnly<run_command>(actions)->id == 1);
    actions = fixture.ledger.finish(1, outcome::Answered, refusal_reason::None, "{}", Start, WallClock);
    CHECK(findOnly<end_command>(actions)->ended == outcome::Answered);
    // Without a new claim in the bucket, a separate write records the outcome after a delay.
    CHECK(findOnly<write_claims>(actions) == nullptr);
    actions = fixture.ledger.advance(Start + 1s, WallClock);
    REQUIRE(findOnly<write_claims>(actions) != nullptr);
    CHECK(parseClaims(findOnly<write_claims>(actions)->text).value().at(fixture.keys[0]).state == recorded_state::Answered);
    fixture.ledger.onWriteDone(fixture.object, std::uint64_t(2), Start + 1s, WallClock);
    CHECK(fixture.ledger.size() == 0);
    const auto repeated = fixture.ledger.submit(makeRequest(2, fixture.keys[0], 3s), Start + 1s, WallClock);
    CHECK(findOnly<end_command>(repeated)->reason == refusal_reason::KeyRepeated);
    CHECK(findOnly<end_command>(repeated)->ended == outcome::Answered);
    CHECK(findOnly<end_command>(repeated)->result == "{}");
}

TEST_CASE("claim_ledger: keys submitted during a write are claimed by a single next write")
{
    ledger_fixture fixture;
    fixture.ledger.onReadDone(fixture.object, notFound(), Start, WallClock);
    CHECK(fixture.ledger.submit(makeRequest(2, fixture.keys[1]), Start, WallClock).empty());
    CHECK(fixture.ledger.submit(makeRequest(3, fixture.keys[2]), Start, WallClock).empty());
    const auto actions = fixture.ledger.onWriteDone(fixture.object, std::uint64_t(1), Start, WallClock);
    CHECK(findOnly<run_command>(actions)->id == 1);
    REQUIRE(findOnly<write_claims>(actions) != nullptr);
    CHECK(parseClaims(findOnly<write_claims>(actions)->text).value().size() == 3);
    CHECK(findOnly<write_claims>(actions)->expectedVersion == 1);
}

TEST_CASE("claim_ledger: after a lost write response, a matching nonce confirms the claim and the command runs once")
{
    ledger_fixture fixture;
    const auto firstActions = fixture.ledger.onReadDone(fixture.object, notFound(), Start, WallClock);
    const std::string text = findOnly<write_claims>(firstActions)->text;
    auto actions = fixture.ledger.onWriteDone(fixture.object, failed<std::uint64_t>(error_code::Unsettled), Start, WallClock);
    CHECK(findOnly<run_command>(actions) == nullptr);
    REQUIRE(findOnly<read_claims>(actions) != nullptr);
    actions = fixture.ledger.onReadDone(fixture.object, stored_object{1, text}, Start, WallClock);
    CHECK(findOnly<run_command>(actions)->id == 1);
}

TEST_CASE("claim_ledger: a key claimed by another owner ends as Unknown and isn't run again")
{
    ledger_fixture fixture;
    fixture.ledger.onReadDone(fixture.object, notFound(), Start, WallClock);
    auto actions = fixture.ledger.onWriteDone(fixture.object, failed<std::uint64_t>(error_code::Conflict), Start, WallClock);
    REQUIRE(findOnly<read_claims>(actions) != nullptr);
    const claim_records others{{fixture.keys[0], {WallClock + 1h, recorded_state::Claimed, "other", {}}}};
    actions = fixture.ledger.onReadDone(fixture.object, stored_object{1, claimText(others)}, Start, WallClock);
    CHECK(findOnly<run_command>(actions) == nullptr);
    CHECK(findOnly<end_command>(actions)->ended == outcome::Unknown);
    CHECK(findOnly<end_command>(actions)->reason == refusal_reason::KeyRepeated);
}

TEST_CASE("claim_ledger: with an unavailable store new commands end as NotRun, those with an unsettled claim as Unknown")
{
    ledger_fixture fixture;
    const auto refused = fixture.ledger.onReadDone(fixture.object, failed<stored_object>(error_code::Unavailable), Start, WallClock);
    CHECK(findOnly<end_command>(refused)->ended == outcome::NotRun);
    CHECK(findOnly<end_command>(refused)->reason == refusal_reason::StoreUnavailable);
    ledger_fixture otherFixture;
    otherFixture.ledger.onReadDone(otherFixture.object, notFound(), Start, WallClock);
    otherFixture.ledger.onWriteDone(otherFixture.object, failed<std::uint64_t>(error_code::Unsettled), Start, WallClock);
    const auto retried = otherFixture.ledger.onReadDone(otherFixture.object, failed<stored_object>(error_code::Unavailable), Start, WallClock);
    CHECK(findOnly<end_command>(retried) == nullptr);
    const auto expired = otherFixture.ledger.advance(Start + 1s, WallClock);
    CHECK(findOnly<end_command>(expired)->ended == outcome::Unknown);
    // The possibly stored claim is removed when the store is available again.
    CHECK(otherFixture.ledger.size() == 1);
}

TEST_CASE("claim_ledger: a command that the target didn't start ends as NotRun, and its key can be claimed again")
{
    ledger_fixture fixture;
    fixture.ledger.onReadDone(fixture.object, notFound(), Start, WallClock);
    fixture.ledger.onWriteDone(fixture.object, std::uint64_t(1), Start, WallClock);
    auto actions = fixture.ledger.finish(1, outcome::NotRun, refusal_reason::TargetShedding, {}, Start, WallClock);
    CHECK(findOnly<end_command>(actions)->ended == outcome::NotRun);
    actions = fixture.ledger.submit(makeRequest(2, fixture.keys[0]), Start, WallClock);
    REQUIRE(findOnly<write_claims>(actions) != nullptr);
    CHECK(parseClaims(findOnly<write_claims>(actions)->text).value().at(fixture.keys[0]).nonce == "nonce2");
    actions = fixture.ledger.onWriteDone(fixture.object, std::uint64_t(2), Start, WallClock);
    CHECK(findOnly<run_command>(actions)->id == 2);
}

TEST_CASE("claim_ledger: expired keys aren't run, and their records are removed after the maximum clock skew")
{
    ledger_fixture fixture;
    claim_request expired = makeRequest(2, fixture.keys[1]);
    expired.expiresAt = WallClock;
    CHECK(findOnly<end_command>(fixture.ledger.submit(expired, Start, WallClock))->reason == refusal_reason::KeyExpired);
    const claim_records stored{{"old", {WallClock - 61s, recorded_state::Answered, "x", "{}"}},
                               {"recent", {WallClock - 59s, recorded_state::Answered, "y", "{}"}}};
    const auto actions = fixture.ledger.onReadDone(fixture.object, stored_object{5, claimText(stored)}, Start, WallClock);
    REQUIRE(findOnly<write_claims>(actions) != nullptr);
    const auto written = parseClaims(findOnly<write_claims>(actions)->text).value();
    CHECK_FALSE(written.contains("old"));
    CHECK(written.contains("recent"));
}

TEST_CASE("claim_ledger: the write rate is limited, and the longest waiting command is written first")
{
    claim_limits limits;
    limits.writesPerSecond = 2;
    claim_ledger ledger(limits, Start);
    std::size_t writes = 0;
    std::uint64_t id = 0;
    for (const char *key : {"a", "b", "c", "d", "e"}) {
        auto actions = ledger.submit(makeRequest(++id, key, 10s), Start, WallClock);
        REQUIRE(findOnly<read_claims>(actions) != nullptr);
        actions = ledger.onReadDone(findOnly<read_claims>(actions)->object, notFound(), Start, WallClock);
        writes += findOnly<write_claims>(actions) != nullptr ? 1 : 0;
    }
    CHECK(writes == 2);
    const auto actions = ledger.advance(Start + 600ms, WallClock);
    REQUIRE(findOnly<write_claims>(actions) != nullptr);
    CHECK(parseClaims(findOnly<write_claims>(actions)->text).value().contains("c"));
}

TEST_CASE("claim_ledger: a claim that would exceed the object size limit ends as NotRun")
{
    claim_limits limits;
    limits.objectBytes = 100;
    claim_ledger ledger(limits, Start);
    const auto read = ledger.submit(makeRequest(1, std::string(200, 'k')), Start, WallClock);
    const auto actions = ledger.onReadDone(findOnly<read_claims>(read)->object, notFound(), Start, WallClock);
    CHECK(findOnly<write_claims>(actions) == nullptr);
    CHECK(findOnly<end_command>(actions)->ended == outcome::NotRun);
}

TEST_CASE("claim_ledger: a key that isn't UTF-8 is refused, because its repetition wouldn't be detected")
{
    CHECK(isStorableKey("d\xc3\xa9j\xc3\xa0"));
    CHECK_FALSE(isStorableKey("\xff"));
    claim_ledger ledger(claim_limits{}, Start);
    CHECK(findOnly<end_command>(ledger.submit(makeRequest(1, "\xff"), Start, WallClock))->ended == outcome::NotRun);
}

TEST_CASE("claim_object: malformed claim objects are rejected, and commands of their bucket end as NotRun")
{
    for (const char *text :
         {"", "[]", "{\"k\":1}", R"({"k":{"expiry":1,"state":"running","nonce":"n"}})", R"({"k":{"expiry":"1","state":"claimed","nonce":"n"}})"}) {
        CAPTURE(text);
        CHECK(parseClaims(text).has_error());
    }
    ledger_fixture fixture;
    const auto actions = fixture.ledger.onReadDone(fixture.object, stored_object{1, "[]"}, Start, WallClock);
    CHECK(findOnly<end_command>(actions)->ended == outcome::NotRun);
}

namespace
{

/// Simulates two instances that both act as owner of the buckets, with a store that loses, refuses and delays calls.
class claim_simulation
{
public:
    claim_simulation()
    {
        claim_limits limits;
        limits.writesPerSecond = 200;
        for (std::size_t i = 0; i < 2; ++i) {
            m_ledgers.emplace_back(limits, m_now);
        }
    }

    void submit(std::size_t owner, const std::string &key, std::chrono::milliseconds remaining)
    {
        const std::uint64_t id = ++m_nextId;
        m_openKeys[id] = key;
        perform(owner, m_ledgers[owner].submit({id, "s", key, WallClock + 24h, m_now + remaining, "nonce" + std::to_string(id)}, m_now, WallClock));
    }

    /// Faults: 0 none, 1 refused, 2 response lost after the write, 3 request lost, 4 write takes effect after its timeout.
    void completeCall(std::size_t index, int fault)
    {
        const call pending = m_pendingCalls[index];
        m_pendingCalls.erase(m_pendingCalls.begin() + static_cast<std::ptrdiff_t>(index));
        claim_ledger &ledger = m_ledgers[pending.owner];
        if (const auto *read = std::get_if<read_claims>(&pending.action)) {
            const auto found = m_objects.find(read->object);
            const result<stored_object> response = fault != 0 ? failed<stored_object>(error_code::Timeout)
                : found == m_objects.end()                    ? notFound()
                                                              : result<stored_object>(found->second);
            perform(pending.owner, ledger.onReadDone(read->object, response, m_now, WallClock));
            return;
        }
        const auto &write = std::get<write_claims>(pending.action);
        result<std::uint64_t> response = failed<std::uint64_t>(fault == 1 ? error_code::Unavailable : error_code::Unsettled);
        if (fault == 0) {
            response = apply(write);
        } else if (fault == 2) {
            // The result is discarded like a lost response.
            static_cast<void>(apply(write));
        } else if (fault == 4) {
            m_delayedWrites.push_back(write);
        }
        perform(pending.owner, ledger.onWriteDone(write.object, response, m_now, WallClock));
    }

    void applyDelayedWrite(std::size_t index)
    {
        static_cast<void>(apply(m_delayedWrites[index]));
        m_delayedWrites.erase(m_delayedWrites.begin() + static_cast<std::ptrdiff_t>(index));
    }

    void finish(std::uint64_t id, outcome ended)
    {
        const std::size_t owner = m_runningOwners.at(id);
        m_runningOwners.erase(id);
        if (ended != outcome::NotRun) {
            m_possiblyRunIds[m_sentKeys.at(id)] = id;
            m_startedIds.insert(id);
        }
        const std::string result = ended == outcome::Answered ? std::to_string(id) : std::string();
        perform(owner, m_ledgers[owner].finish(id, ended, refusal_reason::None, result, m_now, WallClock));
    }

    void advanceTime(std::chrono::milliseconds time)
    {
        m_now += time;
        for (std::size_t owner = 0; owner < m_ledgers.size(); ++owner) {
            perform(owner, m_ledgers[owner].advance(m_now, WallClock));
        }
    }

    /// Completes all calls and commands without faults and checks that no command or claim remains open.
    void finishAll()
    {
        for (int round = 0; round < 200; ++round) {
            while (!m_pendingCalls.empty()) {
                completeCall(0, 0);
            }
            while (!m_runningOwners.empty()) {
                finish(m_runningOwners.begin()->first, outcome::Answered);
            }
            advanceTime(100ms);
        }
        RC_ASSERT(m_openKeys.empty());
        RC_ASSERT(m_ledgers[0].size() == 0U);
        RC_ASSERT(m_ledgers[1].size() == 0U);
        while (!m_delayedWrites.empty()) {
            applyDelayedWrite(0);
        }
        checkStored();
    }

    std::size_t pendingCalls() const
    {
        return m_pendingCalls.size();
    }

    std::size_t delayedWrites() const
    {
        return m_delayedWrites.size();
    }

    std::vector<std::uint64_t> running() const
    {
        std::vector<std::uint64_t> ids;
        ids.reserve(m_runningOwners.size());
        for (const auto &[id, owner] : m_runningOwners) {
            ids.push_back(id);
        }
        return ids;
    }

    std::size_t runCount() const
    {
        return m_runCount;
    }

private:
    struct call
    {
        std::size_t owner;
        claim_action action;
    };

    result<std::uint64_t> apply(const write_claims &write)
    {
        const auto found = m_objects.find(write.object);
        const std::uint64_t version = found == m_objects.end() ? 0 : found->second.version;
        if (version != write.expectedVersion) {
            return failed<std::uint64_t>(error_code::Conflict);
        }
        m_objects[write.object] = {version + 1, write.text};
        return version + 1;
    }

    void perform(std::size_t owner, const claim_ledger::actions &actions)
    {
        for (const claim_action &action : actions) {
            if (const auto *run = std::get_if<run_command>(&action)) {
                checkRun(owner, run->id);
            } else if (const auto *ended = std::get_if<end_command>(&action)) {
                checkResponse(*ended);
            } else {
                checkOneCall(owner, action);
                m_pendingCalls.push_back({owner, action});
            }
        }
    }

    void checkRun(std::size_t owner, std::uint64_t id)
    {
        const std::string key = m_openKeys.at(id);
        // For each key and over both owners, a target may have started at most one send.
        RC_ASSERT(!m_possiblyRunIds.contains(key));
        for (const auto &[other, runner] : m_runningOwners) {
            RC_ASSERT(m_sentKeys.at(other) != key);
        }
        RC_ASSERT(m_runningOwners.emplace(id, owner).second);
        RC_ASSERT(m_sentKeys.emplace(id, key).second);
        ++m_runCount;
    }

    void checkResponse(const end_command &ended)
    {
        RC_ASSERT(m_openKeys.contains(ended.id));
        const std::string key = m_openKeys.at(ended.id);
        m_openKeys.erase(ended.id);
        RC_ASSERT(!m_runningOwners.contains(ended.id));
        if (ended.ended == outcome::NotRun) {
            RC_ASSERT(!m_startedIds.contains(ended.id));
            m_notRunNonces.insert("nonce" + std::to_string(ended.id));
        }
        if (ended.ended == outcome::Answered) {
            RC_ASSERT(ended.result == std::to_string(m_possiblyRunIds.at(key)));
        }
    }

    /// Checks that the claims of commands that ended as NotRun are removed and that no claim stays open.
    void checkStored()
    {
        for (const auto &[object, stored] : m_objects) {
            const claim_records records = parseClaims(stored.value).value();
            for (const auto &[key, record] : records) {
                RC_ASSERT(record.state != recorded_state::Claimed);
                RC_ASSERT(!m_notRunNonces.contains(record.nonce));
            }
        }
    }

    void checkOneCall(std::size_t owner, const claim_action &action)
    {
        for (const call &pending : m_pendingCalls) {
            RC_ASSERT(pending.owner != owner || objectOf(pending.action) != objectOf(action));
        }
    }

    static std::string objectOf(const claim_action &action)
    {
        const auto *read = std::get_if<read_claims>(&action);
        return read != nullptr ? read->object : std::get<write_claims>(action).object;
    }

    boot_clock::time_point m_now = Start;
    std::vector<claim_ledger> m_ledgers;
    std::map<std::string, stored_object> m_objects;
    std::vector<call> m_pendingCalls;
    std::vector<write_claims> m_delayedWrites;
    std::map<std::uint64_t, std::string> m_openKeys; ///< Key of each id without a response.
    std::map<std::uint64_t, std::string> m_sentKeys; ///< Key of each id that was sent.
    std::map<std::uint64_t, std::size_t> m_runningOwners; ///< Owner of each id in flight.
    std::map<std::string, std::uint64_t> m_possiblyRunIds; ///< Id that a target may have started, for each key.
    std::set<std::uint64_t> m_startedIds;
    std::set<std::string> m_notRunNonces;
    std::uint64_t m_nextId = 0;
    std::size_t m_runCount = 0;
};

} // namespace

TEST_CASE("claim_ledger: each key is run at most once under any order of lost responses, conflicts and delays, and NotRun is correct")
{
    const std::vector<std::string> keys = keysOfOneBucket(4);
    std::size_t runCount = 0;
    CHECK(rc::check([&] {
        claim_simulation simulation;
        const auto steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            switch (*rc::gen::weightedElement<int>({{3, 0}, {8, 1}, {3, 2}, {3, 3}, {1, 4}})) {
            case 0:
                simulation.submit(*rc::gen::inRange<std::size_t>(0, 2), *rc::gen::elementOf(keys), std::chrono::milliseconds(*rc::gen::inRange(1, 2000)));
                break;
            case 1:
                if (simulation.pendingCalls() > 0) {
                    simulation.completeCall(*rc::gen::inRange<std::size_t>(0, simulation.pendingCalls()),
                                            *rc::gen::weightedElement<int>({{6, 0}, {1, 1}, {2, 2}, {1, 3}, {2, 4}}));
                }
                break;
            case 2:
                if (const auto running = simulation.running(); !running.empty()) {
                    const std::uint64_t id = *rc::gen::elementOf(running);
                    simulation.finish(id, *rc::gen::weightedElement<outcome>({{1, outcome::Answered}, {1, outcome::Unknown}, {4, outcome::NotRun}}));
                }
                break;
            case 3:
                simulation.advanceTime(std::chrono::milliseconds(*rc::gen::inRange(0, 400)));
                break;
            case 4:
                if (simulation.delayedWrites() > 0) {
                    simulation.applyDelayedWrite(*rc::gen::inRange<std::size_t>(0, simulation.delayedWrites()));
                }
                break;
            }
        }
        simulation.finishAll();
        runCount += simulation.runCount();
    }));
    // The property is void when no command runs.
    CHECK(runCount > 100);
}
