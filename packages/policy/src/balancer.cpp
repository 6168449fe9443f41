#include <algorithm>
#include <cmath>
#include <pollenspoke/policy.h>
#include <utility>

namespace Pollenspoke {

namespace {

constexpr double targetLatencyWeight = 0.2;     // weight of a new answer in a target's moving average
constexpr double serviceLatencyWeight = 0.05;   // weight of a new answer in the service's and routes' averages
constexpr std::size_t maxTrackedRoutes = 10000; // bounds m_routeLatencies, as routes change with the configuration
constexpr double pauseGrowthFactor = 1.5;       // ratio of each pause to the previous one
constexpr auto returnReportTime = std::chrono::seconds(2); // for which other Vms are told of a return; covers lost reports
constexpr auto retryableMemory = std::chrono::seconds(1);  // after the last request that can be retried, the service counts as having none
// For each target. In a simulated fleet of eight, overload makes targets decline 1.4 times as often or more if all of them do it.
constexpr std::size_t queueingVms = 2;
constexpr std::uint32_t halfOpenSlots = 1;      // requests that a half-open target may hold
constexpr double scoreJitter = 1.5;       // largest random factor of a score; similar to the random latency differences of equal targets
constexpr double overloadScoreJitter = 2; // the same under overload; spreads requests over all similar targets

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
        if (member.target.name != it.name || member.target.warmupMs != it.warmupMs) {
            member.warmupUntil = now + std::chrono::milliseconds(it.warmupMs);
        }
        member.target = it;
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

bool ServiceBalancer::announce(const TargetInstance &instance, const TargetAnnouncement &announcement, TimePoint now)
{
    if (announcement == TargetAnnouncement()) {
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
}

bool ServiceBalancer::takeToken(const TargetInstance &instance, TimePoint now)
{
    const auto it = m_announced.find({instance.name, instance.address});
    const bool isBound = it != m_announced.end() && it->second.incarnation >= instance.incarnation;
    return !isBound || it->second.limit.takeToken(now);
}

void ServiceBalancer::returnToken(const TargetInstance &instance, TimePoint now)
{
    const auto it = m_announced.find({instance.name, instance.address});
    if (it != m_announced.end() && it->second.incarnation >= instance.incarnation) {
        it->second.limit.returnToken(now);
    }
}

const ServiceBalancer::Announced *ServiceBalancer::findAnnounced(const Member &member) const
{
    const auto it = m_announced.find({member.target.name, member.target.address});
    return it != m_announced.end() && it->second.incarnation >= member.target.incarnation ? &it->second : nullptr;
}

Duration ServiceBalancer::waitForToken(const Member &member, TimePoint now) const
{
    const Announced *announced = findAnnounced(member);
    return announced == nullptr ? Duration(0) : announced->limit.waitForToken(now);
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
        if (announced == nullptr || !announced->limit.limit()) {
            return Duration(0);
        }
        rate += announced->limit.share();
        first = std::min(first, announced->limit.waitForToken(now));
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
    const Member *member = find(instance.name);
    return member != nullptr && member->target.address == instance.address && member->target.incarnation == instance.incarnation;
}

bool ServiceBalancer::accepts(const TargetInstance &instance, TimePoint now) const
{
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
        if (!it.requestStarts.empty() || failurePause > Duration(0) || hasReturned || unreachablePause > Duration(0) || isLeaving || limit) {
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
    const TimePoint failureUntil = hasFailed(member) ? member.failedAt + m_options.failurePause : TimePoint();
    const TimePoint until = std::max({failureUntil, member.unreachableUntil, member.declinedUntil, leavingUntil});
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

// When this Vm may send the request to a target that failed; in the past if it hasn't.
TimePoint ServiceBalancer::trialAt(const Member &member, const ChoiceRequest &request, TimePoint now) const
{
    if (!hasFailed(member)) {
        return TimePoint();
    }
    const auto rank = static_cast<int>(returnRank(member.target.name, m_sharers));
    const bool yields = !request.isRetryable && now - m_retryableAt < retryableMemory;
    return member.failedAt + m_options.failurePause + m_options.returnStep * rank + (yields ? m_options.retryableLead : Duration(0));
}

// End of the target's pause, and of the wait for this Vm's turn to try it.
TimePoint ServiceBalancer::usableAt(const Member &member, const ChoiceRequest &request, TimePoint now) const
{
    return std::max(pausedUntil(member, now), trialAt(member, request, now));
}

// A target whose trial by this Vm is due, and that nobody tries at the moment. A request that has failed once isn't put at risk again.
ServiceBalancer::Member *ServiceBalancer::findDueTrial(const ChoiceRequest &request, TimePoint now)
{
    Member *due = nullptr;
    for (Member &it : m_members) {
        const bool isDue = hasFailed(it) && request.tried.empty() && usableAt(it, request, now) <= now;
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

// End of the time in which the target is used only if no other has capacity, as other Vms report something of it.
TimePoint ServiceBalancer::avoidedUntil(const Member &member, TimePoint now) const
{
    return std::max(reportedLeavingUntil(member, 1, now), reportedLimitUntil(member, now));
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

TimePoint ServiceBalancer::pauseFloor(const ChoiceRequest &request, TimePoint now) const
{
    return floorTime(m_options.floorPercent, now, [&](const Member &it) { return usableAt(it, request, now); });
}

TimePoint ServiceBalancer::avoidanceFloor(TimePoint now) const
{
    const std::uint32_t percent = isOverloaded(now) ? m_options.overloadFloorPercent : m_options.avoidanceFloorPercent;
    return floorTime(percent, now, [this, now](const Member &it) { return avoidedUntil(it, now); });
}

// Factor by which the request counts have decayed since their last update.
double ServiceBalancer::decayFactor(TimePoint now) const
{
    return std::exp2(-std::chrono::duration<double>(now - m_countsDecayedAt) / std::chrono::duration<double>(m_options.refusalHalfLife));
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
    if (isReturning && (!member.requestStarts.empty() || returnRank(member.target.name, m_sharers) >= member.target.slots)) {
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
    if (member.isHalfOpen || hasFailed(member) || isReturning || isLimited || member.warmupUntil > now || avoidedUntil(member, now) > now
        || isPossiblyStuck(member, now)) {
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
        const bool isAvailable = isOpen(it, now) && usableAt(it, request, now) <= floors.paused && waitForToken(it, now) <= Duration(0);
        if (!isAvailable || !hasCapacity(it, request, now)) {
            continue;
        }
        if (!includesAvoided && (avoidedUntil(it, now) > floors.avoided || isPossiblyStuck(it, now))) {
            continue;
        }
        const bool isTried = std::find(request.tried.begin(), request.tried.end(), it.target.name) != request.tried.end();
        (isTried ? alreadyTried : untried).push_back(&it);
    }
    return untried.empty() ? alreadyTried : untried;
}

std::optional<Target> ServiceBalancer::choose(const ChoiceRequest &request, TimePoint now, Generator &generator)
{
    const auto isWithheld = [this, now](const Member &it) { return it.target.state == TargetState::Serving && !isOpen(it, now); };
    m_withheldChoices += !m_announced.empty() && std::any_of(m_members.begin(), m_members.end(), isWithheld) ? 1 : 0;
    m_retryableAt = request.isRetryable ? now : m_retryableAt;
    if (Member *due = findDueTrial(request, now)) {
        due->requestStarts.push_back(now);
        return due->target;
    }
    const Floors floors{.paused = pauseFloor(request, now), .avoided = avoidanceFloor(now)};
    std::vector<Member *> eligible = candidates(request, now, floors, false);
    if (eligible.empty()) {
        eligible = candidates(request, now, floors, true);
    }
    if (eligible.empty()) {
        return std::nullopt;
    }
    // Considers all targets of the local failure domain and a few random ones of the others.
    const auto firstDistant = std::partition(
        eligible.begin(), eligible.end(), [&request](const Member *it) { return it->target.failureDomain == request.local; });
    const auto distant = static_cast<std::size_t>(eligible.end() - firstDistant);
    std::shuffle(firstDistant, eligible.end(), generator);
    eligible.resize(eligible.size() - distant + std::min<std::size_t>(distant, m_options.crossDomainCandidates));
    Member &chosen = pick(eligible, request, now, generator);
    chosen.requestStarts.push_back(now);
    return chosen.target;
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
        return m_options.failurePause;
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
        if (startedAt < member.failedAt || ++member.trialAnswers < m_options.returnAnswers) {
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
    const TimePoint floorUntil = pauseFloor(request, now);
    std::uint32_t n = 0;
    for (const Member &it : m_members) {
        const bool isHeldBack = !includesOccupied && waitForToken(it, now) > Duration(0);
        if (isOpen(it, now) && usableAt(it, request, now) <= floorUntil && !isHeldBack) {
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
    const TimePoint floorUntil = pauseFloor(request, now);
    double n = 0;
    for (const Member &it : m_members) {
        if (!isOpen(it, now) || usableAt(it, request, now) > floorUntil) {
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
        const auto announced = m_announced.find({it.target.name, it.target.address});
        const bool isBound = announced != m_announced.end() && announced->second.incarnation >= it.target.incarnation;
        if (it.target.state != TargetState::Serving || (isBound && announced->second.isLeaving)) {
            continue;
        }
        const Duration tokenWait = isBound ? announced->second.limit.waitForToken(now) : Duration(0);
        if (tokenWait >= std::chrono::hours(1)) {
            continue;
        }
        const TimePoint opening = isBound ? std::max(announced->second.pausedUntil, now + tokenWait) : now;
        earliest = std::min(earliest.value_or(opening), opening);
    }
    return earliest;
}

} // namespace Pollenspoke
