/// @file
/// Simulates a fleet of Membership instances in virtual time: messages with delay and loss, links that are down, paused and
/// killed Vms, clocks of different speed, and a store that only some Vms may reach.
#pragma once

#include <deque>
#include <functional>
#include <pollenspoke/policy.h>
#include <queue>

namespace Pollenspoke {

struct FakeFleetOptions
{
    std::size_t vms = 8;
    std::uint64_t seed = 1;
    double loss = 0;                // fraction of messages lost, 0 to 1
    std::size_t storePollers = 4;   // of the Vms that reach the store, this many poll it each second
    MembershipOptions membership{}; // self and incarnation are set per Vm
};

class FakeFleet
{
public:
    explicit FakeFleet(const FakeFleetOptions &options);

    // Faults.
    void kill(std::size_t vm);
    void pause(std::size_t vm);
    void resume(std::size_t vm);
    void restart(std::size_t vm, std::uint64_t incarnation);
    void setListed(std::size_t vm, bool isListed); // on the platform's Vm list, which deliverLists() sends to the Vms
    void deliverList(std::size_t vm);
    void deliverLists();
    void setLinkDown(std::function<bool(std::size_t from, std::size_t to)> isLinkDown);
    void setStoreReachable(std::function<bool(std::size_t vm)> isStoreReachable);
    void setStoreRevision(std::uint64_t revision);

    void run(Duration time);

    // State.
    std::size_t size() const { return m_nodes.size(); }
    Duration now() const { return m_now; }
    Membership &at(std::size_t vm) { return *m_nodes[vm].membership; }
    VmName name(std::size_t vm) const;
    bool isUp(std::size_t vm) const { return m_nodes[vm].isUp; }
    Freshness freshness(std::size_t vm) const;
    bool mayServe(std::size_t vm) const;
    std::size_t countObservers(std::size_t vm, Liveness liveness) const; // running Vms that have `vm` in this state
    std::uint64_t messages() const { return m_messages; }
    std::uint64_t bytes() const { return m_bytes; }
    std::uint64_t storeCalls() const { return m_storeCalls; }

private:
    struct Node
    {
        std::unique_ptr<Membership> membership;
        bool isUp = true;
        bool isPaused = false;
        std::int64_t clockRatePerMille = 1000; // speed of its clock; 1000: true time
        Duration clockOffset{0};
        std::uint64_t snapshotRevision = 0;
        std::deque<std::function<void()>> queuedMessages; // received while paused
    };
    struct Timer
    {
        Duration at{0};
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Timer &other) const { return std::pair(other.at, other.order) < std::pair(at, order); }
    };

    void exchangeInitialState();
    TimePoint localTime(std::size_t vm) const;
    void schedule(Duration delay, std::function<void()> action);
    void send(std::size_t from, std::size_t to, std::size_t bytes, std::function<void()> action);
    void deliver(std::size_t to, std::function<void()> action);
    void tick(std::size_t vm);
    void pollStore(std::size_t vm);
    void ping(std::size_t from, std::size_t to, std::uint64_t probe, const PeerNews &message, std::function<void()> onAnswered);
    void relay(std::size_t from, const SendRelay &relay);
    std::size_t indexOf(const VmName &vm) const;

    FakeFleetOptions m_options;
    Generator m_generator;
    Duration m_now{0};
    std::uint64_t m_order = 0;
    std::priority_queue<Timer> m_timers;
    std::vector<Node> m_nodes;
    std::vector<bool> m_listed;
    std::uint64_t m_listRevision = 1;
    std::function<bool(std::size_t, std::size_t)> m_isLinkDown;
    std::function<bool(std::size_t)> m_isStoreReachable;
    std::uint64_t m_storeRevision = 1;
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_storeCalls = 0;
};

} // namespace Pollenspoke
