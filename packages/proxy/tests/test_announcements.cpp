// What targets announce about themselves in their answers: that they are leaving, or that they want no requests for some time.
#include "announcement.h"
#include "front_fixture.h"

#include <boost/algorithm/string/replace.hpp>
#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

const std::string leaving = "Server-Leaving: 1\r\n";
constexpr int requestsAfter = 30; // with two targets, one of them would get about half of these

std::string makeStatus(unsigned status, const std::string &headers, const std::string &body = "told")
{
    return "HTTP/1.1 " + std::to_string(status) + " Reason\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers + "\r\n"
        + body;
}

// Sends a fixed response to each request and counts the requests.
class TellingTarget
{
public:
    explicit TellingTarget(std::string response, std::chrono::milliseconds workTime = 0ms, bool closesAfterwards = false)
        : m_response(std::move(response))
        , m_target([this, workTime, closesAfterwards](AcceptedConnection &connection) {
            while (const std::optional<ReceivedRequest> request = connection.readRequest()) {
                m_target.recordRequest(*request);
                std::this_thread::sleep_for(workTime);
                std::string text = m_response;
                boost::replace_all(text, "$id", request->header("Pollenspoke-Request-Id"));
                connection.send(text);
                if (closesAfterwards) {
                    return;
                }
            }
        })
    {
    }
    Address address() const { return m_target.address(); }
    std::size_t received() const { return m_target.requests().size(); }

private:
    std::string m_response;
    ScriptedTarget m_target;
};

ProxyOptions eagerOptions()
{
    ProxyOptions options = withoutTargetPauses();
    options.dispatch.balancer.declinePause = 0ms;
    return options;
}

// Sends requests until the target has received one, then `requestsAfter` more. Returns how many of those reached it.
std::size_t countAfterFirst(ProxyFixture &fixture, const TellingTarget &target)
{
    RawCaller caller(fixture.port());
    for (int i = 0; i < 100 && target.received() == 0; ++i) {
        caller.request("GET", "/work");
    }
    const std::size_t before = target.received();
    BOOST_REQUIRE(before > 0U);
    for (int i = 0; i < requestsAfter; ++i) {
        RawCaller(fixture.port()).request("GET", "/work");
    }
    return target.received() - before;
}

} // namespace

// A target said in its answers that it was leaving, and requests still reached it for as long as the list named it.
BOOST_AUTO_TEST_CASE(a_target_that_announced_its_leaving_gets_no_further_request)
{
    const std::string echo = "Pollenspoke-Request-Id: $id\r\n";
    const std::map<std::string, std::string> responses{
        {"200", makeStatus(200, echo + leaving)},
        {"200 without the request's id", makeStatus(200, leaving)},
        {"500", makeStatus(500, echo + leaving)},
        {"503", makeStatus(503, echo + leaving)},
        {"421", makeStatus(421, echo + leaving)},
        {"503 not run", makeStatus(503, echo + leaving + "X-Not-Executed: 1\r\n")},
        {"of another request", makeStatus(200, "Pollenspoke-Request-Id: of-an-earlier-one\r\n" + leaving)},
        {"informational", "HTTP/1.1 103 Early Hints\r\n" + leaving + "\r\n" + makeStatus(200, echo)},
        {"after an informational one", "HTTP/1.1 100 Continue\r\n\r\n" + makeStatus(200, echo + leaving)},
        {"twice", makeStatus(200, echo + leaving + leaving)},
        {"once of two values", makeStatus(200, echo + "Server-Leaving: 0\r\n" + leaving)},
    };
    for (const auto &[name, response] : responses) {
        BOOST_TEST_CONTEXT(name)
        {
            TellingTarget target(response);
            ScriptedTarget other(healthyScript());
            ProxyFixture fixture({.targets = {target.address(), other.address()},
                                  .proxy = eagerOptions(),
                                  .serviceFields = ", not_run_answers: [{status: 503, header: X-Not-Executed}, {status: 421}]"});
            BOOST_TEST(countAfterFirst(fixture, target) == 0U);
            BOOST_TEST(fixture.metrics().value(Counter::LeavingAnnouncements) == 1U);
        }
    }
}

// As above, for an answer whose body never came whole.
BOOST_AUTO_TEST_CASE(a_cut_answer_that_announced_leaving_counts)
{
    TellingTarget target("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n" + leaving + "\r\nhalf", 0ms, true);
    ScriptedTarget other(healthyScript());
    ProxyFixture fixture({.targets = {target.address(), other.address()}, .proxy = eagerOptions()});
    BOOST_TEST(countAfterFirst(fixture, target) == 0U);
}

BOOST_AUTO_TEST_CASE(a_header_that_does_not_announce_leaving_changes_nothing)
{
    const std::string echo = "Pollenspoke-Request-Id: $id\r\n";
    const std::map<std::string, std::string> responses{
        {"other value", makeStatus(200, echo + "Server-Leaving: 0\r\n")},
        {"text", makeStatus(200, echo + "Server-Leaving: yes\r\n")},
        {"empty", makeStatus(200, echo + "Server-Leaving:\r\n")},
        {"longer name", makeStatus(200, echo + "X-Server-Leaving: 1\r\n")},
        {"trailer",
         "HTTP/1.1 200 OK\r\n" + echo + "Transfer-Encoding: chunked\r\nTrailer: Server-Leaving\r\n\r\n2\r\nok\r\n0\r\n" + leaving + "\r\n"},
    };
    for (const auto &[name, response] : responses) {
        BOOST_TEST_CONTEXT(name)
        {
            TellingTarget target(response);
            ProxyFixture fixture({.targets = {target.address()}, .proxy = eagerOptions()});
            BOOST_TEST(countAfterFirst(fixture, target) == static_cast<std::size_t>(requestsAfter));
            BOOST_TEST(fixture.metrics().value(Counter::LeavingAnnouncements) == 0U);
        }
    }
}

// The last target of a service went on getting requests after it had announced its leaving. A caller that can't be served is told so at
// once, and that its request hasn't run.
BOOST_AUTO_TEST_CASE(the_only_target_gets_no_request_after_it_announced_its_leaving)
{
    TellingTarget target(makeStatus(200, "Pollenspoke-Request-Id: $id\r\n" + leaving));
    ProxyFixture fixture({.targets = {target.address()}, .proxy = eagerOptions()});
    RawCaller caller(fixture.port());
    const RawCaller::Response first = caller.request("GET", "/work");
    BOOST_TEST(first.status == 200U);
    BOOST_TEST(first.header("Server-Leaving") == "1"); // the answer itself is passed on as it is
    const auto startedAt = std::chrono::steady_clock::now();
    checkRefusal(caller.request("GET", "/work"), 503, "no_target");
    checkRefusal(caller.request("POST", "/work", "order"), 503, "no_target");
    BOOST_TEST((std::chrono::steady_clock::now() - startedAt < 500ms));
    BOOST_TEST(target.received() == 1U);
}

// A request that waited for a slot at the target was sent to it after the announcement.
BOOST_AUTO_TEST_CASE(a_request_that_waits_for_a_slot_is_not_sent_to_a_target_that_announced_its_leaving)
{
    TellingTarget target(makeStatus(200, "Pollenspoke-Request-Id: $id\r\n" + leaving), 300ms);
    ProxyOptions options = eagerOptions();
    options.dispatch.targetQueue = 0;
    ProxyFixture fixture({.targets = {target.address()}, .proxy = options, .routeFields = ", deadline_ms: 5000, objective_ms: 4000"});
    std::list<RawCaller> callers;
    for (int i = 0; i < 6; ++i) { // the target has two slots
        callers.emplace_back(fixture.port()).send(makeRequest("GET", "/work"));
    }
    std::size_t served = 0;
    for (RawCaller &it : callers) {
        const RawCaller::Response response = it.readResponse();
        served += response.status == 200 ? 1 : 0;
        BOOST_TEST((response.status == 200 || response.status == 503));
    }
    BOOST_TEST(served == 2U);
    BOOST_TEST(target.received() == 2U);
}

// The second attempt of a request was reserved at a target before that one announced its leaving.
BOOST_AUTO_TEST_CASE(a_retry_is_not_sent_to_a_target_that_announced_its_leaving)
{
    TellingTarget target(makeStatus(503, "Pollenspoke-Request-Id: $id\r\n" + leaving));
    ProxyFixture fixture({.targets = {target.address()}, .proxy = eagerOptions(), .routeFields = ", max_attempts: 3"});
    RawCaller(fixture.port()).request("GET", "/work");
    BOOST_TEST(target.received() == 1U);
}

// A list that still named the target as serving, or a change of routes, undid the announcement.
BOOST_AUTO_TEST_CASE(an_announced_leaving_holds_until_a_later_incarnation_is_listed)
{
    TellingTarget target(makeStatus(200, "Pollenspoke-Request-Id: $id\r\n" + leaving));
    ProxyFixture fixture({.targets = {target.address()}, .proxy = eagerOptions()});
    const auto withIncarnation = [&fixture](const std::string &number) {
        std::string yaml = fixture.yaml();
        boost::replace_all(yaml, "slots: 2", "slots: 2, incarnation: " + number);
        return yaml;
    };
    const auto status = [&fixture] { return RawCaller(fixture.port()).request("GET", "/work").status; };
    fixture.apply(withIncarnation("7"), 2);
    BOOST_TEST(status() == 200U);
    std::string yaml = withIncarnation("7");
    boost::replace_all(yaml, "service: work", "service: work, priority: 2");
    fixture.apply(yaml, 3);
    BOOST_TEST(status() == 503U);
    boost::replace_all(yaml, "slots: 2", "slots: 2, state: leaving");
    fixture.apply(yaml, 4);
    fixture.apply(withIncarnation("7"), 5);
    BOOST_TEST(status() == 503U);
    fixture.apply(withIncarnation("6"), 6); // an older list
    BOOST_TEST(status() == 503U);
    fixture.apply(withIncarnation("8"), 7);
    BOOST_TEST(status() == 200U);
    BOOST_TEST(target.received() == 2U);
}

// Without incarnations, the operator declares that a target is back.
BOOST_AUTO_TEST_CASE(a_target_of_unknown_incarnation_is_used_again_after_it_was_declared_as_leaving)
{
    TellingTarget target(makeStatus(200, "Pollenspoke-Request-Id: $id\r\n" + leaving));
    ProxyFixture fixture({.targets = {target.address()}, .proxy = eagerOptions()});
    const auto status = [&fixture] { return RawCaller(fixture.port()).request("GET", "/work").status; };
    BOOST_TEST(status() == 200U);
    fixture.apply(fixture.yaml(), 2);
    BOOST_TEST(status() == 503U);
    std::string yaml = fixture.yaml();
    boost::replace_all(yaml, "slots: 2", "slots: 2, state: leaving");
    fixture.apply(yaml, 3);
    fixture.apply(fixture.yaml(), 4);
    BOOST_TEST(status() == 200U);
}

// Requests reached a target every 150 ms although it had asked for a pause with Retry-After.
BOOST_AUTO_TEST_CASE(a_target_that_asked_for_a_pause_gets_no_request_until_its_end)
{
    for (const std::string notRun : {"X-Not-Executed: 1\r\n", ""}) {
        TellingTarget target(makeStatus(503, "Pollenspoke-Request-Id: $id\r\nRetry-After: 2\r\n" + notRun));
        ScriptedTarget other(healthyScript());
        ProxyFixture fixture({.targets = {target.address(), other.address()},
                              .proxy = eagerOptions(),
                              .serviceFields = ", not_run_answers: [{status: 503, header: X-Not-Executed}]"});
        BOOST_TEST(countAfterFirst(fixture, target) == 0U);
        const std::size_t before = target.received();
        BOOST_TEST(eventually([&] {
            RawCaller(fixture.port()).request("GET", "/work");
            return target.received() > before;
        }));
    }
}

// The caller was told to come back after a second, whatever the only target had asked for.
BOOST_AUTO_TEST_CASE(a_caller_is_told_when_the_only_target_accepts_requests_again)
{
    TellingTarget target(makeStatus(503, "Pollenspoke-Request-Id: $id\r\nRetry-After: 30\r\nX-Not-Executed: 1\r\n"));
    ProxyFixture fixture({.targets = {target.address()},
                          .proxy = eagerOptions(),
                          .serviceFields = ", not_run_answers: [{status: 503, header: X-Not-Executed}]"});
    for (const std::string reason : {"target_declined", "no_target"}) {
        const RawCaller::Response response = RawCaller(fixture.port()).request("POST", "/work", "order");
        checkRefusal(response, 503, reason);
        const int seconds = std::stoi(response.header("Retry-After"));
        BOOST_TEST((seconds >= 28 && seconds <= 30), "Retry-After: " << seconds);
    }
    BOOST_TEST(target.received() == 1U);
}

// Two answers in flight: the shorter pause must not replace the longer one.
BOOST_AUTO_TEST_CASE(the_later_end_of_two_pauses_counts)
{
    std::atomic<int> n{0};
    ScriptedTarget target([&n](AcceptedConnection &connection) {
        while (connection.readRequest()) {
            const bool isFirst = ++n == 1;
            std::this_thread::sleep_for(isFirst ? 100ms : 300ms);
            connection.send(makeStatus(503, std::string("X-Not-Executed: 1\r\nRetry-After: ") + (isFirst ? "30\r\n" : "1\r\n")));
        }
    });
    ProxyFixture fixture({.targets = {target.address()},
                          .proxy = eagerOptions(),
                          .serviceFields = ", not_run_answers: [{status: 503, header: X-Not-Executed}]"});
    RawCaller first(fixture.port());
    RawCaller second(fixture.port());
    first.send(makeRequest("POST", "/work"));
    second.send(makeRequest("POST", "/work"));
    BOOST_TEST(first.readResponse().status == 503U);
    BOOST_TEST(second.readResponse().status == 503U);
    std::this_thread::sleep_for(1200ms);
    BOOST_TEST(RawCaller(fixture.port()).request("POST", "/work").status == 503U);
    BOOST_TEST(n == 2);
}

BOOST_AUTO_TEST_CASE(a_retry_after_value_is_a_number_of_seconds_within_a_bound)
{
    BOOST_TEST((parseRetryAfter("3") == Duration(3s)));
    BOOST_TEST((parseRetryAfter(" 3 ") == Duration(3s)));
    BOOST_TEST((parseRetryAfter("0.25") == Duration(250ms)));
    BOOST_TEST((parseRetryAfter("0") == Duration(0)));
    BOOST_TEST((parseRetryAfter("600") == maxRetryAfter));
    BOOST_TEST((parseRetryAfter("86400") == maxRetryAfter));
    BOOST_TEST((parseRetryAfter(std::string(400, '9')) == maxRetryAfter));
    for (const std::string it :
         {"", " ", "-1", "+1", "1e3", "soon", "3s", "1.2.3", "0x10", "inf", "nan", "Fri, 31 Dec 2027 23:59:59 GMT"}) {
        BOOST_TEST(!parseRetryAfter(it).has_value(), it);
    }
}
