// Order of the requests that wait for a slot, in virtual time.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <numeric>
#include <pollenspoke/policy.h>
#include <queue>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};

// An account's requests, one each `interval`.
struct Load
{
    std::string account;
    Duration interval{};
    std::uint32_t rank = 0;
    std::uint32_t weight = 1;
    Duration from{};
    Duration until{10s};
    Duration workTime{200ms};
    Duration objective{}; // zero: none
};

struct Outcome
{
    std::size_t arrived = 0;
    std::size_t started = 0;
    std::size_t timely = 0; // started in time for their objective
    Duration longestWait{};
};

// One Vm with its queue in front of a number of slots. Requests wait as long as it takes.
class World
{
public:
    World(FairQueueOptions options, std::size_t slots)
        : m_queue(options)
        , m_slots(slots)
    {
    }

    std::map<std::string, Outcome> run(const std::vector<Load> &loads)
    {
        constexpr auto step = 1ms;
        for (Duration time{}; time < 12s; time += step) {
            const TimePoint now = start + time;
            while (!m_ends.empty() && m_ends.top() <= now) {
                m_ends.pop();
            }
            for (const Load &it : loads) {
                if (time >= it.from && time < it.until && (time - it.from) % it.interval < step) {
                    arrive(it, now);
                }
            }
            startWaiting(now);
        }
        return m_results;
    }

private:
    struct Waiting
    {
        const Load &load;
        TimePoint arrivedAt;
    };

    void arrive(const Load &load, TimePoint now)
    {
        const TimePoint startBy = load.objective > 0ms ? now + load.objective - load.workTime : TimePoint::max();
        m_queue.push({.sequence = ++m_sequence, .rank = load.rank, .account = {load.account}, .weight = load.weight, .startBy = startBy},
                     now);
        m_waiting.emplace(m_sequence, Waiting{load, now});
        ++m_results[load.account].arrived;
    }

    void startWaiting(TimePoint now)
    {
        while (m_ends.size() < m_slots && !m_queue.empty()) {
            const std::uint64_t sequence = m_queue.first(1, now).front();
            m_queue.start(sequence, now);
            const Waiting waiting = m_waiting.at(sequence);
            m_waiting.erase(sequence);
            m_ends.push(now + waiting.load.workTime);
            Outcome &outcome = m_results[waiting.load.account];
            const Duration wait = now - waiting.arrivedAt;
            ++outcome.started;
            outcome.longestWait = std::max(outcome.longestWait, wait);
            outcome.timely += wait + waiting.load.workTime <= waiting.load.objective ? 1 : 0;
        }
    }

    FairQueue m_queue;
    std::size_t m_slots;
    std::uint64_t m_sequence = 0;
    std::map<std::uint64_t, Waiting> m_waiting;
    std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> m_ends;
    std::map<std::string, Outcome> m_results;
};

constexpr FairQueueOptions fair{.hasFairShares = true};

// 10 slots x 200 ms are 50 requests/s. One account alone sends 100, four others send 4 together.
std::vector<Load> hotAccountBesideSmallOnes()
{
    std::vector<Load> loads{{.account = "hot", .interval = 10ms}};
    for (const int it : {1, 2, 3, 4}) {
        loads.push_back({.account = "small-" + std::to_string(it), .interval = 1s, .from = 50ms * it});
    }
    return loads;
}

std::vector<std::uint64_t> startAll(FairQueue &queue, TimePoint now)
{
    std::vector<std::uint64_t> sequences;
    while (!queue.empty()) {
        sequences.push_back(queue.first(1, now).front());
        queue.start(sequences.back(), now);
    }
    return sequences;
}

} // namespace

// The order of deployments that don't ask for fair shares must not change.
BOOST_AUTO_TEST_CASE(without_fair_shares_the_order_is_rank_and_arrival)
{
    Generator generator(7);
    FairQueue queue;
    std::set<std::pair<std::uint32_t, std::uint64_t>> expected;
    for (std::uint64_t sequence = 1; sequence <= 2000; ++sequence) {
        const TimePoint now = start + 1ms * sequence;
        const QueuedRequest request{.sequence = sequence,
                                    .rank = static_cast<std::uint32_t>(generator() % 3),
                                    .account = {"a" + std::to_string(generator() % 5)},
                                    .weight = static_cast<std::uint32_t>(generator() % 9 + 1),
                                    .startBy = now + 1ms * static_cast<int>(generator() % 50)};
        const auto ahead = static_cast<std::size_t>(std::distance(expected.begin(), expected.upper_bound({request.rank, UINT64_MAX})));
        BOOST_REQUIRE_EQUAL(queue.countAhead(request, now), ahead);
        queue.push(request, now);
        expected.emplace(request.rank, sequence);
        if (generator() % 2 == 0) {
            queue.start(expected.begin()->second, now);
            expected.erase(expected.begin());
        } else if (generator() % 4 == 0) {
            const auto it = std::next(expected.begin(), static_cast<std::ptrdiff_t>(generator() % expected.size()));
            queue.remove(it->second, now);
            expected.erase(it);
        }
        std::vector<std::uint64_t> order;
        std::transform(expected.begin(), expected.end(), std::back_inserter(order), [](const auto &it) { return it.second; });
        BOOST_REQUIRE(queue.first(expected.size(), now) == order);
        order.resize(std::min<std::size_t>(order.size(), 3));
        BOOST_REQUIRE(queue.first(3, now) == order);
    }
}

// Small accounts waited behind the whole backlog of a hot one.
BOOST_AUTO_TEST_CASE(a_hot_account_beside_small_ones_does_not_delay_them)
{
    const auto shared = World(fair, 10).run(hotAccountBesideSmallOnes());
    const auto byArrival = World({}, 10).run(hotAccountBesideSmallOnes());
    for (const int it : {1, 2, 3, 4}) {
        const std::string account = "small-" + std::to_string(it);
        BOOST_TEST(shared.at(account).started == shared.at(account).arrived);
        BOOST_TEST((shared.at(account).longestWait <= 200ms), account); // the next slot, at most
        BOOST_TEST((byArrival.at(account).longestWait > 2s), account);
    }
    const auto total = [](const std::map<std::string, Outcome> &results) {
        return std::accumulate(
            results.begin(), results.end(), std::size_t(0), [](std::size_t sum, const auto &it) { return sum + it.second.started; });
    };
    BOOST_TEST(total(shared) == total(byArrival)); // what the small accounts don't use goes to the hot one
}

// One account could take all slots in a burst.
BOOST_AUTO_TEST_CASE(a_burst_of_twice_the_traffic_is_shared_by_weight)
{
    const std::vector<Load> loads{
        {.account = "three", .interval = 20ms, .weight = 3},
        {.account = "one", .interval = 20ms},
    };
    FairQueue queue(fair);
    std::uint64_t sequence = 0;
    std::map<std::string, std::size_t> started;
    for (int i = 0; i < 400; ++i) {
        for (const Load &it : loads) {
            queue.push({.sequence = ++sequence, .account = {it.account}, .weight = it.weight}, start);
        }
    }
    for (int i = 0; i < 400; ++i) {
        const std::uint64_t next = queue.first(1, start).front();
        queue.start(next, start);
        ++started[loads[next % 2 == 1 ? 0 : 1].account];
    }
    BOOST_TEST(started["three"] == 300U, boost::test_tools::tolerance(2.0));
    BOOST_TEST(started["one"] == 100U);
    const auto results = World(fair, 10).run(loads); // 100 requests/s for 50
    const std::size_t total = results.at("three").started + results.at("one").started;
    BOOST_TEST(total >= 590U); // all slots are in use for 12 s
}

// Urgent requests waited behind a burst of the least urgent kind.
BOOST_AUTO_TEST_CASE(urgent_requests_pass_a_burst_of_the_least_urgent_kind)
{
    for (const bool hasFairShares : {false, true}) {
        const auto results = World({.hasFairShares = hasFairShares}, 10)
                                 .run({{.account = "bulk", .interval = 4ms, .rank = 2, .weight = 1000, .from = 1s, .until = 5s},
                                       {.account = "urgent", .interval = 100ms, .rank = 0}});
        BOOST_TEST((results.at("urgent").longestWait <= 200ms)); // the next slot, at most
        BOOST_TEST(results.at("urgent").started == results.at("urgent").arrived);
    }
}

// After a backlog each request was started when its objective had just passed.
BOOST_AUTO_TEST_CASE(requests_whose_objective_has_passed_go_last)
{
    const std::vector<Load> loads{
        {.account = "burst", .interval = 2ms, .until = 1s, .objective = 600ms},
        {.account = "burst", .interval = 25ms, .from = 1s, .objective = 600ms},
    };
    const auto shared = World(fair, 10).run(loads);
    const auto byArrival = World({}, 10).run(loads);
    BOOST_TEST(shared.at("burst").timely >= 350U); // of the 360 that follow the burst, and some of it
    BOOST_TEST(byArrival.at("burst").timely < 60U);
    BOOST_TEST(shared.at("burst").started >= 590U); // late ones get the slots that are left
}

BOOST_AUTO_TEST_CASE(late_requests_are_not_put_before_timely_ones_of_any_account)
{
    FairQueue queue(fair);
    queue.push({.sequence = 1, .account = {"a"}, .startBy = start + 10ms}, start);
    queue.push({.sequence = 2, .account = {"b"}, .startBy = start + 500ms}, start);
    queue.push({.sequence = 3, .account = {"a"}, .startBy = start + 500ms}, start);
    queue.push({.sequence = 4, .rank = 1, .account = {"c"}, .startBy = start + 500ms}, start);
    BOOST_TEST((queue.first(4, start) == std::vector<std::uint64_t>{1, 2, 3, 4}));
    BOOST_TEST((queue.first(4, start + 20ms) == std::vector<std::uint64_t>{2, 3, 1, 4})); // rank still comes first
    BOOST_TEST(queue.countAhead({.sequence = 5, .account = {"a"}, .startBy = start}, start + 20ms) == 3U);
    BOOST_TEST(queue.countAhead({.sequence = 5, .account = {"d"}, .startBy = start}, start + 20ms) == 2U); // late ones share as well
}

// An account that sent much in the last second was put behind the others for as long as it had been ahead.
BOOST_AUTO_TEST_CASE(past_use_is_forgotten_after_a_second_without_waiting_requests)
{
    FairQueue queue(fair);
    const QueuedRequest heavy{.sequence = 1, .account = {"light"}, .weight = 1}; // a start costs as much as 100 of the other
    queue.noteStart(heavy, start);
    const auto aheadOfNext = [&](TimePoint now) {
        FairQueue copy = queue;
        for (std::uint64_t sequence = 2; sequence <= 51; ++sequence) {
            copy.push({.sequence = sequence, .account = {"other"}, .weight = 100}, now);
        }
        return copy.countAhead({.sequence = 52, .account = {"light"}, .weight = 1}, now);
    };
    BOOST_TEST(aheadOfNext(start + 10ms) == 50U);
    BOOST_TEST(aheadOfNext(start + 1100ms) == 1U); // only the one that came first
}

// An account that was idle took all slots until its unused share was spent.
BOOST_AUTO_TEST_CASE(an_idle_account_saves_up_nothing)
{
    FairQueue queue(fair);
    std::uint64_t sequence = 0;
    for (int i = 0; i < 100; ++i) {
        queue.push({.sequence = ++sequence, .account = {"busy"}}, start);
    }
    for (int i = 0; i < 50; ++i) {
        queue.start(queue.first(1, start).front(), start);
    }
    for (int i = 0; i < 10; ++i) {
        queue.push({.sequence = ++sequence, .account = {"idle"}}, start);
    }
    const std::vector<std::uint64_t> order = startAll(queue, start);
    const auto ofIdle = std::count_if(order.begin(), order.begin() + 10, [](std::uint64_t it) { return it > 100; });
    BOOST_TEST(ofIdle == 5);
}

// Requests that gave up counted as service, so that an account whose callers leave got less than its share.
BOOST_AUTO_TEST_CASE(a_request_that_leaves_without_a_slot_costs_its_account_nothing)
{
    FairQueue queue(fair);
    for (std::uint64_t sequence = 1; sequence <= 10; ++sequence) {
        queue.push({.sequence = sequence, .account = {"impatient"}}, start);
    }
    queue.push({.sequence = 11, .account = {"other"}}, start);
    queue.push({.sequence = 12, .account = {"other"}}, start);
    for (std::uint64_t sequence = 1; sequence <= 9; ++sequence) {
        queue.remove(sequence, start);
    }
    queue.remove(99, start); // not in the queue
    BOOST_TEST((queue.first(9, start) == std::vector<std::uint64_t>{10, 11, 12}));
    BOOST_TEST(queue.size() == 3U);
}

// A request that starts out of turn moved the virtual time past the accounts that wait, and new accounts were put behind their backlog.
BOOST_AUTO_TEST_CASE(starts_out_of_turn_do_not_delay_accounts_that_come_later)
{
    FairQueue queue(fair);
    std::uint64_t sequence = 0;
    for (int i = 0; i < 50; ++i) {
        queue.push({.sequence = ++sequence, .account = {"waiting"}}, start);
    }
    for (int i = 0; i < 50; ++i) {
        queue.noteStart({.sequence = ++sequence, .account = {"passing"}}, start);
    }
    const QueuedRequest late{.sequence = ++sequence, .account = {"new"}};
    BOOST_TEST(queue.countAhead(late, start) == 1U);
}

// The number ahead of a new request decides whether it waits, and whether it may take a free slot; it has to agree with the order.
BOOST_AUTO_TEST_CASE(the_number_ahead_agrees_with_the_order)
{
    Generator generator(11);
    FairQueue queue(fair);
    for (std::uint64_t sequence = 1; sequence <= 3000; ++sequence) {
        const TimePoint now = start + 1ms * sequence;
        const auto account = generator() % 6;
        const QueuedRequest request{.sequence = sequence,
                                    .rank = static_cast<std::uint32_t>(generator() % 2),
                                    .account = {"a" + std::to_string(account)},
                                    .weight = account < 3 ? 1U : 4U,
                                    .startBy = now + 1ms * static_cast<int>(generator() % 40)};
        const std::size_t ahead = queue.countAhead(request, now);
        queue.push(request, now);
        const std::vector<std::uint64_t> order = queue.first(queue.size(), now);
        BOOST_REQUIRE_EQUAL(order.size(), queue.size());
        const auto position = std::find(order.begin(), order.end(), sequence) - order.begin();
        BOOST_REQUIRE_EQUAL(ahead, static_cast<std::size_t>(position));
        if (generator() % 20 != 0) {
            queue.start(order[generator() % std::min<std::size_t>(order.size(), 2)], now);
        }
    }
}
