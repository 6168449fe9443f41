#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <pollenspoke/fleet.h>

namespace Pollenspoke {

namespace {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = net::ip::tcp;
using SystemError = boost::system::error_code;

constexpr auto asTuple = net::as_tuple(net::use_awaitable);
constexpr auto idleTimeout = std::chrono::seconds(20);           // for each read and write, also between requests
constexpr auto acceptRetryDelay = std::chrono::milliseconds(50); // after a failed accept, such as out of file descriptors
constexpr std::uint32_t maxHeaderBytes = 8192;

PageRequest makePageRequest(std::string_view target)
{
    const std::size_t queryStart = std::min(target.find('?'), target.size());
    return {.path = std::string(target.substr(0, queryStart)),
            .query = std::string(target.substr(std::min(queryStart + 1, target.size())))};
}

http::response<http::string_body> makeResponse(Page page, const http::request<http::empty_body> &request)
{
    http::response<http::string_body> response;
    response.version(11);
    response.result(page.status);
    response.set(http::field::content_type, page.contentType);
    response.keep_alive(request.keep_alive());
    response.body() = std::move(page.body);
    response.prepare_payload();
    return response;
}

net::awaitable<void> servePages(Tcp::socket socket, std::shared_ptr<PageServer::Handler> handler)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    for (;;) {
        http::request_parser<http::empty_body> parser;
        parser.header_limit(maxHeaderBytes);
        stream.expires_after(idleTimeout);
        const auto [readError, read] = co_await http::async_read(stream, buffer, parser, asTuple);
        if (readError) {
            co_return;
        }
        const auto &request = parser.get();
        const std::string_view target(request.target().data(), request.target().size());
        Page page = request.method() == http::verb::get ? (*handler)(makePageRequest(target)) : Page{.status = 405};
        const auto response = makeResponse(std::move(page), request);
        const auto [writeError, written] = co_await http::async_write(stream, response, asTuple);
        if (writeError || !response.keep_alive()) {
            co_return;
        }
    }
}

} // namespace

struct PageServer::Impl
{
    net::io_context &context;
    Address address;
    std::shared_ptr<Handler> handler;
    Tcp::acceptor acceptor;

    net::awaitable<void> acceptLoop(std::shared_ptr<Impl> self);
};

net::awaitable<void> PageServer::Impl::acceptLoop(std::shared_ptr<Impl> self)
{
    while (self->acceptor.is_open()) {
        auto [ec, socket] = co_await self->acceptor.async_accept(asTuple);
        if (!ec) {
            net::co_spawn(self->context, servePages(std::move(socket), self->handler), net::detached);
        } else if (ec != net::error::operation_aborted) {
            logEvent(Event::AcceptFailed, {{"address", toString(self->address)}, {"error", ec.message()}}, LogLevel::Warning);
            net::steady_timer timer(self->context, acceptRetryDelay);
            co_await timer.async_wait(asTuple);
        }
    }
}

PageServer::PageServer(net::io_context &context, Address address, Handler handler)
    : m_impl(new Impl{.context = context,
                      .address = std::move(address),
                      .handler = std::make_shared<Handler>(std::move(handler)),
                      .acceptor = Tcp::acceptor(context)})
{
}

PageServer::~PageServer()
{
    SystemError ignored;
    m_impl->acceptor.close(ignored);
}

Result<void> PageServer::start()
{
    SystemError ec;
    Tcp::acceptor &acceptor = m_impl->acceptor;
    const Tcp::endpoint endpoint(net::ip::make_address(m_impl->address.ip, ec), m_impl->address.port);
    if (!ec) {
        acceptor.open(endpoint.protocol(), ec);
    }
    if (!ec) {
        acceptor.set_option(net::socket_base::reuse_address(true), ec);
    }
    if (!ec) {
        acceptor.bind(endpoint, ec);
    }
    if (!ec) {
        acceptor.listen(net::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return tl::unexpected(Error{.code = ErrorCode::Io, .path = toString(m_impl->address), .detail = ec.message()});
    }
    net::co_spawn(m_impl->context, m_impl->acceptLoop(m_impl), net::detached);
    return {};
}

} // namespace Pollenspoke
