#include <algorithm>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

namespace {

std::uint64_t returnScore(const TargetName &target, const VmName &vm)
{
    return stableHash(target.value + '\n' + vm.value);
}

} // namespace

std::size_t returnRank(const TargetName &target, const LimitSharers &sharers)
{
    if (!sharers.vms) {
        return 0;
    }
    const std::vector<VmName> &vms = *sharers.vms;
    if (std::find(vms.begin(), vms.end(), sharers.self) == vms.end()) {
        return vms.size();
    }
    const auto own = std::pair(returnScore(target, sharers.self), sharers.self);
    return static_cast<std::size_t>(
        std::count_if(vms.begin(), vms.end(), [&target, &own](const VmName &it) { return std::pair(returnScore(target, it), it) > own; }));
}

} // namespace Pollenspoke
