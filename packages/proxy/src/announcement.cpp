#include "announcement.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace Pollenspoke {

namespace {

constexpr unsigned unavailableStatus = 503;
constexpr std::string_view leavingValue = "1";

std::string_view trim(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    return first == std::string_view::npos ? std::string_view() : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// Digits with at most one decimal point; infinite if out of range.
std::optional<double> parseDecimal(std::string_view text)
{
    const std::string_view digits = trim(text);
    const bool isDecimal = !digits.empty() && digits.find_first_not_of("0123456789.") == std::string_view::npos;
    double value = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), value, std::chars_format::fixed);
    const bool isHuge = ec == std::errc::result_out_of_range;
    if (!isDecimal || end != digits.data() + digits.size() || (ec != std::errc() && !isHuge)) {
        return std::nullopt;
    }
    return isHuge ? HUGE_VAL : value;
}

} // namespace

std::optional<double> parseTargetLimit(std::string_view text)
{
    const std::optional<double> limit = parseDecimal(text);
    return limit ? std::optional(std::min(*limit, maxTargetLimit)) : std::nullopt;
}

std::optional<Duration> parseRetryAfter(std::string_view text)
{
    const std::optional<double> seconds = parseDecimal(text);
    if (!seconds) {
        return std::nullopt;
    }
    const std::chrono::duration<double> wait(*seconds);
    return wait >= maxRetryAfter ? maxRetryAfter : std::chrono::ceil<Duration>(wait);
}

std::optional<Duration> parseWarmup(std::string_view text)
{
    const std::string_view digits = trim(text);
    std::uint64_t ms = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), ms);
    const bool isHuge = ec == std::errc::result_out_of_range;
    if (digits.empty() || end != digits.data() + digits.size() || (ec != std::errc() && !isHuge)) {
        return std::nullopt;
    }
    constexpr auto maxMs = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(maxWarmup).count());
    return std::chrono::milliseconds(isHuge ? maxMs : std::min(ms, maxMs));
}

TargetAnnouncement readAnnouncement(const http::response_header<> &header, const WireContract &contract)
{
    TargetAnnouncement announcement;
    if (!contract.leavingHeader.empty()) {
        const auto [begin, end] = header.equal_range(toBeast(contract.leavingHeader));
        announcement.isLeaving = std::any_of(begin, end, [](const auto &it) { return trim(toView(it.value())) == leavingValue; });
    }
    if (header.result_int() == unavailableStatus) {
        const auto [begin, end] = header.equal_range(http::field::retry_after);
        std::for_each(begin, end, [&announcement](const auto &it) {
            announcement.pause = std::max(announcement.pause, parseRetryAfter(toView(it.value())).value_or(Duration(0)));
        });
    }
    if (!contract.limitHeader.empty()) {
        const auto [begin, end] = header.equal_range(toBeast(contract.limitHeader));
        std::for_each(begin, end, [&announcement](const auto &it) {
            if (const std::optional<double> limit = parseTargetLimit(toView(it.value()))) {
                announcement.limit = std::min(announcement.limit.value_or(*limit), *limit);
            }
        });
    }
    if (!contract.warmupHeader.empty()) {
        const auto [begin, end] = header.equal_range(toBeast(contract.warmupHeader));
        std::for_each(begin, end, [&announcement](const auto &it) {
            announcement.warmup = std::max(announcement.warmup, parseWarmup(toView(it.value())).value_or(Duration(0)));
        });
    }
    return announcement;
}

} // namespace Pollenspoke
