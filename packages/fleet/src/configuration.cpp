#include "configuration.h"

namespace Pollenspoke {

Configuration::Configuration(const PlatformFormat &format, Metrics &metrics)
    : m_format(format)
    , m_metrics(metrics)
{
}

void Configuration::reportRejected(const std::string &object, const std::string &version, const Error &error)
{
    m_metrics.count(Counter::ObjectsSkipped);
    logEvent(Event::ObjectSkipped, {{"object", object}, {"version", version}, {"error", describe(error)}}, LogLevel::Warning);
}

void Configuration::noteStoreRestored(TimePoint noticedAt)
{
    m_roster.noteStoreRestored(noticedAt);
    m_isStoreBehind = m_declarations.has_value();
}

// A restored store repeats an older version with each list until the operator has written the newest one again.
void Configuration::reportOutdated(std::uint64_t version)
{
    if (version == m_lastOutdatedVersion) {
        return;
    }
    m_lastOutdatedVersion = version;
    m_metrics.count(Counter::SnapshotsRefused);
    logEvent(Event::SnapshotRefused,
             {{"offered", std::to_string(version)}, {"in_force", std::to_string(m_declarations->version)}},
             m_isStoreBehind ? LogLevel::Info : LogLevel::Error);
}

void Configuration::applyDeclarations(const StoredDocument &document)
{
    const std::string revision = std::to_string(document.revision);
    Result<Declarations> declarations = m_format.decodeDeclarations(document.spec);
    if (!declarations) {
        reportRejected("declarations", revision, declarations.error());
        return;
    }
    if (m_declarations && declarations->version < m_declarations->version) {
        reportOutdated(declarations->version);
        return;
    }
    if (const Result<void> checked = checkReferences(declarations->objects); !checked) {
        reportRejected("declarations", revision, checked.error());
        return;
    }
    m_declarationsRevision = document.revision;
    if (!m_declarationsDocument || m_declarationsDocument->spec != document.spec) {
        m_declarationsChanged = true;
    }
    if (!m_declarations || m_declarations->version != declarations->version) {
        m_isStoreBehind = false;
        m_lastOutdatedVersion = 0;
    }
    m_declarations = std::move(*declarations);
    m_declarationsDocument = document;
}

std::optional<RosterEntry> Configuration::decodeTarget(const StoredDocument &document)
{
    const Result<TargetRecord> record = m_format.decodeTarget(document.name, document.spec);
    if (!record) {
        reportRejected("target " + document.name, std::to_string(document.revision), record.error());
        return std::nullopt;
    }
    return record->entry;
}

void Configuration::replaceTargets(const DocumentList &list, TimePoint now)
{
    std::vector<RosterEntry> entries;
    for (const StoredDocument &it : list.items) {
        if (std::optional<RosterEntry> entry = decodeTarget(it)) {
            entries.push_back(std::move(*entry));
        }
    }
    m_roster.replaceAll(std::move(entries), now);
    m_rosterRevision = std::max(m_rosterRevision, list.position.revision());
}

void Configuration::applyTargetChange(const DocumentChange &change, TimePoint now)
{
    m_rosterRevision = std::max(m_rosterRevision, change.document.revision);
    const std::optional<RosterEntry> entry = change.isDeleted ? std::nullopt : decodeTarget(change.document);
    if (entry) {
        m_roster.put(*entry, now);
    } else {
        m_roster.remove(TargetName{change.document.name}, now);
    }
}

// Logs one line for each target that was added, removed or changed since the last snapshot.
void Configuration::logTargets(const std::map<ServiceName, std::vector<Target>> &targets) const
{
    std::map<TargetName, std::pair<ServiceName, Target>> previous;
    for (const auto &[service, list] : m_targets) {
        for (const Target &it : list) {
            previous.emplace(it.name, std::pair(service, it));
        }
    }
    for (const auto &[service, list] : targets) {
        for (const Target &it : list) {
            const auto match = previous.find(it.name);
            const bool isUnchanged
                = match != previous.end() && match->second.second.state == it.state && match->second.second.address == it.address;
            if (match != previous.end()) {
                previous.erase(match);
            }
            if (!isUnchanged) {
                logEvent(Event::TargetListed,
                         {{"service", service.value},
                          {"target", it.name.value},
                          {"state", it.state == TargetState::Serving ? "serving" : "leaving"},
                          {"revision", std::to_string(m_rosterRevision)}});
            }
        }
    }
    for (const auto &[name, it] : previous) {
        logEvent(Event::TargetUnlisted,
                 {{"service", it.first.value}, {"target", name.value}, {"revision", std::to_string(m_rosterRevision)}});
    }
}

std::shared_ptr<const Snapshot> Configuration::buildSnapshotIfChanged(TimePoint now)
{
    std::map<ServiceName, std::vector<Target>> targets = m_roster.targets(now);
    if (!m_declarations || (!m_declarationsChanged && targets == m_targets)) {
        return nullptr;
    }
    if (m_snapshot && !m_declarationsChanged) {
        logTargets(targets);
        m_snapshot = m_snapshot->withTargets(targets, ++m_snapshotCount);
        m_targets = std::move(targets);
        return m_snapshot;
    }
    std::vector<Object> objects = m_declarations->objects;
    for (Object &it : objects) {
        if (auto *service = std::get_if<Service>(&it.spec)) {
            const auto match = targets.find(ServiceName{it.name});
            service->targets = match == targets.end() ? std::vector<Target>() : match->second;
        }
    }
    Result<std::shared_ptr<const Snapshot>> snapshot = Snapshot::build(objects, ++m_snapshotCount);
    if (!snapshot) {
        reportRejected("snapshot", std::to_string(m_snapshotCount), snapshot.error());
        return nullptr;
    }
    logTargets(targets);
    m_targets = std::move(targets);
    m_declarationsChanged = false;
    m_snapshot = *snapshot;
    return m_snapshot;
}

} // namespace Pollenspoke
