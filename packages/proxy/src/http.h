/// @file
/// Namespace aliases and conversions for Boost.Asio and Boost.Beast.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <pollenspoke/base.h>

namespace Pollenspoke {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = net::ip::tcp;
using SystemError = boost::system::error_code;

inline constexpr auto asTuple = net::as_tuple(net::use_awaitable); // co_await returns a tuple (error, value...) instead of throwing

inline std::string_view toView(beast::string_view text)
{
    return {text.data(), text.size()};
}

inline beast::string_view toBeast(std::string_view text)
{
    return {text.data(), text.size()};
}

Tcp::endpoint toEndpoint(const Address &address);

/// Reads what has arrived on a socket, and never waits: a socket that was reported as readable may have nothing to read by then, and a
/// synchronous receive() of Asio would wait for it. Sets net::error::would_block if nothing has arrived, eof at the end of the stream.
std::size_t receiveArrived(Tcp::socket &socket, net::mutable_buffer buffer, SystemError &ec);

} // namespace Pollenspoke
