#include <algorithm>
#include <pollenspoke/store.h>
#include <thread>

namespace Pollenspoke {

namespace {

std::string placeText(Kind kind, const std::string &name)
{
    return std::string(kindName(kind)) + "/" + name;
}

template<typename Value>
Result<Value> refuse(ErrorCode code, Kind kind, const std::string &name, const std::string &detail)
{
    return tl::unexpected(Error{.code = code, .path = placeText(kind, name), .detail = detail});
}

bool isWanted(Kind kind, const std::vector<Kind> &kinds)
{
    return kinds.empty() || std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

Result<Object> refuseConflict(Kind kind, const std::string &name, std::uint64_t present)
{
    const std::string detail = present == 0 ? "no such object" : "present version " + std::to_string(present);
    return tl::unexpected(Error{.code = ErrorCode::VersionConflict, .path = placeText(kind, name), .detail = detail, .version = present});
}

Error lostAnswer(Kind kind, const std::string &name)
{
    return Error{
        .code = ErrorCode::OutcomeUnknown, .path = placeText(kind, name), .detail = "the answer was lost; read back before writing again"};
}

} // namespace

MemoryStore::MemoryStore(std::size_t keptChanges)
    : m_keptChanges(keptChanges)
{
}

void MemoryStore::playSlowness() const
{
    Duration slowness{};
    {
        const std::lock_guard lock(m_mutex);
        slowness = m_faults.slowness;
    }
    if (slowness > Duration::zero()) {
        std::this_thread::sleep_for(slowness);
    }
}

Result<void> MemoryStore::enterCall()
{
    ++m_calls;
    if (m_faults.isDown) {
        return tl::unexpected(Error{.code = ErrorCode::Unavailable, .detail = "the object store is down"});
    }
    return {};
}

bool MemoryStore::loseAnswer()
{
    if (m_faults.lostAnswers == 0) {
        return false;
    }
    --m_faults.lostAnswers;
    return true;
}

void MemoryStore::record(ChangeType type, const Object &object)
{
    if (m_faults.missingChanges > 0) {
        --m_faults.missingChanges;
        m_changed.notify_all();
        return;
    }
    m_history.push_back(Change{.type = type, .object = object});
    if (m_history.size() > m_keptChanges) {
        m_oldestKept = m_history.front().object.version;
        m_history.pop_front();
    }
    m_changed.notify_all();
}

Result<Object> MemoryStore::get(Kind kind, const std::string &name)
{
    playSlowness();
    const std::lock_guard lock(m_mutex);
    if (const auto entered = enterCall(); !entered) {
        return tl::unexpected(entered.error());
    }
    const auto it = m_objects.find({kind, name});
    if (it == m_objects.end()) {
        return refuse<Object>(ErrorCode::NotFound, kind, name, "no such object");
    }
    return it->second;
}

Result<ObjectList> MemoryStore::list(const std::vector<Kind> &kinds)
{
    playSlowness();
    const std::lock_guard lock(m_mutex);
    if (const auto entered = enterCall(); !entered) {
        return tl::unexpected(entered.error());
    }
    ObjectList listed{.revision = m_revision};
    for (const auto &[place, object] : m_objects) {
        if (isWanted(place.first, kinds)) {
            listed.items.push_back(object);
        }
    }
    return listed;
}

Result<Object> MemoryStore::put(const Object &object, const WriteCondition &condition)
{
    playSlowness();
    const std::lock_guard lock(m_mutex);
    if (const auto entered = enterCall(); !entered) {
        return tl::unexpected(entered.error());
    }
    const auto it = m_objects.find({object.kind(), object.name});
    const std::uint64_t present = it == m_objects.end() ? 0 : it->second.version;
    const auto *wanted = std::get_if<MustHaveVersion>(&condition);
    const std::uint64_t expected = wanted == nullptr ? 0 : wanted->version;
    if (wanted != nullptr && present == 0) {
        return refuse<Object>(ErrorCode::NotFound, object.kind(), object.name, "no such object");
    }
    if (present != expected) {
        return refuseConflict(object.kind(), object.name, present);
    }
    Object stored = object;
    stored.version = ++m_revision;
    stored.status = it == m_objects.end() ? std::string() : it->second.status;
    m_objects[{object.kind(), object.name}] = stored;
    record(ChangeType::Put, stored);
    if (loseAnswer()) {
        return tl::unexpected(lostAnswer(object.kind(), object.name));
    }
    return stored;
}

Result<Object> MemoryStore::putStatus(Kind kind, const std::string &name, const std::string &statusJson)
{
    playSlowness();
    const std::lock_guard lock(m_mutex);
    if (const auto entered = enterCall(); !entered) {
        return tl::unexpected(entered.error());
    }
    const auto it = m_objects.find({kind, name});
    if (it == m_objects.end()) {
        return refuse<Object>(ErrorCode::NotFound, kind, name, "no such object");
    }
    it->second.status = statusJson;
    it->second.version = ++m_revision;
    record(ChangeType::Put, it->second);
    if (loseAnswer()) {
        return tl::unexpected(lostAnswer(kind, name));
    }
    return it->second;
}

Result<void> MemoryStore::remove(Kind kind, const std::string &name, std::uint64_t version)
{
    playSlowness();
    const std::lock_guard lock(m_mutex);
    if (const auto entered = enterCall(); !entered) {
        return tl::unexpected(entered.error());
    }
    const auto it = m_objects.find({kind, name});
    if (it == m_objects.end()) {
        return refuse<void>(ErrorCode::NotFound, kind, name, "no such object");
    }
    if (it->second.version != version) {
        return tl::unexpected(refuseConflict(kind, name, it->second.version).error());
    }
    Object removed = it->second;
    removed.version = ++m_revision;
    m_objects.erase(it);
    record(ChangeType::Delete, removed);
    if (loseAnswer()) {
        return tl::unexpected(lostAnswer(kind, name));
    }
    return {};
}

Changes MemoryStore::changesSince(std::uint64_t since, const std::vector<Kind> &kinds) const
{
    Changes changes{.revision = m_revision};
    auto it = std::upper_bound(m_history.begin(), m_history.end(), since, [](std::uint64_t revision, const Change &change) {
        return revision < change.object.version;
    });
    for (; it != m_history.end(); ++it) {
        if (isWanted(it->object.kind(), kinds)) {
            changes.events.push_back(*it);
        }
    }
    if (m_faults.isRepeating) {
        const std::vector<Change> once = changes.events;
        changes.events.insert(changes.events.end(), once.rbegin(), once.rend());
    }
    return changes;
}

Result<Changes> MemoryStore::watch(std::uint64_t since, const std::vector<Kind> &kinds, Duration wait)
{
    playSlowness();
    std::unique_lock lock(m_mutex);
    if (const auto entered = enterCall(); !entered) {
        return tl::unexpected(entered.error());
    }
    if (since < m_oldestKept || since > m_revision) {
        return tl::unexpected(Error{.code = ErrorCode::TooOld, .detail = "that revision isn't kept; list again"});
    }
    m_changed.wait_for(lock, wait, [&] { return m_isEnding || m_faults.isDown || !changesSince(since, kinds).events.empty(); });
    if (m_faults.isDown) {
        return tl::unexpected(Error{.code = ErrorCode::Unavailable, .detail = "the object store is down"});
    }
    return changesSince(since, kinds);
}

void MemoryStore::setFaults(const StoreFaults &faults)
{
    const std::lock_guard lock(m_mutex);
    m_faults = faults;
    m_changed.notify_all();
}

std::uint64_t MemoryStore::calls() const
{
    const std::lock_guard lock(m_mutex);
    return m_calls;
}

StoreBackup MemoryStore::backup() const
{
    const std::lock_guard lock(m_mutex);
    return StoreBackup{.objects = m_objects, .revision = m_revision};
}

void MemoryStore::restore(const StoreBackup &backup)
{
    const std::lock_guard lock(m_mutex);
    m_objects = backup.objects;
    m_revision = backup.revision;
    m_oldestKept = backup.revision;
    m_history.clear();
    m_changed.notify_all();
}

void MemoryStore::endWatches()
{
    const std::lock_guard lock(m_mutex);
    m_isEnding = true;
    m_changed.notify_all();
}

} // namespace Pollenspoke
