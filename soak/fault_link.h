/// @file
/// A TCP proxy on loopback that injects network faults between its clients and one upstream address.
#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <memory>
#include <pollenspoke/base.h>
#include <set>

namespace Pollenspoke {

enum class LinkFault {
    None,
    Delayed,             // adds latency to each read
    StalledToUpstream,   // bytes to the upstream are held back; the other direction works
    StalledFromUpstream, // bytes from the upstream are held back; the other direction works
    Stalled,             // bytes are held back both ways; connections stay open
    Refused,             // open and new connections are reset
};

/// Not thread-safe: call only from the event loop's thread, or before it runs.
class FaultLink
{
public:
    FaultLink(boost::asio::io_context &context, Address upstream);

    Address address() const;
    void setFault(LinkFault fault); // Refused also resets open connections
    void resetAll();

private:
    using Tcp = boost::asio::ip::tcp;
    struct SocketPair
    {
        Tcp::socket client;
        Tcp::socket upstream;
    };

    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> relay(std::shared_ptr<SocketPair> pair);
    boost::asio::awaitable<void> forward(std::shared_ptr<SocketPair> pair, bool isToUpstream);
    static void reset(SocketPair &pair);

    boost::asio::io_context &m_context;
    Address m_upstream;
    Tcp::acceptor m_acceptor;
    LinkFault m_fault = LinkFault::None;
    std::set<std::shared_ptr<SocketPair>> m_pairs;
};

} // namespace Pollenspoke
