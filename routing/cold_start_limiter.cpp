#include "routing/cold_start_limiter.h"

#include "base/assert.h"
#include "base/hash.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

/// Two senders that both rank themselves first send 1.4 times the rate, which targets tolerate for a second.
constexpr double UsedShare = 0.7;
constexpr double MaxBurst = 1;

} // namespace

bool cold_start_limiter::allows(double rate, clock::time_point now)
{
    BALSAM_ASSERT(rate > 0);
    const double elapsed = m_filledAt == clock::time_point{} ? 0 : std::chrono::duration<double>(now - m_filledAt).count();
    m_tokens = std::min(MaxBurst, m_tokens + elapsed * rate * UsedShare);
    m_filledAt = now;
    return m_tokens >= 1;
}

void cold_start_limiter::onSent()
{
    m_tokens -= 1;
}

bool isFirstSender(const std::string &instance, const std::set<std::string> &senders, const std::string &targetId)
{
    const auto rankOf = [&targetId](const std::string &name) { return stableHash(name + "/" + targetId); };
    const std::uint64_t localRank = rankOf(instance);
    return std::none_of(senders.begin(), senders.end(), [&](const std::string &other) { return other != instance && rankOf(other) > localRank; });
}

} // namespace balsamhook
