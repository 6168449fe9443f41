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

void Members::list(const std::vector<std::pair<RegisteredVm, VmRegistration>> &vms, TimePoint now)
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
    Member &member = m_members.try_emplace(vm.name, Member{.name = vm.name, .heardAt = now}).first->second;
    member.registration = registration;
    member.registeredAt = vm.registeredAt;
}

void Members::remove(const VmName &vm)
{
    m_members.erase(vm);
}

bool Members::hadStoreSince(TimePoint since, TimePoint now) const
{
    constexpr std::ptrdiff_t witnesses = 2; // one Vm alone could be in error about its connection
    return std::count_if(m_members.begin(),
                         m_members.end(),
                         [this, since, now](const auto &it) {
                             const Member &member = it.second;
                             return member.name != m_self && now - member.heardAt < freshTime && member.storeUpSince
                                 && *member.storeUpSince <= since;
                         })
        >= witnesses;
}

void Members::noteReport(const VmName &vm, bool isLeaving, Duration storeUp, std::uint64_t newestRevision, TimePoint now)
{
    const auto it = m_members.find(vm);
    if (it != m_members.end()) {
        it->second.heardAt = now;
        it->second.isLeaving = isLeaving;
        it->second.newestRevision = newestRevision;
        it->second.storeUpSince = storeUp > Duration(0) ? std::optional(now - storeUp) : std::nullopt;
    }
}

const Member *Members::find(const VmName &vm) const
{
    const auto it = m_members.find(vm);
    return it == m_members.end() ? nullptr : &it->second;
}

std::vector<const Member *> Members::others() const
{
    std::vector<const Member *> found;
    for (const auto &[name, it] : m_members) {
        if (name != m_self) {
            found.push_back(&it);
        }
    }
    return found;
}

bool Members::isLive(const Member &member, TimePoint now) const
{
    return member.name == m_self ? !m_isLeaving : !member.isLeaving && now - member.heardAt < m_silenceLimit;
}

std::vector<VmName> Members::holders() const
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

std::vector<VmName> Members::liveHolders(TimePoint now) const
{
    std::vector<VmName> live = holders();
    std::erase_if(live, [this, now](const VmName &it) { return !isLive(m_members.at(it), now); });
    return live;
}

// Live holders of seats in the caller's failure domain, so that its bytes stay there; where these are too few to bear the loss
// of some, all live holders; where these are few, other Vms too.
std::vector<Address> Members::callerAddresses(const FailureDomain &domain, TimePoint now) const
{
    constexpr std::size_t fewestNear = 2;
    std::vector<VmName> chosen = liveHolders(now);
    std::vector<VmName> near;
    std::copy_if(chosen.begin(), chosen.end(), std::back_inserter(near), [this, &domain](const VmName &it) {
        return m_members.at(it).registration.failureDomain == domain;
    });
    if (near.size() >= fewestNear) {
        chosen = std::move(near);
    } else {
        const std::size_t wanted = holders().size() / 2;
        for (auto it = m_members.begin(); it != m_members.end() && chosen.size() < wanted; ++it) {
            if (isLive(it->second, now) && std::find(chosen.begin(), chosen.end(), it->first) == chosen.end()) {
                chosen.push_back(it->first);
            }
        }
    }
    std::vector<Address> addresses;
    addresses.reserve(chosen.size());
    for (const VmName &it : chosen) {
        addresses.push_back(m_members.at(it).registration.callers);
    }
    return addresses;
}

std::vector<const Member *> Members::reportReceivers() const
{
    const std::vector<VmName> seats = holders();
    const auto isHolder = [&seats](const VmName &vm) { return std::find(seats.begin(), seats.end(), vm) != seats.end(); };
    std::vector<const Member *> receivers = others();
    if (!isHolder(m_self)) {
        std::erase_if(receivers, [this, &isHolder](const Member *it) { return !isNear(*it) && !isHolder(it->name); });
    }
    return receivers;
}

std::vector<VmName> Members::watchers(TimePoint now) const
{
    constexpr std::size_t mostWatchers = 4; // holders come in turn over failure domains: the loss of one leaves others
    std::vector<VmName> chosen;
    for (const VmName &it : holders()) {
        const Member &member = m_members.at(it);
        const bool hasStore = isSelf(it) || (member.storeUpSince && now - member.heardAt < freshTime);
        if (chosen.size() < mostWatchers && hasStore && isLive(member, now)) {
            chosen.push_back(it);
        }
    }
    return chosen;
}

std::vector<const Member *> Members::feedHolders(std::uint64_t since, bool prefersNear, TimePoint now) const
{
    std::vector<const Member *> all;
    for (const VmName &it : watchers(now)) {
        if (!isSelf(it)) {
            all.push_back(find(it));
        }
    }
    const auto select = [&all](const auto &isWanted) {
        std::vector<const Member *> found;
        std::copy_if(all.begin(), all.end(), std::back_inserter(found), isWanted);
        return found;
    };
    std::vector<const Member *> newer = select([since](const Member *it) { return it->newestRevision > since; });
    if (!newer.empty()) {
        return newer;
    }
    std::vector<const Member *> near = select([this](const Member *it) { return isNear(*it); });
    return prefersNear && !near.empty() ? near : all;
}

} // namespace Pollenspoke
