#include "callers.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <pollenspoke/web.h>

namespace Pollenspoke {

namespace {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

constexpr auto asTuple = net::as_tuple(net::use_awaitable);
constexpr auto connectTimeout = std::chrono::seconds(1); // the platform's callers use the same
constexpr auto addressTtl = std::chrono::seconds(2);     // resolved addresses are cached this long
constexpr auto responseTimeout = milliseconds(3500);     // deadlineMs and a margin
constexpr const char *deadlineMs = "3000";

Ledger::Clock::time_point now()
{
    return Ledger::Clock::now();
}

net::ip::tcp::endpoint toEndpoint(const Address &address)
{
    return {net::ip::make_address(address.ip), address.port};
}

} // namespace

struct Caller::Connection
{
    Connection(net::any_io_executor executor, Address address)
        : vm(std::move(address))
        , stream(executor)
    {
    }

    Address vm;
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool isUsable = true;
};

Caller::Caller(Ledger &ledger, CallerOptions options, const bool &shouldStop)
    : m_ledger(ledger)
    , m_options(std::move(options))
    , m_shouldStop(shouldStop)
    , m_generator(m_options.seed)
{
}

net::awaitable<std::vector<Address>> Caller::resolve()
{
    std::vector<Address> resolved;
    beast::tcp_stream stream(co_await net::this_coro::executor);
    stream.expires_after(connectTimeout);
    const Address &addressServer = m_options.addressServers[randomIndex(m_options.addressServers.size())];
    const auto [connectError] = co_await stream.async_connect(toEndpoint(addressServer), asTuple);
    if (connectError) {
        co_return resolved;
    }
    http::request<http::empty_body> request(http::verb::get, "/api/resolve?name=" + m_options.host + "&zone=fd-a", 11);
    request.set(http::field::host, toString(addressServer));
    const auto [writeError, written] = co_await http::async_write(stream, request, asTuple);
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    if (!writeError) {
        const auto [readError, n] = co_await http::async_read(stream, buffer, response, asTuple);
        JsonValue json;
        std::string error;
        if (!readError && response.result_int() == 200 && parseJsonText(response.body(), json, error)) {
            if (const JsonValue *addresses = json.find("addresses")) {
                for (const JsonValue &it : addresses->items) {
                    if (const Result<Address> address = parseAddress(it.text)) {
                        resolved.push_back(*address);
                    }
                }
            }
        }
    }
    co_return resolved;
}

net::awaitable<std::shared_ptr<Caller::Connection>> Caller::connect()
{
    if (m_addresses.empty() || now() - m_resolvedAt > addressTtl) {
        std::vector<Address> resolved = co_await resolve();
        if (!resolved.empty()) {
            m_addresses = std::move(resolved);
            m_resolvedAt = now();
        }
    }
    if (m_addresses.empty()) {
        co_return nullptr;
    }
    const std::size_t index = randomIndex(m_addresses.size());
    auto connection = std::make_shared<Connection>(co_await net::this_coro::executor, m_addresses[index]);
    connection->stream.expires_after(connectTimeout);
    const auto [ec] = co_await connection->stream.async_connect(toEndpoint(m_addresses[index]), asTuple);
    if (ec) {
        m_addresses.erase(m_addresses.begin() + static_cast<std::ptrdiff_t>(index));
        co_return nullptr;
    }
    co_return connection;
}

net::awaitable<unsigned> Caller::send(Connection &connection, bool isIdempotent, const std::string &path)
{
    const std::string id = m_options.account + "-" + std::to_string(m_options.seed) + "-" + std::to_string(++m_requestCount);
    http::request<http::string_body> request(isIdempotent ? http::verb::get : http::verb::post, path, 11);
    request.set(http::field::host, m_options.host);
    request.set("X-Request-Id", id);
    request.set("X-Deadline-Ms", deadlineMs);
    request.set("X-Tenant", "somebody-else");
    request.set(http::field::authorization, "Bearer " + m_options.key);
    request.body() = isIdempotent ? "" : "order " + id;
    request.prepare_payload();
    m_ledger.recordRequest(id,
                           {.account = m_options.account,
                            .method = isIdempotent ? "GET" : "POST",
                            .path = path,
                            .body = request.body(),
                            .service = isIdempotent ? "s-read" : "s-write",
                            .vm = toString(connection.vm),
                            .isIdempotent = isIdempotent});
    connection.stream.expires_after(responseTimeout);
    ReceivedResponse received;
    http::response<http::string_body> response;
    const auto [writeError, written] = co_await http::async_write(connection.stream, request, asTuple);
    connection.isUsable = false;
    if (!writeError) {
        const auto [readError, n] = co_await http::async_read(connection.stream, connection.buffer, response, asTuple);
        if (!readError) {
            received = {.status = response.result_int(),
                        .id = std::string(response["X-Request-Id"]),
                        .body = response.body(),
                        .isSigned = response.count("X-Response-Signature") != 0,
                        .leavingInstance = response["Server-Leaving"] == "1" ? std::string(response["X-Instance-Id"]) : "",
                        .limitingInstance = response["Server-Limit"].empty() ? "" : std::string(response["X-Instance-Id"])};
            connection.isUsable = response.keep_alive();
        }
    }
    m_ledger.recordResponse(id, received);
    co_return received.status;
}

net::awaitable<unsigned> Caller::requestOnce(const std::string &path)
{
    const std::shared_ptr<Connection> connection = co_await connect();
    if (!connection) {
        co_return 0;
    }
    co_return co_await send(*connection, true, path);
}

net::awaitable<void> Caller::run()
{
    net::steady_timer timer(co_await net::this_coro::executor);
    std::shared_ptr<Connection> connection;
    while (!m_shouldStop) {
        const bool isIdempotent = randomIndex(2) == 0;
        if (!isIdempotent || !connection || !connection->isUsable) {
            connection = co_await connect();
        }
        // A named variable because GCC 12 destroys temporary arguments of co_await twice.
        std::string path = "/write/order";
        if (isIdempotent) {
            path = "/read/item?n=" + std::to_string(m_requestCount);
        }
        if (connection) {
            co_await send(*connection, isIdempotent, path);
        }
        timer.expires_after(m_options.thinkTime / 2 + milliseconds(randomIndex(static_cast<std::size_t>(m_options.thinkTime.count()))));
        co_await timer.async_wait(asTuple);
    }
    m_isDone = true;
}

} // namespace Pollenspoke
