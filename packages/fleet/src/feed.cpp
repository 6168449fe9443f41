#include "feed.h"

#include <algorithm>

namespace Pollenspoke {

namespace {

namespace net = boost::asio;

constexpr auto asTuple = net::as_tuple(net::use_awaitable);
constexpr auto askStep = std::chrono::milliseconds(300);     // between questions: with a holder's own pause a change takes 0.6 s at most
constexpr auto replyTime = std::chrono::milliseconds(40);    // a round trip within the region is about 2 ms
constexpr std::uint64_t farEvery = 3;                        // each third question goes to a holder of any failure domain
constexpr auto settleTime = std::chrono::milliseconds(2500); // of a new process: by then it has heard who watches the store
constexpr auto directWait = std::chrono::seconds(2);         // of a watch of the store in place of a holder

} // namespace

void ChangeLog::startAt(std::uint64_t revision)
{
    m_known = revision;
    m_from = revision;
    m_changes.clear();
}

void ChangeLog::add(const DocumentChanges &changes)
{
    if (!m_known) {
        return;
    }
    m_known = std::max(*m_known, changes.revision);
    for (const DocumentChange &it : changes.events) {
        m_changes.push_back({.change = it, .bytes = it.document.name.size() + formatJsonText(it.document.spec).size()});
    }
    while (m_changes.size() > mostKept) {
        m_from = std::max(m_from, m_changes.front().change.document.revision);
        m_changes.pop_front();
    }
}

std::optional<DocumentChanges> ChangeLog::since(std::uint64_t revision) const
{
    if (!knows(revision)) {
        return std::nullopt;
    }
    DocumentChanges changes{.revision = *m_known};
    std::size_t bytes = 0;
    for (const Kept &it : m_changes) {
        if (it.change.document.revision > revision) {
            bytes += it.bytes;
            changes.events.push_back(it.change);
        }
    }
    return bytes > mostReplyBytes ? std::nullopt : std::optional(std::move(changes));
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

bool FeedStore::watchesItself() const
{
    const std::vector<VmName> watchers = m_members.watchers(m_clock.now());
    return std::any_of(watchers.begin(), watchers.end(), [this](const VmName &it) { return m_members.isSelf(it); });
}

const Member *FeedStore::chooseHolder(std::uint64_t since)
{
    const std::vector<const Member *> found = m_members.feedHolders(since, ++m_questions % farEvery != 0, m_clock.now());
    if (found.empty()) {
        return nullptr;
    }
    std::uniform_int_distribution<std::size_t> draw(0, found.size() - 1);
    return found[draw(m_generator)];
}

DocumentStore::Call<DocumentList> FeedStore::list(std::string kind, ListAge age)
{
    m_metrics.count(Counter::StoreCalls);
    Result<DocumentList> listed = co_await m_store.list(kind, age);
    if (listed && watchesItself()) {
        m_logs[kind].startAt(listed->revision);
    } else {
        m_logs[kind].stop();
    }
    co_return listed;
}

DocumentStore::Call<DocumentChanges> FeedStore::watchStore(std::string kind, std::uint64_t since, Duration wait)
{
    m_metrics.count(Counter::StoreCalls);
    if (!m_logs[kind].knows(since)) {
        m_logs[kind].startAt(since);
    }
    Result<DocumentChanges> changes = co_await m_store.watch(kind, since, wait);
    if (changes) {
        m_logs[kind].add(*changes);
    } else {
        m_logs[kind].stop();
    }
    co_return changes;
}

DocumentStore::Call<DocumentChanges> FeedStore::watch(std::string kind, std::uint64_t since, Duration wait)
{
    const TimePoint giveUpAt = m_clock.now() + wait;
    net::steady_timer timer(m_context);
    FeedMisses misses;
    while (!misses.areMany() && !watchesItself()) {
        const Member *holder = chooseHolder(since);
        const bool isSettling = m_clock.now() - m_startedAt < settleTime;
        if (holder == nullptr && !isSettling) {
            break;
        }
        m_logs[kind].stop();
        std::optional<FeedReply> reply;
        if (holder != nullptr) {
            reply = co_await ask(*holder, kind, since);
        }
        const std::optional<DocumentChanges> changes = reply ? std::move(reply->changes) : std::nullopt;
        if (changes) {
            misses.noteChanges();
        } else if (reply) {
            misses.noteUnknown();
        } else if (!isSettling) {
            misses.noteSilence();
        }
        since = changes ? std::max(since, changes->revision) : since;
        if (changes && (!changes->events.empty() || m_clock.now() >= giveUpAt)) {
            co_return *changes;
        }
        timer.expires_after(askStep);
        co_await timer.async_wait(net::use_awaitable);
    }
    const Duration longest = watchesItself() ? wait : std::min<Duration>(wait, directWait);
    co_return co_await watchStore(kind, since, longest);
}

net::awaitable<std::optional<FeedReply>> FeedStore::ask(const Member &holder, std::string kind, std::uint64_t since)
{
    const std::uint64_t id = ++m_lastId;
    Asking &asking = m_asking.emplace(id, Asking{.timer = net::steady_timer(m_context, replyTime)}).first->second;
    m_link.send(holder.registration.peers, FeedQuestion{.id = id, .kind = kind, .since = since});
    co_await asking.timer.async_wait(asTuple);
    std::optional<FeedReply> reply = std::move(asking.reply);
    m_asking.erase(id);
    co_return reply;
}

FeedReply FeedStore::answer(const FeedQuestion &question) const
{
    const auto it = m_logs.find(question.kind);
    return {.id = question.id, .changes = it == m_logs.end() ? std::nullopt : it->second.since(question.since)};
}

void FeedStore::takeReply(const FeedReply &reply)
{
    const auto it = m_asking.find(reply.id);
    if (it != m_asking.end()) {
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
