// The worker pool and the listener.
#include "session.h"

#include <list>
#include <thread>

namespace Pollenspoke {

namespace {

constexpr auto acceptPause = std::chrono::milliseconds(50); // after running out of descriptors
constexpr auto housekeepingPeriod = std::chrono::seconds(1);
constexpr auto drainPoll = std::chrono::milliseconds(10);
constexpr std::size_t mostTurnedAway = 256;      // connections over the limit that are told so at one time
constexpr std::size_t mostQueuedAccepts = 65536; // taken from the listener when it closes
constexpr auto turnAwayRetry = std::chrono::seconds(1);

} // namespace

struct Proxy::Impl
{
    // One event loop per worker; a session lives on one worker for good.
    struct Worker
    {
        net::io_context context{1};
        net::executor_work_guard<net::io_context::executor_type> guard{context.get_executor()};
        std::list<std::weak_ptr<Session>> sessions; // touched only on this worker
        std::thread thread;
    };

    Impl(ProxyOptions given, ProxyParts givenParts)
        : options(std::move(given))
        , parts(givenParts)
        , dispatcher(options, parts, snapshot)
        , addresses(options.addressTtlMs, options.addressCount)
    {
        for (std::uint32_t i = 0; i < options.workers; ++i) {
            workers.push_back(std::make_unique<Worker>());
        }
    }

    SessionParts sessionParts() { return {options, parts, dispatcher, addresses, snapshot, isLeaving}; }

    net::awaitable<void> acceptLoop();
    void acceptQueued();
    void takeConnection(Worker &worker, Tcp::socket socket);
    net::awaitable<void> housekeep();
    void startSession(Worker &worker, Tcp::socket socket);
    void turnAway(Worker &worker, Tcp::socket socket);
    bool isQuiet() const; // no connection is open or waits to be accepted
    void publishVms();
    void stopWorkers();

    ProxyOptions options;
    ProxyParts parts;
    Dispatcher dispatcher;
    AddressAnswer addresses;
    std::atomic<std::shared_ptr<const Snapshot>> snapshot;
    std::atomic<bool> isLeaving{false};
    std::atomic<bool> isDraining{false};
    std::atomic<bool> isAccepting{false};
    std::atomic<std::size_t> turnedAway{0}; // connections over the limit that are being told so
    std::mutex vmMutex;
    std::vector<VmEntry> vms;
    std::vector<std::unique_ptr<Worker>> workers;
    std::optional<Tcp::acceptor> acceptor; // on the first worker
    std::uint16_t boundPort = 0;
};

void Proxy::Impl::startSession(Worker &worker, Tcp::socket socket)
{
    auto session = std::make_shared<Session>(std::move(socket), sessionParts());
    parts.metrics.addGauge(Gauge::CallerConnections, 1);
    net::post(worker.context, [this, &worker, session] {
        worker.sessions.remove_if([](const auto &it) { return it.expired(); });
        worker.sessions.push_back(session);
        if (isDraining) {
            session->closeWhenIdle();
        }
        net::co_spawn(worker.context, runSession(session), [this](const std::exception_ptr &) {
            parts.metrics.addGauge(Gauge::CallerConnections, -1);
        });
    });
}

void Proxy::Impl::turnAway(Worker &worker, Tcp::socket socket)
{
    if (turnedAway >= mostTurnedAway) {
        parts.metrics.countRefusal(RefusalReason::TooManyConnections, RunState::NotRun);
        return;
    }
    auto session = std::make_shared<Session>(std::move(socket), sessionParts());
    const Refusal refusal{.reason = RefusalReason::TooManyConnections, .retryAfter = turnAwayRetry};
    ++turnedAway;
    net::co_spawn(worker.context, runTurnAway(session, refusal), [this](const std::exception_ptr &) { --turnedAway; });
}

void Proxy::Impl::takeConnection(Worker &worker, Tcp::socket socket)
{
    if (parts.metrics.value(Gauge::CallerConnections) >= options.front.maxConnections) {
        turnAway(worker, std::move(socket));
    } else {
        startSession(worker, std::move(socket));
    }
}

// Connections in the listener's queue are open for their callers already, so they are taken before the listener closes.
void Proxy::Impl::acceptQueued()
{
    SystemError ec;
    acceptor->non_blocking(true, ec);
    for (std::size_t i = 0; i < mostQueuedAccepts; ++i) {
        Worker &worker = *workers[i % workers.size()];
        Tcp::socket socket(worker.context);
        acceptor->accept(socket, ec);
        if (!ec) {
            takeConnection(worker, std::move(socket));
        } else if (ec != net::error::connection_aborted) {
            return;
        }
    }
}

bool Proxy::Impl::isQuiet() const
{
    return !isAccepting && turnedAway == 0 && parts.metrics.value(Gauge::CallerConnections) == 0;
}

net::awaitable<void> Proxy::Impl::acceptLoop()
{
    for (std::size_t next = 0; !isDraining; next = (next + 1) % workers.size()) {
        Worker &worker = *workers[next];
        Tcp::socket socket(worker.context);
        const auto [ec] = co_await acceptor->async_accept(socket, asTuple);
        if (!ec) {
            takeConnection(worker, std::move(socket));
        } else if (ec != net::error::operation_aborted) {
            logEvent(Event::AcceptFailed, {{"error", ec.message()}}, LogLevel::Warning);
            net::steady_timer timer(co_await net::this_coro::executor, acceptPause);
            co_await timer.async_wait(asTuple);
        }
    }
    acceptQueued();
    SystemError ignored;
    acceptor->close(ignored);
    isAccepting = false;
}

net::awaitable<void> Proxy::Impl::housekeep()
{
    net::steady_timer timer(co_await net::this_coro::executor);
    for (;;) {
        timer.expires_after(housekeepingPeriod);
        co_await timer.async_wait(net::use_awaitable);
        dispatcher.closeIdle(parts.clock.now());
    }
}

void Proxy::Impl::publishVms()
{
    const std::lock_guard lock(vmMutex);
    std::vector<VmEntry> published = vms;
    for (VmEntry &it : published) {
        if (isLeaving && it.name == options.vm) {
            it.state = VmState::Leaving;
        }
    }
    dispatcher.setVmCount(static_cast<std::uint32_t>(published.size()));
    addresses.applyVms(std::move(published));
}

void Proxy::Impl::stopWorkers()
{
    for (const auto &it : workers) {
        it->guard.reset();
        it->context.stop();
    }
    for (const auto &it : workers) {
        if (it->thread.joinable()) {
            it->thread.join();
        }
    }
}

Proxy::Proxy(ProxyOptions options, ProxyParts parts)
    : m_impl(std::make_unique<Impl>(std::move(options), parts))
{
    POLLENSPOKE_ASSERT(m_impl->options.workers >= 1, "set ProxyOptions::workers to at least 1");
}

Proxy::~Proxy()
{
    m_impl->stopWorkers();
    m_impl->dispatcher.clearPool();
}

Result<void> Proxy::start()
{
    SystemError ec;
    const Tcp::endpoint endpoint = toEndpoint(m_impl->options.callers);
    Tcp::acceptor &acceptor = m_impl->acceptor.emplace(m_impl->workers.front()->context);
    acceptor.open(endpoint.protocol(), ec);
    if (!ec) {
        acceptor.set_option(net::socket_base::reuse_address(true), ec);
    }
    if (!ec) {
        acceptor.bind(endpoint, ec);
    }
    if (!ec) {
        acceptor.listen(net::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return tl::unexpected(Error{.code = ErrorCode::Io, .path = toString(m_impl->options.callers), .detail = ec.message()});
    }
    m_impl->boundPort = acceptor.local_endpoint().port();
    {
        const std::lock_guard lock(m_impl->vmMutex);
        if (m_impl->vms.empty()) {
            const Address own{.ip = m_impl->options.callers.ip, .port = m_impl->boundPort};
            m_impl->vms.push_back(VmEntry{.name = m_impl->options.vm, .address = own, .failureDomain = m_impl->options.failureDomain});
        }
    }
    m_impl->publishVms();
    m_impl->isAccepting = true;
    net::co_spawn(m_impl->workers.front()->context, m_impl->acceptLoop(), net::detached);
    net::co_spawn(m_impl->workers.front()->context, m_impl->housekeep(), net::detached);
    for (const auto &it : m_impl->workers) {
        it->thread = std::thread([worker = it.get()] { worker->context.run(); });
    }
    return {};
}

std::uint16_t Proxy::port() const
{
    return m_impl->boundPort;
}

void Proxy::applySnapshot(std::shared_ptr<const Snapshot> snapshot)
{
    std::shared_ptr<const Snapshot> present = m_impl->snapshot.load();
    do {
        if (present && present->revision() > snapshot->revision()) {
            logEvent(Event::SnapshotRefused, {{"revision", std::to_string(snapshot->revision())}}, LogLevel::Warning);
            return;
        }
    } while (!m_impl->snapshot.compare_exchange_weak(present, snapshot));
    m_impl->dispatcher.targets().applySnapshot(*snapshot);
    m_impl->parts.metrics.setGauge(Gauge::SnapshotRevision, static_cast<std::int64_t>(snapshot->revision()));
    logEvent(Event::SnapshotApplied, {{"revision", std::to_string(snapshot->revision())}});
}

void Proxy::applyTargetUpdates(const VmName &vm, const TargetUpdates &news, bool isWhole)
{
    m_impl->dispatcher.targets().applyTargetUpdates(vm, news, isWhole);
}

TargetUpdates Proxy::targetUpdates() const
{
    return m_impl->dispatcher.targets().targetUpdates();
}

void Proxy::setRetryShare(double share)
{
    m_impl->dispatcher.targets().setRetryShare(share);
}

void Proxy::setVmCount(std::uint32_t n)
{
    m_impl->dispatcher.setVmCount(n);
}

void Proxy::applyVms(const std::vector<VmEntry> &vms)
{
    {
        const std::lock_guard lock(m_impl->vmMutex);
        m_impl->vms = vms;
    }
    m_impl->publishVms();
}

void Proxy::beginLeave()
{
    m_impl->isLeaving = true;
    m_impl->publishVms();
}

bool Proxy::drainAndStop(std::uint32_t timeoutMs)
{
    m_impl->isLeaving = true;
    m_impl->isDraining = true;
    net::post(m_impl->workers.front()->context, [this] {
        SystemError ec;
        if (m_impl->acceptor) {
            m_impl->acceptor->cancel(ec); // the accepting loop takes what is queued and closes
        }
    });
    for (const auto &it : m_impl->workers) {
        net::post(it->context, [worker = it.get()] {
            for (const auto &session : worker->sessions) {
                if (const auto open = session.lock()) {
                    open->closeWhenIdle();
                }
            }
        });
    }
    const auto giveUpAt = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    while (!m_impl->isQuiet() && std::chrono::steady_clock::now() < giveUpAt) {
        std::this_thread::sleep_for(drainPoll);
    }
    const bool isDrained = !m_impl->isAccepting && m_impl->parts.metrics.value(Gauge::RequestsInFlight) == 0;
    m_impl->stopWorkers();
    return isDrained;
}

} // namespace Pollenspoke
