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

/// How the stand-in store handles requests.
enum class store_condition : std::uint8_t {
    Up,
    Refusing, ///< Responds with status 503 without executing the request.
    Silent, ///< Accepts requests, executes none and never responds.
    LosingResponses, ///< Executes requests and closes the connection without a response.
};

/// What happens to watches that wait while the store returns from a copy.
enum class waiting_watches : std::uint8_t {
    Cut, ///< Their connections are closed, like all others.
    Kept, ///< They wait on for a later revision than the one that they named.
};

/// Stand-in for the platform's metadata store, in memory: objects by kind and name with revisions, paged lists, watches, conditional writes, a history that
/// can be compacted, and a copy of everything from which it can return. Names its era in all responses. Not thread-safe.
class metadata_service
{
public:
    using clock = std::chrono::steady_clock;

    /// Precondition: context and timers outlive the service.
    metadata_service(boost::asio::io_context &context, timer_queue &timers);
    ~metadata_service();

    /// Starts listening. Port 0 selects a free port.
    result<void> listen(const endpoint &local);

    endpoint address() const;

    /// Writes an object like an unconditional write of the operator or a target. Returns its revision; an equal spec leaves the revision unchanged.
    std::uint64_t put(const std::string &kind, const std::string &name, nlohmann::json spec);

    /// Deletes an object like the operator or a target. Does nothing when it doesn't exist.
    void erase(const std::string &kind, const std::string &name);

    void setCondition(store_condition condition);

    /// Sets the delay between the receipt and the execution of each request.
    void setDelay(std::chrono::milliseconds delay);

    /// Drops the history: pending watches and later ones from earlier revisions get status 410.
    void compactHistory();

    /// Copies all objects with their revisions and the history.
    void takeCopy();

    /// Returns to the copy and begins a new era: what was written since is gone, and its revisions are given out again. Watches from a revision that the copy
    /// doesn't have get status 410. Precondition: takeCopy() was called.
    void returnToCopy(waiting_watches watches = waiting_watches::Cut);

    /// Sets whether responses name the era; they do until this is called.
    void setNamesEra(bool namesEra);

    std::uint64_t revision() const;

    /// Returns whether requests are executed and get responses.
    bool isUp() const;

    /// Closes all connections, which simulates a network failure.
    void dropConnections();

    bool holds(const std::string &kind, const std::string &name) const;

    /// Returns the number of requests received, rejected ones included.
    std::uint64_t calls() const;

    /// Maximum number of objects in one response to a list request.
    static constexpr std::size_t PageSize = 50;

private:
    using pointer = caller_connection::pointer;

    struct stored_object
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        nlohmann::json spec;
    };

    struct history_entry
    {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json event;
    };

    /// All that returnToCopy() sets back.
    struct content
    {
        std::map<std::string, std::map<std::string, stored_object>> objects;
        std::deque<history_entry> history;
        std::uint64_t revision = 1;
        std::uint64_t oldestRevision = 0;
    };

    struct pending_watch
    {
        pointer connection;
        std::string kind;
        std::uint64_t since = 0;
        timer_queue::handle timer = 0;
    };

    void accept();
    void onRequest(const pointer &connection, const http_message &message);
    void execute(const pointer &connection, const http_message &message);
    void read(const pointer &connection, const std::string &kind, const std::string &name, const std::map<std::string, std::string> &query);
    void list(const pointer &connection, const std::string &kind, const std::string &after);
    void watch(const pointer &connection, const std::string &kind, std::uint64_t since, std::chrono::milliseconds wait);
    void write(const pointer &connection, const std::string &method, const std::string &kind, const std::string &name, const std::string &body);
    nlohmann::json eventsSince(const std::string &kind, std::uint64_t since) const;
    nlohmann::json describeObject(const std::string &name, const stored_object &object) const;
    void record(const std::string &kind, const std::string &name, const stored_object &object, bool isDeleted);
    void notifyWatches();
    void respond(const pointer &connection, unsigned status, const nlohmann::json &body);

    timer_queue &m_timers;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<pointer> m_connections;
    content m_content;
    content m_copy;
    std::uint64_t m_era = 1;
    bool m_namesEra = true;
    std::map<std::uint64_t, pending_watch> m_watches;
    std::uint64_t m_nextWatch = 1;
    std::uint64_t m_calls = 0;
    store_condition m_condition = store_condition::Up;
    std::chrono::milliseconds m_delay{0};
};

} // namespace balsamhook
