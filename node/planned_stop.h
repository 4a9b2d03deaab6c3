#pragma once

#include "node/caller_service.h"

#include <functional>
#include <optional>

namespace balsamhook
{

/// Carries out the stop_plan of an instance after SIGTERM: refuses requests that come too late, closes idle connections, answers what is still in flight
/// shortly before the platform kills the process, and ends it as soon as nothing is left to do. Not thread-safe.
class planned_stop
{
public:
    struct handlers
    {
        std::function<std::chrono::milliseconds()> retryAfter; ///< When a refused caller finds another instance.
        std::function<void()> onFinished; ///< Called once; the process exits then.
    };

    /// Precondition: context and callers outlive the object and the event loop.
    planned_stop(node_context &context, caller_service &callers, handlers callbacks);

    /// Starts the stop; has no effect when it has started already. The grace period is fixed from then on.
    void start(std::chrono::milliseconds grace);

    bool hasStarted() const;

private:
    using clock = std::chrono::steady_clock;

    void finishWhenIdle();

    node_context &m_context;
    caller_service &m_callers;
    handlers m_handlers;
    std::optional<stop_plan> m_plan;
};

} // namespace balsamhook
