/// @file
/// The platform's services as this system sees them: the object store and the VM list.
///
/// Index of this file:
/// - [1] Object store   (WriteCondition, ObjectList, Change, Changes, ObjectStore, putVerified())
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
/// Result<Changes> changes = store.watch(stored->version, {}, 30s);
/// @endcode
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <pollenspoke/resources.h>
#include <pollenspoke/web.h>
#include <random>
#include <thread>

namespace Pollenspoke {

//-----------------------------------------------------------------------------
// [1] Object store
//-----------------------------------------------------------------------------

/// A write happens only if its condition holds at that moment.
struct MustNotExist
{
};
struct MustHaveVersion
{
    std::uint64_t version = 0;
};
using WriteCondition = std::variant<MustNotExist, MustHaveVersion>;

/// A stored object of a known kind that can't be decoded.
struct Unreadable
{
    Kind kind = Kind::ClientAccount;
    std::string name;
    std::uint64_t version = 0;
    Error error;
};

struct ObjectList
{
    std::uint64_t revision = 0; // the store's: each change up to it is contained
    std::vector<Object> items;
    std::vector<Unreadable> unreadable; // from a store that doesn't check; usually empty
};

enum class ChangeType { Put, Delete };

struct Change
{
    ChangeType type = ChangeType::Put;
    Object object; // Delete: version is that of the deletion
};

struct Changes
{
    std::uint64_t revision = 0; // pass it as `since` next time
    std::vector<Change> events; // ascending versions; empty when the wait ended first
    std::vector<Unreadable> unreadable;
};

/// The platform's object API. Calls block; each may come from any thread.
/// Errors: NotFound, VersionConflict, TooOld, Unavailable (not done), OutcomeUnknown (a write whose answer was lost).
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;
    virtual Result<Object> get(Kind kind, const std::string &name) = 0;
    virtual Result<ObjectList> list(const std::vector<Kind> &kinds) = 0; // empty: all kinds
    virtual Result<Object> put(const Object &object, const WriteCondition &condition) = 0;
    virtual Result<Object> putStatus(Kind kind, const std::string &name, const std::string &statusJson) = 0;
    virtual Result<void> remove(Kind kind, const std::string &name, std::uint64_t version) = 0;
    virtual Result<Changes> watch(std::uint64_t since, const std::vector<Kind> &kinds, Duration wait) = 0;
};

/// Writes, and when the answer is lost reads back and compares before it writes again. Accepted only when the store said
/// so or the read shows the same spec. OutcomeUnknown: neither could be had; the object may have been written.
Result<Object> putVerified(ObjectStore &store, const Object &object, const WriteCondition &condition, unsigned mostWrites = 3);

//-----------------------------------------------------------------------------
// [2] VM list
//-----------------------------------------------------------------------------

/// The platform's list of entry Vms. It lags behind the truth.
class VmDirectory
{
public:
    virtual ~VmDirectory() = default;
    virtual Result<VmList> vms() = 0;
};

/// A list in this process: the embedded default, and the stand-in in tests.
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

/// Faults that a MemoryStore plays. Set them at any time.
struct StoreFaults
{
    bool isDown = false;              // every call answers Unavailable, nothing is done
    std::uint32_t lostAnswers = 0;    // so many next writes take effect and answer OutcomeUnknown
    std::uint32_t missingChanges = 0; // so many next changes are never given to a watch, though its revision passes them
    bool isRepeating = false;         // watches give each change twice, the second time in reverse order
    Duration slowness{};              // each call takes so much longer, ns
    auto operator<=>(const StoreFaults &) const = default;
};

/// What a store held at one revision.
struct StoreBackup
{
    std::map<std::pair<Kind, std::string>, Object> objects;
    std::uint64_t revision = 0;
};

/// An object store in this process: the embedded default, and the stand-in of the platform in tests.
class MemoryStore final : public ObjectStore
{
public:
    explicit MemoryStore(std::size_t keptChanges = 10000); // a watch from before the oldest of them gets TooOld
    Result<Object> get(Kind kind, const std::string &name) override;
    Result<ObjectList> list(const std::vector<Kind> &kinds) override;
    Result<Object> put(const Object &object, const WriteCondition &condition) override;
    Result<Object> putStatus(Kind kind, const std::string &name, const std::string &statusJson) override;
    Result<void> remove(Kind kind, const std::string &name, std::uint64_t version) override;
    Result<Changes> watch(std::uint64_t since, const std::vector<Kind> &kinds, Duration wait) override;

    void setFaults(const StoreFaults &faults);
    std::uint64_t calls() const; // all calls so far, a watch counted once
    StoreBackup backup() const;
    void restore(const StoreBackup &backup); // forgets everything since, its revision included
    void endWatches();                       // waiting watches answer now and later ones don't wait; before the end of the process

private:
    using Place = std::pair<Kind, std::string>;

    void playSlowness() const;
    Result<void> enterCall();
    bool loseAnswer();
    void record(ChangeType type, const Object &object);
    Changes changesSince(std::uint64_t since, const std::vector<Kind> &kinds) const;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    const std::size_t m_keptChanges;
    std::map<Place, Object> m_objects;
    std::deque<Change> m_history;
    bool m_isEnding = false;
    std::uint64_t m_revision = 0;
    std::uint64_t m_oldestKept = 0; // changes after this revision are still in m_history
    std::uint64_t m_calls = 0;
    StoreFaults m_faults;
};

//-----------------------------------------------------------------------------
// [4] Over HTTP
//-----------------------------------------------------------------------------
// GET /v1/objects/{kind}/{name}, GET /v1/objects/{kind}, PUT (If-Match: "<version>" or If-None-Match: *), PUT .../status,
// DELETE (If-Match), GET /v1/objects?since=&kinds=&wait_ms=, GET /v1/vms. Failures are application/problem+json with
// code, path, detail, and version on 412.

struct HttpStoreOptions
{
    Address address;                // of the HTTP service
    std::uint32_t timeoutMs = 2000; // one call; a watch gets its wait besides
    bool isSystem = false;          // marks writes as the system's own, which may write QuotaGrant and VmRecord
};

/// The object protocol's client. A list of several kinds is made of one call each.
class HttpObjectStore final : public ObjectStore
{
public:
    explicit HttpObjectStore(HttpStoreOptions options);
    Result<Object> get(Kind kind, const std::string &name) override;
    Result<ObjectList> list(const std::vector<Kind> &kinds) override;
    Result<Object> put(const Object &object, const WriteCondition &condition) override;
    Result<Object> putStatus(Kind kind, const std::string &name, const std::string &statusJson) override;
    Result<void> remove(Kind kind, const std::string &name, std::uint64_t version) override;
    Result<Changes> watch(std::uint64_t since, const std::vector<Kind> &kinds, Duration wait) override;

private:
    Result<HttpReply> call(HttpRequest request, std::uint32_t timeoutMs) const;
    Result<ObjectList> listOnce(const std::vector<Kind> &kinds) const;

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

/// The object protocol's server. Calls may come from any thread; what it serves must outlive it.
class ObjectService
{
public:
    /// `operators` takes writes of operators, `system` those marked as the system's own; they may be the same store.
    ObjectService(ObjectStore &operators, ObjectStore &system, VmDirectory &vms);

    static bool handlesPath(const HttpRequest &request); // a path of this protocol
    HttpReply handle(const HttpRequest &request);

private:
    HttpReply answerObjects(const HttpRequest &request, const std::vector<std::string> &parts);
    HttpReply answerWatch(const HttpRequest &request);
    HttpReply answerPut(const HttpRequest &request, Kind kind, const std::string &name);
    HttpReply answerStatus(const HttpRequest &request, Kind kind, const std::string &name);
    HttpReply answerDelete(const HttpRequest &request, Kind kind, const std::string &name);
    ObjectStore &storeFor(const HttpRequest &request);

    ObjectStore &m_operators;
    ObjectStore &m_system;
    VmDirectory &m_vms;
};

//-----------------------------------------------------------------------------
// [5] Checked writes
//-----------------------------------------------------------------------------

/// Passes calls on to another store, and refuses what operators may not write: references to objects that aren't there, a
/// second claim on a secret or a route's match, removal of an object that others refer to, and the system's own kinds.
/// Nothing is written then. Writes are proved as by putVerified(). Two writes checked at the same moment on two Vms can still
/// contradict each other; followers then skip the later one.
class CheckedStore final : public ObjectStore
{
public:
    explicit CheckedStore(ObjectStore &store); // must outlive it
    Result<Object> get(Kind kind, const std::string &name) override;
    Result<ObjectList> list(const std::vector<Kind> &kinds) override;
    Result<Object> put(const Object &object, const WriteCondition &condition) override;
    Result<Object> putStatus(Kind kind, const std::string &name, const std::string &statusJson) override;
    Result<void> remove(Kind kind, const std::string &name, std::uint64_t version) override;
    Result<Changes> watch(std::uint64_t since, const std::vector<Kind> &kinds, Duration wait) override;

private:
    Result<void> checkChange(Kind kind, const std::string &name, const Object *replacement);

    ObjectStore &m_store;
};

//-----------------------------------------------------------------------------
// [6] Following
//-----------------------------------------------------------------------------

/// The kinds that operators declare and a Snapshot is built from.
const std::vector<Kind> &declaredKinds();

struct FollowerOptions
{
    Duration watchWait = std::chrono::seconds(1);            // longest wait of one watch: bounds the age of what is known
    Duration relistPeriod = std::chrono::seconds(10);        // finds changes that a watch left out; varied by a quarter
    Duration shortestPause = std::chrono::milliseconds(100); // after the first failure; doubles with each
    Duration longestPause = std::chrono::seconds(2);         // before the random part, which takes away up to half
    std::uint64_t seed = 1;                                  // of the pauses; different on each Vm
};

// What a follower reports.
struct SnapshotReady
{
    std::shared_ptr<const Snapshot> snapshot; // to be put in force
};
struct ObjectSkipped
{
    ObjectProblem problem;          // its previous good version stays, if there is one that still fits the others
    bool isPreviousInForce = false; // such a version is in force
    bool operator==(const ObjectSkipped &) const = default;
};
struct RevisionRefused
{
    std::uint64_t offered = 0; // by the store
    std::uint64_t inForce = 0; // stays
    std::string object;        // "Key/a" went back to an older version; empty: the whole store is older
    bool operator==(const RevisionRefused &) const = default;
};
struct StoreUnreachable
{
    Error error;
};
struct StoreHeard
{
};
using FollowerNotice = std::variant<SnapshotReady, ObjectSkipped, RevisionRefused, StoreUnreachable, StoreHeard>;

// What a follower does next.
struct ListNow
{
};
struct WatchFrom
{
    std::uint64_t since = 0;
};
struct PauseUntil
{
    TimePoint at;
};
using FollowerStep = std::variant<ListNow, WatchFrom, PauseUntil>;

struct FollowerState
{
    std::uint64_t revision = 0;             // every declared change up to it is in force or listed in `skipped`
    bool isStoreReachable = false;          // the last call was answered
    std::optional<TimePoint> lastContactAt; // when the last answered call to the store was made, by this Vm or a peer
    std::vector<ObjectSkipped> skipped;     // stored objects that aren't in force
    std::optional<RevisionRefused> refused; // what the store last offered, while that is refused
};

/// Decides what configuration is in force. Goes forwards only, by the store's revision and each object's version; takes
/// late, repeated and reordered changes. Pure: no I/O, thread or clock.
class FollowerCore
{
public:
    explicit FollowerCore(FollowerOptions options);

    FollowerStep nextStep(TimePoint now) const;
    std::vector<FollowerNotice> onList(const Result<ObjectList> &list, TimePoint askedAt, TimePoint now);
    std::vector<FollowerNotice> onChanges(const Result<Changes> &changes, TimePoint askedAt, TimePoint now);

    /// A list from a peer that heard the store at `heardAt`, by this Vm's clock. An older one is ignored: peers may lag.
    std::vector<FollowerNotice> onPeerList(const ObjectList &list, TimePoint heardAt);

    const FollowerState &state() const { return m_state; }

private:
    using Place = std::pair<Kind, std::string>;
    using Notices = std::vector<FollowerNotice>;
    struct Entry
    {
        std::uint64_t version = 0;
        std::optional<Object> object; // nothing: unreadable
        Error error;                  // of an unreadable one
    };

    void noteFailure(const Error &error, TimePoint now, Notices &notices);
    void noteAnswer(TimePoint askedAt, Notices &notices);
    std::optional<RevisionRefused> findReversion(const ObjectList &list) const;
    void replaceAll(const ObjectList &list);
    bool applyChange(const Place &place, ChangeType type, Entry entry);
    void rebuild(Notices &notices);
    std::vector<Object> resolve(std::vector<ObjectSkipped> &skipped) const;

    FollowerOptions m_options;
    std::mt19937_64 m_generator;
    FollowerState m_state;
    std::map<Place, Entry> m_stored;          // as the store has them
    std::map<Place, std::uint64_t> m_removed; // versions of deletions since the last list
    std::map<Place, Object> m_inForce;        // those in the last Snapshot
    std::uint64_t m_listRevision = 0;         // changes up to it are contained in the last list
    bool m_hasSnapshot = false;
    bool m_mustList = true;
    TimePoint m_listAt{};
    TimePoint m_pauseUntil{};
    unsigned m_failures = 0; // in a row
};

/// Drives a FollowerCore with a store, on a thread of its own. `onNotice` is called on that thread, or on that of a peer feed.
class ConfigFollower
{
public:
    using Handler = std::function<void(const FollowerNotice &)>;

    ConfigFollower(ObjectStore &store, const Clock &clock, FollowerOptions options, Handler onNotice); // all must outlive it
    ~ConfigFollower();
    ConfigFollower(const ConfigFollower &) = delete;
    ConfigFollower &operator=(const ConfigFollower &) = delete;

    void start();
    void requestStop(); // returns at once; the destructor waits for the call under way
    FollowerState state() const;
    void offerPeerList(const ObjectList &list, TimePoint heardAt); // a second source, from any thread

private:
    void run();
    void report(const std::vector<FollowerNotice> &notices) const;

    ObjectStore &m_store;
    const Clock &m_clock;
    FollowerOptions m_options;
    Handler m_onNotice;
    mutable std::mutex m_mutex; // guards m_core and m_isStopping; held while notices go out, so that they keep their order
    std::condition_variable m_stopping;
    FollowerCore m_core;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace Pollenspoke
