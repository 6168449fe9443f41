/// @file
/// The store's changes by way of other Vms: seat holders watch the store and remember what changed; the others ask them, so
/// that calls to the store grow with the seats and not with the fleet.
#pragma once

#include "link.h"

#include <deque>

namespace Pollenspoke {

/// What a Vm that watches the store itself remembers of one kind.
class ChangeLog
{
public:
    static constexpr std::size_t mostKept = 1000;        // changes; the oldest are forgotten
    static constexpr std::size_t mostReplyBytes = 32768; // of the documents in one reply, which is one datagram

    void startAt(std::uint64_t revision); // after a list: nothing from before is known
    void add(const DocumentChanges &changes);
    void stop() { m_known.reset(); }                                    // this Vm no longer watches the store itself
    std::optional<DocumentChanges> since(std::uint64_t revision) const; // nothing: not known, or too much for one reply
    bool knows(std::uint64_t revision) const { return m_known && revision >= m_from && revision <= *m_known; }

private:
    struct Kept
    {
        DocumentChange change;
        std::size_t bytes = 0;
    };

    std::optional<std::uint64_t> m_known; // each change after m_from and up to it is kept
    std::uint64_t m_from = 0;
    std::deque<Kept> m_changes;
};

/// Questions that brought no changes, until the store is asked in place of a holder.
class FeedMisses
{
public:
    void noteChanges() { m_count = 0; }
    void noteUnknown() { m_count += 2; } // a holder answered that it doesn't know that far back: the next may
    void noteSilence() { ++m_count; }
    bool areMany() const { return m_count >= most; }

private:
    static constexpr int most = 3; // a lost datagram or two are no reason to call the store

    int m_count = 0;
};

/// The store as a Vm uses it: itself while it holds a seat, else by way of a seat holder, and itself where none answers.
class FeedStore final : public DocumentStore
{
public:
    /// All must outlive it. Used on one event loop.
    FeedStore(boost::asio::io_context &context, DocumentStore &store, Link &link, Members &members, const Clock &clock, Metrics &metrics);

    Call<DocumentList> list(std::string kind, ListAge age) override;
    Call<DocumentChanges> watch(std::string kind, std::uint64_t since, Duration wait) override;
    Call<StoredDocument> create(std::string kind, std::string name, JsonValue spec) override;
    Call<StoredDocument> replace(std::string kind, std::string name, JsonValue spec, std::uint64_t revision) override;
    Call<void> remove(std::string kind, std::string name, std::uint64_t revision) override;

    FeedReply answer(const FeedQuestion &question) const;
    void takeReply(const FeedReply &reply);

private:
    struct Asking
    {
        boost::asio::steady_timer timer;
        std::optional<FeedReply> reply;
    };

    bool watchesItself() const;
    const Member *chooseHolder(std::uint64_t since);
    Call<DocumentChanges> watchStore(std::string kind, std::uint64_t since, Duration wait);
    boost::asio::awaitable<std::optional<FeedReply>> ask(const Member &holder, std::string kind, std::uint64_t since);

    boost::asio::io_context &m_context;
    DocumentStore &m_store;
    Link &m_link;
    Members &m_members;
    const Clock &m_clock;
    Metrics &m_metrics;
    std::map<std::string, ChangeLog> m_logs;
    std::map<std::uint64_t, Asking> m_asking;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_questions = 0;
    Generator m_generator;
    TimePoint m_startedAt;
};

} // namespace Pollenspoke
