/// @file
/// Determines the account, route and service of a request from its header.
#pragma once

#include "guards.h"

#include <pollenspoke/resources.h>

namespace Pollenspoke {

/// An authenticated or anonymous caller. Pointers refer to objects owned by `snapshot`.
struct Caller
{
    std::shared_ptr<const Snapshot> snapshot;
    AccountName accountName;                // empty on an anonymous route
    const ClientAccount *account = nullptr; // null on an anonymous route
    std::string secret;                     // API key, to be removed from forwarded requests; empty on an anonymous route
};

/// An authorized request and its route. Pointers refer to objects owned by `caller.snapshot`.
struct ResolvedRequest
{
    Caller caller;
    RouteName routeName;
    const Route *route = nullptr;
    ServiceName serviceName;
    const Service *service = nullptr;
    bool isIdempotent = false;

    std::uint32_t effectivePriority() const
    {
        return caller.account != nullptr ? caller.account->priority.value_or(route->priority) : route->priority;
    }
};

tl::expected<Caller, Refusal>
resolveCaller(std::shared_ptr<const Snapshot> snapshot, const http::fields &fields, const WireContract &contract);

/// On a route with a traffic split, `requestId` determines the service: the same id always selects the same one.
tl::expected<ResolvedRequest, Refusal> resolveRequest(std::shared_ptr<const Snapshot> snapshot,
                                                      const RequestHeader &header,
                                                      const std::string &requestId,
                                                      const WireContract &contract);

} // namespace Pollenspoke
