#include "routing/data_centre_monitor.h"

namespace balsamhook
{

namespace
{

/// The first update after a pause of this process may precede the reading of data that arrived during the pause.
constexpr int MinSuspectUpdates = 2;

} // namespace

void data_centre_monitor::onActivity(const std::string &dataCentre, clock::time_point now)
{
    m_dataCentres[dataCentre] = state{now, 0, false};
}

bool data_centre_monitor::update(const std::string &dataCentre, std::size_t overdue, clock::time_point now)
{
    state &known = m_dataCentres[dataCentre];
    if (known.isUnreachable) {
        return false;
    }
    const bool isSuspect = overdue >= MinOverdueTargets && now - known.lastActivityAt > SilenceTimeout;
    known.suspectUpdates = isSuspect ? known.suspectUpdates + 1 : 0;
    known.isUnreachable = known.suspectUpdates >= MinSuspectUpdates;
    return known.isUnreachable;
}

bool data_centre_monitor::isUnreachable(const std::string &dataCentre) const
{
    const auto found = m_dataCentres.find(dataCentre);
    return found != m_dataCentres.end() && found->second.isUnreachable;
}

std::vector<std::string> data_centre_monitor::unreachable() const
{
    std::vector<std::string> names;
    for (const auto &[name, known] : m_dataCentres) {
        if (known.isUnreachable) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace balsamhook
