// The seat holders lose a store that still answers Vms without a seat.
#include "feed_fleet.h"

#include <boost/test/unit_test.hpp>
#include <functional>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

constexpr auto settleTime = 3500ms;
constexpr auto lossBound = 6s;   // from the loss of the store, or a later change, to the change's arrival on the last Vm
constexpr auto changeBound = 2s; // of a change when the deputies are known
constexpr std::size_t plainVms = 12;

std::string join(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &it : names) {
        text += " " + it;
    }
    return text;
}

bool isSeat(std::size_t i)
{
    return i < FeedFleet::seats;
}

void setAccess(FeedFleet &fleet, StoreAccess lost, const std::function<bool(std::size_t)> &isServed)
{
    for (std::size_t i = 0; i < FeedFleet::seats + plainVms; ++i) {
        fleet.vm(i).setStoreAccess(isServed(i) ? StoreAccess::Answered : lost);
    }
}

void checkInTime(FeedFleet &fleet, const std::string &content, Duration bound)
{
    const std::vector<std::string> late = fleet.waitFor(fleet.write(content), bound);
    BOOST_TEST(late.empty(), content << ", late:" << join(late));
}

} // namespace

// VMs without a seat kept the configuration that the seat holders had, for as long as these had lost the store.
BOOST_AUTO_TEST_CASE(a_change_reaches_every_vm_although_all_seat_holders_lost_the_store)
{
    for (const StoreAccess lost : {StoreAccess::Refused, StoreAccess::Silent, StoreAccess::Swallowing}) {
        FeedFleet fleet(plainVms);
        fleet.run(settleTime);
        setAccess(fleet, lost, [](std::size_t i) { return !isSeat(i); });
        checkInTime(fleet, "after the loss", lossBound);
        checkInTime(fleet, "during the loss", changeBound);
        setAccess(fleet, lost, [](std::size_t) { return true; });
        fleet.run(200ms);
        checkInTime(fleet, "after the return", changeBound);
    }
}

// As above, if the store answers a single VM.
BOOST_AUTO_TEST_CASE(a_change_reaches_every_vm_although_one_vm_without_a_seat_alone_has_the_store)
{
    FeedFleet fleet(plainVms);
    fleet.run(settleTime);
    setAccess(fleet, StoreAccess::Refused, [](std::size_t i) { return i == FeedFleet::seats + 5; });
    checkInTime(fleet, "after the loss", lossBound);
    checkInTime(fleet, "during the loss", changeBound);
}

// As above, if the VMs that it answers change during the loss: the deputies lose it in turn.
BOOST_AUTO_TEST_CASE(a_change_reaches_every_vm_although_the_deputies_lose_the_store_too)
{
    FeedFleet fleet(plainVms);
    fleet.run(settleTime);
    setAccess(fleet, StoreAccess::Refused, [](std::size_t i) { return !isSeat(i) && i % 2 == 0; });
    checkInTime(fleet, "to even ones", lossBound);
    setAccess(fleet, StoreAccess::Refused, [](std::size_t i) { return !isSeat(i) && i % 2 == 1; });
    checkInTime(fleet, "to odd ones", lossBound);
}

// Calls are limited over all VMs, and charged: without seat holders that have the store, few others watch it.
BOOST_AUTO_TEST_CASE(the_load_on_a_store_that_the_seat_holders_lost_is_bounded)
{
    // Deputies each open a watch per 1.5 s, blind VMs send a probe a second, and seat holders try to regain the store.
    constexpr double maxCallsPerSecond = 40; // of the fleet; the store takes 2,000
    for (const bool isAnyServed : {true, false}) {
        FeedFleet fleet(plainVms);
        fleet.run(settleTime);
        const std::size_t before = fleet.storeCalls();
        setAccess(fleet, StoreAccess::Refused, [isAnyServed](std::size_t i) { return isAnyServed && !isSeat(i); });
        fleet.run(10s);
        BOOST_TEST(static_cast<double>(fleet.storeCalls() - before) < maxCallsPerSecond * 10);
    }
}

// Deputies stop watching when the seat holders have the store again.
BOOST_AUTO_TEST_CASE(vms_without_a_seat_leave_the_store_to_the_seat_holders_after_its_return)
{
    FeedFleet fleet(plainVms);
    fleet.run(settleTime);
    setAccess(fleet, StoreAccess::Refused, [](std::size_t i) { return !isSeat(i); });
    fleet.run(6s);
    setAccess(fleet, StoreAccess::Refused, [](std::size_t) { return true; });
    fleet.run(6s);
    const auto callsOfOthers = [&fleet] {
        std::size_t n = 0;
        for (std::size_t i = FeedFleet::seats; i < FeedFleet::seats + plainVms; ++i) {
            n += fleet.vm(i).storeCalls();
        }
        return n;
    };
    const std::size_t before = callsOfOthers();
    fleet.run(4s);
    BOOST_TEST(callsOfOthers() == before);
}
