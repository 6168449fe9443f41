#include <pollenspoke/web.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Pollenspoke {

namespace {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using SystemError = boost::system::error_code;

constexpr std::uint64_t maxReplyBytes = 268435456;
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned lastStatus = 599;

http::request<http::string_body> makeMessage(const HttpEndpoint &endpoint, const HttpRequest &request)
{
    const std::string target = request.query.empty() ? request.path : request.path + "?" + request.query;
    http::request<http::string_body> message(http::verb::get, target, 11, request.body);
    message.method_string(request.method);
    message.set(http::field::host, endpoint.ip + ":" + std::to_string(endpoint.port));
    for (const HttpHeader &it : request.headers) {
        message.set(it.first, it.second);
    }
    message.set(http::field::connection, "close");
    message.prepare_payload();
    return message;
}

// Runs an asynchronous operation to its end. Unlike a synchronous one it ends when the stream's time is over.
template<typename Operation>
SystemError run(net::io_context &context, Operation &&operation)
{
    SystemError result;
    operation([&result](const SystemError &ec, auto &&.../*results*/) { result = ec; });
    context.restart();
    context.run();
    return result;
}

// Empty if the reply is complete. A reply must tell its length, so that one that was cut is noticed.
std::string findProblem(const http::response_parser<http::string_body> &parser, bool isHead)
{
    const unsigned status = parser.get().result_int();
    if (status < firstFinalStatus || status > lastStatus) {
        return "invalid status " + std::to_string(status);
    }
    const bool isDelimited = isHead || parser.content_length().has_value() || status == static_cast<unsigned>(http::status::no_content)
        || status == static_cast<unsigned>(http::status::not_modified);
    return isDelimited ? "" : "response has no Content-Length";
}

} // namespace

HttpClient::HttpClient(HttpEndpoint endpoint)
    : m_endpoint(std::move(endpoint))
{
}

HttpExchange HttpClient::send(const HttpRequest &request, std::uint32_t timeoutMs) const
{
    HttpExchange exchange;
    const std::chrono::milliseconds timeout(timeoutMs);
    net::io_context context(1);
    beast::tcp_stream stream(context);
    SystemError addressError;
    const net::ip::tcp::endpoint endpoint(net::ip::make_address(m_endpoint.ip, addressError), m_endpoint.port);
    stream.expires_after(timeout);
    const SystemError connectError
        = addressError ? addressError : run(context, [&](auto handler) { stream.async_connect(endpoint, handler); });
    if (connectError) {
        exchange.problem = "connecting: " + connectError.message();
        return exchange;
    }
    exchange.outcome = HttpOutcome::AnswerLost;
    const http::request<http::string_body> message = makeMessage(m_endpoint, request);
    stream.expires_after(timeout);
    const SystemError sendError = run(context, [&](auto handler) { http::async_write(stream, message, handler); });
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxReplyBytes);
    const bool isHead = request.method == "HEAD";
    parser.skip(isHead);
    // Receive even if sending failed: the server may have replied and closed before it read the whole request.
    const SystemError receiveError = run(context, [&](auto handler) { http::async_read(stream, buffer, parser, handler); });
    if (receiveError) {
        exchange.problem = sendError ? "sending: " + sendError.message() : "receiving: " + receiveError.message();
        return exchange;
    }
    exchange.problem = findProblem(parser, isHead);
    exchange.reply.status = parser.get().result_int();
    for (const auto &it : parser.get()) {
        exchange.reply.headers.emplace_back(std::string(it.name_string()), std::string(it.value()));
    }
    exchange.reply.body = std::move(parser.get().body());
    if (exchange.problem.empty()) {
        exchange.outcome = HttpOutcome::Answered;
    }
    return exchange;
}

} // namespace Pollenspoke
