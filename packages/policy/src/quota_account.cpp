// Admission of requests of one account on one Vm.
#include "quota_account.h"
#include <algorithm>
#include <cmath>

namespace Pollenspoke {

namespace {

constexpr double roundingTokens = 1e-9; // tokens; tolerance for rounding of summed fractions
constexpr Duration minWakeDelay = std::chrono::microseconds(100);
constexpr double demandTimeConstant = 1.0; // s

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

Limits reducedByDrift(const Limits &limits, double driftBound)
{
    return {.ratePerSecond = limits.ratePerSecond * (1 - driftBound), .burst = limits.burst};
}

} // namespace

QuotaAccount::QuotaAccount(QuotaVm &vm, const AccountName &name, TimePoint now)
    : m_vm(vm)
    , m_name(name)
    , m_bucket({}, now)
    , m_freshnessLapses(vm.freshnessLapses)
    , m_nextRoundAt(now)
    , m_nextWriteAt(now)
    , m_demandAt(now)
{
}

void QuotaAccount::onRequest(TicketId ticket, TimePoint now, Commands &commands)
{
    refresh(now);
    if (!m_vm.isFresh(now)) {
        refuse(ticket, RefusalReason::ConfigurationStale, now, commands);
        return;
    }
    recordDemand(now);
    if (!m_limits || m_waiting.size() >= m_vm.options.waitingLimit) {
        refuse(ticket, RefusalReason::RateLimited, now, commands);
        return;
    }
    m_waiting.push_back({.ticket = ticket, .deadline = now + m_vm.options.admitWait});
    processQueue(now, commands);
}

void QuotaAccount::setLimits(const std::optional<Limits> &limits, TimePoint now, Commands &commands)
{
    refresh(now);
    m_limits = limits;
    applyLimits(now);
    processQueue(now, commands);
    maybeWriteGrant(now, commands);
}

void QuotaAccount::onTick(TimePoint now, Commands &commands)
{
    refresh(now);
    processQueue(now, commands);
    maybeWriteGrant(now, commands);
}

void QuotaAccount::processQueue(TimePoint now, Commands &commands)
{
    while (!m_waiting.empty() && takeToken(now)) {
        commands.emplace_back(AdmitRequest{.ticket = m_waiting.front().ticket});
        m_waiting.pop_front();
    }
    refuseExpired(now, commands);
    if (!m_waiting.empty() && m_version == 0) {
        maybeWriteGrant(now, commands);
    }
    maybeAskLoan(now, commands);
    refuseUnservable(now, commands);
}

bool QuotaAccount::takeToken(TimePoint now)
{
    const bool mayAdmit = m_vm.isFresh(now) || m_vm.rules.ignoresFreshness;
    if (!mayAdmit || availableTokens(now) < 1 - roundingTokens) {
        return false;
    }
    double missing = 1;
    for (BorrowedLoan &it : m_borrowed) {
        missing -= it.bucket.takeUpTo(missing, now);
    }
    m_bucket.takeUpTo(missing, now);
    return true;
}

void QuotaAccount::refuseExpired(TimePoint now, Commands &commands)
{
    const bool isFresh = m_vm.isFresh(now);
    while (!m_waiting.empty() && (!isFresh || m_waiting.front().deadline <= now)) {
        const RefusalReason reason = isFresh ? RefusalReason::RateLimited : RefusalReason::ConfigurationStale;
        refuse(m_waiting.front().ticket, reason, now, commands);
        m_waiting.pop_front();
    }
}

// Refuses, without further waiting, requests that neither a loan nor the refill can serve before their deadline.
void QuotaAccount::refuseUnservable(TimePoint now, Commands &commands)
{
    if (m_version == 0 || now >= m_nextRoundAt || isAskOpen(now)) {
        return;
    }
    while (!m_waiting.empty()) {
        const double missing = static_cast<double>(m_waiting.size()) - availableTokens(now);
        const double expectedTokens = availableRate() * secondsBetween(now, m_waiting.back().deadline);
        if (missing <= expectedTokens) {
            return;
        }
        refuse(m_waiting.back().ticket, RefusalReason::RateLimited, now, commands);
        m_waiting.pop_back();
    }
}

void QuotaAccount::refuse(TicketId ticket, RefusalReason reason, TimePoint now, Commands &commands) const
{
    const Duration wait = reason == RefusalReason::RateLimited ? m_bucket.waitForToken(now) : m_vm.options.freshTerm;
    commands.emplace_back(RefuseRequest{.ticket = ticket, .reason = reason, .retryAfter = std::max(wait, m_vm.options.askPause)});
}

void QuotaAccount::refresh(TimePoint now)
{
    resetAfterLapse(now);
    dropExpired(now);
    activateShare(now);
    applyLimits(now);
    m_refreshedAt = now;
}

// While freshness was expired, other Vms may have been given this Vm's share and lost it again, so saved tokens and loans must not
// be spent.
void QuotaAccount::resetAfterLapse(TimePoint now)
{
    if (m_freshnessLapses == m_vm.freshnessLapses) {
        return;
    }
    m_freshnessLapses = m_vm.freshnessLapses;
    m_bucket = TokenBucket({}, now);
    m_borrowed.clear();
}

void QuotaAccount::dropExpired(TimePoint now)
{
    for (const LentLoan &it : m_lent) {
        if (it.until <= now && m_vm.rules.returnsFull) {
            const Limits &back = it.answer.limits;
            const double tokens = m_bucket.tokens(now) + back.burst;
            m_bucket = TokenBucket({.ratePerSecond = m_bucket.limits().ratePerSecond, .burst = tokens}, now);
        }
    }
    std::erase_if(m_lent, [now](const LentLoan &it) { return it.until <= now; });
    std::erase_if(m_borrowed, [now](const BorrowedLoan &it) { return it.until <= now; });
    const Duration extra = m_vm.rules.countsTermFromAnswer ? m_vm.options.loanTerm : Duration::zero();
    std::erase_if(m_asks, [now, extra](const PendingAsk &it) { return it.until + extra <= now; });
}

void QuotaAccount::activateShare(TimePoint now)
{
    if (!m_usableAt || now < *m_usableAt) {
        return;
    }
    m_usableAt.reset();
    const Limits before = m_usableShare;
    m_usableShare = claimedShare(m_grant);
    m_usableSum = sumOf(m_grant);
    if (m_vm.rules.returnsFull) {
        const double tokens = m_bucket.tokens(now) + m_usableShare.burst - before.burst;
        m_bucket = TokenBucket({.ratePerSecond = 0, .burst = tokens}, now);
    }
}

void QuotaAccount::applyLimits(TimePoint now)
{
    const Limits own = reducedByDrift(ownLimits(), m_vm.options.driftBound);
    if (own != m_bucket.limits()) {
        m_bucket.setLimits(own, now);
    }
    for (BorrowedLoan &it : m_borrowed) {
        const Limits usable = m_limits ? scaledTo(it.limits, *m_limits, it.accountLimits) : Limits{};
        const Limits limits = reducedByDrift(usable, m_vm.options.driftBound);
        if (limits != it.bucket.limits()) {
            it.bucket.setLimits(limits, now);
        }
    }
}

Limits QuotaAccount::scaledShare() const
{
    return m_vm.rules.ignoresLoweredLimits ? m_usableShare : scaledTo(m_usableShare, *m_limits, m_usableSum);
}

Limits QuotaAccount::ownLimits() const
{
    if (!m_limits || m_vm.isLeaving) {
        return {};
    }
    Limits own = scaledShare();
    for (const LentLoan &it : m_lent) {
        const Limits lent = scaledTo(it.answer.limits, *m_limits, it.answer.accountLimits);
        own.ratePerSecond -= lent.ratePerSecond;
        own.burst -= lent.burst;
    }
    return higherOf(own, {});
}

double QuotaAccount::availableTokens(TimePoint now) const
{
    double tokens = m_bucket.tokens(now);
    for (const BorrowedLoan &it : m_borrowed) {
        tokens += it.bucket.tokens(now);
    }
    return tokens;
}

double QuotaAccount::availableRate() const
{
    double rate = m_bucket.limits().ratePerSecond;
    for (const BorrowedLoan &it : m_borrowed) {
        rate += it.bucket.limits().ratePerSecond;
    }
    return rate;
}

void QuotaAccount::recordDemand(TimePoint now)
{
    m_demand = demand(now) + 1 / demandTimeConstant;
    m_demandAt = now;
}

double QuotaAccount::demand(TimePoint now) const
{
    return m_demand * std::exp(-std::max(0.0, secondsBetween(m_demandAt, now)) / demandTimeConstant);
}

std::optional<TimePoint> QuotaAccount::nextWake() const
{
    if (m_waiting.empty()) {
        return std::nullopt;
    }
    TimePoint wake = std::min(m_waiting.front().deadline, m_refreshedAt + m_bucket.waitForToken(m_refreshedAt));
    for (const BorrowedLoan &it : m_borrowed) {
        wake = std::min(wake, m_refreshedAt + it.bucket.waitForToken(m_refreshedAt));
    }
    for (const PendingAsk &it : m_asks) {
        if (!it.isAnswered && it.waitUntil > m_refreshedAt) {
            wake = std::min(wake, it.waitUntil);
        }
    }
    if (m_nextRoundAt > m_refreshedAt) {
        wake = std::min(wake, m_nextRoundAt);
    }
    return std::max(wake, m_refreshedAt + minWakeDelay);
}

QuotaHolding QuotaAccount::holding(TimePoint now) const
{
    QuotaHolding holding{.own = ownLimits(), .ownTokens = m_bucket.tokens(now), .grantVersion = m_version};
    for (const BorrowedLoan &it : m_borrowed) {
        holding.borrowed.ratePerSecond += it.limits.ratePerSecond;
        holding.borrowed.burst += it.limits.burst;
        holding.borrowedTokens += it.bucket.tokens(now);
    }
    for (const LentLoan &it : m_lent) {
        holding.lent.ratePerSecond += it.answer.limits.ratePerSecond;
        holding.lent.burst += it.answer.limits.burst;
    }
    return holding;
}

} // namespace Pollenspoke
