#include <algorithm>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

namespace {

constexpr Duration recheckPeriod = std::chrono::seconds(2);    // on average, between the requests of all Vms without a share
constexpr Duration shortestRecheck = std::chrono::seconds(10); // the same of one Vm
constexpr double minLimit = 0.1;    // requests/s; a target that takes none is asked now and then whether it still does
constexpr std::size_t minHomes = 2; // so that the loss of one doesn't end the target's work
constexpr auto burstTime = std::chrono::milliseconds(200); // of a share; the time in which requests may bunch
constexpr auto endedReportTime = std::chrono::seconds(10); // for which other Vms are told that a limit ended
constexpr Duration never = std::chrono::hours(1);          // as TokenBucket::waitForToken()

std::uint64_t homeScore(const TargetName &target, const VmName &vm)
{
    return stableHash(target.value + '\n' + vm.value);
}

// Spread over the Vms, as many of them may have been told in the same moment.
Duration recheckInterval(const TargetName &target, const LimitSharers &sharers)
{
    const Duration interval = std::max<Duration>(recheckPeriod * sharers.fleetSize, shortestRecheck);
    constexpr std::uint64_t steps = 1000;
    return interval / 2 + interval / steps * (homeScore(target, sharers.self) % steps);
}

} // namespace

double limitShare(const TargetName &target, double limit, const LimitSharers &sharers)
{
    const double rate = std::max(limit, minLimit);
    if (!sharers.vms) {
        return rate;
    }
    const std::vector<VmName> &vms = *sharers.vms;
    const auto homes = std::min<std::size_t>(vms.size(), std::max<std::size_t>(static_cast<std::size_t>(std::min(rate, 1e6)), minHomes));
    return returnRank(target, sharers) < homes ? rate / static_cast<double>(homes) : 0;
}

void TargetLimit::apply(
    std::optional<double> limit, TimePoint statedAt, const TargetName &target, const LimitSharers &sharers, TimePoint now)
{
    m_statedAt = std::max(m_statedAt, statedAt);
    const bool wasLimited = m_limit.has_value();
    m_limit = limit;
    if (!limit) {
        return;
    }
    m_recheckInterval = recheckInterval(target, sharers);
    const double rate = limitShare(target, *limit, sharers);
    const Limits limits{.ratePerSecond = rate, .burst = 1 + rate * std::chrono::duration<double>(burstTime).count()};
    if (wasLimited) {
        m_bucket.setLimits(limits, now);
    } else {
        m_bucket = TokenBucket(limits, 0, now);
    }
}

bool TargetLimit::applyAnswer(
    std::optional<double> limit, TimePoint sentAt, const TargetName &target, const LimitSharers &sharers, TimePoint now)
{
    const bool isEarlier = !limit && sentAt < m_statedAt; // the target may have answered before it named the limit
    if (isEarlier || (!limit && !m_limit)) {
        return false;
    }
    const bool isNews = limit != m_limit;
    apply(limit, now, target, sharers, now);
    return isNews;
}

void TargetLimit::applyReport(
    const LimitReport &report, TimePoint statedAt, const TargetName &target, const LimitSharers &sharers, TimePoint now)
{
    if (statedAt > m_statedAt) {
        apply(report.limit, statedAt, target, sharers, now);
    }
}

void TargetLimit::setSharers(const TargetName &target, const LimitSharers &sharers, TimePoint now)
{
    if (m_limit) {
        apply(m_limit, m_statedAt, target, sharers, now);
    }
}

std::optional<LimitReport> TargetLimit::report(std::uint64_t incarnation, TimePoint now) const
{
    if (m_statedAt == TimePoint() || (!m_limit && now - m_statedAt > endedReportTime)) {
        return std::nullopt;
    }
    return LimitReport{.incarnation = incarnation, .limit = m_limit, .age = std::max(now - m_statedAt, Duration(0))};
}

// A Vm without a share asks as well if it has heard nothing for long, since the limit may have ended unnoticed.
TimePoint TargetLimit::recheckAt() const
{
    return std::max(m_statedAt, m_recheckedAt) + m_recheckInterval;
}

Duration TargetLimit::waitForToken(TimePoint now) const
{
    if (!m_limit) {
        return Duration(0);
    }
    if (m_bucket.limits().ratePerSecond > 0) {
        return m_bucket.waitForToken(now);
    }
    return now >= recheckAt() ? Duration(0) : never;
}

bool TargetLimit::takeToken(TimePoint now)
{
    if (!m_limit || m_bucket.take(now)) {
        return true;
    }
    const bool isRecheck = m_bucket.limits().ratePerSecond <= 0 && now >= recheckAt();
    m_recheckedAt = isRecheck ? now : m_recheckedAt;
    return isRecheck;
}

void TargetLimit::returnToken(TimePoint now)
{
    if (m_limit && m_bucket.limits().ratePerSecond > 0) {
        m_bucket = TokenBucket(m_bucket.limits(), m_bucket.tokens(now) + 1, now);
    }
}

} // namespace Pollenspoke
