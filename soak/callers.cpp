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
constexpr auto connectTime = std::chrono::seconds(1); // as the platform's callers allow
constexpr auto addressTerm = std::chrono::seconds(2); // an answer is kept for so long
constexpr auto longestWait = milliseconds(3500);      // for an answer: the deadline that is sent, and a little more
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
    explicit Connection(net::any_io_executor executor)
        : stream(executor)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool isUsable = true;
};

Caller::Caller(Ledger &ledger, CallerOptions options, const bool &isOver)
    : m_ledger(ledger)
    , m_options(std::move(options))
    , m_isOver(isOver)
    , m_generator(m_options.seed)
{
}

net::awaitable<std::vector<Address>> Caller::resolve()
{
    std::vector<Address> found;
    beast::tcp_stream stream(co_await net::this_coro::executor);
    stream.expires_after(connectTime);
    const Address &directory = m_options.directories[draw(m_options.directories.size())];
    const auto [connectError] = co_await stream.async_connect(toEndpoint(directory), asTuple);
    if (connectError) {
        co_return found;
    }
    http::request<http::empty_body> request(http::verb::get, "/api/resolve?name=" + m_options.host + "&zone=fd-a", 11);
    request.set(http::field::host, toString(directory));
    const auto [writeError, written] = co_await http::async_write(stream, request, asTuple);
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    if (!writeError) {
        const auto [readError, n] = co_await http::async_read(stream, buffer, response, asTuple);
        JsonValue answer;
        std::string problem;
        if (!readError && response.result_int() == 200 && parseJsonText(response.body(), answer, problem)) {
            if (const JsonValue *addresses = answer.find("addresses")) {
                for (const JsonValue &it : addresses->items) {
                    if (const Result<Address> address = parseAddress(it.text)) {
                        found.push_back(*address);
                    }
                }
            }
        }
    }
    co_return found;
}

net::awaitable<std::shared_ptr<Caller::Connection>> Caller::connect()
{
    if (m_addresses.empty() || now() - m_resolvedAt > addressTerm) {
        std::vector<Address> found = co_await resolve();
        if (!found.empty()) {
            m_addresses = std::move(found);
            m_resolvedAt = now();
        }
    }
    if (m_addresses.empty()) {
        co_return nullptr;
    }
    const std::size_t choice = draw(m_addresses.size());
    auto connection = std::make_shared<Connection>(co_await net::this_coro::executor);
    connection->stream.expires_after(connectTime);
    const auto [ec] = co_await connection->stream.async_connect(toEndpoint(m_addresses[choice]), asTuple);
    if (ec) {
        m_addresses.erase(m_addresses.begin() + static_cast<std::ptrdiff_t>(choice));
        co_return nullptr;
    }
    co_return connection;
}

net::awaitable<unsigned> Caller::ask(Connection &connection, bool isRetryable, const std::string &path)
{
    const std::string id = m_options.account + "-" + std::to_string(m_options.seed) + "-" + std::to_string(++m_sent);
    http::request<http::string_body> request(isRetryable ? http::verb::get : http::verb::post, path, 11);
    request.set(http::field::host, m_options.host);
    request.set("X-Request-Id", id);
    request.set("X-Deadline-Ms", deadlineMs);
    request.set("X-Tenant", "somebody-else");
    request.set(http::field::authorization, "Bearer " + m_options.key);
    request.body() = isRetryable ? "" : "order " + id;
    request.prepare_payload();
    m_ledger.noteSent(id,
                      {.account = m_options.account,
                       .method = isRetryable ? "GET" : "POST",
                       .path = path,
                       .body = request.body(),
                       .service = isRetryable ? "s-read" : "s-write",
                       .isRetryable = isRetryable});
    connection.stream.expires_after(longestWait);
    SeenAnswer answer;
    http::response<http::string_body> response;
    const auto [writeError, written] = co_await http::async_write(connection.stream, request, asTuple);
    connection.isUsable = false;
    if (!writeError) {
        const auto [readError, n] = co_await http::async_read(connection.stream, connection.buffer, response, asTuple);
        if (!readError) {
            answer = {.status = response.result_int(),
                      .id = std::string(response["X-Request-Id"]),
                      .body = response.body(),
                      .isProved = response.count("X-Response-Signature") != 0};
            connection.isUsable = response.keep_alive();
        }
    }
    m_ledger.noteAnswer(id, answer);
    co_return answer.status;
}

net::awaitable<unsigned> Caller::askOnce(const std::string &path)
{
    const std::shared_ptr<Connection> connection = co_await connect();
    if (!connection) {
        co_return 0;
    }
    co_return co_await ask(*connection, true, path);
}

net::awaitable<void> Caller::run()
{
    net::steady_timer timer(co_await net::this_coro::executor);
    std::shared_ptr<Connection> kept;
    while (!m_isOver) {
        const bool isRetryable = draw(2) == 0;
        if (!isRetryable || !kept || !kept->isUsable) {
            kept = co_await connect();
        }
        // Named: GCC 12 destroys a temporary argument of co_await twice.
        std::string path = "/write/order";
        if (isRetryable) {
            path = "/read/item?n=" + std::to_string(m_sent);
        }
        if (kept) {
            co_await ask(*kept, isRetryable, path);
        }
        timer.expires_after(m_options.pause / 2 + milliseconds(draw(static_cast<std::size_t>(m_options.pause.count()))));
        co_await timer.async_wait(asTuple);
    }
    m_isDone = true;
}

} // namespace Pollenspoke
