#include <doctest/doctest.h>

#include "configuration/configuration.h"
#include "http/http.h"
#include "standins/platform_service.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <rapidcheck.h>

using namespace balsamhook;
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

/// How the store of these tests treats one write.
enum class write_fate : std::uint8_t {
    Accept,
    LoseBefore, ///< The request never arrives.
    LoseAfter, ///< The write takes effect and its answer is lost.
    Delay, ///< The answer is lost and the write takes effect before a later call.
    Refuse, ///< 503 before any effect.
};

/// Objects in memory with a fate for each write and a number of turns that each call waits for, so that concurrent callers interleave.
class faulty_store : public object_store
{
public:
    explicit faulty_store(std::vector<write_fate> fates = {}, std::vector<unsigned> turns = {})
        : m_fates(std::move(fates))
        , m_turns(std::move(turns))
    {
    }

    asio::awaitable<result<stored_object>> read(std::string kind, std::string name) override
    {
        co_await wait();
        if (kind == "configuration" && m_beforeRootRead) {
            const auto before = std::exchange(m_beforeRootRead, nullptr);
            co_await before();
        }
        const memory_object_store::entry *stored = m_objects.find(kind, name);
        if (stored == nullptr) {
            co_return failure(error_code::NotFound, error_step::Store, "memory", "none");
        }
        co_return stored_object{stored->version, stored->value};
    }

    asio::awaitable<result<std::uint64_t>> write(std::string kind, std::string name, expected_version expected, std::string value) override
    {
        co_await wait();
        write_fate fate = write_fate::Accept;
        if (!m_isHealthy) {
            fate = m_writes < m_fates.size() ? m_fates[m_writes] : write_fate::Accept;
            ++m_writes;
        }
        if (fate == write_fate::Refuse) {
            co_return failure(error_code::Unavailable, error_step::Store, "memory", "outage");
        }
        if (fate == write_fate::Delay) {
            m_delayed.push_back({kind, name, expected.version, value});
        }
        if (fate == write_fate::Delay || fate == write_fate::LoseBefore) {
            co_return failure(error_code::Unsettled, error_step::Receive, "memory", "the answer was lost");
        }
        const result<std::uint64_t> version = apply(kind, name, expected.version, value);
        if (fate == write_fate::LoseAfter) {
            co_return failure(error_code::Unsettled, error_step::Receive, "memory", "the answer was lost");
        }
        co_return version;
    }

    asio::awaitable<result<void>> remove(std::string, std::string, expected_version) override
    {
        co_return success();
    }

    asio::awaitable<result<std::optional<stored_object>>> watch(std::string, std::string, std::uint64_t, milliseconds) override
    {
        co_return std::optional<stored_object>();
    }

    asio::awaitable<result<std::vector<object_listing>>> list(std::string) override
    {
        co_return std::vector<object_listing>();
    }

    asio::awaitable<result<std::vector<platform_instance>>> instances() override
    {
        co_return std::vector<platform_instance>();
    }

    /// Lets the delayed writes arrive.
    void arrive()
    {
        for (const delayed_write &late : std::exchange(m_delayed, {})) {
            static_cast<void>(apply(late.kind, late.name, late.expected, late.value));
        }
    }

    void setFates(std::vector<write_fate> fates)
    {
        m_fates = std::move(fates);
        m_writes = 0;
    }

    /// While healthy, the store accepts every write, and these don't count for the fates.
    void setHealthy(bool isHealthy)
    {
        m_isHealthy = isHealthy;
    }

    /// Runs something before the next read of the root. The function isn't a coroutine itself, so that its captures may end with it.
    void beforeRootRead(std::function<asio::awaitable<void>()> run)
    {
        m_beforeRootRead = std::move(run);
    }

    std::size_t writes() const
    {
        return m_writes;
    }

    /// The roots that were ever in force, oldest first.
    const std::vector<configuration_root> &roots() const
    {
        return m_roots;
    }

    /// How many revisions a plan made.
    std::ptrdiff_t revisionsOf(const std::string &id) const
    {
        return std::count_if(m_roots.begin(), m_roots.end(), [&id](const configuration_root &root) { return root.plan == id; });
    }

private:
    struct delayed_write
    {
        std::string kind;
        std::string name;
        std::uint64_t expected = 0;
        std::string value;
    };

    asio::awaitable<void> wait()
    {
        const unsigned turns = m_turns.empty() ? 0 : m_turns[m_calls % m_turns.size()];
        ++m_calls;
        const auto executor = co_await asio::this_coro::executor;
        for (unsigned i = 0; i < turns; ++i) {
            co_await asio::post(executor, asio::use_awaitable);
        }
        arrive();
    }

    result<std::uint64_t> apply(const std::string &kind, const std::string &name, std::uint64_t expected, const std::string &value)
    {
        result<std::uint64_t> version = m_objects.put(kind, name, expected, value);
        if (version && kind == "configuration") {
            m_roots.push_back(parseRoot(value).value());
        }
        return version;
    }

    std::vector<write_fate> m_fates;
    std::vector<unsigned> m_turns;
    bool m_isHealthy = false;
    std::function<asio::awaitable<void>()> m_beforeRootRead;
    std::size_t m_writes = 0;
    std::size_t m_calls = 0;
    memory_object_store m_objects;
    std::vector<delayed_write> m_delayed;
    std::vector<configuration_root> m_roots;
};

/// Runs coroutines side by side until all have ended, for at most ten seconds.
void runAll(asio::io_context &context, std::vector<asio::awaitable<void>> tasks)
{
    std::size_t running = tasks.size();
    context.restart();
    for (asio::awaitable<void> &task : tasks) {
        asio::co_spawn(context, std::move(task), [&](std::exception_ptr failed) {
            if (--running == 0) {
                context.stop();
            }
            if (failed) {
                std::rethrow_exception(failed);
            }
        });
    }
    context.run_for(std::chrono::seconds(10));
    REQUIRE(running == 0);
}

void runOne(asio::io_context &context, asio::awaitable<void> task)
{
    std::vector<asio::awaitable<void>> tasks;
    tasks.push_back(std::move(task));
    runAll(context, std::move(tasks));
}

/// Three data centres and a query service with one shard of three replicas.
std::string applyIntentText()
{
    std::string targets;
    std::string names;
    for (const std::string number : {"1", "2", "3"}) {
        const std::string separator = targets.empty() ? "" : ",";
        targets += separator + R"({"name":"t)" + number + R"(","data_centre":"dc)" + number + R"(","address":"127.40.)" + number
            + R"(.1:9000","slots":2,"connections":25,"cold_slots":1})";
        names += separator + "\"t" + number + "\"";
    }
    return R"({"intent":"apply_configuration","document":{"data_centres":[{"name":"dc1"},{"name":"dc2"},{"name":"dc3"}],)"
           R"("services":[{"name":"finder","kind":"query","shards":[{"shard":"0","targets":[)"
        + names + R"(]}]}],"targets":[)" + targets + "]}}";
}

std::string takeOutText(const std::string &dataCentre)
{
    return R"({"intent":"take_out_data_centre","data_centre":")" + dataCentre + "\"}";
}

using answer_slot = std::optional<result<confirm_answer>>;

settle_options quickOptions(unsigned rounds = 5)
{
    return {rounds, milliseconds(0), false};
}

asio::awaitable<void> proposeInto(object_store &store, std::string intentJson, std::string id, std::optional<result<plan>> &made)
{
    made = co_await proposePlan(store, intentJson, id);
}

asio::awaitable<void> confirmInto(object_store &store, plan proposed, settle_options options, answer_slot &answer)
{
    std::string nonce = randomId();
    answer = co_await confirmPlan(store, proposed.id, proposed.digest, nonce, options);
}

plan propose(asio::io_context &context, object_store &store, const std::string &intentJson, const std::string &id)
{
    std::optional<result<plan>> made;
    runOne(context, proposeInto(store, intentJson, id, made));
    REQUIRE_MESSAGE(made->has_value(), describe(made->error()));
    return made->value();
}

result<confirm_answer> confirm(asio::io_context &context, object_store &store, const plan &proposed, settle_options options)
{
    answer_slot answer;
    runOne(context, confirmInto(store, proposed, options, answer));
    return *answer;
}

/// Stores the first configuration as revision 1.
void bootstrap(asio::io_context &context, object_store &store)
{
    const plan first = propose(context, store, applyIntentText(), "first");
    const auto answer = confirm(context, store, first, quickOptions());
    REQUIRE_MESSAGE(answer.has_value(), describe(answer.error()));
    REQUIRE(answer.value().confirmed.state == plan_state::Applied);
    REQUIRE(answer.value().confirmed.revision == 1);
}

configuration_view viewOf(asio::io_context &context, object_store &store)
{
    std::optional<result<configuration_view>> view;
    runOne(context, [](object_store &from, std::optional<result<configuration_view>> &into) -> asio::awaitable<void> {
        into = co_await readConfiguration(from);
    }(store, view));
    REQUIRE_MESSAGE(view->has_value(), describe(view->error()));
    return view->value();
}

plan storedPlan(asio::io_context &context, object_store &store, const std::string &id)
{
    std::optional<result<plan>> stored;
    runOne(context, [](object_store &from, std::string name, std::optional<result<plan>> &into) -> asio::awaitable<void> {
        into = co_await readPlan(from, name);
    }(store, id, stored));
    REQUIRE(stored->has_value());
    return stored->value();
}

} // namespace

TEST_CASE("nothing changes before the confirmation, and confirming twice gives the same answer")
{
    asio::io_context context;
    faulty_store store;
    bootstrap(context, store);
    const plan proposed = propose(context, store, takeOutText("dc1"), "p1");
    CHECK(viewOf(context, store).revision() == 1);
    plan wrong = proposed;
    wrong.digest = "other";
    CHECK(confirm(context, store, wrong, quickOptions()).error().code == error_code::Invalid);
    wrong.id = "nobody";
    CHECK(confirm(context, store, wrong, quickOptions()).error().code == error_code::NotFound);
    for (int i = 0; i < 2; ++i) {
        const auto answer = confirm(context, store, proposed, quickOptions());
        CHECK(answer.value().confirmed.state == plan_state::Applied);
        CHECK(answer.value().confirmed.revision == 2);
    }
    const configuration_view view = viewOf(context, store);
    CHECK(view.revision() == 2);
    CHECK(view.document.findDataCentre("dc1")->out);
    CHECK(storedPlan(context, store, "p1").state == plan_state::Applied);
    CHECK(store.roots().size() == 2);
}

TEST_CASE("of two operators who confirm plans on the same view one wins, the other is told what changed")
{
    asio::io_context context;
    faulty_store store;
    bootstrap(context, store);
    const plan first = propose(context, store, takeOutText("dc1"), "p1");
    const plan second = propose(context, store, takeOutText("dc2"), "p2");
    CHECK(confirm(context, store, first, quickOptions()).value().confirmed.state == plan_state::Applied);
    for (int i = 0; i < 2; ++i) {
        const auto late = confirm(context, store, second, quickOptions());
        CHECK(late.value().confirmed.state == plan_state::Refused);
        CHECK(late.value().confirmed.refusal == "the configuration changed after revision 1");
        CHECK(late.value().changes == std::vector<std::string>{"data centre 'dc1' is taken out of service"});
    }
    CHECK_FALSE(viewOf(context, store).document.findDataCentre("dc2")->out);
    CHECK(storedPlan(context, store, "p2").state == plan_state::Refused);
}

TEST_CASE("a plan that another controller applies between the reads of the plan and the root is not reported as refused")
{
    asio::io_context context;
    faulty_store store;
    bootstrap(context, store);
    const plan proposed = propose(context, store, takeOutText("dc1"), "p1");
    answer_slot first;
    store.beforeRootRead([&] { return confirmInto(store, proposed, quickOptions(), first); });
    const auto second = confirm(context, store, proposed, quickOptions());
    CHECK(first->value().confirmed.state == plan_state::Applied);
    CHECK(second.value().confirmed.state == plan_state::Applied);
    CHECK(store.revisionsOf("p1") == 1);
}

TEST_CASE("a lost, late or refused write at every position applies a plan exactly once")
{
    // Writes of a confirmation: the plan as confirming, the changed section, the root, the plan as applied.
    constexpr std::size_t ConfirmWrites = 4;
    for (const write_fate fate : {write_fate::LoseBefore, write_fate::LoseAfter, write_fate::Delay, write_fate::Refuse}) {
        for (std::size_t position = 0; position < ConfirmWrites; ++position) {
            for (const unsigned rounds : {1U, 5U}) {
                CAPTURE(static_cast<int>(fate));
                CAPTURE(position);
                CAPTURE(rounds);
                asio::io_context context;
                faulty_store store;
                bootstrap(context, store);
                const plan proposed = propose(context, store, takeOutText("dc1"), "p1");
                std::vector<write_fate> fates(position, write_fate::Accept);
                fates.push_back(fate);
                store.setFates(fates);
                auto answer = confirm(context, store, proposed, quickOptions(rounds));
                for (int i = 0; i < 3 && !answer; ++i) {
                    answer = confirm(context, store, proposed, quickOptions(rounds));
                }
                store.arrive();
                REQUIRE(store.writes() > position);
                REQUIRE_MESSAGE(answer.has_value(), describe(answer.error()));
                CHECK(answer.value().confirmed.state == plan_state::Applied);
                CHECK(answer.value().confirmed.revision == 2);
                CHECK(store.revisionsOf("p1") == 1);
                CHECK(store.roots().size() == 2);
            }
        }
    }
}

TEST_CASE("property: with concurrent operators and any faults, each plan applies once at most and the answers are true")
{
    CHECK(rc::check([] {
        const auto fate
            = rc::gen::element(write_fate::Accept, write_fate::Accept, write_fate::LoseBefore, write_fate::LoseAfter, write_fate::Delay, write_fate::Refuse);
        const auto fates = *rc::gen::container<std::vector<write_fate>>(fate);
        const auto turns = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 6U));
        const unsigned rounds = *rc::gen::inRange(1U, 4U);
        asio::io_context context;
        faulty_store store({}, turns);
        bootstrap(context, store);
        const std::vector<plan> plans = {propose(context, store, takeOutText("dc1"), "p1"), propose(context, store, takeOutText("dc2"), "p2")};
        store.setFates(fates);
        // The first plan is confirmed on two controllers at the same time, the second one on another.
        const std::size_t confirmed[] = {0, 0, 1};
        answer_slot answers[3];
        for (int repeats = 0; repeats < 3; ++repeats) {
            std::vector<asio::awaitable<void>> tasks;
            for (std::size_t i = 0; i < 3; ++i) {
                if (!answers[i] || !answers[i]->has_value()) {
                    tasks.push_back(confirmInto(store, plans[confirmed[i]], quickOptions(rounds), answers[i]));
                }
            }
            if (tasks.empty()) {
                break;
            }
            runAll(context, std::move(tasks));
            // Another operator's plan follows, so that the root that is read back later may already be the next one.
            const bool isFollowed = *rc::gen::arbitrary<bool>();
            if (isFollowed) {
                store.setHealthy(true);
                const plan next = propose(context, store, takeOutText("dc3"), "next" + std::to_string(repeats));
                static_cast<void>(confirm(context, store, next, quickOptions()));
                store.setHealthy(false);
            }
        }
        store.arrive();
        for (std::size_t i = 0; i < 3; ++i) {
            const std::ptrdiff_t revisions = store.revisionsOf(plans[confirmed[i]].id);
            RC_ASSERT(revisions <= 1);
            if (answers[i]->has_value()) {
                const plan &ended = answers[i]->value().confirmed;
                RC_ASSERT((ended.state == plan_state::Applied) == (revisions == 1));
                RC_ASSERT((ended.state == plan_state::Refused) == (revisions == 0));
            }
        }
        // Both plans have the same base, so at most one of them made a revision.
        RC_ASSERT(store.revisionsOf("p1") + store.revisionsOf("p2") <= 1);
        for (std::size_t i = 0; i < store.roots().size(); ++i) {
            RC_ASSERT(store.roots()[i].revision == i + 1);
        }
    }));
}

TEST_CASE("a confirmation over HTTP survives every answer being lost")
{
    const endpoint local{"127.0.0.1", 18102};
    asio::io_context context;
    counters numbers;
    platform_service service(context, numbers, milliseconds(0));
    http_server server(context, http_limits(), numbers, [&service](http_request request) { return service.handle(std::move(request)); });
    REQUIRE(server.listen(local).has_value());
    object_store_settings values;
    values.platform = local;
    values.callTimeout = milliseconds(100);
    const auto store = makeHttpObjectStore(values, numbers);
    bootstrap(context, *store);
    const plan proposed = propose(context, *store, takeOutText("dc1"), "p1");
    service.setFaults({false, milliseconds(0), 1});
    const auto answer = confirm(context, *store, proposed, quickOptions());
    REQUIRE_MESSAGE(answer.has_value(), describe(answer.error()));
    CHECK(answer.value().confirmed.state == plan_state::Applied);
    CHECK(viewOf(context, *store).revision() == 2);
    CHECK(numbers.value("standin_platform_lost_answers_total") == 4);
}
