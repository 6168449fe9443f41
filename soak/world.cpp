#include "world.h"

#include <csignal>
#include <iomanip>
#include <sstream>

namespace Pollenspoke {

namespace {

namespace net = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *host = "soak.example";
constexpr AccountBound busyBound{.ratePerSecond = 400, .burst = 400};
constexpr AccountBound hotBound{.ratePerSecond = 20, .burst = 20};
constexpr AccountBound lowBound{.ratePerSecond = 5, .burst = 5}; // of the hot account after some changes
constexpr auto startTime = seconds(10);                          // for all VMs to answer a request
constexpr auto settleTime = seconds(8);                          // after the last fault; the platform's bound is 15 s
constexpr auto quietTime = seconds(3);                           // measured then
constexpr double leastServed = 0.95;                             // of what is sent in the quiet time
constexpr auto stopTime = milliseconds(3500);                    // leaving, draining, and some room
constexpr std::uint64_t probeSeed = 900000000;                   // above those of the callers, so that no id comes twice
constexpr auto mostPause = milliseconds(700);                    // between two faults

struct SoakVm
{
    std::string name;
    std::string settingsFile;
    std::string logFile;
    Address callers;
    Address addresses;
    std::unique_ptr<FaultLink> store;
    std::unique_ptr<Process> process;
    bool isBusy = false; // a fault of its process is under way
};

struct Configuration
{
    unsigned version = 1;
    bool hasOldKey = true;
    bool isHotLow = false;
    bool hasExtraRoute = false;
    unsigned timeoutMs = 2500;

    std::string text() const;
};

std::string rule(const std::string &name, const std::string &type, const std::string &service, unsigned timeoutMs)
{
    return R"({"name":")" + name + R"(","route-type":")" + type + R"(","target-latency-ms":500,"priority":1,"match":{"path-prefix":"/)"
        + name + R"(/"},"action":{"service":")" + service + R"(","timeout-ms":)" + std::to_string(timeoutMs) + R"(,"max-attempts":3}})";
}

std::string tenant(const std::string &name, const std::string &keys, const AccountBound &bound)
{
    return R"({"name":")" + name + R"(","api-keys":[)" + keys + R"(],"rate-per-s":)" + std::to_string(bound.ratePerSecond) + R"(,"burst":)"
        + std::to_string(bound.burst) + "}";
}

std::string Configuration::text() const
{
    std::ostringstream out;
    out << R"({"version":")" << std::hex << std::setw(8) << std::setfill('0') << version << R"(","tenants":[)"
        << tenant("busy", R"("key-busy")", busyBound) << "," << tenant("hot", R"("key-hot")", isHotLow ? lowBound : hotBound) << ","
        << tenant("old", hasOldKey ? R"("key-old","key-new")" : R"("key-new")", busyBound) << R"(],"listeners":[{"hostname":")" << host
        << R"(","rules":[)" << rule("read", "safe", "s-read", timeoutMs) << "," << rule("write", "unsafe", "s-write", timeoutMs)
        << (hasExtraRoute ? "," + rule("extra", "safe", "s-read", timeoutMs) : "")
        << R"(]}],"clusters":[{"name":"s-read","health-path":"/health","max-connections":300},)"
        << R"({"name":"s-write","health-path":"/health","max-connections":300}]})";
    return out.str();
}

class World
{
public:
    explicit World(const SoakOptions &options)
        : m_options(options)
        , m_generator(options.seed)
    {
    }

    SoakOutcome play();

private:
    void startVm(SoakVm &vm);
    void makeVms();
    void startCallers();
    net::awaitable<void> direct();
    net::awaitable<void> waitForService();
    net::awaitable<void> injectFaults();
    net::awaitable<void> checkQuietEnd();
    void injectOne();
    net::awaitable<void> restart(SoakVm &vm, int signal);
    net::awaitable<void> freeze(SoakVm &vm);
    net::awaitable<void> harm(FaultLink &link, LinkFault fault, milliseconds length);
    net::awaitable<void> harmStore(StoreFault fault, milliseconds length);
    net::awaitable<void> harmTarget(SoakTarget &target, TargetMode mode, milliseconds length);
    net::awaitable<void> replaceTarget(SoakTarget &target, bool isPlanned, bool movesService);
    void changeConfiguration();
    void note(const std::string &fault);
    void fail(const std::string &violation) { m_outcome.violations.push_back(violation); }
    std::size_t draw(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_generator); }
    milliseconds drawMs(int least, int most)
    {
        return milliseconds(least + static_cast<int>(draw(static_cast<std::size_t>(most - least))));
    }
    static net::awaitable<void> pause(milliseconds length);
    void spawn(net::awaitable<void> work);

    SoakOptions m_options;
    std::mt19937_64 m_generator;
    SoakOutcome m_outcome;
    Ledger m_ledger;
    net::io_context m_context;
    StoreStandIn m_store;
    ScratchFolder m_folder;
    Configuration m_configuration;
    std::vector<std::unique_ptr<SoakTarget>> m_targets;
    std::vector<SoakVm> m_vms;
    std::vector<std::unique_ptr<Caller>> m_callers;
    bool m_isOver = false;
    std::size_t m_active = 0; // faults under way
    Ledger::Clock::time_point m_startedAt = Ledger::Clock::now();
};

void World::note(const std::string &fault)
{
    const auto ms = std::chrono::duration_cast<milliseconds>(Ledger::Clock::now() - m_startedAt).count();
    m_outcome.faults.push_back(std::to_string(ms) + " ms: " + fault);
}

net::awaitable<void> World::pause(milliseconds length)
{
    net::steady_timer timer(co_await net::this_coro::executor, length);
    co_await timer.async_wait(net::use_awaitable);
}

void World::spawn(net::awaitable<void> work)
{
    ++m_active;
    net::co_spawn(m_context, std::move(work), [this](const std::exception_ptr &problem) {
        --m_active;
        if (problem) {
            std::rethrow_exception(problem);
        }
    });
}

void World::startVm(SoakVm &vm)
{
    vm.process = std::make_unique<Process>(binaryPath("pollenspoked"), std::vector<std::string>{"--settings", vm.settingsFile}, vm.logFile);
}

void World::makeVms()
{
    const std::string folder = m_options.logFolder;
    m_vms.resize(m_options.vms);
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        SoakVm &vm = m_vms[i];
        vm.name = "vm-" + std::to_string(i + 1);
        vm.store = std::make_unique<FaultLink>(m_context, m_store.address());
        vm.callers = refusedAddress();
        vm.addresses = refusedAddress();
        vm.logFile = folder.empty() ? m_folder.path(vm.name + ".log")
                                    : folder + "/seed-" + std::to_string(m_options.seed) + "-" + vm.name + ".log";
        std::ostringstream out;
        out << "vm: {name: " << vm.name << ", failure_domain: fd-" << (i % 2 == 0 ? "a" : "b") << "}\n"
            << "listen:\n  callers: \"" << toString(vm.callers) << "\"\n  readiness: \"" << toString(refusedAddress())
            << "\"\n  addresses: \"" << toString(vm.addresses) << "\"\n  peers: \"" << toString(refusedAddress()) << "\"\n"
            << "platform: {kind: shared, store: \"" << toString(vm.store->address()) << "\"}\n"
            << "workers: 1\n"
            << "dispatch: {connect_timeout_ms: 100, target_queue: 0, patience_factor: 3, retry_ratio: 0.2, retry_reserve: 60, "
            << "retry_window_ms: 10000, pooled_idle_ms: 8000}\n"
            << "fleet: {address_ttl_ms: 1000, watch_wait_ms: 5000, leave_ms: 1800}\n";
        vm.settingsFile = m_folder.write(vm.name + ".yaml", out.str());
        startVm(vm);
    }
}

void World::startCallers()
{
    std::vector<Address> directories;
    for (const SoakVm &it : m_vms) {
        directories.push_back(it.addresses);
    }
    for (std::size_t i = 0; i < m_options.callers; ++i) {
        const bool isHot = i % 4 == 3;
        const bool isNew = i % 4 == 2;
        CallerOptions options{.directories = directories,
                              .host = host,
                              .account = isHot ? "hot"
                                  : isNew      ? "old"
                                               : "busy",
                              .key = isHot ? "key-hot"
                                  : isNew  ? "key-new"
                                           : "key-busy",
                              .pause = isHot ? milliseconds(15) : milliseconds(40),
                              .seed = m_options.seed * 1000 + i};
        m_callers.push_back(std::make_unique<Caller>(m_ledger, std::move(options), m_isOver));
        net::co_spawn(m_context, m_callers.back()->run(), net::detached);
    }
}

net::awaitable<void> World::restart(SoakVm &vm, int signal)
{
    vm.isBusy = true;
    vm.process->signal(signal);
    co_await pause(signal == SIGTERM ? stopTime : drawMs(100, 1500));
    vm.process.reset(); // killed by its id if it is still there
    startVm(vm);
    co_await pause(milliseconds(300));
    vm.isBusy = false;
}

net::awaitable<void> World::freeze(SoakVm &vm)
{
    vm.isBusy = true;
    vm.process->signal(SIGSTOP);
    co_await pause(drawMs(200, 3000));
    vm.process->signal(SIGCONT);
    vm.isBusy = false;
}

net::awaitable<void> World::harm(FaultLink &link, LinkFault fault, milliseconds length)
{
    link.setFault(fault);
    co_await pause(length);
    link.setFault(LinkFault::None);
}

net::awaitable<void> World::harmStore(StoreFault fault, milliseconds length)
{
    m_store.setFault(fault);
    co_await pause(length);
    m_store.setFault(StoreFault::None);
}

net::awaitable<void> World::harmTarget(SoakTarget &target, TargetMode mode, milliseconds length)
{
    target.setMode(mode);
    co_await pause(length);
    target.setMode(TargetMode::Well);
}

net::awaitable<void> World::replaceTarget(SoakTarget &target, bool isPlanned, bool movesService)
{
    if (isPlanned) {
        target.setLeaving();
        co_await pause(seconds(3)); // the platform's drain time, and more
    }
    target.registerAnew(movesService);
}

void World::changeConfiguration()
{
    m_configuration.version += 1 + static_cast<unsigned>(draw(3));
    m_configuration.timeoutMs = 2000 + 250 * static_cast<unsigned>(draw(4));
    m_configuration.isHotLow = draw(2) == 0;
    m_configuration.hasExtraRoute = draw(2) == 0;
    m_configuration.hasOldKey = m_configuration.hasOldKey && draw(2) == 0;
    m_store.put("config", "main", m_configuration.text());
}

// Starts one fault, or none where its subject has one already.
void World::injectOne()
{
    constexpr std::size_t plannedKinds = 3;
    constexpr std::size_t allKinds = 12;
    SoakVm &vm = m_vms[draw(m_vms.size())];
    SoakTarget &target = *m_targets[draw(m_targets.size())];
    const LinkFault linkFault = static_cast<LinkFault>(1 + draw(5));
    const milliseconds length = drawMs(300, 4000);
    switch (draw(m_options.onlyPlanned ? plannedKinds : allKinds)) {
    case 0:
        if (!vm.isBusy) {
            note("SIGTERM " + vm.name);
            spawn(restart(vm, SIGTERM));
        }
        return;
    case 1:
        note("configuration");
        return changeConfiguration();
    case 2:
        note("target leaves");
        return spawn(replaceTarget(target, true, false));
    case 3:
    case 4:
        if (!vm.isBusy) {
            note("SIGKILL " + vm.name);
            spawn(restart(vm, SIGKILL));
        }
        return;
    case 5:
        if (!vm.isBusy) {
            note("SIGSTOP " + vm.name);
            spawn(freeze(vm));
        }
        return;
    case 6:
        note("store link " + std::to_string(static_cast<int>(linkFault)) + " of " + vm.name);
        return spawn(harm(*vm.store, linkFault, length));
    case 7:
        note("target link " + std::to_string(static_cast<int>(linkFault)));
        return spawn(harm(target.link(), linkFault, length));
    case 8:
        note("store fault");
        return spawn(harmStore(static_cast<StoreFault>(1 + draw(4)), length));
    case 9:
        note("history forgotten");
        return m_store.forgetHistory();
    case 10:
        note("target dies, address used again");
        return spawn(replaceTarget(target, false, draw(2) == 0));
    default: {
        const auto mode = static_cast<TargetMode>(1 + draw(7));
        note("target mode " + std::to_string(static_cast<int>(mode)));
        return spawn(harmTarget(target, mode, length));
    }
    }
}

net::awaitable<void> World::injectFaults()
{
    const auto end = Ledger::Clock::now() + m_options.length;
    while (Ledger::Clock::now() < end) {
        injectOne();
        co_await pause(drawMs(20, static_cast<int>(mostPause.count())));
    }
    while (m_active > 1) { // this one is the last
        co_await pause(milliseconds(50));
    }
}

// Ready when a caller's request is answered; before that nothing is measured.
net::awaitable<void> World::waitForService()
{
    std::vector<Address> directories;
    for (const SoakVm &it : m_vms) {
        directories.push_back(it.addresses);
    }
    Caller probe(m_ledger, {.directories = directories, .host = host, .account = "busy", .key = "key-busy", .seed = probeSeed}, m_isOver);
    const auto giveUpAt = Ledger::Clock::now() + startTime;
    const std::string path = "/read/ready";
    while (co_await probe.askOnce(path) != 200) {
        if (Ledger::Clock::now() > giveUpAt) {
            fail("START: no request was served within 10 s");
            co_return;
        }
        co_await pause(milliseconds(50));
    }
}

net::awaitable<void> World::checkQuietEnd()
{
    m_configuration.version += 1;
    m_configuration.hasOldKey = false;
    m_configuration.hasExtraRoute = false;
    m_store.put("config", "main", m_configuration.text());
    co_await pause(settleTime);
    const auto since = Ledger::Clock::now();
    co_await pause(quietTime);
    const double share = m_ledger.servedShareSince(since);
    if (share < leastServed) {
        fail("RECOVER: " + std::to_string(share) + " of the requests served after the faults");
    }
    const std::string readPath = "/read/item";
    const std::string extraPath = "/extra/item";
    std::uint64_t seed = probeSeed;
    for (const SoakVm &vm : m_vms) {
        Caller withdrawn(
            m_ledger, {.directories = {vm.addresses}, .host = host, .account = "old", .key = "key-old", .seed = ++seed}, m_isOver);
        if (const unsigned status = co_await withdrawn.askOnce(readPath); status != 401) {
            fail("CONFIG: a withdrawn key got " + std::to_string(status));
        }
        Caller lost(
            m_ledger, {.directories = {vm.addresses}, .host = host, .account = "busy", .key = "key-busy", .seed = ++seed}, m_isOver);
        if (const unsigned status = co_await lost.askOnce(extraPath); status != 404) {
            fail("CONFIG: a dropped route got " + std::to_string(status));
        }
    }
}

net::awaitable<void> World::direct()
{
    co_await waitForService();
    m_startedAt = Ledger::Clock::now();
    startCallers();
    co_await injectFaults();
    co_await checkQuietEnd();
    m_isOver = true;
    for (const std::unique_ptr<Caller> &it : m_callers) {
        while (!it->isDone()) {
            co_await pause(milliseconds(50));
        }
    }
    m_context.stop();
}

SoakOutcome World::play()
{
    for (int i = 0; i < 4; ++i) {
        m_targets.push_back(std::make_unique<SoakTarget>(m_context, m_store, m_ledger, "s-read"));
        m_targets.push_back(std::make_unique<SoakTarget>(m_context, m_store, m_ledger, "s-write"));
    }
    m_store.put("config", "main", m_configuration.text());
    makeVms();
    spawn(direct());
    m_context.run();
    for (const std::string &it : m_ledger.violations({{"hot", hotBound}, {"busy", busyBound}})) {
        fail(it);
    }
    if (m_options.onlyPlanned) {
        for (const std::string &it : m_ledger.unansweredRunsSince(m_startedAt)) {
            fail("LOST: request " + it + " ran and got no answer");
        }
    }
    m_outcome.summary = m_ledger.summary();
    return m_outcome;
}

} // namespace

SoakOutcome playSoak(const SoakOptions &options)
{
    World world(options);
    return world.play();
}

} // namespace Pollenspoke
