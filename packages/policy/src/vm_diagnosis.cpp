#include <algorithm>
#include <cmath>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

namespace {

constexpr auto stepLength = std::chrono::milliseconds(100); // of the window; its end is accurate to this
constexpr std::size_t maxRecentConnects = 8;                // of an impaired Vm, about two seconds of its trials
constexpr std::size_t maxIndices = 4096;                    // of seat holders, also earlier ones

} // namespace

VmDiagnosis::VmDiagnosis(DiagnosisOptions options)
    : m_options(options)
{
}

void VmDiagnosis::noteAttempt(const TargetKey &target, ReachOutcome outcome, TimePoint now)
{
    if (outcome != ReachOutcome::Connected) {
        m_targets[target].failedAt = now;
    }
    if (outcome == ReachOutcome::Silent) {
        return;
    }
    if (m_steps.empty() || now - m_steps.back().startedAt >= stepLength) {
        forgetExpired(now);
        m_steps.push_back({.startedAt = now});
    }
    const bool isOpened = outcome == ReachOutcome::Connected;
    ++(isOpened ? m_steps.back().opened : m_steps.back().failed);
    m_lastConnectAt = now;
    if (m_isImpaired) {
        m_recentConnects.push_back(isOpened);
        if (m_recentConnects.size() > maxRecentConnects) {
            m_recentConnects.pop_front();
        }
    }
}

std::size_t VmDiagnosis::indexOf(const VmName &vm)
{
    const std::size_t index = m_indices.try_emplace(vm, m_indices.size()).first->second;
    m_isReporter.resize(m_indices.size());
    return index;
}

void VmDiagnosis::applyReports(const VmName &vm, const std::map<ServiceName, std::vector<TargetObservation>> &observations, TimePoint now)
{
    const auto known = m_indices.find(vm);
    if (known == m_indices.end()) {
        return; // not a seat holder: its report may be forged, or late
    }
    const std::size_t index = known->second;
    for (const auto &[service, targets] : observations) {
        for (const TargetObservation &it : targets) {
            if (it.unreachablePause <= Duration(0)) {
                continue;
            }
            auto &reports = m_targets[{service, it.target}].unreachableAt;
            const auto report = std::find_if(reports.begin(), reports.end(), [index](const auto &entry) { return entry.first == index; });
            if (report == reports.end()) {
                reports.emplace_back(index, now);
            } else {
                report->second = now;
            }
        }
    }
    forgetExpired(now);
}

void VmDiagnosis::setOtherHolders(const std::vector<HolderHealth> &others, TimePoint now)
{
    m_otherHolders = others;
    m_holdersKnownAt = now;
    if (m_indices.size() > maxIndices) {
        m_indices.clear();
        m_targets.clear();
    }
    m_isReporter.assign(m_indices.size(), false);
    for (const HolderHealth &it : others) {
        const std::size_t index = indexOf(it.vm);
        m_isReporter[index] = !it.isImpaired;
    }
}

void VmDiagnosis::forgetExpired(TimePoint now)
{
    while (!m_steps.empty() && now - m_steps.front().startedAt >= m_options.window) {
        m_steps.pop_front();
    }
    for (auto &[key, it] : m_targets) {
        std::erase_if(it.unreachableAt, [this, now](const auto &report) { return now - report.second >= m_options.reportTtl; });
    }
    std::erase_if(m_targets, [this, now](const auto &it) {
        const bool hasFailed = it.second.failedAt != TimePoint() && now - it.second.failedAt < m_options.window;
        return !hasFailed && it.second.unreachableAt.empty();
    });
}

// An impaired Vm's own reports prove nothing, nor do those of a Vm that isn't a live seat holder.
VmDiagnosis::FailedTargets VmDiagnosis::failedTargets(TimePoint now) const
{
    std::size_t healthyOthers = 0;
    for (const HolderHealth &it : m_otherHolders) {
        healthyOthers += it.isImpaired ? 0 : 1;
    }
    const auto share = static_cast<std::size_t>(std::ceil(static_cast<double>(healthyOthers) * m_options.reporterShare));
    const std::size_t required = std::min(std::max<std::size_t>(share, m_options.minReporters), std::max<std::size_t>(healthyOthers, 1));
    FailedTargets failed;
    for (const auto &[key, reach] : m_targets) {
        if (reach.failedAt == TimePoint() || now - reach.failedAt >= m_options.window) {
            continue;
        }
        ++failed.all;
        const auto reporters = static_cast<std::size_t>(
            std::count_if(reach.unreachableAt.begin(), reach.unreachableAt.end(), [this, now](const auto &report) {
                return m_isReporter[report.first] && now - report.second < m_options.reportTtl;
            }));
        failed.confirmed += reporters >= required ? 1 : 0;
    }
    return failed;
}

VmHealthChange VmDiagnosis::counts(TimePoint now) const
{
    VmHealthChange counts{.isImpaired = m_isImpaired, .otherHolders = m_otherHolders.size()};
    for (const Step &it : m_steps) {
        if (now - it.startedAt < m_options.window) {
            counts.connects += it.opened + it.failed;
            counts.failedConnects += it.failed;
        }
    }
    for (const HolderHealth &it : m_otherHolders) {
        counts.impairedOthers += it.isImpaired ? 1 : 0;
    }
    return counts;
}

bool VmDiagnosis::hasSigns(const VmHealthChange &counts) const
{
    const std::size_t ownTargets = counts.failedTargets - counts.confirmedTargets;
    return ownTargets >= m_options.minTargets && ownTargets * 2 >= counts.failedTargets;
}

// A congested link has room again once the requests stay away, so the impairment lasts for some time at least.
bool VmDiagnosis::hasRecovered(TimePoint now) const
{
    if (now - m_changedAt < m_impairedTime) {
        return false;
    }
    const auto opened = static_cast<double>(std::count(m_recentConnects.begin(), m_recentConnects.end(), true));
    const auto attempts = static_cast<double>(m_recentConnects.size());
    const bool doMostConnect = m_recentConnects.size() >= m_options.recoveryConnects && opened >= attempts * m_options.connectedShare;
    return doMostConnect || now - std::max(m_lastConnectAt, m_changedAt) >= m_options.idleTime;
}

std::optional<VmHealthChange> VmDiagnosis::update(TimePoint now)
{
    if (m_isImpaired) {
        if (!hasRecovered(now)) {
            return std::nullopt;
        }
        VmHealthChange change = counts(now);
        change.isImpaired = m_isImpaired = false;
        change.connects = static_cast<std::uint32_t>(m_recentConnects.size());
        change.failedConnects = static_cast<std::uint32_t>(std::count(m_recentConnects.begin(), m_recentConnects.end(), false));
        m_changedAt = now;
        m_steps.clear();
        m_recentConnects.clear();
        m_signsSince.reset();
        return change;
    }
    VmHealthChange change = counts(now);
    const bool doMostFail = change.connects >= m_options.minConnects && change.failedConnects > change.connects * m_options.failedShare;
    const bool hasWitness = areHoldersKnown(now) && change.impairedOthers < change.otherHolders;
    if (doMostFail && hasWitness) { // else the targets needn't be counted
        const FailedTargets failed = failedTargets(now);
        change.failedTargets = failed.all;
        change.confirmedTargets = failed.confirmed;
    }
    if (!hasSigns(change)) {
        m_signsSince.reset();
        return std::nullopt;
    }
    m_signsSince = m_signsSince.value_or(now);
    if (now - *m_signsSince < m_options.confirmTime) {
        return std::nullopt;
    }
    const bool isRelapse = m_changedAt != TimePoint() && now - m_changedAt < m_options.relapseTime;
    m_impairedTime = isRelapse ? std::min(m_impairedTime * 2, m_options.longestTime) : m_options.shortestTime;
    change.isImpaired = m_isImpaired = true;
    m_changedAt = now;
    m_recentConnects.clear();
    m_lastProbeAt = now;
    return change;
}

bool VmDiagnosis::isExcusingTargets(TimePoint now) const
{
    if (!m_isImpaired || !areHoldersKnown(now)) {
        return false;
    }
    const std::size_t impaired = counts(now).impairedOthers + 1;
    return impaired * 2 < m_otherHolders.size() + 1;
}

bool VmDiagnosis::admit(bool isIdempotent, TimePoint now)
{
    if (!isExcusingTargets(now)) {
        return true;
    }
    if (now - m_lastProbeAt < (isIdempotent ? m_options.probeInterval : m_options.unsafeProbeInterval)) {
        return false;
    }
    m_lastProbeAt = now;
    return true;
}

} // namespace Pollenspoke
