/// @file
/// Checks on a request's header block, before anything else is decided.
#pragma once

#include "refusal.h"

#include <pollenspoke/proxy.h>

namespace Pollenspoke {

using RequestHeader = http::request_header<http::fields>;

/// The refusal for a message that the parser rejected; `header` holds what it had read until then.
Refusal refusalForParseError(const SystemError &ec, const RequestHeader &header, const WireContract &contract = {});

/// Refuses framings that can't be trusted, also in spellings that only some targets take for framing, absent or repeated
/// Host, upgrades, and methods that aren't proxied.
std::optional<Refusal> checkHeader(const RequestHeader &header, const WireContract &contract = {});

/// The path that routes are matched on: percent-decoded, backslashes and repeated slashes as one slash, without the query.
/// Nothing for any form but origin-form, and for what targets could read as another path: a fragment, and dot segments,
/// also when encoded more than once or with parameters ("..;a").
std::optional<std::string> extractPath(std::string_view requestTarget);

/// The path as it was sent, without the query; nothing for any form but origin-form.
std::optional<std::string> extractRawPath(std::string_view requestTarget);

/// The host that the request names, in lower case and without a port.
std::string extractHost(const http::fields &fields);

/// Whether any Connection header lists the token, in any case.
bool hasConnectionToken(const http::fields &fields, std::string_view token);

/// Whether a header belongs to one connection only and must not be passed on.
bool isHopByHopHeader(std::string_view name, const http::fields &fields);

} // namespace Pollenspoke
