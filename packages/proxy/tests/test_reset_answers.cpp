// Responses that begin before the target has read the whole request, and end with a reset or an orderly close.
#include "front_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

using Script = ScriptedTarget::Script;

constexpr int plays = 5; // of each combination, since the reset races with the proxy's writes
constexpr std::size_t readBytes = 200;
const ListenOptions smallWindow{.receiveBufferBytes = 4096};
const std::string unframed = "HTTP/1.1 200 OK\r\n\r\n";

ProxyOptions acceptUnframed()
{
    ProxyOptions options = withoutTargetPauses();
    options.front.bodyBytes = 64 << 20;
    options.wire.acceptsUnframedResponses = true;
    return options;
}

// Reads the first bytes of an upload, sends `answer`, and resets the connection after `pause`.
Script resetAfter(const std::string &answer, std::chrono::milliseconds pause = 0ms)
{
    return [answer, pause](AcceptedConnection &connection) {
        if (connection.readBytes(readBytes)) {
            connection.send(answer);
            std::this_thread::sleep_for(pause);
            connection.reset();
        }
    };
}

std::string echoedId(const ReceivedRequest &request)
{
    return "Pollenspoke-Request-Id: " + request.header("Pollenspoke-Request-Id") + "\r\n";
}

void checkIncomplete(const RawCaller::Response &response)
{
    BOOST_TEST(response.status == 502U);
    BOOST_TEST(response.header("Pollenspoke-Run") == "unknown");
    BOOST_TEST(response.body.find("answer_incomplete") != std::string::npos);
}

void checkAnswer(const RawCaller::Response &response, const std::string &body)
{
    BOOST_TEST(response.status == 200U);
    BOOST_TEST(response.isComplete);
    BOOST_TEST((response.body == body));
}

const std::string singleAttempt = ", deadline_ms: 5000, max_attempts: 1";

} // namespace

// A write that fails takes the error of the reset, so that the next read sees an orderly end: a part of a body was passed on as whole.
BOOST_AUTO_TEST_CASE(an_unframed_answer_that_is_reset_during_the_upload_is_incomplete)
{
    for (const std::size_t uploadBytes : {200000, 4000000}) {
        for (const std::size_t bodyBytes : {0, 100, 20000}) {
            for (const auto pause : {0ms, 5ms}) {
                ScriptedTarget target(resetAfter(unframed + std::string(bodyBytes, 'p'), pause), smallWindow);
                ProxyFixture fixture({.targets = {target.address()}, .proxy = acceptUnframed(), .routeFields = singleAttempt});
                for (const std::string method : {"POST", "PUT", "GET"}) {
                    BOOST_TEST_CONTEXT(method << " of " << uploadBytes << " bytes, answer of " << bodyBytes << ", " << pause.count()
                                              << " ms")
                    {
                        RawCaller caller(fixture.port());
                        for (int i = 0; i < plays; ++i) {
                            checkIncomplete(caller.request(method, "/work", std::string(uploadBytes, 'u')));
                        }
                    }
                }
            }
        }
    }
}

// What was passed on can't be taken back, so the connection to the caller must end without the last chunk.
BOOST_AUTO_TEST_CASE(an_unframed_answer_that_is_passed_on_as_it_arrives_is_cut_by_a_reset)
{
    ProxyOptions options = acceptUnframed();
    options.dispatch.wholeAnswerBytes = 4096;
    options.dispatch.streamPartBytes = 1024;
    for (const std::size_t bodyBytes : {5000, 20000, 60000}) {
        ScriptedTarget target(resetAfter(unframed + std::string(bodyBytes, 'p')), smallWindow);
        ProxyFixture fixture({.targets = {target.address()}, .proxy = options, .routeFields = singleAttempt});
        for (const std::string method : {"POST", "PUT", "GET"}) {
            for (int i = 0; i < plays; ++i) {
                RawCaller caller(fixture.port());
                const RawCaller::Response response = caller.request(method, "/work", std::string(200000, 'u'));
                BOOST_TEST((response.status == 502U || !response.isComplete));
            }
        }
        BOOST_TEST(fixture.metrics().value(Counter::AnswersWhole) == 0U);
    }
}

BOOST_AUTO_TEST_CASE(an_unframed_answer_that_is_reset_on_a_kept_connection_is_incomplete)
{
    ScriptedTarget target(
        [](AcceptedConnection &connection) {
            if (const auto request = connection.readRequest()) {
                connection.respond(*request, "healthy");
            }
            if (const auto head = connection.readHead()) {
                connection.send("HTTP/1.1 200 OK\r\n" + echoedId(*head) + "\r\npart");
                connection.reset();
            }
        },
        smallWindow);
    ProxyFixture fixture({.targets = {target.address()}, .proxy = acceptUnframed(), .routeFields = singleAttempt});
    RawCaller caller(fixture.port());
    for (std::size_t i = 0; i < plays; ++i) {
        checkAnswer(caller.request("GET", "/work"), "healthy");
        checkIncomplete(caller.request("PUT", "/work", std::string(200000, 'u')));
        BOOST_TEST(target.connectionCount() == i + 1);
    }
}

BOOST_AUTO_TEST_CASE(a_request_that_may_be_repeated_goes_on_after_an_unframed_answer_was_reset)
{
    ScriptedTarget broken(resetAfter(unframed + "part"), smallWindow);
    ScriptedTarget healthy(healthyScript());
    ProxyFixture fixture({.targets = {broken.address(), healthy.address()}, .proxy = acceptUnframed()});
    RawCaller caller(fixture.port());
    for (int i = 0; i < 20; ++i) {
        checkAnswer(caller.request("PUT", "/work", std::string(200000, 'u')), "healthy");
    }
    BOOST_TEST(broken.connectionsWithBytes() >= 1U);
}

// An overdue attempt is replaced by one at a second target, or on a new connection if there is only one target.
BOOST_AUTO_TEST_CASE(an_unframed_answer_to_a_replacement_that_is_reset_is_incomplete)
{
    for (const bool hasSecondTarget : {true, false}) {
        std::atomic<int> uploads = 0;
        const Script script = [&uploads](AcceptedConnection &connection) {
            while (const std::optional<ReceivedRequest> head = connection.readHead()) {
                if (head->method() == "GET") {
                    connection.respond(*head, "healthy");
                } else if (uploads++ == 0) {
                    connection.waitForCloseWithoutReading();
                } else {
                    connection.send(unframed + "part");
                    connection.reset();
                }
            }
        };
        ScriptedTarget one(script, smallWindow);
        ScriptedTarget two(script, smallWindow);
        const std::string routeFields = ", deadline_ms: 1000, max_attempts: " + std::string(hasSecondTarget ? "2" : "1");
        std::vector<Address> targets{one.address()};
        if (hasSecondTarget) {
            targets.push_back(two.address());
        }
        ProxyFixture fixture({.targets = targets, .proxy = acceptUnframed(), .routeFields = routeFields});
        RawCaller caller(fixture.port());
        checkAnswer(caller.request("GET", "/work"), "healthy"); // leaves a kept connection
        checkIncomplete(caller.request("PUT", "/work", std::string(4000000, 'u')));
        BOOST_TEST(uploads == 2);
    }
}

// The second of two attempts that run at the same time must not decide for the caller by a part of an answer.
BOOST_AUTO_TEST_CASE(an_unframed_answer_to_a_hedge_that_is_reset_leaves_the_first_attempt_running)
{
    constexpr int warmRequests = 60;
    std::atomic<int> attempts = 0;
    const Script script = [&attempts](AcceptedConnection &connection) {
        while (const std::optional<ReceivedRequest> head = connection.readHead()) {
            if (pathOf(*head) == "/work/warm") {
                std::this_thread::sleep_for(10ms);
                connection.respond(*head, "warm");
            } else if (attempts++ == 0) {
                eventually([&attempts] { return attempts == 2; });
                std::this_thread::sleep_for(50ms);
                connection.send(makeResponse("first", echoedId(*head) + "Connection: close\r\n"));
                connection.waitForCloseWithoutReading();
            } else {
                connection.send(unframed + "part");
                connection.reset();
            }
        }
    };
    ScriptedTarget one(script, smallWindow);
    ScriptedTarget two(script, smallWindow);
    ProxyOptions options = acceptUnframed();
    options.dispatch.hedge = {.percent = 20, .minObservations = 20, .savedHedges = plays, .slowShare = 2};
    ProxyFixture fixture(
        {.targets = {one.address(), two.address()}, .proxy = options, .routeFields = ", deadline_ms: 6000, max_attempts: 2"});
    RawCaller caller(fixture.port());
    for (int i = 0; i < warmRequests; ++i) {
        BOOST_REQUIRE(caller.request("GET", "/work/warm").status == 200U);
    }
    for (int i = 0; i < plays; ++i) {
        attempts = 0;
        checkAnswer(caller.request("PUT", "/work/upload", std::string(4000000, 'u')), "first");
    }
    BOOST_TEST(fixture.metrics().value(Counter::HedgesSent) >= static_cast<std::uint64_t>(plays));
}

// With a length or in chunks, an answer shows by itself that it is whole, whatever becomes of its connection and of the upload.
BOOST_AUTO_TEST_CASE(a_framed_answer_that_is_whole_stays_an_answer_after_a_reset)
{
    const std::string body(20000, 'w');
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4e20\r\n" + body + "\r\n0\r\n\r\n";
    for (const std::string &answer : {makeResponse(body), chunked}) {
        ScriptedTarget target(resetAfter(answer), smallWindow);
        ProxyFixture fixture({.targets = {target.address()}, .proxy = acceptUnframed(), .routeFields = singleAttempt});
        for (const std::string method : {"POST", "PUT", "GET"}) {
            for (int i = 0; i < plays; ++i) {
                RawCaller caller(fixture.port());
                checkAnswer(caller.request(method, "/work", std::string(200000, 'u')), body);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(an_unframed_answer_that_ends_in_order_during_the_upload_is_whole)
{
    for (const std::size_t bodyBytes : {0, 100, 20000}) {
        const std::string body(bodyBytes, 'w');
        ScriptedTarget target(
            [body](AcceptedConnection &connection) {
                if (connection.readBytes(readBytes)) {
                    connection.send(unframed + body);
                    connection.shutdownWrite();
                    connection.waitForCloseWithoutReading();
                }
            },
            smallWindow);
        ProxyFixture fixture({.targets = {target.address()}, .proxy = acceptUnframed(), .routeFields = singleAttempt});
        for (const std::string method : {"POST", "PUT", "GET"}) {
            RawCaller caller(fixture.port());
            for (int i = 0; i < plays; ++i) {
                checkAnswer(caller.request(method, "/work", std::string(4000000, 'u')), body);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(an_unframed_answer_to_a_request_that_was_read_is_whole_after_a_close_only)
{
    for (const bool isReset : {false, true}) {
        ScriptedTarget target([isReset](AcceptedConnection &connection) {
            if (connection.readRequest()) {
                connection.send(unframed + "whole");
                std::this_thread::sleep_for(5ms);
                isReset ? connection.reset() : connection.closeNow();
            }
        });
        ProxyFixture fixture({.targets = {target.address()}, .proxy = acceptUnframed(), .routeFields = singleAttempt});
        RawCaller caller(fixture.port());
        for (const std::string method : {"POST", "PUT", "GET"}) {
            const RawCaller::Response response = caller.request(method, "/work", std::string(200000, 'u'));
            isReset ? checkIncomplete(response) : checkAnswer(response, "whole");
        }
    }
}
