/// Measures how the cost of membership grows with the number of instances. The decision logic of all instances runs in this process with
/// simulated time and an in-memory store. Prints one JSON object; scripts/bench membership stores it under bench/results/.

#include "membership/membership.h"

#include <ctime>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace balsamhook;
using namespace std::chrono_literals;

namespace
{

constexpr auto Step = 100ms;
constexpr std::size_t DataCentres = 7;
constexpr std::size_t UdpHeaderBytes = 28;

std::chrono::nanoseconds cpuTime()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

member_entry makeEntry(std::size_t number)
{
    member_entry entry;
    entry.instance = "i" + std::to_string(number);
    entry.dataCentre = "dc" + std::to_string(number % DataCentres);
    entry.frontEndpoint = "10.10.100.100:8080";
    entry.dispatchEndpoint = "10.10.100.100:7001";
    entry.controlEndpoint = entry.instance + "-control";
    entry.gossipEndpoint = entry.instance;
    entry.operatorEndpoint = "10.10.100.100:7080";
    return entry;
}

document_pointer makeDocument(std::size_t targetCount)
{
    auto document = std::make_shared<configuration_document>();
    for (std::size_t i = 0; i < DataCentres; ++i) {
        document->dataCentres.push_back({"dc" + std::to_string(i), false});
    }
    service_configuration service;
    service.name = "s";
    for (std::size_t i = 0; i < targetCount; ++i) {
        target_configuration target;
        target.name = "t" + std::to_string(i);
        target.dataCentre = "dc" + std::to_string(i % DataCentres);
        if (i % 2 == 0) {
            service.shards.push_back({std::to_string(i / 2), {}});
        }
        service.shards.back().targets.push_back(target.name);
        document->targets.push_back(std::move(target));
    }
    document->services.push_back(std::move(service));
    return document;
}

/// All instances, a store that responds immediately, and a network that delivers datagrams at the next step.
class fleet
{
public:
    explicit fleet(std::size_t size)
        : m_document(makeDocument(size * 15 / 2))
    {
        for (std::size_t i = 0; i < size; ++i) {
            m_nodes.push_back(std::make_unique<membership_node>(makeEntry(i), "n" + std::to_string(i), membership_settings(), i + 1));
        }
    }

    void run(std::chrono::milliseconds duration)
    {
        for (auto elapsed = 0ms; elapsed < duration; elapsed += Step) {
            step();
        }
    }

    void resetCounters()
    {
        datagrams = 0;
        bytes = 0;
        writes = 0;
        reads = 0;
    }

    /// Returns the number of instances that are members and entitled.
    std::size_t countEntitled() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_nodes.begin(), m_nodes.end(), [&](const auto &node) { return node->isMember() && node->entitledUntil(m_now) > m_now; }));
    }

    std::size_t datagrams = 0;
    std::size_t bytes = 0;
    std::size_t writes = 0;
    std::size_t reads = 0;

private:
    void step()
    {
        m_now += Step;
        auto delivered = std::move(m_sent);
        m_sent.clear();
        for (const auto &[to, content] : delivered) {
            const auto decoded = decodeMessage(content);
            m_nodes[to]->receive(std::get<gossip>(decoded.value()), m_now);
        }
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            membership_node &node = *m_nodes[i];
            node.provideDocument(1, m_document, m_now);
            node.setNewestRoot(1, "1");
            offerNewerList(node);
            execute(i, node.tick(m_now));
            node.setApplied(1, node.list().version);
            node.updateState(m_now);
            execute(i, node.runUrgentWork(m_now));
        }
    }

    void offerNewerList(membership_node &node)
    {
        const auto newest = node.newestReported(m_now);
        for (const auto &peer : m_nodes) {
            if (newest.listVersion > node.list().version && peer->list().version >= newest.listVersion) {
                node.offerList(peer->list(), m_now);
                return;
            }
        }
    }

    void execute(std::size_t from, std::vector<membership_action> actions)
    {
        for (membership_action &action : actions) {
            if (auto *sent = std::get_if<send_gossip>(&action)) {
                std::string content = encodeMessage(sent->content);
                ++datagrams;
                bytes += content.size() + UdpHeaderBytes;
                m_sent.emplace_back(std::stoul(sent->peerEndpoint.substr(1)), std::move(content));
            } else if (const auto *write = std::get_if<write_object>(&action)) {
                ++writes;
                stored_object &object = m_objects[write->kind + "/" + write->name];
                if (object.version == write->expected) {
                    object = {object.version + 1, write->value};
                }
                completeStoreCall(from, write->kind, write->name);
            } else if (const auto *read = std::get_if<read_object>(&action)) {
                ++reads;
                completeStoreCall(from, read->kind, read->name);
            }
        }
    }

    void completeStoreCall(std::size_t from, const std::string &kind, const std::string &name)
    {
        const stored_object &object = m_objects[kind + "/" + name];
        m_nodes[from]->onObjectRead(kind, name, object.version == 0 ? std::nullopt : std::optional(object), m_now);
    }

    document_pointer m_document;
    std::vector<std::unique_ptr<membership_node>> m_nodes;
    boot_clock::time_point m_now{1h};
    std::vector<std::pair<std::size_t, std::string>> m_sent;
    std::map<std::string, stored_object> m_objects;
};

nlohmann::json measureFleet(std::size_t size)
{
    constexpr auto WarmUpPeriod = 30s;
    constexpr auto MeasurementPeriod = 10s;
    fleet instances(size);
    instances.run(WarmUpPeriod);
    instances.resetCounters();
    const auto before = cpuTime();
    instances.run(MeasurementPeriod);
    const double seconds = std::chrono::duration<double>(MeasurementPeriod).count();
    const double instanceSeconds = seconds * static_cast<double>(size);
    const double cpuShare = static_cast<double>((cpuTime() - before).count()) / 1e9 / instanceSeconds;
    return {{"entitled", instances.countEntitled()},
            {"datagrams_per_instance_second", static_cast<double>(instances.datagrams) / instanceSeconds},
            {"bytes_per_instance_second", static_cast<double>(instances.bytes) / instanceSeconds},
            {"store_writes_per_second", static_cast<double>(instances.writes) / seconds},
            {"store_reads_per_second", static_cast<double>(instances.reads) / seconds},
            {"core_percent_per_instance", 100.0 * cpuShare}};
}

nlohmann::json measureAssignment(std::size_t memberCount, std::size_t targetCount)
{
    std::vector<member_entry> entries;
    for (std::size_t i = 0; i < memberCount; ++i) {
        entries.push_back(makeEntry(i));
    }
    const document_pointer document = makeDocument(targetCount);
    const auto before = cpuTime();
    const owner_map owners = assignTargets(entries, *document);
    const auto duration = cpuTime() - before;
    entries.pop_back();
    const owner_map ownersAfterLeave = assignTargets(entries, *document);
    const auto moved
        = std::count_if(owners.begin(), owners.end(), [&ownersAfterLeave](const auto &entry) { return ownersAfterLeave.at(entry.first) != entry.second; });
    return {{"processor_ms", static_cast<double>(duration.count()) / 1e6}, {"moved_when_one_leaves", moved}, {"targets", targetCount}};
}

} // namespace

int main()
{
    nlohmann::json report;
    for (const std::size_t size : {7, 20, 60, 120}) {
        report["fleet"][std::to_string(size)] = measureFleet(size);
    }
    for (const auto &[memberCount, targetCount] : {std::pair<std::size_t, std::size_t>(7, 108), {60, 450}, {400, 3000}}) {
        report["assignment"][std::to_string(memberCount)] = measureAssignment(memberCount, targetCount);
    }
    std::cout << report.dump(2) << '\n';
    return 0;
}
