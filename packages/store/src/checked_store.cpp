// Validation of operators' writes, and writes verified by reading back.
#include <algorithm>
#include <pollenspoke/store.h>

namespace Pollenspoke {

namespace {

bool isSystemKind(Kind kind)
{
    return kind == Kind::QuotaGrant || kind == Kind::VmRecord;
}

std::string formatObjectId(Kind kind, const std::string &name)
{
    return std::string(kindName(kind)) + "/" + name;
}

Error systemKindError(Kind kind, const std::string &name)
{
    return Error{.code = ErrorCode::NotAllowed,
                 .path = formatObjectId(kind, name),
                 .detail = "written by the system only; operators have read access"};
}

bool isCurrent(const StoredObject &stored, const MustHaveVersion &condition)
{
    return stored.object.version == condition.version && (condition.era == 0 || stored.era == condition.era);
}

// Reads the object back after the response to a write was lost. Returns the object if it has the wanted spec, nothing if the
// condition of the write still holds, and OutcomeUnknown otherwise.
Result<std::optional<Object>> readBack(ObjectStore &store, const Object &wanted, const WriteCondition &condition)
{
    const Result<StoredObject> stored = store.get(wanted.kind(), wanted.name);
    // An object that is in the store only as part of the copy that it was restored from isn't the effect of this write.
    if (stored && stored->object.spec == wanted.spec && !stored->isFromCopy()) {
        return stored->object;
    }
    const auto *version = std::get_if<MustHaveVersion>(&condition);
    const bool isAbsent = !stored && stored.error().code == ErrorCode::NotFound;
    const bool isUnchanged = version == nullptr ? isAbsent : stored && isCurrent(*stored, *version);
    if (isUnchanged) {
        return std::optional<Object>();
    }
    return tl::unexpected(
        Error{.code = ErrorCode::OutcomeUnknown,
              .path = formatObjectId(wanted.kind(), wanted.name),
              .detail = "the response was lost, and the stored object doesn't show whether the write took effect; read it again",
              .version = stored ? stored->object.version : 0});
}

bool isDefinitive(const Error &error)
{
    return error.code != ErrorCode::OutcomeUnknown;
}

} // namespace

Result<Object> putVerified(ObjectStore &store, const Object &object, const WriteCondition &condition, unsigned maxWrites)
{
    bool isOutcomeUnknown = false;
    Error lastError;
    for (unsigned i = 0; i < maxWrites; ++i) {
        Result<Object> written = store.put(object, condition);
        if (written || (isDefinitive(written.error()) && !isOutcomeUnknown)) {
            return written;
        }
        // After a lost response, a conflict may be due to our own earlier write.
        isOutcomeUnknown = true;
        lastError = written.error();
        Result<std::optional<Object>> readBackResult = readBack(store, object, condition);
        if (!readBackResult) {
            return tl::unexpected(readBackResult.error());
        }
        if (*readBackResult) {
            return std::move(**readBackResult);
        }
    }
    lastError.code = ErrorCode::OutcomeUnknown;
    return tl::unexpected(lastError);
}

CheckedStore::CheckedStore(ObjectStore &store)
    : m_store(store)
{
}

Result<StoredObject> CheckedStore::get(Kind kind, const std::string &name)
{
    return m_store.get(kind, name);
}

Result<ObjectList> CheckedStore::list(const std::vector<Kind> &kinds)
{
    return m_store.list(kinds);
}

Result<Changes> CheckedStore::watch(const StorePosition &since, const std::vector<Kind> &kinds, Duration wait)
{
    return m_store.watch(since, kinds, wait);
}

Result<Object> CheckedStore::putStatus(Kind kind, const std::string &name, const std::string &statusJson)
{
    if (isSystemKind(kind)) {
        return tl::unexpected(systemKindError(kind, name));
    }
    return m_store.putStatus(kind, name, statusJson);
}

namespace {

// Rejects a write that re-activates a withdrawn key, for example one made from an outdated file.
Result<void> refuseReactivation(const std::vector<Object> &stored, const Object &replacement)
{
    const auto *wanted = std::get_if<Key>(&replacement.spec);
    for (const Object &it : stored) {
        const auto *existing = std::get_if<Key>(&it.spec);
        const bool isSame = existing != nullptr && wanted != nullptr && it.name == replacement.name && existing->sha256 == wanted->sha256;
        if (isSame && existing->state == KeyState::Withdrawn && wanted->state == KeyState::Active) {
            return tl::unexpected(Error{.code = ErrorCode::NotAllowed,
                                        .path = "Key/" + it.name + ": spec.state",
                                        .detail = "a withdrawn key can't be re-activated; create a new one"});
        }
    }
    return {};
}

} // namespace

Result<StoreEras> CheckedStore::checkChange(Kind kind, const std::string &name, const Object *replacement)
{
    const Result<ObjectList> list = m_store.list(declaredKinds());
    if (!list) {
        // Nothing has been written yet, whatever the error of the read.
        return tl::unexpected(Error{.code = ErrorCode::Unavailable, .path = list.error().path, .detail = list.error().detail});
    }
    std::vector<Object> resulting = list->items;
    std::erase_if(resulting, [&](const Object &it) { return it.kind() == kind && it.name == name; });
    if (replacement != nullptr) {
        if (Result<void> checked = refuseReactivation(list->items, *replacement); !checked) {
            return tl::unexpected(checked.error());
        }
        resulting.push_back(*replacement);
    }
    const std::vector<ObjectProblem> existingProblems = findProblems(list->items);
    for (const ObjectProblem &it : findProblems(resulting)) {
        const bool isChangedObject = it.kind == kind && it.name == name;
        if (isChangedObject || std::find(existingProblems.begin(), existingProblems.end(), it) == existingProblems.end()) {
            return tl::unexpected(it.error);
        }
    }
    return list->eras;
}

namespace {

// A version without an era belongs to the era in which the write was checked.
WriteCondition inEra(const WriteCondition &condition, const StoreEras &eras)
{
    const auto *required = std::get_if<MustHaveVersion>(&condition);
    if (required == nullptr || required->era != 0) {
        return condition;
    }
    return MustHaveVersion{.version = required->version, .era = eras.era()};
}

} // namespace

Result<Object> CheckedStore::put(const Object &object, const WriteCondition &condition)
{
    if (isSystemKind(object.kind())) {
        return tl::unexpected(systemKindError(object.kind(), object.name));
    }
    const Result<StoreEras> checked = checkChange(object.kind(), object.name, &object);
    if (!checked) {
        return tl::unexpected(checked.error());
    }
    return putVerified(m_store, object, inEra(condition, *checked));
}

Result<void> CheckedStore::remove(Kind kind, const std::string &name, const MustHaveVersion &condition)
{
    if (isSystemKind(kind)) {
        return tl::unexpected(systemKindError(kind, name));
    }
    const Result<StoreEras> checked = checkChange(kind, name, nullptr);
    if (!checked) {
        return tl::unexpected(checked.error());
    }
    const std::uint64_t era = condition.era == 0 ? checked->era() : condition.era;
    Result<void> removed = m_store.remove(kind, name, {.version = condition.version, .era = era});
    if (removed || removed.error().code != ErrorCode::OutcomeUnknown) {
        return removed;
    }
    // Absence from a restored store shows nothing: its copy may be from before the object was created.
    const Result<ObjectList> list = m_store.list({kind});
    const auto isNamed = [&](const auto &it) { return it.name == name; };
    if (list && list->position.era() == checked->era() && std::none_of(list->items.begin(), list->items.end(), isNamed)
        && std::none_of(list->undecodable.begin(), list->undecodable.end(), isNamed)) {
        return {};
    }
    return removed;
}

} // namespace Pollenspoke
