#include "catalogue/evacuation_set.h"

namespace balsamhook
{

void evacuation_set::replace(names listed)
{
    m_listed = std::move(listed);
}

void evacuation_set::insert(const std::string &name)
{
    m_listed.insert(name);
}

void evacuation_set::erase(const std::string &name)
{
    m_listed.erase(name);
    m_held.erase(name);
}

void evacuation_set::beginEra(clock::time_point now)
{
    m_held = inForce();
    m_heldUntil = now + HoldPeriod;
}

void evacuation_set::expire(clock::time_point now)
{
    if (now >= m_heldUntil) {
        m_held.clear();
    }
}

const evacuation_set::names &evacuation_set::listed() const
{
    return m_listed;
}

evacuation_set::names evacuation_set::inForce() const
{
    names all = m_listed;
    all.insert(m_held.begin(), m_held.end());
    return all;
}

} // namespace balsamhook
