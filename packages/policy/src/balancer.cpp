#include <algorithm>
#include <cmath>
#include <pollenspoke/policy.h>
#include <utility>

namespace Pollenspoke {

namespace {

constexpr double latencyWeight = 0.2;         // of the newest answer in a target's moving average
constexpr double serviceLatencyWeight = 0.05; // of the newest answer in the service's moving average
constexpr std::size_t mostRoutes = 10000;     // of which latencies are kept; routes come and go with configurations
constexpr double pauseGrowth = 1.5;           // of each pause over the one before
constexpr std::uint32_t trialSlots = 1;       // requests that a target on trial may hold
constexpr double chance = 1.5;                // largest random factor of a score: latencies of equal targets differ as much by chance
constexpr double strainedChance = 2;          // the same where all that are alike are to get work

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
        Member *known = find(it.name);
        Member member = known != nullptr && known->target.address == it.address ? std::move(*known) : Member();
        if (member.target.name != it.name || member.target.warmupMs != it.warmupMs) {
            member.warmUntil = now + std::chrono::milliseconds(it.warmupMs);
        }
        member.target = it;
        members.push_back(std::move(member));
    }
    m_members = std::move(members);
}

void ServiceBalancer::applyObservations(const VmName &vm, const std::vector<TargetObservation> &news, bool isWhole, TimePoint now)
{
    for (Member &it : m_members) {
        if (isWhole) {
            it.remotes.erase(vm);
        }
    }
    for (const TargetObservation &it : news) {
        if (Member *member = find(it.target)) {
            if (it.failurePause > Duration(0)) {
                member->isOnTrial = true;
                member->failures = std::max(member->failures, it.failures);
            }
            member->remotes[vm] = Remote{.inFlight = it.inFlight,
                                         .failureUntil = now + std::min(it.failurePause, m_options.longestPause),
                                         .distrustUntil = now + std::min(it.avoidance, longestDistrust()),
                                         .unreachableUntil = now + std::min(it.unreachablePause, m_options.longestPause),
                                         .expiresAt = now + m_options.newsTerm};
        }
    }
}

std::vector<TargetObservation> ServiceBalancer::observations(TimePoint now) const
{
    std::vector<TargetObservation> news;
    for (const Member &it : m_members) {
        const Duration failurePause = std::max(it.failureUntil - now, Duration(0));
        const Duration distrust = m_options.retryableOnlyPeriod + m_options.observerLead;
        const Duration avoidance = it.failures == 0 ? Duration(0) : std::max(it.avoidUntil + distrust - now, Duration(0));
        const Duration unreachablePause = std::max(it.unreachableUntil - now, Duration(0));
        if (!it.open.empty() || avoidance > Duration(0) || unreachablePause > Duration(0)) {
            news.push_back(TargetObservation{.target = it.target.name,
                                             .inFlight = static_cast<std::uint32_t>(it.open.size()),
                                             .failures = it.failures,
                                             .failurePause = failurePause,
                                             .avoidance = avoidance,
                                             .unreachablePause = unreachablePause});
        }
    }
    return news;
}

std::uint32_t ServiceBalancer::inFlight(const Member &member, TimePoint now) const
{
    auto n = static_cast<std::uint32_t>(member.open.size());
    for (const auto &[vm, remote] : member.remotes) {
        n += remote.expiresAt > now ? remote.inFlight : 0;
    }
    return n;
}

// When the target may get work again; a time in the past when it may now. One Vm's word that it misses a target may be the
// fault of its path.
TimePoint ServiceBalancer::pausedUntil(const Member &member, TimePoint now) const
{
    TimePoint until = std::max({member.failureUntil, member.unreachableUntil, member.declinedUntil});
    std::uint32_t witnesses = 0;
    TimePoint missedUntil;
    for (const auto &[vm, remote] : member.remotes) {
        until = std::max(until, remote.failureUntil);
        if (remote.unreachableUntil > now) {
            ++witnesses;
            missedUntil = std::max(missedUntil, remote.unreachableUntil);
        }
    }
    return witnesses >= m_options.pathWitnesses ? std::max(until, missedUntil) : until;
}

// A target that failed lately gets work only when no other has room. What may be repeated is trusted to it sooner than what
// may run once only; the Vm that saw it fail tries it first.
TimePoint ServiceBalancer::avoidedUntil(const Member &member, const ChoiceRequest &request) const
{
    const Duration proof = request.isRetryable ? Duration(0) : m_options.retryableOnlyPeriod;
    TimePoint until = member.failures > 0 ? member.avoidUntil + proof : TimePoint();
    for (const auto &[vm, remote] : member.remotes) {
        until = std::max(until, remote.distrustUntil - m_options.retryableOnlyPeriod + proof);
    }
    return until;
}

// The time by which so many percent of the serving targets are done with what lasts `until`, now at least.
template<typename Until>
TimePoint ServiceBalancer::floorOf(std::uint32_t percent, TimePoint now, const Until &until) const
{
    std::vector<TimePoint> times;
    times.reserve(m_members.size());
    for (const Member &it : m_members) {
        if (it.target.state == TargetState::Serving) {
            times.push_back(until(it));
        }
    }
    if (times.empty()) {
        return now;
    }
    const std::size_t kept = std::max<std::size_t>(1, (times.size() * percent + 99) / 100);
    const auto last = times.begin() + static_cast<std::ptrdiff_t>(kept) - 1;
    std::nth_element(times.begin(), last, times.end());
    return std::max(*last, now);
}

TimePoint ServiceBalancer::pauseFloor(TimePoint now) const
{
    return floorOf(m_options.floorPercent, now, [this, now](const Member &it) { return pausedUntil(it, now); });
}

TimePoint ServiceBalancer::avoidanceFloor(const ChoiceRequest &request, TimePoint now) const
{
    const std::uint32_t percent = isStrained(now) ? m_options.strainedFloorPercent : m_options.avoidanceFloorPercent;
    return floorOf(percent, now, [this, &request](const Member &it) { return avoidedUntil(it, request); });
}

// What is left of the weight of requests counted until now.
double ServiceBalancer::fading(TimePoint now) const
{
    return std::exp2(-std::chrono::duration<double>(now - m_countedAt) / std::chrono::duration<double>(m_options.strainMemory));
}

bool ServiceBalancer::isStrained(TimePoint now) const
{
    constexpr double fewRequests = 8; // of so few nothing follows
    return m_requests * fading(now) >= fewRequests && m_refused > m_requests * m_options.strainedShare;
}

void ServiceBalancer::noteRequest(bool isRefused, TimePoint now)
{
    const double left = fading(now);
    m_requests = m_requests * left + 1;
    m_refused = m_refused * left + (isRefused ? 1 : 0);
    m_countedAt = now;
}

// A request that has been open for much longer than usual: the target may be stuck, or only slow.
bool ServiceBalancer::isDoubtful(const Member &member, TimePoint now) const
{
    const Duration limit = std::chrono::duration_cast<Duration>(usualLatency() * m_options.staleFactor);
    return std::any_of(member.open.begin(), member.open.end(), [now, limit](TimePoint startedAt) { return now - startedAt > limit; });
}

bool ServiceBalancer::hasRoom(const Member &member, const ChoiceRequest &request, TimePoint now) const
{
    if (member.open.size() >= request.limit) {
        return false;
    }
    return inFlight(member, now) < (member.isOnTrial ? trialSlots : member.target.slots + request.overcommit);
}

// What is known of a target fades, so that one that was slow once is tried again; one of which nothing is known counts as
// one of the fastest, so that it is tried at all.
double ServiceBalancer::expectedLatency(const Member &member, TimePoint now) const
{
    const auto usual = static_cast<double>(usualLatency().count());
    if (member.slowness > 0) {
        const double halfLives = std::chrono::duration<double>(now - member.answeredAt) / std::chrono::duration<double>(m_options.memory);
        return usual * (1 + (member.slowness - 1) * std::exp2(-halfLives));
    }
    double fastest = 1;
    for (const Member &it : m_members) {
        fastest = it.slowness > 0 ? std::min(fastest, it.slowness) : fastest;
    }
    return usual * fastest;
}

// Expected time to an answer, ns.
double ServiceBalancer::score(const Member &member, const ChoiceRequest &request, TimePoint now) const
{
    double latency = expectedLatency(member, now);
    for (const TimePoint it : member.open) {
        latency = std::max(latency, static_cast<double>((now - it).count()));
    }
    if (member.warmUntil > now) {
        latency *= m_options.coldFactor;
    }
    if (member.target.failureDomain != request.local) {
        latency *= m_options.distanceFactor;
    }
    return latency * (1.0 + inFlight(member, now) / static_cast<double>(member.target.slots));
}

std::vector<ServiceBalancer::Member *>
ServiceBalancer::candidates(const ChoiceRequest &request, TimePoint now, const Floors &floors, bool takesAvoided)
{
    std::vector<Member *> found;
    std::vector<Member *> triedBefore;
    for (Member &it : m_members) {
        const bool mayWork = it.target.state == TargetState::Serving && pausedUntil(it, now) <= floors.paused;
        if (!mayWork || !hasRoom(it, request, now)) {
            continue;
        }
        if (!takesAvoided && (avoidedUntil(it, request) > floors.avoided || isDoubtful(it, now))) {
            continue;
        }
        const bool isTried = std::find(request.tried.begin(), request.tried.end(), it.target.name) != request.tried.end();
        (isTried ? triedBefore : found).push_back(&it);
    }
    return found.empty() ? triedBefore : found;
}

std::optional<Target> ServiceBalancer::choose(const ChoiceRequest &request, TimePoint now, Generator &generator)
{
    const Floors floors{.paused = pauseFloor(now), .avoided = avoidanceFloor(request, now)};
    std::vector<Member *> found = candidates(request, now, floors, false);
    if (found.empty()) {
        found = candidates(request, now, floors, true);
    }
    if (found.empty()) {
        return std::nullopt;
    }
    // All near ones and a few of the others take part.
    const auto far
        = std::partition(found.begin(), found.end(), [&request](const Member *it) { return it->target.failureDomain == request.local; });
    const auto distant = static_cast<std::size_t>(found.end() - far);
    std::shuffle(far, found.end(), generator);
    found.resize(found.size() - distant + std::min<std::size_t>(distant, m_options.candidates));
    Member &chosen = pick(found, request, now, generator);
    chosen.open.push_back(now);
    return chosen.target;
}

// The best score by chance, so that no sound target stays idle for long; more so while the service refuses many.
ServiceBalancer::Member &
ServiceBalancer::pick(const std::vector<Member *> &found, const ChoiceRequest &request, TimePoint now, Generator &generator) const
{
    std::uniform_real_distribution<double> noise(1.0, isStrained(now) ? strainedChance : chance);
    Member *best = found.front();
    double bestScore = 0;
    for (Member *it : found) {
        const double itsScore = score(*it, request, now) * noise(generator);
        if (it == found.front() || itsScore < bestScore) {
            best = it;
            bestScore = itsScore;
        }
    }
    return *best;
}

void ServiceBalancer::startPause(Member &member, TimePoint &until, TimePoint now)
{
    double factor = 1;
    const std::uint32_t growths = isStrained(now) ? 0 : member.failures;
    for (std::uint32_t i = 0; i < growths && factor < 100; ++i) {
        factor *= pauseGrowth;
    }
    ++member.failures;
    const auto length = std::chrono::duration_cast<Duration>(m_options.firstPause * factor);
    until = now + std::min(length, m_options.longestPause);
    member.avoidUntil = now + std::chrono::duration_cast<Duration>((until - now) * m_options.avoidFactor);
    member.isOnTrial = true;
}

// A target that fails all it gets does so at once; a failure after the usual work may be the request's own.
bool ServiceBalancer::noteFailure(Member &member, Duration latency) const
{
    if (member.isOnTrial || latency < std::chrono::duration_cast<Duration>(usualLatency() * m_options.workedShare)) {
        return true;
    }
    return ++member.workedFailures >= m_options.workedFailures;
}

Duration ServiceBalancer::longestDistrust() const
{
    const auto avoidance = std::chrono::duration_cast<Duration>(m_options.longestPause * m_options.avoidFactor);
    return avoidance + m_options.retryableOnlyPeriod + m_options.observerLead;
}

void ServiceBalancer::noteLatency(Member &member, Duration latency, const RouteName &route)
{
    const auto ns = static_cast<double>(latency.count());
    if (m_routeLatencies.size() >= mostRoutes && !m_routeLatencies.contains(route)) {
        m_routeLatencies.clear();
    }
    double &usual = m_routeLatencies[route];
    usual = movingAverage(usual, ns, serviceLatencyWeight);
    member.slowness = movingAverage(member.slowness, usual > 0 ? ns / usual : 1, latencyWeight);
    m_latency = movingAverage(m_latency, ns, serviceLatencyWeight);
}

std::optional<TargetPause>
ServiceBalancer::end(const TargetName &target, AttemptEnd end, Duration latency, TimePoint startedAt, TimePoint now, const RouteName &route)
{
    Member *member = find(target);
    if (member == nullptr) {
        return std::nullopt;
    }
    const auto open = std::find(member->open.begin(), member->open.end(), startedAt);
    if (open != member->open.end()) {
        member->open.erase(open);
    }
    switch (end) {
    case AttemptEnd::Answered:
        member->failures = 0;
        member->workedFailures = 0;
        member->isOnTrial = false;
        member->avoidUntil = {};
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
        startPause(*member, member->failureUntil, now);
        return TargetPause{.target = target, .cause = end, .length = member->failureUntil - now, .failures = member->failures};
    case AttemptEnd::Misdirected:
    case AttemptEnd::Unreachable:
    case AttemptEnd::Silent:
        startPause(*member, member->unreachableUntil, now);
        return TargetPause{.target = target, .cause = end, .length = member->unreachableUntil - now, .failures = member->failures};
    }
    return std::nullopt;
}

Duration ServiceBalancer::usualLatency() const
{
    return m_latency > 0 ? Duration(static_cast<std::int64_t>(m_latency)) : m_options.firstLatency;
}

std::uint32_t ServiceBalancer::inFlightAt(const TargetName &target) const
{
    const Member *member = find(target);
    return member == nullptr ? 0 : static_cast<std::uint32_t>(member->open.size());
}

std::uint32_t ServiceBalancer::sumSlots(TimePoint now, bool countsTaken) const
{
    const TimePoint keptUntil = pauseFloor(now);
    std::uint32_t n = 0;
    for (const Member &it : m_members) {
        if (it.target.state == TargetState::Serving && pausedUntil(it, now) <= keptUntil) {
            const std::uint32_t slots = it.isOnTrial ? trialSlots : it.target.slots;
            n += countsTaken ? slots : slots - std::min(slots, inFlight(it, now));
        }
    }
    return n;
}

std::uint32_t ServiceBalancer::usableSlots(TimePoint now) const
{
    return sumSlots(now, true);
}

std::uint32_t ServiceBalancer::freeSlots(TimePoint now) const
{
    return sumSlots(now, false);
}

bool ServiceBalancer::hasServingTarget() const
{
    return std::any_of(m_members.begin(), m_members.end(), [](const Member &it) { return it.target.state == TargetState::Serving; });
}

} // namespace Pollenspoke
