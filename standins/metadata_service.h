#pragma once

#include "base/base.h"
#include "http/http.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

namespace balsamhook
{

/// How the stand-in store treats calls.
enum class store_condition : std::uint8_t {
    Up,
    Refusing, ///< Answers 503 and does nothing.
    Silent, ///< Takes calls and never answers; does nothing.
    LosingAnswers, ///< Carries calls out and closes the connection without an answer.
};

/// Stand-in of the platform's metadata store: objects by kind and name with revisions, lists in pages, watches, conditional writes, a history that can be
/// forgotten. All in memory. Not thread-safe.
class metadata_service
{
public:
    using clock = std::chrono::steady_clock;

    /// Precondition: context and timers outlive the service.
    metadata_service(boost::asio::io_context &context, timer_queue &timers);
    ~metadata_service();

    /// Listens; port 0 takes a free one.
    result<void> listen(const endpoint &local);

    endpoint address() const;

    /// Writes or deletes an object as the operator or a target does; returns the revision.
    std::uint64_t put(const std::string &kind, const std::string &name, nlohmann::json spec);
    void erase(const std::string &kind, const std::string &name);

    void setCondition(store_condition condition);
    void setDelay(std::chrono::milliseconds delay);

    /// From now on watches from earlier revisions are answered 410.
    void forgetHistory();

    /// True when calls are carried out and answered now.
    bool isUp() const;

    /// Closes all connections, as a cut of the network does.
    void dropConnections();

    bool holds(const std::string &kind, const std::string &name) const;

    /// Calls that arrived, refused ones included.
    std::uint64_t calls() const;

    /// Objects in one answer to a list.
    static constexpr std::size_t PageSize = 50;

private:
    using pointer = caller_connection::pointer;

    struct stored
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        nlohmann::json spec;
    };

    struct change
    {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json event;
    };

    struct waiting_watch
    {
        pointer connection;
        std::string kind;
        std::uint64_t since = 0;
        timer_queue::handle timer = 0;
    };

    void accept();
    void onRequest(const pointer &connection, const http_message &message);
    void carryOut(const pointer &connection, const http_message &message);
    void read(const pointer &connection, const std::string &kind, const std::string &name, const std::map<std::string, std::string> &query);
    void list(const pointer &connection, const std::string &kind, const std::string &after);
    void watch(const pointer &connection, const std::string &kind, std::uint64_t since, std::chrono::milliseconds wait);
    void write(const pointer &connection, const std::string &method, const std::string &kind, const std::string &name, const std::string &body);
    nlohmann::json eventsSince(const std::string &kind, std::uint64_t since) const;
    nlohmann::json describeObject(const std::string &name, const stored &object) const;
    void record(const std::string &kind, const std::string &name, const stored &object, bool isDeleted);
    void answerWatches();
    void respond(const pointer &connection, unsigned status, const nlohmann::json &body);

    timer_queue &m_timers;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<pointer> m_connections;
    std::map<std::string, std::map<std::string, stored>> m_objects;
    std::deque<change> m_history;
    std::uint64_t m_revision = 1;
    std::uint64_t m_oldestRevision = 0;
    std::map<std::uint64_t, waiting_watch> m_watches;
    std::uint64_t m_nextWatch = 1;
    std::uint64_t m_calls = 0;
    store_condition m_condition = store_condition::Up;
    std::chrono::milliseconds m_delay{0};
};

} // namespace balsamhook
