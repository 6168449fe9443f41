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
    bool isEraHidden = false; // the store is of a release that doesn't tell its era
    FollowerCore core{FollowerOptions{.seed = seed}};
    TimePoint now{};
    std::shared_ptr<const Snapshot> inForce;
    std::vector<FollowerNotice> notices;
    unsigned listCalls = 0;

    void process(std::vector<FollowerNotice> newNotices)
    {
        for (const FollowerNotice &it : newNotices) {
            if (const auto *ready = std::get_if<SnapshotReady>(&it)) {
                BOOST_TEST((!inForce || ready->snapshot->revision() > inForce->revision()));
                inForce = ready->snapshot;
            }
            notices.push_back(it);
        }
    }

    Result<ObjectList> list()
    {
        Result<ObjectList> listed = store.list(declaredKinds());
        if (listed && isEraHidden) {
            listed->position = {0, listed->position.revision()};
            listed->eras = StoreEras();
            listed->removed.clear();
        }
        return listed;
    }

    Result<Changes> watch(const StorePosition &since)
    {
        Result<Changes> changes = store.watch(since, declaredKinds(), 0s);
        if (changes && isEraHidden) {
            changes->position = {0, changes->position.revision()};
        }
        return changes;
    }

    void step()
    {
        const FollowerStep next = core.nextStep(now);
        if (const auto *pause = std::get_if<PauseUntil>(&next)) {
            now = pause->at;
        } else if (const auto *watch = std::get_if<WatchFrom>(&next)) {
            const Result<Changes> changes = this->watch(watch->since);
            process(core.onChanges(changes, now, now));
            now += changes ? 1s : 0s;
        } else {
            ++listCalls;
            process(core.onList(list(), now, now));
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

// Guards against a store that doesn't tell its era and rolls the configuration back when it is restored.
BOOST_AUTO_TEST_CASE(store_restored_from_a_backup_does_not_roll_back_the_configuration)
{
    FollowerHarness harness;
    harness.isEraHidden = true;
    BOOST_REQUIRE(harness.store.put(makeAccount("a", 1), MustNotExist{}));
    const StoreBackup backup = harness.store.backup();
    BOOST_REQUIRE(harness.store.put(makeAccount("a", 2), MustHaveVersion{1}));
    harness.run(2);
    BOOST_TEST(harness.rate("a") == 2);
    harness.store.restore(backup);
    harness.run(20);
    BOOST_TEST(harness.rate("a") == 2);
    BOOST_TEST((harness.noticesOf<RevisionRefused>() == std::vector<RevisionRefused>{{.offered = {0, 1}, .inForce = {0, 2}}}));
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

namespace {

// A store with one object of each case, and a follower that knows all of it. The store is restored to `backup`, which has account
// "a" at 1, key "k" active, account "gone" and account "plain".
struct RestoreHarness : FollowerHarness
{
    RestoreHarness()
    {
        BOOST_REQUIRE(store.put(makeAccount("a", 1), MustNotExist{}));
        BOOST_REQUIRE(store.put(makeKey("k", "a", 'b'), MustNotExist{}));
        BOOST_REQUIRE(store.put(makeAccount("gone", 1), MustNotExist{}));
        BOOST_REQUIRE(store.put(makeAccount("plain", 1), MustNotExist{}));
        step();
        backup = store.backup();
        BOOST_REQUIRE(store.put(makeAccount("a", 2), MustHaveVersion{1}));
        BOOST_REQUIRE(store.put(makeKey("k", "a", 'b', KeyState::Withdrawn), MustHaveVersion{2}));
        BOOST_REQUIRE(store.remove(Kind::ClientAccount, "gone", {3}));
        BOOST_REQUIRE(store.put(makeAccount("new", 4), MustNotExist{}));
        step();
    }

    KeyState keyState() const { return inForce->findKey(std::string(64, 'b'))->key->state; }

    std::uint64_t version(Kind kind, const std::string &name) { return store.get(kind, name)->object.version; }

    // Writes an account whatever its version, and returns its new one.
    std::uint64_t write(const std::string &name, double rate)
    {
        const auto current = store.get(Kind::ClientAccount, name);
        const WriteCondition condition
            = current ? WriteCondition(MustHaveVersion{current->object.version}) : WriteCondition(MustNotExist{});
        return store.put(makeAccount(name, rate), condition)->version;
    }

    StoreBackup backup;
};

const std::set<std::string> allKept{"ClientAccount/a", "Key/k", "ClientAccount/gone", "ClientAccount/new"};

} // namespace

// Guards against an acknowledged change, addition or removal that is undone by a restore of the store.
BOOST_FIXTURE_TEST_CASE(changes_that_a_restored_store_lost_stay_in_force, RestoreHarness)
{
    store.restore(backup);
    run(20);
    BOOST_TEST(rate("a") == 2);
    BOOST_TEST(rate("new") == 4);
    BOOST_TEST(rate("gone") == 0);
    BOOST_TEST(rate("plain") == 1);
    BOOST_TEST(noticesOf<RevisionRefused>().empty());
    BOOST_TEST((core.state().kept == allKept));
    BOOST_TEST((core.state().position == StorePosition(2, 4)));
}

// Guards against a key that was withdrawn before a restore and is accepted again because the copy names it as active.
BOOST_FIXTURE_TEST_CASE(key_withdrawn_before_a_restore_stays_withdrawn, RestoreHarness)
{
    store.restore(backup);
    run(2);
    BOOST_REQUIRE(store.put(makeAccount("other", 1), MustNotExist{}));
    run(20);
    BOOST_TEST((keyState() == KeyState::Withdrawn));
    BOOST_TEST(rate("other") == 1);
}

// Guards against a change after a restore that isn't taken because its version, or a higher one, was seen before.
BOOST_FIXTURE_TEST_CASE(writes_after_a_restore_are_taken_at_once_although_their_versions_were_seen, RestoreHarness)
{
    const std::uint64_t lostVersion = version(Kind::ClientAccount, "a");
    store.restore(backup);
    BOOST_TEST(write("a", 3) == lostVersion);
    run(2);
    BOOST_TEST(rate("a") == 3);
    BOOST_TEST(write("new", 5) == lostVersion + 1);
    BOOST_TEST(write("gone", 6) == lostVersion + 2);
    run(1);
    BOOST_TEST(rate("new") == 5);
    BOOST_TEST(rate("gone") == 6);
    BOOST_REQUIRE(store.put(makeKey("k", "a", 'b'), MustHaveVersion{2}));
    run(1);
    BOOST_TEST((keyState() == KeyState::Active));
    BOOST_TEST(core.state().kept.empty());
}

// Guards against a watch across the restore that misses changes because their revisions were given out before.
BOOST_FIXTURE_TEST_CASE(changes_at_revisions_given_out_again_are_not_missed, RestoreHarness)
{
    const StorePosition before = core.state().position;
    store.restore(backup);
    while (store.list({})->position.revision() < before.revision()) {
        write("plain", 7);
    }
    write("a", 8);
    run(2);
    BOOST_TEST(rate("plain") == 7);
    BOOST_TEST(rate("a") == 8);
}

// Guards against what was kept over a restore and stays in force after it was written again and deleted before the next list.
BOOST_FIXTURE_TEST_CASE(deletion_after_a_restore_ends_what_was_kept, RestoreHarness)
{
    store.restore(backup);
    const std::uint64_t rewritten = write("new", 5);
    BOOST_REQUIRE(store.remove(Kind::ClientAccount, "new", {rewritten}));
    run(2);
    BOOST_TEST(rate("new") == 0);
    BOOST_TEST(!core.state().kept.contains("ClientAccount/new"));
    // Deleted from the copy itself, and seen by the watch.
    BOOST_REQUIRE(store.remove(Kind::ClientAccount, "plain", {version(Kind::ClientAccount, "plain")}));
    run(1);
    BOOST_TEST(rate("plain") == 0);
    run(20);
    BOOST_TEST(rate("new") == 0);
    BOOST_TEST(rate("plain") == 0);
}

// Guards against a deletion from the copy, before the first list, that isn't taken.
BOOST_FIXTURE_TEST_CASE(object_of_the_copy_that_is_deleted_before_the_next_list_leaves, RestoreHarness)
{
    store.restore(backup);
    BOOST_REQUIRE(store.remove(Kind::ClientAccount, "plain", {4}));
    run(2);
    BOOST_TEST(rate("plain") == 0);
    BOOST_TEST(rate("a") == 2);
}

// Guards against an answer from before the restore that arrives late and overwrites what came after it.
BOOST_FIXTURE_TEST_CASE(late_answers_of_an_earlier_era_change_nothing, RestoreHarness)
{
    const auto lateList = list();
    const auto lateChanges = store.watch({1, 0}, declaredKinds(), 0s);
    BOOST_REQUIRE(lateChanges);
    store.restore(backup);
    write("a", 3);
    write("new", 5);
    run(2);
    process(core.onChanges(lateChanges, now, now));
    process(core.onPeerList(*lateList, now));
    BOOST_TEST(noticesOf<RevisionRefused>().empty());
    process(core.onList(lateList, now, now));
    BOOST_TEST(noticesOf<RevisionRefused>().size() == 1);
    run(20);
    BOOST_TEST(rate("a") == 3);
    BOOST_TEST(rate("new") == 5);
    BOOST_TEST((core.state().position.era() == 2));
    BOOST_TEST(!core.state().refused.has_value());
}

// Guards against changes of a later era that are applied to the state of the era before.
BOOST_FIXTURE_TEST_CASE(changes_of_a_later_era_lead_to_a_list, RestoreHarness)
{
    store.restore(backup);
    write("plain", 9);
    const unsigned listCallsBefore = listCalls;
    process(core.onChanges(store.watch({2, 4}, declaredKinds(), 0s), now, now));
    BOOST_TEST(rate("plain") == 1);
    run(1);
    BOOST_TEST(listCalls == listCallsBefore + 1);
    BOOST_TEST(rate("plain") == 9);
    BOOST_TEST(rate("a") == 2);
}

// Guards against a list of a later era that a peer passes on and that undoes what this Vm has.
BOOST_FIXTURE_TEST_CASE(peer_list_of_a_later_era_keeps_what_the_store_lost, RestoreHarness)
{
    store.restore(backup);
    write("plain", 9);
    const auto peerList = list();
    store.setFaults({.isDown = true});
    process(core.onPeerList(*peerList, now));
    BOOST_TEST(rate("plain") == 9);
    BOOST_TEST(rate("a") == 2);
    BOOST_TEST((keyState() == KeyState::Withdrawn));
}

// Guards against a second restore within seconds that undoes what was kept over the first, or written since.
BOOST_FIXTURE_TEST_CASE(second_restore_keeps_what_the_first_one_lost_and_what_was_written_between, RestoreHarness)
{
    store.restore(backup);
    write("plain", 7);
    run(2);
    store.restore(backup); // the copy is older than the era between
    run(2);
    BOOST_TEST(rate("plain") == 7);
    BOOST_TEST(rate("a") == 2);
    BOOST_TEST((keyState() == KeyState::Withdrawn));
    write("plain", 8);
    run(1);
    BOOST_TEST(rate("plain") == 8);
    run(20);
    BOOST_TEST(rate("a") == 2);
    BOOST_TEST(rate("gone") == 0);
}

// Guards against a write between two restores, kept by the second copy, that a follower which saw neither takes for an older one.
BOOST_FIXTURE_TEST_CASE(write_between_two_restores_is_taken_by_a_follower_that_missed_it, RestoreHarness)
{
    store.restore(backup);
    write("a", 3);
    const StoreBackup second = store.backup();
    write("plain", 7);
    store.restore(second);
    run(2);
    BOOST_TEST(rate("a") == 3);
    BOOST_TEST(rate("plain") == 1);
    BOOST_TEST(rate("new") == 4);
    BOOST_TEST((keyState() == KeyState::Withdrawn));
}

// Guards against a loss of what was kept when the restored store's history is dropped as well.
BOOST_FIXTURE_TEST_CASE(restore_with_a_dropped_history_keeps_what_was_lost_and_takes_what_was_written, RestoreHarness)
{
    store.restore(backup);
    run(2);
    for (int i = 0; i < 150; ++i) {
        write("plain", 10 + i);
    }
    BOOST_TEST((store.watch({2, 4}, {}, 0s).error().code == ErrorCode::TooOld));
    run(2);
    BOOST_TEST(rate("plain") == 159);
    BOOST_TEST(rate("a") == 2);
    BOOST_TEST(rate("new") == 4);
}

// Guards against a follower that starts after the restore and refuses the copy, or doesn't take what is written again.
BOOST_FIXTURE_TEST_CASE(follower_that_starts_after_a_restore_uses_the_copy, RestoreHarness)
{
    store.restore(backup);
    core = FollowerCore(FollowerOptions{.seed = seed});
    inForce = nullptr;
    notices.clear();
    run(2);
    BOOST_TEST(rate("a") == 1);
    BOOST_TEST(rate("gone") == 1);
    BOOST_TEST(noticesOf<StoreRestored>().empty());
    BOOST_TEST(core.state().kept.empty());
    write("a", 2);
    run(1);
    BOOST_TEST(rate("a") == 2);
}

// Guards against an object that a second, newer copy has and that isn't taken because the first copy lacked it.
BOOST_AUTO_TEST_CASE(object_that_only_the_second_copy_has_is_taken)
{
    FollowerHarness harness;
    BOOST_REQUIRE(harness.store.put(makeAccount("a", 1), MustNotExist{}));
    harness.run(1);
    BOOST_REQUIRE(harness.store.remove(Kind::ClientAccount, "a", {1}));
    const StoreBackup without = harness.store.backup();
    BOOST_REQUIRE(harness.store.put(makeAccount("a", 5), MustNotExist{}));
    const StoreBackup with = harness.store.backup();
    harness.store.restore(without);
    harness.run(2);
    BOOST_TEST(harness.rate("a") == 0);
    harness.store.restore(with);
    harness.run(2);
    BOOST_TEST(harness.rate("a") == 5);
}

// Guards against a restore that leaves no trace for engineers, or one that is reported more than once.
BOOST_FIXTURE_TEST_CASE(restore_is_reported_once_with_what_was_kept_and_taken, RestoreHarness)
{
    const StorePosition before = core.state().position;
    store.restore(backup);
    write("plain", 7);
    run(30);
    const std::vector<StoreRestored> expected{{.previous = before, .current = {2, 5}, .kept = 4, .taken = 1}};
    BOOST_TEST((noticesOf<StoreRestored>() == expected));
}

// Guards against a rollback within an era that is accepted because of eras.
BOOST_FIXTURE_TEST_CASE(older_state_within_an_era_is_refused_after_a_restore, RestoreHarness)
{
    store.restore(backup);
    const std::uint64_t rewritten = write("a", 3);
    run(2);
    ObjectList rolledBack = *list();
    rolledBack.position = {2, 99};
    for (Object &it : rolledBack.items) {
        if (it.name == "a") {
            it = withVersion(rewritten - 4, makeAccount("a", 1));
        }
    }
    process(core.onList(rolledBack, now, now));
    BOOST_TEST(rate("a") == 3);
    BOOST_REQUIRE(noticesOf<RevisionRefused>().size() == 1);
    BOOST_TEST(noticesOf<RevisionRefused>().front().object == "ClientAccount/a");
}

// Guards against a server that begins to tell its era, and is taken for restored: what was deleted stays, or an older state is taken.
BOOST_AUTO_TEST_CASE(store_that_begins_to_tell_its_era_is_not_taken_for_restored)
{
    FollowerHarness harness;
    harness.isEraHidden = true;
    BOOST_REQUIRE(harness.store.put(makeAccount("a", 1), MustNotExist{}));
    BOOST_REQUIRE(harness.store.put(makeAccount("b", 1), MustNotExist{}));
    BOOST_REQUIRE(harness.store.put(makeAccount("a", 2), MustHaveVersion{1}));
    harness.run(2);
    harness.isEraHidden = false;
    BOOST_REQUIRE(harness.store.remove(Kind::ClientAccount, "b", {2}));
    harness.run(3);
    BOOST_TEST(harness.rate("b") == 0);
    BOOST_TEST((harness.core.state().position == StorePosition(1, 4)));
    BOOST_TEST(harness.noticesOf<StoreRestored>().empty());
    ObjectList rolledBack = *harness.list();
    rolledBack.position = {1, 9};
    rolledBack.items = {withVersion(1, makeAccount("a", 1))};
    harness.process(harness.core.onList(rolledBack, harness.now, harness.now));
    BOOST_TEST(harness.rate("a") == 2);
}

namespace {

// Plays writes and restores at random, delivers answers late and in any order, and checks the follower after each delivery.
class RestorePlay
{
public:
    explicit RestorePlay(std::uint64_t playSeed)
        : m_random(playSeed)
    {
    }

    void run(int actions)
    {
        for (int i = 0; i < actions; ++i) {
            act();
        }
        m_pending.clear();
        m_harness.run(stepsToCatchUp);
        BOOST_TEST((m_harness.core.state().position == storePosition()));
        checkNothingRegressed();
        checkEverythingWrittenIsInForce();
    }

private:
    struct Write
    {
        StorePosition at;
        double rate = 0; // unique; 0: deletion
    };
    using Answer = std::variant<Result<ObjectList>, Result<Changes>>;

    static constexpr int stepsToCatchUp = 6; // a pause, a watch that is too old, a list, and as many again

    std::size_t pick(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random); }

    StorePosition storePosition() { return m_harness.store.list({})->position; }

    void act()
    {
        switch (pick(12)) {
        case 0:
        case 1:
        case 2:
        case 3:
            return write(m_names.at(pick(m_names.size())));
        case 4:
            return m_backups.push_back(m_harness.store.backup());
        case 5:
            return restore();
        case 6:
        case 7:
        case 8:
            return ask();
        default:
            return deliver();
        }
    }

    void write(const std::string &name)
    {
        const auto current = m_harness.store.get(Kind::ClientAccount, name);
        const bool isDeletion = current && pick(3) == 0;
        if (isDeletion) {
            BOOST_REQUIRE(m_harness.store.remove(Kind::ClientAccount, name, {current->object.version}));
        } else {
            const WriteCondition condition
                = current ? WriteCondition(MustHaveVersion{current->object.version}) : WriteCondition(MustNotExist{});
            BOOST_REQUIRE(m_harness.store.put(makeAccount(name, ++m_lastRate), condition));
        }
        m_writes[name].push_back({.at = storePosition(), .rate = isDeletion ? 0 : m_lastRate});
    }

    void restore()
    {
        if (!m_backups.empty()) {
            m_harness.store.restore(m_backups.at(pick(m_backups.size())));
        }
    }

    void ask()
    {
        const FollowerStep next = m_harness.core.nextStep(m_harness.now);
        if (const auto *watch = std::get_if<WatchFrom>(&next)) {
            m_pending.emplace_back(m_harness.watch(watch->since));
        } else {
            m_pending.emplace_back(m_harness.list());
        }
        m_harness.now += 300ms;
    }

    void deliver()
    {
        if (m_pending.empty()) {
            return;
        }
        const auto it = m_pending.begin() + static_cast<std::ptrdiff_t>(pick(m_pending.size()));
        const Answer answer = *it;
        if (pick(4) != 0) { // else it is delivered again later
            m_pending.erase(it);
        }
        recordShownDeletions(answer);
        const auto *list = std::get_if<Result<ObjectList>>(&answer);
        if (list != nullptr && pick(3) == 0) {
            m_harness.process(m_harness.core.onPeerList(**list, m_harness.now));
        } else if (list != nullptr) {
            m_harness.process(m_harness.core.onList(*list, m_harness.now, m_harness.now));
        } else {
            m_harness.process(m_harness.core.onChanges(std::get<Result<Changes>>(answer), m_harness.now, m_harness.now));
        }
        checkNothingRegressed();
    }

    void showDeletion(const std::string &name, const StorePosition &position)
    {
        m_shownDeletions[name] = std::max(m_shownDeletions[name], position);
    }

    void recordShownDeletions(const Answer &answer)
    {
        if (const auto *list = std::get_if<Result<ObjectList>>(&answer)) {
            for (const std::string &name : m_names) {
                const auto isNamed = [&name](const Object &it) { return it.name == name; };
                const bool isListed = std::any_of((*list)->items.begin(), (*list)->items.end(), isNamed);
                for (const Write &it : m_writes[name]) {
                    if (!isListed && it.rate == 0 && it.at <= (*list)->position && (*list)->eras.contains(it.at)) {
                        showDeletion(name, it.at);
                    }
                }
            }
        } else if (const auto &changes = std::get<Result<Changes>>(answer)) {
            for (const Change &it : changes->events) {
                if (it.type == ChangeType::Delete) {
                    showDeletion(it.object.name, {changes->position.era(), it.object.version});
                }
            }
        }
    }

    // Position of the write that gave `rate`. For 0, of the first deletion after `previous`, the most that its absence shows.
    StorePosition positionOf(const std::string &name, double rate, const StorePosition &previous)
    {
        std::optional<StorePosition> found;
        for (const Write &it : m_writes[name]) {
            if (it.rate == rate && (rate != 0 || it.at > previous) && (!found || it.at < *found)) {
                found = it.at;
            }
        }
        BOOST_REQUIRE_MESSAGE(found.has_value(), name + " left without a deletion after " + toString(previous));
        return *found;
    }

    void checkNothingRegressed()
    {
        if (!m_harness.inForce) {
            return;
        }
        for (const std::string &it : m_names) {
            const double rate = m_harness.rate(it);
            const auto seen = m_seen.find(it);
            if (seen == m_seen.end() ? rate == 0 : seen->second.rate == rate) {
                continue;
            }
            const StorePosition previous = seen == m_seen.end() ? StorePosition() : seen->second.at;
            const StorePosition current = positionOf(it, rate, previous);
            BOOST_TEST((current > previous), it + " went from " + toString(previous) + " to " + toString(current));
            m_seen[it] = {.at = current, .rate = rate};
        }
    }

    void checkEverythingWrittenIsInForce()
    {
        const auto list = m_harness.store.list({});
        for (const std::string &it : m_names) {
            const auto stored = m_harness.store.get(Kind::ClientAccount, it);
            const double storedRate = stored ? std::get<ClientAccount>(stored->object.spec).limits.ratePerSecond : 0;
            const auto isOfThisEra = [&](const Write &write) { return write.at.era() == list->position.era(); };
            if (std::any_of(m_writes[it].begin(), m_writes[it].end(), isOfThisEra)) {
                BOOST_TEST(m_harness.rate(it) == storedRate, it + " isn't as written in the present era");
            } else if (stored && m_seen.contains(it)) {
                // An object may be absent because of any deletion that the follower was shown.
                const StorePosition known = m_harness.rate(it) == 0 ? std::max(m_seen.at(it).at, m_shownDeletions[it]) : m_seen.at(it).at;
                BOOST_TEST((known >= list->eras.positionOf(stored->object.version)), it + " is older than in the store");
            }
        }
    }

    std::mt19937_64 m_random;
    FollowerHarness m_harness;
    const std::vector<std::string> m_names{"a", "b", "c", "d"};
    std::map<std::string, std::vector<Write>> m_writes;
    std::map<std::string, Write> m_seen; // the state in force
    std::map<std::string, StorePosition> m_shownDeletions;
    std::vector<StoreBackup> m_backups;
    std::vector<Answer> m_pending;
    double m_lastRate = 0;
};

} // namespace

// Guards against any order of writes, restores and late answers in which an object goes back to an older state than one that was in
// force, or a write after the last restore isn't taken.
BOOST_AUTO_TEST_CASE(no_order_of_restores_and_late_answers_reverts_an_object_or_misses_a_write)
{
    constexpr std::uint64_t plays = 2000;
    for (std::uint64_t i = 0; i < plays; ++i) {
        BOOST_TEST_CONTEXT("seed " << seed + i)
        {
            RestorePlay(seed + i).run(80);
        }
    }
}
