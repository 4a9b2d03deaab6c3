#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace balsamhook
{

/// Detects data centres that are unreachable from this instance, as after a network cut or a power loss there. Their targets are excluded together instead
/// of one by one, so that queries don't wait for each unreachable shard. Pure logic; not thread-safe.
class data_centre_monitor
{
public:
    using clock = std::chrono::steady_clock;

    /// A data centre without activity for this long is unreachable when it has enough overdue targets. Longer than a pause or a slow request of a target.
    static constexpr std::chrono::milliseconds SilenceTimeout{400};
    /// Fewer overdue targets may be failures of single targets.
    static constexpr std::size_t MinOverdueTargets = 3;

    /// Records that a target of the data centre sent a response or a reset, or accepted a connection. The data centre is reachable again.
    void onActivity(const std::string &dataCentre, clock::time_point now);

    /// Updates the state of one data centre; to be called a few times per second. overdue: number of its targets with a request in flight for longer than
    /// SilenceTimeout. Returns true when the data centre became unreachable.
    bool update(const std::string &dataCentre, std::size_t overdue, clock::time_point now);

    bool isUnreachable(const std::string &dataCentre) const;

    std::vector<std::string> unreachable() const;

private:
    struct state
    {
        clock::time_point lastActivityAt{};
        int suspectUpdates = 0; ///< Consecutive updates with enough overdue targets and no activity.
        bool isUnreachable = false;
    };

    std::map<std::string, state> m_dataCentres;
};

} // namespace balsamhook
