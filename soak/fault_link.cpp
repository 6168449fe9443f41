#include "fault_link.h"

namespace Pollenspoke {

namespace {

namespace net = boost::asio;
using SystemError = boost::system::error_code;

constexpr auto asTuple = net::as_tuple(net::use_awaitable);
constexpr auto delay = std::chrono::milliseconds(60);        // well above a loopback round trip, below every timeout
constexpr auto pollInterval = std::chrono::milliseconds(20); // while a fault holds bytes back
constexpr std::size_t bufferBytes = 16384;

net::awaitable<void> sleepFor(std::chrono::milliseconds duration)
{
    net::steady_timer timer(co_await net::this_coro::executor, duration);
    co_await timer.async_wait(asTuple);
}

} // namespace

FaultLink::FaultLink(net::io_context &context, Address upstream)
    : m_context(context)
    , m_upstream(std::move(upstream))
    , m_acceptor(context, Tcp::endpoint(net::ip::address_v4::loopback(), 0))
{
    net::co_spawn(m_context, acceptLoop(), net::detached);
}

Address FaultLink::address() const
{
    return {.ip = "127.0.0.1", .port = m_acceptor.local_endpoint().port()};
}

void FaultLink::setFault(LinkFault fault)
{
    m_fault = fault;
    if (fault == LinkFault::Refused) {
        resetAll();
    }
}

void FaultLink::resetAll()
{
    for (const std::shared_ptr<SocketPair> &it : m_pairs) {
        reset(*it);
    }
}

void FaultLink::reset(SocketPair &pair)
{
    SystemError ignored;
    for (Tcp::socket *it : {&pair.client, &pair.upstream}) {
        it->set_option(net::socket_base::linger(true, 0), ignored);
        it->close(ignored);
    }
}

net::awaitable<void> FaultLink::acceptLoop()
{
    for (;;) {
        auto [ec, socket] = co_await m_acceptor.async_accept(asTuple);
        if (ec == net::error::operation_aborted) {
            co_return;
        }
        if (ec) {
            co_await sleepFor(pollInterval);
            continue;
        }
        auto pair = std::make_shared<SocketPair>(SocketPair{.client = std::move(socket), .upstream = Tcp::socket(m_context)});
        if (m_fault == LinkFault::Refused) {
            reset(*pair);
        } else {
            net::co_spawn(m_context, relay(std::move(pair)), net::detached);
        }
    }
}

net::awaitable<void> FaultLink::relay(std::shared_ptr<SocketPair> pair)
{
    m_pairs.insert(pair);
    const Tcp::endpoint endpoint(net::ip::make_address(m_upstream.ip), m_upstream.port);
    const auto [ec] = co_await pair->upstream.async_connect(endpoint, asTuple);
    if (ec) {
        reset(*pair);
        m_pairs.erase(pair);
        co_return;
    }
    net::co_spawn(m_context, forward(pair, false), net::detached);
    co_await forward(pair, true);
    m_pairs.erase(pair);
}

net::awaitable<void> FaultLink::forward(std::shared_ptr<SocketPair> pair, bool isToUpstream)
{
    Tcp::socket &from = isToUpstream ? pair->client : pair->upstream;
    Tcp::socket &to = isToUpstream ? pair->upstream : pair->client;
    std::string buffer(bufferBytes, '\0');
    for (;;) {
        const auto [readError, n] = co_await from.async_read_some(net::buffer(buffer), asTuple);
        const LinkFault stalledDirection = isToUpstream ? LinkFault::StalledToUpstream : LinkFault::StalledFromUpstream;
        while ((m_fault == LinkFault::Stalled || m_fault == stalledDirection) && from.is_open()) {
            co_await sleepFor(pollInterval); // like a network partition: the bytes are delivered after it ends
        }
        if (m_fault == LinkFault::Delayed) {
            co_await sleepFor(delay);
        }
        SystemError ignored;
        if (readError == net::error::eof) {
            to.shutdown(Tcp::socket::shutdown_send, ignored);
            co_return;
        }
        if (readError) {
            reset(*pair);
            co_return;
        }
        const auto [writeError, written] = co_await net::async_write(to, net::buffer(buffer.data(), n), asTuple);
        if (writeError) {
            reset(*pair);
            co_return;
        }
    }
}

} // namespace Pollenspoke
