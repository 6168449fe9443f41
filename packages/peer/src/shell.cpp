#include <condition_variable>
#include <mutex>
#include <pollenspoke/peer.h>
#include <thread>

namespace Pollenspoke {

// Locking: `mutex` is released before calling the client or a callback.
struct MembershipRunner::Impl
{
    Impl(const MembershipRunnerOptions &runnerOptions, const Clock &runnerClock, PeerClient &peerClient)
        : options(runnerOptions)
        , clock(runnerClock)
        , client(peerClient)
        , membership(runnerOptions.membership, Generator(runnerOptions.seed), runnerClock.now())
    {
    }

    void run()
    {
        std::unique_lock lock(mutex);
        while (!isStopping) {
            const auto actions = membership.tick(clock.now());
            lock.unlock();
            for (const MembershipAction &it : actions) {
                execute(it);
            }
            lock.lock();
            stateChanged.wait_for(lock, options.tickPeriod, [this] { return isStopping; });
        }
    }

    void execute(const MembershipAction &action)
    {
        if (const auto *sendPing = std::get_if<SendPing>(&action)) {
            ping(sendPing->to, sendPing->news, sendPing->probe, [](bool) {});
            return;
        }
        requestRelay(std::get<SendRelay>(action));
    }

    // Calls `done` with whether the Vm answered.
    void ping(const VmName &to, const PeerNews &news, std::uint64_t probe, std::function<void(bool)> done)
    {
        const auto address = beginCall(to);
        if (!address) {
            done(false);
            return;
        }
        const TimePoint askedAt = clock.now();
        client.ping(*address, news, options.pingTimeout, [=, this](const PeerResult<PingAnswer> &answer) {
            // The address may have been reassigned to another Vm.
            const bool hasAnswered = answer && answer->news.vm == to;
            if (hasAnswered) {
                const std::lock_guard lock(mutex);
                membership.onPingAnswer(probe, *answer, askedAt, clock.now());
            }
            done(hasAnswered);
            endCall();
        });
    }

    void requestRelay(const SendRelay &relay)
    {
        const auto address = beginCall(relay.via);
        if (!address) {
            return;
        }
        const RelayRequest request{.news = relay.news, .about = relay.about};
        client.relay(*address, request, options.pingTimeout, [this, probe = relay.probe](const PeerResult<RelayAnswer> &answer) {
            if (answer) {
                const std::lock_guard lock(mutex);
                membership.onRelayAnswer(probe, answer->wasReached, clock.now());
            }
            endCall();
        });
    }

    // Registers a call and returns the Vm's address. Returns nothing if stopping or if the address is unknown.
    std::optional<Address> beginCall(const VmName &vm)
    {
        const std::lock_guard lock(mutex);
        const auto it = addresses.find(vm);
        if (isStopping || it == addresses.end()) {
            return std::nullopt;
        }
        ++pendingCalls;
        return it->second;
    }

    void endCall()
    {
        const std::lock_guard lock(mutex);
        --pendingCalls;
        stateChanged.notify_all();
    }

    MembershipRunnerOptions options;
    const Clock &clock;
    PeerClient &client;
    mutable std::mutex mutex;
    std::condition_variable stateChanged;
    Membership membership;
    std::map<VmName, Address> addresses;
    std::size_t pendingCalls = 0;
    bool isStopping = false;
    std::thread thread;
};

MembershipRunner::MembershipRunner(const MembershipRunnerOptions &options, const Clock &clock, PeerClient &client)
    : m_impl(std::make_shared<Impl>(options, clock, client))
{
    POLLENSPOKE_ASSERT(options.pingTimeout < options.membership.probeTimeout, "pingTimeout must be less than probeTimeout");
}

MembershipRunner::~MembershipRunner()
{
    stop();
}

void MembershipRunner::start()
{
    POLLENSPOKE_ASSERT(!m_impl->thread.joinable(), "start() must be called only once");
    m_impl->thread = std::thread([impl = m_impl.get()] { impl->run(); });
}

void MembershipRunner::stop()
{
    std::unique_lock lock(m_impl->mutex);
    m_impl->isStopping = true;
    m_impl->stateChanged.notify_all();
    lock.unlock();
    if (m_impl->thread.joinable()) {
        m_impl->thread.join();
    }
    lock.lock();
    m_impl->stateChanged.wait(lock, [this] { return m_impl->pendingCalls == 0; });
}

void MembershipRunner::setPeers(const std::vector<PeerEndpoint> &peers, std::uint64_t listRevision)
{
    const std::lock_guard lock(m_impl->mutex);
    std::vector<VmName> vms;
    m_impl->addresses.clear();
    for (const PeerEndpoint &it : peers) {
        vms.push_back(it.vm);
        m_impl->addresses.insert_or_assign(it.vm, it.address);
    }
    m_impl->membership.setVms(vms, listRevision, m_impl->clock.now());
}

void MembershipRunner::setSnapshot(std::uint64_t revision)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->membership.setSnapshot(revision);
}

void MembershipRunner::noteStoreAnswer(std::uint64_t revision, TimePoint askedAt)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->membership.noteStoreAnswer(revision, askedAt);
}

PeerResult<PingAnswer> MembershipRunner::onPing(const PeerNews &news)
{
    const std::lock_guard lock(m_impl->mutex);
    if (m_impl->isStopping) {
        return refuseCall(PeerRefusal::NotReady, "stopping");
    }
    return m_impl->membership.onPing(news, m_impl->clock.now());
}

void MembershipRunner::onRelay(const RelayRequest &request, PeerCallback<RelayAnswer> done)
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

Freshness MembershipRunner::freshness() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->membership.freshness(m_impl->clock.now());
}

Liveness MembershipRunner::liveness(const VmName &vm) const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->membership.liveness(vm);
}

std::vector<VmName> MembershipRunner::vmsWithLiveness(Liveness liveness) const
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

std::uint64_t MembershipRunner::incarnation() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->membership.incarnation();
}

std::uint64_t MembershipRunner::newestRevision() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->membership.newestRevision();
}

std::optional<Address> MembershipRunner::addressOf(const VmName &vm) const
{
    const std::lock_guard lock(m_impl->mutex);
    const auto it = m_impl->addresses.find(vm);
    return it == m_impl->addresses.end() ? std::nullopt : std::optional(it->second);
}

bool MembershipRunner::shouldAskStore() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->membership.shouldAskStore(m_impl->clock.now());
}

MembershipCounts MembershipRunner::counts() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->membership.counts();
}

} // namespace Pollenspoke
