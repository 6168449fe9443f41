// Listener, worker threads and connection handling.
#include "session.h"

#include <fstream>
#include <list>
#include <thread>
#include <unistd.h>

namespace Pollenspoke {

namespace {

constexpr auto acceptRetryDelay = std::chrono::milliseconds(50); // after accept failed, for example for lack of file descriptors
constexpr auto maintenanceInterval = std::chrono::seconds(1);
constexpr auto drainPollInterval = std::chrono::milliseconds(10);
constexpr std::size_t maxPendingRejections = 256; // connections above the limit that are sent a refusal concurrently
constexpr std::size_t maxQueuedAccepts = 65536;   // bound of the final accept loop before the listener closes
constexpr auto rejectionRetryAfter = std::chrono::seconds(1);
constexpr std::uint64_t bytesPerMb = 1000000;
constexpr std::uint64_t bodyMemoryDivisor = 2;                 // of the memory of the Vm: the part that may hold bodies
constexpr auto abortTime = std::chrono::milliseconds(150);     // after the end of a stop, to answer what is still in flight
constexpr auto workerEndTime = std::chrono::milliseconds(100); // after that, for a worker to end the handler that it runs

// Number and arguments of the system call in which a thread of this process waits, "running" if it is in none.
std::string describeSystemCall(pid_t threadId)
{
    std::ifstream file("/proc/self/task/" + std::to_string(threadId) + "/syscall");
    std::string text;
    std::getline(file, text);
    return text.empty() ? "unknown" : text;
}

} // namespace

struct Proxy::Impl
{
    // One event loop and thread. A session stays on the same worker for its lifetime.
    struct Worker
    {
        net::io_context context{1};
        net::executor_work_guard<net::io_context::executor_type> guard{context.get_executor()};
        std::list<std::weak_ptr<Session>> sessions; // accessed only on this worker's thread
        std::thread thread;
        std::atomic<pid_t> threadId{0};
        std::atomic<bool> hasEnded{false};
    };

    Impl(ProxyOptions given, ProxyDependencies givenDependencies)
        : options(std::move(given))
        , dependencies(givenDependencies)
        , bodyMemory(std::uint64_t(options.front.vmMemoryMb) * bytesPerMb / bodyMemoryDivisor, dependencies.metrics)
        , dispatcher(options, dependencies, snapshot, stop, bodyMemory)
        , addresses(options.addressTtlMs, options.addressCount)
    {
        for (std::uint32_t i = 0; i < options.workers; ++i) {
            workers.push_back(std::make_unique<Worker>());
        }
    }

    SessionContext sessionContext() { return {options, dependencies, dispatcher, bodyMemory, addresses, snapshot, isLeaving, stop}; }

    net::awaitable<void> acceptLoop();
    void acceptQueued();
    void handleConnection(Worker &worker, Tcp::socket socket);
    net::awaitable<void> runMaintenance();
    void startSession(Worker &worker, Tcp::socket socket);
    void rejectConnection(Worker &worker, Tcp::socket socket);
    bool hasNoConnections() const; // none is open, being refused or waiting to be accepted
    void publishVms();
    void runWorker(Worker &worker);
    void stopWorkers();
    void joinWorkers();
    bool waitForWorkers() const;                     // false: a worker didn't return to its event loop in time
    void visitSessions(void (Session::*function)()); // calls it on each session's worker
    bool waitUntil(const std::function<bool()> &condition, TimePoint timeLimit) const; // false: the time limit passed

    ProxyOptions options;
    ProxyDependencies dependencies;
    std::atomic<std::shared_ptr<const Snapshot>> snapshot;
    CurrentStop stop;
    BodyMemory bodyMemory;
    Dispatcher dispatcher;
    AddressAnswer addresses;
    std::atomic<bool> isLeaving{false};
    std::atomic<bool> isDraining{false};
    std::atomic<bool> isAborting{false};
    std::atomic<bool> isAccepting{false};
    std::atomic<bool> hasStalledWorker{false};
    std::atomic<std::size_t> pendingRejections{0}; // connections above the limit that are being sent a refusal
    std::mutex vmMutex;
    std::vector<VmEntry> vms;
    std::vector<std::unique_ptr<Worker>> workers;
    std::optional<Tcp::acceptor> acceptor; // runs on the first worker
    std::uint16_t boundPort = 0;
};

void Proxy::Impl::startSession(Worker &worker, Tcp::socket socket)
{
    auto session = std::make_shared<Session>(std::move(socket), sessionContext());
    dependencies.metrics.addGauge(Gauge::CallerConnections, 1);
    net::post(worker.context, [this, &worker, session] {
        worker.sessions.remove_if([](const auto &it) { return it.expired(); });
        worker.sessions.push_back(session);
        if (isDraining) {
            session->closeWhenIdle();
        }
        if (isAborting) {
            session->abortRequest();
        }
        net::co_spawn(worker.context, runSession(session), [this](const std::exception_ptr &) {
            dependencies.metrics.addGauge(Gauge::CallerConnections, -1);
        });
    });
}

void Proxy::Impl::rejectConnection(Worker &worker, Tcp::socket socket)
{
    if (pendingRejections >= maxPendingRejections) {
        dependencies.metrics.countRefusal(RefusalReason::TooManyConnections, RunState::NotRun);
        return;
    }
    auto session = std::make_shared<Session>(std::move(socket), sessionContext());
    const Refusal refusal{.reason = RefusalReason::TooManyConnections, .retryAfter = rejectionRetryAfter};
    ++pendingRejections;
    net::co_spawn(worker.context, runRejection(session, refusal), [this](const std::exception_ptr &) { --pendingRejections; });
}

void Proxy::Impl::handleConnection(Worker &worker, Tcp::socket socket)
{
    if (dependencies.metrics.value(Gauge::CallerConnections) >= options.front.maxConnections) {
        rejectConnection(worker, std::move(socket));
    } else {
        startSession(worker, std::move(socket));
    }
}

// Accepts the connections in the listen backlog before the listener closes. Their callers already see them as established.
void Proxy::Impl::acceptQueued()
{
    SystemError ec;
    acceptor->non_blocking(true, ec);
    if (ec) {
        logEvent(Event::AcceptFailed, {{"error", ec.message()}}, LogLevel::Warning);
        return; // else accept() would wait once the queue is empty
    }
    for (std::size_t i = 0; i < maxQueuedAccepts; ++i) {
        Worker &worker = *workers[i % workers.size()];
        Tcp::socket socket(worker.context);
        acceptor->accept(socket, ec);
        if (!ec) {
            handleConnection(worker, std::move(socket));
        } else if (ec != net::error::connection_aborted) {
            return;
        }
    }
}

bool Proxy::Impl::hasNoConnections() const
{
    return !isAccepting && pendingRejections == 0 && dependencies.metrics.value(Gauge::CallerConnections) == 0;
}

net::awaitable<void> Proxy::Impl::acceptLoop()
{
    for (std::size_t next = 0; !isDraining; next = (next + 1) % workers.size()) {
        Worker &worker = *workers[next];
        Tcp::socket socket(worker.context);
        const auto [ec] = co_await acceptor->async_accept(socket, asTuple);
        if (!ec) {
            handleConnection(worker, std::move(socket));
        } else if (ec != net::error::operation_aborted) {
            logEvent(Event::AcceptFailed, {{"error", ec.message()}}, LogLevel::Warning);
            net::steady_timer timer(co_await net::this_coro::executor, acceptRetryDelay);
            co_await timer.async_wait(asTuple);
        }
    }
    acceptQueued();
    SystemError ignored;
    acceptor->close(ignored);
    isAccepting = false;
}

net::awaitable<void> Proxy::Impl::runMaintenance()
{
    net::steady_timer timer(co_await net::this_coro::executor);
    for (;;) {
        timer.expires_after(maintenanceInterval);
        co_await timer.async_wait(net::use_awaitable);
        dispatcher.closeExpired(dependencies.clock.now());
    }
}

void Proxy::Impl::publishVms()
{
    const std::lock_guard lock(vmMutex);
    std::vector<VmEntry> vmList = vms;
    for (VmEntry &it : vmList) {
        if (isLeaving && it.name == options.vm) {
            it.state = VmState::Leaving;
        }
    }
    dispatcher.setVmCount(static_cast<std::uint32_t>(vmList.size()));
    LimitSharers sharers{.self = options.vm, .vms = std::vector<VmName>(), .fleetSize = vmList.size()};
    std::transform(vmList.begin(), vmList.end(), std::back_inserter(*sharers.vms), [](const VmEntry &it) { return it.name; });
    dispatcher.targets().setLimitSharers(vmList.empty() ? LimitSharers{.self = options.vm} : sharers);
    addresses.applyVms(std::move(vmList));
}

void Proxy::Impl::runWorker(Worker &worker)
{
    worker.threadId = ::gettid();
    worker.context.run();
    worker.hasEnded = true;
}

bool Proxy::Impl::waitForWorkers() const
{
    const auto hasEnded = [](const auto &it) { return !it->thread.joinable() || it->hasEnded; };
    const auto haveAllEnded = [&] { return std::all_of(workers.begin(), workers.end(), hasEnded); };
    if (waitUntil(haveAllEnded, dependencies.clock.now() + workerEndTime)) {
        return true;
    }
    for (std::size_t i = 0; i < workers.size(); ++i) {
        if (!hasEnded(workers[i])) {
            logEvent(Event::WorkerStalled,
                     {{"worker", std::to_string(i)},
                      {"system_call", describeSystemCall(workers[i]->threadId)},
                      {"requests_in_flight", std::to_string(dependencies.metrics.value(Gauge::RequestsInFlight))}},
                     LogLevel::Error);
        }
    }
    return false;
}

void Proxy::Impl::stopWorkers()
{
    for (const auto &it : workers) {
        it->guard.reset();
        it->context.stop();
    }
}

void Proxy::Impl::joinWorkers()
{
    for (const auto &it : workers) {
        if (it->thread.joinable()) {
            it->thread.join();
        }
    }
}

void Proxy::Impl::visitSessions(void (Session::*function)())
{
    for (const auto &it : workers) {
        net::post(it->context, [worker = it.get(), function] {
            for (const auto &session : worker->sessions) {
                if (const auto open = session.lock()) {
                    ((*open).*function)();
                }
            }
        });
    }
}

bool Proxy::Impl::waitUntil(const std::function<bool()> &condition, TimePoint timeLimit) const
{
    while (!condition()) {
        if (dependencies.clock.now() >= timeLimit) {
            return false;
        }
        std::this_thread::sleep_for(drainPollInterval);
    }
    return true;
}

Proxy::Proxy(ProxyOptions options, ProxyDependencies dependencies)
    : m_impl(std::make_unique<Impl>(std::move(options), dependencies))
{
    POLLENSPOKE_ASSERT(m_impl->options.workers >= 1, "set ProxyOptions::workers to at least 1");
}

Proxy::~Proxy()
{
    m_impl->stopWorkers();
    m_impl->joinWorkers();
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
    net::co_spawn(m_impl->workers.front()->context, m_impl->runMaintenance(), net::detached);
    for (const auto &it : m_impl->workers) {
        it->thread = std::thread([this, worker = it.get()] { m_impl->runWorker(*worker); });
    }
    return {};
}

std::uint16_t Proxy::port() const
{
    return m_impl->boundPort;
}

void Proxy::applySnapshot(std::shared_ptr<const Snapshot> snapshot)
{
    std::shared_ptr<const Snapshot> current = m_impl->snapshot.load();
    do {
        if (current && current->revision() > snapshot->revision()) {
            logEvent(Event::SnapshotRefused, {{"revision", std::to_string(snapshot->revision())}}, LogLevel::Warning);
            return;
        }
    } while (!m_impl->snapshot.compare_exchange_weak(current, snapshot));
    m_impl->dispatcher.applySnapshot(*snapshot);
    m_impl->dependencies.metrics.setGauge(Gauge::SnapshotRevision, static_cast<std::int64_t>(snapshot->revision()));
    logEvent(Event::SnapshotApplied, {{"revision", std::to_string(snapshot->revision())}});
}

void Proxy::applyTargetUpdates(const VmName &vm, const TargetUpdates &updates, bool isWhole)
{
    m_impl->dispatcher.targets().applyTargetUpdates(vm, updates, isWhole);
}

TargetUpdates Proxy::targetUpdates() const
{
    return m_impl->dispatcher.targets().targetUpdates();
}

void Proxy::applyDemand(const VmName &vm, const DemandUpdates &demand)
{
    m_impl->dispatcher.targets().applyDemand(vm, demand);
}

DemandUpdates Proxy::demandUpdates()
{
    return m_impl->dispatcher.targets().demandUpdates();
}

void Proxy::setRetryShare(double share)
{
    m_impl->dispatcher.targets().setRetryShare(share);
}

void Proxy::setVmCount(std::uint32_t n)
{
    m_impl->dispatcher.setVmCount(n);
}

void Proxy::setLimitSharers(const LimitSharers &sharers)
{
    m_impl->dispatcher.targets().setLimitSharers(sharers);
}

void Proxy::setOtherHolders(const std::vector<HolderHealth> &others)
{
    m_impl->dispatcher.targets().setOtherHolders(others);
}

bool Proxy::hasStalledWorker() const
{
    return m_impl->hasStalledWorker;
}

bool Proxy::isImpaired() const
{
    return m_impl->dispatcher.targets().isImpaired();
}

void Proxy::applyVms(const std::vector<VmEntry> &vms)
{
    {
        const std::lock_guard lock(m_impl->vmMutex);
        m_impl->vms = vms;
    }
    m_impl->publishVms();
}

void Proxy::beginLeave(const StopSchedule &schedule)
{
    m_impl->stop = std::make_shared<const PlannedStop>(schedule, m_impl->dependencies.clock.now());
    m_impl->isLeaving = true;
    m_impl->publishVms();
}

bool Proxy::drainAndStop()
{
    const std::shared_ptr<const PlannedStop> stop = m_impl->stop.load();
    POLLENSPOKE_ASSERT(stop, "call beginLeave() first");
    m_impl->isDraining = true;
    net::post(m_impl->workers.front()->context, [this] {
        SystemError ec;
        if (m_impl->acceptor) {
            m_impl->acceptor->cancel(ec); // acceptLoop() accepts the backlog and closes the acceptor
        }
    });
    m_impl->visitSessions(&Session::closeWhenIdle);
    // If the end is noticed late, the workers still get time to read what has arrived.
    const TimePoint abortAt = std::max(stop->endsAt(), m_impl->dependencies.clock.now() + abortTime);
    bool isDrained = m_impl->waitUntil([this] { return m_impl->hasNoConnections(); }, abortAt);
    if (!isDrained) {
        const auto hasNoRequests = [this] { return m_impl->dependencies.metrics.value(Gauge::RequestsInFlight) == 0; };
        isDrained = !m_impl->isAccepting && hasNoRequests(); // the remaining connections are idle
        m_impl->isAborting = true;
        m_impl->visitSessions(&Session::abortRequest);
        m_impl->waitUntil(hasNoRequests, m_impl->dependencies.clock.now() + abortTime);
    }
    m_impl->stopWorkers();
    if (!m_impl->waitForWorkers()) {
        m_impl->hasStalledWorker = true;
        return false;
    }
    m_impl->joinWorkers();
    return isDrained;
}

} // namespace Pollenspoke
