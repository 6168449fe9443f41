// Dispatches events to the accounts; maintains freshness and the Vm list.
#include "quota_account.h"
#include <algorithm>
#include <cmath>

namespace Pollenspoke {

namespace {

constexpr double ratePerHome = 100; // requests/s per additional home
constexpr double burstPerHome = 2;  // requests; minimum share of a home
constexpr double maxHomes = 8;
constexpr double fenceMargin = 3; // safety margin of the fence, in multiples of driftBound

template<typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};
template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

bool coversOutstandingUse(Duration wait, const QuotaOptions &options)
{
    const Duration use = options.freshTerm + options.loanTerm;
    return static_cast<double>(wait.count()) >= static_cast<double>(use.count()) * (1 + fenceMargin * options.driftBound);
}

} // namespace

Limits sumOf(const QuotaGrant &grant)
{
    Limits sum;
    for (const QuotaShare &it : grant.shares) {
        sum.ratePerSecond += it.limits.ratePerSecond;
        sum.burst += it.limits.burst;
    }
    return sum;
}

Limits lowerOf(const Limits &left, const Limits &right)
{
    return {.ratePerSecond = std::min(left.ratePerSecond, right.ratePerSecond), .burst = std::min(left.burst, right.burst)};
}

Limits higherOf(const Limits &left, const Limits &right)
{
    return {.ratePerSecond = std::max(left.ratePerSecond, right.ratePerSecond), .burst = std::max(left.burst, right.burst)};
}

Limits scaledTo(const Limits &part, const Limits &limits, const Limits &whole)
{
    Limits scaled = part;
    if (limits.ratePerSecond < whole.ratePerSecond) {
        scaled.ratePerSecond *= limits.ratePerSecond / whole.ratePerSecond;
    }
    if (limits.burst < whole.burst) {
        scaled.burst *= limits.burst / whole.burst;
    }
    return scaled;
}

bool isAnyBelow(const Limits &left, const Limits &right)
{
    return left.ratePerSecond < right.ratePerSecond || left.burst < right.burst;
}

std::size_t homeCount(const Limits &limits)
{
    const double byRate = 2 + std::floor(limits.ratePerSecond / ratePerHome);
    const double byBurst = std::max(1.0, std::floor(limits.burst / burstPerHome));
    return static_cast<std::size_t>(std::min({byRate, byBurst, maxHomes}));
}

bool QuotaVm::isFresh(TimePoint now) const
{
    return isListed && freshUntil && now < *freshUntil;
}

bool QuotaVm::isLive(const VmName &vm) const
{
    return std::any_of(vms.begin(), vms.end(), [&vm](const VmEntry &it) { return it.name == vm && it.state == VmState::Live; });
}

// A Vm counts as gone only while most of the recently listed Vms are still on the list: if many disappear at once, the list may be
// wrong and they may all be running.
bool QuotaVm::isGone(const VmName &vm, Duration extra, TimePoint now) const
{
    const auto it = absentSince.find(vm);
    if (it == absentSince.end() || now - listReadAt > options.listTerm) {
        return false;
    }
    if (rules.reclaimsWithoutFence) {
        return true;
    }
    const auto isRecent = [this, now](const auto &off) { return now - off.second < options.listMemory; };
    const auto missing = static_cast<std::size_t>(std::count_if(absentSince.begin(), absentSince.end(), isRecent));
    return missing < vms.size() && now - it->second > options.fence + extra;
}

std::size_t QuotaVm::rank(const AccountName &account, const VmName &vm) const
{
    const auto score = std::pair(homeScore(account, vm), vm);
    return static_cast<std::size_t>(std::count_if(vms.begin(), vms.end(), [&](const VmEntry &it) {
        return it.state == VmState::Live && score < std::pair(homeScore(account, it.name), it.name);
    }));
}

std::vector<VmName> QuotaVm::homes(const AccountName &account, std::size_t count) const
{
    std::vector<VmName> names;
    for (const VmEntry &it : orderAddresses(vms, account, count)) {
        names.push_back(it.name);
    }
    return names;
}

QuotaLedger::QuotaLedger(const QuotaOptions &options, const VmName &self, std::uint64_t incarnation)
    : QuotaLedger(options, self, incarnation, QuotaRules{})
{
}

QuotaLedger::QuotaLedger(const QuotaOptions &options, const VmName &self, std::uint64_t incarnation, const QuotaRules &rules)
    : m_vm(std::make_unique<QuotaVm>(QuotaVm{.options = options, .self = self, .incarnation = incarnation, .rules = rules}))
{
    POLLENSPOKE_ASSERT(incarnation > transferredIncarnation, "pass an incarnation above the reserved ones, such as the start time in ms");
    POLLENSPOKE_ASSERT(coversOutstandingUse(options.fence, options), "make fence longer than freshTerm + loanTerm, with room for drift");
    POLLENSPOKE_ASSERT(coversOutstandingUse(options.takeoverDelay, options),
                       "make takeoverDelay longer than freshTerm + loanTerm, with room for drift");
    POLLENSPOKE_ASSERT(options.tokenLoanTerm <= options.loanTerm, "make tokenLoanTerm at most loanTerm");
}

QuotaLedger::QuotaLedger(QuotaLedger &&other) noexcept = default;
QuotaLedger &QuotaLedger::operator=(QuotaLedger &&other) noexcept = default;
QuotaLedger::~QuotaLedger() = default;

QuotaAccount &QuotaLedger::account(const AccountName &name, TimePoint now)
{
    std::unique_ptr<QuotaAccount> &entry = m_accounts[name];
    if (!entry) {
        entry = std::make_unique<QuotaAccount>(*m_vm, name, now);
    }
    return *entry;
}

bool QuotaLedger::isFresh(TimePoint now) const
{
    return m_vm->isFresh(now);
}

QuotaHolding QuotaLedger::holding(const AccountName &account, TimePoint now) const
{
    const auto it = m_accounts.find(account);
    return it == m_accounts.end() ? QuotaHolding{} : it->second->holding(now);
}

std::optional<TimePoint> QuotaLedger::nextWake() const
{
    std::optional<TimePoint> wake;
    for (const AccountName &it : m_waiting) {
        const std::optional<TimePoint> next = m_accounts.at(it)->nextWake();
        wake = wake && next ? std::min(*wake, *next) : (next ? next : wake);
    }
    return wake;
}

void QuotaLedger::handle(const QuotaEvent &event, TimePoint now, std::vector<QuotaCommand> &commands)
{
    const auto visit = [&](const AccountName &name, auto &&work) {
        QuotaAccount &entry = account(name, now);
        work(entry);
        if (entry.hasWaiting()) {
            m_waiting.insert(name);
        } else {
            m_waiting.erase(name);
        }
    };
    std::visit(
        Overloaded{
            [&](const RequestArrived &it) { visit(it.account, [&](QuotaAccount &entry) { entry.onRequest(it.ticket, now, commands); }); },
            [&](const LimitsSeen &it) { visit(it.account, [&](QuotaAccount &entry) { entry.setLimits(it.limits, now, commands); }); },
            [&](const GrantSeen &it) {
                visit(it.account, [&](QuotaAccount &entry) { entry.applyGrant(it.version, it.grant, now, commands); });
            },
            [&](const GrantAbsent &it) { visit(it.account, [&](QuotaAccount &entry) { entry.onGrantAbsent(now, commands); }); },
            [&](const GrantReadFailed &it) { visit(it.account, [&](QuotaAccount &entry) { entry.onReadFailed(now); }); },
            [&](const GrantWritten &it) { visit(it.account, [&](QuotaAccount &entry) { entry.onWritten(it.version, now, commands); }); },
            [&](const GrantWriteFailed &it) {
                visit(it.account, [&](QuotaAccount &entry) { entry.onWriteFailed(it.code, now, commands); });
            },
            [&](const LoanAsked &it) { visit(it.ask.account, [&](QuotaAccount &entry) { entry.onLoanAsk(it.ask, now, commands); }); },
            [&](const LoanAnswered &it) {
                visit(it.answer.account, [&](QuotaAccount &entry) { entry.onLoanAnswer(it.answer, now, commands); });
            },
            [&](const PeerReachable &it) {
                if (it.isReachable) {
                    m_vm->unreachable.erase(it.vm);
                } else {
                    m_vm->unreachable.insert(it.vm);
                }
            },
            [&](const VmListSeen &it) { applyVmList(it.list, now); },
            [&](const FreshnessProved &it) { extendFreshness(it.since, now); },
            [&](const FreshnessDenied &) { m_vm->freshUntil.reset(); },
            [&](const LeaveStarted &) { m_vm->isLeaving = true; },
            [&](const TimePassed &) {},
        },
        event);
    const bool isLeaving = std::holds_alternative<LeaveStarted>(event);
    if (!isLeaving && !std::holds_alternative<TimePassed>(event) && !std::holds_alternative<FreshnessDenied>(event)) {
        return;
    }
    const bool isFullTick = isLeaving || !m_vm->lastFullTick || now - *m_vm->lastFullTick >= m_vm->options.tickInterval;
    if (isFullTick) {
        m_vm->lastFullTick = now;
        for (const auto &[name, entry] : m_accounts) {
            visit(name, [&](QuotaAccount &it) { it.onTick(now, commands); });
        }
        return;
    }
    const std::set<AccountName> waiting = m_waiting;
    for (const AccountName &name : waiting) {
        visit(name, [&](QuotaAccount &it) { it.onTick(now, commands); });
    }
}

void QuotaLedger::applyVmList(const VmList &list, TimePoint now)
{
    std::set<VmName> listed;
    for (const VmEntry &it : list.vms) {
        listed.insert(it.name);
        m_vm->absentSince.erase(it.name);
    }
    for (const VmEntry &it : m_vm->vms) {
        if (!listed.contains(it.name)) {
            m_vm->absentSince.try_emplace(it.name, now);
        }
    }
    std::set<VmName> holders;
    for (const auto &[name, entry] : m_accounts) {
        for (const VmName &holder : entry->holders()) {
            holders.insert(holder);
            if (!listed.contains(holder)) {
                m_vm->absentSince.try_emplace(holder, now);
            }
        }
    }
    const Duration memory = m_vm->options.listMemory;
    std::erase_if(m_vm->absentSince, [&](const auto &it) { return now - it.second > memory && !holders.contains(it.first); });
    m_vm->listReadAt = now;
    m_vm->vms = list.vms;
    m_vm->isListed = listed.contains(m_vm->self);
    if (!m_vm->isListed) {
        m_vm->freshUntil.reset();
    }
}

void QuotaLedger::extendFreshness(TimePoint since, TimePoint now)
{
    if (!m_vm->isListed) {
        return;
    }
    const TimePoint until = since + m_vm->options.freshTerm;
    const bool isLapsed = !m_vm->freshUntil || now >= *m_vm->freshUntil;
    if (isLapsed) {
        ++m_vm->freshnessLapses;
    }
    if (isLapsed || until > *m_vm->freshUntil) {
        m_vm->freshUntil = until;
    }
}

} // namespace Pollenspoke
