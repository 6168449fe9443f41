// Quota ledgers during a store outage of several hours, in virtual time, while Vms die and restart.
#include <boost/test/unit_test.hpp>
#include <deque>
#include <pollenspoke/policy.h>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t vmCount = 5;
constexpr Duration stepDuration = 50ms;
constexpr std::size_t stepsPerDelivery = 10; // of the configuration and the Vm list to each Vm
constexpr Duration outageDuration = 4h;
const AccountName account{"shop"};
const Limits limits{.ratePerSecond = 300, .burst = 100}; // gives five homes, so every Vm holds a share

// Five Vms with instant message delivery, and a store that can be down.
class OutageFleet
{
public:
    OutageFleet()
    {
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            start(vm);
        }
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            deliverConfiguration(vm); // again, now that all Vms are on the list
        }
    }

    void start(std::size_t vm)
    {
        m_ledgers[vm].emplace(QuotaOptions{}, name(vm), m_nextIncarnation++);
        deliverConfiguration(vm);
    }

    void kill(std::size_t vm) { m_ledgers[vm].reset(); }
    void setStoreDown(bool isDown) { m_isStoreDown = isDown; }

    // Advances time by one step, with `requests` requests at each live Vm; returns how many were admitted.
    std::size_t advance(std::size_t requests)
    {
        m_now += stepDuration;
        ++m_steps;
        const std::size_t admittedBefore = m_admitted;
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            if (!m_ledgers[vm]) {
                continue;
            }
            if (m_steps % stepsPerDelivery == 0) {
                deliverConfiguration(vm);
            }
            handle(vm, TimePassed{});
            for (std::size_t i = 0; i < requests; ++i) {
                ++m_arrived;
                handle(vm, RequestArrived{.ticket = m_arrived, .account = account});
            }
        }
        checkAdmitted(m_admitted - admittedBefore);
        return m_admitted - admittedBefore;
    }

    std::size_t arrived() const { return m_arrived; }
    std::size_t admitted() const { return m_admitted; }
    bool limitsExceeded() const { return m_limitsExceeded; }
    std::size_t writes() const { return m_writes; }
    const QuotaGrant &grant() const { return m_grant; }
    Limits heldLimits() const
    {
        Limits sum;
        for (const std::optional<QuotaLedger> &it : m_ledgers) {
            if (it) {
                const QuotaHolding holding = it->holding(account, m_now);
                sum.ratePerSecond += holding.own.ratePerSecond + holding.lent.ratePerSecond;
                sum.burst += holding.own.burst + holding.lent.burst;
            }
        }
        return sum;
    }

private:
    static VmName name(std::size_t vm) { return {"vm-" + std::to_string(vm)}; }

    void checkAdmitted(std::size_t n)
    {
        const double seconds = std::chrono::duration<double>(stepDuration).count();
        m_referenceTokens = std::min(limits.burst, m_referenceTokens + limits.ratePerSecond * seconds) - static_cast<double>(n);
        m_limitsExceeded = m_limitsExceeded || m_referenceTokens < -1e-6;
    }

    // A majority of the Vms is always alive, so each live Vm can prove its freshness without the store too.
    void deliverConfiguration(std::size_t vm)
    {
        VmList list;
        for (std::size_t i = 0; i < vmCount; ++i) {
            if (m_ledgers[i]) {
                list.vms.push_back({.name = name(i), .failureDomain = {"fd-" + std::to_string(i % 4)}});
            }
        }
        handle(vm, VmListSeen{.list = list});
        handle(vm, LimitsSeen{.account = account, .limits = limits});
        if (m_version > 0) {
            handle(vm, GrantSeen{.account = account, .version = m_version, .grant = m_grant});
        }
        handle(vm, FreshnessProved{.since = m_now});
    }

    void handle(std::size_t vm, const QuotaEvent &event)
    {
        m_events.emplace_back(vm, event);
        if (m_events.size() > 1) {
            return; // the loop below, already running in a caller, handles it
        }
        while (!m_events.empty()) {
            const auto [to, next] = m_events.front();
            std::vector<QuotaCommand> commands;
            if (m_ledgers[to]) {
                m_ledgers[to]->handle(next, m_now, commands);
            }
            for (const QuotaCommand &it : commands) {
                execute(to, it);
            }
            m_events.pop_front();
        }
    }

    void execute(std::size_t vm, const QuotaCommand &command)
    {
        if (std::holds_alternative<AdmitRequest>(command)) {
            ++m_admitted;
        } else if (const auto *ask = std::get_if<AskLoan>(&command)) {
            handle(indexOf(ask->peer), LoanAsked{ask->ask});
        } else if (const auto *answer = std::get_if<AnswerLoan>(&command)) {
            handle(indexOf(answer->peer), LoanAnswered{answer->answer});
        } else if (const auto *write = std::get_if<WriteGrant>(&command)) {
            handle(vm, applyWrite(*write));
        } else if (std::holds_alternative<ReadGrant>(command)) {
            handle(vm, m_isStoreDown ? QuotaEvent(GrantReadFailed{account}) : QuotaEvent(GrantSeen{account, m_version, m_grant}));
        }
    }

    QuotaEvent applyWrite(const WriteGrant &write)
    {
        if (m_isStoreDown) {
            return GrantWriteFailed{.account = account, .code = ErrorCode::Unavailable};
        }
        if (write.ifVersion.value_or(0) != m_version) {
            return GrantWriteFailed{.account = account, .code = ErrorCode::VersionConflict};
        }
        ++m_writes;
        m_grant = write.grant;
        return GrantWritten{.account = account, .version = ++m_version};
    }

    static std::size_t indexOf(const VmName &vm) { return static_cast<std::size_t>(vm.value.back() - '0'); }

    std::optional<QuotaLedger> m_ledgers[vmCount];
    TimePoint m_now{1h};
    std::uint64_t m_nextIncarnation = transferredIncarnation + 1;
    bool m_isStoreDown = false;
    std::uint64_t m_version = 0;
    QuotaGrant m_grant;
    std::size_t m_writes = 0;
    std::size_t m_steps = 0;
    std::size_t m_arrived = 0;
    std::size_t m_admitted = 0;
    double m_referenceTokens = limits.burst;
    bool m_limitsExceeded = false;
    std::deque<std::pair<std::size_t, QuotaEvent>> m_events;
};

void run(OutageFleet &fleet, Duration runTime, std::size_t requests)
{
    for (Duration elapsed{0}; elapsed < runTime; elapsed += stepDuration) {
        fleet.advance(requests);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(grants_and_loans_survive_a_four_hour_store_outage)
{
    OutageFleet fleet;
    run(fleet, 20s, 1);
    BOOST_TEST(fleet.admitted() == fleet.arrived()); // 100 requests/s, within the rate
    const std::size_t writesBefore = fleet.writes();

    fleet.setStoreDown(true);
    run(fleet, outageDuration / 4, 1);
    BOOST_TEST(fleet.admitted() == fleet.arrived());

    fleet.kill(0); // permanently
    fleet.kill(1);
    run(fleet, outageDuration / 4, 2);
    BOOST_TEST(fleet.admitted() == fleet.arrived()); // 120 requests/s; the three shares that are left allow 180
    BOOST_TEST(!fleet.limitsExceeded());
    BOOST_TEST(fleet.heldLimits().ratePerSecond < limits.ratePerSecond * 0.61);

    fleet.start(1); // its share cannot be claimed during the outage, so it depends on loans
    run(fleet, outageDuration / 4, 2);
    BOOST_TEST(static_cast<double>(fleet.admitted()) > 0.999 * static_cast<double>(fleet.arrived()));
    run(fleet, outageDuration / 4, 50); // 4,000 requests/s, far beyond the rate
    BOOST_TEST(!fleet.limitsExceeded());
    BOOST_TEST(fleet.writes() == writesBefore);

    fleet.setStoreDown(false);
    run(fleet, 30s, 50);
    BOOST_TEST(!fleet.limitsExceeded());
    BOOST_TEST(fleet.heldLimits().ratePerSecond > limits.ratePerSecond * 0.999); // the share of Vm 0 was reclaimed, Vm 1 claimed its own
    BOOST_TEST(fleet.heldLimits().ratePerSecond < limits.ratePerSecond * 1.001);
    BOOST_TEST(fleet.grant().shares.size() == 4U);
}

BOOST_AUTO_TEST_CASE(the_share_of_a_dead_vm_is_reclaimed_after_the_fence)
{
    OutageFleet fleet;
    run(fleet, 20s, 1);
    fleet.kill(4);
    run(fleet, 20s, 1);
    BOOST_TEST(fleet.grant().shares.size() == 4U);
    BOOST_TEST(fleet.heldLimits().ratePerSecond > limits.ratePerSecond * 0.999);
}
