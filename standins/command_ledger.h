#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace balsamhook
{

/// Counts the executions of each command key over all targets of a site, to detect commands that ran more than once. Not thread-safe.
class command_ledger
{
public:
    void record(std::string_view service, std::string_view key);

    /// Returns the number of executions of the key.
    std::uint64_t runs(std::string_view service, std::string_view key) const;

    /// Returns the keys of all services that ran more than once, as "service/key".
    std::vector<std::string> repeatedKeys() const;

    /// Returns the number of distinct keys that ran.
    std::size_t size() const;

    /// Returns the execution counts of one service as a JSON object that maps each key to its count.
    std::string json(std::string_view service) const;

private:
    std::map<std::string, std::map<std::string, std::uint64_t, std::less<>>, std::less<>> m_runs;
};

} // namespace balsamhook
