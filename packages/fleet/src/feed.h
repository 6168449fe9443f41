/// @file
/// Distributes the store's changes within the fleet: a few seat holders watch the store and log its changes, the other Vms
/// poll them. The number of watch calls, which the platform charges for, thus doesn't grow with the fleet.
#pragma once

#include "link.h"

#include <deque>

namespace Pollenspoke {

/// Recent changes of one kind of documents, recorded by a Vm that watches the store.
class ChangeLog
{
public:
    static constexpr std::size_t maxChanges = 1000;     // the oldest changes are dropped
    static constexpr std::size_t maxReplyBytes = 32768; // documents in one reply, which must fit into one datagram

    void restartAt(std::uint64_t revision); // empties the log; it covers changes after this revision
    void add(const DocumentChanges &changes);
    void invalidate() { m_endRevision.reset(); }                        // this Vm no longer watches the store
    std::optional<DocumentChanges> since(std::uint64_t revision) const; // empty: not covered, or too large for one reply
    bool covers(std::uint64_t revision) const { return m_endRevision && revision >= m_startRevision && revision <= *m_endRevision; }

private:
    struct Entry
    {
        DocumentChange change;
        std::size_t bytes = 0;
    };

    std::optional<std::uint64_t> m_endRevision; // the log holds each change after m_startRevision up to this one; empty: invalid
    std::uint64_t m_startRevision = 0;
    std::deque<Entry> m_changes;
};

/// Weighted count of consecutive failed requests to feed sources. At the limit the store is watched directly.
class FeedFailures
{
public:
    void recordChanges() { m_penalty = 0; }
    void recordNotCovered() { m_penalty += 2; } // the source's log starts later; that of the next one may reach back further
    void recordTimeout() { ++m_penalty; }
    bool isLimitReached() const { return m_penalty >= limit; }

private:
    static constexpr int limit = 3; // one or two lost datagrams must not cause a call to the store

    int m_penalty = 0;
};

/// Decorator of the store that watches it directly if this Vm is a store watcher, and otherwise polls a store watcher for
/// changes. Falls back to the store where no watcher answers. All other calls go to the store.
class FeedStore final : public DocumentStore
{
public:
    /// All arguments must outlive this object. Not thread-safe: used on one event loop only.
    FeedStore(boost::asio::io_context &context, DocumentStore &store, Link &link, Members &members, const Clock &clock, Metrics &metrics);

    Call<DocumentList> list(std::string kind, ReadConsistency consistency) override;
    Call<DocumentChanges> watch(std::string kind, std::uint64_t since, Duration wait) override;
    Call<StoredDocument> create(std::string kind, std::string name, JsonValue spec) override;
    Call<StoredDocument> replace(std::string kind, std::string name, JsonValue spec, std::uint64_t revision) override;
    Call<void> remove(std::string kind, std::string name, std::uint64_t revision) override;

    FeedReply answerRequest(const FeedRequest &request) const;
    void handleReply(const FeedReply &reply);

private:
    struct PendingRequest
    {
        boost::asio::steady_timer timer;
        std::optional<FeedReply> reply;
    };

    bool isStoreWatcher() const;
    const Member *chooseSource(std::uint64_t since);
    Call<DocumentChanges> watchStore(std::string kind, std::uint64_t since, Duration wait);
    boost::asio::awaitable<std::optional<FeedReply>> requestChanges(const Member &source, std::string kind, std::uint64_t since);

    boost::asio::io_context &m_context;
    DocumentStore &m_store;
    Link &m_link;
    Members &m_members;
    const Clock &m_clock;
    Metrics &m_metrics;
    std::map<std::string, ChangeLog> m_logs; // by kind
    std::map<std::uint64_t, PendingRequest> m_pendingRequests;
    std::uint64_t m_lastRequestId = 0;
    std::uint64_t m_requestCount = 0;
    Generator m_generator;
    TimePoint m_startedAt;
};

} // namespace Pollenspoke
