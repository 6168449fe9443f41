#include "scripted_target.h"

#include <algorithm>
#include <arpa/inet.h>
#include <boost/algorithm/string/case_conv.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <poll.h>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

namespace Pollenspoke {

namespace {

constexpr int pollIntervalMs = 10;

int listenOnLoopback(std::uint16_t &port, int backlog = SOMAXCONN, const ListenOptions &options = {})
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof(address);
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    if (options.receiveBufferBytes != 0) {
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &options.receiveBufferBytes, sizeof(options.receiveBufferBytes));
    }
    const bool isListening = ::bind(fd, generic, n) == 0 && ::listen(fd, backlog) == 0 && ::getsockname(fd, generic, &n) == 0;
    POLLENSPOKE_ASSERT(isListening, "the tests must be able to listen on 127.0.0.1");
    port = ntohs(address.sin_port);
    return fd;
}

// Waits until the descriptor is readable. False: `isStopping` was set or the deadline passed.
bool waitReadable(int fd, const std::atomic<bool> &isStopping, std::optional<std::chrono::steady_clock::time_point> deadline = {})
{
    while (!isStopping && (!deadline || std::chrono::steady_clock::now() < *deadline)) {
        pollfd it{.fd = fd, .events = POLLIN, .revents = 0};
        if (::poll(&it, 1, pollIntervalMs) > 0) {
            return true;
        }
    }
    return false;
}

} // namespace

std::string ReceivedRequest::header(const std::string &name) const
{
    const std::string lowerHead = boost::algorithm::to_lower_copy(head);
    const std::string prefix = "\r\n" + boost::algorithm::to_lower_copy(name) + ":";
    const auto at = lowerHead.find(prefix);
    if (at == std::string::npos) {
        return {};
    }
    const auto start = at + prefix.size();
    return boost::algorithm::trim_copy(head.substr(start, head.find("\r\n", start) - start));
}

AcceptedConnection::AcceptedConnection(int fd, std::size_t number, const std::atomic<bool> &isStopping, BytesCallback onBytes)
    : m_fd(fd)
    , m_number(number)
    , m_isStopping(isStopping)
    , m_onBytes(std::move(onBytes))
{
}

AcceptedConnection::~AcceptedConnection()
{
    closeNow();
}

std::optional<std::string> AcceptedConnection::readSome(std::size_t maxBytes)
{
    if (m_fd < 0 || !waitReadable(m_fd, m_isStopping)) {
        return std::nullopt;
    }
    std::string buffer(maxBytes, '\0');
    const ssize_t n = ::recv(m_fd, buffer.data(), buffer.size(), 0);
    if (n <= 0) {
        return std::nullopt;
    }
    buffer.resize(static_cast<std::size_t>(n));
    m_onBytes(buffer);
    return buffer;
}

bool AcceptedConnection::readBytes(std::size_t n)
{
    while (n != 0) {
        const std::optional<std::string> chunk = readSome(n);
        if (!chunk) {
            return false;
        }
        n -= chunk->size();
    }
    return true;
}

std::optional<ReceivedRequest> AcceptedConnection::readHead()
{
    std::size_t end = std::string::npos;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        const std::optional<std::string> chunk = readSome();
        if (!chunk) {
            return std::nullopt;
        }
        m_buffer += *chunk;
    }
    ReceivedRequest request{.head = m_buffer.substr(0, end + 4)};
    m_buffer.erase(0, end + 4);
    return request;
}

std::optional<ReceivedRequest> AcceptedConnection::readRequest()
{
    std::optional<ReceivedRequest> request = readHead();
    if (!request) {
        return std::nullopt;
    }
    const std::string length = request->header("Content-Length");
    const std::size_t n = length.empty() ? 0 : std::stoul(length);
    while (m_buffer.size() < n) {
        const std::optional<std::string> chunk = readSome();
        if (!chunk) {
            return std::nullopt;
        }
        m_buffer += *chunk;
    }
    request->body = m_buffer.substr(0, n);
    m_buffer.erase(0, n);
    return request;
}

void AcceptedConnection::send(std::string_view bytes)
{
    while (m_fd >= 0 && !bytes.empty()) {
        const ssize_t n = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
}

void AcceptedConnection::respond(const ReceivedRequest &request, const std::string &body, bool echoesId)
{
    const std::string id = request.header("Pollenspoke-Request-Id");
    send(makeResponse(body, echoesId ? "Pollenspoke-Request-Id: " + id + "\r\n" : ""));
}

void AcceptedConnection::shutdownWrite()
{
    ::shutdown(m_fd, SHUT_WR);
}

void AcceptedConnection::closeNow()
{
    if (m_fd >= 0) {
        ::close(m_fd);
        m_fd = -1;
    }
}

void AcceptedConnection::reset()
{
    const linger resetOnClose{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
    closeNow();
}

void AcceptedConnection::readUntilClose()
{
    while (readSome()) { }
}

void AcceptedConnection::waitForCloseWithoutReading()
{
    while (!m_isStopping) {
        pollfd it{.fd = m_fd, .events = POLLRDHUP, .revents = 0};
        if (::poll(&it, 1, pollIntervalMs) > 0) {
            return;
        }
    }
}

bool AcceptedConnection::waitForClose(Duration timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (waitReadable(m_fd, m_isStopping, deadline)) {
        char buffer[4096];
        if (::recv(m_fd, buffer, sizeof(buffer), 0) <= 0) {
            return true;
        }
    }
    return false;
}

std::string makeResponse(const std::string &body, const std::string &extraHeaders)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + extraHeaders + "\r\n" + body;
}

ScriptedTarget::ScriptedTarget(Script script, ListenOptions options)
    : m_script(std::move(script))
    , m_listener(listenOnLoopback(m_port, SOMAXCONN, options))
    , m_thread([this] { acceptLoop(); })
{
}

ScriptedTarget::~ScriptedTarget()
{
    m_isStopping = true;
    m_thread.join();
    for (std::thread &it : m_connectionThreads) {
        it.join();
    }
    ::close(m_listener);
}

void ScriptedTarget::acceptLoop()
{
    while (waitReadable(m_listener, m_isStopping)) {
        const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        const std::size_t number = m_connectionCount++;
        {
            const std::lock_guard lock(m_mutex);
            m_receivedBytes.emplace_back();
        }
        m_connectionThreads.emplace_back([this, fd, number] {
            AcceptedConnection connection(fd, number, m_isStopping, [this, number](std::string_view bytes) {
                const std::lock_guard lock(m_mutex);
                m_receivedBytes[number].append(bytes);
            });
            m_script(connection);
        });
    }
}

void ScriptedTarget::recordRequest(const ReceivedRequest &request)
{
    const std::lock_guard lock(m_mutex);
    m_requests.push_back(request);
}

std::vector<ReceivedRequest> ScriptedTarget::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

std::vector<std::string> ScriptedTarget::receivedBytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_receivedBytes;
}

std::size_t ScriptedTarget::connectionsWithBytes() const
{
    const std::vector<std::string> received = receivedBytes();
    return static_cast<std::size_t>(std::count_if(received.begin(), received.end(), [](const std::string &it) { return !it.empty(); }));
}

ScriptedTarget::Script healthyScript(std::string body)
{
    return [body = std::move(body)](AcceptedConnection &connection) {
        while (const std::optional<ReceivedRequest> request = connection.readRequest()) {
            connection.respond(*request, body);
        }
    };
}

// Below the range from which the kernel takes the ports of outgoing connections: one of those was taken by another test before the Vm that
// was to listen there had started.
Address closedPortAddress()
{
    constexpr std::uint16_t firstPort = 10000;
    constexpr std::uint16_t lastPort = 32000;
    static std::mt19937 generator{std::random_device{}()};
    std::uniform_int_distribution<std::uint16_t> ports(firstPort, lastPort);
    for (;;) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const std::uint16_t port = ports(generator);
        address.sin_port = htons(port);
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const bool isFree = ::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
        ::close(fd);
        if (isFree) {
            return {.ip = "127.0.0.1", .port = port};
        }
    }
}

UnansweredListener::UnansweredListener()
    : m_listener(listenOnLoopback(m_port, 0))
{
    constexpr int queuedConnections = 4;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(m_port);
    for (int i = 0; i < queuedConnections; ++i) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        static_cast<void>(::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)));
        m_queuedSockets.push_back(fd);
    }
}

UnansweredListener::~UnansweredListener()
{
    for (const int it : m_queuedSockets) {
        ::close(it);
    }
    ::close(m_listener);
}

} // namespace Pollenspoke
