/// @file
/// The inner protocol between the Vms of one fleet, over gRPC, and the shell that runs Membership on it.
///
/// Index of this file:
/// - [1] Messages (SnapshotAnswer, HealthReport, ...; those of membership and loans are in policy.h)
/// - [2] Outcomes (PeerRefusal, PeerFailure, PeerResult)
/// - [3] Server   (PeerHandler, PeerServer)
/// - [4] Client   (PeerClient)
/// - [5] Shell    (PeerShell)
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

struct RelayRequest
{
    PeerNews news; // of the Vm that asks
    VmName about;  // the Vm to ping
    bool operator==(const RelayRequest &) const = default;
};

/// A whole snapshot as the JSON texts of its objects.
struct SnapshotAnswer
{
    std::uint64_t revision = 0;       // of the answering Vm
    std::vector<std::string> objects; // empty when the asker is as new
    bool operator==(const SnapshotAnswer &) const = default;
};

/// What one Vm saw of one target in a window.
struct TargetHealth
{
    ServiceName service;
    TargetName target;
    std::uint32_t requests = 0;        // dispatched
    std::uint32_t connectFailures = 0; //
    std::uint32_t timeouts = 0;        //
    std::uint32_t errors = 0;          //
    std::uint32_t meanLatencyUs = 0;   // of whole answers, us
    bool isEjected = false;            // by this Vm
    bool operator==(const TargetHealth &) const = default;
};

struct HealthReport
{
    VmName vm;
    std::uint64_t incarnation = 0;
    std::vector<TargetHealth> targets; // more than PeerServerOptions::maxTargets are refused
    bool operator==(const HealthReport &) const = default;
};

struct RelayAnswer
{
    bool wasReached = false; // the Vm asked about answered a ping
    bool operator==(const RelayAnswer &) const = default;
};

struct HealthAnswer
{
    bool operator==(const HealthAnswer &) const = default;
};

//-----------------------------------------------------------------------------
// [2] Outcomes
//-----------------------------------------------------------------------------

/// Why the other side declined a call. It acted on nothing.
enum class PeerRefusal {
    Busy,             // too many calls at once
    StaleIncarnation, // the call is of an earlier life of the caller
    TooLarge,         // a message over the bound, of either side
    InvalidMessage,   // a field is missing or out of range
    NotReady,         // it has no snapshot, or is stopping
};
inline constexpr std::size_t peerRefusalCount = static_cast<std::size_t>(PeerRefusal::NotReady) + 1;

std::string_view peerRefusalName(PeerRefusal refusal); // "stale_incarnation"

enum class PeerFailureKind {
    NotSent,    // no byte of the call left this Vm
    AnswerLost, // the other side may have acted
    Refused,    // it said that it did not act
};

struct PeerFailure
{
    PeerFailureKind kind = PeerFailureKind::AnswerLost;
    PeerRefusal refusal = PeerRefusal::Busy; // with Refused only
    std::string detail;                      // for people only
};

template<typename Answer>
using PeerResult = tl::expected<Answer, PeerFailure>;

template<typename Answer>
using PeerCallback = std::function<void(const PeerResult<Answer> &)>; // called once, on a thread of the library; must not block

//-----------------------------------------------------------------------------
// [3] Server
//-----------------------------------------------------------------------------

/// What the Vm does with calls. Called on threads of the library, several at once; must not block.
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;
    virtual PeerResult<PingAnswer> onPing(const PeerNews &news) = 0;
    virtual void onRelay(const RelayRequest &request, PeerCallback<RelayAnswer> done) = 0; // must call `done` in the end
    virtual PeerResult<LoanAnswer> onAskLoan(const LoanAsk &ask) = 0;
    virtual PeerResult<std::shared_ptr<const SnapshotAnswer>> onFetchSnapshot(std::uint64_t haveRevision) = 0; // null: not newer
    virtual PeerResult<HealthAnswer> onReportHealth(const HealthReport &report) = 0;
};

tl::unexpected<PeerFailure> refuseCall(PeerRefusal refusal, std::string detail = {}); // for handlers

struct PeerServerOptions
{
    Address listen;                          // required; port 0: chosen by the system
    std::uint32_t maxMessageBytes = 2 << 20; // either way; above the store's largest value
    std::uint32_t maxCalls = 256;            // at once
    std::uint32_t maxTargets = 1000;         // in a health report
    std::uint32_t partBytes = 256 << 10;     // of a snapshot, but one object at least
    std::uint32_t maxMemoryBytes = 16 << 20; // for messages under way
};

struct PeerServerCounts
{
    std::uint64_t calls = 0;
    std::uint64_t refusals[peerRefusalCount] = {}; // by PeerRefusal
    std::uint64_t mostAtOnce = 0;
};

class PeerServer
{
public:
    static Result<std::unique_ptr<PeerServer>> start(const PeerServerOptions &options, PeerHandler &handler);
    ~PeerServer(); // stops at once
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    Address address() const;
    PeerServerCounts counts() const;
    void stop(Duration grace); // no new calls; those under way are cancelled after `grace`; returns when all have ended

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
    std::uint32_t maxMessageBytes = 2 << 20;   // either way
    std::uint32_t maxSnapshotBytes = 64 << 20; // all parts together
    std::uint32_t maxCalls = 256;              // at once; more aren't sent
    std::uint32_t maxChannels = 64;            // the one that was unused longest is closed
};

/// Calls to any peer by its IPv4 address, each with a deadline. Thread-safe. A call that gets no answer in time closes its
/// connection, so that one that went silent is not used again.
class PeerClient
{
public:
    explicit PeerClient(const PeerClientOptions &options);
    ~PeerClient(); // cancels the calls under way and waits for their callbacks; not from a callback
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    void ping(const Address &peer, const PeerNews &news, Duration timeout, PeerCallback<PingAnswer> done);
    void relay(const Address &peer, const RelayRequest &request, Duration timeout, PeerCallback<RelayAnswer> done);
    void askLoan(const Address &peer, const LoanAsk &ask, Duration timeout, PeerCallback<LoanAnswer> done);
    void
    fetchSnapshot(const Address &peer, const VmName &self, std::uint64_t haveRevision, Duration timeout, PeerCallback<SnapshotAnswer> done);
    void reportHealth(const Address &peer, const HealthReport &report, Duration timeout, PeerCallback<HealthAnswer> done);

    std::size_t channels() const;
    std::size_t callsInFlight() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

//-----------------------------------------------------------------------------
// [5] Shell
//-----------------------------------------------------------------------------

/// One peer as the Vm list and the settings tell it.
struct PeerEntry
{
    VmName vm;
    Address address; // peers' address
    auto operator<=>(const PeerEntry &) const = default;
};

struct PeerShellOptions
{
    MembershipOptions membership;                          // self is required
    std::uint64_t seed = 0;                                // of the generator; different on each Vm
    Duration tickPeriod = std::chrono::milliseconds(50);   //
    Duration pingTimeout = std::chrono::milliseconds(800); // below MembershipOptions::probeTimeout
};

/// Runs Membership with a Clock over a PeerClient. It answers pings and relays; a handler for the server passes these on to
/// it, and is to outlive the server. Thread-safe.
///
/// Example:
/// @code
/// PeerShell shell({.membership = {.self = name, .incarnation = startedAt}, .seed = seed}, clock, client);
/// shell.setPeers(peers, listRevision);
/// shell.start();
/// if (!shell.freshness().mayServe(clock.now())) {
///     return refuse(RefusalReason::ConfigurationStale);
/// }
/// @endcode
class PeerShell
{
public:
    PeerShell(const PeerShellOptions &options, const Clock &clock, PeerClient &client);
    ~PeerShell(); // stops; the client must outlive it
    PeerShell(const PeerShell &) = delete;
    PeerShell &operator=(const PeerShell &) = delete;

    void start();
    void stop(); // no more probes; returns when the calls under way have ended

    // From the platform; see Membership.
    void setPeers(const std::vector<PeerEntry> &peers, std::uint64_t listRevision); // with this Vm, if it is listed
    void setSnapshot(std::uint64_t revision);
    void noteStoreAnswer(std::uint64_t revision, TimePoint askedAt);

    // For PeerHandler.
    PeerResult<PingAnswer> onPing(const PeerNews &news);
    void onRelay(const RelayRequest &request, PeerCallback<RelayAnswer> done);

    // The view.
    Freshness freshness() const; // of the last news; compare `until` with the clock
    Liveness liveness(const VmName &vm) const;
    std::vector<VmName> seen(Liveness liveness) const; // other listed Vms
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
