// Handling of target responses: forwarded, streamed, retried or refused; deadlines and cancellation. A truncated response must
// never look complete to the caller.
#include "proxy_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t maxTries = 40; // requests until a given target is picked

// Sends these bytes in response to every request and keeps the connection open.
ScriptedTarget::Script respondWith(const std::string &bytes)
{
    return [bytes](AcceptedConnection &connection) {
        while (connection.readRequest()) {
            connection.send(bytes);
        }
    };
}

std::string makeStatusResponse(unsigned status, const std::string &body, const std::string &extraHeaders = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " Reason\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + extraHeaders
        + "\r\n" + body;
}

std::string makePattern(std::size_t n)
{
    std::string text(n, ' ');
    for (std::size_t i = 0; i < n; ++i) {
        text[i] = static_cast<char>('a' + i / 7 % 26);
    }
    return text;
}

std::string makeChunkedResponse(const std::string &body, std::size_t chunkBytes)
{
    std::ostringstream out;
    out << "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t i = 0; i < body.size(); i += chunkBytes) {
        const std::string part = body.substr(i, chunkBytes);
        out << std::hex << part.size() << "\r\n" << part << "\r\n";
    }
    out << "0\r\n\r\n";
    return out.str();
}

} // namespace

BOOST_AUTO_TEST_CASE(informational_responses_are_skipped)
{
    ScriptedTarget target(
        respondWith("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + makeResponse("final")));
    ProxyFixture fixture({.targets = {target.address()}});
    RawCaller caller(fixture.port());
    for (const std::string method : {"GET", "POST"}) {
        const RawCaller::Response response = caller.request(method, "/work", "body");
        BOOST_TEST(response.status == 200U);
        BOOST_TEST(response.body == "final");
    }
}

BOOST_AUTO_TEST_CASE(responses_without_a_body_end_after_the_header)
{
    ScriptedTarget target([](AcceptedConnection &connection) {
        while (const auto request = connection.readRequest()) {
            const std::string id = "Pollenspoke-Request-Id: " + request->header("Pollenspoke-Request-Id") + "\r\n";
            const std::string path = request->head.substr(0, request->head.find(" HTTP/"));
            if (path.ends_with("/204")) {
                connection.send("HTTP/1.1 204 No Content\r\n" + id + "\r\n");
            } else if (path.ends_with("/304")) {
                connection.send("HTTP/1.1 304 Not Modified\r\nContent-Length: 77\r\nETag: \"a\"\r\n" + id + "\r\n");
            } else if (request->method() == "HEAD") {
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n" + id + "\r\n");
            } else {
                connection.respond(*request, "with body");
            }
        }
    });
    ProxyFixture fixture({.targets = {target.address()}});
    RawCaller caller(fixture.port());
    for (int i = 0; i < 2; ++i) {
        const RawCaller::Response head = caller.request("HEAD", "/work/x");
        BOOST_TEST(head.status == 200U);
        BOOST_TEST(head.header("Content-Length") == "99999999");
        BOOST_TEST(caller.request("GET", "/work/204").status == 204U);
        const RawCaller::Response notModified = caller.request("GET", "/work/304");
        BOOST_TEST(notModified.status == 304U);
        BOOST_TEST(notModified.header("ETag") == "\"a\"");
        BOOST_TEST(caller.request("GET", "/work/x").body == "with body"); // no bytes of the previous responses remain
    }
    BOOST_TEST(target.connectionCount() == 1U);
}

BOOST_AUTO_TEST_CASE(a_server_error_is_retried_only_for_idempotent_requests)
{
    for (const unsigned status : {502U, 503U, 504U}) {
        ScriptedTarget failing(respondWith(makeStatusResponse(status, "sorry")));
        ScriptedTarget healthy(healthyScript());
        ProxyFixture fixture({.targets = {failing.address(), healthy.address()}, .proxy = withoutTargetPauses()});
        RawCaller caller(fixture.port());
        for (std::size_t i = 0; i < maxTries && fixture.metrics().retries(RetryReason::ServerError) == 0; ++i) {
            BOOST_TEST(caller.request("GET", "/work").body == "healthy");
        }
        BOOST_TEST(fixture.metrics().retries(RetryReason::ServerError) != 0U);
        bool wasForwarded = false;
        for (std::size_t i = 0; i < maxTries && !wasForwarded; ++i) {
            const RawCaller::Response response = caller.request("POST", "/work", "order");
            wasForwarded = response.status == status;
            BOOST_TEST(response.body == (wasForwarded ? "sorry" : "healthy"));
        }
        BOOST_TEST(wasForwarded);
    }
}

BOOST_AUTO_TEST_CASE(the_error_response_of_the_last_attempt_is_forwarded_unchanged)
{
    // With Retry-After in a 503 the target asks for no requests until then, so that the first attempt is the last.
    for (const auto &[status, attempts] : std::map<unsigned, std::size_t>{{502, 3}, {503, 1}}) {
        ScriptedTarget target(respondWith(makeStatusResponse(status, "cold start", "X-Own: yes\r\nRetry-After: 7\r\n")));
        ProxyFixture fixture({.targets = {target.address()}, .routeFields = ", max_attempts: 3"});
        RawCaller caller(fixture.port());
        const RawCaller::Response response = caller.request("GET", "/work");
        BOOST_TEST(response.status == status);
        BOOST_TEST(response.body == "cold start");
        BOOST_TEST(response.header("X-Own") == "yes");
        BOOST_TEST(response.header("Retry-After") == "7");
        BOOST_TEST(response.header("Pollenspoke-Run").empty());
        BOOST_TEST(target.connectionsWithBytes() == attempts);
    }
}

BOOST_AUTO_TEST_CASE(a_500_response_is_not_retried)
{
    ScriptedTarget target(respondWith(makeStatusResponse(500, "broken")));
    ProxyFixture fixture({.targets = {target.address()}});
    RawCaller caller(fixture.port());
    BOOST_TEST(caller.request("GET", "/work").body == "broken");
    BOOST_TEST(target.connectionsWithBytes() == 1U);
}

BOOST_AUTO_TEST_CASE(a_pollenspoke_run_header_from_a_target_is_not_forwarded)
{
    ScriptedTarget target(respondWith(makeStatusResponse(503, "lie", "Pollenspoke-Run: not-run\r\n")));
    ProxyFixture fixture({.targets = {target.address()}});
    RawCaller caller(fixture.port());
    const RawCaller::Response response = caller.request("POST", "/work", "order");
    BOOST_TEST(response.status == 503U);
    BOOST_TEST(response.header("Pollenspoke-Run").empty());
}

BOOST_AUTO_TEST_CASE(a_configured_not_run_response_lets_even_a_post_be_retried)
{
    const std::string notRunAnswers = ", not_run_answers: [{status: 503, header: X-Shed}]";
    ScriptedTarget shedding(respondWith(makeStatusResponse(503, "shed", "X-Shed: 1\r\n")));
    ScriptedTarget healthy(healthyScript());
    ProxyFixture fixture({.targets = {shedding.address(), healthy.address()}, .serviceFields = notRunAnswers});
    RawCaller caller(fixture.port());
    for (std::size_t i = 0; i < maxTries && fixture.metrics().retries(RetryReason::NotRunAnswer) == 0; ++i) {
        BOOST_TEST(caller.request("POST", "/work", "order").body == "healthy");
    }
    BOOST_TEST(fixture.metrics().retries(RetryReason::NotRunAnswer) != 0U);
}

BOOST_AUTO_TEST_CASE(when_every_target_sheds_load_the_request_is_reported_as_not_run)
{
    const std::string notRunAnswers = ", not_run_answers: [{status: 503, header: X-Shed}]";
    ScriptedTarget target(respondWith(makeStatusResponse(503, "shed", "X-Shed: 1\r\n")));
    ProxyFixture fixture({.targets = {target.address()}, .serviceFields = notRunAnswers});
    RawCaller caller(fixture.port());
    for (const std::string method : {"GET", "POST"}) {
        const RawCaller::Response response = caller.request(method, "/work", "order");
        BOOST_TEST(response.status == 503U);
        BOOST_TEST(response.header("Pollenspoke-Run") == "not-run");
        BOOST_TEST(!response.header("Retry-After").empty());
    }
    BOOST_TEST(eventually([&] { return fixture.metrics().refusals(RefusalReason::TargetDeclined) == 2U; }));
}

BOOST_AUTO_TEST_CASE(a_503_without_the_configured_header_is_not_treated_as_not_run)
{
    ScriptedTarget target(respondWith(makeStatusResponse(503, "ran and failed")));
    ProxyFixture fixture({.targets = {target.address()}, .serviceFields = ", not_run_answers: [{status: 503, header: X-Shed}]"});
    RawCaller caller(fixture.port());
    const RawCaller::Response response = caller.request("POST", "/work", "order");
    BOOST_TEST(response.body == "ran and failed");
    BOOST_TEST(target.connectionsWithBytes() == 1U);
}

BOOST_AUTO_TEST_CASE(a_not_run_response_after_a_lost_response_does_not_make_the_request_not_run)
{
    ScriptedTarget target([](AcceptedConnection &connection) {
        if (connection.readRequest() && connection.number() != 0) {
            connection.send(makeStatusResponse(503, "shed", "X-Shed: 1\r\n"));
        }
    });
    ProxyFixture fixture({.targets = {target.address()}, .serviceFields = ", not_run_answers: [{status: 503, header: X-Shed}]"});
    RawCaller caller(fixture.port());
    const RawCaller::Response response = caller.request("GET", "/work");
    BOOST_TEST(response.header("Pollenspoke-Run") == "unknown");
    BOOST_TEST(target.connectionsWithBytes() == 3U);
}

BOOST_AUTO_TEST_CASE(a_target_gets_the_remaining_deadline_which_the_caller_may_shorten)
{
    ScriptedTarget *self = nullptr;
    ScriptedTarget target([&self](AcceptedConnection &connection) {
        while (const auto request = connection.readRequest()) {
            self->recordRequest(*request);
            connection.respond(*request, "in time");
        }
    });
    self = &target;
    ProxyFixture fixture({.targets = {target.address()}, .routeFields = ", deadline_ms: 60000"});
    RawCaller caller(fixture.port());
    BOOST_TEST(caller.request("GET", "/work").status == 200U);
    BOOST_TEST(caller.request("GET", "/work", "", "Pollenspoke-Deadline-Ms: 30000\r\n").status == 200U);
    BOOST_TEST(caller.request("GET", "/work", "", "Pollenspoke-Deadline-Ms: 99999999\r\n").status == 200U);
    const std::vector<ReceivedRequest> received = target.requests();
    BOOST_REQUIRE(received.size() == 3U);
    const auto remainingMs = [&received](std::size_t i) { return std::stol(received[i].header("Pollenspoke-Deadline-Ms")); };
    BOOST_TEST(remainingMs(0) <= 60000);
    BOOST_TEST(remainingMs(0) > 30000);
    BOOST_TEST(remainingMs(1) <= 30000);
    BOOST_TEST(remainingMs(1) > 0);
    BOOST_TEST(remainingMs(2) <= 60000);
}

BOOST_AUTO_TEST_CASE(a_retry_sends_the_deadline_remaining_at_that_time)
{
    ScriptedTarget *self = nullptr;
    ScriptedTarget target([&self](AcceptedConnection &connection) {
        while (const auto request = connection.readRequest()) {
            self->recordRequest(*request);
            if (connection.number() == 0) {
                connection.readUntilClose();
                return;
            }
            connection.respond(*request, "second");
        }
    });
    self = &target;
    ProxyFixture fixture({.targets = {target.address()}, .routeFields = ", deadline_ms: 600"});
    RawCaller caller(fixture.port());
    BOOST_TEST(caller.request("GET", "/work").body == "second");
    const std::vector<ReceivedRequest> received = target.requests();
    BOOST_REQUIRE(received.size() == 2U);
    BOOST_TEST(std::stol(received[1].header("Pollenspoke-Deadline-Ms")) <= 300); // the first attempt used half of it
    BOOST_TEST(received[0].header("Pollenspoke-Request-Id") == received[1].header("Pollenspoke-Request-Id"));
}

BOOST_AUTO_TEST_CASE(a_request_whose_deadline_expired_before_dispatch_is_not_run)
{
    ScriptedTarget target(healthyScript());
    ProxyFixture fixture({.targets = {target.address()}});
    RawCaller caller(fixture.port());
    const RawCaller::Response response = caller.request("POST", "/work", "order", "Pollenspoke-Deadline-Ms: 0\r\n");
    BOOST_TEST(response.status == 504U);
    BOOST_TEST(response.header("Pollenspoke-Run") == "not-run");
    BOOST_TEST(target.connectionsWithBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(the_response_carries_the_request_id_that_the_target_received)
{
    ScriptedTarget *self = nullptr;
    ScriptedTarget target([&self](AcceptedConnection &connection) {
        while (const auto request = connection.readRequest()) {
            self->recordRequest(*request);
            connection.respond(*request, "x");
        }
    });
    self = &target;
    ProxyFixture fixture({.targets = {target.address()}});
    RawCaller caller(fixture.port());
    const RawCaller::Response response = caller.request("GET", "/work");
    BOOST_REQUIRE(target.requests().size() == 1U);
    BOOST_TEST(response.header("Pollenspoke-Request-Id") == target.requests()[0].header("Pollenspoke-Request-Id"));
}

BOOST_AUTO_TEST_CASE(a_caller_disconnect_closes_the_connection_to_the_target)
{
    std::atomic<int> started{0};
    std::atomic<int> cancelled{0};
    ScriptedTarget target([&](AcceptedConnection &connection) {
        if (connection.readRequest()) {
            ++started;
            cancelled += connection.waitForClose(seconds(10)) ? 1 : 0;
        }
    });
    ProxyFixture fixture({.targets = {target.address()}, .routeFields = ", deadline_ms: 60000"});
    int n = 0;
    for (const std::string text : {"GET /work HTTP/1.1\r\n", "POST /work HTTP/1.1\r\nContent-Length: 5\r\n"}) {
        RawCaller caller(fixture.port());
        caller.send(text + "Host: a\r\nX-Api-Key: " + testSecret + "\r\n\r\n" + (n == 1 ? "order" : ""));
        ++n;
        BOOST_TEST(eventually([&] { return started == n; }));
        caller.closeNow();
        BOOST_TEST(eventually([&] { return cancelled == n; }));
    }
    BOOST_TEST(eventually([&] { return fixture.metrics().refusals(RefusalReason::CallerGone) == 2U; }));
    BOOST_TEST(eventually([&] { return fixture.metrics().value(Gauge::RequestsInFlight) == 0; }));
    BOOST_TEST(target.connectionCount() == 2U);
}

BOOST_AUTO_TEST_CASE(responses_around_the_buffering_limit_are_forwarded_unchanged)
{
    const std::uint64_t limit = 10000;
    for (const std::size_t n : {std::size_t{0}, limit - 1, std::size_t{limit}, limit + 1, 3 * limit + 5}) {
        const std::string body = makePattern(n);
        for (const bool isChunked : {false, true}) {
            ScriptedTarget target(respondWith(isChunked ? makeChunkedResponse(body, 777) : makeResponse(body)));
            ProxyFixture fixture(
                {.targets = {target.address()}, .proxy = {.dispatch = {.wholeAnswerBytes = limit, .streamPartBytes = 4096}}});
            RawCaller caller(fixture.port());
            for (const std::string method : {"GET", "POST"}) {
                const RawCaller::Response response = caller.request(method, "/work", "body");
                BOOST_TEST(response.isComplete);
                BOOST_TEST((response.body == body));
            }
            BOOST_TEST(eventually([&] { return fixture.metrics().value(Counter::AnswersWhole) == 2U; }));
        }
    }
}

BOOST_AUTO_TEST_CASE(a_truncated_streamed_response_never_looks_complete)
{
    const std::string body = makePattern(50000);
    const std::string chunked = makeChunkedResponse(body, 5000);
    const std::string withLength = makeResponse(body);
    // Cut within the body, and with chunked encoding also before the last chunk.
    const std::vector<std::string> parts{withLength.substr(0, 30000),
                                         withLength.substr(0, withLength.size() - 1),
                                         chunked.substr(0, 30000),
                                         chunked.substr(0, chunked.size() - 5)};
    for (const std::string &part : parts) {
        for (const std::string method : {"GET", "POST"}) {
            ScriptedTarget target([&part](AcceptedConnection &connection) {
                if (connection.readRequest()) {
                    connection.send(part);
                }
            });
            ProxyFixture fixture({.targets = {target.address()}, .proxy = {.dispatch = {.wholeAnswerBytes = 10000}}});
            RawCaller caller(fixture.port());
            const RawCaller::Response response = caller.request(method, "/work", "body");
            BOOST_TEST(!response.isComplete);
            BOOST_TEST(caller.isClosedByProxy());
            BOOST_TEST(eventually([&] { return fixture.metrics().value(Counter::AnswersCut) == 1U; }));
            BOOST_TEST(eventually([&] { return fixture.metrics().value(Counter::AnswersWhole) == 0U; }));
            BOOST_TEST(target.connectionCount() == 1U);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_streamed_response_is_cut_at_the_deadline)
{
    ScriptedTarget target([](AcceptedConnection &connection) {
        if (connection.readRequest()) {
            connection.send(makeResponse(makePattern(50000)).substr(0, 30000));
            connection.readUntilClose();
        }
    });
    ProxyFixture fixture(
        {.targets = {target.address()}, .proxy = {.dispatch = {.wholeAnswerBytes = 10000}}, .routeFields = ", deadline_ms: 300"});
    RawCaller caller(fixture.port());
    BOOST_TEST(!caller.request("GET", "/work").isComplete);
    BOOST_TEST(eventually([&] { return fixture.metrics().value(Counter::AnswersCut) == 1U; }));
}

BOOST_AUTO_TEST_CASE(an_http_1_0_caller_gets_neither_chunks_nor_a_partial_response)
{
    ScriptedTarget target(respondWith(makeChunkedResponse(makePattern(50000), 5000)));
    ProxyFixture fixture({.targets = {target.address()}, .proxy = {.dispatch = {.wholeAnswerBytes = 10000}}});
    RawCaller caller(fixture.port());
    caller.send("GET /work HTTP/1.0\r\nX-Api-Key: " + testSecret + "\r\n\r\n");
    const RawCaller::Response response = caller.readResponse();
    BOOST_TEST(response.status == 502U);
    BOOST_TEST(response.header("Pollenspoke-Run") == "unknown");
}

BOOST_AUTO_TEST_CASE(a_caller_that_does_not_read_applies_back_pressure_to_the_target)
{
    constexpr std::size_t partBytes = 65536;
    constexpr std::size_t parts = 1024;                // 64 MiB
    constexpr std::size_t maxBufferedBytes = 32 << 20; // generous bound for the four socket buffers of the two hops
    std::atomic<std::size_t> sent{0};
    ScriptedTarget target([&sent](AcceptedConnection &connection) {
        const std::string part(partBytes, 'p');
        if (connection.readRequest()) {
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(partBytes * parts) + "\r\n\r\n");
            for (std::size_t i = 0; i < parts; ++i) {
                connection.send(part);
                sent += partBytes;
            }
        }
    });
    ProxyFixture fixture({.targets = {target.address()}, .routeFields = ", deadline_ms: 60000"});
    RawCaller caller(fixture.port());
    caller.send("GET /work HTTP/1.1\r\nHost: a\r\nX-Api-Key: " + testSecret + "\r\n\r\n");
    std::size_t previous = 0;
    BOOST_TEST(eventually([&] {
        const std::size_t last = std::exchange(previous, sent.load());
        std::this_thread::sleep_for(milliseconds(200));
        return last != 0 && last == sent;
    }));
    BOOST_TEST_MESSAGE("target blocked after " << sent << " bytes");
    BOOST_TEST(sent < maxBufferedBytes);
    const RawCaller::Response response = caller.readResponse();
    BOOST_TEST(response.isComplete);
    BOOST_TEST(response.body.size() == partBytes * parts);
}

// A cancellation between two reads of the download was lost, so that the target went on until the deadline.
BOOST_AUTO_TEST_CASE(a_caller_disconnect_during_a_download_cancels_it_at_the_target)
{
    constexpr std::size_t plays = 100;
    std::atomic<std::size_t> cancelled{0};
    ScriptedTarget target([&cancelled](AcceptedConnection &connection) {
        if (connection.readRequest()) {
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n" + std::string(1000000, 'd'));
            cancelled += connection.waitForClose(seconds(10)) ? 1 : 0;
        }
    });
    ProxyFixture fixture({.targets = {target.address()}, .proxy = withoutTargetPauses(), .routeFields = ", deadline_ms: 60000"});
    for (std::size_t n = 1; n <= plays; ++n) {
        RawCaller caller(fixture.port());
        caller.send("GET /work HTTP/1.1\r\nHost: a\r\nX-Api-Key: " + testSecret + "\r\n\r\n");
        BOOST_REQUIRE(eventually([&] { return target.connectionsWithBytes() == n; }));
        caller.closeNow();
        BOOST_REQUIRE(eventually([&] { return cancelled == n; }));
    }
    BOOST_TEST(eventually([&] { return fixture.metrics().value(Gauge::RequestsInFlight) == 0; }));
}

BOOST_AUTO_TEST_CASE(a_caller_disconnect_during_connect_cancels_the_attempt)
{
    UnansweredListener unanswered;
    ProxyFixture fixture({.targets = {unanswered.address()},
                          .proxy = {.dispatch = {.connectTimeoutMs = 60000}},
                          .routeFields = ", deadline_ms: 60000, max_attempts: 1"});
    RawCaller caller(fixture.port());
    caller.send("POST /work HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nX-Api-Key: " + testSecret + "\r\n\r\n");
    BOOST_TEST(eventually([&] { return fixture.metrics().value(Gauge::RequestsInFlight) == 1; }));
    caller.closeNow();
    BOOST_TEST(eventually([&] { return fixture.metrics().refusals(RefusalReason::CallerGone) == 1U; }));
    BOOST_TEST(eventually([&] { return fixture.metrics().value(Gauge::RequestsInFlight) == 0; }));
    BOOST_TEST(fixture.metrics().value(Counter::Dispatches) == 0U);
}

BOOST_AUTO_TEST_CASE(a_caller_disconnect_while_the_request_is_sent_stops_the_sending)
{
    std::atomic<bool> isCancelled{false};
    ScriptedTarget target(
        [&isCancelled](AcceptedConnection &connection) {
            connection.readBytes(100);
            connection.waitForCloseWithoutReading();
            isCancelled = true;
        },
        {.receiveBufferBytes = 4096});
    ProxyFixture fixture(
        {.targets = {target.address()}, .proxy = {.front = {.bodyBytes = 64 << 20}}, .routeFields = ", deadline_ms: 60000"});
    RawCaller caller(fixture.port());
    const std::string body(32 << 20, 'b');
    caller.send("PUT /work HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\nX-Api-Key: " + testSecret
                + "\r\n\r\n" + body);
    BOOST_TEST(eventually([&] { return target.connectionsWithBytes() == 1; }));
    BOOST_TEST(!isCancelled);
    caller.closeNow();
    BOOST_TEST(eventually([&] { return isCancelled.load(); }));
    BOOST_TEST(eventually([&] { return fixture.metrics().refusals(RefusalReason::CallerGone) == 1U; }));
    BOOST_TEST(eventually([&] { return fixture.metrics().value(Gauge::RequestsInFlight) == 0; }));
    BOOST_TEST(target.connectionCount() == 1U);
}
