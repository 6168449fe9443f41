// Token bucket, choice of a target, time-outs of attempts and order of the addresses given to callers.
#include <boost/test/unit_test.hpp>
#include <pollenspoke/policy.h>
#include <set>

using namespace Pollenspoke;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(bucket_never_admits_more_than_burst_plus_rate_times_time)
{
    Generator generator(1);
    for (int run = 0; run < 200; ++run) {
        const Limits limits{.ratePerSecond = 10, .burst = 5};
        TimePoint now{};
        TokenBucket bucket(limits, now);
        std::vector<TimePoint> admitted;
        for (int i = 0; i < 300; ++i) {
            now += std::chrono::milliseconds(std::uniform_int_distribution<int>(0, 60)(generator));
            if (bucket.take(now)) {
                admitted.push_back(now);
            }
        }
        for (std::size_t first = 0; first < admitted.size(); ++first) {
            for (std::size_t last = first; last < admitted.size(); ++last) {
                const double seconds = std::chrono::duration<double>(admitted[last] - admitted[first]).count();
                BOOST_REQUIRE(static_cast<double>(last - first + 1) <= limits.burst + limits.ratePerSecond * seconds + 1e-6);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(wait_for_token_is_exact)
{
    TimePoint now{};
    TokenBucket bucket({.ratePerSecond = 4, .burst = 1}, now);
    BOOST_TEST(bucket.take(now));
    const Duration wait = bucket.waitForToken(now);
    BOOST_TEST(!bucket.take(now + wait - 1us));
    BOOST_TEST(bucket.take(now + wait));
}

BOOST_AUTO_TEST_CASE(raising_the_burst_adds_no_tokens_at_once)
{
    TimePoint now{};
    TokenBucket bucket({.ratePerSecond = 1, .burst = 1}, now);
    BOOST_TEST(bucket.take(now));
    bucket.setLimits({.ratePerSecond = 1, .burst = 100}, now);
    BOOST_TEST(!bucket.take(now));
}

BOOST_AUTO_TEST_CASE(leaving_and_already_tried_targets_are_skipped)
{
    Generator generator(1);
    Target serving{.name = {"t1"}};
    Target leaving{.name = {"t2"}, .state = TargetState::Leaving};
    Target tried{.name = {"t3"}};
    const std::vector<TargetLoad> loads{{&leaving}, {.target = &tried, .isTried = true}, {&serving}};
    for (int i = 0; i < 50; ++i) {
        BOOST_TEST(chooseTarget(loads, {}, generator).value() == 2);
    }
    BOOST_TEST(!chooseTarget({{&leaving}}, {}, generator).has_value());
    BOOST_TEST(chooseTarget({{.target = &tried, .isTried = true}}, {}, generator).value() == 0);
}

BOOST_AUTO_TEST_CASE(the_target_with_fewer_requests_per_slot_wins)
{
    Generator generator(1);
    Target small{.name = {"t1"}, .slots = 2};
    Target large{.name = {"t2"}, .slots = 6};
    const std::vector<TargetLoad> loads{{.target = &small, .inFlight = 1}, {.target = &large, .inFlight = 2}};
    BOOST_TEST(chooseTarget(loads, {}, generator).value() == 1);
}

BOOST_AUTO_TEST_CASE(the_last_attempt_gets_all_remaining_time)
{
    const TimePoint now{};
    AttemptPlan plan{.isIdempotent = true, .attempt = 1, .maxAttempts = 2, .deadline = now + 2s};
    BOOST_TEST((attemptTimeout(plan, false, now) == 1s));
    plan.attempt = 2;
    BOOST_TEST((attemptTimeout(plan, false, now + 1s) == 1s));
    BOOST_TEST((attemptTimeout(plan, false, now + 3s) == 0s));
    plan.isIdempotent = false;
    plan.attempt = 1;
    BOOST_TEST((attemptTimeout(plan, false, now) == 2s));
}

BOOST_AUTO_TEST_CASE(the_last_attempt_on_a_pooled_connection_gets_only_half_the_remaining_time)
{
    const TimePoint now{};
    const AttemptPlan plan{.isIdempotent = true, .attempt = 2, .maxAttempts = 2, .deadline = now + 2s};
    BOOST_TEST((attemptTimeout(plan, true, now) == 1s));
    BOOST_TEST((attemptTimeout(plan, true, now + 3s) == 0s));
}

BOOST_AUTO_TEST_CASE(opening_a_connection_leaves_time_for_another_target)
{
    const TimePoint now{};
    AttemptPlan plan{.isIdempotent = false, .attempt = 1, .maxAttempts = 2, .deadline = now + 2s};
    BOOST_TEST((connectTimeout(plan, 300ms, now) == 300ms));
    BOOST_TEST((connectTimeout(plan, 5s, now) == 1s));
    plan.attempt = 2;
    BOOST_TEST((connectTimeout(plan, 5s, now) == 2s));
    BOOST_TEST((connectTimeout(plan, 5s, now + 3s) == 0s));
}

BOOST_AUTO_TEST_CASE(addresses_span_failure_domains_and_stay_when_another_vm_is_removed)
{
    std::vector<VmEntry> vms;
    vms.reserve(40);
    for (int i = 0; i < 40; ++i) {
        vms.push_back({.name = {"vm-" + std::to_string(i)}, .failureDomain = {"fd-" + std::to_string(i % 4)}});
    }
    vms[7].state = VmState::Leaving;
    std::map<VmName, int> firstChoices;
    int movedAccounts = 0;
    for (int n = 0; n < 1000; ++n) {
        const AccountName account{"account-" + std::to_string(n)};
        const std::vector<VmEntry> ordered = orderAddresses(vms, account, 3);
        BOOST_REQUIRE(ordered.size() == 3);
        const std::set<FailureDomain> domains{ordered[0].failureDomain, ordered[1].failureDomain, ordered[2].failureDomain};
        BOOST_TEST(domains.size() == 3);
        BOOST_TEST((ordered[0].name != vms[7].name && ordered[1].name != vms[7].name && ordered[2].name != vms[7].name));
        ++firstChoices[ordered[0].name];
        std::vector<VmEntry> remaining = vms;
        remaining.erase(remaining.begin() + 3);
        const bool wasAtRemovedVm = ordered[0].name == vms[3].name;
        movedAccounts += orderAddresses(remaining, account, 3)[0].name != ordered[0].name && !wasAtRemovedVm ? 1 : 0;
    }
    BOOST_TEST(movedAccounts == 0);
    BOOST_TEST(firstChoices.size() == 39);
}

BOOST_AUTO_TEST_CASE(all_vms_are_returned_when_there_are_fewer_than_requested)
{
    const std::vector<VmEntry> vms{{.name = {"a"}, .failureDomain = {"fd-a"}}, {.name = {"b"}, .failureDomain = {"fd-a"}}};
    BOOST_TEST(orderAddresses(vms, {"x"}, 3).size() == 2);
    BOOST_TEST(orderAddresses({}, {"x"}, 3).empty());
}
