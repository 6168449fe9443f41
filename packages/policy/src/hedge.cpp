#include <algorithm>
#include <cmath>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

namespace {

constexpr int binsPerDecade = 20; // each bin is 12 % wide
constexpr double lowestSeconds = 1e-3;
constexpr std::size_t maxTrackedRoutes = 1000; // bounds m_routes, as routes change with the configuration; 800 bytes each
constexpr std::uint32_t hedgePrice = 100;      // in the unit of m_credit

} // namespace

void LatencyQuantile::record(Duration latency, std::uint32_t memory)
{
    const double seconds = std::max(std::chrono::duration<double>(latency).count(), lowestSeconds);
    const auto bin = static_cast<std::size_t>(std::log10(seconds / lowestSeconds) * binsPerDecade);
    m_bins[std::min(bin, binCount - 1)] += 1;
    m_total += 1;
    if (++m_sinceHalving >= memory) {
        for (double &it : m_bins) {
            it /= 2;
        }
        m_total /= 2;
        m_sinceHalving = 0;
    }
}

Duration LatencyQuantile::quantile(double fraction) const
{
    double cumulative = 0;
    std::size_t bin = 0;
    while (bin + 1 < binCount && (cumulative += m_bins[bin]) < fraction * m_total) {
        ++bin;
    }
    const double upper = lowestSeconds * std::pow(10, static_cast<double>(bin + 1) / binsPerDecade);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(upper));
}

HedgePolicy::HedgePolicy(HedgeOptions options)
    : m_options(options)
{
}

void HedgePolicy::noteRequest()
{
    m_credit = std::min(m_credit + m_options.percent, std::max<std::uint32_t>(m_options.savedHedges, 1) * hedgePrice);
}

std::optional<Duration> HedgePolicy::delay(const RouteName &route) const
{
    const auto it = m_routes.find(route);
    if (!isEnabled() || it == m_routes.end() || it->second.total() < m_options.minObservations) {
        return std::nullopt;
    }
    return it->second.quantile(m_options.quantile);
}

void HedgePolicy::noteLatency(const RouteName &route, Duration latency, TimePoint now)
{
    if (!isEnabled()) {
        return;
    }
    if (const std::optional<Duration> due = delay(route); due && latency <= *due) {
        judge(false, now);
    }
    if (m_routes.size() >= maxTrackedRoutes && !m_routes.contains(route)) {
        m_routes.clear();
    }
    m_routes[route].record(latency, m_options.memory);
}

void HedgePolicy::noteDue(TimePoint now)
{
    judge(true, now);
}

void HedgePolicy::judge(bool isDue, TimePoint now)
{
    const double halfLives = std::chrono::duration<double>(now - m_judgedAt) / std::chrono::duration<double>(m_options.slowHalfLife);
    const double decay = std::exp2(-halfLives);
    m_judged = m_judged * decay + 1;
    m_due = m_due * decay + (isDue ? 1 : 0);
    m_judgedAt = now;
    if (m_judged >= m_options.minJudged && m_due > m_judged * m_options.slowShare) {
        m_slowUntil = now + m_options.slowTime;
    }
}

std::optional<HedgeHoldback> HedgePolicy::check(const HedgeConditions &conditions, RetryBudget &budget, TimePoint now) const
{
    const double minFree = conditions.usableSlots * m_options.freeShare;
    if (conditions.waiting != 0 || conditions.freeSlots == 0 || conditions.freeSlots < minFree) {
        return HedgeHoldback::NoCapacity;
    }
    if (now < m_slowUntil) {
        return HedgeHoldback::ServiceSlow;
    }
    if (!isEnabled() || m_credit < hedgePrice) {
        return HedgeHoldback::LimitReached;
    }
    return budget.mayHedge(now) ? std::nullopt : std::optional(HedgeHoldback::RetryBudget);
}

std::optional<HedgeHoldback> HedgePolicy::take(const HedgeConditions &conditions, RetryBudget &budget, TimePoint now)
{
    const std::optional<HedgeHoldback> heldBack = check(conditions, budget, now);
    if (!heldBack) {
        budget.takeRetry(now);
        m_credit -= hedgePrice;
    }
    return heldBack;
}

} // namespace Pollenspoke
