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
            const TargetReportSchedule::Reports reports = schedule.next(inFlight(i % 2 + 1), receivers, false);
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
    schedule.next(inFlight(1), receivers, true);
    BOOST_TEST(schedule.next(inFlight(2), receivers, false).distant.empty());
    const TargetReportSchedule::Reports reports = schedule.next(inFlight(1, 1), receivers, false);
    BOOST_REQUIRE(!reports.distant.empty());
    BOOST_TEST(reports.distant.at(service).front().failures == 1U);
}

// What changed between two reports to distant seat holders must not be lost, also if it was reported to near ones.
BOOST_AUTO_TEST_CASE(a_delayed_report_has_all_changes_since_the_last_one)
{
    TargetReportSchedule schedule;
    const TargetReportSchedule::Receivers receivers{.near = 4, .distant = 26};
    schedule.next(inFlight(1), receivers, true);
    TargetReportSchedule::Reports reports = schedule.next({}, receivers, false);
    BOOST_REQUIRE(!reports.near.empty());
    BOOST_TEST(reports.near.at(service).front().inFlight == 0U);
    for (std::size_t i = 0; reports.distant.empty() && i < 10; ++i) {
        reports = schedule.next({}, receivers, false);
        BOOST_TEST(reports.near.empty());
    }
    BOOST_REQUIRE(!reports.distant.empty());
    BOOST_TEST(reports.distant.at(service).front().inFlight == 0U);
}
