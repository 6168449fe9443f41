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
    BOOST_TEST(!log.since(43).has_value());
}
