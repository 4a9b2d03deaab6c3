#include "standins/object_memory.h"

namespace balsamhook
{

namespace
{

error conflict(const std::string &kind, const std::string &name, std::uint64_t version)
{
    return error{error_code::Conflict, error_step::Store, "", kind + "/" + name + " has version " + std::to_string(version)};
}

error overLimit(const std::string &what, std::size_t limit)
{
    return error{error_code::Overloaded, error_step::Store, "", "more " + what + " than " + std::to_string(limit)};
}

} // namespace

object_memory::object_memory(object_memory_limits limits)
    : m_limits(limits)
{
}

const object_memory::entry *object_memory::find(std::string_view kind, std::string_view name) const
{
    const auto entries = m_kinds.find(kind);
    if (entries == m_kinds.end()) {
        return nullptr;
    }
    const auto found = entries->second.find(name);
    return found == entries->second.end() ? nullptr : &found->second;
}

result<void> object_memory::checkLimits(const std::string &kind, std::size_t oldBytes, std::size_t newBytes, bool isNew) const
{
    if (isNew && m_objects >= m_limits.objects) {
        return overLimit("objects", m_limits.objects);
    }
    if (m_kinds.find(kind) == m_kinds.end() && m_kinds.size() >= m_limits.kinds) {
        return overLimit("kinds", m_limits.kinds);
    }
    if (m_bytes - oldBytes + newBytes > m_limits.bytes) {
        return overLimit("bytes", m_limits.bytes);
    }
    return success();
}

result<std::uint64_t> object_memory::put(const std::string &kind, const std::string &name, std::uint64_t expected, std::string value)
{
    const entry *current = find(kind, name);
    const std::uint64_t version = current == nullptr ? 0 : current->version;
    if (version != expected) {
        return conflict(kind, name, version);
    }
    const std::size_t oldBytes = current == nullptr ? 0 : current->value.size();
    BOOST_OUTCOME_TRY(checkLimits(kind, oldBytes, value.size(), current == nullptr));
    m_bytes = m_bytes - oldBytes + value.size();
    m_objects += current == nullptr ? 1 : 0;
    m_kinds[kind][name] = entry{++m_lastVersion, std::move(value)};
    return m_lastVersion;
}

result<void> object_memory::remove(const std::string &kind, const std::string &name, std::uint64_t expected)
{
    const entry *current = find(kind, name);
    const std::uint64_t version = current == nullptr ? 0 : current->version;
    if (version == 0 || version != expected) {
        return conflict(kind, name, version);
    }
    m_bytes -= current->value.size();
    --m_objects;
    m_kinds[kind].erase(name);
    return success();
}

std::vector<std::pair<std::string, std::uint64_t>> object_memory::list(std::string_view kind) const
{
    std::vector<std::pair<std::string, std::uint64_t>> listed;
    const auto entries = m_kinds.find(kind);
    if (entries == m_kinds.end()) {
        return listed;
    }
    for (const auto &[name, stored] : entries->second) {
        listed.emplace_back(name, stored.version);
    }
    return listed;
}

} // namespace balsamhook
