// Randomized soak: VMs as real processes under faults from outside, checked by what callers and targets see.
#include "world.h"

#include <docopt/docopt.h>
#include <iostream>

namespace {

using namespace Pollenspoke;

constexpr const char *usage = R"(pollenspoke-soak: plays randomized faults against a fleet on this machine.

Usage:
  pollenspoke-soak [--seed N] [--seeds N] [--seconds N] [--vms N] [--callers N] [--logs FOLDER]
  pollenspoke-soak --help

Options:
  --seed N       First seed [default: 1].
  --seeds N      Seeds to play, one after the other; each fourth one plays planned work only [default: 1].
  --seconds N    With faults, of each seed [default: 12].
  --vms N        Processes of the daemon [default: 4].
  --callers N    Callers [default: 12].
  --logs FOLDER  Keeps the VMs' output there.
  --help         Show this text.

Exit status: 0 every promise was kept, 1 one was broken.
)";

constexpr std::uint64_t plannedEvery = 4;

} // namespace

int main(int argc, char **argv)
{
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const auto number = [&arguments](const char *name) { return static_cast<std::uint64_t>(arguments[name].asLong()); };
    std::size_t failed = 0;
    const std::uint64_t first = number("--seed");
    for (std::uint64_t seed = first; seed < first + number("--seeds"); ++seed) {
        SoakOptions options{.seed = seed,
                            .length = std::chrono::seconds(number("--seconds")),
                            .vms = number("--vms"),
                            .callers = number("--callers"),
                            .onlyPlanned = seed % plannedEvery == 0};
        options.logFolder = arguments["--logs"] ? arguments["--logs"].asString() : "";
        const SoakOutcome outcome = playSoak(options);
        std::cout << "seed " << seed << (options.onlyPlanned ? " (planned work only)" : "") << ": " << outcome.faults.size() << " faults, "
                  << outcome.summary << '\n';
        if (!outcome.violations.empty()) {
            ++failed;
            for (const std::string &it : outcome.faults) {
                std::cout << "  fault at " << it << '\n';
            }
            for (const std::string &it : outcome.violations) {
                std::cout << "  BROKEN " << it << '\n';
            }
        }
        std::cout.flush();
    }
    return failed == 0 ? 0 : 1;
}
