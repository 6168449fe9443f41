// Fleet-wide rate limiting with tokens lent between Vms: the account's rate and burst hold under partitions and restarts.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <pollenspoke/policy.h>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

const AccountName account{"shop-1"};

// Tolerance of the platform: (rate * 5 s + burst) * 1.1 + 20 admitted requests in any window of 5 s.
constexpr double windowSeconds = 5;
constexpr double toleratedRatio = 1.1;
constexpr double toleratedExtraRequests = 20;

// At `at`, the first `vms` Vms of the fleet are told that the first `seats` of its seat holders are all of them.
struct SeatChange
{
    TimePoint at;
    std::size_t vms = 0;
    std::size_t seats = 0;
    bool isStoreRestored = false; // the Vms notice that the store was restored from an older copy
    bool isStart = false;         // the Vms start at this time
};

struct Fleet
{
    explicit Fleet(std::size_t vms, std::size_t seats)
        : pools(vms)
    {
        for (std::size_t i = 0; i < seats; ++i) {
            seatHolders.push_back({"vm-" + std::to_string(i)});
        }
        for (std::size_t i = 0; i < vms; ++i) {
            restart(i, TimePoint(1h));
        }
    }

    void restart(std::size_t vm, TimePoint now)
    {
        pools[vm] = QuotaPool();
        pools[vm].addAccount(account, limits, now); // the configuration arrives before the Vm list
        pools[vm].setSeats({"vm-" + std::to_string(vm)}, seatHolders, now);
    }

    void applyChange(const SeatChange &change, TimePoint now)
    {
        const std::vector<VmName> holders(seatHolders.begin(), seatHolders.begin() + static_cast<std::ptrdiff_t>(change.seats));
        for (std::size_t i = 0; i < change.vms; ++i) {
            if (change.isStart) {
                pools[i] = QuotaPool();
                pools[i].addAccount(account, limits, now);
            }
            if (change.isStoreRestored) {
                pools[i].noteStoreRestored(now);
            }
            pools[i].setSeats({"vm-" + std::to_string(i)}, holders, now);
        }
    }

    // One request at a Vm; with `isIsolated` it cannot borrow from other Vms.
    bool admit(std::size_t vm, bool isIsolated, TimePoint now)
    {
        switch (pools[vm].decide(account, limits, now)) {
        case QuotaDecision::Admit:
            return true;
        case QuotaDecision::Refuse:
            return false;
        case QuotaDecision::Ask:
            break;
        }
        std::vector<VmName> homes = pools[vm].homes(account, limits);
        std::shuffle(homes.begin(), homes.end(), generator);
        for (std::size_t i = 0; i < std::min<std::size_t>(homes.size(), 8) && !isIsolated; ++i) {
            const auto lender = static_cast<std::size_t>(std::stoul(homes[i].value.substr(3)));
            if (lender != vm && pools[lender].lend(account, limits, now)) {
                return true;
            }
        }
        pools[vm].noteBorrowFailed(account, now);
        return false;
    }

    Limits limits{.ratePerSecond = 40, .burst = 40};
    std::vector<VmName> seatHolders;
    std::vector<QuotaPool> pools;
    Generator generator{7};
};

struct Load
{
    double requestsPerSecond = 0;
    Duration runTime = 30s;
    std::vector<TimePoint> restartAllAt; // times at which all Vms restart at once
    std::size_t isolatedVms = 0;         // this many of the first Vms cannot borrow
    Duration idleTime = 0s;              // before the first request
    std::vector<SeatChange> seatChanges; // by time
};

struct Outcome
{
    std::size_t sent = 0;
    std::size_t admitted = 0;
    std::size_t maxInWindow = 0;
};

Outcome simulate(Fleet &fleet, const Load &load)
{
    Outcome outcome;
    std::deque<TimePoint> window;
    std::exponential_distribution<double> interarrivalSeconds(load.requestsPerSecond);
    std::uniform_int_distribution<std::size_t> randomVm(0, fleet.seatHolders.size() - 1);
    const TimePoint end = TimePoint(1h) + load.runTime;
    std::size_t restartCount = 0;
    auto seatChange = load.seatChanges.begin();
    for (TimePoint now = TimePoint(1h) + load.idleTime; now < end;
         now += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interarrivalSeconds(fleet.generator)))) {
        if (restartCount < load.restartAllAt.size() && now >= load.restartAllAt[restartCount]) {
            ++restartCount;
            for (std::size_t i = 0; i < fleet.pools.size(); ++i) {
                fleet.restart(i, now);
            }
        }
        for (; seatChange != load.seatChanges.end() && now >= seatChange->at; ++seatChange) {
            fleet.applyChange(*seatChange, now);
        }
        const std::size_t vm = randomVm(fleet.generator);
        ++outcome.sent;
        if (!fleet.admit(vm, vm < load.isolatedVms, now)) {
            continue;
        }
        ++outcome.admitted;
        window.push_back(now);
        while (now - window.front() > std::chrono::duration<double>(windowSeconds)) {
            window.pop_front();
        }
        outcome.maxInWindow = std::max(outcome.maxInWindow, window.size());
    }
    return outcome;
}

double windowLimit(const Limits &limits)
{
    return (limits.ratePerSecond * windowSeconds + limits.burst) * toleratedRatio + toleratedExtraRequests;
}

} // namespace

BOOST_AUTO_TEST_CASE(under_one_percent_of_requests_within_the_rate_are_refused)
{
    Fleet fleet(40, 12);
    const Outcome outcome = simulate(fleet, {.requestsPerSecond = 25});
    BOOST_TEST(static_cast<double>(outcome.sent - outcome.admitted) < 0.01 * static_cast<double>(outcome.sent));
}

// One account sends 7.5 times its rate.
BOOST_AUTO_TEST_CASE(an_account_over_its_rate_gets_the_full_rate_and_no_more)
{
    Fleet fleet(40, 12);
    const Outcome outcome = simulate(fleet, {.requestsPerSecond = 300});
    BOOST_TEST(static_cast<double>(outcome.maxInWindow) <= windowLimit(fleet.limits));
    BOOST_TEST(static_cast<double>(outcome.admitted) >= 0.9 * fleet.limits.ratePerSecond * 30);
}

// Guards against admissions beyond the limits from the first tokens of new processes when all Vms restart at the same time, here
// three times, while an account is far over its rate.
BOOST_AUTO_TEST_CASE(restarts_of_all_vms_make_no_burst)
{
    Fleet fleet(40, 12);
    const TimePoint start(1h);
    const Outcome outcome = simulate(fleet, {.requestsPerSecond = 300, .restartAllAt = {start + 10s, start + 11s, start + 20s}});
    BOOST_TEST(static_cast<double>(outcome.maxInWindow) <= windowLimit(fleet.limits));
}

// Guards against refusals while empty buckets refill after all Vms restart at the same time: 727 requests of accounts within
// their rates were refused in the 2 s after such a restart.
BOOST_AUTO_TEST_CASE(an_account_within_its_rate_is_served_at_once_after_a_restart_of_all_vms)
{
    const TimePoint start(1h);
    for (const double rate : {5.0, 20.0, 80.0}) {
        Fleet fleet(40, 8);
        fleet.limits = {.ratePerSecond = rate, .burst = rate};
        for (std::size_t i = 0; i < fleet.pools.size(); ++i) {
            fleet.restart(i, start);
        }
        const Outcome outcome = simulate(fleet, {.requestsPerSecond = rate / 1.6, .runTime = 2s});
        BOOST_TEST(static_cast<double>(outcome.sent - outcome.admitted) <= 0.1 * static_cast<double>(outcome.sent) + 1);
    }
}

// Vms cut off from the other Vms are still reached by callers.
BOOST_AUTO_TEST_CASE(isolated_vms_admit_no_more_than_their_share)
{
    Fleet fleet(40, 12);
    const Outcome outcome = simulate(fleet, {.requestsPerSecond = 300, .isolatedVms = 6});
    BOOST_TEST(static_cast<double>(outcome.maxInWindow) <= windowLimit(fleet.limits));
}

BOOST_AUTO_TEST_CASE(a_small_account_has_few_homes_so_that_each_can_hold_a_whole_token)
{
    Fleet fleet(99, 32);
    fleet.limits = {.ratePerSecond = 2, .burst = 2};
    for (std::size_t i = 0; i < fleet.pools.size(); ++i) {
        fleet.restart(i, TimePoint(1h));
    }
    const Outcome outcome = simulate(fleet, {.requestsPerSecond = 1.2, .runTime = 120s});
    BOOST_TEST(static_cast<double>(outcome.sent - outcome.admitted) < 0.1 * static_cast<double>(outcome.sent));
    BOOST_TEST(static_cast<double>(outcome.maxInWindow) <= windowLimit(fleet.limits));
}

BOOST_AUTO_TEST_CASE(a_vm_that_loses_its_seat_drops_its_tokens)
{
    Fleet fleet(3, 3);
    const TimePoint now = TimePoint(1h) + 10s;
    fleet.pools[0].setSeats({"vm-0"}, {}, now);
    BOOST_TEST((fleet.pools[0].decide(account, fleet.limits, now) != QuotaDecision::Admit));
}

// Guards against an account's tokens counted twice after a restored store has lost the registrations of most Vms: those that it still
// has took over the shares of the others, which didn't know yet and kept them. Also on a second return within seconds.
BOOST_AUTO_TEST_CASE(a_restored_store_that_lacks_most_vms_does_not_multiply_the_tokens)
{
    const TimePoint restoredAt = TimePoint(1h) + 10s;
    for (const std::size_t informedVms : {2U, 6U, 12U}) {
        Fleet fleet(12, 12);
        const Load load{.requestsPerSecond = 300,
                        .idleTime = 9s,
                        .seatChanges = {{.at = restoredAt, .vms = informedVms, .seats = 2, .isStoreRestored = true},
                                        {.at = restoredAt + 1s, .vms = informedVms, .seats = 2},
                                        {.at = restoredAt + 2s, .vms = 12, .seats = 12},
                                        {.at = restoredAt + 3s, .vms = 12, .seats = 12},
                                        {.at = restoredAt + 5s, .vms = informedVms, .seats = 2, .isStoreRestored = true},
                                        {.at = restoredAt + 7s, .vms = 12, .seats = 12}}};
        const Outcome outcome = simulate(fleet, load);
        BOOST_TEST(static_cast<double>(outcome.maxInWindow) <= windowLimit(fleet.limits),
                   informedVms << " Vms informed: " << outcome.maxInWindow << " admitted");
    }
}

// Guards against an account's tokens counted twice by Vms that start after a restored store has lost most registrations: nothing tells
// them that the list is incomplete.
BOOST_AUTO_TEST_CASE(vms_that_start_with_an_incomplete_list_do_not_multiply_the_tokens)
{
    const TimePoint restoredAt = TimePoint(1h) + 10s;
    for (const std::size_t startedVms : {1U, 2U, 4U, 8U, 12U}) {
        Fleet fleet(12, 12);
        const Load load{.requestsPerSecond = 300,
                        .idleTime = 9s,
                        .seatChanges = {{.at = restoredAt - 100ms, .vms = startedVms, .seats = 0, .isStart = true},
                                        {.at = restoredAt, .vms = startedVms, .seats = 2, .isStoreRestored = true},
                                        {.at = restoredAt + 2s, .vms = 12, .seats = 12},
                                        {.at = restoredAt + 3s, .vms = 12, .seats = 12}}};
        const Outcome outcome = simulate(fleet, load);
        BOOST_TEST(static_cast<double>(outcome.maxInWindow) <= windowLimit(fleet.limits),
                   startedVms << " Vms started: " << outcome.maxInWindow << " admitted");
    }
}

// Guards against proper requests refused by the first Vms of a small fleet, whose store was never restored.
BOOST_AUTO_TEST_CASE(a_vm_that_starts_has_its_whole_share_if_the_store_was_never_restored)
{
    const TimePoint start(1h);
    const Limits limits{.ratePerSecond = 40, .burst = 40};
    QuotaPool pool;
    pool.setSeats({"vm-0"}, {{"vm-0"}}, start);
    pool.addAccount(account, limits, start);
    int admitted = 0;
    for (int i = 0; i < 100; ++i) {
        admitted += pool.decide(account, limits, start + 1s) == QuotaDecision::Admit ? 1 : 0;
    }
    BOOST_TEST(admitted >= 40);
}

// Guards against shares that stay as they were before a return although the Vms that held the others are gone.
BOOST_AUTO_TEST_CASE(seats_of_vms_that_do_not_register_again_are_taken_over_after_the_grace_period)
{
    Fleet fleet(12, 12);
    const TimePoint restoredAt = TimePoint(1h) + 10s;
    fleet.applyChange({.at = restoredAt, .vms = 12, .seats = 2, .isStoreRestored = true}, restoredAt);
    BOOST_TEST(fleet.pools[0].homes(account, fleet.limits).size() == 12U);
    fleet.applyChange({.at = restoredAt + 3s, .vms = 12, .seats = 2}, restoredAt + 3s);
    BOOST_TEST(fleet.pools[0].homes(account, fleet.limits).size() == 2U);
}

// Guards against tokens used by an isolated Vm because it keeps its seat after a return.
BOOST_AUTO_TEST_CASE(an_isolated_vm_drops_its_tokens_also_after_a_return_of_the_store)
{
    Fleet fleet(3, 3);
    const TimePoint now = TimePoint(1h) + 10s;
    fleet.pools[0].noteStoreRestored(now);
    fleet.pools[0].setSeats({"vm-0"}, {}, now);
    BOOST_TEST((fleet.pools[0].decide(account, fleet.limits, now) != QuotaDecision::Admit));
}

// Guards against an account's tokens given out anew each time that the list of Vms is empty for a moment.
BOOST_AUTO_TEST_CASE(an_empty_list_of_vms_gives_no_new_tokens)
{
    Fleet fleet(12, 12);
    std::vector<SeatChange> changes;
    for (TimePoint at = TimePoint(1h) + 10s; at < TimePoint(1h) + 20s; at += 1s) {
        changes.push_back({.at = at, .vms = 12, .seats = 0});
        changes.push_back({.at = at + 100ms, .vms = 12, .seats = 12});
    }
    const Outcome outcome = simulate(fleet, {.requestsPerSecond = 300, .idleTime = 9s, .seatChanges = changes});
    BOOST_TEST(static_cast<double>(outcome.maxInWindow) <= windowLimit(fleet.limits));
}

namespace {

// Rates and bursts from small accounts with few homes to large ones; seats from small fleets to more than the platform's.
struct AccountCase
{
    Limits limits;
    std::size_t seats = 0;
};

std::vector<AccountCase> accountCases()
{
    std::vector<AccountCase> cases;
    for (const double rate : {2.0, 8.0, 40.0, 120.0}) {
        for (const double burst : {0.5, 1.0, 4.0}) { // s of the rate
            for (const std::size_t seats : {1U, 3U, 8U, 16U, 32U}) {
                cases.push_back({.limits = {.ratePerSecond = rate, .burst = std::max(rate * burst, 1.0)}, .seats = seats});
            }
        }
    }
    cases.push_back({.limits = {.ratePerSecond = 2, .burst = 60}, .seats = 40}); // many homes, small rate: whole tokens alone exceed
    return cases;
}

// Most that the fleet can admit in 5 s: the buckets are full at its start, and whatever a Vm has is taken at each step.
// `restartAt(vm)`: time of its restart after the start of the window; beyond the window: none.
double mostInWindow(const AccountCase &it, const std::function<Duration(std::size_t)> &restartAt)
{
    constexpr Duration step = 20ms;
    Fleet fleet(it.seats, it.seats);
    fleet.limits = it.limits;
    const TimePoint start = TimePoint(1h) + 100s;
    for (std::size_t vm = 0; vm < it.seats; ++vm) {
        fleet.restart(vm, TimePoint(1h)); // with the limits of the case
    }
    double admitted = 0;
    std::vector<bool> hasRestarted(it.seats, false);
    for (TimePoint now = start; now <= start + 5s; now += step) {
        for (std::size_t vm = 0; vm < it.seats; ++vm) {
            while (fleet.pools[vm].lend(account, fleet.limits, now)) {
                ++admitted;
            }
            if (!hasRestarted[vm] && now - start >= restartAt(vm)) {
                hasRestarted[vm] = true;
                fleet.restart(vm, now);
            }
        }
    }
    return admitted;
}

std::string nameOf(const AccountCase &it)
{
    return "rate " + std::to_string(it.limits.ratePerSecond) + ", burst " + std::to_string(it.limits.burst) + ", "
        + std::to_string(it.seats) + " seats";
}

} // namespace

// Guards against initial tokens that let an account exceed what the platform tolerates: all buckets are full and given out, then all Vms
// are killed and start at once, at any moment of the window.
BOOST_AUTO_TEST_CASE(the_window_holds_whenever_all_vms_restart_at_once)
{
    for (const AccountCase &it : accountCases()) {
        for (Duration at = 0s; at <= 5s; at += 250ms) {
            BOOST_TEST(mostInWindow(it, [at](std::size_t) { return at; }) <= windowLimit(it.limits), nameOf(it));
        }
    }
}

// The same if the Vms restart one after another, or at random times.
BOOST_AUTO_TEST_CASE(the_window_holds_if_each_vm_restarts_once_in_it)
{
    Generator generator{11};
    std::uniform_int_distribution<int> randomMs(0, 5000);
    for (const AccountCase &it : accountCases()) {
        const auto inTurn = [&it](std::size_t vm) { return Duration(5s) * static_cast<int>(vm) / static_cast<int>(it.seats); };
        BOOST_TEST(mostInWindow(it, inTurn) <= windowLimit(it.limits), nameOf(it));
        for (int i = 0; i < 5; ++i) {
            std::vector<Duration> times(it.seats);
            std::generate(times.begin(), times.end(), [&] { return Duration(randomMs(generator) * 1ms); });
            BOOST_TEST(mostInWindow(it, [&times](std::size_t vm) { return times[vm]; }) <= windowLimit(it.limits), nameOf(it));
        }
    }
}

// Guards against parts of the initial share that add up to more than it: each Vm that starts knows only those that started before.
BOOST_AUTO_TEST_CASE(the_window_holds_if_vms_start_one_after_another_with_growing_lists)
{
    for (const AccountCase &it : accountCases()) {
        if (it.seats > minSeats) {
            continue; // the store has a larger fleet's registrations before its Vms have their seats
        }
        Fleet fleet(it.seats, it.seats);
        fleet.limits = it.limits;
        double admitted = it.limits.burst * QuotaPoolOptions().rateFactor + QuotaPoolOptions().extraBurst; // before the Vms were killed
        const TimePoint start = TimePoint(1h) + 100s;
        for (std::size_t vm = 0; vm < it.seats; ++vm) {
            fleet.pools[vm] = QuotaPool();
        }
        std::size_t started = 0;
        for (TimePoint now = start; now <= start + 5s; now += 20ms) {
            if (started < it.seats && now - start >= 100ms * static_cast<int>(started)) {
                ++started;
                const std::vector<VmName> holders(fleet.seatHolders.begin(),
                                                  fleet.seatHolders.begin() + static_cast<std::ptrdiff_t>(started));
                for (std::size_t vm = 0; vm < started; ++vm) {
                    fleet.pools[vm].addAccount(account, it.limits, now);
                    fleet.pools[vm].setSeats({"vm-" + std::to_string(vm)}, holders, now);
                }
            }
            for (std::size_t vm = 0; vm < started; ++vm) {
                while (fleet.pools[vm].lend(account, it.limits, now)) {
                    ++admitted;
                }
            }
        }
        BOOST_TEST(admitted <= windowLimit(it.limits), nameOf(it) << ": " << admitted);
    }
}

// Guards against refusals for want of tokens after all Vms were killed: accounts below their limits got 429, about 20 each.
BOOST_AUTO_TEST_CASE(from_three_seconds_after_a_start_of_all_vms_no_account_below_its_limits_is_refused)
{
    for (const double rate : {5.0, 20.0, 80.0}) {
        for (const double use : {0.5, 0.8, 0.95}) {
            for (const unsigned seed : {1U, 2U, 3U}) {
                Fleet fleet(40, 8);
                fleet.limits = {.ratePerSecond = rate, .burst = rate};
                fleet.generator.seed(seed);
                const TimePoint start(1h);
                for (std::size_t vm = 0; vm < fleet.pools.size(); ++vm) {
                    fleet.restart(vm, start);
                }
                std::uniform_int_distribution<std::size_t> randomVm(0, fleet.seatHolders.size() - 1);
                const auto interval = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / (rate * use)));
                int refusedEarly = 0;
                int refusedLate = 0;
                for (TimePoint now = start; now < start + 10s; now += interval) {
                    const bool isAdmitted = fleet.admit(randomVm(fleet.generator), false, now);
                    (now < start + 3s ? refusedEarly : refusedLate) += isAdmitted ? 0 : 1;
                }
                BOOST_TEST(refusedLate == 0, "rate " << rate << ", use " << use << ", seed " << seed << ": " << refusedLate);
                BOOST_TEST_MESSAGE("rate " << rate << ", use " << use << ": " << refusedEarly << " refused in the first 3 s");
            }
        }
    }
}
