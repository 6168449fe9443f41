/// @file
/// Records what callers sent, what targets executed and what callers received, and checks it against the guarantees of the proxy.
#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Pollenspoke {

/// One request as a caller sent it.
struct SentRequest
{
    std::string account;
    std::string method;
    std::string path;
    std::string body;
    std::string service;      // every configuration routes the request to this service
    std::string vm;           // that it was sent to
    bool isIdempotent = true; // false: must be executed at most once
};

/// One request as a target received and executed it.
struct Execution
{
    std::string id;
    std::string account;
    std::string method;
    std::string path;
    std::string body;
    std::string service;
    bool hasCallerKey = false; // the proxy must remove the caller's key
};

/// The response that a caller received.
struct ReceivedResponse
{
    unsigned status = 0; // 0: no complete response
    std::string id;
    std::string body;
    bool isSigned = false;        // the target's signature header is present
    std::string leavingInstance;  // the target instance that announced in it that it is leaving; empty: none did
    std::string limitingInstance; // the one that named a limit in it; empty: none did
};

struct AccountLimits
{
    double ratePerSecond = 0;
    double burst = 0;
};

/// Thread-safe. Request IDs must be unique within a run.
class Ledger
{
public:
    using Clock = std::chrono::steady_clock;

    /// The body that a target sends for a request; unique to it, so that mixed-up responses are detected.
    static std::string expectedBody(const std::string &id) { return "answer to " + id + " " + std::string(64, id.back()); }

    void recordRequest(const std::string &id, SentRequest request);
    void recordExecution(const Execution &execution);
    void recordResponse(const std::string &id, const ReceivedResponse &response);

    /// A request reached a target instance, which may refuse it.
    void recordArrival(const std::string &id, const std::string &instance);
    /// An instance refused a request and wants none from that Vm for some time.
    void recordPause(const std::string &id, const std::string &instance, Clock::duration pause);
    /// An instance names in its answers from now on how many requests/s it takes, or no more; empty.
    void recordLimit(const std::string &instance, std::optional<double> limit);
    /// The Vm was restarted or suspended: what targets told it before doesn't bind it.
    void forgetAnnouncements(const std::string &vm);

    /// Violations so far, each starting with the name of the broken guarantee. Quotas are checked for the accounts in `limits`.
    std::vector<std::string> violations(const std::map<std::string, AccountLimits> &limits) const;
    std::string summary() const;

    /// Share of 2xx among the requests sent since then and completed by now; 401 and 429 are not counted.
    double successRateSince(Clock::time_point since) const;

    /// IDs of requests sent since then that were executed but got no complete response.
    std::vector<std::string> unansweredExecutionsSince(Clock::time_point since) const;

private:
    struct Announcement // of one instance to one Vm
    {
        std::optional<Clock::time_point> leavingSince;
        Clock::time_point pauseStart;
        Clock::time_point pauseEnd;
        std::size_t arrivalsInPause = 0;
    };
    struct LimitedInstance
    {
        double limit = 0; // requests/s
        Clock::time_point since;
        std::map<std::string, Clock::time_point> toldAt; // by Vm, that passed on an answer with the limit
        std::deque<Clock::time_point> arrivals;          // from Vms that had been told, in the last window
    };
    struct Entry
    {
        SentRequest request;
        Clock::time_point sentAt;
        std::vector<Clock::time_point> executedAt;
        unsigned status = 0;
        bool isComplete = false; // the caller got a response or gave up
    };

    void checkLimit(const std::string &id, const std::string &vm, const std::string &instance);

    mutable std::mutex m_mutex;
    std::map<std::string, Entry> m_entries;
    std::map<std::pair<std::string, std::string>, Announcement> m_announcements; // by Vm and instance
    std::map<std::string, LimitedInstance> m_limited;
    std::vector<std::string> m_violations;
};

} // namespace Pollenspoke
