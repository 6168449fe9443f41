/// @file
/// One Vm that runs the proxy: platform clients, configuration follower, proxy, and operator API.
#pragma once

#include "settings.h"

#include <condition_variable>

namespace Pollenspoke {

enum class VmPhase { Starting, Ready, Leaving };

/// Connections to the platform.
struct PlatformClients
{
    std::unique_ptr<ObjectStore> store;
    std::unique_ptr<VmDirectory> directory;
    MemoryStore *embedded = nullptr; // the store if it is in this process, otherwise null
};

/// Creates the clients of the platform, or fills the embedded store from its file. Makes no call to the platform yet.
Result<PlatformClients> openPlatform(const Settings &settings);

/// Proxy daemon that follows an embedded store or the platform's object API. A shared platform uses FleetVm instead.
class Vm
{
public:
    Vm(const Settings &settings, PlatformClients platform);
    ~Vm();
    Vm(const Vm &) = delete;
    Vm &operator=(const Vm &) = delete;

    Result<void> startOperatorApi();        // opens the operator API and starts following the configuration
    bool waitForSnapshot(Duration timeout); // true once the first snapshot is applied; false on timeout
    Result<void> startProxy();              // accepts callers; requires a snapshot
    bool stop();                            // graceful shutdown; true if no request was aborted
    bool hasStalledWorker() const { return m_proxy.hasStalledWorker(); }

private:
    HttpReply answerOperator(const HttpRequest &request);
    HttpReply answerStatus();
    HttpReply answerMetrics();
    void handleNotice(const FollowerNotice &notice);
    void pollVmList(const std::stop_token &stopping);

    Settings m_settings;
    PlatformClients m_platform;
    SteadyClock m_clock;
    Metrics m_metrics;
    LocalAdmission m_admission;
    CheckedStore m_checkedStore;
    ObjectService m_objectService;
    Proxy m_proxy;
    std::atomic<VmPhase> m_phase{VmPhase::Starting};
    std::mutex m_mutex; // guards m_hasSnapshot; lock order: the follower's mutex first, then this one
    std::condition_variable m_snapshotArrived;
    bool m_hasSnapshot = false;
    ConfigFollower m_follower;
    std::optional<HttpServer> m_operatorServer;
    std::jthread m_vmListThread;
};

} // namespace Pollenspoke
