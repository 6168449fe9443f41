/// @file
/// Metrics and structured logging.
///
/// Index of this file:
/// - [1] Metrics  (Counter, Gauge, Timing, Metrics)
/// - [2] Logs     (LogOptions, setUpLogging(), logEvent())
///
/// Example:
/// @code
/// Metrics metrics;
/// metrics.countRefusal(RefusalReason::RateLimited, RunState::NotRun);
/// metrics.recordTiming(Timing::Added, 300us);
/// std::cout << metrics.expose();
/// logEvent(Event::VmReady, {{"callers", "127.0.0.1:8080"}});
/// @endcode
#pragma once

#include <initializer_list>
#include <memory>
#include <pollenspoke/base.h>

namespace Pollenspoke {

//-----------------------------------------------------------------------------
// [1] Metrics
//-----------------------------------------------------------------------------

/// Monotonic counters. Refusals, retries and hedges held back are counted separately, by reason.
enum class Counter {
    RequestsReceived,      // request headers received completely
    AnswersWhole,          // target responses forwarded completely
    AnswersCut,            // streamed responses aborted by closing the caller's connection, so that no partial body looks complete
    Dispatches,            // attempts that wrote at least one byte to a target
    ConnectionsOpened,     // new connections to targets
    ConnectionsReused,     // dispatches on a pooled connection
    ConnectionsDiscarded,  // pooled connections dropped: closed by the target, unresponsive, or with unexpected bytes
    CallersAccepted,       // accepted connections from callers
    SnapshotsRefused,      // rejected configurations older than the one in force
    ObjectsSkipped,        // stored objects skipped as invalid
    StoreFailures,         // times the object store became unreachable
    StoreCalls,            // calls to a store shared by Vms; a long-running watch counts once
    StoreProbes,           // those that only asked whether the store answers
    StoreCallsLost,        // those without an answer although the store answered later ones
    FeedPolls,             // requests to other Vms for the store's changes
    FeedPollsUnanswered,   // those without a reply in time
    FeedRepliesLate,       // replies that arrived after that time
    FeedRepliesOutdated,   // replies dropped in part, as this Vm had learned of changes in another way meanwhile
    FeedRepliesNotCovered, // kinds of documents for which the source's log started too late
    LeavingAnnouncements,  // target instances that said in an answer that they are leaving
    PauseAnnouncements,    // answers with which a target asked for a pause, or for a longer one
    LimitAnnouncements,    // answers with which a target named a limit of requests/s, or another one than before
    DispatchesWithheld,    // choices of a target that left out one because of its announcement, and attempts kept back for it
    SeatsContested,        // registrations of silent seat holders, and their successors, that this Vm wrote as contested
    SeatsConfirmed,        // contested registrations of Vms that this Vm hears and wrote as held again
    DispatchesHeldCold,    // choices that left out a cold target, and attempts kept back from one, because of its warm-up limit
    HedgesSent,            // second copies of slow requests, beside the first
    HedgesWon,             // those whose answer went to the caller
    HedgesCancelled,       // those that were ended as the first attempt answered
    DemandPartsRejected,   // other Vms' numbers of a service's demand that were impossible, too old or from a Vm without a seat
    WaitsByLevel,          // requests without a free slot that the admission level allowed to wait
    RefusalsByLevel,       // those that it had refused
    ReturnsAfterDeadline,  // refusals that name a time after the request's deadline, since there is no capacity before
};
inline constexpr std::size_t counterCount = static_cast<std::size_t>(Counter::ReturnsAfterDeadline) + 1;

/// Current values.
enum class Gauge {
    CallerConnections,   // open connections from callers
    BodyBytes,           // of all request and response bodies that are held in memory
    RequestsInFlight,    // requests whose header has arrived and whose response isn't complete
    PooledConnections,   // idle connections to targets
    SnapshotRevision,    // number of the configuration in force; counts up on this Vm
    FollowedRevision,    // store revision up to which all declared changes are in force; goes back if the store is restored
    StoreReachable,      // 1: the object store responded to the last call; 0: it didn't
    StoreAgeMs,          // ms since the start of the last call that the object store responded to; -1: none yet
    StoreEra,            // of the object store: rises when it was restored from an older copy; 0: unknown
    DeclarationsVersion, // operator's version of the declarations in force; 0: none, or the platform has no such version
    SeatInUse,           // 1: this Vm has a seat and may use it
    EvacuatedDomains,    // failure domains whose targets get no new requests
    VmImpaired,          // 1: this Vm fails to reach targets that the other seat holders reach
    AdmissionBoundary,   // of all services, the most urgent rank of which not all requests may wait for a slot; -1: none
};
inline constexpr std::size_t gaugeCount = static_cast<std::size_t>(Gauge::AdmissionBoundary) + 1;

/// Durations, recorded in histograms that cover 10 us to 100 s.
enum class Timing {
    Total,        // request header received to response sent
    Added,        // proxy overhead: Total minus the time spent waiting for targets
    Connect,      // opening a connection to a target
    Target,       // one attempt: request written to response received
    Declarations, // a change of the declarations: first Vm got it from the store to in force on this Vm, without transfers
};
inline constexpr std::size_t timingCount = static_cast<std::size_t>(Timing::Declarations) + 1;

/// All metrics of one process. Thread-safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void count(Counter counter, std::uint64_t n = 1);
    void countRefusal(RefusalReason reason, RunState run);
    void countRetry(RetryReason reason);
    void countHedgeHeldBack(HedgeHoldback reason);
    void addGauge(Gauge gauge, std::int64_t n);
    void setGauge(Gauge gauge, std::int64_t value);
    void recordTiming(Timing timing, Duration duration);

    std::uint64_t value(Counter counter) const;
    std::uint64_t refusals(RefusalReason reason) const; // sum over both run states
    std::uint64_t retries(RetryReason reason) const;
    std::uint64_t hedgesHeldBack(HedgeHoldback reason) const;
    std::int64_t value(Gauge gauge) const;
    Duration quantile(Timing timing, double fraction) const; // upper bound of the bin that contains it; zero if nothing was recorded

    std::string expose() const; // Prometheus text format

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

//-----------------------------------------------------------------------------
// [2] Logs
//-----------------------------------------------------------------------------

enum class LogLevel { Debug, Info, Warning, Error };
enum class LogFormat { Text, Json };

struct LogOptions
{
    LogLevel level = LogLevel::Info;    // lines below this level are dropped
    LogFormat format = LogFormat::Json; // Json: one object per line
};

/// A key-value pair of a log line.
struct LogField
{
    std::string_view name;
    std::string value;
};

void setUpLogging(const LogOptions &options); // call once, before the first log line; logs go to standard output
void logEvent(Event event, std::initializer_list<LogField> fields, LogLevel level = LogLevel::Info);

/// Like logEvent() for per-request events, limited to `requestLinesPerSecond` per process. The next line written after
/// suppressed ones carries their number.
void logRequestEvent(Event event, std::initializer_list<LogField> fields, LogLevel level = LogLevel::Info);
inline constexpr std::uint32_t requestLinesPerSecond = 100; // about 25 KB/s of logs

} // namespace Pollenspoke
