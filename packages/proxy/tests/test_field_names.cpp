// Invalid header fields: a blank or a control byte in the name, a control byte in the value, or no name. Such a response is refused.
#include "front_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;
using namespace std::string_literals;

namespace {

const std::string singleAttempt = ", deadline_ms: 3000, max_attempts: 1";
const std::string statusLine = "HTTP/1.1 200 OK\r\n";

const std::string foldedField = "X-Name: a\r\n folded";

// Without the end of line.
const std::vector<std::string> invalidFields{"X Name: 1",
                                             "X-Name : 1",
                                             " X-Name: 1",
                                             "\tX-Name: 1",
                                             " Content-Length: 4",
                                             " Transfer-Encoding: chunked",
                                             foldedField,
                                             "X\tName: 1",
                                             "X-Name\t: 1",
                                             "X\0Name: 1"s,
                                             "X\x01Name: 1",
                                             "X\x0bName: 1",
                                             "X\rName: 1",
                                             "X\nName: 1",
                                             "X\x7fName: 1",
                                             "X\x80Name: 1",
                                             ": 1",
                                             "X-Name",
                                             "X-Name: a\0b"s,
                                             "X-Name: a\x01"s + "b",
                                             "X-Name: a\x7f"s + "b",
                                             "X-Name: a\rb",
                                             "Content-Length : 4",
                                             "Content Length: 4",
                                             "Content-Length\x01: 4",
                                             "Transfer-Encoding : chunked",
                                             "Transfer\x0b"s + "Encoding: chunked",
                                             "Connection\x01: close"};

std::string echoedId(const ReceivedRequest &request)
{
    return "Pollenspoke-Request-Id: " + request.header("Pollenspoke-Request-Id") + "\r\n";
}

// Responses with the field first and last in the head, and in an informational response before a valid one.
std::vector<std::string> makeResponses(const std::string &field, const std::string &validFields, const std::string &body)
{
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return {statusLine + field + "\r\n" + length + validFields + "\r\n" + body,
            statusLine + length + validFields + field + "\r\n\r\n" + body,
            "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\n" + statusLine + length + validFields + "\r\n" + body};
}

ScriptedTarget::Script respondChunked(const std::string &trailerField)
{
    return [trailerField](AcceptedConnection &connection) {
        if (connection.readRequest()) {
            connection.send(statusLine + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + trailerField + "\r\n\r\n");
            connection.readUntilClose();
        }
    };
}

void checkUnreadable(const RawCaller::Response &response)
{
    BOOST_TEST(response.status == 502U);
    BOOST_TEST(response.header("Pollenspoke-Run") == "unknown");
    BOOST_TEST(response.body.find("answer_incomplete") != std::string::npos);
}

ProxyOptions acceptUnframed()
{
    ProxyOptions options = withoutTargetPauses();
    options.wire.acceptsUnframedResponses = true;
    return options;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_response_with_an_invalid_field_is_unreadable)
{
    for (const std::string &field : invalidFields) {
        for (std::size_t place = 0; place < 3; ++place) {
            ScriptedTarget target([&](AcceptedConnection &connection) {
                if (const auto request = connection.readRequest()) {
                    connection.send(makeResponses(field, echoedId(*request), "body")[place]);
                    connection.readUntilClose();
                }
            });
            ProxyFixture fixture({.targets = {target.address()}, .proxy = acceptUnframed(), .routeFields = singleAttempt});
            RawCaller caller(fixture.port());
            for (const std::string method : {"GET", "POST", "HEAD"}) {
                BOOST_TEST_CONTEXT(method << ", place " << place << ": " << field)
                {
                    const RawCaller::Response response = caller.request(method, "/work", method == "POST" ? "body" : "");
                    BOOST_TEST(response.status == 502U);
                    BOOST_TEST(response.header("Pollenspoke-Run") == "unknown");
                }
            }
            BOOST_TEST(target.connectionCount() == 3U); // none is used again
        }
    }
}

// The parser sees the head in two pieces, whatever the place of the cut.
BOOST_AUTO_TEST_CASE(a_response_with_an_invalid_field_that_arrives_in_pieces_is_unreadable)
{
    for (const std::string &field : invalidFields) {
        for (const std::string &before : {""s, "X-Valid: 1\r\n"s}) {
            const std::string answer = statusLine + before + field + "\r\nContent-Length: 4\r\n\r\nbody";
            const std::size_t start = statusLine.size() + before.size();
            std::atomic<std::size_t> cut = start;
            ScriptedTarget target([&](AcceptedConnection &connection) {
                if (connection.readRequest()) {
                    connection.send(answer.substr(0, cut));
                    std::this_thread::sleep_for(2ms);
                    connection.send(answer.substr(cut));
                    connection.readUntilClose();
                }
            });
            ProxyFixture fixture({.targets = {target.address()}, .proxy = acceptUnframed(), .routeFields = singleAttempt});
            RawCaller caller(fixture.port());
            for (cut = start; cut <= start + field.size() + 2; ++cut) {
                BOOST_TEST_CONTEXT("cut at " << cut << ": " << before << field)
                {
                    checkUnreadable(caller.request("GET", "/work"));
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_kept_connection_ends_with_an_invalid_field)
{
    for (const std::string &field : invalidFields) {
        ScriptedTarget target([&field](AcceptedConnection &connection) {
            if (const auto request = connection.readRequest()) {
                connection.respond(*request, "healthy");
            }
            if (const auto request = connection.readRequest()) {
                connection.send(makeResponses(field, echoedId(*request), "body")[1]);
                connection.readUntilClose();
            }
        });
        ProxyFixture fixture({.targets = {target.address()}, .proxy = acceptUnframed(), .routeFields = singleAttempt});
        RawCaller caller(fixture.port());
        BOOST_TEST_CONTEXT(field)
        {
            BOOST_TEST(caller.request("GET", "/work").status == 200U);
            checkUnreadable(caller.request("GET", "/work"));
            BOOST_TEST(target.connectionCount() == 1U);
            BOOST_TEST(caller.request("GET", "/work").status == 200U);
            BOOST_TEST(target.connectionCount() == 2U);
        }
    }
}

// A long response is passed on as it arrives, so its head can't be taken back.
BOOST_AUTO_TEST_CASE(a_streamed_response_with_an_invalid_field_is_not_begun)
{
    for (const std::string &field : invalidFields) {
        for (const std::string &framing : {"Content-Length: 4000000\r\n"s, "Transfer-Encoding: chunked\r\n"s, ""s}) {
            ScriptedTarget target([&](AcceptedConnection &connection) {
                if (connection.readRequest()) {
                    const std::string chunk = framing.starts_with("Transfer") ? "61a80\r\n" : "";
                    connection.send(statusLine + framing + field + "\r\n\r\n" + chunk + std::string(400000, 'x'));
                    connection.readUntilClose();
                }
            });
            ProxyFixture fixture({.targets = {target.address()}, .proxy = acceptUnframed(), .routeFields = singleAttempt});
            RawCaller caller(fixture.port());
            BOOST_TEST_CONTEXT(framing << field)
            {
                checkUnreadable(caller.request("GET", "/work"));
            }
        }
    }
}

// The body is complete before the trailer, but the message as a whole is malformed.
BOOST_AUTO_TEST_CASE(a_response_with_an_invalid_field_in_its_trailer_is_unreadable)
{
    for (const std::string &field : invalidFields) {
        if (field == foldedField) {
            continue; // delimits no body there and isn't passed on
        }
        ScriptedTarget target(respondChunked(field));
        ProxyFixture fixture({.targets = {target.address()}, .proxy = acceptUnframed(), .routeFields = singleAttempt});
        RawCaller caller(fixture.port());
        BOOST_TEST_CONTEXT(field)
        {
            checkUnreadable(caller.request("GET", "/work"));
        }
    }
}

// A field that is valid in a trailer may change the meaning of the body as one of the head.
BOOST_AUTO_TEST_CASE(a_trailer_is_not_passed_on_in_the_head)
{
    for (const std::string &field : {"X-Name: 1"s, foldedField, "Content-Encoding: gzip"s, "Location: /elsewhere"s}) {
        ScriptedTarget target(respondChunked(field));
        ProxyFixture fixture({.targets = {target.address()}, .proxy = acceptUnframed(), .routeFields = singleAttempt});
        RawCaller caller(fixture.port());
        const RawCaller::Response response = caller.request("GET", "/work");
        BOOST_TEST(response.status == 200U);
        BOOST_TEST(response.body == "body");
        BOOST_TEST(response.header(field.substr(0, field.find(':'))).empty(), field);
    }
}
