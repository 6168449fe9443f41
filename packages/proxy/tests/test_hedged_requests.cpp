// Hedged requests: a slow attempt and a second one run side by side, and the caller gets exactly one whole answer.
#include "front_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

constexpr auto warmTime = 10ms; // work of a usual request; the delay of the route follows from it
constexpr int warmRequests = 60;

// Two targets that answer /work/warm after `warmTime`. The attempts of any other request run the given scripts, in the order in which
// they arrive at either target.
class HedgeTargets
{
public:
    using Script = std::function<void(AcceptedConnection &, const ReceivedRequest &)>;

    HedgeTargets(Script first, Script second)
        : m_first(std::move(first))
        , m_second(std::move(second))
        , m_one([this](AcceptedConnection &connection) { run(connection); })
        , m_two([this](AcceptedConnection &connection) { run(connection); })
    {
    }
    std::vector<Address> addresses() const { return {m_one.address(), m_two.address()}; }
    int attempts() const { return m_attempts; }
    bool waitForSecond(int n = 2) const
    {
        return eventually([this, n] { return m_attempts >= n; });
    }

private:
    void run(AcceptedConnection &connection)
    {
        while (const std::optional<ReceivedRequest> request = connection.readRequest()) {
            if (pathOf(*request) == "/work/warm") {
                std::this_thread::sleep_for(warmTime);
                connection.respond(*request, "warm");
                continue;
            }
            (m_attempts++ % 2 == 0 ? m_first : m_second)(connection, *request);
        }
    }

    std::atomic<int> m_attempts{0};
    Script m_first;
    Script m_second;
    ScriptedTarget m_one;
    ScriptedTarget m_two;
};

ProxyOptions hedging(std::uint32_t percent = 20)
{
    ProxyOptions options;
    // On a busy machine many of the warm requests are slow, which isn't the matter here.
    options.dispatch.hedge = {.percent = percent, .minObservations = 20, .slowShare = 2};
    return options;
}

const std::string twoAttempts = ", deadline_ms: 6000, max_attempts: 2";

// Lets the proxy learn the route and earn hedges.
void warmUp(RawCaller &caller, int n = warmRequests)
{
    for (int i = 0; i < n; ++i) {
        BOOST_REQUIRE(caller.request("GET", "/work/warm").status == 200U);
    }
}

std::uint32_t countFailures(const TargetUpdates &updates)
{
    std::uint32_t n = 0;
    for (const auto &[service, observations] : updates) {
        for (const TargetObservation &it : observations) {
            n += it.failures;
        }
    }
    return n;
}

std::uint32_t countInFlight(const TargetUpdates &updates)
{
    std::uint32_t n = 0;
    for (const auto &[service, observations] : updates) {
        for (const TargetObservation &it : observations) {
            n += it.inFlight;
        }
    }
    return n;
}

// What happened since its construction.
class Counts
{
public:
    explicit Counts(const Metrics &metrics)
        : m_metrics(metrics)
        , m_before{value(Counter::HedgesSent), value(Counter::HedgesWon), value(Counter::HedgesCancelled)}
    {
    }
    std::uint64_t sent() const { return value(Counter::HedgesSent) - m_before[0]; }
    std::uint64_t won() const { return value(Counter::HedgesWon) - m_before[1]; }
    std::uint64_t cancelled() const { return value(Counter::HedgesCancelled) - m_before[2]; }

private:
    std::uint64_t value(Counter counter) const { return m_metrics.value(counter); }

    const Metrics &m_metrics;
    std::array<std::uint64_t, 3> m_before;
};

void respondWith(AcceptedConnection &connection, const ReceivedRequest &request, const std::string &status, const std::string &headers = "")
{
    connection.send("HTTP/1.1 " + status + "\r\nPollenspoke-Request-Id: " + request.header("Pollenspoke-Request-Id") + "\r\n" + headers
                    + "Content-Length: 5\r\n\r\nerror");
}

// Ways in which an attempt fails.
std::vector<std::pair<std::string, HedgeTargets::Script>> failures()
{
    return {
        {"status 500", [](AcceptedConnection &c, const ReceivedRequest &r) { respondWith(c, r, "500 Internal Server Error"); }},
        {"status 503", [](AcceptedConnection &c, const ReceivedRequest &r) { respondWith(c, r, "503 Service Unavailable"); }},
        {"closed", [](AcceptedConnection &c, const ReceivedRequest &) { c.closeNow(); }},
        {"reset", [](AcceptedConnection &c, const ReceivedRequest &) { c.reset(); }},
        {"invalid status line", [](AcceptedConnection &c, const ReceivedRequest &) { c.send("HTTP/1.1 000 None\r\n\r\n"); }},
        {"truncated",
         [](AcceptedConnection &c, const ReceivedRequest &) {
             c.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
             c.closeNow();
         }},
    };
}

} // namespace

// Without hedges a single slow target costs a request its whole time although others are idle.
BOOST_AUTO_TEST_CASE(the_second_target_answers_for_a_slow_first_one_whose_connection_is_closed_at_once)
{
    std::atomic<bool> isClosed{false};
    HedgeTargets targets([&](AcceptedConnection &c, const ReceivedRequest &) { isClosed = c.waitForClose(3s); },
                         [](AcceptedConnection &c, const ReceivedRequest &r) { c.respond(r, "second"); });
    ProxyFixture fixture({.targets = targets.addresses(), .proxy = hedging(), .routeFields = twoAttempts});
    RawCaller caller(fixture.port());
    warmUp(caller);
    const Counts counts(fixture.metrics());
    const auto startedAt = std::chrono::steady_clock::now();
    const RawCaller::Response response = caller.request("GET", "/work/slow");
    const auto elapsed = std::chrono::steady_clock::now() - startedAt;
    BOOST_TEST(response.status == 200U);
    BOOST_TEST(response.body == "second");
    BOOST_TEST((elapsed < 2s));
    BOOST_TEST(eventually([&] { return isClosed.load(); }));
    BOOST_TEST(caller.unreadBytes().empty());
    BOOST_TEST(targets.attempts() == 2);
    BOOST_TEST(counts.sent() == 1U);
    BOOST_TEST(counts.won() == 1U);
    BOOST_TEST(caller.request("GET", "/work/warm").body == "warm");   // may be hedged as well, on a busy machine
    BOOST_TEST(countFailures(fixture.proxy().targetUpdates()) == 0U); // the loser is no evidence against its target
    BOOST_TEST(eventually([&] { return countInFlight(fixture.proxy().targetUpdates()) == 0; }));
    BOOST_TEST(eventually([&] { return fixture.metrics().value(Counter::AnswersWhole) == static_cast<std::uint64_t>(warmRequests) + 2; }));
}

// Guards against a copy that goes on at its target after the first attempt has answered.
BOOST_AUTO_TEST_CASE(the_hedge_is_cancelled_at_once_when_the_first_attempt_answers)
{
    std::atomic<bool> isClosed{false};
    HedgeTargets *self = nullptr;
    HedgeTargets targets(
        [&](AcceptedConnection &c, const ReceivedRequest &r) {
            self->waitForSecond();
            c.respond(r, "first");
        },
        [&](AcceptedConnection &c, const ReceivedRequest &) { isClosed = c.waitForClose(3s); });
    self = &targets;
    ProxyFixture fixture({.targets = targets.addresses(), .proxy = hedging(), .routeFields = twoAttempts});
    RawCaller caller(fixture.port());
    warmUp(caller);
    const Counts counts(fixture.metrics());
    BOOST_TEST(caller.request("GET", "/work/slow").body == "first");
    BOOST_TEST(eventually([&] { return isClosed.load(); }));
    BOOST_TEST(counts.sent() == 1U);
    BOOST_TEST(counts.won() == 0U);
    BOOST_TEST(counts.cancelled() == 1U);
    BOOST_TEST(countFailures(fixture.proxy().targetUpdates()) == 0U);
    BOOST_TEST(eventually([&] { return countInFlight(fixture.proxy().targetUpdates()) == 0; }));
}

// Guards against two answers to one request, or one made of both.
BOOST_AUTO_TEST_CASE(answers_of_both_at_the_same_moment_give_one_answer)
{
    constexpr int rounds = 25;
    HedgeTargets *self = nullptr;
    std::atomic<int> round{0};
    const auto respondTogether = [&](AcceptedConnection &c, const ReceivedRequest &r) {
        self->waitForSecond(2 * (round + 1));
        c.respond(r, std::string(20000, 'a' + static_cast<char>(round % 20)));
    };
    HedgeTargets targets(respondTogether, respondTogether);
    self = &targets;
    ProxyFixture fixture({.targets = targets.addresses(), .proxy = hedging(), .routeFields = twoAttempts});
    RawCaller caller(fixture.port());
    warmUp(caller);
    for (; round < rounds; ++round) {
        warmUp(caller, 10);
        const Counts counts(fixture.metrics());
        const RawCaller::Response response = caller.request("GET", "/work/slow");
        BOOST_TEST(response.status == 200U);
        BOOST_TEST(response.body == std::string(20000, 'a' + static_cast<char>(round % 20)));
        BOOST_TEST(caller.unreadBytes().empty());
        BOOST_TEST(counts.sent() == 1U);
        BOOST_TEST(counts.won() + counts.cancelled() == 1U);
    }
    BOOST_TEST(eventually([&] { return countInFlight(fixture.proxy().targetUpdates()) == 0; }));
    BOOST_TEST(countFailures(fixture.proxy().targetUpdates()) == 0U);
}

// Guards against a hedge that turns a slow request into a failed one.
BOOST_AUTO_TEST_CASE(a_hedge_that_fails_leaves_the_first_attempt_running)
{
    for (const auto &[name, fail] : failures()) {
        std::atomic<bool> hasFailed{false};
        HedgeTargets targets(
            [&](AcceptedConnection &c, const ReceivedRequest &r) {
                eventually([&] { return hasFailed.load(); });
                std::this_thread::sleep_for(100ms);
                c.respond(r, "first");
            },
            [&, &run = fail](AcceptedConnection &c, const ReceivedRequest &r) {
                run(c, r);
                hasFailed = true;
            });
        ProxyFixture fixture({.targets = targets.addresses(), .proxy = hedging(), .routeFields = twoAttempts});
        RawCaller caller(fixture.port());
        warmUp(caller);
        const Counts counts(fixture.metrics());
        const RawCaller::Response response = caller.request("GET", "/work/slow");
        BOOST_TEST(response.status == 200U, name);
        BOOST_TEST(response.body == "first", name);
        BOOST_TEST(targets.attempts() == 2, name);
        BOOST_TEST(counts.sent() == 1U, name);
        BOOST_TEST(counts.won() == 0U, name);
    }
}

BOOST_AUTO_TEST_CASE(a_first_attempt_that_fails_leaves_the_hedge_running)
{
    for (const auto &[name, fail] : failures()) {
        HedgeTargets *self = nullptr;
        std::atomic<bool> hasFailed{false};
        HedgeTargets targets(
            [&, &run = fail](AcceptedConnection &c, const ReceivedRequest &r) {
                self->waitForSecond();
                run(c, r);
                hasFailed = true;
            },
            [&](AcceptedConnection &c, const ReceivedRequest &r) {
                eventually([&] { return hasFailed.load(); });
                std::this_thread::sleep_for(100ms);
                c.respond(r, "second");
            });
        self = &targets;
        ProxyFixture fixture({.targets = targets.addresses(), .proxy = hedging(), .routeFields = twoAttempts});
        RawCaller caller(fixture.port());
        warmUp(caller);
        const Counts counts(fixture.metrics());
        const RawCaller::Response response = caller.request("GET", "/work/slow");
        BOOST_TEST(response.status == 200U, name);
        BOOST_TEST(response.body == "second", name);
        BOOST_TEST(targets.attempts() == 2, name);
        BOOST_TEST(counts.sent() == 1U, name);
        BOOST_TEST(counts.won() == 1U, name);
    }
}

// Guards against an error answer that is lost because it was held back for the other attempt: without a hedge the caller gets it.
BOOST_AUTO_TEST_CASE(an_error_answer_is_passed_on_if_the_other_attempt_has_none)
{
    for (const bool isFirstClosed : {false, true}) {
        HedgeTargets *self = nullptr;
        std::atomic<bool> hasFailed{false};
        const auto fail = [&](AcceptedConnection &c, const ReceivedRequest &r) {
            self->waitForSecond();
            respondWith(c, r, "500 Internal Server Error");
            hasFailed = true;
        };
        const auto close = [&](AcceptedConnection &c, const ReceivedRequest &) {
            eventually([&] { return hasFailed.load(); });
            std::this_thread::sleep_for(100ms);
            c.closeNow();
        };
        HedgeTargets targets(isFirstClosed ? HedgeTargets::Script(close) : fail, isFirstClosed ? HedgeTargets::Script(fail) : close);
        self = &targets;
        ProxyFixture fixture({.targets = targets.addresses(), .proxy = hedging(), .routeFields = twoAttempts});
        RawCaller caller(fixture.port());
        warmUp(caller);
        const RawCaller::Response response = caller.request("GET", "/work/slow");
        BOOST_TEST(response.status == 500U);
        BOOST_TEST(response.body == "error");
        BOOST_TEST(targets.attempts() == 2);
    }
}

// Guards against more targets than the route allows, when both attempts fail.
BOOST_AUTO_TEST_CASE(a_hedge_counts_as_an_attempt)
{
    HedgeTargets *self = nullptr;
    const auto fail = [&](AcceptedConnection &c, const ReceivedRequest &r) {
        self->waitForSecond();
        const std::string echo = "Pollenspoke-Request-Id: " + r.header("Pollenspoke-Request-Id") + "\r\n";
        c.send("HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 9\r\n\r\nhalf"); // so that not only a kept connection has failed
        c.closeNow();
    };
    HedgeTargets targets(fail, fail);
    self = &targets;
    ProxyFixture fixture({.targets = targets.addresses(), .proxy = hedging(), .routeFields = twoAttempts});
    RawCaller caller(fixture.port());
    warmUp(caller);
    const RawCaller::Response response = caller.request("GET", "/work/slow");
    BOOST_TEST(response.status == 502U);
    BOOST_TEST(response.header("Pollenspoke-Run") == "unknown");
    BOOST_TEST(targets.attempts() == 2);
}

namespace {

// Sends a request whose target takes 400 ms and returns how many attempts it had.
int countAttempts(const ProxyOptions &options,
                  const std::string &method,
                  const std::string &routeFields,
                  std::optional<HedgeHoldback> expected = std::nullopt,
                  const std::function<void(ProxyFixture &)> &prepare = {})
{
    const auto work = [](AcceptedConnection &c, const ReceivedRequest &r) {
        std::this_thread::sleep_for(400ms);
        c.respond(r, "done");
    };
    HedgeTargets targets(work, work);
    ProxyFixture fixture({.targets = targets.addresses(), .proxy = options, .routeFields = routeFields});
    RawCaller caller(fixture.port());
    warmUp(caller);
    if (prepare) {
        prepare(fixture);
    }
    const Counts counts(fixture.metrics());
    BOOST_TEST(caller.request(method, "/work/slow").body == "done");
    BOOST_TEST(counts.sent() == 0U);
    if (expected) {
        BOOST_TEST(fixture.metrics().hedgesHeldBack(*expected) >= 1U);
    }
    return targets.attempts();
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_that_may_run_only_once_is_never_hedged)
{
    BOOST_TEST(countAttempts(hedging(), "POST", twoAttempts) == 1);
}

BOOST_AUTO_TEST_CASE(nothing_is_hedged_unless_the_operators_ask_for_it)
{
    BOOST_TEST(ProxyOptions().dispatch.hedge.percent == 0U);
    BOOST_TEST(countAttempts(hedging(0), "GET", twoAttempts) == 1);
}

BOOST_AUTO_TEST_CASE(nothing_is_hedged_during_a_planned_stop)
{
    const auto stop = [](ProxyFixture &fixture) { fixture.proxy().beginLeave({.acceptTime = 20s, .totalTime = 20s}); };
    BOOST_TEST(countAttempts(hedging(), "GET", twoAttempts, HedgeHoldback::Stopping, stop) == 1);
}

BOOST_AUTO_TEST_CASE(a_route_with_one_attempt_is_not_hedged)
{
    BOOST_TEST(countAttempts(hedging(), "GET", ", deadline_ms: 6000, max_attempts: 1", HedgeHoldback::Attempts) == 1);
}

BOOST_AUTO_TEST_CASE(a_hedge_waits_for_the_retry_budget)
{
    ProxyOptions options = hedging();
    options.dispatch.retryBudget = {.ratio = 0, .reserve = 0};
    BOOST_TEST(countAttempts(options, "GET", twoAttempts, HedgeHoldback::RetryBudget) == 1);
}

// Guards against a race of answers of which one is on its way to the caller.
BOOST_AUTO_TEST_CASE(nothing_is_hedged_after_the_first_bytes_of_an_answer)
{
    const auto stall = [](AcceptedConnection &c, const ReceivedRequest &r) {
        const std::string echo = "Pollenspoke-Request-Id: " + r.header("Pollenspoke-Request-Id") + "\r\n";
        c.send("HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 8\r\n\r\nhalf");
        std::this_thread::sleep_for(500ms);
        c.send("full");
    };
    for (const std::uint64_t wholeAnswerBytes : {262144U, 2U}) {
        HedgeTargets targets(stall, stall);
        ProxyOptions options = hedging();
        options.dispatch.wholeAnswerBytes = wholeAnswerBytes;
        ProxyFixture fixture({.targets = targets.addresses(), .proxy = options, .routeFields = twoAttempts});
        RawCaller caller(fixture.port());
        // Answers that are streamed give no latencies, so the route is learnt from answers without a body.
        for (int i = 0; i < warmRequests; ++i) {
            caller.send(makeRequest("HEAD", "/work/warm"));
            BOOST_REQUIRE(caller.readResponse(true).status == 200U);
        }
        const Counts counts(fixture.metrics());
        BOOST_TEST(caller.request("GET", "/work/slow").body == "halffull");
        BOOST_TEST(targets.attempts() == 1);
        BOOST_TEST(counts.sent() == 0U);
    }
}

// Guards against a slow attempt that goes on while the answer of its hedge is streamed.
BOOST_AUTO_TEST_CASE(a_hedge_whose_answer_is_streamed_ends_the_first_attempt_before_the_stream)
{
    std::atomic<bool> isClosed{false};
    std::atomic<bool> wasClosedDuringStream{false};
    HedgeTargets targets([&](AcceptedConnection &c, const ReceivedRequest &) { isClosed = c.waitForClose(4s); },
                         [&](AcceptedConnection &c, const ReceivedRequest &r) {
                             const std::string echo = "Pollenspoke-Request-Id: " + r.header("Pollenspoke-Request-Id") + "\r\n";
                             c.send("HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 8000\r\n\r\n" + std::string(4000, 'x'));
                             wasClosedDuringStream = eventually([&] { return isClosed.load(); });
                             c.send(std::string(4000, 'y'));
                         });
    ProxyOptions options = hedging();
    options.dispatch.wholeAnswerBytes = 2000;
    ProxyFixture fixture({.targets = targets.addresses(), .proxy = options, .routeFields = twoAttempts});
    RawCaller caller(fixture.port());
    warmUp(caller);
    const Counts counts(fixture.metrics());
    const RawCaller::Response response = caller.request("GET", "/work/slow");
    BOOST_TEST(response.isComplete);
    BOOST_TEST(response.body == std::string(4000, 'x') + std::string(4000, 'y'));
    BOOST_TEST(wasClosedDuringStream);
    BOOST_TEST(eventually([&] { return counts.won() == 1; })); // counted after the last bytes were sent
}

// Guards against what the loser announced being lost.
BOOST_AUTO_TEST_CASE(announcements_of_both_attempts_are_read)
{
    std::atomic<bool> hasFailed{false};
    HedgeTargets targets(
        [&](AcceptedConnection &c, const ReceivedRequest &r) {
            eventually([&] { return hasFailed.load(); });
            std::this_thread::sleep_for(100ms);
            c.respond(r, "first");
        },
        [&](AcceptedConnection &c, const ReceivedRequest &r) {
            respondWith(c, r, "503 Service Unavailable", "Server-Leaving: 1\r\n");
            hasFailed = true;
        });
    ProxyFixture fixture({.targets = targets.addresses(), .proxy = hedging(), .routeFields = twoAttempts});
    RawCaller caller(fixture.port());
    warmUp(caller);
    BOOST_TEST(caller.request("GET", "/work/slow").body == "first");
    BOOST_TEST(fixture.metrics().value(Counter::LeavingAnnouncements) == 1U);
}

// Guards against attempts that go on, or speak against their targets, after the caller has left.
BOOST_AUTO_TEST_CASE(a_caller_that_leaves_ends_both_attempts)
{
    std::atomic<int> closed{0};
    const auto wait = [&](AcceptedConnection &c, const ReceivedRequest &) { closed += c.waitForClose(5s) ? 1 : 0; };
    HedgeTargets targets(wait, wait);
    ProxyFixture fixture({.targets = targets.addresses(), .proxy = hedging(), .routeFields = twoAttempts});
    {
        RawCaller caller(fixture.port());
        warmUp(caller);
        caller.send(makeRequest("GET", "/work/slow"));
        BOOST_REQUIRE(targets.waitForSecond());
    }
    BOOST_TEST(eventually([&] { return closed == 2; }));
    BOOST_TEST(eventually([&] { return countInFlight(fixture.proxy().targetUpdates()) == 0; }));
    BOOST_TEST(countFailures(fixture.proxy().targetUpdates()) == 0U);
    BOOST_TEST(fixture.metrics().value(Counter::HedgesSent)
               == fixture.metrics().value(Counter::HedgesWon) + fixture.metrics().value(Counter::HedgesCancelled));
}
