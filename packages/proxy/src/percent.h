/// @file
/// Percent-encoding of URLs.
#pragma once

#include <string>
#include <string_view>

namespace Pollenspoke {

/// The text with each valid %XX replaced by its byte; anything else stays.
std::string decodePercent(std::string_view text);

/// How often a text is decoded to find what a target that decodes more than once could see.
inline constexpr int maxDecodePasses = 4;

} // namespace Pollenspoke
