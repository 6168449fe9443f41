#include "members.h"

#include <algorithm>
#include <iterator>

namespace Pollenspoke {

Members::Members(VmName self, FailureDomain domain, Duration silenceLimit)
    : m_self(std::move(self))
    , m_domain(std::move(domain))
    , m_silenceLimit(silenceLimit)
{
}

void Members::replaceAll(const std::vector<std::pair<RegisteredVm, VmRegistration>> &vms, TimePoint now)
{
    std::erase_if(m_members, [&vms](const auto &member) {
        return std::none_of(vms.begin(), vms.end(), [&member](const auto &it) { return it.first.name == member.first; });
    });
    for (const auto &[vm, registration] : vms) {
        put(vm, registration, now);
    }
}

void Members::put(const RegisteredVm &vm, const VmRegistration &registration, TimePoint now)
{
    Member &member = m_members.try_emplace(vm.name, Member{.name = vm.name, .lastReportAt = now}).first->second;
    member.registration = registration;
    member.registeredAt = vm.registeredAt;
}

void Members::remove(const VmName &vm)
{
    m_members.erase(vm);
}

bool Members::hadStoreAccessSince(TimePoint since, TimePoint now) const
{
    constexpr std::ptrdiff_t minWitnesses = 2; // a single Vm may be wrong about its own connection
    return std::count_if(m_members.begin(),
                         m_members.end(),
                         [this, since, now](const auto &it) {
                             const Member &member = it.second;
                             return member.name != m_self && now - member.lastReportAt < freshReportAge && member.storeReachableSince
                                 && *member.storeReachableSince <= since;
                         })
        >= minWitnesses;
}

void Members::recordReport(const VmName &vm, bool isLeaving, Duration storeReachableFor, std::uint64_t newestRevision, TimePoint now)
{
    const auto it = m_members.find(vm);
    if (it != m_members.end()) {
        it->second.lastReportAt = now;
        it->second.isLeaving = isLeaving;
        it->second.newestRevision = newestRevision;
        it->second.storeReachableSince = storeReachableFor > Duration(0) ? std::optional(now - storeReachableFor) : std::nullopt;
    }
}

const Member *Members::find(const VmName &vm) const
{
    const auto it = m_members.find(vm);
    return it == m_members.end() ? nullptr : &it->second;
}

std::vector<const Member *> Members::others() const
{
    std::vector<const Member *> result;
    for (const auto &[name, it] : m_members) {
        if (name != m_self) {
            result.push_back(&it);
        }
    }
    return result;
}

bool Members::isLive(const Member &member, TimePoint now) const
{
    return member.name == m_self ? !m_isLeaving : !member.isLeaving && now - member.lastReportAt < m_silenceLimit;
}

std::vector<VmName> Members::seatHolders() const
{
    std::vector<RegisteredVm> vms;
    vms.reserve(m_members.size());
    for (const auto &[name, it] : m_members) {
        vms.push_back({.name = name,
                       .failureDomain = it.registration.failureDomain,
                       .registeredAt = it.registeredAt,
                       .millicores = it.registration.millicores});
    }
    return assignSeats(std::move(vms));
}

std::vector<VmName> Members::liveSeatHolders(TimePoint now) const
{
    std::vector<VmName> live = seatHolders();
    std::erase_if(live, [this, now](const VmName &it) { return !isLive(m_members.at(it), now); });
    return live;
}

// Live seat holders in the caller's failure domain, so that traffic stays within it. With fewer than two of them, all live seat
// holders, and if those are less than half of all seats, further live Vms.
std::vector<Address> Members::callerAddresses(const FailureDomain &domain, TimePoint now) const
{
    constexpr std::size_t minLocalVms = 2;
    std::vector<VmName> selected = liveSeatHolders(now);
    std::vector<VmName> local;
    std::copy_if(selected.begin(), selected.end(), std::back_inserter(local), [this, &domain](const VmName &it) {
        return m_members.at(it).registration.failureDomain == domain;
    });
    if (local.size() >= minLocalVms) {
        selected = std::move(local);
    } else {
        const std::size_t minAddresses = seatHolders().size() / 2;
        for (auto it = m_members.begin(); it != m_members.end() && selected.size() < minAddresses; ++it) {
            if (isLive(it->second, now) && std::find(selected.begin(), selected.end(), it->first) == selected.end()) {
                selected.push_back(it->first);
            }
        }
    }
    std::vector<Address> addresses;
    addresses.reserve(selected.size());
    for (const VmName &it : selected) {
        addresses.push_back(m_members.at(it).registration.callers);
    }
    return addresses;
}

std::vector<const Member *> Members::reportReceivers() const
{
    const std::vector<VmName> holderNames = seatHolders();
    const auto isHolder
        = [&holderNames](const VmName &vm) { return std::find(holderNames.begin(), holderNames.end(), vm) != holderNames.end(); };
    std::vector<const Member *> receivers = others();
    if (!isHolder(m_self)) {
        std::erase_if(receivers, [this, &isHolder](const Member *it) { return !isInOwnDomain(*it) && !isHolder(it->name); });
    }
    return receivers;
}

std::vector<VmName> Members::watchers(TimePoint now) const
{
    constexpr std::size_t maxWatchers = 4; // seat holders alternate over failure domains, so losing a domain leaves watchers in others
    std::vector<VmName> selected;
    for (const VmName &it : seatHolders()) {
        const Member &member = m_members.at(it);
        const bool hasStore = isSelf(it) || (member.storeReachableSince && now - member.lastReportAt < freshReportAge);
        if (selected.size() < maxWatchers && hasStore && isLive(member, now)) {
            selected.push_back(it);
        }
    }
    return selected;
}

std::vector<const Member *> Members::feedSources(std::uint64_t since, bool prefersOwnDomain, TimePoint now) const
{
    std::vector<const Member *> candidates;
    for (const VmName &it : watchers(now)) {
        if (!isSelf(it)) {
            candidates.push_back(find(it));
        }
    }
    const auto select = [&candidates](const auto &predicate) {
        std::vector<const Member *> result;
        std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(result), predicate);
        return result;
    };
    std::vector<const Member *> newer = select([since](const Member *it) { return it->newestRevision > since; });
    if (!newer.empty()) {
        return newer;
    }
    std::vector<const Member *> local = select([this](const Member *it) { return isInOwnDomain(*it); });
    return prefersOwnDomain && !local.empty() ? local : candidates;
}

} // namespace Pollenspoke
