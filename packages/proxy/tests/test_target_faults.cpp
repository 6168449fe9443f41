// Each fault of a target, met by GET and by POST, with a healthy target beside it and alone.
#include "proxy_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;

namespace {

const std::string orderBody = std::string(2000, 'o');
constexpr std::size_t mostTries = 40; // until the faulty target was chosen

// What a refusal may say when the faulty target is the only one.
enum class Truth {
    NotRun,  // no byte can have been sent
    Unknown, // the target got bytes
    Either,  // depends on which end was faster; "not-run" only when the target got no byte
};

struct Fault
{
    std::string name;
    Truth truth;
    ScriptedTarget::Script script;
};

// Reads the request, sends `bytes`, and closes.
ScriptedTarget::Script answerAndClose(const std::string &bytes)
{
    return [bytes](AcceptedConnection &peer) {
        if (peer.readRequest()) {
            peer.send(bytes);
        }
    };
}

// Reads the request, sends `bytes`, and goes silent.
ScriptedTarget::Script answerAndStall(const std::string &bytes)
{
    return [bytes](AcceptedConnection &peer) {
        if (peer.readRequest()) {
            peer.send(bytes);
            peer.readUntilClose();
        }
    };
}

ScriptedTarget::Script resetAfter(std::size_t n)
{
    return [n](AcceptedConnection &peer) {
        peer.readBytes(n);
        peer.reset();
    };
}

void resetAfterHead(AcceptedConnection &peer, std::size_t bodyBytes)
{
    std::string head;
    while (head.find("\r\n\r\n") == std::string::npos) {
        const std::optional<std::string> some = peer.readSome(1);
        if (!some) {
            return;
        }
        head += *some;
    }
    if (head.starts_with("POST")) {
        peer.readBytes(bodyBytes);
    }
    peer.reset();
}

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string lengthHead = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";

const std::vector<Fault> faults{
    {"silent", Truth::Unknown, [](AcceptedConnection &peer) { peer.readUntilClose(); }},
    {"closes at once", Truth::Either, [](AcceptedConnection &) {}},
    {"resets at once", Truth::Either, [](AcceptedConnection &peer) { peer.reset(); }},
    {"closes before any answer", Truth::Unknown, answerAndClose("")},
    {"resets before any answer",
     Truth::Unknown,
     [](AcceptedConnection &peer) {
         peer.readRequest();
         peer.reset();
     }},
    {"status line, then closes", Truth::Unknown, answerAndClose("HTTP/1.1 200 OK\r\n")},
    {"closes within headers", Truth::Unknown, answerAndClose("HTTP/1.1 200 OK\r\nContent-Le")},
    {"closes after headers", Truth::Unknown, answerAndClose(lengthHead)},
    {"closes within a body of known length", Truth::Unknown, answerAndClose(lengthHead + "12345")},
    {"resets within a body of known length",
     Truth::Unknown,
     [](AcceptedConnection &peer) {
         peer.readRequest();
         peer.send(lengthHead + "12345");
         peer.reset();
     }},
    {"closes inside a chunk", Truth::Unknown, answerAndClose(chunkedHead + "a\r\n12345")},
    {"closes between chunks", Truth::Unknown, answerAndClose(chunkedHead + "5\r\n12345\r\n")},
    {"closes within a chunk's size", Truth::Unknown, answerAndClose(chunkedHead + "5\r\n12345\r\n1")},
    {"closes before the last chunk's end", Truth::Unknown, answerAndClose(chunkedHead + "5\r\n12345\r\n0\r\n")},
    {"bad chunk size", Truth::Unknown, answerAndClose(chunkedHead + "zz\r\n12345\r\n0\r\n\r\n")},
    {"neither length nor chunks", Truth::Unknown, answerAndClose("HTTP/1.1 200 OK\r\n\r\nlooks whole")},
    {"HTTP/1.0 without length", Truth::Unknown, answerAndClose("HTTP/1.0 200 OK\r\n\r\nlooks whole")},
    {"malformed", Truth::Unknown, answerAndClose("surely not http\r\n\r\n")},
    {"two different lengths", Truth::Unknown, answerAndClose("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 5\r\n\r\n12345")},
    {"length and chunks",
     Truth::Unknown,
     answerAndClose("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")},
    {"upgrade nobody asked for",
     Truth::Unknown,
     answerAndStall("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: upgrade\r\n\r\n")},
    {"header block without bound", Truth::Unknown, answerAndStall("HTTP/1.1 200 OK\r\nX-Long: " + std::string(100000, 'x') + "\r\n\r\n")},
    {"endless informational answers",
     Truth::Unknown,
     [](AcceptedConnection &peer) {
         peer.readRequest();
         for (int i = 0; i < 100; ++i) {
             peer.send("HTTP/1.1 103 Early Hints\r\n\r\n");
         }
         peer.readUntilClose();
     }},
    {"another request's answer", Truth::Unknown, answerAndStall(makeResponse("crossed", "Pollenspoke-Request-Id: 0123456789abcdef\r\n"))},
    {"two request ids, one of them another's",
     Truth::Unknown,
     [](AcceptedConnection &peer) {
         if (const auto request = peer.readRequest()) {
             const std::string own = request->header("Pollenspoke-Request-Id");
             peer.send(makeResponse("crossed", "Pollenspoke-Request-Id: " + own + "\r\nPollenspoke-Request-Id: 0123456789abcdef\r\n"));
             peer.readUntilClose();
         }
     }},
    {"stalls within headers", Truth::Unknown, answerAndStall("HTTP/1.1 200 OK\r\nContent-Le")},
    {"stalls within the body", Truth::Unknown, answerAndStall(lengthHead + "12345")},
    {"stalls before the last chunk", Truth::Unknown, answerAndStall(chunkedHead + "5\r\n12345\r\n")},
    {"resets after the request's first byte", Truth::Unknown, resetAfter(1)},
    {"resets within the request line", Truth::Unknown, resetAfter(10)},
    {"resets within the request's headers", Truth::Unknown, resetAfter(60)},
    {"resets after the request's headers", Truth::Unknown, [](AcceptedConnection &peer) { resetAfterHead(peer, 0); }},
    {"resets within the request's body", Truth::Unknown, [](AcceptedConnection &peer) { resetAfterHead(peer, orderBody.size() / 2); }},
    {"resets after the request's body", Truth::Unknown, [](AcceptedConnection &peer) { resetAfterHead(peer, orderBody.size()); }},
};

std::uint64_t countRetries(const Metrics &metrics)
{
    std::uint64_t n = 0;
    for (std::size_t i = 0; i < retryReasonCount; ++i) {
        n += metrics.retries(static_cast<RetryReason>(i));
    }
    return n;
}

void checkRefusal(const RawCaller::Response &answer, Truth truth, std::size_t connectionsWithBytes)
{
    const std::string run = answer.header("Pollenspoke-Run");
    BOOST_TEST(answer.status >= 500);
    BOOST_TEST(answer.isWhole);
    BOOST_TEST(answer.header("Content-Type") == "application/problem+json");
    BOOST_TEST((run == "not-run" || run == "unknown"));
    if (truth == Truth::NotRun) {
        BOOST_TEST(run == "not-run");
    }
    if (truth == Truth::Unknown) {
        BOOST_TEST(run == "unknown");
    }
    if (run == "not-run") {
        BOOST_TEST(connectionsWithBytes == 0U);
    }
}

void checkNoKey(const ScriptedTarget &target)
{
    for (const std::string &it : target.received()) {
        BOOST_TEST(it.find(testSecret) == std::string::npos);
    }
}

const std::string aloneRoute = ", deadline_ms: 200";
const std::string besideRoute = ", deadline_ms: 600";

} // namespace

BOOST_AUTO_TEST_CASE(a_get_is_retried_on_the_healthy_target_after_every_fault)
{
    for (const Fault &fault : faults) {
        BOOST_TEST_CONTEXT("fault: " << fault.name)
        {
            ScriptedTarget faulty(fault.script);
            ScriptedTarget healthy(wellBehaved());
            ProxyFixture fixture({.targets = {faulty.address(), healthy.address()}, .routeFields = besideRoute});
            RawCaller caller(fixture.port());
            for (std::size_t i = 0; i < mostTries && countRetries(fixture.metrics()) == 0; ++i) {
                const RawCaller::Response answer = caller.request("GET", "/work");
                BOOST_TEST(answer.status == 200U);
                BOOST_TEST(answer.isWhole);
                BOOST_TEST(answer.body == "well");
            }
            BOOST_TEST(countRetries(fixture.metrics()) != 0U);
            checkNoKey(faulty);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_get_to_a_single_faulty_target_is_refused_and_says_whether_it_may_have_run)
{
    for (const Fault &fault : faults) {
        BOOST_TEST_CONTEXT("fault: " << fault.name)
        {
            ScriptedTarget faulty(fault.script);
            ProxyFixture fixture({.targets = {faulty.address()}, .routeFields = aloneRoute});
            RawCaller caller(fixture.port());
            const RawCaller::Response answer = caller.request("GET", "/work");
            checkRefusal(answer, fault.truth, faulty.connectionsWithBytes());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_post_is_sent_at_most_once_and_its_refusal_says_whether_it_may_have_run)
{
    for (const Fault &fault : faults) {
        BOOST_TEST_CONTEXT("fault: " << fault.name)
        {
            ScriptedTarget faulty(fault.script);
            ProxyFixture fixture({.targets = {faulty.address()}, .routeFields = aloneRoute});
            RawCaller caller(fixture.port());
            const RawCaller::Response answer = caller.request("POST", "/work", orderBody);
            checkRefusal(answer, fault.truth, faulty.connectionsWithBytes());
            BOOST_TEST(faulty.connectionsWithBytes() <= 1U);
            checkNoKey(faulty);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_post_is_sent_to_at_most_one_of_two_targets)
{
    for (const Fault &fault : faults) {
        BOOST_TEST_CONTEXT("fault: " << fault.name)
        {
            ScriptedTarget faulty(fault.script);
            ScriptedTarget healthy(wellBehaved());
            ProxyFixture fixture({.targets = {faulty.address(), healthy.address()}, .routeFields = aloneRoute});
            RawCaller caller(fixture.port());
            std::size_t refused = 0;
            std::size_t seen = 0;
            for (std::size_t i = 0; i < mostTries && faulty.connections() == 0; ++i) {
                const RawCaller::Response answer = caller.request("POST", "/work", orderBody);
                if (answer.status != 200) {
                    ++refused;
                    checkRefusal(answer, Truth::Either, faulty.connectionsWithBytes());
                }
                ++seen;
                BOOST_TEST(faulty.connectionsWithBytes() + healthy.connectionsWithBytes() <= seen);
            }
            BOOST_TEST(faulty.connections() == 1U);
            BOOST_TEST(refused <= 1U);
        }
    }
}

BOOST_AUTO_TEST_CASE(requests_succeed_on_another_target_after_a_refused_connection)
{
    ScriptedTarget healthy(wellBehaved());
    ProxyFixture fixture({.targets = {closedPortAddress(), closedPortAddress(), healthy.address()}});
    RawCaller caller(fixture.port());
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(caller.request("POST", "/work", orderBody).status == 200U);
        BOOST_TEST(caller.request("GET", "/work").status == 200U);
    }
    BOOST_TEST(fixture.metrics().retries(RetryReason::ConnectFailed) != 0U);
    BOOST_TEST(healthy.connectionsWithBytes() >= 20U); // each post has its own
}

BOOST_AUTO_TEST_CASE(when_every_target_refuses_connections_the_request_is_reported_as_not_run)
{
    ProxyFixture fixture({.targets = {closedPortAddress(), closedPortAddress()}});
    RawCaller caller(fixture.port());
    for (const std::string method : {"GET", "POST"}) {
        const RawCaller::Response answer = caller.request(method, "/work", "body");
        checkRefusal(answer, Truth::NotRun, 0);
        BOOST_TEST(answer.status == 502U);
    }
    BOOST_TEST(eventually([&] { return fixture.metrics().refusals(RefusalReason::TargetUnreachable) == 2U; }));
}

BOOST_AUTO_TEST_CASE(a_refused_connection_does_not_hide_that_an_earlier_attempt_may_have_run)
{
    ScriptedTarget closing(answerAndClose(""));
    ProxyFixture fixture({.targets = {closing.address(), closedPortAddress()}, .proxy = withoutPauses()});
    RawCaller caller(fixture.port());
    for (int i = 0; i < 20; ++i) {
        const RawCaller::Response answer = caller.request("GET", "/work");
        BOOST_TEST(answer.header("Pollenspoke-Run") == "unknown");
        BOOST_TEST(answer.body.find("answer_incomplete") != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(an_unanswered_connect_leaves_time_to_try_another_target)
{
    UnansweredListener unanswered;
    ScriptedTarget healthy(wellBehaved());
    ProxyOptions patient = withoutPauses();
    patient.dispatch.connectTimeoutMs = 60000;
    ProxyFixture fixture({.targets = {unanswered.address(), healthy.address()}, .proxy = patient, .routeFields = ", deadline_ms: 1000"});
    RawCaller caller(fixture.port());
    for (const std::string method : {"GET", "POST"}) {
        const std::uint64_t before = fixture.metrics().retries(RetryReason::ConnectFailed);
        for (std::size_t i = 0; i < mostTries && fixture.metrics().retries(RetryReason::ConnectFailed) == before; ++i) {
            BOOST_TEST(caller.request(method, "/work", "body").status == 200U);
        }
        BOOST_TEST(fixture.metrics().retries(RetryReason::ConnectFailed) != before);
    }
}

BOOST_AUTO_TEST_CASE(when_every_connect_is_unanswered_the_request_is_reported_as_not_run)
{
    UnansweredListener unanswered;
    ProxyFixture fixture({.targets = {unanswered.address()}, .routeFields = aloneRoute});
    RawCaller caller(fixture.port());
    checkRefusal(caller.request("GET", "/work"), Truth::NotRun, 0);
    checkRefusal(caller.request("POST", "/work", orderBody), Truth::NotRun, 0);
}

BOOST_AUTO_TEST_CASE(a_target_that_stops_reading_the_request_body_hits_the_deadline)
{
    ScriptedTarget target(
        [](AcceptedConnection &peer) {
            peer.readBytes(100);
            peer.waitForCloseWithoutReading();
        },
        {.receiveBufferBytes = 4096});
    ProxyFixture fixture({.targets = {target.address()}, .proxy = {.front = {.bodyBytes = 64 << 20}}, .routeFields = aloneRoute});
    RawCaller caller(fixture.port());
    const RawCaller::Response answer = caller.request("POST", "/work", std::string(32 << 20, 'b'));
    checkRefusal(answer, Truth::Unknown, 1);
    BOOST_TEST(answer.status == 504U);
    BOOST_TEST(target.connections() == 1U);
}

BOOST_AUTO_TEST_CASE(a_response_sent_before_the_request_was_fully_read_is_forwarded)
{
    ScriptedTarget target(
        [](AcceptedConnection &peer) {
            peer.readBytes(100);
            peer.send("HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\nlong");
            peer.waitForCloseWithoutReading();
        },
        {.receiveBufferBytes = 4096});
    ProxyFixture fixture(
        {.targets = {target.address()}, .proxy = {.front = {.bodyBytes = 64 << 20}}, .routeFields = ", deadline_ms: 3000"});
    RawCaller caller(fixture.port());
    for (const std::string method : {"POST", "PUT"}) {
        const RawCaller::Response answer = caller.request(method, "/work", std::string(32 << 20, 'b'));
        BOOST_TEST(answer.status == 413U);
        BOOST_TEST(answer.body == "long");
    }
    BOOST_TEST(target.connections() == 2U); // half a request was sent on each: neither may be used again
}
