/// @file
/// A Vm's registration as a document of the platform's store. Unknown fields are ignored, and absent ones are unknown, so that
/// programs of different versions read each other's registrations.
#pragma once

#include <pollenspoke/fleet.h>

namespace Pollenspoke {

/// What a registration says of the Vm's seat.
struct SeatRecord
{
    SeatClaim claim = SeatClaim::Held;
    StorePosition usedAt; // of the newest registrations by which the Vm began to use a seat; the default: it never did
    auto operator<=>(const SeatRecord &) const = default;
};

const char *claimName(SeatClaim claim);
SeatRecord decodeSeatRecord(const JsonValue &spec);

/// `joinedAt`: position of the Vm's first registration, so that the registration keeps its rank if a restored store lost it; without a
/// revision in a first registration, which gets its revision from the store.
JsonValue encodeRegistration(const VmRegistration &registration, const StorePosition &joinedAt, const SeatRecord &seat);
StorePosition decodeJoinedAt(const StoredDocument &document);
std::optional<VmRegistration> decodeRegistration(const JsonValue &spec); // empty: invalid addresses

/// Whether two registrations are of the same Vm. Its link, memory and descriptors don't matter: another Vm of an earlier version, which
/// doesn't know them, drops them when it writes a claim.
bool isSameVm(const VmRegistration &left, const VmRegistration &right);

} // namespace Pollenspoke
