/// @file
/// Which changes of the targets a seat holder reports to which other ones. The number of reports per second is bounded: beyond
/// the bound, seat holders of other failure domains, which use this domain's targets rarely, get them less often.
#pragma once

#include <pollenspoke/fleet.h>

namespace Pollenspoke {

class TargetReportSchedule
{
public:
    static constexpr std::size_t maxReportsPerPeriod = 10; // datagrams; with periods of 40 ms at most 250 per second

    struct Receivers
    {
        std::size_t near = 0;    // in the own failure domain
        std::size_t distant = 0; // in the others
    };
    struct Reports
    {
        TargetUpdates near;    // empty: nothing to send
        TargetUpdates distant; // empty: nothing to send
        DemandUpdates nearDemand;
        DemandUpdates distantDemand;
    };

    /// To be called once per period. A full report goes to all receivers; otherwise each gets what changed since the last report
    /// to it. A target's new failure is reported to all at once.
    ///
    /// A full report has the demand for all services. Between them, the demand for services under pressure is reported every 200 ms,
    /// and once more when the pressure has ended. Without targets to report or pressure, no report is sent because of the demand.
    Reports next(const TargetUpdates &current, const DemandUpdates &demand, const Receivers &receivers, bool isFullReport);

    /// Number of periods between reports to distant receivers.
    static std::size_t distantInterval(const Receivers &receivers);

    static constexpr std::size_t demandInterval = 5;            // periods between reports of demand under pressure: 200 ms
    static constexpr std::size_t maxDistantDemandInterval = 10; // the same to distant receivers, at most

private:
    // Demand as last reported to one group of receivers.
    struct SentDemand
    {
        std::set<ServiceName> underPressure;
        std::size_t periods = 0; // since then
    };

    static DemandUpdates nextDemand(SentDemand &sent, const DemandUpdates &demand, std::size_t interval, bool isFullReport);

    TargetUpdates m_lastNear;
    TargetUpdates m_lastDistant;
    std::size_t m_periodsSinceDistant = 0;
    SentDemand m_nearDemand;
    SentDemand m_distantDemand;
};

} // namespace Pollenspoke
