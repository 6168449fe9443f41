/// @file
/// Simulates a few quota ledgers, a store, a Vm list and the messages between them in virtual time, with random faults that
/// follow from one seed. Each admission is checked against the account's limits over every interval of true time that ends with it.
#pragma once

#include "quota_rules.h"
#include <optional>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

/// Event counters, so that a test can verify that its runs exercised each kind of event.
struct QuotaFleetCounts
{
    std::uint64_t runs = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t loans = 0;
    std::uint64_t lostMessages = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t lostWriteAnswers = 0;
    std::uint64_t pauses = 0;
    std::uint64_t crashes = 0;
    std::uint64_t replacements = 0;
    std::uint64_t leaves = 0;
    std::uint64_t storeOutages = 0;
    std::uint64_t cuts = 0;
    std::uint64_t listDrops = 0;
    std::uint64_t limitChanges = 0;
    std::uint64_t majorityProofs = 0;

    void add(const QuotaFleetCounts &other);
};

/// Outcome of one run.
struct QuotaFleetResult
{
    std::optional<double> limitExceededAt;         // virtual time in s of the first admission beyond the limits
    std::optional<std::string> unrestoredCapacity; // held capacity, if it was below the limits after the faults had ended
    QuotaFleetCounts counts;
};

struct QuotaFleetOptions
{
    std::uint64_t seed = 1;
    QuotaRules rules;
    bool checksRestoration = true; // after the faults, check that all capacity is in use again
};

QuotaFleetResult runQuotaFleet(const QuotaFleetOptions &options);

} // namespace Pollenspoke
