/// @file
/// From a request's header to the account it runs for, the route it takes and the service that does the work.
#pragma once

#include "guards.h"

#include <pollenspoke/resources.h>

namespace Pollenspoke {

/// A caller whose key is good, or that needs none. Pointers belong to `snapshot`.
struct Caller
{
    std::shared_ptr<const Snapshot> snapshot;
    AccountName accountName;                // empty on an anonymous route
    const ClientAccount *account = nullptr; // nothing on an anonymous route
    std::string secret;                     // to keep it from targets; empty on an anonymous route
};

/// A request that may run. Pointers belong to `caller.snapshot`.
struct ResolvedRequest
{
    Caller caller;
    RouteName routeName;
    const Route *route = nullptr;
    ServiceName serviceName;
    const Service *service = nullptr;
    bool isIdempotent = false;

    std::uint32_t rank() const { return caller.account != nullptr ? caller.account->priority.value_or(route->priority) : route->priority; }
};

tl::expected<Caller, Refusal>
resolveCaller(std::shared_ptr<const Snapshot> snapshot, const http::fields &fields, const WireContract &contract);

/// `requestId` decides which service of a divided route takes the request: the same one each time.
tl::expected<ResolvedRequest, Refusal> resolveRequest(std::shared_ptr<const Snapshot> snapshot,
                                                      const RequestHeader &header,
                                                      const std::string &requestId,
                                                      const WireContract &contract);

} // namespace Pollenspoke
