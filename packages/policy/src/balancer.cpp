#include <algorithm>
#include <cmath>
#include <pollenspoke/policy.h>
#include <utility>

namespace Pollenspoke {

namespace {

constexpr double targetLatencyWeight = 0.2;                // weight of a new answer in a target's moving average
constexpr double serviceLatencyWeight = 0.05;              // weight of a new answer in the service's and routes' averages
constexpr std::size_t maxTrackedRoutes = 10000;            // bounds m_routeLatencies, as routes change with the configuration
constexpr double pauseGrowthFactor = 1.5;                  // ratio of each pause to the previous one
constexpr auto returnReportTime = std::chrono::seconds(2); // for which other Vms are told of a return; covers lost reports
constexpr auto retryableMemory = std::chrono::seconds(1);  // after the last request that can be retried, the service counts as having none
// For each target. In a simulated fleet of eight, overload makes targets decline 1.4 times as often or more if all of them do it.
constexpr std::size_t queueingVms = 2;
constexpr std::uint32_t halfOpenSlots = 1; // requests that a half-open target may hold
constexpr double scoreJitter = 1.5;        // largest random factor of a score; similar to the random latency differences of equal targets
constexpr double overloadScoreJitter = 2;  // the same under overload; spreads requests over all similar targets

constexpr std::size_t maxAnnounced = 4096; // announcements kept; the oldest of unlisted targets are dropped first

double movingAverage(double average, double value, double weight)
{
    return average <= 0 ? value : average + weight * (value - average);
}

} // namespace

ServiceBalancer::ServiceBalancer(BalancerOptions options)
    : m_options(options)
{
}

const ServiceBalancer::Member *ServiceBalancer::find(const TargetName &name) const
{
    const auto it = std::find_if(m_members.begin(), m_members.end(), [&name](const Member &member) { return member.target.name == name; });
    return it == m_members.end() ? nullptr : &*it;
}

ServiceBalancer::Member *ServiceBalancer::find(const TargetName &name)
{
    return const_cast<Member *>(std::as_const(*this).find(name));
}

void ServiceBalancer::setTargets(const std::vector<Target> &targets, TimePoint now)
{
    std::vector<Member> members;
    members.reserve(targets.size());
    for (const Target &it : targets) {
        Member *existing = find(it.name);
        const bool isSame = existing != nullptr && existing->target.address == it.address && existing->target.incarnation == it.incarnation;
        Member member = isSame ? std::move(*existing) : Member();
        const bool isNewWarmup = member.target.warmupMs != it.warmupMs || member.target.warmupSequence != it.warmupSequence;
        if (member.target.name != it.name || isNewWarmup) {
            member.warmupUntil = now + std::chrono::milliseconds(it.warmupMs);
            member.warmup.setRegistered(std::chrono::milliseconds(it.warmupMs), now);
        }
        member.warmup.setUnknown(it.isWarmupUnknown, now);
        member.target = it;
        setWarmupShare(member, now);
        members.push_back(std::move(member));
    }
    m_members = std::move(members);
    forgetAnnouncements();
}

void ServiceBalancer::forgetAnnouncements()
{
    const auto findListed = [this](const std::pair<TargetName, Address> &key) {
        const Member *member = find(key.first);
        return member != nullptr && member->target.address == key.second ? member : nullptr;
    };
    std::erase_if(m_announced, [&findListed](const auto &it) {
        const Member *member = findListed(it.first);
        if (it.second.incarnation == 0) {
            return member == nullptr || member->target.state == TargetState::Leaving || member->target.incarnation != 0;
        }
        return member != nullptr && member->target.incarnation > it.second.incarnation;
    });
    while (m_announced.size() > maxAnnounced) {
        const auto isDroppedFirst = [&findListed](const auto &left, const auto &right) {
            return std::pair(findListed(left.first) != nullptr, left.second.notedAt)
                < std::pair(findListed(right.first) != nullptr, right.second.notedAt);
        };
        m_announced.erase(std::min_element(m_announced.begin(), m_announced.end(), isDroppedFirst));
    }
}

const ServiceBalancer::Member *ServiceBalancer::findInstance(const TargetInstance &instance) const
{
    const Member *member = find(instance.name);
    const bool isSame
        = member != nullptr && member->target.address == instance.address && member->target.incarnation == instance.incarnation;
    return isSame ? member : nullptr;
}

ServiceBalancer::Member *ServiceBalancer::findInstance(const TargetInstance &instance)
{
    return const_cast<Member *>(std::as_const(*this).findInstance(instance));
}

void ServiceBalancer::setWarmupShare(Member &member, TimePoint now) const
{
    if (m_warmupRate > 0) {
        member.warmup.setShare(warmupShare(member.target.name, m_warmupRate, m_options.warmup, m_sharers), now);
    } else {
        member.warmup.setUnlimited();
    }
}

void ServiceBalancer::setWarmupRate(double ratePerSecond, TimePoint now)
{
    if (ratePerSecond != m_warmupRate) {
        m_warmupRate = ratePerSecond;
        std::for_each(m_members.begin(), m_members.end(), [this, now](Member &it) { setWarmupShare(it, now); });
    }
}

bool ServiceBalancer::announce(const TargetInstance &instance, const TargetAnnouncement &announcement, TimePoint now)
{
    if (Member *member = findInstance(instance); member != nullptr && announcement.warmup > Duration(0)) {
        member->warmup.noteAnswer(announcement.warmup, now);
    }
    if (announcement == TargetAnnouncement{.warmup = announcement.warmup}) {
        return false;
    }
    const auto [it, isNew] = m_announced.try_emplace({instance.name, instance.address}, Announced{.incarnation = instance.incarnation});
    Announced &announced = it->second;
    if (instance.incarnation < announced.incarnation) {
        return false; // a late answer of an earlier instance
    }
    if (instance.incarnation > announced.incarnation) {
        announced = {.incarnation = instance.incarnation};
    }
    const bool wasLeaving = announced.isLeaving;
    const TimePoint wasPausedUntil = announced.pausedUntil;
    const bool isLimitNews = announcement.limit && announced.limit.applyAnswer(announcement.limit, now, instance.name, m_sharers, now);
    announced.isLeaving = announced.isLeaving || announcement.isLeaving;
    if (announcement.pause > Duration(0)) {
        announced.pausedUntil = std::max(announced.pausedUntil, now + announcement.pause);
    }
    announced.notedAt = now;
    return isLimitNews || announced.isLeaving != wasLeaving || announced.pausedUntil != wasPausedUntil;
}

bool ServiceBalancer::noteUnlimited(const TargetInstance &instance, TimePoint sentAt, TimePoint now)
{
    const auto it = m_announced.find({instance.name, instance.address});
    const bool isSame = it != m_announced.end() && it->second.incarnation == instance.incarnation;
    return isSame && it->second.limit.applyAnswer(std::nullopt, sentAt, instance.name, m_sharers, now);
}

void ServiceBalancer::setLimitSharers(const LimitSharers &sharers, TimePoint now)
{
    if (sharers == m_sharers) {
        return;
    }
    m_sharers = sharers;
    for (auto &[key, it] : m_announced) {
        it.limit.setSharers(key.first, m_sharers, now);
    }
    std::for_each(m_members.begin(), m_members.end(), [this, now](Member &it) { setWarmupShare(it, now); });
}

bool ServiceBalancer::takeToken(const TargetInstance &instance, TimePoint now)
{
    const auto it = m_announced.find({instance.name, instance.address});
    const bool isBound = it != m_announced.end() && it->second.incarnation >= instance.incarnation;
    Member *member = findInstance(instance);
    if (member != nullptr && !member->warmup.takeToken(now)) {
        return false;
    }
    const bool isTaken = !isBound || it->second.limit.takeToken(now);
    if (!isTaken && member != nullptr) {
        member->warmup.returnToken(now);
    }
    return isTaken;
}

void ServiceBalancer::returnToken(const TargetInstance &instance, TimePoint now)
{
    const auto it = m_announced.find({instance.name, instance.address});
    if (it != m_announced.end() && it->second.incarnation >= instance.incarnation) {
        it->second.limit.returnToken(now);
    }
    if (Member *member = findInstance(instance)) {
        member->warmup.returnToken(now);
    }
}

bool ServiceBalancer::isHeldBackByWarmup(TimePoint now) const
{
    return m_warmupRate > 0 && std::any_of(m_members.begin(), m_members.end(), [this, now](const Member &it) {
               return isOpen(it, now) && it.warmup.waitForToken(now) > Duration(0);
           });
}

bool ServiceBalancer::isHeldBackByWarmup(const TargetInstance &instance, TimePoint now) const
{
    const Member *member = findInstance(instance);
    return member != nullptr && member->warmup.waitForToken(now) > Duration(0);
}

const ServiceBalancer::Announced *ServiceBalancer::findAnnounced(const Member &member) const
{
    const auto it = m_announced.find({member.target.name, member.target.address});
    return it != m_announced.end() && it->second.incarnation >= member.target.incarnation ? &it->second : nullptr;
}

Duration ServiceBalancer::waitForToken(const Member &member, TimePoint now) const
{
    const Announced *announced = findAnnounced(member);
    const Duration limitWait = announced == nullptr ? Duration(0) : announced->limit.waitForToken(now);
    return std::max(limitWait, member.warmup.waitForToken(now));
}

Duration ServiceBalancer::limitedWait(std::size_t waitersAhead, TimePoint now) const
{
    double rate = 0;
    Duration first = std::chrono::hours(1);
    for (const Member &it : m_members) {
        if (!isOpen(it, now)) {
            continue;
        }
        const Announced *announced = findAnnounced(it);
        const bool isLimited = announced != nullptr && announced->limit.limit();
        const bool isCold = it.warmup.isLimited(now);
        if (!isLimited && !isCold) {
            return Duration(0);
        }
        const double limitRate = isLimited ? announced->limit.share() : it.warmup.rate();
        rate += isCold ? std::min(limitRate, it.warmup.rate()) : limitRate;
        first = std::min(first, waitForToken(it, now));
    }
    if (rate <= 0) {
        return Duration(0); // no target is open, or none to this Vm: opensAt() tells
    }
    const std::chrono::duration<double> queued(static_cast<double>(waitersAhead) / rate);
    return first + std::chrono::duration_cast<Duration>(queued);
}

// A limit that other Vms report replaces an older one of the same instance. Otherwise it binds with a quorum only.
void ServiceBalancer::applyLimitReport(Member &member, const LimitReport &report, TimePoint now)
{
    const Announced *known = findAnnounced(member);
    if (report.incarnation != member.target.incarnation || (known != nullptr && known->incarnation > report.incarnation)) {
        return;
    }
    const auto reports = std::count_if(member.remotes.begin(), member.remotes.end(), [&](const auto &it) {
        return it.second.expiresAt > now && it.second.limit && it.second.limit->limit && it.second.limit->incarnation == report.incarnation;
    });
    const bool isKnown = known != nullptr && known->limit.limit();
    if (!isKnown && reports < static_cast<std::ptrdiff_t>(m_options.limitQuorum)) {
        return;
    }
    Announced &announced
        = m_announced.try_emplace({member.target.name, member.target.address}, Announced{.incarnation = report.incarnation}).first->second;
    if (announced.incarnation < report.incarnation) {
        announced = {.incarnation = report.incarnation};
    }
    announced.notedAt = now;
    announced.limit.applyReport(report, now - report.age, member.target.name, m_sharers, now);
}

// Until when another Vm reports a limit that doesn't bind this Vm; in the past if none does.
TimePoint ServiceBalancer::reportedLimitUntil(const Member &member, TimePoint now) const
{
    TimePoint until;
    for (const auto &[vm, remote] : member.remotes) {
        if (remote.expiresAt > now && remote.limit && remote.limit->limit && remote.limit->incarnation == member.target.incarnation) {
            until = std::max(until, remote.expiresAt);
        }
    }
    const Announced *announced = findAnnounced(member);
    return announced != nullptr && announced->limit.limit() ? TimePoint() : until;
}

bool ServiceBalancer::isListed(const TargetInstance &instance) const
{
    return findInstance(instance) != nullptr;
}

bool ServiceBalancer::accepts(const TargetInstance &instance, TimePoint now) const
{
    if (const Member *member = find(instance.name); member != nullptr && member->target.isEvacuated) {
        return false; // also of an earlier instance: the domain is that of the target
    }
    const auto it = m_announced.find({instance.name, instance.address});
    if (it == m_announced.end() || it->second.incarnation < instance.incarnation) {
        return true;
    }
    return !it->second.isLeaving && it->second.pausedUntil <= now;
}

void ServiceBalancer::applyObservations(const VmName &vm,
                                        const std::vector<TargetObservation> &observations,
                                        bool isComplete,
                                        TimePoint now)
{
    for (Member &it : m_members) {
        if (isComplete) {
            it.remotes.erase(vm);
        }
    }
    for (const TargetObservation &it : observations) {
        Member *member = find(it.target);
        if (member == nullptr) {
            continue;
        }
        if (it.failurePause > Duration(0)) {
            const TimePoint failedAt = now - (m_options.failurePause - std::min(it.failurePause, m_options.failurePause));
            if (failedAt > std::max(member->failedAt, member->returnedAt)) {
                member->failedAt = failedAt;
                member->trialAnswers = 0;
                member->isHalfOpen = true;
            }
            member->failures = std::max(member->failures, it.failures);
        }
        if (it.returnAge) {
            noteReturn(*member, now - *it.returnAge);
        }
        member->remotes[vm] = RemoteObservation{.inFlight = it.inFlight,
                                                .unreachableUntil = now + std::min(it.unreachablePause, m_options.longestPause),
                                                .leavingIncarnation = it.leavingIncarnation,
                                                .limit = it.limit,
                                                .expiresAt = now + m_options.observationTtl};
        if (it.limit) {
            applyLimitReport(*member, *it.limit, now);
        }
    }
}

std::vector<TargetObservation> ServiceBalancer::observations(TimePoint now) const
{
    std::vector<TargetObservation> observations;
    for (const Member &it : m_members) {
        const bool hasFailedHere = it.ownFailedAt != TimePoint();
        const Duration failurePause = hasFailedHere ? std::max(it.ownFailedAt + m_options.failurePause - now, Duration(0)) : Duration(0);
        const bool hasReturned = it.ownReturnedAt != TimePoint() && now - it.ownReturnedAt < returnReportTime;
        const Duration unreachablePause = std::max(it.unreachableUntil - now, Duration(0));
        const auto announced = m_announced.find({it.target.name, it.target.address});
        const bool isLeaving = announced != m_announced.end() && announced->second.isLeaving;
        const auto leavingIncarnation = isLeaving ? std::optional(announced->second.incarnation) : std::nullopt;
        const std::optional<LimitReport> limit
            = announced == m_announced.end() ? std::nullopt : announced->second.limit.report(announced->second.incarnation, now);
        if (!it.requestStarts.empty() || failurePause > Duration(0) || hasReturned || unreachablePause > Duration(0) || isLeaving
            || limit) {
            observations.push_back(TargetObservation{.target = it.target.name,
                                                     .inFlight = static_cast<std::uint32_t>(it.requestStarts.size()),
                                                     .failures = it.failures,
                                                     .failurePause = failurePause,
                                                     .returnAge = hasReturned ? std::optional(now - it.ownReturnedAt) : std::nullopt,
                                                     .unreachablePause = unreachablePause,
                                                     .leavingIncarnation = leavingIncarnation,
                                                     .limit = limit});
        }
    }
    return observations;
}

void ServiceBalancer::withdrawUnreachable(TimePoint now)
{
    for (Member &it : m_members) {
        if (it.unreachableUntil <= now) {
            continue;
        }
        it.unreachableUntil = {};
        if (!hasFailed(it)) {
            it.failures = 0;
            it.isHalfOpen = false;
        }
    }
}

bool ServiceBalancer::isOpen(const Member &member, TimePoint now) const
{
    const Target &it = member.target;
    return it.state == TargetState::Serving && accepts({.name = it.name, .address = it.address, .incarnation = it.incarnation}, now);
}

std::uint32_t ServiceBalancer::inFlight(const Member &member, TimePoint now) const
{
    auto n = static_cast<std::uint32_t>(member.requestStarts.size());
    for (const auto &[vm, remote] : member.remotes) {
        n += remote.expiresAt > now ? remote.inFlight : 0;
    }
    return n;
}

// Until when at least `minReports` other Vms report that this instance is leaving; in the past if they don't.
TimePoint ServiceBalancer::reportedLeavingUntil(const Member &member, std::uint32_t minReports, TimePoint now) const
{
    std::uint32_t reports = 0;
    TimePoint until;
    for (const auto &[vm, remote] : member.remotes) {
        if (remote.expiresAt > now && remote.leavingIncarnation && *remote.leavingIncarnation >= member.target.incarnation) {
            ++reports;
            until = std::max(until, remote.expiresAt);
        }
    }
    return reports >= minReports ? until : TimePoint();
}

// End of the target's pause; in the past if it isn't paused. Reports of an unreachable target count only from
// unreachableQuorum other Vms, since a single Vm's network path may be at fault.
TimePoint ServiceBalancer::pausedUntil(const Member &member, TimePoint now) const
{
    const TimePoint leavingUntil = reportedLeavingUntil(member, m_options.leavingQuorum, now);
    const TimePoint until = std::max({failurePauseEnd(member, now), member.unreachableUntil, member.declinedUntil, leavingUntil});
    std::uint32_t unreachableReports = 0;
    TimePoint remoteUnreachableUntil;
    for (const auto &[vm, remote] : member.remotes) {
        if (remote.unreachableUntil > now) {
            ++unreachableReports;
            remoteUnreachableUntil = std::max(remoteUnreachableUntil, remote.unreachableUntil);
        }
    }
    return unreachableReports >= m_options.unreachableQuorum ? std::max(until, remoteUnreachableUntil) : until;
}

// While slots are short, a shorter pause costs less than idle targets.
TimePoint ServiceBalancer::failurePauseEnd(const Member &member, TimePoint now) const
{
    return hasFailed(member)
        ? member.failedAt + (isShortOfSlots(now) ? std::min(m_options.shortagePause, m_options.failurePause) : m_options.failurePause)
        : TimePoint();
}

// When this Vm may try a target that failed with the request; in the past if it hasn't failed.
TimePoint ServiceBalancer::trialAt(const Member &member, const ChoiceRequest &request, TimePoint now) const
{
    if (!hasFailed(member)) {
        return TimePoint();
    }
    const auto rank = static_cast<int>(returnRank(member.target.name, m_sharers));
    const bool yields = !request.isRetryable && now - m_retryableAt < retryableMemory;
    return failurePauseEnd(member, now) + m_options.returnStep * rank + (yields ? m_options.retryableLead : Duration(0));
}

// A target whose trial by this Vm is due, and that nobody tries at the moment. A request that has failed once isn't put at risk again.
ServiceBalancer::Member *ServiceBalancer::findDueTrial(const ChoiceRequest &request, TimePoint now)
{
    Member *due = nullptr;
    for (Member &it : m_members) {
        const bool isDue = hasFailed(it) && request.tried.empty() && std::max(pausedUntil(it, now), trialAt(it, request, now)) <= now;
        if (isDue && isOpen(it, now) && waitForToken(it, now) <= Duration(0) && hasCapacity(it, request, now)
            && (due == nullptr || it.failedAt < due->failedAt)) {
            due = &it;
        }
    }
    return due;
}

// A return that is older than the newest failure says nothing.
void ServiceBalancer::noteReturn(Member &member, TimePoint returnedAt)
{
    if (returnedAt <= std::max(member.failedAt, member.returnedAt)) {
        return;
    }
    member.failedAt = {};
    member.ownFailedAt = {};
    member.failures = 0;
    member.slowFailures = 0;
    member.isHalfOpen = false;
    member.returnedAt = returnedAt;
}

// End of the time in which the target is used only if no other has capacity: other Vms report something of it or, while slots are short, it
// isn't this Vm's turn to try it.
TimePoint ServiceBalancer::avoidedUntil(const Member &member, const ChoiceRequest &request, TimePoint now) const
{
    return std::max({isShortOfSlots(now) ? trialAt(member, request, now) : TimePoint(),
                     reportedLeavingUntil(member, 1, now),
                     reportedLimitUntil(member, now)});
}

// Earliest time, but at least `now`, at which `percent` of the serving targets have passed their time `until(target)`.
template<typename Until>
TimePoint ServiceBalancer::floorTime(std::uint32_t percent, TimePoint now, const Until &until) const
{
    std::vector<TimePoint> times;
    times.reserve(m_members.size());
    for (const Member &it : m_members) {
        if (isOpen(it, now)) {
            times.push_back(until(it));
        }
    }
    if (times.empty()) {
        return now;
    }
    const std::size_t minCount = std::max<std::size_t>(1, (times.size() * percent + 99) / 100);
    const auto last = times.begin() + static_cast<std::ptrdiff_t>(minCount) - 1;
    std::nth_element(times.begin(), last, times.end());
    return std::max(*last, now);
}

TimePoint ServiceBalancer::pauseFloor(TimePoint now) const
{
    const ChoiceRequest request;
    const bool keepsTurns = !isShortOfSlots(now);
    return floorTime(m_options.floorPercent, now, [&](const Member &it) {
        return keepsTurns ? std::max(pausedUntil(it, now), trialAt(it, request, now)) : pausedUntil(it, now);
    });
}

TimePoint ServiceBalancer::avoidanceFloor(const ChoiceRequest &request, TimePoint now) const
{
    const bool isScarce = isOverloaded(now) || isShortOfSlots(now);
    const std::uint32_t percent = isScarce ? m_options.overloadFloorPercent : m_options.avoidanceFloorPercent;
    return floorTime(percent, now, [this, &request, now](const Member &it) { return avoidedUntil(it, request, now); });
}

// Factor by which the request counts have decayed since their last update.
double ServiceBalancer::decayFactor(TimePoint now) const
{
    return std::exp2(-std::chrono::duration<double>(now - m_countsDecayedAt) / std::chrono::duration<double>(m_options.refusalHalfLife));
}

void ServiceBalancer::noteChoice(bool isFound, TimePoint now)
{
    const double halfLives
        = std::chrono::duration<double>(now - m_choicesDecayedAt) / std::chrono::duration<double>(m_options.refusalHalfLife);
    m_choices = m_choices * std::exp2(-halfLives) + 1;
    m_misses = m_misses * std::exp2(-halfLives) + (isFound ? 0 : 1);
    m_choicesDecayedAt = now;
}

// Unlike isOverloaded(), which also counts requests beyond the limits of their accounts.
bool ServiceBalancer::isShortOfSlots(TimePoint now) const
{
    constexpr auto memory = std::chrono::seconds(1); // a service without choices isn't short of slots
    return m_misses > m_choices * m_options.shortageShare && now - m_choicesDecayedAt < memory;
}

bool ServiceBalancer::isOverloaded(TimePoint now) const
{
    constexpr double minRequests = 8; // too few below that to call it overload
    return m_requests * decayFactor(now) >= minRequests && m_refused > m_requests * m_options.overloadShare;
}

void ServiceBalancer::noteRequest(bool isRefused, TimePoint now)
{
    const double decay = decayFactor(now);
    m_requests = m_requests * decay + 1;
    m_refused = m_refused * decay + (isRefused ? 1 : 0);
    m_countsDecayedAt = now;
}

// Whether a request has been in flight for much longer than usual; the target may be stuck or merely slow.
bool ServiceBalancer::isPossiblyStuck(const Member &member, TimePoint now) const
{
    const Duration limit = std::chrono::duration_cast<Duration>(usualLatency() * m_options.stuckFactor);
    return std::any_of(
        member.requestStarts.begin(), member.requestStarts.end(), [now, limit](TimePoint startedAt) { return now - startedAt > limit; });
}

bool ServiceBalancer::hasCapacity(const Member &member, const ChoiceRequest &request, TimePoint now) const
{
    if (member.requestStarts.size() >= request.limit) {
        return false;
    }
    return inFlight(member, now) < slotsFor(member, request, now);
}

// Right after its return all Vms see an idle target, so only as many as it has slots use it, with one request each.
std::uint32_t ServiceBalancer::slotsFor(const Member &member, const ChoiceRequest &request, TimePoint now) const
{
    if (member.isHalfOpen) {
        return halfOpenSlots;
    }
    const bool isReturning = member.returnedAt != TimePoint() && now - member.returnedAt < m_options.returnTime;
    if (isReturning && !isShortOfSlots(now)
        && (!member.requestStarts.empty() || returnRank(member.target.name, m_sharers) >= member.target.slots)) {
        return 0;
    }
    return member.target.slots + std::max<std::uint32_t>(request.overcommit, mayQueueAt(member, request, now) ? 1 : 0);
}

// Whether the target may hold one request beyond its slots. Reports of other Vms' requests are late, so that only a few Vms send such
// requests: all of them would do it at the same time.
bool ServiceBalancer::mayQueueAt(const Member &member, const ChoiceRequest &request, TimePoint now) const
{
    const bool hasOtherVms = m_sharers.vms && m_sharers.vms->size() > 1; // a Vm that is alone knows which slots are free
    if (request.answerWithin <= Duration(0) || !hasOtherVms || returnRank(member.target.name, m_sharers) >= queueingVms) {
        return false;
    }
    const bool isReturning = member.returnedAt != TimePoint() && now - member.returnedAt < m_options.returnTime;
    const Announced *announced = findAnnounced(member);
    const bool isLimited = announced != nullptr && announced->limit.limit();
    if (member.isHalfOpen || hasFailed(member) || isReturning || isLimited || member.warmupUntil > now || member.warmup.isCold(now)
        || avoidedUntil(member, request, now) > now || isPossiblyStuck(member, now)) {
        return false;
    }
    const double targetLatency = expectedLatency(member, now);
    const double slowness = targetLatency / static_cast<double>(usualLatency().count());
    const double expected = targetLatency / member.target.slots + static_cast<double>(request.usualLatency.count()) * slowness;
    return expected <= static_cast<double>(request.answerWithin.count());
}

// The measured slowness decays towards the service's usual latency, so that a target that was slow is tried again. A target without
// measurements is assumed to be as fast as the fastest one, so that it receives requests.
double ServiceBalancer::expectedLatency(const Member &member, TimePoint now) const
{
    const auto usual = static_cast<double>(usualLatency().count());
    if (member.slowness > 0) {
        const double halfLives
            = std::chrono::duration<double>(now - member.answeredAt) / std::chrono::duration<double>(m_options.latencyHalfLife);
        return usual * (1 + (member.slowness - 1) * std::exp2(-halfLives));
    }
    double fastest = 1;
    for (const Member &it : m_members) {
        fastest = it.slowness > 0 ? std::min(fastest, it.slowness) : fastest;
    }
    return usual * fastest;
}

// Expected time to an answer in ns, including load, distance and warm-up; lower is better.
double ServiceBalancer::score(const Member &member, const ChoiceRequest &request, TimePoint now) const
{
    double latency = expectedLatency(member, now);
    for (const TimePoint it : member.requestStarts) {
        latency = std::max(latency, static_cast<double>((now - it).count()));
    }
    if (member.warmupUntil > now) {
        latency *= m_options.warmupFactor;
    }
    if (member.target.failureDomain != request.local) {
        latency *= m_options.crossDomainFactor;
    }
    return latency * (1.0 + inFlight(member, now) / static_cast<double>(member.target.slots));
}

std::vector<ServiceBalancer::Member *>
ServiceBalancer::candidates(const ChoiceRequest &request, TimePoint now, const Floors &floors, bool includesAvoided)
{
    std::vector<Member *> untried;
    std::vector<Member *> alreadyTried;
    for (Member &it : m_members) {
        const bool isAvailable = isOpen(it, now) && pausedUntil(it, now) <= floors.paused && waitForToken(it, now) <= Duration(0);
        const bool awaitsTurn = !isShortOfSlots(now) && trialAt(it, request, now) > floors.paused;
        if (!isAvailable || awaitsTurn || !hasCapacity(it, request, now)) {
            continue;
        }
        if (!includesAvoided && (avoidedUntil(it, request, now) > floors.avoided || isPossiblyStuck(it, now))) {
            continue;
        }
        const bool isTried = std::find(request.tried.begin(), request.tried.end(), it.target.name) != request.tried.end();
        (isTried ? alreadyTried : untried).push_back(&it);
    }
    return untried.empty() ? alreadyTried : untried;
}

std::optional<Target> ServiceBalancer::choose(const ChoiceRequest &request, TimePoint now, Generator &generator)
{
    const auto isWithheld
        = [this, now](const Member &it) { return it.target.state == TargetState::Serving && !it.target.isEvacuated && !isOpen(it, now); };
    m_withheldChoices += !m_announced.empty() && std::any_of(m_members.begin(), m_members.end(), isWithheld) ? 1 : 0;
    m_retryableAt = request.isRetryable ? now : m_retryableAt;
    if (Member *due = findDueTrial(request, now)) {
        due->requestStarts.push_back(now);
        return due->target;
    }
    const Floors floors{.paused = pauseFloor(now), .avoided = avoidanceFloor(request, now)};
    std::vector<Member *> eligible = candidates(request, now, floors, false);
    if (eligible.empty()) {
        eligible = candidates(request, now, floors, true);
    }
    noteChoice(!eligible.empty(), now);
    if (eligible.empty()) {
        return std::nullopt;
    }
    Member &chosen = choose(std::move(eligible), request, now, generator);
    chosen.requestStarts.push_back(now);
    return chosen.target;
}

bool ServiceBalancer::isFitForHedge(const Member &member, const ChoiceRequest &request, TimePoint now) const
{
    const Announced *announced = findAnnounced(member);
    const bool isLimited = announced != nullptr && announced->limit.limit();
    const bool isReturning = member.returnedAt != TimePoint() && now - member.returnedAt < m_options.returnTime;
    const bool isTried = std::find(request.tried.begin(), request.tried.end(), member.target.name) != request.tried.end();
    return isOpen(member, now) && !isTried && !isLimited && !hasFailed(member) && !member.isHalfOpen && !isReturning
        && pausedUntil(member, now) <= now && avoidedUntil(member, request, now) <= now && !member.warmup.isCold(now)
        && !isPossiblyStuck(member, now) && hasCapacity(member, request, now);
}

std::optional<Target> ServiceBalancer::chooseForHedge(const ChoiceRequest &request, TimePoint now, Generator &generator)
{
    std::vector<Member *> eligible;
    for (Member &it : m_members) {
        if (isFitForHedge(it, request, now)) {
            eligible.push_back(&it);
        }
    }
    if (eligible.empty()) {
        return std::nullopt;
    }
    Member &chosen = choose(std::move(eligible), request, now, generator);
    chosen.requestStarts.push_back(now);
    return chosen.target;
}

// Considers all targets of the local failure domain and a few random ones of the others.
ServiceBalancer::Member &
ServiceBalancer::choose(std::vector<Member *> eligible, const ChoiceRequest &request, TimePoint now, Generator &generator) const
{
    const auto firstDistant = std::partition(
        eligible.begin(), eligible.end(), [&request](const Member *it) { return it->target.failureDomain == request.local; });
    const auto distant = static_cast<std::size_t>(eligible.end() - firstDistant);
    std::shuffle(firstDistant, eligible.end(), generator);
    eligible.resize(eligible.size() - distant + std::min<std::size_t>(distant, m_options.crossDomainCandidates));
    return pick(eligible, request, now, generator);
}

// Picks the best score after random jitter, so that no healthy target stays idle for long; the jitter is larger under overload.
ServiceBalancer::Member &
ServiceBalancer::pick(const std::vector<Member *> &eligible, const ChoiceRequest &request, TimePoint now, Generator &generator) const
{
    std::uniform_real_distribution<double> jitter(1.0, isOverloaded(now) ? overloadScoreJitter : scoreJitter);
    Member *best = eligible.front();
    double bestScore = 0;
    for (Member *it : eligible) {
        const double candidateScore = score(*it, request, now) * jitter(generator);
        if (it == eligible.front() || candidateScore < bestScore) {
            best = it;
            bestScore = candidateScore;
        }
    }
    return *best;
}

// Returns the length of the pause. After a failure it doesn't grow: a target that is well again gets a request within 4 s.
Duration ServiceBalancer::startPause(Member &member, AttemptEnd cause, TimePoint now)
{
    const std::uint32_t exponent = isOverloaded(now) ? 0 : member.failures;
    ++member.failures;
    member.isHalfOpen = true;
    member.trialAnswers = 0;
    if (cause == AttemptEnd::Failed) {
        member.failedAt = now;
        member.ownFailedAt = now;
        return failurePauseEnd(member, now) - now;
    }
    double factor = 1;
    for (std::uint32_t i = 0; i < exponent && factor < 100; ++i) {
        factor *= pauseGrowthFactor;
    }
    const auto length = std::min(std::chrono::duration_cast<Duration>(m_options.firstPause * factor), m_options.longestPause);
    member.unreachableUntil = now + length;
    return length;
}

// An answer to a request that was sent before the failure proves nothing.
void ServiceBalancer::noteAnswer(Member &member, TimePoint startedAt, TimePoint now)
{
    if (hasFailed(member)) {
        if (startedAt < member.failedAt || ++member.trialAnswers < (isShortOfSlots(now) ? 1 : m_options.returnAnswers)) {
            return;
        }
        noteReturn(member, now);
        member.ownReturnedAt = now;
    }
    member.failures = 0;
    member.slowFailures = 0;
    member.isHalfOpen = false;
}

// A broken target typically fails fast. A failure that took as long as an answer may be caused by the request, so that only
// several in a row count.
bool ServiceBalancer::noteFailure(Member &member, Duration latency) const
{
    if (member.isHalfOpen || latency < std::chrono::duration_cast<Duration>(usualLatency() * m_options.fastFailureShare)) {
        return true;
    }
    return ++member.slowFailures >= m_options.slowFailureLimit;
}

void ServiceBalancer::noteLatency(Member &member, Duration latency, const RouteName &route)
{
    const auto ns = static_cast<double>(latency.count());
    if (m_routeLatencies.size() >= maxTrackedRoutes && !m_routeLatencies.contains(route)) {
        m_routeLatencies.clear();
    }
    double &usual = m_routeLatencies[route];
    usual = movingAverage(usual, ns, serviceLatencyWeight);
    member.slowness = movingAverage(member.slowness, usual > 0 ? ns / usual : 1, targetLatencyWeight);
    m_averageLatency = movingAverage(m_averageLatency, ns, serviceLatencyWeight);
}

std::optional<TargetPause>
ServiceBalancer::end(const TargetName &target, AttemptEnd end, Duration latency, TimePoint startedAt, TimePoint now, const RouteName &route)
{
    Member *member = find(target);
    if (member == nullptr) {
        return std::nullopt;
    }
    const auto start = std::find(member->requestStarts.begin(), member->requestStarts.end(), startedAt);
    if (start != member->requestStarts.end()) {
        member->requestStarts.erase(start);
    }
    switch (end) {
    case AttemptEnd::Answered:
        noteAnswer(*member, startedAt, now);
        member->answeredAt = now;
        noteLatency(*member, latency, route);
        return std::nullopt;
    case AttemptEnd::Abandoned:
        return std::nullopt;
    case AttemptEnd::Declined:
        member->declinedUntil = now + m_options.declinePause;
        return std::nullopt;
    case AttemptEnd::Failed:
        if (!noteFailure(*member, latency)) {
            return std::nullopt;
        }
        break;
    case AttemptEnd::Misdirected:
    case AttemptEnd::Unreachable:
    case AttemptEnd::Silent:
        break;
    }
    const Duration length = startPause(*member, end, now);
    return TargetPause{.target = target, .cause = end, .length = length, .failures = member->failures};
}

Duration ServiceBalancer::usualLatency() const
{
    return m_averageLatency > 0 ? Duration(static_cast<std::int64_t>(m_averageLatency)) : m_options.firstLatency;
}

Duration ServiceBalancer::usualLatency(const RouteName &route) const
{
    const auto it = m_routeLatencies.find(route);
    return it == m_routeLatencies.end() ? usualLatency() : Duration(static_cast<std::int64_t>(it->second));
}

std::uint32_t ServiceBalancer::inFlightAt(const TargetName &target) const
{
    const Member *member = find(target);
    return member == nullptr ? 0 : static_cast<std::uint32_t>(member->requestStarts.size());
}

std::uint32_t ServiceBalancer::sumSlots(TimePoint now, bool includesOccupied) const
{
    const ChoiceRequest request;
    const TimePoint floorUntil = pauseFloor(now);
    std::uint32_t n = 0;
    for (const Member &it : m_members) {
        const bool isHeldBack = !includesOccupied && waitForToken(it, now) > Duration(0);
        if (isOpen(it, now) && pausedUntil(it, now) <= floorUntil && !isHeldBack) {
            const std::uint32_t slots = slotsFor(it, request, now);
            n += includesOccupied ? slots : slots - std::min(slots, inFlight(it, now));
        }
    }
    return n;
}

std::uint32_t ServiceBalancer::usableSlots(TimePoint now) const
{
    return sumSlots(now, true);
}

double ServiceBalancer::ownSlots(TimePoint now) const
{
    const ChoiceRequest request;
    const TimePoint floorUntil = pauseFloor(now);
    double n = 0;
    for (const Member &it : m_members) {
        if (!isOpen(it, now) || pausedUntil(it, now) > floorUntil) {
            continue;
        }
        const std::uint32_t slots = slotsFor(it, request, now);
        const std::uint32_t all = inFlight(it, now);
        const auto own = static_cast<double>(it.requestStarts.size());
        const double free = all < slots && waitForToken(it, now) <= Duration(0) ? slots - all : 0;
        n += all > slots ? own * slots / all : own + free;
    }
    return n;
}

std::uint32_t ServiceBalancer::freeSlots(TimePoint now) const
{
    return sumSlots(now, false);
}

std::optional<TimePoint> ServiceBalancer::opensAt(TimePoint now) const
{
    std::optional<TimePoint> earliest;
    for (const Member &it : m_members) {
        const Announced *announced = findAnnounced(it);
        if (it.target.state != TargetState::Serving || it.target.isEvacuated || (announced != nullptr && announced->isLeaving)) {
            continue;
        }
        const Duration tokenWait = waitForToken(it, now);
        if (tokenWait >= std::chrono::hours(1)) {
            continue;
        }
        const TimePoint opening = std::max(announced == nullptr ? TimePoint() : announced->pausedUntil, now + tokenWait);
        earliest = std::min(earliest.value_or(opening), opening);
    }
    return earliest;
}

} // namespace Pollenspoke
