/// @file
/// Distributes the store's changes within the fleet as a tree of bounded degree: a few seat holders watch the store, the other seat
/// holders poll them, and the Vms without a seat poll the seat holders. Each Vm logs the changes it receives and passes them on. The
/// number of calls to the store, which the platform charges for, thus doesn't grow with the fleet. A Vm that learns of a change sends
/// a notice to those that poll it, which then poll at once: a change needs no poll interval on its way, and one source that has lost the
/// store keeps nobody on an older version.
#pragma once

#include "deputy.h"
#include "link.h"
#include "probed_store.h"

#include <deque>
#include <list>
#include <set>

namespace Pollenspoke {

/// Recent changes of one kind of documents: the newest one of each.
class ChangeLog
{
public:
    static constexpr std::size_t maxChanges = 2000;       // the oldest changes are dropped
    static constexpr std::size_t maxReplyBytes = 2000000; // documents in one reply, as sent; twice the store's largest document

    void keepContents() { m_keepsContents = true; } // so that since() can answer a cursor before all changes; for a kind of few documents
    void restartAt(StorePosition position);         // empties the log; it covers changes after this position
    void add(const DocumentChanges &changes, TimePoint now = {});

    /// Continues the log with a list, which may be all that is left after the store discarded its history: logs the differences
    /// from the documents known so far, or starts anew if not all are known. Ignores a list that is older than the log.
    ///
    /// A list of a later era continues the log, too: the differences lead from the last documents of the earlier era to those of the
    /// restored store.
    void addList(const DocumentList &list, TimePoint now = {});

    enum class SpecForm { Parsed, Packed }; // Packed: without the parsed spec where there is a compressed one

    /// The changes after the cursor. Returns nothing if the log doesn't cover it, or if they are too large for a reply.
    std::optional<DocumentChanges> since(const FeedCursor &cursor, TimePoint now = {}, SpecForm form = SpecForm::Parsed) const;
    bool covers(const FeedCursor &cursor) const;
    StorePosition end() const { return m_spans.empty() ? StorePosition() : m_spans.back().last; } // the default: not started
    FeedCursor cursor() const { return {.since = end(), .newestChange = m_newestChange}; }

private:
    struct Entry
    {
        DocumentChange change;
        std::size_t bytes = 0;
        TimePoint knownSince; // when the first Vm got it from the store
    };
    struct Span // of one era: the log holds each change after `first` up to `last`
    {
        StorePosition first;
        StorePosition last;
    };
    struct KnownDocument
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t contentHash = 0; // a restored store may give out a revision again, for other content
        bool operator==(const KnownDocument &) const = default;
    };

    void keep(const StoredDocument &document);
    static KnownDocument describe(const StoredDocument &document, std::string_view spec);
    void advance(StorePosition position);
    void append(const DocumentChange &change, TimePoint now);

    std::vector<Span> m_spans; // by era; empty: not started
    StorePosition m_newestChange;
    bool m_knowsAllDocuments = false; // m_documents is complete, so that a list shows what was deleted
    using Entries = std::list<Entry>;

    Entries m_changes;                                 // by position
    std::map<std::string, Entries::iterator> m_newest; // of m_changes, by document
    std::map<std::string, KnownDocument> m_documents;  // that exist at the end of the log
    bool m_keepsContents = false;
    std::map<std::string, StoredDocument> m_contents; // of m_documents, if they are kept
};

/// Weighted count of consecutive failed requests to feed sources. At the limit the store is asked directly.
class FeedFailures
{
public:
    void recordChanges() { m_penalty = 0; }
    void recordNotCovered() { m_penalty += 2; } // the source's log starts later; that of the next one may reach back further
    void recordTimeout() { ++m_penalty; }
    bool isLimitReached() const { return m_penalty >= limit; }

private:
    static constexpr int limit = 3; // one or two lost datagrams, or silent sources, must not cause a call to the store

    int m_penalty = 0;
};

/// What a Vm holds and a restored store may lack. Vms hand it on to those that have just started or notice the restore.
struct HeldContent
{
    std::function<std::uint64_t()> declarationsVersion = [] { return std::uint64_t(0); }; // of those in force; 0: none
    std::function<std::optional<StoredDocument>()> declarations = [] { return std::nullopt; };
    std::function<void(const StoredDocument &)> onDeclarations = [](const StoredDocument &) {};
    std::function<std::vector<TargetDeparture>()> departures = [] { return std::vector<TargetDeparture>(); }; // targets that left
    std::function<void(const std::vector<TargetDeparture> &)> onDepartures = [](const std::vector<TargetDeparture> &) {};
};

/// Decorator of the store that watches it directly if this Vm is a store watcher, and otherwise polls other Vms for changes. Falls
/// back to the store where none answers. All other calls go to the store.
class FeedStore final : public DocumentStore
{
public:
    /// Without a sign of the store for this long, it counts as unreachable. Longer than a watch without changes plus two polls, and
    /// shorter than the time after which a target's registration expires.
    static constexpr Duration storeSilenceLimit = std::chrono::seconds(3);

    /// A source without a sign of the store for this long may have lost it, so another one is asked at once. Longer than a watch
    /// without changes and a poll.
    static constexpr Duration staleSourceLimit = std::chrono::milliseconds(2300);

    /// All arguments must outlive this object. Not thread-safe: used on one event loop only.
    FeedStore(boost::asio::io_context &context, DocumentStore &store, Link &link, Members &members, const Clock &clock, Metrics &metrics);

    Call<DocumentList> list(std::string kind, ReadConsistency consistency) override;
    Call<DocumentChanges> watch(std::string kind, StorePosition since, Duration wait) override;
    Call<StoredDocument> create(std::string kind, std::string name, JsonValue spec) override;
    Call<StoredDocument> replace(std::string kind, std::string name, JsonValue spec, std::uint64_t revision) override;
    Call<void> remove(std::string kind, std::string name, std::uint64_t revision) override;

    /// `onAccessChanged` is called when the store became reachable or unreachable for this Vm.
    void startPolling(std::function<void()> onAccessChanged);
    FeedReply answerRequest(const FeedRequest &request) const;
    void handleReply(const FeedReply &reply);
    void handleNotice(const VmName &sender, const FeedNotice &notice);

    void setHeldContent(HeldContent content) { m_heldContent = std::move(content); }
    void noteStoreRestored(); // asks another Vm for what it holds

    /// The kind has few documents, all of which are kept: a Vm that the store doesn't answer lists them at another Vm. Its watches may wait
    /// longer than those of the other kinds, which notice a silent store.
    void setKeptKind(const std::string &kind);

    StorePosition knownPosition(const std::string &kind) const;
    StorePosition newestChange(const std::string &kind) const; // that is known

    /// A time such that this Vm knows every change of the kind that the store had acknowledged before it: the start of a consistent read,
    /// its own or another Vm's. Empty: none yet.
    std::optional<TimePoint> knownUntil(const std::string &kind) const;

    void ping(const Member &member); // asks another Vm for a sign of life
    /// Asks another Vm up to which position it knows a kind. Empty: no answer, or it doesn't follow the kind yet.
    boost::asio::awaitable<std::optional<StorePosition>> askPosition(VmName vm, std::string kind);

    StorePosition newestPosition() const;                                 // up to which any kind is known
    TimePoint lastStoreContactAt() const { return m_lastStoreContactAt; } // when the store last answered this Vm or one of its sources
    std::optional<TimePoint> deputySince() const { return m_deputy.deputySince(); }

private:
    using Cursors = std::map<std::string, FeedCursor>; // by kind

    struct PendingRequest
    {
        boost::asio::steady_timer timer;
        std::optional<FeedReply> reply;
    };
    struct ExpiredRequest // its reply didn't arrive in time, but may still come
    {
        std::uint64_t id = 0;
        VmName source;
        TimePoint sentAt;
        Cursors cursors;
    };
    struct Watch // one per followed kind
    {
        FeedFailures failures;
        boost::asio::steady_timer *timer = nullptr; // of the waiting watch(); cancelled to wake it up
        bool isInStep = true;                       // began with those of the other store watchers: after a change or a failure
    };

    boost::asio::awaitable<std::optional<DocumentList>> listAtOtherVm(std::string kind);
    bool isStoreWatcher() const; // also as a deputy of the seat holders
    Duration contactLimit() const;
    void noteOwnContact();
    void updateDeputyRole();
    boost::asio::awaitable<void> probeWhileBlind();
    bool isInStartupGrace() const;
    Duration staggeredWait(const std::string &kind, Duration wait);
    ProbedStore::ProbePlan planProbes() const;
    const Member *chooseSource(const std::set<VmName> &tried);
    bool isSilent(const Member &source) const;
    Call<DocumentChanges> watchStore(std::string kind, StorePosition since, Duration wait);
    Call<DocumentChanges> watchStoreOrLog(std::string kind, FeedCursor cursor, Duration wait);
    boost::asio::awaitable<DocumentChanges> waitForLog(std::string kind, FeedCursor cursor);
    bool isBehind() const;
    void noteChange(const std::string &kind, const StorePosition &previous);
    boost::asio::awaitable<void> sendNotices();
    boost::asio::awaitable<void> poll();
    boost::asio::awaitable<void> pollOnce();
    bool needsHeldContent() const;
    bool hasHeldContent() const;
    boost::asio::awaitable<void> requestHeldContent();
    void applyHeldContent(const FeedReply &reply);
    void applyReply(const FeedReply &reply, TimePoint sentAt); // sentAt: of the request
    void noteKnownUntil(const std::string &kind, TimePoint time);
    void dropOutdatedChanges(FeedReply &reply, const Cursors &cursors, const VmName &source, Duration elapsed);
    void handleLateReply(const FeedReply &reply);
    void wakeWatches();
    void recordAccess(const std::string &kind, const std::optional<Error> &error, TimePoint startedAt);
    boost::asio::awaitable<std::optional<FeedReply>> requestChanges(const Member &source, bool includesCursors);
    boost::asio::awaitable<std::optional<FeedReply>> requestChanges(const Member &source, Cursors cursors);
    void reportPollFailure(const VmName &source, std::string_view cause, Duration elapsed);
    void wake(Watch &watch);

    boost::asio::io_context &m_context;
    ProbedStore m_store;
    Link &m_link;
    Members &m_members;
    const Clock &m_clock;
    Metrics &m_metrics;
    std::map<std::string, ChangeLog> m_logs;                // by kind
    std::string m_keptKind;                                 // empty: none
    std::map<std::string, Watch> m_watches;                 // by kind
    std::map<std::string, TimePoint> m_knownUntil;          // by kind
    std::map<std::string, StorePosition> m_unsentNotices;   // newest changes, by kind
    std::map<std::string, StorePosition> m_receivedNotices; // changes that this Vm may lack
    std::optional<VmName> m_noticeSender;                   // of the last one
    boost::asio::steady_timer m_noticeTimer;                // cancelled when there is a notice to send
    boost::asio::steady_timer m_pollTimer;                  // cancelled when this Vm is behind
    std::map<std::uint64_t, PendingRequest> m_pendingRequests;
    std::deque<ExpiredRequest> m_expiredRequests; // that may still be answered; oldest first
    std::uint64_t m_lastRequestId = 0;
    std::uint64_t m_pollCount = 0;
    std::map<VmName, TimePoint> m_silentSources; // when they last failed to answer in time, until they answer
    HeldContent m_heldContent;
    std::optional<TimePoint> m_askingSince;   // for what other Vms hold; empty: answered
    bool m_wasAnswered = false;               // since the start
    std::uint64_t m_lastRequestedVersion = 0; // of declarations that another Vm sent or said that it has
    Generator m_generator;
    TimePoint m_startedAt;
    TimePoint m_lastStoreContactAt;
    DeputyRole m_deputy;
    bool m_isDeputy = false;  // as last published
    bool m_isProbing = false; // as it is blind
    Duration m_longestWait{}; // of the watches
    std::function<void()> m_onAccessChanged = [] {};
};

} // namespace Pollenspoke
