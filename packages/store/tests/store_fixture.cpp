#include "store_fixture.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace Pollenspoke {

Object makeAccount(const std::string &name, double rate)
{
    return Object{.name = name, .spec = ClientAccount{.limits = {.ratePerSecond = rate, .burst = 1}}};
}

Object makeKey(const std::string &name, const std::string &account, char digit, KeyState state)
{
    return Object{.name = name, .spec = Key{.account = {account}, .sha256 = std::string(64, digit), .state = state}};
}

std::uint16_t findFreePort()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    const int bindResult = ::bind(fd, reinterpret_cast<sockaddr *>(&address), length);
    const int nameResult = ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length);
    ::close(fd);
    POLLENSPOKE_ASSERT(bindResult == 0 && nameResult == 0, "the tests need a free port on 127.0.0.1");
    return ntohs(address.sin_port);
}

StoreServer::StoreServer(ObjectStore &operators, ObjectStore &system)
    : m_port(findFreePort())
    , m_service(operators, system, vms)
    , m_server({"127.0.0.1", m_port}, [this](const HttpRequest &request) { return m_service.handle(request); })
{
}

HttpStoreOptions StoreServer::options(bool isSystem, std::uint32_t timeoutMs) const
{
    return HttpStoreOptions{.address = {.ip = "127.0.0.1", .port = m_port}, .timeoutMs = timeoutMs, .isSystem = isSystem};
}

HttpObjectStore StoreServer::client(bool isSystem, std::uint32_t timeoutMs) const
{
    return HttpObjectStore(options(isSystem, timeoutMs));
}

HttpReply StoreServer::send(const HttpRequest &request) const
{
    const HttpExchange exchange = HttpClient({"127.0.0.1", m_port}).send(request, 5000);
    BOOST_REQUIRE_MESSAGE(exchange.outcome == HttpOutcome::Answered, exchange.problem);
    return exchange.reply;
}

} // namespace Pollenspoke
