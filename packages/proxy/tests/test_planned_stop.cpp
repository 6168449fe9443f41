// Planned stop: requests and connections open at the start of the drain complete, or get a refusal that correctly says not-run.
#include "front_fixture.h"

#include <boost/test/unit_test.hpp>
#include <future>

using namespace Pollenspoke;

namespace {

constexpr StopSchedule longStop{.acceptTime = std::chrono::seconds(20), .totalTime = std::chrono::seconds(20)};

std::future<bool> startDrain(Proxy &proxy)
{
    return std::async(std::launch::async, [&proxy] {
        proxy.beginLeave(longStop);
        return proxy.drainAndStop();
    });
}

// Expects a 503 notice and a close on a connection that had no request when the drain started.
void checkShutdownNotice(RawCaller &caller)
{
    const RawCaller::Response notice = caller.readResponse();
    checkRefusal(notice, 503, "shutting_down");
    BOOST_TEST(notice.header("Connection") == "close");
    BOOST_TEST(caller.isClosedByProxy());
    caller.closeNow();
}

// Blocks the calling worker in admit() until release().
class BlockingAdmission final : public AdmissionControl
{
public:
    void admit(const AccountName &, const Limits &, TimePoint, std::function<void(Admission)> callback) override
    {
        ++m_pending;
        m_released.get_future().share().wait();
        callback(Admitted{});
    }
    int pending() const { return m_pending; }
    void release() { m_released.set_value(); }

private:
    std::atomic<int> m_pending{0};
    std::promise<void> m_released;
};

// Lets a target's script wait until the test opens it.
class Gate
{
public:
    void open() { m_isOpen = true; }
    bool wait() const
    {
        return eventually([this] { return m_isOpen.load(); });
    }

private:
    std::atomic<bool> m_isOpen{false};
};

std::string makeLongBody(std::size_t size)
{
    std::string body;
    while (body.size() < size) {
        body += std::to_string(body.size()) + ",";
    }
    return body;
}

} // namespace

BOOST_AUTO_TEST_CASE(in_flight_requests_are_answered_and_idle_connections_get_a_shutdown_notice)
{
    Gate gate;
    std::atomic<int> started{0};
    ScriptedTarget target([&](AcceptedConnection &connection) {
        while (const auto request = connection.readRequest()) {
            ++started;
            gate.wait();
            connection.respond(*request, pathOf(*request));
        }
    });
    ProxyFixture fixture({.targets = {target.address()}, .routeFields = ", deadline_ms: 20000"});
    std::list<RawCaller> busy;
    std::list<RawCaller> idle;
    for (int i = 0; i < 4; ++i) {
        busy.emplace_back(fixture.port()).send(makeRequest(i % 2 == 0 ? "POST" : "GET", "/work/" + std::to_string(i)));
        idle.emplace_back(fixture.port());
    }
    RawCaller idleAfterRequest(fixture.port());
    BOOST_TEST(idleAfterRequest.request("GET", "/nowhere").status == 404U);
    BOOST_REQUIRE(eventually([&] { return started == 4 && fixture.metrics().value(Gauge::CallerConnections) == 9; }));
    std::future<bool> drainResult = startDrain(fixture.proxy());
    for (RawCaller &it : idle) {
        checkShutdownNotice(it);
    }
    checkShutdownNotice(idleAfterRequest);
    BOOST_TEST((drainResult.wait_for(std::chrono::milliseconds(50)) == std::future_status::timeout)); // requests are still in flight
    gate.open();
    int i = 0;
    for (RawCaller &it : busy) {
        const RawCaller::Response response = it.readResponse();
        BOOST_TEST(response.isComplete);
        BOOST_TEST(response.body == "/work/" + std::to_string(i++));
        it.closeNow();
    }
    BOOST_TEST(drainResult.get());
    BOOST_TEST(fixture.metrics().refusals(RefusalReason::ShuttingDown) >= 5U);
    BOOST_TEST(fixture.metrics().value(Gauge::RequestsInFlight) == 0);
}

BOOST_AUTO_TEST_CASE(a_large_download_to_a_slow_caller_completes_during_the_drain)
{
    const std::string body = makeLongBody(32 << 20);
    ScriptedTarget target([&](AcceptedConnection &connection) {
        while (const auto request = connection.readRequest()) {
            connection.respond(*request, body);
        }
    });
    ProxyFixture fixture({.targets = {target.address()}, .routeFields = ", deadline_ms: 20000"});
    RawCaller caller(fixture.port());
    caller.send(makeRequest("GET", "/work/catalogue"));
    BOOST_REQUIRE(caller.waitForBytes());
    std::future<bool> drainResult = startDrain(fixture.proxy());
    BOOST_TEST(
        (drainResult.wait_for(std::chrono::milliseconds(300)) == std::future_status::timeout)); // the caller hasn't read the response yet
    const RawCaller::Response response = caller.readResponse();
    BOOST_TEST(response.isComplete);
    BOOST_TEST((response.body == body));
    caller.closeNow();
    BOOST_TEST(drainResult.get());
}

BOOST_AUTO_TEST_CASE(a_request_sent_during_the_stop_is_served_or_reported_as_not_run)
{
    constexpr int connections = 60;
    for (int round = 0; round < 5; ++round) {
        RecordingTarget target;
        ProxyFixture fixture({.targets = {target.address()}});
        std::list<RawCaller> callers;
        for (int i = 0; i < connections; ++i) {
            callers.emplace_back(fixture.port());
        }
        BOOST_REQUIRE(eventually([&] { return fixture.metrics().value(Gauge::CallerConnections) == connections; }));
        std::future<bool> drainResult;
        int sent = 0;
        for (RawCaller &it : callers) {
            if (sent == 10 * (round + 1)) {
                drainResult = startDrain(fixture.proxy());
            }
            it.send(makeRequest("POST", "/work/n" + std::to_string(sent++) + "-", "Content-Length: 2\r\n", "hi"));
        }
        int served = 0;
        int number = 0;
        for (RawCaller &it : callers) {
            const RawCaller::Response response = it.readResponse();
            const bool wasReceived = target.hasReceived("/work/n" + std::to_string(number++) + "-");
            if (response.status == 200U) {
                ++served;
                BOOST_TEST(response.isComplete);
                BOOST_TEST(wasReceived);
            } else {
                checkRefusal(response, 503, "shutting_down");
                BOOST_TEST(!wasReceived);
            }
            it.closeNow();
        }
        BOOST_TEST(served >= 10 * (round + 1)); // those sent before the drain started
        BOOST_TEST(drainResult.get());
    }
}

BOOST_AUTO_TEST_CASE(connections_in_the_listen_backlog_are_served_or_get_a_shutdown_notice)
{
    RecordingTarget target;
    const ProxyFixture configurationSource({.targets = {target.address()}}); // provides the YAML only
    SteadyClock clock;
    Metrics metrics;
    BlockingAdmission admission;
    Proxy proxy({.vm = {"vm-1"}, .failureDomain = {"fd-a"}, .callers = {.ip = "127.0.0.1"}, .workers = 1}, {clock, metrics, admission});
    proxy.applySnapshot(*Snapshot::build(*parseYaml(configurationSource.yaml(), "fixture"), 1));
    BOOST_REQUIRE(proxy.start().has_value());
    RawCaller first(proxy.port());
    first.send(makeRequest("GET", "/work/first"));
    BOOST_REQUIRE(eventually([&] { return admission.pending() == 1; })); // the only worker is blocked and accepts no connection
    std::list<RawCaller> withRequest;
    std::list<RawCaller> silent;
    for (int i = 0; i < 10; ++i) {
        withRequest.emplace_back(proxy.port()).send(makeRequest("GET", "/nowhere"));
        silent.emplace_back(proxy.port());
    }
    std::future<bool> drainResult = startDrain(proxy);
    BOOST_TEST((drainResult.wait_for(std::chrono::milliseconds(50)) == std::future_status::timeout));
    admission.release();
    BOOST_TEST(first.readResponse().body == "/work/first");
    first.closeNow();
    for (RawCaller &it : withRequest) {
        checkRefusal(it.readResponse(), 404, "route_not_found");
        it.closeNow();
    }
    for (RawCaller &it : silent) {
        checkShutdownNotice(it);
    }
    BOOST_TEST(drainResult.get());
    BOOST_TEST(metrics.value(Counter::CallersAccepted) == 21U);
}

BOOST_AUTO_TEST_CASE(a_leaving_vm_keeps_serving_and_sends_connection_close)
{
    RecordingTarget target;
    ProxyFixture fixture({.targets = {target.address()}});
    RawCaller caller(fixture.port());
    BOOST_TEST(caller.request("GET", "/work").header("Connection").empty());
    fixture.proxy().beginLeave(longStop);
    const RawCaller::Response response = caller.request("GET", "/work");
    BOOST_TEST(response.status == 200U);
    BOOST_TEST(response.header("Connection") == "close");
    BOOST_TEST(RawCaller(fixture.port()).request("GET", "/work").status == 200U);
    BOOST_TEST(fixture.proxy().drainAndStop());
}

BOOST_AUTO_TEST_CASE(a_drain_that_times_out_returns_false)
{
    Gate gate;
    std::atomic<int> started{0};
    ScriptedTarget target([&](AcceptedConnection &connection) {
        if (connection.readRequest()) {
            ++started;
            gate.wait();
        }
    });
    ProxyFixture fixture({.targets = {target.address()}, .routeFields = ", deadline_ms: 20000"});
    RawCaller caller(fixture.port());
    caller.send(makeRequest("GET", "/work"));
    BOOST_REQUIRE(eventually([&] { return started == 1; }));
    fixture.proxy().beginLeave({.totalTime = std::chrono::milliseconds(100)});
    BOOST_TEST(!fixture.proxy().drainAndStop());
    gate.open();
}

BOOST_AUTO_TEST_CASE(a_proxy_that_never_started_stops_at_once)
{
    SteadyClock clock;
    Metrics metrics;
    LocalAdmission admission;
    Proxy proxy({.vm = {"vm-1"}, .failureDomain = {"fd-a"}, .callers = {.ip = "127.0.0.1"}, .workers = 1}, {clock, metrics, admission});
    proxy.beginLeave(longStop);
    BOOST_TEST(proxy.drainAndStop());
}
