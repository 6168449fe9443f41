// Events and commands of the quota ledger of one Vm, in virtual time.
#include <boost/test/unit_test.hpp>
#include <limits>
#include <pollenspoke/policy.h>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

const AccountName account{"shop"};
const VmName self{"vm-a"};
const VmName peer{"vm-b"};
constexpr std::uint64_t incarnation = 7;
const Limits limits{.ratePerSecond = 10, .burst = 8};
const VmList bothVms{.vms = {{.name = self, .failureDomain = {"fd-a"}}, {.name = peer, .failureDomain = {"fd-b"}}}};

// One ledger with fresh configuration, on the Vm list, with the account's limits set.
struct Fixture
{
    QuotaLedger ledger{QuotaOptions{}, self, incarnation};
    TimePoint now{1h};
    std::vector<QuotaCommand> commands;

    Fixture()
    {
        handle(VmListSeen{.list = bothVms});
        handle(LimitsSeen{.account = account, .limits = limits});
        handle(FreshnessProved{.since = now});
    }

    void handle(const QuotaEvent &event)
    {
        commands.clear();
        ledger.handle(event, now, commands);
    }

    template<typename Command>
    std::size_t count() const
    {
        std::size_t commandCount = 0;
        for (const QuotaCommand &it : commands) {
            commandCount += std::holds_alternative<Command>(it) ? 1 : 0;
        }
        return commandCount;
    }

    template<typename Command>
    Command onlyCommand() const
    {
        BOOST_REQUIRE_EQUAL(count<Command>(), 1U);
        for (const QuotaCommand &it : commands) {
            if (const auto *match = std::get_if<Command>(&it)) {
                return *match;
            }
        }
        return {};
    }

    void requestArrives() { handle(RequestArrived{.ticket = 1, .account = account}); }

    // Creates the grant; this Vm holds a share of half the limits.
    void createGrant()
    {
        requestArrives();
        BOOST_REQUIRE(!onlyCommand<WriteGrant>().ifVersion.has_value());
        handle(GrantWritten{.account = account, .version = 1});
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(the_first_request_creates_the_grant_and_is_admitted, Fixture)
{
    createGrant();
    BOOST_TEST(count<AdmitRequest>() == 1U);
    BOOST_TEST(ledger.holding(account, now).ownTokens == 3); // half of the burst, minus the request
}

BOOST_FIXTURE_TEST_CASE(nothing_is_admitted_without_a_proof_of_freshness, Fixture)
{
    createGrant();
    now += QuotaOptions{}.freshTerm;
    requestArrives();
    BOOST_TEST(static_cast<int>(onlyCommand<RefuseRequest>().reason) == static_cast<int>(RefusalReason::ConfigurationStale));
    handle(FreshnessProved{.since = now});
    handle(TimePassed{});
    BOOST_TEST(ledger.holding(account, now).ownTokens == 0); // the bucket is emptied when freshness lapses
}

BOOST_FIXTURE_TEST_CASE(a_vm_removed_from_the_list_stops_admitting_at_once, Fixture)
{
    createGrant();
    handle(VmListSeen{.list = {.vms = {bothVms.vms[1]}}});
    requestArrives();
    BOOST_TEST(count<AdmitRequest>() == 0U);
    handle(FreshnessProved{.since = now});
    BOOST_TEST(!ledger.isFresh(now));
}

BOOST_FIXTURE_TEST_CASE(a_write_of_unknown_outcome_is_read_back_before_the_next_write, Fixture)
{
    requestArrives();
    const QuotaGrant grant = onlyCommand<WriteGrant>().grant;
    handle(GrantWriteFailed{.account = account, .code = ErrorCode::OutcomeUnknown});
    BOOST_TEST(count<ReadGrant>() == 1U);
    handle(TimePassed{});
    BOOST_TEST(count<WriteGrant>() == 0U);
    handle(GrantSeen{.account = account, .version = 5, .grant = grant}); // the write had taken effect
    BOOST_TEST(count<WriteGrant>() == 0U);
    BOOST_TEST(ledger.holding(account, now).own.burst == 4);
}

BOOST_FIXTURE_TEST_CASE(a_duplicate_loan_request_gets_the_same_answer_and_lends_once, Fixture)
{
    createGrant();
    const LoanAsk ask{.id = {.borrower = peer, .incarnation = 3, .sequence = 1}, .account = account, .neededTokens = 2, .term = 50ms};
    handle(LoanAsked{ask});
    const LoanAnswer firstAnswer = onlyCommand<AnswerLoan>().answer;
    BOOST_TEST(firstAnswer.tokens == 2);
    handle(LoanAsked{ask});
    BOOST_TEST((onlyCommand<AnswerLoan>().answer == firstAnswer));
    BOOST_TEST(ledger.holding(account, now).lent.burst == 2);
    now += 51ms; // term and margin have ended: the burst returns without its tokens
    handle(TimePassed{});
    BOOST_TEST(ledger.holding(account, now).lent.burst == 0);
    BOOST_TEST(ledger.holding(account, now).ownTokens < 1.6);
}

BOOST_FIXTURE_TEST_CASE(malformed_loan_requests_get_nothing, Fixture)
{
    createGrant();
    const AskId id{.borrower = peer, .incarnation = 3, .sequence = 1};
    for (const LoanAsk &ask :
         {LoanAsk{.id = id, .account = account, .neededTokens = -1, .term = 50ms},
          LoanAsk{.id = id, .account = account, .neededTokens = std::numeric_limits<double>::quiet_NaN(), .term = 50ms},
          LoanAsk{.id = id, .account = account, .neededTokens = 1, .term = 1h}}) {
        handle(LoanAsked{ask});
        BOOST_TEST(onlyCommand<AnswerLoan>().answer.tokens == 0);
    }
    BOOST_TEST(ledger.holding(account, now).lent.burst == 0);
}

BOOST_FIXTURE_TEST_CASE(a_vm_without_tokens_borrows_and_admits, Fixture)
{
    createGrant();
    for (int i = 0; i < 3; ++i) {
        requestArrives();
        BOOST_TEST(count<AdmitRequest>() == 1U);
    }
    requestArrives();
    const LoanAsk ask = onlyCommand<AskLoan>().ask;
    const LoanAnswer answer{.id = ask.id, .account = account, .limits = {.burst = 1}, .tokens = 1, .accountLimits = limits};
    handle(LoanAnswered{answer});
    BOOST_TEST(count<AdmitRequest>() == 1U);
    handle(LoanAnswered{answer}); // duplicate
    BOOST_TEST(ledger.holding(account, now).borrowedTokens == 0);
}

BOOST_FIXTURE_TEST_CASE(a_lowered_limit_applies_before_the_grant_is_rewritten, Fixture)
{
    createGrant();
    handle(LimitsSeen{.account = account, .limits = Limits{.ratePerSecond = 5, .burst = 2}});
    BOOST_TEST(ledger.holding(account, now).own.burst == 1);
    BOOST_TEST(ledger.holding(account, now).own.ratePerSecond == 2.5);
    BOOST_TEST(ledger.holding(account, now).ownTokens == 1);
}

BOOST_FIXTURE_TEST_CASE(the_share_of_a_lost_vm_is_reclaimed_only_after_the_fence, Fixture)
{
    createGrant();
    const VmList listWithoutPeer{.vms = {bothVms.vms[0], {.name = {"vm-c"}, .failureDomain = {"fd-c"}}}};
    const Duration wait = QuotaOptions{}.fence + 2 * QuotaOptions{}.rankDelay;
    std::optional<Duration> reclaimedAfter;
    for (Duration elapsed{0}; elapsed <= wait && !reclaimedAfter; elapsed += 500ms) {
        handle(VmListSeen{.list = listWithoutPeer});
        handle(FreshnessProved{.since = now});
        handle(TimePassed{});
        if (count<WriteGrant>() > 0) {
            reclaimedAfter = elapsed;
        }
        now += 500ms;
    }
    BOOST_REQUIRE(reclaimedAfter.has_value());
    BOOST_TEST((*reclaimedAfter > QuotaOptions{}.fence));
    BOOST_TEST(*onlyCommand<WriteGrant>().ifVersion == 1U);
    BOOST_TEST(onlyCommand<WriteGrant>().grant.shares.back().holder.value == "vm-c"); // a home of the account without a share
}

BOOST_FIXTURE_TEST_CASE(a_vm_that_stops_as_planned_transfers_its_share, Fixture)
{
    createGrant();
    handle(LeaveStarted{});
    BOOST_TEST(onlyCommand<WriteGrant>().grant.shares.size() == 1U);
    BOOST_TEST(onlyCommand<WriteGrant>().grant.shares.front().holder.value == peer.value);
    BOOST_TEST(ledger.holding(account, now).own.burst == 0);
}
