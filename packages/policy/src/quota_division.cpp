// Handling of the stored QuotaGrant, which divides an account's limits into shares, and the conditional updates that change it.
#include "quota_account.h"
#include <algorithm>

namespace Pollenspoke {

namespace {

constexpr double roundingTolerance = 1e-9; // relative; smaller differences are rounding errors

// Marks a share that received capacity from another holder, so that it no longer counts as never used.
void markTransferred(QuotaShare &share)
{
    share.incarnation = std::max(share.incarnation, transferredIncarnation);
}

bool isUndivided(const Limits &sum, const Limits &limits)
{
    return sum.ratePerSecond < limits.ratePerSecond * (1 - roundingTolerance) || sum.burst < limits.burst * (1 - roundingTolerance);
}

} // namespace

void QuotaAccount::applyGrant(std::uint64_t version, const QuotaGrant &grant, TimePoint now, Commands &commands)
{
    refresh(now);
    m_isReading = false;
    const bool isConfirmed = confirmsWrite(grant);
    const std::optional<PendingWrite> write = m_write;
    if (m_write && (m_write->needsRead || isConfirmed)) {
        m_write.reset();
    }
    if (version <= m_version) {
        maybeWriteGrant(now, commands);
        return;
    }
    const bool isFirst = m_version == 0;
    const Limits formerShare = claimedShare(m_grant);
    const Limits formerSum = sumOf(m_grant);
    m_version = version;
    m_grant = grant;
    const Limits share = claimedShare(grant);
    const Limits sum = sumOf(grant);
    const bool isRaised = isAnyBelow(formerShare, share) || isAnyBelow(sum, formerSum);
    m_usableSum = isFirst ? sum : higherOf(m_usableSum, sum);
    m_usableShare = lowerOf(m_usableShare, share);
    if (isConfirmed && write->startsFull) {
        m_usableShare = share;
        m_bucket = TokenBucket(ownLimits(), now);
    }
    const bool hasUnusableShare = isAnyBelow(m_usableShare, share) || isAnyBelow(sum, m_usableSum);
    if (hasUnusableShare && (isRaised || !m_usableAt)) {
        const bool isTakeover = isConfirmed && write->isTakeover;
        const bool skipsDelay = (isTakeover && m_vm.rules.takesOverAtOnce) || m_vm.rules.reclaimsWithoutFence;
        const Duration delay = isTakeover ? m_vm.options.takeoverDelay : m_vm.options.fence;
        m_usableAt = now + (skipsDelay ? Duration::zero() : delay);
    }
    refresh(now);
    processQueue(now, commands);
    maybeWriteGrant(now, commands);
}

void QuotaAccount::onGrantAbsent(TimePoint now, Commands &commands)
{
    refresh(now);
    m_isReading = false;
    if (m_write && m_write->needsRead) {
        m_write.reset();
    }
    processQueue(now, commands);
}

void QuotaAccount::onReadFailed(TimePoint now)
{
    m_isReading = false;
    m_nextWriteAt = now + m_vm.options.writeDelay;
}

void QuotaAccount::onWritten(std::uint64_t version, TimePoint now, Commands &commands)
{
    if (!m_write) {
        return; // the feed has already delivered this version
    }
    const QuotaGrant grant = m_write->grant;
    applyGrant(version, grant, now, commands);
    m_write.reset();
}

void QuotaAccount::onWriteFailed(ErrorCode code, TimePoint now, Commands &commands)
{
    if (!m_write) {
        return;
    }
    if (code == ErrorCode::Unavailable) {
        m_write.reset();
        m_nextWriteAt = now + m_vm.options.writeDelay;
        return;
    }
    if (code == ErrorCode::OutcomeUnknown) {
        m_write->needsRead = true;
    } else {
        m_write.reset();
    }
    m_isReading = true;
    commands.emplace_back(ReadGrant{.account = m_name});
}

bool QuotaAccount::confirmsWrite(const QuotaGrant &grant) const
{
    return m_write && grant == m_write->grant;
}

const QuotaShare *QuotaAccount::findShare(const VmName &holder) const
{
    const auto it
        = std::find_if(m_grant.shares.begin(), m_grant.shares.end(), [&holder](const QuotaShare &share) { return share.holder == holder; });
    return it == m_grant.shares.end() ? nullptr : &*it;
}

std::vector<VmName> QuotaAccount::holders() const
{
    std::vector<VmName> names;
    for (const QuotaShare &it : m_grant.shares) {
        names.push_back(it.holder);
    }
    return names;
}

Limits QuotaAccount::claimedShare(const QuotaGrant &grant) const
{
    Limits limits;
    for (const QuotaShare &it : grant.shares) {
        if (it.holder == m_vm.self && it.incarnation == m_vm.incarnation) {
            limits = it.limits;
        }
    }
    return limits;
}

void QuotaAccount::maybeWriteGrant(TimePoint now, Commands &commands)
{
    if (m_isReading || now < m_nextWriteAt || !m_limits || !m_vm.isFresh(now) || !m_vm.isListed) {
        return;
    }
    if (m_write) {
        if (m_write->needsRead) {
            m_isReading = true;
            commands.emplace_back(ReadGrant{.account = m_name});
        }
        return;
    }
    std::optional<Division> division = nextDivision(now);
    if (!division) {
        return;
    }
    m_write = division->write;
    commands.emplace_back(WriteGrant{.account = m_name, .grant = division->write.grant, .ifVersion = division->ifVersion});
}

std::optional<QuotaAccount::Division> QuotaAccount::nextDivision(TimePoint now)
{
    if (m_version == 0) {
        return m_waiting.empty() ? std::nullopt : createDivision();
    }
    if (m_vm.isLeaving) {
        return leaveDivision();
    }
    if (std::optional<Division> claim = claimDivision()) {
        return claim;
    }
    if (std::optional<Division> reclaim = reclaimDivision(now)) {
        return reclaim;
    }
    return raiseDivision(now);
}

std::optional<QuotaAccount::Division> QuotaAccount::createDivision() const
{
    const std::vector<VmName> homes = m_vm.homes(m_name, homeCount(*m_limits));
    if (homes.empty() || m_vm.isLeaving) {
        return std::nullopt;
    }
    const auto n = static_cast<double>(homes.size());
    QuotaGrant grant;
    for (const VmName &it : homes) {
        const std::uint64_t incarnation = it == m_vm.self ? m_vm.incarnation : unclaimedIncarnation;
        grant.shares.push_back({.holder = it,
                                .incarnation = incarnation,
                                .limits = {.ratePerSecond = m_limits->ratePerSecond / n, .burst = m_limits->burst / n}});
    }
    return Division{.write = {.grant = grant, .startsFull = true}, .ifVersion = std::nullopt};
}

std::optional<QuotaAccount::Division> QuotaAccount::claimDivision() const
{
    const QuotaShare *own = findShare(m_vm.self);
    if (!own || own->incarnation >= m_vm.incarnation) {
        return std::nullopt;
    }
    QuotaGrant grant = m_grant;
    for (QuotaShare &it : grant.shares) {
        if (it.holder == m_vm.self) {
            it.incarnation = m_vm.incarnation;
        }
    }
    const bool isUnclaimed = own->incarnation == unclaimedIncarnation;
    const bool isTakeover = own->incarnation > transferredIncarnation;
    return Division{.write = {.grant = grant, .startsFull = isUnclaimed, .isTakeover = isTakeover}, .ifVersion = m_version};
}

std::optional<QuotaAccount::Division> QuotaAccount::leaveDivision() const
{
    const QuotaShare *own = findShare(m_vm.self);
    if (!own || own->incarnation > m_vm.incarnation) {
        return std::nullopt;
    }
    const std::optional<QuotaGrant> grant = transferShare(m_vm.self);
    if (!grant) {
        return std::nullopt;
    }
    return Division{.write = {.grant = *grant}, .ifVersion = m_version};
}

std::optional<QuotaAccount::Division> QuotaAccount::reclaimDivision(TimePoint now) const
{
    if (m_vm.absentSince.empty()) {
        return std::nullopt;
    }
    const Duration extra = m_vm.options.rankDelay * static_cast<int>(m_vm.rank(m_name, m_vm.self));
    for (const QuotaShare &it : m_grant.shares) {
        if (!m_vm.isGone(it.holder, extra, now)) {
            continue;
        }
        const std::optional<QuotaGrant> grant = transferShare(it.holder);
        return grant ? std::optional(Division{.write = {.grant = *grant}, .ifVersion = m_version}) : std::nullopt;
    }
    return std::nullopt;
}

std::optional<QuotaAccount::Division> QuotaAccount::raiseDivision(TimePoint now)
{
    const Limits sum = sumOf(m_grant);
    if (!isUndivided(sum, *m_limits) || m_grant.shares.empty()) {
        m_undividedSince.reset();
        return std::nullopt;
    }
    m_undividedSince = m_undividedSince.value_or(now);
    const Duration extra = m_vm.options.rankDelay * static_cast<int>(m_vm.rank(m_name, m_vm.self));
    if (now < *m_undividedSince + extra) {
        return std::nullopt;
    }
    QuotaGrant grant = m_grant;
    for (QuotaShare &it : grant.shares) {
        it.limits.ratePerSecond *= std::max(1.0, m_limits->ratePerSecond / sum.ratePerSecond);
        it.limits.burst *= std::max(1.0, m_limits->burst / sum.burst);
        markTransferred(it);
    }
    return Division{.write = {.grant = grant}, .ifVersion = m_version};
}

// Moves a share to a home without one, or else to the live holder with the smallest share. Returns nothing if there is no such
// Vm.
std::optional<QuotaGrant> QuotaAccount::transferShare(const VmName &from) const
{
    QuotaGrant grant = m_grant;
    const auto source = std::find_if(grant.shares.begin(), grant.shares.end(), [&from](const QuotaShare &it) { return it.holder == from; });
    const Limits limits = source->limits;
    grant.shares.erase(source);
    for (const VmName &home : m_vm.homes(m_name, homeCount(*m_limits))) {
        if (home != from && !findShare(home)) {
            grant.shares.push_back({.holder = home, .incarnation = transferredIncarnation, .limits = limits});
            return grant;
        }
    }
    QuotaShare *recipient = nullptr;
    for (QuotaShare &it : grant.shares) {
        if (m_vm.isLive(it.holder) && (!recipient || it.limits < recipient->limits)) {
            recipient = &it;
        }
    }
    if (!recipient) {
        return std::nullopt;
    }
    recipient->limits.ratePerSecond += limits.ratePerSecond;
    recipient->limits.burst += limits.burst;
    markTransferred(*recipient);
    return grant;
}

} // namespace Pollenspoke
