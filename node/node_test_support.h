#pragma once

#include "node/node.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace balsamhook
{

/// A target on the loopback address that responds with a handler of the test and records the requests that it received.
class fake_target
{
public:
    using pointer = caller_connection::pointer;
    using handler = std::function<void(const pointer &, const http_message &)>;

    fake_target(boost::asio::io_context &context, timer_queue &timers, std::string id, handler requestHandler)
        : m_timers(timers)
        , m_acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_id(std::move(id))
        , m_handler(std::move(requestHandler))
        , m_port(m_acceptor.local_endpoint().port())
    {
        accept();
    }

    ~fake_target()
    {
        crash();
    }

    /// Ends all connections and accepts no further ones.
    void crash()
    {
        m_acceptor.close();
        const std::set<pointer> open = m_open;
        for (const pointer &connection : open) {
            connection->close();
        }
    }

    registered_target registration(const std::string &service) const
    {
        registered_target target;
        target.id = m_id;
        target.service = service;
        target.address = {"127.0.0.1", m_port};
        target.dataCentre = "dc1";
        target.slots = 2;
        return target;
    }

    std::vector<http_message> received;
    int disconnects = 0; ///< Requests whose connection was closed before a response.

private:
    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &failed, boost::asio::ip::tcp::socket socket) {
            if (failed) {
                return;
            }
            caller_connection::handlers handlers;
            handlers.onRequest = [this](const pointer &connection, http_message message) {
                received.push_back(message);
                m_handler(connection, message);
            };
            handlers.onDisconnected = [this](const pointer &) { ++disconnects; };
            handlers.onClosed = [this](const pointer &connection) { m_open.erase(connection); };
            handlers.onRejected = [](unsigned) {};
            auto connection = std::make_shared<caller_connection>(std::move(socket), m_timers, caller_connection::settings{}, std::move(handlers));
            m_open.insert(connection);
            connection->start();
            accept();
        });
    }

    timer_queue &m_timers;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_id;
    handler m_handler;
    std::uint16_t m_port;
    std::set<pointer> m_open;
};

/// Responds like a target that ran the request.
inline void respondSigned(const fake_target::pointer &connection, const http_message &message, const std::string &signature, std::string body)
{
    caller_response response;
    response.fields.push_back({"Request-Id", *message.find("Request-Id")});
    response.fields.push_back({"Server-Stamp", signature});
    response.body = std::move(body);
    connection->respond(response, false);
}

/// Responds like a target that did not run the request.
inline void respondNotRun(const fake_target::pointer &connection, unsigned status)
{
    caller_response response;
    response.status = status;
    response.fields.push_back({"Not-Executed", "1"});
    connection->respond(response, false);
}

/// Event loop, context and target pool of one instance, with settings for tests.
struct node_fixture
{
    node_fixture()
        : timers(io)
        , log(logFile(), "test")
        , context{io, timers, log, metrics, settings, retry_budget({1.0, 100, std::chrono::seconds(10)}, std::chrono::steady_clock::now())}
        , pool(context)
    {
        settings.instance = "i1";
        settings.dataCentre = "dc1";
    }

    /// Returns a descriptor of /dev/null; defined in request_test.cpp.
    static int logFile();

    void add(const registered_target &target)
    {
        target_catalogue::record record;
        record.target = target;
        pool.update(record, false);
    }

    /// Runs the event loop until the condition holds or the limit has passed; returns whether it holds.
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit = std::chrono::seconds(10))
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        io.restart();
        while (!condition() && std::chrono::steady_clock::now() < end) {
            io.run_one_for(std::chrono::milliseconds(5));
        }
        return condition();
    }

    void runFor(std::chrono::milliseconds time)
    {
        runUntil([] { return false; }, time);
    }

    boost::asio::io_context io;
    timer_queue timers;
    counters metrics;
    event_log log;
    platform_settings settings;
    node_context context;
    target_pool pool;
};

} // namespace balsamhook
