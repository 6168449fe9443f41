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

void SeatFence::update(const VmName &self, const std::vector<RegisteredVm> &vms, StorePosition position, bool isKept, TimePoint now)
{
    const std::vector<VmName> holders = assignSeats(vms);
    const bool holdsSeat = std::find(holders.begin(), holders.end(), self) != holders.end();
    const bool hadSeat = std::exchange(m_holdsSeat, holdsSeat);
    if (!holdsSeat || hadSeat) {
        std::erase_if(m_unconfirmed, [&vms](const VmName &it) { // one that was removed had been silent for longer than the fence
            return std::none_of(vms.begin(), vms.end(), [&it](const RegisteredVm &vm) { return vm.name == it; });
        });
        if (holdsSeat && m_unconfirmed.empty() && !m_isConfirmed) {
            m_isConfirmed = true;
            m_confirmedAt = now;
        }
        return;
    }
    std::vector<RegisteredVm> others = vms;
    std::erase_if(others, [&self](const RegisteredVm &it) { return it.name == self; });
    const std::vector<VmName> previous = assignSeats(std::move(others));
    const bool isReplacement = previous.size() == holders.size(); // else the shares of all change
    m_unconfirmed.clear();
    for (const VmName &it : previous) {
        if (!isKept && (!isReplacement || std::find(holders.begin(), holders.end(), it) == holders.end())) {
            m_unconfirmed.insert(it);
        }
    }
    m_position = position;
    m_gainedAt = now;
    m_isConfirmed = m_unconfirmed.empty();
    m_confirmedAt = now - applyTime;
}

void SeatFence::recordPosition(const VmName &vm, StorePosition known, TimePoint now)
{
    if (known >= m_position && m_unconfirmed.erase(vm) > 0 && m_unconfirmed.empty()) {
        m_isConfirmed = true;
        m_confirmedAt = now;
    }
}

bool SeatFence::mayUseSeat(TimePoint now) const
{
    return m_holdsSeat && ((m_isConfirmed && now - m_confirmedAt >= applyTime) || now - m_gainedAt >= fenceTime);
}

} // namespace Pollenspoke
