/// @file
/// The other Vms: who registered, who was heard of lately, who holds a seat, and where callers should connect.
#pragma once

#include <pollenspoke/fleet.h>

namespace Pollenspoke {

/// One registered Vm.
struct Member
{
    VmName name;
    VmRegistration registration;
    std::uint64_t registeredAt = 0;        // store revision
    TimePoint heardAt;                     // of its last report; at first, when it was first listed
    std::optional<TimePoint> storeUpSince; // by its last report
    std::uint64_t newestRevision = 0;      // of the store, that it knows of, by its last report
    bool isLeaving = false;
};

/// Touched on one event loop only.
class Members
{
public:
    static constexpr Duration freshTime = std::chrono::milliseconds(1500); // a Vm heard of within it likely answers at once

    Members(VmName self, FailureDomain domain, Duration silenceLimit);

    void list(const std::vector<std::pair<RegisteredVm, VmRegistration>> &vms, TimePoint now); // replaces all
    void put(const RegisteredVm &vm, const VmRegistration &registration, TimePoint now);
    void remove(const VmName &vm);
    void noteReport(const VmName &vm, bool isLeaving, Duration storeUp, std::uint64_t newestRevision, TimePoint now);

    /// Whether other Vms say that they had the store all the time since then.
    bool hadStoreSince(TimePoint since, TimePoint now) const;
    void setLeaving() { m_isLeaving = true; } // this Vm

    bool isNear(const Member &member) const { return member.registration.failureDomain == m_domain; }
    bool isSelf(const VmName &vm) const { return vm == m_self; }
    const Member *find(const VmName &vm) const;
    std::vector<const Member *> others() const;
    std::vector<VmName> holders() const;                                                    // of seats, by registrations alone
    std::vector<VmName> liveHolders(TimePoint now) const;                                   // those that may get callers
    std::vector<Address> callerAddresses(const FailureDomain &domain, TimePoint now) const; // where callers there should connect
    bool isLive(const Member &member, TimePoint now) const;

    /// Those that a report of this Vm goes to: all others if it holds a seat, else the seat holders and the Vms of its own
    /// failure domain. So each Vm hears of all that it may name to callers, and reports don't grow with the square of the fleet.
    std::vector<const Member *> reportReceivers() const;

    /// Seat holders that watch the store; the others, this Vm included, ask them for changes.
    std::vector<VmName> watchers(TimePoint now) const;

    /// Watchers to ask for changes after a revision. One that was cut off from the store doesn't know it at once, so those
    /// that reported something newer come before all others.
    std::vector<const Member *> feedHolders(std::uint64_t since, bool prefersNear, TimePoint now) const;

private:
    VmName m_self;
    FailureDomain m_domain;
    Duration m_silenceLimit;
    bool m_isLeaving = false;
    std::map<VmName, Member> m_members; // this Vm included
};

} // namespace Pollenspoke
