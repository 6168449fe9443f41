// The cases named fact_* record unsafe behaviour of cxxtools' HTTP client and server, so that a change in the library is
// noticed. The other cases check that HttpClient and HttpServer are free of it.
#include "raw_socket.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cxxtools/eventloop.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>
#include <future>
#include <mutex>
#include <pollenspoke/web.h>

using namespace Pollenspoke;

namespace {

struct ReceivedRequest
{
    std::string method;
    std::string path;
    std::string body;
};

class RequestLog
{
public:
    void add(ReceivedRequest received)
    {
        const std::lock_guard lock(m_mutex);
        m_received.push_back(std::move(received));
    }
    std::vector<ReceivedRequest> all() const
    {
        const std::lock_guard lock(m_mutex);
        return m_received;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<ReceivedRequest> m_received;
};

using BodyWriter = std::function<void(std::ostream &)>;

class RecordingResponder final : public cxxtools::http::Responder
{
public:
    RecordingResponder(cxxtools::http::Service &service, RequestLog &received, const BodyWriter &bodyWriter)
        : cxxtools::http::Responder(service)
        , m_received(received)
        , m_bodyWriter(bodyWriter)
    {
    }

    void reply(std::ostream &out, cxxtools::http::Request &request, cxxtools::http::Reply &) override
    {
        m_received.add({request.method(), request.url(), request.bodyStr()});
        m_bodyWriter(out);
    }

private:
    RequestLog &m_received;
    const BodyWriter &m_bodyWriter;
};

class RecordingService final : public cxxtools::http::Service
{
public:
    RecordingService(RequestLog &received, BodyWriter bodyWriter)
        : m_received(received)
        , m_bodyWriter(std::move(bodyWriter))
    {
    }

private:
    cxxtools::http::Responder *createResponder(const cxxtools::http::Request &) override
    {
        return new RecordingResponder(*this, m_received, m_bodyWriter);
    }
    void releaseResponder(cxxtools::http::Responder *responder) override { delete responder; }

    RequestLog &m_received;
    BodyWriter m_bodyWriter;
};

// The cxxtools server without HttpServer around it.
struct CxxtoolsServer
{
    explicit CxxtoolsServer(BodyWriter bodyWriter = [](std::ostream &out) { out << "ok"; })
        : service(received, std::move(bodyWriter))
        , server(loop)
    {
        server.listen("127.0.0.1", port);
        server.addService(cxxtools::Regex(".*"), service);
        thread = std::thread([this] { loop.run(); });
    }
    ~CxxtoolsServer()
    {
        loop.exit();
        thread.join();
    }

    std::uint16_t port = findFreePort();
    RequestLog received;
    cxxtools::EventLoop loop;
    RecordingService service;
    cxxtools::http::Server server;
    std::thread thread;
};

// HttpServer with a handler that records the requests it receives.
struct RecordingHttpServer
{
    std::uint16_t port = findFreePort();
    RequestLog received;
    HttpServer server{{"127.0.0.1", port}, [this](const HttpRequest &request) {
                          received.add({request.method, request.path, request.body});
                          return HttpReply{200, {}, "ok"};
                      }};
};

std::string makePut(const std::string &headers, const std::string &body)
{
    return "PUT /outer HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n" + body;
}

const std::string smuggledRequest = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n";

std::string makeChunkedBody(const std::string &text)
{
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n0\r\n\r\n";
    return out.str();
}

// Sends `text` to HttpServer and checks that it replies once with `status`, closes the connection, and never calls the handler.
void checkRejectedByHttpServer(const std::string &name, const std::string &text, const std::string &status)
{
    BOOST_TEST_CONTEXT(name)
    {
        RecordingHttpServer httpServer;
        RawSocket caller = RawSocket::connectTo(httpServer.port);
        caller.send(text);
        bool hasEnded = false;
        const std::string answer = caller.readRest(hasEnded);
        BOOST_TEST(answer.substr(0, 12) == "HTTP/1.1 " + status);
        BOOST_TEST(answer.find("HTTP/1.1 ", 1) == std::string::npos, answer);
        BOOST_TEST(hasEnded);
        BOOST_TEST(httpServer.received.all().empty());
    }
}

const std::string keepAliveResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: keep-alive\r\n\r\nok";

// Answers the first request and closes the connection on the second one. Counts the POST requests for /charge.
RawServer::Script closeOnSecondRequest(std::atomic<int> &posts)
{
    return [&posts](RawSocket &socket, int) {
        for (int i = 0; i < 2; ++i) {
            const std::string head = socket.readUntil("\r\n\r\n");
            if (head.empty()) {
                return;
            }
            posts += head.rfind("POST /charge", 0) == 0 ? 1 : 0;
            const bool isFirst = i == 0;
            if (isFirst) {
                socket.send(keepAliveResponse);
            }
        }
    };
}

const std::string truncatedChunkedResponse = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";

} // namespace

BOOST_AUTO_TEST_CASE(fact_1_the_client_resends_a_post_when_a_keep_alive_connection_closes)
{
    std::atomic<int> posts{0};
    RawServer server(closeOnSecondRequest(posts));
    cxxtools::http::Client client("127.0.0.1", server.port());
    cxxtools::http::Request first("/first");
    client.execute(first);
    client.readBody();
    cxxtools::http::Request charge("/charge");
    charge.method("POST");
    client.execute(charge);
    BOOST_TEST(posts == 2);
}

BOOST_AUTO_TEST_CASE(http_client_never_resends_a_post)
{
    std::atomic<int> posts{0};
    RawServer server([&posts](RawSocket &socket, int) { posts += socket.readUntil("\r\n\r\n").rfind("POST /charge", 0) == 0 ? 1 : 0; });
    const HttpClient client({"127.0.0.1", server.port()});
    const HttpExchange exchange = client.send({"POST", "/charge", "", {}, ""}, 2000);
    BOOST_TEST((exchange.outcome == HttpOutcome::AnswerLost));
    BOOST_TEST(posts == 1);
    std::atomic<int> keepAlivePosts{0};
    RawServer keepAliveServer(closeOnSecondRequest(keepAlivePosts));
    const HttpClient second({"127.0.0.1", keepAliveServer.port()});
    BOOST_TEST((second.send({"GET", "/first", "", {}, ""}, 2000).outcome == HttpOutcome::Answered));
    BOOST_TEST((second.send({"POST", "/charge", "", {}, ""}, 2000).outcome == HttpOutcome::Answered));
    BOOST_TEST(keepAlivePosts == 1);
}

BOOST_AUTO_TEST_CASE(fact_2_the_client_accepts_a_truncated_chunked_response_as_complete)
{
    RawServer server([](RawSocket &socket, int) {
        socket.readUntil("\r\n\r\n");
        socket.send(truncatedChunkedResponse);
    });
    cxxtools::http::Client client("127.0.0.1", server.port());
    cxxtools::http::Request request("/list");
    client.execute(request);
    const std::string body = client.readBody(); // does not throw
    BOOST_TEST(body == "part");
}

BOOST_AUTO_TEST_CASE(http_client_accepts_no_response_without_a_matching_content_length)
{
    for (const std::string &text : std::vector<std::string>{truncatedChunkedResponse,
                                                            "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart",
                                                            "HTTP/1.1 200 OK\r\n\r\npart",
                                                            "HTTP/1.1 200 OK\r\nContent-Le"}) {
        RawServer server([&text](RawSocket &socket, int) {
            socket.readUntil("\r\n\r\n");
            socket.send(text);
        });
        const HttpExchange exchange = HttpClient({"127.0.0.1", server.port()}).send({"GET", "/list", "", {}, ""}, 2000);
        BOOST_TEST((exchange.outcome == HttpOutcome::AnswerLost), text);
    }
}

BOOST_AUTO_TEST_CASE(fact_3_the_server_parses_a_chunked_body_as_the_next_request)
{
    CxxtoolsServer cxxtoolsServer;
    RawSocket caller = RawSocket::connectTo(cxxtoolsServer.port);
    caller.send(makePut("Transfer-Encoding: chunked\r\n", makeChunkedBody("hello")));
    BOOST_TEST(caller.readUntil("\r\n\r\nok").rfind("HTTP/1.1 200", 0) == 0U);
    const std::vector<ReceivedRequest> received = cxxtoolsServer.received.all();
    BOOST_REQUIRE(received.size() == 1U);
    BOOST_TEST(received[0].body.empty()); // the handler did not get "hello"
    bool hasEnded = false;
    // The server parses the chunk size line as the start of another request.
    BOOST_TEST(!caller.readRest(hasEnded).empty());
}

BOOST_AUTO_TEST_CASE(http_server_rejects_a_chunked_body_and_parses_nothing_after_it)
{
    checkRejectedByHttpServer("chunked", makePut("Transfer-Encoding: chunked\r\n", makeChunkedBody("hello")), "411");
    checkRejectedByHttpServer("chunked, a request follows", makePut("Transfer-Encoding: chunked\r\n", smuggledRequest), "411");
    checkRejectedByHttpServer("identity", makePut("Transfer-Encoding: identity\r\n", smuggledRequest), "411");
}

BOOST_AUTO_TEST_CASE(fact_4_the_server_accepts_repeated_or_invalid_lengths_and_conflicting_framing)
{
    const std::vector<std::pair<std::string, std::string>> cases{
        {"repeated", makePut("Content-Length: 5\r\nContent-Length: 5\r\n", "hello")},
        {"both framings", makePut("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "hello")},
        {"not a number", makePut("Content-Length: five\r\n", "")},
        {"signed", makePut("Content-Length: +5\r\n", "")},
        {"long header", makePut("A: " + std::string(4000, 'a') + "\r\n", "")},
    };
    for (const auto &it : cases) {
        CxxtoolsServer cxxtoolsServer;
        RawSocket caller = RawSocket::connectTo(cxxtoolsServer.port);
        caller.send(it.second);
        BOOST_TEST(caller.readUntil("\r\n\r\nok").rfind("HTTP/1.1 200", 0) == 0U, it.first);
        BOOST_TEST(cxxtoolsServer.received.all().size() == 1U, it.first);
    }
}

BOOST_AUTO_TEST_CASE(fact_4_the_server_closes_the_connection_without_a_response_at_a_header_block_of_9_kb)
{
    for (const std::size_t size : {9000U, 100000U}) {
        CxxtoolsServer cxxtoolsServer;
        RawSocket caller = RawSocket::connectTo(cxxtoolsServer.port);
        caller.send(makePut("A: " + std::string(size, 'a') + "\r\n", ""));
        bool hasEnded = false;
        BOOST_TEST(caller.readRest(hasEnded).empty());
        BOOST_TEST(hasEnded);
        BOOST_TEST(cxxtoolsServer.received.all().empty());
    }
}

BOOST_AUTO_TEST_CASE(http_server_rejects_repeated_invalid_or_conflicting_lengths)
{
    const auto check = [](const std::string &headers, const std::string &status) {
        checkRejectedByHttpServer(headers, makePut(headers, "hello" + smuggledRequest), status);
    };
    check("Content-Length: 5\r\nContent-Length: 5\r\n", "400");
    check("Content-Length: 5\r\nContent-Length: 0\r\n", "400");
    check("Content-Length: 0\r\ncontent-length: 5\r\n", "400");
    check("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "411");
    check("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "411");
    check("Content-Length: +5\r\n", "400");
    check("Content-Length: 0x5\r\n", "400");
    check("Content-Length: 5, 5\r\n", "400");
    check("Content-Length: five\r\n", "400");
    check("Content-Length: \r\n", "400");
    check("Content-Length: 99999999999999999999999\r\n", "413");
    check("Content_Length: 5\r\nContent-Length: 0\r\n", "400");
    check("Transfer_Encoding: chunked\r\nContent-Length: 0\r\n", "411");
}

BOOST_AUTO_TEST_CASE(http_server_rejects_oversized_bodies_and_header_blocks)
{
    checkRejectedByHttpServer("large body", makePut("Content-Length: 1000000000\r\n", "x"), "413");
    RecordingHttpServer httpServer;
    RawSocket caller = RawSocket::connectTo(httpServer.port);
    caller.send(makePut("A: " + std::string(100000, 'a') + "\r\n", "") + smuggledRequest);
    bool hasEnded = false;
    BOOST_TEST(caller.readRest(hasEnded).empty());
    BOOST_TEST(hasEnded);
    BOOST_TEST(httpServer.received.all().empty());
}

BOOST_AUTO_TEST_CASE(http_server_never_passes_a_truncated_body_to_the_handler)
{
    RecordingHttpServer httpServer;
    {
        RawSocket caller = RawSocket::connectTo(httpServer.port);
        caller.send(makePut("Content-Length: 10\r\n", "hello"));
        caller.shutdownWrite();
        bool hasEnded = false;
        const std::string answer = caller.readRest(hasEnded);
        BOOST_TEST(answer.find(" 200 ") == std::string::npos);
        BOOST_TEST(hasEnded);
    }
    BOOST_TEST(httpServer.received.all().empty());
}

BOOST_AUTO_TEST_CASE(http_server_accepts_a_body_of_1_mib)
{
    RecordingHttpServer httpServer;
    const std::string body(1 << 20, 'v');
    const HttpExchange exchange = HttpClient({"127.0.0.1", httpServer.port}).send({"PUT", "/v1/a", "", {}, body}, 5000);
    BOOST_TEST((exchange.outcome == HttpOutcome::Answered), exchange.problem);
    BOOST_REQUIRE(httpServer.received.all().size() == 1U);
    BOOST_TEST((httpServer.received.all()[0].body == body));
}

BOOST_AUTO_TEST_CASE(fact_5_no_byte_of_a_response_is_sent_before_the_responder_returns)
{
    std::promise<void> finish;
    std::shared_future<void> finished = finish.get_future().share();
    std::atomic<bool> hasWritten{false};
    CxxtoolsServer cxxtoolsServer([&](std::ostream &out) {
        out << std::string(1 << 20, 'a') << std::flush;
        hasWritten = true;
        finished.wait();
    });
    RawSocket caller = RawSocket::connectTo(cxxtoolsServer.port);
    caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    auto first = std::async(std::launch::async, [&] { return caller.readUntil("\r\n\r\n"); });
    while (!hasWritten) {
        std::this_thread::yield();
    }
    BOOST_TEST((first.wait_for(std::chrono::milliseconds(100)) == std::future_status::timeout)); // 1 MiB written, nothing sent yet
    finish.set_value();
    const std::string head = first.get();
    BOOST_TEST(head.find("Content-Length: 1048576\r\n") != std::string::npos, head);
}
