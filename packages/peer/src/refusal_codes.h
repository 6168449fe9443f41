/// @file
/// Conversion between refusals and gRPC status codes.
#pragma once

#include <grpcpp/support/status.h>
#include <pollenspoke/peer.h>

namespace Pollenspoke {

grpc::Status toStatus(const PeerFailure &failure);
std::optional<PeerRefusal> refusalFromStatusCode(grpc::StatusCode code); // nothing: the code does not stand for a refusal

} // namespace Pollenspoke
