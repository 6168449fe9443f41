// State machine that decides which configuration is in force, driven by the responses of the store.
#include <algorithm>
#include <pollenspoke/store.h>

namespace Pollenspoke {

namespace {

constexpr unsigned maxDoublings = 10;

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

// Versions only increase, so an object with an older version than before proves that the store lost writes.
std::optional<RevisionRefused> FollowerCore::findRollback(const ObjectList &list) const
{
    RevisionRefused refused{.offered = list.position, .inForce = m_state.position};
    if (list.position.revision() < m_state.position.revision()) {
        return refused;
    }
    for (const Object &it : list.items) {
        const auto current = m_stored.find({it.kind(), it.name});
        if (current != m_stored.end() && it.version < current->second.version) {
            refused.object = formatObjectId(it.kind(), it.name);
            return refused;
        }
    }
    return std::nullopt;
}

void FollowerCore::replaceAll(const ObjectList &list)
{
    m_stored.clear();
    m_tombstones.clear();
    for (const Object &it : list.items) {
        if (isDeclaredKind(it.kind())) {
            m_stored[{it.kind(), it.name}] = Entry{.version = it.version, .object = it};
        }
    }
    for (const UndecodableObject &it : list.undecodable) {
        if (isDeclaredKind(it.kind)) {
            m_stored[{it.kind, it.name}] = Entry{.version = it.version, .error = it.error};
        }
    }
    m_listRevision = list.position.revision();
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
    replaceAll(*list);
    rebuild(notices);
    return notices;
}

FollowerCore::Notices FollowerCore::onPeerList(const ObjectList &list, TimePoint contactAt)
{
    Notices notices;
    if (m_hasSnapshot && findRollback(list)) {
        return notices;
    }
    replaceAll(list);
    m_state.lastContactAt = std::max(m_state.lastContactAt.value_or(contactAt), contactAt);
    rebuild(notices);
    return notices;
}

// Applies the change and returns true if it is newer than the last known state of that object.
bool FollowerCore::applyChange(const ObjectId &id, ChangeType type, Entry entry)
{
    const auto current = m_stored.find(id);
    const auto tombstone = m_tombstones.find(id);
    const std::uint64_t currentVersion = current == m_stored.end() ? 0 : current->second.version;
    const std::uint64_t tombstoneVersion = tombstone == m_tombstones.end() ? 0 : tombstone->second;
    if (!isDeclaredKind(id.first) || entry.version <= std::max({m_listRevision, currentVersion, tombstoneVersion})) {
        return false;
    }
    if (type == ChangeType::Delete) {
        m_tombstones[id] = entry.version;
        m_stored.erase(id);
    } else {
        m_stored[id] = std::move(entry);
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
    bool isChanged = false;
    for (const Change &it : changes->events) {
        const ObjectId id{it.object.kind(), it.object.name};
        isChanged = applyChange(id, it.type, Entry{.version = it.object.version, .object = it.object}) || isChanged;
    }
    for (const UndecodableObject &it : changes->undecodable) {
        isChanged = applyChange({it.kind, it.name}, ChangeType::Put, Entry{.version = it.version, .error = it.error}) || isChanged;
    }
    m_state.position = std::max(m_state.position, changes->position);
    if (isChanged) {
        rebuild(notices);
    }
    return notices;
}

// Returns a consistent subset of the stored objects. An invalid object is replaced by its version in force, or left out if that
// is inconsistent too. Of two objects that claim the same secret or match, the one in force wins, else the one written first.
std::vector<Object> FollowerCore::resolve(std::vector<ObjectSkipped> &skipped) const
{
    std::map<ObjectId, ObjectSkipped> rejected;
    std::vector<Object> objects;
    const auto fallBack = [&](const ObjectId &id, const Error &error) {
        const auto previous = m_inForce.find(id);
        const bool isPreviousInForce = previous != m_inForce.end() && !rejected.contains(id);
        ObjectSkipped &entry = rejected.try_emplace(id, ObjectSkipped{.problem = {id.first, id.second, error}}).first->second;
        entry.isPreviousInForce = isPreviousInForce;
        if (isPreviousInForce) {
            objects.push_back(previous->second);
        }
    };
    // An update to an object in force takes precedence over a conflicting new object. Otherwise a new key with the same secret
    // could block the withdrawal of a key.
    const auto isEarlier = [this](const Object &a, const Object &b) {
        const bool isNotInForceA = !m_inForce.contains({a.kind(), a.name});
        const bool isNotInForceB = !m_inForce.contains({b.kind(), b.name});
        return std::pair(isNotInForceA, a.version) < std::pair(isNotInForceB, b.version);
    };
    for (const auto &[id, entry] : m_stored) {
        if (entry.object) {
            objects.push_back(*entry.object);
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
        skipped.push_back(std::move(entry));
    }
    return objects;
}

void FollowerCore::rebuild(Notices &notices)
{
    std::vector<ObjectSkipped> skipped;
    const std::vector<Object> objects = resolve(skipped);
    for (const ObjectSkipped &it : skipped) {
        if (std::find(m_state.skipped.begin(), m_state.skipped.end(), it) == m_state.skipped.end()) {
            notices.emplace_back(it);
        }
    }
    m_state.skipped = std::move(skipped);
    std::map<ObjectId, Object> byId;
    for (const Object &it : objects) {
        byId[{it.kind(), it.name}] = it;
    }
    if (m_hasSnapshot && byId == m_inForce) {
        return;
    }
    Result<std::shared_ptr<const Snapshot>> snapshot = Snapshot::build(objects, m_state.position.revision());
    POLLENSPOKE_ASSERT(snapshot.has_value(), "Snapshot::build() must accept every set of objects in which findProblems() finds none");
    m_inForce = std::move(byId);
    m_hasSnapshot = true;
    notices.emplace_back(SnapshotReady{std::move(*snapshot)});
}

} // namespace Pollenspoke
