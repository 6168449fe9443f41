#include "fake_fleet.h"

#include <boost/test/unit_test.hpp>
#include <numeric>
#include <set>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

// The windows of 5 s end within this long after a cut, drift and a message under way included; the fence is 10 s.
constexpr Duration windowsOver = 6s;

struct Partition
{
    std::vector<std::size_t> groupOf;
    std::vector<bool> hearsStore; // by group
};

Partition randomPartition(std::size_t vms, Generator &generator)
{
    const auto groups = std::uniform_int_distribution<std::size_t>(2, 4)(generator);
    Partition partition{.groupOf = std::vector<std::size_t>(vms), .hearsStore = std::vector<bool>(groups)};
    // An uneven share, so that groups of one or two and large ones both occur.
    const double firstShare = std::uniform_real_distribution<double>(0.1, 0.95)(generator);
    for (std::size_t &it : partition.groupOf) {
        const bool isFirst = std::bernoulli_distribution(firstShare)(generator);
        it = isFirst ? 0 : std::uniform_int_distribution<std::size_t>(1, groups - 1)(generator);
    }
    const bool isStoreDown = std::bernoulli_distribution(0.5)(generator);
    for (std::size_t i = 0; i < groups && !isStoreDown; ++i) {
        partition.hearsStore[i] = std::bernoulli_distribution(0.4)(generator);
    }
    return partition;
}

void impose(FakeFleet &fleet, const Partition &partition)
{
    fleet.setCut([partition](std::size_t from, std::size_t to) { return partition.groupOf[from] != partition.groupOf[to]; });
    fleet.setHearsStore([partition](std::size_t vm) { return partition.hearsStore[partition.groupOf[vm]]; });
}

std::size_t groupSize(const Partition &partition, std::size_t group)
{
    return static_cast<std::size_t>(std::count(partition.groupOf.begin(), partition.groupOf.end(), group));
}

// Whoever serves hears the store within its group, or is of the one group that is a majority of the list.
void checkServing(FakeFleet &fleet, const Partition &partition, std::uint64_t seed)
{
    std::set<std::size_t> majorityGroups;
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
        if (!fleet.mayServe(vm)) {
            continue;
        }
        const std::size_t group = partition.groupOf[vm];
        if (fleet.freshness(vm).state == FreshnessState::StoreConfirmed) {
            BOOST_TEST(partition.hearsStore[group], "seed " << seed << ", Vm " << vm << " serves on a store that its group can't hear");
            continue;
        }
        majorityGroups.insert(group);
        BOOST_TEST(groupSize(partition, group) > fleet.size() / 2, "seed " << seed << ", Vm " << vm << " serves in a minority");
    }
    BOOST_TEST(majorityGroups.size() <= 1U, "seed " << seed);
}

// Nobody is refused for nothing: a group that hears the store, or is a majority, serves.
void checkNobodyStopsInVain(FakeFleet &fleet, const Partition &partition, std::uint64_t seed)
{
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
        const std::size_t group = partition.groupOf[vm];
        if (partition.hearsStore[group] || groupSize(partition, group) > fleet.size() / 2) {
            BOOST_TEST(fleet.mayServe(vm), "seed " << seed << ", Vm " << vm << " stopped");
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

BOOST_AUTO_TEST_CASE(in_any_partition_one_majority_side_or_those_that_hear_the_store_serve)
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
            impose(fleet, partition);
            fleet.run(windowsOver);
            fleet.setStoreRevision(seed + static_cast<std::uint64_t>(i) + 1);
            for (int step = 0; step < 12; ++step) {
                fleet.run(500ms);
                checkServing(fleet, partition, seed);
            }
            if (loss == 0) {
                checkNobodyStopsInVain(fleet, partition, seed);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(two_cut_off_vms_stop_and_the_rest_serve)
{
    for (const std::size_t vms : {8U, 40U, 460U}) {
        FakeFleet fleet({.vms = vms, .seed = 1});
        fleet.run(4s);
        Partition partition{.groupOf = std::vector<std::size_t>(vms), .hearsStore = {false, false}};
        partition.groupOf[0] = partition.groupOf[1] = 1;
        impose(fleet, partition);
        fleet.run(windowsOver);
        for (int step = 0; step < 10; ++step) {
            fleet.run(500ms);
            BOOST_TEST(!fleet.mayServe(0));
            BOOST_TEST(!fleet.mayServe(1));
        }
        BOOST_TEST(countServing(fleet) == vms - 2, vms << " Vms");
    }
}

BOOST_AUTO_TEST_CASE(of_two_halves_none_serves_without_the_store)
{
    for (const std::size_t vms : {8U, 40U, 460U}) {
        FakeFleet fleet({.vms = vms, .seed = 2});
        fleet.run(4s);
        Partition partition{.groupOf = std::vector<std::size_t>(vms), .hearsStore = {false, false}};
        for (std::size_t i = 0; i < vms / 2; ++i) {
            partition.groupOf[i] = 1;
        }
        impose(fleet, partition);
        fleet.run(windowsOver);
        BOOST_TEST(countServing(fleet) == 0U);
        partition.hearsStore[1] = true;
        impose(fleet, partition);
        fleet.run(6s);
        BOOST_TEST(countServing(fleet) == vms / 2, vms << " Vms");
    }
}

BOOST_AUTO_TEST_CASE(a_store_that_is_down_for_all_stops_nobody)
{
    for (const std::size_t vms : {1U, 8U, 40U, 460U}) {
        FakeFleet fleet({.vms = vms, .seed = 3});
        fleet.run(4s);
        BOOST_TEST(countServing(fleet) == vms);
        fleet.setHearsStore([](std::size_t) { return false; });
        std::size_t fewest = vms;
        for (int step = 0; step < 30; ++step) {
            fleet.run(500ms);
            fewest = std::min(fewest, countServing(fleet));
        }
        BOOST_TEST_MESSAGE("store down, " << vms << " Vms: at least " << fewest << " serve");
        BOOST_TEST(fewest == vms);
    }
}

BOOST_AUTO_TEST_CASE(a_snapshot_behind_what_peers_know_is_not_fresh)
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

BOOST_AUTO_TEST_CASE(a_decision_ends_without_further_news)
{
    const TimePoint now(100s);
    const FreshnessEvidence evidence{.revision = 1, .freshAsOf = now, .isListed = true, .listedVms = 3};
    const Freshness freshness = decideFreshness(evidence, {}, now);
    BOOST_TEST(freshness.mayServe(now + 4900ms));
    BOOST_TEST(!freshness.mayServe(now + 5s));
}

BOOST_AUTO_TEST_CASE(the_age_of_a_late_answer_counts_from_before_it_was_asked)
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
