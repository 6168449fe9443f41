/// @file
/// Rate and burst over the whole fleet: a token of this Vm, or one that another Vm gives up.
#pragma once

#include "link.h"

#include <boost/asio.hpp>
#include <mutex>

namespace Pollenspoke {

class FleetAdmission final : public AdmissionControl
{
public:
    /// Questions run on the context. All must outlive it.
    FleetAdmission(boost::asio::io_context &context, Link &link, Members &members, const Clock &clock, QuotaPoolOptions options);

    void admit(const AccountName &account, const Limits &limits, TimePoint now, std::function<void(Admission)> decided) override;

    // On the context.
    void applySnapshot(std::shared_ptr<const Snapshot> snapshot);
    void setSeats(const VmName &self, std::vector<VmName> holders);
    TokenReply answer(const TokenQuestion &question);
    void takeReply(const TokenReply &reply);

private:
    struct Asking
    {
        boost::asio::steady_timer timer;
        std::optional<bool> isGranted;
    };

    boost::asio::awaitable<void> ask(AccountName account, Limits limits, std::function<void(Admission)> decided);
    boost::asio::awaitable<bool> askOne(const Member &member, const AccountName &account);
    std::vector<VmName> lenders(const AccountName &account, const Limits &limits);
    Admission refuse(const AccountName &account, const Limits &limits);

    boost::asio::io_context &m_context;
    Link &m_link;
    Members &m_members;
    const Clock &m_clock;
    std::mutex m_mutex; // guards m_pool
    QuotaPool m_pool;
    std::shared_ptr<const Snapshot> m_snapshot;
    std::map<std::uint64_t, Asking> m_asking;
    std::uint64_t m_lastId = 0;
    Generator m_generator;
};

} // namespace Pollenspoke
