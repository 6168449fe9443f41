/// @file
/// Membership of the fleet: which Vms are registered, live or seat holders, and which of them callers should connect to.
#pragma once

#include <pollenspoke/fleet.h>

namespace Pollenspoke {

/// One registered Vm.
struct Member
{
    VmName name;
    VmRegistration registration;
    std::uint64_t registeredAt = 0;               // store revision of the registration
    TimePoint lastReportAt;                       // initially the time at which it was first listed
    std::optional<TimePoint> storeReachableSince; // from its last report; empty: the store is unreachable
    std::uint64_t newestRevision = 0;             // newest store revision it has, from its last report
    bool isLeaving = false;
};

/// The known Vms of the fleet, this Vm included. Seat holders are the subset that callers are sent to and that holds the rate
/// limit tokens. Not thread-safe: used on one event loop only.
class Members
{
public:
    static constexpr Duration freshReportAge = std::chrono::milliseconds(1500); // a Vm that reported this recently is expected to answer

    Members(VmName self, FailureDomain domain, Duration silenceLimit);

    void replaceAll(const std::vector<std::pair<RegisteredVm, VmRegistration>> &vms, TimePoint now);
    void put(const RegisteredVm &vm, const VmRegistration &registration, TimePoint now);
    void remove(const VmName &vm);
    void recordReport(const VmName &vm, bool isLeaving, Duration storeReachableFor, std::uint64_t newestRevision, TimePoint now);

    /// Whether at least two other Vms report uninterrupted access to the store since the given time.
    bool hadStoreAccessSince(TimePoint since, TimePoint now) const;
    void setLeaving() { m_isLeaving = true; } // marks this Vm as leaving

    bool isInOwnDomain(const Member &member) const { return member.registration.failureDomain == m_domain; }
    bool isSelf(const VmName &vm) const { return vm == m_self; }
    const Member *find(const VmName &vm) const;
    std::vector<const Member *> others() const;
    std::vector<VmName> seatHolders() const;                                                // from the registrations alone, live or not
    std::vector<VmName> liveSeatHolders(TimePoint now) const;                               // seat holders that callers may be sent to
    std::vector<Address> callerAddresses(const FailureDomain &domain, TimePoint now) const; // for callers in that failure domain
    bool isLive(const Member &member, TimePoint now) const;

    /// Receivers of this Vm's status reports: all others if it is a seat holder, else the seat holders and the Vms of its own
    /// failure domain. Each Vm thus gets reports from all Vms it may offer to callers, without all-to-all traffic, which would
    /// grow with the square of the fleet size.
    std::vector<const Member *> reportReceivers() const;

    /// Seat holders that watch the store directly. All other Vms request changes from them.
    std::vector<VmName> watchers(TimePoint now) const;

    /// Store watchers that can be asked for the changes after a revision. A watcher that lost the store doesn't notice it at
    /// once, so if any have reported a newer revision, only those are returned.
    std::vector<const Member *> feedSources(std::uint64_t since, bool prefersOwnDomain, TimePoint now) const;

private:
    VmName m_self;
    FailureDomain m_domain;
    Duration m_silenceLimit;
    bool m_isLeaving = false;
    std::map<VmName, Member> m_members; // including this Vm
};

} // namespace Pollenspoke
