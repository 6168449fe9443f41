/// @file
/// Callers as the platform has them: they ask for addresses, keep the answer for a while, keep or open connections.
#pragma once

#include "ledger.h"

#include <boost/asio.hpp>
#include <pollenspoke/base.h>
#include <random>

namespace Pollenspoke {

struct CallerOptions
{
    std::vector<Address> directories; // where callers ask for addresses
    std::string host;
    std::string account;
    std::string key;
    std::chrono::milliseconds pause{40}; // between requests
    std::uint64_t seed = 1;
};

/// Sends requests until `isOver` is set; half of them may run once only. Must outlive its coroutine.
class Caller
{
public:
    Caller(Ledger &ledger, CallerOptions options, const bool &isOver);

    boost::asio::awaitable<void> run();
    bool isDone() const { return m_isDone; }

    /// One request on a fresh connection; its status, 0 without an answer.
    boost::asio::awaitable<unsigned> askOnce(const std::string &path);

private:
    struct Connection;

    boost::asio::awaitable<std::vector<Address>> resolve();
    boost::asio::awaitable<std::shared_ptr<Connection>> connect();
    boost::asio::awaitable<unsigned> ask(Connection &connection, bool isRetryable, const std::string &path);
    std::size_t draw(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_generator); }

    Ledger &m_ledger;
    CallerOptions m_options;
    const bool &m_isOver;
    bool m_isDone = false;
    std::mt19937_64 m_generator;
    std::vector<Address> m_addresses;
    Ledger::Clock::time_point m_resolvedAt;
    std::uint64_t m_sent = 0;
};

} // namespace Pollenspoke
