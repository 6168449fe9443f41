#include "members.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace Pollenspoke {

namespace {

constexpr std::size_t minNamedVms = 2; // in an address answer: callers survive the loss of one

} // namespace

Members::Members(VmName self, FailureDomain domain, Duration silenceLimit)
    : m_self(std::move(self))
    , m_domain(std::move(domain))
    , m_silenceLimit(silenceLimit)
{
}

void Members::replaceAll(const std::vector<std::pair<RegisteredVm, VmRegistration>> &vms, TimePoint now)
{
    std::set<VmName> listed;
    for (const auto &[vm, registration] : vms) {
        listed.insert(vm.name);
    }
    std::vector<VmName> unlisted;
    for (const auto &[name, member] : m_members) {
        if (!listed.contains(name)) {
            unlisted.push_back(name);
        }
    }
    std::for_each(unlisted.begin(), unlisted.end(), [this](const VmName &it) { remove(it); });
    for (const auto &[vm, registration] : vms) {
        put(vm, registration, now);
    }
}

void Members::put(const RegisteredVm &vm, const VmRegistration &registration, TimePoint now)
{
    Member &member = m_members.try_emplace(vm.name, Member{.name = vm.name, .lastReportAt = now}).first->second;
    member.registration = registration;
    member.registeredAt = vm.registeredAt;
    member.isMissing = false;
    m_seatHolders.reset();
}

void Members::setClaim(const VmName &vm, SeatClaim claim, const StorePosition &usedAt, std::uint64_t revision)
{
    const auto it = m_members.find(vm);
    if (it != m_members.end()) {
        it->second.claim = claim;
        it->second.seatUsedAt = usedAt;
        it->second.revision = revision;
    }
}

void Members::remove(const VmName &vm)
{
    const auto it = m_members.find(vm);
    if (it == m_members.end()) {
        return;
    }
    if (m_restoredAt) {
        it->second.isMissing = true;
    } else {
        m_members.erase(it);
        m_seatHolders.reset();
    }
}

void Members::noteStoreRestored(TimePoint now)
{
    m_restoredAt = now;
}

bool Members::removeExpired(TimePoint now)
{
    if (!m_restoredAt || now - *m_restoredAt <= registrationGrace + rewriteInterval * missingCount()) {
        return false;
    }
    m_restoredAt.reset();
    const std::size_t removed = std::erase_if(m_members, [](const auto &it) { return it.second.isMissing; });
    m_seatHolders.reset();
    return removed > 0;
}

std::size_t Members::missingCount() const
{
    return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), [](const auto &it) { return it.second.isMissing; }));
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

void Members::recordReport(const VmName &vm, bool isLeaving, Duration storeReachableFor, StorePosition newestChange, TimePoint now)
{
    const auto it = m_members.find(vm);
    if (it != m_members.end()) {
        it->second.lastReportAt = now;
        it->second.isLeaving = isLeaving;
        it->second.newestChange = newestChange;
        it->second.storeReachableSince = storeReachableFor > Duration(0) ? std::optional(now - storeReachableFor) : std::nullopt;
    }
}

void Members::recordHealth(const VmName &vm, bool isImpaired, TimePoint now)
{
    const auto it = m_members.find(vm);
    if (it != m_members.end()) {
        it->second.isImpaired = isImpaired;
        it->second.healthReportedAt = now;
    }
}

void Members::recordDeclarationsVersion(const VmName &vm, std::uint64_t version)
{
    const auto it = m_members.find(vm);
    if (it != m_members.end()) {
        it->second.declarationsVersion = version;
    }
}

const Member *Members::findNewerDeclarations(std::uint64_t version, TimePoint now) const
{
    const auto it = std::find_if(m_members.begin(), m_members.end(), [this, version, now](const auto &it) {
        const Member &member = it.second;
        return !isSelf(member.name) && member.declarationsVersion > version && isLive(member, now);
    });
    return it == m_members.end() ? nullptr : &it->second;
}

void Members::recordContact(const VmName &vm, bool isLeaving, TimePoint now)
{
    const auto it = m_members.find(vm);
    if (it != m_members.end()) {
        it->second.lastReportAt = now;
        it->second.isLeaving = isLeaving;
    }
}

void Members::recordSignOfLife(const VmName &vm, TimePoint now)
{
    const auto it = m_members.find(vm);
    if (it != m_members.end()) {
        it->second.lastReportAt = now;
    }
}

void Members::recordSeatHolders(const std::vector<SeatHolderStatus> &overdue, TimePoint now)
{
    for (const VmName &name : seatHolders()) {
        const auto status = std::find_if(overdue.begin(), overdue.end(), [&name](const SeatHolderStatus &it) { return it.vm == name; });
        const bool isOverdue = status != overdue.end();
        const TimePoint reportAt = now - (isOverdue ? status->reportAge : usualReportAge);
        Member &member = m_members.at(name);
        if (isOverdue && status->isLeaving) {
            member.isLeaving = true;
        } else if (reportAt > member.lastReportAt) {
            member.isLeaving = false;
        }
        if (isOverdue && status->isImpaired) {
            member.isImpaired = true;
        } else if (reportAt > member.lastReportAt) {
            member.isImpaired = false;
        }
        member.lastReportAt = std::max(member.lastReportAt, reportAt);
    }
}

std::vector<SeatHolderStatus> Members::overdueSeatHolders(TimePoint now) const
{
    std::vector<SeatHolderStatus> overdue;
    for (const VmName &it : seatHolders()) {
        const Member &member = m_members.at(it);
        const bool isLeaving = isSelf(it) ? m_isLeaving : member.isLeaving;
        const Duration age = isSelf(it) ? Duration(0) : now - member.lastReportAt;
        if (isLeaving || isImpaired(it) || age > freshReportAge) {
            overdue.push_back({.vm = it, .reportAge = age, .isLeaving = isLeaving, .isImpaired = isImpaired(it)});
        }
    }
    return overdue;
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

std::vector<RegisteredVm> Members::registeredVms() const
{
    std::vector<RegisteredVm> vms;
    vms.reserve(m_members.size());
    for (const auto &[name, it] : m_members) {
        vms.push_back({.name = name,
                       .failureDomain = it.registration.failureDomain,
                       .registeredAt = it.registeredAt,
                       .millicores = it.registration.millicores});
    }
    return vms;
}

// A Vm without a seat doesn't learn which seat holders reach the store, but as their deputy it knows that none does.
std::vector<SeatView> Members::seatViews(bool isDeputy, TimePoint now) const
{
    const bool holdsSeat = isSeatHolder(m_self);
    std::vector<SeatView> views;
    views.reserve(m_members.size());
    for (const auto &[name, it] : m_members) {
        const bool reachesStore = holdsSeat || isSelf(name) ? hasAccess(name, now) : !isDeputy;
        views.push_back({.vm = {.name = name,
                                .failureDomain = it.registration.failureDomain,
                                .registeredAt = it.registeredAt,
                                .millicores = it.registration.millicores},
                         .claim = it.claim,
                         .revision = it.revision,
                         .heardAt = isSelf(name) ? now : it.lastReportAt,
                         .reachesStore = reachesStore});
    }
    return views;
}

const std::vector<VmName> &Members::seatHolders() const
{
    if (!m_seatHolders) {
        m_seatHolders = assignSeats(registeredVms());
    }
    return *m_seatHolders;
}

bool Members::isSeatHolder(const VmName &vm) const
{
    const std::vector<VmName> &holders = seatHolders();
    return std::find(holders.begin(), holders.end(), vm) != holders.end();
}

std::vector<VmName> Members::liveSeatHolders(TimePoint now) const
{
    std::vector<VmName> live = seatHolders();
    std::erase_if(live, [this, now](const VmName &it) { return !isLive(m_members.at(it), now); });
    return live;
}

std::vector<HolderHealth> Members::otherHolders(TimePoint now) const
{
    std::vector<HolderHealth> others;
    if (!isSeatHolder(m_self)) {
        return others;
    }
    for (const VmName &it : liveSeatHolders(now)) {
        const Member &member = m_members.at(it);
        if (!isSelf(it) && member.healthReportedAt != TimePoint() && now - member.healthReportedAt < freshReportAge) {
            others.push_back({.vm = it, .isImpaired = member.isImpaired});
        }
    }
    return others;
}

bool Members::isImpaired(const VmName &vm) const
{
    return isSelf(vm) ? m_isImpaired : m_members.at(vm).isImpaired;
}

// All of them if fewer than two would be left.
std::vector<VmName> Members::withoutImpaired(const std::vector<VmName> &vms) const
{
    std::vector<VmName> healthy;
    std::copy_if(vms.begin(), vms.end(), std::back_inserter(healthy), [this](const VmName &it) { return !isImpaired(it); });
    return healthy.size() >= minNamedVms ? healthy : vms;
}

// The given Vms that are strong enough for an equal share of the callers.
std::vector<VmName> Members::selectStrong(const std::vector<VmName> &vms) const
{
    std::vector<VmCapacity> capacities;
    capacities.reserve(vms.size());
    for (const VmName &it : vms) {
        const VmRegistration &registration = m_members.at(it).registration;
        capacities.push_back({.vm = it,
                              .millicores = registration.millicores,
                              .linkMbps = registration.linkMbps,
                              .memoryMb = registration.memoryMb,
                              .descriptors = registration.descriptors});
    }
    return selectByCapacity(capacities);
}

// Strong live seat holders in the caller's failure domain, so that traffic stays within it. With fewer than two of them, the strong ones of
// all domains; if those are less than half of all seats, all live seat holders, and if these are, further live Vms. Impaired ones are left
// out while two others are left.
std::vector<Address> Members::callerAddresses(const FailureDomain &domain, TimePoint now) const
{
    std::vector<VmName> selected = withoutImpaired(liveSeatHolders(now));
    std::vector<VmName> local;
    std::copy_if(selected.begin(), selected.end(), std::back_inserter(local), [this, &domain](const VmName &it) {
        return m_members.at(it).registration.failureDomain == domain;
    });
    local = selectStrong(local);
    const std::vector<VmName> strong = selectStrong(selected);
    const std::size_t minAddresses = seatHolders().size() / 2;
    if (local.size() >= minNamedVms) {
        selected = std::move(local);
    } else if (strong.size() >= minAddresses) {
        selected = strong;
    } else {
        for (auto it = m_members.begin(); it != m_members.end() && selected.size() < minAddresses; ++it) {
            const bool isSelected = std::find(selected.begin(), selected.end(), it->first) != selected.end();
            if (!isSelected && isLive(it->second, now) && !isImpaired(it->first)) {
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
    std::vector<const Member *> receivers;
    for (const VmName &it : seatHolders()) {
        receivers.push_back(&m_members.at(it));
    }
    const bool holdsSeat = std::erase_if(receivers, [this](const Member *it) { return isSelf(it->name); }) > 0;
    return holdsSeat || m_isDeputy ? receivers : std::vector<const Member *>();
}

std::vector<const Member *> Members::noticeReceivers(TimePoint now) const
{
    std::vector<const Member *> receivers;
    if (!isSeatHolder(m_self)) {
        return reportReceivers();
    }
    const std::vector<VmName> watching = watchers(now);
    if (std::find(watching.begin(), watching.end(), m_self) != watching.end()) {
        receivers = reportReceivers();
    }
    const std::vector<VmName> live = liveSeatHolders(now);
    std::map<FailureDomain, std::vector<VmName>> liveByDomain;
    for (const VmName &it : live) {
        liveByDomain[m_members.at(it).registration.failureDomain].push_back(it);
    }
    const std::set<VmName> seated(seatHolders().begin(), seatHolders().end());
    std::size_t index = 0; // spreads the Vms over the seat holders; about the same on all of them
    for (const auto &[name, it] : m_members) {
        if (seated.contains(name)) {
            continue;
        }
        ++index;
        const auto local = liveByDomain.find(it.registration.failureDomain);
        const std::vector<VmName> &servers = local == liveByDomain.end() ? live : local->second;
        for (std::size_t i = 0; i < std::min(noticesPerVm, servers.size()); ++i) {
            if (isSelf(servers[(index + i) % servers.size()])) {
                receivers.push_back(&it);
            }
        }
    }
    return receivers;
}

bool Members::hasAccess(const VmName &holder, TimePoint now) const
{
    const Member &member = m_members.at(holder);
    return isSelf(holder) ? m_hasStore : member.storeReachableSince && now - member.lastReportAt < freshReportAge;
}

std::size_t Members::storeAccessCount(TimePoint now) const
{
    const std::vector<VmName> live = liveSeatHolders(now);
    return static_cast<std::size_t>(std::count_if(live.begin(), live.end(), [this, now](const VmName &it) { return hasAccess(it, now); }));
}

std::vector<VmName> Members::watchers(TimePoint now) const
{
    const std::vector<VmName> live = liveSeatHolders(now);
    std::vector<VmName> selected;
    std::copy_if(live.begin(), live.end(), std::back_inserter(selected), [this, now](const VmName &it) { return hasAccess(it, now); });
    selected = selected.empty() ? live : selected;
    selected.resize(std::min(selected.size(), maxWatchers));
    return selected;
}

std::vector<VmName> Members::deputies(TimePoint now) const
{
    std::vector<VmName> selected;
    if (storeAccessCount(now) > 0) {
        return selected;
    }
    const std::set<VmName> seated(seatHolders().begin(), seatHolders().end());
    for (const auto &[name, it] : m_members) {
        if (selected.size() < maxWatchers && it.storeReachableSince && !seated.contains(name) && !isSelf(name) && isLive(it, now)) {
            selected.push_back(name);
        }
    }
    return selected;
}

std::vector<const Member *> Members::feedSources(StorePosition since, bool prefersOwnDomain, TimePoint now) const
{
    const bool holdsSeat = isSeatHolder(m_self);
    std::vector<VmName> names = holdsSeat ? deputies(now) : liveSeatHolders(now);
    if (holdsSeat && names.empty()) {
        names = watchers(now);
    }
    std::vector<const Member *> candidates;
    for (const VmName &it : names.empty() ? seatHolders() : names) {
        if (!isSelf(it)) {
            candidates.push_back(find(it));
        }
    }
    const auto select = [&candidates](const auto &predicate) {
        std::vector<const Member *> result;
        std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(result), predicate);
        return result;
    };
    std::vector<const Member *> newer = select([holdsSeat, since](const Member *it) { return holdsSeat && it->newestChange > since; });
    if (!newer.empty()) {
        return newer;
    }
    std::vector<const Member *> local = select([this](const Member *it) { return isInOwnDomain(*it); });
    return prefersOwnDomain && !local.empty() ? local : candidates;
}

std::vector<VmName> Members::lostVms(Duration silence, TimePoint now)
{
    const std::vector<VmName> live = liveSeatHolders(now);
    const auto localHolder = std::find_if(live.begin(), live.end(), [this](const VmName &it) { return isInOwnDomain(m_members.at(it)); });
    const bool hasRole = localHolder != live.end() && isSelf(*localHolder);
    m_removesDomainSince = hasRole ? std::optional(m_removesDomainSince.value_or(now)) : std::nullopt;
    std::vector<VmName> lost;
    for (const auto &[name, it] : m_members) {
        const bool isOwnTask = hasRole && isInOwnDomain(it) && !isSelf(name) && !isSeatHolder(name);
        if (isOwnTask && now - std::max(it.lastReportAt, *m_removesDomainSince) > silence) {
            lost.push_back(name);
        }
    }
    return lost;
}

} // namespace Pollenspoke
