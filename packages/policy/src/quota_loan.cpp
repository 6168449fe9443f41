// Loans of tokens and rate between Vms.
#include "quota_account.h"
#include <algorithm>
#include <cmath>

namespace Pollenspoke {

namespace {

constexpr double prefetchSeconds = 0.05;      // tokens requested along with rate, in seconds of demand
constexpr double rateLoanBurstSeconds = 0.05; // burst lent with a rate, in seconds of that rate, on top of the tokens and one more
constexpr double lenderHeadroom = 1.1;        // multiple of its own demand that a lender keeps
constexpr double driftMarginFactor = 3;       // multiples of driftBound that a lender waits beyond a term; 2 would be exact to first order
constexpr int maxBackoffDoublings = 3;        // of the back-off after rounds without a loan
constexpr double minLoan = 1e-6;              // tokens or requests/s; less counts as nothing

bool isAmount(double value)
{
    return std::isfinite(value) && value >= 0;
}

bool isValid(const LoanAsk &ask, const QuotaOptions &options)
{
    const bool hasAmounts = isAmount(ask.neededTokens) && isAmount(ask.wantedTokens) && isAmount(ask.wantedRate);
    return hasAmounts && ask.term > Duration::zero() && ask.term <= options.loanTerm;
}

bool isValid(const LoanAnswer &answer)
{
    const bool hasAmounts = isAmount(answer.limits.ratePerSecond) && isAmount(answer.limits.burst) && isAmount(answer.tokens);
    return hasAmounts && answer.tokens <= answer.limits.burst;
}

bool isEmpty(const LoanAnswer &answer)
{
    return answer.tokens < minLoan && answer.limits.ratePerSecond < minLoan;
}

// Lends less than one token only if that completes a token of the borrower's, or if the lender's burst is below one token.
double tokensToLend(const LoanAsk &ask, double freeTokens, double shareBurst)
{
    const double least = std::min({1.0, ask.neededTokens, shareBurst * (1 - minLoan)});
    if (freeTokens < least) {
        return 0;
    }
    const double needed = std::min(ask.neededTokens, freeTokens);
    const double extra = std::min(ask.wantedTokens, (freeTokens - needed) / 2);
    return extra < 1 ? needed : needed + extra;
}

Duration addDriftMargin(Duration term, double driftBound)
{
    const double factor = 1 + driftMarginFactor * driftBound;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(static_cast<double>(term.count()) * factor));
}

} // namespace

void QuotaAccount::maybeAskLoan(TimePoint now, Commands &commands)
{
    const double rateDeficit = demand(now) - availableRate();
    const bool isRateShort = rateDeficit > m_vm.options.rateLoanDemand && availableTokens(now) < 1;
    if (m_version == 0 || (m_waiting.empty() && !isRateShort) || !m_limits || !m_vm.isFresh(now) || now < m_nextRoundAt || isAskOpen(now)) {
        return;
    }
    const std::vector<VmName> peers = lenders();
    const std::size_t round = std::min<std::size_t>(peers.size(), m_vm.options.asksPerRound);
    if (m_asksInRound >= round) {
        m_asksInRound = 0;
        m_nextRoundAt = now + m_vm.options.askPause * (1 << std::min(m_failedRounds, maxBackoffDoublings));
        ++m_failedRounds;
        return;
    }
    ++m_asksInRound;
    const LoanAsk ask = makeAsk(now);
    m_asks.push_back({.ask = ask, .waitUntil = now + m_vm.options.answerWait, .until = now + ask.term});
    commands.emplace_back(AskLoan{.peer = peers[m_nextLender++ % peers.size()], .ask = ask});
}

bool QuotaAccount::isAskOpen(TimePoint now) const
{
    return std::any_of(m_asks.begin(), m_asks.end(), [now](const PendingAsk &it) { return !it.isAnswered && now < it.waitUntil; });
}

std::vector<VmName> QuotaAccount::lenders() const
{
    std::vector<VmName> names;
    for (const QuotaShare &it : m_grant.shares) {
        if (it.holder != m_vm.self && !m_vm.unreachable.contains(it.holder)) {
            names.push_back(it.holder);
        }
    }
    return names;
}

LoanAsk QuotaAccount::makeAsk(TimePoint now)
{
    const double rateDeficit = demand(now) - availableRate();
    const bool needsRate = rateDeficit > m_vm.options.rateLoanDemand;
    const double needed = static_cast<double>(m_waiting.size()) - availableTokens(now);
    return {.id = {.borrower = m_vm.self, .incarnation = m_vm.incarnation, .sequence = m_vm.nextSequence++},
            .account = m_name,
            .neededTokens = std::max(0.0, needed),
            .wantedTokens = needsRate ? demand(now) * prefetchSeconds : 0,
            .wantedRate = needsRate ? rateDeficit : 0,
            .term = needsRate ? m_vm.options.loanTerm : m_vm.options.tokenLoanTerm};
}

void QuotaAccount::onLoanAsk(const LoanAsk &ask, TimePoint now, Commands &commands)
{
    refresh(now);
    maybeWriteGrant(now, commands);
    const auto it = std::find_if(m_lent.begin(), m_lent.end(), [&ask](const LentLoan &lent) { return lent.answer.id == ask.id; });
    const LoanAnswer answer = it != m_lent.end() ? it->answer : lend(ask, now);
    commands.emplace_back(AnswerLoan{.peer = ask.id.borrower, .answer = answer});
}

LoanAnswer QuotaAccount::lend(const LoanAsk &ask, TimePoint now)
{
    LoanAnswer answer{.id = ask.id, .account = m_name};
    const Limits own = ownLimits();
    if (!m_limits || !m_vm.isFresh(now) || !isValid(ask, m_vm.options) || ask.id.borrower == m_vm.self || own.burst <= 0) {
        return answer;
    }
    answer.accountLimits = *m_limits;
    const double tokens = m_bucket.tokens(now);
    const double freeTokens = std::max(0.0, tokens - static_cast<double>(m_waiting.size()));
    const double lentTokens = tokensToLend(ask, freeTokens, scaledShare().burst);
    const double spareRate = std::max(0.0, own.ratePerSecond - lenderHeadroom * demand(now));
    const double lentRate = std::min(ask.wantedRate, spareRate);
    const double rateBurst = 1 + lentRate * rateLoanBurstSeconds;
    const bool isWorthLending = lentRate * std::chrono::duration<double>(ask.term).count() >= 1;
    const bool lendsRate = isWorthLending && own.burst >= lentTokens + rateBurst + 1;
    answer.limits.ratePerSecond = lendsRate ? lentRate : 0;
    answer.limits.burst = std::min(own.burst, lentTokens + (lendsRate ? rateBurst : 0));
    // Tokens above the lender's reduced burst are lent too, as they would be lost otherwise.
    const double surplus = tokens - (own.burst - answer.limits.burst);
    answer.tokens = std::min(answer.limits.burst, std::max(lentTokens, surplus));
    if (isEmpty(answer)) {
        return {.id = ask.id, .account = m_name};
    }
    answer.tokens = m_bucket.takeUpTo(answer.tokens, now);
    const Duration term = m_vm.rules.restoresLoansEarly ? ask.term / 2 : addDriftMargin(ask.term, m_vm.options.driftBound);
    m_lent.push_back({.answer = answer, .until = now + term});
    applyLimits(now);
    return answer;
}

void QuotaAccount::onLoanAnswer(const LoanAnswer &answer, TimePoint now, Commands &commands)
{
    refresh(now);
    const auto it = std::find_if(m_asks.begin(), m_asks.end(), [&answer](const PendingAsk &ask) { return ask.ask.id == answer.id; });
    const bool isExpected = it != m_asks.end() && (!it->isAnswered || m_vm.rules.acceptsDuplicates);
    if (!isExpected || !isValid(answer)) {
        return;
    }
    it->isAnswered = true;
    if (!isEmpty(answer)) {
        const TimePoint until = m_vm.rules.countsTermFromAnswer ? now + it->ask.term : it->until;
        m_borrowed.push_back({.limits = answer.limits,
                              .accountLimits = answer.accountLimits,
                              .bucket = TokenBucket(answer.limits, answer.tokens, now),
                              .until = until});
        applyLimits(now);
        m_asksInRound = 0;
        m_failedRounds = 0;
    }
    processQueue(now, commands);
}

} // namespace Pollenspoke
