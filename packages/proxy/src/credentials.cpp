#include "credentials.h"

#include "percent.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>

namespace Pollenspoke {

namespace {

constexpr std::string_view reservedHeaderPrefix = "Pollenspoke-";
constexpr std::string_view bearerScheme = "bearer";

std::string bearerToken(std::string_view value)
{
    const auto space = value.find_first_of(" \t");
    if (space == std::string_view::npos || !boost::algorithm::iequals(value.substr(0, space), bearerScheme)) {
        return {};
    }
    return boost::algorithm::trim_copy(std::string(value.substr(space)));
}

} // namespace

bool isSameHeader(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        const auto fold = [](char c) { return c == '_' ? '-' : (c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c); };
        return fold(a) == fold(b);
    });
}

bool isReservedHeader(std::string_view name, const WireContract &contract)
{
    return isSameHeader(name.substr(0, reservedHeaderPrefix.size()), reservedHeaderPrefix) || isSameHeader(name, contract.requestIdHeader)
        || isSameHeader(name, contract.deadlineHeader) || isSameHeader(name, contract.accountHeader)
        || isSameHeader(name, contract.instanceHeader);
}

bool isCredentialHeader(std::string_view name, const WireContract &contract)
{
    return isSameHeader(name, "Authorization") || isSameHeader(name, "Proxy-Authorization") || isSameHeader(name, contract.keyHeader);
}

tl::expected<std::string, RefusalReason> extractKey(const http::fields &fields, const WireContract &contract)
{
    std::string key;
    for (const auto &it : fields) {
        const std::string_view name = toView(it.name_string());
        const std::string value = boost::algorithm::trim_copy(std::string(toView(it.value())));
        std::string presented;
        if (isSameHeader(name, "Authorization")) {
            presented = bearerToken(value);
        } else if (isSameHeader(name, contract.keyHeader)) {
            presented = value;
        }
        if (presented.empty()) {
            continue;
        }
        if (!key.empty() && key != presented) {
            return tl::unexpected(RefusalReason::KeyAmbiguous);
        }
        key = std::move(presented);
    }
    if (key.empty()) {
        return tl::unexpected(RefusalReason::KeyMissing);
    }
    return key;
}

bool containsSecret(std::string_view text, std::string_view secret)
{
    if (secret.empty()) {
        return false;
    }
    if (text.find(secret) != std::string_view::npos) {
        return true;
    }
    std::string decoded(text.find('%') == std::string_view::npos ? std::string_view() : text);
    for (int i = 0; i < maxDecodePasses && !decoded.empty(); ++i) {
        std::string next = decodePercent(decoded);
        if (next == decoded) {
            return false;
        }
        if (next.find(secret) != std::string::npos) {
            return true;
        }
        decoded = std::move(next);
    }
    return false;
}

bool containsSecret(const std::vector<std::string> &blocks, std::string_view secret)
{
    constexpr std::size_t windowBytes = 65536;
    std::size_t longestForm = secret.size(); // each pass replaces three characters by one
    for (int i = 0; i < maxDecodePasses; ++i) {
        longestForm *= 3;
    }
    std::string window;
    for (const std::string &block : blocks) {
        for (std::size_t i = 0; i < block.size(); i += windowBytes) {
            window.erase(0, window.size() - std::min(window.size(), longestForm)); // the end of the one before
            window.append(block, i, windowBytes);
            if (containsSecret(std::string_view(window), secret)) {
                return true;
            }
        }
    }
    return false;
}

} // namespace Pollenspoke
