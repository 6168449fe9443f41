/// @file
/// Builds Snapshots from the store's content: the declarations in force and the registered targets.
#pragma once

#include <pollenspoke/fleet.h>

namespace Pollenspoke {

class Configuration
{
public:
    Configuration(const PlatformFormat &format, Metrics &metrics); // both must outlive this object

    void applyDeclarations(const StoredDocument &document); // if invalid, the previous declarations stay in force
    void replaceTargets(const DocumentList &list, TimePoint now);
    void applyTargetChange(const DocumentChange &change, TimePoint now);
    TargetRoster &roster() { return m_roster; }

    void replaceEvacuations(const DocumentList &list, TimePoint now);
    void applyEvacuationChange(const DocumentChange &change, TimePoint now);
    bool hasEvacuations() const { return m_evacuationsPosition.has_value(); } // false: not listed yet

    /// The registrations up to this position of the store are in the roster. Until then, a target of a domain whose evacuation has ended
    /// may have become cold unnoticed. Returns true if that changes for a target.
    bool noteTargetsKnown(const StorePosition &position);

    void noteStoreRestored(TimePoint noticedAt); // from an older copy; call it before applying what the restored store has
    std::vector<TargetDeparture> departures(TimePoint now) const { return m_roster.departures(now); }
    void applyDepartures(const std::vector<TargetDeparture> &departures, TimePoint now) { m_roster.applyDepartures(departures, now); }

    std::uint64_t declarationsVersion() const { return m_declarations ? m_declarations->version : 0; }   // 0: none
    const std::optional<StoredDocument> &declarationsDocument() const { return m_declarationsDocument; } // of those in force
    std::uint64_t declarationsRevision() const { return m_declarationsRevision; }                        // of the store
    std::uint64_t rosterRevision() const { return m_rosterRevision; }                                    // of the store
    void noteTargetChange(const StorePosition &position) { m_newestTargetChange = std::max(m_newestTargetChange, position); }
    const StorePosition &newestTargetChange() const { return m_newestTargetChange; } // in the roster

    /// Returns nullptr before the first declarations, when nothing changed since the last call, or when the build failed.
    std::shared_ptr<const Snapshot> buildSnapshotIfChanged(TimePoint now);

private:
    void addEvacuation(const StoredDocument &document, const StorePosition &position, Duration age);
    void endEvacuation(const FailureDomain &domain, const StorePosition &position, Duration age);
    void markTargets(std::map<ServiceName, std::vector<Target>> &targets) const;
    bool mayBeCold(const FailureDomain &domain) const;
    std::optional<RosterEntry> decodeTarget(const StoredDocument &document);
    void logTargets(const std::map<ServiceName, std::vector<Target>> &targets) const;
    void logWithheld();
    void reportOutdated(std::uint64_t version);
    void reportRejected(const std::string &object, const std::string &version, const Error &error);

    const PlatformFormat &m_format;
    Metrics &m_metrics;
    std::optional<Declarations> m_declarations;
    std::optional<StoredDocument> m_declarationsDocument;
    TargetRoster m_roster;
    std::shared_ptr<const Snapshot> m_snapshot;           // the last one; null: none yet
    std::map<ServiceName, std::vector<Target>> m_targets; // in the last snapshot
    std::map<TargetName, RegistrationNumber> m_withheld;  // as last logged
    std::map<FailureDomain, StorePosition> m_evacuations; // with the position of the entry
    std::optional<StorePosition> m_evacuationsPosition;   // of the last list; evacuations that ended before it may be unknown to this Vm
    std::map<FailureDomain, StorePosition> m_returned;    // domains whose evacuation has ended, with the position of the end
    StorePosition m_targetsKnown;                         // see noteTargetsKnown()
    StorePosition m_newestTargetChange;
    bool m_declarationsChanged = false;      // since the last snapshot
    bool m_isStoreBehind = false;            // no newer declarations since the store was restored
    std::uint64_t m_lastOutdatedVersion = 0; // last one reported since the declarations in force were taken
    std::uint64_t m_declarationsRevision = 0;
    std::uint64_t m_rosterRevision = 0;
    std::uint64_t m_snapshotCount = 0;
};

} // namespace Pollenspoke
