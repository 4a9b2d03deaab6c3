#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace balsamhook
{

/// Tells which data centres don't answer this instance at all, as after a cut between data centres or a loss of power there. Their targets are left alone
/// together, instead of one after the other. Answers the load of queries that each wait for shards that can't be reached. Pure logic; not thread-safe.
class data_centre_watch
{
public:
    using clock = std::chrono::steady_clock;

    /// Requests that wait for longer than this without any sign of their data centre make it silent; longer than pauses and slow requests of targets.
    static constexpr std::chrono::milliseconds SilentTime{400};
    /// That many targets have to be overdue: a single one may be at fault itself.
    static constexpr std::size_t FewestOverdue = 3;

    /// A target of the data centre answered, refused or reset something, or accepted a connection.
    void onSign(const std::string &dataCentre, clock::time_point now);

    /// Looks at one data centre; to be called a few times a second. Overdue: its targets with a request that has waited for longer than SilentTime.
    /// Returns true when the data centre turned silent.
    bool review(const std::string &dataCentre, std::size_t overdue, clock::time_point now);

    bool isSilent(const std::string &dataCentre) const;

    std::vector<std::string> silent() const;

private:
    struct state
    {
        clock::time_point signAt{};
        int suspicions = 0; ///< Reviews in a row that found it silent.
        bool isSilent = false;
    };

    std::map<std::string, state> m_dataCentres;
};

} // namespace balsamhook
