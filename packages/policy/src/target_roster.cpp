#include <algorithm>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

namespace {

bool isOlder(const RegistrationNumber &number, const RegistrationNumber &known)
{
    return number != RegistrationNumber() && number < known;
}

} // namespace

TimePoint TargetRoster::removalTime(TimePoint now) const
{
    const bool isOutage = m_outageStartedAt && now - *m_outageStartedAt >= longOutage;
    return isOutage ? now + returnGrace : std::max(now, m_graceUntil);
}

void TargetRoster::noteStoreUnreachable(TimePoint now)
{
    if (!m_outageStartedAt) {
        m_outageStartedAt = now;
    }
}

void TargetRoster::noteStoreReachable(TimePoint now)
{
    if (m_outageStartedAt && now - *m_outageStartedAt >= longOutage) {
        m_graceUntil = now + returnGrace;
        for (auto &[name, it] : m_withheld) {
            it.since = now; // the store may not have removed the entries of silent targets meanwhile
        }
    }
    m_outageStartedAt.reset();
}

void TargetRoster::noteLocalOutage(TimePoint now)
{
    const TimePoint end = std::max(now, m_restoredGraceUntil);
    m_graceUntil = std::min(m_graceUntil, end);
    for (auto &[name, it] : m_entries) {
        if (it.removeAt) {
            it.removeAt = std::min(*it.removeAt, end);
        }
    }
}

void TargetRoster::noteStoreRestored(TimePoint noticedAt)
{
    m_restoredGraceUntil = std::max(m_restoredGraceUntil, noticedAt + returnGrace);
    m_graceUntil = std::max(m_graceUntil, m_restoredGraceUntil);
    m_restoredUntil = std::max(m_restoredUntil, noticedAt + departureMemory);
    for (auto &[name, it] : m_entries) {
        if (it.removeAt && *it.removeAt > noticedAt) {
            it.removeAt = std::max(*it.removeAt, m_restoredGraceUntil); // what it has written to be kept may be lost again
        }
    }
}

// Until when the entry can't be told from what a late write or an older copy says of the target.
TimePoint TargetRoster::refusedUntil(const Withheld &offered) const
{
    const RosterEntry &entry = offered.entry;
    TimePoint until;
    const auto held = m_entries.find(entry.target.name);
    if (held != m_entries.end() && held->second.entry.number != RegistrationNumber()) {
        const RosterEntry &known = held->second.entry;
        const bool isLeaving = known.target.state == TargetState::Leaving && entry.target.state == TargetState::Serving;
        const bool mustBeNewer = isLeaving || held->second.removeAt;
        if (entry.number < known.number || (mustBeNewer && entry.number == known.number)) {
            until = m_restoredUntil;
        }
        if (isOlder(entry.number, known.number)) {
            until = std::max(until, offered.since + staleEntryTime);
        }
    }
    const auto departure = m_departures.find(entry.target.name);
    if (departure != m_departures.end() && entry.number <= departure->second.number) {
        until = std::max(until, departure->second.isReported ? forgottenAt(departure->second) : m_restoredUntil);
        if (isOlder(entry.number, departure->second.number)) {
            until = std::max(until, std::min(offered.since + staleEntryTime, forgottenAt(departure->second)));
        }
    }
    return until;
}

TimePoint TargetRoster::forgottenAt(const Departure &departure) const
{
    return std::max(departure.notedAt + departureMemory, m_restoredUntil);
}

void TargetRoster::noteDeparture(const TargetDeparture &departure, bool isReported, TimePoint now)
{
    if (departure.number == RegistrationNumber()) {
        return; // nothing is known to be newer
    }
    const auto known = m_departures.find(departure.target);
    if (known != m_departures.end() && departure.number <= known->second.number) {
        known->second.isSeen = known->second.isSeen || !isReported;
        known->second.isReported = known->second.isReported || isReported;
        return;
    }
    m_departures.insert_or_assign(departure.target,
                                  Departure{.number = departure.number, .notedAt = now, .isSeen = !isReported, .isReported = isReported});
}

void TargetRoster::forgetDepartures(TimePoint now)
{
    std::erase_if(m_departures, [this, now](const auto &it) { return forgottenAt(it.second) <= now; });
    if (m_departures.size() <= maxDepartures) {
        return;
    }
    std::vector<std::pair<TimePoint, TargetName>> oldest;
    oldest.reserve(m_departures.size());
    for (const auto &[name, it] : m_departures) {
        oldest.emplace_back(it.notedAt, name);
    }
    const auto end = oldest.begin() + static_cast<std::ptrdiff_t>(m_departures.size() - maxDepartures);
    std::nth_element(oldest.begin(), end, oldest.end());
    std::for_each(oldest.begin(), end, [this](const auto &it) { m_departures.erase(it.second); });
}

void TargetRoster::replaceAll(std::vector<RosterEntry> entries, TimePoint now)
{
    std::set<TargetName> names;
    for (const RosterEntry &it : entries) {
        names.insert(it.target.name);
    }
    const TimePoint removeAt = removalTime(now);
    for (auto &[name, it] : m_entries) {
        if (!names.contains(name)) {
            it.removeAt = it.removeAt.value_or(removeAt);
        }
    }
    std::erase_if(m_withheld, [&names](const auto &it) { return !names.contains(it.first); });
    for (RosterEntry &it : entries) {
        put(std::move(it), now);
    }
}

void TargetRoster::put(RosterEntry entry, TimePoint now)
{
    const auto withheld = m_withheld.find(entry.target.name);
    const TimePoint since = withheld == m_withheld.end() ? now : withheld->second.since;
    offer({.entry = std::move(entry), .since = since}, now);
}

void TargetRoster::offer(Withheld offered, TimePoint now)
{
    const TargetName name = offered.entry.target.name;
    if (now < refusedUntil(offered)) {
        m_withheld.insert_or_assign(name, std::move(offered));
        return;
    }
    m_withheld.erase(name);
    m_departures.erase(name);
    m_entries.insert_or_assign(name, Entry{.entry = std::move(offered.entry)});
}

void TargetRoster::remove(const TargetName &name, TimePoint now)
{
    m_withheld.erase(name);
    const auto it = m_entries.find(name);
    if (it != m_entries.end() && !it->second.removeAt) {
        it->second.removeAt = removalTime(now);
    }
}

std::vector<TargetDeparture> TargetRoster::departures(TimePoint now) const
{
    std::map<TargetName, RegistrationNumber> numbers;
    for (const auto &[name, it] : m_departures) {
        if (it.isSeen && now < forgottenAt(it)) {
            numbers.emplace(name, it.number);
        }
    }
    for (const auto &[name, it] : m_entries) {
        const bool hasLeft = it.entry.target.state == TargetState::Leaving || (it.removeAt && *it.removeAt <= now);
        if (hasLeft && it.entry.number != RegistrationNumber()) {
            numbers.insert_or_assign(name, it.entry.number);
        }
    }
    std::vector<TargetDeparture> departures;
    departures.reserve(numbers.size());
    for (const auto &[name, number] : numbers) {
        departures.push_back({.target = name, .number = number});
    }
    return departures;
}

void TargetRoster::applyDepartures(const std::vector<TargetDeparture> &departures, TimePoint now)
{
    for (const TargetDeparture &it : departures) {
        const auto held = m_entries.find(it.target);
        if (held != m_entries.end()) {
            if (held->second.entry.number > it.number) {
                continue;
            }
            if (held->second.entry.target.state == TargetState::Serving) {
                if (!held->second.removeAt) {
                    m_withheld.insert_or_assign(it.target, Withheld{.entry = held->second.entry, .since = now});
                }
                m_entries.erase(held);
            }
        }
        noteDeparture(it, true, now);
    }
    forgetDepartures(now);
}

std::map<ServiceName, std::vector<Target>> TargetRoster::targets(TimePoint now)
{
    std::erase_if(m_entries, [this, now](const auto &it) {
        const bool isRemoved = it.second.removeAt && *it.second.removeAt <= now;
        if (isRemoved) {
            noteDeparture({.target = it.first, .number = it.second.entry.number}, false, now);
        }
        return isRemoved;
    });
    forgetDepartures(now);
    useWithheld(now);
    std::map<ServiceName, std::vector<Target>> targets;
    for (const auto &[name, it] : m_entries) {
        targets[it.entry.service].push_back(it.entry.target);
    }
    return targets;
}

// The store removes the entries of silent targets, so one that it still has after so long was written by a running target.
void TargetRoster::useWithheld(TimePoint now)
{
    if (m_outageStartedAt) {
        return;
    }
    std::vector<Withheld> due;
    for (const auto &[name, it] : m_withheld) {
        if (refusedUntil(it) <= now) {
            due.push_back(it);
        }
    }
    for (Withheld &it : due) {
        offer(std::move(it), now);
    }
}

std::optional<RegistrationNumber> TargetRoster::knownNumber(const TargetName &name) const
{
    if (const auto held = m_entries.find(name); held != m_entries.end()) {
        return held->second.entry.number;
    }
    const auto departure = m_departures.find(name);
    return departure == m_departures.end() ? std::nullopt : std::optional(departure->second.number);
}

std::map<TargetName, RegistrationNumber> TargetRoster::withheldNumbers() const
{
    std::map<TargetName, RegistrationNumber> numbers;
    for (const auto &[name, it] : m_withheld) {
        numbers.emplace(name, it.entry.number);
    }
    return numbers;
}

std::optional<TimePoint> TargetRoster::nextRemoval() const
{
    std::optional<TimePoint> next;
    const auto add = [&next](TimePoint time) { next = next ? std::min(*next, time) : time; };
    for (const auto &[name, it] : m_entries) {
        if (it.removeAt) {
            add(*it.removeAt);
        }
    }
    for (const auto &[name, it] : m_withheld) {
        if (!m_outageStartedAt) {
            add(refusedUntil(it));
        }
    }
    return next;
}

} // namespace Pollenspoke
