// Which Vms of a partitioned fleet have a fresh enough snapshot to serve, in virtual time.
#include "fake_fleet.h"

#include <boost/test/unit_test.hpp>
#include <numeric>
#include <set>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

// Proofs of freshness and of life last 5 s; this adds clock drift and a message in flight, and stays below the fence of 10 s.
constexpr Duration proofExpiryTime = 6s;

struct Partition
{
    std::vector<std::size_t> groupOf;
    std::vector<bool> isStoreReachable; // by group
};

Partition randomPartition(std::size_t vms, Generator &generator)
{
    const auto groups = std::uniform_int_distribution<std::size_t>(2, 4)(generator);
    Partition partition{.groupOf = std::vector<std::size_t>(vms), .isStoreReachable = std::vector<bool>(groups)};
    // Uneven group sizes, so that both very small and large groups occur.
    const double firstGroupShare = std::uniform_real_distribution<double>(0.1, 0.95)(generator);
    for (std::size_t &it : partition.groupOf) {
        const bool isFirst = std::bernoulli_distribution(firstGroupShare)(generator);
        it = isFirst ? 0 : std::uniform_int_distribution<std::size_t>(1, groups - 1)(generator);
    }
    const bool isStoreDown = std::bernoulli_distribution(0.5)(generator);
    for (std::size_t i = 0; i < groups && !isStoreDown; ++i) {
        partition.isStoreReachable[i] = std::bernoulli_distribution(0.4)(generator);
    }
    return partition;
}

void applyPartition(FakeFleet &fleet, const Partition &partition)
{
    fleet.setLinkDown([partition](std::size_t from, std::size_t to) { return partition.groupOf[from] != partition.groupOf[to]; });
    fleet.setStoreReachable([partition](std::size_t vm) { return partition.isStoreReachable[partition.groupOf[vm]]; });
}

std::size_t groupSize(const Partition &partition, std::size_t group)
{
    return static_cast<std::size_t>(std::count(partition.groupOf.begin(), partition.groupOf.end(), group));
}

// Each Vm that serves is in a group that reaches the store, or in the only group that is a majority of the Vm list.
void checkServing(FakeFleet &fleet, const Partition &partition, std::uint64_t seed)
{
    std::set<std::size_t> majorityGroups;
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
        if (!fleet.mayServe(vm)) {
            continue;
        }
        const std::size_t group = partition.groupOf[vm];
        if (fleet.freshness(vm).state == FreshnessState::StoreConfirmed) {
            BOOST_TEST(partition.isStoreReachable[group],
                       "seed " << seed << ", Vm " << vm << " serves by a store that its group cannot reach");
            continue;
        }
        majorityGroups.insert(group);
        BOOST_TEST(groupSize(partition, group) > fleet.size() / 2,
                   "seed " << seed << ", Vm " << vm << " serves without the store in a minority");
    }
    BOOST_TEST(majorityGroups.size() <= 1U, "seed " << seed);
}

// Guards against needless refusals: a group that reaches the store or is a majority must serve.
void checkNoNeedlessStop(FakeFleet &fleet, const Partition &partition, std::uint64_t seed)
{
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
        const std::size_t group = partition.groupOf[vm];
        if (partition.isStoreReachable[group] || groupSize(partition, group) > fleet.size() / 2) {
            BOOST_TEST(fleet.mayServe(vm), "seed " << seed << ", Vm " << vm << " stopped serving");
        }
    }
}

std::size_t countServing(FakeFleet &fleet)
{
    std::size_t count = 0;
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
        count += fleet.mayServe(vm) ? 1 : 0;
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_CASE(in_any_partition_only_one_majority_and_groups_that_reach_the_store_serve)
{
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        Generator generator(seed);
        const std::size_t vms = seed % 3 == 0 ? 40 : 5 + seed % 6;
        const double loss = seed % 2 == 0 ? 0.05 : 0;
        FakeFleet fleet({.vms = vms, .seed = seed, .loss = loss});
        fleet.run(4s);
        BOOST_TEST(countServing(fleet) == vms, "seed " << seed);
        for (int i = 0; i < 2; ++i) {
            const Partition partition = randomPartition(vms, generator);
            applyPartition(fleet, partition);
            fleet.run(proofExpiryTime);
            fleet.setStoreRevision(seed + static_cast<std::uint64_t>(i) + 1);
            for (int step = 0; step < 12; ++step) {
                fleet.run(500ms);
                checkServing(fleet, partition, seed);
            }
            if (loss == 0) {
                checkNoNeedlessStop(fleet, partition, seed);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(two_isolated_vms_stop_serving_and_the_rest_continue)
{
    for (const std::size_t vms : {8U, 40U, 460U}) {
        FakeFleet fleet({.vms = vms, .seed = 1});
        fleet.run(4s);
        Partition partition{.groupOf = std::vector<std::size_t>(vms), .isStoreReachable = {false, false}};
        partition.groupOf[0] = partition.groupOf[1] = 1;
        applyPartition(fleet, partition);
        fleet.run(proofExpiryTime);
        for (int step = 0; step < 10; ++step) {
            fleet.run(500ms);
            BOOST_TEST(!fleet.mayServe(0));
            BOOST_TEST(!fleet.mayServe(1));
        }
        BOOST_TEST(countServing(fleet) == vms - 2, vms << " Vms");
    }
}

BOOST_AUTO_TEST_CASE(neither_half_of_a_split_fleet_serves_without_the_store)
{
    for (const std::size_t vms : {8U, 40U, 460U}) {
        FakeFleet fleet({.vms = vms, .seed = 2});
        fleet.run(4s);
        Partition partition{.groupOf = std::vector<std::size_t>(vms), .isStoreReachable = {false, false}};
        for (std::size_t i = 0; i < vms / 2; ++i) {
            partition.groupOf[i] = 1;
        }
        applyPartition(fleet, partition);
        fleet.run(proofExpiryTime);
        BOOST_TEST(countServing(fleet) == 0U);
        partition.isStoreReachable[1] = true;
        applyPartition(fleet, partition);
        fleet.run(6s);
        BOOST_TEST(countServing(fleet) == vms / 2, vms << " Vms");
    }
}

BOOST_AUTO_TEST_CASE(a_store_outage_for_the_whole_fleet_stops_no_vm)
{
    for (const std::size_t vms : {1U, 8U, 40U, 460U}) {
        FakeFleet fleet({.vms = vms, .seed = 3});
        fleet.run(4s);
        BOOST_TEST(countServing(fleet) == vms);
        fleet.setStoreReachable([](std::size_t) { return false; });
        std::size_t fewestServing = vms;
        for (int step = 0; step < 30; ++step) {
            fleet.run(500ms);
            fewestServing = std::min(fewestServing, countServing(fleet));
        }
        BOOST_TEST_MESSAGE("store down, " << vms << " Vms: at least " << fewestServing << " serve");
        BOOST_TEST(fewestServing == vms);
    }
}

BOOST_AUTO_TEST_CASE(a_snapshot_older_than_the_newest_known_revision_is_not_fresh)
{
    const TimePoint now(100s);
    FreshnessEvidence evidence{.revision = 4, .newestRevision = 5, .isListed = true, .listedVms = 3, .reachedAt = {now, now}};
    BOOST_TEST((decideFreshness(evidence, {}, now).state == FreshnessState::Stale));
    evidence.revision = 5;
    BOOST_TEST((decideFreshness(evidence, {}, now).state == FreshnessState::Majority));
    evidence.reachedAt = {now};
    BOOST_TEST((decideFreshness(evidence, {}, now).state == FreshnessState::Majority));
    evidence.reachedAt = {now - 5s};
    BOOST_TEST((decideFreshness(evidence, {}, now).state == FreshnessState::Stale));
    evidence.freshAsOf = now - 4s;
    BOOST_TEST((decideFreshness(evidence, {}, now).state == FreshnessState::StoreConfirmed));
    evidence.isListed = false;
    BOOST_TEST((decideFreshness(evidence, {}, now).state == FreshnessState::NotListed));
}

BOOST_AUTO_TEST_CASE(a_vm_without_a_snapshot_never_serves)
{
    const TimePoint now(100s);
    const FreshnessEvidence evidence{.freshAsOf = now, .isListed = true, .listedVms = 1};
    BOOST_TEST(!decideFreshness(evidence, {}, now).mayServe(now));
}

BOOST_AUTO_TEST_CASE(a_freshness_decision_expires_without_new_evidence)
{
    const TimePoint now(100s);
    const FreshnessEvidence evidence{.revision = 1, .freshAsOf = now, .isListed = true, .listedVms = 3};
    const Freshness freshness = decideFreshness(evidence, {}, now);
    BOOST_TEST(freshness.mayServe(now + 4900ms));
    BOOST_TEST(!freshness.mayServe(now + 5s));
}

BOOST_AUTO_TEST_CASE(the_age_in_a_late_answer_counts_from_before_the_ping_was_sent)
{
    const TimePoint start(100s);
    Membership membership({.self = {"a"}}, Generator(1), start);
    membership.setVms({{"a"}, {"b"}, {"c"}}, 1, start);
    membership.setSnapshot(1);
    const PingAnswer answer{.news = {.vm = {"b"}, .incarnation = 1, .revision = 1, .freshAge = 0s, .newestRevision = 1},
                            .listsPinger = true};
    membership.onPingAnswer(0, answer, start, start + 20s);
    BOOST_TEST(!membership.freshness(start + 20s).mayServe(start + 20s));
    membership.onPingAnswer(0, answer, start + 19s, start + 20s);
    BOOST_TEST(membership.freshness(start + 20s).mayServe(start + 20s));
}
