#include "store_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seed = 20;

// Runs a FollowerCore against a MemoryStore in virtual time. Each call to the store completes at once.
struct FollowerHarness
{
    MemoryStore store{100};
    FollowerCore core{FollowerOptions{.seed = seed}};
    TimePoint now{};
    std::shared_ptr<const Snapshot> inForce;
    std::vector<FollowerNotice> notices;
    unsigned listCalls = 0;

    void process(std::vector<FollowerNotice> newNotices)
    {
        for (const FollowerNotice &it : newNotices) {
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
            process(core.onChanges(changes, now, now));
            now += changes ? 1s : 0s;
        } else {
            ++listCalls;
            process(core.onList(store.list(declaredKinds()), now, now));
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
    std::vector<Notice> noticesOf() const
    {
        std::vector<Notice> matching;
        for (const FollowerNotice &it : notices) {
            if (const auto *notice = std::get_if<Notice>(&it)) {
                matching.push_back(*notice);
            }
        }
        return matching;
    }
};

ObjectList makeList(std::uint64_t revision, std::vector<Object> objects)
{
    return ObjectList{.position = {0, revision}, .items = std::move(objects)};
}

Object withVersion(std::uint64_t version, Object object)
{
    object.version = version;
    return object;
}

Changes makeChanges(std::uint64_t revision, std::vector<Change> events)
{
    return Changes{.position = {0, revision}, .events = std::move(events)};
}

} // namespace

BOOST_AUTO_TEST_CASE(follower_lists_once_and_then_applies_watched_changes)
{
    FollowerHarness harness;
    BOOST_REQUIRE(harness.store.put(makeAccount("a", 1), MustNotExist{}));
    harness.step();
    BOOST_TEST(harness.rate("a") == 1);
    BOOST_REQUIRE(harness.store.put(makeAccount("a", 2), MustHaveVersion{1}));
    harness.step();
    BOOST_TEST(harness.rate("a") == 2);
    BOOST_TEST(harness.inForce->revision() == 2);
    BOOST_REQUIRE(harness.store.remove(Kind::ClientAccount, "a", {2}));
    harness.step();
    BOOST_TEST(harness.rate("a") == 0);
    BOOST_TEST(harness.core.state().position.revision() == 3);
    BOOST_TEST(harness.listCalls == 1);
}

BOOST_AUTO_TEST_CASE(writes_of_other_kinds_advance_the_revision_without_a_new_snapshot)
{
    FollowerHarness harness;
    harness.step();
    const auto before = harness.noticesOf<SnapshotReady>().size();
    BOOST_REQUIRE(harness.store.put(Object{.name = "a", .spec = QuotaGrant()}, MustNotExist{}));
    harness.step();
    BOOST_TEST(harness.core.state().position.revision() == 1);
    BOOST_TEST(harness.noticesOf<SnapshotReady>().size() == before);
}

BOOST_AUTO_TEST_CASE(duplicate_and_reordered_changes_never_revert_an_object)
{
    FollowerHarness harness;
    harness.process(harness.core.onList(makeList(5, {withVersion(5, makeAccount("a", 5))}), harness.now, harness.now));
    const Change older{.object = withVersion(6, makeAccount("a", 6))};
    const Change newer{.object = withVersion(7, makeAccount("a", 7))};
    const Change removed{.type = ChangeType::Delete, .object = withVersion(8, makeAccount("a", 7))};
    harness.process(harness.core.onChanges(makeChanges(7, {newer, older, newer, older}), harness.now, harness.now));
    BOOST_TEST(harness.rate("a") == 7);
    harness.process(harness.core.onChanges(makeChanges(8, {removed, newer, older}), harness.now, harness.now));
    BOOST_TEST(harness.rate("a") == 0);
    harness.process(harness.core.onChanges(makeChanges(8, {newer}), harness.now, harness.now));
    BOOST_TEST(harness.rate("a") == 0);
    const Change olderThanList{.object = withVersion(4, makeAccount("b", 4))};
    harness.process(harness.core.onChanges(makeChanges(8, {olderThanList}), harness.now, harness.now));
    BOOST_TEST(harness.rate("b") == 0);
}

BOOST_AUTO_TEST_CASE(result_is_independent_of_the_order_of_changes)
{
    std::vector<Change> events{{.object = withVersion(6, makeAccount("a", 6))},
                               {.object = withVersion(7, makeAccount("b", 7))},
                               {.type = ChangeType::Delete, .object = withVersion(8, makeAccount("a", 6))},
                               {.object = withVersion(9, makeAccount("a", 9))},
                               {.type = ChangeType::Delete, .object = withVersion(10, makeAccount("b", 7))}};
    std::mt19937_64 generator(seed);
    for (int i = 0; i < 200; ++i) {
        std::shuffle(events.begin(), events.end(), generator);
        FollowerHarness harness;
        harness.process(harness.core.onList(makeList(5, {}), harness.now, harness.now));
        for (const Change &it : events) {
            harness.process(harness.core.onChanges(makeChanges(10, {it}), harness.now, harness.now));
        }
        BOOST_TEST(harness.rate("a") == 9);
        BOOST_TEST(harness.rate("b") == 0);
    }
}

BOOST_AUTO_TEST_CASE(watch_that_is_too_old_leads_to_a_new_list)
{
    FollowerHarness harness;
    harness.run(2);
    for (int i = 0; i < 150; ++i) {
        BOOST_REQUIRE(harness.store.put(makeAccount("a" + std::to_string(i), 3), MustNotExist{}));
    }
    BOOST_TEST((harness.store.watch({0, 0}, {}, 0s).error().code == ErrorCode::TooOld));
    harness.run(2);
    BOOST_TEST(harness.rate("a0") == 3);
    BOOST_TEST(harness.core.state().position.revision() == 150);
    BOOST_TEST(harness.listCalls == 2);
    BOOST_TEST(harness.noticesOf<StoreUnreachable>().empty());
}

BOOST_AUTO_TEST_CASE(change_missed_by_the_watch_is_picked_up_by_the_next_list)
{
    FollowerHarness harness;
    harness.run(1);
    harness.store.setFaults({.droppedChanges = 1});
    BOOST_REQUIRE(harness.store.put(makeAccount("a", 4), MustNotExist{}));
    harness.run(1);
    BOOST_TEST(harness.rate("a") == 0);
    harness.run(14);
    BOOST_TEST(harness.rate("a") == 4);
}

BOOST_AUTO_TEST_CASE(duplicate_changes_build_no_further_snapshot)
{
    FollowerHarness harness;
    harness.store.setFaults({.isDuplicating = true});
    harness.step();
    BOOST_REQUIRE(harness.store.put(makeAccount("a", 1), MustNotExist{}));
    BOOST_REQUIRE(harness.store.put(makeAccount("a", 2), MustHaveVersion{1}));
    harness.step();
    BOOST_TEST(harness.rate("a") == 2);
    BOOST_TEST(harness.noticesOf<SnapshotReady>().size() == 2);
}

BOOST_AUTO_TEST_CASE(store_restored_from_a_backup_does_not_roll_back_the_configuration)
{
    FollowerHarness harness;
    BOOST_REQUIRE(harness.store.put(makeAccount("a", 1), MustNotExist{}));
    const StoreBackup backup = harness.store.backup();
    BOOST_REQUIRE(harness.store.put(makeAccount("a", 2), MustHaveVersion{1}));
    harness.run(2);
    BOOST_TEST(harness.rate("a") == 2);
    harness.store.restore(backup);
    harness.run(20);
    BOOST_TEST(harness.rate("a") == 2);
    BOOST_TEST((harness.noticesOf<RevisionRefused>() == std::vector<RevisionRefused>{{.offered = {2, 1}, .inForce = {1, 2}}}));
    BOOST_TEST(harness.core.state().isStoreReachable);
    BOOST_TEST(harness.core.state().refused.has_value());
    // The restored store's revision overtakes that of the follower, but the object still has its version from before the lost write.
    for (int i = 0; i < 5; ++i) {
        BOOST_REQUIRE(harness.store.put(makeAccount("b" + std::to_string(i), 1), MustNotExist{}));
    }
    harness.run(20);
    BOOST_TEST(harness.rate("a") == 2);
    BOOST_TEST(harness.noticesOf<RevisionRefused>().back().object == "ClientAccount/a");
    // Once an operator has written the object again, the store's contents are accepted.
    BOOST_REQUIRE(harness.store.put(makeAccount("a", 3), MustHaveVersion{1}));
    harness.run(20);
    BOOST_TEST(harness.rate("a") == 3);
    BOOST_TEST(harness.rate("b0") == 1);
    BOOST_TEST(!harness.core.state().refused.has_value());
}

BOOST_AUTO_TEST_CASE(unavailable_store_leaves_the_configuration_in_force_and_is_polled_with_backoff)
{
    FollowerHarness harness;
    BOOST_REQUIRE(harness.store.put(makeAccount("a", 1), MustNotExist{}));
    harness.run(1);
    const TimePoint contactBeforeOutage = *harness.core.state().lastContactAt;
    harness.store.setFaults({.isDown = true});
    std::vector<Duration> pauses;
    for (int i = 0; i < 40; ++i) {
        const FollowerStep next = harness.core.nextStep(harness.now);
        if (const auto *pause = std::get_if<PauseUntil>(&next)) {
            pauses.push_back(pause->at - harness.now);
        }
        harness.step();
    }
    BOOST_TEST(harness.rate("a") == 1);
    BOOST_TEST(!harness.core.state().isStoreReachable);
    BOOST_TEST((harness.core.state().lastContactAt == contactBeforeOutage));
    BOOST_TEST(harness.noticesOf<StoreUnreachable>().size() == 1);
    BOOST_REQUIRE(pauses.size() > 8);
    BOOST_TEST((pauses.front() <= 100ms && pauses.front() >= 50ms));
    BOOST_TEST((pauses.back() <= 2s && pauses.back() >= 1s));
    BOOST_TEST((pauses[pauses.size() - 1] != pauses[pauses.size() - 2]));
    harness.store.setFaults({});
    BOOST_REQUIRE(harness.store.put(makeAccount("a", 2), MustHaveVersion{1}));
    const TimePoint recovered = harness.now;
    while (harness.rate("a") != 2 && harness.now - recovered < 10s) {
        harness.step();
    }
    BOOST_TEST((harness.now - recovered <= 3s));
    BOOST_TEST(harness.noticesOf<StoreReconnected>().size() == 1);
    BOOST_TEST((harness.core.state().lastContactAt > contactBeforeOutage));
}

BOOST_AUTO_TEST_CASE(invalid_object_leaves_the_rest_and_its_previous_version_in_force)
{
    FollowerHarness harness;
    BOOST_REQUIRE(harness.store.put(makeAccount("a", 1), MustNotExist{}));
    BOOST_REQUIRE(harness.store.put(makeKey("k", "a", 'b'), MustNotExist{}));
    harness.step();
    BOOST_REQUIRE(harness.store.put(makeKey("k", "nobody", 'c'), MustHaveVersion{2}));
    BOOST_REQUIRE(harness.store.put(makeKey("stray", "nobody", 'd'), MustNotExist{}));
    BOOST_REQUIRE(harness.store.put(makeAccount("a", 9), MustHaveVersion{1}));
    harness.step();
    BOOST_TEST(harness.rate("a") == 9);
    BOOST_TEST(harness.inForce->findKey(std::string(64, 'b')).has_value());
    BOOST_TEST(!harness.inForce->findKey(std::string(64, 'd')).has_value());
    BOOST_REQUIRE(harness.core.state().skipped.size() == 2);
    BOOST_TEST(harness.core.state().skipped[0].problem.name == "k");
    BOOST_TEST(harness.core.state().skipped[0].isPreviousInForce);
    BOOST_TEST(!harness.core.state().skipped[1].isPreviousInForce);
    BOOST_TEST(harness.noticesOf<ObjectSkipped>().size() == 2);
    BOOST_REQUIRE(harness.store.put(makeKey("k", "a", 'c'), MustHaveVersion{3}));
    harness.run(20);
    BOOST_TEST(harness.inForce->findKey(std::string(64, 'c')).has_value());
    BOOST_TEST(harness.core.state().skipped.size() == 1);
    BOOST_TEST(harness.noticesOf<ObjectSkipped>().size() == 2);
}

BOOST_AUTO_TEST_CASE(undecodable_object_keeps_its_previous_version)
{
    FollowerHarness harness;
    harness.process(harness.core.onList(
        makeList(2, {withVersion(1, makeAccount("a", 1)), withVersion(2, makeAccount("b", 2))}), harness.now, harness.now));
    Changes changes = makeChanges(3, {});
    changes.undecodable = {UndecodableObject{.name = "a", .version = 3, .error = {.code = ErrorCode::UnknownField, .path = "spec.colour"}}};
    harness.process(harness.core.onChanges(changes, harness.now, harness.now));
    BOOST_TEST(harness.rate("a") == 1);
    BOOST_TEST(harness.rate("b") == 2);
    BOOST_TEST(harness.core.state().skipped.size() == 1);
    harness.process(harness.core.onChanges(makeChanges(4, {{.object = withVersion(4, makeAccount("a", 4))}}), harness.now, harness.now));
    BOOST_TEST(harness.rate("a") == 4);
    BOOST_TEST(harness.core.state().skipped.empty());
}

BOOST_AUTO_TEST_CASE(withdrawal_is_not_blocked_by_a_new_key_with_the_same_secret)
{
    FollowerHarness harness;
    BOOST_REQUIRE(harness.store.put(makeAccount("a", 1), MustNotExist{}));
    BOOST_REQUIRE(harness.store.put(makeKey("k", "a", 'b'), MustNotExist{}));
    harness.step();
    BOOST_REQUIRE(harness.store.put(makeKey("rival", "a", 'b'), MustNotExist{}));
    BOOST_REQUIRE(harness.store.put(makeKey("k", "a", 'b', KeyState::Withdrawn), MustHaveVersion{2}));
    harness.step();
    BOOST_TEST((harness.inForce->findKey(std::string(64, 'b'))->key->state == KeyState::Withdrawn));
}

BOOST_AUTO_TEST_CASE(peer_lists_are_applied_only_if_not_older)
{
    FollowerHarness harness;
    harness.store.setFaults({.isDown = true});
    harness.run(4);
    harness.process(harness.core.onPeerList(makeList(7, {withVersion(7, makeAccount("a", 7))}), harness.now - 300ms));
    BOOST_TEST(harness.rate("a") == 7);
    BOOST_TEST((harness.core.state().lastContactAt == harness.now - 300ms));
    harness.process(harness.core.onPeerList(makeList(6, {withVersion(6, makeAccount("a", 6))}), harness.now));
    BOOST_TEST(harness.rate("a") == 7);
    BOOST_TEST(harness.noticesOf<RevisionRefused>().empty());
}
