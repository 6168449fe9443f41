// Transfer-Encoding of responses: chunks are taken off here, and any other coding would be left on the body without a mark.
#include "front_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;

namespace {

const std::string statusLine = "HTTP/1.1 200 OK\r\n";
const std::string chunks = "4\r\nbody\r\n0\r\n\r\n";

RawCaller::Response getAnswer(const std::string &answer)
{
    ScriptedTarget target([&answer](AcceptedConnection &connection) {
        if (connection.readRequest()) {
            connection.send(answer);
        }
    });
    ProxyOptions options;
    options.wire.acceptsUnframedResponses = true;
    ProxyFixture fixture({.targets = {target.address()}, .proxy = options, .routeFields = ", deadline_ms: 3000, max_attempts: 1"});
    return RawCaller(fixture.port()).request("GET", "/work");
}

} // namespace

BOOST_AUTO_TEST_CASE(a_response_with_a_transfer_coding_besides_chunked_is_unreadable)
{
    for (const std::string codings : {"gzip",
                                      "gzip, chunked",
                                      "chunked, gzip",
                                      "chunked, chunked",
                                      "chunked;x=1",
                                      "xchunked",
                                      "",
                                      "chunked,",
                                      ", chunked",
                                      "chunked\r\nTransfer-Encoding: chunked",
                                      "gzip\r\nTransfer-Encoding: chunked",
                                      "chunked\r\nTransfer-Encoding: gzip"}) {
        const RawCaller::Response response = getAnswer(statusLine + "Transfer-Encoding: " + codings + "\r\n\r\n" + chunks);
        BOOST_TEST_CONTEXT(codings)
        {
            BOOST_TEST(response.status == 502U);
            BOOST_TEST(response.header("Pollenspoke-Run") == "unknown");
            BOOST_TEST(response.body.find("answer_incomplete") != std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_CASE(chunks_are_taken_off)
{
    for (const std::string coding : {"chunked", "Chunked", "chunked ", "\tchunked"}) {
        const RawCaller::Response response = getAnswer(statusLine + "Transfer-Encoding: " + coding + "\r\n\r\n" + chunks);
        BOOST_TEST(response.status == 200U, coding);
        BOOST_TEST(response.body == "body", coding);
    }
    BOOST_TEST(getAnswer(statusLine + "Transfer-Encoding: identity\r\n\r\nbody").body == "body");
}
