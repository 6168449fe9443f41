/// @file
/// One Vm among others: follows what the platform's store holds, talks to the other Vms, and tells callers where to connect.
///
/// Index of this file:
/// - [1] Document store  (StoredDocument, DocumentList, DocumentChanges, ListAge, DocumentStore)
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

/// One object of the platform's store, as it lies there.
struct StoredDocument
{
    std::string name;
    std::uint64_t revision = 0; // of its last change
    std::uint64_t created = 0;  // revision of its creation; 0: unknown
    JsonValue spec;
};

struct DocumentList
{
    std::uint64_t revision = 0; // of the store: each change up to it is contained
    std::vector<StoredDocument> items;
};

struct DocumentChange
{
    bool isDeleted = false;
    StoredDocument document;
};

struct DocumentChanges
{
    std::uint64_t revision = 0; // watch from here next time
    std::vector<DocumentChange> events;
};

/// How new a list must be.
enum class ListAge {
    Current,  // every change that was acknowledged before the call
    MayBeOld, // seconds old, and cheap: a watch from its revision brings the rest
};

/// The platform's store, by kinds of documents. Errors: NotFound, VersionConflict, TooOld (the history is gone: list again),
/// Unavailable (nothing was done), OutcomeUnknown (a write without an answer), InvalidSyntax (no answer in the protocol).
class DocumentStore
{
public:
    template<typename Value>
    using Call = boost::asio::awaitable<Result<Value>>;

    virtual ~DocumentStore() = default;
    virtual Call<DocumentList> list(std::string kind, ListAge age) = 0;
    virtual Call<DocumentChanges> watch(std::string kind, std::uint64_t since, Duration wait) = 0;
    virtual Call<StoredDocument> create(std::string kind, std::string name, JsonValue spec) = 0;
    virtual Call<StoredDocument> replace(std::string kind, std::string name, JsonValue spec, std::uint64_t revision) = 0;
    virtual Call<void> remove(std::string kind, std::string name, std::uint64_t revision) = 0;
};

//-----------------------------------------------------------------------------
// [2] Platform
//-----------------------------------------------------------------------------

/// What the operator declared, whole: every service without its targets.
struct Declarations
{
    std::uint64_t version = 0;   // the operator's; only a higher one replaces those in force
    std::vector<Object> objects; // ClientAccount, Key, Route, Service
};

/// What the platform's store says of one target.
struct TargetRecord
{
    RosterEntry entry;
    std::uint64_t startedAtMs = 0; // Unix time; a target that starts again under its old name has another
    auto operator<=>(const TargetRecord &) const = default;
};

/// A Vm's entry of our own kind. It holds nothing that changes between restarts, so that a restart writes nothing.
struct VmRegistration
{
    Address callers;
    Address peers;
    FailureDomain failureDomain;
    std::uint32_t millicores = 0; // of processor, that the Vm may use
    auto operator<=>(const VmRegistration &) const = default;
};

/// Names of kinds and forms of documents and pages: how the platform spells what is ours. Decides nothing.
class PlatformFormat
{
public:
    virtual ~PlatformFormat() = default;
    virtual std::string declarationsKind() const = 0;
    virtual std::string declarationsName() const = 0; // the one document of that kind that counts
    virtual std::string targetsKind() const = 0;
    virtual std::string vmsKind() const = 0; // of our own
    virtual Result<Declarations> decodeDeclarations(const JsonValue &spec) const = 0;
    virtual Result<TargetRecord> decodeTarget(const std::string &name, const JsonValue &spec) const = 0;
    virtual std::string readinessPath() const = 0;
    virtual std::string addressPath() const = 0;
    virtual FailureDomain decodeAddressQuestion(const std::string &query) const = 0; // of the caller; empty: it doesn't say
    virtual std::string formatAddresses(const std::vector<Address> &addresses, Duration ttl) const = 0;
};

/// The platform that a Vm runs on.
struct PlatformAdapter
{
    std::function<std::unique_ptr<DocumentStore>(boost::asio::any_io_executor)> openStore; // its calls run on the executor
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

/// Serves GET requests for short pages on the caller's event loop.
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
    Address readiness;                                       // the platform asks here whether this Vm is ready
    Address addresses;                                       // callers ask here where to connect
    Address metrics;                                         // port 0: none
    Address peers;                                           // datagrams of the other Vms
    std::uint32_t millicores = 1000;                         // of processor, that this Vm may use: strong Vms take callers first
    Duration addressTtl = std::chrono::seconds(2);           // how long callers may keep an answer
    Duration watchWait = std::chrono::seconds(25);           // longest wait of one watch; each is a priced call
    Duration watchPause = std::chrono::milliseconds(250);    // between watches, so that one call brings several changes
    Duration statusPeriod = std::chrono::milliseconds(1000); // between reports to all Vms
    Duration newsPeriod = std::chrono::milliseconds(40);     // between reports to seat holders of what changed at targets
    Duration silenceLimit = std::chrono::milliseconds(3000); // a Vm not heard of for so long is left out of the answers
    Duration leaveTime = std::chrono::milliseconds(4200);    // planned stop: still taking requests, until answers ran out
    std::uint32_t drainTimeoutMs = 1400;                     // planned stop: then, longest wait for requests in flight
    QuotaPoolOptions quota;
};

/// A running Vm. Its calls may come from any thread.
class FleetVm
{
public:
    FleetVm(FleetOptions options, PlatformAdapter platform);
    ~FleetVm();
    FleetVm(const FleetVm &) = delete;
    FleetVm &operator=(const FleetVm &) = delete;

    Result<void> start(); // listens and follows; requests are refused as not run until a configuration is known
    bool stop();          // planned stop; true when no request was cut

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Pollenspoke
