// Failure detection and membership in a simulated fleet, in virtual time.
#include "fake_fleet.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr auto fleetSizes = {8, 40, 460};

double milliseconds(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

Duration percentile(std::vector<Duration> times, double quantile)
{
    std::sort(times.begin(), times.end());
    return times[static_cast<std::size_t>(quantile * static_cast<double>(times.size() - 1))];
}

// For each other Vm, the time from the kill until it no longer considers the killed Vm live.
std::vector<Duration> detectionTimes(FakeFleet &fleet, std::size_t killed, Duration limit)
{
    const Duration start = fleet.now();
    fleet.kill(killed);
    std::vector<Duration> times;
    const std::size_t observers = fleet.size() - 1;
    while (fleet.now() - start < limit && times.size() < observers) {
        fleet.run(50ms);
        const std::size_t detected = observers - fleet.countObservers(killed, Liveness::Live);
        times.resize(std::max(times.size(), detected), fleet.now() - start);
    }
    return times;
}

std::uint64_t totalSuspicions(FakeFleet &fleet)
{
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        total += fleet.at(i).counts().suspicions;
    }
    return total;
}

} // namespace

BOOST_DATA_TEST_CASE(a_killed_vm_is_detected_by_every_other_vm, data::make(fleetSizes), vms)
{
    std::vector<Duration> times;
    const std::uint64_t runs = vms > 100 ? 2 : 20;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        FakeFleet fleet({.vms = static_cast<std::size_t>(vms), .seed = seed});
        fleet.run(3s);
        const auto detectedAfter = detectionTimes(fleet, 1, 12s);
        BOOST_TEST(detectedAfter.size() == fleet.size() - 1, "seed " << seed);
        times.insert(times.end(), detectedAfter.begin(), detectedAfter.end());
        fleet.run(8s);
        BOOST_TEST(fleet.countObservers(1, Liveness::Gone) == fleet.size() - 1);
        BOOST_TEST(fleet.countObservers(0, Liveness::Live) == fleet.size() - 2);
    }
    BOOST_TEST_MESSAGE("detection, " << vms << " Vms, " << runs << " seeds: p50 " << milliseconds(percentile(times, 0.5)) << " ms, p99 "
                                     << milliseconds(percentile(times, 0.99)) << " ms");
}

BOOST_DATA_TEST_CASE(message_and_byte_rates_per_vm_are_bounded_at_any_fleet_size, data::make(fleetSizes), vms)
{
    FakeFleet fleet({.vms = static_cast<std::size_t>(vms), .seed = 1});
    fleet.run(2s);
    const std::uint64_t messages = fleet.messages();
    const std::uint64_t bytes = fleet.bytes();
    const std::uint64_t storeCalls = fleet.storeCalls();
    constexpr double seconds = 10;
    fleet.run(10s);
    const double perVm = seconds * vms;
    const double messageRate = static_cast<double>(fleet.messages() - messages) / perVm;
    const double byteRate = static_cast<double>(fleet.bytes() - bytes) / perVm;
    BOOST_TEST_MESSAGE("cost, " << vms << " Vms: " << messageRate << " messages/s, " << byteRate << " B/s sent by a Vm, "
                                << static_cast<double>(fleet.storeCalls() - storeCalls) / seconds << " store calls/s by all");
    BOOST_TEST(messageRate < 6.5); // 3 pings and 3 answers per Vm and second
    BOOST_TEST(byteRate < 3000);   // part of the 10 KB/s allowed for all control traffic
    BOOST_TEST(totalSuspicions(fleet) == 0U);
}

BOOST_DATA_TEST_CASE(five_percent_message_loss_removes_no_vm, data::make(fleetSizes), vms)
{
    FakeFleet fleet({.vms = static_cast<std::size_t>(vms), .seed = 7, .loss = 0.05});
    const int seconds = vms > 100 ? 20 : 120;
    std::size_t goneSightings = 0;
    for (int i = 0; i < seconds; ++i) {
        fleet.run(1s);
        for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
            goneSightings += fleet.at(vm).countOf(Liveness::Gone);
        }
    }
    BOOST_TEST_MESSAGE("5 % loss, " << vms << " Vms: " << totalSuspicions(fleet) << " false suspicions in " << seconds << " s, seen gone "
                                    << goneSightings << " times, " << static_cast<double>(fleet.bytes()) / vms / seconds
                                    << " B/s sent by a Vm");
    BOOST_TEST(goneSightings == 0U);
}

BOOST_AUTO_TEST_CASE(a_briefly_paused_vm_refutes_suspicion_and_a_long_paused_one_rejoins)
{
    FakeFleet fleet({.vms = 8, .seed = 3});
    fleet.run(3s);
    fleet.pause(2);
    fleet.run(2500ms);
    BOOST_TEST(fleet.countObservers(2, Liveness::Suspect) > 0U);
    fleet.resume(2);
    fleet.run(3s);
    BOOST_TEST(fleet.countObservers(2, Liveness::Live) == 7U);
    BOOST_TEST(fleet.at(2).incarnation() > 1U);
    // The resumed Vm suspects no other Vm because of its own pause.
    BOOST_TEST(fleet.at(2).counts().suspicions == 0U);
    fleet.pause(2);
    fleet.run(15s);
    BOOST_TEST(fleet.countObservers(2, Liveness::Gone) == 7U);
    BOOST_TEST(!fleet.mayServe(2));
    fleet.resume(2);
    fleet.run(5s);
    BOOST_TEST(fleet.countObservers(2, Liveness::Live) == 7U);
    BOOST_TEST(fleet.mayServe(2));
}

BOOST_AUTO_TEST_CASE(a_vm_restarted_with_a_lower_incarnation_is_stale_until_it_raises_it)
{
    FakeFleet fleet({.vms = 8, .seed = 4});
    fleet.run(3s);
    fleet.restart(5, 9);
    fleet.run(3s);
    BOOST_TEST(fleet.countObservers(5, Liveness::Live) == 7U);
    fleet.restart(5, 2);
    fleet.run(5s);
    BOOST_TEST(fleet.at(5).incarnation() > 9U);
    BOOST_TEST(fleet.countObservers(5, Liveness::Live) == 7U);
    std::uint64_t stale = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        stale += fleet.at(i).counts().staleMessages;
    }
    BOOST_TEST(stale > 0U);
}

BOOST_AUTO_TEST_CASE(a_vm_that_can_receive_but_not_send_is_declared_gone_and_stops_serving)
{
    FakeFleet fleet({.vms = 8, .seed = 5});
    fleet.run(3s);
    fleet.setStoreReachable([](std::size_t vm) { return vm != 0; });
    fleet.setLinkDown([](std::size_t from, std::size_t) { return from == 0; });
    fleet.run(12s);
    BOOST_TEST(fleet.countObservers(0, Liveness::Gone) == 7U);
    BOOST_TEST(!fleet.mayServe(0));
    fleet.setLinkDown([](std::size_t, std::size_t) { return false; });
    fleet.run(5s);
    BOOST_TEST(fleet.countObservers(0, Liveness::Live) == 7U);
    BOOST_TEST(fleet.mayServe(0));
}

BOOST_AUTO_TEST_CASE(a_one_way_link_failure_causes_no_suspicion)
{
    FakeFleet fleet({.vms = 8, .seed = 6});
    fleet.setLinkDown([](std::size_t from, std::size_t to) { return from == 0 && to == 1; });
    fleet.run(30s);
    BOOST_TEST(totalSuspicions(fleet) == 0U);
    BOOST_TEST(fleet.countObservers(0, Liveness::Live) == 7U);
    BOOST_TEST(fleet.countObservers(1, Liveness::Live) == 7U);
}

BOOST_AUTO_TEST_CASE(a_vm_removed_from_the_list_learns_it_from_its_peers)
{
    FakeFleet fleet({.vms = 8, .seed = 8});
    fleet.run(3s);
    fleet.setListed(3, false);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (i != 3) {
            fleet.deliverList(i);
        }
    }
    BOOST_TEST(fleet.mayServe(3));
    fleet.run(1s);
    BOOST_TEST((fleet.freshness(3).state == FreshnessState::NotListed));
    BOOST_TEST(!fleet.mayServe(3));
    // The outdated list that Vm 3 still holds does not override this; a newer list with Vm 3 on it does.
    fleet.setListed(3, true);
    fleet.deliverLists();
    fleet.run(3s);
    BOOST_TEST(fleet.mayServe(3));
    BOOST_TEST(fleet.countObservers(3, Liveness::Live) == 7U);
}

BOOST_AUTO_TEST_CASE(the_majority_holds_while_half_the_fleet_has_an_older_list)
{
    FakeFleet fleet({.vms = 40, .seed = 9});
    fleet.run(3s);
    fleet.kill(39);
    fleet.setListed(39, false);
    for (std::size_t i = 0; i < 20; ++i) {
        fleet.deliverList(i);
    }
    fleet.setStoreReachable([](std::size_t) { return false; });
    fleet.run(20s);
    for (std::size_t i = 0; i < 39; ++i) {
        BOOST_TEST(fleet.mayServe(i), "Vm " << i);
    }
}

BOOST_AUTO_TEST_CASE(updates_per_message_stay_bounded_when_half_the_fleet_dies)
{
    FakeFleet fleet({.vms = 40, .seed = 10});
    fleet.run(3s);
    for (std::size_t i = 20; i < 40; ++i) {
        fleet.kill(i);
    }
    std::size_t mostUpdates = 0;
    for (int i = 0; i < 100; ++i) {
        fleet.run(100ms);
        const PeerNews message = fleet.at(0).makeNews(fleet.name(1), TimePoint(1000000s));
        mostUpdates = std::max(mostUpdates, message.updates.size());
    }
    BOOST_TEST(mostUpdates > 0U);
    BOOST_TEST(mostUpdates <= 17U);
    for (std::size_t i = 20; i < 40; ++i) {
        BOOST_TEST(fleet.countObservers(i, Liveness::Live) == 0U);
    }
}
