/// @file
/// What callers sent, what targets ran and what callers got, checked against the promises of the platform's pages.
#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Pollenspoke {

struct SentRequest
{
    std::string account;
    std::string method;
    std::string path;
    std::string body;
    std::string service; // the only one that any configuration ever sent it to
    bool isRetryable = true;
};

struct SeenRun
{
    std::string id;
    std::string account;
    std::string method;
    std::string path;
    std::string body;
    std::string service;
    bool carriesKey = false; // the caller's key, which no target may see
};

struct SeenAnswer
{
    unsigned status = 0; // 0: none came whole
    std::string id;
    std::string body;
    bool isProved = false; // the target's signature is there
};

struct AccountBound
{
    double ratePerSecond = 0;
    double burst = 0;
};

/// Calls may come from any thread.
class Ledger
{
public:
    using Clock = std::chrono::steady_clock;

    static std::string bodyFor(const std::string &id) { return "answer to " + id + " " + std::string(64, id.back()); }

    void noteSent(const std::string &id, SentRequest request);
    void noteRun(const SeenRun &run);
    void noteAnswer(const std::string &id, const SeenAnswer &answer);

    /// Violations found by now; `bounds`: of the accounts that have limits.
    std::vector<std::string> violations(const std::map<std::string, AccountBound> &bounds) const;
    std::string summary() const;
    double servedShareSince(Clock::time_point since) const; // of repeatable requests sent since then and answered by now
    std::vector<std::string> unansweredRunsSince(Clock::time_point since) const; // ids of requests that ran and got no whole answer

private:
    struct Entry
    {
        SentRequest request;
        Clock::time_point sentAt;
        std::vector<Clock::time_point> runs;
        unsigned status = 0;
        bool isOver = false;
    };

    mutable std::mutex m_mutex;
    std::map<std::string, Entry> m_entries;
    std::vector<std::string> m_violations;
};

} // namespace Pollenspoke
