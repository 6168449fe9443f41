/// @file
/// Carries one request to a target and the answer back: attempts, retries, and the truth about what may have run.
#pragma once

#include "reply_writer.h"
#include "resolve.h"
#include "target_connection.h"
#include "target_table.h"

namespace Pollenspoke {

/// A request that was admitted.
struct DispatchRequest
{
    ResolvedRequest resolved;
    http::request<http::string_body> message; // as the caller sent it
    std::string requestId;
    TimePoint deadline;
};

/// Facts that outlive a cancelled dispatch.
struct DispatchTrace
{
    bool mayHaveRun = false;  // some target may have acted on the request
    Duration timeAtTargets{}; // connecting, sending, waiting and receiving
    AccountName account;      // that the request runs for, once it is known
    ServiceName service;      // that it is for, once it is known
};

/// The message that a target gets: no credentials, no hop-by-hop headers, the account and request id set.
http::request<http::string_body>
makeTargetRequest(const DispatchRequest &request, const TargetName &target, const WireContract &contract, TimePoint now);

/// Dispatches requests; shared by all workers.
class Dispatcher
{
public:
    using Configuration = std::atomic<std::shared_ptr<const Snapshot>>;

    Dispatcher(const ProxyOptions &options, ProxyParts parts, const Configuration &configuration); // all must outlive it

    /// Sends a target's answer to the caller. Nothing is sent when the returned refusal is set: the caller of this function
    /// sends it. Before each retry the request is resolved anew, by the configuration then in force.
    net::awaitable<std::optional<Refusal>> dispatch(DispatchRequest &request, DispatchTrace &trace, ReplyWriter &reply);

    void setVmCount(std::uint32_t n); // Vms that share each target's connections
    TargetTable &targets() { return m_targets; }
    void closeIdle(TimePoint now);
    void clearPool();

private:
    struct AttemptFailure
    {
        RetryReason reason = RetryReason::ConnectFailed;
        bool mayHaveRun = false;
        bool blamesTarget = true; // false: only the connection was at fault
        AttemptEnd end = AttemptEnd::Failed;
    };
    struct WholeAnswer
    {
        http::response_header<> header;
        std::string body;
    };
    struct Streamed // passed on as it came, or cut
    {
    };
    using AttemptResult = std::variant<WholeAnswer, Streamed, AttemptFailure>;

    struct Attempt
    {
        TargetId id;
        TargetPlace &place; // given back with the connection, when that is kept
        TimePoint startedAt;
        TimePoint giveUpAt;
        bool isPooled = false;
    };

    // The attempts of one request so far.
    struct Progress
    {
        AttemptPlan plan;
        std::vector<TargetName> tried;
        std::uint32_t sends = 0; // attempts of which a target may have seen something
        std::uint32_t connectFailures = 0;
        bool hasRepeat = false; // the retry budget has paid for the next attempt
        std::optional<AttemptFailure> last;
        std::optional<RetryReason> reason; // of the last failure after which the request may have run, else of the last
        bool mayHaveRun = false;           // after one of the failures
        bool freshOnly = false;            // no pooled connection
        bool keepsTarget = false;          // only a connection was at fault: the same target is asked again
        TargetId id;
        TargetPlace place;
    };

    std::optional<Refusal> resolveAgain(DispatchRequest &request, const DispatchTrace &trace, Progress &progress) const;
    net::awaitable<std::optional<Refusal>> takeTarget(const DispatchRequest &request, const DispatchTrace &trace, Progress &progress);
    bool mayRepeat(const DispatchRequest &request, Progress &progress);
    Refusal refuseAfter(const DispatchRequest &request, const DispatchTrace &trace, const Progress &progress) const;
    static void logFailure(const DispatchRequest &request, const Progress &progress, const AttemptFailure &failure, Duration taken);
    static void noteFailure(const AttemptFailure &failure, Progress &progress);

    net::awaitable<AttemptResult> tryOnce(const DispatchRequest &request, Progress &progress, DispatchTrace &trace, ReplyWriter &reply);
    net::awaitable<AttemptResult> exchange(const DispatchRequest &request,
                                           const Attempt &attempt,
                                           TargetConnection &connection,
                                           Progress &progress,
                                           DispatchTrace &trace,
                                           ReplyWriter &reply);
    net::awaitable<AttemptResult>
    receive(const DispatchRequest &request, const Attempt &attempt, TargetConnection &connection, Progress &progress, ReplyWriter &reply);
    net::awaitable<AttemptResult>
    receiveBody(const DispatchRequest &request, const Attempt &attempt, TargetConnection &connection, ReplyWriter &reply);
    net::awaitable<AttemptResult>
    stream(const DispatchRequest &request, TargetConnection &connection, std::string part, ReplyWriter &reply);

    AttemptFailure failureFor(ReceiveFault fault, const Attempt &attempt, const TargetConnection &connection);
    std::optional<AttemptFailure>
    judgeAnswer(const DispatchRequest &request, const Attempt &attempt, const TargetConnection &connection, Progress &progress);
    Descriptor takeIdle(const Attempt &attempt);
    void makeRoom(const DispatchRequest &request, const Attempt &attempt);
    void
    keepConnection(const DispatchRequest &request, const Attempt &attempt, TargetConnection &connection, AttemptEnd end, Duration latency);
    std::uint32_t connectionLimit(const Service &service) const;

    ProxyOptions m_options;
    ProxyParts m_parts;
    const Configuration &m_configuration;
    TargetTable m_targets;
    ConnectionPool m_pool;
    std::atomic<std::uint32_t> m_vmCount{1};
};

} // namespace Pollenspoke
