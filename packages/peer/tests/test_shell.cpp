#include "scripted_peer.h"

#include <boost/test/unit_test.hpp>
#include <sys/resource.h>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t vms = 6;
constexpr int waitSteps = 600; // of 50 ms

double processorSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) { return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

// A Vm's inner side: shell, client and server.
class Node : public ScriptedHandler
{
public:
    Node(std::size_t index, std::uint64_t incarnation, const Address &listen)
        : m_shell({.membership = {.self = nameOf(index), .incarnation = incarnation}, .seed = index}, m_clock, m_client)
        , m_server(PeerServer::start({.listen = listen}, *this).value())
    {
    }

    ~Node() override
    {
        m_shell.stop();
        m_server->stop(0s);
    }

    static VmName nameOf(std::size_t index) { return {"vm-" + std::to_string(index)}; }

    PeerResult<PingAnswer> onPing(const PeerNews &news) override { return m_shell.onPing(news); }
    void onRelay(const RelayRequest &request, PeerCallback<RelayAnswer> done) override { m_shell.onRelay(request, std::move(done)); }

    Address address() const { return m_server->address(); }
    PeerShell &shell() { return m_shell; }
    TimePoint now() const { return m_clock.now(); }
    bool mayServe() const { return m_shell.freshness().mayServe(now()); }

private:
    SteadyClock m_clock;
    PeerClient m_client{{}};
    PeerShell m_shell;
    std::unique_ptr<PeerServer> m_server;
};

struct Fleet
{
    Fleet()
    {
        for (std::size_t i = 0; i < vms; ++i) {
            nodes.push_back(std::make_unique<Node>(i, 1, Address{.ip = "127.0.0.1", .port = 0}));
            peers.push_back({.vm = Node::nameOf(i), .address = nodes[i]->address()});
        }
        for (const auto &it : nodes) {
            begin(*it);
        }
    }

    void begin(Node &node) const
    {
        node.shell().setPeers(peers, 1);
        node.shell().setSnapshot(1);
        node.shell().start();
    }

    std::size_t countSeeing(const VmName &vm, Liveness liveness) const
    {
        std::size_t count = 0;
        for (const auto &it : nodes) {
            count += it && it->shell().addressOf(vm) != it->address() && it->shell().liveness(vm) == liveness ? 1 : 0;
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
    static bool eventually(const Condition &condition)
    {
        for (int i = 0; i < waitSteps; ++i) {
            if (condition()) {
                return true;
            }
            std::this_thread::sleep_for(50ms);
        }
        return condition();
    }

    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<PeerEntry> peers;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_stopped_vm_is_gone_for_all_and_live_again_when_it_returns, Fleet)
{
    const VmName stopped = Node::nameOf(2);
    BOOST_TEST(eventually([this] { return countServing() == vms; }));
    // Each hears from each other one meanwhile, so that a suspicion names a life.
    const double before = processorSeconds();
    std::this_thread::sleep_for(5s);
    BOOST_TEST_MESSAGE("processor time of a Vm, server and client: " << (processorSeconds() - before) / 5 / vms * 1000 << " ms/s");
    BOOST_TEST(eventually([&] { return countSeeing(stopped, Liveness::Live) == vms - 1; }));
    const Address address = nodes[2]->address();
    nodes[2].reset();
    BOOST_TEST(eventually([&] { return countSeeing(stopped, Liveness::Live) == 0; }));
    BOOST_TEST(eventually([&] { return countSeeing(stopped, Liveness::Gone) == vms - 1; }));
    nodes[2] = std::make_unique<Node>(2, 2, address);
    begin(*nodes[2]);
    BOOST_TEST(eventually([&] { return countSeeing(stopped, Liveness::Live) == vms - 1; }));
    BOOST_TEST(nodes[2]->shell().incarnation() >= 2U);
}

BOOST_FIXTURE_TEST_CASE(the_stores_proof_spreads_and_a_minority_stops, Fleet)
{
    BOOST_TEST(eventually([this] { return countServing() == vms; }));
    nodes[0]->shell().noteStoreAnswer(1, nodes[0]->now());
    BOOST_TEST(eventually([this] { return nodes[5]->shell().freshness().state == FreshnessState::StoreConfirmed; }));
    for (std::size_t i = 2; i < vms; ++i) {
        nodes[i].reset();
    }
    // Two of six are no majority.
    BOOST_TEST(eventually([this] { return countServing() == 0; }));
}

BOOST_FIXTURE_TEST_CASE(a_later_revision_anywhere_makes_the_others_behind, Fleet)
{
    BOOST_TEST(eventually([this] { return countServing() == vms; }));
    nodes[0]->shell().setSnapshot(2);
    BOOST_TEST(eventually([this] { return nodes[3]->shell().newestRevision() == 2; }));
    BOOST_TEST(eventually([this] { return !nodes[3]->mayServe(); }));
    nodes[3]->shell().setSnapshot(2);
    BOOST_TEST(eventually([this] { return nodes[3]->mayServe(); }));
}
