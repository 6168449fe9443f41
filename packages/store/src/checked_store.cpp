// What operators may write, and proof that it was written.
#include <algorithm>
#include <pollenspoke/store.h>

namespace Pollenspoke {

namespace {

bool isSystemKind(Kind kind)
{
    return kind == Kind::QuotaGrant || kind == Kind::VmRecord;
}

std::string placeText(Kind kind, const std::string &name)
{
    return std::string(kindName(kind)) + "/" + name;
}

Error systemsOwn(Kind kind, const std::string &name)
{
    return Error{.code = ErrorCode::NotAllowed, .path = placeText(kind, name), .detail = "the system's own; operators may only read it"};
}

// Reads back after a lost answer. True: the object stands there as wanted. False: the condition still holds.
Result<std::optional<Object>> readBack(ObjectStore &store, const Object &wanted, const WriteCondition &condition)
{
    const Result<Object> present = store.get(wanted.kind(), wanted.name);
    if (present && present->spec == wanted.spec) {
        return *present;
    }
    const auto *version = std::get_if<MustHaveVersion>(&condition);
    const bool isAbsent = !present && present.error().code == ErrorCode::NotFound;
    const bool isUntouched = version == nullptr ? isAbsent : present && present->version == version->version;
    if (isUntouched) {
        return std::optional<Object>();
    }
    return tl::unexpected(Error{.code = ErrorCode::OutcomeUnknown,
                                .path = placeText(wanted.kind(), wanted.name),
                                .detail = "the answer was lost and what stands there now doesn't tell; read it again",
                                .version = present ? present->version : 0});
}

bool isAnswer(const Error &error)
{
    return error.code != ErrorCode::OutcomeUnknown;
}

} // namespace

Result<Object> putVerified(ObjectStore &store, const Object &object, const WriteCondition &condition, unsigned mostWrites)
{
    bool isInDoubt = false;
    Error lost;
    for (unsigned i = 0; i < mostWrites; ++i) {
        Result<Object> written = store.put(object, condition);
        if (written || (isAnswer(written.error()) && !isInDoubt)) {
            return written;
        }
        // A refusal after a lost answer may be the trace of our own earlier write.
        isInDoubt = true;
        lost = written.error();
        Result<std::optional<Object>> seen = readBack(store, object, condition);
        if (!seen) {
            return tl::unexpected(seen.error());
        }
        if (*seen) {
            return std::move(**seen);
        }
    }
    lost.code = ErrorCode::OutcomeUnknown;
    return tl::unexpected(lost);
}

CheckedStore::CheckedStore(ObjectStore &store)
    : m_store(store)
{
}

Result<Object> CheckedStore::get(Kind kind, const std::string &name)
{
    return m_store.get(kind, name);
}

Result<ObjectList> CheckedStore::list(const std::vector<Kind> &kinds)
{
    return m_store.list(kinds);
}

Result<Changes> CheckedStore::watch(std::uint64_t since, const std::vector<Kind> &kinds, Duration wait)
{
    return m_store.watch(since, kinds, wait);
}

Result<Object> CheckedStore::putStatus(Kind kind, const std::string &name, const std::string &statusJson)
{
    if (isSystemKind(kind)) {
        return tl::unexpected(systemsOwn(kind, name));
    }
    return m_store.putStatus(kind, name, statusJson);
}

namespace {

// A caller whose key was withdrawn must not get in again by a write made from an old file.
Result<void> refuseRevival(const std::vector<Object> &present, const Object &replacement)
{
    const auto *wanted = std::get_if<Key>(&replacement.spec);
    for (const Object &it : present) {
        const auto *known = std::get_if<Key>(&it.spec);
        const bool isSame = known != nullptr && wanted != nullptr && it.name == replacement.name && known->sha256 == wanted->sha256;
        if (isSame && known->state == KeyState::Withdrawn && wanted->state == KeyState::Active) {
            return tl::unexpected(Error{.code = ErrorCode::NotAllowed,
                                        .path = "Key/" + it.name + ": spec.state",
                                        .detail = "a withdrawn key stays withdrawn; make a new one"});
        }
    }
    return {};
}

} // namespace

Result<void> CheckedStore::checkChange(Kind kind, const std::string &name, const Object *replacement)
{
    const Result<ObjectList> listed = m_store.list(declaredKinds());
    if (!listed) {
        // Nothing was written yet, whatever the read's failure.
        return tl::unexpected(Error{.code = ErrorCode::Unavailable, .path = listed.error().path, .detail = listed.error().detail});
    }
    std::vector<Object> after = listed->items;
    std::erase_if(after, [&](const Object &it) { return it.kind() == kind && it.name == name; });
    if (replacement != nullptr) {
        if (Result<void> checked = refuseRevival(listed->items, *replacement); !checked) {
            return checked;
        }
        after.push_back(*replacement);
    }
    const std::vector<ObjectProblem> old = findProblems(listed->items);
    for (const ObjectProblem &it : findProblems(after)) {
        const bool isOwn = it.kind == kind && it.name == name;
        if (isOwn || std::find(old.begin(), old.end(), it) == old.end()) {
            return tl::unexpected(it.error);
        }
    }
    return {};
}

Result<Object> CheckedStore::put(const Object &object, const WriteCondition &condition)
{
    if (isSystemKind(object.kind())) {
        return tl::unexpected(systemsOwn(object.kind(), object.name));
    }
    if (const Result<void> checked = checkChange(object.kind(), object.name, &object); !checked) {
        return tl::unexpected(checked.error());
    }
    return putVerified(m_store, object, condition);
}

Result<void> CheckedStore::remove(Kind kind, const std::string &name, std::uint64_t version)
{
    if (isSystemKind(kind)) {
        return tl::unexpected(systemsOwn(kind, name));
    }
    if (Result<void> checked = checkChange(kind, name, nullptr); !checked) {
        return checked;
    }
    Result<void> removed = m_store.remove(kind, name, version);
    if (!removed && removed.error().code == ErrorCode::OutcomeUnknown) {
        const Result<Object> present = m_store.get(kind, name);
        if (!present && present.error().code == ErrorCode::NotFound) {
            return {};
        }
    }
    return removed;
}

} // namespace Pollenspoke
