// A follower of one kind of documents, against a store whose answers the test sets.
#include "kind_follower.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;
namespace net = boost::asio;

namespace {

// Returns the lists in turn, the last one again and again, and an error to each watch.
class FakeDocumentStore final : public DocumentStore
{
public:
    std::vector<DocumentList> lists;
    ErrorCode watchError = ErrorCode::TooOld;
    std::size_t listCalls = 0;
    std::size_t watchCalls = 0;

    Call<DocumentList> list(std::string /*kind*/, ReadConsistency /*consistency*/) override
    {
        co_await net::post(co_await net::this_coro::executor, net::use_awaitable);
        const std::size_t index = std::min(listCalls++, lists.size() - 1);
        co_return lists[index];
    }
    Call<DocumentChanges> watch(std::string /*kind*/, StorePosition /*since*/, Duration /*wait*/) override
    {
        co_await net::post(co_await net::this_coro::executor, net::use_awaitable);
        ++watchCalls;
        co_return tl::unexpected(Error{.code = watchError});
    }
    Call<StoredDocument> create(std::string /*kind*/, std::string /*name*/, JsonValue /*spec*/) override { co_return unsupported(); }
    Call<StoredDocument> replace(std::string /*kind*/, std::string /*name*/, JsonValue /*spec*/, std::uint64_t /*revision*/) override
    {
        co_return unsupported();
    }
    Call<void> remove(std::string /*kind*/, std::string /*name*/, std::uint64_t /*revision*/) override { co_return unsupported(); }

private:
    static tl::unexpected<Error> unsupported() { return tl::unexpected(Error{.code = ErrorCode::NotAllowed}); }
};

// What a follower delivered within a short time.
struct Delivered
{
    explicit Delivered(FakeDocumentStore &store, Duration time = 400ms)
    {
        const FollowHandler handler{.onListed = [this](const DocumentList &list) { positions.push_back(list.position); },
                                    .onChange = [](const DocumentChange &) {},
                                    .onUpdated = [] {},
                                    .onCallFailed = [this](const Error &) { ++failures; },
                                    .onEraChanged =
                                        [this](const EraChange &change) {
                                            eraChanges.push_back(change);
                                            listsBeforeEraChange = positions.size();
                                        }};
        net::io_context context;
        net::co_spawn(context, followKind(store, {.kind = "servers"}, handler), net::detached);
        context.run_for(time);
    }

    std::vector<StorePosition> positions;
    std::vector<EraChange> eraChanges;
    std::size_t listsBeforeEraChange = 0;
    std::size_t failures = 0;
};

} // namespace

// A store whose watches never match its lists would be called without a pause, and the platform charges for each call.
BOOST_AUTO_TEST_CASE(watches_that_are_always_too_old_do_not_make_a_follower_call_without_pause)
{
    FakeDocumentStore store;
    store.lists = {{.position = {1, 40}}};
    const Delivered delivered(store);
    BOOST_TEST(store.listCalls <= 8U);
    BOOST_TEST(store.watchCalls <= 8U);
}

BOOST_AUTO_TEST_CASE(a_watch_that_is_too_old_once_is_followed_by_a_list_at_once)
{
    FakeDocumentStore store;
    store.lists = {{.position = {1, 40}}, {.position = {1, 44}}};
    const Delivered delivered(store, 20ms);
    BOOST_TEST((delivered.positions == std::vector<StorePosition>{{1, 40}, {1, 44}}));
}

// An answer that was delayed since before the restore would undo what the restored store says.
BOOST_AUTO_TEST_CASE(a_list_of_an_earlier_position_replaces_nothing)
{
    FakeDocumentStore store;
    store.lists = {{.position = {2, 20}}, {.position = {1, 60}}, {.position = {2, 19}}, {.position = {2, 21}}};
    const Delivered delivered(store, 1500ms);
    BOOST_REQUIRE(delivered.positions.size() >= 2U);
    BOOST_TEST((delivered.positions[0] == StorePosition(2, 20)));
    BOOST_TEST((delivered.positions[1] == StorePosition(2, 21)));
    BOOST_TEST(delivered.failures == 2U);
}

// What is known of the earlier era must be set aside before the first list of the later one is applied.
BOOST_AUTO_TEST_CASE(a_later_era_is_reported_before_its_list_with_what_it_changed)
{
    FakeDocumentStore store;
    store.lists = {{.position = {1, 40}, .items = {{.name = "kept", .revision = 10}, {.name = "older", .revision = 30}, {.name = "lost"}}},
                   {.position = {2, 20}, .items = {{.name = "kept", .revision = 10}, {.name = "older", .revision = 12}}}};
    const Delivered delivered(store, 20ms);
    BOOST_REQUIRE(delivered.eraChanges.size() == 1U);
    BOOST_TEST(delivered.listsBeforeEraChange == 1U);
    const EraChange &change = delivered.eraChanges.front();
    BOOST_TEST((change.previous == StorePosition(1, 40)));
    BOOST_TEST((change.current == StorePosition(2, 20)));
    BOOST_TEST(change.keptDocuments == 1U);
    BOOST_TEST(change.changedDocuments == 1U);
    BOOST_TEST(change.missingDocuments == 1U);
}
