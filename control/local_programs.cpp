#include "control/local_programs.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace balsamhook
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds StateCheckInterval{50};
constexpr int ChecksPerEntitlement = 4; ///< An entitlement is sent at least every 200 ms.
/// Programs send a status every 500 ms. A program that has sent none for this long may hang, so its entitlement isn't extended.
constexpr std::chrono::milliseconds StatusTimeout{2000};

} // namespace

local_programs::local_programs(control_core &core)
    : m_core(core)
    , m_server(core.context,
               core.settings.instance.frameLimits(),
               static_cast<std::size_t>(core.settings.frameConnections),
               core.metrics,
               [this](frame_connection::pointer connection) { return serve(std::move(connection)); })
{
}

result<void> local_programs::start()
{
    return m_server.listen(m_core.settings.instance.listenEndpoint(m_core.settings.instance.controlPort));
}

bool local_programs::isIdle() const
{
    const auto now = boot_clock::now();
    for (const auto &[role, program] : m_core.programs) {
        const bool mayAct = program.isConnected || now < program.entitledUntil;
        if (mayAct && (program.status.inFlight > 0 || !program.status.activeTargets.empty())) {
            return false;
        }
    }
    return true;
}

bool local_programs::isFrontConnected() const
{
    const auto front = m_core.programs.find(program_role::Front);
    return front != m_core.programs.end() && front->second.isConnected;
}

asio::awaitable<void> local_programs::serve(frame_connection::pointer connection)
{
    const auto first = co_await connection->receive();
    const hello *identity = first ? std::get_if<hello>(&first.value()) : nullptr;
    if (identity == nullptr) {
        m_core.metrics.add("control_connections_without_hello_total");
        co_return;
    }
    if (identity->role == program_role::Control) {
        co_await serveController(connection);
        co_return;
    }
    if (identity->instance != m_core.settings.instance.instance) {
        logWarning("control", "rejected a program of instance " + identity->instance + ", which is not the instance of this controller");
        co_return;
    }
    co_await serveProgram(connection, *identity);
}

asio::awaitable<void> local_programs::serveController(frame_connection::pointer connection)
{
    while (true) {
        const auto received = co_await connection->receive();
        if (!received) {
            co_return;
        }
        const auto *request = std::get_if<fetch_sections>(&received.value());
        if (request == nullptr || !connection->send(sectionsFor(*request))) {
            m_core.metrics.add("control_unexpected_messages_total");
            co_return;
        }
    }
}

sections local_programs::sectionsFor(const fetch_sections &request) const
{
    sections response;
    if (m_core.configuration.revision() > 0) {
        response.root = rootText(m_core.configuration.root());
    }
    for (const std::string &hash : request.hashes) {
        if (hash == MemberListKey) {
            response.texts.push_back({hash, memberListText(m_core.node.list())});
        } else if (const std::string *text = m_core.configuration.findSection(hash)) {
            response.texts.push_back({hash, *text});
        }
    }
    return response;
}

asio::awaitable<void> local_programs::serveProgram(frame_connection::pointer connection, hello identity)
{
    const program_role role = identity.role;
    if (const auto previous = m_connections.find(role); previous != m_connections.end()) {
        previous->second->close();
    }
    m_connections[role] = connection;
    // The last status of this role stays valid until the program sends a new one: a restarted program acts on no target before it receives a state,
    // and a program that reconnects sends its status right after its hello.
    control_core::local_program &program = m_core.programs[role];
    program.isConnected = true;
    program.lastActivityAt = boot_clock::now();
    asio::co_spawn(m_core.context, pushPeriodically(connection, role), asio::detached);
    while (true) {
        const auto received = co_await connection->receive();
        if (!received) {
            break;
        }
        if (const auto *status = std::get_if<program_status>(&received.value())) {
            recordStatus(*status, role);
        }
    }
    if (m_connections[role] == connection) {
        m_core.programs[role].isConnected = false;
        logInfo("control", "local program " + std::to_string(static_cast<int>(role)) + " disconnected");
    }
}

void local_programs::recordStatus(const program_status &status, program_role role)
{
    control_core::local_program &program = m_core.programs[role];
    program.status = status;
    program.lastActivityAt = boot_clock::now();
    m_core.updateApplied();
}

control_state local_programs::currentState() const
{
    const auto now = boot_clock::now();
    control_state state;
    state.configurationRevision = m_core.configuration.revision();
    state.memberListVersion = m_core.node.list().version;
    state.configuration = m_core.configuration.text();
    state.members = m_core.node.list().entries();
    for (member_entry &member : state.members) {
        member.alive = m_core.node.isAlive(member.instance, now);
    }
    for (const auto &[target, owner] : m_core.node.owners()) {
        state.owners.push_back({target, owner});
    }
    state.ownedTargets = m_core.node.actionableTargets();
    state.stopping = m_core.stopping;
    return state;
}

entitlement local_programs::currentEntitlement(const control_core::local_program &program, program_role role) const
{
    const auto now = boot_clock::now();
    // A program whose configuration is newer than this controller's ignores the controller's states, so its entitlement must not be extended.
    const bool isAhead = program.status.appliedRevision > m_core.configuration.revision();
    const bool isUnresponsive = now - program.lastActivityAt > StatusTimeout;
    entitlement current;
    if (!isAhead && !isUnresponsive) {
        current.entitledUntil = toNanoseconds(m_core.node.entitledUntil(now));
        current.acceptUntil = toNanoseconds(m_core.acceptUntil());
    } else if (role == program_role::Dispatch) {
        current.entitledUntil = toNanoseconds(program.entitledUntil);
    }
    return current;
}

asio::awaitable<void> local_programs::pushPeriodically(frame_connection::pointer connection, program_role role)
{
    std::string lastEncoded;
    asio::steady_timer timer(m_core.context);
    for (int check = 0; connection->isOpen(); ++check) {
        const control_state state = currentState();
        std::string encoded = encodeMessage(state);
        const bool isChanged = encoded != lastEncoded;
        // The entitlement follows the state on the same connection, so that an entitlement is never applied to an outdated state.
        if (isChanged && !connection->send(state)) {
            co_return;
        }
        if (isChanged || check % ChecksPerEntitlement == 0) {
            control_core::local_program &program = m_core.programs[role];
            m_core.updateFreshness();
            const entitlement current = currentEntitlement(program, role);
            if (!connection->send(current)) {
                co_return;
            }
            program.entitledUntil = std::max(program.entitledUntil, fromNanoseconds(current.entitledUntil));
        }
        lastEncoded = std::move(encoded);
        timer.expires_after(StateCheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace balsamhook
