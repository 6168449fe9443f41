#include "fake_fleet.h"

#include <algorithm>

namespace Pollenspoke {

namespace {

constexpr Duration tickPeriod = std::chrono::milliseconds(100);
constexpr Duration askPeriod = std::chrono::milliseconds(1000);
constexpr std::int64_t perMille = 1000;

std::size_t encodedSize(const PeerNews &news)
{
    constexpr std::size_t numbers = 36;   // tags and varints of the fixed fields
    constexpr std::size_t perUpdate = 14; // tags, length, incarnation, liveness
    std::size_t bytes = numbers + news.vm.value.size();
    for (const MemberUpdate &it : news.updates) {
        bytes += perUpdate + it.vm.value.size();
    }
    return bytes;
}

std::size_t encodedSize(const PingAnswer &answer)
{
    constexpr std::size_t numbers = 16;
    return numbers + encodedSize(answer.news) + answer.reachAges.size();
}

} // namespace

FakeFleet::FakeFleet(const FakeFleetOptions &options)
    : m_options(options)
    , m_generator(options.seed)
    , m_listed(options.vms, true)
    , m_cut([](std::size_t, std::size_t) { return false; })
    , m_hearsStore([](std::size_t) { return true; })
{
    m_nodes.resize(options.vms);
    for (std::size_t i = 0; i < options.vms; ++i) {
        // Clocks differ by less than the drift bound of the options.
        m_nodes[i].ratePerMille = perMille + std::uniform_int_distribution<int>(-4, 4)(m_generator);
        m_nodes[i].offset = std::chrono::seconds(std::uniform_int_distribution<int>(0, 1000000)(m_generator));
        restart(i, 1);
        const auto phase = std::uniform_int_distribution<std::int64_t>(0, askPeriod.count())(m_generator);
        after(Duration(phase) % tickPeriod, [this, i] { tick(i); });
        after(Duration(phase), [this, i] { ask(i); });
    }
    introduceAll();
}

// A fleet that has run for a while: each Vm has heard from each other one.
void FakeFleet::introduceAll()
{
    for (std::size_t from = 0; from < size(); ++from) {
        const PeerNews news = at(from).makeNews({}, localTime(from));
        for (std::size_t to = 0; to < size(); ++to) {
            at(to).onRelayRequest(news, localTime(to));
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
    return TimePoint(node.offset + m_now * node.ratePerMille / perMille);
}

void FakeFleet::after(Duration delay, std::function<void()> action)
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
    auto inbox = std::move(m_nodes[vm].inbox);
    m_nodes[vm].inbox.clear();
    for (const auto &it : inbox) {
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
    node.revision = 0;
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

void FakeFleet::setCut(std::function<bool(std::size_t, std::size_t)> cut)
{
    m_cut = std::move(cut);
}

void FakeFleet::setHearsStore(std::function<bool(std::size_t)> hearsStore)
{
    m_hearsStore = std::move(hearsStore);
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
        node.inbox.push_back(std::move(action));
        return;
    }
    action();
}

void FakeFleet::send(std::size_t from, std::size_t to, std::size_t bytes, std::function<void()> action)
{
    ++m_messages;
    m_bytes += bytes;
    const bool isLost = std::bernoulli_distribution(m_options.loss)(m_generator);
    if (isLost || m_cut(from, to)) {
        return;
    }
    const Duration delay = std::chrono::microseconds(std::uniform_int_distribution<int>(500, 2000)(m_generator));
    after(delay, [this, to, action = std::move(action)] { deliver(to, action); });
}

void FakeFleet::ping(std::size_t from, std::size_t to, std::uint64_t probe, const PeerNews &news, std::function<void()> answered)
{
    const TimePoint askedAt = localTime(from);
    send(from, to, encodedSize(news), [=, this] {
        const PingAnswer answer = at(to).onPing(news, localTime(to));
        send(to, from, encodedSize(answer), [=, this] {
            at(from).onPingAnswer(probe, answer, askedAt, localTime(from));
            // Stands for FetchSnapshot from a peer that is ahead.
            m_nodes[from].revision = std::max(m_nodes[from].revision, answer.news.revision);
            at(from).setSnapshot(m_nodes[from].revision);
            answered();
        });
    });
}

void FakeFleet::relay(std::size_t from, const SendRelay &relay)
{
    const std::size_t via = indexOf(relay.via);
    const std::size_t about = indexOf(relay.about);
    constexpr std::size_t answerBytes = 8;
    send(from, via, encodedSize(relay.news) + relay.about.value.size(), [=, this] {
        at(via).onRelayRequest(relay.news, localTime(via));
        ping(via, about, 0, at(via).makeNews(relay.about, localTime(via)), [=, this] {
            send(via, from, answerBytes, [=, this] { at(from).onRelayAnswer(relay.probe, true, localTime(from)); });
        });
    });
}

void FakeFleet::tick(std::size_t vm)
{
    after(tickPeriod, [this, vm] { tick(vm); });
    const Node &node = m_nodes[vm];
    if (!node.isUp || node.isPaused) {
        return;
    }
    for (const MembershipAction &it : at(vm).tick(localTime(vm))) {
        if (const auto *pinging = std::get_if<SendPing>(&it)) {
            ping(vm, indexOf(pinging->to), pinging->probe, pinging->news, [] {});
        } else {
            relay(vm, std::get<SendRelay>(it));
        }
    }
}

void FakeFleet::ask(std::size_t vm)
{
    after(askPeriod, [this, vm] { ask(vm); });
    Node &node = m_nodes[vm];
    if (!node.isUp || node.isPaused || !m_hearsStore(vm)) {
        return;
    }
    std::size_t before = 0;
    for (std::size_t i = 0; i < vm; ++i) {
        before += m_hearsStore(i) && m_nodes[i].isUp ? 1 : 0;
    }
    // Any Vm falls back to the store when its peers tell nothing.
    if (before >= m_options.watchers && !at(vm).shouldAskStore(localTime(vm))) {
        return;
    }
    ++m_storeCalls;
    node.revision = std::max(node.revision, m_storeRevision);
    node.membership->setSnapshot(node.revision);
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

std::size_t FakeFleet::countSeeing(std::size_t vm, Liveness liveness) const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        const Node &node = m_nodes[i];
        const bool isWatching = i != vm && node.isUp && !node.isPaused;
        count += isWatching && node.membership->liveness(name(vm)) == liveness ? 1 : 0;
    }
    return count;
}

} // namespace Pollenspoke
