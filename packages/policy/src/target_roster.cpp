#include <algorithm>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

TimePoint TargetRoster::dropTime(TimePoint now) const
{
    const bool isOutage = m_lostAt && now - *m_lostAt >= longOutage;
    return isOutage ? now + returnGrace : std::max(now, m_graceUntil);
}

void TargetRoster::noteStoreUnreachable(TimePoint now)
{
    if (!m_lostAt) {
        m_lostAt = now;
    }
}

void TargetRoster::noteStoreReachable(TimePoint now)
{
    if (m_lostAt && now - *m_lostAt >= longOutage) {
        m_graceUntil = now + returnGrace;
    }
    m_lostAt.reset();
}

void TargetRoster::noteLocalOutage(TimePoint now)
{
    m_graceUntil = std::min(m_graceUntil, now);
    for (auto &[name, it] : m_entries) {
        if (it.dropAt) {
            it.dropAt = std::min(*it.dropAt, now);
        }
    }
}

void TargetRoster::replaceAll(std::vector<RosterEntry> entries, TimePoint now)
{
    const TimePoint dropAt = dropTime(now);
    for (auto &[name, it] : m_entries) {
        it.dropAt = it.dropAt.value_or(dropAt);
    }
    for (RosterEntry &it : entries) {
        put(std::move(it), now);
    }
}

void TargetRoster::put(RosterEntry entry, TimePoint /*now*/)
{
    const TargetName name = entry.target.name;
    m_entries.insert_or_assign(name, Kept{.entry = std::move(entry)});
}

void TargetRoster::remove(const TargetName &name, TimePoint now)
{
    const auto it = m_entries.find(name);
    if (it != m_entries.end() && !it->second.dropAt) {
        it->second.dropAt = dropTime(now);
    }
}

std::map<ServiceName, std::vector<Target>> TargetRoster::targets(TimePoint now)
{
    std::erase_if(m_entries, [now](const auto &it) { return it.second.dropAt && *it.second.dropAt <= now; });
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
        if (it.dropAt && (!next || *it.dropAt < *next)) {
            next = it.dropAt;
        }
    }
    return next;
}

} // namespace Pollenspoke
