#include "node/target_link.h"

#include <algorithm>

namespace balsamhook
{

void addIdleConnection(const target_link_ptr &link, const std::shared_ptr<target_connection> &connection)
{
    connection->onIdleClose([link, raw = connection.get()] {
        const auto found = std::find_if(link->idle.begin(), link->idle.end(), [raw](const auto &idle) { return idle.get() == raw; });
        if (found != link->idle.end()) {
            link->idle.erase(found);
            --link->connections;
        }
    });
    link->idle.push_back(connection);
}

void closeIdleConnections(target_link &link)
{
    for (const auto &connection : link.idle) {
        connection->close();
        --link.connections;
    }
    link.idle.clear();
}

void openIdleConnection(node_context &context,
                        const target_link_ptr &link,
                        std::chrono::milliseconds timeout,
                        std::function<void(connect_outcome outcome)> done)
{
    ++link->connections;
    context.metrics.add("target_connections_opened_total");
    const auto connection = std::make_shared<target_connection>(context.io, link->target.address, ResponseLimits, &context.responses);
    const auto timer = std::make_shared<timer_queue::handle>(0);
    const auto finish = [link, connection, done = std::move(done)](connect_outcome outcome) {
        if (outcome == connect_outcome::Open && !link->isRemoved) {
            addIdleConnection(link, connection);
        } else {
            connection->close();
            --link->connections;
        }
        done(outcome);
    };
    *timer = context.timers.start(std::chrono::steady_clock::now() + timeout, [finish] { finish(connect_outcome::TimedOut); });
    connection->open([&context, timer, finish](bool isOpen) {
        context.timers.stop(*timer);
        finish(isOpen ? connect_outcome::Open : connect_outcome::Refused);
    });
}

} // namespace balsamhook
