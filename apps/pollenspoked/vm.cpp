#include "vm.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace Pollenspoke {

namespace {

constexpr unsigned operatorThreads = 256; // each waiting watch holds one
constexpr auto vmListPeriod = std::chrono::seconds(2);
constexpr std::size_t seedBytes = 8;

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
        return tl::unexpected(Error{.code = ErrorCode::Io, .path = fileName, .detail = "can't be read"});
    }
    std::stringstream text;
    text << file.rdbuf();
    const Result<std::vector<Object>> objects = parseYaml(text.str(), fileName);
    if (!objects) {
        return tl::unexpected(objects.error());
    }
    if (Result<void> checked = checkReferences(*objects); !checked) {
        return checked;
    }
    for (const Object &it : *objects) {
        if (const Result<Object> stored = store.put(it, MustNotExist{}); !stored) {
            return tl::unexpected(stored.error());
        }
    }
    return {};
}

VmEntry ownEntry(const Settings &settings)
{
    return VmEntry{.name = settings.proxy.vm, .address = settings.proxy.callers, .failureDomain = settings.proxy.failureDomain};
}

std::int64_t ageMs(const FollowerState &state, TimePoint now)
{
    return state.lastContactAt ? std::chrono::duration_cast<std::chrono::milliseconds>(now - *state.lastContactAt).count() : -1;
}

} // namespace

Result<PlatformParts> openPlatform(const Settings &settings)
{
    PlatformParts parts;
    if (const auto *http = std::get_if<HttpPlatform>(&settings.platform)) {
        const HttpStoreOptions options{.address = http->address, .isSystem = true};
        parts.store = std::make_unique<HttpObjectStore>(options);
        parts.directory = std::make_unique<HttpVmDirectory>(options);
        return parts;
    }
    if (std::holds_alternative<SharedPlatform>(settings.platform)) {
        return parts; // a FleetVm opens it
    }
    auto store = std::make_unique<MemoryStore>();
    if (const Result<void> loaded = loadResources(std::get<EmbeddedPlatform>(settings.platform).resources, *store); !loaded) {
        return tl::unexpected(loaded.error());
    }
    parts.embedded = store.get();
    parts.store = std::move(store);
    parts.directory = std::make_unique<MemoryVmDirectory>(std::vector<VmEntry>{ownEntry(settings)});
    return parts;
}

Vm::Vm(const Settings &settings, PlatformParts platform)
    : m_settings(settings)
    , m_platform(std::move(platform))
    , m_checked(*m_platform.store)
    // Towards a platform of its own, this face is for operators only; the embedded store is also the platform of others.
    , m_service(
          m_checked, m_platform.embedded == nullptr ? static_cast<ObjectStore &>(m_checked) : *m_platform.store, *m_platform.directory)
    , m_proxy(settings.proxy, {m_clock, m_metrics, m_admission})
    , m_follower(*m_platform.store,
                 m_clock,
                 FollowerOptions{.seed = stableHash(randomHex(seedBytes))},
                 [this](const FollowerNotice &notice) { take(notice); })
{
}

Vm::~Vm()
{
    m_follower.requestStop();
    if (m_platform.embedded != nullptr) {
        m_platform.embedded->endWatches();
    }
}

void Vm::take(const FollowerNotice &notice)
{
    if (const auto *ready = std::get_if<SnapshotReady>(&notice)) {
        m_proxy.applySnapshot(ready->snapshot);
        const std::lock_guard lock(m_mutex);
        m_hasSnapshot = true;
        m_changed.notify_all();
    } else if (const auto *skipped = std::get_if<ObjectSkipped>(&notice)) {
        m_metrics.count(Counter::ObjectsSkipped);
        const std::string object = std::string(kindName(skipped->problem.kind)) + "/" + skipped->problem.name;
        logEvent(
            Event::ObjectSkipped,
            {{"object", object}, {"error", describe(skipped->problem.error)}, {"previous", skipped->isPreviousInForce ? "kept" : "none"}},
            LogLevel::Warning);
    } else if (const auto *refused = std::get_if<RevisionRefused>(&notice)) {
        m_metrics.count(Counter::SnapshotsRefused);
        logEvent(
            Event::SnapshotRefused,
            {{"offered", std::to_string(refused->offered)}, {"in_force", std::to_string(refused->inForce)}, {"object", refused->object}},
            LogLevel::Error);
    } else if (const auto *lost = std::get_if<StoreUnreachable>(&notice)) {
        m_metrics.count(Counter::StoreFailures);
        logEvent(Event::StoreUnavailable, {{"error", describe(lost->error)}}, LogLevel::Warning);
    } else {
        logEvent(Event::StoreRecovered, {});
    }
}

HttpReply Vm::answerMetrics()
{
    const FollowerState state = m_follower.state();
    m_metrics.setGauge(Gauge::FollowedRevision, static_cast<std::int64_t>(state.revision));
    m_metrics.setGauge(Gauge::StoreReachable, state.isStoreReachable ? 1 : 0);
    m_metrics.setGauge(Gauge::StoreAgeMs, ageMs(state, m_clock.now()));
    return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.expose()};
}

HttpReply Vm::answerStatus()
{
    const FollowerState state = m_follower.state();
    JsonValue status = JsonValue::makeObject();
    status.add("vm", m_settings.proxy.vm.value);
    status.add("failure_domain", m_settings.proxy.failureDomain.value);
    status.add("state", std::string(phaseName(m_phase)));
    status.addNumber("revision", static_cast<double>(state.revision));
    JsonValue &store = status.add("store", JsonValue::makeObject());
    store.add("kind", m_platform.embedded == nullptr ? "http" : "embedded");
    store.addFlag("reachable", state.isStoreReachable);
    store.addNumber("heard_ms_ago", static_cast<double>(ageMs(state, m_clock.now())));
    if (state.refused) {
        JsonValue &refused = status.add("refused", JsonValue::makeObject());
        refused.addNumber("offered", static_cast<double>(state.refused->offered));
        refused.add("object", state.refused->object);
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
        return m_service.handle(request);
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

Result<void> Vm::startOperators()
{
    try {
        m_operators.emplace(
            HttpEndpoint{m_settings.operators.ip, m_settings.operators.port},
            [this](const HttpRequest &request) { return answerOperator(request); },
            operatorThreads);
    } catch (const std::runtime_error &error) {
        return tl::unexpected(Error{.code = ErrorCode::Io, .path = toString(m_settings.operators), .detail = error.what()});
    }
    m_follower.start();
    return {};
}

bool Vm::waitForSnapshot(Duration most)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, most, [this] { return m_hasSnapshot; });
}

// Takes the platform's list once it names this Vm; before that, the proxy's own entry stands.
void Vm::followVms(const std::stop_token &stopping)
{
    std::mutex mutex;
    std::condition_variable_any wake;
    VmList present;
    while (!stopping.stop_requested()) {
        const Result<VmList> list = m_platform.directory->vms();
        const bool isNamed
            = list && std::any_of(list->vms.begin(), list->vms.end(), [this](const VmEntry &it) { return it.name == m_settings.proxy.vm; });
        if (isNamed && *list != present) {
            present = *list;
            m_proxy.applyVms(present.vms);
        }
        std::unique_lock lock(mutex);
        wake.wait_for(lock, stopping, vmListPeriod, [] { return false; });
    }
}

Result<void> Vm::startCallers()
{
    if (Result<void> started = m_proxy.start(); !started) {
        return started;
    }
    m_phase = VmPhase::Ready;
    const Address callers{.ip = m_settings.proxy.callers.ip, .port = m_proxy.port()};
    if (m_platform.embedded == nullptr) {
        m_vmThread = std::jthread([this](const std::stop_token &stopping) { followVms(stopping); });
    }
    logEvent(Event::VmReady, {{"vm", m_settings.proxy.vm.value}, {"callers", toString(callers)}});
    return {};
}

bool Vm::stop()
{
    m_phase = VmPhase::Leaving;
    logEvent(Event::VmLeaving, {{"vm", m_settings.proxy.vm.value}});
    m_proxy.beginLeave();
    std::this_thread::sleep_for(std::chrono::milliseconds(m_settings.proxy.addressTtlMs));
    const bool isDrained = m_proxy.drainAndStop(m_settings.drainTimeoutMs);
    logEvent(Event::VmStopped, {{"vm", m_settings.proxy.vm.value}, {"cut", isDrained ? "none" : "some"}});
    return isDrained;
}

} // namespace Pollenspoke
