#include "standins/memory_object_store.h"

namespace balsamhook
{

namespace
{

error versionConflict(const std::string &kind, const std::string &name, std::uint64_t version)
{
    return error{error_code::Conflict, error_step::Store, "", kind + "/" + name + " has version " + std::to_string(version)};
}

error limitExceeded(const std::string &what, std::size_t limit)
{
    return error{error_code::Overloaded, error_step::Store, "", "too many " + what + ", the limit is " + std::to_string(limit)};
}

} // namespace

memory_object_store::memory_object_store(memory_object_store_limits limits)
    : m_limits(limits)
{
}

const memory_object_store::entry *memory_object_store::find(std::string_view kind, std::string_view name) const
{
    const auto entries = m_kinds.find(kind);
    if (entries == m_kinds.end()) {
        return nullptr;
    }
    const auto found = entries->second.find(name);
    return found == entries->second.end() ? nullptr : &found->second;
}

result<void> memory_object_store::checkLimits(const std::string &kind, std::size_t oldBytes, std::size_t newBytes, bool isNew) const
{
    if (isNew && m_objects >= m_limits.objects) {
        return limitExceeded("objects", m_limits.objects);
    }
    if (m_kinds.find(kind) == m_kinds.end() && m_kinds.size() >= m_limits.kinds) {
        return limitExceeded("kinds", m_limits.kinds);
    }
    if (m_bytes - oldBytes + newBytes > m_limits.bytes) {
        return limitExceeded("bytes", m_limits.bytes);
    }
    return success();
}

result<std::uint64_t> memory_object_store::put(const std::string &kind, const std::string &name, std::uint64_t expected, std::string value)
{
    const entry *current = find(kind, name);
    const std::uint64_t version = current == nullptr ? 0 : current->version;
    if (version != expected) {
        return versionConflict(kind, name, version);
    }
    const std::size_t oldBytes = current == nullptr ? 0 : current->value.size();
    BOOST_OUTCOME_TRY(checkLimits(kind, oldBytes, value.size(), current == nullptr));
    m_bytes = m_bytes - oldBytes + value.size();
    m_objects += current == nullptr ? 1 : 0;
    m_kinds[kind][name] = entry{++m_lastVersion, std::move(value)};
    return m_lastVersion;
}

result<void> memory_object_store::remove(const std::string &kind, const std::string &name, std::uint64_t expected)
{
    const entry *current = find(kind, name);
    const std::uint64_t version = current == nullptr ? 0 : current->version;
    if (version == 0 || version != expected) {
        return versionConflict(kind, name, version);
    }
    m_bytes -= current->value.size();
    --m_objects;
    m_kinds[kind].erase(name);
    return success();
}

std::vector<std::pair<std::string, std::uint64_t>> memory_object_store::list(std::string_view kind) const
{
    std::vector<std::pair<std::string, std::uint64_t>> listing;
    const auto entries = m_kinds.find(kind);
    if (entries == m_kinds.end()) {
        return listing;
    }
    for (const auto &[name, stored] : entries->second) {
        listing.emplace_back(name, stored.version);
    }
    return listing;
}

} // namespace balsamhook
