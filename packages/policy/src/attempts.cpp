#include <algorithm>
#include <array>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

bool isIdempotentMethod(std::string_view method)
{
    static constexpr std::array<std::string_view, 5> idempotent{"GET", "HEAD", "OPTIONS", "PUT", "DELETE"};
    return std::find(idempotent.begin(), idempotent.end(), method) != idempotent.end();
}

namespace {

Duration timeLeft(const AttemptPlan &plan, TimePoint now)
{
    return std::max(plan.deadline - now, Duration::zero());
}

} // namespace

Duration attemptTimeout(const AttemptPlan &plan, bool isPooled, TimePoint now)
{
    const Duration left = timeLeft(plan, now);
    const bool isLast = !plan.isIdempotent || plan.attempt >= plan.maxAttempts;
    const Duration longest = isLast && !isPooled ? left : left / 2;
    return isLast ? longest : std::min(longest, plan.maxNonFinalAttempt);
}

Duration connectTimeout(const AttemptPlan &plan, Duration longest, TimePoint now)
{
    const Duration left = timeLeft(plan, now);
    return std::min(longest, plan.attempt >= plan.maxAttempts ? left : left / 2);
}

Duration maxQueueTime(Duration objective, Duration left, Duration usualLatency)
{
    constexpr int minShareDivisor = 8; // guarantees 1/8 of the objective
    const Duration effectiveObjective = objective > Duration::zero() ? objective : left / 2;
    const Duration objectiveLimit = std::max(effectiveObjective - usualLatency * 3 / 2, effectiveObjective / minShareDivisor);
    return std::clamp(left - usualLatency, Duration::zero(), objectiveLimit);
}

} // namespace Pollenspoke
