#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "control/control.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <thread>

using namespace balsamhook;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using json = nlohmann::json;

namespace
{

/// Objects in memory, shared by the stores of one test.
struct shared_objects
{
    std::map<std::string, stored_object> objects;
    bool isDown = false;
    std::string loseResponseOf; ///< Kind whose next write takes effect and loses its response.
};

class memory_store : public object_store
{
public:
    explicit memory_store(std::shared_ptr<shared_objects> shared)
        : m_shared(std::move(shared))
    {
    }

    asio::awaitable<result<stored_object>> read(std::string kind, std::string name) override
    {
        if (m_shared->isDown) {
            co_return failure(error_code::Unavailable, error_step::Store, "", "down");
        }
        const auto found = m_shared->objects.find(kind + "/" + name);
        if (found == m_shared->objects.end()) {
            co_return failure(error_code::NotFound, error_step::Store, "", "no such object");
        }
        co_return found->second;
    }

    asio::awaitable<result<std::uint64_t>> write(std::string kind, std::string name, expected_version expected, std::string value) override
    {
        if (m_shared->isDown) {
            co_return failure(error_code::Unavailable, error_step::Store, "", "down");
        }
        const auto found = m_shared->objects.find(kind + "/" + name);
        const std::uint64_t version = found == m_shared->objects.end() ? 0 : found->second.version;
        if (version != expected.version) {
            co_return failure(error_code::Conflict, error_step::Store, "", "another version");
        }
        m_shared->objects[kind + "/" + name] = {version + 1, std::move(value)};
        if (m_shared->loseResponseOf == kind) {
            m_shared->loseResponseOf.clear();
            co_return failure(error_code::Unsettled, error_step::Store, "", "response lost");
        }
        co_return version + 1;
    }

    asio::awaitable<result<void>> remove(std::string, std::string, expected_version) override
    {
        co_return failure(error_code::Unavailable, error_step::Store, "", "not supported by this store");
    }

    asio::awaitable<result<std::optional<stored_object>>>
    watch(std::string kind, std::string name, std::uint64_t after, std::chrono::milliseconds timeout) override
    {
        const auto limit = boot_clock::now() + timeout;
        while (boot_clock::now() < limit) {
            if (m_shared->isDown) {
                co_return failure(error_code::Unavailable, error_step::Store, "", "down");
            }
            const auto found = m_shared->objects.find(kind + "/" + name);
            if (found != m_shared->objects.end() && found->second.version > after) {
                co_return std::optional<stored_object>(found->second);
            }
            asio::steady_timer timer(co_await asio::this_coro::executor, 20ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_return std::optional<stored_object>();
    }

    asio::awaitable<result<std::vector<object_listing>>> list(std::string kind) override
    {
        std::vector<object_listing> found;
        for (const auto &[name, object] : m_shared->objects) {
            if (name.rfind(kind + "/", 0) == 0) {
                found.push_back({name.substr(kind.size() + 1), object.version});
            }
        }
        co_return found;
    }

    asio::awaitable<result<std::vector<platform_instance>>> instances() override
    {
        co_return std::vector<platform_instance>();
    }

private:
    std::shared_ptr<shared_objects> m_shared;
};

configuration_document documentOf(std::size_t targets)
{
    configuration_document document;
    document.dataCentres.push_back({"dc1", false});
    service_configuration service;
    service.name = "player-register";
    shard_configuration shard;
    shard.shard = "0";
    for (std::size_t i = 0; i < targets; ++i) {
        target_configuration target;
        target.name = "player-register-" + std::to_string(i);
        target.dataCentre = "dc1";
        target.address = {"127.40.1.1", static_cast<std::uint16_t>(9000 + i)};
        shard.targets.push_back(target.name);
        document.targets.push_back(target);
    }
    service.shards.push_back(shard);
    document.services.push_back(service);
    return document;
}

std::string applyIntentText(std::size_t targets)
{
    const json document = json::parse(documentText(documentOf(targets)));
    return json{{"intent", "apply_configuration"}, {"document", document}}.dump();
}

/// Controllers of one data centre on 127.0.0.1, each with its own ports, in one io_context.
class control_fixture
{
public:
    explicit control_fixture(std::size_t count = 1)
    {
        for (std::size_t i = 0; i < count; ++i) {
            control_settings settings;
            settings.instance.instance = "i" + std::to_string(i);
            settings.instance.dataCentre = "dc1";
            settings.instance.listenAddress = "127.0.0.1";
            settings.instance.controlPort = static_cast<std::int64_t>(18000 + i);
            settings.instance.gossipPort = static_cast<std::int64_t>(18010 + i);
            settings.instance.operatorPort = static_cast<std::int64_t>(18020 + i);
            settings.stopTimeout = 6000ms;
            controllers.push_back(std::make_unique<controller>(context, settings, std::make_unique<memory_store>(shared)));
            REQUIRE(controllers.back()->start().has_value());
        }
    }

    /// Runs until the condition holds, for at most ten seconds.
    template<class Condition>
    bool runUntil(Condition condition)
    {
        const auto limit = boot_clock::now() + 10s;
        while (!condition() && boot_clock::now() < limit && !context.stopped()) {
            context.run_for(20ms);
        }
        return condition();
    }

    bool areReady()
    {
        return std::all_of(controllers.begin(), controllers.end(), [](const auto &each) {
            return each->core().isReady() && each->core().node.entitledUntil(boot_clock::now()) > boot_clock::now();
        });
    }

    http_response call(std::size_t index, std::string method, std::string path, std::string body = "")
    {
        http_request request;
        request.method = std::move(method);
        request.path = std::move(path);
        request.body = std::move(body);
        const endpoint peer{"127.0.0.1", static_cast<std::uint16_t>(18020 + index)};
        std::optional<result<http_response>> response;
        asio::co_spawn(context, storeResult(fetch(peer, "", request, 5000ms), response), asio::detached);
        REQUIRE(runUntil([&] { return response.has_value(); }));
        REQUIRE(response->has_value());
        return response->value();
    }

    json plan(std::size_t index, const std::string &intentJson)
    {
        const http_response created = call(index, "POST", "/v1/plans", intentJson);
        CHECK(created.status == 201);
        return json::parse(created.body);
    }

    http_response confirm(std::size_t index, const json &planned)
    {
        const std::string body = json{{"digest", planned["digest"]}}.dump();
        return call(index, "POST", "/v1/plans/" + planned["plan"].get<std::string>() + "/confirm", body);
    }

    static asio::awaitable<void> storeResult(asio::awaitable<result<http_response>> operation, std::optional<result<http_response>> &response)
    {
        response = co_await std::move(operation);
    }

    asio::io_context context;
    std::shared_ptr<shared_objects> shared = std::make_shared<shared_objects>();
    std::vector<std::unique_ptr<controller>> controllers;
};

/// A local program whose status the test sets.
class fake_program
{
public:
    fake_program(asio::io_context &context, std::string instance, std::uint16_t port, program_role role = program_role::Dispatch)
        : client(context, {"127.0.0.1", port}, {std::move(instance), "d1", role, "dc1"}, metrics, {[](const control_state &) {}, [this] { return report(); }})
    {
        status.role = role;
        client.start();
    }

    program_status report() const
    {
        program_status current = status;
        if (appliesStates && client.state() != nullptr) {
            current.appliedRevision = client.state()->configurationRevision;
            current.appliedMemberListVersion = client.state()->memberListVersion;
        }
        return current;
    }

    bool appliesStates = true;
    program_status status;
    counters metrics;
    control_client client;
};

} // namespace

TEST_CASE("a configuration never reverts to an older revision")
{
    configuration_state state;
    CHECK(state.revision() == 0);
    const configuration_document newer = documentOf(2);
    for (const section_text &section : splitSections(newer)) {
        state.addSection(section);
    }
    CHECK(state.activate(makeRoot(newer, 2, "n2", "p2")).value());
    CHECK_FALSE(state.activate(makeRoot(documentOf(1), 1, "n1", "p1")).value());
    CHECK_FALSE(state.activate(makeRoot(newer, 2, "n3", "p3")).value());
    CHECK(state.revision() == 2);
    CHECK(state.root().plan == "p2");
    CHECK(state.document()->targets.size() == 2);
}

TEST_CASE("a root with missing or damaged sections is not activated")
{
    configuration_state state;
    const configuration_document document = documentOf(1);
    const configuration_root root = makeRoot(document, 1, "n", "p");
    CHECK(state.missingSections(root).size() == splitSections(document).size());
    CHECK(state.activate(root).error().code == error_code::NotFound);
    for (section_text section : splitSections(document)) {
        section.text += " ";
        state.addSection(section);
    }
    CHECK(state.missingSections(root).size() == splitSections(document).size());
    CHECK(state.revision() == 0);
}

TEST_CASE("sections of the active configuration are never evicted")
{
    // Guards against peers that can't fetch the active configuration from this controller.
    configuration_state state;
    const configuration_document document = documentOf(3);
    for (const section_text &section : splitSections(document)) {
        state.addSection(section);
    }
    const configuration_root root = makeRoot(document, 1, "n", "p");
    REQUIRE(state.activate(root).value());
    for (int i = 0; i < 1000; ++i) {
        const std::string text = "section " + std::to_string(i);
        state.addSection({contentHash(text), text});
    }
    CHECK(state.missingSections(root).empty());
    CHECK(state.findSection(contentHash("section 0")) == nullptr);
    CHECK(state.findSection(contentHash("section 999")) != nullptr);
}

TEST_CASE("an empty store has revision 0, and the first applied plan has revision 1")
{
    control_fixture fixture;
    REQUIRE(fixture.runUntil([&] { return fixture.areReady(); }));
    CHECK(json::parse(fixture.call(0, "GET", "/v1/configuration").body)["revision"] == 0);
    CHECK(fixture.call(0, "GET", "/healthz").status == 200);
    const json planned = fixture.plan(0, applyIntentText(2));
    CHECK(planned["base_revision"] == 0);
    const http_response confirmed = fixture.confirm(0, planned);
    CHECK(confirmed.status == 200);
    CHECK(json::parse(confirmed.body)["revision"] == 1);
    REQUIRE(fixture.runUntil([&] { return fixture.controllers[0]->core().node.actionableTargets().size() == 2; }));
    // A repeated confirmation gets the same response and makes no further revision.
    CHECK(json::parse(fixture.confirm(0, planned).body)["revision"] == 1);
    CHECK(fixture.controllers[0]->core().configuration.revision() == 1);
    CHECK(json::parse(fixture.call(0, "GET", "/v1/plans").body)["total"] == 1);
}

TEST_CASE("a plan with a stale base revision is refused with the list of changes")
{
    control_fixture fixture;
    REQUIRE(fixture.runUntil([&] { return fixture.areReady(); }));
    const json first = fixture.plan(0, applyIntentText(1));
    const json second = fixture.plan(0, applyIntentText(2));
    CHECK(fixture.confirm(0, first).status == 200);
    const http_response refused = fixture.confirm(0, second);
    CHECK(refused.status == 409);
    const json body = json::parse(refused.body);
    CHECK(body["revision"] == 1);
    CHECK_FALSE(body["changes"].empty());
    CHECK(fixture.controllers[0]->core().configuration.document()->targets.size() == 1);
}

TEST_CASE("malformed operator requests are refused")
{
    control_fixture fixture;
    REQUIRE(fixture.runUntil([&] { return fixture.areReady(); }));
    CHECK(fixture.call(0, "POST", "/v1/plans", "{}").status == 400);
    CHECK(fixture.call(0, "POST", "/v1/plans", "not json").status == 400);
    CHECK(fixture.call(0, "POST", "/v1/plans/none/confirm", "{\"digest\":\"x\"}").status == 404);
    const json planned = fixture.plan(0, applyIntentText(1));
    const std::string path = "/v1/plans/" + planned["plan"].get<std::string>() + "/confirm";
    CHECK(fixture.call(0, "POST", path, "{\"digest\":\"other\"}").status == 409);
    CHECK(fixture.call(0, "POST", path, "{}").status == 400);
    CHECK(fixture.call(0, "GET", "/v1/nothing").status == 404);
    CHECK(fixture.controllers[0]->core().configuration.revision() == 0);
}

TEST_CASE("a root update whose response is lost makes exactly one revision")
{
    control_fixture fixture;
    REQUIRE(fixture.runUntil([&] { return fixture.areReady(); }));
    const json planned = fixture.plan(0, applyIntentText(1));
    fixture.shared->loseResponseOf = "configuration";
    const http_response confirmed = fixture.confirm(0, planned);
    CHECK(confirmed.status == 200);
    CHECK(json::parse(confirmed.body)["revision"] == 1);
    CHECK(fixture.shared->objects.at("configuration/root").version == 1);
}

TEST_CASE("plans are refused while the store is down")
{
    control_fixture fixture;
    REQUIRE(fixture.runUntil([&] { return fixture.areReady(); }));
    fixture.shared->isDown = true;
    CHECK(fixture.call(0, "POST", "/v1/plans", applyIntentText(1)).status == 503);
}

TEST_CASE("three controllers activate the same revision, and each target has one owner")
{
    control_fixture fixture(3);
    REQUIRE(fixture.runUntil([&] { return fixture.areReady(); }));
    // With three controllers, two watch the store and one fetches the configuration from its peers.
    CHECK(fixture.confirm(2, fixture.plan(2, applyIntentText(6))).status == 200);
    const auto countOwned = [&] {
        std::size_t owned = 0;
        for (const auto &each : fixture.controllers) {
            owned += each->core().node.actionableTargets().size();
        }
        return owned;
    };
    CHECK(fixture.runUntil([&] { return countOwned() == 6; }));
    for (const auto &each : fixture.controllers) {
        CHECK(each->core().configuration.revision() == 1);
    }
}

TEST_CASE("a revision is not confirmed while the dispatcher has work in flight on a target that it no longer owns")
{
    // Guards against a new owner that sends to a target while the previous owner still has work in flight on it.
    control_fixture fixture;
    fake_program dispatcher(fixture.context, "i0", 18000);
    REQUIRE(fixture.runUntil([&] { return fixture.areReady() && dispatcher.client.isEntitled(); }));
    CHECK(dispatcher.client.mayAccept());
    REQUIRE(fixture.runUntil([&] { return fixture.controllers[0]->core().node.appliedRevision("i0") == 0; }));
    dispatcher.status.activeTargets = {"lost"};
    dispatcher.client.reportStatus();
    fixture.context.run_for(200ms);
    CHECK(fixture.confirm(0, fixture.plan(0, applyIntentText(1))).status == 200);
    fixture.context.run_for(1500ms);
    CHECK(fixture.controllers[0]->core().node.appliedRevision("i0") == 0);
    dispatcher.status.activeTargets.clear();
    CHECK(fixture.runUntil([&] { return fixture.controllers[0]->core().node.appliedRevision("i0") == 1; }));
    CHECK(fixture.runUntil([&] { return dispatcher.client.state()->ownedTargets.size() == 1; }));
    dispatcher.client.stop();
    fixture.context.run_for(50ms);
}

TEST_CASE("a dispatcher with a newer configuration than its controller is not entitled")
{
    // Guards against a restarted controller that extends the entitlement of a dispatcher although the dispatcher ignores its older state.
    control_fixture fixture;
    fake_program dispatcher(fixture.context, "i0", 18000);
    dispatcher.appliesStates = false;
    dispatcher.status.appliedRevision = 9;
    REQUIRE(fixture.runUntil([&] { return fixture.areReady(); }));
    fixture.context.run_for(1000ms);
    CHECK_FALSE(dispatcher.client.isEntitled());
    dispatcher.client.stop();
    fixture.context.run_for(50ms);
}

TEST_CASE("during a store outage the configuration stays fresh only while a majority of the members acknowledges heartbeats")
{
    control_fixture fixture(3);
    REQUIRE(fixture.runUntil([&] { return fixture.areReady(); }));
    fixture.shared->isDown = true;
    fixture.context.run_for(6000ms);
    CHECK(fixture.controllers[0]->core().acceptUntil() > boot_clock::now());
    // Pauses the whole process; datagrams that were queued in the sockets meanwhile are outdated and confirm nothing.
    std::this_thread::sleep_for(5500ms);
    fixture.context.poll();
    CHECK(fixture.controllers[0]->core().acceptUntil() < boot_clock::now());
    CHECK(fixture.runUntil([&] { return fixture.controllers[0]->core().acceptUntil() > boot_clock::now(); }));
}

TEST_CASE("a planned stop hands all targets over before the controller stops")
{
    control_fixture fixture(2);
    REQUIRE(fixture.runUntil([&] { return fixture.areReady(); }));
    CHECK(fixture.confirm(0, fixture.plan(0, applyIntentText(4))).status == 200);
    REQUIRE(fixture.runUntil(
        [&] { return fixture.controllers[0]->core().node.actionableTargets().size() + fixture.controllers[1]->core().node.actionableTargets().size() == 4; }));
    asio::co_spawn(fixture.context, fixture.controllers[0]->stopGracefully(), asio::detached);
    CHECK(fixture.runUntil([&] { return fixture.controllers[1]->core().node.actionableTargets().size() == 4; }));
    CHECK(fixture.runUntil([&] { return fixture.controllers[1]->core().node.list().find("i0") == nullptr; }));
    CHECK(fixture.runUntil([&] { return fixture.context.stopped(); }));
}

TEST_CASE("a leaving front end accepts work during the validity of address advice")
{
    // Guards against refused requests of callers that still use the advised address.
    control_fixture fixture(2);
    fake_program front(fixture.context, "i0", 18000, program_role::Front);
    REQUIRE(fixture.runUntil([&] { return fixture.areReady() && front.client.mayAccept(); }));
    asio::co_spawn(fixture.context, fixture.controllers[0]->stopGracefully(), asio::detached);
    const auto start = boot_clock::now();
    while (boot_clock::now() - start < 3500ms) {
        fixture.context.run_for(50ms);
        REQUIRE(front.client.mayAccept());
    }
    CHECK(front.client.state()->stopping);
    CHECK(fixture.runUntil([&] { return fixture.context.stopped(); }));
    CHECK(boot_clock::now() - start < 8s);
    front.client.stop();
}
