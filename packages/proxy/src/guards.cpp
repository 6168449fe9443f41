#include "guards.h"

#include "credentials.h"
#include "percent.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/case_conv.hpp>

namespace Pollenspoke {

namespace {

Refusal closingRefusal(RefusalReason reason)
{
    return Refusal{.reason = reason, .closesConnection = true};
}

bool isAllDigits(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

bool hasDotSegment(std::string_view path)
{
    std::size_t start = 0;
    while (start < path.size()) {
        const std::size_t end = std::min(path.find('/', start + 1), path.size());
        const std::string_view segment = path.substr(start, end - start);
        const std::string_view name = segment.substr(0, segment.find(';'));
        if (name == "/." || name == "/..") {
            return true;
        }
        start = end;
    }
    return false;
}

// Whether a target that decodes the path repeatedly could see a dot segment. A path that is still encoded after maxDecodePasses
// counts as containing one.
bool mayContainDotSegment(std::string path)
{
    for (int i = 0; i < maxDecodePasses; ++i) {
        std::replace(path.begin(), path.end(), '\\', '/');
        if (hasDotSegment(path)) {
            return true;
        }
        std::string decoded = decodePercent(path);
        if (decoded == path) {
            return false;
        }
        path = std::move(decoded);
    }
    return true;
}

std::ptrdiff_t countHeaders(const RequestHeader &header, std::string_view name)
{
    return std::count_if(header.begin(), header.end(), [name](const auto &it) { return isSameHeader(toView(it.name_string()), name); });
}

// Exactly one Transfer-Encoding header with the value "chunked", and no Content-Length.
bool isChunkedOnly(const RequestHeader &header)
{
    const auto it = header.find(http::field::transfer_encoding);
    return countHeaders(header, "Transfer-Encoding") == 1 && it != header.end() && beast::iequals(it->value(), "chunked")
        && countHeaders(header, "Content-Length") == 0;
}

bool isHostInvalid(const RequestHeader &header)
{
    const std::size_t n = header.count(http::field::host);
    return n > 1 || (n == 0 && header.version() == 11);
}

} // namespace

Refusal refusalForParseError(const SystemError &ec, const RequestHeader &header, const WireContract &contract)
{
    if (countHeaders(header, "Transfer-Encoding") != 0 && !contract.acceptsChunkedRequests) {
        return closingRefusal(RefusalReason::TransferEncoding);
    }
    if (ec == http::error::header_limit) {
        return closingRefusal(RefusalReason::HeaderTooLarge);
    }
    if (ec == http::error::body_limit) {
        return closingRefusal(RefusalReason::BodyTooLarge);
    }
    if (ec == http::error::bad_content_length || ec == http::error::multiple_content_length) {
        return closingRefusal(RefusalReason::InvalidContentLength);
    }
    if (ec == http::error::bad_transfer_encoding) {
        return closingRefusal(RefusalReason::TransferEncoding);
    }
    return closingRefusal(RefusalReason::MalformedRequest);
}

std::optional<Refusal> checkHeader(const RequestHeader &header, const WireContract &contract)
{
    if (countHeaders(header, "Transfer-Encoding") != 0 && !(contract.acceptsChunkedRequests && isChunkedOnly(header))) {
        return closingRefusal(RefusalReason::TransferEncoding);
    }
    const auto length = header.find(http::field::content_length);
    if (countHeaders(header, "Content-Length") != (length == header.end() ? 0 : 1)) {
        return closingRefusal(RefusalReason::InvalidContentLength);
    }
    if (length != header.end() && !isAllDigits(toView(length->value()))) {
        return closingRefusal(RefusalReason::InvalidContentLength);
    }
    if (header.count(http::field::upgrade) != 0) {
        return closingRefusal(RefusalReason::UnsupportedUpgrade);
    }
    static constexpr std::array allowedMethods{
        http::verb::get, http::verb::head, http::verb::options, http::verb::post, http::verb::put, http::verb::patch, http::verb::delete_};
    if (std::find(allowedMethods.begin(), allowedMethods.end(), header.method()) == allowedMethods.end()) {
        return closingRefusal(RefusalReason::MethodNotAllowed);
    }
    if ((header.version() != 10 && header.version() != 11) || isHostInvalid(header)) {
        return closingRefusal(RefusalReason::MalformedRequest);
    }
    return std::nullopt;
}

std::optional<std::string> extractPath(std::string_view requestTarget)
{
    if (!requestTarget.starts_with('/') || requestTarget.find('#') != std::string_view::npos) {
        return std::nullopt;
    }
    std::string path;
    for (const char it : decodePercent(requestTarget.substr(0, requestTarget.find('?')))) {
        const char character = it == '\\' ? '/' : it;
        if (character == '\0') {
            return std::nullopt;
        }
        if (character != '/' || !path.ends_with('/')) {
            path += character;
        }
    }
    if (mayContainDotSegment(path)) {
        return std::nullopt;
    }
    return path;
}

std::optional<std::string> extractRawPath(std::string_view requestTarget)
{
    if (!requestTarget.starts_with('/') || requestTarget.find('#') != std::string_view::npos) {
        return std::nullopt;
    }
    return std::string(requestTarget.substr(0, requestTarget.find('?')));
}

std::string extractHost(const http::fields &fields)
{
    const auto it = fields.find(http::field::host);
    std::string host(it == fields.end() ? std::string_view() : toView(it->value()));
    host.resize(std::min(host.find(':'), host.size()));
    return boost::algorithm::to_lower_copy(host);
}

bool hasConnectionToken(const http::fields &fields, std::string_view token)
{
    const auto [first, last] = fields.equal_range(http::field::connection);
    return std::any_of(first, last, [token](const auto &it) { return http::token_list(it.value()).exists(toBeast(token)); });
}

bool isHopByHopHeader(std::string_view name, const http::fields &fields)
{
    static constexpr std::array<std::string_view, 10> hopByHopHeaders{"Connection",
                                                                      "Keep-Alive",
                                                                      "Proxy-Connection",
                                                                      "Proxy-Authenticate",
                                                                      "Proxy-Authorization",
                                                                      "TE",
                                                                      "Trailer",
                                                                      "Transfer-Encoding",
                                                                      "Upgrade",
                                                                      "Expect"};
    const auto matchesName = [name](std::string_view other) { return beast::iequals(toBeast(name), toBeast(other)); };
    if (std::any_of(hopByHopHeaders.begin(), hopByHopHeaders.end(), matchesName)) {
        return true;
    }
    return hasConnectionToken(fields, name);
}

} // namespace Pollenspoke
