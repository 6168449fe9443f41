#include "wire.h"

#include <array>

namespace Pollenspoke {

namespace {

struct ErrorStatus
{
    ErrorCode code;
    unsigned status;
};

constexpr std::array errorStatuses{
    ErrorStatus{ErrorCode::InvalidSyntax, 400},
    ErrorStatus{ErrorCode::UnknownField, 422},
    ErrorStatus{ErrorCode::MissingField, 422},
    ErrorStatus{ErrorCode::WrongType, 422},
    ErrorStatus{ErrorCode::OutOfRange, 422},
    ErrorStatus{ErrorCode::DanglingReference, 422},
    ErrorStatus{ErrorCode::Duplicate, 422},
    ErrorStatus{ErrorCode::NotFound, 404},
    ErrorStatus{ErrorCode::VersionConflict, 412},
    ErrorStatus{ErrorCode::TooOld, 410},
    ErrorStatus{ErrorCode::Unavailable, 503},
    ErrorStatus{ErrorCode::OutcomeUnknown, 504},
    ErrorStatus{ErrorCode::Io, 500},
    ErrorStatus{ErrorCode::NotAllowed, 403},
};

constexpr unsigned minServerError = 500;
constexpr unsigned tooManyRequests = 429;

std::string memberText(const JsonValue &object, const std::string &name)
{
    const JsonValue *member = object.find(name);
    return member == nullptr || member->type != JsonValue::Type::Text ? std::string() : member->text;
}

std::uint64_t memberCount(const JsonValue &object, const std::string &name)
{
    const JsonValue *member = object.find(name);
    return member == nullptr || member->type != JsonValue::Type::Number || member->number < 0 ? 0
                                                                                              : static_cast<std::uint64_t>(member->number);
}

std::optional<ErrorCode> codeFromName(const std::string &name)
{
    for (const ErrorStatus &it : errorStatuses) {
        if (errorCodeName(it.code) == name) {
            return it.code;
        }
    }
    return std::nullopt;
}

// Error code for a status whose body isn't of this protocol. A write that a gateway answered with 5xx may have taken effect.
ErrorCode codeFromStatus(unsigned status, bool isWrite)
{
    for (const unsigned it : {404U, 410U, 412U, 403U, 400U}) {
        if (status != it) {
            continue;
        }
        for (const ErrorStatus &row : errorStatuses) {
            if (row.status == status) {
                return row.code;
            }
        }
    }
    if (status == tooManyRequests) {
        return ErrorCode::Unavailable;
    }
    if (status >= minServerError) {
        return isWrite ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable;
    }
    return ErrorCode::InvalidSyntax;
}

Result<JsonValue> parse(const std::string &text)
{
    JsonValue value;
    std::string problem;
    if (!parseJsonText(text, value, problem)) {
        return tl::unexpected(Error{.code = ErrorCode::InvalidSyntax, .path = "answer", .detail = problem});
    }
    return value;
}

// Returns the list member `name` of a response that must also contain a revision.
Result<const JsonValue *> findListMember(const JsonValue &response, const std::string &name)
{
    const JsonValue *revision = response.find("revision");
    const JsonValue *rows = response.find(name);
    if (revision == nullptr || revision->type != JsonValue::Type::Number) {
        return tl::unexpected(Error{.code = ErrorCode::MissingField, .path = "revision", .detail = "must be a number"});
    }
    if (rows == nullptr || rows->type != JsonValue::Type::List) {
        return tl::unexpected(Error{.code = ErrorCode::MissingField, .path = name, .detail = "must be a list"});
    }
    return rows;
}

void addEras(JsonValue &response, const StoreEras &eras)
{
    if (eras.list().empty()) {
        return;
    }
    JsonValue &rows = response.add("eras", JsonValue::makeList());
    for (const StoreEras::Era &it : eras.list()) {
        JsonValue &row = rows.append(JsonValue::makeObject());
        row.addNumber("era", static_cast<double>(it.era));
        row.addNumber("start", static_cast<double>(it.start));
    }
}

Result<StoreEras> decodeEras(const JsonValue &response)
{
    const JsonValue *rows = response.find("eras");
    if (rows == nullptr) {
        return StoreEras(); // a server of an earlier release
    }
    std::vector<StoreEras::Era> eras;
    for (const JsonValue &it : rows->items) {
        eras.push_back(StoreEras::Era{.era = memberCount(it, "era"), .start = memberCount(it, "start")});
    }
    return StoreEras::fromList(std::move(eras));
}

void decodeRemoved(const JsonValue &response, ObjectList &list)
{
    const JsonValue *rows = response.find("removed");
    if (rows == nullptr) {
        return;
    }
    for (const JsonValue &it : rows->items) {
        if (const std::optional<Kind> kind = kindFromName(memberText(it, "kind"))) {
            list.removed.push_back(RemovedObject{.kind = *kind, .name = memberText(it, "name"), .version = memberCount(it, "version")});
        }
    }
}

UndecodableObject makeUndecodable(const JsonValue &envelope, Kind kind, const Error &error)
{
    return UndecodableObject{
        .kind = kind, .name = memberText(envelope, "name"), .version = memberCount(envelope, "version"), .error = error};
}

Spec emptySpec(Kind kind)
{
    switch (kind) {
    case Kind::ClientAccount:
        return ClientAccount();
    case Kind::Key:
        return Key();
    case Kind::Route:
        return Route();
    case Kind::Service:
        return Service();
    case Kind::QuotaGrant:
        return QuotaGrant();
    case Kind::VmRecord:
        return VmRecord();
    }
    return {};
}

Result<ChangeType> decodeType(const JsonValue &event)
{
    const std::string type = memberText(event, "type");
    if (type == "put") {
        return ChangeType::Put;
    }
    if (type == "delete") {
        return ChangeType::Delete;
    }
    return tl::unexpected(Error{.code = ErrorCode::OutOfRange, .path = "events.type", .detail = "must be put or delete"});
}

Result<void> decodeEvent(const JsonValue &event, Changes &changes)
{
    const Result<ChangeType> type = decodeType(event);
    if (!type) {
        return tl::unexpected(type.error());
    }
    const JsonValue *envelope = event.find("object");
    if (envelope == nullptr) {
        return tl::unexpected(Error{.code = ErrorCode::MissingField, .path = "events.object", .detail = "is required"});
    }
    const std::optional<Kind> kind = kindFromName(memberText(*envelope, "kind"));
    if (!kind) {
        return {}; // the platform also stores kinds that this system doesn't use
    }
    const Result<Object> object = decodeJson(*envelope);
    if (object) {
        changes.events.push_back(Change{.type = *type, .object = *object});
    } else if (*type == ChangeType::Put) {
        changes.undecodable.push_back(makeUndecodable(*envelope, *kind, object.error()));
    } else {
        const Object removed{.name = memberText(*envelope, "name"), .version = memberCount(*envelope, "version"), .spec = emptySpec(*kind)};
        changes.events.push_back(Change{.type = ChangeType::Delete, .object = removed});
    }
    return {};
}

} // namespace

unsigned httpStatusFor(ErrorCode code)
{
    for (const ErrorStatus &it : errorStatuses) {
        if (it.code == code) {
            return it.status;
        }
    }
    POLLENSPOKE_ASSERT(false, "add the new error code to errorStatuses");
}

HttpReply encodeProblem(const Error &error)
{
    JsonValue problem = JsonValue::makeObject();
    problem.add("type", "about:blank");
    problem.addNumber("status", httpStatusFor(error.code));
    problem.add("code", std::string(errorCodeName(error.code)));
    problem.add("path", error.path);
    problem.add("detail", error.detail);
    if (error.code == ErrorCode::VersionConflict) {
        problem.addNumber("version", static_cast<double>(error.version));
    }
    return {httpStatusFor(error.code), {{"Content-Type", "application/problem+json"}}, formatJsonText(problem)};
}

Error decodeProblem(const HttpReply &reply, bool isWrite)
{
    JsonValue body;
    std::string problem;
    if (parseJsonText(reply.body, body, problem)) {
        if (const std::optional<ErrorCode> code = codeFromName(memberText(body, "code"))) {
            return Error{.code = *code,
                         .path = memberText(body, "path"),
                         .detail = memberText(body, "detail"),
                         .version = memberCount(body, "version")};
        }
    }
    return Error{.code = codeFromStatus(reply.status, isWrite), .detail = "HTTP status " + std::to_string(reply.status)};
}

JsonValue encodeList(const ObjectList &list)
{
    JsonValue response = JsonValue::makeObject();
    response.addNumber("revision", static_cast<double>(list.position.revision()));
    addEras(response, list.eras);
    JsonValue &items = response.add("items", JsonValue::makeList());
    for (const Object &it : list.items) {
        items.append(encodeJson(it));
    }
    if (list.removed.empty()) {
        return response;
    }
    JsonValue &removed = response.add("removed", JsonValue::makeList());
    for (const RemovedObject &it : list.removed) {
        JsonValue &row = removed.append(JsonValue::makeObject());
        row.add("kind", std::string(kindName(it.kind)));
        row.add("name", it.name);
        row.addNumber("version", static_cast<double>(it.version));
    }
    return response;
}

Result<ObjectList> decodeList(const std::string &text)
{
    const Result<JsonValue> response = parse(text);
    if (!response) {
        return tl::unexpected(response.error());
    }
    const Result<const JsonValue *> rows = findListMember(*response, "items");
    if (!rows) {
        return tl::unexpected(rows.error());
    }
    const Result<StoreEras> eras = decodeEras(*response);
    if (!eras) {
        return tl::unexpected(eras.error());
    }
    ObjectList list{.position = {eras->era(), memberCount(*response, "revision")}, .eras = *eras};
    decodeRemoved(*response, list);
    for (const JsonValue &it : (*rows)->items) {
        const std::optional<Kind> kind = kindFromName(memberText(it, "kind"));
        Result<Object> object = decodeJson(it);
        if (object) {
            list.items.push_back(std::move(*object));
        } else if (kind) {
            list.undecodable.push_back(makeUndecodable(it, *kind, object.error()));
        }
    }
    return list;
}

JsonValue encodeChanges(const Changes &changes)
{
    JsonValue response = JsonValue::makeObject();
    response.addNumber("revision", static_cast<double>(changes.position.revision()));
    if (changes.position.era() > 0) {
        response.addNumber("era", static_cast<double>(changes.position.era()));
    }
    JsonValue &events = response.add("events", JsonValue::makeList());
    for (const Change &it : changes.events) {
        JsonValue &event = events.append(JsonValue::makeObject());
        event.add("type", it.type == ChangeType::Put ? "put" : "delete");
        event.add("object", encodeJson(it.object));
    }
    return response;
}

Result<Changes> decodeChanges(const std::string &text)
{
    const Result<JsonValue> response = parse(text);
    if (!response) {
        return tl::unexpected(response.error());
    }
    const Result<const JsonValue *> rows = findListMember(*response, "events");
    if (!rows) {
        return tl::unexpected(rows.error());
    }
    Changes changes{.position = {memberCount(*response, "era"), memberCount(*response, "revision")}};
    for (const JsonValue &it : (*rows)->items) {
        if (const Result<void> decoded = decodeEvent(it, changes); !decoded) {
            return tl::unexpected(decoded.error());
        }
    }
    return changes;
}

JsonValue encodeVms(const VmList &vms)
{
    JsonValue response = JsonValue::makeObject();
    response.addNumber("revision", static_cast<double>(vms.revision));
    JsonValue &rows = response.add("vms", JsonValue::makeList());
    for (const VmEntry &it : vms.vms) {
        JsonValue &row = rows.append(JsonValue::makeObject());
        row.add("name", it.name.value);
        row.add("address", toString(it.address));
        row.add("failure_domain", it.failureDomain.value);
        row.add("state", it.state == VmState::Live ? "live" : "leaving");
    }
    return response;
}

Result<VmList> decodeVms(const std::string &text)
{
    const Result<JsonValue> response = parse(text);
    if (!response) {
        return tl::unexpected(response.error());
    }
    const Result<const JsonValue *> rows = findListMember(*response, "vms");
    if (!rows) {
        return tl::unexpected(rows.error());
    }
    VmList list{.revision = memberCount(*response, "revision")};
    for (const JsonValue &it : (*rows)->items) {
        const Result<Address> address = parseAddress(memberText(it, "address"));
        const std::string state = memberText(it, "state");
        if (!address || (state != "live" && state != "leaving")) {
            return tl::unexpected(Error{.code = ErrorCode::OutOfRange, .path = "vms", .detail = "invalid address or state"});
        }
        list.vms.push_back(VmEntry{.name = {memberText(it, "name")},
                                   .address = *address,
                                   .failureDomain = {memberText(it, "failure_domain")},
                                   .state = state == "live" ? VmState::Live : VmState::Leaving});
    }
    return list;
}

} // namespace Pollenspoke
