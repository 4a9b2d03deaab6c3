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
    settings options("balsam-front: answers callers' queries and commands");
    addInstanceSettings(options, values.instance);
    options.addNumber("in-flight", values.inFlight, 1, 100000, "queries and commands under way at the same time");
    options.addNumber("body-bytes", values.bodyBytes, 1024, 16 * 1024 * 1024, "largest body of a caller's request in bytes");
    options.addNumber("connections", values.connections, 1, 100000, "callers' connections");
    options.addNumber("budget-burst", values.budgetBurst, 0, 10000, "hedges and retries of a service that need not have been earned");
    options.addNumber("spans", values.spans, 1, 1000000, "spans kept for /v1/spans");
    options.addDuration("address-validity", values.addressValidity, std::chrono::milliseconds(100), std::chrono::minutes(1), "validity of address advice");
    return options.parse(argumentCount, arguments);
}

front_settings frontSettings(const program_settings &values)
{
    front_settings front;
    front.identity = {values.instance.instance, randomId(), program_role::Front, values.instance.dataCentre};
    front.listenAddress = values.instance.listenAddress;
    front.frames = values.instance.frameLimits();
    front.inFlightLimit = static_cast<std::size_t>(values.inFlight);
    front.budgetBurst = static_cast<double>(values.budgetBurst);
    front.addressValidity = values.addressValidity;
    return front;
}

/// Everything of the running program.
class front_program
{
public:
    explicit front_program(const program_settings &values)
        : m_settings(values)
        , m_front(frontSettings(values))
        , m_spans(static_cast<std::size_t>(values.spans))
        , m_service(m_context, m_front, m_numbers, m_spans, [this] { return m_control.mayAccept(); })
        , m_control(m_context,
                    values.instance.local(values.instance.controlPort),
                    m_front.identity,
                    m_numbers,
                    {[this](const control_state &state) { m_service.applyState(state); }, [this] { return status(); }},
                    values.instance.frameLimits())
        , m_server(m_context, limits(values), m_numbers, [this](http_request request) { return answer(std::move(request)); })
    {
    }

    int run()
    {
        const endpoint local = m_settings.instance.local(m_settings.instance.frontPort);
        if (const auto listening = m_server.listen(local); !listening) {
            logError("front", describe(listening.error()));
            return EXIT_FAILURE;
        }
        m_control.start();
        onStopSignal(m_context, [this] { asio::co_spawn(m_context, stopPlanned(), asio::detached); });
        logInfo("front", "listening on " + describe(local));
        m_context.run();
        logInfo("front", "stopped");
        return EXIT_SUCCESS;
    }

private:
    static http_limits limits(const program_settings &values)
    {
        http_limits limits;
        limits.bodyBytes = static_cast<std::size_t>(values.bodyBytes);
        limits.connections = static_cast<std::size_t>(values.connections);
        return limits;
    }

    program_status status() const
    {
        return {program_role::Front, m_service.appliedRevision(), m_service.appliedMemberListVersion(), {}, m_service.inFlight()};
    }

    asio::awaitable<http_response> answer(http_request request)
    {
        if (auto administrative = adminResponse(request, m_numbers, m_spans, m_service.isReady())) {
            co_return std::move(*administrative);
        }
        // Callers that only ask for addresses may do so at any of them, for ever.
        if (request.path != "/v1/addresses") {
            m_lastRequest = boot_clock::now();
        }
        co_return co_await m_service.handle(std::move(request));
    }

    /// Callers keep address advice for its validity time, so they are served that long after this instance was removed from it.
    asio::awaitable<void> stopPlanned()
    {
        constexpr std::chrono::milliseconds Poll{20};
        // Closing a kept connection while its caller sends the next request breaks that request; it happened to 1 command of 88 in a trial.
        // So the program goes on until no request came for a while, at most for the second time.
        constexpr std::chrono::milliseconds Quiet{500};
        constexpr std::chrono::seconds LongestWaitForQuiet{5};
        constexpr std::chrono::milliseconds LastWrites{200}; // The server's count doesn't include responses that are being written.
        logInfo("front", "stopping");
        m_service.stopAdvertising();
        co_await pause(m_settings.addressValidity);
        const boot_clock::time_point latest = boot_clock::now() + LongestWaitForQuiet;
        while (boot_clock::now() < std::min(latest, m_lastRequest + Quiet)) {
            co_await pause(Poll);
        }
        m_server.stop();
        while (m_server.inFlight() > 0) {
            co_await pause(Poll);
        }
        co_await pause(LastWrites);
        m_control.stop();
        m_service.stop();
        m_context.stop();
    }

    asio::awaitable<void> pause(std::chrono::milliseconds time)
    {
        asio::steady_timer timer(m_context, time);
        boost::system::error_code cancelled;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }

    program_settings m_settings;
    front_settings m_front;
    asio::io_context m_context;
    counters m_numbers;
    span_store m_spans;
    front_service m_service;
    control_client m_control;
    http_server m_server;
    boot_clock::time_point m_lastRequest; ///< When the last request of a caller came.
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
