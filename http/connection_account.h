#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace balsamhook
{

/// What ran short when a connection is closed for the sake of others.
enum class shortage : std::uint8_t {
    Memory,
    Connections,
};

std::string_view nameOf(shortage kind);

/// Account of all connections that clients have opened to this process, on all its ports, and of the bytes that they hold: received, worked on and to be sent.
/// When one of the two runs short, connections are evicted in the order of what they hold times how long they have held it, so that a client that gets on finds
/// room. A connection with a request in flight is not evicted. Decides without a network; not thread-safe.
class connection_account
{
public:
    using clock = std::chrono::steady_clock;

    struct limits
    {
        std::size_t bytes = 64 * 1024 * 1024; ///< Of all connections together.
        std::size_t connections = 1024;
    };

    /// Receive buffer of a connection's socket, in the bytes asked of the kernel, which takes up to twice as much.
    static constexpr int ReceiveBufferBytes = 8 * 1024;
    /// What a connection counts at least, in bytes: its object and what its socket may have received.
    static constexpr std::size_t ConnectionBytes = 24 * 1024;

    /// Below this size, requests and responses count by their age only when memory is short.
    static constexpr std::size_t SmallBytes = 8 * 1024;

    class entry;
    using entry_pointer = std::unique_ptr<entry>;

    /// now returns the present time.
    explicit connection_account(limits allowed, std::function<clock::time_point()> now = clock::now);

    /// Changes the limits. They apply from the next connection or growth on.
    void setLimits(const limits &allowed);

    /// Sets the handler that is called for each eviction, with the bytes that the connection held.
    void onEvicted(std::function<void(shortage kind, std::size_t bytes)> handler);

    /// Returns the entry of a new connection, or nullptr if there is no room and no connection can be evicted. The entry may outlive the account.
    entry_pointer admit() const;

    std::size_t bytes() const;
    std::size_t connections() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

/// One connection in the account, until the object is destroyed or evicted. Not thread-safe.
class connection_account::entry
{
public:
    /// Precondition: called by connection_account::admit().
    explicit entry(std::shared_ptr<state> account);
    ~entry();
    entry(const entry &) = delete;
    entry &operator=(const entry &) = delete;

    /// Sets the handler of the eviction, called once at most, from within a call for another connection. The connection has to be closed soon, from the event
    /// loop: its bytes are no longer counted.
    void onEvicted(std::function<void()> handler);

    /// Sets the number of bytes that the connection holds, ConnectionBytes included, and evicts others if all hold too much. Returns false if no room could be
    /// made, or not without closing this connection; it then should give up what it holds, which is counted nevertheless.
    bool resize(std::size_t bytes);

    /// Counts bytes that may outlive the connection, as those of a request that is passed on, until the returned object and its copies are destroyed. They
    /// can't be evicted, so all of them together take half of the limit at most, but for those of small requests. Returns nullptr if there is no room, or the
    /// connection was evicted: a request that arrives before it is closed may not be passed on.
    std::shared_ptr<void> hold(std::size_t bytes) const;

    /// The connection begins to receive, to send or to be idle at this time. Bytes that trickle in or out later make it no younger.
    void onBegin(clock::time_point now);

    /// A request is in flight or its response is about to be sent: the connection isn't evicted.
    void setBusy(bool isBusy);

private:
    friend class connection_account;

    std::shared_ptr<state> m_state;
    std::function<void()> m_evicted;
    std::size_t m_bytes = ConnectionBytes;
    clock::time_point m_since;
    bool m_isBusy = false;
    bool m_isListed = true; ///< Counted; false after the eviction.
};

} // namespace balsamhook
