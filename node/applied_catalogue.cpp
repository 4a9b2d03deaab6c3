#include "node/applied_catalogue.h"

namespace balsamhook
{

using json = nlohmann::json;

namespace
{

constexpr std::chrono::milliseconds ExpireInterval{250};
/// The store removes a registration after as many heartbeat intervals without a write.
constexpr int HeartbeatsPerRegistration = 3;
/// Time that the removal of a registration takes to arrive here.
constexpr std::chrono::milliseconds RegistrationMargin{1000};

} // namespace

applied_catalogue::applied_catalogue(node_context &context, handlers callbacks)
    : m_context(context)
    , m_handlers(std::move(callbacks))
{
}

void applied_catalogue::start()
{
    expire();
}

void applied_catalogue::discard()
{
    // A request that arrives later must not be routed by a catalogue that isn't synchronised any more.
    m_hasConfiguration = false;
    m_handlers.onConfiguration(nullptr);
    for (const std::string &id : m_targets.clear()) {
        m_handlers.onTargetRemoved(id);
    }
}

void applied_catalogue::apply(const std::string &kind, const store_object &object, bool isDeleted)
{
    if (kind == platform_kind::Configuration) {
        if (object.name == ConfigurationObject && !isDeleted) {
            applyConfiguration(object.spec, "store");
        }
        return;
    }
    if (kind == platform_kind::Targets) {
        if (isDeleted) {
            m_unreadableTargets.erase(object.name);
            if (const auto last = decodeTarget(object.name, object.spec)) {
                m_targets.recordLast(last.value());
            }
            markTargetStale(object.name);
        } else {
            applyTarget(object.name, object.spec);
        }
        return;
    }
    if (isDeleted) {
        m_evacuations.erase(object.name);
    } else {
        m_evacuations.insert(object.name);
    }
    publishEvacuations();
}

void applied_catalogue::retain(const std::string &kind, const std::set<std::string> &listed)
{
    if (kind == platform_kind::Evacuations) {
        replaceEvacuations(listed);
        return;
    }
    if (kind == platform_kind::Targets) {
        retainTargets(listed);
    }
}

void applied_catalogue::retainTargets(const std::set<std::string> &listed)
{
    std::erase_if(m_unreadableTargets, [&listed](const std::string &id) { return listed.count(id) == 0; });
    for (const std::string &id : m_targets.markMissingStale(listed, clock::now())) {
        if (const auto *record = m_targets.find(id)) {
            m_handlers.onTarget(*record, false);
        } else {
            m_handlers.onTargetRemoved(id);
        }
    }
}

void applied_catalogue::applyConfiguration(const json &spec, std::string_view source)
{
    const auto decoded = decodeConfiguration(spec);
    const auto now = clock::now();
    if (!decoded) {
        m_context.log.write(event_class::StateChange, event_line("catalogue", "configuration_invalid").add("reason", describe(decoded.error())), now);
        return;
    }
    const std::uint64_t version = decoded.value()->version();
    // A response that arrives late must not bring back an older version.
    if (version < m_configurationVersion || (version == m_configurationVersion && m_hasConfiguration)) {
        return;
    }
    m_context.log.write(event_class::StateChange,
                        event_line("catalogue", "configuration_applied")
                            .add("version", version)
                            .add("previous", m_configurationVersion)
                            .add("routes", static_cast<std::uint64_t>(decoded.value()->routes().size()))
                            .add("source", source),
                        now);
    m_configurationVersion = version;
    m_hasConfiguration = true;
    m_configurationRecord = spec;
    m_handlers.onConfiguration(decoded.value());
}

void applied_catalogue::applyTarget(const std::string &id, const json &spec)
{
    const auto now = clock::now();
    const auto decoded = decodeTarget(id, spec);
    if (!decoded) {
        if (m_unreadableTargets.insert(id).second) {
            m_context.log.write(
                event_class::StateChange, event_line("catalogue", "target_invalid").add("target", id).add("reason", describe(decoded.error())), now);
        }
        markTargetStale(id);
        return;
    }
    m_unreadableTargets.erase(id);
    applyRegistration(decoded.value());
}

void applied_catalogue::applyRegistration(const registered_target &target)
{
    const auto now = clock::now();
    const target_catalogue::change change = m_targets.apply(target, now);
    if (change == target_catalogue::change::None) {
        return;
    }
    m_handlers.onTarget(*m_targets.find(target.id), change == target_catalogue::change::Restarted);
    m_context.log.write(event_class::StateChange,
                        event_line("catalogue", change == target_catalogue::change::Added ? "target_added" : "target_updated")
                            .add("target", target.id)
                            .add("service", target.service)
                            .add("address", describe(target.address))
                            .add("draining", target.condition == target_condition::Draining)
                            .add("warmup_ms", target.warmupLeft.count())
                            .add("heartbeat", target.heartbeat),
                        now);
}

void applied_catalogue::replaceTargets(const std::map<std::string, json> &specs)
{
    std::set<std::string> listed;
    for (const auto &[id, spec] : specs) {
        listed.insert(id);
        applyTarget(id, spec);
    }
    retainTargets(listed);
}

void applied_catalogue::markTargetStale(const std::string &id)
{
    const auto now = clock::now();
    const target_catalogue::change change = m_targets.markStale(id, now);
    if (change == target_catalogue::change::None) {
        return;
    }
    m_context.log.write(event_class::StateChange, event_line("catalogue", "target_stale").add("target", id), now);
    if (change == target_catalogue::change::Removed) {
        m_handlers.onTargetRemoved(id);
    } else {
        m_handlers.onTarget(*m_targets.find(id), false);
    }
}

void applied_catalogue::beginEra()
{
    const auto now = clock::now();
    m_evacuations.beginEra(now);
    m_targets.beginEra(now, m_context.settings.targetHeartbeat * HeartbeatsPerRegistration + RegistrationMargin);
}

void applied_catalogue::expire()
{
    const auto now = clock::now();
    expireTargets(now);
    m_evacuations.expire(now);
    if (m_hasConfiguration) {
        publishEvacuations();
    }
    m_context.timers.start(now + ExpireInterval, [this] { expire(); });
}

void applied_catalogue::expireTargets(clock::time_point now)
{
    for (const std::string &id : m_targets.expire(now)) {
        m_context.log.write(event_class::StateChange, event_line("catalogue", "target_removed").add("target", id), now);
        m_handlers.onTargetRemoved(id);
    }
    for (const registered_target &target : m_targets.takeConfirmed(now)) {
        applyRegistration(target);
    }
}

void applied_catalogue::replaceEvacuations(std::set<std::string> dataCentres)
{
    m_evacuations.replace(std::move(dataCentres));
    publishEvacuations();
}

void applied_catalogue::publishEvacuations()
{
    std::set<std::string> inForce = m_evacuations.inForce();
    if (inForce == m_publishedEvacuations) {
        return;
    }
    m_publishedEvacuations = std::move(inForce);
    std::string names;
    for (const std::string &name : m_publishedEvacuations) {
        names.append(names.empty() ? "" : ",").append(name);
    }
    m_context.log.write(event_class::StateChange, event_line("catalogue", "evacuations").add("data_centres", names), clock::now());
    m_handlers.onEvacuations(m_publishedEvacuations);
}

std::map<std::string, json> applied_catalogue::targetRecords() const
{
    std::map<std::string, json> encoded;
    for (const auto &[id, record] : m_targets.records()) {
        if (!record.isStale) {
            encoded.emplace(id, encodeTarget(record.target));
        }
    }
    for (const auto &[id, target] : m_targets.inDoubt()) {
        encoded.emplace(id, encodeTarget(target));
    }
    return encoded;
}

bool applied_catalogue::hasConfiguration() const
{
    return m_hasConfiguration;
}

std::uint64_t applied_catalogue::configurationVersion() const
{
    return m_configurationVersion;
}

const json &applied_catalogue::configurationRecord() const
{
    return m_configurationRecord;
}

const std::set<std::string> &applied_catalogue::evacuations() const
{
    return m_evacuations.listed();
}

} // namespace balsamhook
