#include "configuration.h"
#include "feed.h"
#include "fleet_admission.h"
#include "kind_follower.h"
#include "target_reports.h"
#include "vm_registration.h"

#include <future>
#include <thread>

namespace Pollenspoke {

namespace {

namespace net = boost::asio;

constexpr auto asTuple = net::as_tuple(net::use_awaitable);
constexpr auto registerRetryDelay = std::chrono::seconds(1);
constexpr auto joinDelay = std::chrono::seconds(1);                  // Vms of a new fleet start within 0.3 s of each other
constexpr auto rosterCheckInterval = std::chrono::milliseconds(100); // longest delay of removing an expired target on a seat holder
constexpr auto idleCheckInterval = std::chrono::milliseconds(500);   // the same on a Vm without a seat
constexpr auto confirmInterval = std::chrono::milliseconds(300);     // between questions to Vms that may still use a seat
constexpr auto addressSpreadTime = std::chrono::milliseconds(750);   // until no Vm offers the address of one that leaves
constexpr auto exitTime = std::chrono::milliseconds(400);            // of the grace time, for a late signal, the last answers and the exit
constexpr auto deregistrationTimeout = std::chrono::seconds(90);     // a silent Vm without a seat is removed from the store after it
constexpr auto minEvacuationWait = std::chrono::milliseconds(200);   // of a watch of the evacuations, however short their bound is
constexpr auto releaseTime = std::chrono::milliseconds(200);         // of the exit time, for the write that gives up the seat

// Whether the Vm has a seat by a list of registrations.
bool isSeated(const DocumentList &list, const VmName &vm)
{
    std::vector<RegisteredVm> vms;
    for (const StoredDocument &it : list.items) {
        if (const auto registration = decodeRegistration(it.spec)) {
            vms.push_back({{it.name}, registration->failureDomain, decodeJoinedAt(it), registration->millicores});
        }
    }
    const std::vector<VmName> holders = assignSeats(std::move(vms));
    return std::find(holders.begin(), holders.end(), vm) != holders.end();
}

} // namespace

// How the newest declarations reached this Vm.
struct DeclarationsOrigin
{
    std::string_view way;   // "list" or "watch" of the store, "vm": from another Vm that held them
    TimePoint knownSince;   // when the first Vm got them from the store; default: unknown
    std::uint32_t hops = 0; // Vms that they passed through before this one
};

struct FleetVm::Impl
{
    Impl(FleetOptions fleetOptions, PlatformAdapter platform)
        : options(std::move(fleetOptions))
        , format(platform.format)
        , store(platform.openStore(context.get_executor()))
        , members(options.proxy.vm, options.proxy.failureDomain, options.silenceLimit)
        , seatAudit(options.proxy.vm)
        , link(context,
               options.proxy.vm,
               options.peers,
               [this](const auto &sender, const auto &message, const auto &from) { handleMessage(sender, message, from); })
        , feed(context, *store, link, members, clock, metrics)
        , admission(context, link, members, clock, options.quota)
        , proxy(options.proxy, {clock, metrics, admission})
        , configuration(format, metrics)
    {
    }

    Result<void> start();
    bool stop();
    StopSchedule stopSchedule() const;
    bool holdsSeat() const { return members.isSeatHolder(options.proxy.vm); }
    bool isReady() const { return hasSnapshot && !isLeaving; }
    Page answerPage(const PageRequest &request);
    void startFollowing();
    void recordEraChange(const std::string &kind, const EraChange &change);
    net::awaitable<void> joinFleet();
    std::optional<StoredDocument> findRegistration(const DocumentList &list) const; // of this Vm
    void applyRegistrationList(const DocumentList &list);
    void applyRegistrationChange(const DocumentChange &change);
    VmRegistration ownRegistration() const;
    bool needsRegistration(const VmRegistration &registered, const SeatRecord &seat) const; // the store's content isn't this Vm's
    void publishMembers(bool areRemovalsFenced = true);                                     // false: of Vms that a restored store lacks
    void publishShares();
    bool mayUseSeat() const; // now
    void updateSeatRight();
    void noteSeatUse();
    void registerIfNeeded();
    net::awaitable<void> registerSelf();
    void publishConfiguration();
    bool followsEvacuations() const { return options.evacuationTime > Duration(0); }
    void follow(const std::string &kind, const FollowHandler &handler, Duration watchWait);
    void followTargets();
    void followEvacuations();
    bool noteTargetsKnown();
    void applyDeclarations(const StoredDocument &document, const DeclarationsOrigin &origin);
    net::awaitable<void> applyRosterExpiry();
    net::awaitable<void> reportStatus();
    net::awaitable<void> reportTargets();
    void sendReport(const std::vector<const Member *> &receivers,
                    std::optional<TargetUpdates> reports,
                    bool isFullReport = true,
                    DemandUpdates demand = {});
    void handleMessage(const VmName &sender, const LinkMessage &message, const net::ip::udp::endpoint &from);
    net::awaitable<void> deregisterLostVms();
    net::awaitable<void> removeRegistration(VmName vm, std::uint64_t revision, std::string_view cause);
    net::awaitable<void> confirmSeat();
    net::awaitable<void> maintainSeat();
    net::awaitable<void> auditSeats();
    net::awaitable<void> writeClaim(VmName vm, std::uint64_t revision, SeatClaim claim);
    net::awaitable<void> writeSeatActions(SeatActions actions, std::map<VmName, std::uint64_t> revisions);
    net::awaitable<void> releaseRegistration();
    void giveUpSeat(Duration timeout);
    void checkLocalOutage();
    void recordStoreCall(bool succeeded, const std::string &error);

    FleetOptions options;
    const PlatformFormat &format;
    net::io_context context{1};
    SteadyClock clock;
    Metrics metrics;
    std::unique_ptr<DocumentStore> store;
    Members members;
    SeatAudit seatAudit;
    Link link;
    FeedStore feed;
    FleetAdmission admission;
    Proxy proxy;
    Configuration configuration;
    FollowHandler declarationsHandler;
    FollowHandler targetsHandler;
    FollowHandler vmsHandler;
    FollowHandler evacuationsHandler;
    std::optional<PageServer> readiness;
    std::optional<PageServer> addresses;
    std::optional<PageServer> metricsPage;
    StorePosition newestChange;                            // of the declarations and targets
    std::optional<DeclarationsOrigin> unpublishedOrigin;   // of declarations that aren't in force yet
    std::map<VmName, std::uint64_t> registrationRevisions; // store revision of each Vm's registration, in the store's present era
    std::optional<StoredDocument> ownDocument;             // this Vm's registration as last seen in the store
    StorePosition joinedAt;                                // of this Vm's first registration; the default: not registered yet
    bool mustRegister = false;                             // the store lacks this Vm's registration or has another one
    bool isRegistering = false;
    bool isStoreUnavailable = false;
    std::uint64_t registrationDemands = 0; // counts the times that the store was found to lack this Vm's registration
    std::uint64_t notedEra = 0;            // of the store, in the configuration
    bool hasRegistrationList = false;
    bool isFollowingTargets = false;
    SeatFence seatFence;
    std::optional<StorePosition> seatUsedAt; // by an earlier process; empty after the first list
    bool isConfirmingSeat = false;
    bool isWritingClaims = false;
    bool isSeatGivenUp = false;                   // at the end of a planned stop
    bool hadSeatRight = false;                    // at the last check
    std::vector<VmName> publishedHolders;         // of seats
    StorePosition appliedChange;                  // newest change of the registrations that is in `members`
    std::optional<TimePoint> seatProvenAt;        // newest time at which the store is known to have had this Vm's registration uncontested
    TimePoint sharesBoundedUntil;                 // no larger than one of the smallest number of seat holders
    std::optional<TimePoint> storeReachableSince; // empty: unreachable, or not reached yet
    TimePoint lastOutageStart;
    TargetReportSchedule reportSchedule;
    std::atomic<bool> hasSnapshot{false};
    std::atomic<bool> isLeaving{false};
    Generator generator{std::random_device{}()};
    std::thread thread;
};

//-----------------------------------------------------------------------------
// Pages
//-----------------------------------------------------------------------------

Page FleetVm::Impl::answerPage(const PageRequest &request)
{
    if (request.path == format.readinessPath()) {
        return isReady() ? Page{.body = "ready\n"} : Page{.status = 503, .body = "not ready\n"};
    }
    if (request.path == format.addressPath()) {
        const std::vector<Address> callers = members.callerAddresses(format.decodeAddressQuery(request.query), clock.now());
        if (callers.empty()) {
            return {.status = 503, .body = "no address is known\n"};
        }
        return {.contentType = "application/json", .body = format.formatAddresses(callers, options.addressTtl)};
    }
    if (request.path == "/metrics") {
        return {.contentType = "text/plain; version=0.0.4", .body = metrics.expose()};
    }
    return {.status = 404, .body = "no such page\n"};
}

//-----------------------------------------------------------------------------
// Configuration
//-----------------------------------------------------------------------------

void FleetVm::Impl::recordStoreCall(bool succeeded, const std::string &error)
{
    const TimePoint now = clock.now();
    if (succeeded) {
        if (const std::optional<TimePoint> lostAt = configuration.roster().outageStartedAt()) {
            lastOutageStart = *lostAt;
            storeReachableSince = now;
        }
        storeReachableSince = storeReachableSince.value_or(now);
        configuration.roster().noteStoreReachable(now);
        checkLocalOutage();
    } else {
        storeReachableSince.reset();
        configuration.roster().noteStoreUnreachable(now);
        metrics.count(Counter::StoreFailures);
    }
    if (isStoreUnavailable == succeeded) {
        isStoreUnavailable = !succeeded;
        metrics.setGauge(Gauge::StoreReachable, succeeded ? 1 : 0);
        logEvent(succeeded ? Event::StoreRecovered : Event::StoreUnavailable,
                 {{"error", error}},
                 succeeded ? LogLevel::Info : LogLevel::Warning);
    }
}

// If other Vms report store access during the outage that ended, only this Vm was cut off: no registration expired, so targets
// that disappeared are removed without the grace period.
void FleetVm::Impl::checkLocalOutage()
{
    const TimePoint now = clock.now();
    if (configuration.roster().isInGracePeriod(now) && members.hadStoreAccessSince(lastOutageStart, now)) {
        configuration.roster().noteLocalOutage(now);
        publishConfiguration();
    }
}

void FleetVm::Impl::publishConfiguration()
{
    if (configuration.rosterRevision() == 0) {
        return; // targets not listed yet: every request would be refused
    }
    if (followsEvacuations() && !configuration.hasEvacuations()) {
        return; // requests could reach an evacuated domain
    }
    noteTargetsKnown();
    const std::shared_ptr<const Snapshot> snapshot = configuration.buildSnapshotIfChanged(clock.now());
    if (!snapshot) {
        return;
    }
    admission.applySnapshot(snapshot);
    proxy.applySnapshot(snapshot);
    hasSnapshot = true;
    if (unpublishedOrigin) {
        const Duration age = unpublishedOrigin->knownSince == TimePoint() ? Duration(0) : clock.now() - unpublishedOrigin->knownSince;
        metrics.setGauge(Gauge::DeclarationsVersion, static_cast<std::int64_t>(configuration.declarationsVersion()));
        metrics.recordTiming(Timing::Declarations, age);
        logEvent(Event::DeclarationsInForce,
                 {{"version", std::to_string(configuration.declarationsVersion())},
                  {"age_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(age).count())},
                  {"way", std::string(unpublishedOrigin->way)},
                  {"hops", std::to_string(unpublishedOrigin->hops)}});
        unpublishedOrigin.reset();
    }
}

// What is known of the store may be ahead of what is applied.
bool FleetVm::Impl::noteTargetsKnown()
{
    const bool isApplied = feed.newestChange(format.targetsKind()) <= configuration.newestTargetChange();
    return isApplied && configuration.noteTargetsKnown(feed.knownPosition(format.targetsKind()));
}

void FleetVm::Impl::applyDeclarations(const StoredDocument &document, const DeclarationsOrigin &origin)
{
    const std::uint64_t previous = configuration.declarationsVersion();
    configuration.applyDeclarations(document);
    if (configuration.declarationsVersion() > previous) {
        unpublishedOrigin = origin;
    }
}

void FleetVm::Impl::recordEraChange(const std::string &kind, const EraChange &change)
{
    metrics.setGauge(Gauge::StoreEra, static_cast<std::int64_t>(change.current.era()));
    logEvent(Event::StoreEraChanged,
             {{"kind", kind},
              {"previous", toString(change.previous)},
              {"current", toString(change.current)},
              {"kept", std::to_string(change.keptDocuments)},
              {"taken", std::to_string(change.changedDocuments)},
              {"missing", std::to_string(change.missingDocuments)}},
             LogLevel::Warning);
    if (kind == format.vmsKind()) {
        members.noteStoreRestored(clock.now());
        admission.noteStoreRestored(clock.now());
    } else if (change.current.era() > notedEra) { // once, whichever of the other kinds notices it first
        notedEra = change.current.era();
        configuration.noteStoreRestored(clock.now());
    }
    if (kind == format.targetsKind()) {
        configuration.noteTargetChange(change.current);
    }
    feed.noteStoreRestored();
}

void FleetVm::Impl::startFollowing()
{
    const auto onCallFailed = [this](const Error &error) { recordStoreCall(false, describe(error)); };
    const auto onCallSucceeded = [this] { recordStoreCall(true, {}); };
    const auto applyDocument = [this](const StoredDocument &document, const StorePosition &position, const DeclarationsOrigin &origin) {
        if (document.name == format.declarationsName()) {
            newestChange = std::max(newestChange, position);
            applyDeclarations(document, origin);
        }
    };
    const auto onEraChanged
        = [this](const std::string &kind) { return [this, kind](const EraChange &change) { recordEraChange(kind, change); }; };
    declarationsHandler = {.onListed =
                               [applyDocument](const DocumentList &list) {
                                   for (const StoredDocument &it : list.items) {
                                       applyDocument(it, {list.position.era(), it.revision}, {.way = "list"});
                                   }
                               },
                           .onChange =
                               [this, applyDocument](const DocumentChange &change) {
                                   if (!change.isDeleted) {
                                       applyDocument(change.document,
                                                     change.position,
                                                     {.way = "watch", .knownSince = clock.now() - change.age, .hops = change.hops});
                                   }
                               },
                           .onUpdated = [this] { publishConfiguration(); },
                           .onCallFailed = onCallFailed,
                           .onCallSucceeded = onCallSucceeded,
                           .onEraChanged = onEraChanged(format.declarationsKind())};
    targetsHandler = {.onListed =
                          [this](const DocumentList &list) {
                              newestChange = std::max(newestChange, list.position);
                              metrics.setGauge(Gauge::StoreEra, static_cast<std::int64_t>(list.position.era()));
                              configuration.replaceTargets(list, clock.now());
                          },
                      .onChange =
                          [this](const DocumentChange &change) {
                              newestChange = std::max(newestChange, change.position);
                              configuration.applyTargetChange(change, clock.now());
                          },
                      .onUpdated = [this] { publishConfiguration(); },
                      .onCallFailed = onCallFailed,
                      .onCallSucceeded = onCallSucceeded,
                      .onEraChanged = onEraChanged(format.targetsKind())};
    vmsHandler = {.onListed = [this](const DocumentList &list) { applyRegistrationList(list); },
                  .onChange = [this](const DocumentChange &change) { applyRegistrationChange(change); },
                  .onUpdated =
                      [this] {
                          registerIfNeeded();
                          publishMembers();
                      },
                  .onCallFailed = onCallFailed,
                  .onCallSucceeded = onCallSucceeded,
                  .onEraChanged = onEraChanged(format.vmsKind())};
    feed.setHeldContent({.declarationsVersion = [this] { return configuration.declarationsVersion(); },
                         .declarations = [this] { return configuration.declarationsDocument(); },
                         .onDeclarations =
                             [this](const StoredDocument &document) {
                                 applyDeclarations(document, {.way = "vm"});
                                 publishConfiguration();
                             },
                         .departures = [this] { return configuration.departures(clock.now()); },
                         .onDepartures =
                             [this](const std::vector<TargetDeparture> &departures) {
                                 configuration.applyDepartures(departures, clock.now());
                                 publishConfiguration();
                             }});
    follow(format.declarationsKind(), declarationsHandler, options.watchWait);
    if (followsEvacuations()) {
        followEvacuations();
    } else {
        followTargets();
    }
    net::co_spawn(context, joinFleet(), net::detached);
}

void FleetVm::Impl::follow(const std::string &kind, const FollowHandler &handler, Duration watchWait)
{
    const FollowOptions followOptions{.kind = kind, .watchWait = watchWait, .watchPause = options.watchPause};
    net::co_spawn(context, followKind(feed, followOptions, handler), net::detached);
}

void FleetVm::Impl::followTargets()
{
    if (!std::exchange(isFollowingTargets, true)) {
        follow(format.targetsKind(), targetsHandler, options.watchWait);
    }
}

// The calls of this kind say nothing about the roster's outages: the other kinds are watched more often. Half of the bound is left for a
// watch that is lost, and for the way through other Vms. The targets are listed afterwards, since with an older list their warm-up would
// count as unknown at each start.
void FleetVm::Impl::followEvacuations()
{
    evacuationsHandler = {.onListed =
                              [this](const DocumentList &list) {
                                  newestChange = std::max(newestChange, list.position);
                                  configuration.replaceEvacuations(list, clock.now());
                              },
                          .onChange =
                              [this](const DocumentChange &change) {
                                  newestChange = std::max(newestChange, change.position);
                                  configuration.applyEvacuationChange(change, clock.now());
                              },
                          .onUpdated =
                              [this] {
                                  followTargets();
                                  publishConfiguration();
                              },
                          .onEraChanged = [this](const EraChange &change) { recordEraChange(format.evacuationsKind(), change); }};
    feed.setKeptKind(format.evacuationsKind());
    follow(format.evacuationsKind(), evacuationsHandler, std::max<Duration>(options.evacuationTime / 2, minEvacuationWait));
}

// A restarted Vm finds its registration in the first list, which may be stale and costs little. Vms of a new fleet register at about
// the same time, so a new Vm waits for the others before it lists them.
net::awaitable<void> FleetVm::Impl::joinFleet()
{
    isRegistering = true;
    const Result<DocumentList> first = co_await feed.list(format.vmsKind(), ReadConsistency::MayBeStale);
    if (!first) {
        recordStoreCall(false, describe(first.error())); // applyRegistrationList() registers
    } else if (const std::optional<StoredDocument> registered = findRegistration(*first)) {
        if (const StorePosition usedAt = decodeSeatRecord(registered->spec).usedAt; usedAt != StorePosition()) {
            seatUsedAt = usedAt;
        }
    } else {
        const JsonValue spec = encodeRegistration(ownRegistration(), {first->position.era(), 0}, {});
        const Result<StoredDocument> created = co_await feed.create(format.vmsKind(), options.proxy.vm.value, spec);
        if (created) {
            net::steady_timer timer(context, joinDelay);
            co_await timer.async_wait(net::use_awaitable);
        } else if (created.error().code != ErrorCode::VersionConflict) {
            recordStoreCall(false, describe(created.error())); // applyRegistrationList() registers again if needed
        }
    }
    isRegistering = false;
    // A consistent list proves the right to a seat at once; without one, the cheaper list and what other Vms hand on will do.
    const bool needsProof = first && isSeated(*first, options.proxy.vm);
    const FollowOptions followOptions{.kind = format.vmsKind(),
                                      .firstListConsistency = needsProof ? ReadConsistency::Current : ReadConsistency::MayBeStale,
                                      .watchWait = std::min<Duration>(options.watchWait, SeatTiming::proofInterval),
                                      .watchPause = options.watchPause};
    co_await followKind(feed, followOptions, vmsHandler);
}

std::optional<StoredDocument> FleetVm::Impl::findRegistration(const DocumentList &list) const
{
    const auto it = std::find_if(
        list.items.begin(), list.items.end(), [this](const StoredDocument &item) { return item.name == options.proxy.vm.value; });
    return it == list.items.end() ? std::nullopt : std::optional(*it);
}

// Targets whose registrations expired during a store outage are removed by time alone: the store sends no event for them.
net::awaitable<void> FleetVm::Impl::applyRosterExpiry()
{
    net::steady_timer timer(context);
    for (;;) {
        timer.expires_after(holdsSeat() ? rosterCheckInterval : idleCheckInterval);
        co_await timer.async_wait(net::use_awaitable);
        if (clock.now() - feed.lastStoreContactAt() > FeedStore::storeSilenceLimit) {
            configuration.roster().noteStoreUnreachable(feed.lastStoreContactAt());
        }
        const std::optional<TimePoint> next = configuration.roster().nextRemoval();
        if (noteTargetsKnown() || (next && *next <= clock.now())) {
            publishConfiguration();
        }
    }
}

//-----------------------------------------------------------------------------
// Members
//-----------------------------------------------------------------------------

void FleetVm::Impl::applyRegistrationList(const DocumentList &list)
{
    if (!hasRegistrationList && list.position.era() > StorePosition::firstEra) {
        // The store may lack most Vms, and this one, which has just started, doesn't know of them.
        sharesBoundedUntil = clock.now() + Members::registrationGrace;
        admission.noteStoreRestored(clock.now());
    }
    hasRegistrationList = true;
    std::vector<std::pair<RegisteredVm, VmRegistration>> vms;
    ownDocument = findRegistration(list);
    registrationRevisions.clear();
    appliedChange = std::max(appliedChange, list.position);
    for (const StoredDocument &it : list.items) {
        const VmName name{it.name};
        registrationRevisions[name] = it.revision;
        if (const auto registration = decodeRegistration(it.spec)) {
            vms.emplace_back(RegisteredVm{name, registration->failureDomain, decodeJoinedAt(it), registration->millicores}, *registration);
        }
    }
    members.replaceAll(vms, clock.now());
    for (const StoredDocument &it : list.items) {
        const SeatRecord seat = decodeSeatRecord(it.spec);
        members.setClaim({it.name}, seat.claim, seat.usedAt, it.revision);
    }
    const auto registered = ownDocument ? decodeRegistration(ownDocument->spec) : std::nullopt;
    mustRegister = !registered || needsRegistration(*registered, decodeSeatRecord(ownDocument->spec));
    registrationDemands += mustRegister ? 1 : 0;
    if (!ownDocument && !members.isInRestoreGrace()) {
        joinedAt = {}; // another Vm has its seat now
    }
}

bool FleetVm::Impl::needsRegistration(const VmRegistration &registered, const SeatRecord &seat) const
{
    return registered != ownRegistration() || seat.claim != SeatClaim::Held;
}

void FleetVm::Impl::applyRegistrationChange(const DocumentChange &change)
{
    const StoredDocument &document = change.document;
    const VmName name{document.name};
    const auto registration = change.isDeleted ? std::nullopt : decodeRegistration(document.spec);
    appliedChange = std::max(appliedChange, change.position);
    if (!registration) {
        registrationRevisions.erase(name);
        members.remove(name);
        if (members.isSelf(name)) {
            ownDocument = change.isDeleted ? std::nullopt : std::optional(document);
            mustRegister = true;
            ++registrationDemands;
            if (!members.isInRestoreGrace()) {
                joinedAt = {}; // another Vm has its seat now
            }
        }
        return;
    }
    const SeatRecord seat = decodeSeatRecord(document.spec);
    registrationRevisions[name] = document.revision;
    members.put({name, registration->failureDomain, decodeJoinedAt(document), registration->millicores}, *registration, clock.now());
    members.setClaim(name, seat.claim, seat.usedAt, document.revision);
    if (members.isSelf(name)) {
        ownDocument = document;
        const bool isOwn = isSameVm(*registration, ownRegistration()); // else another process has this name
        mustRegister = (isOwn || members.isInRestoreGrace()) && needsRegistration(*registration, seat);
    }
}

void FleetVm::Impl::registerIfNeeded()
{
    if (ownDocument && decodeRegistration(ownDocument->spec)) {
        joinedAt = decodeJoinedAt(*ownDocument);
    }
    if (mustRegister && !isRegistering && !isLeaving) {
        isRegistering = true;
        net::co_spawn(context, registerSelf(), net::detached);
    }
}

VmRegistration FleetVm::Impl::ownRegistration() const
{
    return {.callers = options.proxy.callers,
            .peers = options.peers,
            .failureDomain = options.proxy.failureDomain,
            .millicores = options.millicores,
            .linkMbps = options.linkMbps,
            .memoryMb = options.proxy.front.vmMemoryMb,
            .descriptors = options.descriptors};
}

void FleetVm::Impl::publishMembers(bool areRemovalsFenced)
{
    const std::vector<VmName> holders = members.seatHolders();
    const bool isGained
        = holdsSeat() && std::find(publishedHolders.begin(), publishedHolders.end(), options.proxy.vm) == publishedHolders.end();
    const bool isChanged = holders != publishedHolders;
    seatFence.update({.self = options.proxy.vm,
                      .vms = members.registeredVms(),
                      .position = feed.knownPosition(format.vmsKind()),
                      .usedAt = std::exchange(seatUsedAt, std::nullopt),
                      .areRemovalsFenced = areRemovalsFenced,
                      .lostShares = isGained ? admission.displacedHomes(publishedHolders, holders) : std::set<VmName>()},
                     clock.now());
    publishedHolders = holders;
    updateSeatRight();
    admission.setSeatUsed(seatFence.mayUseSeat(clock.now()));
    admission.setSeats(options.proxy.vm, holders);
    publishShares();
    if (holdsSeat() && !seatFence.mayUseSeat(clock.now()) && !isConfirmingSeat) {
        isConfirmingSeat = true;
        net::co_spawn(context, confirmSeat(), net::detached);
    }
    if (!isChanged) {
        return;
    }
    logEvent(Event::SeatsAssigned,
             {{"vms", std::to_string(registrationRevisions.size())},
              {"holders", std::to_string(holders.size())},
              {"own", holdsSeat() ? (seatFence.mayUseSeat(clock.now()) ? "yes" : "not yet in use") : "no"}});
    sendReport(members.reportReceivers(), std::nullopt); // announces a restarted Vm at once instead of after a full status period
}

bool FleetVm::Impl::mayUseSeat() const
{
    const TimePoint now = clock.now();
    return seatFence.mayUseSeat(now) && seatProvenAt && now < *seatProvenAt + SeatTiming::validity;
}

void FleetVm::Impl::publishShares()
{
    const std::size_t n = std::max<std::size_t>(members.seatHolders().size(), clock.now() < sharesBoundedUntil ? minSeats : 1);
    const bool usesSeat = mayUseSeat();
    proxy.setRetryShare(usesSeat ? 1.0 / static_cast<double>(n) : 0);
    proxy.setVmCount(static_cast<std::uint32_t>(n));
    const bool isListComplete = clock.now() >= sharesBoundedUntil; // else the shares of a few would add up to more than the limits
    proxy.setLimitSharers({.self = usesSeat || !holdsSeat() ? options.proxy.vm : VmName(),
                           .vms = isListComplete ? members.seatHolders() : std::vector<VmName>(),
                           .fleetSize = members.others().size() + 1});
}

// A registration that a restored store lacks for the moment counts as it was. What is known of the store may be ahead of `members`.
void FleetVm::Impl::updateSeatRight()
{
    const Member *self = members.find(options.proxy.vm);
    const std::optional<TimePoint> knownUntil = feed.knownUntil(format.vmsKind());
    const bool isListCurrent = feed.newestChange(format.vmsKind()) <= appliedChange;
    if (isSeatGivenUp) {
        seatProvenAt.reset();
    } else if (self != nullptr && self->claim == SeatClaim::Held && knownUntil && isListCurrent) {
        seatProvenAt = std::max(seatProvenAt.value_or(*knownUntil), *knownUntil);
    }
    admission.setSeatRight(seatProvenAt ? *seatProvenAt + SeatTiming::validity : TimePoint::min());
    if (const bool hasRight = mayUseSeat(); std::exchange(hadSeatRight, hasRight) != hasRight) {
        const Duration age = seatProvenAt ? clock.now() - *seatProvenAt : Duration(0);
        metrics.setGauge(Gauge::SeatInUse, hasRight ? 1 : 0);
        logEvent(
            Event::SeatRightChanged,
            {{"use", hasRight ? "yes" : "no"},
             {"seat", holdsSeat() ? "yes" : "no"},
             {"proof_age_ms", seatProvenAt ? std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(age).count()) : "none"},
             {"claim", self == nullptr ? "none" : claimName(self->claim)}});
        publishShares();
        noteSeatUse();
    }
}

// The next process of this Vm needs no confirmation for the seat.
void FleetVm::Impl::noteSeatUse()
{
    const bool isNew = hadSeatRight && !seatFence.isKept();
    const bool isOwn = ownDocument && decodeRegistration(ownDocument->spec) == ownRegistration(); // else another process has this name
    if (isNew && isOwn && decodeSeatRecord(ownDocument->spec).usedAt < seatFence.position() && !isRegistering) {
        mustRegister = true;
        registerIfNeeded();
    }
}

// Asks the Vms that may still use what this seat has taken over, until it may be used.
net::awaitable<void> FleetVm::Impl::confirmSeat()
{
    net::steady_timer timer(context);
    while (holdsSeat() && !seatFence.mayUseSeat(clock.now())) {
        const std::set<VmName> unconfirmed = seatFence.unconfirmed();
        for (const VmName &it : unconfirmed) {
            const std::optional<StorePosition> known = co_await feed.askPosition(it, format.vmsKind());
            if (known) {
                seatFence.recordPosition(it, *known, clock.now());
            }
        }
        timer.expires_after(confirmInterval);
        co_await timer.async_wait(net::use_awaitable);
    }
    isConfirmingSeat = false;
    admission.setSeatUsed(seatFence.mayUseSeat(clock.now()));
    updateSeatRight();
    publishShares();
    logEvent(Event::SeatsAssigned,
             {{"vms", std::to_string(registrationRevisions.size())},
              {"holders", std::to_string(members.seatHolders().size())},
              {"own", holdsSeat() ? "yes" : "no"},
              {"unconfirmed", std::to_string(seatFence.unconfirmed().size())}});
}

// Vms whose registrations a restore lost notice it at the same time, so each waits for a random time that grows with their number.
net::awaitable<void> FleetVm::Impl::registerSelf()
{
    net::steady_timer timer(context);
    std::uniform_real_distribution<double> factor(0, 1);
    timer.expires_after(std::chrono::duration_cast<Duration>(Members::rewriteInterval * members.missingCount() * factor(generator)));
    co_await timer.async_wait(net::use_awaitable);
    while (mustRegister && !isLeaving) { // else the store has it, from an earlier write without an answer
        const std::string &name = options.proxy.vm.value;
        const StorePosition rank = joinedAt == StorePosition() ? StorePosition(feed.newestPosition().era(), 0) : joinedAt;
        const StorePosition writtenBefore = ownDocument ? decodeSeatRecord(ownDocument->spec).usedAt : StorePosition();
        const StorePosition usedAt = hadSeatRight && !seatFence.isKept() ? std::max(seatFence.position(), writtenBefore) : writtenBefore;
        const JsonValue spec = encodeRegistration(ownRegistration(), rank, {.usedAt = usedAt});
        const std::uint64_t demand = registrationDemands;
        Result<StoredDocument> written; // no conditional expression: GCC 12 destroys its awaited temporaries twice
        if (ownDocument) {
            written = co_await feed.replace(format.vmsKind(), name, spec, ownDocument->revision);
        } else {
            written = co_await feed.create(format.vmsKind(), name, spec);
        }
        if (written && members.isInRestoreGrace()) {
            logEvent(Event::StoreEraChanged, {{"kind", format.vmsKind()}, {"written_again", name}, {"joined", toString(rank)}});
        }
        if (written || written.error().code == ErrorCode::VersionConflict) {
            if (demand != registrationDemands) {
                continue; // the store was restored during the write and lacks the registration again
            }
            if (written && ownDocument) {
                ownDocument->revision = written->revision;
                ownDocument->spec = spec;
                members.setClaim(options.proxy.vm, SeatClaim::Held, usedAt, written->revision);
                updateSeatRight();
            }
            mustRegister = false;
            break; // on a conflict, an earlier write took effect without an answer, or another process has this name
        }
        logEvent(Event::StoreUnavailable, {{"call", "register"}, {"error", describe(written.error())}}, LogLevel::Warning);
        timer.expires_after(registerRetryDelay);
        co_await timer.async_wait(net::use_awaitable);
    }
    isRegistering = false;
}

// Removes the registrations of Vms without a seat that have been silent for a long time.
net::awaitable<void> FleetVm::Impl::deregisterLostVms()
{
    net::steady_timer timer(context);
    for (;;) {
        timer.expires_after(options.statusPeriod);
        co_await timer.async_wait(net::use_awaitable);
        publishShares();
        if (!mayUseSeat()) {
            continue; // this Vm may be the one that is cut off
        }
        std::map<VmName, std::uint64_t> lost; // as they are now: one that is back by the time of the call has another revision
        for (const VmName &it : members.lostVms(deregistrationTimeout, clock.now())) {
            lost[it] = members.find(it)->revision;
        }
        for (const auto &[name, revision] : lost) {
            co_await removeRegistration(name, revision, "silent");
        }
    }
}

net::awaitable<void> FleetVm::Impl::removeRegistration(VmName vm, std::uint64_t revision, std::string_view cause)
{
    if (!registrationRevisions.contains(vm)) {
        co_return; // lost in a restore, or removed meanwhile
    }
    logEvent(Event::VmForgotten, {{"vm", vm.value}, {"cause", std::string(cause)}, {"revision", std::to_string(revision)}});
    const auto removed = co_await feed.remove(format.vmsKind(), vm.value, revision);
    if (!removed) { // tried again at the next opportunity
        logEvent(Event::StoreUnavailable, {{"call", "remove"}, {"vm", vm.value}, {"error", describe(removed.error())}}, LogLevel::Warning);
    }
}

//-----------------------------------------------------------------------------
// Seats
//-----------------------------------------------------------------------------

net::awaitable<void> FleetVm::Impl::maintainSeat()
{
    net::steady_timer timer(context);
    for (;;) {
        timer.expires_after(SeatAudit::stepPeriod);
        co_await timer.async_wait(net::use_awaitable);
        if (members.removeExpired(clock.now())) {
            publishMembers(false);
        }
        updateSeatRight();
        noteSeatUse();
    }
}

net::awaitable<void> FleetVm::Impl::auditSeats()
{
    net::steady_timer timer(context);
    for (;;) {
        timer.expires_after(SeatAudit::stepPeriod);
        co_await timer.async_wait(net::use_awaitable);
        const TimePoint now = clock.now();
        const bool isDeputy = feed.deputySince().has_value();
        SeatActions actions = seatAudit.next(members.seatViews(isDeputy, now), members.seatHolders(), now, generator);
        for (const VmName &it : actions.ping) {
            feed.ping(*members.find(it));
        }
        if (isWritingClaims) {
            std::for_each(actions.contest.begin(), actions.contest.end(), [this](const VmName &it) { seatAudit.noteContestFailed(it); });
        } else if (actions != SeatActions{.ping = actions.ping}) {
            isWritingClaims = true;
            std::map<VmName, std::uint64_t> revisions;
            for (const auto *names : {&actions.confirm, &actions.contest, &actions.remove}) {
                std::for_each(names->begin(), names->end(), [&](const VmName &it) { revisions[it] = members.find(it)->revision; });
            }
            net::co_spawn(context, writeSeatActions(std::move(actions), std::move(revisions)), net::detached);
        }
    }
}

// `revisions` are those for which the actions were planned. A Vm that wrote its registration meanwhile is alive.
net::awaitable<void> FleetVm::Impl::writeSeatActions(SeatActions actions, std::map<VmName, std::uint64_t> revisions)
{
    for (const VmName &it : actions.confirm) {
        co_await writeClaim(it, revisions.at(it), SeatClaim::Held);
    }
    for (const VmName &it : actions.contest) {
        co_await writeClaim(it, revisions.at(it), SeatClaim::Contested);
    }
    for (const VmName &it : actions.remove) {
        const Member *member = members.find(it);
        co_await removeRegistration(it, revisions.at(it), member == nullptr ? "" : claimName(member->claim));
    }
    isWritingClaims = false;
}

// The other Vms, and the one concerned, learn of the write as of any other change.
net::awaitable<void> FleetVm::Impl::writeClaim(VmName vm, std::uint64_t revision, SeatClaim claim)
{
    const Member *member = members.find(vm);
    if (member == nullptr || member->revision != revision) {
        if (claim == SeatClaim::Contested) {
            seatAudit.noteContestFailed(vm);
        }
        co_return;
    }
    const auto silenceMs = std::chrono::duration_cast<std::chrono::milliseconds>(clock.now() - member->lastReportAt).count();
    const JsonValue spec = encodeRegistration(member->registration, member->registeredAt, {.claim = claim, .usedAt = member->seatUsedAt});
    const Result<StoredDocument> written = co_await feed.replace(format.vmsKind(), vm.value, spec, revision);
    const bool isContest = claim == SeatClaim::Contested;
    metrics.count(isContest ? Counter::SeatsContested : Counter::SeatsConfirmed);
    logEvent(Event::SeatContested,
             {{"vm", vm.value},
              {"claim", claimName(claim)},
              {"silent_ms", std::to_string(silenceMs)},
              {"revision", std::to_string(revision)},
              {"outcome", written ? "written" : describe(written.error())}},
             isContest ? LogLevel::Warning : LogLevel::Info);
    if (!written && isContest) {
        seatAudit.noteContestFailed(vm);
    }
}

// The registration stays for a while, since most stops are restarts, and the number of seats follows from those that are registered.
net::awaitable<void> FleetVm::Impl::releaseRegistration()
{
    isSeatGivenUp = true;
    updateSeatRight();
    publishShares();
    if (!ownDocument) {
        co_return;
    }
    const SeatRecord seat{.claim = SeatClaim::Released, .usedAt = decodeSeatRecord(ownDocument->spec).usedAt};
    const JsonValue spec = encodeRegistration(ownRegistration(), joinedAt, seat);
    const auto written = co_await feed.replace(format.vmsKind(), options.proxy.vm.value, spec, ownDocument->revision);
    logEvent(Event::SeatReleased, {{"seat", holdsSeat() ? "yes" : "no"}, {"outcome", written ? "written" : describe(written.error())}});
}

// The process ends also if the store doesn't answer in time; then the seat is contested.
void FleetVm::Impl::giveUpSeat(Duration timeout)
{
    const auto isDone = std::make_shared<std::promise<void>>();
    std::future<void> done = isDone->get_future();
    net::co_spawn(context, releaseRegistration(), [isDone](const std::exception_ptr &) { isDone->set_value(); });
    if (done.wait_for(timeout) == std::future_status::timeout) {
        logEvent(Event::SeatReleased, {{"outcome", "no answer in time"}}, LogLevel::Warning);
    }
}

//-----------------------------------------------------------------------------
// Reports
//-----------------------------------------------------------------------------

void FleetVm::Impl::sendReport(const std::vector<const Member *> &receivers,
                               std::optional<TargetUpdates> reports,
                               bool isFullReport,
                               DemandUpdates demand)
{
    // Before it became a deputy, a Vm without a seat had the store's answers from others.
    const std::optional<TimePoint> reachableSince = feed.deputySince() ? feed.deputySince() : storeReachableSince;
    const StatusReport status{.isLeaving = isLeaving,
                              .isImpaired = proxy.isImpaired(),
                              .newestChange = newestChange,
                              .declarationsVersion = configuration.declarationsVersion(),
                              .storeReachableFor = reachableSince && members.hasStoreAccess()
                                  ? std::max<Duration>(clock.now() - *reachableSince, std::chrono::milliseconds(1))
                                  : Duration(0),
                              .targetReports = std::move(reports),
                              .isFullReport = isFullReport,
                              .demand = std::move(demand)};
    const std::string bytes = encodeDatagram(options.proxy.vm, status);
    for (const Member *it : receivers) {
        link.send(toDatagramEndpoint(it->registration.peers), bytes);
    }
}

net::awaitable<void> FleetVm::Impl::reportStatus()
{
    net::steady_timer timer(context);
    for (;;) {
        sendReport(members.reportReceivers(), std::nullopt);
        timer.expires_after(options.statusPeriod);
        co_await timer.async_wait(net::use_awaitable);
    }
}

// Sends seat holders the targets that changed since the last report, and a full report once per status period, before the
// receivers discard the earlier ones. A Vm without a seat, which rarely has requests, sends full reports only.
net::awaitable<void> FleetVm::Impl::reportTargets()
{
    net::steady_timer timer(context);
    TimePoint lastFullReportAt;
    bool wasImpaired = false;
    for (;;) {
        timer.expires_after(holdsSeat() ? options.targetReportPeriod : options.statusPeriod);
        co_await timer.async_wait(net::use_awaitable);
        const TimePoint now = clock.now();
        proxy.setOtherHolders(members.otherHolders(now));
        if (const bool isImpaired = proxy.isImpaired(); std::exchange(wasImpaired, isImpaired) != isImpaired) {
            members.setImpaired(isImpaired);
            sendReport(members.reportReceivers(), std::nullopt);
        }
        const bool isFullReport = now - lastFullReportAt >= options.statusPeriod;
        std::vector<const Member *> near;
        std::vector<const Member *> distant;
        for (const VmName &it : members.liveSeatHolders(now)) {
            if (!members.isSelf(it)) {
                const Member *member = members.find(it);
                (members.isInOwnDomain(*member) ? near : distant).push_back(member);
            }
        }
        DemandUpdates demand = proxy.demandUpdates();
        if (!holdsSeat()) {
            demand.clear(); // the view is the sum over the seat holders
        }
        TargetReportSchedule::Reports reports
            = reportSchedule.next(proxy.targetUpdates(), demand, {.near = near.size(), .distant = distant.size()}, isFullReport);
        lastFullReportAt = isFullReport ? now : lastFullReportAt;
        if (!reports.near.empty() || !reports.nearDemand.empty()) {
            sendReport(near, std::move(reports.near), isFullReport, std::move(reports.nearDemand));
        }
        if (!reports.distant.empty() || !reports.distantDemand.empty()) {
            sendReport(distant, std::move(reports.distant), isFullReport, std::move(reports.distantDemand));
        }
    }
}

void FleetVm::Impl::handleMessage(const VmName &sender, const LinkMessage &message, const net::ip::udp::endpoint &from)
{
    if (const auto *status = std::get_if<StatusReport>(&message)) {
        members.recordReport(sender, status->isLeaving, status->storeReachableFor, status->newestChange, clock.now());
        members.recordHealth(sender, status->isImpaired, clock.now());
        members.recordDeclarationsVersion(sender, status->declarationsVersion);
        checkLocalOutage();
        if (status->targetReports) {
            proxy.applyTargetUpdates(sender, *status->targetReports, status->isFullReport);
            proxy.applyDemand(sender, status->demand);
        }
    } else if (const auto *tokenRequest = std::get_if<TokenRequest>(&message)) {
        link.send(from, encodeDatagram(options.proxy.vm, admission.answerRequest(*tokenRequest)));
    } else if (const auto *tokenReply = std::get_if<TokenReply>(&message)) {
        admission.handleReply(*tokenReply);
    } else if (const auto *feedRequest = std::get_if<FeedRequest>(&message)) {
        members.recordContact(sender, feedRequest->isLeaving, clock.now());
        members.recordDeclarationsVersion(sender, feedRequest->declarationsVersion);
        link.send(from, encodeDatagram(options.proxy.vm, feed.answerRequest(*feedRequest)));
    } else if (const auto *feedReply = std::get_if<FeedReply>(&message)) {
        members.recordSignOfLife(sender, clock.now());
        feed.handleReply(*feedReply);
    } else if (const auto *notice = std::get_if<FeedNotice>(&message)) {
        feed.handleNotice(sender, *notice);
    }
}

//-----------------------------------------------------------------------------
// Start and stop
//-----------------------------------------------------------------------------

Result<void> FleetVm::Impl::start()
{
    const auto answer = [this](const PageRequest &request) { return answerPage(request); };
    const auto startServer = [this, &answer](std::optional<PageServer> &server, const Address &address) -> Result<void> {
        return address.port == 0 ? Result<void>() : server.emplace(context, address, answer).start();
    };
    Result<void> started = link.start();
    started = started ? startServer(readiness, options.readiness) : started;
    started = started ? startServer(addresses, options.addresses) : started;
    started = started ? startServer(metricsPage, options.metrics) : started;
    started = started ? proxy.start() : started;
    if (!started) {
        return started;
    }
    publishShares();
    startFollowing();
    feed.startPolling([this] { sendReport(members.reportReceivers(), std::nullopt); }); // so that others watch the store instead
    net::co_spawn(context, applyRosterExpiry(), net::detached);
    net::co_spawn(context, reportStatus(), net::detached);
    net::co_spawn(context, reportTargets(), net::detached);
    net::co_spawn(context, deregisterLostVms(), net::detached);
    net::co_spawn(context, maintainSeat(), net::detached);
    net::co_spawn(context, auditSeats(), net::detached);
    thread = std::thread([this] { context.run(); });
    return {};
}

// Callers that took the address just before the stop use it until their answer expires. Requests that come later meet a process
// with little time left.
StopSchedule FleetVm::Impl::stopSchedule() const
{
    const Duration totalTime = std::max<Duration>(options.graceTime - exitTime, options.graceTime / 2);
    return {.acceptTime = std::min<Duration>(options.addressTtl + addressSpreadTime, totalTime / 2), .totalTime = totalTime};
}

bool FleetVm::Impl::stop()
{
    net::post(context, [this] {
        isLeaving = true;
        members.setLeaving();
        sendReport(members.reportReceivers(), std::nullopt);
    });
    const StopSchedule schedule = stopSchedule();
    const TimePoint endsAt = clock.now() + schedule.totalTime;
    proxy.beginLeave(schedule);
    std::this_thread::sleep_for(std::min<Duration>(options.leaveTime, schedule.totalTime * 3 / 4));
    const bool isDrained = proxy.drainAndStop();
    giveUpSeat(std::max<Duration>(endsAt - clock.now(), Duration(0)) + releaseTime);
    context.stop();
    if (!proxy.hasStalledWorker()) { // else the thread may wait for a lock that the worker holds
        thread.join();
    }
    return isDrained;
}

FleetVm::FleetVm(FleetOptions options, PlatformAdapter platform)
    : m_impl(std::make_unique<Impl>(std::move(options), std::move(platform)))
{
}

FleetVm::~FleetVm()
{
    if (m_impl->thread.joinable()) {
        m_impl->context.stop();
        m_impl->thread.join();
    }
}

Result<void> FleetVm::start()
{
    logEvent(Event::VmReady, {{"vm", m_impl->options.proxy.vm.value}, {"callers", toString(m_impl->options.proxy.callers)}});
    return m_impl->start();
}

bool FleetVm::hasStalledWorker() const
{
    return m_impl->proxy.hasStalledWorker();
}

bool FleetVm::stop()
{
    logEvent(Event::VmLeaving, {{"vm", m_impl->options.proxy.vm.value}});
    const bool isDrained = m_impl->stop();
    logEvent(Event::VmStopped, {{"vm", m_impl->options.proxy.vm.value}, {"cut", isDrained ? "none" : "some"}});
    return isDrained;
}

} // namespace Pollenspoke
