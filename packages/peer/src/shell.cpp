#include <condition_variable>
#include <mutex>
#include <pollenspoke/peer.h>
#include <thread>

namespace Pollenspoke {

// Lock order: `mutex` is never held while the client or a callback is called.
struct PeerShell::Impl
{
    Impl(const PeerShellOptions &shellOptions, const Clock &shellClock, PeerClient &peerClient)
        : options(shellOptions)
        , clock(shellClock)
        , client(peerClient)
        , membership(shellOptions.membership, Generator(shellOptions.seed), shellClock.now())
    {
    }

    void run()
    {
        std::unique_lock lock(mutex);
        while (!isStopping) {
            const auto actions = membership.tick(clock.now());
            lock.unlock();
            for (const MembershipAction &it : actions) {
                perform(it);
            }
            lock.lock();
            changed.wait_for(lock, options.tickPeriod, [this] { return isStopping; });
        }
    }

    void perform(const MembershipAction &action)
    {
        if (const auto *pinging = std::get_if<SendPing>(&action)) {
            ping(pinging->to, pinging->news, pinging->probe, [](bool) {});
            return;
        }
        askRelay(std::get<SendRelay>(action));
    }

    // `done` hears whether an answer came.
    void ping(const VmName &to, const PeerNews &news, std::uint64_t probe, std::function<void(bool)> done)
    {
        const auto address = enter(to);
        if (!address) {
            done(false);
            return;
        }
        const TimePoint askedAt = clock.now();
        client.ping(*address, news, options.pingTimeout, [=, this](const PeerResult<PingAnswer> &answer) {
            // Another Vm may listen on an address that was used before.
            const bool isAnswered = answer && answer->news.vm == to;
            if (isAnswered) {
                const std::lock_guard lock(mutex);
                membership.onPingAnswer(probe, *answer, askedAt, clock.now());
            }
            done(isAnswered);
            leave();
        });
    }

    void askRelay(const SendRelay &relay)
    {
        const auto address = enter(relay.via);
        if (!address) {
            return;
        }
        const RelayRequest request{.news = relay.news, .about = relay.about};
        client.relay(*address, request, options.pingTimeout, [this, probe = relay.probe](const PeerResult<RelayAnswer> &answer) {
            if (answer) {
                const std::lock_guard lock(mutex);
                membership.onRelayAnswer(probe, answer->wasReached, clock.now());
            }
            leave();
        });
    }

    // Counts a call, unless the shell stops or doesn't know the Vm's address.
    std::optional<Address> enter(const VmName &vm)
    {
        const std::lock_guard lock(mutex);
        const auto it = addresses.find(vm);
        if (isStopping || it == addresses.end()) {
            return std::nullopt;
        }
        ++calls;
        return it->second;
    }

    void leave()
    {
        const std::lock_guard lock(mutex);
        --calls;
        changed.notify_all();
    }

    PeerShellOptions options;
    const Clock &clock;
    PeerClient &client;
    mutable std::mutex mutex;
    std::condition_variable changed;
    Membership membership;
    std::map<VmName, Address> addresses;
    std::size_t calls = 0; // under way
    bool isStopping = false;
    std::thread thread;
};

PeerShell::PeerShell(const PeerShellOptions &options, const Clock &clock, PeerClient &client)
    : m_impl(std::make_shared<Impl>(options, clock, client))
{
    POLLENSPOKE_ASSERT(options.pingTimeout < options.membership.probeTimeout, "a ping must end before its probe is judged");
}

PeerShell::~PeerShell()
{
    stop();
}

void PeerShell::start()
{
    POLLENSPOKE_ASSERT(!m_impl->thread.joinable(), "start() once");
    m_impl->thread = std::thread([impl = m_impl.get()] { impl->run(); });
}

void PeerShell::stop()
{
    std::unique_lock lock(m_impl->mutex);
    m_impl->isStopping = true;
    m_impl->changed.notify_all();
    lock.unlock();
    if (m_impl->thread.joinable()) {
        m_impl->thread.join();
    }
    lock.lock();
    m_impl->changed.wait(lock, [this] { return m_impl->calls == 0; });
}

void PeerShell::setPeers(const std::vector<PeerEntry> &peers, std::uint64_t listRevision)
{
    const std::lock_guard lock(m_impl->mutex);
    std::vector<VmName> vms;
    m_impl->addresses.clear();
    for (const PeerEntry &it : peers) {
        vms.push_back(it.vm);
        m_impl->addresses.insert_or_assign(it.vm, it.address);
    }
    m_impl->membership.setVms(vms, listRevision, m_impl->clock.now());
}

void PeerShell::setSnapshot(std::uint64_t revision)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->membership.setSnapshot(revision);
}

void PeerShell::noteStoreAnswer(std::uint64_t revision, TimePoint askedAt)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->membership.noteStoreAnswer(revision, askedAt);
}

PeerResult<PingAnswer> PeerShell::onPing(const PeerNews &news)
{
    const std::lock_guard lock(m_impl->mutex);
    if (m_impl->isStopping) {
        return refuseCall(PeerRefusal::NotReady, "stopping");
    }
    return m_impl->membership.onPing(news, m_impl->clock.now());
}

void PeerShell::onRelay(const RelayRequest &request, PeerCallback<RelayAnswer> done)
{
    PeerNews news;
    {
        const std::lock_guard lock(m_impl->mutex);
        const TimePoint now = m_impl->clock.now();
        m_impl->membership.onRelayRequest(request.news, now);
        news = m_impl->membership.makeNews(request.about, now);
    }
    m_impl->ping(request.about, news, 0, [done = std::move(done)](bool wasReached) { done(RelayAnswer{.wasReached = wasReached}); });
}

Freshness PeerShell::freshness() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->membership.freshness(m_impl->clock.now());
}

Liveness PeerShell::liveness(const VmName &vm) const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->membership.liveness(vm);
}

std::vector<VmName> PeerShell::seen(Liveness liveness) const
{
    const std::lock_guard lock(m_impl->mutex);
    std::vector<VmName> vms;
    for (const auto &[vm, address] : m_impl->addresses) {
        if (vm != m_impl->options.membership.self && m_impl->membership.liveness(vm) == liveness) {
            vms.push_back(vm);
        }
    }
    return vms;
}

std::uint64_t PeerShell::incarnation() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->membership.incarnation();
}

std::uint64_t PeerShell::newestRevision() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->membership.newestRevision();
}

std::optional<Address> PeerShell::addressOf(const VmName &vm) const
{
    const std::lock_guard lock(m_impl->mutex);
    const auto it = m_impl->addresses.find(vm);
    return it == m_impl->addresses.end() ? std::nullopt : std::optional(it->second);
}

bool PeerShell::shouldAskStore() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->membership.shouldAskStore(m_impl->clock.now());
}

MembershipCounts PeerShell::counts() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->membership.counts();
}

} // namespace Pollenspoke
