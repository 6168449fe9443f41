// Calls that the store has swallowed end soon after it answers again, whatever their kind.
#include "probed_store.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

namespace net = boost::asio;

// Answers each call at once unless it is silent; a call that began or was open then is never answered.
class SwallowingStore final : public DocumentStore
{
public:
    explicit SwallowingStore(net::io_context &context)
        : m_context(context)
    {
    }
    void setSilent(bool isSilent) { m_isSilent = isSilent; }
    std::size_t calls() const { return m_calls; }

    Call<DocumentList> list(std::string /*kind*/, ReadConsistency /*consistency*/) override
    {
        co_await swallow();
        co_return DocumentList{.position = {1, 7}};
    }
    Call<DocumentChanges> watch(std::string /*kind*/, StorePosition since, Duration wait) override
    {
        co_await swallow();
        net::steady_timer timer(m_context, wait);
        co_await timer.async_wait(net::use_awaitable);
        co_return DocumentChanges{.position = since};
    }
    Call<StoredDocument> create(std::string /*kind*/, std::string name, JsonValue /*spec*/) override
    {
        co_await swallow();
        co_return StoredDocument{.name = name};
    }
    Call<StoredDocument> replace(std::string kind, std::string name, JsonValue spec, std::uint64_t /*revision*/) override
    {
        return create(std::move(kind), std::move(name), std::move(spec));
    }
    Call<void> remove(std::string /*kind*/, std::string /*name*/, std::uint64_t /*revision*/) override
    {
        co_await swallow();
        co_return Result<void>();
    }

private:
    net::awaitable<void> swallow()
    {
        ++m_calls;
        net::steady_timer timer(m_context, m_isSilent ? Duration(1min) : Duration(0));
        co_await timer.async_wait(net::use_awaitable);
    }

    net::io_context &m_context;
    bool m_isSilent = false;
    std::size_t m_calls = 0;
};

struct Fixture
{
    Fixture()
    {
        probed.start({.planProbes = [] { return ProbedStore::ProbePlan{.interval = 200ms, .isPersistent = true}; },
                      .onAccessChanged = [this](bool isReachable) { access.push_back(isReachable); }});
        spawn(probed.list("config", ReadConsistency::Current), listed); // so that there is something to ask for
        context.run_for(50ms);
    }

    template<typename Value>
    void spawn(DocumentStore::Call<Value> call, std::optional<Result<Value>> &result)
    {
        net::co_spawn(context, std::move(call), [&result](const std::exception_ptr &, Result<Value> value) { result = std::move(value); });
    }

    net::io_context context;
    SteadyClock clock;
    Metrics metrics;
    SwallowingStore store{context};
    ProbedStore probed{context, store, clock, metrics};
    std::vector<bool> access;
    std::optional<Result<DocumentList>> listed;
};

} // namespace

// A registration whose answer was swallowed held up its Vm for the whole time-out of the call.
BOOST_FIXTURE_TEST_CASE(a_swallowed_write_ends_with_an_unknown_outcome, Fixture)
{
    store.setSilent(true);
    std::optional<Result<StoredDocument>> created;
    spawn(probed.create("vms", "vm-1", JsonValue()), created);
    context.run_for(1s);
    BOOST_TEST(!created.has_value()); // the store answers nothing: the write may still be answered
    store.setSilent(false);
    context.run_for(500ms);
    BOOST_REQUIRE(created.has_value());
    BOOST_REQUIRE(!created->has_value());
    BOOST_TEST((created->error().code == ErrorCode::OutcomeUnknown));
    BOOST_TEST((access == std::vector<bool>{false, true}));
    BOOST_TEST(metrics.value(Counter::StoreCallsLost) == 1);
}

BOOST_FIXTURE_TEST_CASE(a_swallowed_list_is_asked_for_again, Fixture)
{
    store.setSilent(true);
    std::optional<Result<DocumentList>> second;
    spawn(probed.list("config", ReadConsistency::Current), second);
    context.run_for(300ms);
    store.setSilent(false);
    context.run_for(1500ms);
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->has_value());
}

// The watch of one kind that is found lost shows that those of the others, begun before, are lost as well.
BOOST_FIXTURE_TEST_CASE(one_lost_watch_ends_all_that_began_before, Fixture)
{
    std::optional<Result<DocumentChanges>> shortWatch;
    std::optional<Result<DocumentChanges>> longWatch;
    store.setSilent(true);
    spawn(probed.watch("targets", {1, 7}, 100ms), shortWatch);
    spawn(probed.watch("config", {1, 7}, 10s), longWatch);
    context.run_for(50ms);
    store.setSilent(false);
    context.run_for(700ms);
    BOOST_TEST(shortWatch.has_value());
    BOOST_TEST(metrics.value(Counter::StoreCallsLost) == 2);
}

BOOST_FIXTURE_TEST_CASE(a_read_that_begins_while_the_store_is_silent_waits_for_a_probe, Fixture)
{
    store.setSilent(true);
    std::optional<Result<DocumentChanges>> first;
    spawn(probed.watch("config", {1, 7}, 0ms), first);
    context.run_for(400ms); // it is overdue
    const std::size_t probesBefore = metrics.value(Counter::StoreProbes);
    const std::size_t callsBefore = store.calls();
    std::optional<Result<DocumentChanges>> second;
    spawn(probed.watch("targets", {1, 7}, 0ms), second);
    context.run_for(600ms);
    BOOST_TEST(store.calls() - callsBefore == metrics.value(Counter::StoreProbes) - probesBefore);
    store.setSilent(false);
    context.run_for(500ms);
    BOOST_TEST(first.has_value());
    BOOST_TEST(second.has_value());
}
