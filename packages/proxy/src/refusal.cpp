#include "refusal.h"

#include <pollenspoke/web.h>

namespace Pollenspoke {

namespace {

std::string problemBody(const Refusal &refusal, const std::string &requestId)
{
    const std::string reason(refusalReasonName(refusal.reason));
    JsonValue problem = JsonValue::makeObject();
    problem.add("type", "urn:pollenspoke:refusal:" + reason);
    problem.addNumber("status", refusalStatus(refusal.reason));
    problem.add("reason", reason);
    problem.add("run", refusal.run == RunState::NotRun ? "not-run" : "unknown");
    if (refusal.capacityIn) {
        problem.add("capacity", "not before the deadline");
        problem.addNumber("capacity_in_ms", static_cast<double>(std::chrono::ceil<std::chrono::milliseconds>(*refusal.capacityIn).count()));
    }
    if (!requestId.empty()) {
        problem.add("request_id", requestId);
    }
    return formatJsonText(problem);
}

std::string formatRetryAfter(Duration wait, bool isFractional)
{
    if (!isFractional) {
        return std::to_string(std::max<std::int64_t>(std::chrono::ceil<std::chrono::seconds>(wait).count(), 1));
    }
    const auto ms = std::max<std::int64_t>(std::chrono::ceil<std::chrono::milliseconds>(wait).count(), 1);
    const std::string digits = std::to_string(1000 + ms % 1000).substr(1);
    return std::to_string(ms / 1000) + "." + digits;
}

} // namespace

http::response<http::string_body> makeRefusalResponse(const Refusal &refusal, const std::string &requestId, const WireContract &contract)
{
    http::response<http::string_body> response;
    response.version(11);
    response.result(refusalStatus(refusal.reason));
    response.set(http::field::content_type, "application/problem+json");
    response.set(http::field::cache_control, "no-store");
    response.set(toBeast(contract.runHeader), refusal.run == RunState::NotRun ? "not-run" : "unknown");
    if (refusal.retryAfter) {
        response.set(http::field::retry_after, formatRetryAfter(*refusal.retryAfter, contract.hasFractionalRetryAfter));
    }
    if (refusalStatus(refusal.reason) == 401) {
        response.set(http::field::www_authenticate, "Bearer");
    }
    response.body() = problemBody(refusal, requestId);
    response.prepare_payload();
    return response;
}

} // namespace Pollenspoke
