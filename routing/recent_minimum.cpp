#include "routing/recent_minimum.h"

#include "base/assert.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

constexpr std::chrono::seconds Period{30};

} // namespace

void recent_minimum::add(double value, clock::time_point now)
{
    if (now >= m_periodEndsAt) {
        m_previous = isEmpty() ? value : m_current;
        m_current = value;
        m_periodEndsAt = now + Period;
    }
    m_current = std::min(m_current, value);
}

bool recent_minimum::isEmpty() const
{
    return m_periodEndsAt == clock::time_point{};
}

double recent_minimum::value() const
{
    BALSAM_ASSERT(!isEmpty());
    return std::min(m_current, m_previous);
}

} // namespace balsamhook
