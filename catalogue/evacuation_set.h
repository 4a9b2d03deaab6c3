#pragma once

#include <chrono>
#include <set>
#include <string>

namespace balsamhook
{

/// Names of the evacuated data centres. Pure logic; not thread-safe.
class evacuation_set
{
public:
    using clock = std::chrono::steady_clock;
    using names = std::set<std::string>;

    /// In another era of the store, an evacuation that isn't listed holds for this period, in which the operator can write it again.
    static constexpr std::chrono::milliseconds HoldPeriod{5000};

    /// Replaces what is listed in the store.
    void replace(names listed);

    void insert(const std::string &name);

    /// An evacuation was taken back: it holds no longer, listed or not.
    void erase(const std::string &name);

    /// The store has begun another era and may lack what it had acknowledged before.
    void beginEra(clock::time_point now);

    /// Ends the evacuations that were not written again in their HoldPeriod.
    void expire(clock::time_point now);

    /// Returns the evacuations that are listed in the store, for peers.
    const names &listed() const;

    /// Returns all evacuations that are in force.
    names inForce() const;

private:
    names m_listed;
    names m_held; ///< Of an earlier era, until m_heldUntil.
    clock::time_point m_heldUntil{};
};

} // namespace balsamhook
