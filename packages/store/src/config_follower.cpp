// Thread that runs a FollowerCore against a store.
#include <pollenspoke/store.h>

namespace Pollenspoke {

ConfigFollower::ConfigFollower(ObjectStore &store, const Clock &clock, FollowerOptions options, Handler onNotice)
    : m_store(store)
    , m_clock(clock)
    , m_options(options)
    , m_onNotice(std::move(onNotice))
    , m_core(options)
{
}

ConfigFollower::~ConfigFollower()
{
    requestStop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void ConfigFollower::start()
{
    POLLENSPOKE_ASSERT(!m_thread.joinable(), "call start() once");
    m_thread = std::thread([this] { run(); });
}

void ConfigFollower::requestStop()
{
    const std::lock_guard lock(m_mutex);
    m_isStopping = true;
    m_stopping.notify_all();
}

FollowerState ConfigFollower::state() const
{
    const std::lock_guard lock(m_mutex);
    return m_core.state();
}

void ConfigFollower::offerPeerList(const ObjectList &list, TimePoint contactAt)
{
    const std::lock_guard lock(m_mutex);
    report(m_core.onPeerList(list, contactAt));
}

void ConfigFollower::report(const std::vector<FollowerNotice> &notices) const
{
    for (const FollowerNotice &it : notices) {
        m_onNotice(it);
    }
}

void ConfigFollower::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        const TimePoint requestedAt = m_clock.now();
        const FollowerStep step = m_core.nextStep(requestedAt);
        if (const auto *pause = std::get_if<PauseUntil>(&step)) {
            m_stopping.wait_for(lock, pause->at - requestedAt, [this] { return m_isStopping; });
            continue;
        }
        lock.unlock();
        if (const auto *watch = std::get_if<WatchFrom>(&step)) {
            const Result<Changes> changes = m_store.watch(watch->since, declaredKinds(), m_options.watchWait);
            lock.lock();
            report(m_core.onChanges(changes, requestedAt, m_clock.now()));
        } else {
            const Result<ObjectList> list = m_store.list(declaredKinds());
            lock.lock();
            report(m_core.onList(list, requestedAt, m_clock.now()));
        }
    }
}

} // namespace Pollenspoke
