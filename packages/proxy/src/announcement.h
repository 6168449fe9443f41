/// @file
/// What a target says about itself in the header block of a response.
#pragma once

#include "http.h"

#include <pollenspoke/proxy.h>

namespace Pollenspoke {

/// Reads a Retry-After value in seconds, which may have a fraction. Anything else, such as a date, is ignored: the clocks of a target
/// and a Vm may differ. Values above maxRetryAfter count as that.
std::optional<Duration> parseRetryAfter(std::string_view text);
inline constexpr Duration maxRetryAfter = std::chrono::minutes(10);

/// Reads a limit in requests/s, which may have a fraction. Anything else, such as a sign or an exponent, is ignored. Values above
/// maxTargetLimit count as that.
std::optional<double> parseTargetLimit(std::string_view text);
inline constexpr double maxTargetLimit = 1e6;

/// Reads the time in ms for which a target stays cold, whole digits. Anything else is ignored. Values above maxWarmup count as that.
std::optional<Duration> parseWarmup(std::string_view text);
inline constexpr Duration maxWarmup = std::chrono::hours(1);

/// Reads the announcements of one header block, informational or final. Of several Retry-After values the longest counts, of several
/// limits the lowest, of several warm-up times the longest.
TargetAnnouncement readAnnouncement(const http::response_header<> &header, const WireContract &contract);

} // namespace Pollenspoke
