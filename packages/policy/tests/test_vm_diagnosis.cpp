// Detection of a Vm that fails to reach targets that the others reach. A fleet of seat holders in virtual time.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <pollenspoke/policy.h>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};
const ServiceName service{"till"};

// Seat holders that send connection attempts to random targets, pause those that fail, and report them to each other.
class DiagnosisFleet
{
public:
    struct Options
    {
        std::size_t vms = 8;
        std::size_t targets = 40;
        double connectsPerSecond = 50; // of each Vm
        std::uint64_t seed = 1;
    };
    // Whether a connection attempt succeeds; the last argument is a random number from 0 to 1.
    using Reaches = std::function<bool(std::size_t vm, std::size_t target, double chance)>;

    explicit DiagnosisFleet(Options options)
        : m_options(options)
        , m_vms(options.vms)
        , m_generator(options.seed)
    {
    }

    void run(Duration time, const Reaches &reaches)
    {
        for (const TimePoint end = m_now + time; m_now < end; m_now += step) {
            for (std::size_t i = 0; i < m_vms.size(); ++i) {
                attempt(i, reaches);
            }
            if ((m_now - start) % reportPeriod == Duration(0)) {
                exchangeReports();
            }
        }
    }

    TimePoint now() const { return m_now; }
    VmDiagnosis &at(std::size_t vm) { return m_vms[vm].diagnosis; }
    std::uint64_t refused(std::size_t vm) const { return m_vms[vm].refused; }
    std::uint64_t admittedWhileImpaired(std::size_t vm) const { return m_vms[vm].admittedWhileImpaired; }
    std::size_t pausedTargets(std::size_t vm) const
    {
        return static_cast<std::size_t>(std::count_if(
            m_vms[vm].pausedUntil.begin(), m_vms[vm].pausedUntil.end(), [this](const auto &it) { return it.second > m_now; }));
    }
    std::size_t impairments(std::size_t vm) const { return m_vms[vm].impairments; } // begun so far
    std::size_t impairments() const
    {
        std::size_t n = 0;
        for (const Vm &it : m_vms) {
            n += it.impairments;
        }
        return n;
    }
    std::uint64_t refused() const
    {
        std::uint64_t n = 0;
        for (const Vm &it : m_vms) {
            n += it.refused;
        }
        return n;
    }

    static VmName nameOf(std::size_t vm) { return {"vm-" + std::to_string(vm)}; }

private:
    static constexpr Duration step = 10ms;
    static constexpr Duration reportPeriod = 40ms;
    static constexpr Duration pause = 2s;

    struct Vm
    {
        VmDiagnosis diagnosis;
        std::map<std::size_t, TimePoint> pausedUntil;
        std::uint64_t refused = 0;
        std::uint64_t admittedWhileImpaired = 0;
        std::size_t impairments = 0;
        double due = 0; // requests
    };

    void update(Vm &vm)
    {
        const auto change = vm.diagnosis.update(m_now);
        if (change && change->isImpaired) {
            ++vm.impairments;
            vm.pausedUntil.clear(); // as ServiceBalancer::withdrawUnreachable()
        }
    }

    // Paused targets are left out unless more than half are paused.
    std::size_t chooseTarget(const Vm &vm)
    {
        std::uniform_int_distribution<std::size_t> target(0, m_options.targets - 1);
        std::size_t chosen = target(m_generator);
        for (std::size_t i = 0; i < m_options.targets / 2; ++i) {
            const auto it = vm.pausedUntil.find(chosen);
            if (it == vm.pausedUntil.end() || it->second <= m_now) {
                break;
            }
            chosen = target(m_generator);
        }
        return chosen;
    }

    void attempt(std::size_t index, const Reaches &reaches)
    {
        Vm &vm = m_vms[index];
        std::uniform_real_distribution<double> chance(0, 1);
        vm.due += m_options.connectsPerSecond * std::chrono::duration<double>(step).count();
        for (; vm.due >= 1; --vm.due) {
            if (!vm.diagnosis.admit(true, m_now)) {
                ++vm.refused;
                continue;
            }
            vm.admittedWhileImpaired += vm.diagnosis.isImpaired() ? 1 : 0;
            const std::size_t target = chooseTarget(vm);
            const bool isOpened = reaches(index, target, chance(m_generator));
            vm.diagnosis.noteAttempt(
                {service, {"t" + std::to_string(target)}}, isOpened ? ReachOutcome::Connected : ReachOutcome::Unreachable, m_now);
            if (!isOpened && !vm.diagnosis.isExcusingTargets(m_now)) {
                vm.pausedUntil[target] = m_now + pause;
            }
            update(vm);
        }
    }

    void exchangeReports()
    {
        for (std::size_t to = 0; to < m_vms.size(); ++to) {
            std::vector<HolderHealth> others;
            for (std::size_t from = 0; from < m_vms.size(); ++from) {
                if (from == to) {
                    continue;
                }
                others.push_back({.vm = nameOf(from), .isImpaired = m_vms[from].diagnosis.isImpaired()});
                std::vector<TargetObservation> observations;
                for (const auto &[target, until] : m_vms[from].pausedUntil) {
                    if (until > m_now) {
                        observations.push_back({.target = {"t" + std::to_string(target)}, .unreachablePause = until - m_now});
                    }
                }
                m_vms[to].diagnosis.applyReports(nameOf(from), {{service, observations}}, m_now);
            }
            m_vms[to].diagnosis.setOtherHolders(others, m_now);
            update(m_vms[to]);
        }
    }

    Options m_options;
    std::vector<Vm> m_vms;
    Generator m_generator;
    TimePoint m_now = start;
};

constexpr std::uint64_t seeds = 20;

bool always(std::size_t /*vm*/, std::size_t /*target*/, double /*chance*/)
{
    return true;
}

// The link of vm-0 is congested: most of its connection attempts time out.
bool exceptFromFirst(std::size_t vm, std::size_t /*target*/, double chance)
{
    return vm != 0 || chance < 0.15;
}

// As seen by a single Vm: `others` other seat holders, none of them impaired.
std::vector<HolderHealth> healthyOthers(std::size_t n)
{
    std::vector<HolderHealth> others;
    for (std::size_t i = 1; i <= n; ++i) {
        others.push_back({.vm = DiagnosisFleet::nameOf(i)});
    }
    return others;
}

// Attempts at 20 targets, one each 20 ms, that all fail; the others are heard from unless `others` is empty.
void failFor(VmDiagnosis &diagnosis, Duration time, TimePoint &now, const std::vector<HolderHealth> &others)
{
    for (const TimePoint end = now + time; now < end; now += 20ms) {
        if (!others.empty()) {
            diagnosis.setOtherHolders(others, now);
        }
        const auto target = static_cast<std::size_t>((now - start) / 20ms % 20);
        diagnosis.noteAttempt({service, {"t" + std::to_string(target)}}, ReachOutcome::Unreachable, now);
        diagnosis.update(now);
    }
}

} // namespace

// Pattern: two of eight seat holders have 10 Mbit/s, and 1,392 connection attempts of theirs fail. They stay in the address answers, and
// each blames one target after the other.
BOOST_AUTO_TEST_CASE(a_choked_vm_is_detected_within_two_seconds_and_blames_no_target)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        DiagnosisFleet fleet({.seed = seed});
        fleet.run(5s, always);
        fleet.run(1900ms, exceptFromFirst);
        BOOST_TEST(fleet.at(0).isImpaired(), seed);
        fleet.run(3s, exceptFromFirst);
        BOOST_TEST(fleet.at(0).isImpaired(), seed);
        BOOST_TEST(fleet.pausedTargets(0) == 0U, seed);
        BOOST_TEST(fleet.refused(0) > 0U, seed);
        BOOST_TEST(fleet.impairments() == fleet.impairments(0), seed);
    }
}

// Each of the two reports targets that the other one fails to reach as well, until it knows better.
BOOST_AUTO_TEST_CASE(two_vms_that_are_choked_at_the_same_time_are_both_detected)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        DiagnosisFleet fleet({.seed = seed});
        fleet.run(5s, always);
        fleet.run(1900ms, [](std::size_t vm, std::size_t, double chance) { return vm > 1 || chance < 0.15; });
        BOOST_TEST(fleet.at(0).isImpaired(), seed);
        BOOST_TEST(fleet.at(1).isImpaired(), seed);
        BOOST_TEST(fleet.impairments() == 2U, seed);
    }
}

BOOST_AUTO_TEST_CASE(a_few_requests_are_admitted_as_trials)
{
    DiagnosisFleet fleet({});
    fleet.run(2500ms, exceptFromFirst);
    BOOST_REQUIRE(fleet.at(0).isImpaired());
    const std::uint64_t before = fleet.admittedWhileImpaired(0);
    fleet.run(10s, exceptFromFirst);
    const std::uint64_t trials = fleet.admittedWhileImpaired(0) - before;
    BOOST_TEST(trials >= 20U);
    BOOST_TEST(trials <= 41U);
}

// A request that may run at most once is lost if its target doesn't respond, so fewer of these are tried.
BOOST_AUTO_TEST_CASE(requests_that_may_run_at_most_once_are_tried_less_often)
{
    VmDiagnosis diagnosis;
    TimePoint now = start;
    failFor(diagnosis, 2s, now, healthyOthers(7));
    BOOST_REQUIRE(diagnosis.isImpaired());
    std::uint64_t admitted = 0;
    for (const TimePoint end = now + 5s; now < end; now += 20ms) {
        diagnosis.setOtherHolders(healthyOthers(7), now);
        admitted += diagnosis.admit(false, now) ? 1 : 0;
    }
    BOOST_TEST(admitted >= 4U);
    BOOST_TEST(admitted <= 6U);
}

BOOST_AUTO_TEST_CASE(the_vm_is_healthy_again_after_most_connects_succeed)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        DiagnosisFleet fleet({.seed = seed});
        fleet.run(2500ms, exceptFromFirst);
        BOOST_REQUIRE(fleet.at(0).isImpaired());
        fleet.run(4s, always);
        BOOST_TEST(!fleet.at(0).isImpaired(), seed);
        const std::uint64_t refusedBefore = fleet.refused();
        fleet.run(30s, always);
        BOOST_TEST(fleet.impairments() == 1U, seed);
        BOOST_TEST(fleet.refused() == refusedBefore, seed);
    }
}

// A Vm that is in no address answer gets no requests to try.
BOOST_AUTO_TEST_CASE(a_vm_without_requests_is_tried_again)
{
    VmDiagnosis diagnosis;
    TimePoint now = start;
    failFor(diagnosis, 2s, now, healthyOthers(7));
    BOOST_REQUIRE(diagnosis.isImpaired());
    diagnosis.setOtherHolders(healthyOthers(7), now);
    BOOST_TEST(!diagnosis.update(now + 2900ms).has_value());
    const auto change = diagnosis.update(now + 3s);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(!change->isImpaired);
}

// A congested link recovers as soon as the requests stay away, and fails again when they are back.
BOOST_AUTO_TEST_CASE(a_vm_that_is_soon_impaired_again_stays_so_for_longer)
{
    VmDiagnosis diagnosis;
    TimePoint now = start;
    std::vector<Duration> times;
    for (int i = 0; i < 6; ++i) {
        failFor(diagnosis, 2s, now, healthyOthers(7));
        BOOST_REQUIRE(diagnosis.isImpaired());
        const TimePoint since = now;
        while (diagnosis.isImpaired()) {
            diagnosis.setOtherHolders(healthyOthers(7), now);
            diagnosis.noteAttempt({service, {"t"}}, ReachOutcome::Connected, now);
            diagnosis.update(now);
            now += 100ms;
        }
        times.push_back(now - since);
    }
    BOOST_TEST((times.at(1) > times.at(0)));
    BOOST_TEST((times.at(2) > times.at(1)));
    BOOST_TEST((times.at(5) <= 16s));
}

BOOST_AUTO_TEST_CASE(a_target_that_is_down_for_all_impairs_nobody)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        DiagnosisFleet fleet({.seed = seed});
        fleet.run(30s, [](std::size_t, std::size_t target, double) { return target != 3; });
        BOOST_TEST(fleet.impairments() == 0U, seed);
    }
}

// The targets of a whole domain are lost, then all of them. The fault isn't a Vm's.
BOOST_AUTO_TEST_CASE(targets_that_are_down_for_all_impair_nobody)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        DiagnosisFleet fleet({.seed = seed});
        fleet.run(5s, always);
        fleet.run(20s, [](std::size_t, std::size_t target, double) { return target % 3 != 0; });
        fleet.run(20s, [](std::size_t, std::size_t, double) { return false; });
        BOOST_TEST(fleet.impairments() == 0U, seed);
        BOOST_TEST(fleet.refused() == 0U, seed);
    }
}

// The network between some targets and half of the Vms fails.
BOOST_AUTO_TEST_CASE(a_target_set_that_is_cut_from_half_of_the_vms_makes_none_refuse)
{
    for (const std::size_t cutTargets : {10U, 20U, 35U, 40U}) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            DiagnosisFleet fleet({.seed = seed});
            fleet.run(5s, always);
            fleet.run(20s, [cutTargets](std::size_t vm, std::size_t target, double) { return vm % 2 == 0 || target >= cutTargets; });
            BOOST_TEST(fleet.refused() == 0U, cutTargets << " targets, seed " << seed);
        }
    }
}

BOOST_AUTO_TEST_CASE(none_refuses_if_half_of_the_seat_holders_are_impaired)
{
    VmDiagnosis diagnosis;
    TimePoint now = start;
    failFor(diagnosis, 2s, now, healthyOthers(7));
    BOOST_REQUIRE(diagnosis.isExcusingTargets(now));
    std::vector<HolderHealth> others = healthyOthers(7);
    others.at(0).isImpaired = others.at(1).isImpaired = true;
    diagnosis.setOtherHolders(others, now); // three of eight
    BOOST_TEST(diagnosis.isExcusingTargets(now));
    others.at(2).isImpaired = true;
    diagnosis.setOtherHolders(others, now); // four of eight
    BOOST_TEST(diagnosis.isImpaired());
    BOOST_TEST(!diagnosis.isExcusingTargets(now));
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(diagnosis.admit(false, now));
    }
}

// A single Vm, or one that is cut off from the others, has no witness.
BOOST_AUTO_TEST_CASE(a_vm_that_hears_no_other_seat_holder_is_not_impaired)
{
    VmDiagnosis diagnosis;
    TimePoint now = start;
    failFor(diagnosis, 10s, now, {});
    BOOST_TEST(!diagnosis.isImpaired());
    diagnosis.setOtherHolders(healthyOthers(7), now - 1500ms); // too old
    BOOST_TEST(!diagnosis.update(now).has_value());
    now += 500ms;
    failFor(diagnosis, 2s, now, {});
    BOOST_TEST(!diagnosis.isImpaired());
}

BOOST_AUTO_TEST_CASE(an_impaired_vm_that_loses_contact_to_the_others_refuses_nothing)
{
    VmDiagnosis diagnosis;
    TimePoint now = start;
    failFor(diagnosis, 2s, now, healthyOthers(7));
    diagnosis.admit(true, now); // a trial may be due
    BOOST_REQUIRE(!diagnosis.admit(true, now));
    now += 1500ms;
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(diagnosis.admit(true, now));
    }
}

// Reports of two Vms, for as long as they are recent, show that the targets are at fault. Those of one that left, or is impaired, don't.
BOOST_AUTO_TEST_CASE(a_report_that_is_old_or_from_a_vm_that_left_changes_nothing)
{
    std::vector<TargetObservation> unreachable;
    unreachable.reserve(20);
    for (int i = 0; i < 20; ++i) {
        unreachable.push_back({.target = {"t" + std::to_string(i)}, .unreachablePause = 2s});
    }
    const std::map<ServiceName, std::vector<TargetObservation>> reports{{service, unreachable}};
    const auto isImpairedAfter
        = [&reports](const std::vector<HolderHealth> &others, const std::vector<std::string> &reporters, Duration age) {
              VmDiagnosis diagnosis;
              TimePoint now = start;
              for (int i = 0; i < 40; ++i) {
                  for (const std::string &it : reporters) {
                      if (age == Duration(0) || i == 0) {
                          diagnosis.applyReports({it}, reports, now - age);
                      }
                  }
                  failFor(diagnosis, 40ms, now, others);
              }
              return diagnosis.isImpaired();
          };
    BOOST_TEST(!isImpairedAfter(healthyOthers(7), {"vm-1", "vm-2"}, 0s));
    BOOST_TEST(isImpairedAfter(healthyOthers(7), {"vm-1"}, 0s));
    BOOST_TEST(isImpairedAfter(healthyOthers(7), {"vm-1", "vm-left", "vm-gone"}, 0s));
    BOOST_TEST(isImpairedAfter(healthyOthers(7), {"vm-1", "vm-2"}, 1500ms));
    std::vector<HolderHealth> others = healthyOthers(7);
    others.at(1).isImpaired = true;
    BOOST_TEST(isImpairedAfter(others, {"vm-1", "vm-2"}, 0s));
}

// A single attempt each 250 ms, or failures at three targets only, say little.
BOOST_AUTO_TEST_CASE(few_attempts_and_few_targets_prove_nothing)
{
    VmDiagnosis diagnosis;
    for (TimePoint now = start; now < start + 20s; now += 250ms) {
        diagnosis.setOtherHolders(healthyOthers(7), now);
        diagnosis.noteAttempt({service, {"t" + std::to_string((now - start) / 250ms % 20)}}, ReachOutcome::Unreachable, now);
        BOOST_TEST(!diagnosis.update(now).has_value());
    }
    VmDiagnosis other;
    for (TimePoint now = start; now < start + 20s; now += 20ms) {
        other.setOtherHolders(healthyOthers(7), now);
        other.noteAttempt({service, {"t" + std::to_string((now - start) / 20ms % 3)}}, ReachOutcome::Unreachable, now);
        BOOST_TEST(!other.update(now).has_value());
    }
}

// Targets that don't respond are a sign only together with connections that can't be opened: a slow service isn't the Vm's fault.
BOOST_AUTO_TEST_CASE(a_service_that_does_not_respond_impairs_nobody)
{
    VmDiagnosis diagnosis;
    for (TimePoint now = start; now < start + 20s; now += 20ms) {
        diagnosis.setOtherHolders(healthyOthers(7), now);
        const VmDiagnosis::TargetKey target{service, {"t" + std::to_string((now - start) / 20ms % 20)}};
        diagnosis.noteAttempt(target, ReachOutcome::Connected, now);
        diagnosis.noteAttempt(target, ReachOutcome::Silent, now);
        BOOST_TEST(!diagnosis.update(now).has_value());
    }
}

BOOST_AUTO_TEST_CASE(a_calm_fleet_refuses_nothing)
{
    DiagnosisFleet fleet({});
    fleet.run(60s, [](std::size_t, std::size_t, double chance) { return chance > 0.02; });
    BOOST_TEST(fleet.impairments() == 0U);
    BOOST_TEST(fleet.refused() == 0U);
}
