// Requests that wait for a slot while another Vm holds most of the slots.
#include "front_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

constexpr auto workTime = 600ms;

ScriptedTarget::Script slowScript()
{
    return [](AcceptedConnection &connection) {
        while (const std::optional<ReceivedRequest> request = connection.readRequest()) {
            std::this_thread::sleep_for(workTime);
            connection.respond(*request, "done");
        }
    };
}

void setOthersRequests(ProxyFixture &fixture, std::uint32_t n)
{
    fixture.proxy().applyTargetUpdates({"other"}, {{{"work"}, {{.target = {"t0"}, .inFlight = n}}}}, true);
}

Duration timeToAnswer(RawCaller &caller, const std::string &path, RawCaller::Response &response)
{
    const auto startedAt = std::chrono::steady_clock::now();
    caller.send(makeRequest("GET", path));
    response = caller.readResponse();
    return std::chrono::steady_clock::now() - startedAt;
}

ProxyFixture makeFixture(const ScriptedTarget &target)
{
    ProxyOptions options;
    options.dispatch.targetQueue = 0;
    return ProxyFixture({.targets = {target.address()}, .proxy = options, .routeFields = ", deadline_ms: 3000, objective_ms: 2000"});
}

} // namespace

// A Vm expected to get all slots of the service, so that a request without a chance was refused only after its longest wait.
BOOST_AUTO_TEST_CASE(a_request_behind_too_many_others_is_refused_at_once)
{
    ScriptedTarget target(slowScript());
    ProxyFixture fixture = makeFixture(target);
    RawCaller first(fixture.port());
    BOOST_TEST(first.request("GET", "/work/first").status == 200U); // the Vm learns the usual latency
    std::list<RawCaller> callers;
    const auto send = [&] { callers.emplace_back(fixture.port()).send(makeRequest("GET", "/work/" + std::to_string(callers.size()))); };
    send();
    std::this_thread::sleep_for(50ms); // until it holds a slot
    setOthersRequests(fixture, 2);
    for (int i = 0; i < 2; ++i) {
        send();
    }
    std::this_thread::sleep_for(330ms); // as long as it takes to know this Vm's part
    RawCaller last(fixture.port());
    RawCaller::Response refusal;
    BOOST_TEST((timeToAnswer(last, "/work/last", refusal) < 500ms)); // the longest wait is 1100 ms
    checkRefusal(refusal, 503, "queue_full");
    setOthersRequests(fixture, 0);
    for (RawCaller &it : callers) { // those that wait already are served
        BOOST_TEST(it.readResponse().status == 200U);
    }
}

// A request can't wait if the time to its deadline is shorter than an answer usually takes. It is still sent where a slot is free.
BOOST_AUTO_TEST_CASE(a_request_whose_deadline_can_not_be_met_does_not_wait)
{
    ScriptedTarget target(slowScript());
    ProxyFixture fixture = makeFixture(target);
    RawCaller first(fixture.port());
    BOOST_TEST(first.request("GET", "/work/first").status == 200U); // the Vm learns the usual latency
    const std::string shortDeadline = "Pollenspoke-Deadline-Ms: 400\r\n";
    std::list<RawCaller> callers;
    for (int i = 0; i < 2; ++i) {
        callers.emplace_back(fixture.port()).send(makeRequest("GET", "/work/slow"));
    }
    std::this_thread::sleep_for(50ms); // until they hold both slots
    RawCaller last(fixture.port());
    const auto startedAt = std::chrono::steady_clock::now();
    last.send(makeRequest("GET", "/work/short", shortDeadline));
    checkRefusal(last.readResponse(), 503, "queue_full");
    BOOST_TEST((std::chrono::steady_clock::now() - startedAt < 250ms));
    for (RawCaller &it : callers) {
        BOOST_TEST(it.readResponse().status == 200U);
    }
}
