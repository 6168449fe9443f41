#include "world.h"

#include <algorithm>
#include <csignal>
#include <iomanip>
#include <sstream>

namespace Pollenspoke {

namespace {

namespace net = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *host = "soak.example";
constexpr AccountLimits busyLimits{.ratePerSecond = 400, .burst = 400};
constexpr AccountLimits hotLimits{.ratePerSecond = 20, .burst = 20};
constexpr AccountLimits reducedLimits{.ratePerSecond = 5, .burst = 5}; // for the hot account after some configuration changes
constexpr auto startTimeout = seconds(10);                             // for the first successful request
constexpr auto recoveryTime = seconds(8);                              // after the last fault; the specified limit is 15 s
constexpr auto measurementTime = seconds(3);                           // after recoveryTime, without faults
constexpr double minSuccessRate = 0.95;                                // of requests sent within measurementTime
constexpr auto registrationLifetime = milliseconds(4500);              // of a target that doesn't write any more
constexpr std::uint64_t restoreSeedInterval = 2;                       // every second seed restores the store
constexpr auto shutdownTime = milliseconds(3500);                      // leave_ms, draining and a margin
constexpr std::uint64_t probeSeed = 900000000;                         // above the callers' seeds, so that request IDs stay unique
constexpr auto maxFaultInterval = milliseconds(700);

struct SoakVm
{
    std::string name;
    std::string settingsFile;
    std::string logFile;
    Address callerListener;
    Address addressListener;
    std::unique_ptr<FaultLink> storeLink;
    std::unique_ptr<Process> process;
    bool hasProcessFault = false; // being restarted or suspended
};

struct Configuration
{
    unsigned version = 1;
    bool hasOldKey = true;
    bool isHotReduced = false;
    bool hasExtraRoute = false;
    unsigned timeoutMs = 2500;

    std::string toJson() const;
};

std::string makeRule(const std::string &name, const std::string &type, const std::string &service, unsigned timeoutMs)
{
    return R"({"name":")" + name + R"(","route-type":")" + type + R"(","target-latency-ms":500,"priority":1,"match":{"path-prefix":"/)"
        + name + R"(/"},"action":{"service":")" + service + R"(","timeout-ms":)" + std::to_string(timeoutMs) + R"(,"max-attempts":3}})";
}

std::string makeTenant(const std::string &name, const std::string &keys, const AccountLimits &limits)
{
    return R"({"name":")" + name + R"(","api-keys":[)" + keys + R"(],"rate-per-s":)" + std::to_string(limits.ratePerSecond) + R"(,"burst":)"
        + std::to_string(limits.burst) + "}";
}

std::string Configuration::toJson() const
{
    std::ostringstream out;
    out << R"({"version":")" << std::hex << std::setw(8) << std::setfill('0') << version << R"(","tenants":[)"
        << makeTenant("busy", R"("key-busy")", busyLimits) << ","
        << makeTenant("hot", R"("key-hot")", isHotReduced ? reducedLimits : hotLimits) << ","
        << makeTenant("old", hasOldKey ? R"("key-old","key-new")" : R"("key-new")", busyLimits) << R"(],"listeners":[{"hostname":")" << host
        << R"(","rules":[)" << makeRule("read", "safe", "s-read", timeoutMs) << "," << makeRule("write", "unsafe", "s-write", timeoutMs)
        << (hasExtraRoute ? "," + makeRule("extra", "safe", "s-read", timeoutMs) : "")
        << R"(]}],"clusters":[{"name":"s-read","health-path":"/health","max-connections":300},)"
        << R"({"name":"s-write","health-path":"/health","max-connections":300}]})";
    return out.str();
}

class SoakRun
{
public:
    explicit SoakRun(const SoakOptions &options)
        : m_options(options)
        , m_generator(options.seed)
        , m_restoreGenerator(options.seed)
    {
    }

    SoakResult run();

private:
    void startVm(SoakVm &vm);
    void createVms();
    void startCallers();
    net::awaitable<void> runScenario();
    net::awaitable<void> waitForService();
    net::awaitable<void> injectFaults();
    net::awaitable<void> checkRecovery();
    void injectFault();
    net::awaitable<void> restart(SoakVm &vm, int signal);
    net::awaitable<void> suspend(SoakVm &vm);
    net::awaitable<void> applyLinkFault(FaultLink &link, LinkFault fault, milliseconds duration);
    net::awaitable<void> applyStoreFault(StoreFault fault, milliseconds duration);
    net::awaitable<void> restoreStore();
    net::awaitable<void> applyTargetMode(SoakTarget &target, TargetMode mode, milliseconds duration);
    net::awaitable<void> replaceTarget(SoakTarget &target, bool drainsFirst, bool switchesService);
    void changeConfiguration();
    void recordFault(const std::string &fault);
    void addViolation(const std::string &violation) { m_result.violations.push_back(violation); }
    std::size_t randomIndex(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_generator); }
    milliseconds randomMs(int min, int max)
    {
        return milliseconds(min + static_cast<int>(randomIndex(static_cast<std::size_t>(max - min))));
    }
    static net::awaitable<void> sleepFor(milliseconds duration);
    void spawn(net::awaitable<void> task);

    SoakOptions m_options;
    std::mt19937_64 m_generator;
    std::mt19937_64 m_restoreGenerator; // of its own, so that the faults of earlier seeds stay the same
    SoakResult m_result;
    Ledger m_ledger;
    net::io_context m_context;
    FakeStore m_store;
    ScratchFolder m_folder;
    Configuration m_configuration;
    std::vector<std::unique_ptr<SoakTarget>> m_targets;
    std::vector<SoakVm> m_vms;
    std::vector<std::unique_ptr<Caller>> m_callers;
    bool m_shouldStop = false;
    std::size_t m_activeTasks = 0; // faults in progress and the scenario itself
    Ledger::Clock::time_point m_startedAt = Ledger::Clock::now();
};

void SoakRun::recordFault(const std::string &fault)
{
    const auto ms = std::chrono::duration_cast<milliseconds>(Ledger::Clock::now() - m_startedAt).count();
    m_result.faults.push_back(std::to_string(ms) + " ms: " + fault);
}

net::awaitable<void> SoakRun::sleepFor(milliseconds duration)
{
    net::steady_timer timer(co_await net::this_coro::executor, duration);
    co_await timer.async_wait(net::use_awaitable);
}

void SoakRun::spawn(net::awaitable<void> task)
{
    ++m_activeTasks;
    net::co_spawn(m_context, std::move(task), [this](const std::exception_ptr &exception) {
        --m_activeTasks;
        if (exception) {
            std::rethrow_exception(exception);
        }
    });
}

void SoakRun::startVm(SoakVm &vm)
{
    vm.process = std::make_unique<Process>(binaryPath("pollenspoked"), std::vector<std::string>{"--settings", vm.settingsFile}, vm.logFile);
}

void SoakRun::createVms()
{
    const std::string folder = m_options.logFolder;
    m_vms.resize(m_options.vms);
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        SoakVm &vm = m_vms[i];
        vm.name = "vm-" + std::to_string(i + 1);
        vm.storeLink = std::make_unique<FaultLink>(m_context, m_store.address());
        vm.callerListener = closedPortAddress();
        vm.addressListener = closedPortAddress();
        vm.logFile = folder.empty() ? m_folder.path(vm.name + ".log")
                                    : folder + "/seed-" + std::to_string(m_options.seed) + "-" + vm.name + ".log";
        std::ostringstream out;
        out << "vm: {name: " << vm.name << ", failure_domain: fd-" << (i % 2 == 0 ? "a" : "b") << "}\n"
            << "listen:\n  callers: \"" << toString(vm.callerListener) << "\"\n  readiness: \"" << toString(closedPortAddress())
            << "\"\n  addresses: \"" << toString(vm.addressListener) << "\"\n  peers: \"" << toString(closedPortAddress()) << "\"\n"
            << "platform: {kind: shared, store: \"" << toString(vm.storeLink->address()) << "\"}\n"
            << "workers: 1\n"
            << "dispatch: {connect_timeout_ms: 100, target_queue: 0, patience_factor: 3, retry_ratio: 0.2, retry_reserve: 60, "
            << "retry_window_ms: 10000, pooled_idle_ms: 8000}\n"
            << "fleet: {address_ttl_ms: 1000, watch_wait_ms: 5000, leave_ms: 1800, grace_ms: 3500}\n";
        vm.settingsFile = m_folder.write(vm.name + ".yaml", out.str());
        startVm(vm);
    }
}

void SoakRun::startCallers()
{
    std::vector<Address> addressServers;
    for (const SoakVm &it : m_vms) {
        addressServers.push_back(it.addressListener);
    }
    for (std::size_t i = 0; i < m_options.callers; ++i) {
        const bool isHot = i % 4 == 3;
        const bool isNew = i % 4 == 2;
        CallerOptions options{.addressServers = addressServers,
                              .host = host,
                              .account = isHot ? "hot"
                                  : isNew      ? "old"
                                               : "busy",
                              .key = isHot ? "key-hot"
                                  : isNew  ? "key-new"
                                           : "key-busy",
                              .thinkTime = isHot ? milliseconds(15) : milliseconds(40),
                              .seed = m_options.seed * 1000 + i};
        m_callers.push_back(std::make_unique<Caller>(m_ledger, std::move(options), m_shouldStop));
        net::co_spawn(m_context, m_callers.back()->run(), net::detached);
    }
}

net::awaitable<void> SoakRun::restart(SoakVm &vm, int signal)
{
    vm.hasProcessFault = true;
    m_ledger.forgetAnnouncements(toString(vm.callerListener));
    vm.process->signal(signal);
    co_await sleepFor(signal == SIGTERM ? shutdownTime : randomMs(100, 1500));
    vm.process.reset();                                        // sends SIGKILL if the process is still running
    m_ledger.forgetAnnouncements(toString(vm.callerListener)); // also of answers that it passed on while it stopped
    startVm(vm);
    co_await sleepFor(milliseconds(300));
    vm.hasProcessFault = false;
}

net::awaitable<void> SoakRun::suspend(SoakVm &vm)
{
    vm.hasProcessFault = true;
    vm.process->signal(SIGSTOP);
    co_await sleepFor(randomMs(200, 3000));
    m_ledger.forgetAnnouncements(toString(vm.callerListener));
    vm.process->signal(SIGCONT);
    vm.hasProcessFault = false;
}

net::awaitable<void> SoakRun::applyLinkFault(FaultLink &link, LinkFault fault, milliseconds duration)
{
    link.setFault(fault);
    co_await sleepFor(duration);
    link.setFault(LinkFault::None);
}

net::awaitable<void> SoakRun::applyStoreFault(StoreFault fault, milliseconds duration)
{
    m_store.setFault(fault);
    co_await sleepFor(duration);
    m_store.setFault(StoreFault::None);
}

// The store is away for a moment and comes back from a copy some seconds old. The operator and the targets write again; the
// registrations of targets that have left lapse.
net::awaitable<void> SoakRun::restoreStore()
{
    co_await sleepFor(milliseconds(500 + static_cast<int>(m_restoreGenerator() % 2000)));
    const FakeStore::Copy copy = m_store.takeCopy();
    co_await sleepFor(milliseconds(1000 + static_cast<int>(m_restoreGenerator() % 3000)));
    recordFault("store restored from a copy");
    m_store.setFault(StoreFault::Reset);
    co_await sleepFor(milliseconds(300 + static_cast<int>(m_restoreGenerator() % 1500)));
    m_store.restore(copy);
    m_store.setFault(StoreFault::None);
    co_await sleepFor(milliseconds(static_cast<int>(m_restoreGenerator() % 1500)));
    m_store.put("config", "main", m_configuration.toJson());
    for (const std::unique_ptr<SoakTarget> &it : m_targets) {
        it->registerAgain();
    }
    co_await sleepFor(registrationLifetime);
    const auto servers = copy.objects.find("servers");
    if (servers == copy.objects.end()) {
        co_return;
    }
    for (const auto &[name, object] : servers->second) {
        const bool isCurrent = std::any_of(m_targets.begin(), m_targets.end(), [&name = name](const auto &it) { return it->id() == name; });
        if (!isCurrent && m_store.has("servers", name)) {
            m_store.remove("servers", name);
        }
    }
}

net::awaitable<void> SoakRun::applyTargetMode(SoakTarget &target, TargetMode mode, milliseconds duration)
{
    target.setMode(mode);
    co_await sleepFor(duration);
    target.setMode(TargetMode::Healthy);
}

net::awaitable<void> SoakRun::replaceTarget(SoakTarget &target, bool drainsFirst, bool switchesService)
{
    if (drainsFirst) {
        target.setDraining();
        co_await sleepFor(seconds(3)); // longer than the platform's drain time
    }
    target.replaceInstance(switchesService);
}

void SoakRun::changeConfiguration()
{
    m_configuration.version += 1 + static_cast<unsigned>(randomIndex(3));
    m_configuration.timeoutMs = 2000 + 250 * static_cast<unsigned>(randomIndex(4));
    m_configuration.isHotReduced = randomIndex(2) == 0;
    m_configuration.hasExtraRoute = randomIndex(2) == 0;
    m_configuration.hasOldKey = m_configuration.hasOldKey && randomIndex(2) == 0;
    m_store.put("config", "main", m_configuration.toJson());
}

// Starts one random fault. Does nothing if it would hit a VM whose process already has one.
void SoakRun::injectFault()
{
    constexpr std::size_t maintenanceKinds = 3;
    constexpr std::size_t allKinds = 12;
    SoakVm &vm = m_vms[randomIndex(m_vms.size())];
    SoakTarget &target = *m_targets[randomIndex(m_targets.size())];
    const LinkFault linkFault = static_cast<LinkFault>(1 + randomIndex(5));
    const milliseconds duration = randomMs(300, 4000);
    switch (randomIndex(m_options.maintenanceOnly ? maintenanceKinds : allKinds)) {
    case 0:
        if (!vm.hasProcessFault) {
            recordFault("SIGTERM " + vm.name);
            spawn(restart(vm, SIGTERM));
        }
        return;
    case 1:
        recordFault("configuration change");
        return changeConfiguration();
    case 2:
        recordFault("target drained and replaced");
        return spawn(replaceTarget(target, true, false));
    case 3:
    case 4:
        if (!vm.hasProcessFault) {
            recordFault("SIGKILL " + vm.name);
            spawn(restart(vm, SIGKILL));
        }
        return;
    case 5:
        if (!vm.hasProcessFault) {
            recordFault("SIGSTOP " + vm.name);
            spawn(suspend(vm));
        }
        return;
    case 6:
        recordFault("store link " + std::to_string(static_cast<int>(linkFault)) + " of " + vm.name);
        return spawn(applyLinkFault(*vm.storeLink, linkFault, duration));
    case 7:
        recordFault("target link " + std::to_string(static_cast<int>(linkFault)));
        return spawn(applyLinkFault(target.link(), linkFault, duration));
    case 8:
        recordFault("store fault");
        return spawn(applyStoreFault(static_cast<StoreFault>(1 + randomIndex(4)), duration));
    case 9:
        recordFault("store history dropped");
        return m_store.discardHistory();
    case 10:
        recordFault("target replaced without drain at the same address");
        return spawn(replaceTarget(target, false, randomIndex(2) == 0));
    default: {
        const auto mode = static_cast<TargetMode>(1 + randomIndex(8));
        recordFault("target mode " + std::to_string(static_cast<int>(mode)));
        return spawn(applyTargetMode(target, mode, duration));
    }
    }
}

net::awaitable<void> SoakRun::injectFaults()
{
    const auto end = Ledger::Clock::now() + m_options.length;
    if (!m_options.maintenanceOnly && m_options.seed % restoreSeedInterval == 0) {
        spawn(restoreStore());
    }
    while (Ledger::Clock::now() < end) {
        injectFault();
        co_await sleepFor(randomMs(20, static_cast<int>(maxFaultInterval.count())));
    }
    while (m_activeTasks > 1) { // the scenario itself counts as one
        co_await sleepFor(milliseconds(50));
    }
}

// Waits until a request succeeds, so that start-up does not count as an outage.
net::awaitable<void> SoakRun::waitForService()
{
    std::vector<Address> addressServers;
    for (const SoakVm &it : m_vms) {
        addressServers.push_back(it.addressListener);
    }
    Caller probe(
        m_ledger, {.addressServers = addressServers, .host = host, .account = "busy", .key = "key-busy", .seed = probeSeed}, m_shouldStop);
    const auto deadline = Ledger::Clock::now() + startTimeout;
    const std::string path = "/read/ready";
    while (co_await probe.requestOnce(path) != 200) {
        if (Ledger::Clock::now() > deadline) {
            addViolation("START: no request succeeded within 10 s");
            co_return;
        }
        co_await sleepFor(milliseconds(50));
    }
}

net::awaitable<void> SoakRun::checkRecovery()
{
    m_configuration.version += 1;
    m_configuration.hasOldKey = false;
    m_configuration.hasExtraRoute = false;
    m_store.put("config", "main", m_configuration.toJson());
    co_await sleepFor(recoveryTime);
    const auto since = Ledger::Clock::now();
    co_await sleepFor(measurementTime);
    const double successRate = m_ledger.successRateSince(since);
    if (successRate < minSuccessRate) {
        addViolation("RECOVER: " + std::to_string(successRate) + " of the requests succeeded after the faults ended");
    }
    const std::string readPath = "/read/item";
    const std::string extraPath = "/extra/item";
    std::uint64_t seed = probeSeed;
    for (const SoakVm &vm : m_vms) {
        Caller withdrawnKeyCaller(
            m_ledger,
            {.addressServers = {vm.addressListener}, .host = host, .account = "old", .key = "key-old", .seed = ++seed},
            m_shouldStop);
        if (const unsigned status = co_await withdrawnKeyCaller.requestOnce(readPath); status != 401) {
            addViolation("CONFIG: a withdrawn key got status " + std::to_string(status));
        }
        Caller removedRouteCaller(
            m_ledger,
            {.addressServers = {vm.addressListener}, .host = host, .account = "busy", .key = "key-busy", .seed = ++seed},
            m_shouldStop);
        if (const unsigned status = co_await removedRouteCaller.requestOnce(extraPath); status != 404) {
            addViolation("CONFIG: a removed route got status " + std::to_string(status));
        }
    }
}

net::awaitable<void> SoakRun::runScenario()
{
    co_await waitForService();
    m_startedAt = Ledger::Clock::now();
    startCallers();
    co_await injectFaults();
    co_await checkRecovery();
    m_shouldStop = true;
    for (const std::unique_ptr<Caller> &it : m_callers) {
        while (!it->isDone()) {
            co_await sleepFor(milliseconds(50));
        }
    }
    m_context.stop();
}

SoakResult SoakRun::run()
{
    for (int i = 0; i < 4; ++i) {
        m_targets.push_back(std::make_unique<SoakTarget>(m_context, m_store, m_ledger, "s-read"));
        m_targets.push_back(std::make_unique<SoakTarget>(m_context, m_store, m_ledger, "s-write"));
    }
    m_store.put("config", "main", m_configuration.toJson());
    createVms();
    spawn(runScenario());
    m_context.run();
    for (const std::string &it : m_ledger.violations({{"hot", hotLimits}, {"busy", busyLimits}})) {
        addViolation(it);
    }
    if (m_options.maintenanceOnly) {
        for (const std::string &it : m_ledger.unansweredExecutionsSince(m_startedAt)) {
            addViolation("LOST: request " + it + " was executed but got no response");
        }
    }
    m_result.summary = m_ledger.summary();
    return m_result;
}

} // namespace

SoakResult runSoak(const SoakOptions &options)
{
    SoakRun soakRun(options);
    return soakRun.run();
}

} // namespace Pollenspoke
