/// @file
/// Output formats of pollenspokectl.
#pragma once

#include <iosfwd>
#include <pollenspoke/store.h>

namespace Pollenspoke {

enum class OutputForm { Table, Yaml, Json };

std::optional<OutputForm> outputFormFromName(const std::string &name); // "table", "yaml", "json"
void printObjects(std::ostream &out, const std::vector<Object> &objects, OutputForm form);
std::string summarize(const Object &object);                                    // the SPEC column of a table
std::vector<std::string> describeChanges(const Object &from, const Object &to); // "spec.limits.burst: 100 -> 200", one line per field

} // namespace Pollenspoke
