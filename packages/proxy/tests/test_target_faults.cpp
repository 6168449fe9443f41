// Target faults against GET and POST, with the faulty target alone and next to a healthy one. A refusal must say correctly
// whether the request may have run, and a POST must reach at most one target.
#include "proxy_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;

namespace {

const std::string requestBody = std::string(2000, 'o');
constexpr std::size_t maxTries = 40; // requests until the faulty target is picked

// The value of Pollenspoke-Run that a refusal must carry when the faulty target is the only one.
enum class ExpectedRun {
    NotRun,  // no byte was sent to the target
    Unknown, // the target may have received bytes
    Either,  // timing-dependent; "not-run" only if the target received no byte
};

struct Fault
{
    std::string name;
    ExpectedRun expectedRun;
    ScriptedTarget::Script script;
};

// Reads the request, sends `bytes`, and closes.
ScriptedTarget::Script respondAndClose(const std::string &bytes)
{
    return [bytes](AcceptedConnection &connection) {
        if (connection.readRequest()) {
            connection.send(bytes);
        }
    };
}

// Reads the request, sends `bytes`, and then sends nothing more.
ScriptedTarget::Script respondAndStall(const std::string &bytes)
{
    return [bytes](AcceptedConnection &connection) {
        if (connection.readRequest()) {
            connection.send(bytes);
            connection.readUntilClose();
        }
    };
}

ScriptedTarget::Script resetAfter(std::size_t n)
{
    return [n](AcceptedConnection &connection) {
        connection.readBytes(n);
        connection.reset();
    };
}

// Resets after the request's headers and, for a POST, `bodyBytes` of its body.
void resetAfterBodyBytes(AcceptedConnection &connection, std::size_t bodyBytes)
{
    std::string head;
    while (head.find("\r\n\r\n") == std::string::npos) {
        const std::optional<std::string> byte = connection.readSome(1);
        if (!byte) {
            return;
        }
        head += *byte;
    }
    if (head.starts_with("POST")) {
        connection.readBytes(bodyBytes);
    }
    connection.reset();
}

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string lengthHead = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";

const std::vector<Fault> faults{
    {"no response", ExpectedRun::Unknown, [](AcceptedConnection &connection) { connection.readUntilClose(); }},
    {"closes immediately", ExpectedRun::Either, [](AcceptedConnection &) {}},
    {"resets immediately", ExpectedRun::Either, [](AcceptedConnection &connection) { connection.reset(); }},
    {"closes before the response", ExpectedRun::Unknown, respondAndClose("")},
    {"resets before the response",
     ExpectedRun::Unknown,
     [](AcceptedConnection &connection) {
         connection.readRequest();
         connection.reset();
     }},
    {"status line, then closes", ExpectedRun::Unknown, respondAndClose("HTTP/1.1 200 OK\r\n")},
    {"closes within the headers", ExpectedRun::Unknown, respondAndClose("HTTP/1.1 200 OK\r\nContent-Le")},
    {"closes after the headers", ExpectedRun::Unknown, respondAndClose(lengthHead)},
    {"closes within a body of known length", ExpectedRun::Unknown, respondAndClose(lengthHead + "12345")},
    {"resets within a body of known length",
     ExpectedRun::Unknown,
     [](AcceptedConnection &connection) {
         connection.readRequest();
         connection.send(lengthHead + "12345");
         connection.reset();
     }},
    {"closes inside a chunk", ExpectedRun::Unknown, respondAndClose(chunkedHead + "a\r\n12345")},
    {"closes between chunks", ExpectedRun::Unknown, respondAndClose(chunkedHead + "5\r\n12345\r\n")},
    {"closes within a chunk's size", ExpectedRun::Unknown, respondAndClose(chunkedHead + "5\r\n12345\r\n1")},
    {"closes before the last chunk's end", ExpectedRun::Unknown, respondAndClose(chunkedHead + "5\r\n12345\r\n0\r\n")},
    {"bad chunk size", ExpectedRun::Unknown, respondAndClose(chunkedHead + "zz\r\n12345\r\n0\r\n\r\n")},
    {"neither length nor chunked", ExpectedRun::Unknown, respondAndClose("HTTP/1.1 200 OK\r\n\r\nlooks complete")},
    {"HTTP/1.0 without length", ExpectedRun::Unknown, respondAndClose("HTTP/1.0 200 OK\r\n\r\nlooks complete")},
    {"malformed", ExpectedRun::Unknown, respondAndClose("surely not http\r\n\r\n")},
    {"two different lengths",
     ExpectedRun::Unknown,
     respondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 5\r\n\r\n12345")},
    {"both length and chunked",
     ExpectedRun::Unknown,
     respondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")},
    {"unrequested upgrade",
     ExpectedRun::Unknown,
     respondAndStall("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: upgrade\r\n\r\n")},
    {"oversized header block",
     ExpectedRun::Unknown,
     respondAndStall("HTTP/1.1 200 OK\r\nX-Long: " + std::string(100000, 'x') + "\r\n\r\n")},
    {"too many informational responses",
     ExpectedRun::Unknown,
     [](AcceptedConnection &connection) {
         connection.readRequest();
         for (int i = 0; i < 100; ++i) {
             connection.send("HTTP/1.1 103 Early Hints\r\n\r\n");
         }
         connection.readUntilClose();
     }},
    {"response to another request",
     ExpectedRun::Unknown,
     respondAndStall(makeResponse("crossed", "Pollenspoke-Request-Id: 0123456789abcdef\r\n"))},
    {"two request ids, one of another request",
     ExpectedRun::Unknown,
     [](AcceptedConnection &connection) {
         if (const auto request = connection.readRequest()) {
             const std::string own = request->header("Pollenspoke-Request-Id");
             connection.send(
                 makeResponse("crossed", "Pollenspoke-Request-Id: " + own + "\r\nPollenspoke-Request-Id: 0123456789abcdef\r\n"));
             connection.readUntilClose();
         }
     }},
    {"stalls within headers", ExpectedRun::Unknown, respondAndStall("HTTP/1.1 200 OK\r\nContent-Le")},
    {"stalls within the body", ExpectedRun::Unknown, respondAndStall(lengthHead + "12345")},
    {"stalls before the last chunk", ExpectedRun::Unknown, respondAndStall(chunkedHead + "5\r\n12345\r\n")},
    {"resets after the request's first byte", ExpectedRun::Unknown, resetAfter(1)},
    {"resets within the request line", ExpectedRun::Unknown, resetAfter(10)},
    {"resets within the request's headers", ExpectedRun::Unknown, resetAfter(60)},
    {"resets after the request's headers",
     ExpectedRun::Unknown,
     [](AcceptedConnection &connection) { resetAfterBodyBytes(connection, 0); }},
    {"resets within the request's body",
     ExpectedRun::Unknown,
     [](AcceptedConnection &connection) { resetAfterBodyBytes(connection, requestBody.size() / 2); }},
    {"resets after the request's body",
     ExpectedRun::Unknown,
     [](AcceptedConnection &connection) { resetAfterBodyBytes(connection, requestBody.size()); }},
};

std::uint64_t countRetries(const Metrics &metrics)
{
    std::uint64_t n = 0;
    for (std::size_t i = 0; i < retryReasonCount; ++i) {
        n += metrics.retries(static_cast<RetryReason>(i));
    }
    return n;
}

void checkRefusal(const RawCaller::Response &response, ExpectedRun expectedRun, std::size_t connectionsWithBytes)
{
    const std::string run = response.header("Pollenspoke-Run");
    BOOST_TEST(response.status >= 500);
    BOOST_TEST(response.isComplete);
    BOOST_TEST(response.header("Content-Type") == "application/problem+json");
    BOOST_TEST((run == "not-run" || run == "unknown"));
    if (expectedRun == ExpectedRun::NotRun) {
        BOOST_TEST(run == "not-run");
    }
    if (expectedRun == ExpectedRun::Unknown) {
        BOOST_TEST(run == "unknown");
    }
    if (run == "not-run") {
        BOOST_TEST(connectionsWithBytes == 0U);
    }
}

void checkKeyNotForwarded(const ScriptedTarget &target)
{
    for (const std::string &it : target.receivedBytes()) {
        BOOST_TEST(it.find(testSecret) == std::string::npos);
    }
}

const std::string singleTargetRoute = ", deadline_ms: 200";
const std::string twoTargetRoute = ", deadline_ms: 600";

} // namespace

BOOST_AUTO_TEST_CASE(a_get_is_retried_on_the_healthy_target_after_every_fault)
{
    for (const Fault &fault : faults) {
        BOOST_TEST_CONTEXT("fault: " << fault.name)
        {
            ScriptedTarget faulty(fault.script);
            ScriptedTarget healthy(healthyScript());
            ProxyFixture fixture({.targets = {faulty.address(), healthy.address()}, .routeFields = twoTargetRoute});
            RawCaller caller(fixture.port());
            for (std::size_t i = 0; i < maxTries && countRetries(fixture.metrics()) == 0; ++i) {
                const RawCaller::Response response = caller.request("GET", "/work");
                BOOST_TEST(response.status == 200U);
                BOOST_TEST(response.isComplete);
                BOOST_TEST(response.body == "healthy");
            }
            BOOST_TEST(countRetries(fixture.metrics()) != 0U);
            checkKeyNotForwarded(faulty);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_get_to_a_single_faulty_target_is_refused_and_says_whether_it_may_have_run)
{
    for (const Fault &fault : faults) {
        BOOST_TEST_CONTEXT("fault: " << fault.name)
        {
            ScriptedTarget faulty(fault.script);
            ProxyFixture fixture({.targets = {faulty.address()}, .routeFields = singleTargetRoute});
            RawCaller caller(fixture.port());
            const RawCaller::Response response = caller.request("GET", "/work");
            checkRefusal(response, fault.expectedRun, faulty.connectionsWithBytes());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_post_is_sent_at_most_once_and_its_refusal_says_whether_it_may_have_run)
{
    for (const Fault &fault : faults) {
        BOOST_TEST_CONTEXT("fault: " << fault.name)
        {
            ScriptedTarget faulty(fault.script);
            ProxyFixture fixture({.targets = {faulty.address()}, .routeFields = singleTargetRoute});
            RawCaller caller(fixture.port());
            const RawCaller::Response response = caller.request("POST", "/work", requestBody);
            checkRefusal(response, fault.expectedRun, faulty.connectionsWithBytes());
            BOOST_TEST(faulty.connectionsWithBytes() <= 1U);
            checkKeyNotForwarded(faulty);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_post_is_sent_to_at_most_one_of_two_targets)
{
    for (const Fault &fault : faults) {
        BOOST_TEST_CONTEXT("fault: " << fault.name)
        {
            ScriptedTarget faulty(fault.script);
            ScriptedTarget healthy(healthyScript());
            ProxyFixture fixture({.targets = {faulty.address(), healthy.address()}, .routeFields = singleTargetRoute});
            RawCaller caller(fixture.port());
            std::size_t refused = 0;
            std::size_t sent = 0;
            for (std::size_t i = 0; i < maxTries && faulty.connectionCount() == 0; ++i) {
                const RawCaller::Response response = caller.request("POST", "/work", requestBody);
                if (response.status != 200) {
                    ++refused;
                    checkRefusal(response, ExpectedRun::Either, faulty.connectionsWithBytes());
                }
                ++sent;
                BOOST_TEST(faulty.connectionsWithBytes() + healthy.connectionsWithBytes() <= sent);
            }
            BOOST_TEST(faulty.connectionCount() == 1U);
            BOOST_TEST(refused <= 1U);
        }
    }
}

BOOST_AUTO_TEST_CASE(requests_succeed_on_another_target_after_a_refused_connection)
{
    ScriptedTarget healthy(healthyScript());
    ProxyFixture fixture({.targets = {closedPortAddress(), closedPortAddress(), healthy.address()}});
    RawCaller caller(fixture.port());
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(caller.request("POST", "/work", requestBody).status == 200U);
        BOOST_TEST(caller.request("GET", "/work").status == 200U);
    }
    BOOST_TEST(fixture.metrics().retries(RetryReason::ConnectFailed) != 0U);
    BOOST_TEST(healthy.connectionsWithBytes() >= 20U); // each POST opens a connection
}

// A 502 would promise nothing, so that callers couldn't send a request again that may run at most once.
BOOST_AUTO_TEST_CASE(when_every_target_refuses_connections_the_request_is_reported_as_not_run)
{
    ProxyFixture fixture({.targets = {closedPortAddress(), closedPortAddress()}});
    RawCaller caller(fixture.port());
    for (const std::string method : {"GET", "POST"}) {
        const RawCaller::Response response = caller.request(method, "/work", "body");
        checkRefusal(response, ExpectedRun::NotRun, 0);
        BOOST_TEST(response.status == 503U);
        BOOST_TEST(!response.header("Retry-After").empty());
    }
    BOOST_TEST(eventually([&] { return fixture.metrics().refusals(RefusalReason::TargetUnreachable) == 2U; }));
}

BOOST_AUTO_TEST_CASE(a_refused_connection_does_not_hide_that_an_earlier_attempt_may_have_run)
{
    ScriptedTarget closing(respondAndClose(""));
    ProxyFixture fixture({.targets = {closing.address(), closedPortAddress()}, .proxy = withoutTargetPauses()});
    RawCaller caller(fixture.port());
    for (int i = 0; i < 20; ++i) {
        const RawCaller::Response response = caller.request("GET", "/work");
        BOOST_TEST(response.header("Pollenspoke-Run") == "unknown");
        BOOST_TEST(response.body.find("answer_incomplete") != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(an_unanswered_connect_leaves_time_to_try_another_target)
{
    UnansweredListener unanswered;
    ScriptedTarget healthy(healthyScript());
    ProxyOptions slowConnect = withoutTargetPauses();
    slowConnect.dispatch.connectTimeoutMs = 60000;
    ProxyFixture fixture(
        {.targets = {unanswered.address(), healthy.address()}, .proxy = slowConnect, .routeFields = ", deadline_ms: 1000"});
    RawCaller caller(fixture.port());
    for (const std::string method : {"GET", "POST"}) {
        const std::uint64_t before = fixture.metrics().retries(RetryReason::ConnectFailed);
        for (std::size_t i = 0; i < maxTries && fixture.metrics().retries(RetryReason::ConnectFailed) == before; ++i) {
            BOOST_TEST(caller.request(method, "/work", "body").status == 200U);
        }
        BOOST_TEST(fixture.metrics().retries(RetryReason::ConnectFailed) != before);
    }
}

BOOST_AUTO_TEST_CASE(when_every_connect_is_unanswered_the_request_is_reported_as_not_run)
{
    UnansweredListener unanswered;
    ProxyFixture fixture({.targets = {unanswered.address()}, .routeFields = singleTargetRoute});
    RawCaller caller(fixture.port());
    checkRefusal(caller.request("GET", "/work"), ExpectedRun::NotRun, 0);
    checkRefusal(caller.request("POST", "/work", requestBody), ExpectedRun::NotRun, 0);
}

BOOST_AUTO_TEST_CASE(a_target_that_stops_reading_the_request_body_hits_the_deadline)
{
    ScriptedTarget target(
        [](AcceptedConnection &connection) {
            connection.readBytes(100);
            connection.waitForCloseWithoutReading();
        },
        {.receiveBufferBytes = 4096});
    ProxyFixture fixture({.targets = {target.address()}, .proxy = {.front = {.bodyBytes = 64 << 20}}, .routeFields = singleTargetRoute});
    RawCaller caller(fixture.port());
    const RawCaller::Response response = caller.request("POST", "/work", std::string(32 << 20, 'b'));
    checkRefusal(response, ExpectedRun::Unknown, 1);
    BOOST_TEST(response.status == 504U);
    BOOST_TEST(target.connectionCount() == 1U);
}

BOOST_AUTO_TEST_CASE(a_response_sent_before_the_request_was_fully_read_is_forwarded)
{
    ScriptedTarget target(
        [](AcceptedConnection &connection) {
            connection.readBytes(100);
            connection.send("HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\nlong");
            connection.waitForCloseWithoutReading();
        },
        {.receiveBufferBytes = 4096});
    ProxyFixture fixture(
        {.targets = {target.address()}, .proxy = {.front = {.bodyBytes = 64 << 20}}, .routeFields = ", deadline_ms: 3000"});
    RawCaller caller(fixture.port());
    for (const std::string method : {"POST", "PUT"}) {
        const RawCaller::Response response = caller.request(method, "/work", std::string(32 << 20, 'b'));
        BOOST_TEST(response.status == 413U);
        BOOST_TEST(response.body == "long");
    }
    BOOST_TEST(target.connectionCount() == 2U); // partly sent requests: neither connection may be reused
}
