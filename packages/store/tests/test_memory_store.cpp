#include <boost/test/unit_test.hpp>
#include <pollenspoke/store.h>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

Object account(double rate)
{
    return Object{.name = "a", .spec = ClientAccount{.limits = {.ratePerSecond = rate, .burst = 1}}};
}

} // namespace

BOOST_AUTO_TEST_CASE(conditional_update_lets_one_of_two_writers_win)
{
    MemoryStore store;
    const auto first = store.put(account(1), MustNotExist{});
    BOOST_REQUIRE(first);
    BOOST_TEST((store.put(account(2), MustNotExist{}).error().code == ErrorCode::VersionConflict));
    const auto second = store.put(account(2), MustHaveVersion{first->version});
    BOOST_REQUIRE(second);
    BOOST_TEST(second->version > first->version);
    const auto outdated = store.put(account(3), MustHaveVersion{first->version});
    BOOST_TEST((outdated.error().code == ErrorCode::VersionConflict));
    BOOST_TEST((std::get<ClientAccount>(store.get(Kind::ClientAccount, "a")->object.spec).limits.ratePerSecond == 2));
}

BOOST_AUTO_TEST_CASE(write_with_a_lost_response_takes_effect)
{
    MemoryStore store;
    store.setFaults({.lostResponses = 1});
    BOOST_TEST((store.put(account(1), MustNotExist{}).error().code == ErrorCode::OutcomeUnknown));
    BOOST_TEST(store.get(Kind::ClientAccount, "a").has_value());
}

BOOST_AUTO_TEST_CASE(unavailable_store_executes_no_write)
{
    MemoryStore store;
    store.setFaults({.isDown = true});
    BOOST_TEST((store.put(account(1), MustNotExist{}).error().code == ErrorCode::Unavailable));
    store.setFaults({});
    BOOST_TEST((store.get(Kind::ClientAccount, "a").error().code == ErrorCode::NotFound));
}

BOOST_AUTO_TEST_CASE(watch_returns_changes_in_order_and_refuses_future_revisions)
{
    MemoryStore store;
    const auto stored = store.put(account(1), MustNotExist{});
    BOOST_REQUIRE(store.remove(Kind::ClientAccount, "a", {stored->version}));
    const auto changes = store.watch({0, 0}, {}, 0s);
    BOOST_REQUIRE(changes);
    BOOST_TEST(changes->events.size() == 2);
    BOOST_TEST((changes->events.back().type == ChangeType::Delete));
    BOOST_TEST((store.watch({0, changes->position.revision() + 1}, {}, 0s).error().code == ErrorCode::TooOld));
    BOOST_TEST(store.watch(changes->position, {}, 1ms)->events.empty());
}

BOOST_AUTO_TEST_CASE(compacted_history_requires_a_new_list)
{
    MemoryStore store(3);
    for (int i = 1; i <= 5; ++i) {
        BOOST_REQUIRE(store.put(Object{.name = "a" + std::to_string(i), .spec = account(1).spec}, MustNotExist{}));
    }
    BOOST_TEST((store.watch({0, 1}, {}, 0s).error().code == ErrorCode::TooOld));
    BOOST_TEST(store.watch({0, 2}, {}, 0s)->events.size() == 3);
    const auto list = store.list({});
    BOOST_TEST(list->items.size() == 5);
    BOOST_TEST(store.watch(list->position, {}, 0s)->events.empty());
}

BOOST_AUTO_TEST_CASE(simulated_watch_faults_drop_and_duplicate_changes)
{
    MemoryStore store;
    store.setFaults({.droppedChanges = 1, .isDuplicating = true});
    const auto first = store.put(account(1), MustNotExist{});
    BOOST_REQUIRE(store.put(account(2), MustHaveVersion{first->version}));
    const auto changes = store.watch({0, 0}, {}, 0s);
    BOOST_TEST(changes->position.revision() == 2);
    BOOST_REQUIRE(changes->events.size() == 2);
    BOOST_TEST(changes->events[0].object.version == 2);
    BOOST_TEST(changes->events[1].object.version == 2);
}

BOOST_AUTO_TEST_CASE(restored_store_discards_later_writes)
{
    MemoryStore store;
    const auto first = store.put(account(1), MustNotExist{});
    const StoreBackup backup = store.backup();
    BOOST_REQUIRE(store.put(account(2), MustHaveVersion{first->version}));
    store.restore(backup);
    BOOST_TEST((store.get(Kind::ClientAccount, "a")->object == *first));
    BOOST_TEST(store.list({})->position.revision() == 1);
    BOOST_TEST((store.watch({0, 2}, {}, 0s).error().code == ErrorCode::TooOld));
}

// Guards against a watch that misses a write because its revision was given out again after the store was restored.
BOOST_AUTO_TEST_CASE(watch_from_before_a_restore_is_too_old_even_if_its_revision_exists_again)
{
    MemoryStore store;
    const auto first = store.put(account(1), MustNotExist{});
    const StoreBackup backup = store.backup();
    BOOST_REQUIRE(store.put(account(2), MustHaveVersion{first->version}));
    const StorePosition before = store.list({})->position;
    store.restore(backup);
    BOOST_REQUIRE(store.put(account(3), MustHaveVersion{first->version}));
    const auto list = store.list({});
    BOOST_TEST(list->position.revision() == before.revision());
    BOOST_TEST((list->position > before));
    const auto changes = store.watch(before, {}, 0s);
    BOOST_REQUIRE(!changes);
    BOOST_TEST((changes.error().code == ErrorCode::TooOld));
    const auto sinceRestore = store.watch({list->eras.era(), list->eras.start()}, {}, 0s);
    BOOST_REQUIRE(sinceRestore);
    BOOST_TEST(sinceRestore->events.size() == 1);
}

// Guards against a watch that waits through a restore and then reports no change, at a lower revision.
BOOST_AUTO_TEST_CASE(watch_that_waits_while_the_store_is_restored_is_too_old)
{
    MemoryStore store;
    const StoreBackup backup = store.backup();
    BOOST_REQUIRE(store.put(account(1), MustNotExist{}));
    const StorePosition before = store.list({})->position;
    std::thread restoringThread([&] {
        while (store.calls() < 3) {
            std::this_thread::yield();
        }
        store.restore(backup);
    });
    const auto changes = store.watch(before, {}, 2s);
    restoringThread.join();
    BOOST_REQUIRE(!changes);
    BOOST_TEST((changes.error().code == ErrorCode::TooOld));
}

// Guards against a conditional write that overwrites another object's state because versions were given out again.
BOOST_AUTO_TEST_CASE(version_of_an_earlier_era_does_not_satisfy_a_condition)
{
    MemoryStore store;
    const auto first = store.put(account(1), MustNotExist{});
    const StoreBackup backup = store.backup();
    const auto lost = store.put(account(2), MustHaveVersion{first->version});
    store.restore(backup);
    const auto rewritten = store.put(account(3), MustHaveVersion{first->version});
    BOOST_REQUIRE(rewritten);
    BOOST_TEST(rewritten->version == lost->version);
    const auto outdated = store.put(account(4), MustHaveVersion{.version = lost->version, .era = 1});
    BOOST_REQUIRE(!outdated);
    BOOST_TEST((outdated.error().code == ErrorCode::VersionConflict));
    BOOST_TEST(outdated.error().version == rewritten->version);
    BOOST_TEST(store.put(account(4), MustHaveVersion{.version = rewritten->version, .era = 2}).has_value());
}

// Guards against a deletion after a restore that no list shows, so that followers keep what they had before the restore.
BOOST_AUTO_TEST_CASE(list_of_a_restored_store_names_what_was_deleted_since)
{
    MemoryStore store;
    const StoreBackup backup = store.backup();
    store.restore(backup);
    const auto written = store.put(account(1), MustNotExist{});
    BOOST_REQUIRE(store.remove(Kind::ClientAccount, "a", {written->version}));
    BOOST_TEST((store.list({})->removed == std::vector<RemovedObject>{{.kind = Kind::ClientAccount, .name = "a", .version = 2}}));
    BOOST_TEST(store.list({Kind::Key})->removed.empty());
    BOOST_REQUIRE(store.put(account(2), MustNotExist{}));
    BOOST_TEST(store.list({})->removed.empty());
}

// Guards against a position of a lost era that is taken for one of the present contents, or the other way round.
BOOST_AUTO_TEST_CASE(eras_tell_whether_the_contents_result_from_a_position)
{
    const StoreEras fromFirst = StoreEras::first().restoredAs(2, 5);
    const StoreEras fromSecond = fromFirst.restoredAs(3, 7);
    const StoreEras skipsSecond = StoreEras::first().restoredAs(3, 7);
    BOOST_TEST((fromSecond.positionOf(5) == StorePosition(1, 5)));
    BOOST_TEST((fromSecond.positionOf(6) == StorePosition(2, 6)));
    BOOST_TEST((fromSecond.positionOf(8) == StorePosition(3, 8)));
    BOOST_TEST((skipsSecond.positionOf(6) == StorePosition(1, 6)));
    BOOST_TEST(fromSecond.contains({1, 5}));
    BOOST_TEST(!fromSecond.contains({1, 6}));
    BOOST_TEST(fromSecond.contains({2, 7}));
    BOOST_TEST(!fromSecond.contains({2, 8}));
    BOOST_TEST(skipsSecond.contains({1, 7}));
    BOOST_TEST(!skipsSecond.contains({2, 6}));
    BOOST_TEST(StoreEras().contains({0, 9}));
    BOOST_TEST((StoreEras::fromList({{.era = 1, .start = 0}, {.era = 1, .start = 2}}).error().code == ErrorCode::OutOfRange));
    BOOST_TEST((StoreEras::fromList({{.era = 1, .start = 4}, {.era = 2, .start = 2}}).error().code == ErrorCode::OutOfRange));
}

BOOST_AUTO_TEST_CASE(ending_watches_wakes_waiting_ones)
{
    MemoryStore store;
    std::thread endingThread([&store] { store.endWatches(); });
    BOOST_TEST(store.watch({0, 0}, {}, 60s)->events.empty());
    endingThread.join();
}
