/// @file
/// Simulates several Vms in front of one service in virtual time, with a queue at each Vm and one at each target. Vms learn of each other's
/// requests late.
#pragma once

#include <deque>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

struct QueueFleetOptions
{
    std::size_t vms = 8;
    std::size_t targets = 24;
    std::uint32_t slots = 3;
    Duration workTime = std::chrono::milliseconds(200);    // mean; each request takes between half and 1.5 times of it
    Duration objective = std::chrono::milliseconds(1000);  // also of the deadline
    Duration reportDelay = std::chrono::milliseconds(40);  // after which other Vms know of a request
    Duration pollInterval = std::chrono::milliseconds(20); // of waiting requests
    bool measuresPart = true;                              // false: each Vm expects to get all slots
    std::uint32_t targetQueue = 3;                         // requests that a target takes beyond its slots; it declines others
    bool queuesAtTargets = true;                           // false: only after half of the longest wait
    std::uint64_t seed = 1;
};

/// Traffic of one kind over the whole time of a run.
struct QueueTraffic
{
    std::vector<double> perSecond; // of each Vm
    Duration from{0};
    Duration until = std::chrono::hours(1);
};

struct QueueFleetResult
{
    std::size_t requests = 0;
    std::size_t served = 0;        // within the objective
    std::size_t late = 0;          // answered after it
    std::size_t refusedAtOnce = 0; // without a wait
    std::size_t refusedLate = 0;   // after a wait
    std::size_t declined = 0;      // attempts that a target declined
    double targetQueue = 0;        // mean number of requests in a target's own queue
    double idleSlots = 0;          // mean part of the slots that were idle while requests waited
};

class QueueFleet
{
public:
    explicit QueueFleet(const QueueFleetOptions &options);

    QueueFleetResult run(const std::vector<QueueTraffic> &traffic, Duration time);

private:
    struct Waiting
    {
        QueuedRequest queued;
        TimePoint arrivedAt;
        TimePoint pollAt;
    };
    struct Vm
    {
        VmName name;
        ServiceBalancer balancer;
        FairQueue queue;
        QueueDrain drain;
        std::map<std::uint64_t, Waiting> waiting;
    };
    struct Running
    {
        std::size_t vm = 0;
        TimePoint arrivedAt;
        TimePoint sentAt;
        Duration workTime{};
        TimePoint endsAt; // default: waits at the target
    };
    struct Report
    {
        std::size_t vm = 0;
        TimePoint dueAt;
        std::vector<TargetObservation> observations;
    };

    void arrive(std::size_t vm, const std::vector<QueueTraffic> &traffic);
    void poll(Vm &vm, std::size_t index, std::uint64_t sequence);
    bool trySend(Vm &vm, std::size_t index, TimePoint arrivedAt, bool isAtFront, bool hasWaitedLong);
    void refuse(bool hasWaited);
    void wake(Vm &vm);
    void leaveQueue(Vm &vm, std::uint64_t sequence);
    Duration expectedWait(const Vm &vm, std::size_t ahead) const;
    void advanceTargets();
    void exchangeReports();
    Duration maxWait(const Vm &vm) const;

    QueueFleetOptions m_options;
    Generator m_generator;
    Generator m_arrivals; // of its own, so that the traffic doesn't depend on the decisions
    TimePoint m_now{std::chrono::hours(1)};
    std::vector<Vm> m_vms;
    std::map<TargetName, std::deque<Running>> m_targets;
    std::deque<Report> m_reports;
    std::uint64_t m_sequence = 0;
    QueueFleetResult m_result;
};

double capacityOf(const QueueFleetOptions &options); // requests/s that all targets together can answer
QueueTraffic evenly(const QueueFleetOptions &options, double load, Duration from = Duration(0), Duration until = std::chrono::hours(1));
QueueFleetResult play(QueueFleetOptions options, const std::vector<QueueTraffic> &traffic, Duration time); // sums of three seeds

} // namespace Pollenspoke
