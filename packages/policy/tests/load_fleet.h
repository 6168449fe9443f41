/// @file
/// A fleet of seat holders in virtual time that share the slots of one service, and callers that send requests of several ranks.
#pragma once

#include <deque>
#include <functional>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

struct LoadOptions
{
    std::size_t vms = 8;
    std::size_t slots = 480;
    Duration work = std::chrono::milliseconds(1000); // of a request, 0.5 to 1.5 times of it
    Duration longestWait = std::chrono::milliseconds(800);
    bool hasLevel = true;     // false: all requests may wait
    double declinedShare = 0; // of the requests that got a slot: their target answers at once that it didn't run them
};

/// Requests/s of one rank. `shareOf` gives the part of each Vm; without it all are equal.
struct LoadSource
{
    std::uint32_t rank = 0;
    std::function<double(Duration)> perSecond; // by time since the start
    std::function<double(std::size_t, Duration)> shareOf;
};

struct LoadResult
{
    std::size_t sent = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t refusedAfterWait = 0; // part of `refused`
    Duration longestWait{};
    double servedShare() const { return sent == 0 ? 1 : static_cast<double>(served) / static_cast<double>(sent); }
};

class LoadFleet
{
public:
    LoadFleet(LoadOptions options, std::vector<LoadSource> sources);

    void run(Duration duration);
    void lose(std::size_t vm); // its requests and its part of the load are gone
    void restartAll();         // all requests and views are lost

    const LoadResult &result(std::uint32_t rank) { return m_results[rank]; }
    void resetResults() { m_results.clear(); }
    std::optional<AdmissionBoundary> boundary(std::size_t vm) const { return m_vms[vm].level.boundary(); }
    double position(std::size_t vm) const;                        // boundary rank plus share; 100 without a boundary
    std::size_t idleSlotSteps() const { return m_idleSlotSteps; } // steps at the end of which a slot was free and a request waited
    std::size_t levelChanges(std::size_t vm) const { return m_vms[vm].levelChanges; }
    std::size_t reports() const { return m_reports; }
    double useOfSlots() const { return m_usedSlots / static_cast<double>(m_steps) / static_cast<double>(m_options.slots); }
    TimePoint now() const { return m_now; }

private:
    struct Request
    {
        std::uint32_t rank = 0;
        TimePoint arrivedAt;
    };
    struct Vm
    {
        VmName name;
        bool isLost = false;
        DemandCounter counter;
        DemandView view;
        AdmissionLevel level;
        std::map<std::uint32_t, std::deque<Request>> waiting; // by rank
        TimePoint reportedAt;
        TimePoint fullReportedAt;
        std::size_t levelChanges = 0;
    };
    struct Running
    {
        TimePoint endsAt;
        std::size_t vm = 0;
        bool operator>(const Running &other) const { return endsAt > other.endsAt; }
    };

    void publishVms();
    void updateLevel(Vm &vm);
    void arrive(std::size_t i, std::uint32_t rank);
    bool begin(std::size_t i, const Request &request);
    bool serveWaiting(std::size_t i);
    void expireWaits(Vm &vm);
    void report();

    LoadOptions m_options;
    std::vector<LoadSource> m_sources;
    std::vector<Vm> m_vms;
    std::vector<Running> m_running;
    std::map<std::uint32_t, LoadResult> m_results;
    std::vector<std::tuple<TimePoint, std::size_t, DemandReport>> m_datagrams; // arrival, sender
    TimePoint m_startedAt{std::chrono::hours(1)};
    TimePoint m_now{std::chrono::hours(1)};
    std::uint64_t m_lastId = 0;
    std::size_t m_idleSlotSteps = 0;
    std::size_t m_reports = 0;
    std::size_t m_steps = 0;
    double m_usedSlots = 0;
    Generator m_generator{17};
};

} // namespace Pollenspoke
