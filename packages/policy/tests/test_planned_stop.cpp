// Planned stop in virtual time: nothing begins that can't end before the process does.
#include <boost/test/unit_test.hpp>
#include <pollenspoke/policy.h>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint startedAt{100s};
const PlannedStop stop({.acceptTime = 2750ms, .totalTime = 5600ms}, startedAt);

} // namespace

BOOST_AUTO_TEST_CASE(callers_that_still_have_the_address_are_served)
{
    BOOST_TEST(stop.mayStart(startedAt + 12s, startedAt));
    BOOST_TEST(stop.mayStart(startedAt + 12s, startedAt + 2749ms));
}

// A request that was accepted 3.7 s after SIGTERM with 8 s of time was cut off when the process ended.
BOOST_AUTO_TEST_CASE(a_late_request_that_may_outlive_the_process_is_not_started)
{
    BOOST_TEST(!stop.mayStart(startedAt + 3730ms + 8s, startedAt + 3730ms));
    BOOST_TEST(!stop.mayStart(startedAt + 5600ms, startedAt + 2750ms));
}

BOOST_AUTO_TEST_CASE(a_late_request_that_is_answered_before_the_end_is_started)
{
    BOOST_TEST(stop.mayStart(startedAt + 5599ms, startedAt + 4s));
}

BOOST_AUTO_TEST_CASE(a_retry_that_usually_outlives_the_process_is_not_started)
{
    BOOST_TEST(stop.mayRetry(500ms, startedAt + 4s));
    BOOST_TEST(!stop.mayRetry(800ms, startedAt + 4s));
    BOOST_TEST(!stop.mayRetry(0ms, startedAt + 5600ms));
}
