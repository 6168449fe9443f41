#include "raw_socket.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace Pollenspoke {

namespace {

constexpr time_t readTimeoutSeconds = 5;
constexpr int pollIntervalMs = 10;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

int listenOn(std::uint16_t &port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t n = sizeof(address);
    auto *socketAddress = reinterpret_cast<sockaddr *>(&address);
    if (::bind(fd, socketAddress, n) != 0 || ::listen(fd, SOMAXCONN) != 0 || ::getsockname(fd, socketAddress, &n) != 0) {
        throw std::runtime_error("cannot listen on 127.0.0.1");
    }
    port = ntohs(address.sin_port);
    return fd;
}

} // namespace

RawSocket::RawSocket(int fd)
    : m_fd(fd)
{
    timeval timeout{};
    timeout.tv_sec = readTimeoutSeconds;
    ::setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
}

RawSocket RawSocket::connectTo(std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(fd);
        throw std::runtime_error("cannot connect to the port on 127.0.0.1");
    }
    return RawSocket(fd);
}

RawSocket::~RawSocket()
{
    if (m_fd >= 0) {
        ::close(m_fd);
    }
}

RawSocket::RawSocket(RawSocket &&other) noexcept
    : m_fd(other.m_fd)
{
    other.m_fd = -1;
}

void RawSocket::send(const std::string &bytes)
{
    std::size_t sentBytes = 0;
    while (sentBytes < bytes.size()) {
        const ssize_t n = ::send(m_fd, bytes.data() + sentBytes, bytes.size() - sentBytes, MSG_NOSIGNAL);
        if (n <= 0) {
            return;
        }
        sentBytes += static_cast<std::size_t>(n);
    }
}

void RawSocket::shutdownWrite()
{
    ::shutdown(m_fd, SHUT_WR);
}

std::string RawSocket::readUntil(const std::string &delimiter)
{
    std::string text;
    char it = 0;
    while (text.size() < delimiter.size() || text.compare(text.size() - delimiter.size(), delimiter.size(), delimiter) != 0) {
        if (::recv(m_fd, &it, 1, 0) != 1) {
            break;
        }
        text += it;
    }
    return text;
}

std::string RawSocket::readRest(bool &hasEnded)
{
    std::string text;
    char buf[4096];
    ssize_t n = 0;
    while ((n = ::recv(m_fd, buf, sizeof(buf), 0)) > 0) {
        text.append(buf, static_cast<std::size_t>(n));
    }
    hasEnded = n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    return text;
}

RawServer::RawServer(Script script)
    : m_script(std::move(script))
    , m_listener(listenOn(m_port))
    , m_thread([this] { run(); })
{
}

RawServer::~RawServer()
{
    m_isStopping = true;
    m_thread.join();
    ::close(m_listener);
}

void RawServer::run()
{
    int number = 0;
    while (!m_isStopping) {
        pollfd it{m_listener, POLLIN, 0};
        if (::poll(&it, 1, pollIntervalMs) > 0) {
            RawSocket socket(::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC));
            m_script(socket, number++);
        }
    }
}

std::uint16_t findFreePort()
{
    std::uint16_t port = 0;
    ::close(listenOn(port));
    return port;
}

} // namespace Pollenspoke
