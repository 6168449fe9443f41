// State machine that decides which configuration is in force, driven by the responses of the store.
#include <algorithm>
#include <pollenspoke/store.h>

namespace Pollenspoke {

namespace {

constexpr unsigned maxDoublings = 10;
constexpr std::size_t maxTombstones = 10000; // bounds the memory for deletions that a restored store may have lost

std::string formatObjectId(Kind kind, const std::string &name)
{
    return std::string(kindName(kind)) + "/" + name;
}

bool isDeclaredKind(Kind kind)
{
    const std::vector<Kind> &kinds = declaredKinds();
    return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

// `duration` times a random factor from `minFactor` to `maxFactor`.
Duration randomize(Duration duration, double minFactor, double maxFactor, std::mt19937_64 &generator)
{
    const double factor = std::uniform_real_distribution<double>(minFactor, maxFactor)(generator);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(static_cast<double>(duration.count()) * factor));
}

// Latest position at which an object that was written at `writtenAt`, and isn't in the list, can have been deleted. A list names the
// deletions since the first restore, so that any other is from before it.
StorePosition latestDeletion(const ObjectList &list, const StorePosition &writtenAt)
{
    const std::vector<StoreEras::Era> &eras = list.eras.list();
    if (eras.size() > 1 && writtenAt.era() == eras.front().era) {
        return {eras.front().era, eras[1].start};
    }
    return list.position;
}

} // namespace

const std::vector<Kind> &declaredKinds()
{
    static const std::vector<Kind> kinds{Kind::ClientAccount, Kind::Key, Kind::Route, Kind::Service};
    return kinds;
}

FollowerCore::FollowerCore(FollowerOptions options)
    : m_options(options)
    , m_generator(options.seed)
{
}

FollowerStep FollowerCore::nextStep(TimePoint now) const
{
    if (now < m_pauseUntil) {
        return PauseUntil{m_pauseUntil};
    }
    if (m_isListRequired || now >= m_nextListAt) {
        return ListNow{};
    }
    return WatchFrom{m_state.position};
}

void FollowerCore::recordFailure(const Error &error, TimePoint now, Notices &notices)
{
    if (m_state.isStoreReachable || m_consecutiveFailures == 0) {
        notices.emplace_back(StoreUnreachable{error});
    }
    m_state.isStoreReachable = false;
    const Duration doubled = m_options.initialBackoff * (1U << std::min(m_consecutiveFailures, maxDoublings));
    m_pauseUntil = now + randomize(std::min(doubled, m_options.maxBackoff), 0.5, 1, m_generator);
    ++m_consecutiveFailures;
}

void FollowerCore::recordResponse(TimePoint requestedAt, Notices &notices)
{
    if (m_consecutiveFailures > 0) {
        notices.emplace_back(StoreReconnected{});
    }
    m_consecutiveFailures = 0;
    m_state.isStoreReachable = true;
    m_state.lastContactAt = std::max(m_state.lastContactAt.value_or(requestedAt), requestedAt);
}

std::map<FollowerCore::ObjectId, FollowerCore::Entry> FollowerCore::entriesOf(const ObjectList &list)
{
    std::map<ObjectId, Entry> entries;
    for (const Object &it : list.items) {
        if (isDeclaredKind(it.kind())) {
            entries[{it.kind(), it.name}] = Entry{.writtenAt = list.eras.positionOf(it.version), .object = it};
        }
    }
    for (const UndecodableObject &it : list.undecodable) {
        if (isDeclaredKind(it.kind)) {
            entries[{it.kind, it.name}] = Entry{.writtenAt = list.eras.positionOf(it.version), .error = it.error};
        }
    }
    return entries;
}

// Position of the last write or deletion of the object.
StorePosition FollowerCore::lastKnown(const ObjectId &id) const
{
    const auto stored = m_stored.find(id);
    const auto tombstone = m_tombstones.find(id);
    return std::max(stored == m_stored.end() ? StorePosition() : stored->second.writtenAt,
                    tombstone == m_tombstones.end() ? StorePosition() : tombstone->second);
}

// An object with an older state than one that is part of the store's history proves that the store lost writes without a new era.
std::optional<RevisionRefused> FollowerCore::findRollback(const ObjectList &list) const
{
    RevisionRefused refused{.offered = list.position, .inForce = m_state.position};
    if (list.position < m_state.position) {
        return refused;
    }
    for (const auto &[id, entry] : entriesOf(list)) {
        const StorePosition known = lastKnown(id);
        if (entry.writtenAt < known && list.eras.contains(known)) {
            refused.object = formatObjectId(id.first, id.second);
            return refused;
        }
    }
    return std::nullopt;
}

// A store that begins to tell its era, after an upgrade, wasn't restored: what is known of it belongs to its first era.
void FollowerCore::beginFirstEra(std::uint64_t era)
{
    const auto renumber = [era](StorePosition &position) { position = {era, position.revision()}; };
    for (auto &[id, entry] : m_stored) {
        renumber(entry.writtenAt);
    }
    for (auto &[id, position] : m_tombstones) {
        renumber(position);
    }
    for (auto &[id, position] : m_inForceAt) {
        renumber(position);
    }
    renumber(m_listPosition);
    renumber(m_state.position);
}

void FollowerCore::bury(const ObjectId &id, const StorePosition &position)
{
    m_stored.erase(id);
    m_tombstones[id] = position;
    m_state.kept.erase(formatObjectId(id.first, id.second));
    if (m_tombstones.size() > maxTombstones) {
        m_tombstones.erase(
            std::min_element(m_tombstones.begin(), m_tombstones.end(), [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
}

// Takes each state in the list that is newer than the known one, and keeps the others.
void FollowerCore::merge(const ObjectList &list, Notices &notices)
{
    StoreRestored restored{.previous = m_state.position, .current = list.position};
    std::map<ObjectId, Entry> listed = entriesOf(list);
    m_state.kept.clear();
    for (const RemovedObject &it : list.removed) {
        const ObjectId id{it.kind, it.name};
        const StorePosition position = list.eras.positionOf(it.version);
        if (m_stored.contains(id) && position > lastKnown(id)) {
            bury(id, position);
            ++restored.taken;
        }
    }
    const std::map<ObjectId, Entry> known = m_stored;
    for (const auto &[id, entry] : known) {
        if (listed.contains(id)) {
            continue;
        }
        if (list.eras.contains(entry.writtenAt)) {
            bury(id, latestDeletion(list, entry.writtenAt));
            ++restored.taken;
        } else {
            m_state.kept.insert(formatObjectId(id.first, id.second));
        }
    }
    for (auto &[id, entry] : listed) {
        const StorePosition last = lastKnown(id);
        if (entry.writtenAt < last) {
            m_state.kept.insert(formatObjectId(id.first, id.second));
            continue;
        }
        restored.taken += entry.writtenAt > last ? 1 : 0;
        m_tombstones.erase(id);
        m_stored[id] = std::move(entry);
    }
    restored.kept = m_state.kept.size();
    if (m_hasSnapshot && !list.position.isInSameEra(m_state.position)) {
        notices.emplace_back(restored);
    }
    m_listPosition = list.position;
    m_state.position = list.position;
    m_isListRequired = false;
}

FollowerCore::Notices FollowerCore::onList(const Result<ObjectList> &list, TimePoint requestedAt, TimePoint now)
{
    Notices notices;
    if (!list) {
        recordFailure(list.error(), now, notices);
        return notices;
    }
    recordResponse(requestedAt, notices);
    m_nextListAt = now + randomize(m_options.relistPeriod, 0.75, 1.25, m_generator);
    if (m_hasSnapshot && m_state.position.era() == 0 && list->position.era() != 0) {
        beginFirstEra(list->eras.list().front().era);
    }
    if (const auto refused = m_hasSnapshot ? findRollback(*list) : std::nullopt) {
        if (m_state.refused != refused) {
            notices.emplace_back(*refused);
        }
        m_state.refused = refused;
        m_isListRequired = true;
        m_pauseUntil = now + randomize(m_options.maxBackoff, 0.5, 1, m_generator);
        return notices;
    }
    m_state.refused.reset();
    merge(*list, notices);
    rebuild(notices);
    return notices;
}

FollowerCore::Notices FollowerCore::onPeerList(const ObjectList &list, TimePoint contactAt)
{
    Notices notices;
    if (m_hasSnapshot && findRollback(list)) {
        return notices;
    }
    merge(list, notices);
    m_state.lastContactAt = std::max(m_state.lastContactAt.value_or(contactAt), contactAt);
    rebuild(notices);
    return notices;
}

// Applies the change and returns true if it is newer than the last known state of that object.
bool FollowerCore::applyChange(const ObjectId &id, ChangeType type, Entry entry)
{
    if (!isDeclaredKind(id.first) || entry.writtenAt <= std::max(m_listPosition, lastKnown(id))) {
        return false;
    }
    if (type == ChangeType::Delete) {
        bury(id, entry.writtenAt);
    } else {
        m_stored[id] = std::move(entry);
        m_state.kept.erase(formatObjectId(id.first, id.second));
    }
    return true;
}

FollowerCore::Notices FollowerCore::onChanges(const Result<Changes> &changes, TimePoint requestedAt, TimePoint now)
{
    Notices notices;
    if (!changes && changes.error().code == ErrorCode::TooOld) {
        recordResponse(requestedAt, notices);
        m_isListRequired = true;
        return notices;
    }
    if (!changes) {
        recordFailure(changes.error(), now, notices);
        return notices;
    }
    recordResponse(requestedAt, notices);
    const std::uint64_t era = changes->position.era();
    if (!changes->position.isInSameEra(m_state.position)) {
        m_isListRequired = m_isListRequired || changes->position > m_state.position;
        return notices;
    }
    bool isChanged = false;
    for (const Change &it : changes->events) {
        const ObjectId id{it.object.kind(), it.object.name};
        isChanged = applyChange(id, it.type, Entry{.writtenAt = {era, it.object.version}, .object = it.object}) || isChanged;
    }
    for (const UndecodableObject &it : changes->undecodable) {
        isChanged = applyChange({it.kind, it.name}, ChangeType::Put, Entry{.writtenAt = {era, it.version}, .error = it.error}) || isChanged;
    }
    m_state.position = std::max(m_state.position, changes->position);
    if (isChanged) {
        rebuild(notices);
    }
    return notices;
}

// Returns a consistent subset of the stored objects. An invalid object is replaced by its version in force, or left out if that
// is inconsistent too. Of two objects that claim the same secret or match, the one in force wins, else the one written first.
FollowerCore::Resolution FollowerCore::resolve() const
{
    Resolution resolution;
    std::vector<Object> &objects = resolution.objects;
    std::map<ObjectId, StorePosition> &writtenAt = resolution.writtenAt;
    std::map<ObjectId, ObjectSkipped> rejected;
    const auto fallBack = [&](const ObjectId &id, const Error &error) {
        const auto previous = m_inForce.find(id);
        const bool isPreviousInForce = previous != m_inForce.end() && !rejected.contains(id);
        ObjectSkipped &entry = rejected.try_emplace(id, ObjectSkipped{.problem = {id.first, id.second, error}}).first->second;
        entry.isPreviousInForce = isPreviousInForce;
        if (isPreviousInForce) {
            objects.push_back(previous->second);
            writtenAt[id] = m_inForceAt.at(id);
        }
    };
    // An update to an object in force takes precedence over a conflicting new object. Otherwise a new key with the same secret
    // could block the withdrawal of a key.
    const auto isEarlier = [&](const Object &a, const Object &b) {
        const ObjectId idA{a.kind(), a.name};
        const ObjectId idB{b.kind(), b.name};
        return std::pair(!m_inForce.contains(idA), writtenAt.at(idA)) < std::pair(!m_inForce.contains(idB), writtenAt.at(idB));
    };
    for (const auto &[id, entry] : m_stored) {
        if (entry.object) {
            objects.push_back(*entry.object);
            writtenAt[id] = entry.writtenAt;
        } else {
            fallBack(id, entry.error);
        }
    }
    for (;;) {
        std::sort(objects.begin(), objects.end(), isEarlier);
        const std::vector<ObjectProblem> problems = findProblems(objects);
        if (problems.empty()) {
            break;
        }
        for (const ObjectProblem &it : problems) {
            std::erase_if(objects, [&it](const Object &object) { return object.kind() == it.kind && object.name == it.name; });
            fallBack({it.kind, it.name}, it.error);
        }
    }
    for (auto &[id, entry] : rejected) {
        resolution.skipped.push_back(std::move(entry));
    }
    return resolution;
}

void FollowerCore::rebuild(Notices &notices)
{
    Resolution resolution = resolve();
    for (const ObjectSkipped &it : resolution.skipped) {
        if (std::find(m_state.skipped.begin(), m_state.skipped.end(), it) == m_state.skipped.end()) {
            notices.emplace_back(it);
        }
    }
    m_state.skipped = std::move(resolution.skipped);
    std::map<ObjectId, Object> byId;
    for (const Object &it : resolution.objects) {
        byId[{it.kind(), it.name}] = it;
    }
    m_inForceAt = std::move(resolution.writtenAt);
    if (m_hasSnapshot && byId == m_inForce) {
        return;
    }
    Result<std::shared_ptr<const Snapshot>> snapshot = Snapshot::build(resolution.objects, ++m_snapshotCount);
    POLLENSPOKE_ASSERT(snapshot.has_value(), "Snapshot::build() must accept every set of objects in which findProblems() finds none");
    m_inForce = std::move(byId);
    m_hasSnapshot = true;
    notices.emplace_back(SnapshotReady{std::move(*snapshot)});
}

} // namespace Pollenspoke
