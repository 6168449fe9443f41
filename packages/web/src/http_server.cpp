#include <pollenspoke/web.h>

#include <algorithm>
#include <cctype>
#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>
#include <stdexcept>
#include <thread>

namespace Pollenspoke {

namespace {

constexpr unsigned minThreadCount = 4;
constexpr std::size_t maxBodyBytes = 4 << 20; // values of the platform are up to 1 MiB; JSON escaping makes them longer

// Thrown for a request that must not reach the handler. Its connection is closed: where the next request begins is unknown.
class RequestRejected final : public std::runtime_error
{
public:
    RequestRejected(unsigned status, const char *reason)
        : std::runtime_error(reason)
        , m_status(status)
    {
    }
    unsigned status() const { return m_status; }

private:
    unsigned m_status;
};

// Compares header names without regard to case, and with _ equal to -, as lenient HTTP implementations do.
bool areHeaderNamesEqual(const char *left, const std::string &right)
{
    const auto normalize = [](unsigned char c) { return c == '_' ? '-' : std::tolower(c); };
    const std::string name(left);
    return std::equal(
        name.begin(), name.end(), right.begin(), right.end(), [normalize](char a, char b) { return normalize(a) == normalize(b); });
}

bool isAllDigits(const std::string &text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
}

// Returns the body length. Throws RequestRejected if the headers do not determine it unambiguously.
std::size_t parseBodyLength(const cxxtools::http::RequestHeader &header)
{
    std::vector<std::string> lengths;
    for (const auto &it : header) {
        if (areHeaderNamesEqual(it.first, "Transfer-Encoding")) {
            // cxxtools does not decode chunked bodies and would parse them as the next request.
            throw RequestRejected(411, "Length Required");
        }
        if (areHeaderNamesEqual(it.first, "Content-Length")) {
            lengths.emplace_back(it.second);
        }
    }
    if (lengths.empty()) {
        return 0;
    }
    if (lengths.size() > 1 || !isAllDigits(lengths.front())) {
        throw RequestRejected(400, "Bad Request");
    }
    constexpr std::size_t maxDigits = 18; // avoids overflow of 64 bits
    if (lengths.front().size() > maxDigits || std::stoull(lengths.front()) > maxBodyBytes) {
        throw RequestRejected(413, "Content Too Large");
    }
    return std::stoull(lengths.front());
}

class HandlerResponder final : public cxxtools::http::Responder
{
public:
    HandlerResponder(cxxtools::http::Service &service, const HttpServer::Handler &handler)
        : cxxtools::http::Responder(service)
        , m_handler(handler)
    {
    }

    // Called after the header block has been received and before the body is read.
    void beginRequest(cxxtools::net::TcpSocket &socket, std::istream &in, cxxtools::http::Request &request) override
    {
        m_bodyLength = parseBodyLength(request.header());
        cxxtools::http::Responder::beginRequest(socket, in, request);
    }

    void replyError(std::ostream &out, cxxtools::http::Request &request, cxxtools::http::Reply &reply, const std::exception &error) override
    {
        const auto *rejected = dynamic_cast<const RequestRejected *>(&error);
        if (rejected == nullptr) {
            cxxtools::http::Responder::replyError(out, request, reply, error);
            return;
        }
        reply.httpReturn(rejected->status(), rejected->what());
        reply.setHeader("Connection", "close");
    }

    void reply(std::ostream &out, cxxtools::http::Request &request, cxxtools::http::Reply &reply) override
    {
        if (request.bodyStr().size() != m_bodyLength) {
            throw RequestRejected(400, "Bad Request");
        }
        HttpRequest handlerRequest{request.method(), request.url(), request.qparams(), {}, request.bodyStr()};
        for (const auto &it : request.header()) {
            handlerRequest.headers.emplace_back(it.first, it.second);
        }
        const HttpReply handlerReply = m_handler(handlerRequest);
        reply.httpReturn(handlerReply.status, handlerReply.status < 400 ? "OK" : "Refused");
        for (const HttpHeader &it : handlerReply.headers) {
            reply.setHeader(it.first.c_str(), it.second.c_str());
        }
        out << handlerReply.body;
    }

private:
    const HttpServer::Handler &m_handler;
    std::size_t m_bodyLength = 0;
};

class HandlerService final : public cxxtools::http::Service
{
public:
    explicit HandlerService(HttpServer::Handler handler)
        : m_handler(std::move(handler))
    {
    }

private:
    cxxtools::http::Responder *createResponder(const cxxtools::http::Request &) override { return new HandlerResponder(*this, m_handler); }
    void releaseResponder(cxxtools::http::Responder *responder) override { delete responder; }

    HttpServer::Handler m_handler;
};

} // namespace

std::string findHeader(const std::vector<HttpHeader> &headers, const std::string &name)
{
    const auto isSame = [&name](const HttpHeader &header) {
        return std::equal(header.first.begin(), header.first.end(), name.begin(), name.end(), [](unsigned char a, unsigned char b) {
            return std::tolower(a) == std::tolower(b);
        });
    };
    const auto it = std::find_if(headers.begin(), headers.end(), isSame);
    return it == headers.end() ? std::string() : it->second;
}

struct HttpServer::Impl
{
    Impl(const HttpEndpoint &endpoint, Handler handler, unsigned maxThreads)
        : service(std::move(handler))
        , server(loop)
    {
        server.minThreads(minThreadCount);
        server.maxThreads(maxThreads);
        server.listen(endpoint.ip, endpoint.port);
        server.addService(cxxtools::Regex(".*"), service);
        thread = std::thread([this] { loop.run(); });
    }

    ~Impl()
    {
        loop.exit();
        thread.join();
    }

    cxxtools::EventLoop loop;
    HandlerService service;
    cxxtools::http::Server server;
    std::thread thread;
};

HttpServer::HttpServer(const HttpEndpoint &endpoint, Handler handler, unsigned maxThreads)
{
    try {
        m_impl = std::make_unique<Impl>(endpoint, std::move(handler), maxThreads);
    } catch (const std::exception &error) {
        throw std::runtime_error(error.what());
    }
}

HttpServer::~HttpServer() = default;

} // namespace Pollenspoke
