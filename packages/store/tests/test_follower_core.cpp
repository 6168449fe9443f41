#include "store_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seed = 20;

// A core with a store, in virtual time: each step asks and is answered at once.
struct Bench
{
    MemoryStore store{100};
    FollowerCore core{FollowerOptions{.seed = seed}};
    TimePoint now{};
    std::shared_ptr<const Snapshot> inForce;
    std::vector<FollowerNotice> notices;
    unsigned lists = 0;

    void take(std::vector<FollowerNotice> news)
    {
        for (const FollowerNotice &it : news) {
            if (const auto *ready = std::get_if<SnapshotReady>(&it)) {
                BOOST_TEST((!inForce || ready->snapshot->revision() >= inForce->revision()));
                inForce = ready->snapshot;
            }
            notices.push_back(it);
        }
    }

    void step()
    {
        const FollowerStep next = core.nextStep(now);
        if (const auto *pause = std::get_if<PauseUntil>(&next)) {
            now = pause->at;
        } else if (const auto *watch = std::get_if<WatchFrom>(&next)) {
            const Result<Changes> changes = store.watch(watch->since, declaredKinds(), 0s);
            take(core.onChanges(changes, now, now));
            now += changes ? 1s : 0s;
        } else {
            ++lists;
            take(core.onList(store.list(declaredKinds()), now, now));
        }
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            step();
        }
    }

    double rate(const std::string &name) const
    {
        const ClientAccount *account = inForce->findAccount({name});
        return account == nullptr ? 0 : account->limits.ratePerSecond;
    }

    template<typename Notice>
    std::vector<Notice> all() const
    {
        std::vector<Notice> found;
        for (const FollowerNotice &it : notices) {
            if (const auto *notice = std::get_if<Notice>(&it)) {
                found.push_back(*notice);
            }
        }
        return found;
    }
};

ObjectList listOf(std::uint64_t revision, std::vector<Object> objects)
{
    return ObjectList{.revision = revision, .items = std::move(objects)};
}

Object at(std::uint64_t version, Object object)
{
    object.version = version;
    return object;
}

Changes changesOf(std::uint64_t revision, std::vector<Change> events)
{
    return Changes{.revision = revision, .events = std::move(events)};
}

} // namespace

BOOST_AUTO_TEST_CASE(lists_then_watches_and_goes_forwards)
{
    Bench bench;
    BOOST_REQUIRE(bench.store.put(makeAccount("a", 1), MustNotExist{}));
    bench.step();
    BOOST_TEST(bench.rate("a") == 1);
    BOOST_REQUIRE(bench.store.put(makeAccount("a", 2), MustHaveVersion{1}));
    bench.step();
    BOOST_TEST(bench.rate("a") == 2);
    BOOST_TEST(bench.inForce->revision() == 2);
    BOOST_REQUIRE(bench.store.remove(Kind::ClientAccount, "a", 2));
    bench.step();
    BOOST_TEST(bench.rate("a") == 0);
    BOOST_TEST(bench.core.state().revision == 3);
    BOOST_TEST(bench.lists == 1);
}

BOOST_AUTO_TEST_CASE(writes_of_other_kinds_move_the_revision_without_a_new_snapshot)
{
    Bench bench;
    bench.step();
    const auto before = bench.all<SnapshotReady>().size();
    BOOST_REQUIRE(bench.store.put(Object{.name = "a", .spec = QuotaGrant()}, MustNotExist{}));
    bench.step();
    BOOST_TEST(bench.core.state().revision == 1);
    BOOST_TEST(bench.all<SnapshotReady>().size() == before);
}

BOOST_AUTO_TEST_CASE(repeated_and_reordered_changes_never_go_back)
{
    Bench bench;
    bench.take(bench.core.onList(listOf(5, {at(5, makeAccount("a", 5))}), bench.now, bench.now));
    const Change older{.object = at(6, makeAccount("a", 6))};
    const Change newer{.object = at(7, makeAccount("a", 7))};
    const Change removed{.type = ChangeType::Delete, .object = at(8, makeAccount("a", 7))};
    bench.take(bench.core.onChanges(changesOf(7, {newer, older, newer, older}), bench.now, bench.now));
    BOOST_TEST(bench.rate("a") == 7);
    bench.take(bench.core.onChanges(changesOf(8, {removed, newer, older}), bench.now, bench.now));
    BOOST_TEST(bench.rate("a") == 0);
    bench.take(bench.core.onChanges(changesOf(8, {newer}), bench.now, bench.now));
    BOOST_TEST(bench.rate("a") == 0);
    const Change beforeTheList{.object = at(4, makeAccount("b", 4))};
    bench.take(bench.core.onChanges(changesOf(8, {beforeTheList}), bench.now, bench.now));
    BOOST_TEST(bench.rate("b") == 0);
}

BOOST_AUTO_TEST_CASE(every_order_of_the_same_changes_ends_the_same)
{
    std::vector<Change> events{{.object = at(6, makeAccount("a", 6))},
                               {.object = at(7, makeAccount("b", 7))},
                               {.type = ChangeType::Delete, .object = at(8, makeAccount("a", 6))},
                               {.object = at(9, makeAccount("a", 9))},
                               {.type = ChangeType::Delete, .object = at(10, makeAccount("b", 7))}};
    std::mt19937_64 generator(seed);
    for (int i = 0; i < 200; ++i) {
        std::shuffle(events.begin(), events.end(), generator);
        Bench bench;
        bench.take(bench.core.onList(listOf(5, {}), bench.now, bench.now));
        for (const Change &it : events) {
            bench.take(bench.core.onChanges(changesOf(10, {it}), bench.now, bench.now));
        }
        BOOST_TEST(bench.rate("a") == 9);
        BOOST_TEST(bench.rate("b") == 0);
    }
}

BOOST_AUTO_TEST_CASE(too_old_a_watch_lists_again)
{
    Bench bench;
    bench.run(2);
    for (int i = 0; i < 150; ++i) {
        BOOST_REQUIRE(bench.store.put(makeAccount("a" + std::to_string(i), 3), MustNotExist{}));
    }
    BOOST_TEST((bench.store.watch(0, {}, 0s).error().code == ErrorCode::TooOld));
    bench.run(2);
    BOOST_TEST(bench.rate("a0") == 3);
    BOOST_TEST(bench.core.state().revision == 150);
    BOOST_TEST(bench.lists == 2);
    BOOST_TEST(bench.all<StoreUnreachable>().empty());
}

BOOST_AUTO_TEST_CASE(change_that_the_watch_left_out_is_found_by_the_next_list)
{
    Bench bench;
    bench.run(1);
    bench.store.setFaults({.droppedChanges = 1});
    BOOST_REQUIRE(bench.store.put(makeAccount("a", 4), MustNotExist{}));
    bench.run(1);
    BOOST_TEST(bench.rate("a") == 0);
    bench.run(14);
    BOOST_TEST(bench.rate("a") == 4);
}

BOOST_AUTO_TEST_CASE(duplicates_from_the_store_change_nothing)
{
    Bench bench;
    bench.store.setFaults({.isDuplicating = true});
    bench.step();
    BOOST_REQUIRE(bench.store.put(makeAccount("a", 1), MustNotExist{}));
    BOOST_REQUIRE(bench.store.put(makeAccount("a", 2), MustHaveVersion{1}));
    bench.step();
    BOOST_TEST(bench.rate("a") == 2);
    BOOST_TEST(bench.all<SnapshotReady>().size() == 2);
}

BOOST_AUTO_TEST_CASE(store_restored_at_an_older_revision_reverts_nothing)
{
    Bench bench;
    BOOST_REQUIRE(bench.store.put(makeAccount("a", 1), MustNotExist{}));
    const StoreBackup backup = bench.store.backup();
    BOOST_REQUIRE(bench.store.put(makeAccount("a", 2), MustHaveVersion{1}));
    bench.run(2);
    BOOST_TEST(bench.rate("a") == 2);
    bench.store.restore(backup);
    bench.run(20);
    BOOST_TEST(bench.rate("a") == 2);
    BOOST_TEST((bench.all<RevisionRefused>() == std::vector<RevisionRefused>{{.offered = 1, .inForce = 2}}));
    BOOST_TEST(bench.core.state().isStoreReachable);
    BOOST_TEST(bench.core.state().refused.has_value());
    // Its revision passes ours, but the object still stands as it did before the write that it forgot.
    for (int i = 0; i < 5; ++i) {
        BOOST_REQUIRE(bench.store.put(makeAccount("b" + std::to_string(i), 1), MustNotExist{}));
    }
    bench.run(20);
    BOOST_TEST(bench.rate("a") == 2);
    BOOST_TEST(bench.all<RevisionRefused>().back().object == "ClientAccount/a");
    // Written again by an operator, it is taken.
    BOOST_REQUIRE(bench.store.put(makeAccount("a", 3), MustHaveVersion{1}));
    bench.run(20);
    BOOST_TEST(bench.rate("a") == 3);
    BOOST_TEST(bench.rate("b0") == 1);
    BOOST_TEST(!bench.core.state().refused.has_value());
}

BOOST_AUTO_TEST_CASE(store_that_is_down_changes_nothing_and_is_asked_ever_more_seldom)
{
    Bench bench;
    BOOST_REQUIRE(bench.store.put(makeAccount("a", 1), MustNotExist{}));
    bench.run(1);
    const TimePoint heard = *bench.core.state().lastContactAt;
    bench.store.setFaults({.isDown = true});
    std::vector<Duration> pauses;
    for (int i = 0; i < 40; ++i) {
        const FollowerStep next = bench.core.nextStep(bench.now);
        if (const auto *pause = std::get_if<PauseUntil>(&next)) {
            pauses.push_back(pause->at - bench.now);
        }
        bench.step();
    }
    BOOST_TEST(bench.rate("a") == 1);
    BOOST_TEST(!bench.core.state().isStoreReachable);
    BOOST_TEST((bench.core.state().lastContactAt == heard));
    BOOST_TEST(bench.all<StoreUnreachable>().size() == 1);
    BOOST_REQUIRE(pauses.size() > 8);
    BOOST_TEST((pauses.front() <= 100ms && pauses.front() >= 50ms));
    BOOST_TEST((pauses.back() <= 2s && pauses.back() >= 1s));
    BOOST_TEST((pauses[pauses.size() - 1] != pauses[pauses.size() - 2]));
    bench.store.setFaults({});
    BOOST_REQUIRE(bench.store.put(makeAccount("a", 2), MustHaveVersion{1}));
    const TimePoint recovered = bench.now;
    while (bench.rate("a") != 2 && bench.now - recovered < 10s) {
        bench.step();
    }
    BOOST_TEST((bench.now - recovered <= 3s));
    BOOST_TEST(bench.all<StoreReconnected>().size() == 1);
    BOOST_TEST((bench.core.state().lastContactAt > heard));
}

BOOST_AUTO_TEST_CASE(bad_object_leaves_the_rest_and_its_previous_version_in_force)
{
    Bench bench;
    BOOST_REQUIRE(bench.store.put(makeAccount("a", 1), MustNotExist{}));
    BOOST_REQUIRE(bench.store.put(makeKey("k", "a", 'b'), MustNotExist{}));
    bench.step();
    BOOST_REQUIRE(bench.store.put(makeKey("k", "nobody", 'c'), MustHaveVersion{2}));
    BOOST_REQUIRE(bench.store.put(makeKey("stray", "nobody", 'd'), MustNotExist{}));
    BOOST_REQUIRE(bench.store.put(makeAccount("a", 9), MustHaveVersion{1}));
    bench.step();
    BOOST_TEST(bench.rate("a") == 9);
    BOOST_TEST(bench.inForce->findKey(std::string(64, 'b')).has_value());
    BOOST_TEST(!bench.inForce->findKey(std::string(64, 'd')).has_value());
    BOOST_REQUIRE(bench.core.state().skipped.size() == 2);
    BOOST_TEST(bench.core.state().skipped[0].problem.name == "k");
    BOOST_TEST(bench.core.state().skipped[0].isPreviousInForce);
    BOOST_TEST(!bench.core.state().skipped[1].isPreviousInForce);
    BOOST_TEST(bench.all<ObjectSkipped>().size() == 2);
    BOOST_REQUIRE(bench.store.put(makeKey("k", "a", 'c'), MustHaveVersion{3}));
    bench.run(20);
    BOOST_TEST(bench.inForce->findKey(std::string(64, 'c')).has_value());
    BOOST_TEST(bench.core.state().skipped.size() == 1);
    BOOST_TEST(bench.all<ObjectSkipped>().size() == 2);
}

BOOST_AUTO_TEST_CASE(unreadable_object_keeps_its_previous_version)
{
    Bench bench;
    bench.take(bench.core.onList(listOf(2, {at(1, makeAccount("a", 1)), at(2, makeAccount("b", 2))}), bench.now, bench.now));
    Changes changes = changesOf(3, {});
    changes.undecodable = {UndecodableObject{.name = "a", .version = 3, .error = {.code = ErrorCode::UnknownField, .path = "spec.colour"}}};
    bench.take(bench.core.onChanges(changes, bench.now, bench.now));
    BOOST_TEST(bench.rate("a") == 1);
    BOOST_TEST(bench.rate("b") == 2);
    BOOST_TEST(bench.core.state().skipped.size() == 1);
    bench.take(bench.core.onChanges(changesOf(4, {{.object = at(4, makeAccount("a", 4))}}), bench.now, bench.now));
    BOOST_TEST(bench.rate("a") == 4);
    BOOST_TEST(bench.core.state().skipped.empty());
}

BOOST_AUTO_TEST_CASE(withdrawal_is_not_held_up_by_a_rival_key)
{
    Bench bench;
    BOOST_REQUIRE(bench.store.put(makeAccount("a", 1), MustNotExist{}));
    BOOST_REQUIRE(bench.store.put(makeKey("k", "a", 'b'), MustNotExist{}));
    bench.step();
    BOOST_REQUIRE(bench.store.put(makeKey("rival", "a", 'b'), MustNotExist{}));
    BOOST_REQUIRE(bench.store.put(makeKey("k", "a", 'b', KeyState::Withdrawn), MustHaveVersion{2}));
    bench.step();
    BOOST_TEST((bench.inForce->findKey(std::string(64, 'b'))->key->state == KeyState::Withdrawn));
}

BOOST_AUTO_TEST_CASE(peer_is_a_second_source_that_only_goes_forwards)
{
    Bench bench;
    bench.store.setFaults({.isDown = true});
    bench.run(4);
    bench.take(bench.core.onPeerList(listOf(7, {at(7, makeAccount("a", 7))}), bench.now - 300ms));
    BOOST_TEST(bench.rate("a") == 7);
    BOOST_TEST((bench.core.state().lastContactAt == bench.now - 300ms));
    bench.take(bench.core.onPeerList(listOf(6, {at(6, makeAccount("a", 6))}), bench.now));
    BOOST_TEST(bench.rate("a") == 7);
    BOOST_TEST(bench.all<RevisionRefused>().empty());
}
