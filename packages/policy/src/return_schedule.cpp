#include <algorithm>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

namespace {

constexpr double minReturnsPerSecond = 0.1; // while nothing starts; its schedule is far beyond the longest time
constexpr double minShare = 0.01;           // of the refusals; this Vm has at least the present one
constexpr std::uint64_t hashSteps = 1000000;

double evenly(std::string_view requestId)
{
    constexpr std::uint64_t seed = 9; // independent of the share of the boundary rank, which is decided by the same id
    return static_cast<double>(stableHash(requestId, seed) % hashSteps) / static_cast<double>(hashSteps);
}

Duration seconds(double n)
{
    constexpr double longestSeconds = 3600;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(n, longestSeconds)));
}

} // namespace

void ReturnSchedule::advance(TimePoint now)
{
    if (now < m_stepAt + step) {
        return;
    }
    const auto due = static_cast<std::size_t>((now - m_stepAt) / step);
    m_stepAt += step * due;
    for (std::size_t i = 0; i < std::min(due, stepCount); ++i) {
        for (Bookings &it : m_ranks) {
            it.total -= std::exchange(it.steps[m_newest], 0);
        }
        m_newest = (m_newest + 1) % stepCount;
    }
}

// Ranks beyond the limit are counted as part of the last one.
ReturnSchedule::Bookings &ReturnSchedule::bookingsOf(std::uint32_t rank)
{
    const auto find = [this, rank] {
        return std::lower_bound(m_ranks.begin(), m_ranks.end(), rank, [](const Bookings &it, std::uint32_t n) { return it.rank < n; });
    };
    auto it = find();
    if (it != m_ranks.end() && it->rank == rank) {
        return *it;
    }
    if (m_ranks.size() >= maxDemandRanks) {
        std::erase_if(m_ranks, [](const Bookings &other) { return other.total == 0; });
    }
    if (m_ranks.size() >= maxDemandRanks) {
        if (rank > m_ranks.back().rank) {
            return m_ranks.back();
        }
        const Bookings last = m_ranks.back();
        m_ranks.pop_back();
        for (std::size_t i = 0; i < stepCount; ++i) {
            m_ranks.back().steps[i] += last.steps[i];
        }
        m_ranks.back().total += last.total;
        if (rank > m_ranks.back().rank) {
            return m_ranks.back();
        }
    }
    it = find();
    return *m_ranks.insert(it, Bookings{.rank = rank});
}

std::size_t ReturnSchedule::booked(std::uint32_t rank, TimePoint now)
{
    advance(now);
    std::size_t n = 0;
    for (const Bookings &it : m_ranks) {
        n += it.rank <= rank ? it.total : 0;
    }
    return n;
}

ReturnTime ReturnSchedule::refuse(const RefusedRequest &request, TimePoint now)
{
    const auto ahead = static_cast<double>(booked(request.rank, now));
    const double share = std::clamp(request.share, minShare, 1.0);
    const double returnsPerSecond = std::max(request.startsPerSecond * share, minReturnsPerSecond);
    // The first caller is told the time itself at which targets have announced to open.
    const double fraction = request.opensIn > Duration(0) && ahead == 0 ? 0 : evenly(request.id);
    const Duration capacityIn
        = std::max(request.opensIn, shortest) + seconds((request.waitingAhead * share + ahead + fraction) / returnsPerSecond);
    // Callers beyond the longest time return evenly within its second half, but not before a target opens.
    const Duration base = request.opensIn > longest ? request.opensIn : Duration(0);
    const Duration earliest = std::max(base + longest / 2, request.opensIn);
    const Duration latest = base + longest;
    const Duration spread = earliest + std::chrono::duration_cast<Duration>((latest - earliest) * evenly(request.id));
    const Duration retryAfter = capacityIn <= latest ? capacityIn : spread;
    Bookings &bookings = bookingsOf(request.rank);
    const auto i = std::min(static_cast<std::size_t>((now - m_stepAt + retryAfter) / step), stepCount - 1);
    ++bookings.steps[(m_newest + i) % stepCount];
    ++bookings.total;
    return {.retryAfter = retryAfter, .capacityIn = capacityIn, .isBeforeDeadline = capacityIn < request.left};
}

} // namespace Pollenspoke
