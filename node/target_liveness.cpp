#include "node/target_liveness.h"

namespace balsamhook
{

namespace
{

/// By then the other connections of a target that crashed have ended too.
constexpr std::chrono::milliseconds CheckDelay{50};
constexpr std::chrono::milliseconds ConnectTimeout{500};

void report(node_context &context, const target_link &link, connect_outcome outcome)
{
    switch (outcome) {
    case connect_outcome::Open:
        context.crashes.onTargetAlive(link.target.id);
        break;
    case connect_outcome::Refused:
        context.crashes.onTargetDown(link.target.id, boot_clock::now());
        break;
    case connect_outcome::TimedOut:
        break;
    }
}

} // namespace

void checkLiveness(node_context &context, const target_link_ptr &link)
{
    if (link->isLivenessCheckPending) {
        return;
    }
    link->isLivenessCheckPending = true;
    context.timers.start(std::chrono::steady_clock::now() + CheckDelay, [&context, link] {
        if (!context.crashes.hasLosses(link->target.id)) {
            link->isLivenessCheckPending = false;
            return;
        }
        if (!link->idle.empty()) {
            link->isLivenessCheckPending = false;
            report(context, *link, connect_outcome::Open);
            return;
        }
        openIdleConnection(context, link, ConnectTimeout, [&context, link](connect_outcome outcome) {
            link->isLivenessCheckPending = false;
            report(context, *link, outcome);
        });
    });
}

} // namespace balsamhook
