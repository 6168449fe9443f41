// Header fields that are none: a blank or a control byte in a name or value, or no name at all. No caller may get such a response.
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

// Its body is whole before the trailer, but what follows isn't a response any more.
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
