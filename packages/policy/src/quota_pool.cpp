#include <algorithm>
#include <cmath>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

namespace {

constexpr double unlimitedRate = 1e6; // requests/s; the highest rate that can be declared means unlimited
constexpr double windowSeconds = 5;   // in which the platform counts an account's requests
constexpr Duration maxRetryAfter = std::chrono::seconds(2);

} // namespace

QuotaPool::QuotaPool(QuotaPoolOptions options)
    : m_options(options)
{
}

std::size_t QuotaPool::maxHomes(const Limits &limits) const
{
    const double tokens = limits.burst * m_options.rateFactor + m_options.extraBurst;
    return static_cast<std::size_t>(std::max(tokens / m_options.minHomeBurst, 1.0));
}

std::vector<VmName> QuotaPool::homesAmong(std::vector<VmName> holders, const AccountName &account, const Limits &limits) const
{
    const std::size_t n = std::min(maxHomes(limits), holders.size());
    std::sort(holders.begin(), holders.end(), [&account](const VmName &left, const VmName &right) {
        return homeScore(account, left) > homeScore(account, right);
    });
    holders.resize(n);
    return holders;
}

std::vector<VmName> QuotaPool::homes(const AccountName &account, const Limits &limits) const
{
    return homesAmong(m_holders, account, limits);
}

std::set<VmName> QuotaPool::displacedHomes(const std::vector<VmName> &previous, const std::vector<VmName> &holders) const
{
    const std::set<VmName> seated(holders.begin(), holders.end());
    std::set<VmName> displaced;
    for (const auto &[name, it] : m_accounts) {
        if (maxHomes(it.limits) >= std::max(previous.size(), holders.size())) {
            continue; // each seat holder is a home
        }
        const std::vector<VmName> now = homesAmong(holders, name, it.limits);
        for (const VmName &home : homesAmong(previous, name, it.limits)) {
            if (seated.contains(home) && std::find(now.begin(), now.end(), home) == now.end()) {
                displaced.insert(home);
            }
        }
    }
    return displaced;
}

Limits QuotaPool::share(const AccountName &name, const Limits &limits) const
{
    const std::vector<VmName> homeVms = homes(name, limits);
    if (!m_isSeatUsed || std::find(homeVms.begin(), homeVms.end(), m_self) == homeVms.end()) {
        return {};
    }
    const std::size_t minCount = m_startEndsAt ? std::min(maxHomes(limits), minSeats) : 0;
    const auto n = static_cast<double>(std::max(homeVms.size(), minCount));
    return Limits{.ratePerSecond = limits.ratePerSecond * m_options.rateFactor / n,
                  .burst = (limits.burst * m_options.rateFactor + m_options.extraBurst) / n};
}

// Tokens of this Vm as one of the homes of an account that it hasn't known before. A fraction of a token admits no request, so the
// initial tokens per home are given as whole ones to the first homes. The initial share is divided equally and counts towards the next
// token. Divided among at least as many homes as a fleet has when it is complete: Vms that start one after the other each know a
// longer list than those before, and their parts must not add up to more than the share.
//
// All of it together stays within what the platform tolerates above the regular shares in the time of its window, as each Vm may have
// given out the whole of its bucket before it restarted.
double QuotaPool::initialTokens(const std::vector<VmName> &homeVms, const Limits &limits) const
{
    const auto self = std::find(homeVms.begin(), homeVms.end(), m_self);
    if (!m_isSeatUsed || self == homeVms.end()) {
        return 0;
    }
    const double windowTokens = limits.ratePerSecond * windowSeconds + limits.burst;
    const double spare = std::max(
        (m_options.toleratedFactor - m_options.rateFactor) * windowTokens + m_options.toleratedExtra - m_options.extraBurst, 0.0);
    const double whole = std::min(std::ceil(static_cast<double>(homeVms.size()) * m_options.initialTokensPerHome), std::floor(spare));
    const double shared = std::min(m_options.initialShare * windowTokens, spare - whole);
    const auto n = static_cast<double>(std::max(homeVms.size(), std::min(maxHomes(limits), minSeats)));
    const bool getsWhole = static_cast<double>(self - homeVms.begin()) < whole;
    return (getsWhole ? 1 : 0) + shared / n;
}

// There are no initial tokens until the homes are known.
QuotaPool::Account QuotaPool::makeAccount(const AccountName &name, const Limits &limits, TimePoint now) const
{
    return Account{.bucket = TokenBucket(share(name, limits), initialTokens(homes(name, limits), limits), now),
                   .limits = limits,
                   .seatsVersion = m_seatsVersion,
                   .hasInitialTokens = !m_holders.empty()};
}

QuotaPool::Account &QuotaPool::account(const AccountName &name, const Limits &limits, TimePoint now)
{
    if (m_startEndsAt && now >= *m_startEndsAt) {
        m_startEndsAt.reset();
        ++m_seatsVersion;
    }
    const auto found = m_accounts.find(name);
    if (found == m_accounts.end() || (!found->second.hasInitialTokens && !m_holders.empty())) {
        return m_accounts.insert_or_assign(name, makeAccount(name, limits, now)).first->second;
    }
    Account &it = found->second;
    if (it.limits != limits || it.seatsVersion != m_seatsVersion) {
        it.bucket.setLimits(share(name, limits), now);
        it.limits = limits;
        it.seatsVersion = m_seatsVersion;
    }
    return it;
}

void QuotaPool::noteStoreRestored(TimePoint noticedAt)
{
    m_seatsKeptUntil = std::max(m_seatsKeptUntil, noticedAt + m_options.seatGrace);
}

void QuotaPool::setSeats(const VmName &self, std::vector<VmName> holders, TimePoint now)
{
    const bool isKept = now < m_seatsKeptUntil && !m_startEndsAt && !m_holders.empty() && !holders.empty();
    if (isKept || (self == m_self && holders == m_holders)) {
        return;
    }
    if (m_holders.empty() && now < m_seatsKeptUntil) {
        m_startEndsAt = now + m_options.startGrace;
    }
    m_self = self;
    m_holders = std::move(holders);
    ++m_seatsVersion;
    for (auto &[name, it] : m_accounts) {
        account(name, it.limits, now); // a home that lost its seat drops its tokens at once
    }
}

void QuotaPool::setSeatUsed(bool isUsed, TimePoint now)
{
    if (isUsed == m_isSeatUsed) {
        return;
    }
    m_isSeatUsed = isUsed;
    ++m_seatsVersion;
    for (auto &[name, it] : m_accounts) {
        account(name, it.limits, now);
    }
}

void QuotaPool::setSeatRight(TimePoint endsAt)
{
    m_rightEndsAt = endsAt;
}

void QuotaPool::addAccount(const AccountName &name, const Limits &limits, TimePoint now)
{
    account(name, limits, now);
}

QuotaDecision QuotaPool::decide(const AccountName &name, const Limits &limits, TimePoint now)
{
    if (limits.ratePerSecond >= unlimitedRate) {
        return QuotaDecision::Admit;
    }
    Account &it = account(name, limits, now);
    if (now < m_rightEndsAt && it.bucket.take(now)) {
        return QuotaDecision::Admit;
    }
    return now < it.nextBorrowAt ? QuotaDecision::Refuse : QuotaDecision::Ask;
}

bool QuotaPool::lend(const AccountName &name, const Limits &limits, TimePoint now)
{
    return limits.ratePerSecond < unlimitedRate && now < m_rightEndsAt && account(name, limits, now).bucket.take(now);
}

void QuotaPool::noteBorrowFailed(const AccountName &name, TimePoint now)
{
    const auto it = m_accounts.find(name);
    if (it != m_accounts.end()) {
        it->second.nextBorrowAt = now + m_options.askPause;
    }
}

// The account exceeds its rate fleet-wide, so its retries should be spread over the time in which its burst refills.
Duration QuotaPool::retryAfter(const AccountName &name, const Limits &limits, TimePoint now) const
{
    const auto it = m_accounts.find(name);
    if (it == m_accounts.end() || limits.ratePerSecond <= 0) {
        return maxRetryAfter;
    }
    return std::clamp<Duration>(it->second.bucket.waitForToken(now), std::chrono::milliseconds(200), maxRetryAfter);
}

} // namespace Pollenspoke
