#include "kind_follower.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Pollenspoke {

namespace {

namespace net = boost::asio;

constexpr auto asTuple = net::as_tuple(net::use_awaitable);
constexpr auto shortestWatch = std::chrono::milliseconds(20); // of one without changes

// Waits for a random 50-100 % of the delay, so that Vms that lost the store at the same time don't all call it at once.
net::awaitable<void> waitWithJitter(Duration maxDelay)
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    std::uniform_real_distribution<double> factor(0.5, 1.0);
    net::steady_timer timer(co_await net::this_coro::executor);
    timer.expires_after(std::chrono::duration_cast<Duration>(maxDelay * factor(generator)));
    co_await timer.async_wait(net::use_awaitable);
}

class Follower
{
public:
    Follower(DocumentStore &store, FollowOptions options, const FollowHandler &handler)
        : m_store(store)
        , m_options(std::move(options))
        , m_handler(handler)
    {
    }

    net::awaitable<void> run()
    {
        for (;;) {
            const bool succeeded = m_mustList ? co_await list() : co_await watch();
            if (!succeeded) {
                const Duration backoff = m_backoff;
                m_backoff = std::min(m_backoff * 2, m_options.maxBackoff);
                co_await waitWithJitter(backoff);
            }
        }
    }

private:
    void recordSuccess()
    {
        m_backoff = m_options.initialBackoff;
        m_handler.onCallSucceeded();
    }

    void moveTo(const EraChange &change)
    {
        m_position = change.current;
        if (change.previous != StorePosition() && !change.previous.isInSameEra(change.current)) {
            m_handler.onEraChanged(change);
        }
    }

    net::awaitable<bool> list()
    {
        const Result<DocumentList> result = co_await m_store.list(m_options.kind, m_listConsistency);
        if (!result) {
            m_handler.onCallFailed(result.error());
            co_return false;
        }
        if (result->position < m_position) {
            const std::string detail = "list at " + toString(result->position) + ", before " + toString(m_position);
            m_handler.onCallFailed({.code = ErrorCode::Unavailable, .path = m_options.kind, .detail = detail});
            co_return false;
        }
        recordSuccess();
        m_listConsistency = ReadConsistency::Current; // a stale list could undo changes already applied
        m_mustList = false;
        std::map<std::string, std::uint64_t> listed;
        EraChange change{.previous = m_position, .current = result->position};
        for (const StoredDocument &it : result->items) {
            listed.emplace(it.name, it.revision);
            const auto known = m_revisions.find(it.name);
            const bool isKept = known != m_revisions.end() && known->second == it.revision;
            ++(isKept ? change.keptDocuments : change.changedDocuments);
        }
        change.missingDocuments
            = std::count_if(m_revisions.begin(), m_revisions.end(), [&listed](const auto &it) { return !listed.contains(it.first); });
        m_revisions = std::move(listed);
        moveTo(change);
        m_handler.onListed(*result);
        m_handler.onUpdated();
        co_return true;
    }

    net::awaitable<bool> watch()
    {
        const auto startedAt = std::chrono::steady_clock::now();
        const Result<DocumentChanges> changes = co_await m_store.watch(m_options.kind, m_position, m_options.watchWait);
        if (!changes) {
            if (changes.error().code == ErrorCode::TooOld) {
                m_mustList = true;
                co_return !std::exchange(m_wasTooOld, true); // list again, at once unless the last list didn't help
            }
            m_handler.onCallFailed(changes.error());
            co_return false;
        }
        recordSuccess();
        m_wasTooOld = false;
        EraChange change{.previous = m_position, .current = std::max(m_position, changes->position)};
        for (const DocumentChange &it : changes->events) {
            ++(it.isDeleted ? change.missingDocuments : change.changedDocuments);
            if (it.isDeleted) {
                m_revisions.erase(it.document.name);
            } else {
                m_revisions[it.document.name] = it.document.revision;
            }
        }
        change.keptDocuments = m_revisions.size() - std::min(m_revisions.size(), change.changedDocuments);
        moveTo(change);
        for (const DocumentChange &it : changes->events) {
            m_handler.onChange(it);
        }
        if (!changes->events.empty()) {
            m_handler.onUpdated();
            co_await waitWithJitter(m_options.watchPause);
        } else if (std::chrono::steady_clock::now() - startedAt < shortestWatch) {
            co_await waitWithJitter(m_options.watchPause); // it didn't wait, and nothing changed: the next one mustn't follow at once
        }
        co_return true;
    }

    DocumentStore &m_store;
    FollowOptions m_options;
    const FollowHandler &m_handler;
    bool m_mustList = true;
    bool m_wasTooOld = false;                         // the last watch
    StorePosition m_position;                         // of the last list or changes
    std::map<std::string, std::uint64_t> m_revisions; // of the documents
    ReadConsistency m_listConsistency = m_options.firstListConsistency;
    Duration m_backoff = m_options.initialBackoff;
};

} // namespace

net::awaitable<void> followKind(DocumentStore &store, FollowOptions options, const FollowHandler &handler)
{
    Follower follower(store, std::move(options), handler);
    co_await follower.run();
}

} // namespace Pollenspoke
