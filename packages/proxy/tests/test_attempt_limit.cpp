// max_attempts of a route bounds the number of targets that may execute a request.
#include "front_fixture.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace Pollenspoke;

namespace {

namespace net = boost::asio;

bool isFailing(const std::string &request)
{
    return request.find(" /work/fail ") != std::string::npos;
}

// Accepts one connection and then refuses others. Answers each request but /work/fail, on which it closes the connection.
class SingleConnectionTarget
{
public:
    SingleConnectionTarget()
        : m_port(m_acceptor.local_endpoint().port())
        , m_thread([this] { serve(); })
    {
    }
    ~SingleConnectionTarget() { m_thread.join(); }
    SingleConnectionTarget(const SingleConnectionTarget &) = delete;
    SingleConnectionTarget &operator=(const SingleConnectionTarget &) = delete;

    Address address() const { return {.ip = "127.0.0.1", .port = m_port}; }
    int failed() const { return m_failed; }

private:
    void serve()
    {
        net::ip::tcp::socket socket(m_context);
        m_acceptor.accept(socket);
        m_acceptor.close();
        std::string buf;
        boost::system::error_code ec;
        for (;;) {
            const std::size_t n = net::read_until(socket, net::dynamic_buffer(buf), "\r\n\r\n", ec);
            if (ec) {
                return;
            }
            const std::string request = buf.substr(0, n);
            buf.erase(0, n);
            if (isFailing(request)) {
                ++m_failed;
                return;
            }
            const std::string id = ReceivedRequest{.head = request}.header("Pollenspoke-Request-Id");
            net::write(socket, net::buffer("HTTP/1.1 200 OK\r\nPollenspoke-Request-Id: " + id + "\r\nContent-Length: 5\r\n\r\nfirst"), ec);
        }
    }

    net::io_context m_context;
    net::ip::tcp::acceptor m_acceptor{m_context, {net::ip::make_address("127.0.0.1"), 0}};
    std::uint16_t m_port;
    std::atomic<int> m_failed{0};
    std::thread m_thread;
};

// Answers each request but /work/fail, on which it closes the connection.
class FailingTarget
{
public:
    FailingTarget()
        : m_target([this](AcceptedConnection &connection) {
            while (const std::optional<ReceivedRequest> request = connection.readRequest()) {
                if (isFailing(request->head)) {
                    ++m_failed;
                    connection.closeNow();
                    return;
                }
                connection.respond(*request, "other");
            }
        })
    {
    }
    Address address() const { return m_target.address(); }
    int failed() const { return m_failed; }

private:
    std::atomic<int> m_failed{0};
    ScriptedTarget m_target;
};

} // namespace

// A pooled connection that closed without an answer wasn't counted; when a new one to its target was refused, the request ran at two more.
BOOST_AUTO_TEST_CASE(a_request_runs_at_no_more_targets_than_its_route_allows)
{
    for (int round = 0; round < 8; ++round) {
        SingleConnectionTarget single;
        FailingTarget left;
        FailingTarget right;
        ProxyFixture fixture({.targets = {single.address(), left.address(), right.address()},
                              .proxy = withoutTargetPauses(),
                              .routeFields = ", deadline_ms: 5000, max_attempts: 2"});
        RawCaller caller(fixture.port());
        while (caller.request("GET", "/work/warm").body != "first") { // until the single connection is in the pool
        }
        caller.request("GET", "/work/fail");
        const int ranAt = (single.failed() > 0 ? 1 : 0) + (left.failed() > 0 ? 1 : 0) + (right.failed() > 0 ? 1 : 0);
        BOOST_TEST(ranAt <= 2);
    }
}
