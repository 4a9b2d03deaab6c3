#include "programs/program.h"
#include "query/query.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

using namespace balsamhook;
namespace asio = boost::asio;

namespace
{

struct program_settings
{
    instance_settings instance;
    std::int64_t inFlight = 512;
    std::int64_t bodyBytes = 64 * 1024;
    std::int64_t connections = 1024;
    std::int64_t budgetBurst = 20;
    std::int64_t spans = 20000;
    std::chrono::milliseconds addressValidity{3000};
};

std::optional<int> parseSettings(program_settings &values, int argumentCount, char **arguments)
{
    settings options("balsam-front: serves the queries and commands of callers");
    addInstanceSettings(options, values.instance);
    options.addNumber("in-flight", values.inFlight, 1, 100000, "limit of queries and commands in flight");
    options.addNumber("body-bytes", values.bodyBytes, 1024, 16 * 1024 * 1024, "maximum body size of a caller's request in bytes");
    options.addNumber("connections", values.connections, 1, 100000, "limit of callers' connections");
    options.addNumber("budget-burst", values.budgetBurst, 0, 10000, "hedges and retries that a service may send in a burst");
    options.addNumber("spans", values.spans, 1, 1000000, "limit of stored spans for /v1/spans");
    options.addDuration("address-validity", values.addressValidity, std::chrono::milliseconds(100), std::chrono::minutes(1), "validity of address advice");
    return options.parse(argumentCount, arguments);
}

front_settings frontSettings(const program_settings &settings)
{
    front_settings front;
    front.identity = {settings.instance.instance, randomId(), program_role::Front, settings.instance.dataCentre};
    front.listenAddress = settings.instance.listenAddress;
    front.frames = settings.instance.frameLimits();
    front.inFlightLimit = static_cast<std::size_t>(settings.inFlight);
    front.budgetBurst = static_cast<double>(settings.budgetBurst);
    front.addressValidity = settings.addressValidity;
    return front;
}

/// Owns the parts of the program: front service, control connection and HTTP server.
class front_program
{
public:
    explicit front_program(const program_settings &settings)
        : m_settings(settings)
        , m_frontSettings(frontSettings(settings))
        , m_spans(static_cast<std::size_t>(settings.spans))
        , m_service(m_context, m_frontSettings, m_metrics, m_spans, [this] { return m_control.mayAccept(); })
        , m_control(m_context,
                    settings.instance.listenEndpoint(settings.instance.controlPort),
                    m_frontSettings.identity,
                    m_metrics,
                    {[this](const control_state &state) { m_service.applyState(state); }, [this] { return status(); }},
                    settings.instance.frameLimits())
        , m_server(m_context, httpLimits(settings), m_metrics, [this](http_request request) { return handle(std::move(request)); })
    {
    }

    int run()
    {
        const endpoint local = m_settings.instance.listenEndpoint(m_settings.instance.frontPort);
        if (const auto listening = m_server.listen(local); !listening) {
            logError("front", describe(listening.error()));
            return EXIT_FAILURE;
        }
        m_control.start();
        onStopSignal(m_context, [this] { asio::co_spawn(m_context, stopGracefully(), asio::detached); });
        logInfo("front", "listening on " + describe(local));
        m_context.run();
        logInfo("front", "stopped");
        return EXIT_SUCCESS;
    }

private:
    static http_limits httpLimits(const program_settings &settings)
    {
        http_limits limits;
        limits.bodyBytes = static_cast<std::size_t>(settings.bodyBytes);
        limits.connections = static_cast<std::size_t>(settings.connections);
        return limits;
    }

    program_status status() const
    {
        return {program_role::Front, m_service.appliedRevision(), m_service.appliedMemberListVersion(), {}, m_service.inFlight()};
    }

    asio::awaitable<http_response> handle(http_request request)
    {
        if (auto response = adminResponse(request, m_metrics, m_spans, m_service.isReady())) {
            co_return std::move(*response);
        }
        // Callers may poll any front end for addresses without end, so the idle period would never be reached if these requests counted.
        if (request.path != "/v1/addresses") {
            m_lastRequestAt = boot_clock::now();
        }
        co_return co_await m_service.handle(std::move(request));
    }

    /// Planned stop. Callers use address advice until its validity ends, so this instance serves them for that long after its removal from the advice.
    asio::awaitable<void> stopGracefully()
    {
        constexpr std::chrono::milliseconds PollInterval{20};
        // Closing a kept-alive connection while its caller sends the next request loses that request, which happened to 1 command of 88. So the
        // program serves until no request has arrived for the idle period, within a limit.
        constexpr std::chrono::milliseconds IdlePeriod{500};
        constexpr std::chrono::seconds MaxIdleWait{5};
        constexpr std::chrono::milliseconds FlushDelay{200}; // The server's count doesn't include responses that are being written.
        logInfo("front", "stopping");
        m_service.stopAdvertising();
        co_await wait(m_settings.addressValidity);
        const boot_clock::time_point limit = boot_clock::now() + MaxIdleWait;
        while (boot_clock::now() < std::min(limit, m_lastRequestAt + IdlePeriod)) {
            co_await wait(PollInterval);
        }
        m_server.stop();
        while (m_server.inFlight() > 0) {
            co_await wait(PollInterval);
        }
        co_await wait(FlushDelay);
        m_control.stop();
        m_service.stop();
        m_context.stop();
    }

    asio::awaitable<void> wait(std::chrono::milliseconds delay)
    {
        asio::steady_timer timer(m_context, delay);
        boost::system::error_code cancelled;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }

    program_settings m_settings;
    front_settings m_frontSettings;
    asio::io_context m_context;
    counters m_metrics;
    span_store m_spans;
    front_service m_service;
    control_client m_control;
    http_server m_server;
    boot_clock::time_point m_lastRequestAt; ///< When a caller's last request other than for addresses arrived.
};

} // namespace

int main(int argumentCount, char **arguments)
{
    program_settings values;
    if (const auto exitCode = parseSettings(values, argumentCount, arguments)) {
        return *exitCode;
    }
    startLogging("balsam-front");
    front_program program(values);
    return program.run();
}
