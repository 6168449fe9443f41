// The limit of requests to cold targets, shared by the Vms of a fleet in virtual time, and evacuated targets.
#include <boost/test/unit_test.hpp>
#include <deque>
#include <pollenspoke/policy.h>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start{1h};
constexpr auto tick = 10ms;
constexpr auto warmupTime = 15s;

struct FleetOptions
{
    std::size_t vms = 8;
    std::size_t targets = 6;
    double warmupRate = 4;
    std::size_t cutOffVms = 0;     // the first ones keep an older list, which names a Vm that has left instead of the last one
    std::size_t restartingVms = 0; // this many of the last ones restart each second
    bool endsEvacuation = false;   // the targets are evacuated for the first second and learn their registrations 3 s after it
};

// Vms that send as many requests as they may to targets that became cold together.
class Fleet
{
public:
    explicit Fleet(FleetOptions options)
        : m_options(options)
        , m_vms(options.vms)
        , m_window(options.targets)
    {
        for (std::size_t i = 0; i < options.vms; ++i) {
            m_names.push_back({"vm-" + std::to_string(i)});
        }
        for (std::size_t i = 0; i < options.vms; ++i) {
            restart(i, start);
        }
    }

    void run(Duration time)
    {
        for (TimePoint now = start; now < start + time; now += tick) {
            const Duration since = now - start;
            for (std::size_t i = 0; i < m_vms.size(); ++i) {
                const bool isRestarting = i + m_options.restartingVms >= m_vms.size();
                if (isRestarting && since > 0s && (since + i * 100ms) % 1s == 0s) {
                    restart(i, now);
                }
                if (m_options.endsEvacuation && (since == 1s || since == 4s)) {
                    m_vms[i].setTargets(targets(since), now);
                }
                send(i, now);
            }
        }
    }

    std::size_t worst() const { return m_worst; } // requests to one target in one second
    std::size_t sent() const { return m_sent; }
    std::size_t sentInFirstSecond() const { return m_sentInFirstSecond; }
    double bound() const { return m_options.warmupRate * 1.5 + 8; }

private:
    std::vector<Target> targets(Duration since) const
    {
        std::vector<Target> list;
        for (std::size_t i = 0; i < m_options.targets; ++i) {
            Target target{.name = {"t" + std::to_string(i)}, .address = {.ip = "10.0.0.1", .port = 8000}, .slots = 1000, .incarnation = 5};
            const bool isRegistrationKnown = !m_options.endsEvacuation || since >= 4s;
            target.warmupMs = isRegistrationKnown ? 20000 : 0;
            target.warmupSequence = isRegistrationKnown ? 2 : 0;
            target.isEvacuated = m_options.endsEvacuation && since < 1s;
            target.isWarmupUnknown = m_options.endsEvacuation && since >= 1s && since < 4s;
            list.push_back(target);
        }
        return list;
    }

    void restart(std::size_t i, TimePoint now)
    {
        std::vector<VmName> names = m_names;
        if (i < m_options.cutOffVms) {
            names.back() = {"vm-that-left"};
        }
        m_vms[i] = ServiceBalancer();
        m_vms[i].setLimitSharers({.self = m_names[i], .vms = names, .fleetSize = names.size()}, now);
        m_vms[i].setWarmupRate(m_options.warmupRate, now);
        m_vms[i].setTargets(targets(now - start), now);
    }

    void send(std::size_t i, TimePoint now)
    {
        while (const std::optional<Target> target = m_vms[i].choose({.limit = 100000}, now, m_generator)) {
            const TargetInstance instance{.name = target->name, .address = target->address, .incarnation = target->incarnation};
            BOOST_REQUIRE(m_vms[i].takeToken(instance, now));
            m_vms[i].end(target->name, AttemptEnd::Abandoned, 0ms, now, now);
            std::deque<TimePoint> &window = m_window[static_cast<std::size_t>(target->name.value[1] - '0')];
            window.push_back(now);
            while (now - window.front() >= 1s) {
                window.pop_front();
            }
            m_worst = std::max(m_worst, window.size());
            ++m_sent;
            m_sentInFirstSecond += now < start + 1s ? 1 : 0;
            if (m_worst > 10000) {
                return; // unlimited
            }
        }
    }

    FleetOptions m_options;
    std::vector<VmName> m_names;
    std::vector<ServiceBalancer> m_vms;
    std::vector<std::deque<TimePoint>> m_window; // of the last second, by target
    std::size_t m_worst = 0;
    std::size_t m_sent = 0;
    std::size_t m_sentInFirstSecond = 0;
    Generator m_generator{11};
};

Target makeTarget(const std::string &name, bool isEvacuated = false)
{
    return {.name = {name}, .address = {.ip = "10.0.0.1", .port = 8000}, .slots = 2, .incarnation = 5, .isEvacuated = isEvacuated};
}

TargetInstance instanceOf(const Target &target)
{
    return {.name = target.name, .address = target.address, .incarnation = target.incarnation};
}

} // namespace

// Load: a whole domain back cold under a burst. Guards against targets that crash because each Vm keeps the limit for itself.
BOOST_AUTO_TEST_CASE(a_whole_domain_back_cold_under_a_burst_gets_no_more_than_the_bound)
{
    for (const std::size_t vms : {1, 2, 8, 31}) {
        for (const double rate : {0.5, 1.0, 4.0, 12.0, 50.0}) {
            Fleet fleet({.vms = vms, .warmupRate = rate});
            fleet.run(warmupTime);
            BOOST_TEST(static_cast<double>(fleet.worst()) <= fleet.bound(), vms << " Vms, rate " << rate << ": " << fleet.worst());
        }
    }
}

// Guards against a limit that starves the cold targets: they warm up by the requests they can handle.
BOOST_AUTO_TEST_CASE(cold_targets_get_the_requests_that_they_can_handle)
{
    for (const std::size_t vms : {1, 8, 31}) {
        for (const double rate : {1.0, 4.0, 12.0, 50.0}) {
            Fleet fleet({.vms = vms, .warmupRate = rate});
            fleet.run(warmupTime);
            const double expected = rate * 6 * 15;
            BOOST_TEST(static_cast<double>(fleet.sent()) >= 0.8 * expected, vms << " Vms, rate " << rate << ": " << fleet.sent());
        }
    }
}

// Guards against Vms that start with saved tokens, and against two sets of homes for one target, which add up to more than the bound.
BOOST_AUTO_TEST_CASE(the_bound_holds_with_vms_that_restart_or_are_cut_off)
{
    for (const double rate : {1.0, 4.0, 12.0, 50.0}) {
        Fleet fleet({.warmupRate = rate, .cutOffVms = 4, .restartingVms = 3});
        fleet.run(warmupTime);
        BOOST_TEST(static_cast<double>(fleet.worst()) <= fleet.bound(), "rate " << rate << ": " << fleet.worst());
    }
}

// Guards against requests beyond the limit between the end of an evacuation and the registrations that tell of the cold start.
BOOST_AUTO_TEST_CASE(the_bound_holds_from_the_end_of_an_evacuation_until_the_registrations_are_known)
{
    Fleet fleet({.endsEvacuation = true});
    fleet.run(warmupTime);
    BOOST_TEST(fleet.sentInFirstSecond() == 0U);
    BOOST_TEST(fleet.sent() > 0U);
    BOOST_TEST(static_cast<double>(fleet.worst()) <= fleet.bound(), fleet.worst());
}

// Guards against a limit that stays after the target is warm, and against one where no limit is asked for.
BOOST_AUTO_TEST_CASE(the_limit_ends_with_the_warm_up)
{
    Target target = makeTarget("t0");
    target.warmupMs = 2000;
    target.warmupSequence = 1;
    ServiceBalancer balancer;
    balancer.setWarmupRate(1, start);
    balancer.setTargets({target}, start);
    BOOST_TEST(!balancer.takeToken(instanceOf(target), start));
    BOOST_TEST(balancer.isHeldBackByWarmup(start));
    BOOST_TEST((balancer.opensAt(start).value() == start + 1s));
    BOOST_TEST(balancer.takeToken(instanceOf(target), start + 1s));
    BOOST_TEST(!balancer.takeToken(instanceOf(target), start + 1s));
    balancer.setTargets({target}, start + 1500ms); // the same registration again doesn't extend the time
    BOOST_TEST(balancer.takeToken(instanceOf(target), start + 2s));
    BOOST_TEST(balancer.takeToken(instanceOf(target), start + 2s));
    BOOST_TEST(!balancer.isHeldBackByWarmup(start + 2s));

    ServiceBalancer unlimited;
    unlimited.setTargets({target}, start);
    BOOST_TEST(unlimited.takeToken(instanceOf(target), start));
}

// Guards against a target that restarts with the same remaining time, or says it only in its answers, and counts as warm.
BOOST_AUTO_TEST_CASE(a_later_registration_and_an_answer_make_a_target_cold_again)
{
    Target target = makeTarget("t0");
    target.warmupMs = 2000;
    target.warmupSequence = 1;
    ServiceBalancer balancer;
    balancer.setWarmupRate(1, start);
    balancer.setTargets({target}, start);
    BOOST_TEST(balancer.takeToken(instanceOf(target), start + 5s));
    target.warmupSequence = 2;
    balancer.setTargets({target}, start + 5s);
    BOOST_TEST(!balancer.takeToken(instanceOf(target), start + 5s));
    BOOST_TEST(balancer.takeToken(instanceOf(target), start + 8s));
    balancer.announce(instanceOf(target), {.warmup = 3s}, start + 8s);
    BOOST_TEST(!balancer.takeToken(instanceOf(target), start + 8s));
    balancer.announce(instanceOf(target), {.warmup = 1ms}, start + 9s); // doesn't shorten it
    BOOST_TEST(balancer.takeToken(instanceOf(target), start + 10s));
    BOOST_TEST(!balancer.takeToken(instanceOf(target), start + 10s));
}

// Guards against a limit that replaces the other one: a target may be cold and name a limit.
BOOST_AUTO_TEST_CASE(both_limits_of_a_target_apply_together)
{
    Target target = makeTarget("t0");
    target.warmupMs = 60000;
    ServiceBalancer balancer;
    balancer.setWarmupRate(50, start);
    balancer.setTargets({target}, start);
    balancer.announce(instanceOf(target), {.limit = 1.0}, start);
    int n = 0;
    for (TimePoint now = start; now < start + 10s; now += tick) {
        n += balancer.takeToken(instanceOf(target), now) ? 1 : 0;
    }
    BOOST_TEST(n <= 11);
    BOOST_TEST(n >= 9);
    balancer.announce(instanceOf(target), {.limit = 1000.0}, start + 10s);
    balancer.setWarmupRate(1, start + 10s);
    n = 0;
    for (TimePoint now = start + 20s; now < start + 30s; now += tick) {
        n += balancer.takeToken(instanceOf(target), now) ? 1 : 0;
    }
    BOOST_TEST(n <= 11);
    BOOST_TEST(n >= 9);
}

// Guards against a token that is lost with each request that no byte of was sent.
BOOST_AUTO_TEST_CASE(a_token_of_a_request_that_was_not_sent_comes_back)
{
    Target target = makeTarget("t0");
    target.warmupMs = 60000;
    ServiceBalancer balancer;
    balancer.setWarmupRate(1, start);
    balancer.setTargets({target}, start);
    BOOST_TEST(balancer.takeToken(instanceOf(target), start + 1s));
    balancer.returnToken(instanceOf(target), start + 1s);
    BOOST_TEST(balancer.takeToken(instanceOf(target), start + 1s));
    BOOST_TEST(!balancer.takeToken(instanceOf(target), start + 1s));
}

// Guards against shares whose sum over all Vms exceeds the bound for some pair of settings.
BOOST_AUTO_TEST_CASE(the_shares_of_all_vms_stay_below_the_bound)
{
    for (const std::size_t n : {1, 2, 8, 31}) {
        std::vector<VmName> vms;
        for (std::size_t i = 0; i < n; ++i) {
            vms.push_back({"vm-" + std::to_string(i)});
        }
        for (const double rate : {0.2, 1.0, 4.0, 50.0, 1000.0}) {
            for (const WarmupBound &bound : {WarmupBound{}, WarmupBound{1.5, 2}, WarmupBound{2, 0}, WarmupBound{1, 1000}}) {
                double sum = 0;
                for (const VmName &it : vms) {
                    const Limits share = warmupShare({"t0"}, rate, bound, {.self = it, .vms = vms});
                    sum += share.ratePerSecond + share.burst;
                    BOOST_TEST((share.ratePerSecond == 0 || share.burst >= 1));
                }
                const double allowed = std::max(rate * bound.overage + bound.slack, 1.1); // one request, whatever the rate
                BOOST_TEST(sum <= allowed, n << " Vms, rate " << rate << ", slack " << bound.slack << ": " << sum);
                BOOST_TEST(sum > 0);
            }
        }
    }
    BOOST_TEST(warmupShare({"t0"}, 5, {}, {.self = {"vm-9"}, .vms = std::vector<VmName>{{"vm-1"}}}).ratePerSecond == 0);
    BOOST_TEST(warmupShare({"t0"}, 5, {}, {.self = {"vm-9"}, .vms = std::vector<VmName>()}).ratePerSecond == 0);
    BOOST_TEST(warmupShare({"t0"}, 5, {}, {.self = {"vm-9"}}).ratePerSecond == 5);
}

// Guards against requests, retries and capacity counts that include targets of an evacuated domain.
BOOST_AUTO_TEST_CASE(evacuated_targets_get_nothing_and_count_as_no_capacity)
{
    Generator generator{3};
    ServiceBalancer balancer;
    balancer.setTargets({makeTarget("a", true), makeTarget("b", true), makeTarget("c")}, start);
    BOOST_TEST(balancer.usableSlots(start) == 2U);
    BOOST_TEST(!balancer.accepts(instanceOf(makeTarget("a")), start));
    Target earlier = makeTarget("a");
    earlier.incarnation = 4;
    BOOST_TEST(!balancer.accepts(instanceOf(earlier), start));
    for (int i = 0; i < 2; ++i) {
        BOOST_REQUIRE((balancer.choose({}, start, generator).value().name == TargetName{"c"}));
    }
    BOOST_TEST(!balancer.choose({}, start, generator).has_value());
    BOOST_TEST(balancer.freeSlots(start) == 0U);
    balancer.end({"c"}, AttemptEnd::Failed, 1ms, start, start);
    const std::vector<TargetName> tried{{"c"}};
    BOOST_TEST((balancer.choose({.tried = tried}, start, generator).value_or(makeTarget("c")).name == TargetName{"c"}));
}

// Guards against requests that wait for targets which nothing may be sent to.
BOOST_AUTO_TEST_CASE(a_service_whose_targets_are_all_evacuated_never_opens)
{
    Generator generator{3};
    ServiceBalancer balancer;
    balancer.setTargets({makeTarget("a", true), makeTarget("b", true)}, start);
    BOOST_TEST(!balancer.opensAt(start).has_value());
    BOOST_TEST(!balancer.choose({}, start, generator).has_value());
    BOOST_TEST(balancer.usableSlots(start) == 0U);
    balancer.setTargets({makeTarget("a"), makeTarget("b", true)}, start + 1s);
    BOOST_TEST((balancer.opensAt(start + 1s).value() == start + 1s));
    BOOST_TEST((balancer.choose({}, start + 1s, generator).value().name == TargetName{"a"}));
}
