// A minimal HTTP target for trying out pollenspoke: answers every request with its method, URL and account.
#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>
#include <docopt/docopt.h>
#include <iostream>

namespace {

constexpr const char *usage = R"(pollenspoke-example-target: answers every request with its method, URL and account.

Usage:
  pollenspoke-example-target --port PORT [--name NAME]

Options:
  --port PORT  Port to listen on at 127.0.0.1.
  --name NAME  Name included in every answer [default: t1].
)";

std::string targetName;

class EchoResponder : public cxxtools::http::Responder
{
public:
    using cxxtools::http::Responder::Responder;

    void reply(std::ostream &out, cxxtools::http::Request &request, cxxtools::http::Reply &reply) override
    {
        const char *id = request.getHeader("Pollenspoke-Request-Id");
        const char *account = request.getHeader("Pollenspoke-Account");
        if (id != nullptr) {
            reply.setHeader("Pollenspoke-Request-Id", id);
        }
        reply.setHeader("Content-Type", "text/plain");
        out << targetName << " answers " << request.method() << ' ' << request.url() << " for " << (account == nullptr ? "nobody" : account)
            << '\n';
    }
};

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    targetName = arguments.at("--name").asString();
    const auto port = static_cast<unsigned short>(arguments.at("--port").asLong());
    cxxtools::EventLoop loop;
    cxxtools::http::Server server(loop, "127.0.0.1", port);
    cxxtools::http::CachedService<EchoResponder> service;
    server.addService(cxxtools::Regex(".*"), service);
    std::cerr << targetName << " listens on 127.0.0.1:" << port << '\n';
    loop.run();
    return 0;
}
