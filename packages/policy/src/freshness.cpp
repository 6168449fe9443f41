#include <algorithm>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

namespace {

constexpr std::int64_t perMille = 1000;

// Shortens a window by the maximum clock drift, so that it expires on this Vm before it does by any other Vm's clock.
Duration shrink(Duration window, std::uint32_t driftPerMille)
{
    return window * (perMille - static_cast<std::int64_t>(driftPerMille)) / perMille;
}

// When the Vms reached within `window` cease to be a majority of the Vm list. This Vm always counts itself.
std::optional<TimePoint> majorityUntil(const FreshnessEvidence &evidence, Duration window)
{
    const std::size_t othersNeeded = evidence.listedVms / 2;
    if (othersNeeded == 0) {
        return TimePoint::max();
    }
    if (evidence.reachedAt.size() < othersNeeded) {
        return std::nullopt;
    }
    std::vector<TimePoint> reachedAt = evidence.reachedAt;
    const auto oldestNeeded = reachedAt.begin() + static_cast<std::ptrdiff_t>(othersNeeded - 1);
    std::nth_element(reachedAt.begin(), oldestNeeded, reachedAt.end(), std::greater<>());
    return *oldestNeeded + window;
}

} // namespace

bool Freshness::mayServe(TimePoint now) const
{
    const bool isServing = state == FreshnessState::StoreConfirmed || state == FreshnessState::Majority;
    return isServing && now < until;
}

Freshness decideFreshness(const FreshnessEvidence &evidence, const FreshnessOptions &options, TimePoint now)
{
    if (!evidence.isListed) {
        return {.state = FreshnessState::NotListed};
    }
    if (evidence.revision == 0) {
        return {.state = FreshnessState::Stale};
    }
    if (evidence.freshAsOf) {
        const TimePoint until = *evidence.freshAsOf + shrink(options.freshFor, options.driftPerMille);
        if (now < until) {
            return {.state = FreshnessState::StoreConfirmed, .until = until};
        }
    }
    if (evidence.newestRevision > evidence.revision) {
        return {.state = FreshnessState::Stale};
    }
    const auto until = majorityUntil(evidence, shrink(options.reachFor, options.driftPerMille));
    if (until && now < *until) {
        return {.state = FreshnessState::Majority, .until = *until};
    }
    return {.state = FreshnessState::Stale};
}

} // namespace Pollenspoke
