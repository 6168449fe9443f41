#include "scripted_peer.h"

#include <boost/test/unit_test.hpp>
#include <sys/resource.h>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t vmCount = 6;
constexpr int maxPolls = 600; // of 50 ms

double cpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) { return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

// The peer protocol side of one Vm: membership runner, client and server.
class Node : public ScriptedHandler
{
public:
    Node(std::size_t index, std::uint64_t incarnation, const Address &listen)
        : m_membership({.membership = {.self = nameOf(index), .incarnation = incarnation}, .seed = index}, m_clock, m_client)
        , m_server(PeerServer::start({.listen = listen}, *this).value())
    {
    }

    ~Node() override
    {
        m_membership.stop();
        m_server->stop(0s);
    }

    static VmName nameOf(std::size_t index) { return {"vm-" + std::to_string(index)}; }

    PeerResult<PingAnswer> onPing(const PeerNews &news) override { return m_membership.onPing(news); }
    void onRelay(const RelayRequest &request, PeerCallback<RelayAnswer> done) override { m_membership.onRelay(request, std::move(done)); }

    Address address() const { return m_server->address(); }
    MembershipRunner &membership() { return m_membership; }
    TimePoint now() const { return m_clock.now(); }
    bool mayServe() const { return m_membership.freshness().mayServe(now()); }

private:
    SteadyClock m_clock;
    PeerClient m_client{{}};
    MembershipRunner m_membership;
    std::unique_ptr<PeerServer> m_server;
};

struct Fleet
{
    Fleet()
    {
        for (std::size_t i = 0; i < vmCount; ++i) {
            nodes.push_back(std::make_unique<Node>(i, 1, Address{.ip = "127.0.0.1", .port = 0}));
            peers.push_back({.vm = Node::nameOf(i), .address = nodes[i]->address()});
        }
        for (const auto &it : nodes) {
            startMembership(*it);
        }
    }

    void startMembership(Node &node) const
    {
        node.membership().setPeers(peers, 1);
        node.membership().setSnapshot(1);
        node.membership().start();
    }

    std::size_t countViewsWith(const VmName &vm, Liveness liveness) const
    {
        std::size_t count = 0;
        for (const auto &it : nodes) {
            count += it && it->membership().addressOf(vm) != it->address() && it->membership().liveness(vm) == liveness ? 1 : 0;
        }
        return count;
    }

    std::size_t countServing() const
    {
        std::size_t count = 0;
        for (const auto &it : nodes) {
            count += it && it->mayServe() ? 1 : 0;
        }
        return count;
    }

    template<typename Condition>
    static bool waitUntil(const Condition &condition)
    {
        for (int i = 0; i < maxPolls; ++i) {
            if (condition()) {
                return true;
            }
            std::this_thread::sleep_for(50ms);
        }
        return condition();
    }

    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<PeerEndpoint> peers;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_stopped_vm_becomes_gone_on_all_vms_and_live_again_after_a_restart, Fleet)
{
    const VmName stopped = Node::nameOf(2);
    BOOST_TEST(waitUntil([this] { return countServing() == vmCount; }));
    // Meanwhile each Vm receives a message from every other one, so it knows the incarnation that a suspicion refers to.
    const double cpuAtStart = cpuSeconds();
    std::this_thread::sleep_for(5s);
    BOOST_TEST_MESSAGE("CPU time per Vm, server and client: " << (cpuSeconds() - cpuAtStart) / 5 / vmCount * 1000 << " ms/s");
    BOOST_TEST(waitUntil([&] { return countViewsWith(stopped, Liveness::Live) == vmCount - 1; }));
    const Address address = nodes[2]->address();
    nodes[2].reset();
    BOOST_TEST(waitUntil([&] { return countViewsWith(stopped, Liveness::Live) == 0; }));
    BOOST_TEST(waitUntil([&] { return countViewsWith(stopped, Liveness::Gone) == vmCount - 1; }));
    nodes[2] = std::make_unique<Node>(2, 2, address);
    startMembership(*nodes[2]);
    BOOST_TEST(waitUntil([&] { return countViewsWith(stopped, Liveness::Live) == vmCount - 1; }));
    BOOST_TEST(nodes[2]->membership().incarnation() >= 2U);
}

BOOST_FIXTURE_TEST_CASE(store_contact_spreads_to_peers_and_a_minority_stops_serving, Fleet)
{
    BOOST_TEST(waitUntil([this] { return countServing() == vmCount; }));
    nodes[0]->membership().noteStoreAnswer(1, nodes[0]->now());
    BOOST_TEST(waitUntil([this] { return nodes[5]->membership().freshness().state == FreshnessState::StoreConfirmed; }));
    for (std::size_t i = 2; i < vmCount; ++i) {
        nodes[i].reset();
    }
    // Two of six Vms are not a majority.
    BOOST_TEST(waitUntil([this] { return countServing() == 0; }));
}

BOOST_FIXTURE_TEST_CASE(a_vm_stops_serving_when_a_peer_has_a_newer_revision, Fleet)
{
    BOOST_TEST(waitUntil([this] { return countServing() == vmCount; }));
    nodes[0]->membership().setSnapshot(2);
    BOOST_TEST(waitUntil([this] { return nodes[3]->membership().newestRevision() == 2; }));
    BOOST_TEST(waitUntil([this] { return !nodes[3]->mayServe(); }));
    nodes[3]->membership().setSnapshot(2);
    BOOST_TEST(waitUntil([this] { return nodes[3]->mayServe(); }));
}
