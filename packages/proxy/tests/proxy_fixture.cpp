#include "proxy_fixture.h"

#include <arpa/inet.h>
#include <boost/algorithm/string/predicate.hpp>
#include <sstream>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace Pollenspoke {

namespace {

constexpr time_t readTimeoutSeconds = 20;
constexpr auto waitTimeout = std::chrono::seconds(10);

std::string makeTargetsYaml(const std::vector<Address> &targets)
{
    std::string text;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        text += text.empty() ? "" : ", ";
        text += "{name: t" + std::to_string(i) + ", address: \"" + toString(targets[i]) + "\", slots: 2}";
    }
    return text;
}

std::string makeYaml(const FixtureOptions &options)
{
    std::ostringstream out;
    out << "kind: ClientAccount\nname: shop-1\nspec: {limits: {rate_per_s: " << options.limits.ratePerSecond
        << ", burst: " << options.limits.burst << "}}\n---\n"
        << "kind: Key\nname: shop-1-k1\nspec: {account: shop-1, sha256: \"" << sha256Hex(testSecret) << "\"}\n---\n"
        << "kind: Service\nname: work\nspec: {targets: [" << makeTargetsYaml(options.targets) << "]" << options.serviceFields << "}\n---\n"
        << "kind: Route\nname: work\nspec: {match: {path_prefix: /work}, service: work" << options.routeFields << "}\n"
        << options.objects;
    return out.str();
}

ProxyOptions withFixtureDefaults(ProxyOptions options)
{
    options.vm = {"vm-1"};
    options.failureDomain = {"fd-a"};
    options.callers = {.ip = "127.0.0.1"};
    options.workers = 2;
    return options;
}

} // namespace

ProxyOptions withoutTargetPauses()
{
    return {.dispatch = {.balancer = {.failurePause = Duration::zero(),
                                      .firstPause = Duration::zero(),
                                      .retryableLead = Duration::zero(),
                                      .returnAnswers = 1,
                                      .returnTime = Duration::zero()}}};
}

RawCaller::RawCaller(std::uint16_t port)
    : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const int rc = ::connect(m_fd, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    POLLENSPOKE_ASSERT(rc == 0, "the proxy under test must be listening");
    const timeval timeout{.tv_sec = readTimeoutSeconds, .tv_usec = 0};
    ::setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
}

RawCaller::~RawCaller()
{
    closeNow();
}

void RawCaller::closeNow()
{
    if (m_fd >= 0) {
        ::close(m_fd);
        m_fd = -1;
    }
}

bool RawCaller::waitForBytes()
{
    return !m_buffer.empty() || readMore();
}

void RawCaller::shutdownWrite()
{
    ::shutdown(m_fd, SHUT_WR);
}

void RawCaller::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t n = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
}

std::size_t RawCaller::sendUntilBlocked(std::string_view bytes)
{
    const timeval timeout{.tv_sec = 0, .tv_usec = 300000};
    ::setsockopt(m_fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    std::size_t sent = 0;
    ssize_t n = 0;
    while (sent < bytes.size() && (n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL)) > 0) {
        sent += static_cast<std::size_t>(n);
    }
    return sent;
}

bool RawCaller::readMore()
{
    char buffer[65536];
    const ssize_t n = ::recv(m_fd, buffer, sizeof(buffer), 0);
    if (n <= 0) {
        return false;
    }
    m_buffer.append(buffer, static_cast<std::size_t>(n));
    return true;
}

RawCaller::Response RawCaller::readResponse(bool isHead)
{
    Response response;
    std::size_t end = std::string::npos;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore()) {
            return response;
        }
    }
    response.head = m_buffer.substr(0, end + 4);
    m_buffer.erase(0, end + 4);
    response.status = static_cast<unsigned>(std::stoul(response.head.substr(9, 3)));
    if (isHead || response.status < 200 || response.status == 204 || response.status == 304) {
        response.isComplete = true;
        return response;
    }
    if (boost::algorithm::iequals(response.header("Transfer-Encoding"), "chunked")) {
        for (;;) {
            std::size_t line = std::string::npos;
            while ((line = m_buffer.find("\r\n")) == std::string::npos) {
                if (!readMore()) {
                    return response;
                }
            }
            const std::size_t n = std::stoul(m_buffer.substr(0, line), nullptr, 16);
            while (m_buffer.size() < line + 2 + n + 2) {
                if (!readMore()) {
                    return response;
                }
            }
            response.body += m_buffer.substr(line + 2, n);
            m_buffer.erase(0, line + 2 + n + 2);
            if (n == 0) {
                response.isComplete = true;
                return response;
            }
        }
    }
    const std::string length = response.header("Content-Length");
    const std::size_t n = length.empty() ? std::string::npos : std::stoul(length);
    while (m_buffer.size() < n && readMore()) { }
    response.body = m_buffer.substr(0, n);
    response.isComplete = response.body.size() == n;
    m_buffer.erase(0, response.body.size());
    return response;
}

RawCaller::Response
RawCaller::request(const std::string &method, const std::string &path, const std::string &body, const std::string &extraHeaders)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: test\r\nX-Api-Key: " + testSecret + "\r\n" + extraHeaders;
    if (!body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    send(text + "\r\n" + body);
    return readResponse(method == "HEAD");
}

bool RawCaller::isClosedByProxy()
{
    const timeval timeout{.tv_sec = 5, .tv_usec = 0};
    ::setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    char buffer[4096];
    ssize_t n = 0;
    while ((n = ::recv(m_fd, buffer, sizeof(buffer), 0)) > 0) { }
    return n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

ProxyFixture::ProxyFixture(FixtureOptions options)
    : m_yaml(makeYaml(options))
    , m_proxy(withFixtureDefaults(options.proxy), {m_clock, m_metrics, m_admission})
{
    apply(m_yaml, 1);
    const Result<void> started = m_proxy.start();
    POLLENSPOKE_ASSERT(started.has_value(), "the tests must be able to listen on 127.0.0.1");
}

void ProxyFixture::apply(const std::string &yaml, std::uint64_t revision)
{
    const Result<std::vector<Object>> objects = parseYaml(yaml, "fixture");
    POLLENSPOKE_ASSERT(objects.has_value(), objects ? "" : describe(objects.error()).c_str());
    const auto snapshot = Snapshot::build(*objects, revision);
    POLLENSPOKE_ASSERT(snapshot.has_value(), snapshot ? "" : describe(snapshot.error()).c_str());
    m_proxy.applySnapshot(*snapshot);
}

bool eventually(const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + waitTimeout;
    while (std::chrono::steady_clock::now() < deadline) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return condition();
}

} // namespace Pollenspoke
