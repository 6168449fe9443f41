/// @file
/// The forms in which pollenspokectl shows objects.
#pragma once

#include <iosfwd>
#include <pollenspoke/store.h>

namespace Pollenspoke {

enum class OutputForm { Table, Yaml, Json };

std::optional<OutputForm> outputFormFromName(const std::string &name); // "table", "yaml", "json"
void printObjects(std::ostream &out, const std::vector<Object> &objects, OutputForm form);
std::string summarize(const Object &object);                                    // one line for a table
std::vector<std::string> describeChanges(const Object &from, const Object &to); // "spec.limits.burst: 100 -> 200", one a field

} // namespace Pollenspoke
