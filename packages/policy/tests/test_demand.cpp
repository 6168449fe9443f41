// Demand of a service at one Vm, and the view of the demand at all seat holders.
#include <boost/test/unit_test.hpp>
#include <limits>
#include <pollenspoke/policy.h>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

const VmName self{"vm-0"};
const VmName other{"vm-1"};

DemandReport makeReport(double arrivals, TimePoint measuredAt, std::uint64_t run = 7)
{
    return {.ranks = {{.rank = 1, .arrivals = arrivals, .waiting = 2, .refused = 3, .started = arrivals / 2}},
            .accounts = {{.account = {"a"}, .arrivals = arrivals}},
            .run = run,
            .measuredAt = measuredAt.time_since_epoch()};
}

DemandView makeView()
{
    DemandView view;
    view.setVms(self, {self, other, {"vm-2"}});
    return view;
}

double arrivalsOf(const std::vector<RankDemand> &ranks)
{
    double sum = 0;
    for (const RankDemand &it : ranks) {
        sum += it.arrivals;
    }
    return sum;
}

} // namespace

// Guards against rates over another time than the last second.
BOOST_AUTO_TEST_CASE(rates_are_those_of_the_last_second)
{
    DemandCounter counter;
    TimePoint now{1h};
    for (int i = 0; i < 400; ++i, now += 5ms) {
        counter.noteArrival(0, {"a"}, now);
        counter.noteStarted(0, now);
        if (i % 4 == 0) {
            counter.noteArrival(2, {"b"}, now);
            counter.noteRefused(2, now);
        }
    }
    const DemandReport report = counter.report(now);
    BOOST_REQUIRE(report.ranks.size() == 2U);
    BOOST_TEST(report.ranks[0].arrivals == 200, boost::test_tools::tolerance(0.06));
    BOOST_TEST(report.ranks[0].started == 200, boost::test_tools::tolerance(0.06));
    BOOST_TEST(report.ranks[1].arrivals == 50, boost::test_tools::tolerance(0.06));
    BOOST_TEST(report.ranks[1].refused == 50, boost::test_tools::tolerance(0.06));
    BOOST_TEST(isUnderPressure(report.ranks));
    BOOST_TEST(counter.report(now + 1s).isEmpty());
}

// Guards against waiting requests that are counted for ever, or less than zero, once ranks are counted together.
BOOST_AUTO_TEST_CASE(ranks_beyond_the_eighth_are_part_of_the_last_one)
{
    DemandCounter counter;
    TimePoint now{1h};
    for (std::uint32_t rank = 20; rank > 0; --rank) {
        counter.noteArrival(rank, {"a"}, now);
        counter.noteWaiting(rank, now);
    }
    DemandReport report = counter.report(now);
    BOOST_REQUIRE(report.ranks.size() == maxDemandRanks);
    BOOST_TEST(report.ranks.front().rank == 1U);
    BOOST_TEST(report.ranks.back().rank == 8U);
    BOOST_TEST(report.ranks.back().waiting == 13);
    now += 5s;
    for (std::uint32_t rank = 20; rank > 0; --rank) {
        counter.noteWaitEnded(rank, now);
    }
    counter.noteWaitEnded(3, now);
    BOOST_TEST(counter.report(now).isEmpty());
}

// Load: one account that sends six times its usual traffic among 73. Guards against missing it in constant memory.
BOOST_AUTO_TEST_CASE(account_with_six_times_its_traffic_is_the_largest)
{
    DemandCounter counter;
    TimePoint now{1h};
    Generator generator(3);
    for (int i = 0; i < 4000; ++i, now += 2ms) {
        const std::uint64_t n = generator() % 78; // account 0 has 6 of 78 parts
        counter.noteArrival(1, {"account-" + std::to_string(n < 6 ? 0 : n - 5)}, now);
    }
    const DemandReport report = counter.report(now);
    BOOST_REQUIRE(!report.accounts.empty());
    BOOST_TEST(report.accounts.size() <= maxDemandAccounts);
    BOOST_TEST(report.accounts.front().account.value == "account-0");
    BOOST_TEST(report.accounts.front().arrivals <= 60); // never more than it sent
    BOOST_TEST(report.accounts.front().arrivals >= 20);
}

BOOST_AUTO_TEST_CASE(view_is_the_sum_of_own_and_reported_parts)
{
    DemandView view = makeView();
    const TimePoint now{1h};
    BOOST_TEST(view.apply(other, makeReport(10, now), now));
    BOOST_TEST(view.apply({"vm-2"}, makeReport(20, now, 9), now));
    const DemandReport own = makeReport(5, now);
    BOOST_TEST(arrivalsOf(view.ranks(own, now)) == 35);
    BOOST_TEST(view.accounts(own, now).front().arrivals == 35);
    BOOST_TEST(view.parts(now) == 2U);
}

// Failures: the loss of the Vm with most demand, and one that left. Guards against numbers that nobody renews.
BOOST_AUTO_TEST_CASE(part_of_a_lost_vm_is_used_for_no_longer_than_its_age_allows)
{
    DemandView view = makeView();
    const TimePoint now{1h};
    const DemandReport own = makeReport(5, now);
    view.apply(other, makeReport(1000, now), now);
    BOOST_TEST(arrivalsOf(view.ranks(own, now + 1500ms)) == 1005);
    BOOST_TEST(arrivalsOf(view.ranks(own, now + 1501ms)) == 5);
    view.apply(other, makeReport(1000, now + 2s), now + 2s);
    view.setVms(self, {self, {"vm-2"}});
    BOOST_TEST(arrivalsOf(view.ranks(own, now + 2s)) == 5);
    BOOST_TEST(!view.apply(other, makeReport(1000, now + 2s), now + 2s));
    BOOST_TEST(!view.apply(self, makeReport(1000, now + 2s), now + 2s));
}

// Failure: forged or cut reports. Guards against one number that decides for the whole fleet.
BOOST_AUTO_TEST_CASE(impossible_reports_are_rejected)
{
    DemandView view = makeView();
    const TimePoint now{1h};
    for (const double it : {-1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity(), 1.1e6}) {
        for (const auto number : {&RankDemand::arrivals, &RankDemand::waiting, &RankDemand::refused, &RankDemand::started}) {
            DemandReport report = makeReport(10, now);
            report.ranks.front().*number = it;
            BOOST_TEST(!view.apply(other, report, now), it);
        }
        DemandReport report = makeReport(10, now);
        report.accounts.front().arrivals = it;
        BOOST_TEST(!view.apply(other, report, now), it);
    }
    DemandReport unordered = makeReport(10, now);
    unordered.ranks.push_back(unordered.ranks.front());
    BOOST_TEST(!view.apply(other, unordered, now));
    DemandReport withManyRanks = makeReport(10, now);
    for (std::uint32_t i = 0; i < maxDemandRanks; ++i) {
        withManyRanks.ranks.push_back({.rank = i + 2});
    }
    BOOST_TEST(!view.apply(other, withManyRanks, now));
    DemandReport withManyAccounts = makeReport(10, now);
    withManyAccounts.accounts.resize(maxDemandAccounts + 1);
    BOOST_TEST(!view.apply(other, withManyAccounts, now));
    DemandReport withLongName = makeReport(10, now);
    withLongName.accounts.front().account.value = std::string(100000, 'x');
    BOOST_TEST(!view.apply(other, withLongName, now));
    BOOST_TEST(!view.apply(other, makeReport(10, now, 0), now)); // cut before the number of the process
    BOOST_TEST(!view.apply(other, makeReport(10, TimePoint(), 7), now));
    BOOST_TEST(view.parts(now) == 0U);
}

// Failure: datagrams overtake each other, or were queued while this Vm was suspended.
BOOST_AUTO_TEST_CASE(old_reports_are_rejected)
{
    DemandView view = makeView();
    const TimePoint now{1h};
    const Duration offset = 42h; // between the two clocks
    BOOST_TEST(view.apply(other, makeReport(10, now + offset), now));
    BOOST_TEST(view.apply(other, makeReport(11, now + offset + 200ms), now + 200ms));
    BOOST_TEST(!view.apply(other, makeReport(12, now + offset + 100ms), now + 210ms));
    // Suspended for 10 s: the reports of that time are read in one go.
    const TimePoint resumedAt = now + 10s;
    for (Duration sentAfter = 400ms; sentAfter < 8s; sentAfter += 200ms) {
        BOOST_TEST(!view.apply(other, makeReport(900, now + offset + sentAfter), resumedAt));
    }
    BOOST_TEST(view.parts(resumedAt) == 0U);
    BOOST_TEST(view.apply(other, makeReport(13, now + offset + 10s), resumedAt));
    BOOST_TEST(arrivalsOf(view.ranks({}, resumedAt)) == 13);
    // A restarted process on another machine has another clock.
    BOOST_TEST(view.apply(other, makeReport(14, now + 1min, 8), resumedAt + 1s));
}

// Guards against a clock that drifts: its reports must not seem to be old after some days.
BOOST_AUTO_TEST_CASE(drift_of_clocks_does_not_make_reports_old)
{
    DemandView view = makeView();
    TimePoint now{1h};
    TimePoint theirs{50h};
    for (int i = 0; i < 100000; ++i, now += 1s, theirs += 999500us) {
        BOOST_REQUIRE(view.apply(other, makeReport(10, theirs), now));
    }
}
