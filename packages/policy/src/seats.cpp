#include <algorithm>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

namespace {

constexpr std::size_t fewestSeats = 8;           // few enough that each knows how full the targets are, enough to bear the loss of some
constexpr std::size_t fewestSeatsPerDomain = 2;  // a failure domain whose callers stay within it bears the loss of one
constexpr std::size_t vmsOfFewestSeats = 64;     // up to so many Vms the fewest seats carry all callers
constexpr std::uint64_t capacityPerSeatPart = 5; // beyond them: the seats hold this part of the fleet's processors

// Strong Vms first, so that few seats carry the callers; then the earliest, so that a new Vm moves nobody's tokens.
bool comesFirst(const RegisteredVm &left, const RegisteredVm &right)
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
    std::sort(vms.begin(), vms.end(), comesFirst);
    std::map<FailureDomain, std::vector<const RegisteredVm *>> domains;
    for (const RegisteredVm &it : vms) {
        domains[it.failureDomain].push_back(&it);
    }
    const std::size_t fewest = std::max(fewestSeats, domains.size() * fewestSeatsPerDomain);
    const std::uint64_t wanted = vms.size() <= vmsOfFewestSeats ? 0 : capacityOf(vms) / capacityPerSeatPart;
    std::vector<VmName> holders;
    std::uint64_t held = 0;
    for (std::size_t turn = 0; turn < vms.size(); ++turn) {
        for (const auto &[domain, members] : domains) {
            if (holders.size() >= fewest && held >= wanted) {
                return holders;
            }
            if (turn < members.size()) {
                holders.push_back(members[turn]->name);
                held += members[turn]->millicores;
            }
        }
    }
    return holders;
}

} // namespace Pollenspoke
