// How often a seat holder reports changes of targets to the others.
#include "target_reports.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;

namespace {

const ServiceName service{"s-1"};

TargetUpdates inFlight(std::uint32_t n, std::uint32_t failures = 0)
{
    return {{service, {TargetObservation{.target = {"t-1"}, .inFlight = n, .failures = failures}}}};
}

DemandUpdates demandOf(double arrivals, double waiting)
{
    return {{service, {.ranks = {{.rank = 1, .arrivals = arrivals, .waiting = waiting}}, .run = 1, .measuredAt = std::chrono::hours(1)}}};
}

} // namespace

// Pattern: thirty seat holders in six failure domains, each with changes in every period. When all told all others each time, the
// reports grew with the square of the seats: 23,000 a second.
BOOST_AUTO_TEST_CASE(the_reports_of_a_seat_holder_are_bounded_whatever_the_number_of_seats)
{
    for (const std::size_t domainSeats : {2U, 5U, 8U}) {
        const TargetReportSchedule::Receivers receivers{.near = domainSeats - 1, .distant = domainSeats * 5};
        TargetReportSchedule schedule;
        constexpr std::size_t periods = 1000;
        std::size_t sent = 0;
        for (std::uint32_t i = 0; i < periods; ++i) {
            const TargetReportSchedule::Reports reports = schedule.next(inFlight(i % 2 + 1), {}, receivers, false);
            sent += (reports.near.empty() ? 0 : receivers.near) + (reports.distant.empty() ? 0 : receivers.distant);
        }
        BOOST_TEST(sent <= periods * TargetReportSchedule::maxReportsPerPeriod + receivers.near + receivers.distant);
    }
}

BOOST_AUTO_TEST_CASE(all_seat_holders_of_a_fleet_of_a_hundred_get_each_change)
{
    BOOST_TEST(TargetReportSchedule::distantInterval({.near = 2, .distant = 7}) == 1U);
    BOOST_TEST(TargetReportSchedule::distantInterval({.near = 0, .distant = 0}) == 1U);
    BOOST_TEST(TargetReportSchedule::distantInterval({.near = 4, .distant = 26}) == 5U);
    BOOST_TEST(TargetReportSchedule::distantInterval({.near = 40, .distant = 20}) == 20U);
}

BOOST_AUTO_TEST_CASE(a_new_failure_is_reported_to_all_at_once)
{
    TargetReportSchedule schedule;
    const TargetReportSchedule::Receivers receivers{.near = 4, .distant = 26};
    schedule.next(inFlight(1), {}, receivers, true);
    BOOST_TEST(schedule.next(inFlight(2), {}, receivers, false).distant.empty());
    const TargetReportSchedule::Reports reports = schedule.next(inFlight(1, 1), {}, receivers, false);
    BOOST_REQUIRE(!reports.distant.empty());
    BOOST_TEST(reports.distant.at(service).front().failures == 1U);
}

// What changed between two reports to distant seat holders must not be lost, also if it was reported to near ones.
BOOST_AUTO_TEST_CASE(a_delayed_report_has_all_changes_since_the_last_one)
{
    TargetReportSchedule schedule;
    const TargetReportSchedule::Receivers receivers{.near = 4, .distant = 26};
    schedule.next(inFlight(1), {}, receivers, true);
    TargetReportSchedule::Reports reports = schedule.next({}, {}, receivers, false);
    BOOST_REQUIRE(!reports.near.empty());
    BOOST_TEST(reports.near.at(service).front().inFlight == 0U);
    for (std::size_t i = 0; reports.distant.empty() && i < 10; ++i) {
        reports = schedule.next({}, {}, receivers, false);
        BOOST_TEST(reports.near.empty());
    }
    BOOST_REQUIRE(!reports.distant.empty());
    BOOST_TEST(reports.distant.at(service).front().inFlight == 0U);
}

// Guards against datagrams that a calm day had not before: only full reports that are sent anyway have the demand.
BOOST_AUTO_TEST_CASE(demand_without_pressure_causes_no_report)
{
    TargetReportSchedule schedule;
    const TargetReportSchedule::Receivers receivers{.near = 2, .distant = 7};
    for (int i = 0; i < 100; ++i) {
        const TargetReportSchedule::Reports reports = schedule.next({}, demandOf(50, 0), receivers, i % 25 == 0);
        BOOST_TEST(reports.nearDemand.empty());
        BOOST_TEST(reports.distantDemand.empty());
    }
    const TargetReportSchedule::Reports full = schedule.next(inFlight(1), demandOf(50, 0), receivers, true);
    BOOST_TEST(full.nearDemand.contains(service));
    BOOST_TEST(full.distantDemand.contains(service));
    BOOST_TEST(schedule.next(inFlight(2), demandOf(50, 0), receivers, false).nearDemand.empty());
}

// Load: requests wait for two seconds. The view must follow within 0.5 s, also at distant seat holders, and notice the end.
BOOST_AUTO_TEST_CASE(demand_under_pressure_is_reported_every_200_ms)
{
    for (const TargetReportSchedule::Receivers &it :
         {TargetReportSchedule::Receivers{.near = 2, .distant = 7}, {.near = 4, .distant = 26}, {.near = 20, .distant = 60}}) {
        TargetReportSchedule schedule;
        schedule.next(inFlight(1), demandOf(50, 0), it, true);
        constexpr std::size_t periods = 50;
        std::size_t near = 0;
        std::size_t distant = 0;
        for (std::size_t i = 0; i < periods; ++i) {
            const TargetReportSchedule::Reports reports = schedule.next(inFlight(1), demandOf(50, 5), it, false);
            near += reports.nearDemand.empty() ? 0 : 1;
            distant += reports.distantDemand.empty() ? 0 : 1;
        }
        BOOST_TEST(near == periods / TargetReportSchedule::demandInterval);
        BOOST_TEST(distant >= periods / TargetReportSchedule::maxDistantDemandInterval);
        BOOST_TEST(distant <= near);
        std::size_t after = 0;
        for (std::size_t i = 0; i < periods; ++i) {
            after += schedule.next(inFlight(1), demandOf(50, 0), it, false).nearDemand.empty() ? 0 : 1;
        }
        BOOST_TEST(after == 1U); // that the pressure has ended
    }
}
