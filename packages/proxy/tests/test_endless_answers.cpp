// Bytes that are no answer and come without end, until the proxy closes: in a head, a chunk's header, a trailer or a body.
#include "front_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t maxBytesRead = 4 << 20; // of an answer that can't be valid; socket buffers included
constexpr std::size_t partBytes = 16384;

// Sends `start` and then `part` again and again until the proxy closes the connection.
class EndlessTarget
{
public:
    EndlessTarget(const std::string &start, const std::string &part)
        : m_target([this, start, part](AcceptedConnection &connection) {
            if (!connection.readRequest()) {
                return;
            }
            connection.send(start);
            std::string text;
            while (text.size() < partBytes) {
                text += part;
            }
            while (m_sent < 20 * maxBytesRead && !connection.waitForClose(1ms)) {
                connection.send(text);
                m_sent += text.size();
            }
            m_hasEnded = true;
        })
    {
    }
    Address address() const { return m_target.address(); }
    std::size_t sent() const { return m_sent; }
    bool hasEnded() const { return m_hasEnded; }

private:
    std::atomic<std::size_t> m_sent{0};
    std::atomic<bool> m_hasEnded{false};
    ScriptedTarget m_target;
};

const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// The proxy would read until its memory is used up, and the caller would wait until its deadline.
BOOST_AUTO_TEST_CASE(bytes_without_end_that_can_not_be_an_answer_are_given_up_early)
{
    const std::map<std::string, std::pair<std::string, std::string>> answers{
        {"no protocol at all", {"", "x"}},
        {"status line", {"HTTP/1.1 200 ", "O"}},
        {"header name", {"HTTP/1.1 200 OK\r\n", "X"}},
        {"header value", {"HTTP/1.1 200 OK\r\nX-Long: ", "v"}},
        {"headers", {"HTTP/1.1 200 OK\r\n", "X-Again: 1\r\n"}},
        {"folded header", {"HTTP/1.1 200 OK\r\nX-Long: 1\r\n", " 1\r\n"}},
        {"empty lines", {"", "\r\n"}},
        {"informational", {"", "HTTP/1.1 103 Early Hints\r\n\r\n"}},
        {"chunk size", {chunked, "0"}},
        {"chunk extension", {chunked + "5;", "e"}},
        {"trailer name", {chunked + "5\r\nhello\r\n0\r\n", "X"}},
        {"trailers", {chunked + "5\r\nhello\r\n0\r\n", "X-Again: 1\r\n"}},
    };
    for (const auto &[name, bytes] : answers) {
        BOOST_TEST_CONTEXT(name)
        {
            EndlessTarget target(bytes.first, bytes.second);
            ProxyFixture fixture({.targets = {target.address()}, .routeFields = ", deadline_ms: 3000, max_attempts: 1"});
            RawCaller caller(fixture.port());
            const auto startedAt = std::chrono::steady_clock::now();
            const RawCaller::Response response = caller.request("GET", "/work");
            BOOST_TEST(response.status == 502U);
            BOOST_TEST(response.header("Pollenspoke-Run") == "unknown");
            BOOST_TEST((std::chrono::steady_clock::now() - startedAt < 2s));
            BOOST_TEST(eventually([&] { return target.hasEnded(); }));
            BOOST_TEST(target.sent() < maxBytesRead);
        }
    }
}

// A body without end can't be told from a long one. It is passed on until the deadline, and must not look complete to the caller.
BOOST_AUTO_TEST_CASE(a_body_without_end_is_cut_at_the_deadline)
{
    ProxyOptions options;
    options.wire.acceptsUnframedResponses = true;
    for (const std::string start : {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"}) {
        ScriptedTarget target([&start](AcceptedConnection &connection) {
            if (connection.readRequest()) {
                connection.send(start);
                while (!connection.waitForClose(10ms)) {
                    connection.send(std::string(partBytes, 'b'));
                }
            }
        });
        ProxyFixture fixture({.targets = {target.address()}, .proxy = options, .routeFields = ", deadline_ms: 800, max_attempts: 1"});
        RawCaller caller(fixture.port());
        const auto startedAt = std::chrono::steady_clock::now();
        const RawCaller::Response response = caller.request("GET", "/work");
        BOOST_TEST((!response.isComplete || response.status >= 500));
        BOOST_TEST((std::chrono::steady_clock::now() - startedAt < 3s));
    }
}
