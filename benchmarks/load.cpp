// A load generator. With a rate it is open-loop: each request has a scheduled time and its latency is measured from then, so that a
// stall counts in every request that it delays (no coordinated omission).
#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <docopt/docopt.h>
#include <iomanip>
#include <iostream>
#include <map>
#include <thread>

namespace {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = net::ip::tcp;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr const char *usage = R"(pollenspoke-load: sends requests to one address and prints throughput, latencies and statuses.

Usage:
  pollenspoke-load run --port PORT --path PATH [--key KEY] [--method M] [--connections N] [--rate R] [--seconds S] [--threads T]
  pollenspoke-load idle --port PORT --path PATH [--key KEY] [--connections N] [--seconds S]

Options:
  --port PORT      Port on 127.0.0.1.
  --path PATH      Path of the requests.
  --key KEY        Sent as X-Api-Key.
  --method M       GET or POST [default: GET].
  --connections N  Number of persistent connections [default: 32].
  --rate R         Total requests/s; 0: each connection sends the next request upon the answer [default: 0].
  --seconds S      Duration in seconds [default: 5].
  --threads T      Number of sending threads [default: 2].
)";

constexpr auto asTuple = net::as_tuple(net::use_awaitable);

struct LoadOptions
{
    std::uint16_t port = 0;
    std::string path;
    std::string key;
    http::verb method = http::verb::get;
    std::size_t connections = 0;
    double rate = 0; // requests/s over all connections; 0: closed loop
    double seconds = 0;
    std::size_t threads = 1;
};

struct LoadResults
{
    std::vector<double> latencies;            // microseconds
    std::map<unsigned, std::size_t> byStatus; // 0: no answer
};

http::request<http::string_body> makeRequest(const LoadOptions &options)
{
    http::request<http::string_body> request(options.method, options.path, 11);
    request.set(http::field::host, "127.0.0.1");
    if (!options.key.empty()) {
        request.set("X-Api-Key", options.key);
    }
    if (options.method == http::verb::post) {
        request.body() = "{\"item\":\"M8x40\",\"boxes\":12}";
    }
    request.prepare_payload();
    return request;
}

SteadyTime addSeconds(SteadyTime start, double seconds)
{
    return start + std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double>(seconds));
}

net::awaitable<void> sendLoop(const LoadOptions &options, std::size_t index, SteadyTime start, LoadResults &results)
{
    Tcp::socket socket(co_await net::this_coro::executor);
    net::steady_timer timer(co_await net::this_coro::executor);
    const Tcp::endpoint endpoint(net::ip::address_v4::loopback(), options.port);
    const http::request<http::string_body> request = makeRequest(options);
    const SteadyTime end = addSeconds(start, options.seconds);
    const double interval = options.rate > 0 ? static_cast<double>(options.connections) / options.rate : 0;
    const double offset = options.rate > 0 ? static_cast<double>(index) / options.rate : 0;
    beast::flat_buffer buf;
    for (std::size_t i = 0;; ++i) {
        SteadyTime due = std::chrono::steady_clock::now();
        if (options.rate > 0) {
            due = addSeconds(start, offset + interval * static_cast<double>(i));
            timer.expires_at(due);
            co_await timer.async_wait(asTuple);
        }
        if (due >= end) {
            co_return;
        }
        if (!socket.is_open()) {
            const auto [ec] = co_await socket.async_connect(endpoint, asTuple);
            if (ec) {
                ++results.byStatus[0];
                socket.close();
                continue;
            }
            socket.set_option(Tcp::no_delay(true));
        }
        http::response<http::string_body> answer;
        const auto [writeError, written] = co_await http::async_write(socket, request, asTuple);
        const auto [readError, n] = co_await http::async_read(socket, buf, answer, asTuple);
        if (writeError || readError) {
            ++results.byStatus[0];
            socket.close();
            buf.clear();
            continue;
        }
        ++results.byStatus[answer.result_int()];
        results.latencies.push_back(std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - due).count());
        if (!answer.keep_alive()) {
            socket.close();
        }
    }
}

double quantile(const std::vector<double> &sorted, double fraction)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto last = sorted.size() - 1;
    return sorted[std::min(last, static_cast<std::size_t>(fraction * static_cast<double>(sorted.size())))];
}

void report(const LoadOptions &options, LoadResults &total)
{
    std::sort(total.latencies.begin(), total.latencies.end());
    std::cout << std::fixed << std::setprecision(0) << "requests_per_s " << static_cast<double>(total.latencies.size()) / options.seconds
              << " p50_us " << quantile(total.latencies, 0.5) << " p99_us " << quantile(total.latencies, 0.99) << " p999_us "
              << quantile(total.latencies, 0.999) << " max_us " << (total.latencies.empty() ? 0 : total.latencies.back());
    for (const auto &[status, n] : total.byStatus) {
        std::cout << " status_" << status << ' ' << n;
    }
    std::cout << '\n';
}

void runLoad(const LoadOptions &options)
{
    std::vector<LoadResults> resultsByConnection(options.connections);
    std::vector<std::thread> threads;
    const SteadyTime start = std::chrono::steady_clock::now() + std::chrono::milliseconds(50);
    for (std::size_t i = 0; i < options.threads; ++i) {
        threads.emplace_back([&options, &resultsByConnection, start, i] {
            net::io_context context{1};
            for (std::size_t index = i; index < options.connections; index += options.threads) {
                net::co_spawn(context, sendLoop(options, index, start, resultsByConnection[index]), net::detached);
            }
            context.run();
        });
    }
    for (std::thread &it : threads) {
        it.join();
    }
    LoadResults total;
    for (const LoadResults &it : resultsByConnection) {
        total.latencies.insert(total.latencies.end(), it.latencies.begin(), it.latencies.end());
        for (const auto &[status, n] : it.byStatus) {
            total.byStatus[status] += n;
        }
    }
    report(options, total);
}

// Opens connections, sends one request on each, and keeps them open without traffic.
void holdIdleConnections(const LoadOptions &options)
{
    net::io_context context{1};
    std::vector<Tcp::socket> sockets;
    const http::request<http::string_body> request = makeRequest(options);
    for (std::size_t i = 0; i < options.connections; ++i) {
        Tcp::socket &socket = sockets.emplace_back(context);
        socket.connect(Tcp::endpoint(net::ip::address_v4::loopback(), options.port));
        beast::flat_buffer buf;
        http::response<http::string_body> answer;
        http::write(socket, request);
        http::read(socket, buf, answer);
    }
    std::cout << "idle " << sockets.size() << std::endl;
    std::this_thread::sleep_for(std::chrono::duration<double>(options.seconds));
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    LoadOptions options;
    options.port = static_cast<std::uint16_t>(arguments.at("--port").asLong());
    options.path = arguments.at("--path").asString();
    options.key = arguments.at("--key") ? arguments.at("--key").asString() : "";
    options.connections = static_cast<std::size_t>(arguments.at("--connections").asLong());
    options.seconds = std::stod(arguments.at("--seconds").asString());
    options.method = arguments.at("--method").asString() == "POST" ? http::verb::post : http::verb::get;
    if (arguments.at("idle").asBool()) {
        holdIdleConnections(options);
        return 0;
    }
    options.rate = std::stod(arguments.at("--rate").asString());
    options.threads = static_cast<std::size_t>(arguments.at("--threads").asLong());
    runLoad(options);
    return 0;
}
