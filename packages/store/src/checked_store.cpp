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

// Reads the object back after the response to a write was lost. Returns the object if it has the wanted spec, nothing if the
// condition of the write still holds, and OutcomeUnknown otherwise.
Result<std::optional<Object>> readBack(ObjectStore &store, const Object &wanted, const WriteCondition &condition)
{
    const Result<StoredObject> stored = store.get(wanted.kind(), wanted.name);
    if (stored && stored->object.spec == wanted.spec) {
        return stored->object;
    }
    const auto *version = std::get_if<MustHaveVersion>(&condition);
    const bool isAbsent = !stored && stored.error().code == ErrorCode::NotFound;
    const bool isUnchanged = version == nullptr ? isAbsent : stored && stored->object.version == version->version;
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

Result<void> CheckedStore::checkChange(Kind kind, const std::string &name, const Object *replacement)
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
            return checked;
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
    return {};
}

Result<Object> CheckedStore::put(const Object &object, const WriteCondition &condition)
{
    if (isSystemKind(object.kind())) {
        return tl::unexpected(systemKindError(object.kind(), object.name));
    }
    if (const Result<void> checked = checkChange(object.kind(), object.name, &object); !checked) {
        return tl::unexpected(checked.error());
    }
    return putVerified(m_store, object, condition);
}

Result<void> CheckedStore::remove(Kind kind, const std::string &name, const MustHaveVersion &condition)
{
    if (isSystemKind(kind)) {
        return tl::unexpected(systemKindError(kind, name));
    }
    if (Result<void> checked = checkChange(kind, name, nullptr); !checked) {
        return checked;
    }
    Result<void> removed = m_store.remove(kind, name, condition);
    if (!removed && removed.error().code == ErrorCode::OutcomeUnknown) {
        const Result<StoredObject> stored = m_store.get(kind, name);
        if (!stored && stored.error().code == ErrorCode::NotFound) {
            return {};
        }
    }
    return removed;
}

} // namespace Pollenspoke
