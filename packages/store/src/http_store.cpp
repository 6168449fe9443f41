// Client side of the object protocol over HTTP.
#include "wire.h"

#include <algorithm>
#include <charconv>

namespace Pollenspoke {

namespace {

std::string objectPath(Kind kind, const std::string &name)
{
    return "/v1/objects/" + std::string(kindName(kind)) + "/" + name;
}

std::vector<HttpHeader> conditionHeaders(const WriteCondition &condition)
{
    const auto *required = std::get_if<MustHaveVersion>(&condition);
    if (required == nullptr) {
        return {{"If-None-Match", "*"}};
    }
    std::vector<HttpHeader> headers{{"If-Match", "\"" + std::to_string(required->version) + "\""}};
    if (required->era != 0) {
        headers.emplace_back(eraHeader, std::to_string(required->era));
    }
    return headers;
}

std::uint64_t numberHeader(const HttpReply &reply, const std::string &name)
{
    const std::string text = findHeader(reply.headers, name);
    std::uint64_t number = 0; // stays 0 if there is no such header
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

bool isWrite(const HttpRequest &request)
{
    return request.method != "GET";
}

// Converts an exchange into its reply, or into an error if it failed or the status isn't 2xx.
Result<HttpReply> toResult(const HttpRequest &request, const HttpExchange &exchange)
{
    if (exchange.outcome == HttpOutcome::NotSent) {
        return tl::unexpected(Error{.code = ErrorCode::Unavailable, .path = request.path, .detail = exchange.problem});
    }
    if (exchange.outcome == HttpOutcome::AnswerLost) {
        const ErrorCode code = isWrite(request) ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable;
        return tl::unexpected(Error{.code = code, .path = request.path, .detail = exchange.problem});
    }
    if (exchange.reply.status < 200 || exchange.reply.status > 299) {
        return tl::unexpected(decodeProblem(exchange.reply, isWrite(request)));
    }
    return exchange.reply;
}

// A 2xx status means that the write took effect, so a body that can't be decoded gives OutcomeUnknown and not a decoding error.
Result<Object> decodeWriteReply(const HttpReply &reply)
{
    Result<Object> object = parseJson(reply.body);
    if (!object) {
        return tl::unexpected(Error{.code = ErrorCode::OutcomeUnknown, .path = object.error().path, .detail = object.error().detail});
    }
    return object;
}

std::uint32_t toMilliseconds(Duration duration)
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string joinKinds(const std::vector<Kind> &kinds)
{
    std::string text;
    for (const Kind it : kinds) {
        text += text.empty() ? "" : ",";
        text += kindName(it);
    }
    return text;
}

} // namespace

HttpObjectStore::HttpObjectStore(HttpStoreOptions options)
    : m_options(std::move(options))
    , m_client(HttpEndpoint{m_options.address.ip, m_options.address.port})
{
}

Result<HttpReply> HttpObjectStore::call(HttpRequest request, std::uint32_t timeoutMs) const
{
    if (m_options.isSystem) {
        request.headers.emplace_back(writerHeader, "system");
    }
    return toResult(request, m_client.send(request, timeoutMs));
}

Result<StoredObject> HttpObjectStore::get(Kind kind, const std::string &name)
{
    const Result<HttpReply> reply = call({"GET", objectPath(kind, name), "", {}, ""}, m_options.timeoutMs);
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    const Result<Object> object = parseJson(reply->body);
    if (!object) {
        return tl::unexpected(object.error());
    }
    return StoredObject{.object = *object, .era = numberHeader(*reply, eraHeader), .eraStart = numberHeader(*reply, eraStartHeader)};
}

Result<ObjectList> HttpObjectStore::listKinds(const std::vector<Kind> &kinds) const
{
    ObjectList merged;
    for (const Kind it : kinds) {
        const Result<HttpReply> reply = call({"GET", "/v1/objects/" + std::string(kindName(it)), "", {}, ""}, m_options.timeoutMs);
        if (!reply) {
            return tl::unexpected(reply.error());
        }
        Result<ObjectList> part = decodeList(reply->body);
        if (!part) {
            return part;
        }
        const bool isFirst = it == kinds.front();
        if (!isFirst && part->eras != merged.eras) {
            return tl::unexpected(Error{.code = ErrorCode::TooOld, .path = "eras", .detail = "the store was restored during the list"});
        }
        merged.position = isFirst ? part->position : std::min(merged.position, part->position);
        merged.eras = part->eras;
        std::move(part->items.begin(), part->items.end(), std::back_inserter(merged.items));
        std::move(part->undecodable.begin(), part->undecodable.end(), std::back_inserter(merged.undecodable));
        std::move(part->removed.begin(), part->removed.end(), std::back_inserter(merged.removed));
    }
    return merged;
}

Result<ObjectList> HttpObjectStore::list(const std::vector<Kind> &kinds)
{
    std::vector<Kind> required = kinds;
    for (std::size_t i = 0; kinds.empty() && i < kindCount; ++i) {
        required.push_back(static_cast<Kind>(i));
    }
    // The store may change between the calls. The result has the lowest revision of them, so that a watch from it returns all
    // changes that a list misses.
    Result<ObjectList> list = listKinds(required);
    if (!list && list.error().code == ErrorCode::TooOld) {
        list = listKinds(required);
    }
    return list;
}

Result<Object> HttpObjectStore::put(const Object &object, const WriteCondition &condition)
{
    std::vector<HttpHeader> headers = conditionHeaders(condition);
    headers.emplace_back("Content-Type", "application/json");
    const Result<HttpReply> reply = call({"PUT", objectPath(object.kind(), object.name), "", headers, toJson(object)}, m_options.timeoutMs);
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    return decodeWriteReply(*reply);
}

Result<Object> HttpObjectStore::putStatus(Kind kind, const std::string &name, const std::string &statusJson)
{
    const std::vector<HttpHeader> headers{{"Content-Type", "application/json"}};
    const Result<HttpReply> reply = call({"PUT", objectPath(kind, name) + "/status", "", headers, statusJson}, m_options.timeoutMs);
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    return decodeWriteReply(*reply);
}

Result<void> HttpObjectStore::remove(Kind kind, const std::string &name, const MustHaveVersion &condition)
{
    const Result<HttpReply> reply = call({"DELETE", objectPath(kind, name), "", conditionHeaders(condition), ""}, m_options.timeoutMs);
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    return {};
}

Result<Changes> HttpObjectStore::watch(const StorePosition &since, const std::vector<Kind> &kinds, Duration wait)
{
    std::string query = "since=" + std::to_string(since.revision()) + "&wait_ms=" + std::to_string(toMilliseconds(wait));
    query += since.era() == 0 ? "" : "&era=" + std::to_string(since.era());
    query += kinds.empty() ? "" : "&kinds=" + joinKinds(kinds);
    const Result<HttpReply> reply = call({"GET", "/v1/objects", query, {}, ""}, m_options.timeoutMs + toMilliseconds(wait));
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    return decodeChanges(reply->body);
}

HttpVmDirectory::HttpVmDirectory(HttpStoreOptions options)
    : m_options(std::move(options))
    , m_client(HttpEndpoint{m_options.address.ip, m_options.address.port})
{
}

Result<VmList> HttpVmDirectory::vms()
{
    const HttpRequest request{"GET", "/v1/vms", "", {}, ""};
    const Result<HttpReply> reply = toResult(request, m_client.send(request, m_options.timeoutMs));
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    return decodeVms(reply->body);
}

} // namespace Pollenspoke
