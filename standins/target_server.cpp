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

constexpr std::size_t HeldSnapshots = 2;
constexpr std::chrono::milliseconds DefaultDeadline{10000};

struct open_connection
{
    explicit open_connection(tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }

    tcp::socket socket;
    bool silent = false;
    bool answered = false;
};

/// A request in the target; its coroutine waits on the timer and is woken when the work gets a slot or is cancelled.
struct job
{
    explicit job(asio::io_context &context)
        : wake(context)
    {
    }

    asio::steady_timer wake;
    std::string requestId;
    bool cancelled = false;
    bool started = false;
    std::chrono::microseconds duration{0};
};

struct answer
{
    unsigned status = 200;
    std::string body;
};

answer notStarted(unsigned status, std::string_view reason)
{
    return {status, "{\"error\":\"" + std::string(reason) + "\",\"started\":false}"};
}

answer brokenOff(unsigned status, std::string_view reason)
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
        , returnTimer(ioContext)
        , shape(std::move(target))
        , behaviour(std::move(values))
        , data(shared)
        , model(shape, behaviour, stableHash(shape.name, behaviour.data.seed))
        , snapshots{first}
    {
    }

    asio::io_context &context;
    tcp::acceptor acceptor;
    asio::steady_timer returnTimer;
    site_target shape;
    service_behaviour behaviour;
    service_data &data;
    target_model model;
    std::deque<data_snapshot> snapshots;
    std::set<std::shared_ptr<open_connection>> connections;
    std::map<std::uint64_t, std::shared_ptr<job>> jobs;
    std::uint64_t nextJob = 1;
    std::uint64_t generation = 0; ///< Increases with each incarnation; coroutines of an older one don't touch the model.
    bool silent = false;
    bool stopped = false;
    std::chrono::milliseconds lastNewWork{0};

    result<void> listen();
    void closeAll();
    void restart(std::chrono::milliseconds downTime);

    /// Crashes the target on a poisoned request, unless it has restarted since the request was admitted.
    void crashIfPoisoned(std::string_view request, std::uint64_t admittedGeneration);
    void wakeStarted();
    void cancel(const std::string &requestId);
    bool holds(data_snapshot wanted) const;
    std::string statusBody() const;

    static asio::awaitable<void> acceptLoop(std::shared_ptr<state> self);
    static asio::awaitable<void> serve(std::shared_ptr<state> self, std::shared_ptr<open_connection> connection);
    static asio::awaitable<void> holdSilently(std::shared_ptr<open_connection> connection);
    static asio::awaitable<answer> respond(std::shared_ptr<state> self, request_message request);
    static asio::awaitable<answer> search(std::shared_ptr<state> self, request_message request);
    static asio::awaitable<answer> execute(std::shared_ptr<state> self, request_message request);
    static asio::awaitable<std::optional<answer>> waitForSlot(std::shared_ptr<state> self, std::uint64_t id, boot_clock::time_point deadline);
    static asio::awaitable<std::optional<answer>> work(std::shared_ptr<state> self, std::uint64_t id, boot_clock::time_point deadline, bool mayStop);
    std::optional<answer> admit(const request_message &request, std::uint64_t &id);
    void release(std::uint64_t id, std::uint64_t ofGeneration);
};

result<void> target_server::state::listen()
{
    boost::system::error_code failed;
    const tcp::endpoint local(asio::ip::make_address(shape.address.address, failed), shape.address.port);
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
        return failure(error_code::Unreachable, error_step::Listen, describe(shape.address), failed.message());
    }
    asio::co_spawn(context, acceptLoop(shared_from_this()), asio::detached);
    return success();
}

void target_server::state::closeAll()
{
    ++generation;
    boost::system::error_code ignored;
    acceptor.close(ignored);
    for (const auto &connection : connections) {
        // A crashed process's connections are reset, not closed in order.
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
    closeAll();
    const auto self = shared_from_this();
    returnTimer.expires_after(downTime);
    returnTimer.async_wait([self](boost::system::error_code interrupted) {
        if (interrupted || self->stopped) {
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
        found->second->started = true;
        found->second->duration = work.duration;
        found->second->wake.cancel();
    }
}

void target_server::state::cancel(const std::string &requestId)
{
    for (const auto &[id, waiting] : jobs) {
        if (waiting->requestId == requestId) {
            waiting->cancelled = true;
            waiting->wake.cancel();
        }
    }
}

bool target_server::state::holds(data_snapshot wanted) const
{
    return std::find(snapshots.begin(), snapshots.end(), wanted) != snapshots.end();
}

std::string target_server::state::statusBody() const
{
    json held = json::array();
    for (const data_snapshot &one : snapshots) {
        held.push_back({{"layout_epoch", one.layoutEpoch}, {"index_version", one.indexVersion}});
    }
    return json{{"incarnation", model.incarnation()}, {"state", model.stateName(boot_clock::now())}, {"snapshots", held}, {"load", model.concurrent()}}.dump();
}

asio::awaitable<void> target_server::state::acceptLoop(std::shared_ptr<state> self)
{
    const std::uint64_t ownGeneration = self->generation;
    while (true) {
        boost::system::error_code failed;
        tcp::socket socket = co_await self->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failed));
        if (self->generation != ownGeneration || self->stopped) {
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

asio::awaitable<void> target_server::state::holdSilently(std::shared_ptr<open_connection> connection)
{
    boost::system::error_code failed;
    char discarded[1024];
    while (!failed) {
        co_await connection->socket.async_read_some(asio::buffer(discarded), asio::redirect_error(asio::use_awaitable, failed));
    }
}

asio::awaitable<void> target_server::state::serve(std::shared_ptr<state> self, std::shared_ptr<open_connection> connection)
{
    const std::uint64_t ownGeneration = self->generation;
    boost::system::error_code failed;
    connection->socket.set_option(tcp::no_delay(true), failed);
    beast::flat_buffer buffer;
    while (!failed) {
        request_message request;
        co_await beast::http::async_read(connection->socket, buffer, request, asio::redirect_error(asio::use_awaitable, failed));
        if (failed) {
            break;
        }
        if (connection->silent || self->silent) {
            co_await holdSilently(connection);
            break;
        }
        if (!std::exchange(connection->answered, true) && self->behaviour.opening.count() > 0) {
            asio::steady_timer opening(self->context, self->behaviour.opening);
            co_await opening.async_wait(asio::redirect_error(asio::use_awaitable, failed));
        }
        if (self->generation != ownGeneration) {
            break;
        }
        const bool keepAlive = request.keep_alive();
        answer reply = co_await respond(self, std::move(request));
        if (connection->silent || self->silent) {
            co_await holdSilently(connection);
            break;
        }
        response_message response(static_cast<beast::http::status>(reply.status), 11);
        response.set(beast::http::field::content_type, "application/json");
        response.body() = std::move(reply.body);
        response.keep_alive(keepAlive);
        response.prepare_payload();
        co_await beast::http::async_write(connection->socket, response, asio::redirect_error(asio::use_awaitable, failed));
        if (!keepAlive) {
            break;
        }
    }
    connection->socket.close(failed);
    if (self->generation == ownGeneration) {
        self->connections.erase(connection);
        self->model.closeConnection();
    }
}

asio::awaitable<answer> target_server::state::respond(std::shared_ptr<state> self, request_message request)
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
            co_return answer{202, "{}"};
        }
    } catch (const json::exception &malformed) {
        co_return answer{400, json{{"error", malformed.what()}, {"started", false}}.dump()};
    }
    if (method == "GET" && path == "/status") {
        co_return answer{200, self->statusBody()};
    }
    co_return answer{404, "{\"error\":\"not found\"}"};
}

std::optional<answer> target_server::state::admit(const request_message &request, std::uint64_t &id)
{
    id = nextJob++;
    const target_admission decided = model.admit(id, boot_clock::now());
    if (decided != target_admission::Accepted) {
        return notStarted(503, decided == target_admission::Draining ? "draining" : "shedding");
    }
    lastNewWork = unixTime();
    const auto waiting = std::make_shared<job>(context);
    waiting->requestId = std::string(request["x-request-id"]);
    jobs[id] = waiting;
    wakeStarted();
    return std::nullopt;
}

void target_server::state::release(std::uint64_t id, std::uint64_t ofGeneration)
{
    if (generation != ofGeneration) {
        return;
    }
    jobs.erase(id);
    model.remove(id, boot_clock::now());
    wakeStarted();
}

asio::awaitable<std::optional<answer>> target_server::state::waitForSlot(std::shared_ptr<state> self, std::uint64_t id, boot_clock::time_point deadline)
{
    const std::shared_ptr<job> waiting = self->jobs.at(id);
    boost::system::error_code interrupted;
    if (!waiting->started) {
        waiting->wake.expires_after(deadline - boot_clock::now());
        co_await waiting->wake.async_wait(asio::redirect_error(asio::use_awaitable, interrupted));
    }
    if (waiting->started && !waiting->cancelled) {
        co_return std::nullopt;
    }
    co_return notStarted(503, waiting->cancelled ? "cancelled" : "deadline");
}

asio::awaitable<std::optional<answer>> target_server::state::work(std::shared_ptr<state> self, std::uint64_t id, boot_clock::time_point deadline, bool mayStop)
{
    const std::shared_ptr<job> running = self->jobs.at(id);
    const boot_clock::time_point end = boot_clock::now() + running->duration;
    const boot_clock::time_point until = mayStop ? std::min(end, deadline) : end;
    const std::uint64_t ownGeneration = self->generation;
    while (self->generation == ownGeneration && boot_clock::now() < until) {
        if (mayStop && running->cancelled) {
            co_return brokenOff(503, "cancelled");
        }
        boost::system::error_code interrupted;
        running->wake.expires_after(until - boot_clock::now());
        co_await running->wake.async_wait(asio::redirect_error(asio::use_awaitable, interrupted));
    }
    if (self->generation != ownGeneration) {
        co_return brokenOff(503, "restarted");
    }
    if (end > until) {
        co_return brokenOff(504, "deadline");
    }
    co_return std::nullopt;
}

asio::awaitable<answer> target_server::state::search(std::shared_ptr<state> self, request_message request)
{
    const json body = json::parse(request.body());
    const std::string shard = body.at("shard").get<std::string>();
    const data_snapshot wanted{body.at("layout_epoch").get<std::uint64_t>(), body.at("index_version").get<std::uint64_t>()};
    const std::string text = body.at("text").get<std::string>();
    const std::size_t limit = body.at("limit").get<std::size_t>();
    if (std::find(self->shape.shards.begin(), self->shape.shards.end(), shard) == self->shape.shards.end()) {
        co_return notStarted(404, "shard_missing");
    }
    if (!self->holds(wanted)) {
        co_return notStarted(409, "snapshot_missing");
    }
    const std::uint64_t ownGeneration = self->generation;
    const boot_clock::time_point deadline = boot_clock::now() + deadlineOf(request);
    std::uint64_t id = 0;
    std::optional<answer> refused = self->admit(request, id);
    if (refused) {
        co_return *refused;
    }
    self->model.countSearch();
    std::optional<answer> ended = co_await waitForSlot(self, id, deadline);
    if (!ended) {
        ended = co_await work(self, id, deadline, true);
        self->crashIfPoisoned(text, ownGeneration);
    }
    self->release(id, ownGeneration);
    if (ended) {
        co_return *ended;
    }
    const std::string hits = hitsJson(self->data.documents.search(shard, wanted, text, limit));
    co_return answer{200,
                     "{\"shard\":" + json(shard).dump() + ",\"layout_epoch\":" + std::to_string(wanted.layoutEpoch) + ",\"index_version\":"
                         + std::to_string(wanted.indexVersion) + ",\"hits\":" + hits + ",\"incarnation\":\"" + self->model.incarnation() + "\"}"};
}

asio::awaitable<answer> target_server::state::execute(std::shared_ptr<state> self, request_message request)
{
    const json body = json::parse(request.body());
    const std::string key = body.at("key").get<std::string>();
    const std::string payload = body.contains("payload") ? body.at("payload").dump() : std::string("null");
    const std::uint64_t ownGeneration = self->generation;
    const boot_clock::time_point deadline = boot_clock::now() + deadlineOf(request);
    std::uint64_t id = 0;
    std::optional<answer> refused = self->admit(request, id);
    if (refused) {
        co_return *refused;
    }
    std::optional<answer> ended = co_await waitForSlot(self, id, deadline);
    if (!ended) {
        // A command counts as run from its start: neither a cancellation nor a crash takes it back.
        self->data.ledger.record(self->shape.service, key);
        self->model.countExecution();
        ended = co_await work(self, id, deadline, false);
        self->crashIfPoisoned(payload, ownGeneration);
    }
    self->release(id, ownGeneration);
    if (ended) {
        co_return *ended;
    }
    co_return answer{200, json{{"result", {{"key", key}, {"target", self->shape.name}}}, {"incarnation", self->model.incarnation()}}.dump()};
}

target_server::target_server(asio::io_context &context, site_target shape, service_behaviour behaviour, service_data &data, data_snapshot first)
    : m_state(std::make_shared<state>(context, std::move(shape), std::move(behaviour), data, first))
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
        connection->silent = true;
    }
}

void target_server::setSilent(bool silent)
{
    m_state->silent = silent;
}

void target_server::addSnapshot(data_snapshot next)
{
    if (m_state->holds(next)) {
        return;
    }
    m_state->snapshots.push_back(next);
    while (m_state->snapshots.size() > HeldSnapshots) {
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

const site_target &target_server::shape() const
{
    return m_state->shape;
}

void target_server::stop()
{
    m_state->stopped = true;
    m_state->returnTimer.cancel();
    m_state->closeAll();
}

} // namespace balsamhook
