#include "fault_link.h"

namespace Pollenspoke {

namespace {

namespace net = boost::asio;
using SystemError = boost::system::error_code;

constexpr auto asTuple = net::as_tuple(net::use_awaitable);
constexpr auto delay = std::chrono::milliseconds(60);     // well above a round trip, below every timeout
constexpr auto lookAgain = std::chrono::milliseconds(20); // while a fault holds bytes up
constexpr std::size_t pieceBytes = 16384;

net::awaitable<void> pause(std::chrono::milliseconds length)
{
    net::steady_timer timer(co_await net::this_coro::executor, length);
    co_await timer.async_wait(asTuple);
}

} // namespace

FaultLink::FaultLink(net::io_context &context, Address farEnd)
    : m_context(context)
    , m_farEnd(std::move(farEnd))
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
    for (const std::shared_ptr<Pair> &it : m_pairs) {
        reset(*it);
    }
}

void FaultLink::reset(Pair &pair)
{
    SystemError ignored;
    for (Tcp::socket *it : {&pair.near, &pair.far}) {
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
            co_await pause(lookAgain);
            continue;
        }
        auto pair = std::make_shared<Pair>(Pair{.near = std::move(socket), .far = Tcp::socket(m_context)});
        if (m_fault == LinkFault::Refused) {
            reset(*pair);
        } else {
            net::co_spawn(m_context, serve(std::move(pair)), net::detached);
        }
    }
}

net::awaitable<void> FaultLink::serve(std::shared_ptr<Pair> pair)
{
    m_pairs.insert(pair);
    const Tcp::endpoint endpoint(net::ip::make_address(m_farEnd.ip), m_farEnd.port);
    const auto [ec] = co_await pair->far.async_connect(endpoint, asTuple);
    if (ec) {
        reset(*pair);
        m_pairs.erase(pair);
        co_return;
    }
    net::co_spawn(m_context, pump(pair, false), net::detached);
    co_await pump(pair, true);
    m_pairs.erase(pair);
}

net::awaitable<void> FaultLink::pump(std::shared_ptr<Pair> pair, bool isToward)
{
    Tcp::socket &from = isToward ? pair->near : pair->far;
    Tcp::socket &to = isToward ? pair->far : pair->near;
    std::string buf(pieceBytes, '\0');
    for (;;) {
        const auto [readError, n] = co_await from.async_read_some(net::buffer(buf), asTuple);
        const LinkFault cut = isToward ? LinkFault::CutToward : LinkFault::CutBack;
        while ((m_fault == LinkFault::Silent || m_fault == cut) && from.is_open()) {
            co_await pause(lookAgain); // held up, as by a partition: it goes on afterwards
        }
        if (m_fault == LinkFault::Delayed) {
            co_await pause(delay);
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
        const auto [writeError, written] = co_await net::async_write(to, net::buffer(buf.data(), n), asTuple);
        if (writeError) {
            reset(*pair);
            co_return;
        }
    }
}

} // namespace Pollenspoke
