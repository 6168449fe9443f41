/// @file
/// Fleet-wide rate limits: admits a request on a token of this Vm's bucket or on one lent by another Vm.
#pragma once

#include "link.h"

#include <boost/asio.hpp>
#include <mutex>

namespace Pollenspoke {

class FleetAdmission final : public AdmissionControl
{
public:
    /// Requests to other Vms run on the context. All arguments must outlive this object.
    FleetAdmission(boost::asio::io_context &context, Link &link, Members &members, const Clock &clock, QuotaPoolOptions options);

    void admit(const AccountName &account, const Limits &limits, TimePoint now, std::function<void(Admission)> onDecided) override;

    // To be called on the context.
    void applySnapshot(std::shared_ptr<const Snapshot> snapshot);
    void setSeats(const VmName &self, std::vector<VmName> seatHolders);
    void setSeatUsed(bool isUsed);
    void setSeatRight(TimePoint endsAt);
    std::set<VmName> displacedHomes(const std::vector<VmName> &previous, const std::vector<VmName> &holders);
    void noteStoreRestored(TimePoint noticedAt); // from an older copy
    TokenReply answerRequest(const TokenRequest &request);
    void handleReply(const TokenReply &reply);

private:
    struct PendingRequest
    {
        boost::asio::steady_timer timer;
        std::optional<bool> isGranted;
    };

    boost::asio::awaitable<void> requestToken(AccountName account, Limits limits, std::function<void(Admission)> onDecided);
    boost::asio::awaitable<bool> requestTokenFrom(const Member &member, const AccountName &account);
    std::vector<VmName> lenderCandidates(const AccountName &account, const Limits &limits);
    Admission makeRateExceeded(const AccountName &account, const Limits &limits);

    boost::asio::io_context &m_context;
    Link &m_link;
    Members &m_members;
    const Clock &m_clock;
    std::mutex m_mutex; // guards m_pool
    QuotaPool m_pool;
    std::shared_ptr<const Snapshot> m_snapshot;
    std::map<std::uint64_t, PendingRequest> m_pendingRequests;
    std::uint64_t m_lastRequestId = 0;
    Generator m_generator;
};

} // namespace Pollenspoke
