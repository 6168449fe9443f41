#include <algorithm>
#include <cmath>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

namespace {

constexpr std::size_t latencySamples = 64;             // kept per target
constexpr std::size_t minLatencySamples = 16;          // for a target to count in the slow threshold
constexpr std::uint32_t thresholdRefreshOutcomes = 32; // outcomes between updates of the slow threshold
constexpr double slowQuantile = 0.9;                   // of each target's latencies
constexpr double slowFactor = 1.5;                     // minimum of the threshold, relative to the median latency
constexpr auto slowMargin = std::chrono::milliseconds(2);
constexpr double failureShareWeight = 0.02; // of one outcome in failureShare
constexpr double recentWeight = 0.25;       // of one outcome in the recent shares
constexpr double minFailureShare = 0.005;   // assumed for a healthy target, even without any failures
constexpr double maxFailureShare = 0.5;
constexpr double normalSlowShare = 0.15;                                // assumed slow answers of a healthy target
constexpr double badSlowShare = 0.5;                                    // assumed slow answers of a slow target
constexpr double maxSlowShare = 0.35;                                   // of the other targets; above it the whole service is slow
constexpr auto remoteEvidenceInterval = std::chrono::milliseconds(500); // so that targets are compared over one period
constexpr double minSecondDomainShare = 0.2; // of the fleet's evidence, from all but the strongest failure domain
constexpr std::uint32_t vetoSuccesses = 8;   // local successes in a row that override path failures reported by others
constexpr double slowStartWeight = 0.1;
constexpr double heldByFloorWeight = 0.25;    // of a target over the threshold that the floor keeps in service
constexpr double isolationFailureShare = 0.5; // local failure share from which a target counts as failing in majorityFails()

std::size_t indexOf(Evidence evidence)
{
    return static_cast<std::size_t>(evidence);
}

// Failure share assumed for a faulty target, given the other targets' share.
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

// Whether the fault may lie in the network path, so that other Vms may not be affected.
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
        options.halfOpenSuccesses = 5;
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
        Member *existing = find(it.name);
        const bool isSame = existing != nullptr && existing->target.address == it.address;
        Member member = isSame ? std::move(*existing) : Member{.localCounts = {.target = it.name}};
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

void ServiceHealth::decay(EvidenceScores &sums, TimePoint now) const
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

// Adds outcomes to the sequential test of `evidence` and returns the change of its sum. `hits` are the outcomes that show the fault,
// `misses` the others; `reference` is the other targets' share of hits.
double ServiceHealth::addEvidence(EvidenceScores &sums, Evidence evidence, double hits, double misses, double reference) const
{
    const bool isSlowness = evidence == Evidence::Slowness;
    if (isSlowness && reference > maxSlowShare) {
        return 0;
    }
    const double normal = isSlowness ? std::max(reference, normalSlowShare) : std::clamp(reference, minFailureShare, maxFailureShare);
    const double bad = isSlowness ? badSlowShare : badFailureShare(normal);
    double &score = sums.scores[indexOf(evidence)];
    const double before = score;
    const double ratio = hits * std::log(bad / normal) + misses * std::log((1 - bad) / (1 - normal));
    score = std::max(0.0, score + ratio);
    return score - before;
}

void ServiceHealth::refreshSlowThreshold()
{
    std::vector<Duration> highLatencies;
    std::vector<Duration> medianLatencies;
    for (const Member &it : m_members) {
        if (it.latencies.size() >= minLatencySamples) {
            highLatencies.push_back(quantileOf(it.latencies, slowQuantile));
            medianLatencies.push_back(quantileOf(it.latencies, 0.5));
        }
    }
    m_outcomesSinceRefresh = 0;
    if (highLatencies.size() < 2) {
        m_slowThreshold = Duration::max();
        return;
    }
    const double normal = static_cast<double>(quantileOf(medianLatencies, 0.5).count());
    const Duration minThreshold = Duration(static_cast<std::int64_t>(normal * slowFactor)) + slowMargin;
    m_slowThreshold = std::max(quantileOf(highLatencies, 0.5), minThreshold);
}

bool ServiceHealth::isSlow(const Member &member, Duration latency)
{
    if (++m_outcomesSinceRefresh >= thresholdRefreshOutcomes || m_slowThreshold == Duration::max()) {
        refreshSlowThreshold();
    }
    return member.healthState != HealthState::SlowStart && latency > m_slowThreshold;
}

// Median of the other targets' shares, leaving out those without one. Returns 1 if there is none, so that failures count as normal.
double ServiceHealth::medianOfOthers(const Member &except, const std::function<std::optional<double>(const Member &)> &share) const
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
    if (now - m_remoteAppliedAt >= remoteEvidenceInterval) {
        applyRemoteEvidence(now);
    }
    const std::optional<Evidence> evidence = evidenceOf(outcome.kind);
    const bool wasSlow = !evidence && isSlow(*member, outcome.latency);
    if (member->healthState == HealthState::HalfOpen || member->healthState == HealthState::Ejected) {
        recordTrialOutcome(*member, !evidence && !wasSlow, now);
        return;
    }
    const bool isPathFailure = evidence && isPathEvidence(*evidence);
    member->recentFailureShare += recentWeight * ((evidence ? 1.0 : 0.0) - member->recentFailureShare);
    member->recentPathFailureShare += recentWeight * ((isPathFailure ? 1.0 : 0.0) - member->recentPathFailureShare);
    const double reference = medianOfOthers(*member, [](const Member &it) { return it.failureShare; });
    member->failureShare += failureShareWeight * ((evidence ? 1.0 : 0.0) - member->failureShare);
    decay(member->own, now);
    for (const Evidence it : {Evidence::ConnectFailure, Evidence::Timeout, Evidence::Failure}) {
        addEvidence(member->own, it, evidence == it ? 1 : 0, evidence == it ? 0 : 1, reference);
    }
    if (!evidence) {
        const double slowShareReference = medianOfOthers(*member, [](const Member &it) { return it.recentSlowShare; });
        member->recentSlowShare += recentWeight * ((wasSlow ? 1.0 : 0.0) - member->recentSlowShare);
        addEvidence(member->own, Evidence::Slowness, wasSlow ? 1 : 0, wasSlow ? 0 : 1, slowShareReference);
        if (member->latencies.size() < latencySamples) {
            member->latencies.push_back(outcome.latency);
        } else {
            member->latencies[member->nextLatency] = outcome.latency;
            member->nextLatency = (member->nextLatency + 1) % latencySamples;
        }
        ++member->localCounts.successes;
        member->localCounts.slowSuccesses += wasSlow ? 1 : 0;
        ++member->successesInRow;
    } else {
        ++member->localCounts.failures[indexOf(*evidence)];
        member->successesInRow = 0;
    }
    ejectIfOverThreshold(*member, now);
}

void ServiceHealth::observeRemote(const HealthSummary &summary, TimePoint now)
{
    if (now - m_remoteAppliedAt >= remoteEvidenceInterval) {
        applyRemoteEvidence(now);
    }
    for (const TargetOutcomeCounts &it : summary.tallies) {
        Member *member = find(it.target);
        if (member == nullptr) {
            continue;
        }
        member->remoteCounts.successes += it.successes;
        member->remoteCounts.slowSuccesses += it.slowSuccesses;
        std::uint32_t hits = it.slowSuccesses;
        for (std::size_t i = 0; i < evidenceCount; ++i) {
            member->remoteCounts.failures[i] += it.failures[i];
            hits += it.failures[i];
        }
        if (hits != 0) {
            member->remoteFailuresByDomain[summary.failureDomain] += hits;
        }
    }
}

// Applies the outcomes received from other Vms since the last call, comparing all targets over the same period.
void ServiceHealth::applyRemoteEvidence(TimePoint now)
{
    m_remoteAppliedAt = now;
    for (Member &it : m_members) {
        const bool isOutOfService = it.healthState == HealthState::HalfOpen || it.healthState == HealthState::Ejected;
        if (!isOutOfService) {
            applyRemoteEvidence(it, now);
        }
    }
    for (Member &it : m_members) {
        it.remoteCounts = TargetOutcomeCounts{.target = it.target.name};
        it.remoteFailuresByDomain.clear();
    }
}

void ServiceHealth::applyRemoteEvidence(Member &member, TimePoint now)
{
    const TargetOutcomeCounts &outcomes = member.remoteCounts;
    decay(member.fleet, now);
    double added = 0;
    for (const Evidence evidence : {Evidence::ConnectFailure, Evidence::Timeout, Evidence::Failure}) {
        const double reference = medianOfOthers(member, [evidence](const Member &it) -> std::optional<double> {
            const double hits = it.remoteCounts.failures[indexOf(evidence)];
            const double n = hits + it.remoteCounts.successes;
            return n == 0 ? std::nullopt : std::optional(std::max(it.failureShare, hits / n));
        });
        added += std::max(0.0, addEvidence(member.fleet, evidence, outcomes.failures[indexOf(evidence)], outcomes.successes, reference));
    }
    const double slowShareReference = medianOfOthers(member, [](const Member &it) -> std::optional<double> {
        return it.remoteCounts.successes == 0
            ? std::nullopt
            : std::optional(static_cast<double>(it.remoteCounts.slowSuccesses) / it.remoteCounts.successes);
    });
    added += std::max(
        0.0,
        addEvidence(
            member.fleet, Evidence::Slowness, outcomes.slowSuccesses, outcomes.successes - outcomes.slowSuccesses, slowShareReference));
    const auto isZero = [](double score) { return score == 0; };
    if (std::all_of(member.fleet.scores.begin(), member.fleet.scores.end(), isZero)) {
        member.fleetDomains.clear();
    } else if (added > 0) {
        std::uint32_t totalFailures = 0;
        for (const auto &[domain, hits] : member.remoteFailuresByDomain) {
            totalFailures += hits;
        }
        for (const auto &[domain, hits] : member.remoteFailuresByDomain) {
            member.fleetDomains[domain] += added * hits / totalFailures;
        }
    }
    ejectIfOverThreshold(member, now);
}

HealthSummary ServiceHealth::takeSummary(const VmName &vm, const FailureDomain &failureDomain)
{
    HealthSummary summary{.vm = vm, .failureDomain = failureDomain};
    for (Member &it : m_members) {
        const TargetOutcomeCounts empty{.target = it.target.name};
        if (it.localCounts != empty) {
            summary.tallies.push_back(std::exchange(it.localCounts, empty));
        }
    }
    return summary;
}

void ServiceHealth::ejectIfOverThreshold(Member &member, TimePoint now)
{
    for (std::size_t i = 0; i < evidenceCount; ++i) {
        const auto evidence = static_cast<Evidence>(i);
        if (member.own.scores[i] >= m_options.threshold) {
            eject(member, evidence, member.own.scores[i], false, now);
            return;
        }
        const bool isVetoed = isPathEvidence(evidence) && member.successesInRow >= vetoSuccesses;
        if (member.fleet.scores[i] < m_options.fleetThreshold || isVetoed) {
            continue;
        }
        double total = 0;
        double highest = 0;
        for (const auto &[domain, score] : member.fleetDomains) {
            total += score;
            highest = std::max(highest, score);
        }
        if (total - highest >= minSecondDomainShare * total) {
            eject(member, evidence, member.fleet.scores[i], true, now);
            return;
        }
    }
}

std::uint32_t ServiceHealth::slotsInService() const
{
    std::uint32_t slots = 0;
    for (const Member &it : m_members) {
        const bool isOutOfService = it.healthState == HealthState::Ejected || it.healthState == HealthState::HalfOpen;
        slots += it.target.state == TargetState::Serving && !isOutOfService ? it.target.slots : 0;
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

bool ServiceHealth::meetsFloor(std::uint32_t slots) const
{
    return slots > 0 && std::uint64_t{slots} * 100 >= std::uint64_t{servingSlots()} * m_options.floorPercent;
}

bool ServiceHealth::mayEject(const Member &member) const
{
    const bool isOutOfService = member.healthState == HealthState::Ejected || member.healthState == HealthState::HalfOpen;
    const bool isCounted = !isOutOfService && member.target.state == TargetState::Serving;
    return meetsFloor(slotsInService() - (isCounted ? member.target.slots : 0));
}

// Returns ejected targets to service, the longest ejected first, until the floor is met again after other targets have left.
void ServiceHealth::restoreFloor()
{
    while (servingSlots() > 0 && !meetsFloor(slotsInService())) {
        Member *longest = nullptr;
        for (Member &it : m_members) {
            const bool isOutOfService = it.healthState == HealthState::Ejected || it.healthState == HealthState::HalfOpen;
            if (isOutOfService && it.target.state == TargetState::Serving && (longest == nullptr || it.changedAt < longest->changedAt)) {
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
    member.fleetDomains.clear();
    const bool isHeld = majorityFails(&Member::recentFailureShare) || !mayEject(member);
    const HealthState healthState = isHeld ? HealthState::HeldByFloor : HealthState::Ejected;
    const bool isNew = member.healthState != healthState;
    member.healthState = healthState;
    member.changedAt = now;
    member.successesInRow = 0;
    if (!isHeld) {
        const double factor = std::exp2(std::min<std::uint32_t>(member.ejections, 16));
        const auto longest = static_cast<double>(m_options.longestEjection.count());
        const double length = std::min(longest, static_cast<double>(m_options.firstEjection.count()) * factor);
        member.ejectedUntil = now + Duration(static_cast<std::int64_t>(length));
        ++member.ejections;
    } else {
        member.ejectedUntil = now + m_options.firstEjection;
    }
    if (isNew) {
        m_changes.push_back(
            {.target = member.target.name, .healthState = healthState, .evidence = evidence, .score = score, .isFleetWide = isFleetWide});
    }
}

void ServiceHealth::recordTrialOutcome(Member &member, bool isSuccess, TimePoint now)
{
    if (member.healthState == HealthState::Ejected) {
        return; // the request was sent before the ejection
    }
    if (!isSuccess) {
        eject(member, Evidence::Failure, 0, false, now);
        return;
    }
    if (++member.successesInRow >= m_options.halfOpenSuccesses) {
        member.healthState = HealthState::SlowStart;
        member.changedAt = now;
        member.failureShare = 0;
        member.recentFailureShare = 0;
        member.recentPathFailureShare = 0;
        member.recentSlowShare = 0;
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
    if (member->healthState == HealthState::Ejected && now >= member->ejectedUntil) {
        member->healthState = HealthState::HalfOpen;
        member->changedAt = now;
        member->successesInRow = 0;
    }
    if (member->healthState == HealthState::HeldByFloor && now >= member->ejectedUntil) {
        member->healthState = HealthState::InService;
    }
    switch (member->healthState) {
    case HealthState::InService: {
        const Duration stableTime = now - member->changedAt;
        if (member->ejections > 0 && stableTime > m_options.longestEjection) {
            member->ejections = 0;
        }
        return {.healthState = HealthState::InService};
    }
    case HealthState::Ejected:
        return {.healthState = HealthState::Ejected, .weight = 0};
    case HealthState::HalfOpen:
        return {.healthState = HealthState::HalfOpen, .weight = slowStartWeight, .isTrial = true};
    case HealthState::HeldByFloor:
        return {.healthState = HealthState::HeldByFloor, .weight = heldByFloorWeight};
    case HealthState::SlowStart:
        break;
    }
    const double progress = std::chrono::duration<double>(now - member->changedAt) / std::chrono::duration<double>(m_options.slowStartTime);
    if (progress >= 1) {
        member->healthState = HealthState::InService;
        member->changedAt = now;
        return {.healthState = HealthState::InService};
    }
    return {.healthState = HealthState::SlowStart, .weight = slowStartWeight + (1 - slowStartWeight) * progress};
}

std::vector<HealthChange> ServiceHealth::takeChanges()
{
    return std::exchange(m_changes, {});
}

bool ServiceHealth::majorityFails(double Member::*share) const
{
    if (m_members.size() < 3) {
        return false;
    }
    const auto failing
        = std::count_if(m_members.begin(), m_members.end(), [share](const Member &it) { return it.*share >= isolationFailureShare; });
    return static_cast<std::size_t>(failing) * 2 > m_members.size();
}

bool ServiceHealth::isLikelyIsolated() const
{
    return majorityFails(&Member::recentPathFailureShare);
}

} // namespace Pollenspoke
