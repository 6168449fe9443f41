// Datagrams: positions of the store, and those that are too long to be sent whole.
#include "link.h"

#include <boost/test/unit_test.hpp>
#include <limits>

using namespace Pollenspoke;

namespace {

const VmName sender{"vm-1"};

std::vector<Fragment> split(std::uint64_t id, std::string_view bytes)
{
    std::vector<Fragment> fragments;
    for (const std::string &it : splitDatagram(sender, id, bytes)) {
        fragments.push_back(decodeFragment(it)->second);
    }
    return fragments;
}

std::string makeBytes(std::size_t n, char first)
{
    std::string bytes(n, first);
    bytes.back() = 'z';
    return bytes;
}

} // namespace

// A configuration of a thousand routes doesn't fit into one datagram: each Vm that couldn't get it from another one called the store.
BOOST_AUTO_TEST_CASE(a_long_datagram_is_joined_from_fragments_in_any_order)
{
    const std::string bytes = makeBytes(300000, 'a');
    std::vector<Fragment> fragments = split(7, bytes);
    BOOST_TEST(fragments.size() > 1U);
    std::swap(fragments.front(), fragments.back());
    Reassembler reassembler;
    std::optional<std::string> joined;
    for (const Fragment &it : fragments) {
        BOOST_TEST(!joined.has_value());
        joined = reassembler.add(sender, it);
    }
    BOOST_REQUIRE(joined.has_value());
    BOOST_TEST((*joined == bytes));
}

BOOST_AUTO_TEST_CASE(a_lost_or_repeated_fragment_completes_nothing)
{
    const std::vector<Fragment> fragments = split(7, makeBytes(40000, 'a'));
    BOOST_REQUIRE(fragments.size() == 3U);
    Reassembler reassembler;
    BOOST_TEST(!reassembler.add(sender, fragments[0]).has_value());
    BOOST_TEST(!reassembler.add(sender, fragments[0]).has_value());
    BOOST_TEST(!reassembler.add(sender, fragments[2]).has_value());
    BOOST_TEST(!reassembler.add({"vm-2"}, fragments[1]).has_value()); // the same id of another Vm
}

BOOST_AUTO_TEST_CASE(fragments_that_no_datagram_has_are_ignored)
{
    Reassembler reassembler;
    BOOST_TEST(!reassembler.add(sender, {.id = 1, .index = 0, .count = 0, .part = "a"}).has_value());
    BOOST_TEST(!reassembler.add(sender, {.id = 1, .index = 3, .count = 3, .part = "a"}).has_value());
    BOOST_TEST(!reassembler.add(sender, {.id = 1, .index = 0, .count = Reassembler::maxFragments + 1, .part = "a"}).has_value());
    BOOST_TEST(!reassembler.add(sender, {.id = 2, .index = 0, .count = 2, .part = "a"}).has_value());
    BOOST_TEST(!reassembler.add(sender, {.id = 2, .index = 4, .count = 5, .part = "a"}).has_value());
}

BOOST_AUTO_TEST_CASE(incomplete_datagrams_are_dropped_from_the_oldest_on)
{
    Reassembler reassembler;
    for (std::uint64_t id = 0; id <= Reassembler::maxIncomplete; ++id) {
        BOOST_TEST(!reassembler.add(sender, {.id = id, .index = 0, .count = 2, .part = "a"}).has_value());
    }
    BOOST_TEST(reassembler.add(sender, {.id = 1, .index = 1, .count = 2, .part = "b"}).value_or("") == "ab");
    BOOST_TEST(!reassembler.add(sender, {.id = 0, .index = 1, .count = 2, .part = "b"}).has_value());
}

// A position that loses its era on the way is taken for one before the store was restored, or after.
BOOST_AUTO_TEST_CASE(positions_keep_their_era_in_datagrams)
{
    const auto send = [](const LinkMessage &message) { return decodeDatagram(encodeDatagram(sender, message))->second; };
    const auto status = std::get<StatusReport>(send(StatusReport{.newestChange = {3, 40}}));
    BOOST_TEST((status.newestChange == StorePosition(3, 40)));
    const FeedCursor cursor{.since = {3, 44}, .newestChange = {3, 40}};
    const auto request = std::get<FeedRequest>(send(FeedRequest{.id = 7, .cursors = {{"servers", cursor}}}));
    BOOST_TEST((request.cursors.at("servers") == cursor));
    const DocumentChanges changes{.position = {3, 44},
                                  .events = {{.document = {.name = "a", .revision = 40}, .position = {2, 40}},
                                             {.isDeleted = true, .document = {.name = "b", .revision = 41}, .position = {3, 41}}}};
    const auto reply = std::get<FeedReply>(send(FeedReply{.id = 7, .changes = {{"servers", changes}}}));
    const std::optional<DocumentChanges> &received = reply.changes.at("servers");
    BOOST_REQUIRE(received.has_value());
    BOOST_TEST((received->position == StorePosition(3, 44)));
    BOOST_REQUIRE(received->events.size() == 2U);
    BOOST_TEST((received->events[0].position == StorePosition(2, 40)));
    BOOST_TEST((received->events[1].position == StorePosition(3, 41)));
}

// What a restored store lacks reaches other Vms only in these messages.
BOOST_AUTO_TEST_CASE(declarations_and_departures_are_handed_on_in_feed_replies)
{
    const auto send = [](const LinkMessage &message) { return decodeDatagram(encodeDatagram(sender, message))->second; };
    BOOST_TEST(std::get<StatusReport>(send(StatusReport{.declarationsVersion = 12})).declarationsVersion == 12U);
    const auto request = std::get<FeedRequest>(send(FeedRequest{.id = 7, .declarationsVersion = 11, .needsDepartures = true}));
    BOOST_TEST(request.declarationsVersion == 11U);
    BOOST_TEST(request.needsDepartures);

    StoredDocument declarations{.name = "main", .revision = 40, .spec = JsonValue::makeObject()};
    declarations.spec.add("version", std::string("0000000c"));
    const std::vector<TargetDeparture> departures{{.target = {"i-1"}, .number = {.startedAtMs = 1764867000123, .sequence = 4}}};
    const auto reply = std::get<FeedReply>(send(FeedReply{.id = 7, .declarations = declarations, .departures = departures}));
    BOOST_REQUIRE(reply.declarations.has_value());
    BOOST_TEST(reply.declarations->name == "main");
    BOOST_TEST(reply.declarations->revision == 40U);
    BOOST_TEST(formatJsonText(reply.declarations->spec) == formatJsonText(declarations.spec));
    BOOST_REQUIRE(reply.departures.has_value());
    BOOST_TEST((*reply.departures == departures));

    const auto unknown = std::get<FeedReply>(send(FeedReply{.id = 8}));
    BOOST_TEST(!unknown.declarations.has_value());
    BOOST_TEST(!unknown.departures.has_value()); // not the same as: no target left
}

// Guards against a field that is sent and not read: the return of a target never reached the other Vms.
BOOST_AUTO_TEST_CASE(each_field_of_a_target_report_is_read_as_it_was_sent)
{
    const TargetObservation sent{.target = {"t-1"},
                                 .inFlight = 3,
                                 .failures = 2,
                                 .failurePause = std::chrono::milliseconds(1500),
                                 .returnAge = std::chrono::milliseconds(40),
                                 .unreachablePause = std::chrono::milliseconds(700),
                                 .leavingIncarnation = 17,
                                 .limit = LimitReport{.incarnation = 18, .limit = 2.5, .age = std::chrono::milliseconds(60)}};
    const auto decoded
        = decodeDatagram(encodeDatagram(sender, StatusReport{.targetReports = TargetUpdates{{{"s-1"}, {sent, {.target = {"t-2"}}}}}}));
    BOOST_REQUIRE(decoded.has_value());
    const auto &status = std::get<StatusReport>(decoded->second);
    BOOST_REQUIRE(status.targetReports.has_value());
    const std::vector<TargetObservation> expected{sent, {.target = {"t-2"}}};
    BOOST_TEST((status.targetReports->at({"s-1"}) == expected));
}

// A Vm of an earlier version sends no such field, and counts as healthy.
BOOST_AUTO_TEST_CASE(a_status_report_says_whether_its_sender_is_impaired)
{
    for (const bool isImpaired : {false, true}) {
        const auto decoded = decodeDatagram(encodeDatagram(sender, StatusReport{.isImpaired = isImpaired}));
        BOOST_REQUIRE(decoded.has_value());
        BOOST_TEST(std::get<StatusReport>(decoded->second).isImpaired == isImpaired);
        const FeedReply reply{.overdue = {{.vm = {"vm-2"}, .reportAge = std::chrono::milliseconds(7), .isImpaired = isImpaired}}};
        const auto decodedReply = decodeDatagram(encodeDatagram(sender, reply));
        BOOST_REQUIRE(decodedReply.has_value());
        BOOST_TEST(std::get<FeedReply>(decodedReply->second).overdue.at(0).isImpaired == isImpaired);
    }
}

namespace {

StatusReport makeDemandReport()
{
    StatusReport status{.targetReports = TargetUpdates{{{"s-1"}, {TargetObservation{.target = {"t-1"}, .inFlight = 3}}}}};
    const DemandReport demand{.ranks = {{.rank = 0, .arrivals = 12.5, .waiting = 3, .refused = 1.5, .started = 9},
                                        {.rank = 7, .arrivals = 100, .refused = 50, .started = 25}},
                              .accounts = {{.account = {"a-1"}, .arrivals = 64}},
                              .run = 77,
                              .measuredAt = std::chrono::hours(30)};
    status.demand = {{{"s-1"}, demand}, {{"s-2"}, demand}}; // no targets of s-2 are reported
    return status;
}

} // namespace

BOOST_AUTO_TEST_CASE(demand_is_read_as_it_was_sent)
{
    const StatusReport sent = makeDemandReport();
    const auto datagram = decodeDatagram(encodeDatagram(sender, sent));
    BOOST_REQUIRE(datagram.has_value());
    const auto &status = std::get<StatusReport>(datagram->second);
    BOOST_TEST((status.demand == sent.demand));
    BOOST_REQUIRE(status.targetReports.has_value());
    BOOST_TEST(status.targetReports->at({"s-1"}).size() == 1U);
}

// Failure: reports that were cut, or whose bytes were changed. Guards against numbers in the view that no Vm counted.
BOOST_AUTO_TEST_CASE(cut_or_changed_demand_never_gives_impossible_numbers)
{
    const std::string bytes = encodeDatagram(sender, makeDemandReport());
    const TimePoint now{std::chrono::hours(50)};
    const auto check = [&now](const std::string &changed) {
        const auto datagram = decodeDatagram(changed);
        const auto *status = datagram ? std::get_if<StatusReport>(&datagram->second) : nullptr;
        if (status == nullptr) {
            return;
        }
        for (const auto &[service, demand] : status->demand) {
            DemandView view;
            view.setVms({"vm-0"}, {sender});
            view.apply(sender, demand, now);
            for (const RankDemand &it : view.ranks({}, now)) {
                for (const double number : {it.arrivals, it.waiting, it.refused, it.started}) {
                    BOOST_TEST((number >= 0 && number <= DemandView::maxNumber));
                }
            }
        }
    };
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        check(bytes.substr(0, n));
        for (const int it : {0, 0x7f, 0x80, 0xff}) {
            std::string changed = bytes;
            changed[n] = static_cast<char>(it);
            check(changed);
        }
    }
}

BOOST_AUTO_TEST_CASE(forged_numbers_of_demand_are_rejected)
{
    const TimePoint now{std::chrono::hours(50)};
    for (const double it : {-1.0, 2e6, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
        StatusReport status = makeDemandReport();
        status.demand.at({"s-1"}).ranks.front().waiting = it;
        const auto datagram = decodeDatagram(encodeDatagram(sender, status));
        BOOST_REQUIRE(datagram.has_value());
        DemandView view;
        view.setVms({"vm-0"}, {sender});
        BOOST_TEST(!view.apply(sender, std::get<StatusReport>(datagram->second).demand.at({"s-1"}), now), it);
        BOOST_TEST(view.apply(sender, std::get<StatusReport>(datagram->second).demand.at({"s-2"}), now), it);
    }
}

// Guards against a field that is written but not read: the other Vms waited for a returned target by their rank.
BOOST_AUTO_TEST_CASE(a_target_report_is_the_same_at_its_receiver)
{
    using std::chrono::milliseconds;
    const TargetObservation observation{.target = {"t1"},
                                        .inFlight = 2,
                                        .failures = 3,
                                        .failurePause = milliseconds(400),
                                        .returnAge = milliseconds(50),
                                        .unreachablePause = milliseconds(600),
                                        .leavingIncarnation = 7,
                                        .limit = LimitReport{.incarnation = 8, .limit = 9.5, .age = milliseconds(10)}};
    const TargetUpdates updates{{{"till"}, {observation, TargetObservation{.target = {"t2"}}}}};
    const auto decoded = decodeDatagram(encodeDatagram(sender, StatusReport{.targetReports = updates}));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((std::get<StatusReport>(decoded->second).targetReports == updates));
}
