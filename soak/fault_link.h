/// @file
/// A loopback proxy in front of one address that can delay, cut one way, silence, refuse and reset connections.
#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <memory>
#include <pollenspoke/base.h>
#include <set>

namespace Pollenspoke {

enum class LinkFault {
    None,
    Delayed,   // each piece of bytes waits
    CutToward, // nothing reaches the far end; what it sends still comes back
    CutBack,   // the far end is reached; nothing comes back
    Silent,    // nothing passes, connections stay open
    Refused,   // new connections are reset, and so are those that are open
};

/// All calls come from the event loop's thread, or before it runs.
class FaultLink
{
public:
    FaultLink(boost::asio::io_context &context, Address farEnd);

    Address address() const;
    void setFault(LinkFault fault); // Refused resets what is open
    void resetAll();

private:
    using Tcp = boost::asio::ip::tcp;
    struct Pair
    {
        Tcp::socket near;
        Tcp::socket far;
    };

    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(std::shared_ptr<Pair> pair);
    boost::asio::awaitable<void> pump(std::shared_ptr<Pair> pair, bool isToward);
    static void reset(Pair &pair);

    boost::asio::io_context &m_context;
    Address m_farEnd;
    Tcp::acceptor m_acceptor;
    LinkFault m_fault = LinkFault::None;
    std::set<std::shared_ptr<Pair>> m_pairs;
};

} // namespace Pollenspoke
