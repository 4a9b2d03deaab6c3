#pragma once

#include "catalogue/catalogue.h"
#include "http/http.h"
#include "node/node_context.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace balsamhook
{

/// State of one target on this instance: its registration, health and connections.
struct target_link
{
    registered_target target;
    bool isStale = false; ///< Its registration has disappeared; used as last choice for a grace period.
    bool isLivenessCheckPending = false;
    bool isRemoved = false; ///< Removed from the pool; its connections are closed after their exchange.
    target_health health;
    cold_start_limiter coldStartLimiter;
    std::vector<std::shared_ptr<target_connection>> idle;
    unsigned connections = 0; ///< Open or being opened.
    std::chrono::steady_clock::time_point connectBackoffUntil{}; ///< No further connection is opened until then while others are open.
    std::chrono::steady_clock::time_point registrationReadAt{}; ///< When the registration was read.
};

using target_link_ptr = std::shared_ptr<target_link>;

/// The process that the registration names.
inline target_notices::process processOf(const registered_target &target)
{
    return {target.id, target.startedAt};
}

/// Closes the connections that carry no request.
void closeIdleConnections(target_link &link);

/// Size limits of a target's response: header and body, in bytes.
constexpr message_reader::limits ResponseLimits{64 * 1024, 16 * 1024 * 1024};

/// Keeps an idle connection for later requests to the target.
void addIdleConnection(const target_link_ptr &link, const std::shared_ptr<target_connection> &connection);

enum class connect_outcome : std::uint8_t {
    Open,
    Refused, ///< Nobody listens at the target's address, or the address is unreachable.
    TimedOut,
};

/// Opens a connection to a target and keeps it for later requests. Calls the handler once from the event loop. Precondition: context outlives the call of
/// the handler.
void openIdleConnection(node_context &context,
                        const target_link_ptr &link,
                        std::chrono::milliseconds timeout,
                        std::function<void(connect_outcome outcome)> done);

} // namespace balsamhook
