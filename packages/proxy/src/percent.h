/// @file
/// Percent-decoding of URLs.
#pragma once

#include <string>
#include <string_view>

namespace Pollenspoke {

/// Replaces each valid %XX with its byte. Everything else is left unchanged.
std::string decodePercent(std::string_view text);

/// Number of decoding passes when checking text that a target may decode repeatedly.
inline constexpr int maxDecodePasses = 4;

} // namespace Pollenspoke
