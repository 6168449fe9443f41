#include <algorithm>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

namespace {

constexpr std::size_t fewestSeats = 8;    // few enough that each knows how full the targets are, enough to bear the loss of some
constexpr std::size_t vmsOfFewSeats = 64; // up to so many Vms
constexpr std::size_t vmsPerSeat = 4;     // beyond them; a seat holder's processor carries the requests of so many

} // namespace

std::size_t seatCount(std::size_t vms)
{
    return vms <= vmsOfFewSeats ? fewestSeats : std::max(fewestSeats, vms / vmsPerSeat);
}

std::vector<VmName> assignSeats(std::vector<RegisteredVm> vms, std::size_t seats)
{
    std::sort(vms.begin(), vms.end(), [](const RegisteredVm &left, const RegisteredVm &right) {
        return std::tie(left.registeredAt, left.name) < std::tie(right.registeredAt, right.name);
    });
    std::map<FailureDomain, std::vector<VmName>> domains;
    for (RegisteredVm &it : vms) {
        domains[it.failureDomain].push_back(std::move(it.name));
    }
    std::vector<VmName> holders;
    for (std::size_t turn = 0; turn < vms.size() && holders.size() < seats; ++turn) {
        for (const auto &[domain, names] : domains) {
            if (turn < names.size() && holders.size() < seats) {
                holders.push_back(names[turn]);
            }
        }
    }
    return holders;
}

} // namespace Pollenspoke
