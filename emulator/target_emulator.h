#pragma once

#include "emulator/event_simulator.h"
#include "routing/routing.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace balsamhook
{

/// Draws the work of one request.
using work_distribution = std::function<std::chrono::microseconds(std::mt19937 &random)>;

/// Distributions of the work of requests; each has the given mean, except for the log-normal one, which has the given median.
work_distribution constantWork(std::chrono::microseconds mean);
work_distribution exponentialWork(std::chrono::microseconds mean);
work_distribution twoModeWork(std::chrono::microseconds mean);
work_distribution paretoWork(std::chrono::microseconds mean);
work_distribution logNormalWork(std::chrono::microseconds median);

/// Targets of one service and the instances that send to them.
struct emulated_site
{
    std::size_t senders = 2;
    std::size_t targets = 3;
    unsigned slots = 30;
    std::size_t queueLength = 12;
    work_distribution work;
    double requestsPerSecond = 50; ///< Of all senders together, at random times.
    std::chrono::milliseconds objective{400};
    std::chrono::milliseconds timeout{6000};
    std::chrono::seconds duration{30};
    std::chrono::seconds slowFrom{0}; ///< The targets work slowFactor times as long from slowFrom to slowUntil.
    std::chrono::seconds slowUntil{0};
    double slowFactor = 1;
};

/// What callers got.
struct emulation_report
{
    int requests = 0;
    int answered = 0;
    int answeredInTime = 0; ///< Within the objective.
    int refused = 0;
    int refusedWithFreeSlots = 0; ///< Refused while the targets had more free slots than requests queued.
    int refusedAfterSlowPeriod = 0; ///< From one second after the slow period.
    std::chrono::microseconds percentile99{0}; ///< Of the latency of the answers.

    double shareRefusedWithFreeSlots() const;
    double shareInTime() const;
    double shareAnswered() const;
};

/// Simulates single requests without a network: the decisions of the instances are those of this library. Instances share nothing. Equal seeds give equal
/// reports. Preconditions: work is set; at least one sender, target and slot.
emulation_report emulate(const emulated_site &site, std::uint32_t seed);

} // namespace balsamhook
