#include "standins/command_ledger.h"

#include <nlohmann/json.hpp>

namespace balsamhook
{

void command_ledger::record(std::string_view service, std::string_view key)
{
    ++m_runs[std::string(service)][std::string(key)];
}

std::uint64_t command_ledger::runs(std::string_view service, std::string_view key) const
{
    const auto keys = m_runs.find(service);
    if (keys == m_runs.end()) {
        return 0;
    }
    const auto found = keys->second.find(key);
    return found == keys->second.end() ? 0 : found->second;
}

std::vector<std::string> command_ledger::repeatedKeys() const
{
    std::vector<std::string> repeated;
    for (const auto &[service, keys] : m_runs) {
        for (const auto &[key, count] : keys) {
            if (count > 1) {
                repeated.push_back(service + "/" + key);
            }
        }
    }
    return repeated;
}

std::size_t command_ledger::size() const
{
    std::size_t total = 0;
    for (const auto &[service, keys] : m_runs) {
        total += keys.size();
    }
    return total;
}

std::string command_ledger::json(std::string_view service) const
{
    const auto keys = m_runs.find(service);
    return keys == m_runs.end() ? std::string("{}") : nlohmann::json(keys->second).dump();
}

} // namespace balsamhook
