#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace balsamhook
{

/// What targets have said of themselves in their responses to this instance: that they leave, or that they want no requests for a while. It holds whatever
/// the store says of them meanwhile, also if their registration lapses and comes back. Pure logic; not thread-safe.
class target_notices
{
public:
    using clock = std::chrono::steady_clock;

    /// One process of a target. A process that starts again under the same id is another one.
    struct process
    {
        std::string id;
        std::int64_t startedAt = 0; ///< Unix milliseconds.
    };

    /// A notice is kept for this long after the registration of its target has disappeared.
    static constexpr std::chrono::seconds RetentionPeriod{300};

    /// The target has announced that it leaves. Returns true unless that was known.
    bool onLeaving(const process &target);

    /// The target has refused a request and wants no further ones until the given time. An earlier end than the known one is ignored.
    void onPause(const process &target, clock::time_point until);

    /// To be called when the registration of a target was removed.
    void onRemoved(const std::string &id, clock::time_point now);

    bool isLeaving(const process &target) const;

    /// Returns the end of the pause that the target has asked for; the clock's epoch if it has asked for none.
    clock::time_point pausedUntil(const process &target) const;

private:
    struct notice
    {
        std::int64_t startedAt = 0;
        bool isLeaving = false;
        clock::time_point pausedUntil{};
        clock::time_point expiresAt = clock::time_point::max();
    };

    notice &find(const process &target);
    const notice *find(const process &target) const;

    std::map<std::string, notice> m_notices; ///< By id.
};

} // namespace balsamhook
