// When the callers of refused requests come back.
#include <boost/test/unit_test.hpp>
#include <pollenspoke/policy.h>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};

std::vector<Duration> refuseMany(ReturnSchedule &schedule, std::size_t n, RefusedRequest request, TimePoint now)
{
    std::vector<Duration> times;
    for (std::size_t i = 0; i < n; ++i) {
        const std::string id = "id-" + std::to_string(request.rank) + "-" + std::to_string(i);
        request.id = id;
        times.push_back(schedule.refuse(request, now).retryAfter);
    }
    return times;
}

std::size_t mostWithin(std::vector<Duration> times, Duration window)
{
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] > window) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace

// Load: 300 callers refused in the same moment. Guards against their coming back in the same moment.
BOOST_AUTO_TEST_CASE(callers_refused_together_come_back_at_the_rate_of_the_starts)
{
    ReturnSchedule schedule;
    const std::vector<Duration> times = refuseMany(schedule, 300, {.rank = 1, .startsPerSecond = 200, .left = 10s}, start);
    for (const Duration it : times) {
        BOOST_TEST((it >= ReturnSchedule::shortest && it <= ReturnSchedule::longest));
    }
    BOOST_TEST(mostWithin(times, 100ms) <= 25U); // 20 starts in 100 ms
    BOOST_TEST((*std::max_element(times.begin(), times.end()) >= 1400ms));
}

// Load: eight Vms refuse 50 callers each in the same moment. Each has its share of the starts.
BOOST_AUTO_TEST_CASE(returns_to_all_vms_together_stay_within_the_starts)
{
    std::vector<Duration> all;
    for (int vm = 0; vm < 8; ++vm) {
        ReturnSchedule schedule;
        for (int i = 0; i < 50; ++i) {
            const std::string id = "id-" + std::to_string(vm) + "-" + std::to_string(i);
            all.push_back(schedule.refuse({.rank = 1, .id = id, .startsPerSecond = 200, .share = 1.0 / 8, .left = 10s}, start).retryAfter);
        }
    }
    BOOST_TEST(mostWithin(all, 200ms) <= 60U); // 40 starts in 200 ms, and the spread of eight schedules
}

// Load: more callers than can be served within the longest time. Guards against a crowd at its end.
BOOST_AUTO_TEST_CASE(callers_beyond_the_longest_time_are_spread_over_its_second_half)
{
    ReturnSchedule schedule;
    const std::vector<Duration> times = refuseMany(schedule, 1000, {.rank = 1, .startsPerSecond = 20, .left = 2s}, start);
    BOOST_TEST((*std::max_element(times.begin(), times.end()) <= ReturnSchedule::longest));
    BOOST_TEST(mostWithin(times, 100ms) <= 80U); // 1000 in 2.5 s are 40 in 100 ms
}

// Guards against urgent callers that come back after less urgent ones refused before them.
BOOST_AUTO_TEST_CASE(urgent_callers_come_back_first)
{
    ReturnSchedule schedule;
    const std::vector<Duration> late = refuseMany(schedule, 200, {.rank = 3, .startsPerSecond = 100, .left = 10s}, start);
    const std::vector<Duration> urgent = refuseMany(schedule, 10, {.rank = 0, .startsPerSecond = 100, .left = 10s}, start);
    BOOST_TEST((*std::max_element(urgent.begin(), urgent.end()) < 300ms));
    BOOST_TEST((late.back() > 1900ms));
    const RefusedRequest behind{.rank = 3, .id = "x", .waitingAhead = 100, .startsPerSecond = 100, .left = 10s};
    BOOST_TEST((schedule.refuse(behind, start).retryAfter > 2900ms)); // those that wait come before
    BOOST_TEST(schedule.booked(0, start) == 10U);
    BOOST_TEST(schedule.booked(3, start) == 211U);
}

// Guards against bookings that are kept after their callers have come back.
BOOST_AUTO_TEST_CASE(places_are_free_again_once_their_time_has_passed)
{
    ReturnSchedule schedule;
    refuseMany(schedule, 100, {.rank = 1, .startsPerSecond = 100, .left = 10s}, start);
    BOOST_TEST(schedule.booked(1, start + 600ms) < 65U);
    BOOST_TEST(schedule.booked(1, start + 6s) == 0U);
    BOOST_TEST(schedule.booked(1, start + 24h) == 0U);
    BOOST_TEST((schedule.refuse({.rank = 1, .id = "x", .startsPerSecond = 100, .left = 10s}, start + 24h).retryAfter < 200ms));
}

// Guards against a promise of capacity that doesn't exist: nothing starts, or no target is open before the deadline.
BOOST_AUTO_TEST_CASE(refusal_says_when_there_is_no_capacity_before_the_deadline)
{
    ReturnSchedule schedule;
    ReturnTime time = schedule.refuse({.rank = 1, .id = "a", .waitingAhead = 50, .startsPerSecond = 10, .left = 1s}, start);
    BOOST_TEST(!time.isBeforeDeadline);
    BOOST_TEST((time.capacityIn >= 5s));
    BOOST_TEST((time.retryAfter <= ReturnSchedule::longest));
    time = schedule.refuse({.rank = 0, .id = "b", .startsPerSecond = 100, .opensIn = 3s, .left = 2s}, start);
    BOOST_TEST(!time.isBeforeDeadline);
    BOOST_TEST((time.retryAfter >= 3s));
    time = schedule.refuse({.rank = 0, .id = "c", .startsPerSecond = 0, .left = 60s}, start);
    BOOST_TEST((time.retryAfter <= ReturnSchedule::longest));
    time = ReturnSchedule().refuse({.rank = 0, .id = "d", .startsPerSecond = 100, .left = 1s}, start);
    BOOST_TEST(time.isBeforeDeadline);
}

// Load: a service whose targets all announced a pause of 30 s. Guards against callers that come back before it ends, or all at its end.
BOOST_AUTO_TEST_CASE(callers_come_back_one_by_one_after_an_announced_pause)
{
    ReturnSchedule schedule;
    const std::vector<Duration> times = refuseMany(schedule, 1000, {.rank = 1, .startsPerSecond = 100, .opensIn = 30s, .left = 60s}, start);
    BOOST_TEST((times.front() == 30s));
    BOOST_TEST((*std::min_element(times.begin(), times.end()) >= 30s));
    BOOST_TEST((*std::max_element(times.begin(), times.end()) <= 35s));
    BOOST_TEST(mostWithin(times, 100ms) <= 45U); // 10 starts in 100 ms, and 500 that are beyond the longest time in its second half
    const std::vector<Duration> soon = refuseMany(schedule, 1000, {.rank = 0, .startsPerSecond = 100, .opensIn = 4s, .left = 60s}, start);
    BOOST_TEST((*std::min_element(soon.begin(), soon.end()) >= 4s));
    BOOST_TEST((*std::max_element(soon.begin(), soon.end()) <= 5s));
}

// Guards against memory that grows with the number of ranks.
BOOST_AUTO_TEST_CASE(ranks_beyond_the_eighth_are_booked_with_the_last_one)
{
    ReturnSchedule schedule;
    for (std::uint32_t rank = 100; rank > 0; --rank) {
        schedule.refuse({.rank = rank, .id = "x", .startsPerSecond = 1000, .left = 1s}, start);
    }
    BOOST_TEST(schedule.booked(1000, start) == 100U);
}
