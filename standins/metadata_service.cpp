#include "standins/metadata_service.h"

#include "http/socket_options.h"

#include <algorithm>

namespace balsamhook
{

namespace asio = boost::asio;
using nlohmann::json;

namespace
{

constexpr std::size_t MaxHistoryLength = 5000;

struct object_uri
{
    std::string kind;
    std::string name;
    std::map<std::string, std::string> query;
};

std::optional<object_uri> parseObjectUri(const std::string &uri)
{
    const std::size_t queryStart = uri.find('?');
    const std::vector<std::string> path = splitPath(uri.substr(0, queryStart));
    if (path.size() < 3 || path[0] != "v1" || path[1] != "objects") {
        return std::nullopt;
    }
    object_uri parsed;
    parsed.kind = path[2];
    parsed.name = path.size() > 3 ? percentDecode(path[3]) : "";
    std::string remainingQuery = queryStart == std::string::npos ? "" : uri.substr(queryStart + 1);
    while (!remainingQuery.empty()) {
        const std::string pair = remainingQuery.substr(0, remainingQuery.find('&'));
        remainingQuery.erase(0, std::min(remainingQuery.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos) {
            parsed.query[percentDecode(pair.substr(0, equals))] = percentDecode(pair.substr(equals + 1));
        }
    }
    return parsed;
}

std::uint64_t numericParameter(const std::map<std::string, std::string> &query, const std::string &name)
{
    const auto found = query.find(name);
    return found == query.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

} // namespace

metadata_service::metadata_service(asio::io_context &context, timer_queue &timers)
    : m_timers(timers)
    , m_acceptor(context)
{
}

metadata_service::~metadata_service()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    dropConnections();
}

void metadata_service::dropConnections()
{
    for (const auto &[id, watch] : std::exchange(m_watches, {})) {
        m_timers.stop(watch.timer);
    }
    const std::set<pointer> open = std::exchange(m_connections, {});
    for (const pointer &connection : open) {
        connection->close();
    }
}

result<void> metadata_service::listen(const endpoint &local)
{
    BOOST_OUTCOME_TRY(listenOn(m_acceptor, local));
    accept();
    return success();
}

endpoint metadata_service::address() const
{
    const auto local = m_acceptor.local_endpoint();
    return {local.address().to_string(), local.port()};
}

void metadata_service::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &failed, asio::ip::tcp::socket socket) {
        if (failed) {
            return;
        }
        caller_connection::handlers handlers;
        handlers.onRequest = [this](const pointer &connection, const http_message &message) { onRequest(connection, message); };
        handlers.onDisconnected
            = [this](const pointer &connection) { std::erase_if(m_watches, [&](const auto &entry) { return entry.second.connection == connection; }); };
        handlers.onClosed = [this](const pointer &connection) { m_connections.erase(connection); };
        handlers.onRejected = [](unsigned) {};
        const auto connection = std::make_shared<caller_connection>(std::move(socket), m_timers, caller_connection::settings{}, std::move(handlers));
        m_connections.insert(connection);
        connection->start();
        accept();
    });
}

void metadata_service::onRequest(const pointer &connection, const http_message &message)
{
    ++m_calls;
    if (m_condition == store_condition::Silent) {
        return;
    }
    if (m_condition == store_condition::Refusing) {
        respond(connection, 503, json::object());
        return;
    }
    if (m_delay.count() == 0) {
        execute(connection, message);
        return;
    }
    m_timers.start(clock::now() + m_delay, [this, connection, message] { execute(connection, message); });
}

void metadata_service::execute(const pointer &connection, const http_message &message)
{
    const auto parsed = parseObjectUri(message.target);
    if (!parsed) {
        respond(connection, 404, json::object());
        return;
    }
    if (message.method == "GET") {
        read(connection, parsed->kind, parsed->name, parsed->query);
        return;
    }
    write(connection, message.method, parsed->kind, parsed->name, message.body);
}

void metadata_service::read(const pointer &connection, const std::string &kind, const std::string &name, const std::map<std::string, std::string> &query)
{
    if (query.count("Watch") > 0) {
        watch(connection, kind, numericParameter(query, "Watch"), std::chrono::milliseconds(numericParameter(query, "WaitMs")));
        return;
    }
    if (name.empty()) {
        const auto after = query.find("after");
        list(connection, kind, after == query.end() ? "" : after->second);
        return;
    }
    const auto found = m_content.objects[kind].find(name);
    if (found == m_content.objects[kind].end()) {
        respond(connection, 404, json::object());
        return;
    }
    respond(connection, 200, describeObject(name, found->second));
}

void metadata_service::list(const pointer &connection, const std::string &kind, const std::string &after)
{
    json body{{"items", json::array()}, {"HasMore", false}, {"CurrentRev", m_content.revision}};
    const auto &objects = m_content.objects[kind];
    for (auto it = objects.upper_bound(after); it != objects.end(); ++it) {
        if (body["items"].size() == PageSize) {
            body["HasMore"] = true;
            break;
        }
        body["items"].push_back(describeObject(it->first, it->second));
    }
    respond(connection, 200, body);
}

json metadata_service::eventsSince(const std::string &kind, std::uint64_t since) const
{
    json events = json::array();
    for (const history_entry &entry : m_content.history) {
        if (entry.revision > since && entry.kind == kind) {
            events.push_back(entry.event);
        }
    }
    return events;
}

void metadata_service::watch(const pointer &connection, const std::string &kind, std::uint64_t since, std::chrono::milliseconds wait)
{
    if (since < m_content.oldestRevision || since > m_content.revision) {
        respond(connection, 410, json::object());
        return;
    }
    const json events = eventsSince(kind, since);
    if (!events.empty()) {
        respond(connection, 200, json{{"events", events}, {"CurrentRev", m_content.revision}});
        return;
    }
    const std::uint64_t id = m_nextWatch++;
    const auto timer = m_timers.start(clock::now() + wait, [this, id] {
        const auto found = m_watches.find(id);
        if (found == m_watches.end()) {
            return;
        }
        const pointer waiting = found->second.connection;
        m_watches.erase(found);
        respond(waiting, 200, json{{"events", json::array()}, {"CurrentRev", m_content.revision}});
    });
    m_watches.emplace(id, pending_watch{connection, kind, since, timer});
}

void metadata_service::write(const pointer &connection, const std::string &method, const std::string &kind, const std::string &name, const std::string &body)
{
    auto &objects = m_content.objects[kind];
    if (method == "DELETE") {
        const bool exists = objects.count(name) > 0;
        erase(kind, name);
        respond(connection, exists ? 200 : 404, json::object());
        return;
    }
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("meta") || !parsed.contains("spec")) {
        respond(connection, 400, json::object());
        return;
    }
    const std::string objectName = parsed["meta"].value("Name", name);
    const auto found = objects.find(objectName);
    if (method == "POST" && found != objects.end()) {
        respond(connection, 409, describeObject(objectName, found->second));
        return;
    }
    if (method == "PUT" && found == objects.end()) {
        respond(connection, 404, json::object());
        return;
    }
    const std::uint64_t expected = parsed["meta"].value("Revision", std::uint64_t{0});
    if (method == "PUT" && expected != 0 && expected != found->second.revision) {
        respond(connection, 409, describeObject(objectName, found->second));
        return;
    }
    put(kind, objectName, parsed["spec"]);
    respond(connection, 200, describeObject(objectName, objects[objectName]));
}

json metadata_service::describeObject(const std::string &name, const stored_object &object) const
{
    return json{{"meta", {{"Name", name}, {"Revision", object.revision}, {"Created", object.created}, {"Finalizers", json::array()}, {"Deleting", false}}},
                {"spec", object.spec},
                {"status", nullptr}};
}

std::uint64_t metadata_service::put(const std::string &kind, const std::string &name, json spec)
{
    stored_object &object = m_content.objects[kind][name];
    if (object.revision > 0 && object.spec == spec) {
        return object.revision;
    }
    object.revision = ++m_content.revision;
    object.created = object.created == 0 ? object.revision : object.created;
    object.spec = std::move(spec);
    record(kind, name, object, false);
    return object.revision;
}

void metadata_service::erase(const std::string &kind, const std::string &name)
{
    auto &objects = m_content.objects[kind];
    const auto found = objects.find(name);
    if (found == objects.end()) {
        return;
    }
    stored_object removed = std::move(found->second);
    objects.erase(found);
    removed.revision = ++m_content.revision;
    record(kind, name, removed, true);
}

void metadata_service::record(const std::string &kind, const std::string &name, const stored_object &object, bool isDeleted)
{
    m_content.history.push_back({m_content.revision, kind, json{{"Deleted", isDeleted}, {"Object", describeObject(name, object)}}});
    if (m_content.history.size() > MaxHistoryLength) {
        m_content.oldestRevision = m_content.history.front().revision;
        m_content.history.pop_front();
    }
    notifyWatches();
}

void metadata_service::notifyWatches()
{
    if (m_condition != store_condition::Up) {
        return;
    }
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        const json events = eventsSince(it->second.kind, it->second.since);
        if (events.empty()) {
            ++it;
            continue;
        }
        m_timers.stop(it->second.timer);
        const pointer waiting = it->second.connection;
        it = m_watches.erase(it);
        respond(waiting, 200, json{{"events", events}, {"CurrentRev", m_content.revision}});
    }
}

void metadata_service::respond(const pointer &connection, unsigned status, const json &body)
{
    if (m_condition == store_condition::LosingResponses) {
        connection->close();
        return;
    }
    if (!connection->isBusy()) {
        return;
    }
    caller_response response;
    response.status = status;
    response.fields.push_back({"Content-Type", "application/json"});
    if (m_namesEra) {
        response.fields.push_back({"Store-Era", std::to_string(m_era)});
    }
    response.body = body.dump();
    connection->respond(response, false);
}

void metadata_service::setCondition(store_condition condition)
{
    m_condition = condition;
    notifyWatches();
}

bool metadata_service::isUp() const
{
    return m_condition == store_condition::Up;
}

void metadata_service::setDelay(std::chrono::milliseconds delay)
{
    m_delay = delay;
}

void metadata_service::compactHistory()
{
    m_content.history.clear();
    m_content.oldestRevision = ++m_content.revision;
    const auto waiting = std::exchange(m_watches, {});
    for (const auto &[id, watch] : waiting) {
        m_timers.stop(watch.timer);
        respond(watch.connection, 410, json::object());
    }
}

void metadata_service::takeCopy()
{
    m_copy = m_content;
}

void metadata_service::returnToCopy(waiting_watches watches)
{
    m_content = m_copy;
    ++m_era;
    if (watches == waiting_watches::Cut) {
        dropConnections();
    }
}

void metadata_service::setNamesEra(bool namesEra)
{
    m_namesEra = namesEra;
}

std::uint64_t metadata_service::revision() const
{
    return m_content.revision;
}

bool metadata_service::holds(const std::string &kind, const std::string &name) const
{
    const auto objects = m_content.objects.find(kind);
    return objects != m_content.objects.end() && objects->second.count(name) == 1;
}

std::uint64_t metadata_service::calls() const
{
    return m_calls;
}

} // namespace balsamhook
