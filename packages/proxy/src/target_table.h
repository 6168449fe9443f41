/// @file
/// The targets of each service as this Vm sees them, and the requests that wait for one: a table shared by all workers.
///
/// Lock order of the package: TargetTable before ConnectionPool; neither is held while a socket is used.
#pragma once

#include "http.h"

#include <functional>
#include <map>
#include <mutex>
#include <pollenspoke/proxy.h>

namespace Pollenspoke {

/// A target as seen from one Vm: the same address in two services is two entries.
struct TargetId
{
    ServiceName service;
    TargetName target;
    Address address;
    auto operator<=>(const TargetId &) const = default;
};

class TargetTable;

/// One request's place at a target. Gives it back when destroyed; without end() before, as abandoned.
class TargetPlace
{
public:
    TargetPlace() = default;
    TargetPlace(TargetTable &table, TargetId id, RouteName route, TimePoint startedAt);
    TargetPlace(TargetPlace &&other) noexcept;
    TargetPlace &operator=(TargetPlace &&other) noexcept;
    ~TargetPlace();

    void end(AttemptEnd end, Duration latency = Duration::zero());

private:
    friend class TargetTable;

    TargetTable *m_table = nullptr;
    TargetId m_id;
    RouteName m_route;
    TimePoint m_startedAt;
};

enum class AcquireFailure {
    NoTarget,  // the service has none that may take work
    QueueFull, // a slot isn't expected in time, or none came free
};

struct AcquireRequest
{
    ServiceName service;
    RouteName route;
    std::vector<TargetName> tried;
    std::uint32_t rank = 0;  // who waits is served in this order, 0 first
    std::uint32_t limit = 1; // connections of this Vm to one target
    bool isRetryable = true; // it may be sent again after a failure
    Duration objective{};    // of the request
    TimePoint deadline;      // of the request
};

class TargetTable
{
public:
    TargetTable(const ProxyOptions &options, const Clock &clock); // both must outlive it

    void applySnapshot(const Snapshot &snapshot);
    void applyNews(const VmName &vm, const FleetNews &news, bool isWhole);
    FleetNews news() const;
    void setRetryShare(double share);

    /// Chooses a target and takes a place there; waits for one while that helps the request.
    net::awaitable<tl::expected<Target, AcquireFailure>> acquire(const AcquireRequest &request, TargetPlace &place);

    void noteRequest(const ServiceName &service);                 // a first request, for the retry budget
    void noteOutcome(const ServiceName &service, bool isRefused); // of a request
    bool takeRetry(const ServiceName &service);                   // false: the retry budget is spent
    Duration usualLatency(const ServiceName &service) const;
    Duration drainTime(const ServiceName &service) const; // until those who wait now are expected to be served

    /// Passes the count of requests in flight, which doesn't change until `visit` returns.
    void visitInFlight(const TargetId &id, const std::function<void(std::uint32_t)> &visit) const;

    /// Gives a place back, and passes the count of the other requests in flight in the same step.
    void leave(TargetPlace &place, AttemptEnd end, Duration latency, const std::function<void(std::uint32_t)> &visitOthers);

private:
    struct Waiter
    {
        std::uint32_t rank = 0;
        std::uint64_t sequence = 0;
        net::steady_timer timer;
    };
    using Order = std::pair<std::uint32_t, std::uint64_t>; // rank, sequence

    struct Entry
    {
        ServiceBalancer balancer;
        RetryBudget budget;
        std::map<Order, std::shared_ptr<Waiter>> waiting;
    };
    class WaitingPlace;

    Entry &entry(const ServiceName &service);
    std::optional<Target> tryChoose(Entry &entry, const AcquireRequest &request, bool overcommits, TargetPlace &place);
    static Duration expectedWait(const Entry &entry, std::size_t ahead, TimePoint now);
    static void wakeFirst(Entry &entry, TimePoint now);

    const ProxyOptions &m_options;
    const Clock &m_clock;
    mutable std::mutex m_mutex;
    std::map<ServiceName, Entry> m_entries;
    std::uint64_t m_lastSequence = 0;
    double m_retryShare = 1;
};

} // namespace Pollenspoke
