/// @file
/// Faults that tests inject into the quota ledger. Each disables one safety rule, to prove that the explorer test detects the
/// violation that the rule prevents.
#pragma once

#include <compare>

namespace Pollenspoke {

/// All false in production.
struct QuotaRules
{
    bool countsTermFromAnswer = false; // a borrower counts a loan's term from the answer instead of from its request
    bool reclaimsWithoutFence = false; // the share of a Vm that left the list is reclaimed and used without waiting
    bool returnsFull = false;          // returned capacity comes with a full bucket
    bool acceptsDuplicates = false;    // a duplicated answer is applied twice
    bool ignoresFreshness = false;     // a Vm admits requests although its freshness has expired
    bool takesOverAtOnce = false;      // a restarted Vm uses its share without waiting
    bool ignoresLoweredLimits = false; // shares are not scaled down when the limits are lowered
    bool restoresLoansEarly = false;   // a lender takes a loan back after half its term, without the drift margin
    auto operator<=>(const QuotaRules &) const = default;
};

} // namespace Pollenspoke
