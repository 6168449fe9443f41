#include "configuration.h"

#include <set>

namespace Pollenspoke {

namespace {

std::string toString(const std::optional<RegistrationNumber> &number)
{
    return number ? std::to_string(number->startedAtMs) + "/" + std::to_string(number->sequence) : "none";
}

} // namespace

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
    noteTargetChange(list.position);
    noteTargetsKnown(list.position);
}

void Configuration::applyTargetChange(const DocumentChange &change, TimePoint now)
{
    m_rosterRevision = std::max(m_rosterRevision, change.document.revision);
    noteTargetChange(change.position);
    const std::optional<RosterEntry> entry = change.isDeleted ? std::nullopt : decodeTarget(change.document);
    if (entry) {
        m_roster.put(*entry, now);
    } else {
        m_roster.remove(TargetName{change.document.name}, now);
    }
}

//-----------------------------------------------------------------------------
// Evacuations
//-----------------------------------------------------------------------------

void Configuration::addEvacuation(const StoredDocument &document, const StorePosition &position, Duration age)
{
    const Result<FailureDomain> domain = m_format.decodeEvacuation(document.name, document.spec);
    if (!domain) {
        reportRejected("evacuation " + document.name, std::to_string(document.revision), domain.error());
        return;
    }
    m_returned.erase(*domain);
    if (!m_evacuations.insert_or_assign(*domain, position).second) {
        return;
    }
    m_metrics.setGauge(Gauge::EvacuatedDomains, static_cast<std::int64_t>(m_evacuations.size()));
    logEvent(Event::DomainEvacuated,
             {{"domain", domain->value},
              {"position", toString(position)},
              {"age_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(age).count())}});
}

void Configuration::endEvacuation(const FailureDomain &domain, const StorePosition &position, Duration age)
{
    if (m_evacuations.erase(domain) == 0) {
        return;
    }
    m_returned.insert_or_assign(domain, position);
    m_metrics.setGauge(Gauge::EvacuatedDomains, static_cast<std::int64_t>(m_evacuations.size()));
    logEvent(Event::DomainReturned,
             {{"domain", domain.value},
              {"position", toString(position)},
              {"age_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(age).count())}});
}

// An entry that has become unreadable stays in force as it was.
void Configuration::replaceEvacuations(const DocumentList &list, TimePoint /*now*/)
{
    std::set<FailureDomain> listed;
    for (const StoredDocument &it : list.items) {
        listed.insert(FailureDomain{it.name});
        addEvacuation(it, {list.position.era(), it.revision}, Duration(0));
    }
    const std::map<FailureDomain, StorePosition> previous = m_evacuations;
    for (const auto &[domain, position] : previous) {
        if (!listed.contains(domain)) {
            endEvacuation(domain, list.position, Duration(0));
        }
    }
    m_evacuationsPosition = list.position;
}

void Configuration::applyEvacuationChange(const DocumentChange &change, TimePoint /*now*/)
{
    if (change.isDeleted) {
        endEvacuation(FailureDomain{change.document.name}, change.position, change.age);
    } else {
        addEvacuation(change.document, change.position, change.age);
    }
}

// An evacuation may have begun and ended before the last list, which doesn't show it.
bool Configuration::mayBeCold(const FailureDomain &domain) const
{
    const auto returned = m_returned.find(domain);
    return (returned != m_returned.end() && m_targetsKnown < returned->second)
        || (m_evacuationsPosition && m_targetsKnown < *m_evacuationsPosition);
}

bool Configuration::noteTargetsKnown(const StorePosition &position)
{
    if (position <= m_targetsKnown) {
        return false;
    }
    const bool wasListPending = m_evacuationsPosition && m_targetsKnown < *m_evacuationsPosition;
    m_targetsKnown = position;
    const bool isListKnown = wasListPending && m_targetsKnown >= *m_evacuationsPosition;
    const std::size_t n = std::erase_if(m_returned, [this](const auto &it) { return it.second <= m_targetsKnown; });
    return isListKnown || n > 0;
}

void Configuration::markTargets(std::map<ServiceName, std::vector<Target>> &targets) const
{
    for (auto &[service, list] : targets) {
        for (Target &it : list) {
            it.isEvacuated = m_evacuations.contains(it.failureDomain);
            it.isWarmupUnknown = !it.isEvacuated && mayBeCold(it.failureDomain);
        }
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
                          {"number", toString(m_roster.knownNumber(it.name))},
                          {"revision", std::to_string(m_rosterRevision)}});
            }
        }
    }
    for (const auto &[name, it] : previous) {
        logEvent(Event::TargetUnlisted,
                 {{"service", it.first.value}, {"target", name.value}, {"revision", std::to_string(m_rosterRevision)}});
    }
}

void Configuration::logWithheld()
{
    std::map<TargetName, RegistrationNumber> withheld = m_roster.withheldNumbers();
    for (const auto &[name, number] : withheld) {
        const auto logged = m_withheld.find(name);
        if (logged == m_withheld.end() || logged->second != number) {
            logEvent(Event::TargetEntryWithheld,
                     {{"target", name.value},
                      {"number", toString(number)},
                      {"known", toString(m_roster.knownNumber(name))},
                      {"revision", std::to_string(m_rosterRevision)}});
        }
    }
    m_withheld = std::move(withheld);
}

std::shared_ptr<const Snapshot> Configuration::buildSnapshotIfChanged(TimePoint now)
{
    std::map<ServiceName, std::vector<Target>> targets = m_roster.targets(now);
    logWithheld();
    markTargets(targets);
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
