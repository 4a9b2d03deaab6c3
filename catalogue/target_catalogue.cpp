#include "catalogue/target_catalogue.h"

#include <algorithm>
#include <tuple>

namespace balsamhook
{

target_catalogue::change target_catalogue::apply(const registered_target &entry, clock::time_point now)
{
    if (isInDoubt(entry, now)) {
        m_inDoubt.insert_or_assign(entry.id, entry);
        return change::None;
    }
    m_inDoubt.erase(entry.id);
    m_ended.erase(entry.id);
    const auto found = m_records.find(entry.id);
    if (found == m_records.end()) {
        m_records.emplace(entry.id, record{entry, now, false, {}});
        return change::Added;
    }
    record &known = found->second;
    const registered_target &last = known.target;
    const bool isOutdated = std::tie(entry.startedAt, entry.heartbeat, entry.condition) < std::tie(last.startedAt, last.heartbeat, last.condition);
    if (isOutdated || (entry == known.target && !known.isStale)) {
        return change::None;
    }
    const bool restarted = entry.startedAt != known.target.startedAt || entry.address != known.target.address || entry.service != known.target.service;
    known = record{entry, now, false, {}};
    return restarted ? change::Restarted : change::Updated;
}

bool target_catalogue::isInDoubt(const registered_target &entry, clock::time_point now) const
{
    if (now >= m_doubtUntil) {
        return false;
    }
    if (const auto known = m_records.find(entry.id); known != m_records.end()) {
        const registered_target &last = known->second.target;
        return known->second.isStale && std::tie(entry.startedAt, entry.heartbeat) <= std::tie(last.startedAt, last.heartbeat);
    }
    const auto ended = m_ended.find(entry.id);
    return ended != m_ended.end() && std::tie(entry.startedAt, entry.heartbeat) <= std::tie(ended->second.startedAt, ended->second.heartbeat);
}

void target_catalogue::recordLast(const registered_target &entry)
{
    const auto known = m_records.find(entry.id);
    if (known != m_records.end() && known->second.target.startedAt == entry.startedAt) {
        known->second.target.heartbeat = std::max(known->second.target.heartbeat, entry.heartbeat);
    }
}

void target_catalogue::beginEra(clock::time_point now, std::chrono::milliseconds registrationLifetime)
{
    m_doubtUntil = now + registrationLifetime;
    m_inDoubt.clear();
}

std::vector<registered_target> target_catalogue::takeConfirmed(clock::time_point now)
{
    std::vector<registered_target> confirmed;
    if (now < m_doubtUntil) {
        return confirmed;
    }
    for (auto &[id, entry] : m_inDoubt) {
        confirmed.push_back(std::move(entry));
    }
    m_inDoubt.clear();
    return confirmed;
}

const std::map<std::string, registered_target> &target_catalogue::inDoubt() const
{
    return m_inDoubt;
}

std::map<std::string, target_catalogue::record>::iterator target_catalogue::remove(std::map<std::string, record>::iterator known, clock::time_point now)
{
    m_ended[known->first] = {known->second.target.startedAt, known->second.target.heartbeat, now};
    return m_records.erase(known);
}

target_catalogue::change target_catalogue::markStale(const std::string &id, clock::time_point now)
{
    m_inDoubt.erase(id);
    const auto found = m_records.find(id);
    if (found == m_records.end()) {
        return change::None;
    }
    record &known = found->second;
    if (known.target.condition == target_condition::Draining) {
        remove(found, now);
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
    std::erase_if(m_inDoubt, [&present](const auto &entry) { return present.count(entry.first) == 0; });
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
    std::erase_if(m_ended, [now](const auto &entry) { return now - entry.second.endedAt >= EndedRetentionPeriod; });
    std::vector<std::string> removed;
    for (auto it = m_records.begin(); it != m_records.end();) {
        if (it->second.isStale && now - it->second.staleSince >= StaleGracePeriod) {
            removed.push_back(it->first);
            it = remove(it, now);
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
    m_ended.clear();
    m_inDoubt.clear();
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
