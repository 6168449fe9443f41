/// @file
/// Datagrams between the Vms of a fleet.
#pragma once

#include "members.h"

#include <array>
#include <boost/asio.hpp>

namespace Pollenspoke {

/// What a Vm says of itself and of targets.
struct StatusReport
{
    bool isLeaving = false;
    std::uint64_t declarationsRevision = 0;
    std::uint64_t rosterRevision = 0;
    Duration storeUp{};                // how long the sender has had the store without a break; 0: it hasn't
    std::optional<TargetUpdates> news; // nothing: says nothing of targets this time
    bool isWhole = true;               // false: the targets that aren't named are as they were
};

/// Asks for one token of an account, and the answer.
struct TokenQuestion
{
    std::uint64_t id = 0;
    AccountName account;
};
struct TokenReply
{
    std::uint64_t id = 0;
    bool isGranted = false;
};

/// Asks a seat holder for what changed in a kind of the store's documents, and the answer.
struct FeedQuestion
{
    std::uint64_t id = 0;
    std::string kind;
    std::uint64_t since = 0; // revision
};
struct FeedReply
{
    std::uint64_t id = 0;
    std::optional<DocumentChanges> changes; // nothing: ask the store
};

using LinkMessage = std::variant<StatusReport, TokenQuestion, TokenReply, FeedQuestion, FeedReply>;

std::string encodeDatagram(const VmName &sender, const LinkMessage &message);
std::optional<std::pair<VmName, LinkMessage>> decodeDatagram(std::string_view bytes); // nothing: not one of ours

class Link
{
public:
    using Handler = std::function<void(const VmName &sender, const LinkMessage &message, const boost::asio::ip::udp::endpoint &from)>;

    Link(boost::asio::io_context &context, VmName self, Address address, Handler handler);

    Result<void> start(); // Io when the address can't be bound
    void send(const Address &to, const LinkMessage &message);
    void send(const boost::asio::ip::udp::endpoint &to, std::string_view bytes); // a datagram made by encodeDatagram()

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
