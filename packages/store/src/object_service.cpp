// Server side of the object protocol over HTTP.
#include "wire.h"

#include <algorithm>
#include <charconv>
#include <regex>
#include <sstream>

namespace Pollenspoke {

namespace {

constexpr std::uint64_t maxWatchWaitMs = 10000; // bounds how long a graceful shutdown waits for a watch
constexpr const char *pathPrefix = "/v1/";

std::vector<std::string> splitText(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string it; std::getline(in, it, separator);) {
        if (!it.empty()) {
            parts.push_back(it);
        }
    }
    return parts;
}

std::optional<std::uint64_t> parseUnsigned(const std::string &text)
{
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::string queryValue(const std::string &query, const std::string &name)
{
    for (const std::string &it : splitText(query, '&')) {
        if (it.starts_with(name + "=")) {
            return std::regex_replace(it.substr(name.size() + 1), std::regex("%2[Cc]"), ",");
        }
    }
    return {};
}

HttpReply errorReply(ErrorCode code, const std::string &path, const std::string &detail)
{
    return encodeProblem(Error{.code = code, .path = path, .detail = detail});
}

HttpReply jsonReply(const JsonValue &value)
{
    return {200, {{"Content-Type", "application/json"}}, formatJsonText(value)};
}

HttpReply positionReply(const JsonValue &value, const StorePosition &position)
{
    HttpReply reply = jsonReply(value);
    if (position.era() > 0) {
        reply.headers.emplace_back(eraHeader, std::to_string(position.era()));
    }
    return reply;
}

HttpReply objectReply(const Result<Object> &object)
{
    if (!object) {
        return encodeProblem(object.error());
    }
    HttpReply reply = jsonReply(encodeJson(*object));
    reply.headers.emplace_back("ETag", "\"" + std::to_string(object->version) + "\"");
    return reply;
}

HttpReply objectReply(const Result<StoredObject> &stored)
{
    if (!stored) {
        return encodeProblem(stored.error());
    }
    HttpReply reply = objectReply(Result<Object>(stored->object));
    if (stored->era > 0) {
        reply.headers.emplace_back(eraHeader, std::to_string(stored->era));
        reply.headers.emplace_back(eraStartHeader, std::to_string(stored->eraStart));
    }
    return reply;
}

// Parses the version from a header such as `If-Match: "7"`.
std::optional<std::uint64_t> ifMatchVersion(const HttpRequest &request)
{
    const std::string text = findHeader(request.headers, "If-Match");
    if (text.size() < 3 || text.front() != '"' || text.back() != '"') {
        return std::nullopt;
    }
    return parseUnsigned(text.substr(1, text.size() - 2));
}

// Parses the era in which the required version was read; 0 if the client doesn't tell.
Result<std::uint64_t> parseRequiredEra(const HttpRequest &request)
{
    const std::string text = findHeader(request.headers, eraHeader);
    const std::optional<std::uint64_t> era = text.empty() ? 0 : parseUnsigned(text);
    if (!era) {
        return tl::unexpected(Error{.code = ErrorCode::OutOfRange, .path = eraHeader, .detail = "must be an era of the store"});
    }
    return *era;
}

Result<WriteCondition> parseCondition(const HttpRequest &request)
{
    const bool hasMatch = !findHeader(request.headers, "If-Match").empty();
    const std::string none = findHeader(request.headers, "If-None-Match");
    if (hasMatch == !none.empty()) {
        return tl::unexpected(Error{
            .code = ErrorCode::MissingField, .path = "If-Match", .detail = "send either If-Match: \"<version>\" or If-None-Match: *"});
    }
    if (none == "*") {
        return WriteCondition(MustNotExist{});
    }
    const std::optional<std::uint64_t> version = ifMatchVersion(request);
    if (!version || *version == 0) {
        const std::string path = hasMatch ? "If-Match" : "If-None-Match";
        return tl::unexpected(
            Error{.code = ErrorCode::OutOfRange, .path = path, .detail = hasMatch ? "must be a quoted version" : "must be *"});
    }
    const Result<std::uint64_t> era = parseRequiredEra(request);
    if (!era) {
        return tl::unexpected(era.error());
    }
    return WriteCondition(MustHaveVersion{.version = *version, .era = *era});
}

Result<std::vector<Kind>> parseKinds(const std::string &text)
{
    std::vector<Kind> kinds;
    for (const std::string &it : splitText(text, ',')) {
        const std::optional<Kind> kind = kindFromName(it);
        if (!kind) {
            return tl::unexpected(Error{.code = ErrorCode::OutOfRange, .path = "kinds", .detail = "unknown kind: " + it});
        }
        kinds.push_back(*kind);
    }
    return kinds;
}

} // namespace

ObjectService::ObjectService(ObjectStore &operators, ObjectStore &system, VmDirectory &vms)
    : m_operators(operators)
    , m_system(system)
    , m_vms(vms)
{
}

bool ObjectService::handlesPath(const HttpRequest &request)
{
    return request.path.starts_with(pathPrefix);
}

ObjectStore &ObjectService::storeFor(const HttpRequest &request)
{
    return findHeader(request.headers, writerHeader) == "system" ? m_system : m_operators;
}

HttpReply ObjectService::handle(const HttpRequest &request)
{
    const std::vector<std::string> parts = splitText(request.path.substr(std::string(pathPrefix).size() - 1), '/');
    if (parts.size() == 1 && parts[0] == "vms" && request.method == "GET") {
        const Result<VmList> list = m_vms.vms();
        return list ? jsonReply(encodeVms(*list)) : encodeProblem(list.error());
    }
    if (parts.empty() || parts[0] != "objects" || parts.size() > 4) {
        return errorReply(ErrorCode::NotFound, request.path, "no such resource");
    }
    return handleObjects(request, parts);
}

HttpReply ObjectService::handleObjects(const HttpRequest &request, const std::vector<std::string> &parts)
{
    const bool isGet = request.method == "GET";
    if (parts.size() == 1 && isGet) {
        return handleWatch(request);
    }
    const std::optional<Kind> kind = parts.size() < 2 ? std::nullopt : kindFromName(parts[1]);
    if (!kind) {
        return errorReply(ErrorCode::NotFound, request.path, "unknown kind");
    }
    if (parts.size() == 2 && isGet) {
        const Result<ObjectList> list = m_operators.list({*kind});
        return list ? positionReply(encodeList(*list), list->position) : encodeProblem(list.error());
    }
    if (parts.size() == 3 && isGet) {
        return objectReply(m_operators.get(*kind, parts[2]));
    }
    if (parts.size() == 3 && request.method == "PUT") {
        return handlePut(request, *kind, parts[2]);
    }
    if (parts.size() == 3 && request.method == "DELETE") {
        return handleDelete(request, *kind, parts[2]);
    }
    if (parts.size() == 4 && parts[3] == "status" && request.method == "PUT") {
        return handleStatus(request, *kind, parts[2]);
    }
    return errorReply(ErrorCode::NotFound, request.path, "method not supported on this resource: " + request.method);
}

HttpReply ObjectService::handleWatch(const HttpRequest &request)
{
    const std::optional<std::uint64_t> since = parseUnsigned(queryValue(request.query, "since"));
    if (!since) {
        return errorReply(ErrorCode::OutOfRange, "since", "must be a revision");
    }
    const std::string waitText = queryValue(request.query, "wait_ms");
    const std::optional<std::uint64_t> wait = waitText.empty() ? 0 : parseUnsigned(waitText);
    if (!wait) {
        return errorReply(ErrorCode::OutOfRange, "wait_ms", "must be an integer number of ms");
    }
    const Result<std::vector<Kind>> kinds = parseKinds(queryValue(request.query, "kinds"));
    if (!kinds) {
        return encodeProblem(kinds.error());
    }
    const std::string eraText = queryValue(request.query, "era");
    const std::optional<std::uint64_t> era = eraText.empty() ? 0 : parseUnsigned(eraText);
    if (!era) {
        return errorReply(ErrorCode::OutOfRange, "era", "must be an era of the store");
    }
    const auto boundedWait = std::chrono::milliseconds(std::min(*wait, maxWatchWaitMs));
    const Result<Changes> changes = m_operators.watch({*era, *since}, *kinds, boundedWait);
    return changes ? positionReply(encodeChanges(*changes), changes->position) : encodeProblem(changes.error());
}

HttpReply ObjectService::handlePut(const HttpRequest &request, Kind kind, const std::string &name)
{
    const Result<WriteCondition> condition = parseCondition(request);
    if (!condition) {
        return encodeProblem(condition.error());
    }
    const Result<Object> object = parseJson(request.body);
    if (!object) {
        return encodeProblem(object.error());
    }
    if (object->kind() != kind || object->name != name) {
        return errorReply(ErrorCode::OutOfRange, object->kind() == kind ? "name" : "kind", "must match the URL");
    }
    return objectReply(storeFor(request).put(*object, *condition));
}

HttpReply ObjectService::handleStatus(const HttpRequest &request, Kind kind, const std::string &name)
{
    JsonValue status;
    std::string problem;
    if (!parseJsonText(request.body, status, problem) || status.type != JsonValue::Type::Object) {
        return errorReply(ErrorCode::InvalidSyntax, "status", problem.empty() ? "must be an object" : problem);
    }
    return objectReply(storeFor(request).putStatus(kind, name, formatJsonText(status)));
}

HttpReply ObjectService::handleDelete(const HttpRequest &request, Kind kind, const std::string &name)
{
    const std::optional<std::uint64_t> version = ifMatchVersion(request);
    if (!version) {
        return errorReply(ErrorCode::MissingField, "If-Match", "must be a quoted version");
    }
    const Result<std::uint64_t> era = parseRequiredEra(request);
    if (!era) {
        return encodeProblem(era.error());
    }
    const Result<void> removed = storeFor(request).remove(kind, name, {.version = *version, .era = *era});
    return removed ? jsonReply(JsonValue::makeObject()) : encodeProblem(removed.error());
}

} // namespace Pollenspoke
