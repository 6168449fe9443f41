/// @file
/// Clients, servers and in-memory implementations of the platform's object store and VM list, and the follower that keeps the
/// configuration up to date.
///
/// Index of this file:
/// - [1] Object store   (WriteCondition, StoreEras, StoredObject, ObjectList, Change, Changes, ObjectStore, putVerified())
/// - [2] VM list        (VmDirectory, MemoryVmDirectory)
/// - [3] Memory store   (StoreFaults, StoreBackup, MemoryStore)
/// - [4] Over HTTP      (HttpObjectStore, HttpVmDirectory, ObjectService)
/// - [5] Checked writes (CheckedStore)
/// - [6] Following      (FollowerCore, ConfigFollower)
///
/// Example:
/// @code
/// MemoryStore store;
/// Result<Object> stored = store.put(object, MustNotExist{});
/// Result<Changes> changes = store.watch(store.list({})->position, {}, 30s);
/// @endcode
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <pollenspoke/resources.h>
#include <pollenspoke/web.h>
#include <random>
#include <set>
#include <thread>

namespace Pollenspoke {

//-----------------------------------------------------------------------------
// [1] Object store
//-----------------------------------------------------------------------------

/// Precondition of a write, checked atomically with it.
struct MustNotExist
{
};
struct MustHaveVersion
{
    std::uint64_t version = 0;
    std::uint64_t era = 0; // of the store when the version was read; 0: not checked
};
using WriteCondition = std::variant<MustNotExist, MustHaveVersion>;

/// A stored object whose kind is supported but whose content can't be decoded.
struct UndecodableObject
{
    Kind kind = Kind::ClientAccount;
    std::string name;
    std::uint64_t version = 0;
    Error error;
};

/// The eras that a store has gone through to its present contents, oldest first. A store that is restored from a copy continues the
/// history of the copy in a new era; eras that the copy knows nothing of are not part of it. Immutable.
class StoreEras
{
public:
    /// One era, and the revision of the copy with which it began. 0 for the first era.
    struct Era
    {
        std::uint64_t era = 0;
        std::uint64_t start = 0;
        auto operator<=>(const Era &) const = default;
    };

    StoreEras() = default; // of a store that doesn't tell its era
    static StoreEras first();
    static Result<StoreEras> fromList(std::vector<Era> eras); // OutOfRange unless eras and starts ascend; empty: the store doesn't tell

    StoreEras restoredAs(std::uint64_t era, std::uint64_t revision) const; // of a store restored from a copy at `revision`
    std::uint64_t era() const { return m_eras.empty() ? 0 : m_eras.back().era; }
    std::uint64_t start() const { return m_eras.empty() ? 0 : m_eras.back().start; }
    StorePosition positionOf(std::uint64_t version) const; // at which the object of that version was written
    bool contains(const StorePosition &position) const;    // whether the present contents result from it; false: it was lost
    const std::vector<Era> &list() const { return m_eras; }
    bool operator==(const StoreEras &) const = default;

private:
    std::vector<Era> m_eras;
};

struct StoredObject
{
    Object object;
    std::uint64_t era = 0;      // of the store when it was read
    std::uint64_t eraStart = 0; // see StoreEras::start()

    bool isFromCopy() const { return object.version <= eraStart; } // not written since the store was restored
};

struct RemovedObject
{
    Kind kind = Kind::ClientAccount;
    std::string name;
    std::uint64_t version = 0; // of the deletion
    auto operator<=>(const RemovedObject &) const = default;
};

struct ObjectList
{
    StorePosition position; // of the store; the list contains every change up to it
    StoreEras eras;         // the last one is that of `position`
    std::vector<Object> items;
    std::vector<UndecodableObject> undecodable; // possible if the store doesn't validate writes; usually empty
    std::vector<RemovedObject> removed;         // since the store was first restored; the store may drop old ones
};

enum class ChangeType { Put, Delete };

struct Change
{
    ChangeType type = ChangeType::Put;
    Object object; // Delete: `version` is that of the deletion
};

struct Changes
{
    StorePosition position;     // `since` of the next watch
    std::vector<Change> events; // of the era of `position`; ascending versions; empty if the wait timed out
    std::vector<UndecodableObject> undecodable;
};

/// The platform's object API. Calls block and are thread-safe.
/// Errors: NotFound, VersionConflict, TooOld, Unavailable (not executed), OutcomeUnknown (a write whose response was lost).
/// A watch from a position of another era gets TooOld, since its revision may have been given out again; era 0 isn't checked.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;
    virtual Result<StoredObject> get(Kind kind, const std::string &name) = 0;
    virtual Result<ObjectList> list(const std::vector<Kind> &kinds) = 0; // empty: all kinds
    virtual Result<Object> put(const Object &object, const WriteCondition &condition) = 0;
    virtual Result<Object> putStatus(Kind kind, const std::string &name, const std::string &statusJson) = 0;
    virtual Result<void> remove(Kind kind, const std::string &name, const MustHaveVersion &condition) = 0;
    virtual Result<Changes> watch(const StorePosition &since, const std::vector<Kind> &kinds, Duration wait) = 0;
};

/// Writes an object. If the response is lost, reads the object back and compares it before retrying. Succeeds only if the store
/// confirmed the write, or the object read back has the same spec and was written in the store's present era. OutcomeUnknown: neither; the
/// object may have been written.
Result<Object> putVerified(ObjectStore &store, const Object &object, const WriteCondition &condition, unsigned maxWrites = 3);

//-----------------------------------------------------------------------------
// [2] VM list
//-----------------------------------------------------------------------------

/// The platform's list of Vms that accept callers. It may be out of date.
class VmDirectory
{
public:
    virtual ~VmDirectory() = default;
    virtual Result<VmList> vms() = 0;
};

/// In-memory VM list: the default of the embedded mode, and a fake for tests.
class MemoryVmDirectory final : public VmDirectory
{
public:
    explicit MemoryVmDirectory(std::vector<VmEntry> vms = {});
    Result<VmList> vms() override;
    void setVms(std::vector<VmEntry> vms);

private:
    std::mutex m_mutex;
    VmList m_list;
};

//-----------------------------------------------------------------------------
// [3] Memory store
//-----------------------------------------------------------------------------

/// Faults that a MemoryStore simulates. They can be changed at any time.
struct StoreFaults
{
    bool isDown = false;              // every call fails with Unavailable and has no effect
    std::uint32_t lostResponses = 0;  // number of next writes that take effect but return OutcomeUnknown
    std::uint32_t droppedChanges = 0; // number of next changes that watches omit although their revision passes them
    bool isDuplicating = false;       // watches return each change twice, the second time in reverse order
    Duration extraLatency{};          // added to each call, ns
    auto operator<=>(const StoreFaults &) const = default;
};

/// Contents of a store at one revision.
struct StoreBackup
{
    std::map<std::pair<Kind, std::string>, Object> objects;
    std::uint64_t revision = 0;
    StoreEras eras;
    std::map<std::pair<Kind, std::string>, std::uint64_t> removed; // versions of deletions since the first restore
};

/// In-memory object store: the default of the embedded mode, and a fake of the platform's store for tests.
class MemoryStore final : public ObjectStore
{
public:
    explicit MemoryStore(std::size_t maxHistory = 10000); // changes; a watch from before the oldest gets TooOld
    Result<StoredObject> get(Kind kind, const std::string &name) override;
    Result<ObjectList> list(const std::vector<Kind> &kinds) override;
    Result<Object> put(const Object &object, const WriteCondition &condition) override;
    Result<Object> putStatus(Kind kind, const std::string &name, const std::string &statusJson) override;
    Result<void> remove(Kind kind, const std::string &name, const MustHaveVersion &condition) override;
    Result<Changes> watch(const StorePosition &since, const std::vector<Kind> &kinds, Duration wait) override;

    void setFaults(const StoreFaults &faults);
    std::uint64_t calls() const; // total number of calls; a watch counts once
    StoreBackup backup() const;
    /// Discards all later changes and goes back to the revision of the backup, in a new era. Earlier watches get TooOld.
    void restore(const StoreBackup &backup);
    void endWatches(); // waiting watches return now and later ones don't wait; called at shutdown

private:
    using ObjectId = std::pair<Kind, std::string>;

    void applyExtraLatency() const;
    Result<void> beginCall();
    bool loseResponse();
    void record(ChangeType type, const Object &object);
    void recordRemoval(const ObjectId &id);
    Changes changesSince(std::uint64_t since, const std::vector<Kind> &kinds) const;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    const std::size_t m_maxHistory;
    std::map<ObjectId, Object> m_objects;
    std::deque<Change> m_history;
    std::map<ObjectId, std::uint64_t> m_removed; // see StoreBackup
    bool m_watchesEnded = false;
    StoreEras m_eras = StoreEras::first();
    std::uint64_t m_revision = 0;
    std::uint64_t m_compactedRevision = 0; // changes up to it have been removed from m_history
    std::uint64_t m_calls = 0;
    StoreFaults m_faults;
};

//-----------------------------------------------------------------------------
// [4] Over HTTP
//-----------------------------------------------------------------------------
// GET /v1/objects/{kind}/{name}, GET /v1/objects/{kind}, PUT (If-Match: "<version>" or If-None-Match: *), PUT .../status,
// DELETE (If-Match), GET /v1/objects?since=&kinds=&wait_ms=, GET /v1/vms. Failures are application/problem+json with
// code, path, detail, and version on 412. Lists and watches have `eras`, a list of {era, start} as in StoreEras; a server that
// doesn't send it is in era 0. They and single objects have the header Pollenspoke-Store-Era, single objects also
// Pollenspoke-Store-Era-Start. A watch with era=, and a write that has If-Match and the era header, fail in any other era (410, 412).

struct HttpStoreOptions
{
    Address address;                // of the object service
    std::uint32_t timeoutMs = 2000; // per call; a watch adds its wait time
    bool isSystem = false;          // marks writes as internal, which allows QuotaGrant and VmRecord
};

/// HTTP client of the object protocol. Listing several kinds takes one call per kind.
class HttpObjectStore final : public ObjectStore
{
public:
    explicit HttpObjectStore(HttpStoreOptions options);
    Result<StoredObject> get(Kind kind, const std::string &name) override;
    Result<ObjectList> list(const std::vector<Kind> &kinds) override;
    Result<Object> put(const Object &object, const WriteCondition &condition) override;
    Result<Object> putStatus(Kind kind, const std::string &name, const std::string &statusJson) override;
    Result<void> remove(Kind kind, const std::string &name, const MustHaveVersion &condition) override;
    Result<Changes> watch(const StorePosition &since, const std::vector<Kind> &kinds, Duration wait) override;

private:
    Result<HttpReply> call(HttpRequest request, std::uint32_t timeoutMs) const;
    Result<ObjectList> listKinds(const std::vector<Kind> &kinds) const;

    HttpStoreOptions m_options;
    HttpClient m_client;
};

class HttpVmDirectory final : public VmDirectory
{
public:
    explicit HttpVmDirectory(HttpStoreOptions options);
    Result<VmList> vms() override;

private:
    HttpStoreOptions m_options;
    HttpClient m_client;
};

/// HTTP server side of the object protocol. Thread-safe; the stores and the VM list must outlive it.
class ObjectService
{
public:
    /// `operators` receives operators' writes and all reads, `system` the writes marked as internal; both may be the same store.
    ObjectService(ObjectStore &operators, ObjectStore &system, VmDirectory &vms);

    static bool handlesPath(const HttpRequest &request); // whether the path belongs to this protocol
    HttpReply handle(const HttpRequest &request);

private:
    HttpReply handleObjects(const HttpRequest &request, const std::vector<std::string> &parts);
    HttpReply handleWatch(const HttpRequest &request);
    HttpReply handlePut(const HttpRequest &request, Kind kind, const std::string &name);
    HttpReply handleStatus(const HttpRequest &request, Kind kind, const std::string &name);
    HttpReply handleDelete(const HttpRequest &request, Kind kind, const std::string &name);
    ObjectStore &storeFor(const HttpRequest &request);

    ObjectStore &m_operators;
    ObjectStore &m_system;
    VmDirectory &m_vms;
};

//-----------------------------------------------------------------------------
// [5] Checked writes
//-----------------------------------------------------------------------------

/// Forwards calls to another store and rejects writes that operators may not make: references to missing objects, a duplicate
/// secret or route match, re-activation of a withdrawn key, removal of an object that others refer to, and writes to the
/// system-owned kinds. A rejected call writes nothing. Writes go through putVerified(). Writes validated concurrently on two Vms
/// can still conflict; followers then skip the later one.
class CheckedStore final : public ObjectStore
{
public:
    explicit CheckedStore(ObjectStore &store); // must outlive it
    Result<StoredObject> get(Kind kind, const std::string &name) override;
    Result<ObjectList> list(const std::vector<Kind> &kinds) override;
    Result<Object> put(const Object &object, const WriteCondition &condition) override;
    Result<Object> putStatus(Kind kind, const std::string &name, const std::string &statusJson) override;
    Result<void> remove(Kind kind, const std::string &name, const MustHaveVersion &condition) override;
    Result<Changes> watch(const StorePosition &since, const std::vector<Kind> &kinds, Duration wait) override;

private:
    Result<StoreEras> checkChange(Kind kind, const std::string &name, const Object *replacement);

    ObjectStore &m_store;
};

//-----------------------------------------------------------------------------
// [6] Following
//-----------------------------------------------------------------------------

/// The kinds that operators write. A Snapshot is built from these.
const std::vector<Kind> &declaredKinds();

struct FollowerOptions
{
    Duration watchWait = std::chrono::seconds(1);             // maximum wait of one watch; bounds the age of the configuration
    Duration relistPeriod = std::chrono::seconds(10);         // catches changes that a watch missed; randomized by +/- 25%
    Duration initialBackoff = std::chrono::milliseconds(100); // after the first failure; doubles with each further one
    Duration maxBackoff = std::chrono::seconds(2);            // before jitter, which shortens it by up to half
    std::uint64_t seed = 1;                                   // of the jitter; different on each Vm
};

// Notices that a follower emits.
struct SnapshotReady
{
    std::shared_ptr<const Snapshot> snapshot; // the configuration to apply
};
struct ObjectSkipped
{
    ObjectProblem problem;          // why the stored version isn't used
    bool isPreviousInForce = false; // the last valid version is still consistent with the others and stays in force
    bool operator==(const ObjectSkipped &) const = default;
};
struct RevisionRefused
{
    StorePosition offered; // of the store
    StorePosition inForce; // what stays in force
    std::string object;    // "Key/a": this object has an older version; empty: the whole store is older
    bool operator==(const RevisionRefused &) const = default;
};
struct StoreRestored // the store was restored from an older copy
{
    StorePosition previous; // last position in the era before
    StorePosition current;
    std::size_t kept = 0;  // objects whose newer state stays in force until the store has a later write of them
    std::size_t taken = 0; // objects whose state in the store came into force
    bool operator==(const StoreRestored &) const = default;
};
struct StoreUnreachable
{
    Error error;
};
struct StoreReconnected
{
};
using FollowerNotice = std::variant<SnapshotReady, ObjectSkipped, RevisionRefused, StoreRestored, StoreUnreachable, StoreReconnected>;

// Next action of a follower.
struct ListNow
{
};
struct WatchFrom
{
    StorePosition since;
};
struct PauseUntil
{
    TimePoint at;
};
using FollowerStep = std::variant<ListNow, WatchFrom, PauseUntil>;

struct FollowerState
{
    StorePosition position;                 // every change to declared kinds up to it is in force or in `skipped`
    bool isStoreReachable = false;          // the last call to the store got a response
    std::optional<TimePoint> lastContactAt; // start of the last answered call to the store, by this Vm or a peer
    std::vector<ObjectSkipped> skipped;     // stored objects whose current version isn't in force
    std::set<std::string> kept;             // "Key/a": its state is from before a restore, and newer than that in the store
    std::optional<RevisionRefused> refused; // the refused revision, while the store's contents are refused
};

/// State machine that decides which configuration is in force. Within an era the store's revision and each object's version only
/// increase. If the store was restored from an older copy, an object whose state is newer than in the copy keeps it until the store has a
/// write of it in the new era. Delayed, duplicate and reordered answers are tolerated. Does no I/O and uses no thread or clock.
class FollowerCore
{
public:
    explicit FollowerCore(FollowerOptions options);

    FollowerStep nextStep(TimePoint now) const;
    std::vector<FollowerNotice> onList(const Result<ObjectList> &list, TimePoint requestedAt, TimePoint now);
    std::vector<FollowerNotice> onChanges(const Result<Changes> &changes, TimePoint requestedAt, TimePoint now);

    /// Applies a list from a peer whose last contact with the store was at `contactAt`, on this Vm's clock. A list older than the
    /// state of this Vm is ignored, because peers may lag.
    std::vector<FollowerNotice> onPeerList(const ObjectList &list, TimePoint contactAt);

    const FollowerState &state() const { return m_state; }

private:
    using ObjectId = std::pair<Kind, std::string>;
    using Notices = std::vector<FollowerNotice>;
    struct Entry
    {
        StorePosition writtenAt;
        std::optional<Object> object; // unset: it can't be decoded
        Error error;                  // why it can't be decoded
    };
    struct Resolution
    {
        std::vector<Object> objects;
        std::map<ObjectId, StorePosition> writtenAt;
        std::vector<ObjectSkipped> skipped;
    };

    void recordFailure(const Error &error, TimePoint now, Notices &notices);
    void recordResponse(TimePoint requestedAt, Notices &notices);
    static std::map<ObjectId, Entry> entriesOf(const ObjectList &list);
    StorePosition lastKnown(const ObjectId &id) const;
    std::optional<RevisionRefused> findRollback(const ObjectList &list) const;
    void beginFirstEra(std::uint64_t era);
    void merge(const ObjectList &list, Notices &notices);
    void bury(const ObjectId &id, const StorePosition &position);
    bool applyChange(const ObjectId &id, ChangeType type, Entry entry);
    void rebuild(Notices &notices);
    Resolution resolve() const;

    FollowerOptions m_options;
    std::mt19937_64 m_generator;
    FollowerState m_state;
    std::map<ObjectId, Entry> m_stored;             // as last seen in the store, or kept since the store lost it
    std::map<ObjectId, StorePosition> m_tombstones; // of deletions; of one that only a list showed, the position of the list
    std::map<ObjectId, Object> m_inForce;           // contents of the last Snapshot
    std::map<ObjectId, StorePosition> m_inForceAt;  // at which they were written
    StorePosition m_listPosition;                   // of the last list, which contains all changes up to it
    std::uint64_t m_snapshotCount = 0;              // numbers snapshots, because a restored store's revisions go back
    bool m_hasSnapshot = false;
    bool m_isListRequired = true;
    TimePoint m_nextListAt{};
    TimePoint m_pauseUntil{};
    unsigned m_consecutiveFailures = 0;
};

/// Runs a FollowerCore against a store on its own thread. `onNotice` is called on that thread or on the caller's of
/// offerPeerList().
class ConfigFollower
{
public:
    using Handler = std::function<void(const FollowerNotice &)>;

    ConfigFollower(ObjectStore &store, const Clock &clock, FollowerOptions options, Handler onNotice); // all must outlive it
    ~ConfigFollower();
    ConfigFollower(const ConfigFollower &) = delete;
    ConfigFollower &operator=(const ConfigFollower &) = delete;

    void start();
    void requestStop(); // doesn't block; the destructor waits for the call in progress
    FollowerState state() const;
    void offerPeerList(const ObjectList &list, TimePoint contactAt); // a list from another Vm; thread-safe

private:
    void run();
    void report(const std::vector<FollowerNotice> &notices) const;

    ObjectStore &m_store;
    const Clock &m_clock;
    FollowerOptions m_options;
    Handler m_onNotice;
    mutable std::mutex m_mutex; // guards m_core and m_isStopping; held during onNotice, to keep notices in order
    std::condition_variable m_stopping;
    FollowerCore m_core;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace Pollenspoke
