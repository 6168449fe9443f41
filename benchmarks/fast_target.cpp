// A target with minimal overhead: answers every request with a fixed body and echoes its request ID.
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <docopt/docopt.h>
#include <iostream>
#include <thread>

namespace {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = net::ip::tcp;

constexpr const char *usage = R"(pollenspoke-bench-target: a minimal HTTP target for benchmarks.

Usage:
  pollenspoke-bench-target --port PORT [--body-bytes N] [--delay-us N]

Options:
  --port PORT     Port to listen on at 127.0.0.1.
  --body-bytes N  Body size of every answer [default: 200].
  --delay-us N    Delay before each answer, in microseconds [default: 0].
)";

constexpr auto asTuple = net::as_tuple(net::use_awaitable);
constexpr const char *idHeader = "Pollenspoke-Request-Id";

struct TargetOptions
{
    std::string body;
    std::chrono::microseconds delay{};
};

net::awaitable<void> serve(Tcp::socket socket, const TargetOptions &options)
{
    socket.set_option(Tcp::no_delay(true));
    beast::flat_buffer buf;
    net::steady_timer timer(co_await net::this_coro::executor);
    for (;;) {
        http::request<http::string_body> request;
        const auto [ec, n] = co_await http::async_read(socket, buf, request, asTuple);
        if (ec) {
            co_return;
        }
        if (options.delay.count() != 0) {
            timer.expires_after(options.delay);
            co_await timer.async_wait(asTuple);
        }
        http::response<http::string_body> answer(http::status::ok, 11);
        answer.keep_alive(request.keep_alive());
        const auto it = request.find(idHeader);
        if (it != request.end()) {
            answer.set(idHeader, it->value());
        }
        answer.body() = options.body;
        answer.prepare_payload();
        const auto [writeError, written] = co_await http::async_write(socket, answer, asTuple);
        if (writeError) {
            co_return;
        }
    }
}

net::awaitable<void> acceptLoop(Tcp::acceptor &acceptor, const TargetOptions &options)
{
    for (;;) {
        auto [ec, socket] = co_await acceptor.async_accept(asTuple);
        if (!ec) {
            net::co_spawn(acceptor.get_executor(), serve(std::move(socket), options), net::detached);
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    TargetOptions options;
    options.body.assign(static_cast<std::size_t>(arguments.at("--body-bytes").asLong()), 'x');
    options.delay = std::chrono::microseconds(arguments.at("--delay-us").asLong());
    net::io_context context{1};
    const auto port = static_cast<std::uint16_t>(arguments.at("--port").asLong());
    Tcp::acceptor acceptor(context, Tcp::endpoint(net::ip::address_v4::loopback(), port));
    net::co_spawn(context, acceptLoop(acceptor, options), net::detached);
    context.run();
    return 0;
}
