/// @file
/// Extracts the caller's API key from a request and detects headers and text that must not reach targets.
#pragma once

#include "http.h"

#include <pollenspoke/proxy.h>
#include <tl/expected.hpp>

namespace Pollenspoke {

/// The API key from `Authorization: Bearer` or the contract's key header. Fails with KeyMissing, or with KeyAmbiguous if the request
/// contains different keys.
tl::expected<std::string, RefusalReason> extractKey(const http::fields &fields, const WireContract &contract = {});

/// Whether the text contains the secret, literally or percent-encoded up to `maxDecodePasses` times. False for an empty secret.
bool containsSecret(std::string_view text, std::string_view secret);
bool containsSecret(const std::vector<std::string> &blocks, std::string_view secret); // of one text; copies a part of it at a time

/// Compares header names case-insensitively and treats _ as -, since some targets do so.
bool isSameHeader(std::string_view left, std::string_view right);

/// Whether only the proxy may set this header towards targets: all with the prefix `Pollenspoke-`, and those of the contract.
bool isReservedHeader(std::string_view name, const WireContract &contract = {});

/// Whether a header may carry the caller's credentials and must not be forwarded.
bool isCredentialHeader(std::string_view name, const WireContract &contract = {});

} // namespace Pollenspoke
