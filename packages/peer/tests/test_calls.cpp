#include "scripted_peer.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

constexpr Duration longEnough = 10s;
constexpr Duration shortly = 300ms;

const Address loopback{.ip = "127.0.0.1", .port = 0};

// An empty SETTINGS frame: the least that a client takes for an HTTP/2 server.
const std::string settingsFrame("\0\0\0\4\0\0\0\0\0", 9);

struct Fixture
{
    PeerServer &serve(PeerServerOptions options = {})
    {
        options.listen = loopback;
        server = PeerServer::start(options, handler).value();
        return *server;
    }

    void waitForHeld(std::size_t wanted)
    {
        for (int i = 0; i < 1000 && handler.held() < wanted; ++i) {
            std::this_thread::sleep_for(10ms);
        }
    }

    ScriptedHandler handler;
    std::unique_ptr<PeerServer> server;
    PeerClient client{{}};
};

PeerNews newsOf(std::string vm, std::uint64_t incarnation = 1)
{
    return {.vm = {std::move(vm)}, .incarnation = incarnation};
}

Address unusedAddress()
{
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
    return {.ip = "127.0.0.1", .port = acceptor.local_endpoint().port()};
}

} // namespace

BOOST_FIXTURE_TEST_CASE(ping_carries_every_field_both_ways, Fixture)
{
    handler.pingAnswer = {.news = {.vm = {"b"},
                                   .incarnation = 7,
                                   .revision = 8,
                                   .freshAge = 1500ms,
                                   .newestRevision = 9,
                                   .vmListRevision = 10,
                                   .updates = {{.vm = {"c"}, .incarnation = 3, .liveness = Liveness::Gone}}},
                          .listsPinger = true,
                          .vmListDigest = 0xfedcba9876543210,
                          .reachAges = std::string("\0\1\xff", 3)};
    Await<PingAnswer> answer;
    client.ping(serve().address(), newsOf("a"), longEnough, answer.callback());
    const auto result = answer.get();
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST((*result == handler.pingAnswer));
}

BOOST_FIXTURE_TEST_CASE(relay_says_whether_it_was_reached, Fixture)
{
    serve();
    for (const bool isLive : {true, false}) {
        Await<RelayAnswer> answer;
        client.relay(server->address(), {.news = newsOf("a"), .about = {isLive ? "live" : "dead"}}, longEnough, answer.callback());
        BOOST_TEST(answer.get().value().wasReached == isLive);
    }
}

BOOST_FIXTURE_TEST_CASE(a_loan_carries_every_field_both_ways, Fixture)
{
    handler.loanAnswer = {.id = {.borrower = {"a"}, .incarnation = 2, .sequence = 99},
                          .account = {"shop-1"},
                          .limits = {.ratePerSecond = 2.5, .burst = 4},
                          .tokens = 3,
                          .accountLimits = {.ratePerSecond = 50, .burst = 100}};
    const LoanAsk request{
        .id = handler.loanAnswer.id, .account = {"shop-1"}, .neededTokens = 1, .wantedTokens = 6, .wantedRate = 5, .term = 2000ms};
    Await<LoanAnswer> answer;
    client.askLoan(serve().address(), request, longEnough, answer.callback());
    BOOST_TEST((answer.get().value() == handler.loanAnswer));
    BOOST_TEST((handler.lastLoan() == request));
}

BOOST_FIXTURE_TEST_CASE(a_snapshot_comes_whole_in_many_parts, Fixture)
{
    handler.snapshot.revision = 12;
    for (int i = 0; i < 200; ++i) {
        handler.snapshot.objects.push_back(std::to_string(i) + std::string(5000, 'x'));
    }
    serve({.partBytes = 16384});
    Await<SnapshotAnswer> answer;
    client.fetchSnapshot(server->address(), {"a"}, 0, longEnough, answer.callback());
    BOOST_TEST((answer.get().value() == handler.snapshot));
    Await<SnapshotAnswer> unchanged;
    client.fetchSnapshot(server->address(), {"a"}, 12, longEnough, unchanged.callback());
    BOOST_TEST((unchanged.get().value() == SnapshotAnswer{.revision = 12}));
}

BOOST_FIXTURE_TEST_CASE(a_snapshot_over_the_bound_is_refused, Fixture)
{
    handler.snapshot = {.revision = 1, .objects = std::vector<std::string>(100, std::string(5000, 'x'))};
    serve();
    PeerClient small({.maxSnapshotBytes = 100000});
    Await<SnapshotAnswer> answer;
    small.fetchSnapshot(server->address(), {"a"}, 0, longEnough, answer.callback());
    const auto result = answer.get();
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().refusal == PeerRefusal::TooLarge));
}

BOOST_FIXTURE_TEST_CASE(a_vm_without_a_snapshot_says_so, Fixture)
{
    Await<SnapshotAnswer> answer;
    client.fetchSnapshot(serve().address(), {"a"}, 0, longEnough, answer.callback());
    const auto result = answer.get();
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().kind == PeerFailureKind::Refused));
    BOOST_TEST((result.error().refusal == PeerRefusal::NotReady));
}

BOOST_FIXTURE_TEST_CASE(a_health_report_arrives_and_a_long_one_is_refused, Fixture)
{
    HealthReport report{.vm = {"a"}, .incarnation = 2};
    report.targets.push_back({.service = {"kho-ton"},
                              .target = {"t1"},
                              .requests = 10,
                              .connectFailures = 1,
                              .timeouts = 2,
                              .errors = 3,
                              .meanLatencyUs = 4000,
                              .isEjected = true});
    serve({.maxTargets = 1});
    Await<HealthAnswer> answer;
    client.reportHealth(server->address(), report, longEnough, answer.callback());
    BOOST_TEST(answer.get().has_value());
    BOOST_TEST((handler.lastHealth() == report));
    report.targets.push_back(report.targets.front());
    Await<HealthAnswer> refused;
    client.reportHealth(server->address(), report, longEnough, refused.callback());
    BOOST_TEST((refused.get().error().refusal == PeerRefusal::TooLarge));
}

BOOST_FIXTURE_TEST_CASE(an_earlier_life_of_the_caller_is_refused, Fixture)
{
    handler.knownIncarnation = 5;
    Await<LoanAnswer> answer;
    client.askLoan(serve().address(), {.id = {.borrower = {"a"}, .incarnation = 4}, .account = {"shop-1"}}, longEnough, answer.callback());
    const auto result = answer.get();
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().kind == PeerFailureKind::Refused));
    BOOST_TEST((result.error().refusal == PeerRefusal::StaleIncarnation));
    BOOST_TEST(server->counts().refusals[static_cast<std::size_t>(PeerRefusal::StaleIncarnation)] == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_invalid_message_is_refused, Fixture)
{
    serve();
    Await<LoanAnswer> answer;
    client.askLoan(server->address(), {.id = {.borrower = {"a"}}, .account = {"shop-1"}, .wantedRate = -1}, longEnough, answer.callback());
    BOOST_TEST((answer.get().error().refusal == PeerRefusal::InvalidMessage));
    Await<PingAnswer> unnamed;
    client.ping(server->address(), {}, longEnough, unnamed.callback());
    BOOST_TEST((unnamed.get().error().refusal == PeerRefusal::InvalidMessage));
}

BOOST_FIXTURE_TEST_CASE(a_call_to_a_peer_that_is_down_was_not_sent, Fixture)
{
    const Address address = unusedAddress();
    for (int i = 0; i < 3; ++i) {
        Await<PingAnswer> answer;
        client.ping(address, newsOf("a"), longEnough, answer.callback());
        const auto result = answer.get();
        BOOST_REQUIRE(!result.has_value());
        BOOST_TEST((result.error().kind == PeerFailureKind::NotSent), result.error().detail);
    }
}

BOOST_FIXTURE_TEST_CASE(only_ipv4_numbers_are_called, Fixture)
{
    for (const Address &it : {Address{"localhost", 80}, Address{"::1", 80}, Address{"127.0.0.1", 0}, Address{"example.org", 80}}) {
        Await<PingAnswer> answer;
        client.ping(it, newsOf("a"), longEnough, answer.callback());
        BOOST_TEST((answer.get().error().kind == PeerFailureKind::NotSent), it.ip);
    }
    BOOST_TEST(client.channels() == 0U);
}

BOOST_FIXTURE_TEST_CASE(the_deadline_ends_a_call_to_a_peer_that_accepts_and_stays_silent, Fixture)
{
    for (const std::string &greeting : {std::string(), settingsFrame}) {
        RawListener listener(greeting, false);
        Await<PingAnswer> answer;
        client.ping(listener.address(), newsOf("a"), shortly, answer.callback());
        const auto result = answer.get();
        BOOST_REQUIRE(!result.has_value());
        BOOST_TEST((result.error().kind == PeerFailureKind::AnswerLost), result.error().detail);
        BOOST_TEST(listener.accepted() == 1U);
        BOOST_TEST(client.channels() == 0U);
        // The silent connection isn't used again.
        Await<PingAnswer> again;
        client.ping(listener.address(), newsOf("a"), shortly, again.callback());
        BOOST_TEST(!again.get().has_value());
        BOOST_TEST(listener.accepted() == 2U);
    }
}

BOOST_FIXTURE_TEST_CASE(a_connection_cut_after_the_request_is_a_lost_answer, Fixture)
{
    RawListener listener(settingsFrame, true);
    Await<LoanAnswer> answer;
    client.askLoan(listener.address(), {.id = {.borrower = {"a"}}, .account = {"shop-1"}}, longEnough, answer.callback());
    const auto result = answer.get();
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().kind == PeerFailureKind::AnswerLost), result.error().detail);
}

BOOST_FIXTURE_TEST_CASE(a_message_over_the_bound_is_refused_on_both_sides, Fixture)
{
    serve({.maxMessageBytes = 10000});
    const PeerNews large = newsOf(std::string(15000, 'v'));
    Await<PingAnswer> byServer;
    client.ping(server->address(), large, longEnough, byServer.callback());
    BOOST_TEST((byServer.get().error().refusal == PeerRefusal::TooLarge));
    BOOST_TEST(server->counts().calls == 1U);
    Await<PingAnswer> farOver;
    client.ping(server->address(), newsOf(std::string(50000, 'v')), longEnough, farOver.callback());
    BOOST_TEST(!farOver.get().has_value());
    PeerClient small({.maxMessageBytes = 10000});
    Await<PingAnswer> byClient;
    small.ping(server->address(), large, longEnough, byClient.callback());
    BOOST_TEST((byClient.get().error().refusal == PeerRefusal::TooLarge));
    BOOST_TEST(server->counts().calls == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_answer_over_the_bound_is_lost_not_refused, Fixture)
{
    handler.pingAnswer = {.news = newsOf("b"), .reachAges = std::string(50000, 'x')};
    serve();
    PeerClient small({.maxMessageBytes = 10000});
    Await<PingAnswer> answer;
    small.ping(server->address(), newsOf("a"), longEnough, answer.callback());
    BOOST_TEST((answer.get().error().kind == PeerFailureKind::AnswerLost));
}

BOOST_FIXTURE_TEST_CASE(many_calls_at_once_are_bounded_on_both_sides, Fixture)
{
    handler.holdsRelays = true;
    serve({.maxCalls = 8});
    std::vector<Await<RelayAnswer>> answers(20);
    for (auto &it : answers) {
        client.relay(server->address(), {.news = newsOf("a"), .about = {"b"}}, longEnough, it.callback());
    }
    waitForHeld(8);
    for (int i = 0; i < 1000 && server->counts().calls < 20; ++i) {
        std::this_thread::sleep_for(10ms);
    }
    BOOST_TEST(handler.held() == 8U);
    handler.releaseAll();
    std::size_t answered = 0;
    std::size_t busy = 0;
    for (auto &it : answers) {
        const auto result = it.get();
        answered += result.has_value() ? 1 : 0;
        busy += !result && result.error().refusal == PeerRefusal::Busy && result.error().kind == PeerFailureKind::Refused ? 1 : 0;
    }
    BOOST_TEST(answered == 8U);
    BOOST_TEST(busy == 12U);

    PeerClient narrow({.maxCalls = 2});
    std::vector<Await<RelayAnswer>> few(3);
    for (auto &it : few) {
        narrow.relay(server->address(), {.news = newsOf("a"), .about = {"b"}}, longEnough, it.callback());
    }
    BOOST_TEST((few[2].get().error().kind == PeerFailureKind::NotSent));
    waitForHeld(2);
    handler.releaseAll();
    BOOST_TEST(few[0].get().has_value());
    BOOST_TEST(few[1].get().has_value());
}

BOOST_FIXTURE_TEST_CASE(connections_are_bounded_and_the_one_unused_longest_goes, Fixture)
{
    std::vector<std::unique_ptr<PeerServer>> servers;
    PeerClient narrow({.maxChannels = 2});
    for (int i = 0; i < 4; ++i) {
        servers.push_back(PeerServer::start({.listen = loopback}, handler).value());
        handler.pingAnswer = {.news = newsOf("b")};
        Await<PingAnswer> answer;
        narrow.ping(servers.back()->address(), newsOf("a"), longEnough, answer.callback());
        BOOST_TEST(answer.get().has_value());
    }
    BOOST_TEST(narrow.channels() == 2U);
}

BOOST_FIXTURE_TEST_CASE(a_server_that_stops_ends_the_calls_under_way, Fixture)
{
    handler.holdsRelays = true;
    serve();
    std::vector<Await<RelayAnswer>> answers(10);
    for (auto &it : answers) {
        client.relay(server->address(), {.news = newsOf("a"), .about = {"b"}}, longEnough, it.callback());
    }
    waitForHeld(10);
    BOOST_TEST(handler.held() == 10U);
    std::thread stopping([this] { server->stop(0s); });
    for (auto &it : answers) {
        const auto result = it.get();
        BOOST_REQUIRE(!result.has_value());
        BOOST_TEST((result.error().kind == PeerFailureKind::AnswerLost));
    }
    handler.releaseAll();
    stopping.join();
    Await<RelayAnswer> later;
    client.relay(server->address(), {.news = newsOf("a"), .about = {"b"}}, shortly, later.callback());
    BOOST_TEST((later.get().error().kind == PeerFailureKind::NotSent));
}

BOOST_FIXTURE_TEST_CASE(a_client_that_goes_ends_its_calls_first, Fixture)
{
    handler.holdsRelays = true;
    serve();
    Await<RelayAnswer> answer;
    {
        PeerClient leaving({});
        leaving.relay(server->address(), {.news = newsOf("a"), .about = {"b"}}, longEnough, answer.callback());
        waitForHeld(1);
    }
    BOOST_TEST(!answer.get().has_value());
    handler.releaseAll();
}

BOOST_FIXTURE_TEST_CASE(an_address_in_use_is_an_error, Fixture)
{
    serve();
    const auto second = PeerServer::start({.listen = server->address()}, handler);
    BOOST_REQUIRE(!second.has_value());
    BOOST_TEST((second.error().code == ErrorCode::Io));
}

BOOST_AUTO_TEST_CASE(every_refusal_has_a_name_of_its_own)
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < peerRefusalCount; ++i) {
        names.insert(peerRefusalName(static_cast<PeerRefusal>(i)));
    }
    BOOST_TEST(names.size() == peerRefusalCount);
}
