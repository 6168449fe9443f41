#include "feed.h"

#include <algorithm>

namespace Pollenspoke {

namespace {

namespace net = boost::asio;

constexpr auto asTuple = net::as_tuple(net::use_awaitable);
constexpr auto pollInterval = std::chrono::milliseconds(300);  // with the source's own pause, a change arrives within 0.6 s
constexpr auto replyTimeout = std::chrono::milliseconds(40);   // a round trip within the region is about 2 ms
constexpr std::uint64_t anyDomainInterval = 3;                 // every third request may go to a source in any failure domain
constexpr auto startupGrace = std::chrono::milliseconds(2500); // until a new process has received reports from the store watchers
constexpr auto directWatchTimeout = std::chrono::seconds(2);   // for a direct watch of the store by a Vm that isn't a store watcher

} // namespace

void ChangeLog::restartAt(std::uint64_t revision)
{
    m_endRevision = revision;
    m_startRevision = revision;
    m_changes.clear();
}

void ChangeLog::add(const DocumentChanges &changes)
{
    if (!m_endRevision) {
        return;
    }
    m_endRevision = std::max(*m_endRevision, changes.revision);
    for (const DocumentChange &it : changes.events) {
        m_changes.push_back({.change = it, .bytes = it.document.name.size() + formatJsonText(it.document.spec).size()});
    }
    while (m_changes.size() > maxChanges) {
        m_startRevision = std::max(m_startRevision, m_changes.front().change.document.revision);
        m_changes.pop_front();
    }
}

std::optional<DocumentChanges> ChangeLog::since(std::uint64_t revision) const
{
    if (!covers(revision)) {
        return std::nullopt;
    }
    DocumentChanges changes{.revision = *m_endRevision};
    std::size_t bytes = 0;
    for (const Entry &it : m_changes) {
        if (it.change.document.revision > revision) {
            bytes += it.bytes;
            changes.events.push_back(it.change);
        }
    }
    return bytes > maxReplyBytes ? std::nullopt : std::optional(std::move(changes));
}

FeedStore::FeedStore(net::io_context &context, DocumentStore &store, Link &link, Members &members, const Clock &clock, Metrics &metrics)
    : m_context(context)
    , m_store(store)
    , m_link(link)
    , m_members(members)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_generator(std::random_device{}())
    , m_startedAt(clock.now())
{
}

bool FeedStore::isStoreWatcher() const
{
    const std::vector<VmName> watchers = m_members.watchers(m_clock.now());
    return std::any_of(watchers.begin(), watchers.end(), [this](const VmName &it) { return m_members.isSelf(it); });
}

const Member *FeedStore::chooseSource(std::uint64_t since)
{
    const std::vector<const Member *> sources = m_members.feedSources(since, ++m_requestCount % anyDomainInterval != 0, m_clock.now());
    if (sources.empty()) {
        return nullptr;
    }
    std::uniform_int_distribution<std::size_t> pick(0, sources.size() - 1);
    return sources[pick(m_generator)];
}

DocumentStore::Call<DocumentList> FeedStore::list(std::string kind, ReadConsistency consistency)
{
    m_metrics.count(Counter::StoreCalls);
    Result<DocumentList> result = co_await m_store.list(kind, consistency);
    if (result && isStoreWatcher()) {
        m_logs[kind].restartAt(result->revision);
    } else {
        m_logs[kind].invalidate();
    }
    co_return result;
}

DocumentStore::Call<DocumentChanges> FeedStore::watchStore(std::string kind, std::uint64_t since, Duration wait)
{
    m_metrics.count(Counter::StoreCalls);
    if (!m_logs[kind].covers(since)) {
        m_logs[kind].restartAt(since);
    }
    Result<DocumentChanges> changes = co_await m_store.watch(kind, since, wait);
    if (changes) {
        m_logs[kind].add(*changes);
    } else {
        m_logs[kind].invalidate();
    }
    co_return changes;
}

DocumentStore::Call<DocumentChanges> FeedStore::watch(std::string kind, std::uint64_t since, Duration wait)
{
    const TimePoint deadline = m_clock.now() + wait;
    net::steady_timer timer(m_context);
    FeedFailures failures;
    while (!failures.isLimitReached() && !isStoreWatcher()) {
        const Member *source = chooseSource(since);
        const bool isInStartupGrace = m_clock.now() - m_startedAt < startupGrace;
        if (source == nullptr && !isInStartupGrace) {
            break;
        }
        m_logs[kind].invalidate();
        std::optional<FeedReply> reply;
        if (source != nullptr) {
            reply = co_await requestChanges(*source, kind, since);
        }
        const std::optional<DocumentChanges> changes = reply ? std::move(reply->changes) : std::nullopt;
        if (changes) {
            failures.recordChanges();
        } else if (reply) {
            failures.recordNotCovered();
        } else if (!isInStartupGrace) {
            failures.recordTimeout();
        }
        since = changes ? std::max(since, changes->revision) : since;
        if (changes && (!changes->events.empty() || m_clock.now() >= deadline)) {
            co_return *changes;
        }
        timer.expires_after(pollInterval);
        co_await timer.async_wait(net::use_awaitable);
    }
    const Duration timeout = isStoreWatcher() ? wait : std::min<Duration>(wait, directWatchTimeout);
    co_return co_await watchStore(kind, since, timeout);
}

net::awaitable<std::optional<FeedReply>> FeedStore::requestChanges(const Member &source, std::string kind, std::uint64_t since)
{
    const std::uint64_t id = ++m_lastRequestId;
    PendingRequest &pending
        = m_pendingRequests.emplace(id, PendingRequest{.timer = net::steady_timer(m_context, replyTimeout)}).first->second;
    m_link.send(source.registration.peers, FeedRequest{.id = id, .kind = kind, .since = since});
    co_await pending.timer.async_wait(asTuple);
    std::optional<FeedReply> reply = std::move(pending.reply);
    m_pendingRequests.erase(id);
    co_return reply;
}

FeedReply FeedStore::answerRequest(const FeedRequest &request) const
{
    const auto it = m_logs.find(request.kind);
    return {.id = request.id, .changes = it == m_logs.end() ? std::nullopt : it->second.since(request.since)};
}

void FeedStore::handleReply(const FeedReply &reply)
{
    const auto it = m_pendingRequests.find(reply.id);
    if (it != m_pendingRequests.end()) {
        it->second.reply = reply;
        it->second.timer.cancel();
    }
}

DocumentStore::Call<StoredDocument> FeedStore::create(std::string kind, std::string name, JsonValue spec)
{
    m_metrics.count(Counter::StoreCalls);
    return m_store.create(std::move(kind), std::move(name), std::move(spec));
}

DocumentStore::Call<StoredDocument> FeedStore::replace(std::string kind, std::string name, JsonValue spec, std::uint64_t revision)
{
    m_metrics.count(Counter::StoreCalls);
    return m_store.replace(std::move(kind), std::move(name), std::move(spec), revision);
}

DocumentStore::Call<void> FeedStore::remove(std::string kind, std::string name, std::uint64_t revision)
{
    m_metrics.count(Counter::StoreCalls);
    return m_store.remove(std::move(kind), std::move(name), revision);
}

} // namespace Pollenspoke
