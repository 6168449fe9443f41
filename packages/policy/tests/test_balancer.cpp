// Outcome-based target selection and the retry budget, in virtual time.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <pollenspoke/policy.h>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

std::vector<Target> makeTargets(std::size_t n)
{
    std::vector<Target> targets;
    for (std::size_t i = 0; i < n; ++i) {
        targets.push_back({.name = {"t" + std::to_string(i)}, .failureDomain = {"fd-a"}, .slots = 2});
    }
    return targets;
}

constexpr auto requestDuration = 100ms;

// Several Vms in front of one service. Requests are answered after `requestDuration`; those sent to failing targets fail after 1 ms.
class Harness
{
public:
    Harness(std::size_t vms, std::size_t targets)
        : m_balancers(vms)
    {
        std::vector<VmName> names;
        for (std::size_t i = 0; i < vms; ++i) {
            names.push_back({"vm-" + std::to_string(i)});
        }
        for (std::size_t i = 0; i < vms; ++i) {
            m_balancers[i].setTargets(makeTargets(targets), m_now);
            m_balancers[i].setLimitSharers({.self = names[i], .vms = names, .fleetSize = vms}, m_now);
        }
    }

    void setFailing(std::vector<std::string> targetNames) { m_failingTargets = std::move(targetNames); }

    // Sends requests at a fixed interval, round-robin over the Vms; returns how many failed.
    std::size_t runRequests(std::size_t requests, Duration interval)
    {
        std::size_t failed = 0;
        for (std::size_t i = 0; i < requests; ++i, m_now += interval) {
            completeDueRequests();
            if (i % 5 == 0) {
                exchangeReports();
            }
            ServiceBalancer &balancer = m_balancers[i % m_balancers.size()];
            const std::optional<Target> target = balancer.choose({.local = {"fd-a"}}, m_now, m_generator);
            if (!target) {
                ++m_refused;
                continue;
            }
            const bool fails = std::find(m_failingTargets.begin(), m_failingTargets.end(), target->name.value) != m_failingTargets.end();
            failed += fails ? 1 : 0;
            m_inFlightRequests.push_back(
                {i % m_balancers.size(), target->name, m_now, m_now + (fails ? Duration(1ms) : Duration(requestDuration)), fails});
        }
        return failed;
    }

    std::size_t refused() const { return m_refused; }

private:
    struct InFlightRequest
    {
        std::size_t vm;
        TargetName target;
        TimePoint startedAt;
        TimePoint endsAt;
        bool fails;
    };

    void completeDueRequests()
    {
        for (const InFlightRequest &it : m_inFlightRequests) {
            if (it.endsAt <= m_now) {
                const AttemptEnd end = it.fails ? AttemptEnd::Failed : AttemptEnd::Answered;
                m_balancers[it.vm].end(it.target, end, it.endsAt - it.startedAt, it.startedAt, it.endsAt);
            }
        }
        std::erase_if(m_inFlightRequests, [this](const InFlightRequest &it) { return it.endsAt <= m_now; });
    }

    void exchangeReports()
    {
        for (std::size_t from = 0; from < m_balancers.size(); ++from) {
            for (std::size_t to = 0; to < m_balancers.size(); ++to) {
                if (from != to) {
                    m_balancers[to].applyObservations({"vm-" + std::to_string(from)}, m_balancers[from].observations(m_now), true, m_now);
                }
            }
        }
    }

    std::vector<ServiceBalancer> m_balancers;
    std::vector<std::string> m_failingTargets;
    std::vector<InFlightRequest> m_inFlightRequests;
    TimePoint m_now{1h};
    Generator m_generator{3};
    std::size_t m_refused = 0;
};

std::size_t chooseTargetIndex(ServiceBalancer &balancer, const ChoiceRequest &request, TimePoint now, Generator &generator)
{
    const std::optional<Target> target = balancer.choose(request, now, generator);
    return target ? std::stoul(target->name.value.substr(1)) : SIZE_MAX;
}

} // namespace

// A third of the targets fail every request for several seconds while their health checks pass.
BOOST_AUTO_TEST_CASE(failing_targets_fail_few_requests_across_all_vms)
{
    Harness harness(12, 16);
    harness.setFailing({"t0", "t1", "t2", "t3", "t4"});
    const std::size_t failed = harness.runRequests(300, 16ms); // 4.8 s of 62 requests/s
    BOOST_TEST(failed <= 15U);                                 // three per target: the first, and retries after pauses of 2 s or more
    BOOST_TEST(harness.refused() == 0U);
}

BOOST_AUTO_TEST_CASE(a_recovered_target_receives_requests_again)
{
    Harness harness(4, 4);
    harness.setFailing({"t0"});
    harness.runRequests(100, 20ms);
    harness.setFailing({});
    BOOST_TEST(harness.runRequests(600, 20ms) == 0U);
    harness.setFailing({"t0"});
    BOOST_TEST(harness.runRequests(100, 20ms) >= 1U);
}

// Guards against pausing healthy targets for failures that belong to the request: when 1 % of the requests fail after the usual
// latency at any target, pausing on each failure took a third of the healthy targets out of use in a fleet at a third of its load.
BOOST_AUTO_TEST_CASE(one_failure_after_the_usual_latency_pauses_no_target_but_two_in_a_row_do)
{
    ServiceBalancer balancer;
    const TimePoint now{1h};
    balancer.setTargets(makeTargets(1), now);
    balancer.end({"t0"}, AttemptEnd::Answered, requestDuration, now, now);
    BOOST_TEST(!balancer.end({"t0"}, AttemptEnd::Failed, requestDuration, now, now).has_value());
    balancer.end({"t0"}, AttemptEnd::Answered, requestDuration, now, now);
    BOOST_TEST(!balancer.end({"t0"}, AttemptEnd::Failed, requestDuration, now, now).has_value());
    BOOST_TEST(balancer.end({"t0"}, AttemptEnd::Failed, requestDuration, now, now).has_value());
}

namespace {

// Balancers of several Vms, before the same targets of one service.
std::vector<ServiceBalancer> makeFleet(std::size_t vms, std::size_t targets, TimePoint now, const BalancerOptions &options = {})
{
    std::vector<VmName> names;
    for (std::size_t i = 0; i < vms; ++i) {
        names.push_back({"vm-" + std::to_string(i)});
    }
    std::vector<ServiceBalancer> fleet(vms, ServiceBalancer(options));
    for (std::size_t i = 0; i < vms; ++i) {
        fleet[i].setTargets(makeTargets(targets), now);
        fleet[i].setLimitSharers({.self = names[i], .vms = names, .fleetSize = vms}, now);
    }
    return fleet;
}

void tellAll(std::vector<ServiceBalancer> &fleet, std::size_t from, TimePoint now)
{
    for (std::size_t to = 0; to < fleet.size(); ++to) {
        if (to != from) {
            fleet[to].applyObservations({"vm-" + std::to_string(from)}, fleet[from].observations(now), true, now);
        }
    }
}

// Whether one of some requests goes to the target.
bool choosesTarget(ServiceBalancer &balancer, const std::string &name, bool isRetryable, TimePoint now)
{
    Generator generator{1};
    bool wasChosen = false;
    for (int i = 0; i < 100; ++i) {
        const std::optional<Target> target = balancer.choose({.local = {"fd-a"}, .isRetryable = isRetryable}, now, generator);
        wasChosen = wasChosen || (target && target->name.value == name);
        if (target) {
            balancer.end(target->name, AttemptEnd::Abandoned, 0ms, now, now);
        }
    }
    return wasChosen;
}

} // namespace

// Guards against a pause that ends for all Vms at once: eight Vms sent to the same failing target within 10 ms, and each lost a request
// that may run only once.
BOOST_AUTO_TEST_CASE(one_vm_after_the_other_tries_a_target_that_failed)
{
    const TimePoint failedAt{1h};
    std::vector<ServiceBalancer> fleet = makeFleet(8, 8, failedAt);
    fleet[0].end({"t0"}, AttemptEnd::Failed, 1ms, failedAt, failedAt);
    tellAll(fleet, 0, failedAt);
    const BalancerOptions options;
    std::set<std::size_t> ranks;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const std::vector<VmName> names{{"vm-0"}, {"vm-1"}, {"vm-2"}, {"vm-3"}, {"vm-4"}, {"vm-5"}, {"vm-6"}, {"vm-7"}};
        const std::size_t rank = returnRank({"t0"}, {.self = names[i], .vms = names, .fleetSize = 8});
        ranks.insert(rank);
        const TimePoint turn = failedAt + options.failurePause + options.returnStep * static_cast<int>(rank);
        BOOST_TEST(!choosesTarget(fleet[i], "t0", false, turn - 1ms));
        BOOST_TEST(choosesTarget(fleet[i], "t0", false, turn + 1ms));
    }
    BOOST_TEST(ranks.size() == 8U);
}

// Guards against trying a failed target with requests that may run only once where others would do.
BOOST_AUTO_TEST_CASE(requests_that_can_be_retried_try_a_target_that_failed_first)
{
    const TimePoint failedAt{1h};
    ServiceBalancer balancer = std::move(makeFleet(1, 8, failedAt).front());
    const BalancerOptions options;
    balancer.end({"t0"}, AttemptEnd::Failed, 1ms, failedAt, failedAt);
    const TimePoint turn = failedAt + options.failurePause;
    BOOST_TEST(choosesTarget(balancer, "t1", true, turn - 1ms)); // the service has requests that can be retried
    BOOST_TEST(!choosesTarget(balancer, "t0", false, turn + options.retryableLead - 1ms));
    BOOST_TEST(choosesTarget(balancer, "t0", false, turn + options.retryableLead));
    BOOST_TEST(choosesTarget(balancer, "t0", true, turn));
}

// Guards against idle targets that are well again: at most-once services left 5 of 15 healthy targets without a request for 2 s, since they
// were avoided for up to 17 s as long as others had room. A target counts as healthy 2 s after its last failure.
BOOST_AUTO_TEST_CASE(a_target_that_is_well_again_gets_a_request_within_four_seconds_of_its_failure)
{
    constexpr std::size_t vms = 8;
    const TimePoint failedAt{1h};
    std::vector<ServiceBalancer> fleet = makeFleet(vms, 30, failedAt);
    for (int i = 0; i < 9; ++i) {
        fleet[0].end({"t" + std::to_string(i)}, AttemptEnd::Failed, 1ms, failedAt, failedAt);
    }
    tellAll(fleet, 0, failedAt);
    std::map<std::string, TimePoint> firstRequests;
    Generator generator{1};
    std::size_t next = 0;
    for (TimePoint now = failedAt + 100ms; now < failedAt + 4s; now += 10ms) { // 100 requests/s that may run only once
        ServiceBalancer &balancer = fleet[++next % vms];
        const std::optional<Target> target = balancer.choose({.local = {"fd-a"}, .isRetryable = false}, now, generator);
        BOOST_REQUIRE(target.has_value());
        firstRequests.try_emplace(target->name.value, now);
        balancer.end(target->name, AttemptEnd::Answered, 5ms, now, now);
        tellAll(fleet, next % vms, now);
    }
    for (int i = 0; i < 9; ++i) {
        const auto it = firstRequests.find("t" + std::to_string(i));
        BOOST_REQUIRE(it != firstRequests.end());
        BOOST_TEST((it->second - failedAt >= 3s));
        BOOST_TEST((it->second - failedAt <= 3500ms));
    }
}

BOOST_AUTO_TEST_CASE(a_target_returns_on_all_vms_once_its_trial_has_succeeded)
{
    const TimePoint failedAt{1h};
    std::vector<ServiceBalancer> fleet = makeFleet(2, 8, failedAt);
    fleet[0].end({"t0"}, AttemptEnd::Failed, 1ms, failedAt, failedAt);
    tellAll(fleet, 0, failedAt);
    const TimePoint now = failedAt + 3100ms;
    fleet[0].end({"t0"}, AttemptEnd::Answered, 50ms, failedAt - 1ms, now); // sent before the failure: proves nothing
    fleet[0].end({"t0"}, AttemptEnd::Answered, 50ms, now, now);
    fleet[0].applyObservations({"vm-1"}, fleet[1].observations(now), true, now);
    tellAll(fleet, 0, now);
    fleet[0].end({"t0"}, AttemptEnd::Answered, 50ms, now, now);
    BOOST_REQUIRE(fleet[0].observations(now).size() == 1U);
    BOOST_TEST(fleet[0].observations(now).front().returnAge.has_value());
    tellAll(fleet, 0, now);
    const BalancerOptions options;
    for (ServiceBalancer &it : fleet) {
        BOOST_TEST(choosesTarget(it, "t0", false, now + options.returnTime));
    }
    BOOST_TEST(fleet[0].observations(now + 3s).empty());
}

// Guards against the rush to a target that has just returned, which looks idle to all Vms at once.
BOOST_AUTO_TEST_CASE(a_target_that_has_just_returned_gets_no_more_requests_than_it_has_slots)
{
    const TimePoint failedAt{1h};
    std::vector<ServiceBalancer> fleet = makeFleet(8, 2, failedAt); // 2 slots each
    fleet[0].end({"t0"}, AttemptEnd::Failed, 1ms, failedAt, failedAt);
    const TimePoint now = failedAt + 3s;
    fleet[0].end({"t0"}, AttemptEnd::Answered, 50ms, now, now);
    fleet[0].end({"t0"}, AttemptEnd::Answered, 50ms, now, now);
    tellAll(fleet, 0, failedAt);
    tellAll(fleet, 0, now);
    const auto countRequests = [&fleet](TimePoint at) {
        Generator generator{1};
        std::size_t n = 0;
        for (ServiceBalancer &it : fleet) { // two requests each at the same moment; the other target has room for them
            for (int i = 0; i < 2; ++i) {
                const std::optional<Target> target = it.choose({.local = {"fd-a"}}, at, generator);
                n += target && target->name.value == "t0" ? 1 : 0;
            }
        }
        return n;
    };
    BOOST_TEST(countRequests(now) <= 2U);
    BOOST_TEST(countRequests(now + 600ms) > 2U);
}

// Guards against a trial that passes by luck: a target that fails half of its requests returned after one answer and failed the next ones.
BOOST_AUTO_TEST_CASE(a_trial_needs_two_answers_in_a_row)
{
    const TimePoint failedAt{1h};
    ServiceBalancer balancer = std::move(makeFleet(1, 2, failedAt).front());
    balancer.end({"t0"}, AttemptEnd::Failed, 1ms, failedAt, failedAt);
    const TimePoint now = failedAt + 3s;
    balancer.end({"t0"}, AttemptEnd::Answered, 50ms, now, now);
    const std::optional<TargetPause> pause = balancer.end({"t0"}, AttemptEnd::Failed, 300ms, now, now + 300ms);
    BOOST_REQUIRE(pause.has_value()); // though it took as long as an answer
    BOOST_TEST((pause->length == 3s));
    BOOST_TEST(!choosesTarget(balancer, "t0", true, now + 3200ms));
}

// Load: a burst of twice the traffic. With the pause and the order of calm times, requests of rank 0 were refused for want of slots while
// targets that were well again stood idle: 635 of 1,485 in place of 528.
BOOST_AUTO_TEST_CASE(targets_that_failed_return_sooner_while_slots_are_short)
{
    const TimePoint failedAt{1h};
    std::vector<ServiceBalancer> fleet = makeFleet(8, 4, failedAt);
    fleet[0].end({"t0"}, AttemptEnd::Failed, 1ms, failedAt, failedAt);
    tellAll(fleet, 0, failedAt);
    Generator generator{1};
    const TimePoint now = failedAt + 2100ms;
    for (ServiceBalancer &it : fleet) {
        std::set<std::string> names;
        for (int i = 0; i < 20; ++i) { // three targets of two slots, then one after the other finds none
            if (const std::optional<Target> target = it.choose({.local = {"fd-a"}, .isRetryable = false}, now, generator)) {
                names.insert(target->name.value);
            }
        }
        BOOST_TEST(names.size() == 4U);
    }
}

// Guards against leaving recovered targets idle while an account far over its rate is refused and a third of the targets fail in turn: in a
// load test 18 of 32 healthy targets received no requests for 2 s.
BOOST_AUTO_TEST_CASE(no_target_waits_longer_for_its_trial_while_many_requests_are_refused)
{
    const TimePoint failedAt{1h};
    ServiceBalancer balancer = std::move(makeFleet(1, 20, failedAt).front());
    for (int i = 0; i < 7; ++i) {
        balancer.end({"t" + std::to_string(i)}, AttemptEnd::Failed, 1ms, failedAt, failedAt);
    }
    const TimePoint now = failedAt + 3s;
    for (int i = 0; i < 100; ++i) {
        balancer.noteRequest(i % 10 == 0, now);
    }
    Generator generator{1};
    std::set<std::string> targetNames;
    for (int i = 0; i < 300; ++i) {
        if (const std::optional<Target> target = balancer.choose({.local = {"fd-a"}, .isRetryable = false}, now, generator)) {
            targetNames.insert(target->name.value);
        }
    }
    BOOST_TEST(targetNames.size() == 20U);
}

// Guards against a feedback loop: refusals make the balancer retry failing targets, and their failures cause more refusals (a
// fifth of all requests failed that way). While many requests are refused, a target that fails again still gets its first pause.
BOOST_AUTO_TEST_CASE(a_target_that_fails_again_is_paused_while_many_requests_are_refused)
{
    ServiceBalancer balancer;
    Generator generator{1};
    TimePoint now{1h};
    balancer.setTargets(makeTargets(1), now);
    std::size_t failures = 0;
    for (int i = 0; i < 1000; ++i, now += 10ms) { // 10 s
        balancer.noteRequest(i % 10 == 0, now);
        balancer.setTargets(makeTargets(i < 5 ? 1 : 3), now);
        const std::optional<Target> target = balancer.choose({.local = {"fd-a"}, .isRetryable = false}, now, generator);
        const bool fails = target->name.value == "t0";
        failures += fails ? 1 : 0;
        balancer.end(target->name, fails ? AttemptEnd::Failed : AttemptEnd::Answered, fails ? 1ms : 100ms, now, now);
    }
    BOOST_TEST(failures <= 15U); // five while it is the only target, then one every 2 s
}

// Guards against ranking equal targets by random differences in latency, which would leave some idle at low load.
BOOST_AUTO_TEST_CASE(idle_targets_of_similar_latency_all_get_requests_while_many_requests_are_refused)
{
    ServiceBalancer balancer;
    Generator generator{1};
    const TimePoint now{1h};
    balancer.setTargets(makeTargets(8), now);
    std::map<std::string, int> choiceCounts;
    for (int i = 0; i < 8; ++i) {
        balancer.end({"t" + std::to_string(i)}, AttemptEnd::Answered, 100ms + 4ms * i, now, now);
    }
    for (int i = 0; i < 100; ++i) {
        balancer.noteRequest(i % 10 == 0, now);
    }
    for (int i = 0; i < 160; ++i) {
        const std::optional<Target> target = balancer.choose({.local = {"fd-a"}}, now, generator);
        ++choiceCounts[target->name.value];
        balancer.end(target->name, AttemptEnd::Abandoned, 0ms, now, now);
    }
    BOOST_TEST(choiceCounts.size() == 8U);
    BOOST_TEST(choiceCounts["t7"] >= 2);
}

// Downloads and look-ups share a service: a target that has just served downloads must not count as slow for look-ups.
// Otherwise two fifths of the downloads went to another failure domain while local targets were idle.
BOOST_AUTO_TEST_CASE(latencies_are_compared_per_route_and_local_targets_are_preferred_while_they_have_free_slots)
{
    ServiceBalancer balancer;
    Generator generator{1};
    const TimePoint now{1h};
    std::vector<Target> targets = makeTargets(4);
    targets[2].failureDomain = {"fd-b"};
    targets[3].failureDomain = {"fd-b"};
    balancer.setTargets(targets, now);
    for (int i = 0; i < 20; ++i) {
        balancer.end({"t" + std::to_string(i % 2)}, AttemptEnd::Answered, 400ms, now, now, {"download"});
        balancer.end({"t" + std::to_string(2 + i % 2)}, AttemptEnd::Answered, 100ms, now, now, {"look-up"});
    }
    for (int i = 0; i < 4; ++i) {
        BOOST_TEST(chooseTargetIndex(balancer, {.local = {"fd-a"}}, now, generator) < 2U);
    }
    BOOST_TEST(chooseTargetIndex(balancer, {.local = {"fd-a"}}, now, generator) >= 2U); // the local targets are full
}

// Guards against a service without any selectable target when all targets fail at once.
BOOST_AUTO_TEST_CASE(half_the_targets_stay_selectable_when_every_target_fails)
{
    ServiceBalancer balancer;
    Generator generator{1};
    const TimePoint now{1h};
    balancer.setTargets(makeTargets(10), now);
    for (const Target &it : makeTargets(10)) {
        balancer.end(it.name, AttemptEnd::Failed, 1ms, now, now);
    }
    BOOST_TEST(balancer.usableSlots(now + 1ms) >= 5U);
    BOOST_TEST(balancer.choose({.local = {"fd-a"}}, now + 1ms, generator).has_value());
}

BOOST_AUTO_TEST_CASE(no_target_is_chosen_without_a_free_slot_and_a_released_slot_is_reused)
{
    ServiceBalancer balancer;
    Generator generator{1};
    const TimePoint now{1h};
    balancer.setTargets(makeTargets(1), now);
    BOOST_TEST(balancer.choose({.local = {"fd-a"}}, now, generator).has_value());
    BOOST_TEST(balancer.choose({.local = {"fd-a"}}, now, generator).has_value());
    BOOST_TEST(!balancer.choose({.local = {"fd-a"}}, now, generator).has_value());
    BOOST_TEST(balancer.freeSlots(now) == 0U);
    balancer.end({"t0"}, AttemptEnd::Abandoned, 0ms, now, now);
    BOOST_TEST(balancer.choose({.local = {"fd-a"}}, now, generator).has_value());
}

BOOST_AUTO_TEST_CASE(slots_used_by_other_vms_count_as_occupied)
{
    ServiceBalancer balancer;
    Generator generator{1};
    const TimePoint now{1h};
    balancer.setTargets(makeTargets(2), now);
    balancer.applyObservations({"vm-2"}, {{.target = {"t0"}, .inFlight = 2}}, true, now);
    BOOST_TEST(chooseTargetIndex(balancer, {.local = {"fd-a"}}, now, generator) == 1U);
    BOOST_TEST(chooseTargetIndex(balancer, {.local = {"fd-a"}}, now, generator) == 1U);
    BOOST_TEST(chooseTargetIndex(balancer, {.local = {"fd-a"}}, now, generator) == SIZE_MAX);
    BOOST_TEST(chooseTargetIndex(balancer, {.local = {"fd-a"}}, now + 2s, generator) == 0U); // the report has expired
}

BOOST_AUTO_TEST_CASE(a_partial_report_leaves_other_targets_unchanged)
{
    ServiceBalancer balancer;
    Generator generator{1};
    const TimePoint now{1h};
    balancer.setTargets(makeTargets(2), now);
    balancer.applyObservations({"vm-2"}, {{.target = {"t0"}, .inFlight = 2}}, true, now);
    balancer.applyObservations({"vm-2"}, {{.target = {"t1"}, .inFlight = 2}}, false, now);
    BOOST_TEST(!balancer.choose({.local = {"fd-a"}}, now, generator).has_value());
    balancer.applyObservations({"vm-2"}, {{.target = {"t0"}, .inFlight = 0}}, false, now);
    BOOST_TEST(chooseTargetIndex(balancer, {.local = {"fd-a"}}, now, generator) == 0U);
}

// Load: urgent requests of 400 ms share a service with less urgent ones of 1.2 s. By the usual latency of the service, an urgent request
// with 1.5 s left couldn't be answered in time and was refused at once, while the others were served.
BOOST_AUTO_TEST_CASE(the_usual_latency_of_a_route_is_its_own)
{
    ServiceBalancer balancer;
    Generator generator{1};
    TimePoint now{1h};
    balancer.setTargets(makeTargets(8), now);
    const RouteName slow{"snippets"};
    const RouteName quick{"alerts"};
    BOOST_TEST((balancer.usualLatency(quick) == balancer.usualLatency())); // no answer yet
    for (int i = 0; i < 200; ++i) {
        const bool isSlow = i % 10 != 0;
        const Duration latency = isSlow ? 1200ms : 400ms;
        const std::optional<Target> target = balancer.choose({.local = {"fd-a"}}, now, generator);
        BOOST_REQUIRE(target.has_value());
        const TimePoint startedAt = now;
        now += latency;
        balancer.end(target->name, AttemptEnd::Answered, latency, startedAt, now, isSlow ? slow : quick);
    }
    BOOST_TEST((balancer.usualLatency(quick) == 400ms));
    BOOST_TEST((balancer.usualLatency() > 1000ms));
    BOOST_TEST((maxQueueTime(1000ms, 1500ms, balancer.usualLatency(quick)) == 400ms));
    BOOST_TEST((maxQueueTime(1000ms, 1500ms, balancer.usualLatency()) < 400ms));
}

// A target unreachable from one Vm may be a fault of that Vm's network path, so it takes two Vms to pause it for the others.
BOOST_AUTO_TEST_CASE(a_target_unreachable_from_one_vm_stays_available_to_the_others)
{
    ServiceBalancer balancer;
    Generator generator{1};
    const TimePoint now{1h};
    balancer.setTargets(makeTargets(1), now);
    balancer.applyObservations({"vm-2"}, {{.target = {"t0"}, .unreachablePause = 2s}}, true, now);
    BOOST_TEST(balancer.choose({.local = {"fd-a"}}, now, generator).has_value());
    balancer.applyObservations({"vm-3"}, {{.target = {"t0"}, .unreachablePause = 2s}}, true, now);
    balancer.setTargets(makeTargets(3), now);
    for (int i = 0; i < 4; ++i) {
        BOOST_TEST(chooseTargetIndex(balancer, {.local = {"fd-a"}}, now, generator) != 0U);
    }
}

BOOST_AUTO_TEST_CASE(a_target_with_a_long_running_request_is_avoided_while_others_have_free_slots)
{
    ServiceBalancer balancer;
    Generator generator{1};
    const TimePoint start{1h};
    balancer.setTargets(makeTargets(3), start);
    const std::size_t targetWithOldRequest = chooseTargetIndex(balancer, {.local = {"fd-a"}}, start, generator);
    for (int i = 0; i < 4; ++i) {
        BOOST_TEST(chooseTargetIndex(balancer, {.local = {"fd-a"}}, start + 2s, generator) != targetWithOldRequest);
    }
}

BOOST_AUTO_TEST_CASE(retries_stay_within_the_ratio_and_the_reserve)
{
    RetryBudget budget({.ratio = 0.2, .reserve = 60, .window = 10s});
    budget.setShare(1.0 / 12);
    TimePoint now{1h};
    std::size_t retries = 0;
    for (int i = 0; i < 1000; ++i, now += 10ms) {
        budget.noteRequest(now);
        retries += budget.takeRetry(now) ? 1 : 0;
    }
    BOOST_TEST(retries <= 200U + 5U);
    BOOST_TEST(retries >= 180U);
}

BOOST_AUTO_TEST_CASE(a_vm_without_a_reserve_share_retries_only_in_proportion_to_its_requests)
{
    RetryBudget budget({.ratio = 0.2, .reserve = 60, .window = 10s});
    budget.setShare(0);
    const TimePoint now{1h};
    BOOST_TEST(!budget.takeRetry(now));
    for (int i = 0; i < 10; ++i) {
        budget.noteRequest(now);
    }
    BOOST_TEST(budget.takeRetry(now));
    BOOST_TEST(!budget.takeRetry(now));
}

BOOST_AUTO_TEST_CASE(a_split_route_follows_the_weights_and_maps_each_request_id_to_one_service)
{
    const Route route{.split = {{.service = {"a"}, .weight = 90}, {.service = {"b"}, .weight = 10}}};
    std::size_t toServiceB = 0;
    for (int i = 0; i < 10000; ++i) {
        const std::string id = "request-" + std::to_string(i);
        toServiceB += chooseService(route, id).value == "b" ? 1 : 0;
        BOOST_TEST((chooseService(route, id) == chooseService(route, id)));
    }
    BOOST_TEST(toServiceB > 800U);
    BOOST_TEST(toServiceB < 1200U);
}
