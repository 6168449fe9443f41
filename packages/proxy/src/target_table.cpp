#include "target_table.h"

#include <algorithm>
#include <cmath>
#include <numeric>

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

constexpr double minLatencySeconds = 0.001; // of a capacity estimate
constexpr std::int64_t noBoundary = -1;     // value of the gauge

std::string describeBoundary(const std::optional<AdmissionBoundary> &boundary)
{
    return boundary ? std::to_string(boundary->rank) : "none";
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
    QueueEntry(TargetTable &table, ServiceName service, std::uint32_t rank, std::shared_ptr<Waiter> waiter)
        : m_table(table)
        , m_service(std::move(service))
        , m_rank(rank)
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
        entry.demand.noteWaitEnded(m_rank, now);
        wakeWaiters(entry, now);
    }
    QueueEntry(const QueueEntry &) = delete;
    QueueEntry &operator=(const QueueEntry &) = delete;

    std::uint64_t sequence() const { return m_waiter->sequence; }
    net::steady_timer &timer() { return m_waiter->timer; }

private:
    TargetTable &m_table;
    ServiceName m_service;
    std::uint32_t m_rank;
    std::shared_ptr<Waiter> m_waiter;
};

TargetTable::TargetTable(const ProxyOptions &options, const Clock &clock, Metrics &metrics)
    : m_options(options)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_run(std::uniform_int_distribution<std::uint64_t>(1, UINT32_MAX)(threadGenerator()))
{
    m_metrics.setGauge(Gauge::AdmissionBoundary, noBoundary);
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
                   .hedge = HedgePolicy(dispatch.hedge),
                   .queue = FairQueue({.hasFairShares = dispatch.hasFairShares})};
    newEntry.budget.setShare(m_retryShare);
    newEntry.balancer.setLimitSharers(m_limitSharers, m_clock.now());
    setVms(newEntry);
    return m_entries.emplace(service, std::move(newEntry)).first->second;
}

void TargetTable::applySnapshot(const Snapshot &snapshot)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    for (const auto &[name, service] : snapshot.services()) {
        Entry &it = entry(name);
        it.balancer.setWarmupRate(service.warmupRatePerSecond, now);
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
    m_diagnosis.applyReports(vm, updates, now);
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

void TargetTable::applyDemand(const VmName &vm, const DemandUpdates &demand)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    for (const auto &[name, report] : demand) {
        const auto it = m_entries.find(name);
        if (it != m_entries.end() && !it->second.view.apply(vm, report, now)) {
            m_metrics.count(Counter::DemandPartsRejected);
        }
    }
}

DemandUpdates TargetTable::demandUpdates()
{
    logLevelChanges();
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    DemandUpdates updates;
    for (auto &[name, it] : m_entries) {
        updateLevel(name, it, now); // also without requests, so that the end of a shortage is noticed
        if (DemandReport report = it.demand.report(now); !report.isEmpty()) {
            report.run = m_run;
            updates.emplace(name, std::move(report));
        }
    }
    return updates;
}

void TargetTable::logLevelChanges()
{
    std::vector<LevelChange> changes;
    {
        const std::lock_guard lock(m_mutex);
        changes.swap(m_levelChanges);
    }
    for (const LevelChange &it : changes) {
        logEvent(Event::AdmissionLevelChanged,
                 {{"service", it.service.value},
                  {"boundary_rank", describeBoundary(it.after)},
                  {"share", it.after ? std::to_string(it.after->share) : "none"},
                  {"previous_rank", describeBoundary(it.before)},
                  {"arrivals_per_s", std::to_string(std::llround(it.total.arrivals))},
                  {"waiting", std::to_string(std::llround(it.total.waiting))},
                  {"starts_per_s", std::to_string(std::llround(it.total.started))},
                  {"vms", std::to_string(it.vms)}});
    }
}

void TargetTable::setVms(Entry &entry) const
{
    entry.view.setVms(m_limitSharers.self, m_limitSharers.vms.value_or(std::vector<VmName>()));
}

void TargetTable::updateLevel(const ServiceName &service, Entry &entry, TimePoint now)
{
    if (!m_options.dispatch.admissionByRank || !entry.level.isDue(now)) {
        return;
    }
    const std::optional<AdmissionBoundary> before = entry.level.boundary();
    const std::vector<RankDemand> demand = entry.view.ranks(entry.demand.report(now), now);
    if (!entry.level.update(demand, now)) {
        return;
    }
    std::int64_t mostUrgent = noBoundary;
    for (const auto &[name, it] : m_entries) {
        if (it.level.boundary()) {
            const auto rank = static_cast<std::int64_t>(it.level.boundary()->rank);
            mostUrgent = mostUrgent == noBoundary ? rank : std::min(mostUrgent, rank);
        }
    }
    m_metrics.setGauge(Gauge::AdmissionBoundary, mostUrgent);
    const std::optional<AdmissionBoundary> &after = entry.level.boundary();
    if (before && after && before->rank == after->rank) {
        return; // only the share changed
    }
    LevelChange change{.service = service, .before = before, .after = after, .total = {}, .vms = entry.view.parts(now) + 1};
    for (const RankDemand &it : demand) {
        change.total.arrivals += it.arrivals;
        change.total.waiting += it.waiting;
        change.total.started += it.started;
    }
    m_levelChanges.push_back(std::move(change));
}

bool TargetTable::mayWait(Entry &entry, const AcquireRequest &request, TimePoint now)
{
    if (!m_options.dispatch.admissionByRank) {
        return true;
    }
    updateLevel(request.service, entry, now);
    const bool mayWait = entry.level.mayWait(request.priority, request.requestId);
    if (entry.level.boundary()) {
        m_metrics.count(mayWait ? Counter::WaitsByLevel : Counter::RefusalsByLevel);
    }
    return mayWait;
}

void TargetTable::noteRequest(const ServiceName &service, std::uint32_t priority, const AccountName &account)
{
    logLevelChanges();
    const std::lock_guard lock(m_mutex);
    Entry &it = entry(service);
    const TimePoint now = m_clock.now();
    it.budget.noteRequest(now);
    it.hedge.noteRequest();
    it.demand.noteArrival(priority, account, now);
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

DispatchRefusal TargetTable::refuse(const RefusedDispatch &request)
{
    const std::lock_guard lock(m_mutex);
    Entry &it = entry(request.service);
    const TimePoint now = m_clock.now();
    it.demand.noteRefused(request.priority, now);
    const DemandReport own = it.demand.report(now);
    const std::vector<RankDemand> fleet = it.view.ranks(own, now);
    const auto sumOf = [](const std::vector<RankDemand> &ranks, double RankDemand::*number, std::uint32_t lastRank) {
        return std::accumulate(ranks.begin(), ranks.end(), 0.0, [number, lastRank](double sum, const RankDemand &rank) {
            return rank.rank <= lastRank ? sum + rank.*number : sum;
        });
    };
    const double refused = sumOf(fleet, &RankDemand::refused, UINT32_MAX);
    const std::optional<TimePoint> opensAt = it.balancer.opensAt(now);
    const Duration opensIn = opensAt ? std::max<Duration>(*opensAt - now, it.balancer.limitedWait(0, now)) : Duration(noTargetRetryAfter);
    double capacity = sumOf(fleet, &RankDemand::started, UINT32_MAX);
    const bool isShort = it.level.boundary() || sumOf(fleet, &RankDemand::waiting, UINT32_MAX) > 0;
    if (!isShort && it.balancer.limitedWait(0, now) == Duration(0)) { // the starts are what callers asked for, not what is possible
        const double latency = std::chrono::duration<double>(it.balancer.usualLatency()).count();
        capacity = std::max(capacity, std::max<std::uint32_t>(it.balancer.usableSlots(now), 1) / std::max(latency, minLatencySeconds));
    }
    const ReturnTime returnTime
        = it.returns.refuse({.rank = request.priority,
                             .id = request.requestId,
                             .waitingAhead = sumOf(fleet, &RankDemand::waiting, request.priority),
                             .startsPerSecond = capacity,
                             .share = refused > 0 ? sumOf(own.ranks, &RankDemand::refused, UINT32_MAX) / refused : 1,
                             .opensIn = opensIn,
                             .left = request.deadline - now},
                            now);
    if (!returnTime.isBeforeDeadline) {
        m_metrics.count(Counter::ReturnsAfterDeadline);
    }
    return {.returnTime = returnTime, .boundary = it.level.boundary()};
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
        m_metrics.count(Counter::DispatchesHeldCold, entry.balancer.isHeldBackByWarmup(now) ? 1 : 0);
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
                    if (request.tried.empty()) {
                        it.demand.noteStarted(request.priority, now);
                    }
                    co_return std::move(*target);
                }
            }
            if (!queueEntry) {
                m_metrics.count(Counter::DispatchesHeldCold, it.balancer.isHeldBackByWarmup(now) ? 1 : 0);
                if (!mayWait(it, request, now) || expectedWait(it, waitersAhead, now) > maxWait) {
                    co_return tl::unexpected(AcquireFailure::QueueFull);
                }
                queued.sequence = ++m_lastSequence;
                auto waiter = std::make_shared<Waiter>(Waiter{queued.sequence, net::steady_timer(executor)});
                it.queue.push(queued, now);
                it.waiters.emplace(queued.sequence, waiter);
                it.drain.noteWaiting(true, now);
                it.demand.noteWaiting(request.priority, now);
                queueEntry.emplace(*this, request.service, request.priority, std::move(waiter));
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
        setVms(it);
    }
}

bool TargetTable::admit(const TargetId &id)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(id.service);
    const TimePoint now = m_clock.now();
    if (it == m_entries.end()) {
        return true;
    }
    ServiceBalancer &balancer = it->second.balancer;
    if (!balancer.accepts(id.instance(), now)) {
        return false;
    }
    m_metrics.count(Counter::DispatchesHeldCold, balancer.isHeldBackByWarmup(id.instance(), now) ? 1 : 0);
    return balancer.takeToken(id.instance(), now);
}

void TargetTable::returnToken(const TargetId &id)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(id.service);
    if (it != m_entries.end()) {
        it->second.balancer.returnToken(id.instance(), m_clock.now());
    }
}

std::optional<VmHealthChange> TargetTable::updateHealth(TimePoint now)
{
    const std::optional<VmHealthChange> change = m_diagnosis.update(now);
    if (change && m_diagnosis.isExcusingTargets(now)) {
        for (auto &[name, it] : m_entries) {
            it.balancer.withdrawUnreachable(now);
            wakeWaiters(it, now);
        }
    }
    return change;
}

void TargetTable::recordHealthChange(const std::optional<VmHealthChange> &change)
{
    if (!change) {
        return;
    }
    m_metrics.setGauge(Gauge::VmImpaired, change->isImpaired ? 1 : 0);
    logEvent(Event::VmImpaired,
             {{"impaired", change->isImpaired ? "yes" : "no"},
              {"connects", std::to_string(change->connects)},
              {"connects_failed", std::to_string(change->failedConnects)},
              {"targets_failed", std::to_string(change->failedTargets)},
              {"targets_failed_elsewhere", std::to_string(change->confirmedTargets)},
              {"other_holders", std::to_string(change->otherHolders)},
              {"others_impaired", std::to_string(change->impairedOthers)}},
             change->isImpaired ? LogLevel::Warning : LogLevel::Info);
}

void TargetTable::noteConnect(const TargetId &id, bool isOpened)
{
    std::optional<VmHealthChange> change;
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = m_clock.now();
        m_diagnosis.noteAttempt({id.service, id.target}, isOpened ? ReachOutcome::Connected : ReachOutcome::Unreachable, now);
        change = updateHealth(now);
    }
    recordHealthChange(change);
}

void TargetTable::setOtherHolders(const std::vector<HolderHealth> &others)
{
    std::optional<VmHealthChange> change;
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = m_clock.now();
        m_diagnosis.setOtherHolders(others, now);
        change = updateHealth(now);
    }
    recordHealthChange(change);
}

bool TargetTable::isImpaired() const
{
    const std::lock_guard lock(m_mutex);
    return m_diagnosis.isImpaired();
}

bool TargetTable::admitsRequest(bool isIdempotent)
{
    const std::lock_guard lock(m_mutex);
    return m_diagnosis.admit(isIdempotent, m_clock.now());
}

bool TargetTable::hasOpenTarget(const ServiceName &service) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(service);
    const TimePoint now = m_clock.now();
    return it != m_entries.end() && it->second.balancer.opensAt(now) == now;
}

std::optional<Duration> TargetTable::hedgeDelay(const ServiceName &service, const RouteName &route) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(service);
    return it == m_entries.end() ? std::nullopt : it->second.hedge.delay(route);
}

void TargetTable::noteHedgeLatency(const ServiceName &service, const RouteName &route, Duration latency)
{
    const std::lock_guard lock(m_mutex);
    entry(service).hedge.noteLatency(route, latency, m_clock.now());
}

void TargetTable::noteHedgeDue(const ServiceName &service)
{
    const std::lock_guard lock(m_mutex);
    entry(service).hedge.noteDue(m_clock.now());
}

HedgeConditions TargetTable::hedgeConditions(const Entry &entry, TimePoint now)
{
    return {.waiting = entry.queue.size(), .freeSlots = entry.balancer.freeSlots(now), .usableSlots = entry.balancer.usableSlots(now)};
}

tl::expected<Target, HedgeHoldback> TargetTable::acquireForHedge(const AcquireRequest &request, TargetReservation &reservation)
{
    reservation = TargetReservation(); // before the lock, which its release takes as well
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    Entry &it = entry(request.service);
    if (const std::optional<HedgeHoldback> heldBack = it.hedge.check(hedgeConditions(it, now), it.budget, now)) {
        return tl::unexpected(*heldBack);
    }
    const ChoiceRequest choice{.tried = request.tried, .local = m_options.failureDomain, .limit = request.limit};
    std::optional<Target> target = it.balancer.chooseForHedge(choice, now, threadGenerator());
    if (!target) {
        return tl::unexpected(HedgeHoldback::NoTarget);
    }
    reservation
        = TargetReservation(*this, TargetId{request.service, target->name, target->address, target->incarnation}, request.route, now);
    return std::move(*target);
}

std::optional<HedgeHoldback> TargetTable::takeHedge(const ServiceName &service)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    Entry &it = entry(service);
    return it.hedge.take(hedgeConditions(it, now), it.budget, now);
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
    std::optional<VmHealthChange> change;
    {
        const std::lock_guard lock(m_mutex);
        reservation.m_table = nullptr;
        const TimePoint now = m_clock.now();
        if (end == AttemptEnd::Silent) {
            m_diagnosis.noteAttempt({reservation.m_id.service, reservation.m_id.target}, ReachOutcome::Silent, now);
            change = updateHealth(now);
        }
        const bool isUnreached = end == AttemptEnd::Unreachable || end == AttemptEnd::Silent;
        const AttemptEnd countedEnd = isUnreached && m_diagnosis.isExcusingTargets(now) ? AttemptEnd::Abandoned : end;
        Entry &it = entry(reservation.m_id.service);
        if (it.balancer.isListed(reservation.m_id.instance())) { // else the attempt says nothing about the present instance
            pause = it.balancer.end(reservation.m_id.target, countedEnd, latency, reservation.m_startedAt, now, reservation.m_route);
        }
        visitOtherRequests(it.balancer.inFlightAt(reservation.m_id.target));
        wakeWaiters(it, now);
    }
    recordHealthChange(change);
    if (pause) {
        logPause(reservation.m_id, *pause);
    }
}

} // namespace Pollenspoke
