/// @file
/// Implementation of the commands of pollenspokectl. Output goes to `out`; failures are returned.
#pragma once

#include "printing.h"

namespace Pollenspoke {

/// Exit status of pollenspokectl.
enum class ExitStatus {
    Success = 0,
    Refused = 1,        // the input or a write was rejected; the rejected step wrote nothing
    Unavailable = 2,    // the server is unreachable or its store is down
    OutcomeUnknown = 3, // the response to a write was lost, and reading back couldn't settle whether it was done
    TimedOut = 4,       // wait: not in force before the timeout
    UsageError = 64,    // EX_USAGE of sysexits.h
};

ExitStatus exitStatusFor(const Error &error);
std::string adviceFor(const Error &error); // suggested remedy; empty if the error is self-explanatory

Result<std::vector<Object>> readResourceFile(const std::string &fileName);

/// Commands sent to the operator API of one Vm.
class Commands
{
public:
    Commands(Address server, std::ostream &out);

    /// Writes the objects that differ from the stored ones, in the order of their references: accounts and services first. The
    /// write is conditional on the object's version if it has one, otherwise on the version just read.
    Result<void> apply(std::vector<Object> objects, bool isDryRun);
    Result<void> get(Kind kind, const std::string &name, OutputForm form);           // empty name: all of the kind
    Result<void> watch(Kind kind, std::uint64_t sinceRevision, std::uint64_t count); // since 0: from now on; count 0: no limit
    Result<void> remove(Kind kind, const std::string &name, std::uint64_t version);  // version 0: the current one
    Result<void> createKey(const std::string &account, const std::string &name);     // empty account: creates no Key object
    Result<void> withdrawKey(const std::string &name);
    Result<void> status();
    Result<void> addresses();
    Result<bool> isInForce(std::uint64_t revision); // this revision or a later one, on this Vm

private:
    Result<void> applyOne(const Object &object, bool isDryRun);
    Result<JsonValue> readStatus() const;

    Address m_server;
    HttpObjectStore m_store;
    std::ostream &m_out;
};

} // namespace Pollenspoke
