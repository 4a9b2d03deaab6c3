#include "control/configuration_task.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace balsamhook
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t WatchersPerDataCentre = 2;
constexpr std::chrono::milliseconds WatchTimeout{2000};
constexpr std::chrono::milliseconds RetryDelay{500};
constexpr std::chrono::milliseconds PollInterval{100};

} // namespace

configuration_task::configuration_task(control_core &core)
    : m_core(core)
{
}

void configuration_task::start()
{
    asio::co_spawn(m_core.context, watchStore(), asio::detached);
    asio::co_spawn(m_core.context, followPeers(), asio::detached);
    asio::co_spawn(m_core.context, followMemberList(), asio::detached);
}

asio::awaitable<void> configuration_task::wait(std::chrono::milliseconds delay)
{
    asio::steady_timer timer(m_core.context, delay);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<result<void>> configuration_task::fetchMissing(configuration_root root, std::string peerEndpoint)
{
    fetch_sections request;
    request.hashes = m_core.configuration.missingSections(root);
    if (!request.hashes.empty() && !peerEndpoint.empty()) {
        const auto response = co_await fetchFromPeer(m_core, peerEndpoint, request);
        if (response) {
            for (const section_text &section : response.value().texts) {
                m_core.configuration.addSection(section);
            }
        }
    }
    for (const std::string &hash : m_core.configuration.missingSections(root)) {
        const auto read = co_await m_core.store->read("sections", hash);
        if (!read) {
            co_return read.error();
        }
        const section_text section{hash, read.value().value};
        m_core.configuration.addSection(section);
    }
    co_return success();
}

asio::awaitable<result<void>> configuration_task::fetchAndActivate(configuration_root root, std::string peerEndpoint)
{
    BOOST_OUTCOME_CO_TRY(co_await fetchMissing(root, peerEndpoint));
    const auto activated = m_core.configuration.activate(root);
    if (!activated) {
        co_return activated.error();
    }
    if (activated.value()) {
        logInfo("control", "configuration revision " + std::to_string(root.revision) + " is active");
    }
    m_core.updateMembership();
    co_return success();
}

asio::awaitable<result<std::optional<stored_object>>> configuration_task::synchronise()
{
    const auto read = co_await m_core.store->read("configuration", "root");
    if (!read) {
        if (read.error().code != error_code::NotFound) {
            co_return read.error();
        }
        m_core.recordStoreConfirmation();
        co_return std::optional<stored_object>();
    }
    const auto root = parseRoot(read.value().value);
    if (!root) {
        co_return root.error();
    }
    const auto activated = co_await fetchAndActivate(root.value(), "");
    if (!activated) {
        co_return activated.error();
    }
    m_core.recordStoreConfirmation();
    co_return std::optional<stored_object>(read.value());
}

asio::awaitable<void> configuration_task::watchStore()
{
    std::uint64_t lastVersion = 0;
    while (true) {
        // Each controller reads the store once at start; afterwards only the watchers do.
        const bool isWatcher = !m_core.hasReadConfiguration || m_core.node.isRankedInDataCentre(WatchersPerDataCentre, boot_clock::now());
        if (!isWatcher) {
            co_await wait(RetryDelay);
            continue;
        }
        if (lastVersion == 0) {
            const auto read = co_await synchronise();
            if (!read || !read.value()) {
                co_await wait(RetryDelay);
                continue;
            }
            lastVersion = read.value()->version;
        }
        const auto changed = co_await m_core.store->watch("configuration", "root", lastVersion, WatchTimeout);
        if (!changed) {
            m_core.metrics.add("configuration_watch_failures_total");
            co_await wait(RetryDelay);
            continue;
        }
        if (!changed.value()) {
            m_core.recordStoreConfirmation();
            continue;
        }
        const auto root = parseRoot(changed.value()->value);
        if (!root) {
            logError("control", "cannot parse the configuration root: " + describe(root.error()));
            co_await wait(RetryDelay);
            continue;
        }
        const auto activated = co_await fetchAndActivate(root.value(), "");
        if (!activated) {
            logWarning("control", "cannot activate configuration revision " + std::to_string(root.value().revision) + ": " + describe(activated.error()));
            co_await wait(RetryDelay);
            continue;
        }
        lastVersion = changed.value()->version;
        m_core.recordStoreConfirmation();
    }
}

asio::awaitable<void> configuration_task::followPeers()
{
    while (true) {
        co_await wait(PollInterval);
        const auto newest = m_core.node.newestReported(boot_clock::now());
        const bool isBehind = newest.revision > m_core.configuration.revision() || (!m_core.hasReadConfiguration && !newest.listPeer.empty());
        if (!isBehind) {
            continue;
        }
        fetch_sections request;
        request.minRevision = newest.revision;
        const std::string peer = newest.revisionPeer.empty() ? newest.listPeer : newest.revisionPeer;
        const auto response = co_await fetchFromPeer(m_core, peer, request);
        // No configuration has been applied yet.
        if (response && response.value().root.empty() && newest.revision == 0) {
            m_core.hasReadConfiguration = true;
            continue;
        }
        const auto root = response ? parseRoot(response.value().root) : result<configuration_root>(response.error());
        if (root) {
            const auto activated = co_await fetchAndActivate(root.value(), peer);
            m_core.hasReadConfiguration = m_core.hasReadConfiguration || activated.has_value();
        }
        if (m_core.configuration.revision() < newest.revision) {
            const auto read = co_await synchronise();
            if (!read) {
                m_core.metrics.add("configuration_fetch_failures_total");
                co_await wait(RetryDelay);
            }
        }
    }
}

asio::awaitable<void> configuration_task::followMemberList()
{
    while (true) {
        co_await wait(PollInterval);
        const auto newest = m_core.node.newestReported(boot_clock::now());
        const member_list *pending = m_core.node.pendingList();
        const std::uint64_t localVersion = std::max(m_core.node.list().version, pending == nullptr ? 0 : pending->version);
        if (newest.listVersion > localVersion) {
            fetch_sections request;
            request.hashes.push_back(MemberListKey);
            const auto response = co_await fetchFromPeer(m_core, newest.listPeer, request);
            const bool hasList = response && !response.value().texts.empty();
            const auto list = hasList ? parseMemberList(response.value().texts.front().text)
                                      : result<member_list>(failure(error_code::NotFound, error_step::Receive, newest.listPeer, "peer sent no member list"));
            if (list) {
                m_core.node.offerList(list.value(), boot_clock::now());
                m_core.updateMembership();
            } else {
                m_core.metrics.add("member_list_fetch_failures_total");
                co_await wait(RetryDelay);
            }
        }
        pending = m_core.node.pendingList();
        if (pending == nullptr || m_core.configuration.findDocument(pending->revision)) {
            continue;
        }
        // The assignment of the pending list is computed from the configuration that it names, which may be older or newer than the active one.
        const auto root = parseRoot(pending->root);
        if (!root) {
            logError("control", "cannot parse the configuration root in the member list: " + describe(root.error()));
            co_await wait(RetryDelay);
            continue;
        }
        const auto fetched = co_await fetchMissing(root.value(), newest.listPeer);
        const auto document = m_core.configuration.join(root.value());
        if (fetched && document) {
            m_core.node.provideDocument(root.value().revision, document.value(), boot_clock::now());
            m_core.updateApplied();
        } else {
            co_await wait(RetryDelay);
        }
    }
}

} // namespace balsamhook
