#include <pollenspoke/policy.h>

namespace Pollenspoke {

bool PlannedStop::mayStart(TimePoint requestDeadline, TimePoint now) const
{
    return now < m_acceptsUntil || requestDeadline < m_endsAt;
}

// A refusal wouldn't help the caller of a request that may have run, so a retry needs no certainty, only a good chance.
bool PlannedStop::mayRetry(Duration usualLatency, TimePoint now) const
{
    return m_endsAt - now > 2 * usualLatency;
}

} // namespace Pollenspoke
