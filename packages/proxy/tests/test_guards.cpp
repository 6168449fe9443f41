// Checks on what callers send, on real sockets: framing, sizes, slow senders, and bytes after a refused request. Ambiguous framing
// would allow request smuggling.
#include "front_fixture.h"
#include "guards.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;

namespace {

struct InvalidRequest
{
    std::string name;
    std::string text;
    unsigned status = 400;
    std::string reason;
};

FrontendOptions smallLimits()
{
    return {.headerBytes = 2048, .bodyBytes = 1000, .headerTimeoutMs = 5000, .bodyTimeoutMs = 5000};
}

// A request that must never run. It follows an invalid request, where a lenient parser would read the next request.
std::string makeSmuggledRequest()
{
    return makeRequest("GET", "/work/smuggled");
}

std::string makePost(const std::string &lengthHeaders, const std::string &body = "hello")
{
    return makeRequest("POST", "/work/outer", lengthHeaders, body);
}

std::vector<InvalidRequest> makeInvalidFramings()
{
    const std::string reason = "invalid_content_length";
    const std::string chunks = "5\r\nhello\r\n0\r\n\r\n";
    return {
        {"chunked", makePost("Transfer-Encoding: chunked\r\n", chunks), 411, "transfer_encoding"},
        {"chunked, other case", makePost("tRANSFER-eNCODING: Chunked\r\n", chunks), 411, "transfer_encoding"},
        {"identity", makePost("Transfer-Encoding: identity\r\n", ""), 411, "transfer_encoding"},
        {"gzip, chunked", makePost("Transfer-Encoding: gzip, chunked\r\n", chunks), 411, "transfer_encoding"},
        {"empty transfer encoding", makePost("Transfer-Encoding: \r\n", ""), 411, "transfer_encoding"},
        {"underscore for hyphen", makePost("Transfer_Encoding: chunked\r\n", chunks), 411, "transfer_encoding"},
        {"length, then chunked", makePost("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", chunks), 411, "transfer_encoding"},
        {"chunked, then length", makePost("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", chunks), 411, "transfer_encoding"},
        {"length twice, equal", makePost("Content-Length: 5\r\nContent-Length: 5\r\n"), 400, reason},
        {"length twice, different", makePost("Content-Length: 5\r\nContent-Length: 0\r\n"), 400, reason},
        {"signed", makePost("Content-Length: +5\r\n"), 400, reason},
        {"negative", makePost("Content-Length: -5\r\n"), 400, reason},
        {"hex", makePost("Content-Length: 0x5\r\n"), 400, reason},
        {"list", makePost("Content-Length: 5, 5\r\n"), 400, reason},
        {"spaced", makePost("Content-Length: 0 5\r\n"), 400, reason},
        {"empty", makePost("Content-Length: \r\n"), 400, reason},
        {"over 64 bits", makePost("Content-Length: 18446744073709551621\r\n"), 400, reason},
        {"underscore for hyphen, alone", makePost("Content_Length: 5\r\n"), 400, reason},
        {"underscore for hyphen, besides", makePost("Content-Length: 5\r\nContent_Length: 0\r\n"), 400, reason},
    };
}

std::vector<InvalidRequest> makeInvalidHeaders()
{
    const std::string reason = "malformed_request";
    using namespace std::string_literals;
    return {
        {"space before colon", makeRequest("GET", "/work", "Content-Length : 0\r\n"), 400, reason},
        {"space in name", makeRequest("GET", "/work", "Bad name: 1\r\n"), 400, reason},
        {"control in name", makeRequest("GET", "/work", "Bad\x01name: 1\r\n"), 400, reason},
        {"no colon", makeRequest("GET", "/work", "Nonsense\r\n"), 400, reason},
        {"empty name", makeRequest("GET", "/work", ": 1\r\n"), 400, reason},
        {"NUL in value", makeRequest("GET", "/work", "A: b\0c\r\n"s), 400, reason},
        {"bare LF in value", makeRequest("GET", "/work", "A: b\nX-Api-Key: other\r\n"), 400, reason},
        {"bare CR in value", makeRequest("GET", "/work", "A: b\rc: d\r\n"), 400, reason},
        {"bare LF ends", "GET /work HTTP/1.1\nHost: a\n\n", 400, reason},
        {"two hosts", makeRequest("GET", "/work", "Host: other\r\n"), 400, reason},
        {"no host", "GET /work HTTP/1.1\r\nX-Api-Key: " + testSecret + "\r\n\r\n", 400, reason},
        {"HTTP/0.9", "GET /work\r\n\r\n", 400, reason},
        {"HTTP/1.2", "GET /work HTTP/1.2\r\nHost: a\r\n\r\n", 400, reason},
        {"tab in request line", "GET\t/work HTTP/1.1\r\nHost: a\r\n\r\n", 400, reason},
        {"HTTP/2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400, reason},
        {"CONNECT", makeRequest("CONNECT", "127.0.0.1:80"), 405, "method_not_allowed"},
        {"TRACE", makeRequest("TRACE", "/work"), 405, "method_not_allowed"},
        {"unknown method", makeRequest("FROBNICATE", "/work"), 405, "method_not_allowed"},
        {"method in small letters", makeRequest("post", "/work"), 405, "method_not_allowed"},
        {"Upgrade", makeRequest("GET", "/work", "Connection: Upgrade\r\nUpgrade: websocket\r\n"), 400, "unsupported_upgrade"},
        {"Upgrade to h2c",
         makeRequest("GET", "/work", "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"),
         400,
         "unsupported_upgrade"},
    };
}

void checkRefusedAndClosed(const std::vector<InvalidRequest> &cases)
{
    RecordingTarget target;
    ProxyFixture fixture({.targets = {target.address()}, .proxy = {.front = smallLimits()}});
    for (const InvalidRequest &it : cases) {
        BOOST_TEST_CONTEXT(it.name)
        {
            RawCaller caller(fixture.port());
            caller.send(it.text + makeSmuggledRequest());
            const RawCaller::Response response = caller.readResponse();
            checkRefusal(response, it.status, it.reason);
            BOOST_TEST(response.header("Connection") == "close");
            BOOST_TEST(caller.readResponse().status == 0U);
            BOOST_TEST(caller.isClosedByProxy());
        }
    }
    BOOST_TEST(target.requests().empty());
    BOOST_TEST(RawCaller(fixture.port()).request("GET", "/work").status == 200U);
}

} // namespace

BOOST_AUTO_TEST_CASE(ambiguous_body_framing_is_refused_and_the_connection_closed)
{
    checkRefusedAndClosed(makeInvalidFramings());
}

BOOST_AUTO_TEST_CASE(a_malformed_or_ambiguous_header_block_is_refused_and_the_connection_closed)
{
    checkRefusedAndClosed(makeInvalidHeaders());
}

BOOST_AUTO_TEST_CASE(header_blocks_and_bodies_over_their_limits_are_refused)
{
    const std::string longText(3000, 'a');
    const std::string longBody(1001, 'b');
    checkRefusedAndClosed({
        {"one large header", makeRequest("GET", "/work", "A: " + longText + "\r\n"), 431, "header_too_large"},
        {"long path", makeRequest("GET", "/work/" + longText), 431, "header_too_large"},
        {"long header name", makeRequest("GET", "/work", longText + ": 1\r\n"), 431, "header_too_large"},
        {"large body", makePost("Content-Length: 1001\r\n", longBody), 413, "body_too_large"},
        {"large body, announced only", makePost("Content-Length: 1000000000000\r\n", ""), 413, "body_too_large"},
        {"large body, with Expect", makePost("Expect: 100-continue\r\nContent-Length: 1001\r\n", ""), 413, "body_too_large"},
    });
}

BOOST_AUTO_TEST_CASE(header_blocks_and_bodies_at_their_limits_are_accepted)
{
    RecordingTarget target;
    ProxyFixture fixture({.targets = {target.address()}, .proxy = {.front = smallLimits()}});
    const std::string emptyValueRequest = makeRequest("GET", "/work", "A: \r\n");
    RawCaller caller(fixture.port());
    caller.send(makeRequest("GET", "/work", "A: " + std::string(2048 - emptyValueRequest.size(), 'a') + "\r\n"));
    BOOST_TEST(caller.readResponse().status == 200U);
    BOOST_TEST(caller.request("POST", "/work", std::string(1000, 'b')).status == 200U);
    BOOST_TEST(target.requests().size() == 2U);
}

BOOST_AUTO_TEST_CASE(expect_100_continue_is_answered_only_when_the_request_may_run)
{
    RecordingTarget target;
    ProxyFixture fixture({.targets = {target.address()}});
    const std::string expectHeaders = "Expect: 100-continue\r\nContent-Length: 5\r\n";
    RawCaller valid(fixture.port());
    valid.send(makeRequest("POST", "/work", expectHeaders));
    BOOST_TEST(valid.readResponse(true).status == 100U);
    valid.send("hello");
    BOOST_TEST(valid.readResponse().status == 200U);
    BOOST_REQUIRE(target.requests().size() == 1U);
    BOOST_TEST(target.requests()[0].header("Expect").empty());
    RawCaller unknown(fixture.port());
    unknown.send("POST /work HTTP/1.1\r\nHost: a\r\nX-Api-Key: wrong\r\n" + expectHeaders + "\r\n");
    checkRefusal(unknown.readResponse(), 401, "key_unknown");
    BOOST_TEST(unknown.isClosedByProxy());
    RawCaller http10(fixture.port());
    http10.send("POST /work HTTP/1.0\r\nHost: a\r\nX-Api-Key: " + testSecret + "\r\n" + expectHeaders + "\r\nhello");
    BOOST_TEST(http10.readResponse().status == 200U);
}

BOOST_AUTO_TEST_CASE(request_targets_not_in_origin_form_are_refused)
{
    RecordingTarget target;
    ProxyFixture fixture({.targets = {target.address()}});
    for (const std::string &path : std::vector<std::string>{"http://other/work", "*", "work", "127.0.0.1:80", "/work#/admin", "/work%00"}) {
        BOOST_TEST_CONTEXT(path)
        {
            RawCaller caller(fixture.port());
            caller.send(makeRequest("GET", path));
            checkRefusal(caller.readResponse(), 400, "malformed_request");
        }
    }
    BOOST_TEST(target.requests().empty());
}

BOOST_AUTO_TEST_CASE(a_folded_header_line_reaches_the_target_as_one_line)
{
    RecordingTarget target;
    ProxyFixture fixture({.targets = {target.address()}});
    RawCaller caller(fixture.port());
    caller.send(makeRequest("GET", "/work", "A: b\r\n Evil: c\r\n"));
    BOOST_TEST(caller.readResponse().status == 200U);
    BOOST_REQUIRE(target.requests().size() == 1U);
    BOOST_TEST(target.requests()[0].header("A") == "b Evil: c");
    BOOST_TEST(target.requests()[0].header(" Evil").empty());
}

BOOST_AUTO_TEST_CASE(the_body_of_a_refused_request_is_never_parsed_as_a_request)
{
    RecordingTarget target;
    ProxyFixture fixture({.targets = {target.address()}});
    const std::string length = "Content-Length: " + std::to_string(makeSmuggledRequest().size()) + "\r\n";
    for (const std::string &path : std::vector<std::string>{"/nowhere", "/work/../admin", "/.well-known/pollenspoke/addresses"}) {
        BOOST_TEST_CONTEXT(path)
        {
            RawCaller caller(fixture.port());
            caller.send(makeRequest("POST", path, length));
            const RawCaller::Response response = caller.readResponse();
            BOOST_TEST(response.header("Pollenspoke-Run") == "not-run");
            BOOST_TEST(response.header("Connection") == "close");
            caller.send(makeSmuggledRequest());
            BOOST_TEST(caller.readResponse().status == 0U);
        }
    }
    RawCaller keyInBody(fixture.port());
    keyInBody.send(makeRequest("POST", "/work", length, makeSmuggledRequest()) + makeRequest("GET", "/work/next"));
    checkRefusal(keyInBody.readResponse(), 400, "key_in_content");
    BOOST_TEST(keyInBody.readResponse().body == "/work/next");
    BOOST_TEST(target.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_in_order)
{
    RecordingTarget target;
    ProxyFixture fixture({.targets = {target.address()}});
    RawCaller caller(fixture.port());
    std::string all;
    constexpr int requests = 50;
    for (int i = 0; i < requests; ++i) {
        const std::string path = "/work/" + std::to_string(i);
        all += i % 3 == 0 ? makeRequest("POST", path, "Content-Length: 7\r\n", "GET / H") : makeRequest("GET", path);
    }
    all += makeRequest("GET", "/nowhere") + makeRequest("GET", "/work/last");
    caller.send(all);
    for (int i = 0; i < requests; ++i) {
        BOOST_TEST(caller.readResponse().body == "/work/" + std::to_string(i));
    }
    checkRefusal(caller.readResponse(), 404, "route_not_found");
    BOOST_TEST(caller.readResponse().body == "/work/last");
}

BOOST_AUTO_TEST_CASE(a_refused_head_request_gets_no_body_and_the_connection_stays_synchronized)
{
    RecordingTarget target;
    ProxyFixture fixture({.targets = {target.address()}});
    RawCaller caller(fixture.port());
    caller.send(makeRequest("HEAD", "/nowhere") + makeRequest("HEAD", "/work") + makeRequest("GET", "/work/after"));
    BOOST_TEST(caller.readResponse(true).status == 404U);
    BOOST_TEST(caller.readResponse(true).status == 200U);
    BOOST_TEST(caller.readResponse().body == "/work/after");
}

BOOST_AUTO_TEST_CASE(caller_connections_follow_the_keep_alive_headers)
{
    RecordingTarget target;
    ProxyFixture fixture({.targets = {target.address()}});
    const auto makeHttp10Request = [](const std::string &headers) {
        return "GET /work HTTP/1.0\r\nHost: a\r\nX-Api-Key: " + testSecret + "\r\n" + headers + "\r\n";
    };
    RawCaller http10(fixture.port());
    http10.send(makeHttp10Request(""));
    BOOST_TEST(http10.readResponse().isComplete);
    BOOST_TEST(http10.isClosedByProxy());
    RawCaller keepAlive(fixture.port());
    keepAlive.send(makeHttp10Request("Connection: keep-alive\r\n"));
    const RawCaller::Response first = keepAlive.readResponse();
    BOOST_TEST(first.header("Connection") == "keep-alive");
    keepAlive.send(makeHttp10Request("Connection: keep-alive\r\n"));
    BOOST_TEST(keepAlive.readResponse().status == 200U);
    RawCaller closing(fixture.port());
    closing.send(makeRequest("GET", "/work", "Connection: foo\r\nConnection: bar, Close\r\n") + makeRequest("GET", "/work/after-close"));
    BOOST_TEST(closing.readResponse().header("Connection") == "close");
    BOOST_TEST(closing.readResponse().status == 0U);
    BOOST_TEST(!target.hasReceived("after-close"));
}

BOOST_AUTO_TEST_CASE(slow_senders_get_408_without_delaying_other_callers)
{
    RecordingTarget target;
    ProxyFixture fixture({.targets = {target.address()}, .proxy = {.front = {.headerTimeoutMs = 300, .bodyTimeoutMs = 300}}});
    RawCaller slowHeader(fixture.port());
    slowHeader.send("GET /work HTTP/1.1\r\nHost:");
    RawCaller slowBody(fixture.port());
    slowBody.send(makeRequest("POST", "/work", "Content-Length: 5\r\n", "he"));
    BOOST_TEST(RawCaller(fixture.port()).request("GET", "/work/other").status == 200U);
    checkRefusal(slowHeader.readResponse(), 408, "request_timeout");
    BOOST_TEST(slowHeader.isClosedByProxy());
    checkRefusal(slowBody.readResponse(), 408, "request_timeout");
    BOOST_TEST(slowBody.isClosedByProxy());
    BOOST_TEST(fixture.metrics().refusals(RefusalReason::RequestTimeout) == 2U);
    BOOST_TEST(target.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(trickled_bytes_do_not_extend_the_header_timeout)
{
    ProxyFixture fixture({.proxy = {.front = {.headerTimeoutMs = 300}}});
    RawCaller caller(fixture.port());
    std::atomic<bool> isAnswered{false};
    std::thread sender([&] {
        for (int i = 0; i < 400 && !isAnswered; ++i) {
            caller.send(i == 0 ? "GET /work HTTP/1.1\r\nA: " : "a");
            std::this_thread::sleep_for(std::chrono::milliseconds(25));
        }
    });
    checkRefusal(caller.readResponse(), 408, "request_timeout");
    isAnswered = true;
    sender.join();
}

BOOST_AUTO_TEST_CASE(an_idle_caller_connection_is_closed_after_the_idle_timeout)
{
    RecordingTarget target;
    ProxyFixture fixture({.targets = {target.address()}, .proxy = {.front = {.idleTimeoutMs = 300}}});
    RawCaller unused(fixture.port());
    RawCaller used(fixture.port());
    BOOST_TEST(used.request("GET", "/work").status == 200U);
    BOOST_TEST(unused.isClosedByProxy());
    BOOST_TEST(used.isClosedByProxy());
    BOOST_TEST(eventually([&] { return fixture.metrics().value(Gauge::CallerConnections) == 0; }));
}

BOOST_AUTO_TEST_CASE(a_caller_that_disconnects_within_its_request_is_sent_nothing)
{
    RecordingTarget target;
    ProxyFixture fixture({.targets = {target.address()}});
    for (const std::string &text : {std::string("GET /wo"), makeRequest("POST", "/work", "Content-Length: 5\r\n", "he")}) {
        RawCaller caller(fixture.port());
        caller.send(text);
        caller.shutdownWrite();
        BOOST_TEST(caller.readResponse().status == 0U);
        BOOST_TEST(caller.unreadBytes().empty());
    }
    BOOST_TEST(eventually([&] { return fixture.metrics().refusals(RefusalReason::CallerGone) == 1U; }));
    BOOST_TEST(target.requests().empty());
    BOOST_TEST(eventually([&] { return fixture.metrics().value(Gauge::RequestsInFlight) == 0; }));
}

BOOST_AUTO_TEST_CASE(a_caller_disconnect_cancels_the_running_request_at_the_target)
{
    std::atomic<int> started{0};
    std::atomic<int> cancelled{0};
    ScriptedTarget target([&](AcceptedConnection &connection) {
        if (connection.readRequest()) {
            ++started;
            cancelled += connection.waitForClose(std::chrono::seconds(8)) ? 1 : 0;
        }
    });
    ProxyFixture fixture({.targets = {target.address()}, .routeFields = ", deadline_ms: 20000, max_attempts: 1"});
    RawCaller caller(fixture.port());
    caller.send(makeRequest("POST", "/work", "Content-Length: 2\r\n", "hi"));
    BOOST_REQUIRE(eventually([&] { return started == 1; }));
    caller.closeNow();
    BOOST_TEST(eventually([&] { return cancelled == 1; }));
    BOOST_TEST(eventually([&] { return fixture.metrics().refusals(RefusalReason::CallerGone) == 1U; }));
    BOOST_TEST(eventually([&] { return fixture.metrics().value(Gauge::CallerConnections) == 0; }));
}

BOOST_AUTO_TEST_CASE(a_caller_that_stops_reading_is_disconnected_and_its_target_released)
{
    const std::string body(64 << 20, 'x');
    std::atomic<int> sentResponses{0};
    ScriptedTarget target([&](AcceptedConnection &connection) {
        if (connection.readRequest()) {
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n");
            connection.send(body);
            ++sentResponses;
        }
    });
    ProxyFixture fixture({.targets = {target.address()},
                          .proxy = {.front = {.writeTimeoutMs = 300}},
                          .routeFields = ", deadline_ms: 20000, max_attempts: 1"});
    RawCaller caller(fixture.port());
    caller.send(makeRequest("GET", "/work"));
    BOOST_TEST(eventually([&] { return sentResponses == 1; }));
    BOOST_TEST(eventually([&] { return fixture.metrics().value(Gauge::CallerConnections) == 0; }));
    const RawCaller::Response response = caller.readResponse();
    BOOST_TEST(!response.isComplete); // a partial response never looks complete
    BOOST_TEST(fixture.metrics().value(Counter::AnswersCut) == 1U);
}

BOOST_AUTO_TEST_CASE(pipelined_bytes_behind_a_running_request_are_read_only_up_to_a_limit)
{
    std::atomic<bool> isBlocked{true};
    ScriptedTarget target([&](AcceptedConnection &connection) {
        while (const auto request = connection.readRequest()) {
            eventually([&] { return !isBlocked; });
            connection.respond(*request, pathOf(*request));
        }
    });
    ProxyFixture fixture({.targets = {target.address()}, .routeFields = ", deadline_ms: 20000"});
    RawCaller caller(fixture.port());
    caller.send(makeRequest("GET", "/work/first"));
    BOOST_REQUIRE(eventually([&] { return target.connectionCount() == 1U; }));
    constexpr std::size_t floodBytes = 64 << 20;
    const std::size_t sentBytes = caller.sendUntilBlocked(std::string(floodBytes, 'G'));
    BOOST_TEST(sentBytes < floodBytes); // all of it would have to be buffered in the proxy's memory
    isBlocked = false;
    BOOST_TEST(caller.readResponse().body == "/work/first");
    BOOST_TEST(caller.readResponse().status == 431U);
}

BOOST_AUTO_TEST_CASE(a_connection_over_the_limit_is_refused)
{
    RecordingTarget target;
    ProxyFixture fixture({.targets = {target.address()}, .proxy = {.front = {.maxConnections = 2}}});
    RawCaller first(fixture.port());
    RawCaller second(fixture.port());
    BOOST_TEST(first.request("GET", "/work").status == 200U);
    BOOST_TEST(second.request("GET", "/work").status == 200U);
    RawCaller third(fixture.port());
    third.send(makeRequest("POST", "/work/third", "Content-Length: 5\r\n", "hello"));
    checkRefusal(third.readResponse(), 503, "too_many_connections");
    BOOST_TEST(third.isClosedByProxy());
    BOOST_TEST(fixture.metrics().refusals(RefusalReason::TooManyConnections) == 1U);
    BOOST_TEST(!target.hasReceived("third"));
    first.closeNow();
    BOOST_TEST(eventually([&] { return fixture.metrics().value(Gauge::CallerConnections) == 1; }));
    BOOST_TEST(RawCaller(fixture.port()).request("GET", "/work").status == 200U);
}

BOOST_AUTO_TEST_CASE(caller_and_target_receive_the_same_request_id)
{
    RecordingTarget target;
    ProxyFixture fixture({.targets = {target.address()}});
    const RawCaller::Response response = RawCaller(fixture.port()).request("GET", "/work");
    BOOST_REQUIRE(target.requests().size() == 1U);
    BOOST_TEST(response.header("Pollenspoke-Request-Id") == target.requests()[0].header("Pollenspoke-Request-Id"));
}

// As bytes without end in an answer: they were read until the body's time-out, 30 s, and kept.
BOOST_AUTO_TEST_CASE(a_chunk_header_or_trailer_without_end_is_refused_early)
{
    RecordingTarget target;
    ProxyOptions options;
    options.wire.acceptsChunkedRequests = true;
    ProxyFixture fixture({.targets = {target.address()}, .proxy = options});
    for (const std::string start : {"", "5;", "5\r\nhello\r\n0\r\n"}) {
        RawCaller caller(fixture.port());
        caller.send(makeRequest("POST", "/work", "Transfer-Encoding: chunked\r\n") + start);
        caller.sendUntilBlocked(std::string(1 << 20, start.empty() ? '0' : 'x'));
        BOOST_TEST(caller.readResponse().status == 400U);
        BOOST_TEST(caller.isClosedByProxy());
    }
    BOOST_TEST(target.requests().empty());
}
