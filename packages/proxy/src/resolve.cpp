#include "resolve.h"

#include "credentials.h"

#include <algorithm>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

namespace {

tl::unexpected<Refusal> refuse(RefusalReason reason)
{
    return tl::unexpected(Refusal{.reason = reason});
}

const RouteMatch *matchMethod(const std::vector<RouteMatch> &matches, std::string_view method)
{
    const RouteMatch *best = nullptr;
    for (const RouteMatch &it : matches) {
        const std::vector<std::string> &methods = it.route->methods;
        if (methods.empty()) {
            best = best == nullptr ? &it : best;
        } else if (std::find(methods.begin(), methods.end(), method) != methods.end()) {
            best = &it;
        }
    }
    return best;
}

// Removes path parameters (";...") from each segment, as some targets do, and slashes that are repeated as a result.
std::string withoutPathParameters(std::string_view path)
{
    std::string bare;
    bool isParameter = false;
    for (const char it : path) {
        isParameter = it != '/' && (isParameter || it == ';');
        const bool isRepeatedSlash = it == '/' && bare.ends_with('/');
        if (!isParameter && !isRepeatedSlash) {
            bare += it;
        }
    }
    return bare;
}

// Whether the path selects the same routes with and without path parameters. Otherwise proxy and target could
// disagree about the route.
bool matchesSameRoutes(const Snapshot &snapshot, const std::string &host, const std::string &path, const std::vector<RouteMatch> &matches)
{
    if (path.find(';') == std::string::npos) {
        return true;
    }
    const std::vector<RouteMatch> others = snapshot.findRoutes(host, withoutPathParameters(path));
    return std::equal(matches.begin(), matches.end(), others.begin(), others.end(), [](const RouteMatch &left, const RouteMatch &right) {
        return left.name == right.name;
    });
}

bool isAccountAllowed(const Route &route, const AccountName &account)
{
    return route.accounts.empty() || std::find(route.accounts.begin(), route.accounts.end(), account) != route.accounts.end();
}

} // namespace

tl::expected<Caller, Refusal>
resolveCaller(std::shared_ptr<const Snapshot> snapshot, const http::fields &fields, const WireContract &contract)
{
    if (!snapshot) {
        return refuse(RefusalReason::ConfigurationStale);
    }
    tl::expected<std::string, RefusalReason> secret = extractKey(fields, contract);
    if (!secret) {
        return refuse(secret.error());
    }
    const std::optional<KeyMatch> match = snapshot->findKey(sha256Hex(*secret));
    if (!match) {
        return refuse(RefusalReason::KeyUnknown);
    }
    if (match->key->state == KeyState::Withdrawn) {
        return refuse(RefusalReason::KeyWithdrawn);
    }
    const AccountName &name = match->key->account;
    const ClientAccount *account = snapshot->findAccount(name);
    if (account == nullptr || account->state == AccountState::Suspended) {
        return refuse(RefusalReason::AccountSuspended);
    }
    return Caller{.snapshot = std::move(snapshot), .accountName = name, .account = account, .secret = std::move(*secret)};
}

tl::expected<ResolvedRequest, Refusal> resolveRequest(std::shared_ptr<const Snapshot> snapshot,
                                                      const RequestHeader &header,
                                                      const std::string &requestId,
                                                      const WireContract &contract)
{
    if (!snapshot) {
        return refuse(RefusalReason::ConfigurationStale);
    }
    const std::string_view requestTarget = toView(header.target());
    const bool isMatchedAsSent = contract.pathMatching == PathMatching::AsSent;
    const std::optional<std::string> path = isMatchedAsSent ? extractRawPath(requestTarget) : extractPath(requestTarget);
    const std::string host = extractHost(header);
    const std::vector<RouteMatch> matches = path ? snapshot->findRoutes(host, *path) : std::vector<RouteMatch>();
    const std::string_view method = toView(header.method_string());
    const RouteMatch *match = matchMethod(matches, method);
    const bool isAnonymous = match != nullptr && match->route->isAnonymous;
    tl::expected<Caller, Refusal> caller = isAnonymous ? Caller{.snapshot = snapshot} : resolveCaller(snapshot, header, contract);
    if (!caller) {
        return tl::unexpected(caller.error());
    }
    if (containsSecret(requestTarget, caller->secret)) {
        return refuse(RefusalReason::KeyInContent);
    }
    if (!path || (!isMatchedAsSent && !matchesSameRoutes(*snapshot, host, *path, matches))) {
        return refuse(RefusalReason::MalformedRequest);
    }
    if (matches.empty()) {
        return refuse(RefusalReason::RouteNotFound);
    }
    if (match == nullptr) {
        return refuse(RefusalReason::MethodNotAllowed);
    }
    if (match->route->state == RouteState::Closed) {
        return refuse(RefusalReason::RouteClosed);
    }
    if (!isAnonymous && !isAccountAllowed(*match->route, caller->accountName)) {
        return refuse(RefusalReason::AccountNotAllowed);
    }
    ResolvedRequest resolved;
    resolved.routeName = match->name;
    resolved.route = match->route;
    resolved.serviceName = chooseService(*match->route, requestId);
    resolved.service = snapshot->findService(resolved.serviceName);
    resolved.isIdempotent = match->route->idempotent.value_or(isIdempotentMethod(method));
    resolved.caller = std::move(*caller);
    if (resolved.service == nullptr) {
        return refuse(RefusalReason::NoTarget);
    }
    return resolved;
}

} // namespace Pollenspoke
