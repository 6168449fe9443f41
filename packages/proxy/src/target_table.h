/// @file
/// Per-service target state as observed by this Vm, and the queues of requests waiting for a target. Shared by all workers.
///
/// Lock order in this package: TargetTable before ConnectionPool. Neither lock is held during socket I/O.
#pragma once

#include "http.h"

#include <functional>
#include <map>
#include <mutex>
#include <pollenspoke/proxy.h>

namespace Pollenspoke {

/// Identifies a target within a service. An address that belongs to two services has two ids.
struct TargetId
{
    ServiceName service;
    TargetName target;
    Address address;
    std::uint64_t incarnation = 0; // as in Target
    auto operator<=>(const TargetId &) const = default;

    TargetInstance instance() const { return {.name = target, .address = address, .incarnation = incarnation}; }
};

class TargetTable;

/// RAII reservation of a slot at a target for one request. The destructor releases it as abandoned unless finish() was called.
class TargetReservation
{
public:
    TargetReservation() = default;
    TargetReservation(TargetTable &table, TargetId id, RouteName route, TimePoint startedAt);
    TargetReservation(TargetReservation &&other) noexcept;
    TargetReservation &operator=(TargetReservation &&other) noexcept;
    ~TargetReservation();

    void finish(AttemptEnd end, Duration latency = Duration::zero());

private:
    friend class TargetTable;

    TargetTable *m_table = nullptr;
    TargetId m_id;
    RouteName m_route;
    TimePoint m_startedAt;
};

enum class AcquireFailure {
    NoTarget,  // the service has no target that accepts requests in time
    QueueFull, // the expected wait is too long, or no slot became free in time
};

struct AcquireRequest
{
    ServiceName service;
    RouteName route;
    std::string requestId;
    std::vector<TargetName> tried;
    AccountName account;                  // empty: none
    std::uint32_t weight = 1;             // of the account
    std::uint32_t priority = 0;           // queue order, 0 first
    std::uint32_t limit = 1;              // connections from this Vm to one target
    bool isRetryable = true;              // may be retried after a failure
    bool mayOvercommit = true;            // after a long wait, a target may hold one more than its slots and queue
    Duration objective{};                 // latency objective of the route
    TimePoint deadline;                   // of the request
    std::optional<TimePoint> arrivedAt{}; // of the request, for its objective; empty: now
};

/// A request that is refused for lack of capacity, and what its caller is told.
struct RefusedDispatch
{
    ServiceName service;
    std::uint32_t priority = 0;
    std::string_view requestId;
    TimePoint deadline;
};
struct DispatchRefusal
{
    ReturnTime returnTime;
    std::optional<AdmissionBoundary> boundary; // of the service; empty: requests of all ranks may wait
};

class TargetTable
{
public:
    TargetTable(const ProxyOptions &options, const Clock &clock, Metrics &metrics); // arguments must outlive it

    void applySnapshot(const Snapshot &snapshot);
    void applyTargetUpdates(const VmName &vm, const TargetUpdates &updates, bool isWhole);
    TargetUpdates targetUpdates() const;
    void setRetryShare(double share);
    void applyDemand(const VmName &vm, const DemandUpdates &demand);
    DemandUpdates demandUpdates();

    /// Chooses a target and reserves a slot there. Waits in the service's queue as long as the request can still be answered in
    /// time. `waitingAhead` becomes the number of waiting requests that go first.
    net::awaitable<tl::expected<Target, AcquireFailure>>
    acquire(const AcquireRequest &request, TargetReservation &reservation, std::optional<std::size_t> &waitingAhead);

    /// Records what the target said about itself in an answer to the request.
    void announce(const TargetId &id, const TargetAnnouncement &announcement, const std::string &requestId);
    bool accepts(const TargetId &id) const; // false: it announced that it is leaving or pausing, or its domain is evacuated

    /// Records that an answer to a request, sent at the given time, named no limit.
    void noteUnlimited(const TargetId &id, TimePoint sentAt, const std::string &requestId);
    void setLimitSharers(const LimitSharers &sharers);
    bool admit(const TargetId &id);       // as accepts(); also takes a token of the target's limits. Called last before the first byte
    void returnToken(const TargetId &id); // no byte was sent after admit()

    void noteConnect(const TargetId &id, bool isOpened); // a new connection to the target was opened, or failed to open
    void setOtherHolders(const std::vector<HolderHealth> &others);
    bool isImpaired() const;               // see VmDiagnosis
    bool admitsRequest(bool isIdempotent); // false: this Vm is impaired and refuses the request

    bool hasOpenTarget(const ServiceName &service) const; // one that is listed as serving and announced nothing else

    /// Counts a request (not a retry) for the retry budget and the demand.
    void noteRequest(const ServiceName &service, std::uint32_t priority, const AccountName &account);
    void recordOutcome(const ServiceName &service, bool isRefused); // records whether this Vm refused a request
    bool takeRetry(const ServiceName &service);                     // false: the retry budget is exhausted
    Duration usualLatency(const ServiceName &service) const;
    Duration retryAfter(const ServiceName &service) const; // estimated time until another request can be served

    /// Hedged requests; see HedgePolicy. The latencies are those of first attempts.
    std::optional<Duration> hedgeDelay(const ServiceName &service, const RouteName &route) const;
    void noteHedgeLatency(const ServiceName &service, const RouteName &route, Duration latency);
    void noteHedgeDue(const ServiceName &service);
    tl::expected<Target, HedgeHoldback> acquireForHedge(const AcquireRequest &request, TargetReservation &reservation); // doesn't wait
    std::optional<HedgeHoldback> takeHedge(const ServiceName &service); // to be called last before the first byte

    /// Counts a request as refused for lack of capacity, and schedules the return of its caller.
    DispatchRefusal refuse(const RefusedDispatch &request);

    /// Calls `visit` with the number of requests in flight at the target, with the table locked.
    void withInFlightCount(const TargetId &id, const std::function<void(std::uint32_t)> &visit) const;

    /// Releases a reservation and calls `visitOtherRequests` with the number of requests still in flight at the target, under the
    /// same lock.
    void releaseReservation(TargetReservation &reservation,
                            AttemptEnd end,
                            Duration latency,
                            const std::function<void(std::uint32_t)> &visitOtherRequests);

private:
    struct Waiter
    {
        std::uint64_t sequence = 0;
        net::steady_timer timer;
    };
    struct Entry
    {
        ServiceBalancer balancer;
        RetryBudget budget;
        HedgePolicy hedge;
        FairQueue queue;
        QueueDrain drain;
        std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters; // of the requests in the queue, by sequence
        DemandCounter demand;
        DemandView view;
        AdmissionLevel level;
        ReturnSchedule returns;
    };
    class QueueEntry;

    Entry &entry(const ServiceName &service);
    std::optional<VmHealthChange> updateHealth(TimePoint now); // with the table locked; to be passed to recordHealthChange() afterwards
    void recordHealthChange(const std::optional<VmHealthChange> &change);
    struct Overcommit
    {
        bool isForced = false;   // at any target
        Duration answerWithin{}; // time left to the objective, for which a target may queue the request; 0: none may
    };
    std::optional<Target>
    tryReserve(Entry &entry, const AcquireRequest &request, const Overcommit &overcommit, TargetReservation &reservation);
    static Duration expectedWait(const Entry &entry, std::size_t waitersAhead, TimePoint now);
    static HedgeConditions hedgeConditions(const Entry &entry, TimePoint now);
    static void wakeWaiters(Entry &entry, TimePoint now);
    void updateLevel(const ServiceName &service, Entry &entry, TimePoint now);
    void logLevelChanges();                                                   // of all services, not under the lock
    bool mayWait(Entry &entry, const AcquireRequest &request, TimePoint now); // as the admission level decides
    void setVms(Entry &entry) const;

    // A change of the level to be logged once the table isn't locked.
    struct LevelChange
    {
        ServiceName service;
        std::optional<AdmissionBoundary> before;
        std::optional<AdmissionBoundary> after;
        RankDemand total; // over all ranks
        std::size_t vms = 0;
    };

    const ProxyOptions &m_options;
    const Clock &m_clock;
    Metrics &m_metrics;
    mutable std::mutex m_mutex;
    std::map<ServiceName, Entry> m_entries;
    std::uint64_t m_lastSequence = 0;
    double m_retryShare = 1;
    LimitSharers m_limitSharers;
    VmDiagnosis m_diagnosis;
    std::vector<LevelChange> m_levelChanges;
    std::uint64_t m_run = 0; // random number of this process in its demand reports
};

} // namespace Pollenspoke
