// Requests of several ranks at one proxy whose service lacks slots.
#include "proxy_fixture.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace Pollenspoke;

namespace {

constexpr int callers = 24; // of each rank, on two slots of 150 ms

void serveSlowly(AcceptedConnection &connection)
{
    while (const auto request = connection.readRequest()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(150));
        connection.respond(*request, "done");
    }
}

struct Outcome
{
    std::mutex mutex;
    std::map<std::string, int> served; // by path
    std::map<std::string, int> refused;
    std::multiset<std::string> retryAfters;
};

FixtureOptions makeOptions(const ScriptedTarget &target, bool isByRank)
{
    FixtureOptions options{.targets = {target.address()}, .routeFields = ", objective_ms: 1000, deadline_ms: 3000, priority: 0"};
    options.proxy.dispatch.admissionByRank = isByRank;
    options.proxy.dispatch.targetQueue = 0;
    options.proxy.wire.hasFractionalRetryAfter = true;
    options.objects = "---\nkind: Route\nname: low\nspec: {match: {path_prefix: /low}, service: work, objective_ms: 1000, deadline_ms: "
                      "3000, priority: 7}\n";
    return options;
}

void sendWave(ProxyFixture &fixture, Outcome &outcome)
{
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(2) * callers);
    for (int i = 0; i < 2 * callers; ++i) {
        threads.emplace_back([&fixture, &outcome, i] {
            const std::string path = i % 2 == 0 ? "/work" : "/low";
            RawCaller caller(fixture.port());
            for (int round = 0; round < 6; ++round) {
                const RawCaller::Response response = caller.request("GET", path);
                const std::lock_guard lock(outcome.mutex);
                (response.status == 200 ? outcome.served : outcome.refused)[path]++;
                if (response.status == 503) {
                    outcome.retryAfters.insert(response.header("Retry-After"));
                }
            }
        });
    }
    for (std::thread &it : threads) {
        it.join();
    }
}

} // namespace

// Guards against a level that isn't asked, or that also refuses the most urgent rank.
BOOST_AUTO_TEST_CASE(low_rank_is_refused_by_the_level_while_slots_are_lacking)
{
    ScriptedTarget target(serveSlowly);
    ProxyFixture fixture(makeOptions(target, true));
    Outcome outcome;
    sendWave(fixture, outcome);
    BOOST_TEST(fixture.metrics().value(Counter::RefusalsByLevel) > 0U);
    BOOST_TEST(outcome.served["/work"] > outcome.served["/low"]);
    BOOST_TEST(fixture.metrics().refusals(RefusalReason::QueueFull) > 0U);
}

BOOST_AUTO_TEST_CASE(no_level_unless_it_is_enabled)
{
    ScriptedTarget target(serveSlowly);
    ProxyFixture fixture(makeOptions(target, false));
    Outcome outcome;
    sendWave(fixture, outcome);
    BOOST_TEST(fixture.metrics().value(Counter::RefusalsByLevel) == 0U);
    BOOST_TEST(fixture.metrics().value(Counter::WaitsByLevel) == 0U);
    BOOST_TEST(fixture.metrics().value(Gauge::AdmissionBoundary) == -1);
}

// Guards against callers that are refused together and told to come back together.
BOOST_AUTO_TEST_CASE(refused_callers_are_told_different_times)
{
    ScriptedTarget target(serveSlowly);
    ProxyFixture fixture(makeOptions(target, false));
    Outcome outcome;
    sendWave(fixture, outcome);
    BOOST_REQUIRE(outcome.retryAfters.size() >= 10U);
    std::size_t most = 0;
    for (const std::string &it : outcome.retryAfters) {
        const double seconds = std::stod(it);
        BOOST_TEST((seconds >= 0.1 && seconds <= 5.001), it);
        most = std::max(most, outcome.retryAfters.count(it));
    }
    BOOST_TEST(most <= outcome.retryAfters.size() / 4);
}
