// Grace period for targets whose registrations lapse while the store is unreachable.
#include <boost/test/unit_test.hpp>
#include <pollenspoke/policy.h>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

RosterEntry makeEntry(const std::string &name, TargetState state = TargetState::Serving)
{
    return {.service = {"stock"}, .target = {.name = {name}, .slots = 2, .state = state}};
}

std::size_t countTargets(TargetRoster &roster, TimePoint now)
{
    const auto targets = roster.targets(now);
    const auto it = targets.find(ServiceName{"stock"});
    return it == targets.end() ? 0 : it->second.size();
}

// Fills the roster with two targets and simulates a store outage of length `outage`; returns when the store was back.
TimePoint simulateOutage(TargetRoster &roster, Duration outage)
{
    const TimePoint start{1h};
    roster.replaceAll({makeEntry("a"), makeEntry("b")}, start);
    roster.noteStoreUnreachable(start + 1s);
    roster.noteStoreReachable(start + 1s + outage);
    return start + 1s + outage;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_target_removed_while_the_store_is_reachable_is_dropped_at_once)
{
    TargetRoster roster;
    const TimePoint now{1h};
    roster.replaceAll({makeEntry("a"), makeEntry("b")}, now);
    roster.remove({"a"}, now);
    BOOST_TEST(countTargets(roster, now) == 1U);
}

BOOST_AUTO_TEST_CASE(targets_whose_registrations_lapsed_in_a_store_outage_stay_for_two_seconds)
{
    TargetRoster roster;
    const TimePoint storeBackAt = simulateOutage(roster, 9s);
    roster.replaceAll({makeEntry("b")}, storeBackAt);
    BOOST_TEST(countTargets(roster, storeBackAt + 2s) == 2U);
    BOOST_TEST((roster.nextRemoval().value() <= storeBackAt + 2500ms));
    BOOST_TEST(countTargets(roster, storeBackAt + 2500ms) == 1U);
}

BOOST_AUTO_TEST_CASE(a_target_registered_again_within_the_grace_period_stays)
{
    TargetRoster roster;
    const TimePoint storeBackAt = simulateOutage(roster, 9s);
    roster.replaceAll({}, storeBackAt);
    roster.put(makeEntry("a"), storeBackAt + 1s);
    BOOST_TEST(countTargets(roster, storeBackAt + 3s) == 1U);
}

BOOST_AUTO_TEST_CASE(a_short_store_disconnect_starts_no_grace_period)
{
    TargetRoster roster;
    const TimePoint storeBackAt = simulateOutage(roster, 300ms);
    roster.remove({"a"}, storeBackAt);
    BOOST_TEST(countTargets(roster, storeBackAt) == 1U);
}

// Guards against requests to a target that left while only this Vm was cut off from the store, here for 12 s: no registration
// lapsed then, so the target must not be kept.
BOOST_AUTO_TEST_CASE(no_grace_period_follows_an_outage_of_this_vm_alone)
{
    TargetRoster roster;
    const TimePoint storeBackAt = simulateOutage(roster, 12s);
    roster.replaceAll({makeEntry("b")}, storeBackAt);
    BOOST_TEST(countTargets(roster, storeBackAt) == 2U);
    roster.noteLocalOutage(storeBackAt + 100ms);
    BOOST_TEST(countTargets(roster, storeBackAt + 100ms) == 1U);
    roster.remove({"b"}, storeBackAt + 200ms);
    BOOST_TEST(countTargets(roster, storeBackAt + 200ms) == 0U);
}
