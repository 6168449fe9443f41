/// @file
/// One account's quota state on one Vm: its share and the loans given from it, the loans taken, the waiting requests, and writes
/// of the QuotaGrant object.
#pragma once

#include "quota_rules.h"
#include <deque>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

/// State of one Vm that is common to all accounts.
struct QuotaVm
{
    QuotaOptions options;
    VmName self;
    std::uint64_t incarnation = 0;
    QuotaRules rules;
    std::optional<TimePoint> freshUntil;     // expiry of the latest FreshnessProved
    std::uint64_t freshnessLapses = 0;       // number of times that freshness was regained after an expiry
    std::uint64_t nextSequence = 1;          // of the next loan request
    std::vector<VmEntry> vms;                // latest Vm list
    std::map<VmName, TimePoint> absentSince; // when a Vm was first missing from the list
    std::set<VmName> unreachable;            // peers that currently don't answer
    TimePoint listReadAt;                    // time of the latest VmListSeen
    bool isListed = false;                   // this Vm is on the list
    bool isLeaving = false;                  // a planned shutdown has started
    std::optional<TimePoint> lastFullTick;   // last time that all accounts were updated

    bool isFresh(TimePoint now) const;
    bool isLive(const VmName &vm) const; // on the Vm list and not leaving
    bool isGone(const VmName &vm, Duration extra, TimePoint now) const;
    std::size_t rank(const AccountName &account, const VmName &vm) const; // position among the live Vms by homeScore(); 0: highest
    std::vector<VmName> homes(const AccountName &account, std::size_t count) const;
};

/// Arithmetic on limits; rate and burst are treated separately.
Limits sumOf(const QuotaGrant &grant);
Limits lowerOf(const Limits &left, const Limits &right);
Limits higherOf(const Limits &left, const Limits &right);
Limits scaledTo(const Limits &part, const Limits &limits, const Limits &whole); // part * min(1, limits / whole)
bool isAnyBelow(const Limits &left, const Limits &right);

class QuotaAccount
{
public:
    QuotaAccount(QuotaVm &vm, const AccountName &name, TimePoint now);

    using Commands = std::vector<QuotaCommand>;
    void onRequest(TicketId ticket, TimePoint now, Commands &commands);
    void setLimits(const std::optional<Limits> &limits, TimePoint now, Commands &commands);
    void applyGrant(std::uint64_t version, const QuotaGrant &grant, TimePoint now, Commands &commands);
    void onGrantAbsent(TimePoint now, Commands &commands);
    void onReadFailed(TimePoint now);
    void onWritten(std::uint64_t version, TimePoint now, Commands &commands);
    void onWriteFailed(ErrorCode code, TimePoint now, Commands &commands);
    void onLoanAsk(const LoanAsk &ask, TimePoint now, Commands &commands);
    void onLoanAnswer(const LoanAnswer &answer, TimePoint now, Commands &commands);
    void onTick(TimePoint now, Commands &commands);

    std::vector<VmName> holders() const;
    bool hasWaiting() const { return !m_waiting.empty(); }
    std::optional<TimePoint> nextWake() const;
    QuotaHolding holding(TimePoint now) const;

private:
    struct Waiting
    {
        TicketId ticket = 0;
        TimePoint deadline;
    };
    struct LentLoan
    {
        LoanAnswer answer;
        TimePoint until;
    };
    struct BorrowedLoan
    {
        Limits limits;
        Limits accountLimits;
        TokenBucket bucket;
        TimePoint until;
    };
    struct PendingAsk
    {
        LoanAsk ask;
        TimePoint waitUntil; // then the next peer is asked
        TimePoint until;     // an answer after that is ignored
        bool isAnswered = false;
    };
    struct PendingWrite
    {
        QuotaGrant grant;
        bool startsFull = false; // creates the grant or claims a share that was never used
        bool isTakeover = false; // claims the share of an earlier incarnation of this Vm
        bool needsRead = false;  // outcome unknown; read the object to find out
    };
    struct Division
    {
        PendingWrite write;
        std::optional<std::uint64_t> ifVersion;
    };

    // Admission (quota_account.cpp)
    void refresh(TimePoint now);
    void resetAfterLapse(TimePoint now);
    void dropExpired(TimePoint now);
    void activateShare(TimePoint now);
    void applyLimits(TimePoint now);
    Limits scaledShare() const; // usable share of this Vm, before loans
    Limits ownLimits() const;   // usable share, less the loans given
    double availableTokens(TimePoint now) const;
    double availableRate() const;
    bool takeToken(TimePoint now);
    void processQueue(TimePoint now, Commands &commands);
    void refuseExpired(TimePoint now, Commands &commands);
    void refuseUnservable(TimePoint now, Commands &commands);
    void refuse(TicketId ticket, RefusalReason reason, TimePoint now, Commands &commands) const;
    void recordDemand(TimePoint now);
    double demand(TimePoint now) const;

    // Loans (quota_loan.cpp)
    void maybeAskLoan(TimePoint now, Commands &commands);
    bool isAskOpen(TimePoint now) const;
    std::vector<VmName> lenders() const;
    LoanAsk makeAsk(TimePoint now);
    LoanAnswer lend(const LoanAsk &ask, TimePoint now);

    // Grant updates (quota_division.cpp)
    void maybeWriteGrant(TimePoint now, Commands &commands);
    std::optional<Division> nextDivision(TimePoint now);
    std::optional<Division> createDivision() const;
    std::optional<Division> claimDivision() const;
    std::optional<Division> leaveDivision() const;
    std::optional<Division> reclaimDivision(TimePoint now) const;
    std::optional<Division> raiseDivision(TimePoint now);
    std::optional<QuotaGrant> transferShare(const VmName &from) const;
    const QuotaShare *findShare(const VmName &holder) const;
    Limits claimedShare(const QuotaGrant &grant) const;
    bool confirmsWrite(const QuotaGrant &grant) const;

    QuotaVm &m_vm;
    AccountName m_name;
    std::optional<Limits> m_limits; // currently in force; unset: no such account
    std::uint64_t m_version = 0;    // of m_grant; 0: none received
    QuotaGrant m_grant;
    Limits m_usableShare;                // part of this Vm's share that no former holder can still use
    Limits m_usableSum;                  // sum of all shares, for scaling to lowered limits
    std::optional<TimePoint> m_usableAt; // when the rest of the share becomes usable
    TokenBucket m_bucket;                // of this Vm's share
    std::uint64_t m_freshnessLapses = 0; // QuotaVm::freshnessLapses at the last refresh()
    std::vector<LentLoan> m_lent;
    std::vector<BorrowedLoan> m_borrowed;
    std::vector<PendingAsk> m_asks;
    std::deque<Waiting> m_waiting;
    std::size_t m_nextLender = 0;
    std::uint32_t m_asksInRound = 0;
    int m_failedRounds = 0; // consecutive rounds without a loan
    TimePoint m_nextRoundAt;
    std::optional<PendingWrite> m_write;
    bool m_isReading = false;
    TimePoint m_nextWriteAt;
    std::optional<TimePoint> m_undividedSince; // when the shares first added up to less than the limits
    TimePoint m_refreshedAt;
    double m_demand = 0; // requests/s, exponentially decaying average
    TimePoint m_demandAt;
};

} // namespace Pollenspoke
