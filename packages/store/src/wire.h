/// @file
/// The JSON forms of the object protocol, shared by its client and its server.
#pragma once

#include <pollenspoke/store.h>

namespace Pollenspoke {

inline constexpr const char *writerHeader = "Pollenspoke-Writer"; // "system" on the system's own writes

unsigned problemStatus(ErrorCode code); // HTTP status of a failure
HttpReply encodeProblem(const Error &error);
Error decodeProblem(const HttpReply &reply, bool isWrite); // an answer that isn't 2xx; foreign bodies are judged by status

JsonValue encodeList(const ObjectList &list);
Result<ObjectList> decodeList(const std::string &text);
JsonValue encodeChanges(const Changes &changes);
Result<Changes> decodeChanges(const std::string &text);
JsonValue encodeVms(const VmList &vms);
Result<VmList> decodeVms(const std::string &text);

} // namespace Pollenspoke
