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

    void noteStoreRestored(TimePoint noticedAt); // from an older copy; call it before applying what the restored store has
    std::vector<TargetDeparture> departures(TimePoint now) const { return m_roster.departures(now); }
    void applyDepartures(const std::vector<TargetDeparture> &departures, TimePoint now) { m_roster.applyDepartures(departures, now); }

    std::uint64_t declarationsVersion() const { return m_declarations ? m_declarations->version : 0; }   // 0: none
    const std::optional<StoredDocument> &declarationsDocument() const { return m_declarationsDocument; } // of those in force
    std::uint64_t declarationsRevision() const { return m_declarationsRevision; }                        // of the store
    std::uint64_t rosterRevision() const { return m_rosterRevision; }                                    // of the store

    /// Returns nullptr before the first declarations, when nothing changed since the last call, or when the build failed.
    std::shared_ptr<const Snapshot> buildSnapshotIfChanged(TimePoint now);

private:
    std::optional<RosterEntry> decodeTarget(const StoredDocument &document);
    void logTargets(const std::map<ServiceName, std::vector<Target>> &targets) const;
    void reportOutdated(std::uint64_t version);
    void reportRejected(const std::string &object, const std::string &version, const Error &error);

    const PlatformFormat &m_format;
    Metrics &m_metrics;
    std::optional<Declarations> m_declarations;
    std::optional<StoredDocument> m_declarationsDocument;
    TargetRoster m_roster;
    std::shared_ptr<const Snapshot> m_snapshot;           // the last one; null: none yet
    std::map<ServiceName, std::vector<Target>> m_targets; // in the last snapshot
    bool m_declarationsChanged = false;                   // since the last snapshot
    bool m_isStoreBehind = false;                         // no newer declarations since the store was restored
    std::uint64_t m_lastOutdatedVersion = 0;              // last one reported since the declarations in force were taken
    std::uint64_t m_declarationsRevision = 0;
    std::uint64_t m_rosterRevision = 0;
    std::uint64_t m_snapshotCount = 0;
};

} // namespace Pollenspoke
