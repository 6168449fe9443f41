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
    BOOST_TEST((std::get<ClientAccount>(store.get(Kind::ClientAccount, "a")->spec).limits.ratePerSecond == 2));
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
    BOOST_REQUIRE(store.remove(Kind::ClientAccount, "a", stored->version));
    const auto changes = store.watch(0, {}, 0s);
    BOOST_REQUIRE(changes);
    BOOST_TEST(changes->events.size() == 2);
    BOOST_TEST((changes->events.back().type == ChangeType::Delete));
    BOOST_TEST((store.watch(changes->revision + 1, {}, 0s).error().code == ErrorCode::TooOld));
    BOOST_TEST(store.watch(changes->revision, {}, 1ms)->events.empty());
}

BOOST_AUTO_TEST_CASE(compacted_history_requires_a_new_list)
{
    MemoryStore store(3);
    for (int i = 1; i <= 5; ++i) {
        BOOST_REQUIRE(store.put(Object{.name = "a" + std::to_string(i), .spec = account(1).spec}, MustNotExist{}));
    }
    BOOST_TEST((store.watch(1, {}, 0s).error().code == ErrorCode::TooOld));
    BOOST_TEST(store.watch(2, {}, 0s)->events.size() == 3);
    const auto list = store.list({});
    BOOST_TEST(list->items.size() == 5);
    BOOST_TEST(store.watch(list->revision, {}, 0s)->events.empty());
}

BOOST_AUTO_TEST_CASE(simulated_watch_faults_drop_and_duplicate_changes)
{
    MemoryStore store;
    store.setFaults({.droppedChanges = 1, .isDuplicating = true});
    const auto first = store.put(account(1), MustNotExist{});
    BOOST_REQUIRE(store.put(account(2), MustHaveVersion{first->version}));
    const auto changes = store.watch(0, {}, 0s);
    BOOST_TEST(changes->revision == 2);
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
    BOOST_TEST((*store.get(Kind::ClientAccount, "a") == *first));
    BOOST_TEST(store.list({})->revision == 1);
    BOOST_TEST((store.watch(2, {}, 0s).error().code == ErrorCode::TooOld));
}

BOOST_AUTO_TEST_CASE(ending_watches_wakes_waiting_ones)
{
    MemoryStore store;
    std::thread endingThread([&store] { store.endWatches(); });
    BOOST_TEST(store.watch(0, {}, 60s)->events.empty());
    endingThread.join();
}
