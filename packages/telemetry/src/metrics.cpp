// Counters and gauges are atomics; timings use Boost.Histogram with thread-safe cells.
#include <pollenspoke/telemetry.h>

#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <sstream>

namespace Pollenspoke {

namespace {

namespace bh = boost::histogram;

constexpr int binsPerHistogram = 140; // 20 per decade over 7 decades: each bin 12 % wide
constexpr double lowestSeconds = 1e-5;
constexpr double highestSeconds = 1e2;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Cell = bh::accumulators::count<std::uint64_t, true>;
using Histogram = decltype(bh::make_histogram_with(bh::dense_storage<Cell>(), Axis()));

Histogram makeTimingHistogram()
{
    return bh::make_histogram_with(bh::dense_storage<Cell>(), Axis(binsPerHistogram, lowestSeconds, highestSeconds));
}

constexpr std::array<std::string_view, counterCount> counterNames{
    "requests_received",
    "answers_whole",
    "answers_cut",
    "dispatches",
    "connections_opened",
    "connections_reused",
    "connections_discarded",
    "callers_accepted",
    "snapshots_refused",
    "objects_skipped",
    "store_failures",
    "store_calls",
    "store_probes",
    "store_calls_lost",
    "feed_polls",
    "feed_polls_unanswered",
    "feed_replies_late",
    "feed_replies_outdated",
    "feed_replies_not_covered",
    "leaving_announcements",
    "pause_announcements",
    "limit_announcements",
    "dispatches_withheld",
    "seats_contested",
    "seats_confirmed",
    "dispatches_held_cold",
    "hedges_sent",
    "hedges_won",
    "hedges_cancelled",
    "demand_parts_rejected",
    "waits_by_level",
    "refusals_by_level",
    "returns_after_deadline",
};
constexpr std::array<std::string_view, gaugeCount> gaugeNames{
    "caller_connections",
    "body_bytes",
    "requests_in_flight",
    "pooled_connections",
    "snapshot_revision",
    "followed_revision",
    "store_reachable",
    "store_age_ms",
    "store_era",
    "declarations_version",
    "seat_in_use",
    "evacuated_domains",
    "vm_impaired",
    "admission_boundary",
};
static_assert(!counterNames.back().empty() && !gaugeNames.back().empty(), "each counter and gauge has a name");
constexpr std::array<std::string_view, timingCount> timingNames{"total", "added", "connect", "target", "declarations"};
constexpr std::array<std::string_view, 2> runStateNames{"not-run", "unknown"};

template<typename Enum>
std::size_t indexOf(Enum value)
{
    return static_cast<std::size_t>(value);
}

} // namespace

struct Metrics::Data
{
    std::array<std::atomic<std::uint64_t>, counterCount> counters{};
    std::array<std::array<std::atomic<std::uint64_t>, 2>, refusalReasonCount> refusals{};
    std::array<std::atomic<std::uint64_t>, retryReasonCount> retries{};
    std::array<std::atomic<std::uint64_t>, hedgeHoldbackCount> hedgesHeldBack{};
    std::array<std::atomic<std::int64_t>, gaugeCount> gauges{};
    std::array<Histogram, timingCount> timings{
        makeTimingHistogram(), makeTimingHistogram(), makeTimingHistogram(), makeTimingHistogram(), makeTimingHistogram()};
};

Metrics::Metrics()
    : m_data(std::make_unique<Data>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(Counter counter, std::uint64_t n)
{
    m_data->counters[indexOf(counter)].fetch_add(n, std::memory_order_relaxed);
}

void Metrics::countRefusal(RefusalReason reason, RunState run)
{
    m_data->refusals[indexOf(reason)][indexOf(run)].fetch_add(1, std::memory_order_relaxed);
}

void Metrics::countRetry(RetryReason reason)
{
    m_data->retries[indexOf(reason)].fetch_add(1, std::memory_order_relaxed);
}

void Metrics::countHedgeHeldBack(HedgeHoldback reason)
{
    m_data->hedgesHeldBack[indexOf(reason)].fetch_add(1, std::memory_order_relaxed);
}

void Metrics::addGauge(Gauge gauge, std::int64_t n)
{
    m_data->gauges[indexOf(gauge)].fetch_add(n, std::memory_order_relaxed);
}

void Metrics::setGauge(Gauge gauge, std::int64_t value)
{
    m_data->gauges[indexOf(gauge)].store(value, std::memory_order_relaxed);
}

void Metrics::recordTiming(Timing timing, Duration duration)
{
    m_data->timings[indexOf(timing)](std::chrono::duration<double>(duration).count());
}

std::uint64_t Metrics::value(Counter counter) const
{
    return m_data->counters[indexOf(counter)].load(std::memory_order_relaxed);
}

std::uint64_t Metrics::refusals(RefusalReason reason) const
{
    const auto &byRunState = m_data->refusals[indexOf(reason)];
    return byRunState[0].load(std::memory_order_relaxed) + byRunState[1].load(std::memory_order_relaxed);
}

std::uint64_t Metrics::retries(RetryReason reason) const
{
    return m_data->retries[indexOf(reason)].load(std::memory_order_relaxed);
}

std::uint64_t Metrics::hedgesHeldBack(HedgeHoldback reason) const
{
    return m_data->hedgesHeldBack[indexOf(reason)].load(std::memory_order_relaxed);
}

std::int64_t Metrics::value(Gauge gauge) const
{
    return m_data->gauges[indexOf(gauge)].load(std::memory_order_relaxed);
}

Duration Metrics::quantile(Timing timing, double fraction) const
{
    const Histogram &histogram = m_data->timings[indexOf(timing)];
    double total = 0;
    for (const auto &cell : bh::indexed(histogram, bh::coverage::all)) {
        total += static_cast<double>((*cell).value());
    }
    double cumulative = 0;
    for (const auto &cell : bh::indexed(histogram, bh::coverage::all)) {
        cumulative += static_cast<double>((*cell).value());
        if (total > 0 && cumulative >= fraction * total) {
            const double upper = std::min(cell.bin().upper(), highestSeconds);
            return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(upper));
        }
    }
    return Duration::zero();
}

std::string Metrics::expose() const
{
    std::ostringstream text;
    for (std::size_t i = 0; i < counterCount; ++i) {
        text << "# TYPE pollenspoke_" << counterNames[i] << "_total counter\n";
        text << "pollenspoke_" << counterNames[i] << "_total " << m_data->counters[i] << '\n';
    }
    text << "# TYPE pollenspoke_refusals_total counter\n";
    for (std::size_t i = 0; i < refusalReasonCount; ++i) {
        for (std::size_t run = 0; run < runStateNames.size(); ++run) {
            text << "pollenspoke_refusals_total{reason=\"" << refusalReasonName(static_cast<RefusalReason>(i)) << "\",run=\""
                 << runStateNames[run] << "\"} " << m_data->refusals[i][run] << '\n';
        }
    }
    text << "# TYPE pollenspoke_retries_total counter\n";
    for (std::size_t i = 0; i < retryReasonCount; ++i) {
        text << "pollenspoke_retries_total{reason=\"" << retryReasonName(static_cast<RetryReason>(i)) << "\"} " << m_data->retries[i]
             << '\n';
    }
    text << "# TYPE pollenspoke_hedges_held_back_total counter\n";
    for (std::size_t i = 0; i < hedgeHoldbackCount; ++i) {
        text << "pollenspoke_hedges_held_back_total{reason=\"" << hedgeHoldbackName(static_cast<HedgeHoldback>(i)) << "\"} "
             << m_data->hedgesHeldBack[i] << '\n';
    }
    for (std::size_t i = 0; i < gaugeCount; ++i) {
        text << "# TYPE pollenspoke_" << gaugeNames[i] << " gauge\n";
        text << "pollenspoke_" << gaugeNames[i] << ' ' << m_data->gauges[i] << '\n';
    }
    for (std::size_t i = 0; i < timingCount; ++i) {
        text << "# TYPE pollenspoke_" << timingNames[i] << "_seconds histogram\n";
        std::uint64_t cumulative = 0;
        for (const auto &cell : bh::indexed(m_data->timings[i], bh::coverage::all)) {
            const std::uint64_t n = (*cell).value();
            cumulative += n;
            if (n != 0 && cell.bin().upper() <= highestSeconds) {
                text << "pollenspoke_" << timingNames[i] << "_seconds_bucket{le=\"" << cell.bin().upper() << "\"} " << cumulative << '\n';
            }
        }
        text << "pollenspoke_" << timingNames[i] << "_seconds_bucket{le=\"+Inf\"} " << cumulative << '\n';
        text << "pollenspoke_" << timingNames[i] << "_seconds_count " << cumulative << '\n';
    }
    return text.str();
}

} // namespace Pollenspoke
