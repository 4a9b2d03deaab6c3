#pragma once

#include "catalogue/catalogue.h"
#include "http/http.h"
#include "node/node_context.h"

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

namespace balsamhook
{

/// What this instance holds of one target: its registration, what it learned about it, and its connections.
struct target_link
{
    registered_target target;
    bool isLapsed = false;
    bool isRemoved = false; ///< Gets no requests any more.
    target_health health;
    cold_start_limiter coldBound;
    std::vector<std::shared_ptr<target_connection>> idle;
    unsigned connections = 0; ///< Open or being opened.
    std::chrono::steady_clock::time_point noNewConnectionsUntil{}; ///< While others are open.
    std::chrono::steady_clock::time_point learnedAt{}; ///< When the registration was read.
};

using target_link_ptr = std::shared_ptr<target_link>;

/// Bounds of a target's response.
constexpr message_reader::limits ResponseLimits{64 * 1024, 16 * 1024 * 1024};

/// Keeps a connection that carries no request for later requests to the target.
void keepIdle(const target_link_ptr &link, const std::shared_ptr<target_connection> &connection);

/// Opens a connection to a target and keeps it for later requests. The handler is called once.
void openKeptConnection(node_context &context, const target_link_ptr &link, std::chrono::milliseconds timeout, std::function<void(bool isOpen)> done);

} // namespace balsamhook
