#include <algorithm>
#include <cmath>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

namespace {

constexpr double relaxationPerStep = 1; // ranks; quick tightening protects urgent ranks, slow relaxation avoids oscillation
constexpr double shortageRatio = 1.05;  // of demand to starts/s; below it, the difference is within the noise of the counts
constexpr std::uint64_t hashSteps = 1000000;

// A boundary as the number of ranks that may wait, with the share as its fraction. Without a boundary it is the number of ranks.
double positionOf(const std::optional<AdmissionBoundary> &boundary, std::span<const RankDemand> ranks)
{
    const auto n = static_cast<double>(ranks.size());
    if (!boundary) {
        return n;
    }
    const auto it = std::find_if(ranks.begin(), ranks.end(), [&boundary](const RankDemand &rank) { return rank.rank >= boundary->rank; });
    const double position = static_cast<double>(it - ranks.begin());
    return it != ranks.end() && it->rank == boundary->rank ? std::min(position + boundary->share, n) : position;
}

std::optional<AdmissionBoundary> boundaryAt(double position, std::span<const RankDemand> ranks)
{
    const auto i = static_cast<std::size_t>(position);
    if (i >= ranks.size()) {
        return std::nullopt;
    }
    return AdmissionBoundary{.rank = ranks[i].rank, .share = position - static_cast<double>(i)};
}

// The ranks that the starts/s suffice for, the most urgent first. Waiting requests are to be served within a second.
double targetPosition(std::span<const RankDemand> ranks)
{
    const auto n = static_cast<double>(ranks.size());
    double starts = 0;
    double total = 0;
    for (const RankDemand &it : ranks) {
        starts += it.started;
        total += it.arrivals + it.waiting;
    }
    // Requests that the targets decline are started first, so refusals alone don't show that slots are lacking.
    if (!isUnderPressure(ranks) || total <= starts * shortageRatio) {
        return n;
    }
    double left = starts * AdmissionLevel::admittedLoad;
    double position = 0;
    for (const RankDemand &it : ranks) {
        const double wanted = it.arrivals + it.waiting;
        if (wanted > left) {
            const double share = std::max(left, 0.0) / wanted;
            position += std::floor(share / AdmissionLevel::shareStep) * AdmissionLevel::shareStep;
            break;
        }
        left -= wanted;
        position += 1;
    }
    return std::max(position, std::min(1.0, n));
}

} // namespace

bool AdmissionLevel::update(std::span<const RankDemand> demand, TimePoint now)
{
    const double position = positionOf(m_boundary, demand);
    const double target = targetPosition(demand);
    const auto steps = static_cast<double>((now - m_steppedAt) / stepTime);
    m_steppedAt = now;
    const double next = std::min(target, position + steps * relaxationPerStep);
    const std::optional<AdmissionBoundary> boundary = boundaryAt(next, demand);
    return std::exchange(m_boundary, boundary) != boundary;
}

bool AdmissionLevel::mayWait(std::uint32_t rank, std::string_view requestId) const
{
    if (!m_boundary || rank < m_boundary->rank) {
        return true;
    }
    return rank == m_boundary->rank
        && static_cast<double>(stableHash(requestId) % hashSteps) < m_boundary->share * static_cast<double>(hashSteps);
}

} // namespace Pollenspoke
