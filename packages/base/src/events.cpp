#include <pollenspoke/base.h>

#include <algorithm>
#include <array>

namespace Pollenspoke {

namespace {

struct EventRow
{
    Event event;
    std::string_view name;
};

constexpr std::array eventRows{
    EventRow{Event::VmStarting, "vm_starting"},
    EventRow{Event::VmReady, "vm_ready"},
    EventRow{Event::VmLeaving, "vm_leaving"},
    EventRow{Event::VmStopped, "vm_stopped"},
    EventRow{Event::SettingsRefused, "settings_refused"},
    EventRow{Event::ListenFailed, "listen_failed"},
    EventRow{Event::SettingsChecked, "settings_checked"},
    EventRow{Event::WorkerStalled, "worker_stalled"},
    EventRow{Event::SnapshotApplied, "snapshot_applied"},
    EventRow{Event::SnapshotRefused, "snapshot_refused"},
    EventRow{Event::StoreUnavailable, "store_unavailable"},
    EventRow{Event::StoreRecovered, "store_recovered"},
    EventRow{Event::ObjectSkipped, "object_skipped"},
    EventRow{Event::StoreEraChanged, "store_era_changed"},
    EventRow{Event::DeclarationsInForce, "declarations_in_force"},
    EventRow{Event::FeedPollFailed, "feed_poll_failed"},
    EventRow{Event::StoreCallFailed, "store_call_failed"},
    EventRow{Event::DeputyRoleChanged, "deputy_role_changed"},
    EventRow{Event::RequestRefused, "request_refused"},
    EventRow{Event::AnswerDiscarded, "answer_discarded"},
    EventRow{Event::SilentConnectionsClosed, "silent_connections_closed"},
    EventRow{Event::AcceptFailed, "accept_failed"},
    EventRow{Event::AttemptFailed, "attempt_failed"},
    EventRow{Event::FailurePassedOn, "failure_passed_on"},
    EventRow{Event::RequestAborted, "request_aborted"},
    EventRow{Event::AttemptOverdue, "attempt_overdue"},
    EventRow{Event::HedgeSent, "hedge_sent"},
    EventRow{Event::TargetEjected, "target_ejected"},
    EventRow{Event::TargetReturned, "target_returned"},
    EventRow{Event::FloorReached, "floor_reached"},
    EventRow{Event::TargetListed, "target_listed"},
    EventRow{Event::TargetUnlisted, "target_unlisted"},
    EventRow{Event::TargetAnnounced, "target_announced"},
    EventRow{Event::DomainEvacuated, "domain_evacuated"},
    EventRow{Event::DomainReturned, "domain_returned"},
    EventRow{Event::AdmissionLevelChanged, "admission_level_changed"},
    EventRow{Event::TargetEntryWithheld, "target_entry_withheld"},
    EventRow{Event::QuotaReclaimed, "quota_reclaimed"},
    EventRow{Event::QuotaDenied, "quota_denied"},
    EventRow{Event::PeerSuspected, "peer_suspected"},
    EventRow{Event::PeerRecovered, "peer_recovered"},
    EventRow{Event::SeatsAssigned, "seats_assigned"},
    EventRow{Event::VmForgotten, "vm_forgotten"},
    EventRow{Event::SeatContested, "seat_contested"},
    EventRow{Event::SeatRightChanged, "seat_right_changed"},
    EventRow{Event::SeatReleased, "seat_released"},
    EventRow{Event::VmImpaired, "vm_impaired"},
};

constexpr auto sortedEvents = [] {
    std::array<Event, eventRows.size()> events{};
    for (std::size_t i = 0; i < events.size(); ++i) {
        events[i] = eventRows[i].event;
    }
    return events;
}();

} // namespace

std::string_view eventName(Event event)
{
    const auto it = std::find_if(eventRows.begin(), eventRows.end(), [event](const EventRow &row) { return row.event == event; });
    POLLENSPOKE_ASSERT(it != eventRows.end(), "add the new event to eventRows and docs/EVENTS.md");
    return it->name;
}

std::span<const Event> allEvents()
{
    return sortedEvents;
}

} // namespace Pollenspoke
