/// @file
/// Decision logic of the proxy as pure functions and state machines: `(state, event, now) -> decision`. The library does no
/// I/O, starts no threads, and reads neither a clock nor a global random source. The caller passes the time and the random
/// generator, so that tests and simulations can run it in virtual time.
///
/// Index of this file:
/// - [1] Rate limit on one Vm      (TokenBucket)
/// - [2] Target selection          (TargetLoad, chooseTarget(), chooseService())
/// - [3] Attempt timeouts          (AttemptPlan, attemptTimeout(), connectTimeout(), maxQueueTime(), isIdempotentMethod())
/// - [4] Vm selection for callers  (homeScore(), orderAddresses())
/// - [5] Outlier detection         (ServiceHealth, HealthOptions, HealthSummary)
/// - [6] Membership and freshness  (Membership, decideFreshness())
/// - [7] Fleet-wide quota          (QuotaOptions, QuotaEvent, QuotaCommand, QuotaLedger)
/// - [8] Load balancing            (AttemptEnd, BalancerOptions, TargetObservation, ServiceBalancer)
/// - [9] Retry budget              (RetryBudgetOptions, RetryBudget)
/// - [10] Seat assignment          (RegisteredVm, assignSeats(), SeatTiming, SeatFence, SeatAudit)
/// - [11] Fleet-wide token pool    (QuotaPoolOptions, QuotaPool)
/// - [12] Target roster            (RegistrationNumber, RosterEntry, TargetDeparture, TargetRoster)
/// - [13] Planned stop             (StopSchedule, PlannedStop)
/// - [14] Callers by capacity      (VmCapacity, selectByCapacity())
/// - [15] Hedged requests          (HedgeOptions, HedgeConditions, LatencyQuantile, HedgePolicy)
/// - [16] Queue of a service       (FairQueueOptions, QueuedRequest, FairQueue, QueueDrain, expectedQueueWait())
/// - [17] Impaired Vms             (HolderHealth, DiagnosisOptions, VmHealthChange, VmDiagnosis)
/// - [18] Demand view              (DemandReport, DemandCounter, DemandView)
/// - [19] Admission by rank        (AdmissionBoundary, AdmissionLevel)
/// - [20] Return of refused callers (RefusedRequest, ReturnTime, ReturnSchedule)
///
/// Example:
/// @code
/// TokenBucket bucket({.ratePerSecond = 50, .burst = 100}, now);
/// if (!bucket.take(now)) {
///     retryAfter = bucket.waitForToken(now);
/// }
/// @endcode
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <pollenspoke/resources.h>
#include <random>
#include <set>
#include <span>

namespace Pollenspoke {

//-----------------------------------------------------------------------------
// [1] Rate limit on one Vm
//-----------------------------------------------------------------------------

/// Token bucket: admits at most burst + rate * t requests in any interval of length t.
class TokenBucket
{
public:
    TokenBucket(const Limits &limits, TimePoint now);                // starts with a full bucket
    TokenBucket(const Limits &limits, double tokens, TimePoint now); // starts with `tokens`, at most limits.burst

    bool take(TimePoint now);                            // takes one token; false if less than one is available
    double takeUpTo(double tokens, TimePoint now);       // takes up to `tokens`; returns the number taken
    double tokens(TimePoint now) const;                  // currently available, including fractions
    Duration waitForToken(TimePoint now) const;          // until take() can succeed; one hour if it never can
    void setLimits(const Limits &limits, TimePoint now); // keeps the current tokens, capped at the new burst
    const Limits &limits() const { return m_limits; }

private:
    void refill(TimePoint now);

    Limits m_limits;
    double m_tokens = 0;
    TimePoint m_refilledAt;
};

//-----------------------------------------------------------------------------
// [2] Target selection
//-----------------------------------------------------------------------------

using Generator = std::mt19937_64;

/// Selection input for one target.
struct TargetLoad
{
    const Target *target = nullptr; // required
    std::uint32_t inFlight = 0;     // requests from this Vm in progress there
    bool isTried = false;           // an earlier attempt of this request went there
};

/// Picks the better of two random serving targets ("power of two choices") and returns its index. The target with fewer
/// requests per slot wins; on a tie, one in the failure domain `local`. Targets already tried are considered only if no
/// other is left. Returns nothing if no target is serving.
std::optional<std::size_t> chooseTarget(const std::vector<TargetLoad> &loads, const FailureDomain &local, Generator &generator);

/// Selects the service for a request of `route` by hashing the request id: the same id always gives the same service, and
/// the services receive requests in proportion to their weights.
ServiceName chooseService(const Route &route, std::string_view requestId);

//-----------------------------------------------------------------------------
// [3] Attempt timeouts
//-----------------------------------------------------------------------------

bool isIdempotentMethod(std::string_view method); // GET, HEAD, OPTIONS, PUT, DELETE

/// Progress of one request through its attempts.
struct AttemptPlan
{
    bool isIdempotent = false;
    std::uint32_t attempt = 1;                     // 1-based
    std::uint32_t maxAttempts = 1;                 // configured on the route
    TimePoint deadline;                            // of the request as a whole
    Duration maxNonFinalAttempt = Duration::max(); // limit for every attempt but the last
};

/// Timeout of the current attempt. The last attempt gets all the remaining time; earlier ones get half of it, so that an
/// unresponsive target leaves time for another attempt. An attempt on a pooled connection never gets more than half, since the
/// connection itself may be dead and the request is then sent to the same target on a new connection.
Duration attemptTimeout(const AttemptPlan &plan, bool isPooled, TimePoint now);

/// Timeout for opening a connection: at most `longest`, and at most half of the remaining time unless this is the last attempt.
Duration connectTimeout(const AttemptPlan &plan, Duration longest, TimePoint now);

/// Longest time that a request may queue for a slot: its latency objective minus 1.5 times the usual latency of its route, but at least an
/// eighth of the objective, and never so long that the answer would miss the deadline. `left` is the time to the deadline and
/// stands in, by half, for an objective of zero.
Duration maxQueueTime(Duration objective, Duration left, Duration usualLatency);

//-----------------------------------------------------------------------------
// [4] Vm selection for callers
//-----------------------------------------------------------------------------

/// Score of a Vm for an account by rendezvous hashing: the Vms with the highest scores are the account's homes. All Vms compute
/// the same scores without coordination, and when a Vm is removed only the accounts that had it as a home move.
std::uint64_t homeScore(const AccountName &account, const VmName &vm);

/// At most `count` live Vms, best first: ordered by score, and taken from a different failure domain each time until every
/// domain has been used.
std::vector<VmEntry> orderAddresses(const std::vector<VmEntry> &vms, const AccountName &account, std::size_t count);

//-----------------------------------------------------------------------------
// [5] Outlier detection
//-----------------------------------------------------------------------------
// Ejects targets that fail or are slow compared with the other targets of the same service. Because the comparison is
// relative, a service that is slow as a whole loses no targets. Each kind of evidence has its own sequential test (CUSUM): a
// cumulative sum of log-likelihood ratios with a lower bound of zero. A target is ejected when one of its sums reaches the
// threshold. It returns through HalfOpen (one request at a time) and SlowStart (rising weight).

enum class Evidence { ConnectFailure, Timeout, Failure, Slowness };
inline constexpr std::size_t evidenceCount = static_cast<std::size_t>(Evidence::Slowness) + 1;

std::string_view evidenceName(Evidence evidence); // for example "connect_failure"

enum class OutcomeKind { Success, ConnectFailed, TimedOut, Failed };

/// Result of one request sent to a target.
struct DispatchOutcome
{
    OutcomeKind kind = OutcomeKind::Success;
    Duration latency{}; // from request written to answer received; Success only
};

struct HealthOptions
{
    double threshold = 8;                               // ejects by this Vm's evidence; log-likelihood ratio
    double fleetThreshold = 12;                         // ejects by other Vms' evidence, which accumulates faster
    Duration firstEjection = std::chrono::seconds(5);   // doubles with each further ejection
    Duration longestEjection = std::chrono::minutes(5); // upper limit; also the healthy time after which the doubling restarts
    std::uint32_t halfOpenSuccesses = 3;                // successes in a row that end HalfOpen
    Duration slowStartTime = std::chrono::seconds(10);  // from reduced to full weight after HalfOpen
    Duration halfLife = std::chrono::seconds(30);       // of evidence, so that rare failures don't add up over time
    std::uint32_t floorPercent = 50;                    // of the serving targets' slots that must stay in service
    auto operator<=>(const HealthOptions &) const = default;
};

HealthOptions makeHealthOptions(DetectionPreset preset, std::uint32_t floorPercent);

/// Outcomes that one Vm observed at one target since its last summary.
struct TargetOutcomeCounts
{
    TargetName target;
    std::uint32_t successes = 0;
    std::uint32_t slowSuccesses = 0;                     // also counted in `successes`
    std::array<std::uint32_t, evidenceCount> failures{}; // indexed by Evidence; Slowness is unused
    auto operator<=>(const TargetOutcomeCounts &) const = default;
};

/// Outcome counts that one Vm sends to the others for the targets of a service.
struct HealthSummary
{
    VmName vm;
    FailureDomain failureDomain;
    std::vector<TargetOutcomeCounts> tallies;
    bool operator==(const HealthSummary &) const = default;
};

enum class HealthState { InService, Ejected, HalfOpen, SlowStart, HeldByFloor };

/// State of a target and how much traffic it may receive.
struct TargetHealthState
{
    HealthState healthState = HealthState::InService;
    double weight = 1;    // 0: no traffic; below 1: its load is weighted higher
    bool isTrial = false; // at most one request in flight
};

/// A state transition of a target, for logs and metrics.
struct HealthChange
{
    TargetName target;
    HealthState healthState = HealthState::InService; // new state
    Evidence evidence = Evidence::Failure;            // that caused the ejection
    double score = 0;                                 // log-likelihood ratio on ejection
    bool isFleetWide = false;                         // ejected by other Vms' evidence
};

/// Health of the targets of one service as seen by one Vm. This Vm's own evidence is sufficient to eject a target. Evidence from
/// other Vms must come from at least two failure domains; for faults that may lie in the network path (connect failures,
/// timeouts), recent successes from this Vm override it.
class ServiceHealth
{
public:
    explicit ServiceHealth(HealthOptions options);

    void setTargets(const std::vector<Target> &targets); // keeps the state of targets with unchanged name and address
    void observe(const TargetName &target, const DispatchOutcome &outcome, TimePoint now);
    void observeRemote(const HealthSummary &summary, TimePoint now);
    HealthSummary takeSummary(const VmName &vm, const FailureDomain &failureDomain); // outcomes since the last call

    TargetHealthState healthOf(const TargetName &target, TimePoint now); // advances the state when its time is up
    std::vector<HealthChange> takeChanges();
    bool isLikelyIsolated() const; // most targets are unreachable: the fault is likely on this Vm's side
    std::uint32_t slotsInService() const;

private:
    struct EvidenceScores
    {
        std::array<double, evidenceCount> scores{};
        TimePoint decayedAt;
    };
    struct Member
    {
        Target target;
        HealthState healthState = HealthState::InService;
        EvidenceScores own;
        EvidenceScores fleet;
        std::map<FailureDomain, double> fleetDomains; // share of each failure domain in the fleet's scores
        std::vector<Duration> latencies;              // ring buffer of the most recent
        std::size_t nextLatency = 0;
        double failureShare = 0;           // moving average over about 50 local outcomes
        double recentFailureShare = 0;     // the same over about 4 outcomes
        double recentSlowShare = 0;        // slow answers, over about 4 local successes
        double recentPathFailureShare = 0; // connect failures and timeouts, over about 4 outcomes
        std::uint32_t successesInRow = 0;
        std::uint32_t ejections = 0; // consecutive; determines the next ejection's length
        TimePoint changedAt;
        TimePoint ejectedUntil;                                        // or held by the floor until then
        TargetOutcomeCounts localCounts;                               // observed here since the last summary
        TargetOutcomeCounts remoteCounts;                              // from other Vms since applyRemoteEvidence()
        std::map<FailureDomain, std::uint32_t> remoteFailuresByDomain; // failures and slow answers in remoteCounts
    };

    Member *find(const TargetName &name);
    void decay(EvidenceScores &sums, TimePoint now) const;
    double addEvidence(EvidenceScores &sums, Evidence evidence, double hits, double misses, double reference) const;
    void applyRemoteEvidence(TimePoint now);
    void applyRemoteEvidence(Member &member, TimePoint now);
    double medianOfOthers(const Member &except, const std::function<std::optional<double>(const Member &)> &share) const;
    bool isSlow(const Member &member, Duration latency);
    void refreshSlowThreshold();
    void ejectIfOverThreshold(Member &member, TimePoint now);
    void eject(Member &member, Evidence evidence, double score, bool isFleetWide, TimePoint now);
    std::uint32_t servingSlots() const;
    bool meetsFloor(std::uint32_t slots) const;
    bool mayEject(const Member &member) const;
    void restoreFloor();
    bool majorityFails(double Member::*share) const;
    void recordTrialOutcome(Member &member, bool isSuccess, TimePoint now);

    HealthOptions m_options;
    std::vector<Member> m_members;
    Duration m_slowThreshold = Duration::max(); // latency above which an answer is slow
    std::uint32_t m_outcomesSinceRefresh = 0;
    TimePoint m_remoteAppliedAt; // last run of applyRemoteEvidence()
    std::vector<HealthChange> m_changes;
};

//-----------------------------------------------------------------------------
// [6] Membership and freshness
//-----------------------------------------------------------------------------
// Gossip-based failure detection (in the manner of SWIM), and the decision whether this Vm's configuration snapshot is fresh
// enough to serve requests with. Each Vm pings a few random peers per second; the answers carry the peer's state. Only answers
// count as evidence, and ages in an answer are counted from before the ping was sent, so that a delayed message, a paused
// process or a one-way partition never makes information look more recent than it is. Messages carry ages instead of
// timestamps, so that clocks of different Vms are never compared.

enum class Liveness { Live, Suspect, Gone };

/// One Vm's liveness as gossiped between peers. The higher incarnation wins; within the same incarnation, Gone overrides
/// Suspect and Suspect overrides Live.
struct MemberUpdate
{
    VmName vm;
    std::uint64_t incarnation = 0; // raised only by the Vm itself: after a restart or to refute a suspicion
    Liveness liveness = Liveness::Live;
    bool operator==(const MemberUpdate &) const = default;
};

/// Gossip payload that every message carries: the sender's state and recent membership updates.
struct PeerNews
{
    VmName vm;                         // the sender
    std::uint64_t incarnation = 0;     // current one of the sender
    std::uint64_t revision = 0;        // of the sender's snapshot; 0: none
    std::optional<Duration> freshAge;  // the snapshot was up to date with the store this long ago; unset: unknown
    std::uint64_t newestRevision = 0;  // highest revision that the sender has heard of
    std::uint64_t vmListRevision = 0;  // of the sender's Vm list
    std::vector<MemberUpdate> updates; // up to MembershipOptions::updatesPerMessage, plus one about the receiver
    bool operator==(const PeerNews &) const = default;
};

/// Answer to a ping.
struct PingAnswer
{
    PeerNews news;
    bool listsPinger = false;       // the answering Vm's list contains the Vm that pinged
    std::uint64_t vmListDigest = 0; // identifies the list of names that reachAges follows
    std::string reachAges;          // one byte per listed Vm, ordered by name: time since it was last reached, in ageStep; 255: too long
    bool operator==(const PingAnswer &) const = default;
};

struct FreshnessOptions
{
    Duration freshFor = std::chrono::seconds(5); // validity of a confirmation that the snapshot is up to date
    Duration reachFor = std::chrono::seconds(5); // how long a reached Vm counts towards the majority
    std::uint32_t driftPerMille = 10;            // largest difference in rate between two Vms' clocks, 0 to 100
};

struct MembershipOptions
{
    VmName self;                                             // required
    std::uint64_t incarnation = 1;                           // should exceed that of every earlier run of this Vm
    Duration probePeriod = std::chrono::milliseconds(1000);  // 100 ms to 1 min
    std::uint32_t probesPerPeriod = 3;                       // pings sent in each period, 1 to 20
    Duration directTimeout = std::chrono::milliseconds(300); // then other Vms are asked to ping the peer
    Duration probeTimeout = std::chrono::milliseconds(900);  // then the peer is suspected
    std::uint32_t relays = 3;                                // Vms asked to ping an unresponsive peer, 0 to 10
    Duration suspicionTime = std::chrono::seconds(3);        // a suspect that doesn't refute it in time is gone
    std::uint32_t updatesPerMessage = 16;                    // 1 to 100
    std::uint32_t updateCopies = 3;                          // each update is sent updateCopies * log2(Vms) times
    Duration ageStep = std::chrono::milliseconds(25);        // unit of PingAnswer::reachAges; the same on all Vms
    FreshnessOptions freshness;
};

enum class FreshnessState {
    StoreConfirmed, // recently confirmed by the store, directly or through a peer: serve
    Majority,       // not confirmed, but a majority of the Vm list is reachable and no newer revision is known: serve
    Stale,          // neither: refuse requests
    NotListed,      // this Vm is not on the Vm list: refuse requests
};

/// A freshness decision and when it expires. Request threads cache it and compare `until` with their clock.
struct Freshness
{
    FreshnessState state = FreshnessState::Stale;
    TimePoint until; // expiry of StoreConfirmed or Majority
    bool mayServe(TimePoint now) const;
    bool operator==(const Freshness &) const = default;
};

/// Inputs of decideFreshness().
struct FreshnessEvidence
{
    std::uint64_t revision = 0;         // of the snapshot in force; 0: none
    std::uint64_t newestRevision = 0;   // highest reported by any Vm
    std::optional<TimePoint> freshAsOf; // last time at which the snapshot was known to be up to date
    bool isListed = false;              // this Vm is on its Vm list, and no peer reported a newer list without it
    std::size_t listedVms = 0;          // including this one
    std::vector<TimePoint> reachedAt;   // of each other listed Vm that was ever reached
};

/// The majority is counted against all listed Vms rather than those reached, so that an isolated minority never serves.
Freshness decideFreshness(const FreshnessEvidence &evidence, const FreshnessOptions &options, TimePoint now);

struct SendPing
{
    std::uint64_t probe = 0; // pass to onPingAnswer()
    VmName to;
    PeerNews news;
};

/// Asks `via` to ping `about` on this Vm's behalf.
struct SendRelay
{
    std::uint64_t probe = 0; // pass to onRelayAnswer()
    VmName via;
    VmName about;
    PeerNews news;
};

using MembershipAction = std::variant<SendPing, SendRelay>;

/// Counters since the start.
struct MembershipCounts
{
    std::uint64_t pings = 0;         // sent for this Vm's own probes
    std::uint64_t relays = 0;        // requested from other Vms
    std::uint64_t suspicions = 0;    // raised here after a failed probe
    std::uint64_t denials = 0;       // own incarnation raised to refute a suspicion or replace an earlier run's
    std::uint64_t staleMessages = 0; // from an earlier incarnation of the sender
    std::uint64_t unknownLists = 0;  // reachAges dropped because their Vm list is unknown here
    bool operator==(const MembershipCounts &) const = default;
};

/// One Vm's view of the other listed Vms, from the Vm list and from probes. Not thread-safe.
///
/// Call setVms() with each new list and tick() about every 50 ms, carry out the actions that tick() returns, and pass each
/// incoming message to the matching function. Lost messages need no call.
class Membership
{
public:
    Membership(const MembershipOptions &options, Generator generator, TimePoint now);

    // Input from the store.
    void setVms(const std::vector<VmName> &vms, std::uint64_t revision, TimePoint now); // an older revision is ignored
    void setSnapshot(std::uint64_t revision);                                           // revision now in force; an older one is ignored
    void noteStoreAnswer(std::uint64_t revision, TimePoint askedAt);                    // answer to a call sent at `askedAt`

    // Probing.
    std::vector<MembershipAction> tick(TimePoint now);
    PeerNews makeNews(const VmName &to, TimePoint now); // for a ping on another Vm's behalf
    PingAnswer onPing(const PeerNews &news, TimePoint now);
    void onPingAnswer(std::uint64_t probe, const PingAnswer &answer, TimePoint askedAt, TimePoint now); // probe 0: for another Vm
    void onRelayRequest(const PeerNews &news, TimePoint now);
    void onRelayAnswer(std::uint64_t probe, bool wasReached, TimePoint now);

    // Results.
    Liveness liveness(const VmName &vm) const;    // Gone if not listed
    std::size_t countOf(Liveness liveness) const; // among the other listed Vms
    Freshness freshness(TimePoint now) const;
    bool shouldAskStore(TimePoint now) const;                         // no confirmation for half of freshFor; ask at most once a second
    std::uint64_t newestRevision() const { return m_newestRevision; } // fetch the snapshot from a peer if above the one in force
    std::uint64_t incarnation() const { return m_incarnation; }
    const MembershipCounts &counts() const { return m_counts; }

private:
    struct Member
    {
        std::uint64_t incarnation = 0;
        Liveness liveness = Liveness::Live;
        TimePoint suspectSince;
        std::optional<TimePoint> reachedAt;
    };
    struct ProbeState
    {
        VmName to;
        TimePoint startedAt;
        bool isRelayed = false;
    };
    struct PendingUpdate
    {
        MemberUpdate update;
        std::uint32_t sent = 0;
    };

    void startProbe(TimePoint now, std::vector<MembershipAction> &actions);
    void relayProbe(std::uint64_t id, const ProbeState &probe, TimePoint now, std::vector<MembershipAction> &actions);
    void checkProbes(TimePoint now, std::vector<MembershipAction> &actions);
    void checkSuspects(TimePoint now);
    std::optional<VmName> nextPeer();
    std::optional<VmName> drawPeer();
    void applyTargetUpdates(const PeerNews &news, TimePoint now);
    void apply(const MemberUpdate &update, TimePoint now);
    void refuteSuspicion(const MemberUpdate &update);
    void queueUpdate(const MemberUpdate &update);
    std::vector<MemberUpdate> selectUpdates(const VmName &to);
    bool isStale(const PeerNews &news);
    void applyFreshness(const PeerNews &news, TimePoint askedAt);
    void applyReachAges(const PingAnswer &answer, TimePoint askedAt);
    void noteReached(const VmName &vm, TimePoint at);
    Duration addDrift(Duration age) const;

    MembershipOptions m_options;
    Generator m_generator;
    std::uint64_t m_incarnation = 0;
    std::map<VmName, Member> m_members;                         // other listed Vms
    std::map<std::uint64_t, std::vector<VmName>> m_cachedLists; // sorted names, by digest
    std::vector<std::uint64_t> m_listOrder;                     // digests, newest last
    std::uint64_t m_vmListRevision = 0;
    std::uint64_t m_delistedAtRevision = 0; // highest revision of a peer's Vm list that lacks this Vm
    bool m_isListed = false;
    std::uint64_t m_revision = 0;
    std::uint64_t m_newestRevision = 0;
    std::optional<TimePoint> m_freshAsOf;
    std::optional<TimePoint> m_pendingFreshAsOf; // the store was at m_pendingFreshRevision then, which is not yet in force here
    std::uint64_t m_pendingFreshRevision = 0;
    std::vector<VmName> m_probeOrder; // shuffled; each Vm is probed once per round
    std::map<std::uint64_t, ProbeState> m_probes;
    std::map<VmName, PendingUpdate> m_pending;
    std::uint64_t m_lastProbeId = 0;
    TimePoint m_nextProbeAt;
    MembershipCounts m_counts;
};

//-----------------------------------------------------------------------------
// [7] Fleet-wide quota
//-----------------------------------------------------------------------------
// The stored object QuotaGrant/<account> divides an account's rate and burst into shares of several Vms, the holders; it changes
// by conditional update only. A Vm that runs short of tokens borrows some from the holders over the peer protocol. At any time
// the rates and bursts held by all Vms and in messages add up to at most the account's limits, and tokens move between Vms but
// are never created by a transfer. Hence the fleet admits at most burst + rate * t requests in any interval of length t.
// QuotaPool, in [11], is a simpler alternative without stored shares.
//
// What the caller of QuotaLedger must provide:
// - A monotonic clock that keeps counting while the Vm is suspended (CLOCK_BOOTTIME), with a drift of at most driftBound.
// - Every change of a QuotaGrant or ClientAccount, in the order of the store's revisions and through one feed.
// - FreshnessProved only under one of two conditions. Either all changes up to the newest revision known at `since` have been
//   passed in; or the store is down for every reachable Vm and a majority of the Vm list confirms this Vm. A Vm may confirm
//   only Vms on its own list, read within the last second (or, if the list is unavailable, the last one read), and only the
//   newest incarnation that it has heard of. A new process announces itself to a majority before it passes in its first
//   FreshnessProved. The list must lag by less than `fence - freshTerm`.
// - VmListSeen after each reading of the list, about once a second, and before the first FreshnessProved.
// - Exactly one GrantWritten or GrantWriteFailed for each WriteGrant, one GrantSeen, GrantAbsent or GrantReadFailed for each
//   ReadGrant. QuotaGrant objects are never deleted.
// - Calls from one thread at a time per ledger.

/// Reserved incarnations of a share that no running process has claimed. Those of processes are greater and increase with
/// each start.
inline constexpr std::uint64_t unclaimedIncarnation = 0;   // the share has never been used
inline constexpr std::uint64_t transferredIncarnation = 1; // moved from another holder and not yet claimed by its new one

/// Durations and amounts. All Vms of a fleet must use the same values.
struct QuotaOptions
{
    Duration loanTerm = std::chrono::seconds(1);            // maximum term of a loan
    Duration tokenLoanTerm = std::chrono::milliseconds(60); // term of a loan of tokens only
    Duration answerWait = std::chrono::milliseconds(8);     // time-out before the next peer is asked
    Duration admitWait = std::chrono::milliseconds(20);     // longest wait of a request for tokens
    Duration askPause = std::chrono::milliseconds(30);      // back-off after a round without a loan; doubles to 8 times this
    Duration freshTerm = std::chrono::seconds(3);           // validity of FreshnessProved
    Duration fence = std::chrono::seconds(8);               // wait before using or reclaiming capacity that another Vm may still use
    Duration takeoverDelay = std::chrono::seconds(8);       // wait of a restarted Vm before it uses its share
    Duration listMemory = std::chrono::minutes(10);         // Vms that left the list within this time count in the mass-loss check
    Duration listTerm = std::chrono::seconds(2);            // maximum age of a list reading for reclaiming a share
    Duration writeDelay = std::chrono::milliseconds(500);   // between attempts to write a grant
    Duration rankDelay = std::chrono::seconds(1);           // wait per rank before a home repairs a grant
    Duration tickInterval = std::chrono::milliseconds(500); // between updates of accounts without waiting requests
    double driftBound = 0.001;                              // maximum clock drift, as a fraction
    double rateLoanDemand = 20;                             // requests/s of missing rate above which rate is borrowed
    std::size_t waitingLimit = 256;                         // maximum number of waiting requests per account
    std::uint32_t asksPerRound = 4;                         // maximum number of peers asked per round
    auto operator<=>(const QuotaOptions &) const = default;
};

/// Globally unique id of a loan request, so that duplicated and reordered messages are harmless.
struct AskId
{
    VmName borrower;
    std::uint64_t incarnation = 0; // of the borrower
    std::uint64_t sequence = 0;    // increases with each request of that incarnation
    auto operator<=>(const AskId &) const = default;
};

/// Loan request from a borrower to a holder.
struct LoanAsk
{
    AskId id;
    AccountName account;
    double neededTokens = 0; // for requests already waiting
    double wantedTokens = 0; // in addition, for expected requests
    double wantedRate = 0;   // requests/s
    Duration term{0};        // of the loan; the borrower counts it from before it sent the request
    auto operator<=>(const LoanAsk &) const = default;
};

/// Answer from a holder to a borrower. All amounts are zero if the holder lends nothing.
struct LoanAnswer
{
    AskId id;
    AccountName account;
    Limits limits;        // lent rate and burst
    double tokens = 0;    // moved out of the lender's bucket, at most limits.burst
    Limits accountLimits; // the account's limits as known to the lender
    auto operator<=>(const LoanAnswer &) const = default;
};

using TicketId = std::uint64_t; // chosen by the caller; identifies a request until its decision

// Events, passed to QuotaLedger::handle().
// clang-format off
struct RequestArrived   { TicketId ticket = 0; AccountName account; auto operator<=>(const RequestArrived &) const = default; };
struct LimitsSeen       { AccountName account; std::optional<Limits> limits; auto operator<=>(const LimitsSeen &) const = default; };          // now in force on this Vm; unset: the account doesn't exist
struct GrantSeen        { AccountName account; std::uint64_t version = 0; QuotaGrant grant; bool operator==(const GrantSeen &) const = default; }; // from the feed or from a read
struct GrantAbsent      { AccountName account; auto operator<=>(const GrantAbsent &) const = default; };                                       // the object doesn't exist
struct GrantReadFailed  { AccountName account; auto operator<=>(const GrantReadFailed &) const = default; };
struct GrantWritten     { AccountName account; std::uint64_t version = 0; auto operator<=>(const GrantWritten &) const = default; };           // the write succeeded and gave this version
struct GrantWriteFailed { AccountName account; ErrorCode code = ErrorCode::Unavailable; auto operator<=>(const GrantWriteFailed &) const = default; }; // VersionConflict, Unavailable, OutcomeUnknown
struct LoanAsked        { LoanAsk ask; auto operator<=>(const LoanAsked &) const = default; };
struct LoanAnswered     { LoanAnswer answer; auto operator<=>(const LoanAnswered &) const = default; };
struct PeerReachable    { VmName vm; bool isReachable = true; auto operator<=>(const PeerReachable &) const = default; };                      // selects peers to borrow from; has no effect on reclaiming
struct VmListSeen       { VmList list; bool operator==(const VmListSeen &) const = default; };
struct FreshnessProved  { TimePoint since; auto operator<=>(const FreshnessProved &) const = default; };                                       // when the confirming exchange began
struct FreshnessDenied  { auto operator<=>(const FreshnessDenied &) const = default; };                                                        // stop admitting at once
struct LeaveStarted     { auto operator<=>(const LeaveStarted &) const = default; };                                                           // planned shutdown: transfer the shares to others
struct TimePassed       { auto operator<=>(const TimePassed &) const = default; };                                                             // due at nextWake(), and at least once a second
// clang-format on

using QuotaEvent = std::variant<RequestArrived,
                                LimitsSeen,
                                GrantSeen,
                                GrantAbsent,
                                GrantReadFailed,
                                GrantWritten,
                                GrantWriteFailed,
                                LoanAsked,
                                LoanAnswered,
                                PeerReachable,
                                VmListSeen,
                                FreshnessProved,
                                FreshnessDenied,
                                LeaveStarted,
                                TimePassed>;

// Commands that the caller of QuotaLedger must carry out.
// clang-format off
struct AdmitRequest  { TicketId ticket = 0; auto operator<=>(const AdmitRequest &) const = default; };
struct RefuseRequest { TicketId ticket = 0; RefusalReason reason = RefusalReason::RateLimited; Duration retryAfter{0}; auto operator<=>(const RefuseRequest &) const = default; };
struct AskLoan       { VmName peer; LoanAsk ask; auto operator<=>(const AskLoan &) const = default; };
struct AnswerLoan    { VmName peer; LoanAnswer answer; auto operator<=>(const AnswerLoan &) const = default; };
struct WriteGrant    { AccountName account; QuotaGrant grant; std::optional<std::uint64_t> ifVersion; bool operator==(const WriteGrant &) const = default; }; // expected version; unset: the object must not exist
struct ReadGrant     { AccountName account; auto operator<=>(const ReadGrant &) const = default; };
// clang-format on

using QuotaCommand = std::variant<AdmitRequest, RefuseRequest, AskLoan, AnswerLoan, WriteGrant, ReadGrant>;

/// Number of Vms among which an account's limits are divided: 2 plus one per 100 requests/s, but at most one per 2 requests of
/// burst and at most 8; at least 1.
std::size_t homeCount(const Limits &limits);

/// This Vm's part of one account's quota, for metrics and status.
struct QuotaHolding
{
    Limits own;                     // usable part of this Vm's share, less the loans it has given
    double ownTokens = 0;           // in the bucket of that share
    Limits borrowed;                // sum of loans taken
    double borrowedTokens = 0;      // in the buckets of these loans
    Limits lent;                    // sum of loans given
    std::uint64_t grantVersion = 0; // of the grant in use; 0: none seen
    auto operator<=>(const QuotaHolding &) const = default;
};

struct QuotaRules;  // private; tests disable single safety rules to prove that each is needed
struct QuotaVm;     // private: state common to all accounts
class QuotaAccount; // private: one account's state

/// Quota of all accounts on one Vm. Each event appends commands. The decision on a request is an AdmitRequest or RefuseRequest
/// with its ticket; it follows at once or within admitWait.
class QuotaLedger
{
public:
    /// `incarnation` must be greater than transferredIncarnation and than that of every earlier start of this Vm.
    QuotaLedger(const QuotaOptions &options, const VmName &self, std::uint64_t incarnation);
    QuotaLedger(const QuotaOptions &options, const VmName &self, std::uint64_t incarnation, const QuotaRules &rules); // for tests
    QuotaLedger(QuotaLedger &&other) noexcept;
    QuotaLedger &operator=(QuotaLedger &&other) noexcept;
    ~QuotaLedger();

    void handle(const QuotaEvent &event, TimePoint now, std::vector<QuotaCommand> &commands);
    std::optional<TimePoint> nextWake() const; // when TimePassed is next due; unset: no request is waiting
    bool isFresh(TimePoint now) const;         // whether this Vm may admit requests
    QuotaHolding holding(const AccountName &account, TimePoint now) const;

private:
    QuotaAccount &account(const AccountName &name, TimePoint now);
    void applyVmList(const VmList &list, TimePoint now);
    void extendFreshness(TimePoint since, TimePoint now);

    std::unique_ptr<QuotaVm> m_vm;
    std::map<AccountName, std::unique_ptr<QuotaAccount>> m_accounts;
    std::set<AccountName> m_waiting; // accounts with waiting requests
};

//-----------------------------------------------------------------------------
// [8] Load balancing
//-----------------------------------------------------------------------------
// Targets are judged by the outcomes of requests only, since a partly failed target may still pass its health checks.
//
// - One fast failure pauses a target: it failed without working on the request. A failure that took about as long as a normal
//   answer may be caused by the request itself, so only several of these in a row count.
// - After the pause one Vm tries the target, the first by returnRank(): it directs its next request to it, one that can be retried if the
//   service has such. The others follow by their rank, a returnStep apart, unless they are told that the target has answered. So a target
//   that still fails costs one request, and one that is well again waits for nobody.
// - The target is half-open meanwhile: it holds one request at a time until `returnAnswers` have been answered. For `returnTime` after
// that,
//   only as many Vms as it has slots use it, with one request each.
// - A target may queue one request beyond its slots, so that it begins the next one when it ends one, and not only when the Vms have
// learned
//   of that. Only the first two Vms by returnRank() send it, only to a target that is well, and only if the request is still expected to
//   meet its objective.
// - Floors keep a minimum share of the serving targets in use, whatever their failures.
// - Announcements of the target itself bind the Vm that received them, whatever the floors: no request begins at an instance that said
//   that it is leaving, or before the end of a pause that it asked for. What other Vms report of its leaving is evidence like any
//   other: one report makes this Vm avoid it, leavingQuorum of them pause it.

// - A target may name a limit, the requests/s that it takes from all Vms together, for as long as its answers name it. A few Vms, its
//   homes, share the limit; the others send it nothing. The shares follow from the list of Vms alone, so that no message is needed to
//   keep the sum, and a Vm that is cut off keeps a share that the others don't use. What other Vms report of limits binds the Vms that
//   were told, and with limitQuorum reports those that weren't.

/// How one attempt at a target ended.
enum class AttemptEnd {
    Answered,    // with a complete answer
    Failed,      // with an error answer, a truncated answer or an invalid one
    Declined,    // the target reported that it did not run the request
    Misdirected, // the address belongs to another target
    Unreachable, // no connection could be opened
    Silent,      // no answer in time
    Abandoned,   // the caller went away; says nothing about the target
};

/// Limit of the requests to a cold target within any second, over all Vms: its rate x overage + slack.
struct WarmupBound
{
    double overage = 1.5;
    double slack = 8; // requests
    auto operator<=>(const WarmupBound &) const = default;
};

struct BalancerOptions
{
    Duration failurePause = std::chrono::milliseconds(3000);   // without requests after a failure; a healthy target is idle for < 2 s of it
    Duration shortagePause = std::chrono::milliseconds(2000);  // replaces failurePause while the service is short of slots
    Duration firstPause = std::chrono::milliseconds(2000);     // the same of a target that is unreachable or silent
    Duration longestPause = std::chrono::milliseconds(5000);   // upper limit of it; each pause in a row is 1.5 times the one before
    Duration returnStep = std::chrono::milliseconds(300);      // between the tries of the Vms by their rank
    Duration retryableLead = std::chrono::milliseconds(300);   // in which requests that can be retried try it, if the service has such
    std::uint32_t returnAnswers = 2;                           // in a row that end the trial of a target that failed
    Duration returnTime = std::chrono::milliseconds(500);      // of reduced use after that
    double fastFailureShare = 0.1;                             // of the usual latency; a failure within it is a fast one
    std::uint32_t slowFailureLimit = 2;                        // slow failures in a row that pause a target
    Duration declinePause = std::chrono::milliseconds(150);    // after a target declined, as its queue is full
    Duration firstLatency = std::chrono::milliseconds(200);    // assumed for a service without any answers yet
    Duration latencyHalfLife = std::chrono::seconds(5);        // decay of a target's latency towards its service's
    Duration observationTtl = std::chrono::milliseconds(1500); // validity of other Vms' observations
    double stuckFactor = 4;                                    // usual latencies after which a pending request suggests a stuck target
    double crossDomainFactor = 2.5;                            // latency penalty of a target in another failure domain
    double warmupFactor = 2;                                   // latency penalty of a target that is warming up
    std::uint32_t crossDomainCandidates = 3;                   // targets of other failure domains considered, drawn at random
    std::uint32_t floorPercent = 50;                           // of the serving targets that stay in use whatever their pauses
    std::uint32_t avoidanceFloorPercent
        = 75; // of the serving targets that are used although other Vms report that they leave or are limited
    std::uint32_t overloadFloorPercent = 85; // replaces avoidanceFloorPercent while the service is overloaded
    double overloadShare = 0.05;             // refused share that means overload; the platform's limit is 0.1, including failures
    double shortageShare = 0.1;              // of the choices that found no free slot; above it the service is short of slots
    Duration refusalHalfLife = std::chrono::milliseconds(1500); // half-life of these counts
    std::uint32_t unreachableQuorum = 2;                        // other Vms that must fail to reach a target before it is paused here
    std::uint32_t leavingQuorum = 2;                            // other Vms that must report a target as leaving before it is paused here
    std::uint32_t limitQuorum = 2; // other Vms that must report a target's limit before it binds a Vm that the target hasn't told
    WarmupBound warmup;
    auto operator<=>(const BalancerOptions &) const = default;
};

/// What a Vm last knew of the limit of a target instance.
struct LimitReport
{
    std::uint64_t incarnation = 0;
    std::optional<double> limit; // requests/s from all Vms together; empty: it ended
    Duration age{0};             // since the answer that says so
    auto operator<=>(const LimitReport &) const = default;
};

/// The Vms that share the limits of targets.
struct LimitSharers
{
    VmName self;
    std::optional<std::vector<VmName>> vms; // empty: this Vm is alone; an empty list: not known yet
    std::size_t fleetSize = 0;              // with the Vms that have no share
    auto operator<=>(const LimitSharers &) const = default;
};

/// This Vm's part of a target's limit, in requests/s; 0: it isn't a home of the target. Over all Vms the parts add up to the limit.
double limitShare(const TargetName &target, double limit, const LimitSharers &sharers);

/// Place of this Vm in the order in which Vms try a target that failed; 0: first. By rendezvous hashing, so that each target has another
/// order and all Vms know it without messages. Vms that have no share come last.
std::size_t returnRank(const TargetName &target, const LimitSharers &sharers);

/// Tokens of this Vm for one target instance. There is always one if no limit is in force.
class TargetLimit
{
public:
    /// Applies an answer to a request that was sent at the given time. Returns true if it changed the limit.
    bool applyAnswer(std::optional<double> limit, TimePoint sentAt, const TargetName &target, const LimitSharers &sharers, TimePoint now);
    void applyReport(const LimitReport &report, TimePoint statedAt, const TargetName &target, const LimitSharers &sharers, TimePoint now);
    void setSharers(const TargetName &target, const LimitSharers &sharers, TimePoint now);

    std::optional<double> limit() const { return m_limit; }
    double share() const { return m_limit ? m_bucket.limits().ratePerSecond : 0; }
    Duration waitForToken(TimePoint now) const; // one hour if there will be none
    bool takeToken(TimePoint now);
    void returnToken(TimePoint now); // of a request that wasn't sent
    std::optional<LimitReport> report(std::uint64_t incarnation, TimePoint now) const;

private:
    void apply(std::optional<double> limit, TimePoint statedAt, const TargetName &target, const LimitSharers &sharers, TimePoint now);
    TimePoint recheckAt() const;

    std::optional<double> m_limit;
    TimePoint m_statedAt; // when the newest answer arrived that said so, here or at another Vm; default: never
    TimePoint m_recheckedAt;
    Duration m_recheckInterval{}; // between requests of a Vm that has no share
    TokenBucket m_bucket{Limits{}, TimePoint()};
};

/// This Vm's part of the requests to a cold target; a rate of 0: it sends none. Over all Vms, the parts stay below the bound in any second,
/// with a margin for Vms that know different lists of sharers.
Limits warmupShare(const TargetName &target, double ratePerSecond, const WarmupBound &bound, const LimitSharers &sharers);

/// Tokens of this Vm for one cold target instance. There is always one while the target isn't cold.
class WarmupLimit
{
public:
    void setShare(const Limits &share, TimePoint now); // without a call, the target is never limited
    void setUnlimited() { m_bucket.reset(); }
    void setRegistered(Duration warmup, TimePoint now); // remaining time by its registration; replaces the earlier one
    void setUnknown(bool isUnknown, TimePoint now);     // true: a registration that states a warm-up may be missing
    void noteAnswer(Duration warmup, TimePoint now);    // remaining time by an answer; doesn't shorten what is known

    bool isCold(TimePoint now) const; // as far as is known, whether the service has a limit or not
    bool isLimited(TimePoint now) const;
    double rate() const { return m_bucket ? m_bucket->limits().ratePerSecond : 0; }
    Duration waitForToken(TimePoint now) const; // one hour if there will be none
    bool takeToken(TimePoint now);
    void returnToken(TimePoint now); // of a request that wasn't sent

private:
    void setCold(TimePoint &until, TimePoint value, TimePoint now);
    void emptyIfWarm(TimePoint now);

    TimePoint m_registeredUntil;
    TimePoint m_answeredUntil;
    bool m_isUnknown = false;
    std::optional<TokenBucket> m_bucket; // empty: the service has no limit
};

/// One Vm's load and pauses at one target, as sent to the other Vms.
struct TargetObservation
{
    TargetName target;
    std::uint32_t inFlight = 0;                      // requests from that Vm in progress
    std::uint32_t failures = 0;                      // consecutive
    Duration failurePause{0};                        // remaining pause after failures
    std::optional<Duration> returnAge{};             // since its trial succeeded at that Vm; empty: not lately
    Duration unreachablePause{0};                    // remaining pause as it is unreachable or silent, possibly by that Vm's fault
    std::optional<std::uint64_t> leavingIncarnation; // the one that announced to that Vm that it is leaving; empty: none
    std::optional<LimitReport> limit;                // empty: that Vm knows of none
    auto operator<=>(const TargetObservation &) const = default;
};

/// One run of a target's process at its address.
struct TargetInstance
{
    TargetName name;
    Address address;
    std::uint64_t incarnation = 0; // as in Target
    auto operator<=>(const TargetInstance &) const = default;
};

/// What a target said about itself in an answer.
struct TargetAnnouncement
{
    bool isLeaving = false;      // it wants no more requests
    Duration pause{0};           // it wants no requests from this Vm for so long; 0: none
    std::optional<double> limit; // requests/s that it takes from all Vms together; empty: it named none
    Duration warmup{0};          // it stays cold for so long; 0: it named none
    auto operator<=>(const TargetAnnouncement &) const = default;
};

/// Start of a pause, for logs.
struct TargetPause
{
    TargetName target;
    AttemptEnd cause = AttemptEnd::Failed;
    Duration length{0};
    std::uint32_t failures = 0; // consecutive
};

struct ChoiceRequest
{
    std::span<const TargetName> tried; // excluded unless no other target is left
    FailureDomain local;               // of this Vm
    std::uint32_t overcommit = 0;      // requests that a target may hold beyond its slots
    std::uint32_t limit = 1000;        // maximum number of this Vm's requests at one target
    bool isRetryable = true;           // the request may be sent again after a failure
    Duration answerWithin{0};          // time left to the objective, for which a target may queue the request; 0: none may
    Duration usualLatency{0};          // of the request's route
};

/// Selects targets of one service, based on load, latency and recent failures.
class ServiceBalancer
{
public:
    explicit ServiceBalancer(BalancerOptions options = {});

    void setTargets(const std::vector<Target> &targets, TimePoint now); // keeps the state of targets with unchanged name and address
    void applyObservations(const VmName &vm,
                           const std::vector<TargetObservation> &observations,
                           bool isComplete,
                           TimePoint now);                            // complete: replaces all earlier ones of that Vm
    std::vector<TargetObservation> observations(TimePoint now) const; // of targets with requests, a pause or a recent return

    /// Selects a target and counts the request as in flight there. Returns nothing if no target has a free slot.
    std::optional<Target> choose(const ChoiceRequest &request, TimePoint now, Generator &generator);
    /// The same for a hedge: only an untried target with a free slot that nothing speaks against. It may not be warming up, limited,
    /// half-open or just returned, and no Vm reports anything of it.
    std::optional<Target> chooseForHedge(const ChoiceRequest &request, TimePoint now, Generator &generator);
    /// Records the end of an attempt that choose() began at `startedAt`; returns the pause that it caused, if any. Latencies are
    /// compared within the same `route` only, since the routes differ in cost.
    std::optional<TargetPause>
    end(const TargetName &target, AttemptEnd end, Duration latency, TimePoint startedAt, TimePoint now, const RouteName &route = {});

    /// Ends this Vm's pauses of targets that were unreachable or silent, as the fault was its own.
    void withdrawUnreachable(TimePoint now);

    /// Records what an instance announced. A leaving one stays that until a later incarnation is listed. If incarnations are unknown,
    /// it does so until the target is listed again after it was missing or listed as leaving. Of two pauses the later end counts.
    /// Returns true if this is news.
    bool announce(const TargetInstance &instance, const TargetAnnouncement &announcement, TimePoint now);
    /// False: it announced that it is leaving or pausing, or its failure domain is evacuated.
    bool accepts(const TargetInstance &instance, TimePoint now) const;

    /// Records that a final answer, to a request that was sent at the given time, named no limit. Returns true if that ends one.
    bool noteUnlimited(const TargetInstance &instance, TimePoint sentAt, TimePoint now);
    void setLimitSharers(const LimitSharers &sharers, TimePoint now);
    void setWarmupRate(double ratePerSecond, TimePoint now);       // that a cold target can handle; 0: no limit
    bool takeToken(const TargetInstance &instance, TimePoint now); // before each request; false: its limits allow none now
    void returnToken(const TargetInstance &instance, TimePoint now);

    /// Time until the limits allow another request, after those that wait already; zero if a target without a limit is open.
    Duration limitedWait(std::size_t waitersAhead, TimePoint now) const;
    bool isListed(const TargetInstance &instance) const;
    bool isHeldBackByWarmup(TimePoint now) const;                                 // an open target lacks nothing but a token of this limit
    bool isHeldBackByWarmup(const TargetInstance &instance, TimePoint now) const; // the same of one target
    std::uint64_t withheldChoices() const { return m_withheldChoices; } // choices that left out a target because of its announcement

    /// Counts a request for the service and whether this Vm refused it, for any reason. While many are refused, the service counts
    /// as overloaded: most of the avoided targets are used again, so that the others don't carry the whole load. Failed requests
    /// are not counted, since using targets that fail would produce more of them.
    void noteRequest(bool isRefused, TimePoint now);

    Duration usualLatency() const;                            // moving average over complete answers
    Duration usualLatency(const RouteName &route) const;      // the same of one route; that of the service before its first answer
    std::uint32_t inFlightAt(const TargetName &target) const; // requests from this Vm
    std::uint32_t freeSlots(TimePoint now) const;             // of targets that are not paused
    std::uint32_t usableSlots(TimePoint now) const;           // the same, including occupied slots
    double ownSlots(TimePoint now) const;                     // of those: the part that this Vm uses, and the free ones
    std::optional<TimePoint> opensAt(TimePoint now) const;    // when a target accepts requests, not before `now`; empty: none ever does

private:
    struct Announced
    {
        std::uint64_t incarnation = 0;
        bool isLeaving = false;
        TimePoint pausedUntil;
        TargetLimit limit;
        TimePoint notedAt;
    };
    struct RemoteObservation
    {
        std::uint32_t inFlight = 0;
        TimePoint unreachableUntil;
        std::optional<std::uint64_t> leavingIncarnation;
        std::optional<LimitReport> limit;
        TimePoint expiresAt;
    };
    struct Member
    {
        Target target;
        TimePoint warmupUntil;
        WarmupLimit warmup;
        std::vector<TimePoint> requestStarts; // of this Vm's requests in flight
        std::map<VmName, RemoteObservation> remotes;
        TimePoint failedAt;      // newest failure that began a pause, here or at another Vm; the default: none since its return
        TimePoint ownFailedAt;   // the same of this Vm
        TimePoint returnedAt;    // its trial succeeded, here or at another Vm
        TimePoint ownReturnedAt; // the same of this Vm
        TimePoint unreachableUntil;
        TimePoint declinedUntil;
        std::uint32_t failures = 0;     // consecutive
        std::uint32_t slowFailures = 0; // consecutive failures that were not fast
        std::uint32_t trialAnswers = 0; // in a row since `failedAt`
        bool isHalfOpen = false;        // limited to one request until its trial succeeds
        double slowness = 0;            // moving average of latency / usual latency of the route; 0: unknown
        TimePoint answeredAt;           // time of the newest answer
    };

    // Targets whose pause or avoidance ends by these times are used nevertheless.
    struct Floors
    {
        TimePoint paused;
        TimePoint avoided;
    };

    const Member *find(const TargetName &name) const;
    Member *find(const TargetName &name);
    /// Listed as serving in a domain that isn't evacuated, and it announced nothing else to this Vm.
    bool isOpen(const Member &member, TimePoint now) const;
    Member *findInstance(const TargetInstance &instance);
    const Member *findInstance(const TargetInstance &instance) const;
    void setWarmupShare(Member &member, TimePoint now) const;
    std::uint32_t inFlight(const Member &member, TimePoint now) const;
    TimePoint pausedUntil(const Member &member, TimePoint now) const;
    bool isPossiblyStuck(const Member &member, TimePoint now) const;
    bool hasCapacity(const Member &member, const ChoiceRequest &request, TimePoint now) const;
    double expectedLatency(const Member &member, TimePoint now) const;
    double score(const Member &member, const ChoiceRequest &request, TimePoint now) const;
    template<typename Until>
    TimePoint floorTime(std::uint32_t percent, TimePoint now, const Until &until) const;
    TimePoint pauseFloor(TimePoint now) const;
    TimePoint avoidedUntil(const Member &member, const ChoiceRequest &request, TimePoint now) const;
    TimePoint failurePauseEnd(const Member &member, TimePoint now) const;
    bool hasFailed(const Member &member) const { return member.failedAt != TimePoint(); }
    TimePoint trialAt(const Member &member, const ChoiceRequest &request, TimePoint now) const;
    std::uint32_t slotsFor(const Member &member, const ChoiceRequest &request, TimePoint now) const;
    bool mayQueueAt(const Member &member, const ChoiceRequest &request, TimePoint now) const;
    Member *findDueTrial(const ChoiceRequest &request, TimePoint now);
    void noteReturn(Member &member, TimePoint returnedAt);
    const Announced *findAnnounced(const Member &member) const; // of this instance; nullptr: nothing
    Duration waitForToken(const Member &member, TimePoint now) const;
    void applyLimitReport(Member &member, const LimitReport &report, TimePoint now);
    TimePoint reportedLimitUntil(const Member &member, TimePoint now) const;
    TimePoint reportedLeavingUntil(const Member &member, std::uint32_t minReports, TimePoint now) const;
    TimePoint avoidanceFloor(const ChoiceRequest &request, TimePoint now) const;
    double decayFactor(TimePoint now) const;
    bool isOverloaded(TimePoint now) const;
    void noteChoice(bool isFound, TimePoint now);
    bool isShortOfSlots(TimePoint now) const;
    bool noteFailure(Member &member, Duration latency) const; // true: the failure counts against the target
    void noteLatency(Member &member, Duration latency, const RouteName &route);
    std::vector<Member *> candidates(const ChoiceRequest &request, TimePoint now, const Floors &floors, bool includesAvoided);
    std::uint32_t sumSlots(TimePoint now, bool includesOccupied) const;
    bool isFitForHedge(const Member &member, const ChoiceRequest &request, TimePoint now) const;
    Member &choose(std::vector<Member *> eligible, const ChoiceRequest &request, TimePoint now, Generator &generator) const;
    Member &pick(const std::vector<Member *> &eligible, const ChoiceRequest &request, TimePoint now, Generator &generator) const;
    Duration startPause(Member &member, AttemptEnd cause, TimePoint now);
    void noteAnswer(Member &member, TimePoint startedAt, TimePoint now);

    void forgetAnnouncements(); // of instances that were followed by others

    BalancerOptions m_options;
    LimitSharers m_sharers;
    double m_warmupRate = 0; // requests/s; 0: no limit
    std::vector<Member> m_members;
    std::map<std::pair<TargetName, Address>, Announced> m_announced; // also of targets that aren't listed at present
    double m_averageLatency = 0;                                     // moving average over all targets, ns; 0: unknown
    std::map<RouteName, double> m_routeLatencies;                    // the same per route
    double m_requests = 0;                                           // exponentially decayed count
    double m_refused = 0;                                            // those of m_requests that were refused
    TimePoint m_countsDecayedAt;
    double m_choices = 0; // exponentially decayed count
    double m_misses = 0;  // those of m_choices that found no free slot
    TimePoint m_choicesDecayedAt;
    TimePoint m_retryableAt; // newest request that could be retried
    std::uint64_t m_withheldChoices = 0;
};

//-----------------------------------------------------------------------------
// [9] Retry budget
//-----------------------------------------------------------------------------

/// Limits of the retries for one service, over all Vms together.
struct RetryBudgetOptions
{
    double ratio = 0.2;  // retries per original request in a window
    double reserve = 10; // additional retries in a window
    Duration window = std::chrono::seconds(10);
    auto operator<=>(const RetryBudgetOptions &) const = default;
};

/// One Vm's part of a service's retry budget. In any window the retries of all Vms stay within ratio * requests + reserve, even if
/// every Vm restarts once within that window.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    void setShare(double share);           // of the reserve that this Vm may use, 0 to 1
    void noteRequest(TimePoint now);       // counts an original request
    bool takeRetry(TimePoint now);         // false: budget exhausted
    bool mayHedge(TimePoint now);          // whether half of the budget is left to failures after one more retry
    double available(TimePoint now) const; // retries currently allowed

private:
    static constexpr std::size_t stepCount = 20; // per window

    struct Step
    {
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    void advance(TimePoint now);
    double allowance(TimePoint now) const; // of the window, with what was used of it

    RetryBudgetOptions m_options;
    double m_share = 1;
    std::array<Step, stepCount> m_steps; // ring buffer; m_newest is the current step
    std::size_t m_newest = 0;
    std::optional<TimePoint> m_startedAt; // start of the first step; unset: not used yet
    TimePoint m_stepAt;                   // start of the current step
};

//-----------------------------------------------------------------------------
// [10] Seat assignment
//-----------------------------------------------------------------------------
// Callers are directed to a subset of the Vms, the seat holders. Concentrating the traffic gives each of them enough requests to
// judge targets by, and they alone hold the tokens of all accounts (see QuotaPool). Among Vms of the same size the
// earlier registration has priority, so that a new Vm doesn't move any tokens.

struct RegisteredVm
{
    VmName name;
    FailureDomain failureDomain;
    StorePosition registeredAt;   // first registration
    std::uint32_t millicores = 0; // processor capacity available to the Vm
    auto operator<=>(const RegisteredVm &) const = default;
};

inline constexpr std::size_t minSeats = 8; // few, for an accurate view of the targets' load; enough to survive the loss of some

/// Assigns seats round-robin over the failure domains; within each, to the Vms with the most processor capacity first, then to the
/// earliest registered. There are at least 8 seats and at least 2 per failure domain, as far as there are Vms; in a fleet of more
/// than 64 Vms, enough for the holders to have a fifth of the fleet's processor capacity.
std::vector<VmName> assignSeats(std::vector<RegisteredVm> vms);

/// How long the right to a seat lasts, and when the seat passes on. The platform's store decides, by conditional writes, and time.
///
/// A Vm uses its seat until `validity` after the newest proof that the store had its registration, uncontested: a consistent read, its own
/// or one that another Vm handed on. Nobody else uses the seat before `fence` after a write that ends these proofs. Each side measures by
/// its own steady clock, so that the seat is never in use twice, whoever is cut off from whom, as long as
///
///     validity * (1 + maxDrift) < fence * (1 - maxDrift)
struct SeatTiming
{
    static constexpr Duration validity = std::chrono::seconds(7); // outlasts an outage of the store of 4.5 s
    static constexpr Duration fence = std::chrono::milliseconds(7400);
    static constexpr double maxDrift = 0.01;                                  // of a steady clock
    static constexpr Duration proofInterval = std::chrono::milliseconds(750); // between reads of the registrations by one store watcher
    static constexpr Duration silence = std::chrono::seconds(2);              // of a seat holder, until its seat is contested
    static constexpr Duration restartTime = std::chrono::seconds(2);          // in which a Vm that was stopped returns to its seat
};

/// What the store says of a Vm's registration beside its content.
enum class SeatClaim {
    Held,
    Contested, // another Vm found it silent; it ends if nobody who hears the Vm writes it as held
    Released,  // the Vm was stopped as planned, and doesn't use its seat any more
};

/// Decides from when a Vm may use a seat that it has gained. A seat whose last holder was removed from the store is free: removal comes
/// after the fence, or after the holder gave it up. If Vms that are still registered lose seats or shares to it, or the last holder itself
/// may have been waiting for that, the seat is used only after the others have confirmed that they know, or after the fence.
class SeatFence
{
public:
    static constexpr Duration applyTime = std::chrono::milliseconds(1500); // from knowing registrations to acting on them

    struct Update
    {
        VmName self;
        std::vector<RegisteredVm> vms;
        StorePosition position;                // of the list
        std::optional<StorePosition> usedAt{}; // of the newest list by which an earlier process of this Vm began to use a seat
        bool areRemovalsFenced = true;         // false: Vms were dropped from the list, which the store didn't remove
        std::set<VmName> lostShares{};         // seat holders whose shares pass to this Vm, if it gains a seat
    };

    void update(const Update &update, TimePoint now); // with each new list of registrations

    void recordPosition(const VmName &vm, StorePosition known, TimePoint now); // up to which another Vm knows the registrations
    bool mayUseSeat(TimePoint now) const;                                      // false also without a seat
    const std::set<VmName> &unconfirmed() const { return m_unconfirmed; }      // to be asked for what they know
    StorePosition position() const { return m_position; }                      // that they must know
    bool isKept() const { return m_isKept; }                                   // the seat was in use by an earlier process

private:
    std::set<VmName> sharersToConfirm(const Update &update,
                                      const std::vector<RegisteredVm> &before,
                                      const std::vector<VmName> &holders,
                                      TimePoint now) const;

    bool m_holdsSeat = false;
    bool m_isKept = false;
    std::vector<RegisteredVm> m_vms; // of the last update
    TimePoint m_addedAt;             // the last update in which a Vm with a seat was new
    TimePoint m_gainedAt;
    TimePoint m_confirmedAt; // by the last one
    bool m_isConfirmed = false;
    StorePosition m_position;
    std::set<VmName> m_unconfirmed;
};

/// One registered Vm as another one sees it.
struct SeatView
{
    RegisteredVm vm;
    SeatClaim claim = SeatClaim::Held;
    std::uint64_t revision = 0; // of its registration; fences writes to it
    TimePoint heardAt;          // newest sign of life
    bool reachesStore = true;   // as far as is known
};

/// What a Vm has to do for the seats of others. Each write is conditional on the revision that the registration had in the view.
struct SeatActions
{
    std::vector<VmName> ping;    // ask for a sign of life
    std::vector<VmName> contest; // write the registration as contested
    std::vector<VmName> confirm; // the same as held: it was contested, but this Vm hears it
    std::vector<VmName> remove;  // its seat is free
    auto operator<=>(const SeatActions &) const = default;
};

/// Hands on the seats of Vms that were lost. The first seat holder that is heard does it or, if none is, a Vm without a seat. It asks the
/// silent ones for a sign of life, then contests the registrations of those that don't answer, and of those that would get their seats and
/// don't answer either. Whoever is alive takes that back, by itself or through a Vm that hears it; the others are removed after the fence.
///
/// However many are lost at once, the rest have their seats after `silence`, a ping, `fence` and some calls to the store.
class SeatAudit
{
public:
    static constexpr Duration stepPeriod = std::chrono::milliseconds(250); // between calls of next()
    static constexpr Duration pingTime = std::chrono::milliseconds(300);   // for the answers
    static constexpr Duration spareTime = std::chrono::seconds(3);         // until one that took its seat back is contested again
    static constexpr Duration maxStepGap = std::chrono::seconds(1);        // after a longer one the process had been paused
    static constexpr Duration spreadPerVm = std::chrono::milliseconds(10); // Vms without a seat begin one after the other
    static constexpr Duration maxSpread = std::chrono::milliseconds(1500);
    static constexpr Duration successionTime = std::chrono::milliseconds(1500); // until another Vm goes on with what one began
    static constexpr Duration trialTime = std::chrono::milliseconds(1500);      // see `trialSize`
    static constexpr Duration pauseTime = std::chrono::seconds(10);             // after a trial that others took back
    static constexpr std::size_t trialSize = 2; // a Vm that hears nobody contests so many first; it may be the one that is cut off
    static constexpr std::size_t maxConfirmers = 4;

    explicit SeatAudit(VmName self);

    /// `holders`: from assignSeats(). To be called each `stepPeriod`; a longer gap is taken as a pause of the process, in which
    /// nothing could be heard.
    SeatActions next(const std::vector<SeatView> &vms, const std::vector<VmName> &holders, TimePoint now, Generator &generator);
    void noteContestFailed(const VmName &vm) { m_contested.erase(vm); } // the write had no effect, as far as is known

private:
    struct Noted // a claim that isn't held
    {
        SeatClaim claim = SeatClaim::Held;
        std::uint64_t revision = 0;
        TimePoint since; // this Vm knows of it
    };
    struct Round // of pings
    {
        TimePoint startedAt;
        bool isRepeated = false;
    };

    bool isSilent(const SeatView &vm, TimePoint now) const;
    bool isSpared(const VmName &vm, TimePoint now) const;
    void noteClaims(const std::vector<SeatView> &vms, TimePoint now);
    bool isAuditor(const std::vector<SeatView> &vms, const std::vector<VmName> &holders, TimePoint now, Generator &generator);
    void planConfirmations(const std::vector<SeatView> &vms, const std::vector<VmName> &holders, TimePoint now, SeatActions &actions) const;
    void planRemovals(const std::vector<SeatView> &vms, bool holdsSeat, TimePoint now, SeatActions &actions) const;
    void planPings(const std::vector<SeatView> &vms, const std::vector<VmName> &holders, TimePoint now, SeatActions &actions);
    void planContests(const std::vector<SeatView> &vms, TimePoint now, SeatActions &actions);

    VmName m_self;
    std::optional<TimePoint> m_lastStepAt;
    TimePoint m_observingSince; // without a pause
    std::map<VmName, Noted> m_noted;
    std::map<VmName, std::uint64_t> m_contested; // by this Vm: the revision that it replaced
    std::map<VmName, TimePoint> m_sparedUntil;
    std::optional<TimePoint> m_auditsFrom; // this Vm has no seat, and no seat holder is heard
    std::optional<Round> m_round;
    std::optional<TimePoint> m_trialAt; // contested `trialSize` registrations, hearing nobody
    TimePoint m_pausedUntil;            // others took back what this Vm contested in a trial
};

//-----------------------------------------------------------------------------
// [11] Fleet-wide token pool
//-----------------------------------------------------------------------------
// Some of the seat holders, the homes of an account, each refill a token bucket with an equal share of the account's rate. A Vm
// without a token borrows one from a home. Tokens move between Vms but are never created by a transfer, so that no partition,
// pause, crash or lost message lets the fleet exceed the rate and burst; a lost answer only loses its token.

struct QuotaPoolOptions
{
    double rateFactor = 1.05;                             // applied to rate and burst; the platform tolerates 1.1
    double extraBurst = 8;                                // tokens added over all homes; the platform tolerates 20
    double minHomeBurst = 1.5;                            // tokens; an account with a small burst has fewer homes
    double initialTokensPerHome = 0.5;                    // tokens at start-up; given as whole tokens to some of the homes
    double initialShare = 0.03;                           // more of them, of what the account may send in 5 s; over all homes
    double toleratedFactor = 1.1;                         // of the platform, in any 5 s; the initial tokens never exceed
    double toleratedExtra = 20;                           // what it leaves above `rateFactor` and `extraBurst`
    Duration askPause = std::chrono::milliseconds(60);    // before asking again after no seat holder had a token
    Duration seatGrace = std::chrono::milliseconds(2200); // Vms register again within 2 s with a restored store
    Duration startGrace = std::chrono::seconds(5);        // until the list of a Vm that starts after that is complete
    auto operator<=>(const QuotaPoolOptions &) const = default;
};

enum class QuotaDecision {
    Admit,  // a token was taken
    Ask,    // no token here; another seat holder may have one
    Refuse, // no token here, and recently no seat holder had one
};

/// One Vm's token buckets of all accounts.
class QuotaPool
{
public:
    explicit QuotaPool(QuotaPoolOptions options = {});

    /// `holders` is from assignSeats(), the same on all Vms. Call it periodically: for `seatGrace` after the store was restored, when
    /// its list of Vms is incomplete, the previous holders stay. No holders (this Vm stops) take effect at once. The first ones
    /// may then be from an incomplete list too: for `startGrace`, the shares are no larger than those among `minSeats` holders.
    void setSeats(const VmName &self, std::vector<VmName> holders, TimePoint now);
    void setSeatUsed(bool isUsed, TimePoint now); // see SeatFence; without it, this Vm has no share
    void setSeatRight(TimePoint endsAt);          // see SeatTiming; from then on this Vm gives out no token. Never, if not called
    void noteStoreRestored(TimePoint noticedAt);  // from an older copy; also at start, if it ever was

    /// Homes of any account among the previous seat holders that aren't its homes any more, though they still have seats.
    std::set<VmName> displacedHomes(const std::vector<VmName> &previous, const std::vector<VmName> &holders) const;
    std::vector<VmName> homes(const AccountName &account, const Limits &limits) const;
    void addAccount(const AccountName &account, const Limits &limits, TimePoint now); // starts refilling its bucket
    QuotaDecision decide(const AccountName &account, const Limits &limits, TimePoint now);
    bool lend(const AccountName &account, const Limits &limits, TimePoint now); // takes a token for another Vm; false: none left
    void noteBorrowFailed(const AccountName &account, TimePoint now);
    Duration retryAfter(const AccountName &account, const Limits &limits, TimePoint now) const; // estimated time until tokens are available

private:
    struct Account
    {
        TokenBucket bucket;
        Limits limits;              // of the account as a whole
        std::uint64_t seatsVersion; // m_seatsVersion for which the bucket's limits were set
        TimePoint nextBorrowAt;
        bool hasInitialTokens = false; // granted once, when the homes are first known
    };

    std::size_t maxHomes(const Limits &limits) const; // as many as get a usable share of the burst
    std::vector<VmName> homesAmong(std::vector<VmName> holders, const AccountName &account, const Limits &limits) const;
    Limits share(const AccountName &name, const Limits &limits) const;
    double initialTokens(const std::vector<VmName> &homeVms, const Limits &limits) const; // of this Vm
    Account makeAccount(const AccountName &name, const Limits &limits, TimePoint now) const;
    Account &account(const AccountName &name, const Limits &limits, TimePoint now);

    QuotaPoolOptions m_options;
    VmName m_self;
    std::vector<VmName> m_holders;
    bool m_isSeatUsed = true;
    TimePoint m_rightEndsAt = TimePoint::max();
    std::uint64_t m_seatsVersion = 0;
    TimePoint m_seatsKeptUntil;
    std::optional<TimePoint> m_startEndsAt; // the first list of Vms may be incomplete until then
    std::map<AccountName, Account> m_accounts;
};

//-----------------------------------------------------------------------------
// [12] Target roster
//-----------------------------------------------------------------------------

/// Orders the registrations of one target. The default: the platform doesn't number them.
struct RegistrationNumber
{
    std::uint64_t startedAtMs = 0; // Unix time of the target's start
    std::uint64_t sequence = 0;    // grows with each of the target's writes; begins anew with each start
    auto operator<=>(const RegistrationNumber &) const = default;
};

/// A target and the service that it is registered for on the platform.
struct RosterEntry
{
    ServiceName service;
    Target target;
    RegistrationNumber number;
    auto operator<=>(const RosterEntry &) const = default;
};

/// A target that is leaving or has left, with its last known registration.
struct TargetDeparture
{
    TargetName target;
    RegistrationNumber number;
    auto operator<=>(const TargetDeparture &) const = default;
};

/// Registered targets according to the platform's store. Registrations expire during a store outage although their targets are
/// running, so targets that are missing after an outage are removed only after a grace period in which they can register again.
/// If other Vms could reach the store during the outage, only this Vm was cut off and no registration expired wrongly: missing
/// targets are then removed at once.
///
/// The store may execute a write seconds after it was sent, when it has executed later ones already. An entry with a lower number than
/// the target's known one is therefore withheld. It may be right all the same: a target whose clock was set back starts with a lower
/// number, and the store doesn't store writes that repeat an entry except for its number. Such a target keeps its entry in the store,
/// so an entry that has stood there for `staleEntryTime` is taken.
///
/// A store that was restored from an older copy has lost registrations and may name targets that have left since the copy was made.
/// For some time after it, only an entry that its target wrote later than what is known of it changes the roster; others are withheld.
/// Entries without number are taken as they come.
class TargetRoster
{
public:
    static constexpr Duration longOutage = std::chrono::milliseconds(1500);  // a shorter one doesn't let registrations expire
    static constexpr Duration returnGrace = std::chrono::milliseconds(2200); // targets register again within 2 s of the store's return
    static constexpr Duration departureMemory = std::chrono::seconds(60);    // the store's copy is seconds old
    static constexpr std::size_t maxDepartures = 1024;                       // the oldest are forgotten first
    static constexpr Duration staleEntryTime = std::chrono::seconds(12);     // the store removes the entry of a silent target sooner

    void replaceAll(std::vector<RosterEntry> entries, TimePoint now); // complete list from the store
    void put(RosterEntry entry, TimePoint now);
    void remove(const TargetName &name, TimePoint now);
    void noteStoreUnreachable(TimePoint now);    // a store call failed
    void noteStoreReachable(TimePoint now);      // a store call was answered
    void noteLocalOutage(TimePoint now);         // the outage that just ended affected only this Vm
    void noteStoreRestored(TimePoint noticedAt); // from an older copy; call it before passing on what the restored store has
    bool isInGracePeriod(TimePoint now) const { return now < m_graceUntil; }
    std::optional<TimePoint> outageStartedAt() const { return m_outageStartedAt; } // unset: no outage

    /// For Vms that started after the store was restored: targets known as leaving, and those that this Vm has removed. What other Vms
    /// told isn't passed on.
    std::vector<TargetDeparture> departures(TimePoint now) const;
    void applyDepartures(const std::vector<TargetDeparture> &departures, TimePoint now); // removes targets that haven't written since

    std::map<ServiceName, std::vector<Target>> targets(TimePoint now); // removes those whose grace period is over
    std::optional<TimePoint> nextRemoval() const;                      // when targets() changes next by time alone

    std::optional<RegistrationNumber> knownNumber(const TargetName &name) const; // of the entry in use, or before the target left
    std::map<TargetName, RegistrationNumber> withheldNumbers() const;            // of entries that the store has, but that aren't used

private:
    struct Entry
    {
        RosterEntry entry;
        std::optional<TimePoint> removeAt; // set once the registration is missing
    };
    struct Departure
    {
        RegistrationNumber number;
        TimePoint notedAt;
        bool isSeen = false;     // by this Vm
        bool isReported = false; // by another Vm; holds although this Vm didn't see the store restored
    };

    struct Withheld
    {
        RosterEntry entry;
        TimePoint since; // the store has had an entry that is withheld without interruption
    };

    TimePoint removalTime(TimePoint now) const;
    TimePoint refusedUntil(const Withheld &offered) const;
    void offer(Withheld offered, TimePoint now);
    TimePoint forgottenAt(const Departure &departure) const;
    void noteDeparture(const TargetDeparture &departure, bool isReported, TimePoint now);
    void forgetDepartures(TimePoint now);
    void useWithheld(TimePoint now);

    std::map<TargetName, Entry> m_entries;
    std::map<TargetName, Withheld> m_withheld; // in the store, but not taken
    std::map<TargetName, Departure> m_departures;
    std::optional<TimePoint> m_outageStartedAt;
    TimePoint m_graceUntil;
    TimePoint m_restoredGraceUntil; // part of m_graceUntil that the store itself caused
    TimePoint m_restoredUntil;      // end of the time in which the store may name targets that have left
};

//-----------------------------------------------------------------------------
// [13] Planned stop
//-----------------------------------------------------------------------------

/// Times of a planned stop, counted from its start.
struct StopSchedule
{
    Duration acceptTime{}; // requests are accepted as usual, since callers may still have this Vm's address
    Duration totalTime{};  // requests still in flight then get a last answer, and the process ends
    auto operator<=>(const StopSchedule &) const = default;
};

/// Decides which work may begin during a planned stop. Whatever a target has begun when the process ends is lost to the caller, so
/// late in the stop a request is refused as not run unless it is certain to be answered before.
class PlannedStop
{
public:
    PlannedStop(const StopSchedule &schedule, TimePoint startedAt)
        : m_acceptsUntil(startedAt + schedule.acceptTime)
        , m_endsAt(startedAt + schedule.totalTime)
    {
    }

    TimePoint endsAt() const { return m_endsAt; }
    bool mayStart(TimePoint requestDeadline, TimePoint now) const; // whether a request that hasn't run may be sent to a target
    bool mayRetry(Duration usualLatency, TimePoint now) const;     // whether one that may have run may be sent to another target
    auto operator<=>(const PlannedStop &) const = default;

private:
    TimePoint m_acceptsUntil;
    TimePoint m_endsAt;
};

//-----------------------------------------------------------------------------
// [14] Callers by capacity
//-----------------------------------------------------------------------------
// Callers spread evenly over the addresses that they are given, so that a Vm with a twentieth of the others' link gets as many requests
// as they do. In a failure domain of unequal seat holders, only the strong ones are named.

/// What a Vm states of its size. Zero: unknown.
struct VmCapacity
{
    VmName vm;
    std::uint32_t millicores = 0;  // processor capacity available to the Vm
    std::uint32_t linkMbps = 0;    // of its network link, in Mbit/s
    std::uint32_t memoryMb = 0;    // in 10^6 bytes
    std::uint32_t descriptors = 0; // highest number of open files and sockets
    auto operator<=>(const VmCapacity &) const = default;
};

/// The Vms with at least a quarter of the highest capacity, in the given order. The capacity of a Vm is the smallest of its ratios to the
/// largest processor, link, memory and number of descriptors among them; what is unknown counts as the largest.
std::vector<VmName> selectByCapacity(const std::vector<VmCapacity> &vms);

//-----------------------------------------------------------------------------
// [15] Hedged requests
//-----------------------------------------------------------------------------
// A request whose first attempt is slower than almost all of its route is sent to a second target, and the first whole answer counts.
//
// - The limit is a percentage of the service's requests. Each Vm earns its part with its own requests and starts with nothing, so that
//   the sum over the fleet stays within the limit without messages, and a restart only loses what was earned.
// - A hedge is an arrival beyond the first one, so it takes a token of the retry budget as well, and only while half of the budget is left
//   to failures.
// - Hedges help against single slow targets. When many requests of the service are slow at the same time, another copy adds load to
//   what is overloaded. So none is sent without free slots, nor for a time after a large share of the attempts reached their delay.

struct HedgeOptions
{
    std::uint32_t percent = 0;          // hedges per 100 requests of the service, 0 to 20; 0: off
    double quantile = 0.95;             // of the route's latencies, after which an attempt counts as slow
    std::uint32_t minObservations = 50; // below, the quantile isn't known: it would rest on fewer than three slow attempts
    std::uint32_t memory = 200;         // observations after which the weight of all earlier ones is halved
    std::uint32_t savedHedges = 2;      // that a Vm can save up, at least 1; a calm time isn't made up for by a burst
    double freeShare = 0.25;            // of the usable slots; no hedge while fewer are free
    double slowShare = 0.25;            // of the attempts that reached their delay; above it the service as a whole is slow, 0.05 is usual
    double minJudged = 10;              // attempts below which that share says nothing
    Duration slowHalfLife = std::chrono::seconds(2); // of the counts for that share
    Duration slowTime = std::chrono::seconds(5);     // without hedges after that; the quantile follows meanwhile
    auto operator<=>(const HedgeOptions &) const = default;
};

/// State of a service when a hedge is considered.
struct HedgeConditions
{
    std::size_t waiting = 0; // requests that wait for a target
    std::uint32_t freeSlots = 0;
    std::uint32_t usableSlots = 0; // with the occupied ones
    auto operator<=>(const HedgeConditions &) const = default;
};

/// Estimate of a latency quantile: a histogram of fixed size in which older observations weigh less.
class LatencyQuantile
{
public:
    void record(Duration latency, std::uint32_t memory); // `memory`: see HedgeOptions
    double total() const { return m_total; }             // weight of all observations
    Duration quantile(double fraction) const;            // upper bound of the bin that contains it, at most 12 % too long

private:
    static constexpr std::size_t binCount = 100; // 1 ms to 100 s

    std::array<double, binCount> m_bins{};
    double m_total = 0;
    std::uint32_t m_sinceHalving = 0;
};

/// One Vm's hedging of one service. In any interval its hedges are at most `percent` of its requests of that interval plus `savedHedges`;
/// since its start they are at most `percent` of its requests.
class HedgePolicy
{
public:
    explicit HedgePolicy(HedgeOptions options = {});

    bool isEnabled() const { return m_options.percent != 0; }
    void noteRequest();                                          // counts an original request of the service
    std::optional<Duration> delay(const RouteName &route) const; // after which an attempt counts as slow; empty: off, or not known yet

    /// Records how long a first attempt took. For one that was cancelled as its hedge answered: the time until then, so that
    /// cancelling slow attempts doesn't shorten the delay.
    void noteLatency(const RouteName &route, Duration latency, TimePoint now);
    void noteDue(TimePoint now); // a first attempt has reached its delay without an answer

    /// Whether a hedge may be sent now; otherwise why not.
    std::optional<HedgeHoldback> check(const HedgeConditions &conditions, RetryBudget &budget, TimePoint now) const;
    std::optional<HedgeHoldback> take(const HedgeConditions &conditions, RetryBudget &budget, TimePoint now); // also charges both limits

private:
    void judge(bool isDue, TimePoint now);

    HedgeOptions m_options;
    std::map<RouteName, LatencyQuantile> m_routes;
    std::uint32_t m_credit = 0; // of hedges, in hundredths: a request earns `percent`
    double m_judged = 0;        // decayed count of first attempts that were answered in time or reached their delay
    double m_due = 0;           // those that reached it
    TimePoint m_judgedAt;
    TimePoint m_slowUntil; // the service as a whole is slow
};

//-----------------------------------------------------------------------------
// [16] Queue of a service
//-----------------------------------------------------------------------------
// Requests that found no free slot wait at the Vm that received them, in one queue per service.
//
// - Rank comes first. Without fair shares, requests of a rank are served by arrival.
// - With fair shares, requests that can still meet their objective come before those that can't, and within each of these two classes the
//   accounts take turns by start-time fair queueing: each start costs an account 1 / weight of virtual time, and the account that has used
//   least goes next. Within an account, requests are served by arrival.
// - An account that begins to wait starts at the virtual time of those that wait already. So it isn't put behind the backlog of a hot
//   account, and it can't save up time without requests.
// - A request that leaves without a slot costs its account nothing.
//
// A request that would not get a slot within its longest wait is refused at once. All Vms use the same slots, so the time until its turn
// follows from this Vm's part of them, the better of two signs: the part of the occupied slots that its own requests hold, and the rate at
// which waiting requests got slots lately. Both mean something only once requests have waited for a while. Until then a Vm expects to get
// all slots, so that a short peak isn't refused.

struct FairQueueOptions
{
    bool hasFairShares = false;                     // false: within a rank by arrival
    Duration shareMemory = std::chrono::seconds(1); // after this time without a waiting request the past use of an account is forgotten
    auto operator<=>(const FairQueueOptions &) const = default;
};

struct QueuedRequest
{
    std::uint64_t sequence = 0; // unique, in the order of arrival
    std::uint32_t rank = 0;     // 0 first
    AccountName account;
    std::uint32_t weight = 1;             // of the account, at least 1
    TimePoint startBy = TimePoint::max(); // latest start that meets its objective; max: it has none
    auto operator<=>(const QueuedRequest &) const = default;
};

/// Order of the requests that wait for a slot of one service.
class FairQueue
{
public:
    explicit FairQueue(FairQueueOptions options = {});

    void push(const QueuedRequest &request, TimePoint now);
    void remove(std::uint64_t sequence, TimePoint now);          // it leaves without a slot
    void start(std::uint64_t sequence, TimePoint now);           // it gets a slot
    void noteStart(const QueuedRequest &request, TimePoint now); // a request got a slot that isn't in the queue

    /// Sequences of the first `n` requests, in order.
    std::vector<std::uint64_t> first(std::size_t n, TimePoint now);

    /// Waiting requests that go before the given one, which may be in the queue or not. 0 for one that isn't: it goes first.
    std::size_t countAhead(const QueuedRequest &request, TimePoint now);

    bool contains(std::uint64_t sequence) const { return m_requests.contains(sequence); }
    std::size_t size() const { return m_requests.size(); }
    bool empty() const { return m_requests.empty(); }

private:
    // The requests of one account and rank.
    struct Flow
    {
        double startTag = 0; // virtual time at which its next request starts
        std::uint32_t weight = 1;
        std::set<std::uint64_t> timely; // can still meet their objective
        std::set<std::uint64_t> late;
        TimePoint usedAt; // newest start, or end of its newest wait

        bool isWaiting() const { return !timely.empty() || !late.empty(); }
        double tagAfter(std::size_t starts) const { return startTag + static_cast<double>(starts) / weight; }
    };
    struct Lane // of one rank
    {
        double virtualTime = 0;
        std::map<AccountName, Flow> flows;
        std::size_t size = 0;
    };

    AccountName flowName(const QueuedRequest &request) const { return m_options.hasFairShares ? request.account : AccountName(); }
    bool isLate(const QueuedRequest &request, TimePoint now) const { return m_options.hasFairShares && request.startBy < now; }
    double tagOnArrival(const Lane &lane, const Flow &flow, TimePoint now) const;
    Flow &useFlow(const QueuedRequest &request, TimePoint now);
    std::optional<QueuedRequest> take(std::uint64_t sequence, TimePoint usedAt);
    void charge(const QueuedRequest &request, TimePoint now);
    void sortOutLate(TimePoint now);
    void forgetUnused(Lane &lane, TimePoint now) const;
    static std::size_t countInFlow(const Flow &flow, std::size_t startsBefore, std::size_t waiting, double beforeTag);
    static void appendInOrder(const Lane &lane, std::size_t n, std::vector<std::uint64_t> &sequences);

    FairQueueOptions m_options;
    std::map<std::uint32_t, Lane> m_lanes; // by rank
    std::map<std::uint64_t, QueuedRequest> m_requests;
    std::set<std::pair<TimePoint, std::uint64_t>> m_startBys; // of the timely requests that have an objective
    TimePoint m_forgottenAt;
};

/// Rate at which the requests that wait at this Vm get slots. Starts count only while requests wait: the others show the traffic, not the
/// capacity.
class QueueDrain
{
public:
    void noteWaiting(bool isAnyWaiting, TimePoint now); // after each change of the queue
    void noteStart(TimePoint now);                      // a request got a slot
    std::optional<double> rate(TimePoint now) const;    // requests/s; empty: too little time with waiting requests

private:
    std::optional<TimePoint> m_waitingSince; // for as long as the queue isn't empty
    std::deque<TimePoint> m_starts;          // since then, within the last second
};

struct QueueWaitInput
{
    std::size_t ahead = 0;             // requests that wait at this Vm and go first
    Duration usualLatency{};           // of the service
    std::uint32_t usableSlots = 0;     // of the service, for all Vms
    double ownSlots = 0;               // this Vm's part of them
    std::optional<double> drainRate{}; // of this Vm; empty: no evidence yet, and all usable slots count
};

/// Expected time until a request that begins to wait gets a slot.
Duration expectedQueueWait(const QueueWaitInput &input);

//-----------------------------------------------------------------------------
// [17] Impaired Vms
//-----------------------------------------------------------------------------
// A Vm whose link is congested, or that is cut off from targets, blames its targets one after the other, and its callers get no answers in
// time. It notices that many targets fail only here: most of its connection attempts fail, and the other seat holders don't report these
// targets as unreachable. It then refuses new requests, tells the others, and blames no target. If half of the seat holders or more say
// that they are impaired, the fault isn't theirs, and they behave like healthy ones.

/// What another live seat holder lately said of itself.
struct HolderHealth
{
    VmName vm;
    bool isImpaired = false;
    auto operator<=>(const HolderHealth &) const = default;
};

/// How an attempt to reach a target ended.
enum class ReachOutcome {
    Connected,   // a new connection was opened
    Unreachable, // it could not be opened
    Silent,      // no answer in time; says nothing about new connections
};

struct DiagnosisOptions
{
    Duration window = std::chrono::milliseconds(1500);       // attempts that count
    Duration confirmTime = std::chrono::milliseconds(500);   // for which the signs must last, so that reports of the others arrive
    std::uint32_t minConnects = 8;                           // connection attempts in the window; fewer prove nothing
    double failedShare = 0.5;                                // of them; more are a sign
    std::uint32_t minTargets = 4;                            // that failed here and not elsewhere
    double reporterShare = 0.25;                             // of the other holders, whose reports show that a target failed elsewhere, too
    std::uint32_t minReporters = 2;                          // the same as a number; another impaired Vm reports the same targets at first
    Duration reportTtl = std::chrono::milliseconds(1500);    // validity of what other Vms report
    Duration shortestTime = std::chrono::seconds(2);         // for which a Vm stays impaired; doubled if it soon is impaired again
    Duration longestTime = std::chrono::seconds(16);         // upper limit of it
    Duration relapseTime = std::chrono::seconds(30);         // after a recovery; an impairment within it doubles the time of the next
    std::size_t recoveryConnects = 4;                        // attempts after which a Vm may count as healthy
    double connectedShare = 0.75;                            // of its last attempts, which a healthy Vm opened
    Duration idleTime = std::chrono::seconds(3);             // without attempts, after which it is tried again
    Duration probeInterval = std::chrono::milliseconds(250); // between the requests that an impaired Vm admits, if they can be repeated
    Duration unsafeProbeInterval = std::chrono::seconds(1);  // the same of requests that may run at most once
    auto operator<=>(const DiagnosisOptions &) const = default;
};

/// Begin or end of an impairment, for logs.
struct VmHealthChange
{
    bool isImpaired = false;
    std::uint32_t connects = 0; // attempts in the window, or since the impairment began
    std::uint32_t failedConnects = 0;
    std::size_t failedTargets = 0;    // in the window
    std::size_t confirmedTargets = 0; // those of them that failed elsewhere, too
    std::size_t otherHolders = 0;
    std::size_t impairedOthers = 0;
    auto operator<=>(const VmHealthChange &) const = default;
};

/// Decides whether this Vm is impaired. Without recent reports of other seat holders it can't tell, and stays what it is.
class VmDiagnosis
{
public:
    using TargetKey = std::pair<ServiceName, TargetName>;

    explicit VmDiagnosis(DiagnosisOptions options = {});

    void noteAttempt(const TargetKey &target, ReachOutcome outcome, TimePoint now);
    void applyReports(const VmName &vm, const std::map<ServiceName, std::vector<TargetObservation>> &reports, TimePoint now);
    void setOtherHolders(const std::vector<HolderHealth> &others, TimePoint now); // valid for reportTtl

    /// Decides by what is known; to be called after each of the above. Returns a change, if there is one.
    std::optional<VmHealthChange> update(TimePoint now);

    bool isImpaired() const { return m_isImpaired; }
    bool isExcusingTargets(TimePoint now) const; // impaired, and less than half of the seat holders are

    /// Whether a new request is admitted: any unless isExcusingTargets(), else one now and then, as a trial.
    bool admit(bool isIdempotent, TimePoint now);

private:
    struct Step // of the window
    {
        TimePoint startedAt;
        std::uint32_t opened = 0;
        std::uint32_t failed = 0;
    };
    struct Reach
    {
        TimePoint failedAt;                                           // the default: never
        std::vector<std::pair<std::size_t, TimePoint>> unreachableAt; // newest report of each other Vm, by its index
    };
    struct FailedTargets
    {
        std::size_t all = 0;
        std::size_t confirmed = 0; // by reports of other holders
    };

    std::size_t indexOf(const VmName &vm);
    void forgetExpired(TimePoint now);
    bool areHoldersKnown(TimePoint now) const { return m_holdersKnownAt != TimePoint() && now - m_holdersKnownAt < m_options.reportTtl; }
    FailedTargets failedTargets(TimePoint now) const;
    VmHealthChange counts(TimePoint now) const;
    bool hasSigns(const VmHealthChange &counts) const;
    bool hasRecovered(TimePoint now) const;

    DiagnosisOptions m_options;
    std::deque<Step> m_steps; // oldest first
    std::map<TargetKey, Reach> m_targets;
    std::map<VmName, std::size_t> m_indices; // of Vms, so that reports are counted without comparing names
    std::vector<bool> m_isReporter;          // by index: a live seat holder that isn't impaired
    std::vector<HolderHealth> m_otherHolders;
    TimePoint m_holdersKnownAt; // the default: never
    bool m_isImpaired = false;
    std::optional<TimePoint> m_signsSince;
    TimePoint m_changedAt;             // begin or end of the newest impairment; the default: there was none
    Duration m_impairedTime{};         // for which the present impairment lasts at least
    std::deque<bool> m_recentConnects; // outcomes of the last attempts since the impairment began; true: opened
    TimePoint m_lastConnectAt;
    TimePoint m_lastProbeAt;
};

//-----------------------------------------------------------------------------
// [18] Demand view
//-----------------------------------------------------------------------------

inline constexpr std::size_t maxDemandRanks = 8;    // per service; further ranks are counted as part of the last one
inline constexpr std::size_t maxDemandAccounts = 4; // per service: the largest ones

/// Demand of one rank for one service.
struct RankDemand
{
    std::uint32_t rank = 0; // 0 is the most urgent
    double arrivals = 0;    // requests/s, without retries
    double waiting = 0;     // requests that wait for a slot
    double refused = 0;     // requests/s refused for lack of capacity
    double started = 0;     // requests/s that got their first slot
    auto operator<=>(const RankDemand &) const = default;
};

struct AccountDemand
{
    AccountName account;
    double arrivals = 0; // requests/s, without retries
    auto operator<=>(const AccountDemand &) const = default;
};

/// Demand for one service, at one Vm or summed over several. All rates are over the last second.
struct DemandReport
{
    std::vector<RankDemand> ranks;       // in ascending order of rank
    std::vector<AccountDemand> accounts; // largest first
    std::uint64_t run = 0;               // random number of the sender's process, not 0
    Duration measuredAt{};               // by the sender's steady clock
    auto operator<=>(const DemandReport &) const = default;

    bool isEmpty() const { return ranks.empty() && accounts.empty(); }
};

bool isUnderPressure(std::span<const RankDemand> ranks); // a request waits or was refused within the last second

/// Number of events within the last second, in steps of 50 ms.
class SecondWindow
{
public:
    static constexpr std::size_t stepCount = 20;
    static constexpr Duration step = std::chrono::milliseconds(50);

    void add() { ++m_steps[m_newest], ++m_total; }
    void add(const SecondWindow &other); // both were advanced at the same times
    void advance();                      // starts the next step and drops the oldest
    std::uint32_t total() const { return m_total; }

private:
    std::array<std::uint32_t, stepCount> m_steps{};
    std::size_t m_newest = 0;
    std::uint32_t m_total = 0;
};

/// Counts one service's requests on this Vm by rank, and by account those of the largest accounts. Memory is constant: accounts are kept
/// by the space-saving method, which finds each one that has more than a sixteenth of the arrivals.
class DemandCounter
{
public:
    void noteArrival(std::uint32_t rank, const AccountName &account, TimePoint now);
    void noteStarted(std::uint32_t rank, TimePoint now);
    void noteRefused(std::uint32_t rank, TimePoint now);
    void noteWaiting(std::uint32_t rank, TimePoint now);
    void noteWaitEnded(std::uint32_t rank, TimePoint now);

    DemandReport report(TimePoint now); // `run` is left 0

private:
    static constexpr std::size_t accountSlots = 16;

    struct Rank
    {
        std::uint32_t rank = 0;
        std::uint32_t waiting = 0;
        SecondWindow arrivals;
        SecondWindow refused;
        SecondWindow started;
    };
    struct Account
    {
        AccountName name;
        SecondWindow arrivals;
        SecondWindow inherited; // part of `arrivals` that belongs to the account which had this place before
    };

    void advance(TimePoint now);
    void dropIdleRanks();
    Rank &rankOf(std::uint32_t rank);
    double perSecond(std::uint32_t n, TimePoint now) const;

    std::vector<Rank> m_ranks; // in ascending order
    std::vector<Account> m_accounts;
    TimePoint m_stepAt; // start of the current step
};

/// What this Vm knows of the demand for one service at the other seat holders.
class DemandView
{
public:
    static constexpr Duration maxAge = std::chrono::milliseconds(1500); // older parts are not used
    static constexpr double maxNumber = 1e6;                            // larger ones are impossible

    void setVms(const VmName &self, const std::vector<VmName> &vms); // parts of others are dropped

    /// Takes the part of another Vm. False, and nothing is taken, if the Vm isn't a known seat holder, a number is impossible, or the
    /// report is older than one taken before, as happens to datagrams that were queued while this process was suspended.
    bool apply(const VmName &vm, DemandReport report, TimePoint now);
    std::size_t parts(TimePoint now) const; // usable parts of other Vms

    /// Sums over `own` and the usable parts of other Vms.
    std::vector<RankDemand> ranks(const DemandReport &own, TimePoint now) const;
    std::vector<AccountDemand> accounts(const DemandReport &own, TimePoint now) const; // largest first

private:
    struct Part
    {
        DemandReport report;
        TimePoint receivedAt;
        Duration smallestDelay{}; // between measuring and receiving, plus the unknown difference of the two clocks
    };

    bool isUsable(const Part &part, TimePoint now) const { return now - part.receivedAt <= maxAge; }

    std::set<VmName> m_vms; // without this one
    std::map<VmName, Part> m_parts;
};

//-----------------------------------------------------------------------------
// [19] Admission by rank
//-----------------------------------------------------------------------------

/// Requests of more urgent ranks than `rank` may wait for a slot, and `share` of those of `rank`.
struct AdmissionBoundary
{
    std::uint32_t rank = 0;
    double share = 0; // 0 to 1
    auto operator<=>(const AdmissionBoundary &) const = default;
};

/// Which requests for one service may wait for a slot while there are more than its targets can serve. It applies to requests that find
/// no free slot only, so that no slot is left unused because of it. The most urgent rank with demand may always wait.
///
/// Each Vm computes the boundary from the same sum of the demand. It depends on nothing else, except that it is relaxed by one rank per
/// step at most, so Vms with the same view have the same boundary as soon as it stands still.
class AdmissionLevel
{
public:
    static constexpr Duration stepTime = std::chrono::milliseconds(250);
    static constexpr double admittedLoad = 0.95; // of the starts/s; the rest keeps the queue of those admitted short
    static constexpr double shareStep = 0.125;   // smallest change of the share, above the noise of the counts

    bool isDue(TimePoint now) const { return now - m_steppedAt >= stepTime; }
    bool update(std::span<const RankDemand> demand, TimePoint now); // when due; returns true if the boundary changed

    /// The same answer for the same request id on every Vm with this boundary.
    bool mayWait(std::uint32_t rank, std::string_view requestId) const;
    const std::optional<AdmissionBoundary> &boundary() const { return m_boundary; } // empty: all may wait

private:
    std::optional<AdmissionBoundary> m_boundary;
    TimePoint m_steppedAt;
};

//-----------------------------------------------------------------------------
// [20] Return of refused callers
//-----------------------------------------------------------------------------

/// A request that is refused for lack of capacity, and what is known of its service.
struct RefusedRequest
{
    std::uint32_t rank = 0;
    std::string_view id;
    double waitingAhead = 0;    // requests that wait, of this or a more urgent rank, over the fleet
    double startsPerSecond = 0; // that the service is capable of, over the fleet
    double share = 1;           // part of the fleet's refusals that are this Vm's, 0 to 1
    Duration opensIn{};         // time until a target accepts requests, as targets announced
    Duration left{};            // time until the request's deadline
};

struct ReturnTime
{
    Duration retryAfter{};
    Duration capacityIn{};         // time until there may be capacity; longer than `retryAfter` if that is cut
    bool isBeforeDeadline = false; // there may be capacity before the request's deadline
    auto operator<=>(const ReturnTime &) const = default;
};

/// When the callers of refused requests should come back. Each refusal books the next place in this Vm's part of the starts, after the
/// more urgent ones and after those of its own rank, so that callers refused in the same moment come back one by one.
class ReturnSchedule
{
public:
    static constexpr Duration shortest = std::chrono::milliseconds(100);
    static constexpr Duration longest = std::chrono::seconds(5); // counted from `opensIn` if that is longer

    ReturnTime refuse(const RefusedRequest &request, TimePoint now);
    std::size_t booked(std::uint32_t rank, TimePoint now); // of this or a more urgent rank, not back yet

private:
    static constexpr Duration step = std::chrono::milliseconds(100);
    static constexpr std::size_t stepCount = 52; // more than `longest`

    struct Bookings
    {
        std::uint32_t rank = 0;
        std::array<std::uint32_t, stepCount> steps{}; // ring buffer; m_newest is the current step
        std::uint32_t total = 0;
    };

    void advance(TimePoint now);
    Bookings &bookingsOf(std::uint32_t rank);

    std::vector<Bookings> m_ranks; // in ascending order
    std::size_t m_newest = 0;
    TimePoint m_stepAt;
};

} // namespace Pollenspoke
