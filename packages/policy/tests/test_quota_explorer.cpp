// Explores random faults on the quota ledgers. Further tests break one rule each and check that the exploration detects it.
#include "quota_fleet.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <thread>

using namespace Pollenspoke;

namespace {

constexpr std::uint64_t runCount = 100000;
constexpr std::uint64_t restorationInterval = 10; // one in this many runs also checks restoration
constexpr std::uint64_t brokenRuleRunLimit = 20000;
constexpr unsigned maxThreads = 4;

struct ExplorationResult
{
    QuotaFleetCounts counts;
    std::optional<std::uint64_t> limitExceededSeed; // lowest at which the limits were exceeded
    double limitExceededAt = 0;
    std::optional<std::uint64_t> unrestoredSeed; // lowest at which capacity was not restored
    std::string capacityAtUnrestoredSeed;
};

void recordResult(ExplorationResult &exploration, std::uint64_t seed, const QuotaFleetResult &result)
{
    exploration.counts.add(result.counts);
    if (result.limitExceededAt && seed < exploration.limitExceededSeed.value_or(UINT64_MAX)) {
        exploration.limitExceededSeed = seed;
        exploration.limitExceededAt = *result.limitExceededAt;
    }
    if (result.unrestoredCapacity && seed < exploration.unrestoredSeed.value_or(UINT64_MAX)) {
        exploration.unrestoredSeed = seed;
        exploration.capacityAtUnrestoredSeed = *result.unrestoredCapacity;
    }
}

// Runs seeds 1 to `runs` on a few threads; each run depends on its seed only.
ExplorationResult exploreSeeds(std::uint64_t runs)
{
    const unsigned threads = std::clamp(std::thread::hardware_concurrency(), 1U, maxThreads);
    ExplorationResult exploration;
    std::mutex mutex;
    std::vector<std::thread> pool;
    for (unsigned i = 0; i < threads; ++i) {
        pool.emplace_back([&, i] {
            ExplorationResult threadResult;
            for (std::uint64_t seed = 1 + i; seed <= runs; seed += threads) {
                const QuotaFleetResult result = runQuotaFleet({.seed = seed, .checksRestoration = seed % restorationInterval == 0});
                const std::lock_guard lock(mutex);
                recordResult(exploration, seed, result);
            }
        });
    }
    for (std::thread &it : pool) {
        it.join();
    }
    return exploration;
}

// The first seed at which ledgers with a broken rule exceed the limits.
std::optional<std::uint64_t> findViolatingSeed(const QuotaRules &rules)
{
    for (std::uint64_t seed = 1; seed <= brokenRuleRunLimit; ++seed) {
        if (runQuotaFleet({.seed = seed, .rules = rules, .checksRestoration = false}).limitExceededAt) {
            return seed;
        }
    }
    return std::nullopt;
}

void requireViolation(const QuotaRules &rules)
{
    const std::optional<std::uint64_t> seed = findViolatingSeed(rules);
    BOOST_REQUIRE(seed.has_value());
    BOOST_TEST_MESSAGE("detected at seed " << *seed);
}

} // namespace

BOOST_AUTO_TEST_CASE(no_simulated_run_exceeds_the_limits_or_loses_capacity)
{
    const ExplorationResult exploration = exploreSeeds(runCount);
    const QuotaFleetCounts &counts = exploration.counts;
    BOOST_TEST_MESSAGE("runs " << counts.runs << ", admitted " << counts.admitted << ", refused " << counts.refused << ", loans "
                               << counts.loans << ", lost messages " << counts.lostMessages << ", duplicates " << counts.duplicates
                               << ", writes " << counts.writes << ", conflicts " << counts.conflicts << ", lost write answers "
                               << counts.lostWriteAnswers << ", pauses " << counts.pauses << ", crashes " << counts.crashes
                               << ", replacements " << counts.replacements << ", leaves " << counts.leaves << ", store outages "
                               << counts.storeOutages << ", cuts " << counts.cuts << ", list drops " << counts.listDrops
                               << ", limit changes " << counts.limitChanges << ", majority proofs " << counts.majorityProofs);
    BOOST_TEST(counts.runs == runCount);
    BOOST_TEST(!exploration.limitExceededSeed.has_value(),
               "limits exceeded at seed " << exploration.limitExceededSeed.value_or(0) << " after " << exploration.limitExceededAt << " s");
    BOOST_TEST(!exploration.unrestoredSeed.has_value(),
               "capacity not restored at seed " << exploration.unrestoredSeed.value_or(0) << ": " << exploration.capacityAtUnrestoredSeed);
    for (const std::uint64_t it : {counts.admitted,
                                   counts.refused,
                                   counts.loans,
                                   counts.lostMessages,
                                   counts.duplicates,
                                   counts.conflicts,
                                   counts.lostWriteAnswers,
                                   counts.pauses,
                                   counts.crashes,
                                   counts.replacements,
                                   counts.leaves,
                                   counts.storeOutages,
                                   counts.cuts,
                                   counts.listDrops,
                                   counts.limitChanges,
                                   counts.majorityProofs}) {
        BOOST_TEST(it > runCount / 10);
    }
}

BOOST_AUTO_TEST_CASE(detects_a_loan_term_counted_from_the_answer)
{
    requireViolation({.countsTermFromAnswer = true});
}

BOOST_AUTO_TEST_CASE(detects_a_reclaim_without_the_fence)
{
    requireViolation({.reclaimsWithoutFence = true});
}

BOOST_AUTO_TEST_CASE(detects_returned_capacity_with_a_full_bucket)
{
    requireViolation({.returnsFull = true});
}

BOOST_AUTO_TEST_CASE(detects_a_duplicate_answer_counted_twice)
{
    requireViolation({.acceptsDuplicates = true});
}

BOOST_AUTO_TEST_CASE(detects_admission_without_freshness)
{
    requireViolation({.ignoresFreshness = true});
}

BOOST_AUTO_TEST_CASE(detects_a_takeover_without_delay)
{
    requireViolation({.takesOverAtOnce = true});
}

BOOST_AUTO_TEST_CASE(detects_an_ignored_lowered_limit)
{
    requireViolation({.ignoresLoweredLimits = true});
}

BOOST_AUTO_TEST_CASE(detects_a_loan_restored_early)
{
    requireViolation({.restoresLoansEarly = true});
}
