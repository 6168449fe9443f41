// What configuration is in force: a pure state machine fed with the store's answers.
#include <algorithm>
#include <pollenspoke/store.h>

namespace Pollenspoke {

namespace {

constexpr unsigned mostDoublings = 10;

std::string placeText(Kind kind, const std::string &name)
{
    return std::string(kindName(kind)) + "/" + name;
}

bool isDeclared(Kind kind)
{
    const std::vector<Kind> &kinds = declaredKinds();
    return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

// `duration` times a factor from `lowest` to `highest`.
Duration vary(Duration duration, double lowest, double highest, std::mt19937_64 &generator)
{
    const double factor = std::uniform_real_distribution<double>(lowest, highest)(generator);
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
    if (m_mustList || now >= m_listAt) {
        return ListNow{};
    }
    return WatchFrom{m_state.revision};
}

void FollowerCore::noteFailure(const Error &error, TimePoint now, Notices &notices)
{
    if (m_state.isStoreReachable || m_failures == 0) {
        notices.emplace_back(StoreUnreachable{error});
    }
    m_state.isStoreReachable = false;
    const Duration doubled = m_options.shortestPause * (1U << std::min(m_failures, mostDoublings));
    m_pauseUntil = now + vary(std::min(doubled, m_options.longestPause), 0.5, 1, m_generator);
    ++m_failures;
}

void FollowerCore::noteAnswer(TimePoint askedAt, Notices &notices)
{
    if (m_failures > 0) {
        notices.emplace_back(StoreHeard{});
    }
    m_failures = 0;
    m_state.isStoreReachable = true;
    m_state.lastContactAt = std::max(m_state.lastContactAt.value_or(askedAt), askedAt);
}

// A version only grows, so an object that went back proves that the store forgot writes.
std::optional<RevisionRefused> FollowerCore::findReversion(const ObjectList &list) const
{
    RevisionRefused refused{.offered = list.revision, .inForce = m_state.revision};
    if (list.revision < m_state.revision) {
        return refused;
    }
    for (const Object &it : list.items) {
        const auto known = m_stored.find({it.kind(), it.name});
        if (known != m_stored.end() && it.version < known->second.version) {
            refused.object = placeText(it.kind(), it.name);
            return refused;
        }
    }
    return std::nullopt;
}

void FollowerCore::replaceAll(const ObjectList &list)
{
    m_stored.clear();
    m_removed.clear();
    for (const Object &it : list.items) {
        if (isDeclared(it.kind())) {
            m_stored[{it.kind(), it.name}] = Entry{.version = it.version, .object = it};
        }
    }
    for (const Unreadable &it : list.unreadable) {
        if (isDeclared(it.kind)) {
            m_stored[{it.kind, it.name}] = Entry{.version = it.version, .error = it.error};
        }
    }
    m_listRevision = list.revision;
    m_state.revision = list.revision;
    m_mustList = false;
}

FollowerCore::Notices FollowerCore::onList(const Result<ObjectList> &list, TimePoint askedAt, TimePoint now)
{
    Notices notices;
    if (!list) {
        noteFailure(list.error(), now, notices);
        return notices;
    }
    noteAnswer(askedAt, notices);
    m_listAt = now + vary(m_options.relistPeriod, 0.75, 1.25, m_generator);
    if (const auto refused = m_hasSnapshot ? findReversion(*list) : std::nullopt) {
        if (m_state.refused != refused) {
            notices.emplace_back(*refused);
        }
        m_state.refused = refused;
        m_mustList = true;
        m_pauseUntil = now + vary(m_options.longestPause, 0.5, 1, m_generator);
        return notices;
    }
    m_state.refused.reset();
    replaceAll(*list);
    rebuild(notices);
    return notices;
}

FollowerCore::Notices FollowerCore::onPeerList(const ObjectList &list, TimePoint heardAt)
{
    Notices notices;
    if (m_hasSnapshot && findReversion(list)) {
        return notices;
    }
    replaceAll(list);
    m_state.lastContactAt = std::max(m_state.lastContactAt.value_or(heardAt), heardAt);
    rebuild(notices);
    return notices;
}

// True when it was newer than what is known of that object.
bool FollowerCore::applyChange(const Place &place, ChangeType type, Entry entry)
{
    const auto known = m_stored.find(place);
    const auto removed = m_removed.find(place);
    const std::uint64_t knownVersion = known == m_stored.end() ? 0 : known->second.version;
    const std::uint64_t removedVersion = removed == m_removed.end() ? 0 : removed->second;
    if (!isDeclared(place.first) || entry.version <= std::max({m_listRevision, knownVersion, removedVersion})) {
        return false;
    }
    if (type == ChangeType::Delete) {
        m_removed[place] = entry.version;
        m_stored.erase(place);
    } else {
        m_stored[place] = std::move(entry);
    }
    return true;
}

FollowerCore::Notices FollowerCore::onChanges(const Result<Changes> &changes, TimePoint askedAt, TimePoint now)
{
    Notices notices;
    if (!changes && changes.error().code == ErrorCode::TooOld) {
        noteAnswer(askedAt, notices);
        m_mustList = true;
        return notices;
    }
    if (!changes) {
        noteFailure(changes.error(), now, notices);
        return notices;
    }
    noteAnswer(askedAt, notices);
    bool isChanged = false;
    for (const Change &it : changes->events) {
        const Place place{it.object.kind(), it.object.name};
        isChanged = applyChange(place, it.type, Entry{.version = it.object.version, .object = it.object}) || isChanged;
    }
    for (const Unreadable &it : changes->unreadable) {
        isChanged = applyChange({it.kind, it.name}, ChangeType::Put, Entry{.version = it.version, .error = it.error}) || isChanged;
    }
    m_state.revision = std::max(m_state.revision, changes->revision);
    if (isChanged) {
        rebuild(notices);
    }
    return notices;
}

// The stored objects that fit together. One that doesn't is replaced by the version in force, or left out if that doesn't fit
// either. Of two that claim the same, one in force stays, else the one written first.
std::vector<Object> FollowerCore::resolve(std::vector<ObjectSkipped> &skipped) const
{
    std::map<Place, ObjectSkipped> bad;
    std::vector<Object> objects;
    const auto fallBack = [&](const Place &place, const Error &error) {
        const auto good = m_inForce.find(place);
        const bool isPreviousInForce = good != m_inForce.end() && !bad.contains(place);
        ObjectSkipped &entry = bad.try_emplace(place, ObjectSkipped{.problem = {place.first, place.second, error}}).first->second;
        entry.isPreviousInForce = isPreviousInForce;
        if (isPreviousInForce) {
            objects.push_back(good->second);
        }
    };
    // An update to an object in force must not lose against a newer rival, or a withdrawal could be held up.
    const auto isEarlier = [this](const Object &a, const Object &b) {
        const bool isNewA = !m_inForce.contains({a.kind(), a.name});
        const bool isNewB = !m_inForce.contains({b.kind(), b.name});
        return std::pair(isNewA, a.version) < std::pair(isNewB, b.version);
    };
    for (const auto &[place, entry] : m_stored) {
        if (entry.object) {
            objects.push_back(*entry.object);
        } else {
            fallBack(place, entry.error);
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
    for (auto &[place, entry] : bad) {
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
    std::map<Place, Object> byPlace;
    for (const Object &it : objects) {
        byPlace[{it.kind(), it.name}] = it;
    }
    if (m_hasSnapshot && byPlace == m_inForce) {
        return;
    }
    Result<std::shared_ptr<const Snapshot>> snapshot = Snapshot::build(objects, m_state.revision);
    POLLENSPOKE_ASSERT(snapshot.has_value(), "findProblems() and Snapshot::build() must agree on what fits together");
    m_inForce = std::move(byPlace);
    m_hasSnapshot = true;
    notices.emplace_back(SnapshotReady{std::move(*snapshot)});
}

} // namespace Pollenspoke
