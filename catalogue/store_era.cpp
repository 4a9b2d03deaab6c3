#include "catalogue/store_era.h"

namespace balsamhook
{

store_era::call_token store_era::beginCall() const
{
    return m_changes;
}

store_era::verdict store_era::observe(std::optional<std::uint64_t> named, call_token call)
{
    const bool beganBefore = call != m_changes;
    if (beganBefore) {
        return named ? observeHint(named) : verdict::Outdated;
    }
    if (!named) {
        return observeHint(named);
    }
    return named == m_followed ? verdict::Current : follow(*named);
}

store_era::verdict store_era::observeHint(std::optional<std::uint64_t> named)
{
    if (!named) {
        m_hasUnnamed = m_hasUnnamed || !m_followed;
        return verdict::Current;
    }
    if (named == m_followed) {
        return verdict::Current;
    }
    return named < m_followed ? verdict::Outdated : follow(*named);
}

store_era::verdict store_era::follow(std::uint64_t named)
{
    const bool isFirst = !m_followed && !m_hasUnnamed;
    m_followed = named;
    if (isFirst) {
        return verdict::Current;
    }
    ++m_changes;
    return verdict::Changed;
}

std::optional<std::uint64_t> store_era::followed() const
{
    return m_followed;
}

void store_era::reset()
{
    m_followed.reset();
    m_hasUnnamed = false;
    ++m_changes;
}

} // namespace balsamhook
