// Admission by rank: fleets of seat holders under load, in virtual time.
#include "load_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

std::function<double(Duration)> always(double perSecond)
{
    return [perSecond](Duration) { return perSecond; };
}

// The search deployment's `watchlist`: 81 targets with 6 slots, 33 urgent requests/s beside 118 of rank 2.
constexpr std::size_t watchlistSlots = 486;

LoadOptions watchlist(bool hasLevel = true)
{
    return {.vms = 8, .slots = watchlistSlots, .work = 1200ms, .longestWait = 400ms, .hasLevel = hasLevel};
}

double spread(const LoadFleet &fleet, std::size_t vms)
{
    double lowest = 1e9;
    double highest = -1e9;
    for (std::size_t i = 0; i < vms; ++i) {
        lowest = std::min(lowest, fleet.position(i));
        highest = std::max(highest, fleet.position(i));
    }
    return highest - lowest;
}

} // namespace

// Load: a burst of the least urgent kind, five times its usual traffic, beside urgent requests. It guards against urgent requests that
// are refused while most of the others are served.
BOOST_AUTO_TEST_CASE(burst_of_the_least_urgent_kind_does_not_displace_urgent_requests)
{
    const auto burst = [](Duration age) { return age > 5s && age < 15s ? 1200.0 : 240.0; };
    LoadFleet fleet(watchlist(),
                    {{.rank = 0, .perSecond = always(60)}, {.rank = 1, .perSecond = always(80)}, {.rank = 2, .perSecond = burst}});
    fleet.run(25s);
    BOOST_TEST(fleet.result(0).servedShare() > 0.99);
    BOOST_TEST(fleet.result(1).servedShare() > 0.98);
    BOOST_TEST(fleet.result(2).servedShare() > 0.3);                            // what is left of the slots
    BOOST_TEST(fleet.result(2).refusedAfterWait < fleet.result(2).refused / 5); // the others are refused at once, not after their wait
    BOOST_TEST(fleet.idleSlotSteps() == 0U);
    BOOST_TEST(!fleet.boundary(0).has_value()); // nothing is held back after the burst
}

// Load: urgent requests come to one Vm, 900/s of the least urgent kind to the seven others. The order of each Vm's own queue doesn't help
// there: without the level, 0.30 of the urgent requests were served and all refusals came after the longest wait.
BOOST_AUTO_TEST_CASE(urgent_requests_on_one_vm_come_before_others_elsewhere)
{
    const auto onFirst = [](std::size_t vm, Duration) { return vm == 0 ? 1.0 : 0.0; };
    const auto onOthers = [](std::size_t vm, Duration) { return vm == 0 ? 0.0 : 1.0 / 7; };
    const auto run = [&](bool hasLevel) {
        LoadFleet fleet(
            watchlist(hasLevel),
            {{.rank = 0, .perSecond = always(100), .shareOf = onFirst}, {.rank = 2, .perSecond = always(900), .shareOf = onOthers}});
        fleet.run(5s);
        fleet.resetResults();
        fleet.run(20s);
        return std::pair(fleet.result(0), fleet.result(2));
    };
    const auto [urgent, other] = run(true);
    BOOST_TEST(urgent.servedShare() > 0.98);
    BOOST_TEST(other.refusedAfterWait < other.refused / 20);
    const auto [urgentWithout, otherWithout] = run(false);
    BOOST_TEST(urgentWithout.servedShare() < 0.5); // else this load is no test of the level
    BOOST_TEST(other.served + urgent.served > 0.98 * static_cast<double>(otherWithout.served + urgentWithout.served));
}

// Guards against a level that leaves slots unused to keep them for more urgent requests.
BOOST_AUTO_TEST_CASE(slots_are_used_as_without_a_level)
{
    const auto run = [](bool hasLevel) {
        LoadFleet fleet(watchlist(hasLevel), {{.rank = 0, .perSecond = always(100)}, {.rank = 2, .perSecond = always(700)}});
        fleet.run(10s);
        fleet.resetResults();
        fleet.run(20s);
        return fleet.result(0).served + fleet.result(2).served;
    };
    const std::size_t with = run(true);
    const std::size_t without = run(false);
    BOOST_TEST(static_cast<double>(with) > 0.98 * static_cast<double>(without), with << " with, " << without << " without the level");
}

// Guards against levels that differ between Vms under load, so that the rank of a request counts less than the Vm that it comes to.
BOOST_AUTO_TEST_CASE(all_vms_have_the_same_level_within_half_a_second)
{
    const auto burst = [](Duration age) { return age > 5s ? 900.0 : 100.0; };
    const auto uneven = [](std::size_t vm, Duration) { return vm == 0 ? 0.65 : 0.05; };
    LoadFleet fleet(watchlist(), {{.rank = 0, .perSecond = always(120)}, {.rank = 2, .perSecond = burst, .shareOf = uneven}});
    fleet.run(5s);
    while (!fleet.boundary(0) && fleet.now() < TimePoint(1h) + 10s) {
        fleet.run(5ms);
    }
    BOOST_REQUIRE(fleet.boundary(0).has_value());
    fleet.run(500ms);
    std::size_t apart = 0;
    constexpr std::size_t samples = 100;
    for (std::size_t i = 0; i < samples; ++i) {
        fleet.run(100ms);
        apart += spread(fleet, 8) > 2 * AdmissionLevel::shareStep ? 1 : 0;
    }
    BOOST_TEST(apart <= 5U); // neighbouring steps of the share are the noise of views up to 200 ms apart
}

// Load: constant overload of 1.5 times. Guards against a level that swings between open and closed.
BOOST_AUTO_TEST_CASE(level_does_not_oscillate_under_constant_overload)
{
    LoadFleet fleet(watchlist(),
                    {{.rank = 0, .perSecond = always(60)}, {.rank = 1, .perSecond = always(240)}, {.rank = 2, .perSecond = always(300)}});
    fleet.run(5s);
    double lowest = 1e9;
    double highest = -1e9;
    for (int i = 0; i < 200; ++i) {
        fleet.run(100ms);
        lowest = std::min(lowest, fleet.position(3));
        highest = std::max(highest, fleet.position(3));
    }
    BOOST_TEST(lowest >= 1.5); // ranks 0 and, mostly, 1 are within the 405 starts/s
    BOOST_TEST(highest <= 3.0);
    BOOST_TEST(highest - lowest <= 1.0);
    BOOST_TEST(fleet.result(0).servedShare() > 0.99);
    BOOST_TEST(fleet.result(1).servedShare() > 0.97);
}

// Load: a whole service each of whose targets refuses 55 %. No slot is lacking, so nobody may be kept from waiting.
BOOST_AUTO_TEST_CASE(service_that_sheds_55_percent_has_no_level)
{
    LoadOptions options = watchlist();
    options.declinedShare = 0.55;
    LoadFleet fleet(options, {{.rank = 0, .perSecond = always(60)}, {.rank = 2, .perSecond = always(300)}});
    for (int i = 0; i < 100; ++i) {
        fleet.run(100ms);
        BOOST_TEST(!fleet.boundary(0).has_value());
    }
}

// Load: traffic that moves over the three failure domains in waves of 55 %. Guards against Vms that judge by their own part of it.
BOOST_AUTO_TEST_CASE(waves_over_the_domains_keep_urgent_requests_served)
{
    const auto wave = [](std::size_t vm, Duration age) {
        const double phase = 2 * 3.14159265 * (std::chrono::duration<double>(age).count() / 20 + static_cast<double>(vm % 3) / 3);
        return (1 + 0.55 * std::sin(phase)) / 9;
    };
    LoadOptions options{.vms = 9, .slots = 342, .work = 260ms, .longestWait = 300ms}; // the grocery deployment's `till`
    LoadFleet fleet(options,
                    {{.rank = 1, .perSecond = always(395), .shareOf = wave}, {.rank = 2, .perSecond = always(1300), .shareOf = wave}});
    fleet.run(40s);
    BOOST_TEST(fleet.result(1).servedShare() > 0.99);
    BOOST_TEST(fleet.result(2).servedShare() > 0.6);
    BOOST_TEST(fleet.idleSlotSteps() == 0U);
}

// Failure: loss of the Vm with most of the demand.
BOOST_AUTO_TEST_CASE(loss_of_the_vm_with_most_demand_ends_the_level_it_caused)
{
    const auto uneven = [](std::size_t vm, Duration) { return vm == 0 ? 0.72 : 0.04; };
    LoadFleet fleet(watchlist(), {{.rank = 0, .perSecond = always(60)}, {.rank = 2, .perSecond = always(900), .shareOf = uneven}});
    fleet.run(10s);
    BOOST_TEST(fleet.boundary(5).has_value());
    fleet.lose(0);
    fleet.run(DemandView::maxAge + 1500ms);
    for (std::size_t i = 1; i < 8; ++i) {
        BOOST_TEST(!fleet.boundary(i).has_value(), "Vm " << i);
    }
    fleet.resetResults();
    fleet.run(5s);
    BOOST_TEST(fleet.result(2).servedShare() > 0.99);
}

// Failure: all Vms anew under load. They use their own numbers at first.
BOOST_AUTO_TEST_CASE(all_vms_anew_protect_urgent_requests_from_the_start)
{
    LoadFleet fleet(watchlist(), {{.rank = 0, .perSecond = always(60)}, {.rank = 2, .perSecond = always(900)}});
    fleet.run(10s);
    fleet.restartAll();
    fleet.resetResults();
    fleet.run(10s);
    BOOST_TEST(fleet.result(0).servedShare() > 0.98);
    BOOST_TEST(spread(fleet, 8) <= 2 * AdmissionLevel::shareStep);
}

// Failure: a Vm that hears nobody compares its own demand with its own starts.
BOOST_AUTO_TEST_CASE(cut_off_vm_uses_its_own_numbers)
{
    DemandCounter counter;
    DemandView view;
    view.setVms({"vm-0"}, {{"vm-0"}, {"vm-1"}});
    AdmissionLevel level;
    TimePoint now{1h};
    for (int i = 0; i < 200; ++i, now += 10ms) {
        counter.noteArrival(0, {"a"}, now);
        counter.noteStarted(0, now);
        for (int k = 0; k < 3; ++k) {
            counter.noteArrival(5, {"b"}, now);
            counter.noteRefused(5, now);
        }
        if (level.isDue(now)) {
            level.update(view.ranks(counter.report(now), now), now);
        }
    }
    BOOST_TEST(view.parts(now) == 0U);
    BOOST_REQUIRE(level.boundary().has_value());
    BOOST_TEST(level.boundary()->rank == 5U);
    BOOST_TEST(level.mayWait(0, "id"));
    BOOST_TEST(!level.mayWait(6, "id"));
}

// Guards against a boundary rank of which each Vm admits other requests, or another part than the share says.
BOOST_AUTO_TEST_CASE(share_of_the_boundary_rank_is_decided_by_the_request_id)
{
    const std::vector<RankDemand> demand{{.rank = 0, .arrivals = 50, .started = 50},
                                         {.rank = 3, .arrivals = 100, .refused = 50, .started = 50},
                                         {.rank = 7, .arrivals = 100, .refused = 100}};
    AdmissionLevel first;
    AdmissionLevel second;
    first.update(demand, TimePoint(1h));
    second.update(demand, TimePoint(2h));
    BOOST_REQUIRE(first.boundary().has_value());
    BOOST_TEST((first.boundary() == second.boundary()));
    BOOST_TEST(first.boundary()->rank == 3U);
    BOOST_TEST(first.boundary()->share == 0.375);
    int admitted = 0;
    for (int i = 0; i < 1000; ++i) {
        const std::string id = "id-" + std::to_string(i);
        BOOST_TEST(first.mayWait(3, id) == second.mayWait(3, id));
        admitted += first.mayWait(3, id) ? 1 : 0;
    }
    BOOST_TEST(admitted > 300);
    BOOST_TEST(admitted < 450);
}

// Guards against a level that refuses the only rank there is: its queue is bounded by the longest wait instead.
BOOST_AUTO_TEST_CASE(most_urgent_rank_may_always_wait)
{
    AdmissionLevel level;
    level.update(std::vector<RankDemand>{{.rank = 4, .arrivals = 500, .waiting = 90, .refused = 300, .started = 10}}, TimePoint(1h));
    BOOST_TEST(!level.boundary().has_value());
    level.update(std::vector<RankDemand>{{.rank = 4, .arrivals = 500, .waiting = 90}, {.rank = 9, .arrivals = 10}}, TimePoint(1h) + 1s);
    BOOST_REQUIRE(level.boundary().has_value());
    BOOST_TEST(level.mayWait(4, "id"));
    BOOST_TEST(!level.mayWait(9, "id"));
}
