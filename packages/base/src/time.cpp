#include <pollenspoke/base.h>

namespace Pollenspoke {

TimePoint SteadyClock::now() const
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

TimePoint ManualClock::now() const
{
    return TimePoint(Duration(m_nanoseconds.load()));
}

void ManualClock::advance(Duration step)
{
    m_nanoseconds += step.count();
}

} // namespace Pollenspoke
