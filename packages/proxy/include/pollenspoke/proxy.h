/// @file
/// The caller's face: takes HTTP requests, decides on each, and dispatches it to a target of the route's service.
///
/// Index of this file:
/// - [1] Options    (WireContract, FrontOptions, DispatchOptions, ProxyOptions)
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
/// proxy.beginLeave();
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
    Normalized, // percent-decoded, repeated slashes as one; paths that targets could read otherwise are refused
    AsSent,     // byte for byte, up to the query
};

/// How requests and answers are marked on the wire, towards callers and targets.
struct WireContract
{
    std::string requestIdHeader = "Pollenspoke-Request-Id"; // towards targets and callers
    std::string deadlineHeader = "Pollenspoke-Deadline-Ms"; // time left, ms; from callers and towards targets
    std::string accountHeader = "Pollenspoke-Account";      // towards targets: the account that the request runs for
    std::string runHeader = "Pollenspoke-Run";              // of refusals: not-run or unknown
    std::string keyHeader = "X-Api-Key";                    // carries a key beside Authorization; empty: none does
    std::string instanceHeader;                             // towards targets: the target expected; empty: not sent
    std::string proofHeader;                                // a 2xx answer of a target without it is refused; empty: none
    bool keepsCallersRequestId = false;                     // a caller's id is passed on; else each request gets a new one
    bool takesChunkedRequests = false;                      // false: refused with 411
    bool hasFractionalRetryAfter = false;                   // Retry-After in seconds with a fraction; else whole seconds
    bool takesUnframedAnswers = false;                      // a target's answer may end with its connection
    PathMatching pathMatching = PathMatching::Normalized;   // how routes are found
    std::vector<unsigned> retriedStatuses{502, 503, 504};   // of idempotent requests, while another attempt is left
};

/// Bounds on what a caller may send and how slowly.
struct FrontOptions
{
    std::uint32_t headerBytes = 16384;     // whole header block; more: 431
    std::uint64_t bodyBytes = 1048576;     // more: 413
    std::uint32_t maxConnections = 10000;  // callers' connections; more: 503 and close
    std::uint32_t headerTimeoutMs = 10000; // from the first byte of a header block to its last; more: 408
    std::uint32_t bodyTimeoutMs = 30000;   // from the header to the body's last byte; more: 408
    std::uint32_t idleTimeoutMs = 120000;  // between requests on a kept-open connection
    std::uint32_t writeTimeoutMs = 30000;  // without progress while an answer is sent; more: the connection is cut
};

/// Bounds on the way to targets.
struct DispatchOptions
{
    std::uint32_t connectTimeoutMs = 300;            // one connection; never past the request's deadline
    std::uint64_t wholeAnswerBytes = 262144;         // answers up to this are received whole before the first byte is passed on
    std::uint32_t streamPartBytes = 65536;           // buffer of a streamed answer
    std::uint32_t answerHeaderBytes = 65536;         // header block of an answer
    std::uint32_t pooledIdleMs = 30000;              // an idle connection to a target is closed after this
    std::uint32_t targetQueue = 1000;                // requests beyond its slots that a target gets at once, 0 to 1000
    double patienceFactor = 0;                       // an attempt that others may follow ends after so many usual latencies; 0: no bound
    std::uint32_t shortestPatienceMs = 250;          // least time for such an attempt
    RetryBudgetOptions retryBudget{.reserve = 1000}; // of each service
    BalancerOptions balancer;
};

struct ProxyOptions
{
    VmName vm;                         // required
    FailureDomain failureDomain;       // required
    Address callers;                   // listen address; port 0: the system chooses
    std::uint32_t workers = 4;         // threads, 1 to 256
    std::uint32_t addressTtlMs = 5000; // how long callers may keep an address answer
    std::uint32_t addressCount = 3;    // addresses in one answer
    FrontOptions front;
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
    Duration retryAfter{}; // until a token is expected
};
struct ConfigurationUnproved
{
};
using Admission = std::variant<Admitted, RateExceeded, ConfigurationUnproved>;

/// Decides whether an account may run one more request. Called from any worker; `decided` is called once, from any
/// thread. Must not throw.
class AdmissionControl
{
public:
    virtual ~AdmissionControl() = default;
    virtual void admit(const AccountName &account, const Limits &limits, TimePoint now, std::function<void(Admission)> decided) = 0;
};

/// One token bucket an account, on this Vm alone: right only where there is one Vm.
class LocalAdmission final : public AdmissionControl
{
public:
    void admit(const AccountName &account, const Limits &limits, TimePoint now, std::function<void(Admission)> decided) override;

private:
    std::mutex m_mutex;
    std::map<AccountName, TokenBucket> m_buckets;
};

//-----------------------------------------------------------------------------
// [3] Proxy
//-----------------------------------------------------------------------------

/// What a Proxy uses; all must outlive it.
struct ProxyParts
{
    Clock &clock;
    Metrics &metrics;
    AdmissionControl &admission;
};

/// What a Vm knows of the targets of each service.
using FleetNews = std::map<ServiceName, std::vector<TargetObservation>>;

/// The proxy of one Vm. Its calls may come from any thread.
class Proxy
{
public:
    Proxy(ProxyOptions options, ProxyParts parts);
    ~Proxy(); // cuts what is still open; call drainAndStop() first
    Proxy(const Proxy &) = delete;
    Proxy &operator=(const Proxy &) = delete;

    Result<void> start();       // binds and listens; Io when the address can't be bound
    std::uint16_t port() const; // the bound port, after start()

    void applySnapshot(std::shared_ptr<const Snapshot> snapshot);          // older revisions than the one in force are ignored
    void applyNews(const VmName &vm, const FleetNews &news, bool isWhole); // what another Vm says of targets; whole: of all
    FleetNews news() const;                                                // what this Vm has to say of them
    void setRetryShare(double share);                                      // of the reserve of retry budgets that this Vm may use, 0 to 1
    void setVmCount(std::uint32_t n);                                      // Vms that share each target's connections, 1 at least
    void applyVms(const std::vector<VmEntry> &vms);                        // for the address answer and the share of connections

    void beginLeave();                          // leaves the address answer; requests are served on
    bool drainAndStop(std::uint32_t timeoutMs); // no new connection; true when every request was answered in time

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Pollenspoke
