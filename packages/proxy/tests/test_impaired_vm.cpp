// A Vm that fails to reach targets that the other seat holders reach.
#include "proxy_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

const std::vector<HolderHealth> healthyOthers{{.vm = {"vm-2"}}, {.vm = {"vm-3"}}, {.vm = {"vm-4"}}};

FixtureOptions unreachableTargets()
{
    FixtureOptions options;
    for (int i = 0; i < 8; ++i) {
        options.targets.push_back(closedPortAddress());
    }
    return options;
}

// Sends requests for up to `time` until the condition holds; the other seat holders are heard from meanwhile.
bool requestUntil(ProxyFixture &fixture, const std::vector<HolderHealth> &others, Duration time, const std::function<bool()> &condition)
{
    const SteadyClock clock;
    for (const TimePoint end = clock.now() + time; clock.now() < end;) {
        fixture.proxy().setOtherHolders(others);
        if (condition()) {
            return true;
        }
        RawCaller(fixture.port()).request("GET", "/work");
        std::this_thread::sleep_for(10ms);
    }
    return condition();
}

bool hasUnreachableReport(ProxyFixture &fixture)
{
    for (const auto &[service, targets] : fixture.proxy().targetUpdates()) {
        for (const TargetObservation &it : targets) {
            if (it.unreachablePause > Duration(0)) {
                return true;
            }
        }
    }
    return false;
}

} // namespace

// Guards against an impaired Vm that goes on to take requests and to blame targets.
BOOST_AUTO_TEST_CASE(a_choked_vm_refuses_requests_as_not_run_and_blames_no_target)
{
    ProxyFixture fixture(unreachableTargets());
    BOOST_REQUIRE(requestUntil(fixture, healthyOthers, 5s, [&] { return fixture.proxy().isImpaired(); }));
    BOOST_TEST(fixture.metrics().value(Gauge::VmImpaired) == 1);
    BOOST_TEST(!hasUnreachableReport(fixture));
    RawCaller caller(fixture.port());
    RawCaller::Response response = caller.request("POST", "/work", "body");
    if (response.header("content-type").empty() || response.body.find("vm_impaired") == std::string::npos) {
        response = RawCaller(fixture.port()).request("POST", "/work", "body"); // the first one was a trial
    }
    BOOST_TEST(response.status == 503U);
    BOOST_TEST(response.body.find("\"reason\":\"vm_impaired\"") != std::string::npos, response.body);
    BOOST_TEST(response.body.find("\"run\":\"not-run\"") != std::string::npos, response.body);
    BOOST_TEST(!response.header("retry-after").empty());
    BOOST_TEST(response.header("connection") == "close");
    BOOST_TEST(fixture.metrics().refusals(RefusalReason::VmImpaired) > 0U);
    requestUntil(fixture, healthyOthers, 500ms, [] { return false; }); // with trials, which fail
    BOOST_TEST(!hasUnreachableReport(fixture));
}

BOOST_AUTO_TEST_CASE(a_vm_refuses_nothing_and_blames_targets_while_half_of_the_holders_are_impaired)
{
    ProxyFixture fixture(unreachableTargets());
    BOOST_REQUIRE(requestUntil(fixture, healthyOthers, 5s, [&] { return fixture.proxy().isImpaired(); }));
    const std::vector<HolderHealth> others{{.vm = {"vm-2"}, .isImpaired = true}, {.vm = {"vm-3"}}, {.vm = {"vm-4"}}};
    fixture.proxy().setOtherHolders(others);
    const std::uint64_t before = fixture.metrics().refusals(RefusalReason::VmImpaired);
    BOOST_TEST(requestUntil(fixture, others, 5s, [&] { return hasUnreachableReport(fixture); }));
    BOOST_TEST(fixture.metrics().refusals(RefusalReason::VmImpaired) == before);
}

BOOST_AUTO_TEST_CASE(a_vm_that_hears_no_others_refuses_nothing)
{
    ProxyFixture fixture(unreachableTargets());
    BOOST_TEST(!requestUntil(fixture, {}, 2s, [&] { return fixture.proxy().isImpaired(); }));
    BOOST_TEST(fixture.metrics().refusals(RefusalReason::VmImpaired) == 0U);
    BOOST_TEST(hasUnreachableReport(fixture));
}
