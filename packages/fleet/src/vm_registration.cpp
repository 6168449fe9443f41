#include "vm_registration.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace Pollenspoke {

namespace {

// Plausibility limits; a higher value counts as unknown.
constexpr double maxMillicores = 1e6;
constexpr double maxLinkMbps = 1e6;
constexpr double maxMemoryMb = 1e9;
constexpr double maxDescriptors = 1e9;

constexpr std::array<std::pair<SeatClaim, const char *>, 3> claimNames{
    {{SeatClaim::Held, "held"}, {SeatClaim::Contested, "contested"}, {SeatClaim::Released, "released"}}};

std::optional<std::uint64_t> decodeNumber(const JsonValue &spec, const char *name)
{
    constexpr double maxNumber = 9e15; // that a double represents exactly
    const JsonValue *value = spec.find(name);
    const bool isNumber = value != nullptr && value->type == JsonValue::Type::Number && value->number >= 0 && value->number <= maxNumber;
    return isNumber ? std::optional(static_cast<std::uint64_t>(value->number)) : std::nullopt;
}

} // namespace

const char *claimName(SeatClaim claim)
{
    return std::find_if(claimNames.begin(), claimNames.end(), [claim](const auto &it) { return it.first == claim; })->second;
}

SeatRecord decodeSeatRecord(const JsonValue &spec)
{
    const JsonValue *claim = spec.find("seat_claim");
    const auto known = std::find_if(claimNames.begin(), claimNames.end(), [claim](const auto &it) {
        return claim != nullptr && claim->type == JsonValue::Type::Text && claim->text == it.second;
    });
    return {.claim = known == claimNames.end() ? SeatClaim::Held : known->first,
            .usedAt = {decodeNumber(spec, "seat_used_era").value_or(0), decodeNumber(spec, "seat_used_revision").value_or(0)}};
}

JsonValue encodeRegistration(const VmRegistration &registration, const StorePosition &joinedAt, const SeatRecord &seat)
{
    JsonValue spec = JsonValue::makeObject();
    spec.add("callers", toString(registration.callers));
    spec.add("peers", toString(registration.peers));
    spec.add("failure_domain", registration.failureDomain.value);
    spec.addNumber("millicores", registration.millicores);
    for (const auto &[name, value] : {std::pair("link_mbps", registration.linkMbps),
                                      std::pair("memory_mb", registration.memoryMb),
                                      std::pair("descriptors", registration.descriptors)}) {
        if (value != 0) { // zero is unknown, as is an absent field
            spec.addNumber(name, value);
        }
    }
    spec.addNumber("joined_era", static_cast<double>(joinedAt.era()));
    if (joinedAt.revision() != 0) {
        spec.addNumber("joined_revision", static_cast<double>(joinedAt.revision()));
    }
    spec.add("seat_claim", claimName(seat.claim));
    spec.addNumber("seat_used_era", static_cast<double>(seat.usedAt.era()));
    spec.addNumber("seat_used_revision", static_cast<double>(seat.usedAt.revision()));
    return spec;
}

StorePosition decodeJoinedAt(const StoredDocument &document)
{
    return {decodeNumber(document.spec, "joined_era").value_or(0),
            decodeNumber(document.spec, "joined_revision").value_or(document.created)};
}

std::optional<VmRegistration> decodeRegistration(const JsonValue &spec)
{
    const auto text = [&spec](const char *name) {
        const JsonValue *value = spec.find(name);
        return value != nullptr && value->type == JsonValue::Type::Text ? value->text : std::string();
    };
    const Result<Address> callers = parseAddress(text("callers"));
    const Result<Address> peers = parseAddress(text("peers"));
    if (!callers || !peers) {
        return std::nullopt;
    }
    const auto quantity = [&spec](const char *name, double highest) {
        const JsonValue *value = spec.find(name);
        const bool isPlausible
            = value != nullptr && value->type == JsonValue::Type::Number && value->number >= 0 && value->number <= highest;
        return isPlausible ? static_cast<std::uint32_t>(value->number) : 0;
    };
    return VmRegistration{.callers = *callers,
                          .peers = *peers,
                          .failureDomain = {text("failure_domain")},
                          .millicores = quantity("millicores", maxMillicores),
                          .linkMbps = quantity("link_mbps", maxLinkMbps),
                          .memoryMb = quantity("memory_mb", maxMemoryMb),
                          .descriptors = quantity("descriptors", maxDescriptors)};
}

bool isSameVm(const VmRegistration &left, const VmRegistration &right)
{
    const auto identity = [](const VmRegistration &it) { return std::tie(it.callers, it.peers, it.failureDomain, it.millicores); };
    return identity(left) == identity(right);
}

} // namespace Pollenspoke
