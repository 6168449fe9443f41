// Ejection and return of targets by the outcomes of requests, in virtual time.
#include <boost/test/unit_test.hpp>
#include <pollenspoke/policy.h>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

std::vector<Target> makeTargets(std::size_t n, std::uint32_t slots = 2)
{
    std::vector<Target> targets(n);
    for (std::size_t i = 0; i < n; ++i) {
        targets[i] = Target{.name = {"t" + std::to_string(i)}, .slots = slots};
    }
    return targets;
}

struct Harness
{
    explicit Harness(std::size_t n, DetectionPreset preset = DetectionPreset::Fast, std::uint32_t floorPercent = 50)
        : targets(makeTargets(n))
        , health(makeHealthOptions(preset, floorPercent))
    {
        health.setTargets(targets);
    }

    void recordOutcome(std::size_t target, DispatchOutcome outcome)
    {
        now += 10ms;
        health.observe(targets[target].name, outcome, now);
    }

    // Records `rounds` successful outcomes of each target, with latencies of 15 to 30 ms.
    void recordSuccesses(int rounds)
    {
        for (int i = 0; i < rounds; ++i) {
            for (std::size_t it = 0; it < targets.size(); ++it) {
                recordOutcome(it, {.latency = std::chrono::milliseconds(std::uniform_int_distribution<int>(15, 30)(generator))});
            }
        }
    }

    HealthState healthState(std::size_t target) { return health.healthOf(targets[target].name, now).healthState; }

    std::vector<Target> targets;
    ServiceHealth health;
    Generator generator{1};
    TimePoint now{};
};

} // namespace

BOOST_AUTO_TEST_CASE(a_target_that_always_fails_is_ejected_and_the_others_stay)
{
    for (const OutcomeKind it : {OutcomeKind::ConnectFailed, OutcomeKind::TimedOut, OutcomeKind::Failed}) {
        Harness harness(5);
        harness.recordSuccesses(50);
        for (int i = 0; i < 8; ++i) {
            harness.recordOutcome(2, {.kind = it});
        }
        BOOST_TEST((harness.healthState(2) == HealthState::Ejected));
        for (const std::size_t other : {0, 1, 3, 4}) {
            BOOST_TEST((harness.healthState(other) == HealthState::InService));
        }
    }
}

BOOST_AUTO_TEST_CASE(a_target_slower_than_the_others_is_ejected)
{
    Harness harness(5);
    harness.recordSuccesses(50);
    for (int i = 0; i < 30; ++i) {
        harness.recordSuccesses(1);
        harness.recordOutcome(2, {.latency = 80ms});
        harness.recordOutcome(2, {.latency = 90ms});
    }
    BOOST_TEST((harness.healthState(2) != HealthState::InService));
    const std::vector<HealthChange> changes = harness.health.takeChanges();
    BOOST_REQUIRE(!changes.empty());
    BOOST_TEST((changes[0].evidence == Evidence::Slowness));
}

BOOST_AUTO_TEST_CASE(no_target_is_ejected_while_the_whole_service_is_slow_or_failing)
{
    for (const DispatchOutcome outcome : {DispatchOutcome{.latency = 500ms}, DispatchOutcome{.kind = OutcomeKind::Failed}}) {
        Harness harness(10);
        harness.recordSuccesses(50);
        for (int round = 0; round < 300; ++round) {
            for (std::size_t it = 0; it < 10; ++it) {
                harness.recordOutcome(it, outcome);
            }
        }
        std::uint32_t ejectedCount = 0;
        for (std::size_t it = 0; it < 10; ++it) {
            ejectedCount += harness.healthState(it) == HealthState::Ejected ? 1 : 0;
        }
        BOOST_TEST(ejectedCount == 0);
    }
}

BOOST_AUTO_TEST_CASE(ejections_never_reduce_the_slots_in_service_below_the_floor)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        Generator generator(seed);
        const std::uint32_t floorPercent = std::uniform_int_distribution<std::uint32_t>(0, 100)(generator);
        Harness harness(std::uniform_int_distribution<std::size_t>(1, 8)(generator), DetectionPreset::Fast, floorPercent);
        std::uint32_t totalSlots = 0;
        for (Target &it : harness.targets) {
            it.slots = std::uniform_int_distribution<std::uint32_t>(1, 9)(generator);
            totalSlots += it.slots;
        }
        harness.health.setTargets(harness.targets);
        for (int i = 0; i < 600; ++i) {
            const std::size_t target = std::uniform_int_distribution<std::size_t>(0, harness.targets.size() - 1)(generator);
            const auto kind = static_cast<OutcomeKind>(std::uniform_int_distribution<int>(0, 3)(generator));
            harness.now += std::chrono::milliseconds(std::uniform_int_distribution<int>(0, 400)(generator));
            harness.recordOutcome(target, {.kind = target % 2 == 0 ? kind : OutcomeKind::Success, .latency = 20ms});
            harness.healthState(target);
            const std::uint32_t remainingSlots = harness.health.slotsInService();
            BOOST_REQUIRE_MESSAGE(remainingSlots * 100 >= totalSlots * floorPercent && remainingSlots > 0,
                                  "seed " << seed << " step " << i);
        }
    }
}

BOOST_AUTO_TEST_CASE(the_floor_of_slots_in_service_holds_when_targets_leave)
{
    Harness harness(4);
    harness.recordSuccesses(50);
    for (int i = 0; i < 8; ++i) {
        harness.recordOutcome(0, {.kind = OutcomeKind::Failed});
        harness.recordOutcome(1, {.kind = OutcomeKind::Failed});
    }
    BOOST_TEST(harness.health.slotsInService() == 4);
    harness.targets[2].state = TargetState::Leaving;
    harness.health.setTargets(harness.targets);
    BOOST_TEST(harness.health.slotsInService() * 2 >= 6);
    harness.targets[3].state = TargetState::Leaving;
    harness.health.setTargets(harness.targets);
    BOOST_TEST(harness.health.slotsInService() >= 2);
}

BOOST_AUTO_TEST_CASE(each_ejection_of_a_flapping_target_lasts_longer_and_ends_in_a_trial_and_a_ramp)
{
    Harness harness(5);
    harness.recordSuccesses(50);
    Duration previousEjection{};
    for (int flap = 0; flap < 3; ++flap) {
        for (int i = 0; i < 20 && harness.healthState(0) != HealthState::Ejected; ++i) {
            harness.recordOutcome(0, {.kind = OutcomeKind::Failed});
        }
        BOOST_REQUIRE((harness.healthState(0) == HealthState::Ejected));
        const TimePoint ejectedAt = harness.now;
        while (harness.healthState(0) == HealthState::Ejected) {
            harness.now += 100ms;
        }
        BOOST_TEST((harness.now - ejectedAt > previousEjection));
        previousEjection = harness.now - ejectedAt;
        BOOST_TEST((harness.healthState(0) == HealthState::HalfOpen));
        for (int i = 0; i < 3; ++i) {
            harness.recordOutcome(0, {.latency = 20ms});
        }
        BOOST_TEST((harness.healthState(0) == HealthState::SlowStart));
        const double initialWeight = harness.health.healthOf({"t0"}, harness.now).weight;
        BOOST_TEST(initialWeight < 0.2);
        BOOST_TEST(harness.health.healthOf({"t0"}, harness.now + 5s).weight > initialWeight);
    }
}

BOOST_AUTO_TEST_CASE(a_failed_trial_ejects_again)
{
    Harness harness(5);
    harness.recordSuccesses(50);
    for (int i = 0; i < 8; ++i) {
        harness.recordOutcome(0, {.kind = OutcomeKind::Failed});
    }
    harness.now += 6s;
    BOOST_TEST((harness.healthState(0) == HealthState::HalfOpen));
    harness.recordOutcome(0, {.kind = OutcomeKind::Failed});
    BOOST_TEST((harness.healthState(0) == HealthState::Ejected));
}

BOOST_AUTO_TEST_CASE(remote_evidence_ejects_a_target_only_when_it_comes_from_two_failure_domains)
{
    const auto makeSummary = [](const char *domain) {
        HealthSummary summary{.vm = {"vm"}, .failureDomain = {domain}};
        TargetOutcomeCounts tally{.target = {"t0"}, .successes = 1};
        tally.failures[static_cast<std::size_t>(Evidence::Failure)] = 3;
        summary.tallies.push_back(tally);
        for (const char *other : {"t1", "t2", "t3"}) {
            summary.tallies.push_back(TargetOutcomeCounts{.target = {other}, .successes = 4});
        }
        return summary;
    };
    Harness oneDomain(5);
    oneDomain.recordSuccesses(50);
    for (int i = 0; i < 10; ++i) {
        oneDomain.now += 1s;
        oneDomain.health.observeRemote(makeSummary("fd-a"), oneDomain.now);
    }
    BOOST_TEST((oneDomain.healthState(0) == HealthState::InService));
    Harness twoDomains(5);
    twoDomains.recordSuccesses(50);
    for (int i = 0; i < 6; ++i) {
        twoDomains.now += 1s;
        twoDomains.health.observeRemote(makeSummary("fd-a"), twoDomains.now);
        twoDomains.health.observeRemote(makeSummary("fd-b"), twoDomains.now);
    }
    BOOST_TEST((twoDomains.healthState(0) == HealthState::Ejected));
    const std::vector<HealthChange> changes = twoDomains.health.takeChanges();
    BOOST_REQUIRE(!changes.empty());
    BOOST_TEST(changes[0].isFleetWide);
}

BOOST_AUTO_TEST_CASE(remote_connect_failures_do_not_override_local_successes)
{
    Harness harness(5);
    harness.recordSuccesses(50);
    for (int i = 0; i < 10; ++i) {
        for (const char *domain : {"fd-a", "fd-b"}) {
            HealthSummary summary{.vm = {"vm"}, .failureDomain = {domain}};
            TargetOutcomeCounts tally{.target = {"t0"}};
            tally.failures[static_cast<std::size_t>(Evidence::ConnectFailure)] = 3;
            summary.tallies.push_back(tally);
            for (const char *other : {"t1", "t2", "t3"}) {
                summary.tallies.push_back(TargetOutcomeCounts{.target = {other}, .successes = 4});
            }
            harness.health.observeRemote(summary, harness.now);
        }
        harness.now += 1s;
        harness.recordOutcome(0, {.latency = 20ms});
    }
    BOOST_TEST((harness.healthState(0) == HealthState::InService));
}

BOOST_AUTO_TEST_CASE(remote_evidence_ejects_no_target_while_the_whole_service_is_slow)
{
    Harness harness(10);
    harness.recordSuccesses(50);
    for (int i = 0; i < 30; ++i) {
        harness.now += 1s;
        for (const char *domain : {"fd-a", "fd-b", "fd-c"}) {
            HealthSummary summary{.vm = {"vm"}, .failureDomain = {domain}};
            for (std::size_t it = 0; it < 10; ++it) {
                summary.tallies.push_back(TargetOutcomeCounts{.target = {"t" + std::to_string(it)}, .successes = 10, .slowSuccesses = 9});
            }
            harness.health.observeRemote(summary, harness.now);
        }
    }
    BOOST_TEST(harness.health.slotsInService() == 20);
}

BOOST_AUTO_TEST_CASE(a_vm_that_reaches_almost_no_target_suspects_itself_and_ejects_none)
{
    Harness harness(6, DetectionPreset::Fast, 0);
    for (int round = 0; round < 200; ++round) {
        for (std::size_t it = 0; it < 6; ++it) {
            harness.recordOutcome(it, {.kind = it == 5 ? OutcomeKind::Success : OutcomeKind::ConnectFailed, .latency = 20ms});
        }
    }
    BOOST_TEST(harness.health.isLikelyIsolated());
    harness.now += 10min;
    for (std::size_t it = 0; it < 6; ++it) {
        harness.healthState(it);
    }
    harness.health.takeChanges();
    for (int round = 0; round < 50; ++round) {
        harness.recordOutcome(0, {.kind = OutcomeKind::ConnectFailed});
    }
    for (const HealthChange &it : harness.health.takeChanges()) {
        BOOST_TEST((it.healthState != HealthState::Ejected));
    }
}

BOOST_AUTO_TEST_CASE(same_seed_gives_the_same_decisions)
{
    const auto run = [] {
        Harness harness(6);
        std::vector<std::string> decisions;
        for (int i = 0; i < 3000; ++i) {
            const std::size_t target = std::uniform_int_distribution<std::size_t>(0, 5)(harness.generator);
            const bool fails = target == 3 && std::uniform_int_distribution<int>(0, 4)(harness.generator) == 0;
            harness.recordOutcome(target, {.kind = fails ? OutcomeKind::Failed : OutcomeKind::Success, .latency = 20ms});
            for (const HealthChange &it : harness.health.takeChanges()) {
                decisions.push_back(std::to_string(i) + it.target.value + std::to_string(static_cast<int>(it.healthState)));
            }
        }
        return decisions;
    };
    const auto firstRun = run();
    BOOST_TEST(!firstRun.empty());
    BOOST_TEST(firstRun == run(), boost::test_tools::per_element());
}
