/// @file
/// UDP datagrams between the Vms of a fleet.
#pragma once

#include "members.h"

#include <array>
#include <boost/asio.hpp>

namespace Pollenspoke {

/// A Vm's status and its view of targets.
struct StatusReport
{
    bool isLeaving = false;
    std::uint64_t declarationsRevision = 0;
    std::uint64_t rosterRevision = 0;
    Duration storeReachableFor{};               // time of uninterrupted access to the store; 0: the store is unreachable
    std::optional<TargetUpdates> targetReports; // empty: this datagram doesn't report targets
    bool isFullReport = true;                   // false: only the changed targets are listed
};

/// Requests one rate limit token of an account from another Vm.
struct TokenRequest
{
    std::uint64_t id = 0;
    AccountName account;
};
struct TokenReply
{
    std::uint64_t id = 0;
    bool isGranted = false;
};

/// Requests the changes of one kind of documents from a store watcher.
struct FeedRequest
{
    std::uint64_t id = 0;
    std::string kind;
    std::uint64_t since = 0; // store revision
};
struct FeedReply
{
    std::uint64_t id = 0;
    std::optional<DocumentChanges> changes; // empty: the sender's log doesn't cover them; use the store
};

using LinkMessage = std::variant<StatusReport, TokenRequest, TokenReply, FeedRequest, FeedReply>;

std::string encodeDatagram(const VmName &sender, const LinkMessage &message);
std::optional<std::pair<VmName, LinkMessage>> decodeDatagram(std::string_view bytes); // empty: malformed

/// UDP socket that exchanges messages with other Vms. Delivery is best-effort.
class Link
{
public:
    using Handler = std::function<void(const VmName &sender, const LinkMessage &message, const boost::asio::ip::udp::endpoint &from)>;

    Link(boost::asio::io_context &context, VmName self, Address address, Handler handler);

    Result<void> start(); // Io when the address can't be bound
    void send(const Address &to, const LinkMessage &message);
    void send(const boost::asio::ip::udp::endpoint &to, std::string_view bytes); // bytes: from encodeDatagram()

private:
    boost::asio::awaitable<void> receive();

    boost::asio::io_context &m_context;
    VmName m_self;
    Address m_address;
    Handler m_handler;
    boost::asio::ip::udp::socket m_socket;
    std::array<char, 65536> m_buffer{};
};

boost::asio::ip::udp::endpoint toDatagramEndpoint(const Address &address);

} // namespace Pollenspoke
