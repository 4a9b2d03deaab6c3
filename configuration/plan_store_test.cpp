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

/// Injected fault of one write.
enum class write_fault : std::uint8_t {
    Accept,
    LoseRequest, ///< The request is lost.
    LoseResponse, ///< The write takes effect, and its response is lost.
    Delay, ///< The response is lost, and the write takes effect before a later call.
    Refuse, ///< The write is refused as unavailable and has no effect.
};

/// Object store in memory with a fault for each write. Each call yields to other tasks a given number of times, so that concurrent calls interleave.
class faulty_store : public object_store
{
public:
    explicit faulty_store(std::vector<write_fault> faults = {}, std::vector<unsigned> yields = {})
        : m_faults(std::move(faults))
        , m_yields(std::move(yields))
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
        write_fault fault = write_fault::Accept;
        if (!m_isHealthy) {
            fault = m_writes < m_faults.size() ? m_faults[m_writes] : write_fault::Accept;
            ++m_writes;
        }
        if (fault == write_fault::Refuse) {
            co_return failure(error_code::Unavailable, error_step::Store, "memory", "outage");
        }
        if (fault == write_fault::Delay) {
            m_delayed.push_back({kind, name, expected.version, value});
        }
        if (fault == write_fault::Delay || fault == write_fault::LoseRequest) {
            co_return failure(error_code::Unsettled, error_step::Receive, "memory", "the response was lost");
        }
        const result<std::uint64_t> version = apply(kind, name, expected.version, value);
        if (fault == write_fault::LoseResponse) {
            co_return failure(error_code::Unsettled, error_step::Receive, "memory", "the response was lost");
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

    /// Applies the delayed writes.
    void applyDelayedWrites()
    {
        for (const delayed_write &write : std::exchange(m_delayed, {})) {
            static_cast<void>(apply(write.kind, write.name, write.expected, write.value));
        }
    }

    void setFaults(std::vector<write_fault> faults)
    {
        m_faults = std::move(faults);
        m_writes = 0;
    }

    /// While healthy, the store accepts every write and doesn't consume faults.
    void setHealthy(bool isHealthy)
    {
        m_isHealthy = isHealthy;
    }

    /// Runs a function before the next read of the root. Precondition: the function isn't itself a coroutine, so that its captures need not outlive the
    /// call.
    void beforeRootRead(std::function<asio::awaitable<void>()> run)
    {
        m_beforeRootRead = std::move(run);
    }

    std::size_t writes() const
    {
        return m_writes;
    }

    /// Returns all roots that were written, oldest first.
    const std::vector<configuration_root> &roots() const
    {
        return m_roots;
    }

    /// Returns the number of revisions that a plan made.
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
        const unsigned yields = m_yields.empty() ? 0 : m_yields[m_calls % m_yields.size()];
        ++m_calls;
        const auto executor = co_await asio::this_coro::executor;
        for (unsigned i = 0; i < yields; ++i) {
            co_await asio::post(executor, asio::use_awaitable);
        }
        applyDelayedWrites();
    }

    result<std::uint64_t> apply(const std::string &kind, const std::string &name, std::uint64_t expected, const std::string &value)
    {
        result<std::uint64_t> version = m_objects.put(kind, name, expected, value);
        if (version && kind == "configuration") {
            m_roots.push_back(parseRoot(value).value());
        }
        return version;
    }

    std::vector<write_fault> m_faults;
    std::vector<unsigned> m_yields;
    bool m_isHealthy = false;
    std::function<asio::awaitable<void>()> m_beforeRootRead;
    std::size_t m_writes = 0;
    std::size_t m_calls = 0;
    memory_object_store m_objects;
    std::vector<delayed_write> m_delayed;
    std::vector<configuration_root> m_roots;
};

/// Runs coroutines concurrently until all have ended. Fails after ten seconds.
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

/// Returns an intent that applies a configuration of three data centres and a query service with one shard of three replicas.
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

using response_slot = std::optional<result<confirm_response>>;

settle_options fastOptions(unsigned rounds = 5)
{
    return {rounds, milliseconds(0), false};
}

asio::awaitable<void> proposeInto(object_store &store, std::string intentJson, std::string id, std::optional<result<plan>> &planned)
{
    planned = co_await proposePlan(store, intentJson, id);
}

asio::awaitable<void> confirmInto(object_store &store, plan proposed, settle_options options, response_slot &response)
{
    std::string nonce = randomId();
    response = co_await confirmPlan(store, proposed.id, proposed.digest, nonce, options);
}

plan propose(asio::io_context &context, object_store &store, const std::string &intentJson, const std::string &id)
{
    std::optional<result<plan>> planned;
    runOne(context, proposeInto(store, intentJson, id, planned));
    REQUIRE_MESSAGE(planned->has_value(), describe(planned->error()));
    return planned->value();
}

result<confirm_response> confirm(asio::io_context &context, object_store &store, const plan &proposed, settle_options options)
{
    response_slot response;
    runOne(context, confirmInto(store, proposed, options, response));
    return *response;
}

/// Stores the first configuration as revision 1.
void bootstrap(asio::io_context &context, object_store &store)
{
    const plan first = propose(context, store, applyIntentText(), "first");
    const auto response = confirm(context, store, first, fastOptions());
    REQUIRE_MESSAGE(response.has_value(), describe(response.error()));
    REQUIRE(response.value().confirmed.state == plan_state::Applied);
    REQUIRE(response.value().confirmed.revision == 1);
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

TEST_CASE("a plan changes nothing before its confirmation, and a repeated confirmation returns the same response")
{
    asio::io_context context;
    faulty_store store;
    bootstrap(context, store);
    const plan proposed = propose(context, store, takeOutText("dc1"), "p1");
    CHECK(viewOf(context, store).revision() == 1);
    plan wrong = proposed;
    wrong.digest = "other";
    CHECK(confirm(context, store, wrong, fastOptions()).error().code == error_code::Invalid);
    wrong.id = "nobody";
    CHECK(confirm(context, store, wrong, fastOptions()).error().code == error_code::NotFound);
    for (int i = 0; i < 2; ++i) {
        const auto response = confirm(context, store, proposed, fastOptions());
        CHECK(response.value().confirmed.state == plan_state::Applied);
        CHECK(response.value().confirmed.revision == 2);
    }
    const configuration_view view = viewOf(context, store);
    CHECK(view.revision() == 2);
    CHECK(view.document.findDataCentre("dc1")->out);
    CHECK(storedPlan(context, store, "p1").state == plan_state::Applied);
    CHECK(store.roots().size() == 2);
}

TEST_CASE("of two plans with the same base one is applied, and the other is refused with the changes since the base")
{
    asio::io_context context;
    faulty_store store;
    bootstrap(context, store);
    const plan first = propose(context, store, takeOutText("dc1"), "p1");
    const plan second = propose(context, store, takeOutText("dc2"), "p2");
    CHECK(confirm(context, store, first, fastOptions()).value().confirmed.state == plan_state::Applied);
    for (int i = 0; i < 2; ++i) {
        const auto response = confirm(context, store, second, fastOptions());
        CHECK(response.value().confirmed.state == plan_state::Refused);
        CHECK(response.value().confirmed.refusal == "the configuration changed after revision 1");
        CHECK(response.value().changes == std::vector<std::string>{"data centre 'dc1' is taken out of service"});
    }
    CHECK_FALSE(viewOf(context, store).document.findDataCentre("dc2")->out);
    CHECK(storedPlan(context, store, "p2").state == plan_state::Refused);
}

TEST_CASE("a plan that another controller applies between the reads of plan and root is not reported as refused")
{
    asio::io_context context;
    faulty_store store;
    bootstrap(context, store);
    const plan proposed = propose(context, store, takeOutText("dc1"), "p1");
    response_slot first;
    store.beforeRootRead([&] { return confirmInto(store, proposed, fastOptions(), first); });
    const auto second = confirm(context, store, proposed, fastOptions());
    CHECK(first->value().confirmed.state == plan_state::Applied);
    CHECK(second.value().confirmed.state == plan_state::Applied);
    CHECK(store.revisionsOf("p1") == 1);
}

TEST_CASE("a plan is applied exactly once when a write at any position is lost, delayed or refused")
{
    // A confirmation writes the plan as confirming, the changed section, the root, and the plan as applied.
    constexpr std::size_t ConfirmWrites = 4;
    for (const write_fault fault : {write_fault::LoseRequest, write_fault::LoseResponse, write_fault::Delay, write_fault::Refuse}) {
        for (std::size_t position = 0; position < ConfirmWrites; ++position) {
            for (const unsigned rounds : {1U, 5U}) {
                CAPTURE(static_cast<int>(fault));
                CAPTURE(position);
                CAPTURE(rounds);
                asio::io_context context;
                faulty_store store;
                bootstrap(context, store);
                const plan proposed = propose(context, store, takeOutText("dc1"), "p1");
                std::vector<write_fault> faults(position, write_fault::Accept);
                faults.push_back(fault);
                store.setFaults(faults);
                auto response = confirm(context, store, proposed, fastOptions(rounds));
                for (int i = 0; i < 3 && !response; ++i) {
                    response = confirm(context, store, proposed, fastOptions(rounds));
                }
                store.applyDelayedWrites();
                REQUIRE(store.writes() > position);
                REQUIRE_MESSAGE(response.has_value(), describe(response.error()));
                CHECK(response.value().confirmed.state == plan_state::Applied);
                CHECK(response.value().confirmed.revision == 2);
                CHECK(store.revisionsOf("p1") == 1);
                CHECK(store.roots().size() == 2);
            }
        }
    }
}

TEST_CASE("property: with concurrent confirmations and any faults, each plan is applied at most once and the responses are correct")
{
    CHECK(rc::check([] {
        const auto fault = rc::gen::element(
            write_fault::Accept, write_fault::Accept, write_fault::LoseRequest, write_fault::LoseResponse, write_fault::Delay, write_fault::Refuse);
        const auto faults = *rc::gen::container<std::vector<write_fault>>(fault);
        const auto yields = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 6U));
        const unsigned rounds = *rc::gen::inRange(1U, 4U);
        asio::io_context context;
        faulty_store store({}, yields);
        bootstrap(context, store);
        const std::vector<plan> plans = {propose(context, store, takeOutText("dc1"), "p1"), propose(context, store, takeOutText("dc2"), "p2")};
        store.setFaults(faults);
        // Two controllers confirm the first plan concurrently; a third one confirms the second plan.
        const std::size_t confirmed[] = {0, 0, 1};
        response_slot responses[3];
        for (int repeats = 0; repeats < 3; ++repeats) {
            std::vector<asio::awaitable<void>> tasks;
            for (std::size_t i = 0; i < 3; ++i) {
                if (!responses[i] || !responses[i]->has_value()) {
                    tasks.push_back(confirmInto(store, plans[confirmed[i]], fastOptions(rounds), responses[i]));
                }
            }
            if (tasks.empty()) {
                break;
            }
            runAll(context, std::move(tasks));
            // A plan of another operator may follow, so that the root that is read back is already that of a later revision.
            const bool hasNextPlan = *rc::gen::arbitrary<bool>();
            if (hasNextPlan) {
                store.setHealthy(true);
                const plan next = propose(context, store, takeOutText("dc3"), "next" + std::to_string(repeats));
                static_cast<void>(confirm(context, store, next, fastOptions()));
                store.setHealthy(false);
            }
        }
        store.applyDelayedWrites();
        for (std::size_t i = 0; i < 3; ++i) {
            const std::ptrdiff_t revisions = store.revisionsOf(plans[confirmed[i]].id);
            RC_ASSERT(revisions <= 1);
            if (responses[i]->has_value()) {
                const plan &ended = responses[i]->value().confirmed;
                RC_ASSERT((ended.state == plan_state::Applied) == (revisions == 1));
                RC_ASSERT((ended.state == plan_state::Refused) == (revisions == 0));
            }
        }
        // Both plans have the same base, so at most one of them makes a revision.
        RC_ASSERT(store.revisionsOf("p1") + store.revisionsOf("p2") <= 1);
        for (std::size_t i = 0; i < store.roots().size(); ++i) {
            RC_ASSERT(store.roots()[i].revision == i + 1);
        }
    }));
}

TEST_CASE("a confirmation over HTTP succeeds when all responses to its writes are lost")
{
    const endpoint local{"127.0.0.1", 18102};
    asio::io_context context;
    counters metrics;
    platform_service service(context, metrics, milliseconds(0));
    http_server server(context, http_limits(), metrics, [&service](http_request request) { return service.handle(std::move(request)); });
    REQUIRE(server.listen(local).has_value());
    object_store_settings values;
    values.platform = local;
    values.callTimeout = milliseconds(100);
    const auto store = makeHttpObjectStore(values, metrics);
    bootstrap(context, *store);
    const plan proposed = propose(context, *store, takeOutText("dc1"), "p1");
    service.setFaults({false, milliseconds(0), 1});
    const auto response = confirm(context, *store, proposed, fastOptions());
    REQUIRE_MESSAGE(response.has_value(), describe(response.error()));
    CHECK(response.value().confirmed.state == plan_state::Applied);
    CHECK(viewOf(context, *store).revision() == 2);
    CHECK(metrics.value("standin_platform_lost_answers_total") == 4);
}
