#include <pollenspoke/base.h>

#include <array>

namespace Pollenspoke {

namespace {

struct RefusalRow
{
    RefusalReason reason;
    unsigned status;
    std::string_view name;
};

constexpr std::array<RefusalRow, refusalReasonCount> refusalRows{{
    {RefusalReason::MalformedRequest, 400, "malformed_request"},
    {RefusalReason::InvalidContentLength, 400, "invalid_content_length"},
    {RefusalReason::TransferEncoding, 411, "transfer_encoding"},
    {RefusalReason::HeaderTooLarge, 431, "header_too_large"},
    {RefusalReason::BodyTooLarge, 413, "body_too_large"},
    {RefusalReason::RequestTimeout, 408, "request_timeout"},
    {RefusalReason::MethodNotAllowed, 405, "method_not_allowed"},
    {RefusalReason::UnsupportedUpgrade, 400, "unsupported_upgrade"},
    {RefusalReason::KeyMissing, 401, "key_missing"},
    {RefusalReason::KeyUnknown, 401, "key_unknown"},
    {RefusalReason::KeyWithdrawn, 401, "key_withdrawn"},
    {RefusalReason::KeyAmbiguous, 400, "key_ambiguous"},
    {RefusalReason::KeyInContent, 400, "key_in_content"},
    {RefusalReason::AccountSuspended, 403, "account_suspended"},
    {RefusalReason::AccountNotAllowed, 403, "account_not_allowed"},
    {RefusalReason::RouteNotFound, 404, "route_not_found"},
    {RefusalReason::RouteClosed, 503, "route_closed"},
    {RefusalReason::RateLimited, 429, "rate_limited"},
    {RefusalReason::BodyMemoryFull, 503, "body_memory_full"},
    {RefusalReason::QueueFull, 503, "queue_full"},
    {RefusalReason::NoTarget, 503, "no_target"},
    {RefusalReason::TargetUnreachable, 503, "target_unreachable"},
    {RefusalReason::TargetDeclined, 503, "target_declined"},
    {RefusalReason::AnswerTimeout, 504, "answer_timeout"},
    {RefusalReason::AnswerIncomplete, 502, "answer_incomplete"},
    {RefusalReason::AnswerMismatched, 502, "answer_mismatched"},
    {RefusalReason::DeadlineExceeded, 504, "deadline_exceeded"},
    {RefusalReason::ConfigurationStale, 503, "configuration_stale"},
    {RefusalReason::ShuttingDown, 503, "shutting_down"},
    {RefusalReason::StopTimeout, 504, "stop_timeout"},
    {RefusalReason::TooManyConnections, 503, "too_many_connections"},
    {RefusalReason::VmImpaired, 503, "vm_impaired"},
    {RefusalReason::CallerGone, 0, "caller_gone"},
}};

const RefusalRow &rowOf(RefusalReason reason)
{
    const auto &row = refusalRows.at(static_cast<std::size_t>(reason));
    POLLENSPOKE_ASSERT(row.reason == reason, "keep refusalRows in the order of RefusalReason");
    return row;
}

} // namespace

std::string_view refusalReasonName(RefusalReason reason)
{
    return rowOf(reason).name;
}

unsigned refusalStatus(RefusalReason reason)
{
    return rowOf(reason).status;
}

std::string_view retryReasonName(RetryReason reason)
{
    switch (reason) {
    case RetryReason::ConnectFailed:
        return "connect_failed";
    case RetryReason::StaleConnection:
        return "stale_connection";
    case RetryReason::AttemptTimeout:
        return "attempt_timeout";
    case RetryReason::AnswerIncomplete:
        return "answer_incomplete";
    case RetryReason::AnswerMismatched:
        return "answer_mismatched";
    case RetryReason::NotRunAnswer:
        return "not_run_answer";
    case RetryReason::ServerError:
        return "server_error";
    case RetryReason::TargetClosed:
        return "target_closed";
    }
    return "unnamed";
}

std::string_view hedgeHoldbackName(HedgeHoldback reason)
{
    switch (reason) {
    case HedgeHoldback::LimitReached:
        return "limit_reached";
    case HedgeHoldback::RetryBudget:
        return "retry_budget";
    case HedgeHoldback::NoCapacity:
        return "no_capacity";
    case HedgeHoldback::ServiceSlow:
        return "service_slow";
    case HedgeHoldback::NoTarget:
        return "no_target";
    case HedgeHoldback::Attempts:
        return "attempts";
    case HedgeHoldback::Answering:
        return "answering";
    case HedgeHoldback::Stopping:
        return "stopping";
    case HedgeHoldback::Withdrawn:
        return "withdrawn";
    case HedgeHoldback::Unreachable:
        return "unreachable";
    }
    return "unnamed";
}

} // namespace Pollenspoke
