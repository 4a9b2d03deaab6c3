#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace balsamhook
{

/// Counts how often each command key ran, over all targets of a site. Not thread-safe.
class credit_ledger
{
public:
    void record(std::string_view service, std::string_view key);

    /// Returns how often the key ran.
    std::uint64_t runs(std::string_view service, std::string_view key) const;

    /// Returns the keys of all services that ran more than once, as "service/key".
    std::vector<std::string> repeatedKeys() const;

    /// Returns the number of different keys that ran.
    std::size_t size() const;

    /// Returns the run counts of one service as a JSON object, key to count.
    std::string json(std::string_view service) const;

private:
    std::map<std::string, std::map<std::string, std::uint64_t, std::less<>>, std::less<>> m_runs;
};

} // namespace balsamhook
