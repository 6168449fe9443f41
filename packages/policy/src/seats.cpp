#include <algorithm>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

namespace {

constexpr std::size_t minSeatsPerDomain = 2;     // callers that stay within a failure domain survive the loss of one
constexpr std::size_t smallFleetVms = 64;        // up to this size the minimum number of seats serves all callers
constexpr std::uint64_t seatCapacityDivisor = 5; // larger fleets: holders have 1/5 of the processor capacity

// Larger Vms first, so that few seats suffice for all callers; then earlier registrations, so that a new Vm doesn't move tokens.
bool hasPriority(const RegisteredVm &left, const RegisteredVm &right)
{
    return std::tie(right.millicores, left.registeredAt, left.name) < std::tie(left.millicores, right.registeredAt, right.name);
}

std::uint64_t capacityOf(const std::vector<RegisteredVm> &vms)
{
    std::uint64_t sum = 0;
    for (const RegisteredVm &it : vms) {
        sum += it.millicores;
    }
    return sum;
}

} // namespace

std::vector<VmName> assignSeats(std::vector<RegisteredVm> vms)
{
    std::sort(vms.begin(), vms.end(), hasPriority);
    std::map<FailureDomain, std::vector<const RegisteredVm *>> domains;
    for (const RegisteredVm &it : vms) {
        domains[it.failureDomain].push_back(&it);
    }
    const std::size_t minCount = std::max(minSeats, domains.size() * minSeatsPerDomain);
    const std::uint64_t requiredCapacity = vms.size() <= smallFleetVms ? 0 : capacityOf(vms) / seatCapacityDivisor;
    std::vector<VmName> holders;
    std::uint64_t seatedCapacity = 0;
    for (std::size_t round = 0; round < vms.size(); ++round) {
        for (const auto &[domain, members] : domains) {
            if (holders.size() >= minCount && seatedCapacity >= requiredCapacity) {
                return holders;
            }
            if (round < members.size()) {
                holders.push_back(members[round]->name);
                seatedCapacity += members[round]->millicores;
            }
        }
    }
    return holders;
}

} // namespace Pollenspoke
