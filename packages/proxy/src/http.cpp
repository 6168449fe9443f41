#include "http.h"

#include <cerrno>
#include <sys/socket.h>

namespace Pollenspoke {

Tcp::endpoint toEndpoint(const Address &address)
{
    SystemError ec;
    const auto ip = net::ip::make_address(address.ip, ec);
    POLLENSPOKE_ASSERT(!ec, "pass an Address made by parseAddress()");
    return {ip, address.port};
}

std::size_t receiveArrived(Tcp::socket &socket, net::mutable_buffer buffer, SystemError &ec)
{
    ec = {};
    const ssize_t n = ::recv(socket.native_handle(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (n < 0) {
        const bool hasNothing = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        ec = hasNothing ? SystemError(net::error::would_block) : SystemError(errno, net::error::get_system_category());
        return 0;
    }
    if (n == 0) {
        ec = net::error::eof;
    }
    return static_cast<std::size_t>(n);
}

} // namespace Pollenspoke
