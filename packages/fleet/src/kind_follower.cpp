#include "kind_follower.h"

#include <random>

namespace Pollenspoke {

namespace {

namespace net = boost::asio;

constexpr auto asTuple = net::as_tuple(net::use_awaitable);

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
            const bool succeeded = m_revision == 0 ? co_await list() : co_await watch();
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

    net::awaitable<bool> list()
    {
        const Result<DocumentList> result = co_await m_store.list(m_options.kind, m_listConsistency);
        if (!result) {
            m_handler.onCallFailed(result.error());
            co_return false;
        }
        recordSuccess();
        m_listConsistency = ReadConsistency::Current; // a stale list could undo changes already applied
        m_revision = result->revision;
        m_handler.onListed(*result);
        m_handler.onUpdated();
        co_return true;
    }

    net::awaitable<bool> watch()
    {
        const Result<DocumentChanges> changes = co_await m_store.watch(m_options.kind, m_revision, m_options.watchWait);
        if (!changes) {
            if (changes.error().code == ErrorCode::TooOld) {
                m_revision = 0;
                co_return true; // list again without delay
            }
            m_handler.onCallFailed(changes.error());
            co_return false;
        }
        recordSuccess();
        m_revision = std::max(m_revision, changes->revision);
        for (const DocumentChange &it : changes->events) {
            m_handler.onChange(it);
        }
        if (!changes->events.empty()) {
            m_handler.onUpdated();
            co_await waitWithJitter(m_options.watchPause);
        }
        co_return true;
    }

    DocumentStore &m_store;
    FollowOptions m_options;
    const FollowHandler &m_handler;
    std::uint64_t m_revision = 0; // 0: the next call must be a list
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
