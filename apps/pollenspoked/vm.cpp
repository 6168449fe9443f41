#include "vm.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace Pollenspoke {

namespace {

constexpr unsigned operatorThreads = 256; // each pending watch blocks one thread
constexpr auto vmListPollInterval = std::chrono::seconds(2);
constexpr std::size_t followerSeedBytes = 8;

std::string_view phaseName(VmPhase phase)
{
    switch (phase) {
    case VmPhase::Starting:
        return "starting";
    case VmPhase::Ready:
        return "ready";
    case VmPhase::Leaving:
        return "leaving";
    }
    return "unnamed";
}

Result<void> loadResources(const std::string &fileName, MemoryStore &store)
{
    std::ifstream file(fileName);
    if (!file) {
        return tl::unexpected(Error{.code = ErrorCode::Io, .path = fileName, .detail = "can't open the file"});
    }
    std::stringstream text;
    text << file.rdbuf();
    const Result<std::vector<Object>> objects = parseYaml(text.str(), fileName);
    if (!objects) {
        return tl::unexpected(objects.error());
    }
    if (Result<void> referencesChecked = checkReferences(*objects); !referencesChecked) {
        return referencesChecked;
    }
    for (const Object &it : *objects) {
        if (const Result<Object> stored = store.put(it, MustNotExist{}); !stored) {
            return tl::unexpected(stored.error());
        }
    }
    return {};
}

VmEntry makeOwnEntry(const Settings &settings)
{
    return VmEntry{.name = settings.proxy.vm, .address = settings.proxy.callers, .failureDomain = settings.proxy.failureDomain};
}

std::int64_t storeAgeMs(const FollowerState &state, TimePoint now)
{
    return state.lastContactAt ? std::chrono::duration_cast<std::chrono::milliseconds>(now - *state.lastContactAt).count() : -1;
}

} // namespace

Result<PlatformClients> openPlatform(const Settings &settings)
{
    PlatformClients clients;
    if (const auto *http = std::get_if<HttpPlatform>(&settings.platform)) {
        const HttpStoreOptions options{.address = http->address, .isSystem = true};
        clients.store = std::make_unique<HttpObjectStore>(options);
        clients.directory = std::make_unique<HttpVmDirectory>(options);
        return clients;
    }
    if (std::holds_alternative<SharedPlatform>(settings.platform)) {
        return clients; // FleetVm connects to it
    }
    auto store = std::make_unique<MemoryStore>();
    if (const Result<void> loaded = loadResources(std::get<EmbeddedPlatform>(settings.platform).resources, *store); !loaded) {
        return tl::unexpected(loaded.error());
    }
    clients.embedded = store.get();
    clients.store = std::move(store);
    clients.directory = std::make_unique<MemoryVmDirectory>(std::vector<VmEntry>{makeOwnEntry(settings)});
    return clients;
}

Vm::Vm(const Settings &settings, PlatformClients platform)
    : m_settings(settings)
    , m_platform(std::move(platform))
    , m_checkedStore(*m_platform.store)
    // With a remote platform, only operators use this API, so all writes are checked. An embedded store is also the platform of
    // other Vms, whose system writes bypass the checks.
    , m_objectService(m_checkedStore,
                      m_platform.embedded == nullptr ? static_cast<ObjectStore &>(m_checkedStore) : *m_platform.store,
                      *m_platform.directory)
    , m_proxy(settings.proxy, {m_clock, m_metrics, m_admission})
    , m_follower(*m_platform.store,
                 m_clock,
                 FollowerOptions{.seed = stableHash(randomHex(followerSeedBytes))},
                 [this](const FollowerNotice &notice) { handleNotice(notice); })
{
}

Vm::~Vm()
{
    m_follower.requestStop();
    if (m_platform.embedded != nullptr) {
        m_platform.embedded->endWatches();
    }
}

void Vm::handleNotice(const FollowerNotice &notice)
{
    if (const auto *ready = std::get_if<SnapshotReady>(&notice)) {
        m_proxy.applySnapshot(ready->snapshot);
        const std::lock_guard lock(m_mutex);
        m_hasSnapshot = true;
        m_snapshotArrived.notify_all();
    } else if (const auto *skipped = std::get_if<ObjectSkipped>(&notice)) {
        m_metrics.count(Counter::ObjectsSkipped);
        const std::string object = std::string(kindName(skipped->problem.kind)) + "/" + skipped->problem.name;
        logEvent(
            Event::ObjectSkipped,
            {{"object", object}, {"error", describe(skipped->problem.error)}, {"previous", skipped->isPreviousInForce ? "kept" : "none"}},
            LogLevel::Warning);
    } else if (const auto *refused = std::get_if<RevisionRefused>(&notice)) {
        m_metrics.count(Counter::SnapshotsRefused);
        logEvent(Event::SnapshotRefused,
                 {{"offered", toString(refused->offered)}, {"in_force", toString(refused->inForce)}, {"object", refused->object}},
                 LogLevel::Error);
    } else if (const auto *restored = std::get_if<StoreRestored>(&notice)) {
        logEvent(Event::StoreEraChanged,
                 {{"from", toString(restored->previous)},
                  {"to", toString(restored->current)},
                  {"kept", std::to_string(restored->kept)},
                  {"taken", std::to_string(restored->taken)}},
                 LogLevel::Warning);
    } else if (const auto *storeLost = std::get_if<StoreUnreachable>(&notice)) {
        m_metrics.count(Counter::StoreFailures);
        logEvent(Event::StoreUnavailable, {{"error", describe(storeLost->error)}}, LogLevel::Warning);
    } else {
        logEvent(Event::StoreRecovered, {});
    }
}

HttpReply Vm::answerMetrics()
{
    const FollowerState state = m_follower.state();
    m_metrics.setGauge(Gauge::FollowedRevision, static_cast<std::int64_t>(state.position.revision()));
    m_metrics.setGauge(Gauge::StoreEra, static_cast<std::int64_t>(state.position.era()));
    m_metrics.setGauge(Gauge::StoreReachable, state.isStoreReachable ? 1 : 0);
    m_metrics.setGauge(Gauge::StoreAgeMs, storeAgeMs(state, m_clock.now()));
    return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.expose()};
}

HttpReply Vm::answerStatus()
{
    const FollowerState state = m_follower.state();
    JsonValue status = JsonValue::makeObject();
    status.add("vm", m_settings.proxy.vm.value);
    status.add("failure_domain", m_settings.proxy.failureDomain.value);
    status.add("state", std::string(phaseName(m_phase)));
    status.addNumber("revision", static_cast<double>(state.position.revision()));
    status.addNumber("era", static_cast<double>(state.position.era()));
    JsonValue &store = status.add("store", JsonValue::makeObject());
    store.add("kind", m_platform.embedded == nullptr ? "http" : "embedded");
    store.addFlag("reachable", state.isStoreReachable);
    store.addNumber("heard_ms_ago", static_cast<double>(storeAgeMs(state, m_clock.now())));
    if (state.refused) {
        JsonValue &refused = status.add("refused", JsonValue::makeObject());
        refused.addNumber("offered", static_cast<double>(state.refused->offered.revision()));
        refused.add("object", state.refused->object);
    }
    if (!state.kept.empty()) {
        JsonValue &kept = status.add("kept", JsonValue::makeList());
        for (const std::string &it : state.kept) {
            kept.append(JsonValue{.type = JsonValue::Type::Text, .text = it});
        }
    }
    JsonValue &skipped = status.add("skipped", JsonValue::makeList());
    for (const ObjectSkipped &it : state.skipped) {
        JsonValue &row = skipped.append(JsonValue::makeObject());
        row.add("kind", std::string(kindName(it.problem.kind)));
        row.add("name", it.problem.name);
        row.add("error", describe(it.problem.error));
        row.addFlag("previous_kept", it.isPreviousInForce);
    }
    return {200, {{"Content-Type", "application/json"}}, formatJsonText(status)};
}

HttpReply Vm::answerOperator(const HttpRequest &request)
{
    if (ObjectService::handlesPath(request)) {
        return m_objectService.handle(request);
    }
    if (request.path == "/metrics") {
        return answerMetrics();
    }
    if (request.path == "/status") {
        return answerStatus();
    }
    if (request.path == "/healthz") {
        const bool isReady = m_phase == VmPhase::Ready;
        return {isReady ? 200U : 503U, {}, isReady ? "ok\n" : std::string(phaseName(m_phase)) + "\n"};
    }
    return {404, {}, "no such page\n"};
}

Result<void> Vm::startOperatorApi()
{
    try {
        m_operatorServer.emplace(
            HttpEndpoint{m_settings.operators.ip, m_settings.operators.port},
            [this](const HttpRequest &request) { return answerOperator(request); },
            operatorThreads);
    } catch (const std::runtime_error &error) {
        return tl::unexpected(Error{.code = ErrorCode::Io, .path = toString(m_settings.operators), .detail = error.what()});
    }
    m_follower.start();
    return {};
}

bool Vm::waitForSnapshot(Duration timeout)
{
    std::unique_lock lock(m_mutex);
    return m_snapshotArrived.wait_for(lock, timeout, [this] { return m_hasSnapshot; });
}

// Polls the platform's Vm list and applies it to the proxy once it contains this Vm. Until then the proxy lists only itself.
void Vm::pollVmList(const std::stop_token &stopping)
{
    std::mutex mutex;
    std::condition_variable_any wake;
    VmList applied;
    while (!stopping.stop_requested()) {
        const Result<VmList> list = m_platform.directory->vms();
        const bool isListed
            = list && std::any_of(list->vms.begin(), list->vms.end(), [this](const VmEntry &it) { return it.name == m_settings.proxy.vm; });
        if (isListed && *list != applied) {
            applied = *list;
            m_proxy.applyVms(applied.vms);
        }
        std::unique_lock lock(mutex);
        wake.wait_for(lock, stopping, vmListPollInterval, [] { return false; });
    }
}

Result<void> Vm::startProxy()
{
    if (Result<void> started = m_proxy.start(); !started) {
        return started;
    }
    m_phase = VmPhase::Ready;
    const Address callers{.ip = m_settings.proxy.callers.ip, .port = m_proxy.port()};
    if (m_platform.embedded == nullptr) {
        m_vmListThread = std::jthread([this](const std::stop_token &stopping) { pollVmList(stopping); });
    }
    logEvent(Event::VmReady, {{"vm", m_settings.proxy.vm.value}, {"callers", toString(callers)}});
    return {};
}

bool Vm::stop()
{
    m_phase = VmPhase::Leaving;
    logEvent(Event::VmLeaving, {{"vm", m_settings.proxy.vm.value}});
    const Duration leaveTime = std::chrono::milliseconds(m_settings.proxy.addressTtlMs);
    m_proxy.beginLeave({.acceptTime = leaveTime, .totalTime = leaveTime + std::chrono::milliseconds(m_settings.drainTimeoutMs)});
    std::this_thread::sleep_for(leaveTime);
    const bool isDrained = m_proxy.drainAndStop();
    logEvent(Event::VmStopped, {{"vm", m_settings.proxy.vm.value}, {"cut", isDrained ? "none" : "some"}});
    return isDrained;
}

} // namespace Pollenspoke
