/// Measures the limits of requests in flight on emulated targets, for several distributions of work, loads and numbers of instances. Prints a table, a row a
/// case; scripts/bench limits stores it under bench/results/.

#include "emulator/emulator.h"

#include <array>
#include <cstdio>
#include <string>
#include <vector>

using namespace balsamhook;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t Seed = 1;

struct named_work
{
    const char *name;
    work_distribution draw;
    double mean = 0; ///< Seconds.
};

struct shape
{
    std::size_t senders;
    std::size_t targets;
    unsigned slots;
};

std::vector<named_work> distributions()
{
    constexpr auto Mean = 120ms;
    constexpr double MeanSeconds = 0.12;
    constexpr double LogNormalMeanSeconds = 0.43; ///< At a median of 120 ms.
    return {{"constant", constantWork(Mean), MeanSeconds},
            {"exponential", exponentialWork(Mean), MeanSeconds},
            {"two modes", twoModeWork(Mean), MeanSeconds},
            {"Pareto", paretoWork(Mean), MeanSeconds},
            {"log-normal", logNormalWork(Mean), LogNormalMeanSeconds}};
}

void printRow(const named_work &work, const shape &size, double load)
{
    emulated_site site;
    site.senders = size.senders;
    site.targets = size.targets;
    site.slots = size.slots;
    site.work = work.draw;
    site.requestsPerSecond = load * static_cast<double>(size.targets * size.slots) / work.mean;
    const emulation_report report = emulate(site, Seed);
    std::printf("| %s | %.2f | %zu | %zu x %u | %d | %.4f | %.4f | %.3f | %.3f | %.0f |\n",
                work.name,
                load,
                size.senders,
                size.targets,
                size.slots,
                report.requests,
                static_cast<double>(report.refused) / report.requests,
                report.shareRefusedWithFreeSlots(),
                report.shareAnswered(),
                report.shareInTime(),
                std::chrono::duration<double, std::milli>(report.percentile99).count());
}

} // namespace

int main()
{
    constexpr std::array<shape, 4> Shapes{shape{2, 3, 30}, shape{1, 4, 2}, shape{6, 4, 4}, shape{30, 10, 4}};
    constexpr std::array<double, 4> Loads{0.3, 0.6, 0.9, 1.4};
    std::puts("| work | load | instances | targets x slots | requests | refused | refused with free slots | answered | in time | 99% ms |");
    std::puts("|---|---|---|---|---|---|---|---|---|---|");
    for (const named_work &work : distributions()) {
        for (const shape &size : Shapes) {
            for (const double load : Loads) {
                printRow(work, size, load);
            }
        }
    }
    return 0;
}
