// Decodes a Document into an Object. One function per kind reads all its fields.
#include "codec.h"

#include <algorithm>
#include <array>

namespace Pollenspoke {

namespace {

constexpr double minAccountRate = 0.001;                   // requests/s
constexpr double maxRate = 1e6;                            // requests/s
constexpr std::uint64_t maxBurst = 1000000;                // requests
constexpr std::uint64_t maxDurationMs = 3600000;           // ms
constexpr std::uint64_t maxIncarnation = 9007199254740992; // 2^53: exact in JSON
constexpr std::uint64_t maxPriority = 1000;                // 0 is the most important
constexpr double maxSplitWeight = 1e6;
constexpr std::uint64_t maxExactInteger = 9007199254740992; // 2^53: doubles represent every integer up to it exactly
constexpr std::size_t maxNameLength = 128;
constexpr std::size_t sha256HexLength = 64;

constexpr std::array<std::string_view, kindCount> kindNames{"ClientAccount", "Key", "Route", "Service", "QuotaGrant", "VmRecord"};

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

bool isName(const std::string &text)
{
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), isNameCharacter);
}

std::string readName(FieldReader &reader, const std::string &field, std::optional<std::string> defaultValue = std::nullopt)
{
    const bool isOptional = defaultValue.has_value();
    std::string text = reader.readText(field, std::move(defaultValue));
    if (!isName(text) && !(isOptional && text.empty())) {
        reader.fail(ErrorCode::OutOfRange, field, "must be 1 to 128 of a-z A-Z 0-9 . _ -");
    }
    return text;
}

Address readAddress(FieldReader &reader, const std::string &field)
{
    const std::string text = reader.readText(field);
    const Result<Address> address = parseAddress(text);
    if (!address) {
        reader.fail(ErrorCode::OutOfRange, field, address.error().detail);
        return {};
    }
    return *address;
}

Limits readLimits(FieldReader &reader, double minRate)
{
    Limits limits;
    const Document *document = reader.readObject("limits", true);
    if (document == nullptr) {
        return limits;
    }
    FieldReader inner(*document, reader.pathOf("limits"));
    limits.ratePerSecond = inner.readNumber("rate_per_s", minRate, maxRate);
    limits.burst = inner.readNumber("burst", minRate > 0 ? 1 : 0, static_cast<double>(maxBurst));
    reader.mergeError(inner.finish());
    return limits;
}

Spec readClientAccount(FieldReader &reader)
{
    ClientAccount account;
    account.state = static_cast<AccountState>(reader.readChoice("state", {"active", "suspended"}, 0));
    account.limits = readLimits(reader, minAccountRate);
    account.weight = static_cast<std::uint32_t>(reader.readUnsigned("weight", 1, 1000, 1));
    if (reader.has("priority")) {
        account.priority = static_cast<std::uint32_t>(reader.readUnsigned("priority", 0, maxPriority));
    }
    return account;
}

bool isHexDigit(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

Spec readKey(FieldReader &reader)
{
    Key key;
    key.account.value = readName(reader, "account");
    key.sha256 = reader.readText("sha256");
    if (key.sha256.size() != sha256HexLength || !std::all_of(key.sha256.begin(), key.sha256.end(), isHexDigit)) {
        reader.fail(ErrorCode::OutOfRange, "sha256", "must be 64 lower-case hex digits, quoted");
    }
    key.state = static_cast<KeyState>(reader.readChoice("state", {"active", "withdrawn"}, 0));
    return key;
}

void readMatch(FieldReader &reader, Route &route)
{
    const Document *document = reader.readObject("match", true);
    if (document == nullptr) {
        return;
    }
    FieldReader inner(*document, reader.pathOf("match"));
    route.host = inner.readText("host", "");
    if (route.host.find_first_of("/: ") != std::string::npos) {
        inner.fail(ErrorCode::OutOfRange, "host", "must be a host name without a port");
    }
    route.pathPrefix = inner.readText("path_prefix");
    if (!route.pathPrefix.starts_with('/') || route.pathPrefix.find_first_of("?# %") != std::string::npos) {
        inner.fail(ErrorCode::OutOfRange, "path_prefix", "must start with /, and must have no ? # % or space");
    }
    route.methods = inner.readTextList("methods");
    static const std::vector<std::string> supportedMethods{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"};
    for (const std::string &it : route.methods) {
        if (std::find(supportedMethods.begin(), supportedMethods.end(), it) == supportedMethods.end()) {
            inner.fail(ErrorCode::OutOfRange, "methods", "must be one of GET HEAD OPTIONS POST PUT PATCH DELETE");
        }
    }
    reader.mergeError(inner.finish());
}

void readSplit(FieldReader &reader, Route &route)
{
    const std::vector<const Document *> shares = reader.readListItems("split");
    for (std::size_t i = 0; i < shares.size(); ++i) {
        FieldReader inner(*shares[i], reader.pathOf("split") + "[" + std::to_string(i) + "]");
        const std::string service = readName(inner, "service");
        const double weight = inner.readNumber("weight", 0, maxSplitWeight);
        route.split.push_back(ServiceShare{.service = {service}, .weight = weight});
        reader.mergeError(inner.finish());
    }
}

Spec readRoute(FieldReader &reader)
{
    Route route;
    readMatch(reader, route);
    readSplit(reader, route);
    route.service.value = readName(reader, "service", route.split.empty() ? std::nullopt : std::optional<std::string>(""));
    route.state = static_cast<RouteState>(reader.readChoice("state", {"open", "closed"}, 0));
    for (std::string &it : reader.readTextList("accounts")) {
        route.accounts.push_back(AccountName{std::move(it)});
    }
    route.isAnonymous = reader.readBool("anonymous").value_or(false);
    route.idempotent = reader.readBool("idempotent");
    route.deadlineMs = static_cast<std::uint32_t>(reader.readUnsigned("deadline_ms", 1, maxDurationMs, route.deadlineMs));
    route.maxAttempts = static_cast<std::uint32_t>(reader.readUnsigned("max_attempts", 1, 10, route.maxAttempts));
    route.priority = static_cast<std::uint32_t>(reader.readUnsigned("priority", 0, maxPriority, route.priority));
    route.objectiveMs = static_cast<std::uint32_t>(reader.readUnsigned("objective_ms", 0, maxDurationMs, route.objectiveMs));
    return route;
}

Target readTarget(const Document &document, const std::string &path, FieldReader &outer)
{
    FieldReader reader(document, path);
    Target target;
    target.name.value = readName(reader, "name");
    target.address = readAddress(reader, "address");
    target.failureDomain.value = readName(reader, "failure_domain", "");
    target.slots = static_cast<std::uint32_t>(reader.readUnsigned("slots", 1, 10000, target.slots));
    target.state = static_cast<TargetState>(reader.readChoice("state", {"serving", "leaving"}, 0));
    target.warmupMs = static_cast<std::uint32_t>(reader.readUnsigned("warmup_ms", 0, maxDurationMs, 0));
    target.incarnation = reader.readUnsigned("incarnation", 0, maxIncarnation, 0);
    outer.mergeError(reader.finish());
    return target;
}

Detection readDetection(FieldReader &reader)
{
    Detection detection;
    if (const Document *document = reader.readObject("detection", false)) {
        FieldReader inner(*document, reader.pathOf("detection"));
        detection.preset = static_cast<DetectionPreset>(inner.readChoice("preset", {"fast", "steady"}, 0));
        reader.mergeError(inner.finish());
    }
    return detection;
}

Probe readProbe(FieldReader &reader)
{
    Probe probe;
    if (const Document *document = reader.readObject("probe", false)) {
        FieldReader inner(*document, reader.pathOf("probe"));
        probe.path = inner.readText("path");
        if (!probe.path.starts_with('/')) {
            inner.fail(ErrorCode::OutOfRange, "path", "must start with /");
        }
        probe.intervalMs = static_cast<std::uint32_t>(inner.readUnsigned("interval_ms", 100, 600000, probe.intervalMs));
        reader.mergeError(inner.finish());
    }
    return probe;
}

NotRunAnswer readNotRunAnswer(const Document &document, const std::string &path, FieldReader &outer)
{
    FieldReader reader(document, path);
    NotRunAnswer answer;
    answer.status = static_cast<std::uint32_t>(reader.readUnsigned("status", 100, 599));
    answer.header = reader.readText("header", "");
    outer.mergeError(reader.finish());
    return answer;
}

void rejectDuplicateTargets(FieldReader &reader, const std::vector<Target> &targets)
{
    std::set<TargetName> names;
    std::set<Address> addresses;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const std::string field = "targets[" + std::to_string(i) + "]";
        if (!names.insert(targets[i].name).second) {
            reader.fail(ErrorCode::Duplicate, field + ".name", "another target has this name");
        }
        if (!addresses.insert(targets[i].address).second) {
            reader.fail(ErrorCode::Duplicate, field + ".address", "another target has this address");
        }
    }
}

Spec readService(FieldReader &reader)
{
    Service service;
    for (const Document *it : reader.readListItems("targets")) {
        const std::string path = reader.pathOf("targets[" + std::to_string(service.targets.size()) + "]");
        service.targets.push_back(readTarget(*it, path, reader));
    }
    rejectDuplicateTargets(reader, service.targets);
    service.floorPercent = static_cast<std::uint32_t>(reader.readUnsigned("floor_percent", 0, 100, service.floorPercent));
    service.connectionsPerTarget
        = static_cast<std::uint32_t>(reader.readUnsigned("connections_per_target", 1, 100000, service.connectionsPerTarget));
    service.detection = readDetection(reader);
    service.probe = readProbe(reader);
    for (const Document *it : reader.readListItems("not_run_answers")) {
        const std::string path = reader.pathOf("not_run_answers[" + std::to_string(service.notRunAnswers.size()) + "]");
        service.notRunAnswers.push_back(readNotRunAnswer(*it, path, reader));
    }
    service.connectionReuse = static_cast<ConnectionReuse>(reader.readChoice("connection_reuse", {"echoed", "always", "never"}, 0));
    return service;
}

QuotaShare readQuotaShare(const Document &document, const std::string &path, FieldReader &outer)
{
    FieldReader reader(document, path);
    QuotaShare share;
    share.holder.value = readName(reader, "holder");
    share.incarnation = reader.readUnsigned("incarnation", 0, maxExactInteger, 0);
    share.limits = readLimits(reader, 0);
    outer.mergeError(reader.finish());
    return share;
}

Spec readQuotaGrant(FieldReader &reader)
{
    QuotaGrant grant;
    for (const Document *it : reader.readListItems("shares")) {
        const std::string path = reader.pathOf("shares[" + std::to_string(grant.shares.size()) + "]");
        grant.shares.push_back(readQuotaShare(*it, path, reader));
    }
    return grant;
}

Spec readVmRecord(FieldReader &reader)
{
    VmRecord record;
    record.peers = readAddress(reader, "peers");
    record.failureDomain.value = readName(reader, "failure_domain");
    record.incarnation = reader.readUnsigned("incarnation", 0, maxExactInteger, 0);
    record.snapshotRevision = reader.readUnsigned("snapshot_revision", 0, maxExactInteger, 0);
    return record;
}

Spec readSpec(Kind kind, FieldReader &reader)
{
    switch (kind) {
    case Kind::ClientAccount:
        return readClientAccount(reader);
    case Kind::Key:
        return readKey(reader);
    case Kind::Route:
        return readRoute(reader);
    case Kind::Service:
        return readService(reader);
    case Kind::QuotaGrant:
        return readQuotaGrant(reader);
    case Kind::VmRecord:
        return readVmRecord(reader);
    }
    return {};
}

} // namespace

std::string_view kindName(Kind kind)
{
    return kindNames.at(static_cast<std::size_t>(kind));
}

std::optional<Kind> kindFromName(std::string_view name)
{
    const auto it = std::find(kindNames.begin(), kindNames.end(), name);
    if (it == kindNames.end()) {
        return std::nullopt;
    }
    return static_cast<Kind>(it - kindNames.begin());
}

Result<Object> decodeObject(const Document &document, const std::string &path)
{
    FieldReader reader(document, path);
    Object object;
    const std::string kindText = reader.readText("kind");
    const std::optional<Kind> kind = kindFromName(kindText);
    if (!kind) {
        reader.fail(ErrorCode::OutOfRange, "kind", "must be one of ClientAccount Key Route Service QuotaGrant VmRecord");
    }
    object.name = readName(reader, "name");
    object.version = reader.readUnsigned("version", 0, maxExactInteger, 0);
    if (const Document *status = reader.readObject("status", false)) {
        object.status = formatJsonText(*status);
    }
    const Document *spec = reader.readObject("spec", true);
    if (spec != nullptr && kind) {
        FieldReader inner(*spec, reader.pathOf("spec"));
        object.spec = readSpec(*kind, inner);
        reader.mergeError(inner.finish());
    }
    const Result<void> finished = reader.finish();
    if (!finished) {
        return tl::unexpected(finished.error());
    }
    return object;
}

} // namespace Pollenspoke
