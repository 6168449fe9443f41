#include <algorithm>
#include <pollenspoke/store.h>
#include <thread>

namespace Pollenspoke {

namespace {

std::string formatObjectId(Kind kind, const std::string &name)
{
    return std::string(kindName(kind)) + "/" + name;
}

template<typename Value>
Result<Value> fail(ErrorCode code, Kind kind, const std::string &name, const std::string &detail)
{
    return tl::unexpected(Error{.code = code, .path = formatObjectId(kind, name), .detail = detail});
}

bool isKindSelected(Kind kind, const std::vector<Kind> &kinds)
{
    return kinds.empty() || std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

Result<Object> versionConflict(Kind kind, const std::string &name, std::uint64_t currentVersion)
{
    const std::string detail = currentVersion == 0 ? "no such object" : "present version " + std::to_string(currentVersion);
    return tl::unexpected(
        Error{.code = ErrorCode::VersionConflict, .path = formatObjectId(kind, name), .detail = detail, .version = currentVersion});
}

Error tooOldError()
{
    return Error{.code = ErrorCode::TooOld, .detail = "the changes since that revision are no longer available; list again"};
}

Error lostResponseError(Kind kind, const std::string &name)
{
    return Error{.code = ErrorCode::OutcomeUnknown,
                 .path = formatObjectId(kind, name),
                 .detail = "the response was lost; read the object back before retrying"};
}

} // namespace

MemoryStore::MemoryStore(std::size_t maxHistory)
    : m_maxHistory(maxHistory)
{
}

void MemoryStore::applyExtraLatency() const
{
    Duration extraLatency{};
    {
        const std::lock_guard lock(m_mutex);
        extraLatency = m_faults.extraLatency;
    }
    if (extraLatency > Duration::zero()) {
        std::this_thread::sleep_for(extraLatency);
    }
}

Result<void> MemoryStore::beginCall()
{
    ++m_calls;
    if (m_faults.isDown) {
        return tl::unexpected(Error{.code = ErrorCode::Unavailable, .detail = "the object store is unavailable"});
    }
    return {};
}

bool MemoryStore::loseResponse()
{
    if (m_faults.lostResponses == 0) {
        return false;
    }
    --m_faults.lostResponses;
    return true;
}

void MemoryStore::record(ChangeType type, const Object &object)
{
    if (m_faults.droppedChanges > 0) {
        --m_faults.droppedChanges;
        m_changed.notify_all();
        return;
    }
    m_history.push_back(Change{.type = type, .object = object});
    if (m_history.size() > m_maxHistory) {
        m_compactedRevision = m_history.front().object.version;
        m_history.pop_front();
    }
    m_changed.notify_all();
}

// A list doesn't show which object of a lost era has been written again and deleted since, so these deletions are kept.
void MemoryStore::recordRemoval(const ObjectId &id)
{
    if (m_eras == StoreEras::first()) {
        return;
    }
    m_removed[id] = m_revision;
    if (m_removed.size() > m_maxHistory) {
        m_removed.erase(
            std::min_element(m_removed.begin(), m_removed.end(), [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
}

Result<StoredObject> MemoryStore::get(Kind kind, const std::string &name)
{
    applyExtraLatency();
    const std::lock_guard lock(m_mutex);
    if (const auto begun = beginCall(); !begun) {
        return tl::unexpected(begun.error());
    }
    const auto it = m_objects.find({kind, name});
    if (it == m_objects.end()) {
        return fail<StoredObject>(ErrorCode::NotFound, kind, name, "no such object");
    }
    return StoredObject{.object = it->second, .era = m_eras.era(), .eraStart = m_eras.start()};
}

Result<ObjectList> MemoryStore::list(const std::vector<Kind> &kinds)
{
    applyExtraLatency();
    const std::lock_guard lock(m_mutex);
    if (const auto begun = beginCall(); !begun) {
        return tl::unexpected(begun.error());
    }
    ObjectList listed{.position = {m_eras.era(), m_revision}, .eras = m_eras};
    for (const auto &[id, object] : m_objects) {
        if (isKindSelected(id.first, kinds)) {
            listed.items.push_back(object);
        }
    }
    for (const auto &[id, version] : m_removed) {
        if (isKindSelected(id.first, kinds)) {
            listed.removed.push_back(RemovedObject{.kind = id.first, .name = id.second, .version = version});
        }
    }
    return listed;
}

Result<Object> MemoryStore::put(const Object &object, const WriteCondition &condition)
{
    applyExtraLatency();
    const std::lock_guard lock(m_mutex);
    if (const auto begun = beginCall(); !begun) {
        return tl::unexpected(begun.error());
    }
    const auto it = m_objects.find({object.kind(), object.name});
    const std::uint64_t currentVersion = it == m_objects.end() ? 0 : it->second.version;
    const auto *required = std::get_if<MustHaveVersion>(&condition);
    const std::uint64_t expected = required == nullptr ? 0 : required->version;
    const bool isOtherEra = required != nullptr && required->era != 0 && required->era != m_eras.era();
    if (required != nullptr && currentVersion == 0) {
        return fail<Object>(ErrorCode::NotFound, object.kind(), object.name, "no such object");
    }
    if (currentVersion != expected || isOtherEra) {
        return versionConflict(object.kind(), object.name, currentVersion);
    }
    Object stored = object;
    stored.version = ++m_revision;
    stored.status = it == m_objects.end() ? std::string() : it->second.status;
    m_objects[{object.kind(), object.name}] = stored;
    m_removed.erase({object.kind(), object.name});
    record(ChangeType::Put, stored);
    if (loseResponse()) {
        return tl::unexpected(lostResponseError(object.kind(), object.name));
    }
    return stored;
}

Result<Object> MemoryStore::putStatus(Kind kind, const std::string &name, const std::string &statusJson)
{
    applyExtraLatency();
    const std::lock_guard lock(m_mutex);
    if (const auto begun = beginCall(); !begun) {
        return tl::unexpected(begun.error());
    }
    const auto it = m_objects.find({kind, name});
    if (it == m_objects.end()) {
        return fail<Object>(ErrorCode::NotFound, kind, name, "no such object");
    }
    it->second.status = statusJson;
    it->second.version = ++m_revision;
    record(ChangeType::Put, it->second);
    if (loseResponse()) {
        return tl::unexpected(lostResponseError(kind, name));
    }
    return it->second;
}

Result<void> MemoryStore::remove(Kind kind, const std::string &name, const MustHaveVersion &condition)
{
    applyExtraLatency();
    const std::lock_guard lock(m_mutex);
    if (const auto begun = beginCall(); !begun) {
        return tl::unexpected(begun.error());
    }
    const auto it = m_objects.find({kind, name});
    if (it == m_objects.end()) {
        return fail<void>(ErrorCode::NotFound, kind, name, "no such object");
    }
    if (it->second.version != condition.version || (condition.era != 0 && condition.era != m_eras.era())) {
        return tl::unexpected(versionConflict(kind, name, it->second.version).error());
    }
    Object removed = it->second;
    removed.version = ++m_revision;
    m_objects.erase(it);
    recordRemoval({kind, name});
    record(ChangeType::Delete, removed);
    if (loseResponse()) {
        return tl::unexpected(lostResponseError(kind, name));
    }
    return {};
}

Changes MemoryStore::changesSince(std::uint64_t since, const std::vector<Kind> &kinds) const
{
    Changes changes{.position = {m_eras.era(), m_revision}};
    auto it = std::upper_bound(m_history.begin(), m_history.end(), since, [](std::uint64_t revision, const Change &change) {
        return revision < change.object.version;
    });
    for (; it != m_history.end(); ++it) {
        if (isKindSelected(it->object.kind(), kinds)) {
            changes.events.push_back(*it);
        }
    }
    if (m_faults.isDuplicating) {
        const std::vector<Change> once = changes.events;
        changes.events.insert(changes.events.end(), once.rbegin(), once.rend());
    }
    return changes;
}

Result<Changes> MemoryStore::watch(const StorePosition &since, const std::vector<Kind> &kinds, Duration wait)
{
    applyExtraLatency();
    std::unique_lock lock(m_mutex);
    if (const auto begun = beginCall(); !begun) {
        return tl::unexpected(begun.error());
    }
    const std::uint64_t era = m_eras.era();
    const bool isOtherEra = since.era() != 0 && since.era() != era;
    if (isOtherEra || since.revision() < m_compactedRevision || since.revision() > m_revision) {
        return tl::unexpected(tooOldError());
    }
    m_changed.wait_for(lock, wait, [&] {
        return m_watchesEnded || m_faults.isDown || m_eras.era() != era || !changesSince(since.revision(), kinds).events.empty();
    });
    if (m_faults.isDown) {
        return tl::unexpected(Error{.code = ErrorCode::Unavailable, .detail = "the object store is unavailable"});
    }
    if (m_eras.era() != era) {
        return tl::unexpected(tooOldError());
    }
    return changesSince(since.revision(), kinds);
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
    return StoreBackup{.objects = m_objects, .revision = m_revision, .eras = m_eras, .removed = m_removed};
}

void MemoryStore::restore(const StoreBackup &backup)
{
    const std::lock_guard lock(m_mutex);
    m_eras = backup.eras.restoredAs(m_eras.era() + 1, backup.revision);
    m_objects = backup.objects;
    m_removed = backup.removed;
    m_revision = backup.revision;
    m_compactedRevision = backup.revision;
    m_history.clear();
    m_changed.notify_all();
}

void MemoryStore::endWatches()
{
    const std::lock_guard lock(m_mutex);
    m_watchesEnded = true;
    m_changed.notify_all();
}

} // namespace Pollenspoke
