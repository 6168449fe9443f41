// Announcements of targets in virtual time: whom they bind, for how long, and what other Vms make of them.
#include <boost/test/unit_test.hpp>
#include <pollenspoke/policy.h>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint now{1h};

std::vector<Target> makeTargets(std::size_t n, std::uint64_t incarnation = 5)
{
    std::vector<Target> targets;
    for (std::size_t i = 0; i < n; ++i) {
        targets.push_back({.name = {"t" + std::to_string(i)},
                           .address = {.ip = "10.0.0.1", .port = static_cast<std::uint16_t>(8000 + i)},
                           .slots = 1000,
                           .incarnation = incarnation});
    }
    return targets;
}

TargetInstance instanceOf(const Target &target)
{
    return {.name = target.name, .address = target.address, .incarnation = target.incarnation};
}

std::size_t countChoices(ServiceBalancer &balancer, const std::string &name, TimePoint at, int requests = 200)
{
    Generator generator(3);
    std::size_t n = 0;
    for (int i = 0; i < requests; ++i) {
        const std::optional<Target> target = balancer.choose({.limit = 10000}, at, generator);
        if (target) {
            n += target->name.value == name ? 1 : 0;
            balancer.end(target->name, AttemptEnd::Abandoned, 0ms, at, at);
        }
    }
    return n;
}

ServiceBalancer makeBalancer(const std::vector<Target> &targets)
{
    ServiceBalancer balancer;
    balancer.setTargets(targets, now);
    return balancer;
}

} // namespace

// The floor that keeps failing targets in use brought back targets that had announced their leaving.
BOOST_AUTO_TEST_CASE(no_floor_brings_back_a_target_that_announced_its_leaving)
{
    const std::vector<Target> targets = makeTargets(4);
    ServiceBalancer balancer = makeBalancer(targets);
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(balancer.announce(instanceOf(targets[i]), {.isLeaving = true}, now));
        BOOST_TEST(!balancer.announce(instanceOf(targets[i]), {.isLeaving = true}, now)); // no news
    }
    BOOST_TEST(countChoices(balancer, "t3", now + 1h) == 200U);
    balancer.announce(instanceOf(targets[3]), {.isLeaving = true}, now);
    BOOST_TEST(!balancer.opensAt(now).has_value());
    BOOST_TEST(balancer.usableSlots(now) == 0U);
    BOOST_TEST(countChoices(balancer, "t0", now + 24h) == 0U);
}

// A registration that lapsed and came back, or an older copy of the list, made a leaving target look new.
BOOST_AUTO_TEST_CASE(only_a_later_incarnation_ends_an_announced_leaving)
{
    const std::vector<Target> targets = makeTargets(2);
    ServiceBalancer balancer = makeBalancer(targets);
    balancer.announce(instanceOf(targets[0]), {.isLeaving = true}, now);
    balancer.setTargets({targets[1]}, now + 1s); // lapsed
    balancer.setTargets(targets, now + 2s);      // and back
    BOOST_TEST(countChoices(balancer, "t0", now + 2s) == 0U);
    std::vector<Target> older = targets;
    older[0].incarnation = 4;
    balancer.setTargets(older, now + 3s);
    BOOST_TEST(countChoices(balancer, "t0", now + 3s) == 0U);
    std::vector<Target> later = targets;
    later[0].incarnation = 6;
    balancer.setTargets(later, now + 4s);
    BOOST_TEST(countChoices(balancer, "t0", now + 4s) > 0U);
    balancer.announce(instanceOf(targets[0]), {.isLeaving = true}, now + 5s); // late answer of the earlier one
    BOOST_TEST(countChoices(balancer, "t0", now + 5s) > 0U);
}

// An address is given to another target, or another service, seconds after its target left.
BOOST_AUTO_TEST_CASE(another_target_at_the_address_is_not_held_back)
{
    std::vector<Target> targets = makeTargets(1);
    ServiceBalancer balancer = makeBalancer(targets);
    balancer.announce(instanceOf(targets[0]), {.isLeaving = true, .pause = 1h}, now);
    targets[0].name = {"successor"};
    balancer.setTargets(targets, now + 1s);
    BOOST_TEST(countChoices(balancer, "successor", now + 1s) == 200U);
}

BOOST_AUTO_TEST_CASE(a_pause_ends_at_the_latest_time_asked_for_or_with_its_incarnation)
{
    std::vector<Target> targets = makeTargets(1);
    ServiceBalancer balancer = makeBalancer(targets);
    balancer.announce(instanceOf(targets[0]), {.pause = 3s}, now);
    balancer.announce(instanceOf(targets[0]), {.pause = 1s}, now + 100ms);
    BOOST_TEST((balancer.opensAt(now + 200ms) == now + 3s));
    BOOST_TEST(countChoices(balancer, "t0", now + 2999ms) == 0U);
    BOOST_TEST(countChoices(balancer, "t0", now + 3s) == 200U);
    balancer.announce(instanceOf(targets[0]), {.pause = 1h}, now + 4s);
    BOOST_TEST(countChoices(balancer, "t0", now + 5s) == 0U);
    targets[0].incarnation = 6;
    balancer.setTargets(targets, now + 6s);
    BOOST_TEST(countChoices(balancer, "t0", now + 6s) == 200U);
}

// One Vm that is wrong about a target must not take it away from all others.
BOOST_AUTO_TEST_CASE(one_report_of_leaving_is_a_preference_and_two_are_a_pause)
{
    const std::vector<Target> targets = makeTargets(3);
    ServiceBalancer observer = makeBalancer(targets);
    observer.announce(instanceOf(targets[0]), {.isLeaving = true}, now);
    const std::vector<TargetObservation> reports = observer.observations(now);
    BOOST_REQUIRE(reports.size() == 1U);
    BOOST_TEST((reports[0].leavingIncarnation == std::optional<std::uint64_t>(5)));

    ServiceBalancer other = makeBalancer(targets);
    other.applyObservations({"vm-1"}, reports, true, now);
    BOOST_TEST(other.usableSlots(now) == 3000U); // still counts, and is used if the others are full
    other.applyObservations({"vm-2"}, reports, true, now);
    BOOST_TEST(other.usableSlots(now) == 2000U);
    BOOST_TEST(countChoices(other, "t0", now) == 0U);
    BOOST_TEST(countChoices(other, "t0", now + 1h) > 0U); // reports expire; only the target's own word lasts

    std::vector<Target> later = targets;
    later[0].incarnation = 6;
    other.setTargets(later, now);
    other.applyObservations({"vm-1"}, reports, true, now);
    other.applyObservations({"vm-2"}, reports, true, now);
    BOOST_TEST(other.usableSlots(now) == 3000U); // the reports are about an earlier incarnation
}

// If every Vm reported every target, all of them would be out of use.
BOOST_AUTO_TEST_CASE(reports_of_leaving_respect_the_floor)
{
    const std::vector<Target> targets = makeTargets(4);
    ServiceBalancer observer = makeBalancer(targets);
    for (const Target &it : targets) {
        observer.announce(instanceOf(it), {.isLeaving = true}, now);
    }
    ServiceBalancer other = makeBalancer(targets);
    for (const std::string vm : {"vm-1", "vm-2", "vm-3"}) {
        other.applyObservations({vm}, observer.observations(now), true, now);
    }
    BOOST_TEST(other.opensAt(now).has_value());
    std::size_t n = 0;
    for (const Target &it : targets) {
        n += countChoices(other, it.name.value, now, 50);
    }
    BOOST_TEST(n > 0U);
}

// Targets come and go for months.
BOOST_AUTO_TEST_CASE(announcements_of_targets_that_are_gone_are_bounded)
{
    ServiceBalancer balancer;
    const std::vector<Target> listed = makeTargets(1);
    balancer.setTargets(listed, now);
    balancer.announce(instanceOf(listed[0]), {.isLeaving = true}, now);
    for (int i = 0; i < 5000; ++i) {
        balancer.announce({.name = {"gone-" + std::to_string(i)}, .incarnation = 5}, {.isLeaving = true}, now + 1ms * (i + 1));
    }
    balancer.setTargets(listed, now + 1h);
    BOOST_TEST(!balancer.accepts(instanceOf(listed[0]), now + 1h)); // listed ones are kept
    BOOST_TEST(!balancer.accepts({.name = {"gone-4999"}, .incarnation = 5}, now + 1h));
    BOOST_TEST(balancer.accepts({.name = {"gone-0"}, .incarnation = 5}, now + 1h));
}
