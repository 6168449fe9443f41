/// @file
/// JSON encoding of the object protocol, shared by client and server.
#pragma once

#include <pollenspoke/store.h>

namespace Pollenspoke {

inline constexpr const char *writerHeader = "Pollenspoke-Writer"; // "system" marks internal writes
inline constexpr const char *eraHeader = "Pollenspoke-Store-Era"; // of the store; in a write: when the required version was read
inline constexpr const char *eraStartHeader = "Pollenspoke-Store-Era-Start";

unsigned httpStatusFor(ErrorCode code); // HTTP status of an error response
HttpReply encodeProblem(const Error &error);
Error decodeProblem(const HttpReply &reply, bool isWrite); // of a non-2xx reply; by status if the body isn't of this protocol

JsonValue encodeList(const ObjectList &list);
Result<ObjectList> decodeList(const std::string &text);
JsonValue encodeChanges(const Changes &changes);
Result<Changes> decodeChanges(const std::string &text);
JsonValue encodeVms(const VmList &vms);
Result<VmList> decodeVms(const std::string &text);

} // namespace Pollenspoke
