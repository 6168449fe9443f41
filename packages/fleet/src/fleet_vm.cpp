#include "configuration.h"
#include "feed.h"
#include "fleet_admission.h"
#include "kind_follower.h"

#include <thread>

namespace Pollenspoke {

namespace {

namespace net = boost::asio;

constexpr auto asTuple = net::as_tuple(net::use_awaitable);
constexpr auto registerPause = std::chrono::seconds(1);     // after a failed try to register
constexpr auto joinTime = std::chrono::seconds(1);          // of a new fleet: its Vms start within 0.3 s of each other
constexpr auto rosterStep = std::chrono::milliseconds(100); // longest delay of a target's drop after its time
constexpr auto fenceTime = std::chrono::seconds(30);        // a Vm that heard of no other one for so long uses no seat
constexpr double mostMillicores = 1e6;                      // of a registration: more is no Vm's
constexpr auto goneTime = std::chrono::seconds(90);         // a Vm that nobody heard of for so long loses its registration

JsonValue encodeRegistration(const VmRegistration &registration)
{
    JsonValue spec = JsonValue::makeObject();
    spec.add("callers", toString(registration.callers));
    spec.add("peers", toString(registration.peers));
    spec.add("failure_domain", registration.failureDomain.value);
    spec.addNumber("millicores", registration.millicores);
    return spec;
}

const TargetObservation *findNews(const FleetNews &news, const ServiceName &service, const TargetName &target)
{
    const auto found = news.find(service);
    if (found == news.end()) {
        return nullptr;
    }
    const auto it
        = std::find_if(found->second.begin(), found->second.end(), [&target](const TargetObservation &it) { return it.target == target; });
    return it == found->second.end() ? nullptr : &*it;
}

// The targets whose counts of requests or failures differ. Those that are no longer spoken of have neither any more.
FleetNews changesOf(const FleetNews &before, const FleetNews &after)
{
    FleetNews changes;
    for (const auto &[service, targets] : after) {
        for (const TargetObservation &it : targets) {
            const TargetObservation *last = findNews(before, service, it.target);
            if (last == nullptr || last->inFlight != it.inFlight || last->failures != it.failures) {
                changes[service].push_back(it);
            }
        }
    }
    for (const auto &[service, targets] : before) {
        for (const TargetObservation &it : targets) {
            if ((it.inFlight != 0 || it.failures != 0) && findNews(after, service, it.target) == nullptr) {
                changes[service].push_back(TargetObservation{.target = it.target});
            }
        }
    }
    return changes;
}

std::optional<VmRegistration> decodeRegistration(const JsonValue &spec)
{
    const auto text = [&spec](const char *name) {
        const JsonValue *value = spec.find(name);
        return value != nullptr && value->type == JsonValue::Type::Text ? value->text : std::string();
    };
    const Result<Address> callers = parseAddress(text("callers"));
    const Result<Address> peers = parseAddress(text("peers"));
    if (!callers || !peers) {
        return std::nullopt;
    }
    const JsonValue *millicores = spec.find("millicores");
    const bool hasMillicores = millicores != nullptr && millicores->type == JsonValue::Type::Number && millicores->number >= 0
        && millicores->number <= mostMillicores;
    return VmRegistration{.callers = *callers,
                          .peers = *peers,
                          .failureDomain = {text("failure_domain")},
                          .millicores = hasMillicores ? static_cast<std::uint32_t>(millicores->number) : 0};
}

} // namespace

struct FleetVm::Impl
{
    Impl(FleetOptions given, PlatformAdapter platform)
        : options(std::move(given))
        , format(platform.format)
        , store(platform.openStore(context.get_executor()))
        , members(options.proxy.vm, options.proxy.failureDomain, options.silenceLimit)
        , link(context,
               options.proxy.vm,
               options.peers,
               [this](const auto &sender, const auto &message, const auto &from) { takeMessage(sender, message, from); })
        , feed(context, *store, link, members, clock, metrics)
        , admission(context, link, members, clock, options.quota)
        , proxy(options.proxy, {clock, metrics, admission})
        , configuration(format, metrics)
    {
    }

    Result<void> start();
    bool stop();
    bool isReady() const { return hasSnapshot && !isLeaving; }
    Page answerPage(const PageRequest &request);
    void followAll();
    net::awaitable<void> joinFleet();
    void takeRegistrations(const DocumentList &list);
    void takeRegistration(const DocumentChange &change);
    VmRegistration ownRegistration() const;
    void publishMembers();
    net::awaitable<void> registerSelf(std::optional<StoredDocument> present);
    void publishConfiguration();
    net::awaitable<void> watchRoster();
    net::awaitable<void> reportToAll();
    net::awaitable<void> reportNews();
    void report(const std::vector<const Member *> &to, std::optional<FleetNews> news, bool isWhole = true);
    void takeMessage(const VmName &sender, const LinkMessage &message, const net::ip::udp::endpoint &from);
    net::awaitable<void> removeGone();
    void checkOutage();
    void noteStore(bool isHeard, const std::string &problem);

    FleetOptions options;
    const PlatformFormat &format;
    net::io_context context{1};
    SteadyClock clock;
    Metrics metrics;
    std::unique_ptr<DocumentStore> store;
    Members members;
    Link link;
    FeedStore feed;
    FleetAdmission admission;
    Proxy proxy;
    Configuration configuration;
    FollowHandler declarationsHandler;
    FollowHandler targetsHandler;
    FollowHandler vmsHandler;
    std::optional<PageServer> readiness;
    std::optional<PageServer> addresses;
    std::optional<PageServer> metricsPage;
    std::map<VmName, std::uint64_t> registrations; // revision of each Vm's document
    bool isRegistering = false;
    bool isStoreLost = false;
    TimePoint othersHeardAt;
    std::optional<TimePoint> storeUpSince; // nothing: it is lost, or was never heard
    TimePoint lastOutageAt;
    FleetNews lastNews;
    std::atomic<bool> hasSnapshot{false};
    std::atomic<bool> isLeaving{false};
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
        const std::vector<Address> callers = members.callerAddresses(format.decodeAddressQuestion(request.query), clock.now());
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

void FleetVm::Impl::noteStore(bool isHeard, const std::string &problem)
{
    const TimePoint now = clock.now();
    if (isHeard) {
        if (const std::optional<TimePoint> lostAt = configuration.roster().outageStartedAt()) {
            lastOutageAt = *lostAt;
            storeUpSince = now;
        }
        storeUpSince = storeUpSince.value_or(now);
        configuration.roster().noteStoreReachable(now);
        checkOutage();
    } else {
        storeUpSince.reset();
        configuration.roster().noteStoreUnreachable(now);
        metrics.count(Counter::StoreFailures);
    }
    if (isStoreLost == isHeard) {
        isStoreLost = !isHeard;
        metrics.setGauge(Gauge::StoreReachable, isHeard ? 1 : 0);
        logEvent(
            isHeard ? Event::StoreRecovered : Event::StoreUnavailable, {{"error", problem}}, isHeard ? LogLevel::Info : LogLevel::Warning);
    }
}

// Whether the outage that ended was this Vm's alone, by the word of the others.
void FleetVm::Impl::checkOutage()
{
    const TimePoint now = clock.now();
    if (configuration.roster().isInGracePeriod(now) && members.hadStoreSince(lastOutageAt, now)) {
        configuration.roster().noteLocalOutage(now);
        publishConfiguration();
    }
}

void FleetVm::Impl::publishConfiguration()
{
    if (configuration.rosterRevision() == 0) {
        return; // without targets every request would be refused
    }
    const std::shared_ptr<const Snapshot> snapshot = configuration.takeSnapshot(clock.now());
    if (!snapshot) {
        return;
    }
    admission.applySnapshot(snapshot);
    proxy.applySnapshot(snapshot);
    hasSnapshot = true;
}

void FleetVm::Impl::followAll()
{
    const auto onLost = [this](const Error &error) { noteStore(false, describe(error)); };
    const auto onHeard = [this] { noteStore(true, {}); };
    const auto take = [this](const StoredDocument &document) {
        if (document.name == format.declarationsName()) {
            configuration.takeDeclarations(document);
        }
    };
    declarationsHandler = {.onList =
                               [take](const DocumentList &list) {
                                   for (const StoredDocument &it : list.items) {
                                       take(it);
                                   }
                               },
                           .onChange =
                               [take](const DocumentChange &change) {
                                   if (!change.isDeleted) {
                                       take(change.document);
                                   }
                               },
                           .onChanged = [this] { publishConfiguration(); },
                           .onLost = onLost,
                           .onHeard = onHeard};
    targetsHandler = {.onList = [this](const DocumentList &list) { configuration.listTargets(list, clock.now()); },
                      .onChange = [this](const DocumentChange &change) { configuration.changeTarget(change, clock.now()); },
                      .onChanged = [this] { publishConfiguration(); },
                      .onLost = onLost,
                      .onHeard = onHeard};
    vmsHandler = {.onList = [this](const DocumentList &list) { takeRegistrations(list); },
                  .onChange = [this](const DocumentChange &change) { takeRegistration(change); },
                  .onChanged = [this] { publishMembers(); },
                  .onLost = onLost,
                  .onHeard = onHeard};
    const auto follow = [this](const std::string &kind, const FollowHandler &handler) {
        const FollowOptions followed{.kind = kind, .watchWait = options.watchWait, .watchPause = options.watchPause};
        net::co_spawn(context, followKind(feed, followed, handler), net::detached);
    };
    follow(format.declarationsKind(), declarationsHandler);
    follow(format.targetsKind(), targetsHandler);
    net::co_spawn(context, joinFleet(), net::detached);
}

// Registers first: whether the name was taken says whether this is a restart, after which an old list will do. The Vms of a
// new fleet register together, so a new one waits before it reads who is there.
net::awaitable<void> FleetVm::Impl::joinFleet()
{
    isRegistering = true;
    const JsonValue spec = encodeRegistration(ownRegistration());
    const Result<StoredDocument> created = co_await feed.create(format.vmsKind(), options.proxy.vm.value, spec);
    FollowOptions followed{.kind = format.vmsKind(), .watchWait = options.watchWait, .watchPause = options.statusPeriod};
    if (created) {
        followed.firstList = ListAge::Current;
        net::steady_timer timer(context, joinTime);
        co_await timer.async_wait(net::use_awaitable);
    } else if (created.error().code != ErrorCode::VersionConflict) {
        noteStore(false, describe(created.error())); // the list below tells whether it must be made again
    }
    isRegistering = false;
    co_await followKind(feed, followed, vmsHandler);
}

// Registrations that lapsed in an outage of the store are dropped without an event.
net::awaitable<void> FleetVm::Impl::watchRoster()
{
    net::steady_timer timer(context);
    for (;;) {
        timer.expires_after(rosterStep);
        co_await timer.async_wait(net::use_awaitable);
        const std::optional<TimePoint> next = configuration.roster().nextRemoval();
        if (next && *next <= clock.now()) {
            publishConfiguration();
        }
    }
}

//-----------------------------------------------------------------------------
// Members
//-----------------------------------------------------------------------------

void FleetVm::Impl::takeRegistrations(const DocumentList &list)
{
    std::vector<std::pair<RegisteredVm, VmRegistration>> vms;
    std::optional<StoredDocument> own;
    registrations.clear();
    for (const StoredDocument &it : list.items) {
        const VmName name{it.name};
        if (members.isSelf(name)) {
            own = it;
        }
        registrations[name] = it.revision;
        if (const auto registration = decodeRegistration(it.spec)) {
            vms.emplace_back(RegisteredVm{name, registration->failureDomain, it.created, registration->millicores}, *registration);
        }
    }
    members.list(vms, clock.now());
    const bool isRegistered = own && decodeRegistration(own->spec) == ownRegistration();
    if (!isRegistered && !isRegistering) {
        isRegistering = true;
        net::co_spawn(context, registerSelf(std::move(own)), net::detached);
    }
}

void FleetVm::Impl::takeRegistration(const DocumentChange &change)
{
    const StoredDocument &document = change.document;
    const VmName name{document.name};
    const auto registration = change.isDeleted ? std::nullopt : decodeRegistration(document.spec);
    if (!registration) {
        registrations.erase(name);
        members.remove(name);
        if (members.isSelf(name) && !isRegistering && !isLeaving) {
            isRegistering = true;
            net::co_spawn(context, registerSelf(std::nullopt), net::detached);
        }
        return;
    }
    registrations[name] = document.revision;
    members.put({name, registration->failureDomain, document.created, registration->millicores}, *registration, clock.now());
}

VmRegistration FleetVm::Impl::ownRegistration() const
{
    return {.callers = options.proxy.callers,
            .peers = options.peers,
            .failureDomain = options.proxy.failureDomain,
            .millicores = options.millicores};
}

void FleetVm::Impl::publishMembers()
{
    const std::vector<VmName> holders = members.holders();
    admission.setSeats(options.proxy.vm, holders);
    const bool holdsSeat = std::find(holders.begin(), holders.end(), options.proxy.vm) != holders.end();
    proxy.setRetryShare(holdsSeat ? 1.0 / static_cast<double>(holders.size()) : 0);
    proxy.setVmCount(static_cast<std::uint32_t>(std::max<std::size_t>(holders.size(), 1)));
    logEvent(
        Event::SeatsAssigned,
        {{"vms", std::to_string(registrations.size())}, {"holders", std::to_string(holders.size())}, {"own", holdsSeat ? "yes" : "no"}});
    report(members.reportReceivers(), std::nullopt); // a Vm that starts again is heard of, and hears, at once
}

net::awaitable<void> FleetVm::Impl::registerSelf(std::optional<StoredDocument> present)
{
    net::steady_timer timer(context);
    const JsonValue spec = encodeRegistration(ownRegistration());
    for (;;) {
        const std::string &name = options.proxy.vm.value;
        Result<StoredDocument> written; // not by a conditional expression: GCC 12 destroys its awaited temporaries twice
        if (present) {
            written = co_await feed.replace(format.vmsKind(), name, spec, present->revision);
        } else {
            written = co_await feed.create(format.vmsKind(), name, spec);
        }
        if (written || written.error().code == ErrorCode::VersionConflict) {
            break; // a conflict: the write took effect before its answer was lost, or another process has this name
        }
        logEvent(Event::StoreUnavailable, {{"call", "register"}, {"error", describe(written.error())}}, LogLevel::Warning);
        timer.expires_after(registerPause);
        co_await timer.async_wait(net::use_awaitable);
    }
    isRegistering = false;
}

// One live Vm removes the registrations of those that nobody heard of for long.
net::awaitable<void> FleetVm::Impl::removeGone()
{
    net::steady_timer timer(context);
    for (;;) {
        timer.expires_after(options.statusPeriod);
        co_await timer.async_wait(net::use_awaitable);
        const TimePoint now = clock.now();
        const std::vector<const Member *> others = members.others();
        for (const Member *it : others) {
            othersHeardAt = std::max(othersHeardAt, it->heardAt);
        }
        const bool isFenced = !others.empty() && now - othersHeardAt > fenceTime;
        admission.setSeats(options.proxy.vm, isFenced ? std::vector<VmName>() : members.holders());
        if (isFenced) {
            continue;
        }
        const std::vector<VmName> live = members.liveHolders(now);
        if (live.empty() || live.front() != options.proxy.vm || live.size() * 2 < members.holders().size()) {
            continue;
        }
        for (const Member *it : others) {
            if (now - it->heardAt > goneTime) {
                const std::string name = it->name.value;
                logEvent(Event::VmForgotten, {{"vm", name}});
                const auto removed = co_await feed.remove(format.vmsKind(), name, registrations[it->name]);
                if (!removed) {
                    logEvent(Event::StoreUnavailable, {{"call", "remove"}, {"error", describe(removed.error())}}, LogLevel::Warning);
                }
                break; // the members may have changed meanwhile
            }
        }
    }
}

//-----------------------------------------------------------------------------
// Reports
//-----------------------------------------------------------------------------

void FleetVm::Impl::report(const std::vector<const Member *> &to, std::optional<FleetNews> news, bool isWhole)
{
    const StatusReport status{.isLeaving = isLeaving,
                              .declarationsRevision = configuration.declarationsRevision(),
                              .rosterRevision = configuration.rosterRevision(),
                              .storeUp
                              = storeUpSince ? std::max<Duration>(clock.now() - *storeUpSince, std::chrono::milliseconds(1)) : Duration(0),
                              .news = std::move(news),
                              .isWhole = isWhole};
    const std::string bytes = encodeDatagram(options.proxy.vm, status);
    for (const Member *it : to) {
        link.send(toDatagramEndpoint(it->registration.peers), bytes);
    }
}

net::awaitable<void> FleetVm::Impl::reportToAll()
{
    net::steady_timer timer(context);
    for (;;) {
        report(members.reportReceivers(), std::nullopt);
        timer.expires_after(options.statusPeriod);
        co_await timer.async_wait(net::use_awaitable);
    }
}

// To seat holders: what changed since the last report, and all of it again before they forget it.
net::awaitable<void> FleetVm::Impl::reportNews()
{
    net::steady_timer timer(context);
    TimePoint wholeAt;
    for (;;) {
        timer.expires_after(options.newsPeriod);
        co_await timer.async_wait(net::use_awaitable);
        FleetNews news = proxy.news();
        const bool isWhole = clock.now() - wholeAt >= options.statusPeriod;
        FleetNews said = isWhole ? news : changesOf(lastNews, news);
        lastNews = std::move(news);
        if (said.empty()) {
            continue;
        }
        wholeAt = isWhole ? clock.now() : wholeAt;
        std::vector<const Member *> to;
        for (const VmName &it : members.liveHolders(clock.now())) {
            if (!members.isSelf(it)) {
                to.push_back(members.find(it));
            }
        }
        report(to, std::move(said), isWhole);
    }
}

void FleetVm::Impl::takeMessage(const VmName &sender, const LinkMessage &message, const net::ip::udp::endpoint &from)
{
    if (const auto *status = std::get_if<StatusReport>(&message)) {
        const std::uint64_t newest = std::max(status->declarationsRevision, status->rosterRevision);
        members.noteReport(sender, status->isLeaving, status->storeUp, newest, clock.now());
        checkOutage();
        if (status->news) {
            proxy.applyNews(sender, *status->news, status->isWhole);
        }
    } else if (const auto *question = std::get_if<TokenQuestion>(&message)) {
        link.send(from, encodeDatagram(options.proxy.vm, admission.answer(*question)));
    } else if (const auto *reply = std::get_if<TokenReply>(&message)) {
        admission.takeReply(*reply);
    } else if (const auto *asked = std::get_if<FeedQuestion>(&message)) {
        link.send(from, encodeDatagram(options.proxy.vm, feed.answer(*asked)));
    } else if (const auto *fed = std::get_if<FeedReply>(&message)) {
        feed.takeReply(*fed);
    }
}

//-----------------------------------------------------------------------------
// Life
//-----------------------------------------------------------------------------

Result<void> FleetVm::Impl::start()
{
    const auto answer = [this](const PageRequest &request) { return answerPage(request); };
    const auto serve = [this, &answer](std::optional<PageServer> &server, const Address &address) -> Result<void> {
        return address.port == 0 ? Result<void>() : server.emplace(context, address, answer).start();
    };
    Result<void> started = link.start();
    started = started ? serve(readiness, options.readiness) : started;
    started = started ? serve(addresses, options.addresses) : started;
    started = started ? serve(metricsPage, options.metrics) : started;
    started = started ? proxy.start() : started;
    if (!started) {
        return started;
    }
    othersHeardAt = clock.now();
    followAll();
    net::co_spawn(context, watchRoster(), net::detached);
    net::co_spawn(context, reportToAll(), net::detached);
    net::co_spawn(context, reportNews(), net::detached);
    net::co_spawn(context, removeGone(), net::detached);
    thread = std::thread([this] { context.run(); });
    return {};
}

bool FleetVm::Impl::stop()
{
    net::post(context, [this] {
        isLeaving = true;
        members.setLeaving();
        report(members.reportReceivers(), std::nullopt);
    });
    proxy.beginLeave();
    std::this_thread::sleep_for(options.leaveTime);
    const bool isDrained = proxy.drainAndStop(options.drainTimeoutMs);
    context.stop();
    thread.join();
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

bool FleetVm::stop()
{
    logEvent(Event::VmLeaving, {{"vm", m_impl->options.proxy.vm.value}});
    const bool isDrained = m_impl->stop();
    logEvent(Event::VmStopped, {{"vm", m_impl->options.proxy.vm.value}, {"cut", isDrained ? "none" : "some"}});
    return isDrained;
}

} // namespace Pollenspoke
