#include "base/counters.h"

namespace balsamhook
{

void counters::add(std::string_view name, std::int64_t amount)
{
    const auto found = m_values.find(name);
    if (found != m_values.end()) {
        found->second += amount;
        return;
    }
    m_values.emplace(std::string(name), amount);
}

void counters::set(std::string_view name, std::int64_t value)
{
    m_values.insert_or_assign(std::string(name), value);
}

std::int64_t counters::value(std::string_view name) const
{
    const auto found = m_values.find(name);
    return found == m_values.end() ? 0 : found->second;
}

std::string counters::text() const
{
    std::string text;
    for (const auto &[name, value] : m_values) {
        text += "balsam_" + name + " " + std::to_string(value) + "\n";
    }
    return text;
}

} // namespace balsamhook
