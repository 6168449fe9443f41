// Random requests to three targets with random faults on every connection. Checks that no POST runs twice, that no caller gets
// a partial response or that of another request, and that a not-run refusal is true.
#include "proxy_fixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <pollenspoke/policy.h>

using namespace Pollenspoke;

namespace {

constexpr std::size_t targetCount = 3;
constexpr std::size_t callerCount = 4;
constexpr std::size_t requestsPerCaller = 40;

std::string pathOf(const ReceivedRequest &request)
{
    const auto start = request.head.find(' ') + 1;
    return request.head.substr(start, request.head.find(' ', start) - start);
}

// The correct response body of a request; unique to its path.
std::string expectedBody(const std::string &path)
{
    return "response to " + path + ";" + std::string(stableHash(path) % 3000, 'x');
}

constexpr std::uint64_t shedResponse = 9; // configured in not_run_answers

void respondWithFault(AcceptedConnection &connection, const ReceivedRequest &request, std::uint64_t fault)
{
    const std::string id = "Pollenspoke-Request-Id: " + request.header("Pollenspoke-Request-Id") + "\r\n";
    const std::string body = expectedBody(pathOf(request));
    const std::string complete = makeResponse(body, id);
    switch (fault) {
    case 0:
        connection.readUntilClose();
        return;
    case 1:
        connection.reset();
        return;
    case 2:
        connection.closeNow();
        return;
    case 3:
        connection.send(complete.substr(0, complete.size() - 1));
        connection.closeNow();
        return;
    case 4:
        connection.send(complete.substr(0, complete.size() / 2));
        connection.reset();
        return;
    case 5:
        connection.send("HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n5\r\n" + body.substr(0, 5) + "\r\n");
        connection.closeNow();
        return;
    case 6:
        connection.send("HTTP/1.1 200 OK\r\n" + id + "\r\n" + body);
        connection.closeNow();
        return;
    case 7:
        connection.send(makeResponse("response to another request", "Pollenspoke-Request-Id: 00\r\n"));
        return;
    case 8:
        connection.send(complete + makeResponse("surplus response"));
        return;
    case shedResponse:
        connection.send("HTTP/1.1 503 Busy\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n");
        return;
    case 10:
        connection.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        return;
    default:
        connection.send(complete);
        return;
    }
}

// Collects the heads of requests that targets declined with the configured not-run response. Thread-safe.
class DeclinedRequests
{
public:
    void add(const std::string &head)
    {
        const std::lock_guard lock(m_mutex);
        m_heads.push_back(head);
    }
    std::vector<std::string> heads() const
    {
        const std::lock_guard lock(m_mutex);
        return m_heads;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_heads;
};

// The fault of a connection and of each request on it is determined by the seed, the target and the connection's index.
ScriptedTarget::Script makeFaultyScript(std::uint64_t seed, std::size_t target, DeclinedRequests &declined)
{
    return [seed, target, &declined](AcceptedConnection &connection) {
        Generator generator(seed * 1000003 + target * 1009 + connection.number());
        constexpr std::uint64_t outcomes = 24; // 0 to 10 are faults, the rest are correct responses
        if (generator() % 12 == 0) {
            connection.readBytes(generator() % 200);
            connection.reset();
            return;
        }
        while (const auto request = connection.readRequest()) {
            const std::uint64_t fault = generator() % outcomes;
            if (fault == shedResponse) {
                declined.add(request->head);
            }
            respondWithFault(connection, *request, fault);
        }
    };
}

struct Outcome
{
    std::string method;
    std::string path;
    RawCaller::Response response;
};

std::vector<Outcome> runCaller(std::uint16_t port, std::uint64_t seed, std::size_t number)
{
    Generator generator(seed * 7919 + number);
    std::vector<Outcome> outcomes;
    for (std::size_t i = 0; i < requestsPerCaller; ++i) {
        RawCaller caller(port);
        const bool isPost = generator() % 2 == 0;
        const std::string path = "/work/" + std::to_string(number) + "-" + std::to_string(i) + "-";
        const std::string method = isPost ? "POST" : "GET";
        outcomes.push_back({.method = method, .path = path, .response = caller.request(method, path, isPost ? std::string(500, 'o') : "")});
    }
    return outcomes;
}

// Counts the texts (the bytes of a connection, or the head of a request) that contain the request line.
std::size_t countWithLine(const std::vector<std::string> &texts, const std::string &requestLine)
{
    return static_cast<std::size_t>(std::count_if(
        texts.begin(), texts.end(), [&requestLine](const std::string &it) { return it.find(requestLine) != std::string::npos; }));
}

void checkOutcome(const Outcome &outcome, const std::vector<std::string> &received, const std::vector<std::string> &declined)
{
    const std::string line = outcome.method + " " + outcome.path + " ";
    const std::string run = outcome.response.header("Pollenspoke-Run");
    BOOST_TEST(outcome.response.isComplete, line << "got a partial response: " << outcome.response.head);
    if (outcome.response.status == 200) {
        BOOST_TEST((outcome.response.body == expectedBody(outcome.path)), line << "got the wrong response");
    }
    const std::size_t timesRun = countWithLine(received, line) - countWithLine(declined, line);
    if (outcome.method == "POST") {
        BOOST_TEST(timesRun <= 1U, line << " ran " << timesRun << " times");
    }
    if (run == "not-run") {
        BOOST_TEST(timesRun == 0U, line << "ran, but the refusal says not-run");
    }
    if (outcome.response.status != 200 && run.empty()) {
        BOOST_TEST(outcome.response.status == 503U, line << "got a response that no target sent");
    }
    if (outcome.response.status == 200) {
        BOOST_TEST(timesRun >= 1U, line << "was answered, but never ran");
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(dispatch_invariants_hold_under_random_faults)
{
    for (const std::uint64_t seed : {1U, 2U, 3U, 4U}) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            DeclinedRequests declined;
            std::list<ScriptedTarget> targets;
            for (std::size_t i = 0; i < targetCount; ++i) {
                targets.emplace_back(makeFaultyScript(seed, i, declined));
            }
            FixtureOptions options{.routeFields = ", deadline_ms: 300",
                                   .serviceFields = ", not_run_answers: [{status: 503, header: X-Shed}]"};
            for (const ScriptedTarget &it : targets) {
                options.targets.push_back(it.address());
            }
            std::vector<std::vector<Outcome>> outcomes(callerCount);
            {
                ProxyFixture fixture(options);
                std::vector<std::thread> callers;
                for (std::size_t i = 0; i < callerCount; ++i) {
                    callers.emplace_back([&, i] { outcomes[i] = runCaller(fixture.port(), seed, i); });
                }
                for (std::thread &it : callers) {
                    it.join();
                }
            }
            std::vector<std::string> received;
            for (const ScriptedTarget &it : targets) {
                for (std::string &bytes : it.receivedBytes()) {
                    BOOST_TEST((bytes.find(testSecret) == std::string::npos));
                    received.push_back(std::move(bytes));
                }
            }
            std::size_t answered = 0;
            for (const std::vector<Outcome> &callerOutcomes : outcomes) {
                for (const Outcome &it : callerOutcomes) {
                    checkOutcome(it, received, declined.heads());
                    answered += it.response.status == 200 ? 1 : 0;
                }
            }
            BOOST_TEST(answered > callerCount * requestsPerCaller / 2); // otherwise too few responses were checked
        }
    }
}
