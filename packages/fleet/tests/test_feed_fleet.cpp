// How soon a change of the store reaches every Vm of a fleet, with faults of the Vms and links on its way. The shortest bound of the users'
// deployments is 2 s from the store's acknowledgement to a VM in force.
#include "feed_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

constexpr auto bound = 2s;
constexpr auto settleTime = 3500ms;                // after the start, until all Vms have found their sources
constexpr double narrowLink = 12e6 / 8;            // bytes/s; of the smallest VMs of the users' largest deployment
constexpr std::size_t largeConfiguration = 350000; // bytes; about 1,500 routes

// Routes differ in a few characters each.
std::string makeRoutes(std::size_t bytes)
{
    std::string text;
    for (int i = 0; text.size() < bytes; ++i) {
        text += R"({\"name\":\"r-)" + std::to_string(i * 7919 % 10007)
            + R"(\",\"route-type\":\"unsafe\",\"target-latency-ms\":1200,\"priority\":1,)" + R"(\"match\":{\"path-prefix\":\"/p)"
            + std::to_string(i * 104729 % 1000003)
            + R"(/\"},\"action\":{\"service\":\"dat-hang\",\"timeout-ms\":8000,\"max-attempts\":2}},)";
    }
    return text;
}

std::string makeRandomText(std::size_t bytes)
{
    std::mt19937_64 generator(7);
    std::string text;
    while (text.size() < bytes) {
        text += static_cast<char>('!' + generator() % 90);
    }
    return text;
}

std::string join(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &it : names) {
        text += " " + it;
    }
    return text;
}

void checkInTime(FeedFleet &fleet, std::uint64_t revision, const std::set<std::string> &except = {})
{
    const std::vector<std::string> late = fleet.waitFor(revision, bound, except);
    BOOST_TEST(late.empty(), "late:" << join(late));
}

} // namespace

BOOST_AUTO_TEST_CASE(a_change_reaches_every_vm_in_time)
{
    FeedFleet fleet(8);
    fleet.run(settleTime);
    checkInTime(fleet, fleet.write("one"));
    checkInTime(fleet, fleet.write("two"));
}

// Most seat holders are killed at the moment of a change. VMs that polled dead ones in turn applied it late: each such poll cost the whole
// interval.
BOOST_AUTO_TEST_CASE(a_change_reaches_every_vm_in_time_although_most_seat_holders_died)
{
    FeedFleet fleet(10);
    fleet.run(settleTime);
    std::set<std::string> dead;
    for (const std::size_t i : {0, 2, 3, 4, 6, 7}) {
        fleet.vm(i).kill();
        dead.insert(fleet.vm(i).name());
    }
    checkInTime(fleet, fleet.write("after the kill"), dead);
}

// All store watchers are killed at the moment of a change, and nobody else watches the store yet.
BOOST_AUTO_TEST_CASE(a_change_reaches_every_vm_in_time_although_all_store_watchers_died)
{
    FeedFleet fleet(10);
    fleet.run(settleTime);
    std::set<std::string> dead;
    for (const std::size_t i : {0, 1, 2, 3}) {
        BOOST_TEST(fleet.vm(i).isWatcher(std::chrono::steady_clock::now()));
        fleet.vm(i).kill();
        dead.insert(fleet.vm(i).name());
    }
    checkInTime(fleet, fleet.write("after the kill"), dead);
}

// The watcher of a failure domain is cut from the store, silently, and hands on what it has as if it were fresh. VMs of its domain, which
// poll it two times in three, applied a change late.
BOOST_AUTO_TEST_CASE(a_change_reaches_every_vm_in_time_although_the_watcher_of_its_domain_lost_the_store)
{
    FeedFleet fleet(12);
    fleet.run(settleTime);
    fleet.vm(0).setStoreAccess(StoreAccess::Silent);
    fleet.run(50ms);
    checkInTime(fleet, fleet.write("after the cut"));
}

// Replies of some hundred kilobytes take longer on a narrow link than a poll waited for them, so that they never counted.
BOOST_AUTO_TEST_CASE(a_large_configuration_reaches_every_vm_in_time_over_narrow_links)
{
    FeedFleet fleet(10);
    for (FeedVm &it : fleet.vms()) {
        it.setReplyRate(narrowLink);
    }
    fleet.run(settleTime);
    checkInTime(fleet, fleet.write(makeRoutes(largeConfiguration)));
    checkInTime(fleet, fleet.write(makeRoutes(largeConfiguration + 1000)));
}

// As above, with content that can't be made smaller.
BOOST_AUTO_TEST_CASE(a_reply_that_arrives_late_counts)
{
    FeedFleet fleet(1);
    for (FeedVm &it : fleet.vms()) {
        it.setReplyRate(narrowLink);
    }
    fleet.run(settleTime);
    const std::size_t callsBefore = fleet.vm(FeedFleet::seats).storeCalls();
    const std::uint64_t revision = fleet.write(makeRandomText(largeConfiguration));
    BOOST_TEST(fleet.waitFor(revision, bound).empty());
    BOOST_TEST(fleet.vm(FeedFleet::seats).storeCalls() == callsBefore); // it came from another VM
}

// Guards against a Vm that starts while the store is away and never learns of the evacuations, which the other Vms know.
BOOST_AUTO_TEST_CASE(a_vm_that_the_store_does_not_answer_lists_a_kept_kind_at_another_vm)
{
    constexpr std::size_t latecomer = FeedFleet::seats;
    FeedFleet fleet(2);
    for (FeedVm &it : fleet.vms()) {
        it.keepContents();
    }
    fleet.write("first");
    fleet.vm(latecomer).setStoreAccess(StoreAccess::Refused);
    fleet.run(std::chrono::milliseconds(5000));
    const std::optional<DocumentList> &listed = fleet.vm(latecomer).listed();
    BOOST_REQUIRE(listed.has_value());
    BOOST_REQUIRE(listed->items.size() == 1U);
    BOOST_TEST(listed->items.front().name == "main");
    BOOST_TEST((listed->position == fleet.history().position()));
    const std::uint64_t revision = fleet.write("second");
    BOOST_TEST(fleet.waitFor(revision, std::chrono::seconds(3)).empty());
}
