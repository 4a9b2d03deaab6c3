#include "catalogue/target_catalogue.h"

#include <tuple>

namespace balsamhook
{

target_catalogue::change target_catalogue::apply(const registered_target &entry, clock::time_point now)
{
    const auto found = m_records.find(entry.id);
    if (found == m_records.end()) {
        m_records.emplace(entry.id, record{entry, now, false, {}});
        return change::Added;
    }
    record &known = found->second;
    const bool isOutdated = std::tie(entry.startedAt, entry.heartbeat) < std::tie(known.target.startedAt, known.target.heartbeat);
    if (isOutdated || (entry == known.target && !known.isStale)) {
        return change::None;
    }
    const bool restarted = entry.startedAt != known.target.startedAt || entry.address != known.target.address || entry.service != known.target.service;
    known = record{entry, now, false, {}};
    return restarted ? change::Restarted : change::Updated;
}

target_catalogue::change target_catalogue::markStale(const std::string &id, clock::time_point now)
{
    const auto found = m_records.find(id);
    if (found == m_records.end()) {
        return change::None;
    }
    record &known = found->second;
    if (known.target.condition == target_condition::Draining) {
        m_records.erase(found);
        return change::Removed;
    }
    if (known.isStale) {
        return change::None;
    }
    known.isStale = true;
    known.staleSince = now;
    return change::Updated;
}

std::vector<std::string> target_catalogue::markMissingStale(const std::set<std::string> &present, clock::time_point now)
{
    std::vector<std::string> missing;
    for (const auto &[id, known] : m_records) {
        if (present.count(id) == 0) {
            missing.push_back(id);
        }
    }
    for (const std::string &id : missing) {
        markStale(id, now);
    }
    return missing;
}

std::vector<std::string> target_catalogue::expire(clock::time_point now)
{
    std::vector<std::string> removed;
    for (auto it = m_records.begin(); it != m_records.end();) {
        if (it->second.isStale && now - it->second.staleSince >= StaleGracePeriod) {
            removed.push_back(it->first);
            it = m_records.erase(it);
        } else {
            ++it;
        }
    }
    return removed;
}

std::vector<std::string> target_catalogue::clear()
{
    std::vector<std::string> removed;
    removed.reserve(m_records.size());
    for (const auto &[id, known] : m_records) {
        removed.push_back(id);
    }
    m_records.clear();
    return removed;
}

const target_catalogue::record *target_catalogue::find(const std::string &id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

const std::map<std::string, target_catalogue::record> &target_catalogue::records() const
{
    return m_records;
}

} // namespace balsamhook
