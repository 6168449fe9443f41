// Requests to targets that named in their answers how many a second they take.
#include "announcement.h"
#include "proxy_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

constexpr auto window = 4s;       // of the platform's rule
constexpr double tolerance = 1.5; // of what the limit allows in a window
constexpr double extraRequests = 5;
constexpr auto toldFor = 500ms; // after the first answer that named the limit, requests count
constexpr int callerCount = 8;
constexpr auto playTime = 8s;

double allowed(double limit)
{
    return limit * tolerance * 4 + extraRequests;
}

// Records when requests arrive; its answers carry the given headers, which may change.
class LimitingTarget
{
public:
    explicit LimitingTarget(std::string headers)
        : m_headers(std::move(headers))
        , m_target([this](AcceptedConnection &connection) {
            while (const std::optional<ReceivedRequest> request = connection.readRequest()) {
                std::string text;
                {
                    const std::lock_guard lock(m_mutex);
                    m_arrivals.push_back(std::chrono::steady_clock::now());
                    text = m_headers;
                }
                std::this_thread::sleep_for(5ms);
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + text + "\r\nok");
            }
        })
    {
    }
    Address address() const { return m_target.address(); }
    void setHeaders(std::string headers)
    {
        const std::lock_guard lock(m_mutex);
        m_headers = std::move(headers);
    }
    std::vector<SteadyTime> arrivals() const
    {
        const std::lock_guard lock(m_mutex);
        return m_arrivals;
    }
    // The most requests in a window, of those that arrived `toldFor` after the first one or later.
    std::size_t worstWindow() const
    {
        std::vector<SteadyTime> counted = arrivals();
        const SteadyTime countedFrom = counted.empty() ? SteadyTime() : counted.front() + toldFor;
        std::erase_if(counted, [countedFrom](SteadyTime it) { return it < countedFrom; });
        std::size_t worst = 0;
        for (auto it = counted.begin(); it != counted.end(); ++it) {
            const auto end = std::lower_bound(it, counted.end(), *it + window);
            worst = std::max(worst, static_cast<std::size_t>(end - it));
        }
        return worst;
    }

private:
    mutable std::mutex m_mutex;
    std::string m_headers;
    std::vector<SteadyTime> m_arrivals;
    ScriptedTarget m_target;
};

struct Answers
{
    std::size_t served = 0;
    std::size_t refused = 0; // as not run, with the time until another request can be served
    std::size_t others = 0;
    std::chrono::milliseconds slowestRefusal{0};
};

// Callers send one request after the other.
Answers play(ProxyFixture &fixture, std::chrono::milliseconds time)
{
    std::mutex mutex;
    Answers answers;
    std::vector<std::thread> callers;
    callers.reserve(callerCount);
    for (int i = 0; i < callerCount; ++i) {
        callers.emplace_back([&] {
            const SteadyTime end = std::chrono::steady_clock::now() + time;
            while (std::chrono::steady_clock::now() < end) {
                const SteadyTime sentAt = std::chrono::steady_clock::now();
                const auto response = RawCaller(fixture.port()).request("GET", "/work");
                const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - sentAt);
                const std::lock_guard lock(mutex);
                const bool isRefused
                    = response.status == 503 && response.header("Pollenspoke-Run") == "not-run" && !response.header("Retry-After").empty();
                ++(response.status == 200 ? answers.served : isRefused ? answers.refused : answers.others);
                answers.slowestRefusal = isRefused ? std::max(answers.slowestRefusal, elapsed) : answers.slowestRefusal;
            }
        });
    }
    std::for_each(callers.begin(), callers.end(), [](std::thread &it) { it.join(); });
    return answers;
}

} // namespace

// A target that had named a limit got all that the balancer gave it.
BOOST_AUTO_TEST_CASE(a_target_gets_no_more_than_the_limit_that_it_named)
{
    for (const double limit : {1.0, 2.5, 10.0}) {
        LimitingTarget limited("Server-Limit: " + std::to_string(limit) + "\r\n");
        LimitingTarget other("");
        ProxyFixture fixture({.targets = {limited.address(), other.address()}, .proxy = withoutTargetPauses()});
        const Answers answers = play(fixture, playTime);
        BOOST_TEST(static_cast<double>(limited.worstWindow()) <= allowed(limit), "limit " << limit << ": " << limited.worstWindow());
        BOOST_TEST(static_cast<double>(limited.arrivals().size()) >= limit * 4, "limit " << limit << ": gets its worth");
        BOOST_TEST(answers.refused == 0U);
        BOOST_TEST(answers.others == 0U);
    }
}

// With no other target, requests that don't fit are refused at once instead of waiting for their deadline.
BOOST_AUTO_TEST_CASE(the_only_target_gets_no_more_than_its_limit_and_the_rest_is_refused_at_once)
{
    constexpr double limit = 3;
    LimitingTarget limited("Server-Limit: 3\r\n");
    ProxyFixture fixture(
        {.targets = {limited.address()}, .proxy = withoutTargetPauses(), .routeFields = ", deadline_ms: 1500, objective_ms: 300"});
    const Answers answers = play(fixture, playTime);
    BOOST_TEST(static_cast<double>(limited.worstWindow()) <= allowed(limit), limited.worstWindow());
    BOOST_TEST(limited.arrivals().size() >= 4 * 3U);
    BOOST_TEST(answers.refused > 0U);
    BOOST_TEST(answers.others == 0U);
    BOOST_TEST(answers.slowestRefusal.count() < 600);
}

// The limit lasts as long as the target names it.
BOOST_AUTO_TEST_CASE(an_answer_without_a_limit_ends_it)
{
    LimitingTarget limited("Server-Limit: 5\r\n");
    ProxyFixture fixture({.targets = {limited.address()}, .proxy = withoutTargetPauses()});
    play(fixture, 2s);
    limited.setHeaders("");
    play(fixture, 1s);
    const std::size_t before = limited.arrivals().size();
    play(fixture, 1s);
    BOOST_TEST(limited.arrivals().size() - before > 50U);
}

BOOST_AUTO_TEST_CASE(a_limit_is_a_plain_decimal_number)
{
    BOOST_TEST(parseTargetLimit("0").value() == 0);
    BOOST_TEST(parseTargetLimit("0.25").value() == 0.25);
    BOOST_TEST(parseTargetLimit(" 2.3 ").value() == 2.3);
    BOOST_TEST(parseTargetLimit("9999999999").value() == maxTargetLimit);
    BOOST_TEST(parseTargetLimit(std::string(400, '9')).value() == maxTargetLimit);
    for (const char *it : {"1e3", "-1", "nan", "inf", "2,5", "", " ", "+1", "0x10", "1.2.3", "1 2", "."}) {
        BOOST_TEST(!parseTargetLimit(it).has_value(), it);
    }
}
