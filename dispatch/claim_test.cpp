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
constexpr std::chrono::milliseconds Wall{1000000};

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

claim_request requestFor(std::uint64_t id, const std::string &key, std::chrono::milliseconds remaining = 1000ms)
{
    return {id, "ledger", key, Wall + 1h, Start + remaining, "nonce" + std::to_string(id)};
}

/// The only action of one type, or nullptr.
template<class Action>
const Action *only(const claim_ledger::actions &actions)
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

result<stored_object> missing()
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
        const auto actions = ledger.submit(requestFor(1, keys[0]), Start, Wall);
        REQUIRE(only<read_claims>(actions) != nullptr);
        object = only<read_claims>(actions)->object;
    }

    const std::vector<std::string> keys = keysOfOneBucket(4);
    claim_ledger ledger{claim_limits{}, Start};
    std::string object;
};

} // namespace

TEST_CASE("a command runs only after its claim is in the store")
{
    ledger_fixture fixture;
    auto actions = fixture.ledger.readDone(fixture.object, missing(), Start, Wall);
    CHECK(only<run_command>(actions) == nullptr);
    const write_claims *write = only<write_claims>(actions);
    REQUIRE(write != nullptr);
    CHECK(write->expectedVersion == 0);
    CHECK(parseClaims(write->text).value().at(fixture.keys[0]).state == recorded_state::Claimed);
    actions = fixture.ledger.writeDone(fixture.object, std::uint64_t(1), Start, Wall);
    CHECK(only<run_command>(actions)->id == 1);
    actions = fixture.ledger.ended(1, outcome::Answered, refusal_reason::None, "{}", Start, Wall);
    CHECK(only<end_command>(actions)->ended == outcome::Answered);
    // The outcome is recorded later, by a write of its own when no claim comes by.
    CHECK(only<write_claims>(actions) == nullptr);
    actions = fixture.ledger.advance(Start + 1s, Wall);
    REQUIRE(only<write_claims>(actions) != nullptr);
    CHECK(parseClaims(only<write_claims>(actions)->text).value().at(fixture.keys[0]).state == recorded_state::Answered);
    fixture.ledger.writeDone(fixture.object, std::uint64_t(2), Start + 1s, Wall);
    CHECK(fixture.ledger.size() == 0);
    const auto repeated = fixture.ledger.submit(requestFor(2, fixture.keys[0], 3s), Start + 1s, Wall);
    CHECK(only<end_command>(repeated)->reason == refusal_reason::KeyRepeated);
    CHECK(only<end_command>(repeated)->ended == outcome::Answered);
    CHECK(only<end_command>(repeated)->result == "{}");
}

TEST_CASE("keys that come during a write go together in the next one")
{
    ledger_fixture fixture;
    fixture.ledger.readDone(fixture.object, missing(), Start, Wall);
    CHECK(fixture.ledger.submit(requestFor(2, fixture.keys[1]), Start, Wall).empty());
    CHECK(fixture.ledger.submit(requestFor(3, fixture.keys[2]), Start, Wall).empty());
    const auto actions = fixture.ledger.writeDone(fixture.object, std::uint64_t(1), Start, Wall);
    CHECK(only<run_command>(actions)->id == 1);
    REQUIRE(only<write_claims>(actions) != nullptr);
    CHECK(parseClaims(only<write_claims>(actions)->text).value().size() == 3);
    CHECK(only<write_claims>(actions)->expectedVersion == 1);
}

TEST_CASE("a lost answer is settled by the nonce, and the command runs once")
{
    ledger_fixture fixture;
    const auto first = fixture.ledger.readDone(fixture.object, missing(), Start, Wall);
    const std::string text = only<write_claims>(first)->text;
    auto actions = fixture.ledger.writeDone(fixture.object, failed<std::uint64_t>(error_code::Unsettled), Start, Wall);
    CHECK(only<run_command>(actions) == nullptr);
    REQUIRE(only<read_claims>(actions) != nullptr);
    actions = fixture.ledger.readDone(fixture.object, stored_object{1, text}, Start, Wall);
    CHECK(only<run_command>(actions)->id == 1);
}

TEST_CASE("a key that another owner claimed is unknown and not run")
{
    ledger_fixture fixture;
    fixture.ledger.readDone(fixture.object, missing(), Start, Wall);
    auto actions = fixture.ledger.writeDone(fixture.object, failed<std::uint64_t>(error_code::Conflict), Start, Wall);
    REQUIRE(only<read_claims>(actions) != nullptr);
    const claim_records others{{fixture.keys[0], {Wall + 1h, recorded_state::Claimed, "other", {}}}};
    actions = fixture.ledger.readDone(fixture.object, stored_object{1, claimText(others)}, Start, Wall);
    CHECK(only<run_command>(actions) == nullptr);
    CHECK(only<end_command>(actions)->ended == outcome::Unknown);
    CHECK(only<end_command>(actions)->reason == refusal_reason::KeyRepeated);
}

TEST_CASE("while the store is unavailable commands are not run; an unsettled claim isn't called not run")
{
    ledger_fixture fixture;
    const auto refused = fixture.ledger.readDone(fixture.object, failed<stored_object>(error_code::Unavailable), Start, Wall);
    CHECK(only<end_command>(refused)->ended == outcome::NotRun);
    CHECK(only<end_command>(refused)->reason == refusal_reason::StoreUnavailable);
    ledger_fixture other;
    other.ledger.readDone(other.object, missing(), Start, Wall);
    other.ledger.writeDone(other.object, failed<std::uint64_t>(error_code::Unsettled), Start, Wall);
    const auto late = other.ledger.readDone(other.object, failed<stored_object>(error_code::Unavailable), Start, Wall);
    CHECK(only<end_command>(late) == nullptr);
    const auto expired = other.ledger.advance(Start + 1s, Wall);
    CHECK(only<end_command>(expired)->ended == outcome::Unknown);
    // The claim, if it is there, is removed when the store is back.
    CHECK(other.ledger.size() == 1);
}

TEST_CASE("a command that the target didn't start is not run and its key can be tried again")
{
    ledger_fixture fixture;
    fixture.ledger.readDone(fixture.object, missing(), Start, Wall);
    fixture.ledger.writeDone(fixture.object, std::uint64_t(1), Start, Wall);
    auto actions = fixture.ledger.ended(1, outcome::NotRun, refusal_reason::TargetShedding, {}, Start, Wall);
    CHECK(only<end_command>(actions)->ended == outcome::NotRun);
    actions = fixture.ledger.submit(requestFor(2, fixture.keys[0]), Start, Wall);
    REQUIRE(only<write_claims>(actions) != nullptr);
    CHECK(parseClaims(only<write_claims>(actions)->text).value().at(fixture.keys[0]).nonce == "nonce2");
    actions = fixture.ledger.writeDone(fixture.object, std::uint64_t(2), Start, Wall);
    CHECK(only<run_command>(actions)->id == 2);
}

TEST_CASE("expired keys are not run, and are removed after the margin between wall clocks")
{
    ledger_fixture fixture;
    claim_request expired = requestFor(2, fixture.keys[1]);
    expired.expiresAt = Wall;
    CHECK(only<end_command>(fixture.ledger.submit(expired, Start, Wall))->reason == refusal_reason::KeyExpired);
    const claim_records stored{{"old", {Wall - 61s, recorded_state::Answered, "x", "{}"}}, {"recent", {Wall - 59s, recorded_state::Answered, "y", "{}"}}};
    const auto actions = fixture.ledger.readDone(fixture.object, stored_object{5, claimText(stored)}, Start, Wall);
    REQUIRE(only<write_claims>(actions) != nullptr);
    const auto written = parseClaims(only<write_claims>(actions)->text).value();
    CHECK_FALSE(written.contains("old"));
    CHECK(written.contains("recent"));
}

TEST_CASE("writes a second are bounded and the oldest waiting command comes first")
{
    claim_limits limits;
    limits.writesPerSecond = 2;
    claim_ledger ledger(limits, Start);
    std::size_t writes = 0;
    std::uint64_t id = 0;
    for (const char *key : {"a", "b", "c", "d", "e"}) {
        auto actions = ledger.submit(requestFor(++id, key, 10s), Start, Wall);
        REQUIRE(only<read_claims>(actions) != nullptr);
        actions = ledger.readDone(only<read_claims>(actions)->object, missing(), Start, Wall);
        writes += only<write_claims>(actions) != nullptr ? 1 : 0;
    }
    CHECK(writes == 2);
    const auto actions = ledger.advance(Start + 600ms, Wall);
    REQUIRE(only<write_claims>(actions) != nullptr);
    CHECK(parseClaims(only<write_claims>(actions)->text).value().contains("c"));
}

TEST_CASE("a bucket that would exceed the object's size refuses new claims as not run")
{
    claim_limits limits;
    limits.objectBytes = 100;
    claim_ledger ledger(limits, Start);
    const auto read = ledger.submit(requestFor(1, std::string(200, 'k')), Start, Wall);
    const auto actions = ledger.readDone(only<read_claims>(read)->object, missing(), Start, Wall);
    CHECK(only<write_claims>(actions) == nullptr);
    CHECK(only<end_command>(actions)->ended == outcome::NotRun);
}

TEST_CASE("a key that isn't UTF-8 is refused, because its repetition couldn't be recognised")
{
    CHECK(isStorableKey("d\xc3\xa9j\xc3\xa0"));
    CHECK_FALSE(isStorableKey("\xff"));
    claim_ledger ledger(claim_limits{}, Start);
    CHECK(only<end_command>(ledger.submit(requestFor(1, "\xff"), Start, Wall))->ended == outcome::NotRun);
}

TEST_CASE("malformed claim objects are refused, and a command behind one is not run")
{
    for (const char *text :
         {"", "[]", "{\"k\":1}", R"({"k":{"expiry":1,"state":"running","nonce":"n"}})", R"({"k":{"expiry":"1","state":"claimed","nonce":"n"}})"}) {
        CAPTURE(text);
        CHECK(parseClaims(text).has_error());
    }
    ledger_fixture fixture;
    const auto actions = fixture.ledger.readDone(fixture.object, stored_object{1, "[]"}, Start, Wall);
    CHECK(only<end_command>(actions)->ended == outcome::NotRun);
}

namespace
{

/// Two owners that both believe they own the buckets, against one store that loses, refuses and delays.
class claim_world
{
public:
    claim_world()
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
        m_open[id] = key;
        perform(owner, m_ledgers[owner].submit({id, "s", key, Wall + 24h, m_now + remaining, "nonce" + std::to_string(id)}, m_now, Wall));
    }

    /// Faults: 0 none, 1 refused, 2 answer lost after the effect, 3 lost before it, 4 effect comes after the answer was given up.
    void deliver(std::size_t index, int fault)
    {
        const call pending = m_calls[index];
        m_calls.erase(m_calls.begin() + static_cast<std::ptrdiff_t>(index));
        claim_ledger &ledger = m_ledgers[pending.owner];
        if (const auto *read = std::get_if<read_claims>(&pending.action)) {
            const auto found = m_objects.find(read->object);
            const result<stored_object> answer = fault != 0 ? failed<stored_object>(error_code::Timeout)
                : found == m_objects.end()                  ? missing()
                                                            : result<stored_object>(found->second);
            perform(pending.owner, ledger.readDone(read->object, answer, m_now, Wall));
            return;
        }
        const auto &write = std::get<write_claims>(pending.action);
        result<std::uint64_t> answer = failed<std::uint64_t>(fault == 1 ? error_code::Unavailable : error_code::Unsettled);
        if (fault == 0) {
            answer = apply(write);
        } else if (fault == 2) {
            // The result is lost on its way.
            static_cast<void>(apply(write));
        } else if (fault == 4) {
            m_late.push_back(write);
        }
        perform(pending.owner, ledger.writeDone(write.object, answer, m_now, Wall));
    }

    void applyLate(std::size_t index)
    {
        static_cast<void>(apply(m_late[index]));
        m_late.erase(m_late.begin() + static_cast<std::ptrdiff_t>(index));
    }

    void end(std::uint64_t id, outcome how)
    {
        const std::size_t owner = m_running.at(id);
        m_running.erase(id);
        if (how != outcome::NotRun) {
            m_mayHaveRun[m_keys.at(id)] = id;
            m_started.insert(id);
        }
        const std::string result = how == outcome::Answered ? std::to_string(id) : std::string();
        perform(owner, m_ledgers[owner].ended(id, how, refusal_reason::None, result, m_now, Wall));
    }

    void pass(std::chrono::milliseconds time)
    {
        m_now += time;
        for (std::size_t owner = 0; owner < m_ledgers.size(); ++owner) {
            perform(owner, m_ledgers[owner].advance(m_now, Wall));
        }
    }

    /// Lets everything end without further faults and checks that nothing is left.
    void settle()
    {
        for (int round = 0; round < 200; ++round) {
            while (!m_calls.empty()) {
                deliver(0, 0);
            }
            while (!m_running.empty()) {
                end(m_running.begin()->first, outcome::Answered);
            }
            pass(100ms);
        }
        RC_ASSERT(m_open.empty());
        RC_ASSERT(m_ledgers[0].size() == 0U);
        RC_ASSERT(m_ledgers[1].size() == 0U);
        while (!m_late.empty()) {
            applyLate(0);
        }
        checkStored();
    }

    std::size_t calls() const
    {
        return m_calls.size();
    }

    std::size_t late() const
    {
        return m_late.size();
    }

    std::vector<std::uint64_t> running() const
    {
        std::vector<std::uint64_t> ids;
        ids.reserve(m_running.size());
        for (const auto &[id, owner] : m_running) {
            ids.push_back(id);
        }
        return ids;
    }

    std::size_t runs() const
    {
        return m_runs;
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
                checkEnd(*ended);
            } else {
                checkOneCall(owner, action);
                m_calls.push_back({owner, action});
            }
        }
    }

    void checkRun(std::size_t owner, std::uint64_t id)
    {
        const std::string key = m_open.at(id);
        // At most one send that a target may have started, for each key and over all owners.
        RC_ASSERT(!m_mayHaveRun.contains(key));
        for (const auto &[other, runner] : m_running) {
            RC_ASSERT(m_keys.at(other) != key);
        }
        RC_ASSERT(m_running.emplace(id, owner).second);
        RC_ASSERT(m_keys.emplace(id, key).second);
        ++m_runs;
    }

    void checkEnd(const end_command &ended)
    {
        RC_ASSERT(m_open.contains(ended.id));
        const std::string key = m_open.at(ended.id);
        m_open.erase(ended.id);
        RC_ASSERT(!m_running.contains(ended.id));
        if (ended.ended == outcome::NotRun) {
            RC_ASSERT(!m_started.contains(ended.id));
            m_notRun.insert("nonce" + std::to_string(ended.id));
        }
        if (ended.ended == outcome::Answered) {
            RC_ASSERT(ended.result == std::to_string(m_mayHaveRun.at(key)));
        }
    }

    /// A key whose command was not run is free again, and no claim stays open.
    void checkStored()
    {
        for (const auto &[object, stored] : m_objects) {
            const claim_records records = parseClaims(stored.value).value();
            for (const auto &[key, record] : records) {
                RC_ASSERT(record.state != recorded_state::Claimed);
                RC_ASSERT(!m_notRun.contains(record.nonce));
            }
        }
    }

    void checkOneCall(std::size_t owner, const claim_action &action)
    {
        for (const call &pending : m_calls) {
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
    std::vector<call> m_calls;
    std::vector<write_claims> m_late;
    std::map<std::uint64_t, std::string> m_open; ///< Key of each unanswered id.
    std::map<std::uint64_t, std::string> m_keys; ///< Key of each id that ran.
    std::map<std::uint64_t, std::size_t> m_running; ///< Owner of each running id.
    std::map<std::string, std::uint64_t> m_mayHaveRun; ///< Id that a target may have started, for each key.
    std::set<std::uint64_t> m_started;
    std::set<std::string> m_notRun; ///< Nonces
    std::uint64_t m_nextId = 0;
    std::size_t m_runs = 0;
};

} // namespace

TEST_CASE("a key has at most one send under all orders of lost answers, conflicts and delays, and not run is true")
{
    const std::vector<std::string> keys = keysOfOneBucket(4);
    std::size_t runs = 0;
    CHECK(rc::check([&] {
        claim_world world;
        const auto steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            switch (*rc::gen::weightedElement<int>({{3, 0}, {8, 1}, {3, 2}, {3, 3}, {1, 4}})) {
            case 0:
                world.submit(*rc::gen::inRange<std::size_t>(0, 2), *rc::gen::elementOf(keys), std::chrono::milliseconds(*rc::gen::inRange(1, 2000)));
                break;
            case 1:
                if (world.calls() > 0) {
                    world.deliver(*rc::gen::inRange<std::size_t>(0, world.calls()), *rc::gen::weightedElement<int>({{6, 0}, {1, 1}, {2, 2}, {1, 3}, {2, 4}}));
                }
                break;
            case 2:
                if (const auto running = world.running(); !running.empty()) {
                    const std::uint64_t id = *rc::gen::elementOf(running);
                    world.end(id, *rc::gen::weightedElement<outcome>({{1, outcome::Answered}, {1, outcome::Unknown}, {4, outcome::NotRun}}));
                }
                break;
            case 3:
                world.pass(std::chrono::milliseconds(*rc::gen::inRange(0, 400)));
                break;
            case 4:
                if (world.late() > 0) {
                    world.applyLate(*rc::gen::inRange<std::size_t>(0, world.late()));
                }
                break;
            }
        }
        world.settle();
        runs += world.runs();
    }));
    // The property says nothing when no command ever runs.
    CHECK(runs > 100);
}
