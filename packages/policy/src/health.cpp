#include <algorithm>
#include <cmath>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

namespace {

constexpr std::size_t keptLatencies = 64;     // per target
constexpr std::size_t fewestLatencies = 16;   // before a target counts for the reference
constexpr std::uint32_t referencePeriod = 32; // outcomes between two refreshes of the reference
constexpr double slowQuantile = 0.9;          // of a target's own answers
constexpr double slowFactor = 1.5;            // and at least this much above the usual answer
constexpr auto slowMargin = std::chrono::milliseconds(2);
constexpr double averageWeight = 0.02;       // of one outcome in the moving average of failures
constexpr double recentWeight = 0.25;        // of one outcome in the moving average of recent failures
constexpr double lowestFailureShare = 0.005; // assumed of well targets, even when none was seen
constexpr double highestFailureShare = 0.5;
constexpr double usualSlowShare = 0.15;                       // of a well target's answers
constexpr double badSlowShare = 0.5;                          // of a slow target's
constexpr double highestSlowShare = 0.35;                     // of the other targets; above it slowness says nothing of one target
constexpr auto remotePeriod = std::chrono::milliseconds(500); // others' evidence is weighed together, so that it can be compared
constexpr double secondDomainShare = 0.2;                     // of the fleet's evidence that must come from another failure domain
constexpr std::uint32_t vetoWells = 8;                        // own successes in a row that outweigh others' path faults
constexpr double firstRampWeight = 0.1;
constexpr double heldWeight = 0.25;        // of a bad target that the floor keeps in service
constexpr double selfSuspicionShare = 0.5; // of own outcomes that fail, over most targets

std::size_t indexOf(Evidence evidence)
{
    return static_cast<std::size_t>(evidence);
}

// The share of failures that a bad target is assumed to have, given that of the others.
double badFailureShare(double reference)
{
    return std::min(0.9, 5 * reference + 0.025);
}

std::optional<Evidence> evidenceOf(OutcomeKind kind)
{
    switch (kind) {
    case OutcomeKind::Success:
        return std::nullopt;
    case OutcomeKind::ConnectFailed:
        return Evidence::ConnectFailure;
    case OutcomeKind::TimedOut:
        return Evidence::Timeout;
    case OutcomeKind::Failed:
        return Evidence::Failure;
    }
    return std::nullopt;
}

// Whether the fault may lie between this Vm and the target, so that each Vm sees its own truth.
bool isPathEvidence(Evidence evidence)
{
    return evidence == Evidence::ConnectFailure || evidence == Evidence::Timeout;
}

Duration quantileOf(std::vector<Duration> values, double share)
{
    const auto at = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
    return values[at];
}

} // namespace

std::string_view evidenceName(Evidence evidence)
{
    switch (evidence) {
    case Evidence::ConnectFailure:
        return "connect_failure";
    case Evidence::Timeout:
        return "timeout";
    case Evidence::Failure:
        return "failure";
    case Evidence::Slowness:
        return "slowness";
    }
    return "unnamed";
}

HealthOptions makeHealthOptions(DetectionPreset preset, std::uint32_t floorPercent)
{
    HealthOptions options{.floorPercent = floorPercent};
    if (preset == DetectionPreset::Steady) {
        options.threshold = 13;
        options.fleetThreshold = 16;
        options.firstEjection = std::chrono::seconds(10);
        options.trialRequests = 5;
    }
    return options;
}

ServiceHealth::ServiceHealth(HealthOptions options)
    : m_options(options)
{
}

void ServiceHealth::setTargets(const std::vector<Target> &targets)
{
    std::vector<Member> members;
    members.reserve(targets.size());
    for (const Target &it : targets) {
        Member *known = find(it.name);
        const bool isSame = known != nullptr && known->target.address == it.address;
        Member member = isSame ? std::move(*known) : Member{.tally = {.target = it.name}};
        member.target = it;
        members.push_back(std::move(member));
    }
    m_members = std::move(members);
    restoreFloor();
}

ServiceHealth::Member *ServiceHealth::find(const TargetName &name)
{
    const auto it = std::find_if(m_members.begin(), m_members.end(), [&name](const Member &member) { return member.target.name == name; });
    return it == m_members.end() ? nullptr : &*it;
}

void ServiceHealth::decay(Sums &sums, TimePoint now) const
{
    if (now <= sums.decayedAt) {
        return;
    }
    const double halfLives = std::chrono::duration<double>(now - sums.decayedAt) / std::chrono::duration<double>(m_options.halfLife);
    const double factor = std::exp2(-halfLives);
    for (double &it : sums.scores) {
        it *= factor;
    }
    sums.decayedAt = now;
}

// Adds outcomes to one test and returns by how much its sum grew. `reference` is the other targets' share of hits.
double ServiceHealth::addTo(Sums &sums, Evidence evidence, double hits, double misses, double reference) const
{
    const bool isSlowness = evidence == Evidence::Slowness;
    if (isSlowness && reference > highestSlowShare) {
        return 0;
    }
    const double usual = isSlowness ? std::max(reference, usualSlowShare) : std::clamp(reference, lowestFailureShare, highestFailureShare);
    const double bad = isSlowness ? badSlowShare : badFailureShare(usual);
    double &score = sums.scores[indexOf(evidence)];
    const double before = score;
    const double ratio = hits * std::log(bad / usual) + misses * std::log((1 - bad) / (1 - usual));
    score = std::max(0.0, score + ratio);
    return score - before;
}

void ServiceHealth::refreshReference()
{
    std::vector<Duration> highs;
    std::vector<Duration> middles;
    for (const Member &it : m_members) {
        if (it.latencies.size() >= fewestLatencies) {
            highs.push_back(quantileOf(it.latencies, slowQuantile));
            middles.push_back(quantileOf(it.latencies, 0.5));
        }
    }
    m_sinceReference = 0;
    if (highs.size() < 2) {
        m_slowLimit = Duration::max();
        return;
    }
    const double usual = static_cast<double>(quantileOf(middles, 0.5).count());
    const Duration least = Duration(static_cast<std::int64_t>(usual * slowFactor)) + slowMargin;
    m_slowLimit = std::max(quantileOf(highs, 0.5), least);
}

bool ServiceHealth::isSlow(const Member &member, Duration latency)
{
    if (++m_sinceReference >= referencePeriod || m_slowLimit == Duration::max()) {
        refreshReference();
    }
    return member.healthState != HealthState::SlowStart && latency > m_slowLimit;
}

// The middle of the other targets' shares; those without one are left out. Without any, every failure counts as usual.
double ServiceHealth::middleOfOthers(const Member &except, const std::function<std::optional<double>(const Member &)> &share) const
{
    std::vector<double> shares;
    for (const Member &it : m_members) {
        const std::optional<double> value = &it == &except ? std::nullopt : share(it);
        if (value) {
            shares.push_back(*value);
        }
    }
    if (shares.empty()) {
        return 1;
    }
    const auto middle = shares.begin() + static_cast<std::ptrdiff_t>(shares.size() / 2);
    std::nth_element(shares.begin(), middle, shares.end());
    return *middle;
}

void ServiceHealth::observe(const TargetName &target, const DispatchOutcome &outcome, TimePoint now)
{
    Member *member = find(target);
    if (member == nullptr) {
        return;
    }
    if (now - m_weighedAt >= remotePeriod) {
        weighRemote(now);
    }
    const std::optional<Evidence> evidence = evidenceOf(outcome.kind);
    const bool slow = !evidence && isSlow(*member, outcome.latency);
    if (member->healthState == HealthState::HalfOpen || member->healthState == HealthState::Ejected) {
        finishTrialStep(*member, !evidence && !slow, now);
        return;
    }
    const bool isPathFailure = evidence && isPathEvidence(*evidence);
    member->recentFailures += recentWeight * ((evidence ? 1.0 : 0.0) - member->recentFailures);
    member->recentPathFailures += recentWeight * ((isPathFailure ? 1.0 : 0.0) - member->recentPathFailures);
    const double reference = middleOfOthers(*member, [](const Member &it) { return it.failureShare; });
    member->failureShare += averageWeight * ((evidence ? 1.0 : 0.0) - member->failureShare);
    decay(member->own, now);
    for (const Evidence it : {Evidence::ConnectFailure, Evidence::Timeout, Evidence::Failure}) {
        addTo(member->own, it, evidence == it ? 1 : 0, evidence == it ? 0 : 1, reference);
    }
    if (!evidence) {
        const double slowReference = middleOfOthers(*member, [](const Member &it) { return it.recentSlows; });
        member->recentSlows += recentWeight * ((slow ? 1.0 : 0.0) - member->recentSlows);
        addTo(member->own, Evidence::Slowness, slow ? 1 : 0, slow ? 0 : 1, slowReference);
        if (member->latencies.size() < keptLatencies) {
            member->latencies.push_back(outcome.latency);
        } else {
            member->latencies[member->nextLatency] = outcome.latency;
            member->nextLatency = (member->nextLatency + 1) % keptLatencies;
        }
        ++member->tally.successes;
        member->tally.slowSuccesses += slow ? 1 : 0;
        ++member->wellsInRow;
    } else {
        ++member->tally.failures[indexOf(*evidence)];
        member->wellsInRow = 0;
    }
    judge(*member, now);
}

void ServiceHealth::observeRemote(const HealthSummary &summary, TimePoint now)
{
    if (now - m_weighedAt >= remotePeriod) {
        weighRemote(now);
    }
    for (const TargetOutcomeCounts &it : summary.tallies) {
        Member *member = find(it.target);
        if (member == nullptr) {
            continue;
        }
        member->remote.successes += it.successes;
        member->remote.slowSuccesses += it.slowSuccesses;
        std::uint32_t hits = it.slowSuccesses;
        for (std::size_t i = 0; i < evidenceCount; ++i) {
            member->remote.failures[i] += it.failures[i];
            hits += it.failures[i];
        }
        if (hits != 0) {
            member->remoteHits[summary.failureDomain] += hits;
        }
    }
}

// Weighs what the others sent since the last time, all targets of the same period side by side.
void ServiceHealth::weighRemote(TimePoint now)
{
    m_weighedAt = now;
    for (Member &it : m_members) {
        const bool isOut = it.healthState == HealthState::HalfOpen || it.healthState == HealthState::Ejected;
        if (!isOut) {
            weighRemote(it, now);
        }
    }
    for (Member &it : m_members) {
        it.remote = TargetOutcomeCounts{.target = it.target.name};
        it.remoteHits.clear();
    }
}

void ServiceHealth::weighRemote(Member &member, TimePoint now)
{
    const TargetOutcomeCounts &tally = member.remote;
    decay(member.fleet, now);
    double added = 0;
    for (const Evidence evidence : {Evidence::ConnectFailure, Evidence::Timeout, Evidence::Failure}) {
        const double reference = middleOfOthers(member, [evidence](const Member &it) -> std::optional<double> {
            const double hits = it.remote.failures[indexOf(evidence)];
            const double n = hits + it.remote.successes;
            return n == 0 ? std::nullopt : std::optional(std::max(it.failureShare, hits / n));
        });
        added += std::max(0.0, addTo(member.fleet, evidence, tally.failures[indexOf(evidence)], tally.successes, reference));
    }
    const double slowReference = middleOfOthers(member, [](const Member &it) -> std::optional<double> {
        return it.remote.successes == 0 ? std::nullopt : std::optional(static_cast<double>(it.remote.slowSuccesses) / it.remote.successes);
    });
    added += std::max(0.0,
                      addTo(member.fleet, Evidence::Slowness, tally.slowSuccesses, tally.successes - tally.slowSuccesses, slowReference));
    const auto isZero = [](double score) { return score == 0; };
    if (std::all_of(member.fleet.scores.begin(), member.fleet.scores.end(), isZero)) {
        member.domains.clear();
    } else if (added > 0) {
        std::uint32_t all = 0;
        for (const auto &[domain, hits] : member.remoteHits) {
            all += hits;
        }
        for (const auto &[domain, hits] : member.remoteHits) {
            member.domains[domain] += added * hits / all;
        }
    }
    judge(member, now);
}

HealthSummary ServiceHealth::takeSummary(const VmName &vm, const FailureDomain &failureDomain)
{
    HealthSummary summary{.vm = vm, .failureDomain = failureDomain};
    for (Member &it : m_members) {
        const TargetOutcomeCounts empty{.target = it.target.name};
        if (it.tally != empty) {
            summary.tallies.push_back(std::exchange(it.tally, empty));
        }
    }
    return summary;
}

void ServiceHealth::judge(Member &member, TimePoint now)
{
    for (std::size_t i = 0; i < evidenceCount; ++i) {
        const auto evidence = static_cast<Evidence>(i);
        if (member.own.scores[i] >= m_options.threshold) {
            eject(member, evidence, member.own.scores[i], false, now);
            return;
        }
        const bool isVetoed = isPathEvidence(evidence) && member.wellsInRow >= vetoWells;
        if (member.fleet.scores[i] < m_options.fleetThreshold || isVetoed) {
            continue;
        }
        double total = 0;
        double highest = 0;
        for (const auto &[domain, score] : member.domains) {
            total += score;
            highest = std::max(highest, score);
        }
        if (total - highest >= secondDomainShare * total) {
            eject(member, evidence, member.fleet.scores[i], true, now);
            return;
        }
    }
}

std::uint32_t ServiceHealth::slotsInService() const
{
    std::uint32_t slots = 0;
    for (const Member &it : m_members) {
        const bool isOut = it.healthState == HealthState::Ejected || it.healthState == HealthState::HalfOpen;
        slots += it.target.state == TargetState::Serving && !isOut ? it.target.slots : 0;
    }
    return slots;
}

std::uint32_t ServiceHealth::servingSlots() const
{
    std::uint32_t slots = 0;
    for (const Member &it : m_members) {
        slots += it.target.state == TargetState::Serving ? it.target.slots : 0;
    }
    return slots;
}

bool ServiceHealth::keepsFloor(std::uint32_t slots) const
{
    return slots > 0 && std::uint64_t{slots} * 100 >= std::uint64_t{servingSlots()} * m_options.floorPercent;
}

bool ServiceHealth::mayEject(const Member &member) const
{
    const bool isOut = member.healthState == HealthState::Ejected || member.healthState == HealthState::HalfOpen;
    const bool counts = !isOut && member.target.state == TargetState::Serving;
    return keepsFloor(slotsInService() - (counts ? member.target.slots : 0));
}

// Takes ejected targets back, the longest ejected first, when others left and the floor no longer holds.
void ServiceHealth::restoreFloor()
{
    while (servingSlots() > 0 && !keepsFloor(slotsInService())) {
        Member *longest = nullptr;
        for (Member &it : m_members) {
            const bool isOut = it.healthState == HealthState::Ejected || it.healthState == HealthState::HalfOpen;
            if (isOut && it.target.state == TargetState::Serving && (longest == nullptr || it.changedAt < longest->changedAt)) {
                longest = &it;
            }
        }
        if (longest == nullptr) {
            return;
        }
        longest->healthState = HealthState::HeldByFloor;
        m_changes.push_back({.target = longest->target.name, .healthState = HealthState::HeldByFloor});
    }
}

void ServiceHealth::eject(Member &member, Evidence evidence, double score, bool isFleetWide, TimePoint now)
{
    member.own.scores.fill(0);
    member.fleet.scores.fill(0);
    member.domains.clear();
    const bool isHeld = mostFail(&Member::recentFailures) || !mayEject(member);
    const HealthState healthState = isHeld ? HealthState::HeldByFloor : HealthState::Ejected;
    const bool isNew = member.healthState != healthState;
    member.healthState = healthState;
    member.changedAt = now;
    member.wellsInRow = 0;
    if (!isHeld) {
        const double factor = std::exp2(std::min<std::uint32_t>(member.ejections, 16));
        const auto longest = static_cast<double>(m_options.longestEjection.count());
        const double length = std::min(longest, static_cast<double>(m_options.firstEjection.count()) * factor);
        member.until = now + Duration(static_cast<std::int64_t>(length));
        ++member.ejections;
    } else {
        member.until = now + m_options.firstEjection;
    }
    if (isNew) {
        m_changes.push_back(
            {.target = member.target.name, .healthState = healthState, .evidence = evidence, .score = score, .isFleetWide = isFleetWide});
    }
}

void ServiceHealth::finishTrialStep(Member &member, bool isWell, TimePoint now)
{
    if (member.healthState == HealthState::Ejected) {
        return; // sent before the ejection; says nothing new
    }
    if (!isWell) {
        eject(member, Evidence::Failure, 0, false, now);
        return;
    }
    if (++member.wellsInRow >= m_options.trialRequests) {
        member.healthState = HealthState::SlowStart;
        member.changedAt = now;
        member.failureShare = 0;
        member.recentFailures = 0;
        member.recentPathFailures = 0;
        member.recentSlows = 0;
        member.latencies.clear();
        member.nextLatency = 0;
        m_changes.push_back({.target = member.target.name, .healthState = HealthState::SlowStart});
    }
}

TargetHealthState ServiceHealth::healthOf(const TargetName &target, TimePoint now)
{
    Member *member = find(target);
    if (member == nullptr) {
        return {};
    }
    if (member->healthState == HealthState::Ejected && now >= member->until) {
        member->healthState = HealthState::HalfOpen;
        member->changedAt = now;
        member->wellsInRow = 0;
    }
    if (member->healthState == HealthState::HeldByFloor && now >= member->until) {
        member->healthState = HealthState::InService;
    }
    switch (member->healthState) {
    case HealthState::InService: {
        const Duration calm = now - member->changedAt;
        if (member->ejections > 0 && calm > m_options.longestEjection) {
            member->ejections = 0;
        }
        return {.healthState = HealthState::InService};
    }
    case HealthState::Ejected:
        return {.healthState = HealthState::Ejected, .weight = 0};
    case HealthState::HalfOpen:
        return {.healthState = HealthState::HalfOpen, .weight = firstRampWeight, .isTrial = true};
    case HealthState::HeldByFloor:
        return {.healthState = HealthState::HeldByFloor, .weight = heldWeight};
    case HealthState::SlowStart:
        break;
    }
    const double done = std::chrono::duration<double>(now - member->changedAt) / std::chrono::duration<double>(m_options.ramp);
    if (done >= 1) {
        member->healthState = HealthState::InService;
        member->changedAt = now;
        return {.healthState = HealthState::InService};
    }
    return {.healthState = HealthState::SlowStart, .weight = firstRampWeight + (1 - firstRampWeight) * done};
}

std::vector<HealthChange> ServiceHealth::takeChanges()
{
    return std::exchange(m_changes, {});
}

bool ServiceHealth::mostFail(double Member::*share) const
{
    if (m_members.size() < 3) {
        return false;
    }
    const auto failing
        = std::count_if(m_members.begin(), m_members.end(), [share](const Member &it) { return it.*share >= selfSuspicionShare; });
    return static_cast<std::size_t>(failing) * 2 > m_members.size();
}

bool ServiceHealth::isLikelyIsolated() const
{
    return mostFail(&Member::recentPathFailures);
}

} // namespace Pollenspoke
