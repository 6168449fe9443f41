// The soak's own checks: each must find the violation that it is there for.
#include "../ledger.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;

namespace {

const std::map<std::string, AccountBound> noBounds;

SentRequest order(const std::string &account = "a")
{
    return {.account = account, .method = "POST", .path = "/write/1", .body = "order", .service = "s-write", .isRetryable = false};
}

SeenRun runOf(const std::string &id, const std::string &account = "a")
{
    return {.id = id, .account = account, .method = "POST", .path = "/write/1", .body = "order", .service = "s-write"};
}

SeenAnswer wholeAnswer(const std::string &id)
{
    return {.status = 200, .id = id, .body = Ledger::bodyFor(id), .isProved = true};
}

bool finds(const Ledger &ledger, const std::string &rule, const std::map<std::string, AccountBound> &bounds = noBounds)
{
    const std::vector<std::string> found = ledger.violations(bounds);
    return std::any_of(found.begin(), found.end(), [&rule](const std::string &it) { return it.starts_with(rule); });
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_that_runs_once_and_is_answered_whole_breaks_nothing)
{
    Ledger ledger;
    ledger.noteSent("1", order());
    ledger.noteRun(runOf("1"));
    ledger.noteAnswer("1", wholeAnswer("1"));
    BOOST_TEST(ledger.violations(noBounds).empty());
}

BOOST_AUTO_TEST_CASE(a_second_run_of_an_order_is_found)
{
    Ledger ledger;
    ledger.noteSent("1", order());
    ledger.noteRun(runOf("1"));
    ledger.noteRun(runOf("1"));
    BOOST_TEST(finds(ledger, "TWICE"));
}

BOOST_AUTO_TEST_CASE(a_refusal_of_an_order_that_has_run_or_runs_later_is_found)
{
    Ledger ranBefore;
    ranBefore.noteSent("1", order());
    ranBefore.noteRun(runOf("1"));
    ranBefore.noteAnswer("1", {.status = 503});
    BOOST_TEST(finds(ranBefore, "REFUSED"));
    Ledger ranLater;
    ranLater.noteSent("1", order());
    ranLater.noteAnswer("1", {.status = 429});
    ranLater.noteRun(runOf("1"));
    BOOST_TEST(finds(ranLater, "REFUSED"));
}

BOOST_AUTO_TEST_CASE(a_run_that_nobody_asked_for_or_that_was_changed_is_found)
{
    Ledger unknown;
    unknown.noteRun(runOf("1"));
    BOOST_TEST(finds(unknown, "UNASKED"));
    Ledger others;
    others.noteSent("1", order());
    others.noteRun(runOf("1", "b"));
    BOOST_TEST(finds(others, "UNASKED"));
    Ledger changed;
    changed.noteSent("1", order());
    SeenRun run = runOf("1");
    run.body = "two orders";
    changed.noteRun(run);
    BOOST_TEST(finds(changed, "UNASKED"));
    Ledger keyed;
    keyed.noteSent("1", order());
    SeenRun withKey = runOf("1");
    withKey.carriesKey = true;
    keyed.noteRun(withKey);
    BOOST_TEST(finds(keyed, "UNASKED"));
}

BOOST_AUTO_TEST_CASE(a_run_at_another_service_is_found)
{
    Ledger ledger;
    ledger.noteSent("1", order());
    SeenRun run = runOf("1");
    run.service = "s-read";
    ledger.noteRun(run);
    BOOST_TEST(finds(ledger, "ROUTE"));
}

BOOST_AUTO_TEST_CASE(a_success_of_another_request_or_without_a_signature_is_found)
{
    Ledger ledger;
    ledger.noteSent("1", order());
    ledger.noteAnswer("1", wholeAnswer("2"));
    BOOST_TEST(finds(ledger, "MIXED"));
    Ledger unproved;
    unproved.noteSent("1", order());
    unproved.noteAnswer("1", {.status = 200, .id = "1", .body = Ledger::bodyFor("1")});
    BOOST_TEST(finds(unproved, "MIXED"));
}

BOOST_AUTO_TEST_CASE(more_runs_of_an_account_than_its_quota_are_found)
{
    Ledger ledger;
    const AccountBound bound{.ratePerSecond = 1, .burst = 1}; // 26 in 5 s with what is tolerated
    for (int i = 0; i < 27; ++i) {
        ledger.noteSent(std::to_string(i), order());
        ledger.noteRun(runOf(std::to_string(i)));
        BOOST_TEST(finds(ledger, "QUOTA", {{"a", bound}}) == (i >= 26));
    }
}

BOOST_AUTO_TEST_CASE(a_run_without_an_answer_is_told)
{
    Ledger ledger;
    const auto since = Ledger::Clock::now();
    ledger.noteSent("1", order());
    ledger.noteRun(runOf("1"));
    ledger.noteAnswer("1", {});
    BOOST_TEST(ledger.unansweredRunsSince(since).size() == 1U);
    BOOST_TEST(ledger.servedShareSince(since) == 0.0);
}
