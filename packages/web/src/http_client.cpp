#include <pollenspoke/web.h>

#include <cxxtools/http/client.h>
#include <cxxtools/http/replyheader.h>
#include <cxxtools/http/request.h>
#include <cxxtools/timespan.h>

namespace Pollenspoke {

namespace {

// cxxtools distinguishes a failed connect from a lost response only by the message text. If a new version changes the text,
// every failure becomes AnswerLost, which is always safe.
bool isConnectFailure(const std::string &problem)
{
    return problem.rfind("while trying to connect", 0) == 0;
}

} // namespace

HttpClient::HttpClient(HttpEndpoint endpoint)
    : m_endpoint(std::move(endpoint))
{
}

HttpExchange HttpClient::send(const HttpRequest &request, std::uint32_t timeoutMs) const
{
    HttpExchange exchange;
    const cxxtools::Milliseconds timeout(static_cast<double>(timeoutMs));
    cxxtools::http::Client client(m_endpoint.ip, m_endpoint.port);
    exchange.outcome = HttpOutcome::AnswerLost;
    try {
        cxxtools::http::Request message(request.query.empty() ? request.path : request.path + "?" + request.query);
        message.method(request.method);
        for (const HttpHeader &it : request.headers) {
            message.setHeader(it.first.c_str(), it.second.c_str());
        }
        message.setHeader("Connection", "close");
        message.body() << request.body;
        const cxxtools::http::ReplyHeader &header = client.execute(message, timeout, timeout);
        exchange.reply.status = header.httpReturnCode();
        for (const auto &it : header) {
            exchange.reply.headers.emplace_back(it.first, it.second);
        }
        // cxxtools returns a truncated chunked body as if it were complete, so only responses with a Content-Length are accepted.
        const std::string contentLength = findHeader(exchange.reply.headers, "Content-Length");
        const bool hasNoBody = request.method == "HEAD" || exchange.reply.status == 204 || exchange.reply.status == 304;
        exchange.reply.body = client.readBody();
        if (!hasNoBody && contentLength != std::to_string(exchange.reply.body.size())) {
            exchange.problem = "response has no Content-Length, or one that does not match its body";
            return exchange;
        }
        exchange.outcome = HttpOutcome::Answered;
    } catch (const std::exception &error) {
        exchange.problem = error.what();
        if (isConnectFailure(exchange.problem)) {
            exchange.outcome = HttpOutcome::NotSent;
        }
    }
    return exchange;
}

} // namespace Pollenspoke
