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

struct Bench
{
    explicit Bench(std::size_t n, DetectionPreset preset = DetectionPreset::Fast, std::uint32_t floorPercent = 50)
        : targets(makeTargets(n))
        , health(makeHealthOptions(preset, floorPercent))
    {
        health.setTargets(targets);
    }

    void send(std::size_t target, DispatchOutcome outcome)
    {
        now += 10ms;
        health.observe(targets[target].name, outcome, now);
    }

    // Rounds of well outcomes at every target, with latencies around 20 ms.
    void runWell(int rounds)
    {
        for (int i = 0; i < rounds; ++i) {
            for (std::size_t it = 0; it < targets.size(); ++it) {
                send(it, {.latency = std::chrono::milliseconds(std::uniform_int_distribution<int>(15, 30)(generator))});
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
        Bench bench(5);
        bench.runWell(50);
        for (int i = 0; i < 8; ++i) {
            bench.send(2, {.kind = it});
        }
        BOOST_TEST((bench.healthState(2) == HealthState::Ejected));
        for (const std::size_t other : {0, 1, 3, 4}) {
            BOOST_TEST((bench.healthState(other) == HealthState::InService));
        }
    }
}

BOOST_AUTO_TEST_CASE(a_slow_target_is_ejected_by_comparison)
{
    Bench bench(5);
    bench.runWell(50);
    for (int i = 0; i < 30; ++i) {
        bench.runWell(1);
        bench.send(2, {.latency = 80ms});
        bench.send(2, {.latency = 90ms});
    }
    BOOST_TEST((bench.healthState(2) != HealthState::InService));
    const std::vector<HealthChange> changes = bench.health.takeChanges();
    BOOST_REQUIRE(!changes.empty());
    BOOST_TEST((changes[0].evidence == Evidence::Slowness));
}

BOOST_AUTO_TEST_CASE(a_service_that_is_slow_or_failing_as_a_whole_ejects_nobody)
{
    for (const DispatchOutcome outcome : {DispatchOutcome{.latency = 500ms}, DispatchOutcome{.kind = OutcomeKind::Failed}}) {
        Bench bench(10);
        bench.runWell(50);
        for (int round = 0; round < 300; ++round) {
            for (std::size_t it = 0; it < 10; ++it) {
                bench.send(it, outcome);
            }
        }
        std::uint32_t out = 0;
        for (std::size_t it = 0; it < 10; ++it) {
            out += bench.healthState(it) == HealthState::Ejected ? 1 : 0;
        }
        BOOST_TEST(out == 0);
    }
}

BOOST_AUTO_TEST_CASE(ejection_never_breaks_the_floor_by_slots)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        Generator generator(seed);
        const std::uint32_t floorPercent = std::uniform_int_distribution<std::uint32_t>(0, 100)(generator);
        Bench bench(std::uniform_int_distribution<std::size_t>(1, 8)(generator), DetectionPreset::Fast, floorPercent);
        std::uint32_t all = 0;
        for (Target &it : bench.targets) {
            it.slots = std::uniform_int_distribution<std::uint32_t>(1, 9)(generator);
            all += it.slots;
        }
        bench.health.setTargets(bench.targets);
        for (int i = 0; i < 600; ++i) {
            const std::size_t target = std::uniform_int_distribution<std::size_t>(0, bench.targets.size() - 1)(generator);
            const auto kind = static_cast<OutcomeKind>(std::uniform_int_distribution<int>(0, 3)(generator));
            bench.now += std::chrono::milliseconds(std::uniform_int_distribution<int>(0, 400)(generator));
            bench.send(target, {.kind = target % 2 == 0 ? kind : OutcomeKind::Success, .latency = 20ms});
            bench.healthState(target);
            const std::uint32_t kept = bench.health.slotsInService();
            BOOST_REQUIRE_MESSAGE(kept * 100 >= all * floorPercent && kept > 0, "seed " << seed << " step " << i);
        }
    }
}

BOOST_AUTO_TEST_CASE(the_floor_holds_when_targets_leave)
{
    Bench bench(4);
    bench.runWell(50);
    for (int i = 0; i < 8; ++i) {
        bench.send(0, {.kind = OutcomeKind::Failed});
        bench.send(1, {.kind = OutcomeKind::Failed});
    }
    BOOST_TEST(bench.health.slotsInService() == 4);
    bench.targets[2].state = TargetState::Leaving;
    bench.health.setTargets(bench.targets);
    BOOST_TEST(bench.health.slotsInService() * 2 >= 6);
    bench.targets[3].state = TargetState::Leaving;
    bench.health.setTargets(bench.targets);
    BOOST_TEST(bench.health.slotsInService() >= 2);
}

BOOST_AUTO_TEST_CASE(a_flapping_target_is_out_longer_each_time_and_returns_by_trial_and_ramp)
{
    Bench bench(5);
    bench.runWell(50);
    Duration last{};
    for (int flap = 0; flap < 3; ++flap) {
        for (int i = 0; i < 20 && bench.healthState(0) != HealthState::Ejected; ++i) {
            bench.send(0, {.kind = OutcomeKind::Failed});
        }
        BOOST_REQUIRE((bench.healthState(0) == HealthState::Ejected));
        const TimePoint ejectedAt = bench.now;
        while (bench.healthState(0) == HealthState::Ejected) {
            bench.now += 100ms;
        }
        BOOST_TEST((bench.now - ejectedAt > last));
        last = bench.now - ejectedAt;
        BOOST_TEST((bench.healthState(0) == HealthState::HalfOpen));
        for (int i = 0; i < 3; ++i) {
            bench.send(0, {.latency = 20ms});
        }
        BOOST_TEST((bench.healthState(0) == HealthState::SlowStart));
        const double first = bench.health.healthOf({"t0"}, bench.now).weight;
        BOOST_TEST(first < 0.2);
        BOOST_TEST(bench.health.healthOf({"t0"}, bench.now + 5s).weight > first);
    }
}

BOOST_AUTO_TEST_CASE(a_failed_trial_ejects_again)
{
    Bench bench(5);
    bench.runWell(50);
    for (int i = 0; i < 8; ++i) {
        bench.send(0, {.kind = OutcomeKind::Failed});
    }
    bench.now += 6s;
    BOOST_TEST((bench.healthState(0) == HealthState::HalfOpen));
    bench.send(0, {.kind = OutcomeKind::Failed});
    BOOST_TEST((bench.healthState(0) == HealthState::Ejected));
}

BOOST_AUTO_TEST_CASE(others_evidence_needs_two_failure_domains)
{
    const auto summaryOf = [](const char *domain) {
        HealthSummary summary{.vm = {"vm"}, .failureDomain = {domain}};
        TargetOutcomeCounts tally{.target = {"t0"}, .successes = 1};
        tally.failures[static_cast<std::size_t>(Evidence::Failure)] = 3;
        summary.tallies.push_back(tally);
        for (const char *other : {"t1", "t2", "t3"}) {
            summary.tallies.push_back(TargetOutcomeCounts{.target = {other}, .successes = 4});
        }
        return summary;
    };
    Bench one(5);
    one.runWell(50);
    for (int i = 0; i < 10; ++i) {
        one.now += 1s;
        one.health.observeRemote(summaryOf("fd-a"), one.now);
    }
    BOOST_TEST((one.healthState(0) == HealthState::InService));
    Bench two(5);
    two.runWell(50);
    for (int i = 0; i < 6; ++i) {
        two.now += 1s;
        two.health.observeRemote(summaryOf("fd-a"), two.now);
        two.health.observeRemote(summaryOf("fd-b"), two.now);
    }
    BOOST_TEST((two.healthState(0) == HealthState::Ejected));
    const std::vector<HealthChange> changes = two.health.takeChanges();
    BOOST_REQUIRE(!changes.empty());
    BOOST_TEST(changes[0].isFleetWide);
}

BOOST_AUTO_TEST_CASE(others_path_faults_do_not_overrule_own_wells)
{
    Bench bench(5);
    bench.runWell(50);
    for (int i = 0; i < 10; ++i) {
        for (const char *domain : {"fd-a", "fd-b"}) {
            HealthSummary summary{.vm = {"vm"}, .failureDomain = {domain}};
            TargetOutcomeCounts tally{.target = {"t0"}};
            tally.failures[static_cast<std::size_t>(Evidence::ConnectFailure)] = 3;
            summary.tallies.push_back(tally);
            for (const char *other : {"t1", "t2", "t3"}) {
                summary.tallies.push_back(TargetOutcomeCounts{.target = {other}, .successes = 4});
            }
            bench.health.observeRemote(summary, bench.now);
        }
        bench.now += 1s;
        bench.send(0, {.latency = 20ms});
    }
    BOOST_TEST((bench.healthState(0) == HealthState::InService));
}

BOOST_AUTO_TEST_CASE(a_service_that_turns_slow_at_once_ejects_nobody_by_others_evidence)
{
    Bench bench(10);
    bench.runWell(50);
    for (int i = 0; i < 30; ++i) {
        bench.now += 1s;
        for (const char *domain : {"fd-a", "fd-b", "fd-c"}) {
            HealthSummary summary{.vm = {"vm"}, .failureDomain = {domain}};
            for (std::size_t it = 0; it < 10; ++it) {
                summary.tallies.push_back(TargetOutcomeCounts{.target = {"t" + std::to_string(it)}, .successes = 10, .slowSuccesses = 9});
            }
            bench.health.observeRemote(summary, bench.now);
        }
    }
    BOOST_TEST(bench.health.slotsInService() == 20);
}

BOOST_AUTO_TEST_CASE(a_vm_that_reaches_hardly_any_target_suspects_itself_and_ejects_nobody)
{
    Bench bench(6, DetectionPreset::Fast, 0);
    for (int round = 0; round < 200; ++round) {
        for (std::size_t it = 0; it < 6; ++it) {
            bench.send(it, {.kind = it == 5 ? OutcomeKind::Success : OutcomeKind::ConnectFailed, .latency = 20ms});
        }
    }
    BOOST_TEST(bench.health.isLikelyIsolated());
    bench.now += 10min;
    for (std::size_t it = 0; it < 6; ++it) {
        bench.healthState(it);
    }
    bench.health.takeChanges();
    for (int round = 0; round < 50; ++round) {
        bench.send(0, {.kind = OutcomeKind::ConnectFailed});
    }
    for (const HealthChange &it : bench.health.takeChanges()) {
        BOOST_TEST((it.healthState != HealthState::Ejected));
    }
}

BOOST_AUTO_TEST_CASE(same_seed_gives_the_same_decisions)
{
    const auto run = [] {
        Bench bench(6);
        std::vector<std::string> log;
        for (int i = 0; i < 3000; ++i) {
            const std::size_t target = std::uniform_int_distribution<std::size_t>(0, 5)(bench.generator);
            const bool fails = target == 3 && std::uniform_int_distribution<int>(0, 4)(bench.generator) == 0;
            bench.send(target, {.kind = fails ? OutcomeKind::Failed : OutcomeKind::Success, .latency = 20ms});
            for (const HealthChange &it : bench.health.takeChanges()) {
                log.push_back(std::to_string(i) + it.target.value + std::to_string(static_cast<int>(it.healthState)));
            }
        }
        return log;
    };
    const auto first = run();
    BOOST_TEST(!first.empty());
    BOOST_TEST(first == run(), boost::test_tools::per_element());
}
