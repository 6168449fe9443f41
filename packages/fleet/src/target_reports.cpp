#include "target_reports.h"

#include <algorithm>

namespace Pollenspoke {

namespace {

const TargetObservation *findReport(const TargetUpdates &reports, const ServiceName &service, const TargetName &target)
{
    const auto found = reports.find(service);
    if (found == reports.end()) {
        return nullptr;
    }
    const auto it
        = std::find_if(found->second.begin(), found->second.end(), [&target](const TargetObservation &it) { return it.target == target; });
    return it == found->second.end() ? nullptr : &*it;
}

std::optional<double> limitOf(const TargetObservation &observation)
{
    return observation.limit ? observation.limit->limit : std::nullopt;
}

// Returns the targets whose in-flight or failure counts changed, that returned after a failure, or that announced their leaving or another
// limit. Targets missing from the current reports count as zero.
TargetUpdates changedReports(const TargetUpdates &previous, const TargetUpdates &current)
{
    TargetUpdates changes;
    for (const auto &[service, targets] : current) {
        for (const TargetObservation &it : targets) {
            const TargetObservation *previousReport = findReport(previous, service, it.target);
            if (previousReport == nullptr || previousReport->inFlight != it.inFlight || previousReport->failures != it.failures
                || previousReport->leavingIncarnation != it.leavingIncarnation || limitOf(*previousReport) != limitOf(it)
                || previousReport->returnAge.has_value() != it.returnAge.has_value()) {
                changes[service].push_back(it);
            }
        }
    }
    for (const auto &[service, targets] : previous) {
        for (const TargetObservation &it : targets) {
            if ((it.inFlight != 0 || it.failures != 0) && findReport(current, service, it.target) == nullptr) {
                changes[service].push_back(TargetObservation{.target = it.target});
            }
        }
    }
    return changes;
}

bool hasNewFailure(const TargetUpdates &previous, const TargetUpdates &current)
{
    return std::any_of(current.begin(), current.end(), [&previous](const auto &service) {
        return std::any_of(service.second.begin(), service.second.end(), [&](const TargetObservation &it) {
            const TargetObservation *previousReport = findReport(previous, service.first, it.target);
            return it.failures > (previousReport == nullptr ? 0 : previousReport->failures);
        });
    });
}

} // namespace

std::size_t TargetReportSchedule::distantInterval(const Receivers &receivers)
{
    const std::size_t share = maxReportsPerPeriod - std::min(receivers.near, maxReportsPerPeriod - 1);
    return std::max<std::size_t>((receivers.distant + share - 1) / share, 1);
}

DemandUpdates TargetReportSchedule::nextDemand(SentDemand &sent, const DemandUpdates &demand, std::size_t interval, bool isFullReport)
{
    ++sent.periods;
    if (!isFullReport && sent.periods < interval) {
        return {};
    }
    std::set<ServiceName> underPressure;
    for (const auto &[name, it] : demand) {
        if (isUnderPressure(it.ranks)) {
            underPressure.insert(name);
        }
    }
    DemandUpdates due = demand;
    if (!isFullReport) {
        std::erase_if(due, [&](const auto &it) { return !underPressure.contains(it.first) && !sent.underPressure.contains(it.first); });
    }
    if (!due.empty()) {
        sent = {.underPressure = std::move(underPressure)};
    }
    return due;
}

TargetReportSchedule::Reports
TargetReportSchedule::next(const TargetUpdates &current, const DemandUpdates &demand, const Receivers &receivers, bool isFullReport)
{
    ++m_periodsSinceDistant;
    const bool isDistantDue = isFullReport || m_periodsSinceDistant >= distantInterval(receivers) || hasNewFailure(m_lastDistant, current);
    Reports reports{.near = isFullReport ? current : changedReports(m_lastNear, current)};
    m_lastNear = current;
    if (isDistantDue) {
        reports.distant = isFullReport ? current : changedReports(m_lastDistant, current);
        m_lastDistant = current;
        m_periodsSinceDistant = 0;
    }
    const bool hasPressure = std::any_of(demand.begin(), demand.end(), [](const auto &it) { return isUnderPressure(it.second.ranks); });
    if (!isFullReport || !current.empty() || hasPressure) {
        const std::size_t interval = std::clamp(distantInterval(receivers), demandInterval, maxDistantDemandInterval);
        reports.nearDemand = nextDemand(m_nearDemand, demand, demandInterval, isFullReport);
        reports.distantDemand = nextDemand(m_distantDemand, demand, interval, isFullReport);
    }
    return reports;
}

} // namespace Pollenspoke
