// The checks of the soak test themselves: each must report the violation that it guards against.
#include "../ledger.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace Pollenspoke;

namespace {

const std::map<std::string, AccountLimits> noLimits;

SentRequest makeOrder(const std::string &account = "a")
{
    return {.account = account, .method = "POST", .path = "/write/1", .body = "order", .service = "s-write", .isIdempotent = false};
}

Execution makeExecution(const std::string &id, const std::string &account = "a")
{
    return {.id = id, .account = account, .method = "POST", .path = "/write/1", .body = "order", .service = "s-write"};
}

ReceivedResponse makeResponse(const std::string &id)
{
    return {.status = 200, .id = id, .body = Ledger::expectedBody(id), .isSigned = true};
}

bool hasViolation(const Ledger &ledger, const std::string &guarantee, const std::map<std::string, AccountLimits> &limits = noLimits)
{
    const std::vector<std::string> violations = ledger.violations(limits);
    return std::any_of(violations.begin(), violations.end(), [&guarantee](const std::string &it) { return it.starts_with(guarantee); });
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_that_runs_once_and_is_answered_whole_breaks_nothing)
{
    Ledger ledger;
    ledger.recordRequest("1", makeOrder());
    ledger.recordExecution(makeExecution("1"));
    ledger.recordResponse("1", makeResponse("1"));
    BOOST_TEST(ledger.violations(noLimits).empty());
}

BOOST_AUTO_TEST_CASE(a_second_run_of_an_order_is_found)
{
    Ledger ledger;
    ledger.recordRequest("1", makeOrder());
    ledger.recordExecution(makeExecution("1"));
    ledger.recordExecution(makeExecution("1"));
    BOOST_TEST(hasViolation(ledger, "TWICE"));
}

BOOST_AUTO_TEST_CASE(a_refusal_of_an_order_that_has_run_or_runs_later_is_found)
{
    Ledger executedBefore;
    executedBefore.recordRequest("1", makeOrder());
    executedBefore.recordExecution(makeExecution("1"));
    executedBefore.recordResponse("1", {.status = 503});
    BOOST_TEST(hasViolation(executedBefore, "REFUSED"));
    Ledger executedLater;
    executedLater.recordRequest("1", makeOrder());
    executedLater.recordResponse("1", {.status = 429});
    executedLater.recordExecution(makeExecution("1"));
    BOOST_TEST(hasViolation(executedLater, "REFUSED"));
}

BOOST_AUTO_TEST_CASE(a_run_that_nobody_asked_for_or_that_was_changed_is_found)
{
    Ledger neverSent;
    neverSent.recordExecution(makeExecution("1"));
    BOOST_TEST(hasViolation(neverSent, "UNASKED"));
    Ledger otherAccount;
    otherAccount.recordRequest("1", makeOrder());
    otherAccount.recordExecution(makeExecution("1", "b"));
    BOOST_TEST(hasViolation(otherAccount, "UNASKED"));
    Ledger changed;
    changed.recordRequest("1", makeOrder());
    Execution execution = makeExecution("1");
    execution.body = "two orders";
    changed.recordExecution(execution);
    BOOST_TEST(hasViolation(changed, "UNASKED"));
    Ledger leakedKey;
    leakedKey.recordRequest("1", makeOrder());
    Execution withKey = makeExecution("1");
    withKey.hasCallerKey = true;
    leakedKey.recordExecution(withKey);
    BOOST_TEST(hasViolation(leakedKey, "UNASKED"));
}

BOOST_AUTO_TEST_CASE(a_run_at_another_service_is_found)
{
    Ledger ledger;
    ledger.recordRequest("1", makeOrder());
    Execution execution = makeExecution("1");
    execution.service = "s-read";
    ledger.recordExecution(execution);
    BOOST_TEST(hasViolation(ledger, "ROUTE"));
}

BOOST_AUTO_TEST_CASE(a_success_of_another_request_or_without_a_signature_is_found)
{
    Ledger ledger;
    ledger.recordRequest("1", makeOrder());
    ledger.recordResponse("1", makeResponse("2"));
    BOOST_TEST(hasViolation(ledger, "MIXED"));
    Ledger unsignedResponse;
    unsignedResponse.recordRequest("1", makeOrder());
    unsignedResponse.recordResponse("1", {.status = 200, .id = "1", .body = Ledger::expectedBody("1")});
    BOOST_TEST(hasViolation(unsignedResponse, "MIXED"));
}

BOOST_AUTO_TEST_CASE(more_runs_of_an_account_than_its_quota_are_found)
{
    Ledger ledger;
    const AccountLimits limit{.ratePerSecond = 1, .burst = 1}; // at most 26 in 5 s: (1 * 5 + 1) * 1.1 + 20, rounded down
    for (int i = 0; i < 27; ++i) {
        ledger.recordRequest(std::to_string(i), makeOrder());
        ledger.recordExecution(makeExecution(std::to_string(i)));
        BOOST_TEST(hasViolation(ledger, "QUOTA", {{"a", limit}}) == (i >= 26));
    }
}

BOOST_AUTO_TEST_CASE(a_run_without_an_answer_is_told)
{
    Ledger ledger;
    const auto since = Ledger::Clock::now();
    ledger.recordRequest("1", makeOrder());
    ledger.recordExecution(makeExecution("1"));
    ledger.recordResponse("1", {});
    BOOST_TEST(ledger.unansweredExecutionsSince(since).size() == 1U);
    BOOST_TEST(ledger.successRateSince(since) == 0.0);
}

BOOST_AUTO_TEST_CASE(a_request_to_a_target_that_announced_its_leaving_to_that_vm_is_a_violation)
{
    Ledger ledger;
    const auto send = [&ledger](const std::string &id, const std::string &vm) {
        ledger.recordRequest(id, {.account = "busy", .vm = vm});
        ledger.recordArrival(id, "i-1");
    };
    send("r-1", "vm-1");
    ledger.recordResponse("r-1", {.status = 404, .leavingInstance = "i-1"});
    send("r-2", "vm-1"); // within the drain time
    std::this_thread::sleep_for(std::chrono::milliseconds(2100));
    send("r-3", "vm-2"); // another Vm, which hasn't been told
    BOOST_TEST(ledger.violations({}).empty());
    send("r-4", "vm-1");
    BOOST_TEST(ledger.violations({}).size() == 1U);
    ledger.forgetAnnouncements("vm-1");
    send("r-5", "vm-1");
    BOOST_TEST(ledger.violations({}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(more_requests_than_a_target_takes_from_the_vms_that_it_told_are_a_violation)
{
    Ledger ledger;
    int number = 0;
    const auto send = [&ledger, &number](const std::string &vm) {
        std::string id = "r-" + std::to_string(++number);
        ledger.recordRequest(id, {.account = "busy", .vm = vm});
        ledger.recordArrival(id, "i-1");
        return id;
    };
    ledger.recordLimit("i-1", 1); // allows 11 in 4 s
    ledger.recordResponse(send("vm-1"), {.status = 404, .limitingInstance = "i-1"});
    ledger.recordResponse(send("vm-2"), {.status = 404, .limitingInstance = "i-1"});
    std::this_thread::sleep_for(std::chrono::milliseconds(3050));
    for (int i = 0; i < 30; ++i) {
        send("vm-3"); // hasn't been told
    }
    for (int i = 0; i < 11; ++i) {
        send(i % 2 == 0 ? "vm-1" : "vm-2");
    }
    BOOST_TEST(ledger.violations({}).empty());
    send("vm-1");
    BOOST_TEST(ledger.violations({}).size() == 1U);
    ledger.recordLimit("i-1", std::nullopt);
    send("vm-1");
    BOOST_TEST(ledger.violations({}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_third_request_during_a_pause_that_a_target_asked_for_is_a_violation)
{
    Ledger ledger;
    const auto send = [&ledger](const std::string &id) {
        ledger.recordRequest(id, {.account = "busy", .vm = "vm-1"});
        ledger.recordArrival(id, "i-1");
    };
    send("r-1");
    ledger.recordPause("r-1", "i-1", std::chrono::seconds(30));
    send("r-2"); // may have been sent before the answer arrived
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    send("r-3");
    send("r-4");
    BOOST_TEST(ledger.violations({}).empty());
    send("r-5");
    BOOST_TEST(ledger.violations({}).size() == 1U);
}
