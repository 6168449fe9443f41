/// @file
/// The internal protocol between the Vms of one fleet, over gRPC, and the thread that runs Membership on it.
///
/// Index of this file:
/// - [1] Messages   (SnapshotAnswer, HealthReport, ...; those for membership and loans are in policy.h)
/// - [2] Outcomes   (PeerRefusal, PeerFailure, PeerResult)
/// - [3] Server     (PeerHandler, PeerServer)
/// - [4] Client     (PeerClient)
/// - [5] Membership (MembershipRunner)
///
/// Example:
/// @code
/// PeerClient client({});
/// client.askLoan(lender, {.id = askId, .account = account, .neededTokens = 1}, 20ms, [](const PeerResult<LoanAnswer> &loan) {
///     if (!loan) {
///         count(loan.error().kind);
///     }
/// });
/// @endcode
#pragma once

#include <pollenspoke/policy.h>

namespace Pollenspoke {

//-----------------------------------------------------------------------------
// [1] Messages
//-----------------------------------------------------------------------------

/// Asks the receiver to ping a third Vm on behalf of the sender (indirect probe, as in SWIM).
struct RelayRequest
{
    PeerNews news; // of the requesting Vm
    VmName about;  // the Vm to ping
    bool operator==(const RelayRequest &) const = default;
};

/// A complete configuration snapshot, each object as JSON text.
struct SnapshotAnswer
{
    std::uint64_t revision = 0;       // of the responding Vm
    std::vector<std::string> objects; // empty if the requester is up to date
    bool operator==(const SnapshotAnswer &) const = default;
};

/// Statistics of one target as observed by one Vm within a time window.
struct TargetHealth
{
    ServiceName service;
    TargetName target;
    std::uint32_t requests = 0;        // dispatched
    std::uint32_t connectFailures = 0; //
    std::uint32_t timeouts = 0;        //
    std::uint32_t errors = 0;          //
    std::uint32_t meanLatencyUs = 0;   // us, of complete responses
    bool isEjected = false;            // by the reporting Vm
    bool operator==(const TargetHealth &) const = default;
};

struct HealthReport
{
    VmName vm;
    std::uint64_t incarnation = 0;
    std::vector<TargetHealth> targets; // at most PeerServerOptions::maxReportTargets, else refused
    bool operator==(const HealthReport &) const = default;
};

struct RelayAnswer
{
    bool wasReached = false; // RelayRequest::about answered the ping
    bool operator==(const RelayAnswer &) const = default;
};

struct HealthAnswer
{
    bool operator==(const HealthAnswer &) const = default;
};

//-----------------------------------------------------------------------------
// [2] Outcomes
//-----------------------------------------------------------------------------

/// Why the peer refused a call. A refused call had no effect.
enum class PeerRefusal {
    Busy,             // too many concurrent calls
    StaleIncarnation, // the incarnation of the caller is outdated
    TooLarge,         // message, report or snapshot over a size limit
    InvalidMessage,   // a field is missing or out of range
    NotReady,         // no snapshot yet, or shutting down
};
inline constexpr std::size_t peerRefusalCount = static_cast<std::size_t>(PeerRefusal::NotReady) + 1;

std::string_view peerRefusalName(PeerRefusal refusal); // "stale_incarnation"

enum class PeerFailureKind {
    NotSent,    // no byte of the call left this Vm
    AnswerLost, // the peer may have executed the call
    Refused,    // the peer replied that it did not execute the call
};

struct PeerFailure
{
    PeerFailureKind kind = PeerFailureKind::AnswerLost;
    PeerRefusal refusal = PeerRefusal::Busy; // valid only if kind is Refused
    std::string detail;                      // for humans
};

template<typename Answer>
using PeerResult = tl::expected<Answer, PeerFailure>;

/// Called exactly once: on a gRPC thread, or on the calling thread if the call fails before it is sent.
template<typename Answer>
using PeerCallback = std::function<void(const PeerResult<Answer> &)>; // must not block

//-----------------------------------------------------------------------------
// [3] Server
//-----------------------------------------------------------------------------

/// Handles incoming calls. Called concurrently on gRPC threads; must not block.
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;
    virtual PeerResult<PingAnswer> onPing(const PeerNews &news) = 0;
    virtual void onRelay(const RelayRequest &request, PeerCallback<RelayAnswer> done) = 0; // must call `done` exactly once, at any time
    virtual PeerResult<LoanAnswer> onAskLoan(const LoanAsk &ask) = 0;
    virtual PeerResult<std::shared_ptr<const SnapshotAnswer>> onFetchSnapshot(std::uint64_t haveRevision) = 0; // null: not newer
    virtual PeerResult<HealthAnswer> onReportHealth(const HealthReport &report) = 0;
};

tl::unexpected<PeerFailure> refuseCall(PeerRefusal refusal, std::string detail = {}); // for use in PeerHandler

struct PeerServerOptions
{
    Address listen;                              // required; port 0: chosen by the OS
    std::uint32_t maxMessageBytes = 2 << 20;     // per direction; more than the largest value in the store
    std::uint32_t maxConcurrentCalls = 256;      // further ones are refused as Busy
    std::uint32_t maxReportTargets = 1000;       // in one health report
    std::uint32_t snapshotPartBytes = 256 << 10; // per snapshot message, which has one object at least
    std::uint32_t maxMemoryBytes = 16 << 20;     // gRPC memory quota for in-flight messages
};

struct PeerServerCounts
{
    std::uint64_t calls = 0;
    std::uint64_t refusals[peerRefusalCount] = {}; // indexed by PeerRefusal
    std::uint64_t peakConcurrentCalls = 0;         // highest number of concurrent calls
};

class PeerServer
{
public:
    static Result<std::unique_ptr<PeerServer>> start(const PeerServerOptions &options, PeerHandler &handler);
    ~PeerServer(); // same as stop(0)
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    Address address() const;
    PeerServerCounts counts() const;
    void stop(Duration grace); // accepts no new calls, cancels those in flight after the grace period, waits for all to end

private:
    struct Impl;
    explicit PeerServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

//-----------------------------------------------------------------------------
// [4] Client
//-----------------------------------------------------------------------------

struct PeerClientOptions
{
    std::uint32_t maxMessageBytes = 2 << 20;   // per direction
    std::uint32_t maxSnapshotBytes = 64 << 20; // sum of all parts
    std::uint32_t maxConcurrentCalls = 256;    // further ones fail as NotSent
    std::uint32_t maxChannels = 64;            // beyond that, the least recently used one is closed
};

/// Calls peers by IPv4 address, each call with a deadline. Thread-safe. A call that exceeds its deadline retires its
/// connection: later calls open a new one, since the old one may be dead.
class PeerClient
{
public:
    explicit PeerClient(const PeerClientOptions &options);
    ~PeerClient(); // cancels calls in flight and waits for their callbacks; must not run in a callback
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    void ping(const Address &peer, const PeerNews &news, Duration timeout, PeerCallback<PingAnswer> done);
    void relay(const Address &peer, const RelayRequest &request, Duration timeout, PeerCallback<RelayAnswer> done);
    void askLoan(const Address &peer, const LoanAsk &ask, Duration timeout, PeerCallback<LoanAnswer> done);
    void
    fetchSnapshot(const Address &peer, const VmName &self, std::uint64_t haveRevision, Duration timeout, PeerCallback<SnapshotAnswer> done);
    void reportHealth(const Address &peer, const HealthReport &report, Duration timeout, PeerCallback<HealthAnswer> done);

    std::size_t channelCount() const;
    std::size_t callsInFlight() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

//-----------------------------------------------------------------------------
// [5] Membership
//-----------------------------------------------------------------------------

/// Name and address of a peer, from the Vm list and the settings.
struct PeerEndpoint
{
    VmName vm;
    Address address; // where it serves the peer protocol
    auto operator<=>(const PeerEndpoint &) const = default;
};

struct MembershipRunnerOptions
{
    MembershipOptions membership;                          // `self` is required
    std::uint64_t seed = 0;                                // of the random number generator; different on each Vm
    Duration tickPeriod = std::chrono::milliseconds(50);   // between calls of Membership::tick()
    Duration pingTimeout = std::chrono::milliseconds(800); // less than MembershipOptions::probeTimeout
};

/// Runs Membership on a thread of its own: sends its probes through a PeerClient and feeds the results back. The PeerHandler
/// of the server must forward pings and relay requests to it, and must outlive the server. Thread-safe.
///
/// Example:
/// @code
/// MembershipRunner membership({.membership = {.self = name, .incarnation = startedAt}, .seed = seed}, clock, client);
/// membership.setPeers(peers, listRevision);
/// membership.start();
/// if (!membership.freshness().mayServe(clock.now())) {
///     return refuse(RefusalReason::ConfigurationStale);
/// }
/// @endcode
class MembershipRunner
{
public:
    MembershipRunner(const MembershipRunnerOptions &options, const Clock &clock, PeerClient &client);
    ~MembershipRunner(); // calls stop(); the client must outlive this object
    MembershipRunner(const MembershipRunner &) = delete;
    MembershipRunner &operator=(const MembershipRunner &) = delete;

    void start();
    void stop(); // sends no more probes and waits for the calls in flight

    // Input from the platform; see Membership.
    void setPeers(const std::vector<PeerEndpoint> &peers, std::uint64_t listRevision); // includes this Vm if it is listed
    void setSnapshot(std::uint64_t revision);
    void noteStoreAnswer(std::uint64_t revision, TimePoint askedAt);

    // To be called by the PeerHandler.
    PeerResult<PingAnswer> onPing(const PeerNews &news);
    void onRelay(const RelayRequest &request, PeerCallback<RelayAnswer> done);

    // Current state.
    Freshness freshness() const; // as of the latest messages; compare `until` with the clock
    Liveness liveness(const VmName &vm) const;
    std::vector<VmName> vmsWithLiveness(Liveness liveness) const; // listed Vms other than this one
    std::uint64_t incarnation() const;
    std::uint64_t newestRevision() const;
    std::optional<Address> addressOf(const VmName &vm) const;
    bool shouldAskStore() const;
    MembershipCounts counts() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace Pollenspoke
