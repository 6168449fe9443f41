// Selection of feed sources, caller addresses, report receivers and store watchers.
#include "members.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <charconv>
#include <set>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};

// Vms vm-0, vm-1, ... alternate between fd-a and fd-b. This Vm is "self", registered last; with a seat if there are at most 7 others.
Members makeMembers(std::size_t n)
{
    Members members({"self"}, {"fd-a"}, 3s);
    for (std::size_t i = 0; i <= n; ++i) {
        const FailureDomain domain{i % 2 == 0 ? "fd-a" : "fd-b"};
        const VmName name{i == n ? "self" : "vm-" + std::to_string(i)};
        const Address address{.ip = "10.0.0." + std::to_string(i + 1), .port = 80};
        members.put({name, domain, {1, i + 1}}, {.callers = address, .peers = address, .failureDomain = domain}, start);
    }
    return members;
}

// The same with this Vm registered first, so that it has a seat.
Members makeMembersWithSeat(std::size_t n)
{
    Members members = makeMembers(n);
    const Address address{.ip = "10.0.0.250", .port = 80};
    members.put({{"self"}, {"fd-a"}, {}}, {.callers = address, .peers = address, .failureDomain = {"fd-a"}}, start);
    return members;
}

// A fleet of 443 Vms over six failure domains, three strong ones in each. This Vm is `self`.
constexpr std::size_t largeFleetSize = 443;

Members makeLargeFleet(const std::string &self)
{
    const auto domainOf = [](std::size_t i) { return FailureDomain{"fd-" + std::to_string(i % 6)}; };
    std::size_t selfIndex = 0;
    std::from_chars(self.data() + 3, self.data() + self.size(), selfIndex);
    Members members({self}, domainOf(selfIndex), 3s);
    for (std::size_t i = 0; i < largeFleetSize; ++i) {
        const Address address{.ip = "10.0.0.1", .port = 80};
        const std::uint32_t millicores = i < 18 ? 500 : 100;
        members.put({{"vm-" + std::to_string(i)}, domainOf(i), {1, i + 1}, millicores},
                    {.callers = address, .peers = address, .failureDomain = domainOf(i), .millicores = millicores},
                    start);
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
    Members members = makeMembersWithSeat(40);
    members.setStoreAccess(false);
    for (int i = 0; i < 8; ++i) {
        members.recordReport({"vm-" + std::to_string(i)}, false, 10s, {1, 42}, start);
    }
    const auto sources = members.feedSources({1, 42}, true, start);
    BOOST_TEST(sources.size() == 2U); // those of the four store watchers that are in fd-a
    BOOST_TEST(hasVm(sources, "vm-0"));
    BOOST_TEST(!hasVm(sources, "vm-1"));
    BOOST_TEST(members.feedSources({1, 42}, false, start).size() == 4U);
    members.recordReport({"vm-3"}, false, 10s, {1, 47}, start);
    const auto newer = members.feedSources({1, 42}, true, start);
    BOOST_TEST(newer.size() == 1U);
    BOOST_TEST(hasVm(newer, "vm-3"));
}

BOOST_AUTO_TEST_CASE(watchers_with_store_access_come_before_those_without)
{
    Members members = makeMembersWithSeat(40);
    members.setStoreAccess(false);
    members.recordReport({"vm-0"}, false, 0s, {1, 42}, start);
    for (const int i : {3, 4, 5, 7}) {
        members.recordReport({"vm-" + std::to_string(i)}, false, 10s, {1, 42}, start);
    }
    const std::vector<VmName> watchers = members.watchers(start);
    BOOST_TEST((std::set<VmName>(watchers.begin(), watchers.end()) == std::set<VmName>{{"vm-3"}, {"vm-4"}, {"vm-5"}, {"vm-7"}}));
}

// Pattern: the store is away for all. If every seat holder, or every Vm without a source, called the store again and again, the
// refused calls of 443 Vms would cost more than all others of the day.
BOOST_AUTO_TEST_CASE(four_seat_holders_try_the_store_while_nobody_reaches_it)
{
    Members members = makeMembersWithSeat(40);
    members.setStoreAccess(false);
    for (int i = 0; i < 8; ++i) {
        members.recordReport({"vm-" + std::to_string(i)}, false, 0s, {1, 42}, start);
    }
    BOOST_TEST(members.watchers(start).size() == 4U);
    BOOST_TEST((members.watchers(start) == std::vector<VmName>{{"self"}, {"vm-1"}, {"vm-0"}, {"vm-3"}}));
}

// Pattern: the store turns a third of the Vms away and changes the configuration meanwhile. A watcher that went on watching, or that others
// went on polling, kept all Vms behind it on the old configuration.
BOOST_AUTO_TEST_CASE(a_seat_holder_that_the_store_turned_away_polls_those_that_reach_it)
{
    Members members = makeMembersWithSeat(40);
    members.setStoreAccess(false);
    members.recordReport({"vm-0"}, false, 0s, {1, 42}, start);
    members.recordReport({"vm-1"}, false, 10s, {1, 42}, start);
    members.recordReport({"vm-5"}, false, 10s, {1, 42}, start);
    const std::vector<const Member *> sources = members.feedSources({1, 42}, false, start);
    BOOST_TEST(sources.size() == 2U);
    BOOST_TEST(hasVm(sources, "vm-1"));
    BOOST_TEST(hasVm(sources, "vm-5"));
    BOOST_TEST((members.watchers(start) == std::vector<VmName>{{"vm-1"}, {"vm-5"}}));
}

BOOST_AUTO_TEST_CASE(a_watcher_without_recent_reports_is_not_asked_while_another_has_some)
{
    Members members = makeMembersWithSeat(40);
    members.setStoreAccess(false);
    members.recordReport({"vm-1"}, false, 10s, {1, 42}, start);
    members.recordReport({"vm-5"}, false, 10s, {1, 42}, start + 2s);
    const std::vector<const Member *> sources = members.feedSources({1, 42}, false, start + 2s);
    BOOST_TEST(sources.size() == 1U);
    BOOST_TEST(hasVm(sources, "vm-5"));
}

BOOST_AUTO_TEST_CASE(a_vm_that_knows_no_live_seat_holder_asks_all_of_them)
{
    const Members members = makeMembers(40);
    BOOST_TEST(members.feedSources({1, 42}, false, start + 1h).size() == 8U);
}

BOOST_AUTO_TEST_CASE(callers_are_sent_to_live_seat_holders_in_their_failure_domain)
{
    Members members = makeMembers(40);
    BOOST_TEST(members.callerAddresses({"fd-b"}, start).size() == 4U);
    BOOST_TEST(members.callerAddresses({"elsewhere"}, start).size() == 8U);
    for (const int leaving : {1, 3, 5}) {
        members.recordReport({"vm-" + std::to_string(leaving)}, true, 10s, {1, 1}, start);
    }
    BOOST_TEST(members.callerAddresses({"fd-b"}, start).size() == 5U);                 // a single one left in fd-b: all live seat holders
    const std::vector<Address> alone = members.callerAddresses({"fd-b"}, start + 10s); // no reports from others: this Vm only
    BOOST_TEST(alone.size() == 1U);
    BOOST_TEST(alone.at(0).ip == "10.0.0.41");
}

// Pattern: 165 Vms in three domains, 8 seats: two large Vms in each domain and two small ones, which got the same share of the callers.
BOOST_AUTO_TEST_CASE(small_seat_holders_keep_their_seats_but_callers_are_sent_to_the_large_ones)
{
    Members members({"vm-0"}, {"fd-0"}, 3s);
    for (std::size_t i = 0; i < 165; ++i) {
        const bool isLarge = i < 6;
        const FailureDomain domain{"fd-" + std::to_string(i % 3)};
        const Address address{.ip = "10.0.0." + std::to_string(i), .port = 80};
        members.put({{"vm-" + std::to_string(i)}, domain, {1, i + 1}, isLarge ? 500U : 70U},
                    {.callers = address,
                     .peers = address,
                     .failureDomain = domain,
                     .millicores = isLarge ? 500U : 70U,
                     .linkMbps = isLarge ? 200U : 10U,
                     .memoryMb = isLarge ? 512U : 112U,
                     .descriptors = isLarge ? 8192U : 2870U},
                    start);
    }
    const auto addressesOf = [&members](const std::string &domain) {
        std::set<std::string> ips;
        for (const Address &it : members.callerAddresses({domain}, start)) {
            ips.insert(it.ip);
        }
        return ips;
    };
    BOOST_TEST(members.seatHolders().size() == 8U);
    BOOST_TEST((addressesOf("fd-0") == std::set<std::string>{"10.0.0.0", "10.0.0.3"}));
    BOOST_TEST((addressesOf("fd-1") == std::set<std::string>{"10.0.0.1", "10.0.0.4"}));
    BOOST_TEST(addressesOf("elsewhere").size() == 6U);
    // One large Vm is left: half of the callers would be too many for the small seat holder.
    members.recordReport({"vm-4"}, true, 10s, {1, 1}, start);
    BOOST_TEST((addressesOf("fd-1") == std::set<std::string>{"10.0.0.0", "10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.5"}));
    members.recordReport({"vm-1"}, true, 10s, {1, 1}, start);
    BOOST_TEST((addressesOf("fd-1") == std::set<std::string>{"10.0.0.0", "10.0.0.2", "10.0.0.3", "10.0.0.5"}));
    members.recordReport({"vm-2"}, true, 10s, {1, 1}, start); // too few large ones
    BOOST_TEST((addressesOf("fd-1") == std::set<std::string>{"10.0.0.0", "10.0.0.3", "10.0.0.5", "10.0.0.6", "10.0.0.7"}));
}

// Pattern: a seat holder with a congested link stays in the address answers, and most of its callers get no answer in time.
BOOST_AUTO_TEST_CASE(an_impaired_vm_gets_no_callers_while_two_others_are_left)
{
    Members members = makeMembers(40); // four seat holders in each domain
    const auto hasAddress = [&members](int vm, TimePoint now) {
        const std::vector<Address> addresses = members.callerAddresses({vm % 2 == 0 ? "fd-a" : "fd-b"}, now);
        const std::string ip = "10.0.0." + std::to_string(vm + 1);
        return std::any_of(addresses.begin(), addresses.end(), [&ip](const Address &it) { return it.ip == ip; });
    };
    const auto report = [&members](int vm, bool isImpaired, TimePoint now) {
        members.recordReport({"vm-" + std::to_string(vm)}, false, 10s, {1, 1}, now);
        members.recordHealth({"vm-" + std::to_string(vm)}, isImpaired, now);
    };
    report(1, true, start);
    BOOST_TEST(!hasAddress(1, start));
    BOOST_TEST(members.callerAddresses({"fd-b"}, start).size() == 3U);
    BOOST_TEST(members.callerAddresses({"fd-a"}, start).size() == 4U);
    BOOST_TEST(members.callerAddresses({"elsewhere"}, start).size() == 7U);
    report(3, true, start);
    BOOST_TEST(members.callerAddresses({"fd-b"}, start).size() == 2U);
    report(5, true, start); // one is left there: the healthy ones of all domains
    BOOST_TEST(members.callerAddresses({"fd-b"}, start).size() == 5U);
    BOOST_TEST(!hasAddress(1, start));
    report(5, false, start);
    BOOST_TEST(!hasAddress(3, start + 2s)); // its reports may be lost on its way
    report(3, false, start + 2s);
    BOOST_TEST(hasAddress(3, start + 2s));
    for (int i = 0; i < 7; ++i) {
        report(i, true, start + 2s);
    }
    BOOST_TEST(members.callerAddresses({"fd-b"}, start + 2s).size() == 4U); // a single healthy one is left
    members.recordHealth({"vm-unknown"}, true, start + 2s);
    BOOST_TEST(members.find({"vm-unknown"}) == nullptr);
}

BOOST_AUTO_TEST_CASE(an_impaired_vm_leaves_itself_out_of_its_address_answers)
{
    Members members = makeMembersWithSeat(7);
    BOOST_TEST(members.callerAddresses({"fd-a"}, start).size() == 5U);
    members.setImpaired(true);
    BOOST_TEST(members.callerAddresses({"fd-a"}, start).size() == 4U);
    BOOST_TEST(members.overdueSeatHolders(start).size() == 1U);
    BOOST_TEST(members.overdueSeatHolders(start).at(0).isImpaired);
}

// Any Vm answers callers that ask for addresses, and most have no seat.
BOOST_AUTO_TEST_CASE(a_vm_without_a_seat_learns_which_seat_holders_are_impaired)
{
    Members members = makeMembers(40);
    members.recordSeatHolders({{.vm = {"vm-1"}, .reportAge = 100ms, .isImpaired = true}}, start + 1s);
    BOOST_TEST(members.callerAddresses({"fd-b"}, start + 1s).size() == 3U);
    members.recordSeatHolders({}, start + 2s);
    BOOST_TEST(members.callerAddresses({"fd-b"}, start + 2s).size() == 4U);
}

BOOST_AUTO_TEST_CASE(only_live_seat_holders_with_recent_reports_are_witnesses)
{
    Members members = makeMembersWithSeat(40);
    BOOST_TEST(members.otherHolders(start).empty());                                        // none has reported yet
    for (const int i : {0, 1, 2, 3, 39}) {                                                  // vm-39 has no seat
        members.recordReport({"vm-" + std::to_string(i)}, i == 2, 10s, {1, 1}, start + 1s); // vm-2 is leaving
        members.recordHealth({"vm-" + std::to_string(i)}, i == 1, start + 1s);
    }
    const std::vector<HolderHealth> others = members.otherHolders(start + 1s);
    BOOST_TEST(others.size() == 3U);
    BOOST_TEST(std::count_if(others.begin(), others.end(), [](const HolderHealth &it) { return it.isImpaired; }) == 1);
    members.remove({"vm-1"});
    BOOST_TEST(members.otherHolders(start + 1s).size() == 2U);
    BOOST_TEST(members.otherHolders(start + 2500ms).empty()); // too old
    BOOST_TEST(makeMembers(40).otherHolders(start).empty());  // without a seat
}

// Pattern: hundreds of Vms. When each reported to its failure domain and all seat holders, and these to all Vms, a fleet of 443
// had some 57,000 status reports to exchange in each period.
BOOST_AUTO_TEST_CASE(status_reports_of_a_large_fleet_are_exchanged_between_seat_holders_only)
{
    std::size_t reports = 0;
    std::size_t reportingVms = 0;
    for (std::size_t i = 0; i < largeFleetSize; ++i) {
        const std::size_t n = makeLargeFleet("vm-" + std::to_string(i)).reportReceivers().size();
        reports += n;
        reportingVms += n > 0 ? 1 : 0;
    }
    BOOST_TEST(reportingVms < 40U);
    BOOST_TEST(reports <= reportingVms * (reportingVms - 1));
}

// Vms without a seat get no reports: they learn which seat holders are live from those that they poll.
BOOST_AUTO_TEST_CASE(a_vm_without_a_seat_offers_callers_the_seat_holders_that_its_sources_heard_from)
{
    Members members = makeMembers(40);
    const TimePoint later = start + 10s;
    members.recordSeatHolders({{.vm = {"vm-1"}, .reportAge = 4s}, {.vm = {"vm-3"}, .reportAge = 1s, .isLeaving = true}}, later);
    BOOST_TEST(members.liveSeatHolders(later).size() == 6U);
    BOOST_TEST(members.liveSeatHolders(later + 2s).size() == 6U);
    BOOST_TEST(members.liveSeatHolders(later + 3s).empty());
    members.recordSeatHolders({}, later + 3s);
    BOOST_TEST(members.liveSeatHolders(later + 3s).size() == 8U);
}

BOOST_AUTO_TEST_CASE(a_seat_holder_tells_which_others_are_silent_or_leaving)
{
    Members members = makeMembersWithSeat(7);
    for (const int i : {0, 1, 2, 3, 4}) {
        members.recordReport({"vm-" + std::to_string(i)}, i == 4, 10s, {1, 42}, start + 5s);
    }
    const std::vector<SeatHolderStatus> overdue = members.overdueSeatHolders(start + 5s);
    BOOST_TEST(overdue.size() == 3U); // vm-4 is leaving, vm-5 and vm-6 are silent
    BOOST_TEST(std::count_if(overdue.begin(), overdue.end(), [](const SeatHolderStatus &it) { return it.isLeaving; }) == 1);
}

// Each Vm polls seat holders of its own domain, so others can't judge its silence. A Vm that takes over the role starts counting anew:
// until then the polls went to other Vms as well.
BOOST_AUTO_TEST_CASE(the_first_live_seat_holder_of_a_domain_removes_its_silent_vms)
{
    Members members = makeLargeFleet("vm-0");
    const auto reportFromHolders = [&members](TimePoint now) {
        for (const VmName &it : members.seatHolders()) {
            members.recordReport(it, false, 10s, {1, 42}, now);
        }
    };
    BOOST_TEST(members.lostVms(90s, start).empty());
    reportFromHolders(start + 80s);
    members.recordContact({"vm-60"}, false, start + 80s);
    BOOST_TEST(members.lostVms(90s, start + 80s).empty());
    reportFromHolders(start + 91s);
    const std::vector<VmName> lost = members.lostVms(90s, start + 91s);
    BOOST_TEST(!lost.empty());
    BOOST_TEST((std::find(lost.begin(), lost.end(), VmName{"vm-66"}) != lost.end())); // of its own domain
    BOOST_TEST((std::find(lost.begin(), lost.end(), VmName{"vm-60"}) == lost.end())); // polled lately
    BOOST_TEST((std::find(lost.begin(), lost.end(), VmName{"vm-67"}) == lost.end())); // of another domain

    Members successor = makeLargeFleet("vm-6"); // the second in that domain
    for (const VmName &it : successor.seatHolders()) {
        successor.recordReport(it, false, 10s, {1, 42}, start + 100s);
    }
    BOOST_TEST(successor.lostVms(90s, start + 100s).empty());
    successor.recordReport({"vm-0"}, true, 10s, {1, 42}, start + 101s);
    BOOST_TEST(successor.lostVms(90s, start + 101s).empty());
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
        members.recordReport({"vm-" + std::to_string(i)}, false, 10s, {1, 42}, start);
    }
    BOOST_TEST(members.watchers(start).size() == 4U);
    members.recordReport({"vm-0"}, true, 10s, {1, 42}, start);
    members.recordReport({"vm-1"}, false, 0s, {1, 42}, start);
    const std::vector<VmName> watchers = members.watchers(start);
    BOOST_TEST(watchers.size() == 4U);
    BOOST_TEST((std::find(watchers.begin(), watchers.end(), VmName{"vm-0"}) == watchers.end()));
    BOOST_TEST((std::find(watchers.begin(), watchers.end(), VmName{"vm-1"}) == watchers.end()));
}

namespace {

using Registrations = std::vector<std::pair<RegisteredVm, VmRegistration>>;

// Those of vm-0, vm-1, ..., as in makeMembers(), as far as the restored store has them.
Registrations restoredRegistrations(std::size_t n)
{
    Registrations registrations;
    for (std::size_t i = 0; i < n; ++i) {
        const FailureDomain domain{i % 2 == 0 ? "fd-a" : "fd-b"};
        registrations.push_back({{{"vm-" + std::to_string(i)}, domain, {1, i + 1}}, {.failureDomain = domain}});
    }
    return registrations;
}

bool holdsSeat(const Members &members, const std::string &name)
{
    return members.isSeatHolder({name});
}

} // namespace

// A restored store lacks the registrations of Vms that are still alive. If their seats were assigned to others before they could register
// again, two Vms would hold one seat and the quota would be granted twice.
BOOST_AUTO_TEST_CASE(a_registration_that_a_restore_lost_keeps_its_seat_until_it_is_written_again)
{
    Members members = makeMembers(40);
    const std::vector<VmName> before = members.seatHolders();
    BOOST_TEST(holdsSeat(members, "vm-6"));
    members.noteStoreRestored(start);
    Registrations restored = restoredRegistrations(5);
    restored.push_back({{{"vm-late"}, {"fd-a"}, {2, 3}}, {.failureDomain = {"fd-a"}}}); // started in the gap
    members.replaceAll(restored, start);
    members.remove({"vm-4"}); // a difference passed on by another Vm
    BOOST_TEST((members.seatHolders() == before));
    BOOST_TEST(!members.removeExpired(start + Members::registrationGrace - 1ms));
    BOOST_TEST((members.seatHolders() == before));
}

BOOST_AUTO_TEST_CASE(a_lost_registration_that_is_not_written_again_in_time_is_removed)
{
    Members members = makeMembers(10);
    members.noteStoreRestored(start);
    members.replaceAll(restoredRegistrations(5), start);
    BOOST_TEST(members.missingCount() == 6U); // five and this Vm
    for (const int i : {6, 8}) {
        members.put({{"vm-" + std::to_string(i)}, {"fd-a"}, {1, 1}}, {.failureDomain = {"fd-a"}}, start + 1s);
    }
    BOOST_TEST(members.missingCount() == 4U);
    BOOST_TEST(members.removeExpired(start + Members::registrationGrace + 4 * Members::rewriteInterval + 1s));
    BOOST_TEST(members.missingCount() == 0U);
    BOOST_TEST(holdsSeat(members, "vm-6"));
    BOOST_TEST(!holdsSeat(members, "vm-7"));
    members.remove({"vm-8"}); // the grace is over
    BOOST_TEST(!holdsSeat(members, "vm-8"));
}

// The more registrations were lost, the longer their owners spread the writes.
BOOST_AUTO_TEST_CASE(the_grace_for_lost_registrations_grows_with_their_number)
{
    Members members = makeLargeFleet("vm-0");
    members.noteStoreRestored(start);
    members.replaceAll({}, start);
    BOOST_TEST(members.missingCount() == largeFleetSize);
    BOOST_TEST(!members.removeExpired(start + Members::registrationGrace + (largeFleetSize - 1) * Members::rewriteInterval));
    BOOST_TEST(members.removeExpired(start + Members::registrationGrace + (largeFleetSize + 1) * Members::rewriteInterval));
}

// A restored store gives out low revisions again. By these alone, a newcomer would take the seat of a Vm that joined long before.
BOOST_AUTO_TEST_CASE(a_newcomer_with_a_revision_given_out_again_takes_no_seat)
{
    Members members = makeMembers(40);
    const std::vector<VmName> before = members.seatHolders();
    members.noteStoreRestored(start);
    members.put({{"vm-late"}, {"fd-a"}, {2, 1}}, {.failureDomain = {"fd-a"}}, start);
    BOOST_TEST((members.seatHolders() == before));
}

// If the restored store lacks the newest configuration, no watch brings it: a Vm that doesn't ask the one that has it stays behind.
BOOST_AUTO_TEST_CASE(a_live_vm_with_newer_declarations_is_found)
{
    Members members = makeMembers(40);
    members.recordDeclarationsVersion({"vm-30"}, 12); // has no seat
    members.recordDeclarationsVersion({"self"}, 99);
    BOOST_TEST(members.findNewerDeclarations(12, start) == nullptr);
    const Member *newer = members.findNewerDeclarations(11, start);
    BOOST_REQUIRE(newer != nullptr);
    BOOST_TEST(newer->name.value == "vm-30");
    BOOST_TEST(members.findNewerDeclarations(11, start + 4s) == nullptr); // silent
}

// Notices of changes go along the same tree as the polls. Each Vm without a seat must get them from two Vms, whatever the size of the
// fleet, and no Vm may send many.
BOOST_AUTO_TEST_CASE(each_vm_without_a_seat_is_sent_notices_by_two_seat_holders_of_its_domain)
{
    std::map<std::string, std::set<std::string>> senders; // by receiver
    std::size_t mostReceivers = 0;
    Members first = makeLargeFleet("vm-0");
    const std::vector<VmName> &holders = first.seatHolders();
    const std::vector<VmName> watchers = first.watchers(start);
    for (const VmName &holder : holders) {
        Members members = makeLargeFleet(holder.value);
        std::size_t n = 0;
        for (const Member *it : members.noticeReceivers(start)) {
            if (!members.isSeatHolder(it->name)) {
                ++n;
                senders[it->name.value].insert(holder.value);
                BOOST_TEST((it->registration.failureDomain == members.find(holder)->registration.failureDomain));
            }
        }
        mostReceivers = std::max(mostReceivers, n);
    }
    BOOST_TEST(senders.size() == largeFleetSize - holders.size());
    for (const auto &[receiver, names] : senders) {
        BOOST_TEST(names.size() == Members::noticesPerVm);
    }
    BOOST_TEST(mostReceivers <= 2 * Members::noticesPerVm * largeFleetSize / holders.size());
}

BOOST_AUTO_TEST_CASE(only_store_watchers_send_notices_to_the_other_seat_holders)
{
    const auto makeReported = [](const std::string &self) {
        Members members = makeLargeFleet(self);
        for (const VmName &it : members.seatHolders()) {
            members.recordReport(it, false, 1h, {}, start);
        }
        return members;
    };
    Members watcher = makeReported("vm-0");
    BOOST_REQUIRE(watcher.watchers(start).front().value == "vm-0");
    BOOST_TEST(hasVm(watcher.noticeReceivers(start), "vm-17"));
    Members holder = makeReported("vm-17");
    BOOST_REQUIRE(holder.isSeatHolder({"vm-17"}));
    BOOST_TEST(!hasVm(holder.noticeReceivers(start), "vm-0"));
    BOOST_TEST(makeReported("vm-400").noticeReceivers(start).empty());
}
