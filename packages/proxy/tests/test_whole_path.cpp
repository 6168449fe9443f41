// End-to-end path of a request on real sockets: key, account, route, rate limit, target and complete response.
#include "proxy_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;

BOOST_AUTO_TEST_CASE(a_request_reaches_a_target_with_its_account_and_the_response_is_complete)
{
    ScriptedTarget *self = nullptr;
    ScriptedTarget target([&self](AcceptedConnection &connection) {
        while (const auto request = connection.readRequest()) {
            self->recordRequest(*request);
            connection.respond(*request, "in stock: 12");
        }
    });
    self = &target;
    ProxyFixture fixture({.targets = {target.address()}});
    RawCaller caller(fixture.port());
    for (int i = 0; i < 3; ++i) {
        const RawCaller::Response response = caller.request("GET", "/work/bolts?size=m8", "", "Pollenspoke-Account: somebody-else\r\n");
        BOOST_TEST(response.status == 200);
        BOOST_TEST(response.isComplete);
        BOOST_TEST(response.body == "in stock: 12");
    }
    const std::vector<ReceivedRequest> received = target.requests();
    BOOST_REQUIRE(received.size() == 3);
    BOOST_TEST(received[0].head.starts_with("GET /work/bolts?size=m8 HTTP/1.1\r\n"));
    BOOST_TEST(received[0].header("Pollenspoke-Account") == "shop-1");
    BOOST_TEST(received[0].head.find(testSecret) == std::string::npos);
    BOOST_TEST(target.connectionCount() == 1);
}

BOOST_AUTO_TEST_CASE(refused_requests_are_never_sent_to_a_target)
{
    ScriptedTarget target(healthyScript());
    ProxyFixture fixture({.targets = {target.address()}});
    const auto refusalStatus = [&fixture](const std::string &text) {
        RawCaller caller(fixture.port());
        caller.send(text);
        const RawCaller::Response response = caller.readResponse();
        BOOST_TEST(response.header("Pollenspoke-Run") == "not-run");
        BOOST_TEST(response.header("Content-Type") == "application/problem+json");
        return response.status;
    };
    BOOST_TEST(refusalStatus("GET /work HTTP/1.1\r\nHost: a\r\n\r\n") == 401);
    BOOST_TEST(refusalStatus("GET /work HTTP/1.1\r\nHost: a\r\nX-Api-Key: wrong\r\n\r\n") == 401);
    BOOST_TEST(refusalStatus("GET /nowhere HTTP/1.1\r\nHost: a\r\nX-Api-Key: " + testSecret + "\r\n\r\n") == 404);
    BOOST_TEST(target.connectionCount() == 0);
}

BOOST_AUTO_TEST_CASE(a_request_over_the_rate_limit_is_refused_with_retry_after)
{
    ScriptedTarget target(healthyScript());
    ProxyFixture fixture({.targets = {target.address()}, .limits = {.ratePerSecond = 0.01, .burst = 2}});
    RawCaller caller(fixture.port());
    BOOST_TEST(caller.request("GET", "/work").status == 200);
    BOOST_TEST(caller.request("GET", "/work").status == 200);
    const RawCaller::Response refused = caller.request("GET", "/work");
    BOOST_TEST(refused.status == 429);
    BOOST_TEST(refused.header("Pollenspoke-Run") == "not-run");
    BOOST_TEST(!refused.header("Retry-After").empty());
}
