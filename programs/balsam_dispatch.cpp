/// balsam-dispatch: owns the targets assigned to this instance and runs sub-queries and commands on them.

#include "dispatch/dispatch.h"
#include "programs/program.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

using namespace balsamhook;
namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds StopCheckInterval{20};
// Time for the last responses to leave the send queues.
constexpr std::chrono::milliseconds FlushDelay{100};

struct program_settings
{
    instance_settings instance;
    std::int64_t queueLength = 64;
    std::int64_t frontConnections = 1024;
    std::int64_t storedSpans = 10000;
    endpoint platform;
    std::int64_t claimWritesPerSecond = 20;
    std::int64_t claimedCommands = 4096;
    // Short enough that, after a lost response, a read determines the outcome within a command's deadline of about one second.
    std::chrono::milliseconds claimTimeout{250};
    std::chrono::milliseconds quarantinePeriod{600000};
    std::chrono::milliseconds stopTimeout{15000};
};

void addSettings(settings &options, program_settings &values)
{
    addInstanceSettings(options, values.instance);
    options.addEndpoint("platform", values.platform, "IP:port of the platform's object API", true);
    options.addNumber("queue-length", values.queueLength, 1, 65536, "limit of queued attempts for each target");
    options.addNumber("front-connections", values.frontConnections, 1, 65536, "limit of connections from front ends");
    options.addNumber("stored-spans", values.storedSpans, 1, 1000000, "limit of finished spans in memory");
    options.addNumber("claim-writes-per-second", values.claimWritesPerSecond, 1, 1000, "limit of command claim writes to the platform per second");
    options.addNumber("claimed-commands", values.claimedCommands, 1, 1000000, "limit of claimed commands whose outcome isn't recorded yet");
    options.addDuration(
        "claim-timeout", values.claimTimeout, std::chrono::milliseconds(10), std::chrono::seconds(30), "timeout of a read or write of claims on the platform");
    options.addDuration("quarantine-period",
                        values.quarantinePeriod,
                        std::chrono::seconds(1),
                        std::chrono::hours(24),
                        "how long a request that crashed two targets is refused");
    options.addDuration("stop-timeout",
                        values.stopTimeout,
                        std::chrono::milliseconds(0),
                        std::chrono::minutes(10),
                        "how long a planned stop waits for targets to be handed over and for work in flight");
}

/// Owns the parts of the program: control connection, dispatcher, frame server and admin server.
class dispatch_program
{
public:
    explicit dispatch_program(const program_settings &settings)
        : m_settings(settings)
        , m_spans(static_cast<std::size_t>(settings.storedSpans))
        , m_store(makeHttpObjectStore(storeSettings(), m_metrics))
        , m_dispatcher(m_context, dispatcherSettings(), *m_store, m_metrics, m_spans, dispatcherControl())
        , m_control(m_context,
                    settings.instance.listenEndpoint(settings.instance.controlPort),
                    m_identity,
                    m_metrics,
                    {[this](const control_state &state) { m_dispatcher.apply(state); }, [this] { return m_dispatcher.status(); }},
                    settings.instance.frameLimits())
        , m_frames(m_context,
                   settings.instance.frameLimits(),
                   static_cast<std::size_t>(settings.frontConnections),
                   m_metrics,
                   [this](frame_connection::pointer connection) { return m_dispatcher.serve(std::move(connection)); })
        , m_admin(m_context, settings.instance.adminLimits(), m_metrics, [this](http_request request) { return handleAdminRequest(std::move(request)); })
    {
    }

    /// Runs until a stop signal; returns the exit code.
    int run()
    {
        const auto frameListening = m_frames.listen(m_settings.instance.listenEndpoint(m_settings.instance.dispatchPort));
        const auto adminListening = m_admin.listen(m_settings.instance.listenEndpoint(m_settings.instance.dispatchHttpPort));
        for (const auto &listening : {frameListening, adminListening}) {
            if (!listening) {
                logError("dispatch", describe(listening.error()));
                return EXIT_FAILURE;
            }
        }
        m_dispatcher.start();
        m_control.start();
        onStopSignal(m_context, [this] { asio::co_spawn(m_context, stopGracefully(), asio::detached); });
        logInfo("dispatch", "serving as " + m_settings.instance.instance);
        m_context.run();
        return EXIT_SUCCESS;
    }

private:
    dispatcher_settings dispatcherSettings()
    {
        m_identity = {m_settings.instance.instance, randomId(), program_role::Dispatch, m_settings.instance.dataCentre};
        dispatcher_settings settings;
        settings.identity = m_identity;
        settings.bindAddress = m_settings.instance.listenAddress;
        settings.queueLimit = static_cast<std::size_t>(m_settings.queueLength);
        settings.quarantinePeriod = m_settings.quarantinePeriod;
        settings.claims.writesPerSecond = static_cast<std::uint32_t>(m_settings.claimWritesPerSecond);
        settings.claims.commands = static_cast<std::size_t>(m_settings.claimedCommands);
        return settings;
    }

    object_store_settings storeSettings() const
    {
        object_store_settings settings;
        settings.platform = m_settings.platform;
        settings.bindAddress = m_settings.instance.listenAddress;
        settings.callTimeout = m_settings.claimTimeout;
        return settings;
    }

    dispatcher_control dispatcherControl()
    {
        return {[this] { return m_control.isEntitled(); }, [this] { m_control.reportStatus(); }};
    }

    asio::awaitable<http_response> handleAdminRequest(http_request request)
    {
        if (request.method == "GET" && request.path == "/v1/targets") {
            co_return m_dispatcher.describeTargets();
        }
        const auto response = adminResponse(request, m_metrics, m_spans, m_dispatcher.isReady());
        co_return response ? *response : errorResponse(404, "no such path");
    }

    /// Planned stop. Waits until the targets are handed over and no work is in flight, for at most the stop timeout; front ends may still send
    /// meanwhile.
    asio::awaitable<void> stopGracefully()
    {
        logInfo("dispatch", "stopping");
        const auto limit = boot_clock::now() + m_settings.stopTimeout;
        asio::steady_timer timer(m_context);
        while (boot_clock::now() < limit && !(m_dispatcher.isReleased() && m_dispatcher.isIdle())) {
            boost::system::error_code ignored;
            timer.expires_after(StopCheckInterval);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        m_frames.stop();
        m_admin.stop();
        m_control.stop();
        m_dispatcher.stop();
        boost::system::error_code ignored;
        timer.expires_after(FlushDelay);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        m_context.stop();
    }

    program_settings m_settings;
    asio::io_context m_context;
    counters m_metrics;
    span_store m_spans;
    hello m_identity;
    std::unique_ptr<object_store> m_store;
    dispatcher m_dispatcher;
    control_client m_control;
    frame_server m_frames;
    http_server m_admin;
};

} // namespace

int main(int argumentCount, char **arguments)
{
    program_settings values;
    settings options("balsam-dispatch: runs sub-queries and commands on the targets that this instance owns");
    addSettings(options, values);
    if (const auto exitCode = options.parse(argumentCount, arguments)) {
        return *exitCode;
    }
    startLogging("balsam-dispatch");
    return dispatch_program(values).run();
}
