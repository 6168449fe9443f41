/// @file
/// One soak: VMs as processes, targets, the stand-in of the store and callers, and faults drawn from a seed.
#pragma once

#include "callers.h"
#include "target.h"
#include "tests/processes.h"

#include <functional>

namespace Pollenspoke {

struct SoakOptions
{
    std::uint64_t seed = 1;
    std::chrono::seconds length{12}; // with faults; a quiet end of some seconds follows
    std::size_t vms = 4;
    std::size_t callers = 12;
    bool onlyPlanned = false; // only stops, changes and leaving targets: no request that ran may stay without an answer
    std::string logFolder;    // of the VMs' output
};

struct SoakOutcome
{
    std::vector<std::string> violations;
    std::vector<std::string> faults; // in order, with their time
    std::string summary;
};

SoakOutcome playSoak(const SoakOptions &options);

} // namespace Pollenspoke
