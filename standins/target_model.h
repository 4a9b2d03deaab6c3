#pragma once

#include "base/base.h"
#include "standins/site.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace balsamhook
{

/// Whether a target takes a request. Draining and Shedding mean that it was not started.
enum class target_admission : std::uint8_t {
    Accepted,
    Draining,
    Shedding,
};

/// Work that got a slot, and how long it takes.
struct started_work
{
    std::uint64_t id = 0;
    std::chrono::microseconds duration{0};
};

/// What a target has seen so far. Counts go on over restarts.
struct target_figures
{
    std::uint64_t searches = 0;
    std::uint64_t executions = 0;
    std::uint32_t peakConcurrent = 0; ///< Running and queued in the target.
    std::uint32_t peakConnections = 0;
    std::uint64_t coldViolations = 0; ///< Requests taken in cold start while cold_slots others were present.
    std::uint64_t connectionViolations = 0; ///< Connections beyond the cap.
    std::uint64_t shed = 0;
    std::uint64_t crashes = 0;
};

/// Slots, queue, cold start and connection cap of one target, without sockets and clocks. Not thread-safe.
class target_model
{
public:
    using time_point = boot_clock::time_point;

    target_model(site_target shape, service_behaviour behaviour, std::uint64_t seed);

    /// Begins a new incarnation: no work, no connections, cold. Call it once before use.
    void restart(time_point now);

    /// Falls back into cold start within the same incarnation.
    void makeCold(time_point now);
    void makeWarm();
    void setDraining(bool draining);

    /// Adds to each service time, for a permanently slow target.
    void setExtraDelay(std::chrono::milliseconds delay);

    /// Counts a new connection; false when it is beyond the cap and must be refused.
    bool openConnection();
    void closeConnection();

    /// Decides on a request and queues it when it is accepted. Work that thereby got a slot is in takeStarted().
    target_admission admit(std::uint64_t id, time_point now);

    /// Removes finished, cancelled or expired work and starts waiting work in its place.
    void remove(std::uint64_t id, time_point now);

    /// Returns the work started since the last call.
    std::vector<started_work> takeStarted();

    bool isRunning(std::uint64_t id) const;
    bool isCold(time_point now) const;
    std::string_view stateName(time_point now) const;
    const std::string &incarnation() const;
    std::uint32_t concurrent() const;
    std::uint32_t connections() const;
    const target_figures &figures() const;

    void countSearch();
    void countExecution();
    void countCrash();

private:
    void startWaiting(time_point now);
    std::chrono::microseconds drawDuration(time_point now);

    site_target m_shape;
    service_behaviour m_behaviour;
    std::mt19937_64 m_random;
    std::string m_incarnation;
    time_point m_warmAt{};
    bool m_draining = false;
    std::chrono::milliseconds m_extraDelay{0};
    std::uint32_t m_connections = 0;
    std::deque<std::uint64_t> m_waiting;
    std::set<std::uint64_t> m_running;
    std::vector<started_work> m_started;
    target_figures m_figures;
};

} // namespace balsamhook
