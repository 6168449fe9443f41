/// @file
/// Simulated callers: they resolve the proxy's addresses, cache them, and send requests on new or kept-alive connections.
#pragma once

#include "ledger.h"

#include <boost/asio.hpp>
#include <pollenspoke/base.h>
#include <random>

namespace Pollenspoke {

struct CallerOptions
{
    std::vector<Address> addressServers; // of the VMs; each answers /api/resolve
    std::string host;
    std::string account;
    std::string key;
    std::chrono::milliseconds thinkTime{40}; // mean time between requests
    std::uint64_t seed = 1;
};

/// Sends requests until `shouldStop` is set; half of them are not idempotent. Must outlive its coroutine.
class Caller
{
public:
    Caller(Ledger &ledger, CallerOptions options, const bool &shouldStop);

    boost::asio::awaitable<void> run();
    bool isDone() const { return m_isDone; }

    /// Sends one idempotent request on a new connection. Returns its status, 0 without a response.
    boost::asio::awaitable<unsigned> requestOnce(const std::string &path);

private:
    struct Connection;

    boost::asio::awaitable<std::vector<Address>> resolve();
    boost::asio::awaitable<std::shared_ptr<Connection>> connect();
    boost::asio::awaitable<unsigned> send(Connection &connection, bool isIdempotent, const std::string &path);
    std::size_t randomIndex(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_generator); }

    Ledger &m_ledger;
    CallerOptions m_options;
    const bool &m_shouldStop;
    bool m_isDone = false;
    std::mt19937_64 m_generator;
    std::vector<Address> m_addresses;
    Ledger::Clock::time_point m_resolvedAt;
    std::uint64_t m_requestCount = 0;
};

} // namespace Pollenspoke
