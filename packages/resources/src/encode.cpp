// Encodes an Object as a Document, with one overload per kind. Fields with default values are written too, so that readers see
// the effective values.
#include "codec.h"

namespace Pollenspoke {

namespace {

Document &addList(Document &document, const std::string &name)
{
    return document.add(name, Document::makeList());
}

Document &addObject(Document &document, const std::string &name)
{
    return document.add(name, Document::makeObject());
}

void appendText(Document &list, const std::string &value)
{
    Document &item = list.append(Document());
    item.type = Document::Type::Text;
    item.text = value;
}

void addLimits(Document &document, const Limits &limits)
{
    Document &object = addObject(document, "limits");
    object.addNumber("rate_per_s", limits.ratePerSecond);
    object.addNumber("burst", limits.burst);
}

void encodeSpec(Document &spec, const ClientAccount &account)
{
    spec.add("state", account.state == AccountState::Active ? "active" : "suspended");
    addLimits(spec, account.limits);
    spec.addNumber("weight", account.weight);
    if (account.priority) {
        spec.addNumber("priority", *account.priority);
    }
}

void encodeSpec(Document &spec, const Key &key)
{
    spec.add("account", key.account.value);
    spec.add("sha256", key.sha256);
    spec.add("state", key.state == KeyState::Active ? "active" : "withdrawn");
}

void encodeSpec(Document &spec, const Route &route)
{
    Document &match = addObject(spec, "match");
    match.add("host", route.host);
    match.add("path_prefix", route.pathPrefix);
    Document &methods = addList(match, "methods");
    for (const std::string &it : route.methods) {
        appendText(methods, it);
    }
    if (route.split.empty()) {
        spec.add("service", route.service.value);
    }
    Document &split = addList(spec, "split");
    for (const ServiceShare &it : route.split) {
        Document &share = split.append(Document::makeObject());
        share.add("service", it.service.value);
        share.addNumber("weight", it.weight);
    }
    spec.add("state", route.state == RouteState::Open ? "open" : "closed");
    Document &accounts = addList(spec, "accounts");
    for (const AccountName &it : route.accounts) {
        appendText(accounts, it.value);
    }
    spec.addFlag("anonymous", route.isAnonymous);
    if (route.idempotent) {
        spec.addFlag("idempotent", *route.idempotent);
    }
    spec.addNumber("deadline_ms", route.deadlineMs);
    spec.addNumber("max_attempts", route.maxAttempts);
    spec.addNumber("priority", route.priority);
    spec.addNumber("objective_ms", route.objectiveMs);
}

void encodeTarget(Document &document, const Target &target)
{
    document.add("name", target.name.value);
    document.add("address", toString(target.address));
    document.add("failure_domain", target.failureDomain.value);
    document.addNumber("slots", target.slots);
    document.add("state", target.state == TargetState::Serving ? "serving" : "leaving");
    document.addNumber("warmup_ms", target.warmupMs);
    if (target.incarnation != 0) {
        document.addNumber("incarnation", static_cast<double>(target.incarnation));
    }
}

const char *connectionReuseName(ConnectionReuse reuse)
{
    switch (reuse) {
    case ConnectionReuse::Echoed:
        return "echoed";
    case ConnectionReuse::Always:
        return "always";
    case ConnectionReuse::Never:
        return "never";
    }
    return "echoed";
}

void encodeSpec(Document &spec, const Service &service)
{
    Document &targets = addList(spec, "targets");
    for (const Target &it : service.targets) {
        encodeTarget(targets.append(Document::makeObject()), it);
    }
    spec.addNumber("floor_percent", service.floorPercent);
    spec.addNumber("connections_per_target", service.connectionsPerTarget);
    addObject(spec, "detection").add("preset", service.detection.preset == DetectionPreset::Fast ? "fast" : "steady");
    if (!service.probe.path.empty()) {
        Document &probe = addObject(spec, "probe");
        probe.add("path", service.probe.path);
        probe.addNumber("interval_ms", service.probe.intervalMs);
    }
    Document &answers = addList(spec, "not_run_answers");
    for (const NotRunAnswer &it : service.notRunAnswers) {
        Document &answer = answers.append(Document::makeObject());
        answer.addNumber("status", it.status);
        answer.add("header", it.header);
    }
    spec.add("connection_reuse", connectionReuseName(service.connectionReuse));
}

void encodeSpec(Document &spec, const QuotaGrant &grant)
{
    Document &shares = addList(spec, "shares");
    for (const QuotaShare &it : grant.shares) {
        Document &share = shares.append(Document::makeObject());
        share.add("holder", it.holder.value);
        share.addNumber("incarnation", it.incarnation);
        addLimits(share, it.limits);
    }
}

void encodeSpec(Document &spec, const VmRecord &record)
{
    spec.add("peers", toString(record.peers));
    spec.add("failure_domain", record.failureDomain.value);
    spec.addNumber("incarnation", static_cast<double>(record.incarnation));
    spec.addNumber("snapshot_revision", static_cast<double>(record.snapshotRevision));
}

} // namespace

Document encodeObject(const Object &object)
{
    Document document = Document::makeObject();
    document.add("kind", std::string(kindName(object.kind())));
    document.add("name", object.name);
    document.addNumber("version", static_cast<double>(object.version));
    Document &spec = addObject(document, "spec");
    std::visit([&spec](const auto &it) { encodeSpec(spec, it); }, object.spec);
    if (!object.status.empty()) {
        if (Result<Document> status = parseJsonDocument(object.status)) {
            document.add("status", std::move(*status));
        }
    }
    return document;
}

} // namespace Pollenspoke
