// Which targets stay while their registrations lapse, by what is known of the store.
#include <boost/test/unit_test.hpp>
#include <pollenspoke/policy.h>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

RosterEntry entryOf(const std::string &name, TargetState state = TargetState::Serving)
{
    return {.service = {"stock"}, .target = {.name = {name}, .slots = 2, .state = state}};
}

std::size_t countTargets(TargetRoster &roster, TimePoint now)
{
    const auto targets = roster.targets(now);
    const auto it = targets.find(ServiceName{"stock"});
    return it == targets.end() ? 0 : it->second.size();
}

// A roster of two targets whose store was away for `outage`, and back at the returned time.
TimePoint passOutage(TargetRoster &roster, Duration outage)
{
    const TimePoint start{1h};
    roster.replaceAll({entryOf("a"), entryOf("b")}, start);
    roster.noteStoreUnreachable(start + 1s);
    roster.noteStoreReachable(start + 1s + outage);
    return start + 1s + outage;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_removed_target_is_gone_at_once_while_the_store_is_well)
{
    TargetRoster roster;
    const TimePoint now{1h};
    roster.replaceAll({entryOf("a"), entryOf("b")}, now);
    roster.remove({"a"}, now);
    BOOST_TEST(countTargets(roster, now) == 1U);
}

BOOST_AUTO_TEST_CASE(registrations_that_lapsed_in_an_outage_keep_their_targets_for_two_seconds)
{
    TargetRoster roster;
    const TimePoint back = passOutage(roster, 9s);
    roster.replaceAll({entryOf("b")}, back);
    BOOST_TEST(countTargets(roster, back + 2s) == 2U);
    BOOST_TEST((roster.nextRemoval().value() <= back + 2500ms));
    BOOST_TEST(countTargets(roster, back + 2500ms) == 1U);
}

BOOST_AUTO_TEST_CASE(a_registration_that_comes_back_within_the_grace_stays)
{
    TargetRoster roster;
    const TimePoint back = passOutage(roster, 9s);
    roster.replaceAll({}, back);
    roster.put(entryOf("a"), back + 1s);
    BOOST_TEST(countTargets(roster, back + 3s) == 1U);
}

BOOST_AUTO_TEST_CASE(a_short_break_of_one_connection_is_no_outage)
{
    TargetRoster roster;
    const TimePoint back = passOutage(roster, 300ms);
    roster.remove({"a"}, back);
    BOOST_TEST(countTargets(roster, back) == 1U);
}

// Seen on bvf-gateway and lbl-gateway, day scale-2: a Vm cut off alone sent work to a target that had left 12 s before.
BOOST_AUTO_TEST_CASE(after_a_cut_of_this_vm_alone_what_is_gone_is_gone_at_once)
{
    TargetRoster roster;
    const TimePoint back = passOutage(roster, 12s);
    roster.replaceAll({entryOf("b")}, back);
    BOOST_TEST(countTargets(roster, back) == 2U);
    roster.noteLocalOutage(back + 100ms);
    BOOST_TEST(countTargets(roster, back + 100ms) == 1U);
    roster.remove({"b"}, back + 200ms);
    BOOST_TEST(countTargets(roster, back + 200ms) == 0U);
}
