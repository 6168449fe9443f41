#include <algorithm>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

namespace {

constexpr auto minDrainTime = std::chrono::milliseconds(250); // of evidence; 100 ms refused requests of a peak of 300 ms
constexpr auto drainWindow = std::chrono::seconds(1);
constexpr double spread
    = 1.25; // factor of the wait for those ahead; with 1, the full queue of a long burst refuses a quarter after the wait
constexpr double minOwnSlots = 1; // the next slot that any Vm releases may be had

} // namespace

void QueueDrain::noteWaiting(bool isAnyWaiting, TimePoint now)
{
    if (!isAnyWaiting) {
        m_waitingSince.reset();
        m_starts.clear();
    } else if (!m_waitingSince) {
        m_waitingSince = now;
    }
}

void QueueDrain::noteStart(TimePoint now)
{
    if (!m_waitingSince) {
        return;
    }
    while (!m_starts.empty() && now - m_starts.front() >= drainWindow) {
        m_starts.pop_front();
    }
    m_starts.push_back(now);
}

std::optional<double> QueueDrain::rate(TimePoint now) const
{
    if (!m_waitingSince || now - *m_waitingSince < minDrainTime) {
        return std::nullopt;
    }
    const Duration time = std::min<Duration>(now - *m_waitingSince, drainWindow);
    const auto n = std::count_if(m_starts.begin(), m_starts.end(), [now](TimePoint it) { return now - it < drainWindow; });
    return static_cast<double>(n) / std::chrono::duration<double>(time).count();
}

Duration expectedQueueWait(const QueueWaitInput &input)
{
    const Duration wait = input.usualLatency * (input.ahead + 1) / std::max<std::uint32_t>(input.usableSlots, 1);
    if (!input.drainRate || input.usualLatency <= Duration::zero()) {
        return wait;
    }
    const double latency = std::chrono::duration<double>(input.usualLatency).count();
    const double perSecond = std::max(*input.drainRate, std::max(input.ownSlots, minOwnSlots) / latency);
    const std::chrono::duration<double> own(static_cast<double>(input.ahead) * spread / perSecond + 1 / perSecond);
    return std::chrono::duration_cast<Duration>(own);
}

} // namespace Pollenspoke
