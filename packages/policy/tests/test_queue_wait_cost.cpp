// What the immediate refusal costs in requests that would have been served, in virtual time.
#include "queue_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;

// Guards against refusing at once what would have got a slot.
BOOST_AUTO_TEST_CASE(the_immediate_refusal_costs_one_in_a_hundred_served_requests_at_most)
{
    const QueueFleetOptions options{};
    QueueFleetOptions unmeasured = options;
    unmeasured.measuresPart = false;
    const std::vector<QueueTraffic> traffic{evenly(options, 0.8, 0s, 7s), evenly(options, 1.2, 2s, 6s)};
    const QueueFleetResult before = play(unmeasured, traffic, 8s);
    const QueueFleetResult after = play(options, traffic, 8s);
    BOOST_TEST(static_cast<double>(after.served) >= 0.99 * static_cast<double>(before.served));
}
