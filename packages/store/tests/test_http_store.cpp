#include "store_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

Object withVersion(std::uint64_t version, Object object)
{
    object.version = version;
    return object;
}

struct Fixture
{
    MemoryStore memory;
    StoreServer storeServer{memory, memory};
    HttpObjectStore store = storeServer.client();
};

} // namespace

BOOST_FIXTURE_TEST_CASE(object_is_transferred_unchanged_by_every_call, Fixture)
{
    const auto written = store.put(makeAccount("a", 2.5), MustNotExist{});
    BOOST_REQUIRE_MESSAGE(written, errorText(written));
    BOOST_TEST((*written == memory.get(Kind::ClientAccount, "a")->object));
    BOOST_TEST((store.get(Kind::ClientAccount, "a")->object == *written));
    const auto withStatus = store.putStatus(Kind::ClientAccount, "a", R"({"seen":3})");
    BOOST_REQUIRE(withStatus);
    BOOST_TEST(withStatus->status == R"({"seen":3})");
    const auto list = store.list({Kind::ClientAccount, Kind::Key});
    BOOST_REQUIRE(list);
    BOOST_TEST(list->position.revision() == 2);
    BOOST_TEST((list->items == std::vector<Object>{*withStatus}));
    BOOST_REQUIRE(store.remove(Kind::ClientAccount, "a", {withStatus->version}));
    BOOST_TEST((memory.get(Kind::ClientAccount, "a").error().code == ErrorCode::NotFound));
}

BOOST_FIXTURE_TEST_CASE(each_kind_survives_an_http_round_trip, Fixture)
{
    const std::vector<Object> objects{
        makeAccount("a"),
        makeKey("k", "a"),
        Object{.name = "r", .spec = Route{.pathPrefix = "/x", .methods = {"GET"}, .service = {"s"}, .idempotent = false}},
        Object{.name = "s", .spec = Service{.targets = {Target{.name = {"t"}, .address = {"10.0.0.1", 80}}}}},
        Object{.name = "q", .spec = QuotaGrant{.shares = {QuotaShare{.holder = {"vm-1"}, .limits = {0.5, 2}}}}},
        Object{.name = "v", .spec = VmRecord{.peers = {"10.0.0.2", 81}, .failureDomain = {"fd-a"}, .incarnation = 4}},
    };
    BOOST_REQUIRE(objects.size() == kindCount);
    for (const Object &it : objects) {
        const auto written = store.put(it, MustNotExist{});
        BOOST_REQUIRE_MESSAGE(written, errorText(written));
        BOOST_TEST((written->spec == it.spec), toJson(it));
    }
    BOOST_TEST(store.list({})->items.size() == kindCount);
}

BOOST_FIXTURE_TEST_CASE(version_conflict_reports_the_current_version, Fixture)
{
    const auto first = store.put(makeAccount("a"), MustNotExist{});
    const auto second = store.put(makeAccount("a", 2), MustHaveVersion{first->version});
    BOOST_REQUIRE(second);
    const auto outdated = store.put(makeAccount("a", 3), MustHaveVersion{first->version});
    BOOST_REQUIRE(!outdated);
    BOOST_TEST((outdated.error().code == ErrorCode::VersionConflict));
    BOOST_TEST(outdated.error().version == second->version);
    const auto removed = store.remove(Kind::ClientAccount, "a", {first->version});
    BOOST_REQUIRE(!removed);
    BOOST_TEST(removed.error().version == second->version);
    BOOST_TEST((store.put(makeAccount("a", 3), MustNotExist{}).error().version == second->version));
}

BOOST_FIXTURE_TEST_CASE(watch_waits_for_a_change_and_refuses_an_unknown_revision, Fixture)
{
    BOOST_REQUIRE(memory.put(makeAccount("a"), MustNotExist{}));
    std::thread writer([this] { (void)memory.put(makeAccount("b"), MustNotExist{}); });
    const auto changes = store.watch({0, 1}, {Kind::ClientAccount, Kind::Key}, 10s);
    writer.join();
    BOOST_REQUIRE_MESSAGE(changes, errorText(changes));
    BOOST_REQUIRE(changes->events.size() == 1);
    BOOST_TEST(changes->events.front().object.name == "b");
    BOOST_TEST(changes->position.revision() == 2);
    BOOST_TEST(store.watch({0, 1}, {Kind::Key}, 1ms)->events.empty());
    BOOST_TEST((store.watch({0, 99}, {}, 0s).error().code == ErrorCode::TooOld));
}

// Guards against a client that can't tell a store restored from an older copy from the one that it knew.
BOOST_FIXTURE_TEST_CASE(era_of_the_store_is_transferred_by_lists_watches_and_conditions, Fixture)
{
    BOOST_REQUIRE(memory.put(makeAccount("a"), MustNotExist{}));
    const StoreBackup backup = memory.backup();
    BOOST_REQUIRE(memory.put(makeAccount("a", 2), MustHaveVersion{1}));
    const StorePosition before = store.list({Kind::ClientAccount, Kind::Key})->position;
    BOOST_TEST((before == StorePosition(1, 2)));
    memory.restore(backup);
    BOOST_REQUIRE(store.put(makeAccount("a", 3), MustHaveVersion{.version = 1, .era = 2}));
    BOOST_REQUIRE(store.put(makeKey("k", "a"), MustNotExist{}));
    BOOST_REQUIRE(store.remove(Kind::Key, "k", {3}));
    const auto list = store.list({Kind::ClientAccount, Kind::Key});
    BOOST_REQUIRE_MESSAGE(list, errorText(list));
    BOOST_TEST((list->position == StorePosition(2, 4)));
    BOOST_TEST((list->eras == StoreEras::first().restoredAs(2, 1)));
    BOOST_TEST((list->removed == std::vector<RemovedObject>{{.kind = Kind::Key, .name = "k", .version = 4}}));
    BOOST_TEST((store.watch(before, {}, 0s).error().code == ErrorCode::TooOld));
    BOOST_TEST((store.watch({2, 1}, {}, 0s)->position == StorePosition(2, 4)));
    BOOST_TEST((store.put(makeAccount("a", 4), MustHaveVersion{.version = 2, .era = 1}).error().code == ErrorCode::VersionConflict));
    const auto read = store.get(Kind::ClientAccount, "a");
    BOOST_TEST(read->era == 2);
    BOOST_TEST(!read->isFromCopy());
    BOOST_TEST((store.remove(Kind::ClientAccount, "a", {.version = 2, .era = 1}).error().code == ErrorCode::VersionConflict));
    const HttpReply reply = storeServer.send({"GET", "/v1/objects/ClientAccount", "", {}, ""});
    BOOST_TEST(findHeader(reply.headers, "Pollenspoke-Store-Era") == "2");
}

// Guards against a client of a new release that fails on a server which doesn't send eras.
BOOST_AUTO_TEST_CASE(server_that_sends_no_era_is_in_era_zero)
{
    const std::uint16_t port = findFreePort();
    std::string query;
    HttpServer server({"127.0.0.1", port}, [&](const HttpRequest &request) {
        query = request.query;
        return HttpReply{200, {}, request.query.empty() ? R"({"revision":9,"items":[]})" : R"({"revision":9,"events":[]})"};
    });
    HttpObjectStore store({.address = {.ip = "127.0.0.1", .port = port}});
    BOOST_TEST((store.list({Kind::Key})->position == StorePosition(0, 9)));
    BOOST_TEST((store.list({Kind::Key})->eras == StoreEras()));
    BOOST_TEST((store.watch({0, 9}, {}, 0s)->position == StorePosition(0, 9)));
    BOOST_TEST(query.find("era") == std::string::npos, query);
}

// Guards against a list put together from parts before and after a restore.
BOOST_AUTO_TEST_CASE(list_of_several_kinds_never_spans_a_restore)
{
    const std::uint16_t port = findFreePort();
    unsigned calls = 0;
    HttpServer server({"127.0.0.1", port}, [&](const HttpRequest &) {
        ++calls;
        const std::string eras = calls == 1 ? R"([{"era":1,"start":0}])" : R"([{"era":1,"start":0},{"era":2,"start":3}])";
        return HttpReply{200, {}, R"({"revision":9,"eras":)" + eras + R"(,"items":[]})"};
    });
    HttpObjectStore store({.address = {.ip = "127.0.0.1", .port = port}});
    const auto list = store.list({Kind::ClientAccount, Kind::Key});
    BOOST_REQUIRE_MESSAGE(list, errorText(list));
    BOOST_TEST((list->position == StorePosition(2, 9)));
    BOOST_TEST(calls == 4U);
}

BOOST_FIXTURE_TEST_CASE(statuses_and_headers_follow_the_protocol, Fixture)
{
    const std::string path = "/v1/objects/ClientAccount/a";
    const std::string body = toJson(makeAccount("a"));
    BOOST_TEST(storeServer.send({"PUT", path, "", {}, body}).status == 422);
    BOOST_TEST(storeServer.send({"PUT", path, "", {{"If-None-Match", "1"}}, body}).status == 422);
    BOOST_TEST(storeServer.send({"PUT", path, "", {{"If-Match", "1"}}, body}).status == 422);
    const HttpReply written = storeServer.send({"PUT", path, "", {{"If-None-Match", "*"}}, body});
    BOOST_TEST(written.status == 200);
    BOOST_TEST(findHeader(written.headers, "ETag") == "\"1\"");
    const HttpReply conflict = storeServer.send({"PUT", path, "", {{"If-Match", "\"7\""}}, body});
    BOOST_TEST(conflict.status == 412);
    BOOST_TEST(findHeader(conflict.headers, "Content-Type") == "application/problem+json");
    BOOST_TEST(conflict.body.find(R"("version":1)") != std::string::npos, conflict.body);
    BOOST_TEST(storeServer.send({"PUT", "/v1/objects/ClientAccount/b", "", {{"If-None-Match", "*"}}, body}).status == 422);
    BOOST_TEST(storeServer.send({"PUT", path, "", {{"If-Match", "\"1\""}}, "{"}).status == 400);
    BOOST_TEST(storeServer.send({"GET", "/v1/objects/ClientAccount/none", "", {}, ""}).status == 404);
    BOOST_TEST(storeServer.send({"GET", "/v1/objects/Nothing", "", {}, ""}).status == 404);
    BOOST_TEST(storeServer.send({"GET", "/v1/objects", "since=9&wait_ms=0", {}, ""}).status == 410);
    BOOST_TEST(storeServer.send({"GET", "/v1/objects", "since=x", {}, ""}).status == 422);
    BOOST_TEST(storeServer.send({"GET", "/v1/objects", "since=0&kinds=Key%2CClientAccount", {}, ""}).status == 200);
    BOOST_TEST(storeServer.send({"DELETE", path, "", {}, ""}).status == 422);
    BOOST_TEST(storeServer.send({"DELETE", path, "", {{"If-Match", "\"1\""}}, ""}).status == 200);
    memory.setFaults({.isDown = true});
    BOOST_TEST(storeServer.send({"GET", path, "", {}, ""}).status == 503);
}

BOOST_FIXTURE_TEST_CASE(problem_body_names_the_refused_field, Fixture)
{
    const HttpReply reply = storeServer.send({"PUT",
                                              "/v1/objects/ClientAccount/a",
                                              "",
                                              {{"If-None-Match", "*"}},
                                              R"({"kind":"ClientAccount","name":"a","spec":{"limits":{"rate_per_s":0,"burst":1}}})"});
    BOOST_TEST(reply.status == 422);
    BOOST_TEST(reply.body.find(R"("code":"out_of_range")") != std::string::npos, reply.body);
    BOOST_TEST(reply.body.find(R"("path":"spec.limits.rate_per_s")") != std::string::npos, reply.body);
}

BOOST_FIXTURE_TEST_CASE(vm_list_is_transferred_unchanged, Fixture)
{
    storeServer.vms.setVms({VmEntry{.name = {"vm-1"}, .address = {"10.0.0.1", 80}, .failureDomain = {"fd-a"}, .state = VmState::Leaving}});
    HttpVmDirectory directory(storeServer.options());
    const auto list = directory.vms();
    BOOST_REQUIRE(list);
    BOOST_TEST((*list == *storeServer.vms.vms()));
}

BOOST_FIXTURE_TEST_CASE(timeout_gives_outcome_unknown_for_writes_and_unavailable_for_reads, Fixture)
{
    HttpObjectStore shortTimeoutStore = storeServer.client(false, 200);
    memory.setFaults({.extraLatency = 1s});
    BOOST_TEST((shortTimeoutStore.put(makeAccount("a"), MustNotExist{}).error().code == ErrorCode::OutcomeUnknown));
    BOOST_TEST((shortTimeoutStore.get(Kind::ClientAccount, "a").error().code == ErrorCode::Unavailable));
}

BOOST_AUTO_TEST_CASE(refused_connection_is_reported_as_unavailable)
{
    HttpObjectStore store({.address = {.ip = "127.0.0.1", .port = findFreePort()}});
    BOOST_TEST((store.put(makeAccount("a"), MustNotExist{}).error().code == ErrorCode::Unavailable));
    BOOST_TEST((store.list({Kind::Key}).error().code == ErrorCode::Unavailable));
}

BOOST_AUTO_TEST_CASE(replies_without_a_problem_body_are_mapped_by_status_and_method)
{
    unsigned status = 0;
    const std::uint16_t port = findFreePort();
    HttpServer server({"127.0.0.1", port}, [&status](const HttpRequest &) { return HttpReply{status, {}, "<html>"}; });
    HttpObjectStore store({.address = {.ip = "127.0.0.1", .port = port}});
    const std::vector<std::pair<unsigned, ErrorCode>> writes{{502, ErrorCode::OutcomeUnknown},
                                                             {503, ErrorCode::OutcomeUnknown},
                                                             {429, ErrorCode::Unavailable},
                                                             {412, ErrorCode::VersionConflict},
                                                             {404, ErrorCode::NotFound},
                                                             {200, ErrorCode::OutcomeUnknown}};
    for (const auto &[replyStatus, expected] : writes) {
        status = replyStatus;
        BOOST_TEST((store.put(makeAccount("a"), MustNotExist{}).error().code == expected), replyStatus);
    }
    status = 502;
    BOOST_TEST((store.get(Kind::Key, "k").error().code == ErrorCode::Unavailable));
    status = 410;
    BOOST_TEST((store.watch({0, 1}, {}, 0s).error().code == ErrorCode::TooOld));
}

BOOST_AUTO_TEST_CASE(undecodable_objects_are_returned_separately)
{
    const std::string good = toJson(makeAccount("good"));
    const std::string bad = R"({"kind":"ClientAccount","name":"bad","version":4,"spec":{"colour":"red"}})";
    const std::string unknownKind = R"({"kind":"Printer","name":"p","version":5,"spec":{}})";
    const std::uint16_t port = findFreePort();
    HttpServer server({"127.0.0.1", port}, [&](const HttpRequest &request) {
        if (request.query.empty()) {
            return HttpReply{200, {}, R"({"revision":9,"items":[)" + good + "," + bad + "," + unknownKind + "]}"};
        }
        const std::string put = R"({"type":"put","object":)";
        const std::string removed = R"({"type":"delete","object":)";
        return HttpReply{200, {}, R"({"revision":9,"events":[)" + put + good + "}," + put + bad + "}," + removed + bad + "}]}"};
    });
    HttpObjectStore store({.address = {.ip = "127.0.0.1", .port = port}});
    const auto list = store.list({Kind::ClientAccount});
    BOOST_REQUIRE_MESSAGE(list, errorText(list));
    BOOST_TEST(list->items.size() == 1);
    BOOST_REQUIRE(list->undecodable.size() == 1);
    BOOST_TEST(list->undecodable.front().name == "bad");
    BOOST_TEST(list->undecodable.front().version == 4);
    BOOST_TEST(list->undecodable.front().error.path == "spec.limits");
    const auto changes = store.watch({0, 1}, {}, 0s);
    BOOST_REQUIRE_MESSAGE(changes, errorText(changes));
    BOOST_REQUIRE(changes->events.size() == 2);
    BOOST_TEST((changes->events.back().type == ChangeType::Delete));
    BOOST_TEST(changes->events.back().object.name == "bad");
    BOOST_TEST(changes->undecodable.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(lost_response_is_resolved_by_reading_back, Fixture)
{
    memory.setFaults({.lostResponses = 1});
    const auto created = putVerified(store, makeAccount("a", 5), MustNotExist{});
    BOOST_REQUIRE_MESSAGE(created, errorText(created));
    BOOST_TEST(created->version == 1);
    memory.setFaults({.lostResponses = 1});
    const auto updated = putVerified(store, makeAccount("a", 6), MustHaveVersion{1});
    BOOST_REQUIRE(updated);
    BOOST_TEST(updated->version == 2);
}

namespace {

// Loses the next write requests and returns OutcomeUnknown for them. It can deliver a lost request late, and it can write a
// competing object instead.
class LossyStore final : public ObjectStore
{
public:
    explicit LossyStore(MemoryStore &store)
        : m_store(store)
    {
    }
    Result<StoredObject> get(Kind kind, const std::string &name) override
    {
        if (failsReads) {
            return tl::unexpected(Error{.code = ErrorCode::Unavailable});
        }
        return m_store.get(kind, name);
    }
    Result<Object> put(const Object &object, const WriteCondition &condition) override
    {
        ++writes;
        if (lostRequests > 0) {
            --lostRequests;
            if (competingObject) {
                (void)m_store.put(*competingObject, condition);
            }
            if (deliversLate) {
                m_lateWrite = {object, condition};
            }
            return tl::unexpected(Error{.code = ErrorCode::OutcomeUnknown});
        }
        if (m_lateWrite) {
            (void)m_store.put(m_lateWrite->first, m_lateWrite->second);
        }
        return m_store.put(object, condition);
    }
    Result<ObjectList> list(const std::vector<Kind> &kinds) override { return m_store.list(kinds); }
    Result<Object> putStatus(Kind kind, const std::string &name, const std::string &status) override
    {
        return m_store.putStatus(kind, name, status);
    }
    Result<void> remove(Kind kind, const std::string &name, const MustHaveVersion &condition) override
    {
        return m_store.remove(kind, name, condition);
    }
    Result<Changes> watch(const StorePosition &since, const std::vector<Kind> &kinds, Duration wait) override
    {
        return m_store.watch(since, kinds, wait);
    }

    unsigned lostRequests = 0;
    unsigned writes = 0;
    bool failsReads = false;
    bool deliversLate = false; // the lost request reaches the store just before the next one
    std::optional<Object> competingObject;

private:
    MemoryStore &m_store;
    std::optional<std::pair<Object, WriteCondition>> m_lateWrite;
};

} // namespace

BOOST_AUTO_TEST_CASE(lost_request_is_retried_after_reading_back)
{
    MemoryStore memory;
    LossyStore store(memory);
    store.lostRequests = 2;
    BOOST_TEST(putVerified(store, makeAccount("a", 5), MustNotExist{}).has_value());
    BOOST_TEST(store.writes == 3);
    BOOST_TEST(memory.list({})->position.revision() == 1);
}

BOOST_AUTO_TEST_CASE(unverified_write_is_reported_as_outcome_unknown)
{
    MemoryStore memory;
    LossyStore store(memory);
    store.lostRequests = 9;
    BOOST_TEST((putVerified(store, makeAccount("a", 5), MustNotExist{}).error().code == ErrorCode::OutcomeUnknown));
    BOOST_TEST(store.writes == 3);
    store.failsReads = true;
    store.writes = 0;
    BOOST_TEST((putVerified(store, makeAccount("a", 5), MustNotExist{}).error().code == ErrorCode::OutcomeUnknown));
    BOOST_TEST(store.writes == 1);
}

BOOST_AUTO_TEST_CASE(write_of_another_client_is_not_mistaken_for_our_own_after_a_lost_response)
{
    MemoryStore memory;
    LossyStore store(memory);
    store.lostRequests = 1;
    store.competingObject = makeAccount("a", 77);
    const auto outcome = putVerified(store, makeAccount("a", 5), MustNotExist{});
    BOOST_REQUIRE(!outcome);
    BOOST_TEST((outcome.error().code == ErrorCode::OutcomeUnknown));
    BOOST_TEST(outcome.error().version == 1);
    BOOST_TEST((memory.get(Kind::ClientAccount, "a")->object.spec == makeAccount("a", 77).spec));
}

namespace {

// Restores the store after it has executed a write whose response is lost, and then lets another client write.
class RestoringStore final : public ObjectStore
{
public:
    RestoringStore(MemoryStore &store, StoreBackup backup, std::optional<Object> written)
        : m_store(store)
        , m_backup(std::move(backup))
        , m_written(std::move(written))
    {
    }
    Result<StoredObject> get(Kind kind, const std::string &name) override { return m_store.get(kind, name); }
    Result<Object> put(const Object &object, const WriteCondition &condition) override
    {
        Result<Object> result = m_store.put(object, condition);
        if (m_isRestored) {
            return result;
        }
        m_isRestored = true;
        m_store.restore(m_backup);
        if (m_written) {
            BOOST_REQUIRE(m_store.put(*m_written, MustHaveVersion{m_written->version}));
        }
        return tl::unexpected(Error{.code = ErrorCode::OutcomeUnknown});
    }
    Result<ObjectList> list(const std::vector<Kind> &kinds) override { return m_store.list(kinds); }
    Result<Object> putStatus(Kind kind, const std::string &name, const std::string &status) override
    {
        return m_store.putStatus(kind, name, status);
    }
    Result<void> remove(Kind kind, const std::string &name, const MustHaveVersion &condition) override
    {
        return m_store.remove(kind, name, condition);
    }
    Result<Changes> watch(const StorePosition &since, const std::vector<Kind> &kinds, Duration wait) override
    {
        return m_store.watch(since, kinds, wait);
    }

private:
    MemoryStore &m_store;
    StoreBackup m_backup;
    std::optional<Object> m_written;
    bool m_isRestored = false;
};

} // namespace

// Guards against a write that is reported as done because the older copy, which followers don't take, happens to have the same spec.
BOOST_AUTO_TEST_CASE(lost_write_is_not_taken_for_done_because_the_restored_copy_equals_it)
{
    MemoryStore memory;
    BOOST_REQUIRE(memory.put(makeAccount("a", 1), MustNotExist{}));
    const StoreBackup backup = memory.backup();
    BOOST_REQUIRE(memory.put(makeAccount("a", 2), MustHaveVersion{1}));
    RestoringStore store(memory, backup, std::nullopt);
    const auto written = putVerified(store, makeAccount("a", 1), MustHaveVersion{.version = 2, .era = 1});
    BOOST_REQUIRE(!written);
    BOOST_TEST((written.error().code == ErrorCode::OutcomeUnknown));
}

// Guards against a retry after a restore that overwrites what another client wrote under a version given out again.
BOOST_AUTO_TEST_CASE(lost_write_is_not_repeated_over_a_write_made_after_a_restore)
{
    MemoryStore memory;
    BOOST_REQUIRE(memory.put(makeAccount("a", 1), MustNotExist{}));
    const StoreBackup backup = memory.backup();
    BOOST_REQUIRE(memory.put(makeAccount("a", 2), MustHaveVersion{1}));
    RestoringStore store(memory, backup, withVersion(1, makeAccount("a", 7)));
    const auto written = putVerified(store, makeAccount("a", 3), MustHaveVersion{.version = 2, .era = 1});
    BOOST_REQUIRE(!written);
    BOOST_TEST((written.error().code == ErrorCode::OutcomeUnknown));
    BOOST_TEST((memory.get(Kind::ClientAccount, "a")->object.spec == makeAccount("a", 7).spec));
}

BOOST_AUTO_TEST_CASE(delayed_own_write_is_not_mistaken_for_that_of_another_client)
{
    MemoryStore memory;
    LossyStore store(memory);
    store.lostRequests = 1;
    store.deliversLate = true;
    const auto written = putVerified(store, makeAccount("a", 5), MustNotExist{});
    BOOST_REQUIRE_MESSAGE(written, errorText(written));
    BOOST_TEST(written->version == 1);
    BOOST_TEST(memory.list({})->position.revision() == 1);
}
