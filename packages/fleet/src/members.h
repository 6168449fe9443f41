/// @file
/// Membership of the fleet: which Vms are registered, live or seat holders, and which of them callers should connect to.
#pragma once

#include <pollenspoke/fleet.h>

namespace Pollenspoke {

/// A seat holder that is silent, leaving or impaired, as seen by another Vm.
struct SeatHolderStatus
{
    VmName vm;
    Duration reportAge{};
    bool isLeaving = false;
    bool isImpaired = false;
};

/// One registered Vm.
struct Member
{
    VmName name;
    VmRegistration registration;
    StorePosition registeredAt;                   // first registration
    TimePoint lastReportAt;                       // initially the time at which it was first listed
    std::optional<TimePoint> storeReachableSince; // from its last report; empty: the store is unreachable
    StorePosition newestChange;                   // newest change of the store it has, from its last report
    std::uint64_t declarationsVersion = 0;        // in force there, from its last message
    bool isLeaving = false;
    bool isMissing = false;     // the restored store lacks its registration
    bool isImpaired = false;    // from its last report, or from that of a seat holder that had it
    TimePoint healthReportedAt; // when it last told this Vm whether it is impaired; the default: never
    SeatClaim claim = SeatClaim::Held;
    StorePosition seatUsedAt;   // of the newest registrations by which it began to use a seat, as its own says
    std::uint64_t revision = 0; // of its registration
};

/// The known Vms of the fleet, this Vm included. Seat holders are the subset that callers are sent to and that holds the rate
/// limit tokens. Not thread-safe: used on one event loop only.
class Members
{
public:
    static constexpr Duration freshReportAge = std::chrono::milliseconds(1500); // a Vm that reported this recently is expected to answer
    static constexpr Duration usualReportAge = std::chrono::milliseconds(500);  // of reports that aren't overdue; half a status period

    /// After the store was restored from an older copy, Vms whose registrations it lacks stay members for this time, so that they can
    /// register again and keep their seats. Covers the time until all Vms have noticed; see rewriteInterval.
    static constexpr Duration registrationGrace = std::chrono::seconds(5);
    static constexpr Duration rewriteInterval = std::chrono::milliseconds(10); // on average, between the writes of lost registrations

    Members(VmName self, FailureDomain domain, Duration silenceLimit);

    void replaceAll(const std::vector<std::pair<RegisteredVm, VmRegistration>> &vms, TimePoint now);
    void put(const RegisteredVm &vm, const VmRegistration &registration, TimePoint now);
    void setClaim(const VmName &vm, SeatClaim claim, const StorePosition &usedAt, std::uint64_t revision);
    void remove(const VmName &vm);

    void noteStoreRestored(TimePoint now); // from now on, members that are removed or not listed count as missing
    bool removeExpired(TimePoint now);     // ends the grace of missing members; true when some were removed
    std::size_t missingCount() const;
    bool isInRestoreGrace() const { return m_restoredAt.has_value(); }
    void recordReport(const VmName &vm, bool isLeaving, Duration storeReachableFor, StorePosition newestChange, TimePoint now);
    void recordHealth(const VmName &vm, bool isImpaired, TimePoint now); // from a report
    void recordDeclarationsVersion(const VmName &vm, std::uint64_t version);
    void recordContact(const VmName &vm, bool isLeaving, TimePoint now); // a message other than a report
    void recordSignOfLife(const VmName &vm, TimePoint now);              // one that doesn't tell whether the Vm is leaving

    /// Records another Vm's view of the seat holders: those it considers overdue, leaving or impaired; it heard from all others lately.
    void recordSeatHolders(const std::vector<SeatHolderStatus> &overdue, TimePoint now);
    std::vector<SeatHolderStatus> overdueSeatHolders(TimePoint now) const;

    /// Whether at least two other Vms report uninterrupted access to the store since the given time.
    bool hadStoreAccessSince(TimePoint since, TimePoint now) const;
    void setLeaving() { m_isLeaving = true; }                           // marks this Vm as leaving
    void setImpaired(bool isImpaired) { m_isImpaired = isImpaired; }    // this Vm, by its own diagnosis
    void setStoreAccess(bool isReachable) { m_hasStore = isReachable; } // of this Vm, by its own calls
    bool hasStoreAccess() const { return m_hasStore; }

    bool isInOwnDomain(const Member &member) const { return member.registration.failureDomain == m_domain; }
    bool isSelf(const VmName &vm) const { return vm == m_self; }
    const VmName &self() const { return m_self; }
    bool isLeaving() const { return m_isLeaving; } // this Vm
    const Member *find(const VmName &vm) const;
    std::vector<const Member *> others() const;
    const std::vector<VmName> &seatHolders() const; // from the registrations alone, live or not
    std::vector<RegisteredVm> registeredVms() const;
    std::vector<SeatView> seatViews(bool isDeputy, TimePoint now) const; // isDeputy: of the seat holders, which have lost the store
    bool isSeatHolder(const VmName &vm) const;
    std::vector<VmName> liveSeatHolders(TimePoint now) const;                               // seat holders that callers may be sent to
    std::vector<Address> callerAddresses(const FailureDomain &domain, TimePoint now) const; // for callers in that failure domain
    std::vector<HolderHealth> otherHolders(TimePoint now) const; // live ones with a recent report; none if this Vm has no seat
    bool isLive(const Member &member, TimePoint now) const;

    /// Receivers of this Vm's status reports: the other seat holders if it is one or their deputy, else nobody. Other Vms without a seat
    /// learn which seat holders are live from the replies to their feed requests, so that messages per Vm don't grow with the fleet.
    std::vector<const Member *> reportReceivers() const;

    /// Receivers of this Vm's notices of newer changes: the Vms without a seat that it serves, and the other seat holders if it watches
    /// the store. Each Vm without a seat is served by noticesPerVm live seat holders, of its own domain if there are any.
    std::vector<const Member *> noticeReceivers(TimePoint now) const;
    static constexpr std::size_t noticesPerVm = 2; // one may be lost, or its sender may be behind

    /// Seat holders that watch the store directly: the first ones with access to it or, if nobody has it, those that try to regain it.
    std::vector<VmName> watchers(TimePoint now) const;
    static constexpr std::size_t maxWatchers = 4; // seat holders alternate over failure domains, so losing one leaves watchers in others
    std::size_t storeAccessCount(TimePoint now) const; // live seat holders with access to the store

    /// Vms without a seat that report access to the store, while no live seat holder has it: the first ones, at most maxWatchers.
    std::vector<VmName> deputies(TimePoint now) const;
    void setDeputy(bool isDeputy) { m_isDeputy = isDeputy; } // this Vm, which has no seat

    /// Vms that can be asked for the changes after a position. For a seat holder these are the store watchers or, if no seat holder has
    /// access to the store, the deputies; one that lost the
    /// store doesn't notice it at once, so if any have reported a newer change, only those are returned. For other Vms they are
    /// the live seat holders or, if none is known to be live, all of them.
    std::vector<const Member *> feedSources(StorePosition since, bool prefersOwnDomain, TimePoint now) const;

    /// A live Vm whose declarations are newer, or nullptr.
    const Member *findNewerDeclarations(std::uint64_t version, TimePoint now) const;

    /// Registered Vms without a seat that have been silent for the given time and that this Vm has to remove from the store, as the first
    /// live seat holder of their failure domain. It counts the silence from the time at which it took over that role. For seat holders
    /// see SeatAudit.
    std::vector<VmName> lostVms(Duration silence, TimePoint now);

private:
    bool isImpaired(const VmName &vm) const;
    std::vector<VmName> withoutImpaired(const std::vector<VmName> &vms) const;
    std::vector<VmName> selectStrong(const std::vector<VmName> &vms) const;
    bool hasAccess(const VmName &holder, TimePoint now) const; // to the store

    VmName m_self;
    FailureDomain m_domain;
    Duration m_silenceLimit;
    bool m_isLeaving = false;
    bool m_isDeputy = false;
    bool m_isImpaired = false;
    bool m_hasStore = true;                // by its own calls; assumed until one fails
    std::map<VmName, Member> m_members;    // including this Vm
    std::optional<TimePoint> m_restoredAt; // empty: no grace
    std::optional<TimePoint> m_removesDomainSince;
    mutable std::optional<std::vector<VmName>> m_seatHolders; // cached; empty: registrations changed
};

} // namespace Pollenspoke
