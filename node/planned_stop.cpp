#include "node/planned_stop.h"

namespace balsamhook
{

namespace
{

constexpr std::chrono::milliseconds PollInterval{20};

} // namespace

planned_stop::planned_stop(node_context &context, caller_service &callers, handlers callbacks)
    : m_context(context)
    , m_callers(callers)
    , m_handlers(std::move(callbacks))
{
}

void planned_stop::start(std::chrono::milliseconds grace)
{
    if (m_plan) {
        return;
    }
    const auto now = clock::now();
    m_plan.emplace(now, grace);
    const auto inFlight = static_cast<std::uint64_t>(m_callers.requestsInFlight());
    m_context.log.write(event_class::StateChange, event_line("node", "stop").add("in_flight", inFlight).add("grace_ms", grace.count()), now);
    m_callers.startLeaving(*m_plan, m_handlers.retryAfter);
    m_context.timers.start(m_plan->finalResponseAt(), [this] { m_callers.endRequests(); });
    m_context.timers.start(m_plan->idleCloseAt(), [this] {
        m_callers.closeIdleConnections();
        finishWhenIdle();
    });
}

bool planned_stop::hasStarted() const
{
    return m_plan.has_value();
}

void planned_stop::finishWhenIdle()
{
    const auto now = clock::now();
    const bool isIdle = m_callers.requestsInFlight() == 0 && m_callers.connections() == 0;
    if (!isIdle && now < m_plan->exitAt()) {
        m_context.timers.start(std::min(now + PollInterval, m_plan->exitAt()), [this] { finishWhenIdle(); });
        return;
    }
    m_context.log.write(event_class::StateChange,
                        event_line("node", "exit")
                            .add("in_flight", static_cast<std::uint64_t>(m_callers.requestsInFlight()))
                            .add("connections", static_cast<std::uint64_t>(m_callers.connections())),
                        now);
    m_handlers.onFinished();
}

} // namespace balsamhook
