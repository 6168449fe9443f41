/// @file
/// The configuration model: the kinds of objects, their JSON and YAML forms, their validation, and the immutable Snapshot that
/// requests are routed and authorized with.
///
/// Index of this file:
/// - [1] Kinds      (ClientAccount, Key, Route, Service, QuotaGrant, VmRecord)
/// - [2] Envelope   (Kind, Spec, Object)
/// - [3] Text forms (parseYaml(), parseJson(), toJson(), decodeJson(), encodeJson(), toYaml())
/// - [4] Validation (ObjectProblem, findProblems(), checkReferences())
/// - [5] Snapshot   (Snapshot, RouteMatch)
/// - [6] Vms        (VmState, VmEntry, VmList)
///
/// Example:
/// @code
/// Result<std::vector<Object>> objects = parseYaml(text, "resources.yaml");
/// Result<std::shared_ptr<const Snapshot>> snapshot = Snapshot::build(*objects, 1);
/// const Key *key = (*snapshot)->findKey(sha256Hex(secret));
/// @endcode
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <pollenspoke/base.h>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Pollenspoke {

struct JsonValue; // see pollenspoke/web.h

//-----------------------------------------------------------------------------
// [1] Kinds
//-----------------------------------------------------------------------------

/// Request rate and burst of an account, summed over all Vms.
struct Limits
{
    double ratePerSecond = 0; // requests/s, 0.001 to 1e6
    double burst = 0;         // requests, 1 to 1e6
    auto operator<=>(const Limits &) const = default;
};

enum class AccountState { Active, Suspended };

/// A client on whose behalf requests run.
struct ClientAccount
{
    AccountState state = AccountState::Active; // Suspended: every request is refused
    Limits limits;                             // required
    std::uint32_t weight = 1;                  // relative share of slots when they are scarce, 1 to 1000
    std::optional<std::uint32_t> priority;     // overrides that of the route; 0 (most important) to 1000
    auto operator<=>(const ClientAccount &) const = default;
};

enum class KeyState { Active, Withdrawn };

/// An API key of an account. Only the hash of the secret is stored.
struct Key
{
    AccountName account;               // required
    std::string sha256;                // 64 lower-case hex digits, required, unique
    KeyState state = KeyState::Active; // Withdrawn is permanent
    auto operator<=>(const Key &) const = default;
};

enum class RouteState { Open, Closed };

/// A service's share of the requests of a route.
struct ServiceShare
{
    ServiceName service;
    double weight = 0; // relative to the other shares of the route, 0 to 1e6
    auto operator<=>(const ServiceShare &) const = default;
};

/// Maps requests to a service and lists the accounts that may use it.
struct Route
{
    std::string host;                    // matches the Host header without its port; empty: any
    std::string pathPrefix;              // "/stock" matches "/stock" and "/stock/...", "/stock/" only the latter; required
    std::vector<std::string> methods;    // empty: all but CONNECT and TRACE
    ServiceName service;                 // required unless `split` is set
    std::vector<ServiceShare> split;     // instead of `service`: divides requests by weight
    RouteState state = RouteState::Open; // Closed: every request is refused
    std::vector<AccountName> accounts;   // accounts with access; empty: every active account
    bool isAnonymous = false;            // requires no key; requests belong to no account
    std::optional<bool> idempotent;      // unset: by method (GET, HEAD, OPTIONS, PUT, DELETE are idempotent)
    std::uint32_t deadlineMs = 10000;    // for the whole request, ms, 1 to 3600000
    std::uint32_t maxAttempts = 3;       // per request, 1 to 10; failing on a stale pooled connection isn't counted
    std::uint32_t priority = 1;          // when slots are scarce; 0 (most important) to 1000
    std::uint32_t objectiveMs = 0;       // latency objective up to the complete response, ms; 0: none
    bool operator==(const Route &) const = default;
};

enum class TargetState { Serving, Leaving };

/// One back end of a service.
struct Target
{
    TargetName name;                          // required, unique within the service
    Address address;                          // required, an IP address and port
    FailureDomain failureDomain;              // where it runs; optional
    std::uint32_t slots = 1;                  // maximum number of concurrent requests, 1 to 10000
    TargetState state = TargetState::Serving; // Leaving: no new requests
    std::uint32_t warmupMs = 0;               // expected duration of reduced speed from now on, ms, 0 to 3600000
    std::uint64_t incarnation = 0;            // of its process: a later start has a higher one, such as its time; 0: unknown
    std::uint64_t warmupSequence = 0;         // of the registration that states warmupMs; 0: unknown, or warmupMs is 0
    bool isEvacuated = false;                 // its failure domain is evacuated: no new requests
    bool isWarmupUnknown = false;             // its domain has returned, and newer registrations may state a warm-up
    auto operator<=>(const Target &) const = default;
};

enum class DetectionPreset { Fast, Steady };

/// How quickly a failing target is ejected.
struct Detection
{
    DetectionPreset preset = DetectionPreset::Fast; // Fast: short detection time; Steady: fewer false ejections
    auto operator<=>(const Detection &) const = default;
};

/// Active health check.
struct Probe
{
    std::string path;                // empty: no probes
    std::uint32_t intervalMs = 1000; // per target, over all Vms together, ms, 100 to 600000
    auto operator<=>(const Probe &) const = default;
};

/// A response with which a target states that it did not execute the request.
struct NotRunAnswer
{
    std::uint32_t status = 0; // HTTP status, 100 to 599; required
    std::string header;       // name that must be present as well; empty: the status suffices
    auto operator<=>(const NotRunAnswer &) const = default;
};

enum class ConnectionReuse { Echoed, Always, Never };

/// A set of equivalent targets.
struct Service
{
    std::vector<Target> targets;
    std::uint32_t floorPercent = 50;          // minimum share of slots that ejection leaves in service, 0 to 100
    std::uint32_t connectionsPerTarget = 350; // maximum over all Vms together, 1 to 100000
    Detection detection;
    Probe probe;                                               // active health check; off by default
    std::vector<NotRunAnswer> notRunAnswers;                   // responses that mean "not executed"
    ConnectionReuse connectionReuse = ConnectionReuse::Echoed; // Echoed: only after responses that echo the request id
    double warmupRatePerSecond = 0;                            // requests/s that a cold target can handle; 0: no limit
    std::uint32_t warmupMs = 0;                                // usual time that a target stays cold, ms
    bool operator==(const Service &) const = default;
};

/// The part of an account's limits that one Vm may use.
struct QuotaShare
{
    VmName holder;                 // the Vm; required
    std::uint64_t incarnation = 0; // increases with each start of the holder
    Limits limits;                 // part of the account's
    auto operator<=>(const QuotaShare &) const = default;
};

/// Written by the system: how an account's limits are divided among Vms. The sum of the shares never exceeds the account's limits.
struct QuotaGrant
{
    std::vector<QuotaShare> shares;
    bool operator==(const QuotaGrant &) const = default;
};

/// Written by the system: what a Vm publishes about itself.
struct VmRecord
{
    Address peers; // address at which its peers reach it
    FailureDomain failureDomain;
    std::uint64_t incarnation = 0;
    std::uint64_t snapshotRevision = 0; // of the configuration in force on it
    auto operator<=>(const VmRecord &) const = default;
};

//-----------------------------------------------------------------------------
// [2] Envelope
//-----------------------------------------------------------------------------

/// In the same order as the alternatives of Spec.
enum class Kind { ClientAccount, Key, Route, Service, QuotaGrant, VmRecord };
inline constexpr std::size_t kindCount = static_cast<std::size_t>(Kind::VmRecord) + 1;

std::string_view kindName(Kind kind); // "ClientAccount"
std::optional<Kind> kindFromName(std::string_view name);

using Spec = std::variant<ClientAccount, Key, Route, Service, QuotaGrant, VmRecord>;

/// One stored object.
struct Object
{
    std::string name;          // 1 to 128 of a-z A-Z 0-9 . _ -
    std::uint64_t version = 0; // set by the store; increases with every write to the store; 0: not stored yet
    Spec spec;
    std::string status; // JSON text written by the system; empty: none
    bool operator==(const Object &) const = default;

    Kind kind() const { return static_cast<Kind>(spec.index()); }
};

//-----------------------------------------------------------------------------
// [3] Text forms
//-----------------------------------------------------------------------------
// Unknown fields, wrong types and out-of-range values are errors that name the path of the field.

Result<std::vector<Object>> parseYaml(const std::string &text, const std::string &fileName); // documents separated by ---
Result<Object> parseJson(const std::string &text);                                           // one envelope
std::string toJson(const Object &object);                                                    // one envelope, one line
Result<Object> decodeJson(const JsonValue &envelope);                                        // one parsed envelope
JsonValue encodeJson(const Object &object);                                                  // one envelope
std::string toYaml(const Object &object);                                                    // one document without ---

//-----------------------------------------------------------------------------
// [4] Validation
//-----------------------------------------------------------------------------

/// An object that is inconsistent with the others of its set.
struct ObjectProblem
{
    Kind kind = Kind::ClientAccount;
    std::string name;
    Error error; // path: "Key/shop-1-k1: spec.account"
    bool operator==(const ObjectProblem &) const = default;
};

/// Finds references to objects that aren't in `objects`, and names, secrets and route matches that an earlier object already has.
std::vector<ObjectProblem> findProblems(const std::vector<Object> &objects);

/// Returns the first of these problems as an error, if there is one.
Result<void> checkReferences(const std::vector<Object> &objects);

//-----------------------------------------------------------------------------
// [5] Snapshot
//-----------------------------------------------------------------------------

/// A route with its name.
struct RouteMatch
{
    RouteName name;
    const Route *route = nullptr; // owned by the Snapshot
};

/// A key with its name.
struct KeyMatch
{
    KeyName name;
    const Key *key = nullptr; // owned by the Snapshot
};

/// The operators' whole configuration at one store revision. Immutable, so it can be shared between threads.
class Snapshot
{
public:
    static Result<std::shared_ptr<const Snapshot>> build(const std::vector<Object> &objects, std::uint64_t revision);

    /// The same configuration with other targets; services that aren't named have none. Shares everything else with this snapshot, so that
    /// the cost doesn't depend on the number of routes, accounts and keys.
    std::shared_ptr<const Snapshot> withTargets(const std::map<ServiceName, std::vector<Target>> &targets, std::uint64_t revision) const;

    std::uint64_t revision() const { return m_revision; }
    std::optional<KeyMatch> findKey(std::string_view sha256) const;
    const ClientAccount *findAccount(const AccountName &name) const;
    const Service *findService(const ServiceName &name) const;
    std::vector<RouteMatch> findRoutes(std::string_view host,
                                       std::string_view path) const; // of the longest matching prefix; several differ in methods
    const std::map<ServiceName, Service> &services() const { return m_services; }
    const std::map<AccountName, ClientAccount> &accounts() const { return m_declared->accounts; }

private:
    struct Declared // everything but the services
    {
        std::map<AccountName, ClientAccount> accounts;
        std::map<RouteName, Route> routes;
        std::map<KeyName, Key> keys;
        std::unordered_map<std::string, KeyName> keysByHash;
        std::unordered_map<std::string, std::vector<RouteName>> routesByPrefix; // by host + prefix; hosts contain no slash
    };

    Snapshot() = default;

    std::uint64_t m_revision = 0;
    std::shared_ptr<const Declared> m_declared;
    std::map<ServiceName, Service> m_services;
};

//-----------------------------------------------------------------------------
// [6] Vms
//-----------------------------------------------------------------------------

enum class VmState { Live, Leaving };

struct VmEntry
{
    VmName name;
    Address address; // for callers
    FailureDomain failureDomain;
    VmState state = VmState::Live;
    auto operator<=>(const VmEntry &) const = default;
};

struct VmList
{
    std::uint64_t revision = 0;
    std::vector<VmEntry> vms;
    bool operator==(const VmList &) const = default;
};

} // namespace Pollenspoke
