/// @file
/// Validation of a request's header block and request target. Runs before routing and authentication.
#pragma once

#include "refusal.h"

#include <pollenspoke/proxy.h>

namespace Pollenspoke {

using RequestHeader = http::request_header<http::fields>;

/// The refusal for a message that the parser rejected. `header` contains the fields parsed before the error.
Refusal refusalForParseError(const SystemError &ec, const RequestHeader &header, const WireContract &contract = {});

/// Refuses ambiguous message framing (request smuggling), including header spellings that only some targets interpret as framing;
/// also missing or repeated Host headers, upgrades and unsupported methods.
std::optional<Refusal> checkHeader(const RequestHeader &header, const WireContract &contract = {});

/// The normalized path for route matching: percent-decoded, backslashes treated as slashes, repeated slashes merged, without the
/// query. Returns nullopt unless the target is in origin-form, and for paths that a target could interpret differently: with
/// a NUL, a fragment or dot segments, including dot segments that are encoded repeatedly or carry parameters ("..;a").
std::optional<std::string> extractPath(std::string_view requestTarget);

/// The unmodified path without the query. Returns nullopt unless the target is in origin-form without a fragment.
std::optional<std::string> extractRawPath(std::string_view requestTarget);

/// The Host header in lower case, without the port.
std::string extractHost(const http::fields &fields);

/// Whether a Connection header lists the token (case-insensitive).
bool hasConnectionToken(const http::fields &fields, std::string_view token);

/// Whether a header is hop-by-hop and must not be forwarded.
bool isHopByHopHeader(std::string_view name, const http::fields &fields);

} // namespace Pollenspoke
