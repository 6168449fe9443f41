/// @file
/// Finds the caller's key in a request and keeps it from targets.
#pragma once

#include "http.h"

#include <pollenspoke/proxy.h>
#include <tl/expected.hpp>

namespace Pollenspoke {

/// The one key that the request presents, from `Authorization: Bearer` or the contract's key header.
/// Fails with KeyMissing, or with KeyAmbiguous when two different keys come.
tl::expected<std::string, RefusalReason> extractKey(const http::fields &fields, const WireContract &contract = {});

/// Whether the secret stands in the text as it is or percent-encoded, up to `maxDecodePasses` times. An empty one never does.
bool containsSecret(std::string_view text, std::string_view secret);

/// Whether two header names are the same to a target: without regard to case, and with _ counted as -.
bool isSameHeader(std::string_view left, std::string_view right);

/// Whether a header's name is one that only this system may set towards targets: any that begins with `Pollenspoke-`, and
/// those of the contract.
bool isOwnHeader(std::string_view name, const WireContract &contract = {});

/// Whether a header may carry credentials of this system and so must not reach a target.
bool isCredentialHeader(std::string_view name, const WireContract &contract = {});

} // namespace Pollenspoke
