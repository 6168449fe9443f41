#include "fleet_admission.h"

#include <algorithm>

namespace Pollenspoke {

namespace {

namespace net = boost::asio;

constexpr auto asTuple = net::as_tuple(net::use_awaitable);
constexpr auto replyTimeout = std::chrono::milliseconds(15); // a round trip within the region is about 2 ms
constexpr std::size_t maxTokenRequests = 8;                  // per caller request; the minimum number of seats in a fleet

} // namespace

FleetAdmission::FleetAdmission(net::io_context &context, Link &link, Members &members, const Clock &clock, QuotaPoolOptions options)
    : m_context(context)
    , m_link(link)
    , m_members(members)
    , m_clock(clock)
    , m_pool(options)
    , m_generator(std::random_device{}())
{
}

void FleetAdmission::admit(const AccountName &account, const Limits &limits, TimePoint now, std::function<void(Admission)> onDecided)
{
    QuotaDecision decision = QuotaDecision::Refuse;
    {
        const std::lock_guard lock(m_mutex);
        decision = m_pool.decide(account, limits, now);
    }
    switch (decision) {
    case QuotaDecision::Admit:
        onDecided(Admitted{});
        return;
    case QuotaDecision::Refuse:
        onDecided(makeRateExceeded(account, limits));
        return;
    case QuotaDecision::Ask:
        net::co_spawn(m_context, requestToken(account, limits, std::move(onDecided)), net::detached);
        return;
    }
}

Admission FleetAdmission::makeRateExceeded(const AccountName &account, const Limits &limits)
{
    const std::lock_guard lock(m_mutex);
    return RateExceeded{.retryAfter = m_pool.retryAfter(account, limits, m_clock.now())};
}

std::vector<VmName> FleetAdmission::lenderCandidates(const AccountName &account, const Limits &limits)
{
    std::vector<VmName> candidates;
    {
        const std::lock_guard lock(m_mutex);
        candidates = m_pool.homes(account, limits);
    }
    const TimePoint now = m_clock.now();
    std::erase_if(candidates, [this, now](const VmName &it) {
        const Member *member = m_members.find(it);
        return member == nullptr || m_members.isSelf(it) || now - member->lastReportAt > Members::freshReportAge;
    });
    std::shuffle(candidates.begin(), candidates.end(), m_generator);
    candidates.resize(std::min(candidates.size(), maxTokenRequests));
    return candidates;
}

net::awaitable<void> FleetAdmission::requestToken(AccountName account, Limits limits, std::function<void(Admission)> onDecided)
{
    for (const VmName &it : lenderCandidates(account, limits)) {
        const Member *member = m_members.find(it);
        if (member != nullptr && co_await requestTokenFrom(*member, account)) {
            onDecided(Admitted{});
            co_return;
        }
    }
    {
        const std::lock_guard lock(m_mutex);
        m_pool.noteBorrowFailed(account, m_clock.now());
    }
    onDecided(makeRateExceeded(account, limits));
}

// A reply that arrives after the timeout is ignored, and the lent token is lost.
net::awaitable<bool> FleetAdmission::requestTokenFrom(const Member &member, const AccountName &account)
{
    const std::uint64_t id = ++m_lastRequestId;
    PendingRequest &pending
        = m_pendingRequests.emplace(id, PendingRequest{.timer = net::steady_timer(m_context, replyTimeout)}).first->second;
    m_link.send(member.registration.peers, TokenRequest{.id = id, .account = account});
    co_await pending.timer.async_wait(asTuple);
    const bool isGranted = pending.isGranted.value_or(false);
    m_pendingRequests.erase(id);
    co_return isGranted;
}

void FleetAdmission::handleReply(const TokenReply &reply)
{
    const auto it = m_pendingRequests.find(reply.id);
    if (it != m_pendingRequests.end()) {
        it->second.isGranted = reply.isGranted;
        it->second.timer.cancel();
    }
}

TokenReply FleetAdmission::answerRequest(const TokenRequest &request)
{
    const ClientAccount *account = m_snapshot ? m_snapshot->findAccount(request.account) : nullptr;
    if (account == nullptr) {
        return {.id = request.id};
    }
    const std::lock_guard lock(m_mutex);
    return {.id = request.id, .isGranted = m_pool.lend(request.account, account->limits, m_clock.now())};
}

void FleetAdmission::applySnapshot(std::shared_ptr<const Snapshot> snapshot)
{
    m_snapshot = std::move(snapshot);
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    for (const auto &[name, account] : m_snapshot->accounts()) {
        m_pool.addAccount(name, account.limits, now);
    }
}

void FleetAdmission::noteStoreRestored(TimePoint noticedAt)
{
    const std::lock_guard lock(m_mutex);
    m_pool.noteStoreRestored(noticedAt);
}

void FleetAdmission::setSeatUsed(bool isUsed)
{
    const std::lock_guard lock(m_mutex);
    m_pool.setSeatUsed(isUsed, m_clock.now());
}

void FleetAdmission::setSeatRight(TimePoint endsAt)
{
    const std::lock_guard lock(m_mutex);
    m_pool.setSeatRight(endsAt);
}

std::set<VmName> FleetAdmission::displacedHomes(const std::vector<VmName> &previous, const std::vector<VmName> &holders)
{
    const std::lock_guard lock(m_mutex);
    return m_pool.displacedHomes(previous, holders);
}

void FleetAdmission::setSeats(const VmName &self, std::vector<VmName> holders)
{
    const std::lock_guard lock(m_mutex);
    m_pool.setSeats(self, std::move(holders), m_clock.now());
}

} // namespace Pollenspoke
