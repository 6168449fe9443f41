#include <algorithm>
#include <iterator>
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

bool contains(const std::vector<VmName> &names, const VmName &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool isListed(const std::vector<RegisteredVm> &vms, const VmName &name)
{
    return std::any_of(vms.begin(), vms.end(), [&name](const RegisteredVm &it) { return it.name == name; });
}

// Whether an earlier process of this Vm used the seat, and no seat was given to a Vm that registered since.
bool isStillInUse(const SeatFence::Update &update, const std::vector<VmName> &holders)
{
    return update.usedAt && std::all_of(update.vms.begin(), update.vms.end(), [&](const RegisteredVm &it) {
               return it.registeredAt <= *update.usedAt || !contains(holders, it.name);
           });
}

// Whether the Vm would have the seat as well if of all changes only the removals had happened.
bool isGainedByRemovals(const std::vector<RegisteredVm> &before, const SeatFence::Update &update)
{
    std::vector<RegisteredVm> remaining;
    std::copy_if(before.begin(), before.end(), std::back_inserter(remaining), [&update](const RegisteredVm &it) {
        return isListed(update.vms, it.name);
    });
    return isListed(remaining, update.self) && contains(assignSeats(std::move(remaining)), update.self);
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

void SeatFence::update(const Update &update, TimePoint now)
{
    const std::vector<VmName> holders = assignSeats(update.vms);
    const std::vector<RegisteredVm> before = std::exchange(m_vms, update.vms);
    if (std::any_of(holders.begin(), holders.end(), [&before](const VmName &it) { return !isListed(before, it); })) {
        m_addedAt = now;
    }
    const bool holdsSeat = contains(holders, update.self);
    const bool hadSeat = std::exchange(m_holdsSeat, holdsSeat);
    if (!holdsSeat || hadSeat) {
        std::erase_if(m_unconfirmed, [&update](const VmName &it) { return !isListed(update.vms, it); });
        if (holdsSeat && m_unconfirmed.empty() && !m_isConfirmed) {
            m_isConfirmed = true;
            m_confirmedAt = now;
        }
        return;
    }
    m_isKept = isStillInUse(update, holders);
    m_unconfirmed = m_isKept ? std::set<VmName>() : sharersToConfirm(update, before, holders, now);
    m_position = update.position;
    m_gainedAt = now;
    m_isConfirmed = m_unconfirmed.empty();
    m_confirmedAt = now - applyTime;
}

// Those that may still use, by an older list, what this Vm has gained.
std::set<VmName> SeatFence::sharersToConfirm(const Update &update,
                                             const std::vector<RegisteredVm> &before,
                                             const std::vector<VmName> &holders,
                                             TimePoint now) const
{
    std::set<VmName> sharers = update.lostShares;
    if (now - m_addedAt < SeatTiming::fence) {
        sharers.insert(holders.begin(), holders.end());
    }
    if (!update.areRemovalsFenced || !isGainedByRemovals(before, update)) {
        std::vector<RegisteredVm> others = update.vms;
        std::erase_if(others, [&update](const RegisteredVm &it) { return it.name == update.self; });
        const std::vector<VmName> previous = assignSeats(std::move(others));
        sharers.insert(previous.begin(), previous.end());
    }
    sharers.erase(update.self);
    return sharers;
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
    return m_holdsSeat && ((m_isConfirmed && now - m_confirmedAt >= applyTime) || now - m_gainedAt >= SeatTiming::fence);
}

} // namespace Pollenspoke
