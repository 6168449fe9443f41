/// @file
/// Forwards a request to a target and the response to the caller. Handles retries and tracks whether a target may have
/// executed the request.
#pragma once

#include "body_memory.h"
#include "reply_writer.h"
#include "resolve.h"
#include "target_connection.h"
#include "target_table.h"

namespace Pollenspoke {

using CurrentStop = std::atomic<std::shared_ptr<const PlannedStop>>; // null unless the Vm is stopping

/// A request that passed admission control.
struct DispatchRequest
{
    ResolvedRequest resolved;
    http::request<ReceivedBody> message; // as received from the caller
    std::string requestId;
    TimePoint deadline;
};

/// State of a dispatch that stays valid after the dispatch is cancelled.
struct DispatchTrace
{
    bool mayHaveRun = false;                 // a target may have executed the request
    Duration timeAtTargets{};                // total time of all attempts, including connecting
    AccountName account;                     // empty until resolved
    ServiceName service;                     // empty until resolved
    std::optional<std::uint32_t> rank;       // empty until resolved
    std::optional<std::size_t> waitingAhead; // requests that went first when it last came to the queue; empty: it never did
};

/// For requests that a stopping Vm doesn't start. The caller may try another Vm at once.
Refusal makeStopRefusal();

/// Builds the request for a target: removes credentials and hop-by-hop headers, adds account, request id and deadline. Refers to the
/// body of the given request.
http::request<SentBody>
makeTargetRequest(const DispatchRequest &request, const TargetName &target, const WireContract &contract, TimePoint now);

/// Forwards requests to targets. Shared by all workers.
class Dispatcher
{
public:
    using Configuration = std::atomic<std::shared_ptr<const Snapshot>>;

    /// The arguments must outlive the dispatcher.
    Dispatcher(const ProxyOptions &options,
               ProxyDependencies dependencies,
               const Configuration &configuration,
               const CurrentStop &stop,
               BodyMemory &bodyMemory);

    /// Forwards the request and sends the target's response to `reply`. If a refusal is returned, nothing was sent and the
    /// calling code must send the refusal. Each retry resolves the request again with the current configuration.
    net::awaitable<std::optional<Refusal>> dispatch(DispatchRequest &request, DispatchTrace &trace, ReplyWriter &reply);

    void setVmCount(std::uint32_t n); // Vms that divide each target's connection limit
    TargetTable &targets() { return m_targets; }
    void applySnapshot(const Snapshot &snapshot); // also closes the idle connections to evacuated targets
    void closeExpired(TimePoint now);
    void clearPool();

private:
    struct AttemptFailure
    {
        RetryReason reason = RetryReason::ConnectFailed;
        bool mayHaveRun = false;
        bool isTargetFault = true; // false: only the connection failed
        AttemptEnd end = AttemptEnd::Failed;
    };
    struct BufferedResponse
    {
        http::response_header<> header;
        std::string body;
        BodyLease lease; // for the body
    };
    struct StreamedResponse // already forwarded, completely or not
    {
        bool hasCallerLeft = false; // while it was sent
    };
    using AttemptResult = std::variant<BufferedResponse, StreamedResponse, AttemptFailure>;

    struct HedgeRace;

    struct Attempt
    {
        TargetId id;
        TargetReservation &reservation; // released together with returning the connection to the pool
        TimePoint startedAt;
        TimePoint patienceEndsAt; // then it is given up, once another attempt was sent
        bool isPooled = false;
        bool isFirst = false;      // of the request; its latency counts for the route's quantile
        bool isHedge = false;      // the second one of a race
        HedgeRace *race = nullptr; // with another attempt of the same request; null: none is possible
    };

    // A request on its way to a target.
    struct OutgoingRequest
    {
        OutgoingRequest(const DispatchRequest &request, const TargetName &target, const WireContract &contract, TimePoint sendAt);

        http::request<SentBody> message;
        RequestSerializer serializer; // of the message
        TimePoint sentAt;
    };

    // An attempt that was sent while another one was still running, and takes its place.
    struct Replacement
    {
        ResolvedRequest resolved; // by the configuration in force when it was sent
        TargetId id;
        std::optional<TargetReservation> reservation; // empty: shares that of the other attempt, which is at the same target
        TimePoint startedAt;
        std::unique_ptr<TargetConnection> connection;
        std::unique_ptr<OutgoingRequest> outgoing;
    };

    // A first attempt and its hedge, which run until one of them has a whole answer.
    struct HedgeRace
    {
        enum class Phase {
            Idle,       // no hedge was sent yet, or it has failed
            Connecting, // a hedge may be sent any moment
            Running,    // it was sent
        };

        bool isContested() const { return phase == Phase::Running && !winner && !hasFirstFailed; } // both run
        bool isLost(bool isHedge) const { return winner && *winner != isHedge; }

        Phase phase = Phase::Idle;
        TargetConnection *first = nullptr;
        std::optional<Replacement> hedge; // once it was sent
        std::optional<AttemptResult> firstResult;
        std::optional<AttemptResult> hedgeResult;
        std::optional<BufferedResponse> errorResponse; // of the attempt that ended first; sent if the other one has no answer
        std::optional<bool> winner;                    // true: the hedge; its answer is whole, or being streamed
        bool hasFirstFailed = false;                   // the hedge goes on alone
    };

    // State of one request across its attempts.
    struct Progress
    {
        AttemptPlan plan;
        TimePoint startedAt;
        std::vector<TargetName> tried;
        std::vector<TargetName> ranAt; // targets that may have executed the request
        std::uint32_t sendCount = 0;   // attempts that wrote at least one byte to a target
        std::uint32_t connectFailures = 0;
        bool hasReservedRetry = false; // the retry budget has been charged for the next attempt
        std::optional<AttemptFailure> last;
        std::optional<RetryReason> reason; // of the last failure after which the request may have run; otherwise of the last failure
        bool mayHaveRun = false;           // the request may have run in a failed attempt
        bool needsNewConnection = false;   // don't use a pooled connection
        bool retriesSameTarget = false;    // only a connection failed; retry the same target
        TargetId id;
        TargetReservation reservation;
        std::optional<Replacement> replacement; // the next attempt
    };

    std::optional<Refusal> resolveForRetry(DispatchRequest &request, const DispatchTrace &trace, Progress &progress);
    net::awaitable<std::optional<Refusal>> acquireTarget(const DispatchRequest &request, DispatchTrace &trace, Progress &progress);
    net::awaitable<tl::expected<Target, AcquireFailure>> acquireSlot(const DispatchRequest &request,
                                                                     const ResolvedRequest &resolved,
                                                                     const Progress &progress,
                                                                     std::vector<TargetName> tried,
                                                                     bool mayOvercommit,
                                                                     TargetReservation &reservation,
                                                                     std::optional<std::size_t> &waitingAhead);
    bool isUsable(const Service &service, const TargetId &id) const; // listed as serving, and accepts requests
    bool reserveRetry(const ServiceName &service, TimePoint deadline, Progress &progress);
    static bool exceedsAttempts(const Progress &progress);
    static void useReplacement(DispatchRequest &request, Progress &progress);
    bool isStopTooClose(const DispatchRequest &request, const DispatchTrace &trace) const;
    void scheduleReturn(const DispatchRequest &request, Refusal &refusal);
    Refusal makeFinalRefusal(const DispatchRequest &request, const DispatchTrace &trace, const Progress &progress);
    static void logFailure(
        const DispatchRequest &request, const TargetId &id, const Progress &progress, const AttemptFailure &failure, Duration elapsed);
    static void recordFailure(const AttemptFailure &failure, Progress &progress);

    net::awaitable<AttemptResult> runAttempt(const DispatchRequest &request, Progress &progress, DispatchTrace &trace, ReplyWriter &reply);
    net::awaitable<AttemptResult> exchange(const DispatchRequest &request,
                                           const Attempt &attempt,
                                           TargetConnection &connection,
                                           Progress &progress,
                                           DispatchTrace &trace,
                                           ReplyWriter &reply);
    net::awaitable<AttemptResult> awaitResponse(const DispatchRequest &request,
                                                const Attempt &attempt,
                                                TargetConnection &connection,
                                                OutgoingRequest &outgoing,
                                                Progress &progress,
                                                DispatchTrace &trace,
                                                ReplyWriter &reply);
    net::awaitable<AttemptResult> awaitFirst(const DispatchRequest &request,
                                             const Attempt &attempt,
                                             TargetConnection &connection,
                                             OutgoingRequest &outgoing,
                                             Progress &progress,
                                             DispatchTrace &trace,
                                             ReplyWriter &reply);
    net::awaitable<AttemptResult> receiveWhileSending(const DispatchRequest &request,
                                                      const Attempt &attempt,
                                                      TargetConnection &connection,
                                                      OutgoingRequest &outgoing,
                                                      Progress &progress,
                                                      ReplyWriter &reply);
    void finishAttempt(const DispatchRequest &request,
                       const Attempt &attempt,
                       TargetConnection &connection,
                       TimePoint sentAt,
                       const AttemptResult &result,
                       bool isCancelled);
    net::awaitable<AttemptResult> raceHedge(const DispatchRequest &request,
                                            const Attempt &attempt,
                                            TargetConnection &connection,
                                            OutgoingRequest &outgoing,
                                            Duration hedgeDelay,
                                            Progress &progress,
                                            DispatchTrace &trace,
                                            ReplyWriter &reply);
    net::awaitable<std::optional<HedgeHoldback>>
    sendHedge(const DispatchRequest &request, const Attempt &first, HedgeRace &race, Progress &progress, const ReplyWriter &reply);
    static bool claimRace(const Attempt &attempt);
    void settleFailure(const DispatchRequest &request,
                       const Attempt &attempt,
                       TargetConnection &connection,
                       TimePoint sentAt,
                       AttemptResult result,
                       Progress &progress);
    AttemptResult settleRace(const DispatchRequest &request,
                             const Attempt &first,
                             TargetConnection &connection,
                             TimePoint sentAt,
                             bool isCancelled,
                             Progress &progress);
    void noteHedgeEnd(const DispatchRequest &request, const Attempt &first, const Replacement &hedge, std::string_view outcome) const;
    net::awaitable<void> waitForReplacement(const DispatchRequest &request,
                                            const Attempt &attempt,
                                            const TargetConnection &connection,
                                            Progress &progress,
                                            const DispatchTrace &trace,
                                            const ReplyWriter &reply);
    net::awaitable<bool> waitUntilOverdue(const Attempt &attempt, const TargetConnection &connection) const;
    net::awaitable<std::optional<Replacement>> sendReplacement(const DispatchRequest &request,
                                                               const Attempt &attempt,
                                                               bool isAtSameTarget,
                                                               Progress &progress,
                                                               const std::function<bool()> &isWanted);
    std::optional<ResolvedRequest> resolveReplacement(const DispatchRequest &request) const;
    bool mayBeSent(const DispatchRequest &request, Replacement &replacement, const Attempt &running, const Progress &progress) const;
    void logReplacement(const DispatchRequest &request, const Attempt &attempt, const TargetName &target, std::string_view outcome) const;
    net::awaitable<AttemptResult>
    receive(const DispatchRequest &request, const Attempt &attempt, TargetConnection &connection, Progress &progress, ReplyWriter &reply);
    net::awaitable<AttemptResult>
    receiveBody(const DispatchRequest &request, const Attempt &attempt, TargetConnection &connection, ReplyWriter &reply);
    net::awaitable<AttemptResult>
    streamBody(const DispatchRequest &request, TargetConnection &connection, std::string part, ReplyWriter &reply);

    void noteAnnouncement(const DispatchRequest &request, const Attempt &attempt, const http::response_header<> &header);
    AttemptFailure makeFailure(ReceiveError receiveError, const Attempt &attempt, const TargetConnection &connection);
    std::optional<AttemptFailure>
    checkResponse(const DispatchRequest &request, const Attempt &attempt, const TargetConnection &connection, Progress &progress);
    bool mayRetryAnswer(const DispatchRequest &request, const http::response_header<> &header, Progress &progress);
    Descriptor takePooledConnection(const Attempt &attempt);
    void closeExcess(const ResolvedRequest &resolved, const TargetId &id);
    ConnectionOptions connectionOptions() const;
    void
    returnToPool(const DispatchRequest &request, const Attempt &attempt, TargetConnection &connection, AttemptEnd end, Duration latency);
    std::uint32_t connectionLimit(const Service &service) const;

    ProxyOptions m_options;
    ProxyDependencies m_dependencies;
    const Configuration &m_configuration;
    const CurrentStop &m_stop;
    BodyMemory &m_bodyMemory;
    TargetTable m_targets;
    ConnectionPool m_pool;
    std::atomic<std::uint32_t> m_vmCount{1};
};

} // namespace Pollenspoke
