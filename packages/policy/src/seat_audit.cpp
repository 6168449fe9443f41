#include <algorithm>
#include <iterator>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

namespace {

constexpr Duration confirmDelay = std::chrono::milliseconds(1200); // a contested Vm that reaches the store answers for itself
constexpr Duration confirmStep = std::chrono::milliseconds(600);   // between Vms that answer for another one
constexpr Duration freshContact = std::chrono::seconds(1);
constexpr Duration recentContact = std::chrono::milliseconds(500); // a Vm that was heard so lately needs no ping

const SeatView *findView(const std::vector<SeatView> &vms, const VmName &name)
{
    const auto it = std::find_if(vms.begin(), vms.end(), [&name](const SeatView &vm) { return vm.vm.name == name; });
    return it == vms.end() ? nullptr : &*it;
}

std::vector<RegisteredVm> heldVms(const std::vector<SeatView> &vms)
{
    std::vector<RegisteredVm> held;
    for (const SeatView &it : vms) {
        if (it.claim == SeatClaim::Held) {
            held.push_back(it.vm);
        }
    }
    return held;
}

} // namespace

SeatAudit::SeatAudit(VmName self)
    : m_self(std::move(self))
{
}

bool SeatAudit::isSilent(const SeatView &vm, TimePoint now) const
{
    return vm.vm.name != m_self && now - std::max(vm.heardAt, m_observingSince) > SeatTiming::silence;
}

bool SeatAudit::isSpared(const VmName &vm, TimePoint now) const
{
    const auto it = m_sparedUntil.find(vm);
    return it != m_sparedUntil.end() && now < it->second;
}

// One that was contested by this Vm and is held again has been heard by somebody.
void SeatAudit::noteClaims(const std::vector<SeatView> &vms, TimePoint now)
{
    std::map<VmName, Noted> noted;
    for (const SeatView &it : vms) {
        const auto contested = m_contested.find(it.vm.name);
        if (it.claim == SeatClaim::Held) {
            if (contested != m_contested.end() && it.revision > contested->second) {
                m_contested.erase(contested);
                m_sparedUntil[it.vm.name] = now + spareTime;
                if (m_trialAt) {
                    m_trialAt.reset();
                    m_pausedUntil = now + pauseTime;
                }
            }
            continue;
        }
        const auto known = m_noted.find(it.vm.name);
        const bool isKnown = known != m_noted.end() && known->second.revision == it.revision;
        noted.emplace(it.vm.name, isKnown ? known->second : Noted{.claim = it.claim, .revision = it.revision, .since = now});
    }
    m_noted = std::move(noted);
    std::erase_if(m_contested, [&vms](const auto &it) { return findView(vms, it.first) == nullptr; });
    std::erase_if(m_sparedUntil, [now](const auto &it) { return now >= it.second; });
}

bool SeatAudit::isAuditor(const std::vector<SeatView> &vms, const std::vector<VmName> &holders, TimePoint now, Generator &generator)
{
    const auto first = std::find_if(holders.begin(), holders.end(), [&](const VmName &it) {
        const SeatView *view = findView(vms, it);
        return view != nullptr && view->reachesStore && view->claim != SeatClaim::Released && !isSilent(*view, now);
    });
    if (first != holders.end()) {
        m_auditsFrom.reset();
        return *first == m_self;
    }
    const SeatView *self = findView(vms, m_self);
    if (self == nullptr || !self->reachesStore) {
        return false;
    }
    if (!m_auditsFrom) {
        const Duration spread = std::min<Duration>(spreadPerVm * vms.size(), maxSpread);
        std::uniform_real_distribution<double> part(0, 1);
        m_auditsFrom = now + std::chrono::duration_cast<Duration>(spread * part(generator));
    }
    return now >= *m_auditsFrom;
}

void SeatAudit::planConfirmations(const std::vector<SeatView> &vms,
                                  const std::vector<VmName> &holders,
                                  TimePoint now,
                                  SeatActions &actions) const
{
    const auto isContested = [](const auto &it) { return it.second.claim == SeatClaim::Contested; };
    if (std::none_of(m_noted.begin(), m_noted.end(), isContested)) {
        return;
    }
    std::vector<VmName> heard;
    std::copy_if(holders.begin(), holders.end(), std::back_inserter(heard), [&](const VmName &it) {
        const SeatView *view = findView(vms, it);
        return view != nullptr && !isSilent(*view, now) && view->claim == SeatClaim::Held;
    });
    const auto rank = static_cast<std::size_t>(std::find(heard.begin(), heard.end(), m_self) - heard.begin());
    if (rank >= std::min(heard.size(), maxConfirmers)) {
        return;
    }
    for (const auto &[name, it] : m_noted) {
        const SeatView *view = findView(vms, name);
        const bool isHeard = view != nullptr && view->heardAt > it.since && now - view->heardAt < freshContact;
        if (it.claim == SeatClaim::Contested && name != m_self && isHeard && now - it.since >= confirmDelay + confirmStep * rank) {
            actions.confirm.push_back(name);
        }
    }
}

// What another Vm contested is left to that one at first, unless this Vm is a seat holder: then it has taken over.
void SeatAudit::planRemovals(const std::vector<SeatView> &vms, bool holdsSeat, TimePoint now, SeatActions &actions) const
{
    for (const SeatView &it : vms) {
        const auto noted = m_noted.find(it.vm.name);
        if (noted == m_noted.end() || it.vm.name == m_self) {
            continue;
        }
        const bool isReleased = noted->second.claim == SeatClaim::Released;
        const bool isOwn = holdsSeat || isReleased || m_contested.contains(it.vm.name);
        const Duration wait = isReleased ? SeatTiming::restartTime : SeatTiming::fence + (isOwn ? Duration(0) : successionTime);
        if (now - noted->second.since >= wait) {
            actions.remove.push_back(it.vm.name);
        }
    }
}

void SeatAudit::planPings(const std::vector<SeatView> &vms, const std::vector<VmName> &holders, TimePoint now, SeatActions &actions)
{
    const std::vector<VmName> nextHolders = m_noted.empty() ? holders : assignSeats(heldVms(vms));
    const bool isAnySilent = std::any_of(nextHolders.begin(), nextHolders.end(), [&](const VmName &it) {
        const SeatView *view = findView(vms, it);
        return view != nullptr && view->claim == SeatClaim::Held && isSilent(*view, now) && !isSpared(it, now);
    });
    if (!isAnySilent || now < m_pausedUntil) {
        m_round.reset();
        return;
    }
    if (m_round && (m_round->isRepeated || now - m_round->startedAt < pingTime / 2)) {
        return;
    }
    const TimePoint heardSince = (m_round ? m_round->startedAt : now) - recentContact;
    for (const SeatView &it : vms) {
        if (it.vm.name != m_self && it.heardAt < heardSince) {
            actions.ping.push_back(it.vm.name);
        }
    }
    m_round = m_round ? Round{.startedAt = m_round->startedAt, .isRepeated = true} : Round{.startedAt = now};
}

// The successors of those that don't answer are contested with them, if they don't answer either: else their seats would pass from one lost
// Vm to the next, each time after the fence.
void SeatAudit::planContests(const std::vector<SeatView> &vms, TimePoint now, SeatActions &actions)
{
    const auto isLost = [this](const SeatView &it) { return it.vm.name != m_self && it.heardAt < m_round->startedAt - recentContact; };
    std::vector<RegisteredVm> candidates = heldVms(vms);
    std::vector<VmName> lost;
    for (bool isChanged = true; std::exchange(isChanged, false);) {
        for (const VmName &name : assignSeats(candidates)) {
            if (isLost(*findView(vms, name))) {
                std::erase_if(candidates, [&name](const RegisteredVm &it) { return it.name == name; });
                lost.push_back(name);
                isChanged = true;
            }
        }
    }
    std::erase_if(lost, [&](const VmName &it) {
        const auto contested = m_contested.find(it);
        return isSpared(it, now) || (contested != m_contested.end() && contested->second == findView(vms, it)->revision);
    });
    const bool hearsNobody = std::all_of(vms.begin(), vms.end(), [&](const SeatView &it) { return it.vm.name == m_self || isLost(it); });
    if (hearsNobody && m_trialAt && now - *m_trialAt < trialTime) {
        return;
    }
    if (hearsNobody && !m_trialAt) {
        lost.resize(std::min(lost.size(), trialSize));
        m_trialAt = now;
    }
    for (const VmName &it : lost) {
        m_contested[it] = findView(vms, it)->revision;
    }
    actions.contest = std::move(lost);
}

SeatActions SeatAudit::next(const std::vector<SeatView> &vms, const std::vector<VmName> &holders, TimePoint now, Generator &generator)
{
    if (!m_lastStepAt || now - *m_lastStepAt > maxStepGap) {
        m_observingSince = now;
        m_round.reset();
    }
    m_lastStepAt = now;
    noteClaims(vms, now);
    SeatActions actions;
    planConfirmations(vms, holders, now, actions);
    if (!isAuditor(vms, holders, now, generator)) {
        m_round.reset();
        m_trialAt.reset();
        return actions;
    }
    planRemovals(vms, std::find(holders.begin(), holders.end(), m_self) != holders.end(), now, actions);
    if (m_round && now - m_round->startedAt >= pingTime) {
        planContests(vms, now, actions);
        m_round.reset();
    } else {
        planPings(vms, holders, now, actions);
    }
    return actions;
}

} // namespace Pollenspoke
