// Selection of feed sources, caller addresses, report receivers and store watchers.
#include "members.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};

// Vms vm-0, vm-1, ... alternate between fd-a and fd-b. This Vm is "self", registered last.
Members makeMembers(std::size_t n)
{
    Members members({"self"}, {"fd-a"}, 3s);
    for (std::size_t i = 0; i <= n; ++i) {
        const FailureDomain domain{i % 2 == 0 ? "fd-a" : "fd-b"};
        const VmName name{i == n ? "self" : "vm-" + std::to_string(i)};
        const Address address{.ip = "10.0.0." + std::to_string(i + 1), .port = 80};
        members.put({name, domain, i + 1}, {.callers = address, .peers = address, .failureDomain = domain}, start);
    }
    return members;
}

bool hasVm(const std::vector<const Member *> &members, const std::string &name)
{
    return std::any_of(members.begin(), members.end(), [&name](const Member *it) { return it->name.value == name; });
}

} // namespace

// The store watchers in this Vm's failure domain are cut off from the store and haven't noticed it yet. Polling only them kept
// a withdrawn key in use for 2.5 s longer.
BOOST_AUTO_TEST_CASE(a_watcher_that_reported_a_newer_revision_is_asked_before_one_in_the_same_domain)
{
    Members members = makeMembers(40);
    for (int i = 0; i < 8; ++i) {
        members.recordReport({"vm-" + std::to_string(i)}, false, 10s, 42, start);
    }
    const auto sources = members.feedSources(42, true, start);
    BOOST_TEST(sources.size() == 2U); // those of the four store watchers that are in fd-a
    BOOST_TEST(hasVm(sources, "vm-0"));
    BOOST_TEST(!hasVm(sources, "vm-1"));
    BOOST_TEST(members.feedSources(42, false, start).size() == 4U);
    members.recordReport({"vm-3"}, false, 10s, 47, start);
    const auto newer = members.feedSources(42, true, start);
    BOOST_TEST(newer.size() == 1U);
    BOOST_TEST(hasVm(newer, "vm-3"));
}

BOOST_AUTO_TEST_CASE(a_watcher_without_store_access_or_recent_reports_is_not_asked)
{
    Members members = makeMembers(40);
    members.recordReport({"vm-0"}, false, 0s, 42, start);
    members.recordReport({"vm-2"}, false, 10s, 42, start);
    BOOST_TEST(members.feedSources(42, true, start).size() == 1U);
    BOOST_TEST(members.feedSources(42, true, start + 2s).empty());
}

BOOST_AUTO_TEST_CASE(callers_are_sent_to_live_seat_holders_in_their_failure_domain)
{
    Members members = makeMembers(40);
    BOOST_TEST(members.callerAddresses({"fd-b"}, start).size() == 4U);
    BOOST_TEST(members.callerAddresses({"elsewhere"}, start).size() == 8U);
    for (const int leaving : {1, 3, 5}) {
        members.recordReport({"vm-" + std::to_string(leaving)}, true, 10s, 1, start);
    }
    BOOST_TEST(members.callerAddresses({"fd-b"}, start).size() == 5U);                 // a single one left in fd-b: all live seat holders
    const std::vector<Address> alone = members.callerAddresses({"fd-b"}, start + 10s); // no reports from others: this Vm only
    BOOST_TEST(alone.size() == 1U);
    BOOST_TEST(alone.at(0).ip == "10.0.0.41");
}

// All-to-all status reports grow with the square of the fleet size: with 99 Vms they made up a third of all bytes between
// failure domains.
BOOST_AUTO_TEST_CASE(a_vm_without_a_seat_reports_to_seat_holders_and_its_failure_domain)
{
    const Members members = makeMembers(40);
    const std::vector<const Member *> receivers = members.reportReceivers();
    BOOST_TEST(receivers.size() == 24U); // 20 in the same failure domain and the 4 seat holders in the other
    BOOST_TEST(hasVm(receivers, "vm-38"));
    BOOST_TEST(hasVm(receivers, "vm-1"));
    BOOST_TEST(!hasVm(receivers, "vm-39"));
}

BOOST_AUTO_TEST_CASE(a_seat_holder_reports_to_all_vms)
{
    BOOST_TEST(makeMembers(7).reportReceivers().size() == 7U);
}

// If every seat holder watched the store, the cost would grow with the seats: the platform charges for each watch.
BOOST_AUTO_TEST_CASE(four_seat_holders_watch_the_store_and_are_replaced_when_they_leave_or_lose_it)
{
    Members members = makeMembers(40);
    for (int i = 0; i < 8; ++i) {
        members.recordReport({"vm-" + std::to_string(i)}, false, 10s, 42, start);
    }
    BOOST_TEST(members.watchers(start).size() == 4U);
    members.recordReport({"vm-0"}, true, 10s, 42, start);
    members.recordReport({"vm-1"}, false, 0s, 42, start);
    const std::vector<VmName> watchers = members.watchers(start);
    BOOST_TEST(watchers.size() == 4U);
    BOOST_TEST((std::find(watchers.begin(), watchers.end(), VmName{"vm-0"}) == watchers.end()));
    BOOST_TEST((std::find(watchers.begin(), watchers.end(), VmName{"vm-1"}) == watchers.end()));
}
