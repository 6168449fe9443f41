/// @file
/// An answer of this system's own: why a request was refused, and whether a target may have acted on it.
#pragma once

#include "http.h"

#include <optional>
#include <pollenspoke/proxy.h>
#include <type_traits>

namespace Pollenspoke {

/// Keep it trivially destructible: it is built within co_await expressions, whose aggregates GCC 12 destroys twice.
struct Refusal
{
    RefusalReason reason = RefusalReason::MalformedRequest;
    RunState run = RunState::NotRun;
    std::optional<Duration> retryAfter; // where waiting helps
    bool closes = false;                // what follows on the connection can't be trusted
};

static_assert(std::is_trivially_destructible_v<Refusal>);

/// The refusal as an HTTP answer with an application/problem+json body.
http::response<http::string_body>
makeRefusalAnswer(const Refusal &refusal, const std::string &requestId, const WireContract &contract = {});

} // namespace Pollenspoke
