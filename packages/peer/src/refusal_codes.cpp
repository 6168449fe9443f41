#include "refusal_codes.h"

#include <array>

namespace Pollenspoke {

namespace {

struct RefusalRow
{
    PeerRefusal refusal;
    grpc::StatusCode code;
    std::string_view name;
};

// gRPC itself never generates these codes, so they prove that the peer's handler or server refused the call.
constexpr std::array<RefusalRow, peerRefusalCount> refusalRows{{
    {PeerRefusal::Busy, grpc::StatusCode::ABORTED, "busy"},
    {PeerRefusal::StaleIncarnation, grpc::StatusCode::FAILED_PRECONDITION, "stale_incarnation"},
    {PeerRefusal::TooLarge, grpc::StatusCode::OUT_OF_RANGE, "too_large"},
    {PeerRefusal::InvalidMessage, grpc::StatusCode::INVALID_ARGUMENT, "invalid_message"},
    {PeerRefusal::NotReady, grpc::StatusCode::NOT_FOUND, "not_ready"},
}};

} // namespace

std::string_view peerRefusalName(PeerRefusal refusal)
{
    return refusalRows[static_cast<std::size_t>(refusal)].name;
}

tl::unexpected<PeerFailure> refuseCall(PeerRefusal refusal, std::string detail)
{
    return tl::unexpected(PeerFailure{.kind = PeerFailureKind::Refused, .refusal = refusal, .detail = std::move(detail)});
}

grpc::Status toStatus(const PeerFailure &failure)
{
    POLLENSPOKE_ASSERT(failure.kind == PeerFailureKind::Refused, "handlers must create failures with refuseCall()");
    return {refusalRows[static_cast<std::size_t>(failure.refusal)].code, failure.detail};
}

std::optional<PeerRefusal> refusalFromStatusCode(grpc::StatusCode code)
{
    for (const RefusalRow &it : refusalRows) {
        if (it.code == code) {
            return it.refusal;
        }
    }
    return std::nullopt;
}

} // namespace Pollenspoke
