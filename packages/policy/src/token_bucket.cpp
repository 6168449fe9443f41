#include <algorithm>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

TokenBucket::TokenBucket(const Limits &limits, TimePoint now)
    : m_limits(limits)
    , m_tokens(limits.burst)
    , m_refilledAt(now)
{
}

TokenBucket::TokenBucket(const Limits &limits, double tokens, TimePoint now)
    : m_limits(limits)
    , m_tokens(std::clamp(tokens, 0.0, limits.burst))
    , m_refilledAt(now)
{
}

void TokenBucket::refill(TimePoint now)
{
    if (now <= m_refilledAt) {
        return;
    }
    const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
    m_tokens = std::min(m_limits.burst, m_tokens + seconds * m_limits.ratePerSecond);
    m_refilledAt = now;
}

bool TokenBucket::take(TimePoint now)
{
    refill(now);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

double TokenBucket::takeUpTo(double tokens, TimePoint now)
{
    refill(now);
    const double taken = std::clamp(tokens, 0.0, m_tokens);
    m_tokens -= taken;
    return taken;
}

double TokenBucket::tokens(TimePoint now) const
{
    TokenBucket refilled = *this;
    refilled.refill(now);
    return refilled.m_tokens;
}

Duration TokenBucket::waitForToken(TimePoint now) const
{
    constexpr Duration never = std::chrono::hours(1);
    const double available = tokens(now);
    if (available >= 1) {
        return Duration::zero();
    }
    if (m_limits.burst < 1 || m_limits.ratePerSecond * std::chrono::duration<double>(never).count() < 1) {
        return never;
    }
    const double seconds = (1 - available) / m_limits.ratePerSecond;
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
}

void TokenBucket::setLimits(const Limits &limits, TimePoint now)
{
    refill(now);
    m_limits = limits;
    m_tokens = std::min(m_tokens, limits.burst);
}

} // namespace Pollenspoke
