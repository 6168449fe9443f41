/// @file
/// Public interface of the reverse proxy: accepts HTTP requests from callers, authenticates, routes and rate-limits them, and
/// forwards each to a target of the route's service.
///
/// Index of this file:
/// - [1] Options    (WireContract, FrontendOptions, DispatchOptions, ProxyOptions)
/// - [2] Admission  (Admission, AdmissionControl, LocalAdmission)
/// - [3] Proxy
///
/// Example:
/// @code
/// SteadyClock clock;
/// Metrics metrics;
/// LocalAdmission admission;
/// Proxy proxy({.vm = {"vm-1"}, .callers = {"127.0.0.1", 8080}}, {clock, metrics, admission});
/// proxy.applySnapshot(snapshot);
/// Result<void> listening = proxy.start();
/// ...
/// proxy.beginLeave({.acceptTime = std::chrono::seconds(3), .totalTime = std::chrono::seconds(6)});
/// proxy.drainAndStop();
/// @endcode
#pragma once

#include <functional>
#include <pollenspoke/policy.h>
#include <pollenspoke/store.h>
#include <pollenspoke/telemetry.h>

namespace Pollenspoke {

//-----------------------------------------------------------------------------
// [1] Options
//-----------------------------------------------------------------------------

enum class PathMatching {
    Normalized, // percent-decoded, repeated slashes merged; paths that a target could interpret differently are refused
    AsSent,     // unmodified bytes of the path, without the query
};

/// HTTP header names and protocol options used towards callers and targets.
struct WireContract
{
    std::string requestIdHeader = "Pollenspoke-Request-Id"; // to targets and callers
    std::string deadlineHeader = "Pollenspoke-Deadline-Ms"; // remaining time in ms; from callers and to targets
    std::string accountHeader = "Pollenspoke-Account";      // to targets: the account that sent the request
    std::string runHeader = "Pollenspoke-Run";              // in refusals: not-run or unknown
    std::string keyHeader = "X-Api-Key";                    // API key, accepted besides Authorization; empty: disabled
    std::string instanceHeader;                             // to targets: name of the intended target; empty: not sent
    std::string requiredResponseHeader;                     // 2xx responses of targets without it are rejected; empty: no check
    std::string leavingHeader = "Server-Leaving";           // "1" in any response: the target wants no more requests; empty: not read
    std::string limitHeader = "Server-Limit";             // in any response: requests/s that the target takes from all Vms; empty: not read
    std::string warmupHeader;                             // in any response: ms for which the target stays cold; empty: not read
    bool preservesRequestId = false;                      // forward the caller's request id; false: generate one per request
    bool acceptsChunkedRequests = false;                  // false: they are refused with 411
    bool hasFractionalRetryAfter = false;                 // Retry-After with milliseconds; false: whole seconds
    bool acceptsUnframedResponses = false;                // a response body may be delimited by connection close
    PathMatching pathMatching = PathMatching::Normalized; // form of the path that routes are matched against
    std::vector<unsigned> retriedStatuses{502, 503, 504}; // for idempotent requests, if attempts remain
};

/// Size, connection and time limits towards callers.
struct FrontendOptions
{
    std::uint32_t headerBytes = 16384;     // of one header block; above: 431
    std::uint64_t bodyBytes = 1048576;     // of one request body; above: 413
    std::uint32_t vmMemoryMb = 512;        // of the process, in 10^6 bytes; half of it may hold bodies of requests and responses
    std::uint32_t maxConnections = 10000;  // from callers; above: 503 and close
    std::uint32_t headerTimeoutMs = 10000; // from first to last byte of a header block; above: 408
    std::uint32_t bodyTimeoutMs = 30000;   // from the header to the last body byte; above: 408
    std::uint32_t idleTimeoutMs = 120000;  // between requests on a keep-alive connection
    std::uint32_t writeTimeoutMs = 30000;  // per write of response data; above: the connection is closed
};

/// Timeouts, buffer sizes, queueing and retries towards targets.
struct DispatchOptions
{
    std::uint32_t connectTimeoutMs = 300;            // per connection; limited by the request deadline
    std::uint64_t wholeAnswerBytes = 262144;         // responses up to this size are buffered completely before forwarding
    std::uint32_t streamPartBytes = 65536;           // buffer size for streamed responses
    std::uint32_t answerHeaderBytes = 65536;         // of one response header block
    std::uint32_t pooledIdleMs = 30000;              // idle connections to targets are closed after this
    std::uint32_t targetQueue = 1000;                // concurrent requests per target above its slots, 0 to 1000
    double patienceFactor = 0;                       // time limit of all but the last attempt, as multiple of the usual latency; 0: none
    std::uint32_t shortestPatienceMs = 250;          // lower bound of that limit
    RetryBudgetOptions retryBudget{.reserve = 1000}; // per service
    bool admissionByRank = false;                    // while a service lacks slots, only requests of the more urgent ranks may wait for one
    BalancerOptions balancer;
    HedgeOptions hedge;         // per service
    bool hasFairShares = false; // accounts take turns at scarce slots, by weight
};

struct ProxyOptions
{
    VmName vm;                         // required
    FailureDomain failureDomain;       // required
    Address callers;                   // listen address; port 0: chosen by the system
    std::uint32_t workers = 4;         // threads, 1 to 256
    std::uint32_t addressTtlMs = 5000; // cache lifetime of the address list for callers
    std::uint32_t addressCount = 3;    // length of the address list
    FrontendOptions front;
    DispatchOptions dispatch;
    WireContract wire;
};

//-----------------------------------------------------------------------------
// [2] Admission
//-----------------------------------------------------------------------------

struct Admitted
{
};
struct RateExceeded
{
    Duration retryAfter{}; // estimated time until a token is available
};
struct ConfigurationUnverified // the configuration could not be confirmed to be current
{
};
using Admission = std::variant<Admitted, RateExceeded, ConfigurationUnverified>;

/// Rate limiter: decides whether an account may run another request. admit() is called from any worker and must not throw;
/// it calls `callback` exactly once, from any thread.
class AdmissionControl
{
public:
    virtual ~AdmissionControl() = default;
    virtual void admit(const AccountName &account, const Limits &limits, TimePoint now, std::function<void(Admission)> callback) = 0;
};

/// One token bucket per account, local to this Vm. Enforces the account's limits only in a fleet of a single Vm.
class LocalAdmission final : public AdmissionControl
{
public:
    void admit(const AccountName &account, const Limits &limits, TimePoint now, std::function<void(Admission)> callback) override;

private:
    std::mutex m_mutex;
    std::map<AccountName, TokenBucket> m_buckets;
};

//-----------------------------------------------------------------------------
// [3] Proxy
//-----------------------------------------------------------------------------

/// External objects used by a Proxy. All of them must outlive it.
struct ProxyDependencies
{
    Clock &clock;
    Metrics &metrics;
    AdmissionControl &admission;
};

/// Load and health of each service's targets, as observed by one Vm. Vms exchange these updates.
using TargetUpdates = std::map<ServiceName, std::vector<TargetObservation>>;

/// Demand for each service at one Vm. Seat holders exchange it together with the target updates.
using DemandUpdates = std::map<ServiceName, DemandReport>;

/// The proxy of one Vm. All methods are thread-safe.
class Proxy
{
public:
    Proxy(ProxyOptions options, ProxyDependencies dependencies);
    ~Proxy(); // closes open connections and joins the workers; call drainAndStop() first
    Proxy(const Proxy &) = delete;
    Proxy &operator=(const Proxy &) = delete;

    Result<void> start();       // binds and listens; ErrorCode::Io if the address can't be bound
    std::uint16_t port() const; // the bound port, after start()

    void applySnapshot(std::shared_ptr<const Snapshot> snapshot); // revisions older than the current one are ignored

    /// Applies updates received from another Vm. If `isWhole`, they replace all earlier updates from that Vm.
    void applyTargetUpdates(const VmName &vm, const TargetUpdates &updates, bool isWhole);
    TargetUpdates targetUpdates() const; // to be sent to the other Vms

    /// Applies the demand that another Vm reported. Impossible or outdated parts are rejected and counted.
    void applyDemand(const VmName &vm, const DemandUpdates &demand);
    DemandUpdates demandUpdates(); // of services with demand within the last second, to be sent to the other seat holders

    void setRetryShare(double share);                  // this Vm's share of the retry budgets' reserve, 0 to 1
    void setVmCount(std::uint32_t n);                  // Vms that divide each target's connection limit, at least 1
    void setLimitSharers(const LimitSharers &sharers); // Vms that share the limits of targets; not set: this Vm is alone
    void applyVms(const std::vector<VmEntry> &vms);    // for the address list and the connection limits

    /// The other seat holders, for VmDiagnosis. The list expires, so call it often.
    void setOtherHolders(const std::vector<HolderHealth> &others);
    bool isImpaired() const; // see VmDiagnosis

    /// Planned stop, first part: this Vm is no longer advertised but still serves, as the schedule allows. Starts the schedule.
    void beginLeave(const StopSchedule &schedule);

    /// Planned stop, second part: stops accepting connections and waits for the requests in flight until the schedule ends. Those
    /// that remain are answered as not run, or as unknown if a target may have run them. Returns true if none remained. Returns in
    /// time also if a worker doesn't return to its event loop; then hasStalledWorker().
    bool drainAndStop();

    /// After drainAndStop(): a worker thread still runs, and the destructor would wait for it. End the process instead.
    bool hasStalledWorker() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Pollenspoke
