/// @file
/// Names, time, typed errors, refusal and retry reasons, and numbered events: what every package shares.
///
/// Index of this file:
/// - [1] Names of things     (AccountName, TargetName, ...)
/// - [2] Time                (TimePoint, Clock, SteadyClock, ManualClock)
/// - [3] Errors              (ErrorCode, Error, Result)
/// - [4] Addresses           (Address, parseAddress(), parseHttpUrl())
/// - [5] Refusals, retries   (RunState, RefusalReason, RetryReason)
/// - [6] Numbered events     (Event, eventName())
/// - [7] Hashing and random  (sha256Hex(), stableHash(), randomHex())
/// - [8] Assertions          (POLLENSPOKE_ASSERT)
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
// [1] Names of things
//-----------------------------------------------------------------------------
// One type per kind of name, so that an account can't be passed where a target is expected.

// clang-format off
struct AccountName   { std::string value; auto operator<=>(const AccountName &) const = default; };   // a ClientAccount
struct KeyName       { std::string value; auto operator<=>(const KeyName &) const = default; };       // a Key object, never the secret
struct RouteName     { std::string value; auto operator<=>(const RouteName &) const = default; };     // a Route
struct ServiceName   { std::string value; auto operator<=>(const ServiceName &) const = default; };   // a Service
struct TargetName    { std::string value; auto operator<=>(const TargetName &) const = default; };    // a Target, unique within its Service
struct VmName        { std::string value; auto operator<=>(const VmName &) const = default; };        // an entry VM
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
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>; // monotonic, never compared between Vms

/// Source of the present time. Decisions take a TimePoint as an argument; only the edges read a Clock.
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

/// A clock that moves only when told to. For tests and for harnesses in virtual time.
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
    InvalidSyntax,     // the text isn't JSON, YAML, an address, ...
    UnknownField,      // a field that the kind doesn't have
    MissingField,      // a required field is absent
    WrongType,         // a string where a number is expected, ...
    OutOfRange,        // right type, value not allowed
    DanglingReference, // names an object that doesn't exist
    Duplicate,         // stands twice where it may stand once
    NotFound,          // no such object
    VersionConflict,   // conditional update lost the race; read again
    TooOld,            // watch revision is no longer kept; list again
    Unavailable,       // not done: the other side can't be reached or is down
    OutcomeUnknown,    // may have been done: the answer was lost
    Io,                // file or socket failure on this Vm
    NotAllowed,        // the object is the system's own; operators may read it
};

/// One failure. `path` names the field, file or object; `detail` is for people only.
struct Error
{
    ErrorCode code = ErrorCode::InvalidSyntax;
    std::string path;          // "spec.limits.burst", "settings.yaml:4", "Key/shop-1-k1"
    std::string detail;        // "must be at least 1"
    std::uint64_t version = 0; // VersionConflict: the present version; 0: there is none
    bool operator==(const Error &) const = default;
};

template<typename Value>
using Result = tl::expected<Value, Error>;

std::string_view errorCodeName(ErrorCode code); // "out_of_range"
std::string describe(const Error &error);       // "out_of_range at spec.limits.burst: must be at least 1"

//-----------------------------------------------------------------------------
// [4] Addresses
//-----------------------------------------------------------------------------

/// An IP number and a port. Host names are refused: nothing here resolves names.
struct Address
{
    std::string ip;         // "10.0.0.5", "::1"
    std::uint16_t port = 0; // 0 lets the system choose when listening
    auto operator<=>(const Address &) const = default;
};

Result<Address> parseAddress(std::string_view text); // "10.0.0.5:80" or "[::1]:80"
std::string toString(const Address &address);
Result<Address> parseHttpUrl(std::string_view text); // "http://10.0.0.5:9000", a port is required, no path

//-----------------------------------------------------------------------------
// [5] Refusals and retries
//-----------------------------------------------------------------------------

/// Whether a refused request may have been acted on by a target.
enum class RunState {
    NotRun,  // no target can have acted on it: safe to send again
    Unknown, // a target may have acted on it
};

/// Why this system, and not a target, answered a request. Each has a counter, a status and a name.
enum class RefusalReason {
    MalformedRequest,     // 400 the header block can't be parsed
    InvalidContentLength, // 400 repeated or non-numeric Content-Length
    TransferEncoding,     // 411 any Transfer-Encoding on a request
    HeaderTooLarge,       // 431
    BodyTooLarge,         // 413
    RequestTimeout,       // 408 the request didn't arrive in time
    MethodNotAllowed,     // 405 CONNECT, TRACE, or not listed by the route
    UnsupportedUpgrade,   // 400 Upgrade and other protocols
    KeyMissing,           // 401 no key came with the request
    KeyUnknown,           // 401 no such key
    KeyWithdrawn,         // 401 the key was withdrawn
    KeyAmbiguous,         // 400 two different keys in one request
    KeyInContent,         // 400 the key's secret stands in the URL or body, which targets would see
    AccountSuspended,     // 403
    AccountNotAllowed,    // 403 the route doesn't list the account
    RouteNotFound,        // 404
    RouteClosed,          // 503 the operator closed the route
    RateLimited,          // 429 the account's rate or burst is spent
    QueueFull,            // 503 too many requests of the account wait for a slot
    NoTarget,             // 503 the service has no target that may take work
    TargetUnreachable,    // 502 no connection to any target tried
    TargetDeclined,       // 503 each target tried gave a listed not-run answer
    AnswerTimeout,        // 504 dispatched, no whole answer before the deadline
    AnswerIncomplete,     // 502 dispatched, the answer was cut, malformed or of unproved length
    AnswerMismatched,     // 502 dispatched, the answer belonged to another request
    DeadlineExceeded,     // 504 the deadline passed before any dispatch
    ConfigurationStale,   // 503 this Vm can't prove that its configuration is current
    ShuttingDown,         // 503 the Vm is leaving
    TooManyConnections,   // 503 this Vm's connection limit is reached
    CallerGone,           // the caller closed its connection; counted, never sent
};
inline constexpr std::size_t refusalReasonCount = static_cast<std::size_t>(RefusalReason::CallerGone) + 1;

std::string_view refusalReasonName(RefusalReason reason); // "rate_limited": in counters, problem documents and docs
unsigned refusalStatus(RefusalReason reason);             // HTTP status; 0 for CallerGone

/// Why a request was sent to another target, or to the same one on a fresh connection.
enum class RetryReason {
    ConnectFailed,    // no byte was written
    StaleConnection,  // a pooled connection closed or went silent before an answer
    AttemptTimeout,   // idempotent only
    AnswerIncomplete, // idempotent only: cut, malformed or of unproved length
    AnswerMismatched, // idempotent only: another request's answer
    NotRunAnswer,     // the service lists the answer as "not run"
    ServerError,      // idempotent only: 502, 503 or 504
};
inline constexpr std::size_t retryReasonCount = static_cast<std::size_t>(RetryReason::ServerError) + 1;

std::string_view retryReasonName(RetryReason reason);

//-----------------------------------------------------------------------------
// [6] Numbered events
//-----------------------------------------------------------------------------
// The number never changes its meaning. docs/EVENTS.md is the catalogue; a test compares the two.

enum class Event {
    // clang-format off
    VmStarting              = 1001, // process start, with version and settings file
    VmReady                 = 1002, // all faces listen
    VmLeaving               = 1003, // planned stop began
    VmStopped               = 1004, // planned stop is complete
    SettingsRefused         = 1005, // a settings or resource file has errors; the process ends
    ListenFailed            = 1006, // an address can't be bound; the process ends
    SettingsChecked         = 1007, // the settings file was read again and is well
    SnapshotApplied         = 2001, // a newer configuration is in force
    SnapshotRefused         = 2002, // a configuration older than the one in force arrived
    StoreUnavailable        = 2003, // the platform's object API stopped answering
    StoreRecovered          = 2004, // the platform's object API answers again
    ObjectSkipped           = 2005, // a stored object fails checking; its previous good version stays in force
    RequestRefused          = 3001, // with reason and account; sampled
    AnswerDiscarded         = 3002, // a cut, crossed or surplus answer was thrown away
    SilentConnectionsClosed = 3003, // open connections to a target went silent and were closed
    AcceptFailed            = 3004, // a caller's connection can't be accepted
    AttemptFailed           = 3005, // one attempt at a target failed; with the request's id
    FailurePassedOn         = 3006, // a target's own failure went to the caller
    TargetEjected           = 4001, // with the evidence
    TargetReturned          = 4002, // with the evidence
    FloorReached            = 4003, // an ejection was held back by the floor
    TargetListed            = 4004, // a target registered, or its state or address changed
    TargetUnlisted          = 4005, // a target's registration is gone, and it with it, at once or after a grace
    QuotaReclaimed          = 5001, // a gone Vm's grant was taken back
    QuotaDenied             = 5002, // no tokens here or from lenders
    PeerSuspected           = 6001, // a peer stopped answering
    PeerRecovered           = 6002, // a peer answers again
    SeatsAssigned           = 6003, // the registered Vms changed, and with them perhaps the seat holders
    VmForgotten             = 6004, // the registration of a Vm that nobody heard of for long is removed
    // clang-format on
};

std::string_view eventName(Event event); // "vm_ready"
std::span<const Event> allEvents();      // in ascending order of number

//-----------------------------------------------------------------------------
// [7] Hashing and random
//-----------------------------------------------------------------------------

std::string sha256Hex(std::string_view bytes);                            // 64 lower-case hex digits
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0); // equal on every Vm and in every version
std::string randomHex(std::size_t bytes);                                 // from the system's secure source; 2 digits per byte

//-----------------------------------------------------------------------------
// [8] Assertions
//-----------------------------------------------------------------------------

[[noreturn]] void failAssertion(const char *condition, const char *advice, const char *file, int line);

// Stops the process when the caller of an interface breaks its contract; `advice` says what to do.
#define POLLENSPOKE_ASSERT(condition, advice) ((condition) ? void() : ::Pollenspoke::failAssertion(#condition, advice, __FILE__, __LINE__))

} // namespace Pollenspoke
