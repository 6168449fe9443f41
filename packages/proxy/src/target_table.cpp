#include "target_table.h"

#include <algorithm>

namespace Pollenspoke {

namespace {

constexpr auto waitStep = std::chrono::milliseconds(20); // pauses of targets end without an event, so those who wait look again
constexpr auto shortestDrainTime = std::chrono::milliseconds(100);

std::string_view causeName(AttemptEnd cause)
{
    switch (cause) {
    case AttemptEnd::Answered:
        return "answered";
    case AttemptEnd::Failed:
        return "failed";
    case AttemptEnd::Declined:
        return "declined";
    case AttemptEnd::Misdirected:
        return "misdirected";
    case AttemptEnd::Unreachable:
        return "unreachable";
    case AttemptEnd::Silent:
        return "silent";
    case AttemptEnd::Abandoned:
        return "abandoned";
    }
    return "unnamed";
}

void logPause(const TargetId &id, const TargetPause &pause)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(pause.length).count();
    logEvent(Event::TargetEjected,
             {{"service", id.service.value},
              {"target", id.target.value},
              {"cause", std::string(causeName(pause.cause))},
              {"failures_in_row", std::to_string(pause.failures)},
              {"pause_ms", std::to_string(ms)}});
}

Generator &threadGenerator()
{
    thread_local Generator generator{std::random_device{}()};
    return generator;
}

} // namespace

TargetPlace::TargetPlace(TargetTable &table, TargetId id, RouteName route, TimePoint startedAt)
    : m_table(&table)
    , m_id(std::move(id))
    , m_route(std::move(route))
    , m_startedAt(startedAt)
{
}

TargetPlace::TargetPlace(TargetPlace &&other) noexcept
    : m_table(std::exchange(other.m_table, nullptr))
    , m_id(std::move(other.m_id))
    , m_route(std::move(other.m_route))
    , m_startedAt(other.m_startedAt)
{
}

TargetPlace &TargetPlace::operator=(TargetPlace &&other) noexcept
{
    std::swap(m_table, other.m_table);
    std::swap(m_id, other.m_id);
    std::swap(m_route, other.m_route);
    std::swap(m_startedAt, other.m_startedAt);
    return *this;
}

TargetPlace::~TargetPlace()
{
    end(AttemptEnd::Abandoned);
}

void TargetPlace::end(AttemptEnd end, Duration latency)
{
    if (m_table != nullptr) {
        m_table->leave(*this, end, latency, [](std::uint32_t) {});
    }
}

// Keeps a request in the line of its service until it is destroyed, however the wait ends.
class TargetTable::WaitingPlace
{
public:
    WaitingPlace(TargetTable &table, ServiceName service, std::shared_ptr<Waiter> waiter)
        : m_table(table)
        , m_service(std::move(service))
        , m_waiter(std::move(waiter))
    {
    }
    ~WaitingPlace()
    {
        const std::lock_guard lock(m_table.m_mutex);
        Entry &entry = m_table.entry(m_service);
        entry.waiting.erase(order());
        wakeFirst(entry, m_table.m_clock.now());
    }
    WaitingPlace(const WaitingPlace &) = delete;
    WaitingPlace &operator=(const WaitingPlace &) = delete;

    Order order() const { return {m_waiter->rank, m_waiter->sequence}; }
    net::steady_timer &timer() { return m_waiter->timer; }

private:
    TargetTable &m_table;
    ServiceName m_service;
    std::shared_ptr<Waiter> m_waiter;
};

TargetTable::TargetTable(const ProxyOptions &options, const Clock &clock)
    : m_options(options)
    , m_clock(clock)
{
}

TargetTable::Entry &TargetTable::entry(const ServiceName &service)
{
    const auto it = m_entries.find(service);
    if (it != m_entries.end()) {
        return it->second;
    }
    const DispatchOptions &dispatch = m_options.dispatch;
    Entry fresh{.balancer = ServiceBalancer(dispatch.balancer), .budget = RetryBudget(dispatch.retryBudget)};
    fresh.budget.setShare(m_retryShare);
    return m_entries.emplace(service, std::move(fresh)).first->second;
}

void TargetTable::applySnapshot(const Snapshot &snapshot)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    for (const auto &[name, service] : snapshot.services()) {
        Entry &it = entry(name);
        it.balancer.setTargets(service.targets, now);
        wakeFirst(it, now);
    }
    for (auto &[name, it] : m_entries) {
        if (snapshot.findService(name) == nullptr) {
            it.balancer.setTargets({}, now); // the entry stays: requests may still wait on it
        }
    }
}

void TargetTable::applyNews(const VmName &vm, const FleetNews &news, bool isWhole)
{
    static const std::vector<TargetObservation> nothing;
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    for (auto &[name, it] : m_entries) {
        const auto found = news.find(name);
        it.balancer.applyObservations(vm, found == news.end() ? nothing : found->second, isWhole, now);
        wakeFirst(it, now);
    }
}

FleetNews TargetTable::news() const
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    FleetNews news;
    for (const auto &[name, it] : m_entries) {
        if (std::vector<TargetObservation> itsNews = it.balancer.observations(now); !itsNews.empty()) {
            news.emplace(name, std::move(itsNews));
        }
    }
    return news;
}

void TargetTable::setRetryShare(double share)
{
    const std::lock_guard lock(m_mutex);
    m_retryShare = share;
    for (auto &[name, it] : m_entries) {
        it.budget.setShare(share);
    }
}

void TargetTable::noteRequest(const ServiceName &service)
{
    const std::lock_guard lock(m_mutex);
    entry(service).budget.noteRequest(m_clock.now());
}

void TargetTable::noteOutcome(const ServiceName &service, bool isRefused)
{
    const std::lock_guard lock(m_mutex);
    entry(service).balancer.noteRequest(isRefused, m_clock.now());
}

bool TargetTable::takeRetry(const ServiceName &service)
{
    const std::lock_guard lock(m_mutex);
    return entry(service).budget.takeRetry(m_clock.now());
}

Duration TargetTable::usualLatency(const ServiceName &service) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(service);
    return it == m_entries.end() ? m_options.dispatch.balancer.firstLatency : it->second.balancer.usualLatency();
}

Duration TargetTable::drainTime(const ServiceName &service) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(service);
    if (it == m_entries.end()) {
        return shortestDrainTime;
    }
    return std::max<Duration>(expectedWait(it->second, it->second.waiting.size(), m_clock.now()), shortestDrainTime);
}

Duration TargetTable::expectedWait(const Entry &entry, std::size_t ahead, TimePoint now)
{
    const std::uint32_t slots = std::max<std::uint32_t>(entry.balancer.usableSlots(now), 1);
    return entry.balancer.usualLatency() * (ahead + 1) / slots;
}

void TargetTable::wakeFirst(Entry &entry, TimePoint now)
{
    std::uint32_t free = entry.waiting.empty() ? 0 : entry.balancer.freeSlots(now);
    for (auto it = entry.waiting.begin(); it != entry.waiting.end() && free > 0; ++it, --free) {
        net::post(it->second->timer.get_executor(), [waiter = it->second] { waiter->timer.cancel(); });
    }
}

std::optional<Target> TargetTable::tryChoose(Entry &entry, const AcquireRequest &request, bool overcommits, TargetPlace &place)
{
    const TimePoint now = m_clock.now();
    const std::uint32_t queue = m_options.dispatch.targetQueue;
    const ChoiceRequest choice{.tried = request.tried,
                               .local = m_options.failureDomain,
                               .overcommit = overcommits ? std::max<std::uint32_t>(queue, 1) : queue,
                               .limit = request.limit,
                               .isRetryable = request.isRetryable};
    std::optional<Target> target = entry.balancer.choose(choice, now, threadGenerator());
    if (target) {
        place = TargetPlace(*this, TargetId{request.service, target->name, target->address}, request.route, now);
    }
    return target;
}

net::awaitable<tl::expected<Target, AcquireFailure>> TargetTable::acquire(const AcquireRequest &request, TargetPlace &place)
{
    place = TargetPlace();
    const TimePoint askedAt = m_clock.now();
    const auto executor = co_await net::this_coro::executor;
    std::optional<WaitingPlace> waiting;
    Duration longest{};
    for (;;) {
        TimePoint now = m_clock.now();
        {
            const std::lock_guard lock(m_mutex);
            Entry &it = entry(request.service);
            if (!it.balancer.hasServingTarget()) {
                co_return tl::unexpected(AcquireFailure::NoTarget);
            }
            longest = maxQueueTime(request.objective, request.deadline - askedAt, it.balancer.usualLatency());
            const bool isFirst = waiting ? it.waiting.begin()->first == waiting->order()
                                         : it.waiting.empty() || request.rank < it.waiting.begin()->first.first;
            const bool hasWaitedLong = waiting && now - askedAt >= longest / 2;
            if (isFirst || hasWaitedLong) {
                if (std::optional<Target> target = tryChoose(it, request, hasWaitedLong, place)) {
                    co_return std::move(*target);
                }
            }
            if (!waiting) {
                const Order last{request.rank, UINT64_MAX};
                const auto ahead = static_cast<std::size_t>(std::distance(it.waiting.begin(), it.waiting.upper_bound(last)));
                if (expectedWait(it, ahead, now) > longest) {
                    co_return tl::unexpected(AcquireFailure::QueueFull);
                }
                auto waiter = std::make_shared<Waiter>(Waiter{request.rank, ++m_lastSequence, net::steady_timer(executor)});
                it.waiting.emplace(Order{waiter->rank, waiter->sequence}, waiter);
                waiting.emplace(*this, request.service, std::move(waiter));
            }
        }
        if (now - askedAt >= longest) {
            co_return tl::unexpected(AcquireFailure::QueueFull);
        }
        waiting->timer().expires_after(std::min<Duration>(waitStep, longest - (now - askedAt)));
        co_await waiting->timer().async_wait(asTuple);
    }
}

void TargetTable::visitInFlight(const TargetId &id, const std::function<void(std::uint32_t)> &visit) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(id.service);
    visit(it == m_entries.end() ? 0 : it->second.balancer.inFlightAt(id.target));
}

void TargetTable::leave(TargetPlace &place, AttemptEnd end, Duration latency, const std::function<void(std::uint32_t)> &visitOthers)
{
    std::optional<TargetPause> pause;
    {
        const std::lock_guard lock(m_mutex);
        place.m_table = nullptr;
        const TimePoint now = m_clock.now();
        Entry &it = entry(place.m_id.service);
        pause = it.balancer.end(place.m_id.target, end, latency, place.m_startedAt, now, place.m_route);
        visitOthers(it.balancer.inFlightAt(place.m_id.target));
        wakeFirst(it, now);
    }
    if (pause) {
        logPause(place.m_id, *pause);
    }
}

} // namespace Pollenspoke
