// Requests, retries and idle connections to targets of an evacuated failure domain, and to cold targets.
#include "announcement.h"
#include "front_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

// Echoes the request id, counts requests and notes when the proxy closes a connection.
class CountingTarget
{
public:
    explicit CountingTarget(std::string headers = "", std::chrono::milliseconds workTime = 0ms, unsigned status = 200)
        : m_target([this, headers, workTime, status](AcceptedConnection &connection) {
            while (const std::optional<ReceivedRequest> request = connection.readRequest()) {
                {
                    const std::lock_guard lock(m_mutex);
                    m_arrivals.push_back(std::chrono::steady_clock::now());
                }
                std::this_thread::sleep_for(workTime);
                connection.send("HTTP/1.1 " + std::to_string(status) + " Reason\r\nContent-Length: 2\r\nPollenspoke-Request-Id: "
                                + request->header("Pollenspoke-Request-Id") + "\r\n" + headers + "\r\nok");
            }
            ++m_closed;
        })
    {
    }
    Address address() const { return m_target.address(); }
    std::size_t closed() const { return m_closed; }
    std::size_t received() const { return arrivals().size(); }
    std::vector<std::chrono::steady_clock::time_point> arrivals() const
    {
        const std::lock_guard lock(m_mutex);
        return m_arrivals;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<std::chrono::steady_clock::time_point> m_arrivals;
    std::atomic<std::size_t> m_closed{0};
    ScriptedTarget m_target;
};

// Replaces the configuration by the same one with other services.
void applyServices(ProxyFixture &fixture, std::uint64_t revision, const std::function<void(Service &)> &change)
{
    std::vector<Object> objects = parseYaml(fixture.yaml(), "fixture").value();
    for (Object &it : objects) {
        if (auto *service = std::get_if<Service>(&it.spec)) {
            change(*service);
        }
    }
    fixture.proxy().applySnapshot(Snapshot::build(objects, revision).value());
}

void evacuate(ProxyFixture &fixture, std::uint64_t revision, const std::set<std::string> &targets)
{
    applyServices(fixture, revision, [&targets](Service &service) {
        for (Target &it : service.targets) {
            it.isEvacuated = targets.contains(it.name.value);
        }
    });
}

} // namespace

// Guards against requests that wait, or are sent, although all targets of the service are evacuated; and against an end without effect.
BOOST_AUTO_TEST_CASE(a_service_whose_targets_are_all_evacuated_is_refused_at_once_until_they_return)
{
    CountingTarget target;
    ProxyFixture fixture({.targets = {target.address()}, .routeFields = ", deadline_ms: 9000, objective_ms: 9000"});
    BOOST_TEST(RawCaller(fixture.port()).request("GET", "/work").status == 200U);
    evacuate(fixture, 2, {"t0"});
    const auto startedAt = std::chrono::steady_clock::now();
    const RawCaller::Response response = RawCaller(fixture.port()).request("POST", "/work", "order");
    checkRefusal(response, 503, "no_target");
    BOOST_TEST(response.header("Pollenspoke-Run") == "not-run");
    BOOST_TEST((std::chrono::steady_clock::now() - startedAt < 1s));
    BOOST_TEST(target.received() == 1U);
    evacuate(fixture, 3, {});
    BOOST_TEST(RawCaller(fixture.port()).request("GET", "/work").status == 200U);
}

// Guards against idle connections that hold descriptors of targets which get nothing, and against one that is kept after its answer.
BOOST_AUTO_TEST_CASE(connections_to_an_evacuated_target_are_closed_and_a_request_in_progress_ends_as_usual)
{
    CountingTarget target("", 400ms);
    ProxyFixture fixture({.targets = {target.address()}});
    BOOST_TEST(RawCaller(fixture.port()).request("GET", "/work").status == 200U);
    BOOST_TEST(target.closed() == 0U);
    RawCaller inProgress(fixture.port());
    inProgress.send(makeRequest("POST", "/work"));
    BOOST_REQUIRE(eventually([&] { return target.received() == 2U; }));
    evacuate(fixture, 2, {"t0"});
    BOOST_TEST(inProgress.readResponse().status == 200U);
    BOOST_TEST(eventually([&] { return target.closed() == 2U; }));
}

// Guards against a second attempt that goes to an evacuated target because the first one chose among all.
BOOST_AUTO_TEST_CASE(no_retry_goes_to_an_evacuated_target)
{
    CountingTarget failing("", 200ms, 503);
    CountingTarget other;
    ProxyFixture fixture({.targets = {failing.address(), other.address()}, .routeFields = ", max_attempts: 3"});
    evacuate(fixture, 2, {"t1"});
    RawCaller caller(fixture.port());
    caller.send(makeRequest("GET", "/work"));
    BOOST_REQUIRE(eventually([&] { return failing.received() == 1U; }));
    caller.readResponse();
    BOOST_TEST(other.received() == 0U);
}

// Guards against a target that says in its answers that it is cold and crashes under what the Vm sends.
BOOST_AUTO_TEST_CASE(a_target_that_says_that_it_is_cold_gets_no_more_than_the_bound)
{
    constexpr double rate = 4;
    CountingTarget cold("X-Warmup-Ms: 4000\r\n");
    ProxyOptions options = withoutTargetPauses();
    options.wire.warmupHeader = "X-Warmup-Ms";
    ProxyFixture fixture({.targets = {cold.address()}, .proxy = options});
    applyServices(fixture, 2, [](Service &service) { service.warmupRatePerSecond = rate; });
    constexpr std::size_t callerCount = 6;
    std::vector<std::thread> callers;
    callers.reserve(callerCount);
    const auto endsAt = std::chrono::steady_clock::now() + 3s;
    for (std::size_t i = 0; i < callerCount; ++i) {
        callers.emplace_back([&] {
            while (std::chrono::steady_clock::now() < endsAt) {
                RawCaller(fixture.port()).request("GET", "/work");
            }
        });
    }
    std::for_each(callers.begin(), callers.end(), [](std::thread &it) { it.join(); });
    const auto arrivals = cold.arrivals();
    for (auto it = arrivals.begin(); it != arrivals.end(); ++it) {
        const auto n = std::lower_bound(it, arrivals.end(), *it + 1s) - it;
        BOOST_TEST(static_cast<double>(n) <= rate * 1.5 + 8);
    }
    BOOST_TEST(arrivals.size() >= 8U);
    BOOST_TEST(fixture.metrics().value(Counter::DispatchesHeldCold) > 0U);
}

// Guards against a value that isn't a time and changes what the Vm sends.
BOOST_AUTO_TEST_CASE(a_warm_up_time_is_a_number_of_milliseconds_within_a_bound)
{
    BOOST_TEST((parseWarmup("1500") == 1500ms));
    BOOST_TEST((parseWarmup(" 0 ") == 0ms));
    BOOST_TEST((parseWarmup("99999999999999999999999") == maxWarmup));
    for (const std::string_view it : {"", "-5", "+5", "1.5", "1e3", "five", "5 ms", "0x10"}) {
        BOOST_TEST(!parseWarmup(it).has_value(), it);
    }
}
