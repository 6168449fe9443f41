#include "fake_fleet.h"

#include <algorithm>

namespace Pollenspoke {

namespace {

constexpr Duration tickPeriod = std::chrono::milliseconds(100);
constexpr Duration storePollPeriod = std::chrono::milliseconds(1000);
constexpr std::int64_t fullRatePerMille = 1000;

std::size_t encodedSize(const PeerNews &message)
{
    constexpr std::size_t fixedBytes = 36;     // tags and varints of the fixed fields
    constexpr std::size_t bytesPerUpdate = 14; // tags, length, incarnation, liveness
    std::size_t bytes = fixedBytes + message.vm.value.size();
    for (const MemberUpdate &it : message.updates) {
        bytes += bytesPerUpdate + it.vm.value.size();
    }
    return bytes;
}

std::size_t encodedSize(const PingAnswer &answer)
{
    constexpr std::size_t fixedBytes = 16;
    return fixedBytes + encodedSize(answer.news) + answer.reachAges.size();
}

} // namespace

FakeFleet::FakeFleet(const FakeFleetOptions &options)
    : m_options(options)
    , m_generator(options.seed)
    , m_listed(options.vms, true)
    , m_isLinkDown([](std::size_t, std::size_t) { return false; })
    , m_isStoreReachable([](std::size_t) { return true; })
{
    m_nodes.resize(options.vms);
    for (std::size_t i = 0; i < options.vms; ++i) {
        // Clock speeds differ by at most 8 per mille, within the drift bound of 10 per mille of FreshnessOptions.
        m_nodes[i].clockRatePerMille = fullRatePerMille + std::uniform_int_distribution<int>(-4, 4)(m_generator);
        m_nodes[i].clockOffset = std::chrono::seconds(std::uniform_int_distribution<int>(0, 1000000)(m_generator));
        restart(i, 1);
        const auto phase = std::uniform_int_distribution<std::int64_t>(0, storePollPeriod.count())(m_generator);
        schedule(Duration(phase) % tickPeriod, [this, i] { tick(i); });
        schedule(Duration(phase), [this, i] { pollStore(i); });
    }
    exchangeInitialState();
}

// Delivers a message from each Vm to each other Vm, so that the fleet starts as if it had run for a while.
void FakeFleet::exchangeInitialState()
{
    for (std::size_t from = 0; from < size(); ++from) {
        const PeerNews message = at(from).makeNews({}, localTime(from));
        for (std::size_t to = 0; to < size(); ++to) {
            at(to).onRelayRequest(message, localTime(to));
        }
    }
}

VmName FakeFleet::name(std::size_t vm) const
{
    return {"vm-" + std::to_string(1000 + vm)};
}

std::size_t FakeFleet::indexOf(const VmName &vm) const
{
    return std::stoul(vm.value.substr(3)) - 1000;
}

TimePoint FakeFleet::localTime(std::size_t vm) const
{
    const Node &node = m_nodes[vm];
    return TimePoint(node.clockOffset + m_now * node.clockRatePerMille / fullRatePerMille);
}

void FakeFleet::schedule(Duration delay, std::function<void()> action)
{
    m_timers.push({.at = m_now + delay, .order = ++m_order, .action = std::move(action)});
}

void FakeFleet::run(Duration time)
{
    const Duration end = m_now + time;
    while (!m_timers.empty() && m_timers.top().at <= end) {
        const Timer timer = m_timers.top();
        m_timers.pop();
        m_now = timer.at;
        timer.action();
    }
    m_now = end;
}

void FakeFleet::kill(std::size_t vm)
{
    m_nodes[vm].isUp = false;
}

void FakeFleet::pause(std::size_t vm)
{
    m_nodes[vm].isPaused = true;
}

void FakeFleet::resume(std::size_t vm)
{
    m_nodes[vm].isPaused = false;
    auto queuedMessages = std::move(m_nodes[vm].queuedMessages);
    m_nodes[vm].queuedMessages.clear();
    for (const auto &it : queuedMessages) {
        it();
    }
}

void FakeFleet::restart(std::size_t vm, std::uint64_t incarnation)
{
    Node &node = m_nodes[vm];
    MembershipOptions options = m_options.membership;
    options.self = name(vm);
    options.incarnation = incarnation;
    node.membership = std::make_unique<Membership>(options, Generator(m_generator()), localTime(vm));
    node.isUp = true;
    node.snapshotRevision = 0;
    deliverList(vm);
}

void FakeFleet::setListed(std::size_t vm, bool isListed)
{
    m_listed[vm] = isListed;
    ++m_listRevision;
}

void FakeFleet::deliverList(std::size_t vm)
{
    std::vector<VmName> vms;
    for (std::size_t i = 0; i < m_listed.size(); ++i) {
        if (m_listed[i]) {
            vms.push_back(name(i));
        }
    }
    at(vm).setVms(vms, m_listRevision, localTime(vm));
}

void FakeFleet::deliverLists()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        deliverList(i);
    }
}

void FakeFleet::setLinkDown(std::function<bool(std::size_t, std::size_t)> isLinkDown)
{
    m_isLinkDown = std::move(isLinkDown);
}

void FakeFleet::setStoreReachable(std::function<bool(std::size_t)> isStoreReachable)
{
    m_isStoreReachable = std::move(isStoreReachable);
}

void FakeFleet::setStoreRevision(std::uint64_t revision)
{
    m_storeRevision = revision;
}

void FakeFleet::deliver(std::size_t to, std::function<void()> action)
{
    Node &node = m_nodes[to];
    if (!node.isUp) {
        return;
    }
    if (node.isPaused) {
        node.queuedMessages.push_back(std::move(action));
        return;
    }
    action();
}

void FakeFleet::send(std::size_t from, std::size_t to, std::size_t bytes, std::function<void()> action)
{
    ++m_messages;
    m_bytes += bytes;
    const bool isLost = std::bernoulli_distribution(m_options.loss)(m_generator);
    if (isLost || m_isLinkDown(from, to)) {
        return;
    }
    const Duration delay = std::chrono::microseconds(std::uniform_int_distribution<int>(500, 2000)(m_generator));
    schedule(delay, [this, to, action = std::move(action)] { deliver(to, action); });
}

void FakeFleet::ping(std::size_t from, std::size_t to, std::uint64_t probe, const PeerNews &message, std::function<void()> onAnswered)
{
    const TimePoint sentAt = localTime(from);
    send(from, to, encodedSize(message), [=, this] {
        const PingAnswer answer = at(to).onPing(message, localTime(to));
        send(to, from, encodedSize(answer), [=, this] {
            at(from).onPingAnswer(probe, answer, sentAt, localTime(from));
            // Stands in for FetchSnapshot from a peer with a newer snapshot.
            m_nodes[from].snapshotRevision = std::max(m_nodes[from].snapshotRevision, answer.news.revision);
            at(from).setSnapshot(m_nodes[from].snapshotRevision);
            onAnswered();
        });
    });
}

void FakeFleet::relay(std::size_t from, const SendRelay &relay)
{
    const std::size_t via = indexOf(relay.via);
    const std::size_t probedVm = indexOf(relay.about);
    constexpr std::size_t answerBytes = 8;
    send(from, via, encodedSize(relay.news) + relay.about.value.size(), [=, this] {
        at(via).onRelayRequest(relay.news, localTime(via));
        ping(via, probedVm, 0, at(via).makeNews(relay.about, localTime(via)), [=, this] {
            send(via, from, answerBytes, [=, this] { at(from).onRelayAnswer(relay.probe, true, localTime(from)); });
        });
    });
}

void FakeFleet::tick(std::size_t vm)
{
    schedule(tickPeriod, [this, vm] { tick(vm); });
    const Node &node = m_nodes[vm];
    if (!node.isUp || node.isPaused) {
        return;
    }
    for (const MembershipAction &it : at(vm).tick(localTime(vm))) {
        if (const auto *sendPing = std::get_if<SendPing>(&it)) {
            ping(vm, indexOf(sendPing->to), sendPing->probe, sendPing->news, [] {});
        } else {
            relay(vm, std::get<SendRelay>(it));
        }
    }
}

void FakeFleet::pollStore(std::size_t vm)
{
    schedule(storePollPeriod, [this, vm] { pollStore(vm); });
    Node &node = m_nodes[vm];
    if (!node.isUp || node.isPaused || !m_isStoreReachable(vm)) {
        return;
    }
    std::size_t earlierPollers = 0;
    for (std::size_t i = 0; i < vm; ++i) {
        earlierPollers += m_isStoreReachable(i) && m_nodes[i].isUp ? 1 : 0;
    }
    // Any Vm polls the store itself when its peers bring no proof of freshness.
    if (earlierPollers >= m_options.storePollers && !at(vm).shouldAskStore(localTime(vm))) {
        return;
    }
    ++m_storeCalls;
    node.snapshotRevision = std::max(node.snapshotRevision, m_storeRevision);
    node.membership->setSnapshot(node.snapshotRevision);
    node.membership->noteStoreAnswer(m_storeRevision, localTime(vm));
}

Freshness FakeFleet::freshness(std::size_t vm) const
{
    return m_nodes[vm].membership->freshness(localTime(vm));
}

bool FakeFleet::mayServe(std::size_t vm) const
{
    return m_nodes[vm].isUp && freshness(vm).mayServe(localTime(vm));
}

std::size_t FakeFleet::countObservers(std::size_t vm, Liveness liveness) const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        const Node &node = m_nodes[i];
        const bool isObserver = i != vm && node.isUp && !node.isPaused;
        count += isObserver && node.membership->liveness(name(vm)) == liveness ? 1 : 0;
    }
    return count;
}

} // namespace Pollenspoke
