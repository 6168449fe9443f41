// The object protocol's client.
#include "wire.h"

#include <algorithm>

namespace Pollenspoke {

namespace {

std::string objectPath(Kind kind, const std::string &name)
{
    return "/v1/objects/" + std::string(kindName(kind)) + "/" + name;
}

HttpHeader matchVersion(std::uint64_t version)
{
    return {"If-Match", "\"" + std::to_string(version) + "\""};
}

HttpHeader conditionHeader(const WriteCondition &condition)
{
    if (const auto *wanted = std::get_if<MustHaveVersion>(&condition)) {
        return matchVersion(wanted->version);
    }
    return {"If-None-Match", "*"};
}

bool isWrite(const HttpRequest &request)
{
    return request.method != "GET";
}

// An exchange as a reply, or as the failure that it means.
Result<HttpReply> judge(const HttpRequest &request, const HttpExchange &exchange)
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

// A write that was answered with 2xx is done, even if its body can't be read.
Result<Object> decodeWritten(const HttpReply &reply)
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
    return judge(request, m_client.send(request, timeoutMs));
}

Result<Object> HttpObjectStore::get(Kind kind, const std::string &name)
{
    const Result<HttpReply> reply = call({"GET", objectPath(kind, name), "", {}, ""}, m_options.timeoutMs);
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    return parseJson(reply->body);
}

Result<ObjectList> HttpObjectStore::listOnce(const std::vector<Kind> &kinds) const
{
    ObjectList whole;
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
        whole.revision = isFirst ? part->revision : std::min(whole.revision, part->revision);
        std::move(part->items.begin(), part->items.end(), std::back_inserter(whole.items));
        std::move(part->unreadable.begin(), part->unreadable.end(), std::back_inserter(whole.unreadable));
    }
    return whole;
}

Result<ObjectList> HttpObjectStore::list(const std::vector<Kind> &kinds)
{
    std::vector<Kind> wanted = kinds;
    for (std::size_t i = 0; kinds.empty() && i < kindCount; ++i) {
        wanted.push_back(static_cast<Kind>(i));
    }
    // Between two kinds' calls the store may move on. The lowest revision is still true: a watch from it gives the rest.
    return listOnce(wanted);
}

Result<Object> HttpObjectStore::put(const Object &object, const WriteCondition &condition)
{
    const std::vector<HttpHeader> headers{conditionHeader(condition), {"Content-Type", "application/json"}};
    const Result<HttpReply> reply = call({"PUT", objectPath(object.kind(), object.name), "", headers, toJson(object)}, m_options.timeoutMs);
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    return decodeWritten(*reply);
}

Result<Object> HttpObjectStore::putStatus(Kind kind, const std::string &name, const std::string &statusJson)
{
    const std::vector<HttpHeader> headers{{"Content-Type", "application/json"}};
    const Result<HttpReply> reply = call({"PUT", objectPath(kind, name) + "/status", "", headers, statusJson}, m_options.timeoutMs);
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    return decodeWritten(*reply);
}

Result<void> HttpObjectStore::remove(Kind kind, const std::string &name, std::uint64_t version)
{
    const Result<HttpReply> reply = call({"DELETE", objectPath(kind, name), "", {matchVersion(version)}, ""}, m_options.timeoutMs);
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    return {};
}

Result<Changes> HttpObjectStore::watch(std::uint64_t since, const std::vector<Kind> &kinds, Duration wait)
{
    std::string query = "since=" + std::to_string(since) + "&wait_ms=" + std::to_string(toMilliseconds(wait));
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
    const Result<HttpReply> reply = judge(request, m_client.send(request, m_options.timeoutMs));
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    return decodeVms(reply->body);
}

} // namespace Pollenspoke
