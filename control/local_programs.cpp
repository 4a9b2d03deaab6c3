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

constexpr std::chrono::milliseconds StateCheckPeriod{50};
constexpr int EntitlementEvery = 4; ///< Checks, which makes 200 ms.
/// Programs report every 500 ms. One that has been silent for longer may hang, so its entitlement isn't extended.
constexpr std::chrono::milliseconds StatusTimeout{2000};

} // namespace

local_programs::local_programs(control_core &core)
    : m_core(core)
    , m_server(core.context,
               core.values.instance.frameLimits(),
               static_cast<std::size_t>(core.values.frameConnections),
               core.numbers,
               [this](frame_connection::pointer connection) { return serve(std::move(connection)); })
{
}

result<void> local_programs::start()
{
    return m_server.listen(m_core.values.instance.local(m_core.values.instance.controlPort));
}

bool local_programs::areIdle() const
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

bool local_programs::hasFront() const
{
    const auto front = m_core.programs.find(program_role::Front);
    return front != m_core.programs.end() && front->second.isConnected;
}

asio::awaitable<void> local_programs::serve(frame_connection::pointer connection)
{
    const auto first = co_await connection->receive();
    const hello *identity = first ? std::get_if<hello>(&first.value()) : nullptr;
    if (identity == nullptr) {
        m_core.numbers.add("control_connections_without_hello_total");
        co_return;
    }
    if (identity->role == program_role::Control) {
        co_await serveController(connection);
        co_return;
    }
    if (identity->instance != m_core.values.instance.instance) {
        logWarning("control", "a program of instance " + identity->instance + " connected to the wrong controller");
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
        if (request == nullptr || !connection->send(answerFor(*request))) {
            m_core.numbers.add("control_unexpected_messages_total");
            co_return;
        }
    }
}

sections local_programs::answerFor(const fetch_sections &request) const
{
    sections answer;
    if (m_core.configuration.revision() > 0) {
        answer.root = rootText(m_core.configuration.root());
    }
    for (const std::string &hash : request.hashes) {
        if (hash == MemberListName) {
            answer.texts.push_back({hash, memberListText(m_core.node.list())});
        } else if (const std::string *text = m_core.configuration.findSection(hash)) {
            answer.texts.push_back({hash, *text});
        }
    }
    return answer;
}

asio::awaitable<void> local_programs::serveProgram(frame_connection::pointer connection, hello identity)
{
    const program_role role = identity.role;
    if (const auto former = m_connections.find(role); former != m_connections.end()) {
        former->second->close();
    }
    m_connections[role] = connection;
    // A program that just connected acts on nothing until it got a state; one that reconnected tells its status first.
    control_core::local_program &program = m_core.programs[role];
    program.isConnected = true;
    program.heardAt = boot_clock::now();
    asio::co_spawn(m_core.context, pushPeriodically(connection, role), asio::detached);
    while (true) {
        const auto received = co_await connection->receive();
        if (!received) {
            break;
        }
        if (const auto *status = std::get_if<program_status>(&received.value())) {
            takeStatus(*status, role);
        }
    }
    if (m_connections[role] == connection) {
        m_core.programs[role].isConnected = false;
        logInfo("control", "local program " + std::to_string(static_cast<int>(role)) + " disconnected");
    }
}

void local_programs::takeStatus(const program_status &status, program_role role)
{
    control_core::local_program &program = m_core.programs[role];
    program.status = status;
    program.heardAt = boot_clock::now();
    m_core.refreshApplied();
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
    // A program that has a newer configuration than this controller ignores its states, so it must not act on them.
    const bool isAhead = program.status.appliedRevision > m_core.configuration.revision();
    const bool isSilent = now - program.heardAt > StatusTimeout;
    entitlement allowed;
    if (!isAhead && !isSilent) {
        allowed.entitledUntil = toNanoseconds(m_core.node.entitledUntil(now));
        allowed.acceptUntil = toNanoseconds(m_core.acceptUntil());
    } else if (role == program_role::Dispatch) {
        allowed.entitledUntil = toNanoseconds(program.entitledUntil);
    }
    return allowed;
}

asio::awaitable<void> local_programs::pushPeriodically(frame_connection::pointer connection, program_role role)
{
    std::string lastSent;
    asio::steady_timer timer(m_core.context);
    for (int check = 0; connection->isOpen(); ++check) {
        const control_state state = currentState();
        std::string encoded = encodeMessage(state);
        const bool isChanged = encoded != lastSent;
        // The entitlement follows the state on the same connection, so that a program never extends an old state.
        if (isChanged && !connection->send(state)) {
            co_return;
        }
        if (isChanged || check % EntitlementEvery == 0) {
            control_core::local_program &program = m_core.programs[role];
            m_core.confirmFreshness();
            const entitlement allowed = currentEntitlement(program, role);
            if (!connection->send(allowed)) {
                co_return;
            }
            program.entitledUntil = std::max(program.entitledUntil, fromNanoseconds(allowed.entitledUntil));
        }
        lastSent = std::move(encoded);
        timer.expires_after(StateCheckPeriod);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace balsamhook
