/// @file
/// One soak run: VMs as processes, targets, callers and a fake platform store, with faults chosen at random from a seed.
#pragma once

#include "callers.h"
#include "target.h"
#include "tests/processes.h"

#include <functional>

namespace Pollenspoke {

struct SoakOptions
{
    std::uint64_t seed = 1;
    std::chrono::seconds length{12}; // of the fault phase; a recovery check without faults follows
    std::size_t vms = 4;
    std::size_t callers = 12;
    /// Only SIGTERM, configuration changes and drained targets; every executed request must then get a response.
    bool maintenanceOnly = false;
    std::string logFolder; // for the VMs' output; empty: a temporary folder
};

struct SoakResult
{
    std::vector<std::string> violations;
    std::vector<std::string> faults; // in order, each with the time since the start
    std::string summary;
};

SoakResult runSoak(const SoakOptions &options);

} // namespace Pollenspoke
