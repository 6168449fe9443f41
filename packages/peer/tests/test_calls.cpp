#include "scripted_peer.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

constexpr Duration longTimeout = 10s;
constexpr Duration shortTimeout = 300ms;

const Address loopback{.ip = "127.0.0.1", .port = 0};

// An empty SETTINGS frame: the minimum for a client to accept the connection as HTTP/2.
const std::string settingsFrame("\0\0\0\4\0\0\0\0\0", 9);

struct Fixture
{
    PeerServer &serve(PeerServerOptions options = {})
    {
        options.listen = loopback;
        server = PeerServer::start(options, handler).value();
        return *server;
    }

    void waitForDeferredRelays(std::size_t count)
    {
        for (int i = 0; i < 1000 && handler.deferredRelayCount() < count; ++i) {
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
    ResultWaiter<PingAnswer> answer;
    client.ping(serve().address(), newsOf("a"), longTimeout, answer.callback());
    const auto result = answer.get();
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST((*result == handler.pingAnswer));
}

BOOST_FIXTURE_TEST_CASE(a_relay_answer_says_whether_the_vm_was_reached, Fixture)
{
    serve();
    for (const bool isLive : {true, false}) {
        ResultWaiter<RelayAnswer> answer;
        client.relay(server->address(), {.news = newsOf("a"), .about = {isLive ? "live" : "dead"}}, longTimeout, answer.callback());
        BOOST_TEST(answer.get().value().wasReached == isLive);
    }
}

BOOST_FIXTURE_TEST_CASE(a_loan_call_carries_every_field_both_ways, Fixture)
{
    handler.loanAnswer = {.id = {.borrower = {"a"}, .incarnation = 2, .sequence = 99},
                          .account = {"shop-1"},
                          .limits = {.ratePerSecond = 2.5, .burst = 4},
                          .tokens = 3,
                          .accountLimits = {.ratePerSecond = 50, .burst = 100}};
    const LoanAsk request{
        .id = handler.loanAnswer.id, .account = {"shop-1"}, .neededTokens = 1, .wantedTokens = 6, .wantedRate = 5, .term = 2000ms};
    ResultWaiter<LoanAnswer> answer;
    client.askLoan(serve().address(), request, longTimeout, answer.callback());
    BOOST_TEST((answer.get().value() == handler.loanAnswer));
    BOOST_TEST((handler.lastLoan() == request));
}

BOOST_FIXTURE_TEST_CASE(a_snapshot_in_many_parts_is_reassembled_completely, Fixture)
{
    handler.snapshot.revision = 12;
    for (int i = 0; i < 200; ++i) {
        handler.snapshot.objects.push_back(std::to_string(i) + std::string(5000, 'x'));
    }
    serve({.snapshotPartBytes = 16384});
    ResultWaiter<SnapshotAnswer> answer;
    client.fetchSnapshot(server->address(), {"a"}, 0, longTimeout, answer.callback());
    BOOST_TEST((answer.get().value() == handler.snapshot));
    ResultWaiter<SnapshotAnswer> unchanged;
    client.fetchSnapshot(server->address(), {"a"}, 12, longTimeout, unchanged.callback());
    BOOST_TEST((unchanged.get().value() == SnapshotAnswer{.revision = 12}));
}

BOOST_FIXTURE_TEST_CASE(an_oversized_snapshot_is_reported_as_too_large, Fixture)
{
    handler.snapshot = {.revision = 1, .objects = std::vector<std::string>(100, std::string(5000, 'x'))};
    serve();
    PeerClient small({.maxSnapshotBytes = 100000});
    ResultWaiter<SnapshotAnswer> answer;
    small.fetchSnapshot(server->address(), {"a"}, 0, longTimeout, answer.callback());
    const auto result = answer.get();
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().refusal == PeerRefusal::TooLarge));
}

BOOST_FIXTURE_TEST_CASE(fetching_from_a_vm_without_a_snapshot_is_refused_as_not_ready, Fixture)
{
    ResultWaiter<SnapshotAnswer> answer;
    client.fetchSnapshot(serve().address(), {"a"}, 0, longTimeout, answer.callback());
    const auto result = answer.get();
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().kind == PeerFailureKind::Refused));
    BOOST_TEST((result.error().refusal == PeerRefusal::NotReady));
}

BOOST_FIXTURE_TEST_CASE(a_health_report_is_delivered_and_one_with_too_many_targets_is_refused, Fixture)
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
    serve({.maxReportTargets = 1});
    ResultWaiter<HealthAnswer> answer;
    client.reportHealth(server->address(), report, longTimeout, answer.callback());
    BOOST_TEST(answer.get().has_value());
    BOOST_TEST((handler.lastHealth() == report));
    report.targets.push_back(report.targets.front());
    ResultWaiter<HealthAnswer> refused;
    client.reportHealth(server->address(), report, longTimeout, refused.callback());
    BOOST_TEST((refused.get().error().refusal == PeerRefusal::TooLarge));
}

BOOST_FIXTURE_TEST_CASE(a_call_with_a_stale_incarnation_is_refused, Fixture)
{
    handler.minIncarnation = 5;
    ResultWaiter<LoanAnswer> answer;
    client.askLoan(serve().address(), {.id = {.borrower = {"a"}, .incarnation = 4}, .account = {"shop-1"}}, longTimeout, answer.callback());
    const auto result = answer.get();
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().kind == PeerFailureKind::Refused));
    BOOST_TEST((result.error().refusal == PeerRefusal::StaleIncarnation));
    BOOST_TEST(server->counts().refusals[static_cast<std::size_t>(PeerRefusal::StaleIncarnation)] == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_invalid_message_is_refused, Fixture)
{
    serve();
    ResultWaiter<LoanAnswer> answer;
    client.askLoan(server->address(), {.id = {.borrower = {"a"}}, .account = {"shop-1"}, .wantedRate = -1}, longTimeout, answer.callback());
    BOOST_TEST((answer.get().error().refusal == PeerRefusal::InvalidMessage));
    ResultWaiter<PingAnswer> unnamed;
    client.ping(server->address(), {}, longTimeout, unnamed.callback());
    BOOST_TEST((unnamed.get().error().refusal == PeerRefusal::InvalidMessage));
}

BOOST_FIXTURE_TEST_CASE(a_call_to_a_closed_port_is_reported_as_not_sent, Fixture)
{
    const Address address = unusedAddress();
    for (int i = 0; i < 3; ++i) {
        ResultWaiter<PingAnswer> answer;
        client.ping(address, newsOf("a"), longTimeout, answer.callback());
        const auto result = answer.get();
        BOOST_REQUIRE(!result.has_value());
        BOOST_TEST((result.error().kind == PeerFailureKind::NotSent), result.error().detail);
    }
}

BOOST_FIXTURE_TEST_CASE(a_call_to_anything_but_a_numeric_ipv4_address_is_not_sent, Fixture)
{
    for (const Address &it : {Address{"localhost", 80}, Address{"::1", 80}, Address{"127.0.0.1", 0}, Address{"example.org", 80}}) {
        ResultWaiter<PingAnswer> answer;
        client.ping(it, newsOf("a"), longTimeout, answer.callback());
        BOOST_TEST((answer.get().error().kind == PeerFailureKind::NotSent), it.ip);
    }
    BOOST_TEST(client.channelCount() == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_call_to_an_unresponsive_peer_ends_at_its_deadline_and_its_connection_is_not_reused, Fixture)
{
    for (const std::string &greeting : {std::string(), settingsFrame}) {
        RawListener listener(greeting, false);
        ResultWaiter<PingAnswer> answer;
        client.ping(listener.address(), newsOf("a"), shortTimeout, answer.callback());
        const auto result = answer.get();
        BOOST_REQUIRE(!result.has_value());
        BOOST_TEST((result.error().kind == PeerFailureKind::AnswerLost), result.error().detail);
        BOOST_TEST(listener.acceptedCount() == 1U);
        BOOST_TEST(client.channelCount() == 0U);
        // The next call must open a new connection.
        ResultWaiter<PingAnswer> again;
        client.ping(listener.address(), newsOf("a"), shortTimeout, again.callback());
        BOOST_TEST(!again.get().has_value());
        BOOST_TEST(listener.acceptedCount() == 2U);
    }
}

BOOST_FIXTURE_TEST_CASE(a_connection_closed_after_the_request_is_reported_as_answer_lost, Fixture)
{
    RawListener listener(settingsFrame, true);
    ResultWaiter<LoanAnswer> answer;
    client.askLoan(listener.address(), {.id = {.borrower = {"a"}}, .account = {"shop-1"}}, longTimeout, answer.callback());
    const auto result = answer.get();
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().kind == PeerFailureKind::AnswerLost), result.error().detail);
}

BOOST_FIXTURE_TEST_CASE(an_oversized_request_is_refused_by_server_and_client, Fixture)
{
    serve({.maxMessageBytes = 10000});
    const PeerNews large = newsOf(std::string(15000, 'v'));
    ResultWaiter<PingAnswer> byServer;
    client.ping(server->address(), large, longTimeout, byServer.callback());
    BOOST_TEST((byServer.get().error().refusal == PeerRefusal::TooLarge));
    BOOST_TEST(server->counts().calls == 1U);
    ResultWaiter<PingAnswer> aboveReadLimit;
    client.ping(server->address(), newsOf(std::string(50000, 'v')), longTimeout, aboveReadLimit.callback());
    BOOST_TEST(!aboveReadLimit.get().has_value());
    PeerClient small({.maxMessageBytes = 10000});
    ResultWaiter<PingAnswer> byClient;
    small.ping(server->address(), large, longTimeout, byClient.callback());
    BOOST_TEST((byClient.get().error().refusal == PeerRefusal::TooLarge));
    BOOST_TEST(server->counts().calls == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_oversized_answer_is_reported_as_answer_lost, Fixture)
{
    handler.pingAnswer = {.news = newsOf("b"), .reachAges = std::string(50000, 'x')};
    serve();
    PeerClient small({.maxMessageBytes = 10000});
    ResultWaiter<PingAnswer> answer;
    small.ping(server->address(), newsOf("a"), longTimeout, answer.callback());
    BOOST_TEST((answer.get().error().kind == PeerFailureKind::AnswerLost));
}

BOOST_FIXTURE_TEST_CASE(concurrent_calls_are_limited_by_server_and_client, Fixture)
{
    handler.defersRelays = true;
    serve({.maxConcurrentCalls = 8});
    std::vector<ResultWaiter<RelayAnswer>> answers(20);
    for (auto &it : answers) {
        client.relay(server->address(), {.news = newsOf("a"), .about = {"b"}}, longTimeout, it.callback());
    }
    waitForDeferredRelays(8);
    for (int i = 0; i < 1000 && server->counts().calls < 20; ++i) {
        std::this_thread::sleep_for(10ms);
    }
    BOOST_TEST(handler.deferredRelayCount() == 8U);
    handler.completeDeferredRelays();
    std::size_t answered = 0;
    std::size_t busy = 0;
    for (auto &it : answers) {
        const auto result = it.get();
        answered += result.has_value() ? 1 : 0;
        busy += !result && result.error().refusal == PeerRefusal::Busy && result.error().kind == PeerFailureKind::Refused ? 1 : 0;
    }
    BOOST_TEST(answered == 8U);
    BOOST_TEST(busy == 12U);

    PeerClient smallClient({.maxConcurrentCalls = 2});
    std::vector<ResultWaiter<RelayAnswer>> limited(3);
    for (auto &it : limited) {
        smallClient.relay(server->address(), {.news = newsOf("a"), .about = {"b"}}, longTimeout, it.callback());
    }
    BOOST_TEST((limited[2].get().error().kind == PeerFailureKind::NotSent));
    waitForDeferredRelays(2);
    handler.completeDeferredRelays();
    BOOST_TEST(limited[0].get().has_value());
    BOOST_TEST(limited[1].get().has_value());
}

BOOST_FIXTURE_TEST_CASE(the_number_of_connections_is_limited, Fixture)
{
    std::vector<std::unique_ptr<PeerServer>> servers;
    PeerClient smallClient({.maxChannels = 2});
    for (int i = 0; i < 4; ++i) {
        servers.push_back(PeerServer::start({.listen = loopback}, handler).value());
        handler.pingAnswer = {.news = newsOf("b")};
        ResultWaiter<PingAnswer> answer;
        smallClient.ping(servers.back()->address(), newsOf("a"), longTimeout, answer.callback());
        BOOST_TEST(answer.get().has_value());
    }
    BOOST_TEST(smallClient.channelCount() == 2U);
}

BOOST_FIXTURE_TEST_CASE(stopping_the_server_cancels_calls_in_flight, Fixture)
{
    handler.defersRelays = true;
    serve();
    std::vector<ResultWaiter<RelayAnswer>> answers(10);
    for (auto &it : answers) {
        client.relay(server->address(), {.news = newsOf("a"), .about = {"b"}}, longTimeout, it.callback());
    }
    waitForDeferredRelays(10);
    BOOST_TEST(handler.deferredRelayCount() == 10U);
    std::thread stopping([this] { server->stop(0s); });
    for (auto &it : answers) {
        const auto result = it.get();
        BOOST_REQUIRE(!result.has_value());
        BOOST_TEST((result.error().kind == PeerFailureKind::AnswerLost));
    }
    handler.completeDeferredRelays();
    stopping.join();
    ResultWaiter<RelayAnswer> later;
    client.relay(server->address(), {.news = newsOf("a"), .about = {"b"}}, shortTimeout, later.callback());
    BOOST_TEST((later.get().error().kind == PeerFailureKind::NotSent));
}

BOOST_FIXTURE_TEST_CASE(destroying_the_client_ends_its_calls_in_flight, Fixture)
{
    handler.defersRelays = true;
    serve();
    ResultWaiter<RelayAnswer> answer;
    {
        PeerClient destroyedClient({});
        destroyedClient.relay(server->address(), {.news = newsOf("a"), .about = {"b"}}, longTimeout, answer.callback());
        waitForDeferredRelays(1);
    }
    BOOST_TEST(!answer.get().has_value());
    handler.completeDeferredRelays();
}

BOOST_FIXTURE_TEST_CASE(starting_a_server_on_an_address_in_use_fails, Fixture)
{
    serve();
    const auto second = PeerServer::start({.listen = server->address()}, handler);
    BOOST_REQUIRE(!second.has_value());
    BOOST_TEST((second.error().code == ErrorCode::Io));
}

BOOST_AUTO_TEST_CASE(refusal_names_are_unique)
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < peerRefusalCount; ++i) {
        names.insert(peerRefusalName(static_cast<PeerRefusal>(i)));
    }
    BOOST_TEST(names.size() == peerRefusalCount);
}
