/// @file
/// A Vm of the proxy fleet: follows the configuration and the targets in the platform's store, exchanges status with the other
/// Vms, and tells callers which addresses to connect to.
///
/// Index of this file:
/// - [1] Document store  (StoredDocument, DocumentList, DocumentChanges, ReadConsistency, DocumentStore)
/// - [2] Platform        (Declarations, TargetRecord, VmRegistration, PlatformFormat, PlatformAdapter)
/// - [3] Pages           (PageRequest, Page, PageServer)
/// - [4] Fleet           (FleetOptions, FleetVm)
///
/// Example:
/// @code
/// FleetVm vm(options, {.openStore = openStore, .format = format});
/// Result<void> started = vm.start();
/// ...
/// vm.stop();
/// @endcode
#pragma once

#include <boost/asio.hpp>
#include <pollenspoke/proxy.h>
#include <pollenspoke/web.h>

namespace Pollenspoke {

//-----------------------------------------------------------------------------
// [1] Document store
//-----------------------------------------------------------------------------

struct PackedText; // private

/// An object of the platform's store, with its content not yet decoded.
struct StoredDocument
{
    std::string name;
    std::uint64_t revision = 0; // store revision of the last change
    std::uint64_t created = 0;  // store revision of the creation; 0: unknown
    JsonValue spec;
    std::shared_ptr<const PackedText> packedSpec; // the same, if another Vm sent it compressed
};

struct DocumentList
{
    StorePosition position; // the list includes every change up to it
    std::vector<StoredDocument> items;
};

struct DocumentChange
{
    bool isDeleted = false;
    StoredDocument document;
    StorePosition position; // of the change
    Duration age{};         // since the first Vm got it from the store, without the transfers between Vms
    std::uint32_t hops = 0; // Vms that it passed through before this one
};

struct DocumentChanges
{
    StorePosition position; // pass it as `since` to the next watch
    std::vector<DocumentChange> events;
};

enum class ReadConsistency {
    Current,    // includes every change acknowledged before the call
    MayBeStale, // may lag by seconds but costs less; a watch from its position returns the missing changes
};

/// Client of the platform's store, which groups documents by kind. Errors: NotFound, VersionConflict, TooOld (the store no
/// longer has the changes since that position: list again), Unavailable (the call had no effect), OutcomeUnknown (a write got
/// no answer), InvalidSyntax (the answer can't be parsed).
class DocumentStore
{
public:
    template<typename Value>
    using Call = boost::asio::awaitable<Result<Value>>;

    virtual ~DocumentStore() = default;
    virtual Call<DocumentList> list(std::string kind, ReadConsistency consistency) = 0;
    virtual Call<DocumentChanges> watch(std::string kind, StorePosition since, Duration wait) = 0;
    virtual Call<StoredDocument> create(std::string kind, std::string name, JsonValue spec) = 0;
    virtual Call<StoredDocument> replace(std::string kind, std::string name, JsonValue spec, std::uint64_t revision) = 0;
    virtual Call<void> remove(std::string kind, std::string name, std::uint64_t revision) = 0;
};

//-----------------------------------------------------------------------------
// [2] Platform
//-----------------------------------------------------------------------------

/// The operator's complete configuration. Services come without targets: these register themselves in the store.
struct Declarations
{
    std::uint64_t version = 0;   // set by the operator; only a higher one replaces the declarations in force
    std::vector<Object> objects; // ClientAccount, Key, Route, Service
};

/// A target's registration in the platform's store.
struct TargetRecord
{
    RosterEntry entry;
    auto operator<=>(const TargetRecord &) const = default;
};

/// A Vm's registration in the platform's store. All fields are the same after a restart, so a restart needs no write.
struct VmRegistration
{
    Address callers; // where callers connect
    Address peers;   // where other Vms send datagrams
    FailureDomain failureDomain;
    std::uint32_t millicores = 0;  // CPU available to the Vm
    std::uint32_t linkMbps = 0;    // of the Vm's network link, in Mbit/s; 0: unknown, as in registrations of earlier versions
    std::uint32_t memoryMb = 0;    // in 10^6 bytes; 0: unknown
    std::uint32_t descriptors = 0; // highest number of open files and sockets; 0: unknown
    auto operator<=>(const VmRegistration &) const = default;
};

/// The platform's names and formats of documents and HTTP pages. Only translates; holds no policy.
class PlatformFormat
{
public:
    virtual ~PlatformFormat() = default;
    virtual std::string declarationsKind() const = 0;
    virtual std::string declarationsName() const = 0; // the only document of that kind that is used
    virtual std::string targetsKind() const = 0;
    virtual std::string vmsKind() const = 0; // for VmRegistration documents
    virtual std::string evacuationsKind() const = 0;
    virtual Result<Declarations> decodeDeclarations(const JsonValue &spec) const = 0;
    virtual Result<TargetRecord> decodeTarget(const std::string &name, const JsonValue &spec) const = 0;
    virtual Result<FailureDomain> decodeEvacuation(const std::string &name, const JsonValue &spec) const = 0;
    virtual std::string readinessPath() const = 0;
    virtual std::string addressPath() const = 0;
    virtual FailureDomain decodeAddressQuery(const std::string &query) const = 0; // of the caller; empty: not given
    virtual std::string formatAddresses(const std::vector<Address> &addresses, Duration ttl) const = 0;
};

/// Connects a Vm to the platform it runs on.
struct PlatformAdapter
{
    std::function<std::unique_ptr<DocumentStore>(boost::asio::any_io_executor)> openStore; // the store's calls run on this executor
    const PlatformFormat &format;                                                          // must outlive the Vm
};

//-----------------------------------------------------------------------------
// [3] Pages
//-----------------------------------------------------------------------------

struct PageRequest
{
    std::string path;  // without the query
    std::string query; // without '?'
};

struct Page
{
    unsigned status = 200;
    std::string contentType = "text/plain";
    std::string body;
};

/// HTTP server for small GET-only pages. Runs on the event loop of the given context.
class PageServer
{
public:
    using Handler = std::function<Page(const PageRequest &)>;

    PageServer(boost::asio::io_context &context, Address address, Handler handler);
    ~PageServer();
    PageServer(const PageServer &) = delete;
    PageServer &operator=(const PageServer &) = delete;

    Result<void> start(); // Io when the address can't be bound

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

//-----------------------------------------------------------------------------
// [4] Fleet
//-----------------------------------------------------------------------------

struct FleetOptions
{
    ProxyOptions proxy;
    Address readiness;                                           // readiness page that the platform polls
    Address addresses;                                           // page that tells callers where to connect
    Address metrics;                                             // metrics page; port 0: disabled
    Address peers;                                               // UDP, for datagrams from other Vms
    std::uint32_t millicores = 1000;                             // CPU available to this Vm; larger Vms become seat holders first
    std::uint32_t linkMbps = 0;                                  // of this Vm's network link, in Mbit/s; 0: unknown
    std::uint32_t descriptors = 0;                               // highest number of open files and sockets; 0: unknown
    Duration addressTtl = std::chrono::seconds(2);               // how long callers may cache an address answer
    Duration watchWait = std::chrono::seconds(25);               // longest wait of one watch; the platform charges for each call
    Duration watchPause = std::chrono::milliseconds(250);        // between watches, so that one call returns several changes
    Duration statusPeriod = std::chrono::milliseconds(1000);     // between status reports to other Vms
    Duration targetReportPeriod = std::chrono::milliseconds(40); // between reports of target changes to seat holders
    Duration silenceLimit = std::chrono::milliseconds(3000);     // a Vm without a report for this long is not offered to callers
    Duration graceTime = std::chrono::seconds(6);                // from SIGTERM until the platform kills the process
    Duration leaveTime = std::chrono::milliseconds(4200);        // planned stop: keeps listening until cached address answers expire
    Duration evacuationTime{};                                   // from an acknowledged evacuation to the last request; 0: not followed
    QuotaPoolOptions quota;
};

/// A running Vm. Its functions may be called from any thread.
class FleetVm
{
public:
    FleetVm(FleetOptions options, PlatformAdapter platform);
    ~FleetVm();
    FleetVm(const FleetVm &) = delete;
    FleetVm &operator=(const FleetVm &) = delete;

    Result<void> start(); // doesn't wait: requests are refused as not run until a configuration is loaded
    bool stop();          // planned stop, blocks; true when no request was cut

    /// After stop(): a worker thread still runs, and the destructor would wait for it. End the process instead.
    bool hasStalledWorker() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Pollenspoke
