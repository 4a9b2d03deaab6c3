#include "routing/target_notices.h"

#include <algorithm>

namespace balsamhook
{

target_notices::notice &target_notices::find(const process &target)
{
    notice &known = m_notices[target.id];
    if (known.startedAt != target.startedAt) {
        known = notice();
        known.startedAt = target.startedAt;
    }
    known.expiresAt = clock::time_point::max();
    return known;
}

const target_notices::notice *target_notices::find(const process &target) const
{
    const auto found = m_notices.find(target.id);
    const bool isSameProcess = found != m_notices.end() && found->second.startedAt == target.startedAt;
    return isSameProcess ? &found->second : nullptr;
}

bool target_notices::onLeaving(const process &target)
{
    notice &known = find(target);
    const bool wasLeaving = known.isLeaving;
    known.isLeaving = true;
    return !wasLeaving;
}

void target_notices::onPause(const process &target, clock::time_point until)
{
    notice &known = find(target);
    known.pausedUntil = std::max(known.pausedUntil, until);
}

void target_notices::onRemoved(const std::string &id, clock::time_point now)
{
    std::erase_if(m_notices, [now](const auto &entry) { return entry.second.expiresAt <= now; });
    const auto found = m_notices.find(id);
    if (found != m_notices.end()) {
        found->second.expiresAt = now + RetentionPeriod;
    }
}

bool target_notices::isLeaving(const process &target) const
{
    const notice *known = find(target);
    return known != nullptr && known->isLeaving;
}

target_notices::clock::time_point target_notices::pausedUntil(const process &target) const
{
    const notice *known = find(target);
    return known == nullptr ? clock::time_point{} : known->pausedUntil;
}

} // namespace balsamhook
