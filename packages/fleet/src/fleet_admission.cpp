#include "fleet_admission.h"

#include <algorithm>

namespace Pollenspoke {

namespace {

namespace net = boost::asio;

constexpr auto asTuple = net::as_tuple(net::use_awaitable);
constexpr auto replyTime = std::chrono::milliseconds(15); // a round trip within the region is about 2 ms
constexpr std::size_t mostQuestions = 8;                  // of one request: the fewest seats that there are

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

void FleetAdmission::admit(const AccountName &account, const Limits &limits, TimePoint now, std::function<void(Admission)> decided)
{
    QuotaDecision decision = QuotaDecision::Refuse;
    {
        const std::lock_guard lock(m_mutex);
        decision = m_pool.decide(account, limits, now);
    }
    switch (decision) {
    case QuotaDecision::Admit:
        decided(Admitted{});
        return;
    case QuotaDecision::Refuse:
        decided(refuse(account, limits));
        return;
    case QuotaDecision::Ask:
        net::co_spawn(m_context, ask(account, limits, std::move(decided)), net::detached);
        return;
    }
}

Admission FleetAdmission::refuse(const AccountName &account, const Limits &limits)
{
    const std::lock_guard lock(m_mutex);
    return RateExceeded{.retryAfter = m_pool.retryAfter(account, limits, m_clock.now())};
}

std::vector<VmName> FleetAdmission::lenders(const AccountName &account, const Limits &limits)
{
    std::vector<VmName> homes;
    {
        const std::lock_guard lock(m_mutex);
        homes = m_pool.homes(account, limits);
    }
    const TimePoint now = m_clock.now();
    std::erase_if(homes, [this, now](const VmName &it) {
        const Member *member = m_members.find(it);
        return member == nullptr || m_members.isSelf(it) || now - member->heardAt > Members::freshTime;
    });
    std::shuffle(homes.begin(), homes.end(), m_generator);
    homes.resize(std::min(homes.size(), mostQuestions));
    return homes;
}

net::awaitable<void> FleetAdmission::ask(AccountName account, Limits limits, std::function<void(Admission)> decided)
{
    for (const VmName &it : lenders(account, limits)) {
        const Member *member = m_members.find(it);
        if (member != nullptr && co_await askOne(*member, account)) {
            decided(Admitted{});
            co_return;
        }
    }
    {
        const std::lock_guard lock(m_mutex);
        m_pool.noteBorrowFailed(account, m_clock.now());
    }
    decided(refuse(account, limits));
}

// A reply that comes too late is dropped with its token.
net::awaitable<bool> FleetAdmission::askOne(const Member &member, const AccountName &account)
{
    const std::uint64_t id = ++m_lastId;
    Asking &asking = m_asking.emplace(id, Asking{.timer = net::steady_timer(m_context, replyTime)}).first->second;
    m_link.send(member.registration.peers, TokenQuestion{.id = id, .account = account});
    co_await asking.timer.async_wait(asTuple);
    const bool isGranted = asking.isGranted.value_or(false);
    m_asking.erase(id);
    co_return isGranted;
}

void FleetAdmission::takeReply(const TokenReply &reply)
{
    const auto it = m_asking.find(reply.id);
    if (it != m_asking.end()) {
        it->second.isGranted = reply.isGranted;
        it->second.timer.cancel();
    }
}

TokenReply FleetAdmission::answer(const TokenQuestion &question)
{
    const ClientAccount *account = m_snapshot ? m_snapshot->findAccount(question.account) : nullptr;
    if (account == nullptr) {
        return {.id = question.id};
    }
    const std::lock_guard lock(m_mutex);
    return {.id = question.id, .isGranted = m_pool.lend(question.account, account->limits, m_clock.now())};
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

void FleetAdmission::setSeats(const VmName &self, std::vector<VmName> holders)
{
    const std::lock_guard lock(m_mutex);
    m_pool.setSeats(self, std::move(holders), m_clock.now());
}

} // namespace Pollenspoke
