#include "standins/target_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace balsamhook
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using nlohmann::json;

namespace
{

using request_message = beast::http::request<beast::http::string_body>;
using response_message = beast::http::response<beast::http::string_body>;

constexpr std::size_t MaxSnapshots = 2;
constexpr std::chrono::milliseconds DefaultDeadline{10000};

struct open_connection
{
    explicit open_connection(tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }

    tcp::socket socket;
    bool isSilent = false;
    bool hasResponded = false;
};

/// An accepted request. Its coroutine waits on `wake`, which is cancelled when the request gets a slot or is cancelled.
struct job
{
    explicit job(asio::io_context &context)
        : wake(context)
    {
    }

    asio::steady_timer wake;
    std::string requestId;
    bool isCancelled = false;
    bool isStarted = false;
    std::chrono::microseconds duration{0};
};

struct target_response
{
    unsigned status = 200;
    std::string body;
};

target_response notStartedResponse(unsigned status, std::string_view reason)
{
    return {status, "{\"error\":\"" + std::string(reason) + "\",\"started\":false}"};
}

target_response abortedResponse(unsigned status, std::string_view reason)
{
    return {status, "{\"error\":\"" + std::string(reason) + "\",\"started\":true}"};
}

std::chrono::milliseconds deadlineOf(const request_message &request)
{
    const auto text = request["x-deadline-ms"];
    std::int64_t milliseconds = 0;
    const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    return failed == std::errc() && milliseconds >= 0 ? std::chrono::milliseconds(milliseconds) : DefaultDeadline;
}

} // namespace

struct target_server::state : std::enable_shared_from_this<target_server::state>
{
    state(asio::io_context &ioContext, site_target target, service_behaviour values, service_data &shared, data_snapshot first)
        : context(ioContext)
        , acceptor(ioContext)
        , restartTimer(ioContext)
        , description(std::move(target))
        , behaviour(std::move(values))
        , data(shared)
        , model(description, behaviour, stableHash(description.name, behaviour.data.seed))
        , snapshots{first}
    {
    }

    asio::io_context &context;
    tcp::acceptor acceptor;
    asio::steady_timer restartTimer;
    site_target description;
    service_behaviour behaviour;
    service_data &data;
    target_model model;
    std::deque<data_snapshot> snapshots;
    std::set<std::shared_ptr<open_connection>> connections;
    std::map<std::uint64_t, std::shared_ptr<job>> jobs;
    std::uint64_t nextJob = 1;
    std::uint64_t generation = 0; ///< Incremented at each shutdown or restart. Coroutines of an older generation must not change the model.
    bool isSilent = false;
    bool isStopped = false;
    std::chrono::milliseconds lastNewWork{0};

    result<void> listen();
    void closeConnections();
    void restart(std::chrono::milliseconds downTime);

    /// Simulates a crash when the request contains the poison word, unless the target has restarted since the request was admitted.
    void crashIfPoisoned(std::string_view request, std::uint64_t admittedGeneration);
    void wakeStarted();
    void cancel(const std::string &requestId);
    bool hasSnapshot(data_snapshot wanted) const;
    std::string statusBody() const;

    static asio::awaitable<void> acceptLoop(std::shared_ptr<state> self);
    static asio::awaitable<void> serve(std::shared_ptr<state> self, std::shared_ptr<open_connection> connection);
    static asio::awaitable<void> discardInput(std::shared_ptr<open_connection> connection);
    static asio::awaitable<target_response> respond(std::shared_ptr<state> self, request_message request);
    static asio::awaitable<target_response> search(std::shared_ptr<state> self, request_message request);
    static asio::awaitable<target_response> execute(std::shared_ptr<state> self, request_message request);
    static asio::awaitable<std::optional<target_response>> waitForSlot(std::shared_ptr<state> self, std::uint64_t id, boot_clock::time_point deadline);
    static asio::awaitable<std::optional<target_response>>
    work(std::shared_ptr<state> self, std::uint64_t id, boot_clock::time_point deadline, bool isInterruptible);
    std::optional<target_response> admit(const request_message &request, std::uint64_t &id);
    void release(std::uint64_t id, std::uint64_t admittedGeneration);
};

result<void> target_server::state::listen()
{
    boost::system::error_code failed;
    const tcp::endpoint local(asio::ip::make_address(description.address.address, failed), description.address.port);
    if (!failed) {
        acceptor.open(local.protocol(), failed);
    }
    if (!failed) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
        acceptor.bind(local, failed);
    }
    if (!failed) {
        acceptor.listen(asio::socket_base::max_listen_connections, failed);
    }
    if (failed) {
        return failure(error_code::Unreachable, error_step::Listen, describe(description.address), failed.message());
    }
    asio::co_spawn(context, acceptLoop(shared_from_this()), asio::detached);
    return success();
}

void target_server::state::closeConnections()
{
    ++generation;
    boost::system::error_code ignored;
    acceptor.close(ignored);
    for (const auto &connection : connections) {
        // Connections of a crashed process are reset instead of shut down.
        connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        connection->socket.close(ignored);
    }
    connections.clear();
    for (const auto &[id, waiting] : jobs) {
        waiting->wake.cancel();
    }
    jobs.clear();
}

void target_server::state::crashIfPoisoned(std::string_view request, std::uint64_t admittedGeneration)
{
    if (generation == admittedGeneration && request.find(behaviour.poisonWord) != std::string_view::npos) {
        model.countCrash();
        restart(behaviour.downTime);
    }
}

void target_server::state::restart(std::chrono::milliseconds downTime)
{
    closeConnections();
    const auto self = shared_from_this();
    restartTimer.expires_after(downTime);
    restartTimer.async_wait([self](boost::system::error_code interrupted) {
        if (interrupted || self->isStopped) {
            return;
        }
        self->model.restart(boot_clock::now());
        const result<void> listening = self->listen();
        if (!listening) {
            logError("standin", describe(listening.error()));
        }
    });
}

void target_server::state::wakeStarted()
{
    for (const started_work &work : model.takeStarted()) {
        const auto found = jobs.find(work.id);
        if (found == jobs.end()) {
            continue;
        }
        found->second->isStarted = true;
        found->second->duration = work.duration;
        found->second->wake.cancel();
    }
}

void target_server::state::cancel(const std::string &requestId)
{
    for (const auto &[id, waiting] : jobs) {
        if (waiting->requestId == requestId) {
            waiting->isCancelled = true;
            waiting->wake.cancel();
        }
    }
}

bool target_server::state::hasSnapshot(data_snapshot wanted) const
{
    return std::find(snapshots.begin(), snapshots.end(), wanted) != snapshots.end();
}

std::string target_server::state::statusBody() const
{
    json snapshotList = json::array();
    for (const data_snapshot &snapshot : snapshots) {
        snapshotList.push_back({{"layout_epoch", snapshot.layoutEpoch}, {"index_version", snapshot.indexVersion}});
    }
    return json{
        {"incarnation", model.incarnation()}, {"state", model.stateName(boot_clock::now())}, {"snapshots", snapshotList}, {"load", model.concurrentRequests()}}
        .dump();
}

asio::awaitable<void> target_server::state::acceptLoop(std::shared_ptr<state> self)
{
    const std::uint64_t initialGeneration = self->generation;
    while (true) {
        boost::system::error_code failed;
        tcp::socket socket = co_await self->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failed));
        if (self->generation != initialGeneration || self->isStopped) {
            co_return;
        }
        if (failed) {
            asio::steady_timer pause(self->context, std::chrono::milliseconds(20));
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, failed));
            continue;
        }
        if (!self->model.openConnection()) {
            continue;
        }
        const auto connection = std::make_shared<open_connection>(std::move(socket));
        self->connections.insert(connection);
        asio::co_spawn(self->context, serve(self, connection), asio::detached);
    }
}

asio::awaitable<void> target_server::state::discardInput(std::shared_ptr<open_connection> connection)
{
    boost::system::error_code failed;
    char discarded[1024];
    while (!failed) {
        co_await connection->socket.async_read_some(asio::buffer(discarded), asio::redirect_error(asio::use_awaitable, failed));
    }
}

asio::awaitable<void> target_server::state::serve(std::shared_ptr<state> self, std::shared_ptr<open_connection> connection)
{
    const std::uint64_t initialGeneration = self->generation;
    boost::system::error_code failed;
    connection->socket.set_option(tcp::no_delay(true), failed);
    beast::flat_buffer buffer;
    while (!failed) {
        request_message request;
        co_await beast::http::async_read(connection->socket, buffer, request, asio::redirect_error(asio::use_awaitable, failed));
        if (failed) {
            break;
        }
        if (connection->isSilent || self->isSilent) {
            co_await discardInput(connection);
            break;
        }
        if (!std::exchange(connection->hasResponded, true) && self->behaviour.connectionSetup.count() > 0) {
            asio::steady_timer connectionSetup(self->context, self->behaviour.connectionSetup);
            co_await connectionSetup.async_wait(asio::redirect_error(asio::use_awaitable, failed));
        }
        if (self->generation != initialGeneration) {
            break;
        }
        const bool keepAlive = request.keep_alive();
        target_response content = co_await respond(self, std::move(request));
        if (connection->isSilent || self->isSilent) {
            co_await discardInput(connection);
            break;
        }
        response_message response(static_cast<beast::http::status>(content.status), 11);
        response.set(beast::http::field::content_type, "application/json");
        response.body() = std::move(content.body);
        response.keep_alive(keepAlive);
        response.prepare_payload();
        co_await beast::http::async_write(connection->socket, response, asio::redirect_error(asio::use_awaitable, failed));
        if (!keepAlive) {
            break;
        }
    }
    connection->socket.close(failed);
    if (self->generation == initialGeneration) {
        self->connections.erase(connection);
        self->model.closeConnection();
    }
}

asio::awaitable<target_response> target_server::state::respond(std::shared_ptr<state> self, request_message request)
{
    const std::string path(request.target());
    const std::string method(request.method_string());
    try {
        if (method == "POST" && path == "/search") {
            co_return co_await search(self, std::move(request));
        }
        if (method == "POST" && path == "/execute") {
            co_return co_await execute(self, std::move(request));
        }
        if (method == "POST" && path == "/cancel") {
            self->cancel(json::parse(request.body()).at("request_id").get<std::string>());
            co_return target_response{202, "{}"};
        }
    } catch (const json::exception &malformed) {
        co_return target_response{400, json{{"error", malformed.what()}, {"started", false}}.dump()};
    }
    if (method == "GET" && path == "/status") {
        co_return target_response{200, self->statusBody()};
    }
    co_return target_response{404, "{\"error\":\"not found\"}"};
}

std::optional<target_response> target_server::state::admit(const request_message &request, std::uint64_t &id)
{
    id = nextJob++;
    const target_admission admission = model.admit(id, boot_clock::now());
    if (admission != target_admission::Accepted) {
        return notStartedResponse(503, admission == target_admission::Draining ? "draining" : "shedding");
    }
    lastNewWork = unixTime();
    const auto waiting = std::make_shared<job>(context);
    waiting->requestId = std::string(request["x-request-id"]);
    jobs[id] = waiting;
    wakeStarted();
    return std::nullopt;
}

void target_server::state::release(std::uint64_t id, std::uint64_t admittedGeneration)
{
    if (generation != admittedGeneration) {
        return;
    }
    jobs.erase(id);
    model.remove(id, boot_clock::now());
    wakeStarted();
}

asio::awaitable<std::optional<target_response>>
target_server::state::waitForSlot(std::shared_ptr<state> self, std::uint64_t id, boot_clock::time_point deadline)
{
    const std::shared_ptr<job> waiting = self->jobs.at(id);
    boost::system::error_code interrupted;
    if (!waiting->isStarted) {
        waiting->wake.expires_after(deadline - boot_clock::now());
        co_await waiting->wake.async_wait(asio::redirect_error(asio::use_awaitable, interrupted));
    }
    if (waiting->isStarted && !waiting->isCancelled) {
        co_return std::nullopt;
    }
    co_return notStartedResponse(503, waiting->isCancelled ? "cancelled" : "deadline");
}

asio::awaitable<std::optional<target_response>>
target_server::state::work(std::shared_ptr<state> self, std::uint64_t id, boot_clock::time_point deadline, bool isInterruptible)
{
    const std::shared_ptr<job> running = self->jobs.at(id);
    const boot_clock::time_point end = boot_clock::now() + running->duration;
    const boot_clock::time_point stopTime = isInterruptible ? std::min(end, deadline) : end;
    const std::uint64_t initialGeneration = self->generation;
    while (self->generation == initialGeneration && boot_clock::now() < stopTime) {
        if (isInterruptible && running->isCancelled) {
            co_return abortedResponse(503, "cancelled");
        }
        boost::system::error_code interrupted;
        running->wake.expires_after(stopTime - boot_clock::now());
        co_await running->wake.async_wait(asio::redirect_error(asio::use_awaitable, interrupted));
    }
    if (self->generation != initialGeneration) {
        co_return abortedResponse(503, "restarted");
    }
    if (end > stopTime) {
        co_return abortedResponse(504, "deadline");
    }
    co_return std::nullopt;
}

asio::awaitable<target_response> target_server::state::search(std::shared_ptr<state> self, request_message request)
{
    const json body = json::parse(request.body());
    const std::string shard = body.at("shard").get<std::string>();
    const data_snapshot wanted{body.at("layout_epoch").get<std::uint64_t>(), body.at("index_version").get<std::uint64_t>()};
    const std::string text = body.at("text").get<std::string>();
    const std::size_t limit = body.at("limit").get<std::size_t>();
    if (std::find(self->description.shards.begin(), self->description.shards.end(), shard) == self->description.shards.end()) {
        co_return notStartedResponse(404, "shard_missing");
    }
    if (!self->hasSnapshot(wanted)) {
        co_return notStartedResponse(409, "snapshot_missing");
    }
    const std::uint64_t initialGeneration = self->generation;
    const boot_clock::time_point deadline = boot_clock::now() + deadlineOf(request);
    std::uint64_t id = 0;
    std::optional<target_response> rejection = self->admit(request, id);
    if (rejection) {
        co_return *rejection;
    }
    self->model.countSearch();
    std::optional<target_response> earlyResponse = co_await waitForSlot(self, id, deadline);
    if (!earlyResponse) {
        earlyResponse = co_await work(self, id, deadline, true);
        self->crashIfPoisoned(text, initialGeneration);
    }
    self->release(id, initialGeneration);
    if (earlyResponse) {
        co_return *earlyResponse;
    }
    const std::string hits = hitsJson(self->data.documents.search(shard, wanted, text, limit));
    co_return target_response{200,
                              "{\"shard\":" + json(shard).dump() + ",\"layout_epoch\":" + std::to_string(wanted.layoutEpoch) + ",\"index_version\":"
                                  + std::to_string(wanted.indexVersion) + ",\"hits\":" + hits + ",\"incarnation\":\"" + self->model.incarnation() + "\"}"};
}

asio::awaitable<target_response> target_server::state::execute(std::shared_ptr<state> self, request_message request)
{
    const json body = json::parse(request.body());
    const std::string key = body.at("key").get<std::string>();
    const std::string payload = body.contains("payload") ? body.at("payload").dump() : std::string("null");
    const std::uint64_t initialGeneration = self->generation;
    const boot_clock::time_point deadline = boot_clock::now() + deadlineOf(request);
    std::uint64_t id = 0;
    std::optional<target_response> rejection = self->admit(request, id);
    if (rejection) {
        co_return *rejection;
    }
    std::optional<target_response> earlyResponse = co_await waitForSlot(self, id, deadline);
    if (!earlyResponse) {
        // A command counts as executed once it has started, also when a cancellation or a crash follows.
        self->data.ledger.record(self->description.service, key);
        self->model.countExecution();
        earlyResponse = co_await work(self, id, deadline, false);
        self->crashIfPoisoned(payload, initialGeneration);
    }
    self->release(id, initialGeneration);
    if (earlyResponse) {
        co_return *earlyResponse;
    }
    co_return target_response{200, json{{"result", {{"key", key}, {"target", self->description.name}}}, {"incarnation", self->model.incarnation()}}.dump()};
}

target_server::target_server(asio::io_context &context, site_target description, service_behaviour behaviour, service_data &data, data_snapshot first)
    : m_state(std::make_shared<state>(context, std::move(description), std::move(behaviour), data, first))
{
}

target_server::~target_server()
{
    stop();
}

result<void> target_server::start()
{
    m_state->model.restart(boot_clock::now());
    return m_state->listen();
}

void target_server::restart(std::chrono::milliseconds downTime)
{
    m_state->restart(downTime);
}

void target_server::silenceOpenConnections()
{
    for (const auto &connection : m_state->connections) {
        connection->isSilent = true;
    }
}

void target_server::setSilent(bool isSilent)
{
    m_state->isSilent = isSilent;
}

void target_server::addSnapshot(data_snapshot next)
{
    if (m_state->hasSnapshot(next)) {
        return;
    }
    m_state->snapshots.push_back(next);
    while (m_state->snapshots.size() > MaxSnapshots) {
        m_state->snapshots.pop_front();
    }
}

target_model &target_server::model()
{
    return m_state->model;
}

const target_model &target_server::model() const
{
    return m_state->model;
}

std::chrono::milliseconds target_server::lastNewWork() const
{
    return m_state->lastNewWork;
}

const site_target &target_server::description() const
{
    return m_state->description;
}

void target_server::stop()
{
    m_state->isStopped = true;
    m_state->restartTimer.cancel();
    m_state->closeConnections();
}

} // namespace balsamhook
