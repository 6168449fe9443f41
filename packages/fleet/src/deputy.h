/// @file
/// Decides when a Vm without a seat watches the store on behalf of the seat holders: as their deputy.
///
/// A Vm without a seat gets the store's changes from the seat holders. These may all have lost a store that still answers others. So a
/// Vm whose newest contact with the store, its own or handed on, is too old asks the store itself. The first ones that get an answer
/// watch the store, and the seat holders get the changes from them, for themselves and for all others.
#pragma once

#include <optional>
#include <pollenspoke/base.h>

namespace Pollenspoke {

/// Pure: holds no timer and makes no call. Contacts are the times at which the store answered a Vm.
class DeputyRole
{
public:
    static constexpr Duration shortestProbeInterval = std::chrono::seconds(1); // of one Vm
    static constexpr double maxFleetProbesPerSecond = 150; // of all Vms without a seat together; the largest fleets' store takes 16,000
    static constexpr Duration standDownTime = std::chrono::milliseconds(2500); // without a seat holder that takes changes from this Vm

    explicit DeputyRole(TimePoint now)
        : m_handedOnContactAt(now)
        , m_ownContactAt(now)
    {
    }

    void recordHandedOnContact(TimePoint contactAt);      // the newest one that a seat holder knows of
    void recordOwnContact(TimePoint now, Duration limit); // the store answered this Vm; may make it a deputy
    void recordLoss() { m_deputySince.reset(); }          // the store doesn't answer this Vm any more
    void recordNeed(TimePoint now) { m_neededAt = now; }  // a seat holder takes changes from this Vm
    void update(TimePoint now, Duration limit);           // ends the role where the seat holders can do without

    /// Whether no contact is as new as the limit, so that this Vm has to probe the store.
    bool isBlind(TimePoint now, Duration limit) const;
    bool isDeputy() const { return m_deputySince.has_value(); }
    std::optional<TimePoint> deputySince() const { return m_deputySince; }

    /// Between two probes of one Vm, so that those of all blind Vms together stay below the limit.
    static Duration probeInterval(std::size_t vmsWithoutSeat);

private:
    TimePoint m_handedOnContactAt;
    TimePoint m_ownContactAt;
    TimePoint m_neededAt;
    std::optional<TimePoint> m_deputySince; // empty: not a deputy
};

} // namespace Pollenspoke
