#include <algorithm>
#include <cmath>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

namespace {

// Part of the bound that the shares use. Vms that know different lists of sharers may count one more home than there are.
constexpr double usedShare = 0.8;
constexpr std::size_t minHomes = 2;                        // so that the loss of one doesn't end the target's work
constexpr double minRate = 0.1;                            // requests/s, so that a target is used at all if the bound is below its rate
constexpr auto burstTime = std::chrono::milliseconds(200); // of a share; the time in which requests may bunch
constexpr double maxHomes = 1e6;

} // namespace

Limits warmupShare(const TargetName &target, double ratePerSecond, const WarmupBound &bound, const LimitSharers &sharers)
{
    const double allowed = usedShare * (ratePerSecond * bound.overage + bound.slack);
    const double rate = std::clamp(allowed - 1, minRate, std::max(ratePerSecond, minRate));
    const double bursts = std::max(allowed - rate, 1.0); // each home needs one whole token
    const double seconds = std::chrono::duration<double>(burstTime).count();
    if (!sharers.vms) {
        return {.ratePerSecond = rate, .burst = std::min(1 + rate * seconds, bursts)};
    }
    const auto wanted = std::max(static_cast<std::size_t>(std::min(rate, maxHomes)), minHomes);
    const std::size_t homes = std::min({sharers.vms->size(), wanted, static_cast<std::size_t>(std::min(bursts, maxHomes))});
    if (returnRank(target, sharers) >= homes) {
        return {};
    }
    const double part = rate / static_cast<double>(homes);
    return {.ratePerSecond = part, .burst = std::min(1 + part * seconds, bursts / static_cast<double>(homes))};
}

bool WarmupLimit::isCold(TimePoint now) const
{
    return m_isUnknown || now < std::max(m_registeredUntil, m_answeredUntil);
}

bool WarmupLimit::isLimited(TimePoint now) const
{
    return m_bucket && isCold(now);
}

// Requests that were sent while the target counted as warm took no tokens, so none may be saved up from that time.
void WarmupLimit::emptyIfWarm(TimePoint now)
{
    if (m_bucket && !isLimited(now)) {
        m_bucket = TokenBucket(m_bucket->limits(), 0, now);
    }
}

void WarmupLimit::setCold(TimePoint &until, TimePoint value, TimePoint now)
{
    emptyIfWarm(now);
    until = value;
}

void WarmupLimit::setShare(const Limits &share, TimePoint now)
{
    if (m_bucket) {
        m_bucket->setLimits(share, now);
    } else {
        m_bucket = TokenBucket(share, 0, now);
    }
}

void WarmupLimit::setRegistered(Duration warmup, TimePoint now)
{
    setCold(m_registeredUntil, now + warmup, now);
}

void WarmupLimit::setUnknown(bool isUnknown, TimePoint now)
{
    emptyIfWarm(now);
    m_isUnknown = isUnknown;
}

void WarmupLimit::noteAnswer(Duration warmup, TimePoint now)
{
    setCold(m_answeredUntil, std::max(m_answeredUntil, now + warmup), now);
}

Duration WarmupLimit::waitForToken(TimePoint now) const
{
    return isLimited(now) ? m_bucket->waitForToken(now) : Duration(0);
}

bool WarmupLimit::takeToken(TimePoint now)
{
    return !isLimited(now) || m_bucket->take(now);
}

void WarmupLimit::returnToken(TimePoint now)
{
    if (isLimited(now)) {
        m_bucket = TokenBucket(m_bucket->limits(), m_bucket->tokens(now) + 1, now);
    }
}

} // namespace Pollenspoke
