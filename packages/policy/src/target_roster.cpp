#include <algorithm>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

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
    }
    m_outageStartedAt.reset();
}

void TargetRoster::noteLocalOutage(TimePoint now)
{
    m_graceUntil = std::min(m_graceUntil, now);
    for (auto &[name, it] : m_entries) {
        if (it.removeAt) {
            it.removeAt = std::min(*it.removeAt, now);
        }
    }
}

void TargetRoster::replaceAll(std::vector<RosterEntry> entries, TimePoint now)
{
    const TimePoint removeAt = removalTime(now);
    for (auto &[name, it] : m_entries) {
        it.removeAt = it.removeAt.value_or(removeAt);
    }
    for (RosterEntry &it : entries) {
        put(std::move(it), now);
    }
}

void TargetRoster::put(RosterEntry entry, TimePoint /*now*/)
{
    const TargetName name = entry.target.name;
    m_entries.insert_or_assign(name, Entry{.entry = std::move(entry)});
}

void TargetRoster::remove(const TargetName &name, TimePoint now)
{
    const auto it = m_entries.find(name);
    if (it != m_entries.end() && !it->second.removeAt) {
        it->second.removeAt = removalTime(now);
    }
}

std::map<ServiceName, std::vector<Target>> TargetRoster::targets(TimePoint now)
{
    std::erase_if(m_entries, [now](const auto &it) { return it.second.removeAt && *it.second.removeAt <= now; });
    std::map<ServiceName, std::vector<Target>> targets;
    for (const auto &[name, it] : m_entries) {
        targets[it.entry.service].push_back(it.entry.target);
    }
    return targets;
}

std::optional<TimePoint> TargetRoster::nextRemoval() const
{
    std::optional<TimePoint> next;
    for (const auto &[name, it] : m_entries) {
        if (it.removeAt && (!next || *it.removeAt < *next)) {
            next = it.removeAt;
        }
    }
    return next;
}

} // namespace Pollenspoke
