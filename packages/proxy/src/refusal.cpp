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

http::response<http::string_body> makeRefusalAnswer(const Refusal &refusal, const std::string &requestId, const WireContract &contract)
{
    http::response<http::string_body> answer;
    answer.version(11);
    answer.result(refusalStatus(refusal.reason));
    answer.set(http::field::content_type, "application/problem+json");
    answer.set(http::field::cache_control, "no-store");
    answer.set(toBeast(contract.runHeader), refusal.run == RunState::NotRun ? "not-run" : "unknown");
    if (refusal.retryAfter) {
        answer.set(http::field::retry_after, formatRetryAfter(*refusal.retryAfter, contract.hasFractionalRetryAfter));
    }
    if (refusalStatus(refusal.reason) == 401) {
        answer.set(http::field::www_authenticate, "Bearer");
    }
    answer.body() = problemBody(refusal, requestId);
    answer.prepare_payload();
    return answer;
}

} // namespace Pollenspoke
