#include "feed.h"

#include "packed_text.h"

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>

namespace Pollenspoke {

namespace {

namespace net = boost::asio;
using namespace net::experimental::awaitable_operators;

constexpr auto asTuple = net::as_tuple(net::use_awaitable);
constexpr auto holderPollInterval = std::chrono::milliseconds(300);   // of seat holders: their requests are subject to the changes
constexpr auto plainPollInterval = std::chrono::milliseconds(600);    // of other Vms; two hops stay well below the platform's bounds
constexpr auto replyTimeout = std::chrono::milliseconds(150);         // a round trip takes about 2 ms, a large configuration longer
constexpr std::uint64_t anyDomainInterval = 3;                        // every third poll may go to a source in any failure domain
constexpr std::size_t maxSourcesPerPoll = 3;                          // if sources are silent, lost the store or lack changes
constexpr auto silenceMemory = std::chrono::seconds(3);               // a source that didn't answer is asked last for so long
constexpr auto noticeInterval = std::chrono::milliseconds(100);       // at least, between the notices of one Vm
constexpr auto watcherNoticeDelay = std::chrono::milliseconds(100);   // in which a store watcher usually gets a change from the store
constexpr std::uint32_t maxNoticeDelayMs = 60;                        // spreads the polls that one notice causes
constexpr auto watcherProbeInterval = std::chrono::milliseconds(400); // of a silent store; the delay until its return is noticed
constexpr auto blindProbeInterval = std::chrono::seconds(2);          // the same by a seat holder beside the watchers, if nobody has access
constexpr auto shortHandedProbeInterval = std::chrono::seconds(1);    // if fewer Vms have access than are to watch
constexpr auto idleProbeInterval = std::chrono::seconds(5);           // if enough have
constexpr auto startupGrace = std::chrono::milliseconds(2500);        // until the seat holders of a new fleet have found each other
constexpr auto heldContentTimeout = std::chrono::seconds(10);         // with no Vm that answers, there is none that holds more
constexpr auto directWatchTimeout = std::chrono::seconds(2);          // for a direct watch of the store by a Vm that isn't a store watcher
constexpr std::size_t maxExpiredRequests = 16;                        // remembered, to recognize late replies

} // namespace

ChangeLog::KnownDocument ChangeLog::describe(const StoredDocument &document, std::string_view spec)
{
    return {.revision = document.revision, .created = document.created, .contentHash = stableHash(spec)};
}

void ChangeLog::restartAt(StorePosition position)
{
    m_spans = {{.first = position, .last = position}};
    m_newestChange = position;
    m_changes.clear();
    m_newest.clear();
    m_documents.clear();
    m_contents.clear();
    m_knowsAllDocuments = false;
}

void ChangeLog::keep(const StoredDocument &document)
{
    if (m_keepsContents) {
        m_contents[document.name] = document;
    }
}

// The changes before the first position of an era are known only as differences from the earlier one.
void ChangeLog::advance(StorePosition position)
{
    if (position <= end()) {
        return;
    }
    if (position.isInSameEra(end())) {
        m_spans.back().last = position;
    } else {
        m_spans.push_back({.first = position, .last = position});
        m_newestChange = position;
    }
}

void ChangeLog::append(const DocumentChange &change, TimePoint now)
{
    const std::string spec = formatJsonText(change.document.spec);
    Entry entry{.change = change, .knownSince = now - change.age};
    std::shared_ptr<const PackedText> &packedSpec = entry.change.document.packedSpec;
    packedSpec = packedSpec ? packedSpec : packText(spec);
    entry.bytes = change.document.name.size() + (packedSpec ? packedSpec->bytes.size() : spec.size());
    const auto superseded = m_newest.find(change.document.name);
    if (superseded != m_newest.end()) {
        m_changes.erase(superseded->second);
    }
    m_newest[change.document.name] = m_changes.insert(m_changes.end(), std::move(entry));
    m_newestChange = std::max(m_newestChange, change.position);
    if (change.isDeleted) {
        m_documents.erase(change.document.name);
        m_contents.erase(change.document.name);
    } else {
        keep(change.document);
        m_documents[change.document.name] = describe(change.document, spec);
    }
    while (m_changes.size() > maxChanges) {
        const StorePosition dropped = m_changes.front().change.position;
        while (m_spans.size() > 1 && m_spans.front().first.era() < dropped.era()) {
            m_spans.erase(m_spans.begin());
        }
        m_spans.front().first = std::max(m_spans.front().first, dropped);
        m_newest.erase(m_changes.front().change.document.name);
        m_changes.pop_front();
    }
}

void ChangeLog::add(const DocumentChanges &changes, TimePoint now)
{
    if (m_spans.empty()) {
        return;
    }
    const StorePosition previousEnd = end();
    advance(changes.position);
    for (const DocumentChange &it : changes.events) {
        if (it.position > previousEnd) { // else already logged from another source
            append(it, now);
        }
    }
}

void ChangeLog::addList(const DocumentList &list, TimePoint now)
{
    if (!m_spans.empty() && list.position <= end()) {
        return;
    }
    if (m_spans.empty() || !m_knowsAllDocuments) {
        restartAt(list.position);
        for (const StoredDocument &it : list.items) {
            m_documents[it.name] = describe(it, formatJsonText(it.spec));
            keep(it);
        }
        m_knowsAllDocuments = true;
        return;
    }
    std::map<std::string, KnownDocument> missing = m_documents;
    std::vector<DocumentChange> changes;
    for (const StoredDocument &it : list.items) {
        const auto known = missing.find(it.name);
        if (known == missing.end() || known->second != describe(it, formatJsonText(it.spec))) {
            changes.push_back({.document = it, .position = {list.position.era(), it.revision}});
        }
        missing.erase(it.name);
    }
    std::sort(changes.begin(), changes.end(), [](const DocumentChange &left, const DocumentChange &right) {
        return left.position < right.position;
    });
    for (const auto &[name, known] : missing) {
        changes.push_back({.isDeleted = true, .document = {.name = name, .revision = list.position.revision()}, .position = list.position});
    }
    advance(list.position);
    std::for_each(changes.begin(), changes.end(), [this, now](const DocumentChange &it) { append(it, now); });
}

// A cursor of an earlier era may be beyond the end of its span, as long as its sender knows no change that this log lacks.
bool ChangeLog::covers(const FeedCursor &cursor) const
{
    const auto span
        = std::find_if(m_spans.begin(), m_spans.end(), [&cursor](const Span &it) { return it.first.isInSameEra(cursor.since); });
    if (span == m_spans.end() || cursor.since < span->first) {
        return false;
    }
    return cursor.since <= span->last || (cursor.since < end() && cursor.newestChange <= span->last);
}

std::optional<DocumentChanges> ChangeLog::since(const FeedCursor &cursor, TimePoint now, SpecForm form) const
{
    if (!m_spans.empty() && cursor.since > end()) {
        return DocumentChanges{.position = end()}; // the receiver is ahead of this Vm
    }
    if (cursor == FeedCursor() && m_keepsContents && m_knowsAllDocuments) {
        DocumentChanges all{.position = end()};
        for (const auto &[name, it] : m_contents) {
            all.events.push_back({.document = it, .position = {end().era(), it.revision}});
        }
        return all;
    }
    if (!covers(cursor)) {
        return std::nullopt;
    }
    const auto isNewer = [&cursor](const Entry &it) { return it.change.position > cursor.since; };
    const auto first = std::find_if_not(m_changes.rbegin(), m_changes.rend(), isNewer).base();
    DocumentChanges changes{.position = end()};
    std::size_t bytes = 0;
    for (auto it = first; it != m_changes.end(); ++it) {
        bytes += it->bytes;
        const StoredDocument &document = it->change.document;
        const bool isSpecLeftOut = form == SpecForm::Packed && document.packedSpec;
        changes.events.push_back({.isDeleted = it->change.isDeleted,
                                  .document = {.name = document.name,
                                               .revision = document.revision,
                                               .created = document.created,
                                               .spec = isSpecLeftOut ? JsonValue() : document.spec,
                                               .packedSpec = document.packedSpec},
                                  .position = it->change.position,
                                  .age = std::max(now - it->knownSince, Duration(0)),
                                  .hops = it->change.hops});
    }
    return bytes > maxReplyBytes ? std::nullopt : std::optional(std::move(changes));
}

FeedStore::FeedStore(net::io_context &context, DocumentStore &store, Link &link, Members &members, const Clock &clock, Metrics &metrics)
    : m_context(context)
    , m_store(context, store, clock, metrics)
    , m_link(link)
    , m_members(members)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_noticeTimer(context)
    , m_pollTimer(context)
    , m_askingSince(clock.now())
    , m_generator(std::random_device{}())
    , m_startedAt(clock.now())
    , m_lastStoreContactAt(m_startedAt)
    , m_deputy(m_startedAt)
{
}

bool FeedStore::isStoreWatcher() const
{
    if (m_deputy.isDeputy()) {
        return true;
    }
    const std::vector<VmName> watchers = m_members.watchers(m_clock.now());
    return std::any_of(watchers.begin(), watchers.end(), [this](const VmName &it) { return m_members.isSelf(it); });
}

bool FeedStore::isInStartupGrace() const
{
    return m_clock.now() - m_startedAt < startupGrace;
}

StorePosition FeedStore::newestPosition() const
{
    StorePosition newest;
    for (const auto &[kind, log] : m_logs) {
        newest = std::max(newest, log.end());
    }
    return newest;
}

//-----------------------------------------------------------------------------
// Deputies of the seat holders
//-----------------------------------------------------------------------------

// A watch without changes must not make the contact look old.
Duration FeedStore::contactLimit() const
{
    return std::max<Duration>(storeSilenceLimit, m_longestWait + storeSilenceLimit / 2);
}

void FeedStore::noteOwnContact()
{
    if (m_members.isSeatHolder(m_members.self())) {
        return;
    }
    m_deputy.recordOwnContact(m_clock.now(), contactLimit());
    updateDeputyRole();
}

void FeedStore::updateDeputyRole()
{
    const bool holdsSeat = m_members.isSeatHolder(m_members.self());
    if (holdsSeat) {
        m_deputy.recordLoss();
    } else {
        m_deputy.update(m_clock.now(), contactLimit());
    }
    if (m_deputy.isDeputy() != m_isDeputy) {
        logEvent(Event::DeputyRoleChanged, {{"role", m_isDeputy ? "none" : "deputy"}});
        if (m_isDeputy) {
            const bool hasAccess = m_members.hasStoreAccess();
            m_members.setStoreAccess(false); // in the last report as a deputy
            m_onAccessChanged();
            m_members.setStoreAccess(hasAccess);
        }
        m_isDeputy = m_deputy.isDeputy();
        m_members.setDeputy(m_isDeputy);
        if (m_isDeputy) {
            m_members.setStoreAccess(true);
            m_onAccessChanged();
        }
        wakeWatches();
    }
    if (!holdsSeat && !m_isProbing && m_deputy.isBlind(m_clock.now(), contactLimit())) {
        m_isProbing = true;
        net::co_spawn(m_context, probeWhileBlind(), net::detached);
    }
}

// The first probe comes after a random part of the interval: all Vms without a seat lose the contact at about the same time.
net::awaitable<void> FeedStore::probeWhileBlind()
{
    net::steady_timer timer(m_context);
    std::uniform_real_distribution<double> part(0, 1);
    const auto seats = m_members.seatHolders().size();
    const auto interval = DeputyRole::probeInterval(m_members.others().size() + 1 - std::min(seats, m_members.others().size() + 1));
    timer.expires_after(std::chrono::duration_cast<Duration>(interval * part(m_generator)));
    co_await timer.async_wait(asTuple);
    while (m_deputy.isBlind(m_clock.now(), contactLimit()) && !m_members.isSeatHolder(m_members.self())) {
        m_store.probe();
        timer.expires_after(interval);
        co_await timer.async_wait(asTuple);
    }
    m_isProbing = false;
}

bool FeedStore::isSilent(const Member &source) const
{
    return m_silentSources.contains(source.name);
}

// Returns nullptr if all sources were tried. Sources in the own domain come first, except in some polls, and silent ones last. Among equals
// the choice is random, in proportion to their processors: a reply costs a small Vm more.
const Member *FeedStore::chooseSource(const std::set<VmName> &tried)
{
    if (const Member *sender = m_noticeSender ? m_members.find(*m_noticeSender) : nullptr) {
        m_noticeSender.reset();
        if (!tried.contains(sender->name) && !m_members.isSelf(sender->name)) {
            return sender;
        }
    }
    std::vector<const Member *> sources;
    const bool prefersOwnDomain = m_pollCount % anyDomainInterval != 0;
    for (const bool acceptsSilent : {false, true}) {
        for (const bool isLocal : {prefersOwnDomain, false}) {
            sources = m_members.feedSources(newestPosition(), isLocal, m_clock.now());
            std::erase_if(sources, [&](const Member *it) { return tried.contains(it->name) || (!acceptsSilent && isSilent(*it)); });
            if (!sources.empty()) {
                std::vector<double> weights;
                std::transform(sources.begin(), sources.end(), std::back_inserter(weights), [](const Member *it) {
                    return std::max<double>(it->registration.millicores, 1);
                });
                return sources[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_generator)];
            }
        }
    }
    return nullptr;
}

DocumentStore::Call<DocumentList> FeedStore::list(std::string kind, ReadConsistency consistency)
{
    const TimePoint startedAt = m_clock.now();
    Result<DocumentList> result = co_await m_store.list(kind, consistency);
    recordAccess(kind, result ? std::nullopt : std::optional(result.error()), startedAt);
    if (!result && kind == m_keptKind && knownPosition(kind) == StorePosition()) {
        if (std::optional<DocumentList> held = co_await listAtOtherVm(kind)) {
            m_logs[kind].addList(*held, m_clock.now());
            co_return std::move(*held);
        }
    }
    if (!result) {
        co_return result;
    }
    if (result->position.era() < newestPosition().era()) {
        co_return tl::unexpected(Error{.code = ErrorCode::Unavailable, .path = kind, .detail = "list of a store that was restored since"});
    }
    m_lastStoreContactAt = m_clock.now();
    const StorePosition previous = m_logs[kind].cursor().newestChange;
    m_logs[kind].addList(*result, m_clock.now());
    if (consistency == ReadConsistency::Current) {
        noteKnownUntil(kind, startedAt);
    }
    noteChange(kind, previous);
    co_return result;
}

void FeedStore::setKeptKind(const std::string &kind)
{
    m_keptKind = kind;
    m_logs[kind].keepContents();
}

net::awaitable<std::optional<DocumentList>> FeedStore::listAtOtherVm(std::string kind)
{
    std::set<VmName> tried;
    while (tried.size() < maxSourcesPerPoll) {
        const Member *source = chooseSource(tried);
        if (source == nullptr) {
            break;
        }
        tried.insert(source->name);
        Cursors cursors;
        cursors[kind] = FeedCursor(); // asks for all documents
        const std::optional<FeedReply> reply = co_await requestChanges(*source, std::move(cursors));
        if (!reply) {
            continue;
        }
        const auto changes = reply->changes.find(kind);
        if (changes == reply->changes.end() || !changes->second) {
            continue; // it has no list itself
        }
        DocumentList list{.position = changes->second->position};
        for (const DocumentChange &it : changes->second->events) {
            list.items.push_back(it.document);
        }
        co_return list;
    }
    co_return std::nullopt;
}

DocumentStore::Call<DocumentChanges> FeedStore::watchStore(std::string kind, StorePosition since, Duration wait)
{
    const TimePoint startedAt = m_clock.now();
    Result<DocumentChanges> changes = co_await m_store.watch(kind, since, wait);
    if ((co_await net::this_coro::cancellation_state).cancelled() != net::cancellation_type::none) {
        co_return tl::unexpected(Error{.code = ErrorCode::Unavailable, .path = kind, .detail = "the changes came in another way"});
    }
    recordAccess(kind, changes ? std::nullopt : std::optional(changes.error()), startedAt);
    if (changes) {
        m_lastStoreContactAt = m_clock.now();
        const StorePosition previous = m_logs[kind].cursor().newestChange;
        m_logs[kind].add(*changes, m_lastStoreContactAt);
        noteKnownUntil(kind, startedAt);
        noteChange(kind, previous);
    }
    co_return changes;
}

// Ends with the first of both: a store that is silent for this Vm must not hold up changes that other Vms have sent.
DocumentStore::Call<DocumentChanges> FeedStore::watchStoreOrLog(std::string kind, FeedCursor cursor, Duration wait)
{
    net::awaitable<Result<DocumentChanges>> storeWatch = watchStore(kind, cursor.since, wait);
    net::awaitable<DocumentChanges> logWait = waitForLog(kind, cursor);
    std::variant<Result<DocumentChanges>, DocumentChanges> first = co_await (std::move(storeWatch) || std::move(logWait));
    if (auto *changes = std::get_if<DocumentChanges>(&first)) {
        co_return std::move(*changes);
    }
    co_return std::move(std::get<Result<DocumentChanges>>(first));
}

// Returns when the log has changes after the cursor.
net::awaitable<DocumentChanges> FeedStore::waitForLog(std::string kind, FeedCursor cursor)
{
    net::steady_timer timer(m_context);
    for (;;) {
        std::optional<DocumentChanges> changes = m_logs[kind].since(cursor, m_clock.now());
        if (changes && !changes->events.empty()) {
            co_return std::move(*changes);
        }
        m_watches[kind].timer = &timer;
        timer.expires_at(TimePoint::max());
        co_await timer.async_wait(asTuple);
        m_watches[kind].timer = nullptr;
        if ((co_await net::this_coro::cancellation_state).cancelled() != net::cancellation_type::none) {
            co_return DocumentChanges();
        }
    }
}

DocumentStore::Call<DocumentChanges> FeedStore::watch(std::string kind, StorePosition since, Duration wait)
{
    ChangeLog &log = m_logs[kind];
    const FeedCursor cursor{.since = since, .newestChange = since};
    if (!log.covers(cursor)) {
        log.restartAt(since);
    }
    Watch &watch = m_watches[kind];
    watch.failures = {};
    m_longestWait = kind == m_keptKind ? m_longestWait : std::max(m_longestWait, wait);
    const TimePoint deadline = m_clock.now() + wait;
    net::steady_timer timer(m_context);
    while (!isStoreWatcher() && !watch.failures.isLimitReached()) {
        const TimePoint now = m_clock.now();
        std::optional<DocumentChanges> changes = log.since(cursor, now);
        const bool isStoreSilent = now - m_lastStoreContactAt > storeSilenceLimit;
        if (!changes) {
            break; // the log was trimmed meanwhile
        }
        if (!changes->events.empty() || (now >= deadline && !isStoreSilent)) {
            co_return std::move(*changes);
        }
        watch.timer = &timer;
        timer.expires_after(isStoreSilent ? wait : deadline - now);
        co_await timer.async_wait(asTuple);
        watch.timer = nullptr;
    }
    if (std::optional<DocumentChanges> changes = log.since(cursor, m_clock.now()); changes && !changes->events.empty()) {
        co_return std::move(*changes);
    }
    const Duration timeout = isStoreWatcher() ? staggeredWait(kind, wait) : std::min<Duration>(wait, directWatchTimeout);
    Result<DocumentChanges> changes = co_await watchStoreOrLog(kind, cursor, timeout);
    m_watches[kind].isInStep = !changes || !changes->events.empty();
    co_return changes;
}

// A change or a failure ends the watches of all store watchers in the same moment. The next ones end one after the other, over the
// kinds and the watchers, so that a store that swallowed them is soon noticed by one of them.
Duration FeedStore::staggeredWait(const std::string &kind, Duration wait)
{
    if (!m_watches[kind].isInStep) {
        return wait;
    }
    const std::vector<VmName> watchers = m_members.watchers(m_clock.now());
    const auto rank = std::find(watchers.begin(), watchers.end(), m_members.self()) - watchers.begin();
    if (rank == std::ssize(watchers)) {
        return wait; // a deputy
    }
    const auto kinds = static_cast<std::int64_t>(m_watches.size());
    const std::int64_t slot = rank * kinds + std::distance(m_watches.begin(), m_watches.find(kind)) + 1;
    return wait * slot / (std::ssize(watchers) * kinds);
}

// Whether another Vm told of a change that this one lacks.
bool FeedStore::isBehind() const
{
    return std::any_of(m_receivedNotices.begin(), m_receivedNotices.end(), [this](const auto &it) {
        const auto log = m_logs.find(it.first);
        return log != m_logs.end() && it.second > log->second.end();
    });
}

void FeedStore::noteChange(const std::string &kind, const StorePosition &previous)
{
    const StorePosition newest = m_logs[kind].cursor().newestChange;
    if (newest > previous) {
        m_unsentNotices[kind] = newest;
        m_noticeTimer.cancel();
    }
}

net::awaitable<void> FeedStore::sendNotices()
{
    net::steady_timer pause(m_context);
    for (;;) {
        while (m_unsentNotices.empty()) {
            m_noticeTimer.expires_at(TimePoint::max());
            co_await m_noticeTimer.async_wait(asTuple);
        }
        const FeedNotice notice{.newestChanges = std::exchange(m_unsentNotices, {})};
        const std::vector<const Member *> receivers = m_members.noticeReceivers(m_clock.now());
        if (!receivers.empty()) {
            const std::string bytes = encodeDatagram(m_members.self(), notice);
            for (const Member *it : receivers) {
                m_link.send(toDatagramEndpoint(it->registration.peers), bytes);
            }
        }
        pause.expires_after(noticeInterval);
        co_await pause.async_wait(asTuple);
    }
}

// A store watcher gets most changes from the store itself in the next moment, so it polls a little later, and only if it is still behind.
void FeedStore::handleNotice(const VmName &sender, const FeedNotice &notice)
{
    for (const auto &[kind, position] : notice.newestChanges) {
        StorePosition &newest = m_receivedNotices[kind];
        newest = std::max(newest, position);
    }
    if (!isBehind()) {
        m_receivedNotices.clear();
        return;
    }
    m_noticeSender = sender;
    std::uniform_int_distribution<std::uint32_t> delay(0, maxNoticeDelayMs);
    const auto headStart = isStoreWatcher() ? watcherNoticeDelay : std::chrono::milliseconds(0);
    const TimePoint pollAt = m_clock.now() + headStart + std::chrono::milliseconds(delay(m_generator));
    if (pollAt < m_pollTimer.expiry()) {
        m_pollTimer.expires_at(pollAt); // cancels the wait, which begins anew
    }
}

void FeedStore::wake(Watch &watch)
{
    if (watch.timer != nullptr) {
        watch.timer->cancel();
    }
}

// An answer of any kind proves access.
void FeedStore::recordAccess(const std::string &kind, const std::optional<Error> &error, TimePoint startedAt)
{
    const bool hasAccess = !error || (error->code != ErrorCode::Unavailable && error->code != ErrorCode::OutcomeUnknown);
    m_members.setStoreAccess(hasAccess);
    if (!hasAccess && m_deputy.isDeputy()) {
        m_deputy.recordLoss();
        updateDeputyRole();
    }
    if (error) {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - startedAt).count();
        logEvent(Event::StoreCallFailed, {{"kind", kind}, {"after_ms", std::to_string(ms)}, {"error", describe(*error)}});
    }
}

void FeedStore::startPolling(std::function<void()> onAccessChanged)
{
    net::co_spawn(m_context, poll(), net::detached);
    net::co_spawn(m_context, sendNotices(), net::detached);
    m_onAccessChanged = std::move(onAccessChanged);
    m_store.start({.planProbes = [this] { return planProbes(); },
                   .onAccessChanged =
                       [this](bool isReachable) {
                           m_members.setStoreAccess(isReachable);
                           m_onAccessChanged();
                       },
                   .onAnswer = [this] { noteOwnContact(); }});
}

// A seat holder that lost the store tries it again, so that it can become a store watcher: the more often the fewer Vms have access.
ProbedStore::ProbePlan FeedStore::planProbes() const
{
    if (isStoreWatcher()) {
        return {.interval = watcherProbeInterval, .isPersistent = true};
    }
    const std::size_t n = m_members.storeAccessCount(m_clock.now());
    const Duration interval = n == 0 ? blindProbeInterval : n < Members::maxWatchers ? shortHandedProbeInterval : idleProbeInterval;
    return {.interval = interval, .isPersistent = m_members.isSeatHolder(m_members.self())};
}

net::awaitable<void> FeedStore::poll()
{
    TimePoint startedAt = m_clock.now();
    for (;;) {
        const bool holdsSeat = m_members.isSeatHolder(m_members.self());
        m_pollTimer.expires_at(startedAt + (holdsSeat || isInStartupGrace() ? holderPollInterval : plainPollInterval));
        while (m_clock.now() < m_pollTimer.expiry()) {
            co_await m_pollTimer.async_wait(asTuple); // a notice may move the time
        }
        startedAt = m_clock.now();
        updateDeputyRole();
        if (!isStoreWatcher() || m_isDeputy || !m_members.hasStoreAccess() || isBehind()) {
            co_await pollOnce();
        }
        if (isBehind() && !isStoreWatcher()) {
            co_await pollOnce(); // of a notice that arrived during the poll
        }
        m_receivedNotices.clear();
        co_await requestHeldContent();
        wakeWatches(); // also if this Vm became a store watcher
    }
}

net::awaitable<void> FeedStore::pollOnce()
{
    ++m_pollCount;
    std::erase_if(m_silentSources, [this](const auto &it) { return m_clock.now() - it.second >= silenceMemory; });
    std::set<VmName> tried;
    std::size_t silentCount = 0;
    bool needsAnother = true;
    while (needsAnother && tried.size() < maxSourcesPerPoll) {
        const Member *source = chooseSource(tried);
        if (source == nullptr) {
            break;
        }
        tried.insert(source->name);
        const TimePoint askedAt = m_clock.now();
        const std::optional<FeedReply> reply = co_await requestChanges(*source, true);
        if (!reply) {
            ++silentCount;
            continue;
        }
        applyReply(*reply, askedAt);
        applyHeldContent(*reply);
        const auto isUncovered = [](const auto &it) { return !it.second.has_value(); };
        needsAnother = reply->storeContactAge > staleSourceLimit || std::any_of(reply->changes.begin(), reply->changes.end(), isUncovered);
    }
    if (silentCount < tried.size() || isInStartupGrace()) {
        co_return;
    }
    for (auto &[kind, it] : m_watches) {
        for (std::size_t i = 0; i < std::max<std::size_t>(silentCount, 1); ++i) { // also if there is no source
            it.failures.recordTimeout();
        }
    }
}

void FeedStore::noteStoreRestored()
{
    m_askingSince = m_clock.now();
}

bool FeedStore::needsHeldContent() const
{
    return m_askingSince && m_clock.now() - *m_askingSince < heldContentTimeout;
}

// A Vm that has just started knows no more than the store.
bool FeedStore::hasHeldContent() const
{
    return m_wasAnswered || m_clock.now() - m_startedAt > heldContentTimeout;
}

// Asks a Vm that has newer declarations. A store watcher, which polls nobody, asks any Vm after its start and after a restore: the store
// may lack what others hold.
net::awaitable<void> FeedStore::requestHeldContent()
{
    const TimePoint now = m_clock.now();
    const std::uint64_t version = std::max(m_heldContent.declarationsVersion(), m_lastRequestedVersion);
    const Member *source = m_members.findNewerDeclarations(version, now);
    const std::uint64_t sourceVersion = source == nullptr ? 0 : source->declarationsVersion;
    if (source == nullptr && needsHeldContent() && isStoreWatcher()) {
        std::vector<const Member *> live = m_members.others();
        std::erase_if(live, [this, now](const Member *it) { return !m_members.isLive(*it, now); });
        if (!live.empty()) {
            std::uniform_int_distribution<std::size_t> pick(0, live.size() - 1);
            source = live[pick(m_generator)];
        }
    }
    if (source == nullptr) {
        co_return;
    }
    const std::optional<FeedReply> reply = co_await requestChanges(*source, false);
    if (reply) {
        if (reply->declarations) {
            m_lastRequestedVersion = std::max(m_lastRequestedVersion, sourceVersion); // not again if it was refused
        }
        applyHeldContent(*reply);
    }
}

void FeedStore::applyHeldContent(const FeedReply &reply)
{
    if (reply.departures) {
        m_wasAnswered = true;
        m_askingSince.reset();
        m_heldContent.onDepartures(*reply.departures);
    }
    if (reply.declarations) {
        m_heldContent.onDeclarations(*reply.declarations);
    }
}

void FeedStore::applyReply(const FeedReply &reply, TimePoint sentAt)
{
    const TimePoint now = m_clock.now();
    m_lastStoreContactAt = std::max(m_lastStoreContactAt, now - reply.storeContactAge);
    if (!m_members.isSeatHolder(m_members.self())) {
        m_members.recordSeatHolders(reply.overdue, now);
        m_deputy.recordHandedOnContact(now - reply.storeContactAge);
        if (std::find(reply.deputies.begin(), reply.deputies.end(), m_members.self()) != reply.deputies.end()) {
            m_deputy.recordNeed(now);
        }
    }
    for (const auto &[kind, changes] : reply.changes) {
        const auto watch = m_watches.find(kind);
        if (watch == m_watches.end()) {
            continue;
        }
        if (changes) {
            const StorePosition previous = m_logs[kind].cursor().newestChange;
            watch->second.failures.recordChanges();
            m_logs[kind].add(*changes, now);
            if (const auto age = reply.knownAges.find(kind); age != reply.knownAges.end()) {
                noteKnownUntil(kind, sentAt - age->second);
            }
            noteChange(kind, previous);
        } else {
            m_metrics.count(Counter::FeedRepliesNotCovered);
            watch->second.failures.recordNotCovered();
        }
    }
}

net::awaitable<std::optional<FeedReply>> FeedStore::requestChanges(const Member &source, bool includesCursors)
{
    Cursors cursors;
    if (includesCursors) {
        for (const auto &[kind, watch] : m_watches) {
            cursors[kind] = m_logs[kind].cursor();
        }
    }
    return requestChanges(source, std::move(cursors));
}

net::awaitable<std::optional<FeedReply>> FeedStore::requestChanges(const Member &source, Cursors cursors)
{
    const FeedRequest request{.id = ++m_lastRequestId,
                              .isLeaving = m_members.isLeaving(),
                              .cursors = std::move(cursors),
                              .declarationsVersion = m_heldContent.declarationsVersion(),
                              .needsDepartures = needsHeldContent()};
    const auto entry = m_pendingRequests.emplace(request.id, PendingRequest{.timer = net::steady_timer(m_context, replyTimeout)}).first;
    const TimePoint sentAt = m_clock.now();
    const VmName sourceName = source.name;
    m_metrics.count(Counter::FeedPolls);
    m_link.send(source.registration.peers, request);
    co_await entry->second.timer.async_wait(asTuple);
    std::optional<FeedReply> reply = std::move(entry->second.reply);
    m_pendingRequests.erase(entry);
    if (!reply) {
        m_metrics.count(Counter::FeedPollsUnanswered);
        reportPollFailure(sourceName, "unanswered", m_clock.now() - sentAt);
        m_silentSources.insert_or_assign(sourceName, m_clock.now());
        m_expiredRequests.push_back({.id = request.id, .source = sourceName, .sentAt = sentAt, .cursors = request.cursors});
        if (m_expiredRequests.size() > maxExpiredRequests) {
            m_expiredRequests.pop_front();
        }
        co_return std::nullopt;
    }
    m_silentSources.erase(sourceName);
    dropOutdatedChanges(*reply, request.cursors, sourceName, m_clock.now() - sentAt);
    co_return reply;
}

StorePosition FeedStore::knownPosition(const std::string &kind) const
{
    const auto it = m_logs.find(kind);
    return it == m_logs.end() ? StorePosition() : it->second.end();
}

StorePosition FeedStore::newestChange(const std::string &kind) const
{
    const auto it = m_logs.find(kind);
    return it == m_logs.end() ? StorePosition() : it->second.cursor().newestChange;
}

std::optional<TimePoint> FeedStore::knownUntil(const std::string &kind) const
{
    const auto it = m_knownUntil.find(kind);
    return it == m_knownUntil.end() ? std::nullopt : std::optional(it->second);
}

void FeedStore::noteKnownUntil(const std::string &kind, TimePoint time)
{
    TimePoint &known = m_knownUntil.try_emplace(kind, time).first->second;
    known = std::max(known, time);
}

// The reply is no answer to a poll: it counts as a sign of life alone.
void FeedStore::ping(const Member &member)
{
    const FeedRequest request{
        .id = ++m_lastRequestId, .isLeaving = m_members.isLeaving(), .declarationsVersion = m_heldContent.declarationsVersion()};
    m_link.send(member.registration.peers, request);
}

net::awaitable<std::optional<StorePosition>> FeedStore::askPosition(VmName vm, std::string kind)
{
    const Member *member = m_members.find(vm);
    if (member == nullptr) {
        co_return std::nullopt;
    }
    const std::optional<FeedReply> reply = co_await requestChanges(*member, true);
    if (!reply) {
        co_return std::nullopt;
    }
    const auto it = reply->changes.find(kind);
    co_return it == reply->changes.end() || !it->second ? std::nullopt : std::optional(it->second->position);
}

// The changes continue the log as it was when the request was sent. Another reply or a list may have moved it since.
void FeedStore::dropOutdatedChanges(FeedReply &reply, const Cursors &cursors, const VmName &source, Duration elapsed)
{
    const std::size_t n = std::erase_if(reply.changes, [this, &cursors](const auto &it) {
        const auto sent = cursors.find(it.first);
        return sent == cursors.end() || sent->second != m_logs[it.first].cursor();
    });
    if (n > 0) {
        m_metrics.count(Counter::FeedRepliesOutdated);
        reportPollFailure(source, "outdated", elapsed);
    }
}

void FeedStore::reportPollFailure(const VmName &source, std::string_view cause, Duration elapsed)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count();
    logEvent(Event::FeedPollFailed, {{"source", source.value}, {"cause", std::string(cause)}, {"after_ms", std::to_string(ms)}});
}

FeedReply FeedStore::answerRequest(const FeedRequest &request) const
{
    const TimePoint now = m_clock.now();
    FeedReply reply{.id = request.id, .storeContactAge = now - m_lastStoreContactAt, .overdue = m_members.overdueSeatHolders(now)};
    if (m_members.isSeatHolder(m_members.self())) {
        reply.deputies = m_members.deputies(now);
    }
    for (const auto &[kind, cursor] : request.cursors) {
        const auto log = m_logs.find(kind);
        std::optional<DocumentChanges> changes
            = log == m_logs.end() ? std::nullopt : log->second.since(cursor, now, ChangeLog::SpecForm::Packed);
        if (changes) {
            std::for_each(changes->events.begin(), changes->events.end(), [](DocumentChange &it) { ++it.hops; });
        }
        reply.changes[kind] = std::move(changes);
        if (const std::optional<TimePoint> time = knownUntil(kind)) {
            reply.knownAges[kind] = now - *time;
        }
    }
    if (m_heldContent.declarationsVersion() > request.declarationsVersion) {
        reply.declarations = m_heldContent.declarations();
        const auto isDeclarations = [&reply](const DocumentChange &it) {
            return it.document.name == reply.declarations->name && it.document.revision == reply.declarations->revision;
        };
        for (const auto &[kind, changes] : reply.changes) {
            if (reply.declarations && changes && std::any_of(changes->events.begin(), changes->events.end(), isDeclarations)) {
                reply.declarations.reset(); // the reply has them already
            }
        }
    }
    if (request.needsDepartures && hasHeldContent()) {
        reply.departures = m_heldContent.departures();
    }
    return reply;
}

void FeedStore::handleReply(const FeedReply &reply)
{
    const auto it = m_pendingRequests.find(reply.id);
    if (it != m_pendingRequests.end()) {
        it->second.reply = reply;
        it->second.timer.cancel();
        return;
    }
    handleLateReply(reply);
}

// The timeout decides when another source is asked, not whether a reply counts: a large one takes its time on a narrow link.
void FeedStore::handleLateReply(const FeedReply &reply)
{
    const auto it = std::find_if(
        m_expiredRequests.begin(), m_expiredRequests.end(), [&reply](const ExpiredRequest &it) { return it.id == reply.id; });
    if (it == m_expiredRequests.end()) {
        return;
    }
    const ExpiredRequest request = std::move(*it);
    m_expiredRequests.erase(it);
    const Duration elapsed = m_clock.now() - request.sentAt;
    m_metrics.count(Counter::FeedRepliesLate);
    reportPollFailure(request.source, "late", elapsed);
    FeedReply usable = reply;
    dropOutdatedChanges(usable, request.cursors, request.source, elapsed);
    applyReply(usable, request.sentAt);
    applyHeldContent(usable);
    wakeWatches();
}

void FeedStore::wakeWatches()
{
    for (auto &[kind, it] : m_watches) {
        wake(it);
    }
}

DocumentStore::Call<StoredDocument> FeedStore::create(std::string kind, std::string name, JsonValue spec)
{
    return m_store.create(std::move(kind), std::move(name), std::move(spec));
}

DocumentStore::Call<StoredDocument> FeedStore::replace(std::string kind, std::string name, JsonValue spec, std::uint64_t revision)
{
    return m_store.replace(std::move(kind), std::move(name), std::move(spec), revision);
}

DocumentStore::Call<void> FeedStore::remove(std::string kind, std::string name, std::uint64_t revision)
{
    return m_store.remove(std::move(kind), std::move(name), revision);
}

} // namespace Pollenspoke
