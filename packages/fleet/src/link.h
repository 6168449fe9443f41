/// @file
/// UDP datagrams between the Vms of a fleet.
#pragma once

#include "members.h"

#include <array>
#include <boost/asio.hpp>
#include <deque>

namespace Pollenspoke {

/// A Vm's status and its view of targets.
struct StatusReport
{
    bool isLeaving = false;
    bool isImpaired = false;                    // fails to reach targets that other seat holders reach
    StorePosition newestChange;                 // of all changes that the sender knows
    std::uint64_t declarationsVersion = 0;      // of those in force; 0: none
    Duration storeReachableFor{};               // time of uninterrupted access to the store; 0: the store is unreachable
    std::optional<TargetUpdates> targetReports; // empty: this datagram doesn't report targets
    bool isFullReport = true;                   // false: only the changed targets are listed
    DemandUpdates demand;                       // sent only together with `targetReports`, which may be without targets
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

/// How far a Vm follows one kind of documents.
struct FeedCursor
{
    StorePosition since;        // it has all changes up to here
    StorePosition newestChange; // position of the newest of them, or a later one
    auto operator<=>(const FeedCursor &) const = default;
};

/// Requests the changes of all kinds of documents that a Vm follows. To the receiver it is also a sign of life.
struct FeedRequest
{
    std::uint64_t id = 0;
    bool isLeaving = false;
    std::map<std::string, FeedCursor> cursors; // by kind
    std::uint64_t declarationsVersion = 0;     // of those in force at the sender; 0: none
    bool needsDepartures = false;              // the sender has just started, or the store was restored
};

struct FeedReply
{
    std::uint64_t id = 0;
    std::map<std::string, std::optional<DocumentChanges>> changes; // by kind; empty: the sender's log doesn't cover them
    std::map<std::string, Duration> knownAges;                     // by kind: the sender knows all changes older than that
    Duration storeContactAge{};                                    // since the store answered the sender or one of its sources
    std::vector<SeatHolderStatus> overdue;                         // the sender received recent reports from all other seat holders
    std::vector<VmName> deputies;                                  // Vms without a seat from which the sender gets the store's changes
    std::optional<StoredDocument> declarations;                    // in force at the sender, if newer than the receiver's
    std::optional<std::vector<TargetDeparture>> departures;        // if requested; empty: the sender doesn't know them
};

/// Tells other Vms that there are newer changes, so that they don't wait for their next poll.
struct FeedNotice
{
    std::map<std::string, StorePosition> newestChanges; // by kind
};

using LinkMessage = std::variant<StatusReport, TokenRequest, TokenReply, FeedRequest, FeedReply, FeedNotice>;

std::string encodeDatagram(const VmName &sender, const LinkMessage &message);
std::optional<std::pair<VmName, LinkMessage>> decodeDatagram(std::string_view bytes); // empty: malformed, or a fragment

/// A part of a datagram that is too long to be sent whole.
struct Fragment
{
    std::uint64_t id = 0; // of the datagram; unique for the sender
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    std::string part;
};

std::vector<std::string> splitDatagram(const VmName &sender, std::uint64_t id, std::string_view bytes); // encoded fragments
std::optional<std::pair<VmName, Fragment>> decodeFragment(std::string_view bytes);                      // empty: not a fragment

/// Joins the fragments of datagrams. Holds a bounded number of incomplete ones; the oldest is dropped first.
class Reassembler
{
public:
    static constexpr std::uint32_t maxFragments = 256; // of one datagram: 4 MB
    static constexpr std::size_t maxIncomplete = 8;

    std::optional<std::string> add(const VmName &sender, Fragment fragment); // the datagram, once it is complete

private:
    struct Incomplete
    {
        VmName sender;
        std::uint64_t id = 0;
        std::vector<std::string> parts;
        std::uint32_t missing = 0;
    };

    std::deque<Incomplete> m_incomplete; // oldest first
};

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
    void handleDatagram(std::string_view bytes, const boost::asio::ip::udp::endpoint &from);

    boost::asio::io_context &m_context;
    VmName m_self;
    Address m_address;
    Handler m_handler;
    boost::asio::ip::udp::socket m_socket;
    std::array<char, 65536> m_buffer{};
    std::uint64_t m_lastLongDatagramId; // starts at random: a restarted Vm must not continue the datagrams of its predecessor
    Reassembler m_reassembler;
};

boost::asio::ip::udp::endpoint toDatagramEndpoint(const Address &address);

} // namespace Pollenspoke
