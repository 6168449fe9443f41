#include "kind_follower.h"

#include <random>

namespace Pollenspoke {

namespace {

namespace net = boost::asio;

constexpr auto asTuple = net::as_tuple(net::use_awaitable);

// Waits for a random part, at least half, of the time, so that Vms that lost the store together don't call it together.
net::awaitable<void> pauseAbout(Duration most)
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    std::uniform_real_distribution<double> share(0.5, 1.0);
    net::steady_timer timer(co_await net::this_coro::executor);
    timer.expires_after(std::chrono::duration_cast<Duration>(most * share(generator)));
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
            const bool isWell = m_revision == 0 ? co_await list() : co_await watch();
            if (!isWell) {
                const Duration pause = m_pause;
                m_pause = std::min(m_pause * 2, m_options.longestPause);
                co_await pauseAbout(pause);
            }
        }
    }

private:
    void noteHeard()
    {
        m_pause = m_options.firstPause;
        m_handler.onHeard();
    }

    net::awaitable<bool> list()
    {
        const Result<DocumentList> listed = co_await m_store.list(m_options.kind, m_listAge);
        if (!listed) {
            m_handler.onLost(listed.error());
            co_return false;
        }
        noteHeard();
        m_listAge = ListAge::Current; // a later list must not take back what is known
        m_revision = listed->revision;
        m_handler.onList(*listed);
        m_handler.onChanged();
        co_return true;
    }

    net::awaitable<bool> watch()
    {
        const Result<DocumentChanges> changes = co_await m_store.watch(m_options.kind, m_revision, m_options.watchWait);
        if (!changes) {
            if (changes.error().code == ErrorCode::TooOld) {
                m_revision = 0;
                co_return true; // lists at once
            }
            m_handler.onLost(changes.error());
            co_return false;
        }
        noteHeard();
        m_revision = std::max(m_revision, changes->revision);
        for (const DocumentChange &it : changes->events) {
            m_handler.onChange(it);
        }
        if (!changes->events.empty()) {
            m_handler.onChanged();
            co_await pauseAbout(m_options.watchPause);
        }
        co_return true;
    }

    DocumentStore &m_store;
    FollowOptions m_options;
    const FollowHandler &m_handler;
    std::uint64_t m_revision = 0; // 0: not listed yet, or the history is gone
    ListAge m_listAge = m_options.firstList;
    Duration m_pause = m_options.firstPause;
};

} // namespace

net::awaitable<void> followKind(DocumentStore &store, FollowOptions options, const FollowHandler &handler)
{
    Follower follower(store, std::move(options), handler);
    co_await follower.run();
}

} // namespace Pollenspoke
