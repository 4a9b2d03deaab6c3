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
constexpr std::chrono::milliseconds WatchTime{2000};
constexpr std::chrono::milliseconds PauseAfterError{500};
constexpr std::chrono::milliseconds FollowPeriod{100};

} // namespace

configuration_task::configuration_task(control_core &core)
    : m_core(core)
{
}

void configuration_task::start()
{
    asio::co_spawn(m_core.context, watchStore(), asio::detached);
    asio::co_spawn(m_core.context, followPeers(), asio::detached);
    asio::co_spawn(m_core.context, followList(), asio::detached);
}

asio::awaitable<void> configuration_task::pause(std::chrono::milliseconds time)
{
    asio::steady_timer timer(m_core.context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<result<void>> configuration_task::fetchMissing(configuration_root root, std::string peerEndpoint)
{
    fetch_sections request;
    request.hashes = m_core.configuration.missingSections(root);
    if (!request.hashes.empty() && !peerEndpoint.empty()) {
        const auto answer = co_await fetchFromPeer(m_core, peerEndpoint, request);
        if (answer) {
            for (const section_text &section : answer.value().texts) {
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

asio::awaitable<result<void>> configuration_task::adopt(configuration_root root, std::string peerEndpoint)
{
    BOOST_OUTCOME_CO_TRY(co_await fetchMissing(root, peerEndpoint));
    const auto advanced = m_core.configuration.advance(root);
    if (!advanced) {
        co_return advanced.error();
    }
    if (advanced.value()) {
        logInfo("control", "configuration revision " + std::to_string(root.revision) + " is in force");
    }
    m_core.exchange();
    co_return success();
}

asio::awaitable<result<std::optional<stored_object>>> configuration_task::synchronise()
{
    const auto read = co_await m_core.store->read("configuration", "root");
    if (!read) {
        if (read.error().code != error_code::NotFound) {
            co_return read.error();
        }
        m_core.noteStoreFresh();
        co_return std::optional<stored_object>();
    }
    const auto root = parseRoot(read.value().value);
    if (!root) {
        co_return root.error();
    }
    const auto adopted = co_await adopt(root.value(), "");
    if (!adopted) {
        co_return adopted.error();
    }
    m_core.noteStoreFresh();
    co_return std::optional<stored_object>(read.value());
}

asio::awaitable<void> configuration_task::watchStore()
{
    std::uint64_t seen = 0;
    while (true) {
        // Every starting instance reads the store once; afterwards only the watchers do.
        const bool isWatcher = !m_core.hasReadConfiguration || m_core.node.isRankedInDataCentre(WatchersPerDataCentre, boot_clock::now());
        if (!isWatcher) {
            co_await pause(PauseAfterError);
            continue;
        }
        if (seen == 0) {
            const auto read = co_await synchronise();
            if (!read || !read.value()) {
                co_await pause(PauseAfterError);
                continue;
            }
            seen = read.value()->version;
        }
        const auto changed = co_await m_core.store->watch("configuration", "root", seen, WatchTime);
        if (!changed) {
            m_core.numbers.add("configuration_watch_failures_total");
            co_await pause(PauseAfterError);
            continue;
        }
        if (!changed.value()) {
            m_core.noteStoreFresh();
            continue;
        }
        const auto root = parseRoot(changed.value()->value);
        if (!root) {
            logError("control", "root can't be read: " + describe(root.error()));
            co_await pause(PauseAfterError);
            continue;
        }
        const auto adopted = co_await adopt(root.value(), "");
        if (!adopted) {
            logWarning("control", "revision " + std::to_string(root.value().revision) + " can't be applied yet: " + describe(adopted.error()));
            co_await pause(PauseAfterError);
            continue;
        }
        seen = changed.value()->version;
        m_core.noteStoreFresh();
    }
}

asio::awaitable<void> configuration_task::followPeers()
{
    while (true) {
        co_await pause(FollowPeriod);
        const auto newest = m_core.node.newestReported(boot_clock::now());
        const bool isBehind = newest.revision > m_core.configuration.revision() || (!m_core.hasReadConfiguration && !newest.listPeer.empty());
        if (!isBehind) {
            continue;
        }
        fetch_sections request;
        request.minRevision = newest.revision;
        const std::string peer = newest.revisionPeer.empty() ? newest.listPeer : newest.revisionPeer;
        const auto answer = co_await fetchFromPeer(m_core, peer, request);
        if (answer && answer.value().root.empty() && newest.revision == 0) {
            m_core.hasReadConfiguration = true;
            continue;
        }
        const auto root = answer ? parseRoot(answer.value().root) : result<configuration_root>(answer.error());
        if (root) {
            const auto adopted = co_await adopt(root.value(), peer);
            m_core.hasReadConfiguration = m_core.hasReadConfiguration || adopted.has_value();
        }
        if (m_core.configuration.revision() < newest.revision) {
            const auto read = co_await synchronise();
            if (!read) {
                m_core.numbers.add("configuration_fetch_failures_total");
                co_await pause(PauseAfterError);
            }
        }
    }
}

asio::awaitable<void> configuration_task::followList()
{
    while (true) {
        co_await pause(FollowPeriod);
        const auto newest = m_core.node.newestReported(boot_clock::now());
        const member_list *pending = m_core.node.pendingList();
        const std::uint64_t known = std::max(m_core.node.list().version, pending == nullptr ? 0 : pending->version);
        if (newest.listVersion > known) {
            fetch_sections request;
            request.hashes.push_back(MemberListName);
            const auto answer = co_await fetchFromPeer(m_core, newest.listPeer, request);
            const bool hasList = answer && !answer.value().texts.empty();
            const auto list = hasList ? parseMemberList(answer.value().texts.front().text)
                                      : result<member_list>(failure(error_code::NotFound, error_step::Receive, newest.listPeer, "no list"));
            if (list) {
                m_core.node.offerList(list.value(), boot_clock::now());
                m_core.exchange();
            } else {
                m_core.numbers.add("member_list_fetch_failures_total");
                co_await pause(PauseAfterError);
            }
        }
        pending = m_core.node.pendingList();
        if (pending == nullptr || m_core.configuration.find(pending->revision)) {
            continue;
        }
        // The assignment of that list needs a configuration that isn't in force here any more, or not yet.
        const auto root = parseRoot(pending->root);
        if (!root) {
            logError("control", "root in the member list can't be read: " + describe(root.error()));
            co_await pause(PauseAfterError);
            continue;
        }
        const auto fetched = co_await fetchMissing(root.value(), newest.listPeer);
        const auto document = m_core.configuration.join(root.value());
        if (fetched && document) {
            m_core.node.provideDocument(root.value().revision, document.value(), boot_clock::now());
            m_core.refreshApplied();
        } else {
            co_await pause(PauseAfterError);
        }
    }
}

} // namespace balsamhook
