// The change log of a store watcher, and when other Vms fall back from polling it to the store.
#include "feed.h"
#include "packed_text.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;

namespace {

DocumentChanges changesAt(std::uint64_t revision)
{
    const StorePosition position(1, revision);
    return {.position = position,
            .events = {{.document = {.name = "i-" + std::to_string(revision), .revision = revision}, .position = position}}};
}

FeedCursor cursorAt(std::uint64_t revision, std::uint64_t era = 1)
{
    return {.since = {era, revision}, .newestChange = {era, revision}};
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
    BOOST_TEST(!log.since(cursorAt(1)).has_value());
    log.restartAt({1, 40});
    log.add(changesAt(42));
    BOOST_TEST(!log.since(cursorAt(39)).has_value());
    BOOST_TEST(log.since(cursorAt(40))->events.size() == 1U);
    BOOST_TEST(log.since(cursorAt(42))->events.empty());
    BOOST_TEST((log.since(cursorAt(42))->position == StorePosition(1, 42)));
}

// A Vm polls sources that are ahead of each other by turns. One that had to ask the store whenever its source was behind would cost
// a call for each change.
BOOST_AUTO_TEST_CASE(a_source_that_is_behind_reports_no_changes)
{
    ChangeLog log;
    log.restartAt({1, 40});
    log.add(changesAt(42));
    BOOST_REQUIRE(log.since(cursorAt(43)).has_value());
    BOOST_TEST(log.since(cursorAt(43))->events.empty());
    BOOST_TEST((log.since(cursorAt(43))->position == StorePosition(1, 42)));
}

BOOST_AUTO_TEST_CASE(a_change_that_arrives_from_two_sources_is_logged_once)
{
    ChangeLog log;
    log.restartAt({1, 40});
    log.add(changesAt(42));
    log.add(changesAt(42));
    BOOST_TEST(log.since(cursorAt(40))->events.size() == 1U);
}

// Pattern: the store discards its history. If the list that follows weren't passed on as changes, each of 443 Vms would have to list
// the kind itself.
BOOST_AUTO_TEST_CASE(a_list_after_lost_history_is_passed_on_as_changes)
{
    ChangeLog log;
    log.addList({.position = {1, 40},
                 .items = {{.name = "stays", .revision = 30}, {.name = "changes", .revision = 31}, {.name = "goes", .revision = 32}}});
    log.addList({.position = {1, 50},
                 .items = {{.name = "stays", .revision = 30}, {.name = "changes", .revision = 45}, {.name = "comes", .revision = 44}}});
    const std::optional<DocumentChanges> changes = log.since(cursorAt(40));
    BOOST_REQUIRE(changes.has_value());
    BOOST_TEST((changes->position == StorePosition(1, 50)));
    BOOST_REQUIRE(changes->events.size() == 3U);
    BOOST_TEST(changes->events[0].document.name == "comes");
    BOOST_TEST(changes->events[1].document.name == "changes");
    BOOST_TEST(changes->events[2].document.name == "goes");
    BOOST_TEST(changes->events[2].isDeleted);
    BOOST_TEST(log.since(cursorAt(45))->events.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_list_older_than_the_log_changes_nothing)
{
    ChangeLog log;
    log.addList({.position = {1, 40}, .items = {{.name = "a", .revision = 30}}});
    log.addList({.position = {1, 35}});
    BOOST_TEST(log.since(cursorAt(40))->events.empty());
    BOOST_TEST((log.since(cursorAt(40))->position == StorePosition(1, 40)));
}

// A log that started with a watch doesn't know all documents. If the differences from a list were taken for complete, a document deleted
// in between would stay in use on the Vms that poll this one.
BOOST_AUTO_TEST_CASE(a_list_restarts_a_log_that_does_not_know_all_documents)
{
    ChangeLog log;
    log.restartAt({1, 40});
    log.add(changesAt(42));
    log.addList({.position = {1, 50}, .items = {{.name = "a", .revision = 45}}});
    BOOST_TEST(!log.since(cursorAt(42)).has_value());
    BOOST_TEST(log.since(cursorAt(50))->events.empty());
}

// A restored store gives out lower revisions. Compared as bare numbers, everything up to the old revision was ignored, and the Vms that
// poll this one never got it.
BOOST_AUTO_TEST_CASE(a_list_of_a_later_era_is_passed_on_as_changes_although_its_revision_is_lower)
{
    ChangeLog log;
    log.addList({.position = {1, 40},
                 .items = {{.name = "stays", .revision = 10}, {.name = "goes back", .revision = 35}, {.name = "lost", .revision = 38}}});
    log.addList({.position = {2, 31},
                 .items = {{.name = "stays", .revision = 10}, {.name = "goes back", .revision = 12}, {.name = "returns", .revision = 15}}});
    const std::optional<DocumentChanges> changes = log.since(cursorAt(40));
    BOOST_REQUIRE(changes.has_value());
    BOOST_TEST((changes->position == StorePosition(2, 31)));
    BOOST_REQUIRE(changes->events.size() == 3U);
    BOOST_TEST(changes->events[0].document.name == "goes back");
    BOOST_TEST(changes->events[1].document.name == "returns");
    BOOST_TEST(changes->events[2].document.name == "lost");
    BOOST_TEST(changes->events[2].isDeleted);

    ChangeLog receiver; // polls the Vm with the first log
    receiver.addList({.position = {1, 40}});
    receiver.add(*changes);
    BOOST_TEST((receiver.end() == StorePosition(2, 31)));
    BOOST_TEST(receiver.since(cursorAt(40))->events.size() == 3U);
}

// The restored store gives out a revision again, for other content of the same document.
BOOST_AUTO_TEST_CASE(a_document_with_the_same_revision_but_other_content_in_a_later_era_is_a_change)
{
    ChangeLog log;
    JsonValue spec = JsonValue::makeObject();
    spec.add("state", std::string("ready"));
    log.addList({.position = {1, 40}, .items = {{.name = "a", .revision = 35, .created = 3, .spec = spec}}});
    JsonValue changed = JsonValue::makeObject();
    changed.add("state", std::string("draining"));
    log.addList({.position = {2, 35}, .items = {{.name = "a", .revision = 35, .created = 3, .spec = changed}}});
    BOOST_TEST(log.since(cursorAt(40))->events.size() == 1U);
}

// Datagrams and answers may be delayed until after the restore. One that was applied then would undo what the store says now.
BOOST_AUTO_TEST_CASE(changes_and_lists_of_an_earlier_era_change_nothing_in_either_order)
{
    ChangeLog log;
    log.addList({.position = {1, 40}, .items = {{.name = "a", .revision = 35}}});
    log.addList({.position = {2, 20}, .items = {{.name = "a", .revision = 12}}});
    const DocumentChanges late{.position = {1, 50}, .events = {{.document = {.name = "a", .revision = 45}, .position = {1, 45}}}};
    log.add(late);
    log.addList({.position = {1, 60}});
    BOOST_TEST((log.end() == StorePosition(2, 20)));
    BOOST_TEST(log.since(cursorAt(20, 2))->events.empty());
    BOOST_TEST(log.since(cursorAt(40))->events.size() == 1U);

    ChangeLog early; // the earlier era's changes arrive first
    early.addList({.position = {1, 40}, .items = {{.name = "a", .revision = 35}}});
    early.add(late);
    early.addList({.position = {2, 20}, .items = {{.name = "a", .revision = 12}}});
    BOOST_TEST((early.end() == StorePosition(2, 20)));
    BOOST_TEST(early.since(cursorAt(50))->events.size() == 1U);
}

// The differences lead from what this log knew. To a Vm that knew a later change they would leave that change in force, although the
// store lost it.
BOOST_AUTO_TEST_CASE(a_log_does_not_cover_a_vm_that_knew_a_later_change_of_the_earlier_era)
{
    ChangeLog log;
    log.addList({.position = {1, 40}, .items = {{.name = "a", .revision = 35}}});
    log.addList({.position = {2, 20}, .items = {{.name = "a", .revision = 35}}});
    BOOST_TEST(!log.since({.since = {1, 44}, .newestChange = {1, 42}}).has_value());
    BOOST_TEST(log.since({.since = {1, 44}, .newestChange = {1, 40}}).has_value());
}

// What changed in the new era before this Vm listed the store is known only as differences from the earlier era.
BOOST_AUTO_TEST_CASE(a_log_does_not_cover_positions_of_an_era_before_its_first_list_of_it)
{
    ChangeLog log;
    log.addList({.position = {1, 40}, .items = {{.name = "a", .revision = 33}}});
    log.addList({.position = {2, 35}, .items = {{.name = "a", .revision = 33}}});
    BOOST_TEST(!log.since(cursorAt(30, 2)).has_value());
    BOOST_TEST(log.since(cursorAt(35, 2)).has_value());
    log.addList({.position = {3, 10}, .items = {{.name = "a", .revision = 5}}});
    BOOST_TEST(log.since(cursorAt(40)).has_value());
    BOOST_TEST(log.since(cursorAt(36, 2))->events.size() == 1U);
    BOOST_TEST(log.since(cursorAt(40))->events.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_log_trimmed_within_a_later_era_covers_no_earlier_one)
{
    ChangeLog log;
    log.addList({.position = {1, 40}});
    DocumentList list{.position = {2, 5000}};
    for (std::uint64_t i = 1; i <= ChangeLog::maxChanges + 1; ++i) {
        list.items.push_back({.name = "i-" + std::to_string(i), .revision = i});
    }
    log.addList(list);
    BOOST_TEST(!log.since(cursorAt(40)).has_value());
    BOOST_TEST(log.since(cursorAt(5000, 2)).has_value());
}

// A reply with all declarations was built from their parsed form for each of a dozen VMs that asked; on the smallest VMs that took longer
// than they waited.
BOOST_AUTO_TEST_CASE(a_reply_has_a_large_spec_in_its_compressed_form_only)
{
    JsonValue spec = JsonValue::makeObject();
    spec.add("routes", std::string(20000, 'r'));
    ChangeLog log;
    log.restartAt({1, 40});
    log.add({.position = {1, 42}, .events = {{.document = {.name = "main", .revision = 42, .spec = spec}, .position = {1, 42}}}});
    const std::optional<DocumentChanges> parsed = log.since(cursorAt(40));
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST((parsed->events.front().document.spec == spec));
    const std::optional<DocumentChanges> packed = log.since(cursorAt(40), {}, ChangeLog::SpecForm::Packed);
    BOOST_REQUIRE(packed.has_value());
    BOOST_TEST((packed->events.front().document.spec == JsonValue()));

    const std::string bytes = encodeDatagram({"vm-1"}, FeedReply{.id = 7, .changes = {{"config", packed}}});
    BOOST_TEST(bytes.size() < 1000U);
    const auto received = std::get<FeedReply>(decodeDatagram(bytes)->second);
    BOOST_REQUIRE(received.changes.at("config").has_value());
    BOOST_TEST((received.changes.at("config")->events.front().document.spec == spec));
}

// Ten versions of the declarations in a second made a reply ten times as long.
BOOST_AUTO_TEST_CASE(a_reply_has_the_newest_change_of_a_document_only)
{
    ChangeLog log;
    log.restartAt({1, 40});
    for (std::uint64_t revision = 41; revision <= 50; ++revision) {
        log.add({.position = {1, revision}, .events = {{.document = {.name = "main", .revision = revision}, .position = {1, revision}}}});
    }
    log.add(changesAt(51));
    const std::optional<DocumentChanges> changes = log.since(cursorAt(42));
    BOOST_REQUIRE(changes.has_value());
    BOOST_REQUIRE(changes->events.size() == 2U);
    BOOST_TEST(changes->events[0].document.revision == 50U);
    BOOST_TEST(changes->events[1].document.revision == 51U);
    BOOST_TEST(log.since(cursorAt(50))->events.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_compressed_spec_that_is_malformed_is_taken_as_not_covered)
{
    const auto damaged = std::make_shared<PackedText>(PackedText{.bytes = "not zlib", .textBytes = 20});
    const auto huge = std::make_shared<PackedText>(PackedText{.bytes = packText(std::string(2000, 'x'))->bytes, .textBytes = 3000000000});
    for (const auto &it : {damaged, huge}) {
        const DocumentChanges changes{.position = {1, 42},
                                      .events = {{.document = {.name = "main", .revision = 42, .packedSpec = it}, .position = {1, 42}}}};
        const std::string bytes = encodeDatagram({"vm-1"}, FeedReply{.id = 7, .changes = {{"config", changes}}});
        BOOST_TEST(!std::get<FeedReply>(decodeDatagram(bytes)->second).changes.at("config").has_value());
    }
}

// Guards against a Vm that lists at another one and gets the recent changes only, or documents that were removed.
BOOST_AUTO_TEST_CASE(a_log_that_keeps_contents_answers_a_vm_that_knows_nothing)
{
    ChangeLog log;
    log.keepContents();
    BOOST_TEST(!log.since({}).has_value());
    log.addList({.position = {1, 40}, .items = {{.name = "fd-a", .revision = 30}, {.name = "fd-b", .revision = 31}}});
    log.add({.position = {1, 42},
             .events = {{.isDeleted = true, .document = {.name = "fd-a", .revision = 41}, .position = {1, 41}},
                        {.document = {.name = "fd-c", .revision = 42}, .position = {1, 42}}}});
    const std::optional<DocumentChanges> all = log.since({});
    BOOST_REQUIRE(all.has_value());
    BOOST_TEST((all->position == StorePosition(1, 42)));
    BOOST_REQUIRE(all->events.size() == 2U);
    BOOST_TEST(all->events[0].document.name == "fd-b");
    BOOST_TEST(all->events[1].document.name == "fd-c");

    ChangeLog plain;
    plain.addList({.position = {1, 40}, .items = {{.name = "fd-a", .revision = 30}}});
    BOOST_TEST(!plain.since({}).has_value());
}
