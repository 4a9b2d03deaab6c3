#include "control/control_core.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace balsamhook
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t SpanCapacity = 1000;
constexpr std::chrono::milliseconds PeerTimeout{1000};

} // namespace

control_core::control_core(asio::io_context &ioContext, control_settings controlSettings, std::unique_ptr<object_store> objectStore)
    : context(ioContext)
    , settings(std::move(controlSettings))
    , spans(SpanCapacity)
    , store(objectStore ? std::move(objectStore) : makeHttpObjectStore({settings.platform, settings.instance.listenAddress, settings.storeTimeout}, metrics))
    , incarnation(randomId())
    , node(settings.instance.memberEntry(), incarnation, membership_settings(), stableHash(incarnation))
{
}

void control_core::updateMembership()
{
    const auto now = boot_clock::now();
    node.provideDocument(configuration.revision(), configuration.document(), now);
    if (configuration.revision() > 0) {
        configuration_root root = configuration.root();
        // The history of the root is needed for plans only.
        root.earlier.clear();
        node.setNewestRoot(root.revision, rootText(root));
    }
    if (const member_list *pending = node.pendingList()) {
        if (const document_pointer document = configuration.findDocument(pending->revision)) {
            node.provideDocument(pending->revision, document, now);
        }
    }
    if (node.list().version != loggedListVersion) {
        loggedListVersion = node.list().version;
        logInfo("control",
                "member list version " + std::to_string(loggedListVersion) + " has " + std::to_string(node.list().members.size())
                    + " members and uses revision " + std::to_string(node.list().revision));
    }
    updateApplied();
}

void control_core::updateApplied()
{
    const auto now = boot_clock::now();
    std::uint64_t revision = configuration.revision();
    std::uint64_t listVersion = node.list().version;
    const auto actionable = node.actionableTargets();
    for (const auto &[role, program] : programs) {
        if (!program.isConnected) {
            const bool mayStillAct = role == program_role::Dispatch && now < program.entitledUntil;
            if (mayStillAct) {
                return;
            }
            continue;
        }
        revision = std::min(revision, program.status.appliedRevision);
        if (role != program_role::Dispatch || now >= program.entitledUntil) {
            continue;
        }
        listVersion = std::min(listVersion, program.status.appliedMemberListVersion);
        for (const std::string &target : program.status.activeTargets) {
            if (std::find(actionable.begin(), actionable.end(), target) == actionable.end()) {
                return;
            }
        }
    }
    node.setApplied(revision, listVersion);
}

void control_core::recordStoreConfirmation()
{
    confirmedAt = boot_clock::now();
    hasReadConfiguration = true;
}

void control_core::updateFreshness()
{
    const auto now = boot_clock::now();
    const bool isNewest = hasReadConfiguration && node.newestReported(now).revision <= configuration.revision();
    if (isNewest && node.isMember()) {
        confirmedAt = std::max(confirmedAt, node.majorityHeartbeatTime(now));
    }
}

boot_clock::time_point control_core::acceptUntil() const
{
    // During a planned stop, callers keep sending to the addresses that they received as advice, also after the instance left the member list.
    const bool mayServe = isReady() || (stopping && hasReadConfiguration);
    return mayServe ? confirmedAt + settings.freshnessTimeout : boot_clock::time_point();
}

bool control_core::isReady() const
{
    return hasReadConfiguration && node.isMember();
}

asio::awaitable<result<sections>> fetchFromPeer(control_core &core, std::string peerEndpoint, fetch_sections request)
{
    const auto peer = parseEndpoint(peerEndpoint);
    if (!peer) {
        co_return peer.error();
    }
    const frame_limits limits = core.settings.instance.frameLimits();
    auto opened = co_await frame_connection::open(peer.value(), core.settings.instance.listenAddress, PeerTimeout, limits);
    if (!opened) {
        co_return opened.error();
    }
    const frame_connection::pointer connection = opened.value();
    const hello identity{core.settings.instance.instance, core.node.incarnation(), program_role::Control, core.settings.instance.dataCentre};
    BOOST_OUTCOME_CO_TRY(connection->send(identity));
    BOOST_OUTCOME_CO_TRY(connection->send(request));
    // Closes the connection when the peer doesn't respond.
    asio::steady_timer timer(core.context, PeerTimeout);
    timer.async_wait([connection](boost::system::error_code cancelled) {
        if (!cancelled) {
            connection->close();
        }
    });
    while (true) {
        const auto received = co_await connection->receive();
        if (!received) {
            co_return received.error();
        }
        if (const auto *response = std::get_if<sections>(&received.value())) {
            timer.cancel();
            connection->close();
            co_return *response;
        }
    }
}

} // namespace balsamhook
