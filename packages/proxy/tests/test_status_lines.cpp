// Status lines that are none: a target in trouble may send any bytes, and no caller may get them as an answer.
#include "front_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

const std::string framing = "Content-Length: 5\r\nPollenspoke-Request-Id: ";

// What follows the HTTP version.
const std::vector<std::string> invalidStatuses{"000 Nothing",
                                               "001 Nothing",
                                               "099 Nothing",
                                               "600 Nothing",
                                               "999 Nothing",
                                               "20 Short",
                                               "2000 Long",
                                               "0200 Long",
                                               "+20 Sign",
                                               "-20 Sign",
                                               "2x0 Letter",
                                               "OK",
                                               "",
                                               " 200 Blank",
                                               "101 Switching Protocols"};

// Answers the first `healthy` requests of a connection well, and all others with the status line.
ScriptedTarget::Script answerWith(const std::string &status, int healthy)
{
    return [status, healthy](AcceptedConnection &connection) {
        for (int n = 0; const auto request = connection.readRequest(); ++n) {
            if (n < healthy) {
                connection.respond(*request, "healthy");
            } else {
                connection.send("HTTP/1.1 " + status + "\r\n" + framing + request->header("Pollenspoke-Request-Id") + "\r\n\r\nwrong");
            }
        }
    };
}

void checkUnreadable(const RawCaller::Response &response)
{
    BOOST_TEST(response.status == 502U);
    BOOST_TEST(response.header("Pollenspoke-Run") == "unknown");
    BOOST_TEST(response.body.find("answer_incomplete") != std::string::npos);
    BOOST_TEST(response.body.find("wrong") == std::string::npos);
}

} // namespace

// An answer of status 000 was taken for an informational one, so that the caller waited until its deadline; 600 to 999 were passed on.
BOOST_AUTO_TEST_CASE(an_answer_with_an_invalid_status_is_unreadable)
{
    for (const std::string &status : invalidStatuses) {
        BOOST_TEST_CONTEXT(status)
        {
            ScriptedTarget target(answerWith(status, 0));
            ProxyFixture fixture({.targets = {target.address()}, .routeFields = ", deadline_ms: 3000, max_attempts: 1"});
            RawCaller caller(fixture.port());
            const auto startedAt = std::chrono::steady_clock::now();
            for (const std::string method : {"GET", "POST"}) {
                checkUnreadable(caller.request(method, "/work", "body"));
            }
            BOOST_TEST((std::chrono::steady_clock::now() - startedAt < 2s));
            BOOST_TEST(target.connectionCount() == 2U); // the first one isn't used again
        }
    }
}

BOOST_AUTO_TEST_CASE(a_kept_connection_ends_with_an_invalid_status)
{
    for (const std::string &status : invalidStatuses) {
        BOOST_TEST_CONTEXT(status)
        {
            ScriptedTarget target(answerWith(status, 1));
            ProxyFixture fixture(
                {.targets = {target.address()}, .proxy = withoutTargetPauses(), .routeFields = ", deadline_ms: 3000, max_attempts: 1"});
            RawCaller caller(fixture.port());
            BOOST_TEST(caller.request("GET", "/work").status == 200U);
            checkUnreadable(caller.request("GET", "/work")); // on the kept connection
            BOOST_TEST(target.connectionCount() == 1U);
            BOOST_TEST(caller.request("GET", "/work").status == 200U);
            BOOST_TEST(target.connectionCount() == 2U);
        }
    }
}

// The parser sees the head in two pieces, whatever the place of the cut.
BOOST_AUTO_TEST_CASE(an_invalid_status_that_arrives_in_pieces_is_unreadable)
{
    for (const std::string &status : invalidStatuses) {
        const std::string answer = "HTTP/1.1 " + status + "\r\n" + framing + "1\r\n\r\nwrong";
        std::atomic<std::size_t> cut = 1;
        ScriptedTarget target([&answer, &cut](AcceptedConnection &connection) {
            if (connection.readRequest()) {
                connection.send(answer.substr(0, cut));
                std::this_thread::sleep_for(2ms);
                connection.send(answer.substr(cut));
                connection.readUntilClose();
            }
        });
        ProxyFixture fixture(
            {.targets = {target.address()}, .proxy = withoutTargetPauses(), .routeFields = ", deadline_ms: 3000, max_attempts: 1"});
        RawCaller caller(fixture.port());
        const std::size_t end = answer.find("\r\n") + 2;
        for (; cut <= end; ++cut) {
            BOOST_TEST_CONTEXT("cut at " << cut << ": " << status)
            {
                checkUnreadable(caller.request("GET", "/work"));
            }
        }
    }
}

// A long response is passed on as it arrives, so its status can't be taken back.
BOOST_AUTO_TEST_CASE(a_streamed_response_with_an_invalid_status_is_not_begun)
{
    for (const std::string status : {"000 Nothing", "600 Nothing"}) {
        ScriptedTarget target([status](AcceptedConnection &connection) {
            if (connection.readRequest()) {
                connection.send("HTTP/1.1 " + status + "\r\nContent-Length: 4000000\r\n\r\n" + std::string(400000, 'x'));
                connection.readUntilClose();
            }
        });
        ProxyFixture fixture({.targets = {target.address()}, .routeFields = ", deadline_ms: 3000, max_attempts: 1"});
        RawCaller caller(fixture.port());
        checkUnreadable(caller.request("GET", "/work"));
    }
}

// The request may have run, so only one that may be repeated is sent to another target. The target's health hears of it.
BOOST_AUTO_TEST_CASE(a_request_that_may_be_repeated_goes_on_after_an_invalid_status)
{
    ScriptedTarget broken(answerWith("000 Nothing", 0));
    ScriptedTarget healthy(healthyScript());
    ProxyFixture fixture({.targets = {broken.address(), healthy.address()}});
    RawCaller caller(fixture.port());
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(caller.request("GET", "/work").status == 200U);
    }
    BOOST_TEST(broken.connectionsWithBytes() >= 1U);
    BOOST_TEST(broken.connectionsWithBytes() < 5U); // paused after its first failure
    ProxyFixture once({.targets = {broken.address()}});
    RawCaller onceCaller(once.port());
    const std::size_t before = broken.connectionsWithBytes();
    checkUnreadable(onceCaller.request("POST", "/work", "body"));
    BOOST_TEST(broken.connectionsWithBytes() == before + 1);
}

BOOST_AUTO_TEST_CASE(a_status_line_that_is_cut_is_unreadable)
{
    for (const std::string bytes : {"HTTP/1.1 2", "HTTP/1.1 200", "HTTP/1.1", "HTTP/1.1 200 OK\r\nContent-Le"}) {
        ScriptedTarget target([bytes](AcceptedConnection &connection) {
            if (connection.readRequest()) {
                connection.send(bytes);
                connection.closeNow();
            }
        });
        ProxyFixture fixture({.targets = {target.address()}, .routeFields = ", deadline_ms: 3000, max_attempts: 1"});
        RawCaller caller(fixture.port());
        for (const std::string method : {"GET", "POST"}) {
            checkUnreadable(caller.request(method, "/work", "body"));
        }
    }
}
