// Tests of ConfigFollower's thread, with stores over HTTP and in memory.
#include "store_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

constexpr auto maxWait = 10s;

// Holds the last snapshot and lets a test wait for its contents.
class SnapshotCollector
{
public:
    void process(const FollowerNotice &notice)
    {
        const std::lock_guard lock(m_mutex);
        if (const auto *ready = std::get_if<SnapshotReady>(&notice)) {
            m_snapshot = ready->snapshot;
        }
        m_changed.notify_all();
    }

    bool hasRate(const std::string &name, double rate)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, maxWait, [&] {
            const ClientAccount *account = m_snapshot ? m_snapshot->findAccount({name}) : nullptr;
            return account != nullptr && account->limits.ratePerSecond == rate;
        });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::shared_ptr<const Snapshot> m_snapshot;
};

} // namespace

BOOST_AUTO_TEST_CASE(several_followers_converge_on_the_written_configuration)
{
    MemoryStore memory;
    CheckedStore checked(memory);
    StoreServer storeServer(checked, memory);
    SteadyClock clock;
    std::vector<std::unique_ptr<SnapshotCollector>> collectors;
    std::vector<std::unique_ptr<HttpObjectStore>> stores;
    std::vector<std::unique_ptr<ConfigFollower>> followers;
    for (std::uint64_t i = 0; i < 8; ++i) {
        SnapshotCollector &collector = *collectors.emplace_back(std::make_unique<SnapshotCollector>());
        stores.push_back(std::make_unique<HttpObjectStore>(storeServer.options()));
        const FollowerOptions options{.watchWait = 200ms, .seed = i};
        followers.push_back(std::make_unique<ConfigFollower>(
            *stores.back(), clock, options, [&collector](const FollowerNotice &it) { collector.process(it); }));
        followers.back()->start();
    }
    HttpObjectStore operators = storeServer.client();
    const auto first = operators.put(makeAccount("a", 1), MustNotExist{});
    BOOST_REQUIRE(first);
    for (const auto &it : collectors) {
        BOOST_TEST(it->hasRate("a", 1));
    }
    memory.setFaults({.isDown = true});
    memory.setFaults({});
    BOOST_REQUIRE(operators.put(makeAccount("a", 2), MustHaveVersion{first->version}));
    for (const auto &it : collectors) {
        BOOST_TEST(it->hasRate("a", 2));
    }
    for (const auto &it : followers) {
        it->requestStop();
    }
}

BOOST_AUTO_TEST_CASE(follower_stops_while_the_store_is_down)
{
    MemoryStore memory;
    memory.setFaults({.isDown = true});
    SteadyClock clock;
    ConfigFollower follower(memory, clock, {}, [](const FollowerNotice &) {});
    follower.start();
    follower.offerPeerList(ObjectList{.position = {0, 3}}, clock.now());
    BOOST_TEST(follower.state().position.revision() == 3);
    follower.requestStop();
}
