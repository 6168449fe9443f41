/// @file
/// Every decision, as pure functions and state machines: `(state, event, now) -> decision`. No I/O, no thread, no clock,
/// no global random source; the caller passes the time and the generator, so that any harness can drive it in virtual time.
///
/// Index of this file:
/// - [1] Rate and burst on one Vm  (TokenBucket)
/// - [2] Choice of a target        (TargetLoad, chooseTarget(), chooseService())
/// - [3] Attempts                  (AttemptPlan, attemptTimeout(), connectTimeout(), maxQueueTime(), isIdempotentMethod())
/// - [4] Choice of Vms for callers (homeScore(), orderAddresses())
/// - [5] Health of targets         (ServiceHealth, HealthOptions, HealthSummary)
/// - [6] Membership and freshness  (Membership, decideFreshness())
/// - [7] Rate and burst across the fleet (QuotaOptions, QuotaEvent, QuotaCommand, QuotaLedger)
/// - [8] Balancing of one service  (AttemptEnd, BalancerOptions, TargetObservation, ServiceBalancer)
/// - [9] Repeats of one service    (RetryBudgetOptions, RetryBudget)
/// - [10] Seats                    (RegisteredVm, assignSeats())
/// - [11] Tokens of an account     (QuotaPoolOptions, QuotaPool)
/// - [12] Roster of targets        (RosterEntry, TargetRoster)
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
#include <functional>
#include <pollenspoke/resources.h>
#include <random>
#include <set>
#include <span>

namespace Pollenspoke {

//-----------------------------------------------------------------------------
// [1] Rate and burst on one Vm
//-----------------------------------------------------------------------------

/// Over any interval of length t it lets at most burst + rate * t requests pass.
class TokenBucket
{
public:
    TokenBucket(const Limits &limits, TimePoint now);                // starts full
    TokenBucket(const Limits &limits, double tokens, TimePoint now); // starts with `tokens`, at most limits.burst

    bool take(TimePoint now);                            // false: none left, nothing is taken
    double takeUpTo(double tokens, TimePoint now);       // takes what there is, at most `tokens`; returns how many
    double tokens(TimePoint now) const;                  // requests that may pass at once, with fractions
    Duration waitForToken(TimePoint now) const;          // until take() would succeed; an hour when it never would
    void setLimits(const Limits &limits, TimePoint now); // a raise adds no tokens at once; a cut drops those above the new burst
    const Limits &limits() const { return m_limits; }

private:
    void refill(TimePoint now);

    Limits m_limits;
    double m_tokens = 0;
    TimePoint m_refilledAt;
};

//-----------------------------------------------------------------------------
// [2] Choice of a target
//-----------------------------------------------------------------------------

using Generator = std::mt19937_64;

/// What a choice needs to know of one target.
struct TargetLoad
{
    const Target *target = nullptr; // required
    std::uint32_t inFlight = 0;     // requests of this Vm that it works on
    bool isTried = false;           // this request failed there already
};

/// Index of the better of two random serving targets: fewer requests per slot, then the same failure domain as `local`.
/// Targets already tried are taken only when no other is left. Nothing: no target may take work.
std::optional<std::size_t> chooseTarget(const std::vector<TargetLoad> &loads, const FailureDomain &local, Generator &generator);

/// The service that takes a request of the route: always the same one for one id, and over many ids by weight.
ServiceName chooseService(const Route &route, std::string_view requestId);

//-----------------------------------------------------------------------------
// [3] Attempts
//-----------------------------------------------------------------------------

bool isIdempotentMethod(std::string_view method); // GET, HEAD, OPTIONS, PUT, DELETE

/// One request's attempts so far.
struct AttemptPlan
{
    bool isIdempotent = false;
    std::uint32_t attempt = 1;                     // 1-based
    std::uint32_t maxAttempts = 1;                 // of the route
    TimePoint deadline;                            // of the whole request
    Duration maxNonFinalAttempt = Duration::max(); // longest attempt while another may follow
};

/// Time that this attempt may take: all that is left on the last one, half of it before, so that a silent target leaves
/// time for another. On a pooled connection always half, since a silent one leaves the target to be asked on a fresh one.
Duration attemptTimeout(const AttemptPlan &plan, bool isPooled, TimePoint now);

/// Time that opening a connection may take: at most `longest`, and half of what is left unless this is the last attempt.
Duration connectTimeout(const AttemptPlan &plan, Duration longest, TimePoint now);

/// Time that a request may wait for a slot: what its objective leaves beside the usual latency, at least an eighth of the
/// objective, and never so long that the answer would miss the deadline.
Duration maxQueueTime(Duration objective, Duration left, Duration usualLatency);

//-----------------------------------------------------------------------------
// [4] Choice of Vms for callers
//-----------------------------------------------------------------------------

/// Rendezvous score of a Vm for an account: the Vms with the highest scores are the account's homes. Needs no agreement;
/// when a Vm goes, only the accounts at home there move.
std::uint64_t homeScore(const AccountName &account, const VmName &vm);

/// At most `count` live Vms, best first: by score, and from different failure domains as long as there are any.
std::vector<VmEntry> orderAddresses(const std::vector<VmEntry> &vms, const AccountName &account, std::size_t count);

//-----------------------------------------------------------------------------
// [5] Health of a service's targets
//-----------------------------------------------------------------------------
// Each target is compared with the other targets of its service, so that a service that is slow as a whole ejects nobody.
// Four kinds of evidence are kept apart; each drives a sequential test (a cumulative sum of log-likelihood ratios that
// never falls below zero). A target is ejected when one of its sums passes the threshold.

enum class Evidence { ConnectFailure, Timeout, Failure, Slowness };
inline constexpr std::size_t evidenceCount = static_cast<std::size_t>(Evidence::Slowness) + 1;

std::string_view evidenceName(Evidence evidence); // "connect_failure"

enum class OutcomeKind { Success, ConnectFailed, TimedOut, Failed };

/// How one dispatch ended.
struct DispatchOutcome
{
    OutcomeKind kind = OutcomeKind::Success;
    Duration latency{}; // request written to answer received; used for Well only
};

struct HealthOptions
{
    double threshold = 8;                               // log-likelihood ratio of own evidence at which a target is ejected
    double fleetThreshold = 12;                         // the same of the others' evidence, of which there is much more
    Duration firstEjection = std::chrono::seconds(5);   // doubles with each ejection that follows soon
    Duration longestEjection = std::chrono::minutes(5); // bound of the doubling
    std::uint32_t trialRequests = 3;                    // well outcomes in a row before a target returns
    Duration ramp = std::chrono::seconds(10);           // from first to full weight after a return
    Duration halfLife = std::chrono::seconds(30);       // of evidence, so that rare failures don't add up
    std::uint32_t floorPercent = 50;                    // of the slots of serving targets that stay in service
    auto operator<=>(const HealthOptions &) const = default;
};

HealthOptions makeHealthOptions(DetectionPreset preset, std::uint32_t floorPercent);

/// What one Vm saw of one target since its last summary.
struct TargetOutcomeCounts
{
    TargetName target;
    std::uint32_t successes = 0;
    std::uint32_t slowSuccesses = 0;                     // successes that were slow; part of `successes`
    std::array<std::uint32_t, evidenceCount> failures{}; // by evidence; Slowness is unused
    auto operator<=>(const TargetOutcomeCounts &) const = default;
};

/// What one Vm tells the others of a service's targets.
struct HealthSummary
{
    VmName vm;
    FailureDomain failureDomain;
    std::vector<TargetOutcomeCounts> tallies;
    bool operator==(const HealthSummary &) const = default;
};

enum class HealthState { InService, Ejected, HalfOpen, SlowStart, HeldByFloor };

/// How much work a target may get.
struct TargetHealthState
{
    HealthState healthState = HealthState::InService;
    double weight = 1;    // 0: none; below 1: its load counts for more
    bool isTrial = false; // at most one request at a time
};

/// An ejection or a return, for logs and counters.
struct HealthChange
{
    TargetName target;
    HealthState healthState = HealthState::InService; // new one
    Evidence evidence = Evidence::Failure;            // of an ejection
    double score = 0;                                 // log-likelihood ratio at the ejection
    bool isFleetWide = false;                         // other Vms' evidence decided
};

/// Health of the targets of one service, as one Vm knows it. Evidence of its own decides alone; evidence of others needs
/// two failure domains, and can't overrule own successes where the fault may lie on the way (connecting, timeouts).
class ServiceHealth
{
public:
    explicit ServiceHealth(HealthOptions options);

    void setTargets(const std::vector<Target> &targets); // keeps what is known of those that stay
    void observe(const TargetName &target, const DispatchOutcome &outcome, TimePoint now);
    void observeRemote(const HealthSummary &summary, TimePoint now);
    HealthSummary takeSummary(const VmName &vm, const FailureDomain &failureDomain); // since the last call

    TargetHealthState healthOf(const TargetName &target, TimePoint now); // Ejected turns to Trial when its time is over
    std::vector<HealthChange> takeChanges();
    bool isLikelyIsolated() const; // most targets can't be reached from here: the fault is likely this Vm's
    std::uint32_t slotsInService() const;

private:
    struct Sums
    {
        std::array<double, evidenceCount> scores{};
        TimePoint decayedAt;
    };
    struct Member
    {
        Target target;
        HealthState healthState = HealthState::InService;
        Sums own;
        Sums fleet;
        std::map<FailureDomain, double> domains; // who added to the fleet's sums, and how much
        std::vector<Duration> latencies;         // ring of the newest
        std::size_t nextLatency = 0;
        double failureShare = 0;       // moving average of own failures, over about 50 outcomes
        double recentFailures = 0;     // the same over about 4 outcomes
        double recentSlows = 0;        // moving average of own slow answers, over about 4
        double recentPathFailures = 0; // of these, connect failures and timeouts
        std::uint32_t wellsInRow = 0;
        std::uint32_t ejections = 0; // in a row
        TimePoint changedAt;
        TimePoint until;                                   // of the ejection
        TargetOutcomeCounts tally;                         // own, since the last summary
        TargetOutcomeCounts remote;                        // of others, since the last batch was weighed
        std::map<FailureDomain, std::uint32_t> remoteHits; // failures and slowSuccesses in `remote`, by who saw them
    };

    Member *find(const TargetName &name);
    void decay(Sums &sums, TimePoint now) const;
    double addTo(Sums &sums, Evidence evidence, double hits, double misses, double reference) const;
    void weighRemote(TimePoint now);
    void weighRemote(Member &member, TimePoint now);
    double middleOfOthers(const Member &except, const std::function<std::optional<double>(const Member &)> &share) const;
    bool isSlow(const Member &member, Duration latency);
    void refreshReference();
    void judge(Member &member, TimePoint now);
    void eject(Member &member, Evidence evidence, double score, bool isFleetWide, TimePoint now);
    std::uint32_t servingSlots() const;
    bool keepsFloor(std::uint32_t slots) const;
    bool mayEject(const Member &member) const;
    void restoreFloor();
    bool mostFail(double Member::*share) const;
    void finishTrialStep(Member &member, bool isWell, TimePoint now);

    HealthOptions m_options;
    std::vector<Member> m_members;
    Duration m_slowLimit = Duration::max(); // answers above it are slow
    std::uint32_t m_sinceReference = 0;
    TimePoint m_weighedAt; // when the others' evidence was last weighed
    std::vector<HealthChange> m_changes;
};

//-----------------------------------------------------------------------------
// [6] Membership and freshness
//-----------------------------------------------------------------------------
// Which Vms live, and whether this Vm's snapshot is known to be fresh. Each Vm pings a few random peers a second; the
// answers carry what the peer knows. Only answers count as evidence, and an age in an answer counts from before the ping
// was sent, so that a late message, a pause or a one-way partition never makes anything look younger than it is.
// Clocks are never compared: messages carry ages.

enum class Liveness { Live, Suspect, Gone };

/// One Vm's state as spread between peers. A higher incarnation wins; at the same one, Gone before Suspect before Live.
struct MemberUpdate
{
    VmName vm;
    std::uint64_t incarnation = 0;      // raised by the Vm itself, to deny a suspicion or after a restart
    Liveness liveness = Liveness::Live; //
    bool operator==(const MemberUpdate &) const = default;
};

/// What every message says of its sender.
struct PeerNews
{
    VmName vm;                         // the sender
    std::uint64_t incarnation = 0;     // of the sender's present life
    std::uint64_t revision = 0;        // of its snapshot; 0: it has none
    std::optional<Duration> freshAge;  // that snapshot held all that the store had this long ago; unset: never known
    std::uint64_t newestRevision = 0;  // newest revision that it has heard of
    std::uint64_t vmListRevision = 0;  // of its Vm list
    std::vector<MemberUpdate> updates; // at most MembershipOptions::updatesPerMessage, and one about the receiver
    bool operator==(const PeerNews &) const = default;
};

/// Answer to a ping.
struct PingAnswer
{
    PeerNews news;
    bool listsPinger = false;       // the sender's Vm list has the Vm that pinged
    std::uint64_t vmListDigest = 0; // of the names that reachAges is ordered by
    std::string reachAges;          // a byte per listed Vm in order of name: age in ageStep of its last proof of life; 255: too old
    bool operator==(const PingAnswer &) const = default;
};

struct FreshnessOptions
{
    Duration freshFor = std::chrono::seconds(5); // a snapshot's proof is used for this long
    Duration reachFor = std::chrono::seconds(5); // a proof of life counts towards a majority for this long
    std::uint32_t driftPerMille = 10;            // two Vms' clocks differ in speed by at most this, 0 to 100
};

struct MembershipOptions
{
    VmName self;                                             // required
    std::uint64_t incarnation = 1;                           // above that of this Vm's earlier lives, as far as it can know
    Duration probePeriod = std::chrono::milliseconds(1000);  // 100 ms to 1 min
    std::uint32_t probesPerPeriod = 3;                       // pings sent in each period, 1 to 20
    Duration directTimeout = std::chrono::milliseconds(300); // then other Vms are asked to ping it
    Duration probeTimeout = std::chrono::milliseconds(900);  // then it is suspect
    std::uint32_t relays = 3;                                // Vms asked, 0 to 10
    Duration suspicionTime = std::chrono::seconds(3);        // a suspect that doesn't deny it in time is gone
    std::uint32_t updatesPerMessage = 16;                    // 1 to 100
    std::uint32_t updateCopies = 3;                          // each update is sent this many times log2(Vms)
    Duration ageStep = std::chrono::milliseconds(25);        // unit of PingAnswer::reachAges, equal on all Vms
    FreshnessOptions freshness;
};

enum class FreshnessState {
    StoreConfirmed, // the store was heard lately, here or by a peer that this snapshot isn't behind
    Majority,       // the store is down for all that are reached, and these are a majority of the Vm list
    Stale,          // neither: refuse
    NotListed,      // this Vm is off the Vm list: refuse
};

/// A decision and how long it holds without further news. Request threads keep it and compare `until` with their clock.
struct Freshness
{
    FreshnessState state = FreshnessState::Stale;
    TimePoint until; // end of StoreHeard or Majority
    bool mayServe(TimePoint now) const;
    bool operator==(const Freshness &) const = default;
};

/// All that freshness depends on.
struct FreshnessEvidence
{
    std::uint64_t revision = 0;         // of the snapshot in force; 0: none
    std::uint64_t newestRevision = 0;   // newest that any Vm told of
    std::optional<TimePoint> freshAsOf; // the snapshot held all that the store had then
    bool isListed = false;              // this Vm is on the Vm list, and no peer with a newer list denied it
    std::size_t listedVms = 0;          // with this one
    std::vector<TimePoint> reachedAt;   // last proof of life of each other listed Vm that gave one
};

/// A majority is counted of the listed Vms, never of those reached: a part cut off from the rest can't be one.
Freshness decideFreshness(const FreshnessEvidence &evidence, const FreshnessOptions &options, TimePoint now);

struct SendPing
{
    std::uint64_t probe = 0; // hand back to onPingAnswer()
    VmName to;
    PeerNews news;
};

/// Ask `via` to ping `about`.
struct SendRelay
{
    std::uint64_t probe = 0; // hand back to onRelayAnswer()
    VmName via;
    VmName about;
    PeerNews news;
};

using MembershipAction = std::variant<SendPing, SendRelay>;

/// Counters since the start.
struct MembershipCounts
{
    std::uint64_t pings = 0;         // sent by this Vm's own choice
    std::uint64_t relays = 0;        // asked of others
    std::uint64_t suspicions = 0;    // begun here because a probe failed
    std::uint64_t denials = 0;       // own incarnation raised against a suspicion
    std::uint64_t staleMessages = 0; // from an earlier life of their sender
    std::uint64_t unknownLists = 0;  // reachAges dropped because they follow a Vm list that isn't known here
    bool operator==(const MembershipCounts &) const = default;
};

/// One Vm's view of the others: the Vm list joined with probes. Not thread-safe: one owner drives it.
///
/// Call setVms() with each new list, tick() every 50 ms or so, and do what it returns; hand each message that arrives to
/// the matching function. A lost message needs no call.
class Membership
{
public:
    Membership(const MembershipOptions &options, Generator generator, TimePoint now);

    // From the platform.
    void setVms(const std::vector<VmName> &vms, std::uint64_t revision, TimePoint now); // an older revision is ignored
    void setSnapshot(std::uint64_t revision);                                           // in force now; an older one is ignored
    void noteStoreAnswer(std::uint64_t revision, TimePoint askedAt);                    // its answer to a call begun at askedAt

    // Probes.
    std::vector<MembershipAction> tick(TimePoint now);
    PeerNews makeNews(const VmName &to, TimePoint now); // for a ping on another's behalf
    PingAnswer onPing(const PeerNews &news, TimePoint now);
    void onPingAnswer(std::uint64_t probe, const PingAnswer &answer, TimePoint askedAt, TimePoint now); // probe 0: on another's behalf
    void onRelayRequest(const PeerNews &news, TimePoint now);
    void onRelayAnswer(std::uint64_t probe, bool wasReached, TimePoint now);

    // The view.
    Liveness liveness(const VmName &vm) const;    // Gone when not listed
    std::size_t countOf(Liveness liveness) const; // over the other listed Vms
    Freshness freshness(TimePoint now) const;
    bool shouldAskStore(TimePoint now) const; // peers brought no proof for half of freshFor; ask at most once a second
    std::uint64_t newestRevision() const { return m_newestRevision; } // fetch it from a peer when above the one in force
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
    void absorb(const PeerNews &news, TimePoint now);
    void apply(const MemberUpdate &update, TimePoint now);
    void denySuspicion(const MemberUpdate &update);
    void spread(const MemberUpdate &update);
    std::vector<MemberUpdate> takeUpdates(const VmName &to);
    bool isStale(const PeerNews &news);
    void takeFreshness(const PeerNews &news, TimePoint askedAt);
    void takeReach(const PingAnswer &answer, TimePoint askedAt);
    void proveLife(const VmName &vm, TimePoint at);
    Duration withDrift(Duration age) const;

    MembershipOptions m_options;
    Generator m_generator;
    std::uint64_t m_incarnation = 0;
    std::map<VmName, Member> m_members;                        // other listed Vms
    std::map<std::uint64_t, std::vector<VmName>> m_knownLists; // by digest, sorted names
    std::vector<std::uint64_t> m_listOrder;                    // digests, newest last
    std::uint64_t m_vmListRevision = 0;
    std::uint64_t m_deniedAtRevision = 0; // a Vm list of this revision lacks this Vm
    bool m_isListed = false;
    std::uint64_t m_revision = 0;
    std::uint64_t m_newestRevision = 0;
    std::optional<TimePoint> m_freshAsOf;
    std::optional<TimePoint> m_aheadAsOf; // the store had m_aheadRevision, which isn't in force here
    std::uint64_t m_aheadRevision = 0;
    std::vector<VmName> m_order; // shuffled; each Vm is probed once a round
    std::map<std::uint64_t, ProbeState> m_probes;
    std::map<VmName, PendingUpdate> m_pending;
    std::uint64_t m_lastProbe = 0;
    TimePoint m_nextProbeAt;
    MembershipCounts m_counts;
};

//-----------------------------------------------------------------------------
// [7] Rate and burst across the fleet
//-----------------------------------------------------------------------------
// Object QuotaGrant/<account> divides the account's limits among holders; it changes by conditional update only. A Vm that
// is short of tokens borrows from holders over the inner protocol. At every moment the rates and bursts in hand, over all
// Vms and messages, add up to at most the account's limits, and tokens move but are never made. Hence no interval of length
// t sees more than burst + rate * t admissions.
//
// What the caller of QuotaLedger must provide:
// - A monotonic clock that also counts the time in which the Vm was paused (CLOCK_BOOTTIME), wrong by at most driftBound.
// - Every QuotaGrant and ClientAccount change in the order of the store's revisions, through the same feed.
// - FreshnessProved only by the rule of the configuration feed: after all changes up to the newest revision that was known
//   at `since` were handed in, or, with the store down for every Vm in reach, while a majority of the Vm list vouches for
//   this Vm. A Vm vouches only for Vms on its own list, which it must have read within the last second or, with the list
//   away, have kept since; and only for the newest incarnation it has heard of. A new process announces itself to a
//   majority before it passes its first proof on. The list must lag by less than `fence - freshTerm`.
// - VmListSeen at each reading of the list, about once a second, and before the first FreshnessProved.
// - Exactly one GrantWritten or GrantWriteFailed for each WriteGrant, one GrantSeen, GrantAbsent or GrantReadFailed for each
//   ReadGrant. QuotaGrant objects are never deleted.
// - One thread at a time for each ledger.

/// Incarnations that stand for no running process. Those of real ones are greater and grow with each start.
inline constexpr std::uint64_t unclaimedIncarnation = 0;   // of a share that nobody has ever used
inline constexpr std::uint64_t transferredIncarnation = 1; // of a share that came from another holder and awaits its new one

/// Durations and amounts. All Vms of a fleet must use equal ones.
struct QuotaOptions
{
    Duration loanTerm = std::chrono::seconds(1);            // longest term of a loan
    Duration tokenLoanTerm = std::chrono::milliseconds(60); // term of a loan without rate
    Duration answerWait = std::chrono::milliseconds(8);     // until the next peer is asked
    Duration admitWait = std::chrono::milliseconds(20);     // until a waiting request is refused
    Duration askPause = std::chrono::milliseconds(30);      // after all peers had nothing to lend; doubles up to 8 times
    Duration freshTerm = std::chrono::seconds(3);           // how long a proof of freshness holds
    Duration fence = std::chrono::seconds(8);               // before capacity that another Vm may still use is used or reclaimed
    Duration takeoverDelay = std::chrono::seconds(8);       // a restarted Vm's wait before it uses its share
    Duration listMemory = std::chrono::minutes(10);         // Vms off the list for less count when a majority is judged
    Duration listTerm = std::chrono::seconds(2);            // oldest reading of the list by which a share is reclaimed
    Duration writeDelay = std::chrono::milliseconds(500);   // between tries to write one grant
    Duration rankDelay = std::chrono::seconds(1);           // each further home's wait before it repairs a division
    Duration tickInterval = std::chrono::milliseconds(500); // between looks at accounts without waiting requests
    double driftBound = 0.001;                              // most that a clock gains or loses, as a share
    double rateLoanDemand = 20;                             // requests/s beyond the rate in hand from which rate is borrowed
    std::size_t waitingLimit = 256;                         // requests that wait at once, per account
    std::uint32_t asksPerRound = 4;                         // peers asked in a row
    auto operator<=>(const QuotaOptions &) const = default;
};

/// Names one ask for all time, so that messages that come twice or out of order do no harm.
struct AskId
{
    VmName borrower;
    std::uint64_t incarnation = 0; // of the borrower
    std::uint64_t sequence = 0;    // grows with each ask of that incarnation
    auto operator<=>(const AskId &) const = default;
};

/// Message from a borrower to a holder.
struct LoanAsk
{
    AskId id;
    AccountName account;
    double neededTokens = 0; // for requests that wait
    double wantedTokens = 0; // beyond these, for requests to come
    double wantedRate = 0;   // requests/s
    Duration term{0};        // counted by the borrower from before it asked
    auto operator<=>(const LoanAsk &) const = default;
};

/// Message from a holder to a borrower. All amounts are zero when there is nothing to lend.
struct LoanAnswer
{
    AskId id;
    AccountName account;
    Limits limits;        // lent rate and burst
    double tokens = 0;    // taken out of the lender's bucket, at most limits.burst
    Limits accountLimits; // the account's, as the lender knew them
    auto operator<=>(const LoanAnswer &) const = default;
};

using TicketId = std::uint64_t; // chosen by the caller of the ledger; names one request that awaits its decision

// Events: what happened.
// clang-format off
struct RequestArrived   { TicketId ticket = 0; AccountName account; auto operator<=>(const RequestArrived &) const = default; };
struct LimitsSeen       { AccountName account; std::optional<Limits> limits; auto operator<=>(const LimitsSeen &) const = default; };          // in force here from now on; nothing: no such account
struct GrantSeen        { AccountName account; std::uint64_t version = 0; QuotaGrant grant; bool operator==(const GrantSeen &) const = default; }; // from the feed or by a read
struct GrantAbsent      { AccountName account; auto operator<=>(const GrantAbsent &) const = default; };                                       // a read found no object
struct GrantReadFailed  { AccountName account; auto operator<=>(const GrantReadFailed &) const = default; };
struct GrantWritten     { AccountName account; std::uint64_t version = 0; auto operator<=>(const GrantWritten &) const = default; };           // the write took effect as this version
struct GrantWriteFailed { AccountName account; ErrorCode code = ErrorCode::Unavailable; auto operator<=>(const GrantWriteFailed &) const = default; }; // VersionConflict, Unavailable, OutcomeUnknown
struct LoanAsked        { LoanAsk ask; auto operator<=>(const LoanAsked &) const = default; };
struct LoanAnswered     { LoanAnswer answer; auto operator<=>(const LoanAnswered &) const = default; };
struct PeerReachable    { VmName vm; bool isReachable = true; auto operator<=>(const PeerReachable &) const = default; };                      // peer liveness; never a reason to reclaim
struct VmListSeen       { VmList list; bool operator==(const VmListSeen &) const = default; };
struct FreshnessProved  { TimePoint since; auto operator<=>(const FreshnessProved &) const = default; };                                       // start of the exchange that proved it
struct FreshnessDenied  { auto operator<=>(const FreshnessDenied &) const = default; };                                                        // stop now
struct LeaveStarted     { auto operator<=>(const LeaveStarted &) const = default; };                                                           // planned stop: hand the shares on
struct TimePassed       { auto operator<=>(const TimePassed &) const = default; };                                                             // at nextWake(), and at least each second
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

// Commands: what the caller of the ledger must do.
// clang-format off
struct AdmitRequest  { TicketId ticket = 0; auto operator<=>(const AdmitRequest &) const = default; };
struct RefuseRequest { TicketId ticket = 0; RefusalReason reason = RefusalReason::RateLimited; Duration retryAfter{0}; auto operator<=>(const RefuseRequest &) const = default; };
struct AskLoan       { VmName peer; LoanAsk ask; auto operator<=>(const AskLoan &) const = default; };
struct AnswerLoan    { VmName peer; LoanAnswer answer; auto operator<=>(const AnswerLoan &) const = default; };
struct WriteGrant    { AccountName account; QuotaGrant grant; std::optional<std::uint64_t> ifVersion; bool operator==(const WriteGrant &) const = default; }; // nothing: must not exist
struct ReadGrant     { AccountName account; auto operator<=>(const ReadGrant &) const = default; };
// clang-format on

using QuotaCommand = std::variant<AdmitRequest, RefuseRequest, AskLoan, AnswerLoan, WriteGrant, ReadGrant>;

/// Vms among which the account's limits are divided: 2 at least, one more for each 100 requests/s, 8 at most.
std::size_t homeCount(const Limits &limits);

/// What this Vm holds of one account. For metrics and status.
struct QuotaHolding
{
    Limits own;                     // usable part of the own share, after loans
    double ownTokens = 0;           // in its bucket
    Limits borrowed;                // sum of loans in use
    double borrowedTokens = 0;      // in their buckets
    Limits lent;                    // sum of loans given
    std::uint64_t grantVersion = 0; // of the grant in use; 0: none seen
    auto operator<=>(const QuotaHolding &) const = default;
};

struct QuotaRules;  // private; tests break single rules to show that they are needed
struct QuotaVm;     // private: what all accounts share
class QuotaAccount; // private: one account's state

/// Quota of one Vm for all its accounts. Each call appends commands; a request's decision comes as AdmitRequest or
/// RefuseRequest with its ticket, at once or after at most admitWait.
class QuotaLedger
{
public:
    /// `incarnation` must be greater than transferredIncarnation and than that of every earlier start on this Vm.
    QuotaLedger(const QuotaOptions &options, const VmName &self, std::uint64_t incarnation);
    QuotaLedger(const QuotaOptions &options, const VmName &self, std::uint64_t incarnation, const QuotaRules &rules); // for tests
    QuotaLedger(QuotaLedger &&other) noexcept;
    QuotaLedger &operator=(QuotaLedger &&other) noexcept;
    ~QuotaLedger();

    void handle(const QuotaEvent &event, TimePoint now, std::vector<QuotaCommand> &commands);
    std::optional<TimePoint> nextWake() const; // when TimePassed is due for a waiting request; nothing: none waits
    bool isFresh(TimePoint now) const;         // whether this Vm may admit
    QuotaHolding holding(const AccountName &account, TimePoint now) const;

private:
    QuotaAccount &account(const AccountName &name, TimePoint now);
    void seeVms(const VmList &list, TimePoint now);
    void proveFresh(TimePoint since, TimePoint now);

    std::unique_ptr<QuotaVm> m_vm;
    std::map<AccountName, std::unique_ptr<QuotaAccount>> m_accounts;
    std::set<AccountName> m_waiting; // accounts with requests that wait
};

//-----------------------------------------------------------------------------
// [8] Balancing of one service
//-----------------------------------------------------------------------------
// Gray targets answer their health checks, so only the outcomes of requests count. A target that fails without working on
// the request is paused after one such failure; a failure that took as long as an answer may be the request's own, so only
// several in a row count. A target that failed is tried with requests that may be repeated, by the Vm that saw it fail.

/// How one attempt at a target ended.
enum class AttemptEnd {
    Answered,    // with a whole answer
    Failed,      // with a failure of its own, an answer cut off, or bytes that are no answer
    Declined,    // it said that it did not run the request
    Misdirected, // another target has the address
    Unreachable, // no connection
    Silent,      // no answer in time
    Abandoned,   // the caller left: no evidence
};

struct BalancerOptions
{
    Duration firstPause = std::chrono::milliseconds(2000);   // without work after a failure
    Duration longestPause = std::chrono::milliseconds(5000); // after failures in a row, each pause is longer by half
    double avoidFactor = 2.5;                                // of a pause: for so long the target gets work only when no other has room
    Duration retryableOnlyPeriod = std::chrono::seconds(5);  // then: it may prove itself by requests that may be repeated, before others
    Duration observerLead = std::chrono::milliseconds(1000); // the Vm that saw it fail tries it so much earlier than the others
    double workedShare = 0.1;                                // of the usual latency: a failure that took longer was worked on
    std::uint32_t workedFailures = 2;                        // in a row, after which such failures count as the target's
    Duration declinePause = std::chrono::milliseconds(150);  // after a target declined: its queue is full
    Duration firstLatency = std::chrono::milliseconds(200);  // assumed before anything is known of a service
    Duration memory = std::chrono::seconds(5);               // half-life of a target's own latency towards that of its service
    Duration newsTerm = std::chrono::milliseconds(1500);     // other Vms' news count for so long
    double staleFactor = 4;                                  // a request open for so many usual latencies marks its target doubtful
    double distanceFactor = 2.5;                             // a target in another failure domain counts as so much slower
    double coldFactor = 2;                                   // a target that warms up counts as so much slower
    std::uint32_t candidates = 3;                            // of other failure domains, drawn at random for each choice
    std::uint32_t floorPercent = 50;                         // of the serving targets stay in the choice whatever their failures
    std::uint32_t avoidanceFloorPercent = 75; // of the serving targets get work although they failed lately, the oldest failures first
    std::uint32_t strainedFloorPercent = 85;  // the same of those that are avoided, while the service refuses many requests
    double strainedShare = 0.05;              // of requests refused, from which on it does; the platform counts from 0.1, failures too
    Duration strainMemory = std::chrono::milliseconds(1500); // half-life of what is known of requests refused
    std::uint32_t pathWitnesses = 2;                         // other Vms that must miss a target before it is paused here
    auto operator<=>(const BalancerOptions &) const = default;
};

/// What one Vm tells the others of one target.
struct TargetObservation
{
    TargetName target;
    std::uint32_t inFlight = 0;   // requests of that Vm that it works on
    std::uint32_t failures = 0;   // in a row
    Duration failurePause{0};     // left of a pause because of failures
    Duration avoidance{0};        // left of the time after them in which others don't trust it with what may run once only
    Duration unreachablePause{0}; // left of a pause because it can't be reached or is silent, which may be the Vm's own fault
    auto operator<=>(const TargetObservation &) const = default;
};

/// A pause that began, for logs.
struct TargetPause
{
    TargetName target;
    AttemptEnd cause = AttemptEnd::Failed;
    Duration length{0};
    std::uint32_t failures = 0; // in a row
};

struct ChoiceRequest
{
    std::span<const TargetName> tried; // not again, unless no other is left
    FailureDomain local;               // of this Vm
    std::uint32_t overcommit = 0;      // requests beyond its slots that a target may hold
    std::uint32_t limit = 1000;        // requests of this Vm at one target
    bool isRetryable = true;           // it may be sent again after a failure
};

/// Chooses targets of one service and learns from how attempts end.
class ServiceBalancer
{
public:
    explicit ServiceBalancer(BalancerOptions options = {});

    void setTargets(const std::vector<Target> &targets, TimePoint now); // keeps what is known of those that stay
    void applyObservations(const VmName &vm,
                           const std::vector<TargetObservation> &news,
                           bool isWhole,
                           TimePoint now);                            // whole: replaces all earlier of that Vm
    std::vector<TargetObservation> observations(TimePoint now) const; // of targets with work or a pause

    /// Takes a place at the target chosen. Nothing: none has a free slot.
    std::optional<Target> choose(const ChoiceRequest &request, TimePoint now, Generator &generator);
    /// `route`: latencies of one route are compared with each other only, since routes differ in their work.
    std::optional<TargetPause>
    end(const TargetName &target, AttemptEnd end, Duration latency, TimePoint startedAt, TimePoint now, const RouteName &route = {});

    /// Whether a request for the service was refused by this Vm, for whatever reason. While many are, targets that failed lately
    /// get work again, but for a few, so that those left don't carry it all. Failures don't count: they would bring more.
    void noteRequest(bool isRefused, TimePoint now);

    Duration usualLatency() const;                            // of whole answers
    std::uint32_t inFlightAt(const TargetName &target) const; // requests of this Vm
    std::uint32_t freeSlots(TimePoint now) const;             // of targets that may get work
    std::uint32_t usableSlots(TimePoint now) const;           // the same with those taken
    bool hasServingTarget() const;

private:
    struct Remote
    {
        std::uint32_t inFlight = 0;
        TimePoint failureUntil;
        TimePoint distrustUntil;
        TimePoint unreachableUntil;
        TimePoint expiresAt;
    };
    struct Member
    {
        Target target;
        TimePoint warmUntil;
        std::vector<TimePoint> open; // start of each request of this Vm
        std::map<VmName, Remote> remotes;
        TimePoint failureUntil;
        TimePoint avoidUntil;
        TimePoint unreachableUntil;
        TimePoint declinedUntil;
        std::uint32_t failures = 0;       // in a row
        std::uint32_t workedFailures = 0; // in a row, that were worked on
        bool isOnTrial = false;           // one request at a time until one is answered
        double slowness = 0;              // moving average over whole answers: latency over that of the route; 0: unknown
        TimePoint answeredAt;             // of the newest of them
    };

    // Until when a target may be paused, or avoided, and get work all the same.
    struct Floors
    {
        TimePoint paused;
        TimePoint avoided;
    };

    const Member *find(const TargetName &name) const;
    Member *find(const TargetName &name);
    std::uint32_t inFlight(const Member &member, TimePoint now) const;
    TimePoint pausedUntil(const Member &member, TimePoint now) const;
    bool isDoubtful(const Member &member, TimePoint now) const;
    bool hasRoom(const Member &member, const ChoiceRequest &request, TimePoint now) const;
    double expectedLatency(const Member &member, TimePoint now) const;
    double score(const Member &member, const ChoiceRequest &request, TimePoint now) const;
    template<typename Until>
    TimePoint floorOf(std::uint32_t percent, TimePoint now, const Until &until) const;
    TimePoint pauseFloor(TimePoint now) const;
    TimePoint avoidedUntil(const Member &member, const ChoiceRequest &request) const;
    TimePoint avoidanceFloor(const ChoiceRequest &request, TimePoint now) const;
    double fading(TimePoint now) const;
    bool isStrained(TimePoint now) const;
    bool noteFailure(Member &member, Duration latency) const; // true: it is the target's, not the request's own
    void noteLatency(Member &member, Duration latency, const RouteName &route);
    std::vector<Member *> candidates(const ChoiceRequest &request, TimePoint now, const Floors &floors, bool takesAvoided);
    std::uint32_t sumSlots(TimePoint now, bool countsTaken) const;
    Member &pick(const std::vector<Member *> &found, const ChoiceRequest &request, TimePoint now, Generator &generator) const;
    void startPause(Member &member, TimePoint &until, TimePoint now);
    Duration longestDistrust() const;

    BalancerOptions m_options;
    std::vector<Member> m_members;
    double m_latency = 0;                         // moving average over all targets, ns; 0: unknown
    std::map<RouteName, double> m_routeLatencies; // the same of each route
    double m_requests = 0;                        // lately, with fading weight; m_refused of them were refused
    double m_refused = 0;
    TimePoint m_countedAt;
};

//-----------------------------------------------------------------------------
// [9] Repeats of one service
//-----------------------------------------------------------------------------

/// Of a service, over all Vms together.
struct RetryBudgetOptions
{
    double ratio = 0.2;                         // repeats for each first request in a window
    double reserve = 10;                        // repeats in a window besides
    Duration window = std::chrono::seconds(10); //
    auto operator<=>(const RetryBudgetOptions &) const = default;
};

/// One Vm's part of the budget. In any window the repeats of all Vms stay within ratio * requests + reserve, also when every
/// Vm restarts once within it.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    void setShare(double share);      // of the reserve, that this Vm may use; 0 to 1
    void noteRequest(TimePoint now);  // a first request
    bool takeRetry(TimePoint now);    // false: none left
    double left(TimePoint now) const; // repeats that may follow now

private:
    static constexpr std::size_t stepCount = 20; // of a window

    struct Step
    {
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    void advance(TimePoint now);

    RetryBudgetOptions m_options;
    double m_share = 1;
    std::array<Step, stepCount> m_steps; // ring; m_newest is the present one
    std::size_t m_newest = 0;
    std::optional<TimePoint> m_startedAt; // of the first step
    TimePoint m_stepAt;                   // start of the present step
};

//-----------------------------------------------------------------------------
// [10] Seats
//-----------------------------------------------------------------------------
// Callers are sent to a part of the Vms, the seat holders: these see enough requests to judge targets, and hold the tokens
// of all accounts in equal shares. Among Vms of one size earlier registrations keep their seats, so that a new Vm moves
// nobody's tokens.

struct RegisteredVm
{
    VmName name;
    FailureDomain failureDomain;
    std::uint64_t registeredAt = 0; // store revision of the registration
    std::uint32_t millicores = 0;   // of processor, that the Vm may use
    auto operator<=>(const RegisteredVm &) const = default;
};

/// In turn over failure domains; in each the strongest Vms first, then the earliest. At least 8 seats and 2 for each failure
/// domain; in a fleet of more than 64 Vms, so many that their holders have a fifth of its processors.
std::vector<VmName> assignSeats(std::vector<RegisteredVm> vms);

//-----------------------------------------------------------------------------
// [11] Tokens of an account
//-----------------------------------------------------------------------------
// Some seat holders, the homes of an account, refill equal shares of its rate into buckets of their own. A Vm without a token
// asks homes for one of theirs. Tokens move and are never made, so no cut, pause, crash or lost message lets the fleet
// admit more than the rate and burst; a lost answer only loses its token.

struct QuotaPoolOptions
{
    double rateFactor = 1.05;                          // of the account's rate and burst; the platform tolerates 1.1
    double extraBurst = 8;                             // tokens over all homes beyond the burst; the platform tolerates 20
    double leastBurst = 1.5;                           // of one home: an account of small burst has fewer homes
    double firstTokens = 0.5;                          // for each home, when all processes start: whole ones, at as many of the homes
    Duration askPause = std::chrono::milliseconds(60); // after no seat holder had a token
    auto operator<=>(const QuotaPoolOptions &) const = default;
};

enum class QuotaDecision {
    Admit,  // a token was taken
    Ask,    // none is here: another seat holder may have one
    Refuse, // none is here, and lately nobody had one
};

class QuotaPool
{
public:
    explicit QuotaPool(QuotaPoolOptions options = {});

    void setSeats(const VmName &self, std::vector<VmName> holders, TimePoint now); // equal on all Vms, by assignSeats()
    std::vector<VmName> homes(const AccountName &account, const Limits &limits) const;
    void addAccount(const AccountName &account, const Limits &limits, TimePoint now); // its tokens refill from now on
    QuotaDecision decide(const AccountName &account, const Limits &limits, TimePoint now);
    bool lend(const AccountName &account, const Limits &limits, TimePoint now); // true: one token was taken out for another Vm
    void noteBorrowFailed(const AccountName &account, TimePoint now);
    Duration retryAfter(const AccountName &account, const Limits &limits, TimePoint now) const; // until tokens are expected

private:
    struct Account
    {
        TokenBucket bucket;
        Limits limits;              // of the account, from which the bucket's follow
        std::uint64_t seatsVersion; // at which the bucket's limits were set
        TimePoint askAgainAt;
        bool hasFirstTokens = false; // given once, as soon as the homes are known
    };

    Limits share(const AccountName &name, const Limits &limits) const;
    Account makeAccount(const AccountName &name, const Limits &limits, TimePoint now) const;
    Account &account(const AccountName &name, const Limits &limits, TimePoint now);

    QuotaPoolOptions m_options;
    VmName m_self;
    std::vector<VmName> m_holders;
    std::uint64_t m_seatsVersion = 0;
    std::map<AccountName, Account> m_accounts;
};

//-----------------------------------------------------------------------------
// [12] Roster of targets
//-----------------------------------------------------------------------------

/// A target as it registered itself with the platform.
struct RosterEntry
{
    ServiceName service;
    Target target;
    auto operator<=>(const RosterEntry &) const = default;
};

/// Which targets there are, by what the platform's store says. Registrations lapse while the store is away although their
/// targets live; such a target stays until the store has been back for a while. Where other Vms had the store all the while,
/// only this Vm was cut off: no registration lapsed, and what is gone is gone at once.
class TargetRoster
{
public:
    static constexpr Duration longOutage = std::chrono::milliseconds(1500);  // a shorter one lets no registration lapse
    static constexpr Duration returnGrace = std::chrono::milliseconds(2200); // registrations are back 2 s after the store is

    void replaceAll(std::vector<RosterEntry> entries, TimePoint now); // a list from the store
    void put(RosterEntry entry, TimePoint now);
    void remove(const TargetName &name, TimePoint now);
    void noteStoreUnreachable(TimePoint now); // a call failed
    void noteStoreReachable(TimePoint now);   // a call was answered
    void noteLocalOutage(TimePoint now);      // the outage that ended was this Vm's alone
    bool isInGracePeriod(TimePoint now) const { return now < m_graceUntil; }
    std::optional<TimePoint> outageStartedAt() const { return m_lostAt; } // start of the present outage

    std::map<ServiceName, std::vector<Target>> targets(TimePoint now); // drops those whose grace is over
    std::optional<TimePoint> nextRemoval() const;                      // when targets() changes without another call

private:
    struct Kept
    {
        RosterEntry entry;
        std::optional<TimePoint> dropAt; // its registration is gone
    };

    TimePoint dropTime(TimePoint now) const;

    std::map<TargetName, Kept> m_entries;
    std::optional<TimePoint> m_lostAt;
    TimePoint m_graceUntil;
};

} // namespace Pollenspoke
