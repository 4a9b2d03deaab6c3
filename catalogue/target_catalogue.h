#pragma once

#include "base/base.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace balsamhook
{

/// In the order in which a process goes through them.
enum class target_condition : std::uint8_t {
    Ready,
    Draining, ///< Shuts down soon; gets no new requests.
};

/// A target's registration in the store.
struct registered_target
{
    std::string id;
    std::string service;
    endpoint address;
    std::string dataCentre;
    unsigned slots = 1; ///< Requests it processes concurrently.
    target_condition condition = target_condition::Ready;
    std::chrono::milliseconds warmupLeft{0};
    std::int64_t startedAt = 0; ///< Unix milliseconds; distinguishes processes with the same id.
    std::int64_t heartbeat = 0; ///< Increases while the process runs.

    bool operator==(const registered_target &other) const = default;
};

/// The usable targets, derived from the registrations in the store. The store may lag, lose registrations and contain those of ended processes, above all
/// after it has come back from an older copy: a registration that had disappeared before and stands there again is then in doubt, and not used, until the
/// target writes it again. Pure logic; not thread-safe.
class target_catalogue
{
public:
    using clock = std::chrono::steady_clock;

    enum class change : std::uint8_t {
        None,
        Added,
        Updated,
        Restarted, ///< Same id, another process: its connections and statistics are obsolete.
        Removed,
    };

    struct record
    {
        registered_target target;
        clock::time_point updatedAt{}; ///< When the registration last changed or reappeared.
        bool isStale = false; ///< The registration has disappeared; last choice until the grace period ends.
        clock::time_point staleSince{};
    };

    /// A target whose registration disappeared stays as last choice for this period. Registrations also disappear while the store is unavailable and
    /// come back within about two seconds.
    static constexpr std::chrono::milliseconds StaleGracePeriod{2000};

    /// Targets that were removed are remembered for this period, in case that the store comes back from a copy that is about as old.
    static constexpr std::chrono::seconds EndedRetentionPeriod{60};

    /// Applies a registration. Ignores a registration that is older than the known one (by start, heartbeat and condition), or in doubt.
    change apply(const registered_target &entry, clock::time_point now);

    /// The registration that was deleted last said this; its heartbeat tells an older one apart. Precondition: called before markStale().
    void recordLast(const registered_target &entry);

    /// The store has begun another era. A registration that stands there after the given lifetime of registrations was written again, and is no longer in
    /// doubt.
    void beginEra(clock::time_point now, std::chrono::milliseconds registrationLifetime);

    /// Returns the registrations whose doubt has ended, to be applied.
    std::vector<registered_target> takeConfirmed(clock::time_point now);

    /// Returns the registrations that are in doubt, by id.
    const std::map<std::string, registered_target> &inDoubt() const;

    /// Marks a target as stale after its registration was deleted or became unreadable. A draining target is removed at once.
    change markStale(const std::string &id, clock::time_point now);

    /// Calls markStale() for the targets that are missing from the full list of registrations, and returns their ids.
    std::vector<std::string> markMissingStale(const std::set<std::string> &present, clock::time_point now);

    /// Removes targets whose grace period has ended and returns their ids.
    std::vector<std::string> expire(clock::time_point now);

    /// Removes all targets and returns their ids.
    std::vector<std::string> clear();

    /// Returns the record; nullptr when the target is unknown.
    const record *find(const std::string &id) const;

    const std::map<std::string, record> &records() const;

private:
    /// What a target that was removed last wrote.
    struct ended_target
    {
        std::int64_t startedAt = 0;
        std::int64_t heartbeat = 0;
        clock::time_point endedAt{};
    };

    bool isInDoubt(const registered_target &entry, clock::time_point now) const;
    std::map<std::string, record>::iterator remove(std::map<std::string, record>::iterator known, clock::time_point now);

    std::map<std::string, record> m_records;
    std::map<std::string, ended_target> m_ended; ///< Removed within the EndedRetentionPeriod.
    std::map<std::string, registered_target> m_inDoubt;
    clock::time_point m_doubtUntil{}; ///< Before this time, a registration that had disappeared is in doubt unless it is newer.
};

} // namespace balsamhook
