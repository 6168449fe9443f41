// The change log of a store watcher, and when other Vms fall back from polling it to the store.
#include "feed.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;

namespace {

DocumentChanges changesAt(std::uint64_t revision)
{
    return {.revision = revision, .events = {{.document = {.name = "i-" + std::to_string(revision), .revision = revision}}}};
}

} // namespace

// After a simultaneous restart of all Vms, each starts from a stale list, and no watcher's change log reaches back that far. Vms
// that went on polling the watchers applied a configuration 2.6 s late.
BOOST_AUTO_TEST_CASE(two_change_logs_that_start_too_late_send_a_vm_to_the_store)
{
    FeedFailures failures;
    failures.recordNotCovered();
    BOOST_TEST(!failures.isLimitReached());
    failures.recordNotCovered();
    BOOST_TEST(failures.isLimitReached());
}

BOOST_AUTO_TEST_CASE(two_lost_datagrams_do_not_send_a_vm_to_the_store)
{
    FeedFailures failures;
    failures.recordTimeout();
    failures.recordTimeout();
    BOOST_TEST(!failures.isLimitReached());
    failures.recordChanges();
    failures.recordTimeout();
    failures.recordTimeout();
    BOOST_TEST(!failures.isLimitReached());
    failures.recordTimeout();
    BOOST_TEST(failures.isLimitReached());
}

BOOST_AUTO_TEST_CASE(a_change_log_covers_only_changes_after_its_start)
{
    ChangeLog log;
    BOOST_TEST(!log.since(1).has_value());
    log.restartAt(40);
    log.add(changesAt(42));
    BOOST_TEST(!log.since(39).has_value());
    BOOST_TEST(log.since(40)->events.size() == 1U);
    BOOST_TEST(log.since(42)->events.empty());
    BOOST_TEST(log.since(42)->revision == 42U);
}

// A Vm polls sources that are ahead of each other by turns. One that had to ask the store whenever its source was behind would cost
// a call for each change.
BOOST_AUTO_TEST_CASE(a_source_that_is_behind_reports_no_changes)
{
    ChangeLog log;
    log.restartAt(40);
    log.add(changesAt(42));
    BOOST_REQUIRE(log.since(43).has_value());
    BOOST_TEST(log.since(43)->events.empty());
    BOOST_TEST(log.since(43)->revision == 42U);
}

BOOST_AUTO_TEST_CASE(a_change_that_arrives_from_two_sources_is_logged_once)
{
    ChangeLog log;
    log.restartAt(40);
    log.add(changesAt(42));
    log.add(changesAt(42));
    BOOST_TEST(log.since(40)->events.size() == 1U);
}

// Pattern: the store discards its history. If the list that follows weren't passed on as changes, each of 443 Vms would have to list
// the kind itself.
BOOST_AUTO_TEST_CASE(a_list_after_lost_history_is_passed_on_as_changes)
{
    ChangeLog log;
    log.addList({.revision = 40,
                 .items = {{.name = "stays", .revision = 30}, {.name = "changes", .revision = 31}, {.name = "goes", .revision = 32}}});
    log.addList({.revision = 50,
                 .items = {{.name = "stays", .revision = 30}, {.name = "changes", .revision = 45}, {.name = "comes", .revision = 44}}});
    const std::optional<DocumentChanges> changes = log.since(40);
    BOOST_REQUIRE(changes.has_value());
    BOOST_TEST(changes->revision == 50U);
    BOOST_REQUIRE(changes->events.size() == 3U);
    BOOST_TEST(changes->events[0].document.name == "comes");
    BOOST_TEST(changes->events[1].document.name == "changes");
    BOOST_TEST(changes->events[2].document.name == "goes");
    BOOST_TEST(changes->events[2].isDeleted);
    BOOST_TEST(log.since(45)->events.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_list_older_than_the_log_changes_nothing)
{
    ChangeLog log;
    log.addList({.revision = 40, .items = {{.name = "a", .revision = 30}}});
    log.addList({.revision = 35});
    BOOST_TEST(log.since(40)->events.empty());
    BOOST_TEST(log.since(40)->revision == 40U);
}

// A log that started with a watch doesn't know all documents. If the differences from a list were taken for complete, a document deleted
// in between would stay in use on the Vms that poll this one.
BOOST_AUTO_TEST_CASE(a_list_restarts_a_log_that_does_not_know_all_documents)
{
    ChangeLog log;
    log.restartAt(40);
    log.add(changesAt(42));
    log.addList({.revision = 50, .items = {{.name = "a", .revision = 45}}});
    BOOST_TEST(!log.since(42).has_value());
    BOOST_TEST(log.since(50)->events.empty());
}
