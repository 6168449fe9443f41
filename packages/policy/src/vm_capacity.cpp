#include <algorithm>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

namespace {

constexpr double minCapacityRatio = 0.25; // to the strongest Vm; every Vm that is named gets the same share of the callers
constexpr std::array resources{&VmCapacity::millicores, &VmCapacity::linkMbps, &VmCapacity::memoryMb, &VmCapacity::descriptors};

} // namespace

std::vector<VmName> selectByCapacity(const std::vector<VmCapacity> &vms)
{
    std::vector<double> capacities(vms.size(), 1.0);
    for (const auto resource : resources) {
        std::uint32_t largest = 0;
        for (const VmCapacity &it : vms) {
            largest = std::max(largest, it.*resource);
        }
        for (std::size_t i = 0; i < vms.size(); ++i) {
            if (const std::uint32_t value = vms[i].*resource; value > 0) {
                capacities[i] = std::min(capacities[i], static_cast<double>(value) / largest);
            }
        }
    }
    const auto strongest = std::max_element(capacities.begin(), capacities.end());
    std::vector<VmName> strong;
    for (std::size_t i = 0; i < vms.size(); ++i) {
        if (capacities[i] >= *strongest * minCapacityRatio) {
            strong.push_back(vms[i].vm);
        }
    }
    return strong;
}

} // namespace Pollenspoke
