#include "target_table.h"

#include <algorithm>

namespace Pollenspoke {

namespace {

constexpr auto queuePollInterval = std::chrono::milliseconds(20); // waiters poll, as no event signals the end of a target's pause
constexpr std::size_t maxWokenWaiters = 16;                       // at a time; each that leaves the queue wakes the next ones
constexpr auto minRetryAfter = std::chrono::milliseconds(100);
constexpr auto noTargetRetryAfter = std::chrono::seconds(1); // the service has no target that can be expected to accept requests

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

TargetReservation::TargetReservation(TargetTable &table, TargetId id, RouteName route, TimePoint startedAt)
    : m_table(&table)
    , m_id(std::move(id))
    , m_route(std::move(route))
    , m_startedAt(startedAt)
{
}

TargetReservation::TargetReservation(TargetReservation &&other) noexcept
    : m_table(std::exchange(other.m_table, nullptr))
    , m_id(std::move(other.m_id))
    , m_route(std::move(other.m_route))
    , m_startedAt(other.m_startedAt)
{
}

TargetReservation &TargetReservation::operator=(TargetReservation &&other) noexcept
{
    std::swap(m_table, other.m_table);
    std::swap(m_id, other.m_id);
    std::swap(m_route, other.m_route);
    std::swap(m_startedAt, other.m_startedAt);
    return *this;
}

TargetReservation::~TargetReservation()
{
    finish(AttemptEnd::Abandoned);
}

void TargetReservation::finish(AttemptEnd end, Duration latency)
{
    if (m_table != nullptr) {
        m_table->releaseReservation(*this, end, latency, [](std::uint32_t) {});
    }
}

// Queue position of a request. The destructor removes it from the queue, also if the wait is cancelled.
class TargetTable::QueueEntry
{
public:
    QueueEntry(TargetTable &table, ServiceName service, std::shared_ptr<Waiter> waiter)
        : m_table(table)
        , m_service(std::move(service))
        , m_waiter(std::move(waiter))
    {
    }
    ~QueueEntry()
    {
        const std::lock_guard lock(m_table.m_mutex);
        Entry &entry = m_table.entry(m_service);
        const TimePoint now = m_table.m_clock.now();
        entry.queue.remove(sequence(), now); // unless it has started
        entry.waiters.erase(sequence());
        entry.drain.noteWaiting(!entry.queue.empty(), now);
        wakeWaiters(entry, now);
    }
    QueueEntry(const QueueEntry &) = delete;
    QueueEntry &operator=(const QueueEntry &) = delete;

    std::uint64_t sequence() const { return m_waiter->sequence; }
    net::steady_timer &timer() { return m_waiter->timer; }

private:
    TargetTable &m_table;
    ServiceName m_service;
    std::shared_ptr<Waiter> m_waiter;
};

TargetTable::TargetTable(const ProxyOptions &options, const Clock &clock, Metrics &metrics)
    : m_options(options)
    , m_clock(clock)
    , m_metrics(metrics)
{
}

TargetTable::Entry &TargetTable::entry(const ServiceName &service)
{
    const auto it = m_entries.find(service);
    if (it != m_entries.end()) {
        return it->second;
    }
    const DispatchOptions &dispatch = m_options.dispatch;
    Entry newEntry{.balancer = ServiceBalancer(dispatch.balancer),
                   .budget = RetryBudget(dispatch.retryBudget),
                   .queue = FairQueue({.hasFairShares = dispatch.hasFairShares})};
    newEntry.budget.setShare(m_retryShare);
    newEntry.balancer.setLimitSharers(m_limitSharers, m_clock.now());
    return m_entries.emplace(service, std::move(newEntry)).first->second;
}

void TargetTable::applySnapshot(const Snapshot &snapshot)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    for (const auto &[name, service] : snapshot.services()) {
        Entry &it = entry(name);
        it.balancer.setTargets(service.targets, now);
        wakeWaiters(it, now);
    }
    for (auto &[name, it] : m_entries) {
        if (snapshot.findService(name) == nullptr) {
            it.balancer.setTargets({}, now); // keep the entry, as requests may still be queued on it
        }
    }
}

void TargetTable::applyTargetUpdates(const VmName &vm, const TargetUpdates &updates, bool isWhole)
{
    static const std::vector<TargetObservation> noUpdates;
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    for (auto &[name, it] : m_entries) {
        const auto vmUpdates = updates.find(name);
        it.balancer.applyObservations(vm, vmUpdates == updates.end() ? noUpdates : vmUpdates->second, isWhole, now);
        wakeWaiters(it, now);
    }
}

TargetUpdates TargetTable::targetUpdates() const
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    TargetUpdates updates;
    for (const auto &[name, it] : m_entries) {
        if (std::vector<TargetObservation> serviceUpdates = it.balancer.observations(now); !serviceUpdates.empty()) {
            updates.emplace(name, std::move(serviceUpdates));
        }
    }
    return updates;
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

void TargetTable::recordOutcome(const ServiceName &service, bool isRefused)
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

Duration TargetTable::retryAfter(const ServiceName &service) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(service);
    const TimePoint now = m_clock.now();
    const std::optional<TimePoint> opensAt = it == m_entries.end() ? std::nullopt : it->second.balancer.opensAt(now);
    if (!opensAt) {
        return noTargetRetryAfter;
    }
    return std::max<Duration>({expectedWait(it->second, it->second.queue.size(), now), *opensAt - now, minRetryAfter});
}

Duration TargetTable::expectedWait(const Entry &entry, std::size_t waitersAhead, TimePoint now)
{
    const Duration wait = expectedQueueWait({.ahead = waitersAhead,
                                             .usualLatency = entry.balancer.usualLatency(),
                                             .usableSlots = entry.balancer.usableSlots(now),
                                             .ownSlots = entry.balancer.ownSlots(now),
                                             .drainRate = entry.drain.rate(now)});
    return std::max(wait, entry.balancer.limitedWait(waitersAhead, now));
}

void TargetTable::wakeWaiters(Entry &entry, TimePoint now)
{
    if (entry.queue.empty()) {
        return;
    }
    const std::size_t free = std::min<std::size_t>(entry.balancer.freeSlots(now), maxWokenWaiters);
    for (const std::uint64_t it : entry.queue.first(free, now)) {
        const std::shared_ptr<Waiter> &waiter = entry.waiters.at(it);
        net::post(waiter->timer.get_executor(), [waiter] { waiter->timer.cancel(); });
    }
}

std::optional<Target>
TargetTable::tryReserve(Entry &entry, const AcquireRequest &request, const Overcommit &overcommit, TargetReservation &reservation)
{
    const TimePoint now = m_clock.now();
    const std::uint32_t overcommitLimit = m_options.dispatch.targetQueue;
    const ChoiceRequest choice{.tried = request.tried,
                               .local = m_options.failureDomain,
                               .overcommit = overcommit.isForced ? std::max<std::uint32_t>(overcommitLimit, 1) : overcommitLimit,
                               .limit = request.limit,
                               .isRetryable = request.isRetryable,
                               .answerWithin = overcommit.answerWithin,
                               .usualLatency = entry.balancer.usualLatency(request.route)};
    const std::uint64_t withheldBefore = entry.balancer.withheldChoices();
    std::optional<Target> target = entry.balancer.choose(choice, now, threadGenerator());
    if (target) {
        m_metrics.count(Counter::DispatchesWithheld, entry.balancer.withheldChoices() - withheldBefore);
    }
    if (target) {
        reservation
            = TargetReservation(*this, TargetId{request.service, target->name, target->address, target->incarnation}, request.route, now);
    }
    return target;
}

net::awaitable<tl::expected<Target, AcquireFailure>>
TargetTable::acquire(const AcquireRequest &request, TargetReservation &reservation, std::optional<std::size_t> &waitingAhead)
{
    reservation = TargetReservation();
    const TimePoint requestedAt = m_clock.now();
    const auto executor = co_await net::this_coro::executor;
    QueuedRequest queued{.sequence = UINT64_MAX, .rank = request.priority, .account = request.account, .weight = request.weight};
    std::optional<QueueEntry> queueEntry;
    Duration maxWait{};
    for (;;) {
        TimePoint now = m_clock.now();
        {
            const std::lock_guard lock(m_mutex);
            Entry &it = entry(request.service);
            const Duration usualLatency = it.balancer.usualLatency(request.route);
            maxWait = maxQueueTime(request.objective, request.deadline - requestedAt, usualLatency);
            if (!queueEntry && request.objective > Duration::zero()) {
                queued.startBy = request.arrivedAt.value_or(requestedAt) + request.objective - usualLatency;
            }
            const std::optional<TimePoint> opensAt = it.balancer.opensAt(now);
            if (!opensAt || *opensAt > std::max(requestedAt + maxWait, now)) {
                co_return tl::unexpected(AcquireFailure::NoTarget);
            }
            const std::size_t waitersAhead = queueEntry ? 0 : it.queue.countAhead(queued, now);
            waitingAhead = queueEntry ? waitingAhead : waitersAhead;
            const bool isAtFront = queueEntry ? it.queue.first(1, now).front() == queued.sequence : waitersAhead == 0;
            const bool hasWaitedLong = queueEntry && now - requestedAt >= maxWait / 2;
            if (isAtFront || hasWaitedLong) {
                const bool isForced = hasWaitedLong && request.mayOvercommit;
                std::optional<Target> target = tryReserve(it, request, {.isForced = isForced}, reservation);
                if (!target && isAtFront && !isForced && request.mayOvercommit && request.objective > Duration::zero()) {
                    const TimePoint objectiveAt = request.arrivedAt.value_or(requestedAt) + request.objective;
                    target = tryReserve(it, request, {.answerWithin = std::min(objectiveAt, request.deadline) - now}, reservation);
                }
                if (target) {
                    queueEntry ? it.queue.start(queued.sequence, now) : it.queue.noteStart(queued, now);
                    it.drain.noteStart(now);
                    co_return std::move(*target);
                }
            }
            if (!queueEntry) {
                if (expectedWait(it, waitersAhead, now) > maxWait) {
                    co_return tl::unexpected(AcquireFailure::QueueFull);
                }
                queued.sequence = ++m_lastSequence;
                auto waiter = std::make_shared<Waiter>(Waiter{queued.sequence, net::steady_timer(executor)});
                it.queue.push(queued, now);
                it.waiters.emplace(queued.sequence, waiter);
                it.drain.noteWaiting(true, now);
                queueEntry.emplace(*this, request.service, std::move(waiter));
            }
        }
        if (now - requestedAt >= maxWait) {
            co_return tl::unexpected(AcquireFailure::QueueFull);
        }
        queueEntry->timer().expires_after(std::min<Duration>(queuePollInterval, maxWait - (now - requestedAt)));
        co_await queueEntry->timer().async_wait(asTuple);
    }
}

void TargetTable::announce(const TargetId &id, const TargetAnnouncement &announcement, const std::string &requestId)
{
    bool isNews = false;
    std::uint32_t inFlight = 0;
    {
        const std::lock_guard lock(m_mutex);
        ServiceBalancer &balancer = entry(id.service).balancer;
        isNews = balancer.announce(id.instance(), announcement, m_clock.now());
        inFlight = balancer.inFlightAt(id.target);
    }
    if (!isNews) {
        return;
    }
    const Counter counter = announcement.isLeaving ? Counter::LeavingAnnouncements
        : announcement.pause > Duration(0)         ? Counter::PauseAnnouncements
                                                   : Counter::LimitAnnouncements;
    m_metrics.count(counter);
    const auto pauseMs = std::chrono::duration_cast<std::chrono::milliseconds>(announcement.pause).count();
    logRequestEvent(Event::TargetAnnounced,
                    {{"service", id.service.value},
                     {"target", id.target.value},
                     {"incarnation", std::to_string(id.incarnation)},
                     {"leaving", announcement.isLeaving ? "yes" : "no"},
                     {"pause_ms", std::to_string(pauseMs)},
                     {"limit", announcement.limit ? std::to_string(*announcement.limit) : "none"},
                     {"request_id", requestId},
                     {"in_flight", std::to_string(inFlight)}});
}

bool TargetTable::accepts(const TargetId &id) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(id.service);
    return it == m_entries.end() || it->second.balancer.accepts(id.instance(), m_clock.now());
}

void TargetTable::noteUnlimited(const TargetId &id, TimePoint sentAt, const std::string &requestId)
{
    bool isNews = false;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_entries.find(id.service);
        isNews = it != m_entries.end() && it->second.balancer.noteUnlimited(id.instance(), sentAt, m_clock.now());
    }
    if (isNews) {
        logRequestEvent(Event::TargetAnnounced,
                        {{"service", id.service.value},
                         {"target", id.target.value},
                         {"incarnation", std::to_string(id.incarnation)},
                         {"limit", "ended"},
                         {"request_id", requestId}});
    }
}

void TargetTable::setLimitSharers(const LimitSharers &sharers)
{
    const std::lock_guard lock(m_mutex);
    m_limitSharers = sharers;
    for (auto &[name, it] : m_entries) {
        it.balancer.setLimitSharers(sharers, m_clock.now());
    }
}

bool TargetTable::admit(const TargetId &id)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(id.service);
    const TimePoint now = m_clock.now();
    return it == m_entries.end() || (it->second.balancer.accepts(id.instance(), now) && it->second.balancer.takeToken(id.instance(), now));
}

void TargetTable::returnToken(const TargetId &id)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(id.service);
    if (it != m_entries.end()) {
        it->second.balancer.returnToken(id.instance(), m_clock.now());
    }
}

bool TargetTable::hasOpenTarget(const ServiceName &service) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(service);
    const TimePoint now = m_clock.now();
    return it != m_entries.end() && it->second.balancer.opensAt(now) == now;
}

void TargetTable::withInFlightCount(const TargetId &id, const std::function<void(std::uint32_t)> &visit) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(id.service);
    visit(it == m_entries.end() ? 0 : it->second.balancer.inFlightAt(id.target));
}

void TargetTable::releaseReservation(TargetReservation &reservation,
                                     AttemptEnd end,
                                     Duration latency,
                                     const std::function<void(std::uint32_t)> &visitOtherRequests)
{
    std::optional<TargetPause> pause;
    {
        const std::lock_guard lock(m_mutex);
        reservation.m_table = nullptr;
        const TimePoint now = m_clock.now();
        Entry &it = entry(reservation.m_id.service);
        if (it.balancer.isListed(reservation.m_id.instance())) { // else the attempt says nothing about the present instance
            pause = it.balancer.end(reservation.m_id.target, end, latency, reservation.m_startedAt, now, reservation.m_route);
        }
        visitOtherRequests(it.balancer.inFlightAt(reservation.m_id.target));
        wakeWaiters(it, now);
    }
    if (pause) {
        logPause(reservation.m_id, *pause);
    }
}

} // namespace Pollenspoke
