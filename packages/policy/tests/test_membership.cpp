#include "fake_fleet.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr auto sizes = {8, 40, 460};

double milliseconds(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

Duration percentile(std::vector<Duration> times, double share)
{
    std::sort(times.begin(), times.end());
    return times[static_cast<std::size_t>(share * static_cast<double>(times.size() - 1))];
}

// Time from a kill until each other Vm no longer sees the killed one live.
std::vector<Duration> detectionTimes(FakeFleet &fleet, std::size_t killed, Duration limit)
{
    const Duration start = fleet.now();
    fleet.kill(killed);
    std::vector<Duration> times;
    const std::size_t observers = fleet.size() - 1;
    while (fleet.now() - start < limit && times.size() < observers) {
        fleet.run(50ms);
        const std::size_t seen = observers - fleet.countSeeing(killed, Liveness::Live);
        times.resize(std::max(times.size(), seen), fleet.now() - start);
    }
    return times;
}

std::uint64_t suspicions(FakeFleet &fleet)
{
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        total += fleet.at(i).counts().suspicions;
    }
    return total;
}

} // namespace

BOOST_DATA_TEST_CASE(a_killed_vm_is_detected_by_all, data::make(sizes), vms)
{
    std::vector<Duration> times;
    const std::uint64_t runs = vms > 100 ? 2 : 20;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        FakeFleet fleet({.vms = static_cast<std::size_t>(vms), .seed = seed});
        fleet.run(3s);
        const auto found = detectionTimes(fleet, 1, 12s);
        BOOST_TEST(found.size() == fleet.size() - 1, "seed " << seed);
        times.insert(times.end(), found.begin(), found.end());
        fleet.run(8s);
        BOOST_TEST(fleet.countSeeing(1, Liveness::Gone) == fleet.size() - 1);
        BOOST_TEST(fleet.countSeeing(0, Liveness::Live) == fleet.size() - 2);
    }
    BOOST_TEST_MESSAGE("detection, " << vms << " Vms, " << runs << " seeds: p50 " << milliseconds(percentile(times, 0.5)) << " ms, p99 "
                                     << milliseconds(percentile(times, 0.99)) << " ms");
}

BOOST_DATA_TEST_CASE(messages_are_constant_and_bytes_nearly_so, data::make(sizes), vms)
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
    BOOST_TEST(messageRate < 6.5); // 3 pings and 3 answers
    BOOST_TEST(byteRate < 3000);   // of 10 KB/s for all control
    BOOST_TEST(suspicions(fleet) == 0U);
}

BOOST_DATA_TEST_CASE(loss_of_one_message_in_twenty_removes_nobody, data::make(sizes), vms)
{
    FakeFleet fleet({.vms = static_cast<std::size_t>(vms), .seed = 7, .loss = 0.05});
    const int seconds = vms > 100 ? 20 : 120;
    std::size_t goneSeen = 0;
    for (int i = 0; i < seconds; ++i) {
        fleet.run(1s);
        for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
            goneSeen += fleet.at(vm).countOf(Liveness::Gone);
        }
    }
    BOOST_TEST_MESSAGE("5 % loss, " << vms << " Vms: " << suspicions(fleet) << " false suspicions in " << seconds << " s, seen gone "
                                    << goneSeen << " times, " << static_cast<double>(fleet.bytes()) / vms / seconds << " B/s sent by a Vm");
    BOOST_TEST(goneSeen == 0U);
}

BOOST_AUTO_TEST_CASE(a_short_pause_is_denied_and_a_long_one_recovers)
{
    FakeFleet fleet({.vms = 8, .seed = 3});
    fleet.run(3s);
    fleet.pause(2);
    fleet.run(2500ms);
    BOOST_TEST(fleet.countSeeing(2, Liveness::Suspect) > 0U);
    fleet.resume(2);
    fleet.run(3s);
    BOOST_TEST(fleet.countSeeing(2, Liveness::Live) == 7U);
    BOOST_TEST(fleet.at(2).incarnation() > 1U);
    // The resumed Vm blames nobody for its own pause.
    BOOST_TEST(fleet.at(2).counts().suspicions == 0U);
    fleet.pause(2);
    fleet.run(15s);
    BOOST_TEST(fleet.countSeeing(2, Liveness::Gone) == 7U);
    BOOST_TEST(!fleet.mayServe(2));
    fleet.resume(2);
    fleet.run(5s);
    BOOST_TEST(fleet.countSeeing(2, Liveness::Live) == 7U);
    BOOST_TEST(fleet.mayServe(2));
}

BOOST_AUTO_TEST_CASE(a_restart_with_a_lower_incarnation_is_stale_until_it_rises)
{
    FakeFleet fleet({.vms = 8, .seed = 4});
    fleet.run(3s);
    fleet.restart(5, 9);
    fleet.run(3s);
    BOOST_TEST(fleet.countSeeing(5, Liveness::Live) == 7U);
    fleet.restart(5, 2);
    fleet.run(5s);
    BOOST_TEST(fleet.at(5).incarnation() > 9U);
    BOOST_TEST(fleet.countSeeing(5, Liveness::Live) == 7U);
    std::uint64_t stale = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        stale += fleet.at(i).counts().staleMessages;
    }
    BOOST_TEST(stale > 0U);
}

BOOST_AUTO_TEST_CASE(a_vm_that_hears_but_is_not_heard_is_gone_and_stops)
{
    FakeFleet fleet({.vms = 8, .seed = 5});
    fleet.run(3s);
    fleet.setHearsStore([](std::size_t vm) { return vm != 0; });
    fleet.setCut([](std::size_t from, std::size_t) { return from == 0; });
    fleet.run(12s);
    BOOST_TEST(fleet.countSeeing(0, Liveness::Gone) == 7U);
    BOOST_TEST(!fleet.mayServe(0));
    fleet.setCut([](std::size_t, std::size_t) { return false; });
    fleet.run(5s);
    BOOST_TEST(fleet.countSeeing(0, Liveness::Live) == 7U);
    BOOST_TEST(fleet.mayServe(0));
}

BOOST_AUTO_TEST_CASE(one_dead_link_in_one_direction_makes_nobody_suspect)
{
    FakeFleet fleet({.vms = 8, .seed = 6});
    fleet.setCut([](std::size_t from, std::size_t to) { return from == 0 && to == 1; });
    fleet.run(30s);
    BOOST_TEST(suspicions(fleet) == 0U);
    BOOST_TEST(fleet.countSeeing(0, Liveness::Live) == 7U);
    BOOST_TEST(fleet.countSeeing(1, Liveness::Live) == 7U);
}

BOOST_AUTO_TEST_CASE(a_vm_off_the_list_learns_it_from_its_peers)
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
    // The lagging list of the same Vm can't undo it; a newer one can.
    fleet.setListed(3, true);
    fleet.deliverLists();
    fleet.run(3s);
    BOOST_TEST(fleet.mayServe(3));
    BOOST_TEST(fleet.countSeeing(3, Liveness::Live) == 7U);
}

BOOST_AUTO_TEST_CASE(half_the_fleet_on_an_older_list_keeps_its_majority)
{
    FakeFleet fleet({.vms = 40, .seed = 9});
    fleet.run(3s);
    fleet.kill(39);
    fleet.setListed(39, false);
    for (std::size_t i = 0; i < 20; ++i) {
        fleet.deliverList(i);
    }
    fleet.setHearsStore([](std::size_t) { return false; });
    fleet.run(20s);
    for (std::size_t i = 0; i < 39; ++i) {
        BOOST_TEST(fleet.mayServe(i), "Vm " << i);
    }
}

BOOST_AUTO_TEST_CASE(updates_in_a_message_stay_bounded_when_half_the_fleet_goes)
{
    FakeFleet fleet({.vms = 40, .seed = 10});
    fleet.run(3s);
    for (std::size_t i = 20; i < 40; ++i) {
        fleet.kill(i);
    }
    std::size_t largest = 0;
    for (int i = 0; i < 100; ++i) {
        fleet.run(100ms);
        const PeerNews news = fleet.at(0).makeNews(fleet.name(1), TimePoint(1000000s));
        largest = std::max(largest, news.updates.size());
    }
    BOOST_TEST(largest > 0U);
    BOOST_TEST(largest <= 17U);
    for (std::size_t i = 20; i < 40; ++i) {
        BOOST_TEST(fleet.countSeeing(i, Liveness::Live) == 0U);
    }
}
