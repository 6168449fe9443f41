// Hedged requests: the operators' limit and the retry budget hold under any latencies, and hedging stands down when a service is slow.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <pollenspoke/policy.h>
#include <queue>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

const RouteName route{"work"};
const TimePoint start(1h);
const HedgeConditions idle{.waiting = 0, .freeSlots = 20, .usableSlots = 20};

RetryBudget makeAmpleBudget()
{
    RetryBudget budget({.ratio = 10, .reserve = 1e6});
    budget.noteRequest(start);
    return budget;
}

// Lets the policy learn a route whose latencies are spread evenly over 100 to 200 ms.
void learn(HedgePolicy &policy, int n = 200)
{
    for (int i = 0; i < n; ++i) {
        policy.noteLatency(route, 100ms + i * 37 % 100 * 1ms, start);
    }
}

double toMs(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

// One Vm as the dispatcher drives it: requests arrive, and those that reach their delay ask for a hedge.
struct Vm
{
    HedgePolicy policy;
    RetryBudget budget;
};

struct Fleet
{
    std::vector<Vm> vms;
    HedgeOptions options;
    RetryBudgetOptions budgetOptions;

    Fleet(std::size_t n, const HedgeOptions &hedgeOptions, const RetryBudgetOptions &retryOptions)
        : options(hedgeOptions)
        , budgetOptions(retryOptions)
    {
        for (std::size_t i = 0; i < n; ++i) {
            vms.push_back(makeVm(n));
        }
    }
    Vm makeVm(std::size_t n) const
    {
        Vm vm{.policy = HedgePolicy(options), .budget = RetryBudget(budgetOptions)};
        vm.budget.setShare(1.0 / static_cast<double>(n));
        learn(vm.policy, 60);
        return vm;
    }
};

struct Outcome
{
    std::vector<TimePoint> requests;
    std::vector<TimePoint> hedges;
};

std::size_t countWithin(const std::vector<TimePoint> &times, TimePoint from, TimePoint to)
{
    return static_cast<std::size_t>(std::lower_bound(times.begin(), times.end(), to) - std::lower_bound(times.begin(), times.end(), from));
}

// Latencies chosen against the limit: `latency(i, sentAt)`. A Vm restarts where `restartsAt` says so.
Outcome simulate(Fleet &fleet,
                 double requestsPerSecond,
                 Duration runTime,
                 const std::function<Duration(std::size_t, TimePoint)> &latency,
                 const std::function<bool(std::size_t, TimePoint)> &restarts)
{
    struct Due
    {
        TimePoint at;
        std::size_t vm = 0;
        std::optional<Duration> latency; // answered; empty: the delay is reached
        bool operator>(const Due &other) const { return at > other.at; }
    };
    Outcome outcome;
    std::priority_queue<Due, std::vector<Due>, std::greater<>> events;
    const auto interval = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / requestsPerSecond));
    std::size_t i = 0;
    for (TimePoint now = start; now < start + runTime; now += interval, ++i) {
        while (!events.empty() && events.top().at <= now) {
            const Due due = events.top();
            events.pop();
            Vm &vm = fleet.vms[due.vm];
            if (due.latency) {
                vm.policy.noteLatency(route, *due.latency, due.at);
                continue;
            }
            vm.policy.noteDue(due.at);
            if (!vm.policy.take(idle, vm.budget, due.at)) {
                outcome.hedges.push_back(due.at);
            }
        }
        const std::size_t n = i % fleet.vms.size();
        if (restarts(n, now)) {
            fleet.vms[n] = fleet.makeVm(fleet.vms.size());
        }
        Vm &vm = fleet.vms[n];
        vm.policy.noteRequest();
        vm.budget.noteRequest(now);
        outcome.requests.push_back(now);
        const Duration taken = latency(i, now);
        const std::optional<Duration> delay = vm.policy.delay(route);
        if (delay && taken > *delay) {
            events.push({.at = now + *delay, .vm = n, .latency = std::nullopt});
        }
        events.push({.at = now + taken, .vm = n, .latency = taken});
    }
    return outcome;
}

} // namespace

BOOST_AUTO_TEST_CASE(the_delay_is_the_quantile_of_the_routes_own_latencies)
{
    HedgePolicy policy({.percent = 5});
    learn(policy, 49);
    BOOST_TEST(!policy.delay(route));
    learn(policy, 151);
    BOOST_REQUIRE(policy.delay(route).has_value());
    BOOST_TEST(toMs(*policy.delay(route)) >= 190);
    BOOST_TEST(toMs(*policy.delay(route)) <= 195 * 1.13);
    BOOST_TEST(!policy.delay({"other"}));
}

// Guards against hedges for each request after a service has become slower for good, and against none after it became faster.
BOOST_AUTO_TEST_CASE(the_quantile_follows_a_change_of_latencies)
{
    HedgePolicy policy({.percent = 5});
    learn(policy);
    for (int i = 0; i < 60; ++i) {
        policy.noteLatency(route, 800ms, start);
    }
    BOOST_TEST(toMs(*policy.delay(route)) >= 800);
    for (int i = 0; i < 1000; ++i) {
        policy.noteLatency(route, 20ms, start);
    }
    BOOST_TEST(toMs(*policy.delay(route)) <= 20 * 1.13);
}

// Guards against a delay that shrinks because the slow attempts are cancelled by their hedges and so leave no latency.
BOOST_AUTO_TEST_CASE(cancelled_attempts_keep_the_delay)
{
    HedgePolicy policy({.percent = 20});
    learn(policy);
    const Duration before = *policy.delay(route);
    for (int i = 0; i < 2000; ++i) {
        const Duration taken = 100ms + i * 37 % 100 * 1ms;
        const Duration delay = *policy.delay(route);
        policy.noteLatency(route, taken > delay ? delay + 20ms : taken, start); // its hedge answers 20 ms later
    }
    BOOST_TEST(toMs(*policy.delay(route)) >= toMs(before) * 0.88);
}

BOOST_AUTO_TEST_CASE(nothing_is_hedged_unless_it_is_enabled)
{
    HedgePolicy policy;
    RetryBudget budget = makeAmpleBudget();
    learn(policy);
    for (int i = 0; i < 1000; ++i) {
        policy.noteRequest();
    }
    BOOST_TEST(!policy.delay(route));
    BOOST_TEST((policy.take(idle, budget, start) == HedgeHoldback::LimitReached));
}

// Guards against hedges beyond the share at any time since the start, and against a stock of them from a calm time.
BOOST_AUTO_TEST_CASE(a_vm_hedges_at_most_its_share_of_its_own_requests)
{
    for (const std::uint32_t percent : {1U, 5U, 20U}) {
        HedgePolicy policy({.percent = percent});
        RetryBudget budget = makeAmpleBudget();
        std::uint32_t hedges = 0;
        for (std::uint32_t requests = 1; requests <= 2000; ++requests) {
            policy.noteRequest();
            while (requests % 3 == 0 && !policy.take(idle, budget, start)) {
                ++hedges;
            }
            BOOST_REQUIRE(hedges * 100 <= requests * percent);
        }
        BOOST_TEST(hedges >= 2000 * percent / 100 - 2);
        for (int i = 0; i < 2000; ++i) {
            policy.noteRequest();
        }
        std::uint32_t atOnce = 0;
        while (!policy.take(idle, budget, start)) {
            ++atOnce;
        }
        BOOST_TEST(atOnce == HedgeOptions().savedHedges);
    }
}

// Guards against a limit that holds per Vm only, or only while no Vm restarts: over the fleet, under latencies chosen against it.
BOOST_AUTO_TEST_CASE(the_limit_holds_over_the_fleet_under_any_latencies_and_restarts)
{
    const std::vector<std::pair<std::string, std::function<Duration(std::size_t, TimePoint)>>> courses{
        {"all slow", [](std::size_t, TimePoint) { return Duration(900ms); }},
        {"every fifth slow", [](std::size_t i, TimePoint) { return Duration(i / 8 % 5 == 0 ? 900ms : 100ms); }},
        {"slow in bursts", [](std::size_t, TimePoint at) { return Duration((at - start) / 1s % 10 < 1 ? 900ms : 100ms); }},
        {"slower and slower", [](std::size_t, TimePoint at) { return Duration(100ms) + (at - start) / 20; }},
        {"just beyond the delay", [](std::size_t i, TimePoint) { return Duration(i / 8 % 10 == 0 ? 230ms : 110ms); }},
    };
    for (const std::uint32_t percent : {2U, 5U, 20U}) {
        for (const auto &[name, latency] : courses) {
            for (const Duration life : {Duration(1h), Duration(3s), Duration(300ms)}) {
                constexpr std::size_t vms = 8;
                // no stand-down here: the limit alone has to hold
                const HedgeOptions options{.percent = percent, .slowShare = 2};
                Fleet fleet(vms, options, {.ratio = 10, .reserve = 1e6});
                TimePoint restartedAt[vms];
                std::fill(std::begin(restartedAt), std::end(restartedAt), start);
                const auto restarts = [&](std::size_t vm, TimePoint now) {
                    const bool isDue = now - restartedAt[vm] >= life;
                    restartedAt[vm] = isDue ? now : restartedAt[vm];
                    return isDue;
                };
                const Outcome outcome = simulate(fleet, 400, 40s, latency, restarts);
                BOOST_TEST(outcome.hedges.size() * 100 <= outcome.requests.size() * percent, name << ", " << percent << " %");
                for (TimePoint from = start; from < start + 40s; from += 500ms) {
                    const double requests = static_cast<double>(countWithin(outcome.requests, from, from + 10s));
                    const auto hedges = static_cast<double>(countWithin(outcome.hedges, from, from + 10s));
                    BOOST_REQUIRE_LE(hedges, requests * percent / 100 + vms * HedgeOptions().savedHedges);
                }
            }
        }
    }
}

// Guards against hedges that use up what failed requests need.
BOOST_AUTO_TEST_CASE(half_of_the_retry_budget_is_left_to_failures)
{
    HedgePolicy policy({.percent = 20});
    RetryBudget budget({.ratio = 0.1, .reserve = 0});
    int hedges = 0;
    std::optional<HedgeHoldback> heldBack;
    for (int i = 0; i < 1000; ++i) {
        policy.noteRequest();
        budget.noteRequest(start + i * 5ms);
        const std::optional<HedgeHoldback> held = policy.take(idle, budget, start + i * 5ms);
        hedges += held ? 0 : 1;
        heldBack = held == HedgeHoldback::RetryBudget ? held : heldBack;
    }
    BOOST_TEST(hedges > 40);
    BOOST_TEST(hedges <= 1000 * 0.1 / 2);
    BOOST_TEST((heldBack == HedgeHoldback::RetryBudget));
    int retries = 0;
    while (budget.takeRetry(start + 5s)) {
        ++retries;
    }
    BOOST_TEST(retries >= 1000 * 0.1 * 0.95 / 2 - 1);
}

// Guards against hedges that take the last of the budget after failures have used a part of it.
BOOST_AUTO_TEST_CASE(a_hedge_is_held_back_when_failures_have_used_half_of_the_budget)
{
    HedgePolicy policy({.percent = 20});
    RetryBudget budget({.ratio = 0.2, .reserve = 0});
    for (int i = 0; i < 100; ++i) {
        policy.noteRequest();
        budget.noteRequest(start);
    }
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(budget.takeRetry(start));
    }
    BOOST_TEST((policy.take(idle, budget, start) == HedgeHoldback::RetryBudget));
}

BOOST_AUTO_TEST_CASE(nothing_is_hedged_while_the_service_lacks_capacity)
{
    HedgePolicy policy({.percent = 20});
    RetryBudget budget = makeAmpleBudget();
    for (int i = 0; i < 100; ++i) {
        policy.noteRequest();
    }
    BOOST_TEST((policy.check({.waiting = 1, .freeSlots = 20, .usableSlots = 20}, budget, start) == HedgeHoldback::NoCapacity));
    BOOST_TEST((policy.check({.waiting = 0, .freeSlots = 4, .usableSlots = 20}, budget, start) == HedgeHoldback::NoCapacity));
    BOOST_TEST((policy.check({.waiting = 0, .freeSlots = 0, .usableSlots = 0}, budget, start) == HedgeHoldback::NoCapacity));
    BOOST_TEST(!policy.check({.waiting = 0, .freeSlots = 5, .usableSlots = 20}, budget, start));
}

// Guards against hedges that add load to a service that is slow as a whole: its requests become four times slower at once.
BOOST_AUTO_TEST_CASE(hedging_stands_down_when_the_service_as_a_whole_turns_slow)
{
    Fleet fleet(4, {.percent = 20}, {.ratio = 10, .reserve = 1e6});
    const auto latency = [](std::size_t i, TimePoint at) {
        return (i % 31 == 7 ? Duration(400ms) : Duration(100ms + i * 37 % 100 * 1ms)) * (at < start + 20s ? 1 : 4);
    };
    const Outcome outcome = simulate(fleet, 200, 40s, latency, [](std::size_t, TimePoint) { return false; });
    // Until the first slow ones reach their delay nothing can be known; then each Vm takes a few to be sure.
    BOOST_TEST(countWithin(outcome.hedges, start + 20s, start + 22s) <= 4 * 12U);
    BOOST_TEST(countWithin(outcome.hedges, start + 22s, start + 25s) == 0U);
    BOOST_TEST(countWithin(outcome.hedges, start + 10s, start + 20s) > 0U);
}

// The same if a service stops answering at all: only the delays that are reached tell.
BOOST_AUTO_TEST_CASE(hedging_stands_down_when_the_service_stalls)
{
    Fleet fleet(4, {.percent = 20}, {.ratio = 10, .reserve = 1e6});
    const auto latency = [](std::size_t i, TimePoint at) { return at < start + 20s ? Duration(100ms + i * 37 % 100 * 1ms) : Duration(1h); };
    const Outcome outcome = simulate(fleet, 200, 60s, latency, [](std::size_t, TimePoint) { return false; });
    BOOST_TEST(countWithin(outcome.hedges, start + 22s, start + 60s) == 0U);
}

// Guards against standing down for a single slow target of many, which is what hedges are for.
BOOST_AUTO_TEST_CASE(one_slow_target_of_ten_is_hedged)
{
    Fleet fleet(4, {.percent = 20}, {.ratio = 10, .reserve = 1e6});
    const auto latency = [](std::size_t i, TimePoint at) {
        const bool isSlow = at >= start + 20s && i / 4 % 10 == 3;
        return Duration(100ms + i * 37 % 100 * 1ms) + (isSlow ? Duration(2s) : Duration(0));
    };
    const Outcome outcome = simulate(fleet, 200, 30s, latency, [](std::size_t, TimePoint) { return false; });
    BOOST_TEST(countWithin(outcome.hedges, start + 21s, start + 24s) >= 200 * 3 * 0.05);
}

namespace {

Target makeTarget(const std::string &name, std::uint32_t warmupMs = 0)
{
    return {.name = {name},
            .address = {.ip = "10.0.0." + name, .port = 80},
            .failureDomain = {"a"},
            .slots = 2,
            .warmupMs = warmupMs,
            .incarnation = 1};
}

std::optional<Target> chooseForHedge(ServiceBalancer &balancer, TimePoint now)
{
    static const std::vector<TargetName> tried{{"1"}};
    Generator generator{7};
    return balancer.chooseForHedge({.tried = tried, .local = {"a"}}, now, generator);
}

} // namespace

// Each row makes target 2 unfit; target 1 has the first attempt.
BOOST_AUTO_TEST_CASE(a_hedge_goes_to_no_target_that_anything_speaks_against)
{
    const std::vector<Target> targets{makeTarget("1"), makeTarget("2")};
    const TargetInstance second{.name = {"2"}, .address = targets[1].address, .incarnation = 1};
    Generator generator{7};
    const auto makeBalancer = [&targets] {
        ServiceBalancer balancer;
        balancer.setTargets(targets, start);
        return balancer;
    };
    {
        ServiceBalancer balancer = makeBalancer();
        BOOST_TEST((chooseForHedge(balancer, start).value().name == TargetName{"2"}));
        BOOST_TEST((chooseForHedge(balancer, start).value().name == TargetName{"2"}));
        BOOST_TEST(!chooseForHedge(balancer, start).has_value(), "no slot is free");
    }
    {
        ServiceBalancer balancer;
        balancer.setTargets({makeTarget("1"), makeTarget("2", 1000)}, start);
        BOOST_TEST(!chooseForHedge(balancer, start).has_value(), "warming up");
        BOOST_TEST(chooseForHedge(balancer, start + 1s).has_value(), "warm");
    }
    {
        ServiceBalancer balancer = makeBalancer();
        balancer.announce(second, {.warmup = 1s}, start);
        BOOST_TEST(!chooseForHedge(balancer, start).has_value(), "warming up by its own answer");
        BOOST_TEST(chooseForHedge(balancer, start + 1s).has_value(), "warm");
    }
    {
        ServiceBalancer balancer;
        Target evacuated = makeTarget("2");
        evacuated.isEvacuated = true;
        balancer.setTargets({makeTarget("1"), evacuated}, start);
        BOOST_TEST(!chooseForHedge(balancer, start).has_value(), "evacuated");
    }
    for (const TargetAnnouncement &it :
         {TargetAnnouncement{.isLeaving = true}, TargetAnnouncement{.pause = 1s}, TargetAnnouncement{.limit = 1000.0}}) {
        ServiceBalancer balancer = makeBalancer();
        balancer.announce(second, it, start);
        BOOST_TEST(!chooseForHedge(balancer, start).has_value(), "leaving, paused or limited");
    }
    for (const AttemptEnd end : {AttemptEnd::Failed, AttemptEnd::Unreachable, AttemptEnd::Silent}) {
        ServiceBalancer balancer = makeBalancer();
        BOOST_REQUIRE(chooseForHedge(balancer, start).has_value());
        balancer.end({"2"}, end, 1ms, start, start + 1ms, route);
        BOOST_TEST(!chooseForHedge(balancer, start + 2ms).has_value(), "paused after a failure");
        BOOST_TEST(!chooseForHedge(balancer, start + 1h).has_value(), "half-open");
    }
    {
        ServiceBalancer balancer = makeBalancer();
        BOOST_REQUIRE(chooseForHedge(balancer, start).has_value());
        balancer.end({"2"}, AttemptEnd::Failed, 1ms, start, start + 1ms, route);
        const TimePoint returnedAt = start + 10s;
        for (int i = 0; i < 2; ++i) {
            BOOST_REQUIRE((balancer.choose({.local = {"a"}}, returnedAt, generator).value().name == TargetName{"2"}));
            balancer.end({"2"}, AttemptEnd::Answered, 1ms, returnedAt, returnedAt, route);
        }
        BOOST_TEST(!chooseForHedge(balancer, returnedAt + 100ms).has_value(), "just returned");
        BOOST_TEST(chooseForHedge(balancer, returnedAt + 1s).has_value(), "back in use");
    }
    {
        ServiceBalancer balancer = makeBalancer();
        balancer.applyObservations({"vm-2"}, {{.target = {"2"}, .leavingIncarnation = 1}}, true, start);
        BOOST_TEST(!chooseForHedge(balancer, start).has_value(), "another Vm says that it is leaving");
    }
}
