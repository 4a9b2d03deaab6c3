#include "routing/data_centre_monitor.h"

namespace balsamhook
{

namespace
{

/// One review alone may come after this process itself stood still, before it has read what arrived meanwhile.
constexpr int ReviewsUntilSilent = 2;

} // namespace

void data_centre_watch::onSign(const std::string &dataCentre, clock::time_point now)
{
    m_dataCentres[dataCentre] = state{now, 0, false};
}

bool data_centre_watch::review(const std::string &dataCentre, std::size_t overdue, clock::time_point now)
{
    state &known = m_dataCentres[dataCentre];
    if (known.isSilent) {
        return false;
    }
    const bool isSuspect = overdue >= FewestOverdue && now - known.signAt > SilentTime;
    known.suspicions = isSuspect ? known.suspicions + 1 : 0;
    known.isSilent = known.suspicions >= ReviewsUntilSilent;
    return known.isSilent;
}

bool data_centre_watch::isSilent(const std::string &dataCentre) const
{
    const auto found = m_dataCentres.find(dataCentre);
    return found != m_dataCentres.end() && found->second.isSilent;
}

std::vector<std::string> data_centre_watch::silent() const
{
    std::vector<std::string> names;
    for (const auto &[name, known] : m_dataCentres) {
        if (known.isSilent) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace balsamhook
