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

/// Decision about a request. Draining and Shedding mean that the request was not started.
enum class target_admission : std::uint8_t {
    Accepted,
    Draining,
    Shedding,
};

/// A request that got a slot, with its simulated service time.
struct started_work
{
    std::uint64_t id = 0;
    std::chrono::microseconds duration{0};
};

/// Counters and peaks of one target. They continue across restarts.
struct target_statistics
{
    std::uint64_t searches = 0;
    std::uint64_t executions = 0;
    std::uint32_t peakConcurrent = 0; ///< Running and queued requests.
    std::uint32_t peakConnections = 0;
    std::uint64_t coldViolations = 0; ///< Requests accepted during cold start while cold_slots others were present.
    std::uint64_t connectionViolations = 0; ///< Connections beyond the limit.
    std::uint64_t shed = 0;
    std::uint64_t crashes = 0;
};

/// Slots, queue, cold start and connection limit of one target, without sockets and clocks. Not thread-safe.
class target_model
{
public:
    using time_point = boot_clock::time_point;

    target_model(site_target description, service_behaviour behaviour, std::uint64_t seed);

    /// Starts a new incarnation without work and connections, in cold start. Must be called once before use.
    void restart(time_point now);

    /// Enters cold start within the same incarnation.
    void makeCold(time_point now);
    void makeWarm();
    void setDraining(bool isDraining);

    /// Sets a delay that is added to every service time, which simulates a slow target.
    void setExtraDelay(std::chrono::milliseconds delay);

    /// Counts a new connection. Returns false when it is beyond the limit and must be refused.
    bool openConnection();
    void closeConnection();

    /// Decides on a request and queues it when it is accepted. takeStarted() returns the work that got a slot.
    target_admission admit(std::uint64_t id, time_point now);

    /// Removes finished, cancelled or expired work and gives its slot to waiting work.
    void remove(std::uint64_t id, time_point now);

    /// Returns the work that got a slot since the last call.
    std::vector<started_work> takeStarted();

    bool isRunning(std::uint64_t id) const;
    bool isCold(time_point now) const;
    std::string_view stateName(time_point now) const;
    const std::string &incarnation() const;
    std::uint32_t concurrentRequests() const;
    std::uint32_t connections() const;
    const target_statistics &statistics() const;

    void countSearch();
    void countExecution();
    void countCrash();

private:
    void startWaiting(time_point now);
    std::chrono::microseconds drawDuration(time_point now);

    site_target m_description;
    service_behaviour m_behaviour;
    std::mt19937_64 m_random;
    std::string m_incarnation;
    time_point m_warmAt{};
    bool m_isDraining = false;
    std::chrono::milliseconds m_extraDelay{0};
    std::uint32_t m_connections = 0;
    std::deque<std::uint64_t> m_waiting;
    std::set<std::uint64_t> m_running;
    std::vector<started_work> m_started;
    target_statistics m_statistics;
};

} // namespace balsamhook
