#include "printing.h"

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace Pollenspoke {

namespace {

constexpr int nameWidth = 24;
constexpr int versionWidth = 8;

std::string formatNumber(double number)
{
    JsonValue value;
    value.type = JsonValue::Type::Number;
    value.number = number;
    return formatJsonText(value);
}

std::string summarizeSpec(const ClientAccount &account)
{
    return std::string(account.state == AccountState::Active ? "active" : "suspended") + ", " + formatNumber(account.limits.ratePerSecond)
        + "/s, burst " + formatNumber(account.limits.burst) + ", weight " + std::to_string(account.weight);
}

std::string summarizeSpec(const Key &key)
{
    return std::string(key.state == KeyState::Active ? "active" : "withdrawn") + ", account " + key.account.value;
}

std::string summarizeSpec(const Route &route)
{
    return std::string(route.state == RouteState::Open ? "open" : "closed") + ", " + route.pathPrefix + " to " + route.service.value;
}

std::string summarizeSpec(const Service &service)
{
    const auto leaving
        = std::count_if(service.targets.begin(), service.targets.end(), [](const Target &it) { return it.state == TargetState::Leaving; });
    return std::to_string(service.targets.size()) + " targets, " + std::to_string(leaving) + " leaving, floor "
        + std::to_string(service.floorPercent) + " %";
}

std::string summarizeSpec(const QuotaGrant &grant)
{
    return std::to_string(grant.shares.size()) + " shares";
}

std::string summarizeSpec(const VmRecord &record)
{
    return record.failureDomain.value + ", peers " + toString(record.peers) + ", revision " + std::to_string(record.snapshotRevision);
}

// Collects the leaves of a JSON tree by path, as in "spec.targets[0].name".
void flatten(const JsonValue &value, const std::string &path, std::map<std::string, std::string> &leaves)
{
    const bool isList = value.type == JsonValue::Type::List;
    if (value.items.empty()) {
        leaves[path] = formatJsonText(value);
        return;
    }
    for (std::size_t i = 0; i < value.items.size(); ++i) {
        const JsonValue &it = value.items[i];
        flatten(it, isList ? path + "[" + std::to_string(i) + "]" : path + "." + it.name, leaves);
    }
}

std::map<std::string, std::string> leavesOf(const Object &object)
{
    const JsonValue envelope = encodeJson(object);
    std::map<std::string, std::string> leaves;
    flatten(*envelope.find("spec"), "spec", leaves);
    return leaves;
}

} // namespace

std::optional<OutputForm> outputFormFromName(const std::string &name)
{
    if (name == "table") {
        return OutputForm::Table;
    }
    if (name == "yaml") {
        return OutputForm::Yaml;
    }
    if (name == "json") {
        return OutputForm::Json;
    }
    return std::nullopt;
}

std::string summarize(const Object &object)
{
    return std::visit([](const auto &it) { return summarizeSpec(it); }, object.spec);
}

void printObjects(std::ostream &out, const std::vector<Object> &objects, OutputForm form)
{
    if (form == OutputForm::Table) {
        out << std::left << std::setw(nameWidth) << "NAME" << std::setw(versionWidth) << "VERSION"
            << "SPEC\n";
    }
    bool isFirst = true;
    for (const Object &it : objects) {
        if (form == OutputForm::Table) {
            out << std::left << std::setw(nameWidth) << it.name << std::setw(versionWidth) << it.version << summarize(it) << '\n';
        } else if (form == OutputForm::Json) {
            out << toJson(it) << '\n';
        } else {
            out << (isFirst ? "" : "---\n") << toYaml(it);
        }
        isFirst = false;
    }
}

std::vector<std::string> describeChanges(const Object &from, const Object &to)
{
    const std::map<std::string, std::string> before = leavesOf(from);
    const std::map<std::string, std::string> after = leavesOf(to);
    std::vector<std::string> lines;
    for (const auto &[path, value] : before) {
        const auto it = after.find(path);
        if (it == after.end()) {
            lines.push_back(path + ": " + value + " -> (none)");
        } else if (it->second != value) {
            lines.push_back(path + ": " + value + " -> " + it->second);
        }
    }
    for (const auto &[path, value] : after) {
        if (!before.contains(path)) {
            lines.push_back(path + ": (none) -> " + value);
        }
    }
    return lines;
}

} // namespace Pollenspoke
