#include <algorithm>
#include <cmath>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

namespace {

constexpr std::size_t maxNameBytes = 256; // of an account in a report
constexpr double maxDrift = 0.01;         // of a steady clock, as for seats

bool isPossible(double number)
{
    return std::isfinite(number) && number >= 0 && number <= DemandView::maxNumber;
}

bool isPossible(const DemandReport &report)
{
    const bool areRanksPossible = std::all_of(report.ranks.begin(), report.ranks.end(), [](const RankDemand &it) {
        return isPossible(it.arrivals) && isPossible(it.waiting) && isPossible(it.refused) && isPossible(it.started);
    });
    const bool areRanksAscending
        = std::adjacent_find(report.ranks.begin(),
                             report.ranks.end(),
                             [](const RankDemand &left, const RankDemand &right) { return left.rank >= right.rank; })
        == report.ranks.end();
    const bool areAccountsPossible = std::all_of(report.accounts.begin(), report.accounts.end(), [](const AccountDemand &it) {
        return isPossible(it.arrivals) && it.account.value.size() <= maxNameBytes;
    });
    return report.run != 0 && report.measuredAt > Duration(0) && areRanksPossible && areRanksAscending && areAccountsPossible
        && report.ranks.size() <= maxDemandRanks && report.accounts.size() <= maxDemandAccounts;
}

void add(std::vector<RankDemand> &sums, const RankDemand &part)
{
    const auto isBefore = [](const RankDemand &it, std::uint32_t rank) { return it.rank < rank; };
    auto it = std::lower_bound(sums.begin(), sums.end(), part.rank, isBefore);
    if (it == sums.end() || it->rank != part.rank) {
        it = sums.insert(it, RankDemand{.rank = part.rank});
    }
    it->arrivals += part.arrivals;
    it->waiting += part.waiting;
    it->refused += part.refused;
    it->started += part.started;
}

void foldLastRanks(std::vector<RankDemand> &ranks)
{
    while (ranks.size() > maxDemandRanks) {
        RankDemand last = ranks.back();
        ranks.pop_back();
        last.rank = ranks.back().rank;
        add(ranks, last);
    }
}

void keepLargest(std::vector<AccountDemand> &accounts)
{
    std::sort(accounts.begin(), accounts.end(), [](const AccountDemand &left, const AccountDemand &right) {
        return left.arrivals != right.arrivals ? left.arrivals > right.arrivals : left.account < right.account;
    });
    accounts.resize(std::min(accounts.size(), maxDemandAccounts));
}

} // namespace

bool isUnderPressure(std::span<const RankDemand> ranks)
{
    return std::any_of(ranks.begin(), ranks.end(), [](const RankDemand &it) { return it.waiting > 0 || it.refused > 0; });
}

//-----------------------------------------------------------------------------
// SecondWindow
//-----------------------------------------------------------------------------

void SecondWindow::add(const SecondWindow &other)
{
    for (std::size_t i = 0; i < stepCount; ++i) {
        m_steps[(m_newest + stepCount - i) % stepCount] += other.m_steps[(other.m_newest + stepCount - i) % stepCount];
    }
    m_total += other.m_total;
}

void SecondWindow::advance()
{
    m_newest = (m_newest + 1) % stepCount;
    m_total -= std::exchange(m_steps[m_newest], 0);
}

//-----------------------------------------------------------------------------
// DemandCounter
//-----------------------------------------------------------------------------

void DemandCounter::advance(TimePoint now)
{
    if (now < m_stepAt + SecondWindow::step) {
        return;
    }
    const auto due = static_cast<std::size_t>((now - m_stepAt) / SecondWindow::step);
    m_stepAt += SecondWindow::step * due;
    for (std::size_t i = 0; i < std::min(due, SecondWindow::stepCount); ++i) {
        for (Rank &it : m_ranks) {
            it.arrivals.advance();
            it.refused.advance();
            it.started.advance();
        }
        for (Account &it : m_accounts) {
            it.arrivals.advance();
            it.inherited.advance();
        }
    }
}

void DemandCounter::dropIdleRanks()
{
    std::erase_if(m_ranks, [](const Rank &it) {
        return it.waiting == 0 && it.arrivals.total() == 0 && it.refused.total() == 0 && it.started.total() == 0;
    });
}

DemandCounter::Rank &DemandCounter::rankOf(std::uint32_t rank)
{
    const auto find = [this, rank] {
        return std::lower_bound(m_ranks.begin(), m_ranks.end(), rank, [](const Rank &it, std::uint32_t n) { return it.rank < n; });
    };
    auto it = find();
    if (it != m_ranks.end() && it->rank == rank) {
        return *it;
    }
    if (m_ranks.size() >= maxDemandRanks) {
        dropIdleRanks();
    }
    if (m_ranks.size() >= maxDemandRanks) {
        if (rank > m_ranks.back().rank) {
            return m_ranks.back();
        }
        const Rank last = m_ranks.back();
        m_ranks.pop_back();
        m_ranks.back().waiting += last.waiting;
        m_ranks.back().arrivals.add(last.arrivals);
        m_ranks.back().refused.add(last.refused);
        m_ranks.back().started.add(last.started);
        if (rank > m_ranks.back().rank) {
            return m_ranks.back();
        }
    }
    it = find();
    return *m_ranks.insert(it, Rank{.rank = rank});
}

void DemandCounter::noteArrival(std::uint32_t rank, const AccountName &account, TimePoint now)
{
    advance(now);
    rankOf(rank).arrivals.add();
    auto it = std::find_if(m_accounts.begin(), m_accounts.end(), [&account](const Account &other) { return other.name == account; });
    if (it == m_accounts.end() && m_accounts.size() < accountSlots) {
        it = m_accounts.insert(it, Account{.name = account});
    } else if (it == m_accounts.end()) {
        it = std::min_element(m_accounts.begin(), m_accounts.end(), [](const Account &left, const Account &right) {
            return left.arrivals.total() < right.arrivals.total();
        });
        it->name = account;
        it->inherited = it->arrivals;
    }
    it->arrivals.add();
}

void DemandCounter::noteStarted(std::uint32_t rank, TimePoint now)
{
    advance(now);
    rankOf(rank).started.add();
}

void DemandCounter::noteRefused(std::uint32_t rank, TimePoint now)
{
    advance(now);
    rankOf(rank).refused.add();
}

void DemandCounter::noteWaiting(std::uint32_t rank, TimePoint now)
{
    advance(now);
    ++rankOf(rank).waiting;
}

// The rank may have been made part of another one since the wait began: then that is the next more urgent one with waiting requests.
void DemandCounter::noteWaitEnded(std::uint32_t rank, TimePoint now)
{
    advance(now);
    const auto isCandidate = [rank](const Rank &it) { return it.rank <= rank && it.waiting > 0; };
    const auto it = std::find_if(m_ranks.rbegin(), m_ranks.rend(), isCandidate);
    if (it != m_ranks.rend()) {
        --it->waiting;
    }
}

// The window covers the current step up to now and the 19 steps before.
double DemandCounter::perSecond(std::uint32_t n, TimePoint now) const
{
    const Duration covered = SecondWindow::step * (SecondWindow::stepCount - 1) + std::max(now - m_stepAt, Duration(0));
    return n / std::chrono::duration<double>(covered).count();
}

DemandReport DemandCounter::report(TimePoint now)
{
    advance(now);
    dropIdleRanks();
    DemandReport report{.ranks = {}, .accounts = {}, .run = 0, .measuredAt = now.time_since_epoch()};
    report.ranks.reserve(m_ranks.size());
    for (const Rank &it : m_ranks) {
        report.ranks.push_back({.rank = it.rank,
                                .arrivals = perSecond(it.arrivals.total(), now),
                                .waiting = static_cast<double>(it.waiting),
                                .refused = perSecond(it.refused.total(), now),
                                .started = perSecond(it.started.total(), now)});
    }
    report.accounts.reserve(m_accounts.size());
    for (const Account &it : m_accounts) {
        const std::uint32_t own = it.arrivals.total() - it.inherited.total();
        if (own > 0) {
            report.accounts.push_back({.account = it.name, .arrivals = perSecond(own, now)});
        }
    }
    keepLargest(report.accounts);
    return report;
}

//-----------------------------------------------------------------------------
// DemandView
//-----------------------------------------------------------------------------

void DemandView::setVms(const VmName &self, const std::vector<VmName> &vms)
{
    m_vms = {vms.begin(), vms.end()};
    m_vms.erase(self);
    std::erase_if(m_parts, [this](const auto &it) { return !m_vms.contains(it.first); });
}

bool DemandView::apply(const VmName &vm, DemandReport report, TimePoint now)
{
    if (!m_vms.contains(vm) || !isPossible(report)) {
        return false;
    }
    const Duration delay = now.time_since_epoch() - report.measuredAt;
    const auto known = m_parts.find(vm);
    if (known == m_parts.end() || known->second.report.run != report.run) {
        m_parts.insert_or_assign(vm, Part{.report = std::move(report), .receivedAt = now, .smallestDelay = delay});
        return true;
    }
    Part &part = known->second;
    // The smallest delay seen may grow as fast as the clocks may drift apart.
    const auto drift = std::chrono::duration_cast<Duration>((now - part.receivedAt) * maxDrift);
    const Duration smallestDelay = std::min(part.smallestDelay + drift, delay);
    if (report.measuredAt < part.report.measuredAt || delay - smallestDelay > maxAge) {
        return false;
    }
    part = Part{.report = std::move(report), .receivedAt = now - (delay - smallestDelay), .smallestDelay = smallestDelay};
    return true;
}

std::size_t DemandView::parts(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_parts.begin(), m_parts.end(), [this, now](const auto &it) { return isUsable(it.second, now); }));
}

std::vector<RankDemand> DemandView::ranks(const DemandReport &own, TimePoint now) const
{
    std::vector<RankDemand> sums = own.ranks;
    for (const auto &[vm, part] : m_parts) {
        if (isUsable(part, now)) {
            for (const RankDemand &it : part.report.ranks) {
                add(sums, it);
            }
        }
    }
    foldLastRanks(sums);
    return sums;
}

std::vector<AccountDemand> DemandView::accounts(const DemandReport &own, TimePoint now) const
{
    std::map<AccountName, double> arrivals;
    const auto addPart = [&arrivals](const DemandReport &report) {
        for (const AccountDemand &it : report.accounts) {
            arrivals[it.account] += it.arrivals;
        }
    };
    addPart(own);
    for (const auto &[vm, part] : m_parts) {
        if (isUsable(part, now)) {
            addPart(part.report);
        }
    }
    std::vector<AccountDemand> accounts;
    accounts.reserve(arrivals.size());
    for (const auto &[name, n] : arrivals) {
        accounts.push_back({.account = name, .arrivals = n});
    }
    keepLargest(accounts);
    return accounts;
}

} // namespace Pollenspoke
