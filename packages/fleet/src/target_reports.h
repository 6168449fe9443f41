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
    };

    /// To be called once per period. A full report goes to all receivers; otherwise each gets what changed since the last report
    /// to it. A target's new failure is reported to all at once.
    Reports next(const TargetUpdates &current, const Receivers &receivers, bool isFullReport);

    /// Number of periods between reports to distant receivers.
    static std::size_t distantInterval(const Receivers &receivers);

private:
    TargetUpdates m_lastNear;
    TargetUpdates m_lastDistant;
    std::size_t m_periodsSinceDistant = 0;
};

} // namespace Pollenspoke
