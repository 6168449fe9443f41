// The limits that targets name, shared by the Vms of a fleet in virtual time. Each Vm asks all the time, which is the worst for the sum.
#include <boost/test/unit_test.hpp>
#include <deque>
#include <pollenspoke/policy.h>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start{1h};
constexpr auto window = 4s; // of the platform's rule
constexpr auto toldFor = 500ms;
constexpr auto tick = 10ms;
constexpr auto reportPeriod = 1s;
constexpr std::size_t maxSharers = 31; // seat holders of the largest fleet

double allowed(double limit)
{
    return limit * 1.5 * 4 + 5;
}

Target makeTarget(std::uint64_t incarnation = 5)
{
    return {.name = {"t0"}, .address = {.ip = "10.0.0.1", .port = 8000}, .slots = 1000, .incarnation = incarnation};
}

TargetInstance instanceOf(const Target &target)
{
    return {.name = target.name, .address = target.address, .incarnation = target.incarnation};
}

struct FleetOptions
{
    std::size_t vms = 1;
    double lossShare = 0;           // of the reports
    std::size_t frozenVms = 0;      // this many of the first ones send nothing from 6 s to 12 s and then go on
    std::size_t restartingVms = 0;  // this many of the last ones restart at 8 s
    std::optional<Duration> endsAt; // the limit
};

// Vms that send to one target as fast as it is allowed to them.
class Fleet
{
public:
    Fleet(FleetOptions options, double limit)
        : m_options(options)
        , m_limit(limit)
        , m_vms(options.vms)
        , m_toldAt(options.vms)
    {
        for (std::size_t i = 0; i < options.vms; ++i) {
            m_names.push_back({"vm-" + std::to_string(i)});
        }
        m_sharers.assign(m_names.begin(), m_names.begin() + static_cast<std::ptrdiff_t>(std::min(options.vms, maxSharers)));
        for (std::size_t i = 0; i < options.vms; ++i) {
            restart(i, start);
        }
    }

    void run(Duration time)
    {
        for (TimePoint now = start; now < start + time; now += tick) {
            const Duration since = now - start;
            for (std::size_t i = 0; i < m_vms.size(); ++i) {
                if (since == 8s && i + m_options.restartingVms >= m_vms.size()) {
                    restart(i, now);
                }
                if (i >= m_options.frozenVms || since < 6s || since >= 12s) {
                    send(i, now);
                }
            }
            if (since % reportPeriod == 0s) {
                exchangeReports(now);
            }
        }
    }

    std::size_t worst() const { return m_worst; }       // window, of the Vms that had been told
    std::size_t sent() const { return m_sent; }         // in all
    std::size_t lastSecond() const { return m_recent; } // requests in the last second

private:
    void restart(std::size_t i, TimePoint now)
    {
        m_vms[i] = ServiceBalancer();
        m_vms[i].setTargets({makeTarget()}, now);
        m_vms[i].setLimitSharers({.self = m_names[i], .vms = m_sharers, .fleetSize = m_names.size()}, now);
        m_toldAt[i].reset();
    }

    void send(std::size_t i, TimePoint now)
    {
        const std::optional<Target> target = m_vms[i].choose({.limit = 10000}, now, m_generator);
        if (!target) {
            return;
        }
        if (m_vms[i].takeToken(instanceOf(*target), now)) {
            ++m_sent;
            m_all.push_back(now);
            if (m_toldAt[i] && now - *m_toldAt[i] >= toldFor) {
                m_window.push_back(now);
            }
            const bool isLimited = !m_options.endsAt || now - start < *m_options.endsAt;
            if (isLimited) {
                m_vms[i].announce(instanceOf(*target), {.limit = m_limit}, now);
                m_toldAt[i] = m_toldAt[i].value_or(now);
            } else {
                m_vms[i].noteUnlimited(instanceOf(*target), now, now);
            }
        }
        m_vms[i].end(target->name, AttemptEnd::Abandoned, 0ms, now, now);
        while (!m_window.empty() && now - m_window.front() > window) {
            m_window.pop_front();
        }
        while (!m_all.empty() && now - m_all.front() > 1s) {
            m_all.pop_front();
        }
        m_worst = std::max(m_worst, m_window.size());
        m_recent = m_all.size();
    }

    void exchangeReports(TimePoint now)
    {
        std::bernoulli_distribution isLost(m_options.lossShare);
        for (std::size_t i = 0; i < m_sharers.size(); ++i) {
            const std::vector<TargetObservation> observations = m_vms[i].observations(now);
            for (std::size_t j = 0; j < m_sharers.size(); ++j) {
                if (i != j && !isLost(m_generator)) {
                    m_vms[j].applyObservations(m_names[i], observations, true, now);
                }
            }
        }
    }

    FleetOptions m_options;
    double m_limit;
    std::vector<VmName> m_names;
    std::vector<VmName> m_sharers; // they send reports to each other only
    std::vector<ServiceBalancer> m_vms;
    std::vector<std::optional<TimePoint>> m_toldAt; // by an answer
    std::deque<TimePoint> m_window;
    std::deque<TimePoint> m_all;
    std::size_t m_worst = 0;
    std::size_t m_sent = 0;
    std::size_t m_recent = 0;
    Generator m_generator{11};
};

} // namespace

// Vms that keep a limit each for itself send it as many times as there are Vms.
BOOST_AUTO_TEST_CASE(the_sum_over_all_vms_stays_within_the_limit)
{
    for (const std::size_t vms : {1, 4, 8, 40, 443}) {
        for (const double limit : {0.3, 1.0, 2.3, 10.0, 50.0}) {
            Fleet fleet({.vms = vms}, limit);
            fleet.run(20s);
            BOOST_TEST(static_cast<double>(fleet.worst()) <= allowed(limit), vms << " Vms, limit " << limit << ": " << fleet.worst());
        }
    }
}

BOOST_AUTO_TEST_CASE(the_sum_stays_within_the_limit_with_lost_reports_frozen_and_restarted_vms)
{
    for (const std::size_t vms : {4, 8, 40}) {
        for (const double limit : {0.3, 1.0, 2.3, 10.0, 50.0}) {
            Fleet fleet({.vms = vms, .lossShare = 0.3, .frozenVms = vms / 2, .restartingVms = vms / 4}, limit);
            fleet.run(20s);
            BOOST_TEST(static_cast<double>(fleet.worst()) <= allowed(limit), vms << " Vms, limit " << limit << ": " << fleet.worst());
        }
    }
}

// A limited target is alive and gets what it can take.
BOOST_AUTO_TEST_CASE(a_target_gets_the_worth_of_its_limit)
{
    for (const std::size_t vms : {1, 8, 40}) {
        for (const double limit : {1.0, 2.3, 10.0, 50.0}) {
            Fleet fleet({.vms = vms}, limit);
            fleet.run(20s);
            BOOST_TEST(static_cast<double>(fleet.sent()) >= limit * 20 * 0.8, vms << " Vms, limit " << limit << ": " << fleet.sent());
        }
    }
}

// A Vm without a share sends nothing and can't notice the end by itself.
BOOST_AUTO_TEST_CASE(the_end_of_a_limit_reaches_the_vms_that_send_nothing)
{
    Fleet fleet({.vms = 8, .endsAt = 10s}, 1.0);
    fleet.run(15s);
    BOOST_TEST(fleet.lastSecond() > 8 * 50U); // of 8 * 100 that the Vms try
}

BOOST_AUTO_TEST_CASE(the_shares_of_all_vms_add_up_to_the_limit)
{
    for (const std::size_t n : {1, 2, 8, 31}) {
        std::vector<VmName> vms;
        for (std::size_t i = 0; i < n; ++i) {
            vms.push_back({"vm-" + std::to_string(i)});
        }
        for (const double limit : {0.3, 1.0, 7.5, 50.0}) {
            double sum = 0;
            for (const VmName &it : vms) {
                sum += limitShare({"t0"}, limit, {.self = it, .vms = vms});
            }
            BOOST_TEST(sum == limit, boost::test_tools::tolerance(1e-9));
        }
    }
    BOOST_TEST(limitShare({"t0"}, 5, {.self = {"vm-9"}, .vms = std::vector<VmName>{{"vm-1"}, {"vm-2"}}}) == 0);
    BOOST_TEST(limitShare({"t0"}, 5, {.self = {"vm-9"}, .vms = std::vector<VmName>()}) == 0);
    BOOST_TEST(limitShare({"t0"}, 5, {.self = {"vm-9"}}) == 5);
}

// The word of one Vm must not hold back the others: a single report is a preference.
BOOST_AUTO_TEST_CASE(a_limit_reported_by_one_vm_binds_no_other)
{
    ServiceBalancer balancer;
    balancer.setTargets({makeTarget()}, start);
    balancer.setLimitSharers({.self = {"vm-9"}, .vms = std::vector<VmName>{{"vm-1"}, {"vm-2"}}}, start);
    const TargetObservation report{.target = {"t0"}, .limit = LimitReport{.incarnation = 5, .limit = 0.0}};
    balancer.applyObservations({"vm-1"}, {report}, true, start);
    BOOST_TEST(balancer.takeToken(instanceOf(makeTarget()), start));
    balancer.applyObservations({"vm-2"}, {report}, true, start);
    BOOST_TEST(!balancer.takeToken(instanceOf(makeTarget()), start));
}

BOOST_AUTO_TEST_CASE(late_answers_and_other_incarnations_change_no_limit)
{
    const TargetInstance instance = instanceOf(makeTarget());
    ServiceBalancer balancer;
    balancer.setTargets({makeTarget()}, start);
    balancer.announce(instance, {.limit = 0.0}, start + 1s);
    BOOST_TEST(!balancer.noteUnlimited(instance, start, start + 2s)); // to a request sent before the limit was named
    BOOST_TEST(!balancer.noteUnlimited(instanceOf(makeTarget(4)), start + 2s, start + 3s));
    BOOST_TEST(!balancer.takeToken(instance, start + 3s));
    BOOST_TEST(balancer.noteUnlimited(instance, start + 2s, start + 3s));
    BOOST_TEST(balancer.takeToken(instance, start + 3s));
    balancer.announce(instance, {.limit = 0.0}, start + 4s);
    BOOST_TEST(balancer.takeToken(instanceOf(makeTarget(6)), start + 5s)); // started again
}

// The time until a token is told, so that callers come back when there is one.
BOOST_AUTO_TEST_CASE(a_service_of_limited_targets_opens_with_the_next_token)
{
    ServiceBalancer balancer;
    balancer.setTargets({makeTarget()}, start);
    balancer.announce(instanceOf(makeTarget()), {.limit = 2.0}, start);
    BOOST_TEST((balancer.opensAt(start).value() == start + 500ms));
    BOOST_TEST((balancer.limitedWait(4, start) == 2500ms));
    BOOST_TEST(balancer.takeToken(instanceOf(makeTarget()), start + 500ms));
    balancer.returnToken(instanceOf(makeTarget()), start + 500ms);
    BOOST_TEST(balancer.takeToken(instanceOf(makeTarget()), start + 500ms));
    BOOST_TEST(!balancer.takeToken(instanceOf(makeTarget()), start + 500ms));
}
