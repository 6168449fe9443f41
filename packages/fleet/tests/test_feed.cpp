// What a Vm that watches the store tells the others, and when these ask the store themselves.
#include "feed.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;

namespace {

DocumentChanges changesAt(std::uint64_t revision)
{
    return {.revision = revision, .events = {{.document = {.name = "i-" + std::to_string(revision), .revision = revision}}}};
}

} // namespace

// Pattern: every Vm dies at once and starts from a list that is seconds old; the holders know nothing from before their own
// (bvf-gateway-grown, trouble-3: a configuration was 2.6 s late on all of them).
BOOST_AUTO_TEST_CASE(two_holders_that_know_nothing_so_old_send_a_vm_to_the_store)
{
    FeedMisses misses;
    misses.noteUnknown();
    BOOST_TEST(!misses.areMany());
    misses.noteUnknown();
    BOOST_TEST(misses.areMany());
}

BOOST_AUTO_TEST_CASE(two_lost_datagrams_do_not)
{
    FeedMisses misses;
    misses.noteSilence();
    misses.noteSilence();
    BOOST_TEST(!misses.areMany());
    misses.noteChanges();
    misses.noteSilence();
    misses.noteSilence();
    BOOST_TEST(!misses.areMany());
    misses.noteSilence();
    BOOST_TEST(misses.areMany());
}

BOOST_AUTO_TEST_CASE(changes_are_known_from_the_list_on)
{
    ChangeLog log;
    BOOST_TEST(!log.since(1).has_value());
    log.startAt(40);
    log.add(changesAt(42));
    BOOST_TEST(!log.since(39).has_value());
    BOOST_TEST(log.since(40)->events.size() == 1U);
    BOOST_TEST(log.since(42)->events.empty());
    BOOST_TEST(log.since(42)->revision == 42U);
    BOOST_TEST(!log.since(43).has_value());
}
