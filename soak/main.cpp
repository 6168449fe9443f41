// Randomized soak test: runs VMs as real processes, injects faults from outside and checks what callers and targets observe.
#include "world.h"

#include <docopt/docopt.h>
#include <iostream>

namespace {

using namespace Pollenspoke;

constexpr const char *usage = R"(pollenspoke-soak: runs a fleet on this machine under randomized faults and checks its guarantees.

Usage:
  pollenspoke-soak [--seed N] [--seeds N] [--seconds N] [--vms N] [--callers N] [--logs FOLDER]
  pollenspoke-soak --help

Options:
  --seed N       First seed [default: 1].
  --seeds N      Number of seeds to run in sequence; every fourth seed has planned work only [default: 1].
  --seconds N    Length of each seed's fault phase [default: 12].
  --vms N        Number of VMs, one daemon process each [default: 4].
  --callers N    Number of simulated callers [default: 12].
  --logs FOLDER  Keep the VMs' output in this folder.
  --help         Show this text.

Exit status: 0 if every guarantee held, 1 if one was violated.
)";

constexpr std::uint64_t maintenanceInterval = 4; // seeds

} // namespace

int main(int argc, char **argv)
{
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const auto numberOption = [&arguments](const char *name) { return static_cast<std::uint64_t>(arguments[name].asLong()); };
    std::size_t failedSeeds = 0;
    const std::uint64_t firstSeed = numberOption("--seed");
    for (std::uint64_t seed = firstSeed; seed < firstSeed + numberOption("--seeds"); ++seed) {
        SoakOptions options{.seed = seed,
                            .length = std::chrono::seconds(numberOption("--seconds")),
                            .vms = numberOption("--vms"),
                            .callers = numberOption("--callers"),
                            .maintenanceOnly = seed % maintenanceInterval == 0};
        options.logFolder = arguments["--logs"] ? arguments["--logs"].asString() : "";
        const SoakResult result = runSoak(options);
        std::cout << "seed " << seed << (options.maintenanceOnly ? " (planned work only)" : "") << ": " << result.faults.size()
                  << " faults, " << result.summary << '\n';
        if (!result.violations.empty()) {
            ++failedSeeds;
            for (const std::string &it : result.faults) {
                std::cout << "  fault at " << it << '\n';
            }
            for (const std::string &it : result.violations) {
                std::cout << "  BROKEN " << it << '\n';
            }
        }
        std::cout.flush();
    }
    return failedSeeds == 0 ? 0 : 1;
}
