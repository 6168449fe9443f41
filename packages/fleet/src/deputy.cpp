#include "deputy.h"

#include <algorithm>

namespace Pollenspoke {

void DeputyRole::recordHandedOnContact(TimePoint contactAt)
{
    m_handedOnContactAt = std::max(m_handedOnContactAt, contactAt);
}

void DeputyRole::recordOwnContact(TimePoint now, Duration limit)
{
    m_ownContactAt = now;
    if (!m_deputySince && now - m_handedOnContactAt > limit) {
        m_deputySince = now;
    }
}

// While this Vm's changes reach the seat holders, they hand its own contact back to it. Then only their need keeps the role.
void DeputyRole::update(TimePoint now, Duration limit)
{
    const bool isSupplied = now - m_handedOnContactAt <= limit;
    if (m_deputySince && isSupplied && now - std::max(m_neededAt, *m_deputySince) > standDownTime) {
        m_deputySince.reset();
    }
}

bool DeputyRole::isBlind(TimePoint now, Duration limit) const
{
    return now - std::max(m_handedOnContactAt, m_ownContactAt) > limit;
}

Duration DeputyRole::probeInterval(std::size_t vmsWithoutSeat)
{
    const std::chrono::duration<double> interval(static_cast<double>(vmsWithoutSeat) / maxFleetProbesPerSecond);
    return std::max(shortestProbeInterval, std::chrono::duration_cast<Duration>(interval));
}

} // namespace Pollenspoke
