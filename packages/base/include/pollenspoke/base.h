/// @file
/// Types shared by all packages: names, time, errors, addresses, refusal and retry reasons, numbered events, hashes.
///
/// Index of this file:
/// - [1] Names               (AccountName, TargetName, ...)
/// - [2] Time                (TimePoint, Clock, SteadyClock, ManualClock)
/// - [3] Errors              (ErrorCode, Error, Result)
/// - [4] Addresses           (Address, parseAddress(), parseHttpUrl())
/// - [5] Refusals, retries   (RunState, RefusalReason, RetryReason, HedgeHoldback)
/// - [6] Numbered events     (Event, eventName())
/// - [7] Hashing and random  (sha256Hex(), stableHash(), randomHex())
/// - [8] Store positions     (StorePosition)
/// - [9] Assertions          (POLLENSPOKE_ASSERT)
#pragma once

#include <atomic>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace Pollenspoke {

//-----------------------------------------------------------------------------
// [1] Names
//-----------------------------------------------------------------------------
// A type per kind of name, so that the compiler rejects an account passed as a target.

// clang-format off
struct AccountName   { std::string value; auto operator<=>(const AccountName &) const = default; };   // a ClientAccount
struct KeyName       { std::string value; auto operator<=>(const KeyName &) const = default; };       // a Key object; not the secret itself
struct RouteName     { std::string value; auto operator<=>(const RouteName &) const = default; };     // a Route
struct ServiceName   { std::string value; auto operator<=>(const ServiceName &) const = default; };   // a Service
struct TargetName    { std::string value; auto operator<=>(const TargetName &) const = default; };    // a Target, unique within its Service
struct VmName        { std::string value; auto operator<=>(const VmName &) const = default; };        // a VM that runs the proxy
struct FailureDomain { std::string value; auto operator<=>(const FailureDomain &) const = default; }; // where a Vm or Target runs
// clang-format on

/// Hash for unordered containers keyed by any of the names above.
struct NameHash
{
    template<typename Name>
    std::size_t operator()(const Name &name) const
    {
        return std::hash<std::string>()(name.value);
    }
};

//-----------------------------------------------------------------------------
// [2] Time
//-----------------------------------------------------------------------------

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>; // monotonic; comparable only within one Vm

/// Source of the current time. Policy code takes a TimePoint as an argument; only I/O code reads a Clock.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

/// The machine's monotonic clock.
class SteadyClock final : public Clock
{
public:
    TimePoint now() const override;
};

/// A clock that only advance() moves, for tests and simulations in virtual time.
class ManualClock final : public Clock
{
public:
    TimePoint now() const override;
    void advance(Duration step);

private:
    std::atomic<std::int64_t> m_nanoseconds{0};
};

//-----------------------------------------------------------------------------
// [3] Errors
//-----------------------------------------------------------------------------

enum class ErrorCode {
    InvalidSyntax,     // not valid JSON, YAML, address, ...
    UnknownField,      // the object kind has no such field
    MissingField,      // a required field is absent
    WrongType,         // a string where a number is expected, ...
    OutOfRange,        // right type, but the value isn't allowed
    DanglingReference, // refers to an object that doesn't exist
    Duplicate,         // a key or name is given twice
    NotFound,          // no such object
    VersionConflict,   // conditional write against an outdated version; read again
    TooOld,            // watch starts at a revision that is no longer in the history; list again
    Unavailable,       // not done: the remote side is unreachable or down
    OutcomeUnknown,    // may have been done: the response was lost
    Io,                // file or socket failure on this Vm
    NotAllowed,        // operators may only read objects of this kind
};

/// One failure. `path` names the field, file or object; `detail` is for people, not for programs to match.
struct Error
{
    ErrorCode code = ErrorCode::InvalidSyntax;
    std::string path;          // "spec.limits.burst", "settings.yaml:4", "Key/shop-1-k1"
    std::string detail;        // "must be at least 1"
    std::uint64_t version = 0; // VersionConflict: the current version; 0: the object doesn't exist
    bool operator==(const Error &) const = default;
};

template<typename Value>
using Result = tl::expected<Value, Error>;

std::string_view errorCodeName(ErrorCode code); // "out_of_range"
std::string describe(const Error &error);       // "out_of_range at spec.limits.burst: must be at least 1"

//-----------------------------------------------------------------------------
// [4] Addresses
//-----------------------------------------------------------------------------

/// An IP address and a port. Host names are rejected, since there is no name resolution.
struct Address
{
    std::string ip;         // "10.0.0.5", "::1"
    std::uint16_t port = 0; // 0 when listening: chosen by the kernel
    auto operator<=>(const Address &) const = default;
};

Result<Address> parseAddress(std::string_view text); // "10.0.0.5:80" or "[::1]:80"
std::string toString(const Address &address);
Result<Address> parseHttpUrl(std::string_view text); // "http://10.0.0.5:9000": port required, no path

//-----------------------------------------------------------------------------
// [5] Refusals and retries
//-----------------------------------------------------------------------------

/// Whether a target may have executed a request that was refused.
enum class RunState {
    NotRun,  // no target can have executed it: safe to retry
    Unknown, // a target may have executed it
};

/// Why the proxy itself answered a request, instead of a target. Each reason has a counter, an HTTP status and a name.
enum class RefusalReason {
    MalformedRequest,     // 400 the header block can't be parsed
    InvalidContentLength, // 400 repeated or non-numeric Content-Length
    TransferEncoding,     // 411 any Transfer-Encoding on a request
    HeaderTooLarge,       // 431
    BodyTooLarge,         // 413
    RequestTimeout,       // 408 the request didn't arrive in time
    MethodNotAllowed,     // 405 CONNECT, TRACE, or a method that the route doesn't list
    UnsupportedUpgrade,   // 400 Upgrade to another protocol
    KeyMissing,           // 401 the request carries no key
    KeyUnknown,           // 401 no such key
    KeyWithdrawn,         // 401 the key was withdrawn
    KeyAmbiguous,         // 400 the request carries two different keys
    KeyInContent,         // 400 the key's secret is in the URL or body, which are forwarded to targets
    AccountSuspended,     // 403
    AccountNotAllowed,    // 403 the route doesn't list the account
    RouteNotFound,        // 404
    RouteClosed,          // 503 an operator closed the route
    RateLimited,          // 429 the account's rate limit and burst are used up
    BodyMemoryFull,       // 503 no room for the request's body among those that this Vm holds
    QueueFull,            // 503 too many requests of the account are queued for a slot
    NoTarget,             // 503 the service has no eligible target
    TargetUnreachable,    // 503 no attempted target accepted a connection, so that none can have run the request
    TargetDeclined,       // 503 every attempted target gave a response that the service lists as "not run"
    AnswerTimeout,        // 504 dispatched, no complete response before the deadline
    AnswerIncomplete,     // 502 dispatched, the response was truncated, malformed or of unverifiable length
    AnswerMismatched,     // 502 dispatched, the response belonged to another request
    DeadlineExceeded,     // 504 the deadline passed before any dispatch
    ConfigurationStale,   // 503 this Vm can't confirm that its configuration is current
    ShuttingDown,         // 503 the Vm is shutting down
    StopTimeout,          // 504 dispatched, no complete response before the Vm had to stop
    TooManyConnections,   // 503 this Vm's connection limit is reached
    VmImpaired,           // 503 this Vm fails to reach targets that other Vms reach
    CallerGone,           // the caller closed its connection; counted, nothing is sent
};
inline constexpr std::size_t refusalReasonCount = static_cast<std::size_t>(RefusalReason::CallerGone) + 1;

std::string_view refusalReasonName(RefusalReason reason); // "rate_limited": label in metrics, problem documents and docs
unsigned refusalStatus(RefusalReason reason);             // HTTP status; 0 for CallerGone

/// Why a request was retried: on another target, or on the same one over a new connection.
enum class RetryReason {
    ConnectFailed,    // no byte was written
    StaleConnection,  // a pooled connection was closed or stopped responding before a response
    AttemptTimeout,   // idempotent requests only
    AnswerIncomplete, // idempotent requests only: truncated, malformed or of unverifiable length
    AnswerMismatched, // idempotent requests only: response to another request
    NotRunAnswer,     // the service lists the response as "not run"
    ServerError,      // idempotent requests only: 502, 503 or 504
    TargetClosed,     // no byte was written: the target had announced that it is leaving or pausing since it was chosen
};
inline constexpr std::size_t retryReasonCount = static_cast<std::size_t>(RetryReason::TargetClosed) + 1;

std::string_view retryReasonName(RetryReason reason);

/// Why a slow request wasn't sent to a second target.
enum class HedgeHoldback {
    LimitReached, // of the operators, as a share of the service's requests
    RetryBudget,  // less than half of it would be left to failures
    NoCapacity,   // something waits for the service, or too few of its slots are free
    ServiceSlow,  // a large share of its requests is slow
    NoTarget,     // no other one is fit for a hedge and has a free slot
    Attempts,     // the route allows no further target
    Answering,    // bytes of a response had arrived meanwhile
    Stopping,     // planned stop of this Vm
    Withdrawn,    // the configuration in force doesn't allow it, or the target doesn't accept requests any more
    Unreachable,  // the second target
};
inline constexpr std::size_t hedgeHoldbackCount = static_cast<std::size_t>(HedgeHoldback::Unreachable) + 1;

std::string_view hedgeHoldbackName(HedgeHoldback reason);

//-----------------------------------------------------------------------------
// [6] Numbered events
//-----------------------------------------------------------------------------
// Numbers are stable: none is ever reused for another event. docs/EVENTS.md lists them; a test compares the two.

enum class Event {
    // clang-format off
    VmStarting              = 1001, // process start, with version and settings file
    VmReady                 = 1002, // all listeners accept connections
    VmLeaving               = 1003, // graceful shutdown began
    VmStopped               = 1004, // graceful shutdown is complete
    SettingsRefused         = 1005, // a settings or resource file is invalid; fatal at start, logged only on SIGHUP
    ListenFailed            = 1006, // an address can't be bound; the process exits
    SettingsChecked         = 1007, // the settings file was re-read on SIGHUP and is valid
    WorkerStalled           = 1008, // a worker didn't return to its event loop by the end of a planned stop; with what it waits for
    SnapshotApplied         = 2001, // a newer configuration took effect
    SnapshotRefused         = 2002, // rejected a configuration older than the one in force
    StoreUnavailable        = 2003, // the platform's object API stopped responding
    StoreRecovered          = 2004, // the platform's object API responds again
    ObjectSkipped           = 2005, // a stored object is invalid; its last valid version, if any, stays in force
    StoreEraChanged         = 2006, // the store was restored from an older copy
    DeclarationsInForce     = 2007, // newer declarations took effect, with their age and the way they came
    FeedPollFailed          = 2008, // another Vm's reply about the store's changes was missing, late or outdated
    StoreCallFailed         = 2009, // one call to the store got no answer or a failure; with its age and how far it had got
    DeputyRoleChanged       = 2010, // watches the store for the seat holders, which have lost it, or does so no more
    RequestRefused          = 3001, // with reason and account; sampled
    AnswerDiscarded         = 3002, // a truncated, mismatched or unsolicited response was dropped
    SilentConnectionsClosed = 3003, // connections to a target stopped responding and were closed
    AcceptFailed            = 3004, // accept() failed for a caller's connection
    AttemptFailed           = 3005, // one attempt on a target failed; with the request id
    FailurePassedOn         = 3006, // a target's error response was forwarded to the caller
    RequestAborted          = 3007, // a planned stop ended before the request; with its id and how far it had got
    AttemptOverdue          = 3008, // an attempt took longer than it should; what came of sending the request once more
    HedgeSent               = 3009, // a slow request was sent to a second target as well; with the outcome
    TargetEjected           = 4001, // taken out of rotation; logged with the evidence
    TargetReturned          = 4002, // back in rotation; logged with the evidence
    FloorReached            = 4003, // an ejection was suppressed: too few targets would remain in rotation
    TargetListed            = 4004, // a target registered, or its state or address changed
    TargetUnlisted          = 4005, // a target was removed after its registration ended, at once or after a grace period
    TargetAnnounced         = 4006, // a target said in an answer that it is leaving, for how long it wants no requests, or how many a second it takes
    DomainEvacuated         = 4007, // nothing more is sent to the targets of a failure domain; with the age and position of the entry
    DomainReturned          = 4008, // the evacuation of a failure domain was withdrawn; with the age and position of the withdrawal
    AdmissionLevelChanged   = 4009, // which ranks of a service's requests may wait for a slot; with the numbers it follows from
    TargetEntryWithheld     = 4010, // the store has an entry of a target that isn't used, as it may be older than what is known
    QuotaReclaimed          = 5001, // the quota grant of a lost Vm was reclaimed
    QuotaDenied             = 5002, // no tokens left locally, and none could be borrowed
    PeerSuspected           = 6001, // a peer stopped responding
    PeerRecovered           = 6002, // a peer responds again
    SeatsAssigned           = 6003, // the set of registered Vms changed, and possibly the seat holders with it
    VmForgotten             = 6004, // removed the registration of a Vm that was silent for too long, or had been stopped
    SeatContested           = 6005, // a Vm's registration was written as contested, since it is silent, or as held again, since it is heard
    SeatRightChanged        = 6006, // this Vm may use its seat from now on, or no longer; with the age of the proof
    SeatReleased            = 6007, // gave up the seat at a planned stop; with the outcome
    VmImpaired              = 6008, // this Vm fails to reach targets that the others reach, or does so no more; with counts
    // clang-format on
};

std::string_view eventName(Event event); // "vm_ready"
std::span<const Event> allEvents();      // in ascending order of number

//-----------------------------------------------------------------------------
// [7] Hashing and random numbers
//-----------------------------------------------------------------------------

std::string sha256Hex(std::string_view bytes);                            // 64 lower-case hex digits
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0); // same result on every Vm and in every release
std::string randomHex(std::size_t bytes);                                 // cryptographically secure; 2 digits per byte

//-----------------------------------------------------------------------------
// [8] Store positions
//-----------------------------------------------------------------------------

/// A point in the history of a store. A store that is restored from an older copy starts a new era and gives out again the revisions
/// after that of the copy, so positions are ordered by era first. The default is before all positions of every store.
class StorePosition
{
public:
    static constexpr std::uint64_t firstEra = 1; // of a store that was never restored

    constexpr StorePosition() = default;
    constexpr StorePosition(std::uint64_t era, std::uint64_t revision)
        : m_era(era)
        , m_revision(revision)
    {
    }

    constexpr std::uint64_t era() const { return m_era; }
    constexpr std::uint64_t revision() const { return m_revision; }
    constexpr bool isInSameEra(const StorePosition &other) const { return m_era == other.m_era; }
    constexpr auto operator<=>(const StorePosition &) const = default;

private:
    std::uint64_t m_era = 0; // 0: the store doesn't tell
    std::uint64_t m_revision = 0;
};

std::string toString(const StorePosition &position); // "era.revision"

//-----------------------------------------------------------------------------
// [9] Assertions
//-----------------------------------------------------------------------------

[[noreturn]] void failAssertion(const char *condition, const char *advice, const char *file, int line);

// Aborts the process when a precondition or invariant is violated; `advice` tells the developer how to fix it.
#define POLLENSPOKE_ASSERT(condition, advice) ((condition) ? void() : ::Pollenspoke::failAssertion(#condition, advice, __FILE__, __LINE__))

} // namespace Pollenspoke
