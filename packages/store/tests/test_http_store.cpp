#include "store_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
    MemoryStore memory;
    ServedStore served{memory, memory};
    HttpObjectStore store = served.client();
};

} // namespace

BOOST_FIXTURE_TEST_CASE(object_goes_through_every_call_unchanged, Fixture)
{
    const auto written = store.put(makeAccount("a", 2.5), MustNotExist{});
    BOOST_REQUIRE_MESSAGE(written, problemOf(written));
    BOOST_TEST((*written == *memory.get(Kind::ClientAccount, "a")));
    BOOST_TEST((*store.get(Kind::ClientAccount, "a") == *written));
    const auto withStatus = store.putStatus(Kind::ClientAccount, "a", R"({"seen":3})");
    BOOST_REQUIRE(withStatus);
    BOOST_TEST(withStatus->status == R"({"seen":3})");
    const auto list = store.list({Kind::ClientAccount, Kind::Key});
    BOOST_REQUIRE(list);
    BOOST_TEST(list->revision == 2);
    BOOST_TEST((list->items == std::vector<Object>{*withStatus}));
    BOOST_REQUIRE(store.remove(Kind::ClientAccount, "a", withStatus->version));
    BOOST_TEST((memory.get(Kind::ClientAccount, "a").error().code == ErrorCode::NotFound));
}

BOOST_FIXTURE_TEST_CASE(each_kind_survives_the_wire, Fixture)
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
        BOOST_REQUIRE_MESSAGE(written, problemOf(written));
        BOOST_TEST((written->spec == it.spec), toJson(it));
    }
    BOOST_TEST(store.list({})->items.size() == kindCount);
}

BOOST_FIXTURE_TEST_CASE(loser_of_a_race_learns_the_present_version, Fixture)
{
    const auto first = store.put(makeAccount("a"), MustNotExist{});
    const auto second = store.put(makeAccount("a", 2), MustHaveVersion{first->version});
    BOOST_REQUIRE(second);
    const auto loser = store.put(makeAccount("a", 3), MustHaveVersion{first->version});
    BOOST_REQUIRE(!loser);
    BOOST_TEST((loser.error().code == ErrorCode::VersionConflict));
    BOOST_TEST(loser.error().version == second->version);
    const auto removed = store.remove(Kind::ClientAccount, "a", first->version);
    BOOST_REQUIRE(!removed);
    BOOST_TEST(removed.error().version == second->version);
    BOOST_TEST((store.put(makeAccount("a", 3), MustNotExist{}).error().version == second->version));
}

BOOST_FIXTURE_TEST_CASE(watch_waits_for_a_change_and_tells_when_it_is_too_old, Fixture)
{
    BOOST_REQUIRE(memory.put(makeAccount("a"), MustNotExist{}));
    std::thread writer([this] { (void)memory.put(makeAccount("b"), MustNotExist{}); });
    const auto changes = store.watch(1, {Kind::ClientAccount, Kind::Key}, 10s);
    writer.join();
    BOOST_REQUIRE_MESSAGE(changes, problemOf(changes));
    BOOST_REQUIRE(changes->events.size() == 1);
    BOOST_TEST(changes->events.front().object.name == "b");
    BOOST_TEST(changes->revision == 2);
    BOOST_TEST(store.watch(1, {Kind::Key}, 1ms)->events.empty());
    BOOST_TEST((store.watch(99, {}, 0s).error().code == ErrorCode::TooOld));
}

BOOST_FIXTURE_TEST_CASE(statuses_and_headers_are_those_of_the_protocol, Fixture)
{
    const std::string path = "/v1/objects/ClientAccount/a";
    const std::string body = toJson(makeAccount("a"));
    BOOST_TEST(served.send({"PUT", path, "", {}, body}).status == 422);
    BOOST_TEST(served.send({"PUT", path, "", {{"If-None-Match", "1"}}, body}).status == 422);
    BOOST_TEST(served.send({"PUT", path, "", {{"If-Match", "1"}}, body}).status == 422);
    const HttpReply written = served.send({"PUT", path, "", {{"If-None-Match", "*"}}, body});
    BOOST_TEST(written.status == 200);
    BOOST_TEST(findHeader(written.headers, "ETag") == "\"1\"");
    const HttpReply conflict = served.send({"PUT", path, "", {{"If-Match", "\"7\""}}, body});
    BOOST_TEST(conflict.status == 412);
    BOOST_TEST(findHeader(conflict.headers, "Content-Type") == "application/problem+json");
    BOOST_TEST(conflict.body.find(R"("version":1)") != std::string::npos, conflict.body);
    BOOST_TEST(served.send({"PUT", "/v1/objects/ClientAccount/b", "", {{"If-None-Match", "*"}}, body}).status == 422);
    BOOST_TEST(served.send({"PUT", path, "", {{"If-Match", "\"1\""}}, "{"}).status == 400);
    BOOST_TEST(served.send({"GET", "/v1/objects/ClientAccount/none", "", {}, ""}).status == 404);
    BOOST_TEST(served.send({"GET", "/v1/objects/Nothing", "", {}, ""}).status == 404);
    BOOST_TEST(served.send({"GET", "/v1/objects", "since=9&wait_ms=0", {}, ""}).status == 410);
    BOOST_TEST(served.send({"GET", "/v1/objects", "since=x", {}, ""}).status == 422);
    BOOST_TEST(served.send({"GET", "/v1/objects", "since=0&kinds=Key%2CClientAccount", {}, ""}).status == 200);
    BOOST_TEST(served.send({"DELETE", path, "", {}, ""}).status == 422);
    BOOST_TEST(served.send({"DELETE", path, "", {{"If-Match", "\"1\""}}, ""}).status == 200);
    memory.setFaults({.isDown = true});
    BOOST_TEST(served.send({"GET", path, "", {}, ""}).status == 503);
}

BOOST_FIXTURE_TEST_CASE(refused_field_is_named_on_the_other_side, Fixture)
{
    const HttpReply reply = served.send({"PUT",
                                         "/v1/objects/ClientAccount/a",
                                         "",
                                         {{"If-None-Match", "*"}},
                                         R"({"kind":"ClientAccount","name":"a","spec":{"limits":{"rate_per_s":0,"burst":1}}})"});
    BOOST_TEST(reply.status == 422);
    BOOST_TEST(reply.body.find(R"("code":"out_of_range")") != std::string::npos, reply.body);
    BOOST_TEST(reply.body.find(R"("path":"spec.limits.rate_per_s")") != std::string::npos, reply.body);
}

BOOST_FIXTURE_TEST_CASE(vm_list_goes_through, Fixture)
{
    served.vms.setVms({VmEntry{.name = {"vm-1"}, .address = {"10.0.0.1", 80}, .failureDomain = {"fd-a"}, .state = VmState::Leaving}});
    HttpVmDirectory directory(served.options());
    const auto list = directory.vms();
    BOOST_REQUIRE(list);
    BOOST_TEST((*list == *served.vms.vms()));
}

BOOST_FIXTURE_TEST_CASE(silent_server_leaves_a_write_in_doubt_and_a_read_not_done, Fixture)
{
    HttpObjectStore hasty = served.client(false, 200);
    memory.setFaults({.extraLatency = 1s});
    BOOST_TEST((hasty.put(makeAccount("a"), MustNotExist{}).error().code == ErrorCode::OutcomeUnknown));
    BOOST_TEST((hasty.get(Kind::ClientAccount, "a").error().code == ErrorCode::Unavailable));
}

BOOST_AUTO_TEST_CASE(nobody_listening_means_not_done)
{
    HttpObjectStore store({.address = {.ip = "127.0.0.1", .port = findFreePort()}});
    BOOST_TEST((store.put(makeAccount("a"), MustNotExist{}).error().code == ErrorCode::Unavailable));
    BOOST_TEST((store.list({Kind::Key}).error().code == ErrorCode::Unavailable));
}

BOOST_AUTO_TEST_CASE(foreign_answers_are_judged_by_status_and_by_what_was_asked)
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
    for (const auto &[given, expected] : writes) {
        status = given;
        BOOST_TEST((store.put(makeAccount("a"), MustNotExist{}).error().code == expected), given);
    }
    status = 502;
    BOOST_TEST((store.get(Kind::Key, "k").error().code == ErrorCode::Unavailable));
    status = 410;
    BOOST_TEST((store.watch(1, {}, 0s).error().code == ErrorCode::TooOld));
}

BOOST_AUTO_TEST_CASE(objects_that_cannot_be_decoded_are_told_apart_from_the_rest)
{
    const std::string good = toJson(makeAccount("good"));
    const std::string bad = R"({"kind":"ClientAccount","name":"bad","version":4,"spec":{"colour":"red"}})";
    const std::string foreign = R"({"kind":"Printer","name":"p","version":5,"spec":{}})";
    const std::uint16_t port = findFreePort();
    HttpServer server({"127.0.0.1", port}, [&](const HttpRequest &request) {
        if (request.query.empty()) {
            return HttpReply{200, {}, R"({"revision":9,"items":[)" + good + "," + bad + "," + foreign + "]}"};
        }
        const std::string put = R"({"type":"put","object":)";
        const std::string removed = R"({"type":"delete","object":)";
        return HttpReply{200, {}, R"({"revision":9,"events":[)" + put + good + "}," + put + bad + "}," + removed + bad + "}]}"};
    });
    HttpObjectStore store({.address = {.ip = "127.0.0.1", .port = port}});
    const auto list = store.list({Kind::ClientAccount});
    BOOST_REQUIRE_MESSAGE(list, problemOf(list));
    BOOST_TEST(list->items.size() == 1);
    BOOST_REQUIRE(list->undecodable.size() == 1);
    BOOST_TEST(list->undecodable.front().name == "bad");
    BOOST_TEST(list->undecodable.front().version == 4);
    BOOST_TEST(list->undecodable.front().error.path == "spec.limits");
    const auto changes = store.watch(1, {}, 0s);
    BOOST_REQUIRE_MESSAGE(changes, problemOf(changes));
    BOOST_REQUIRE(changes->events.size() == 2);
    BOOST_TEST((changes->events.back().type == ChangeType::Delete));
    BOOST_TEST(changes->events.back().object.name == "bad");
    BOOST_TEST(changes->undecodable.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(lost_answer_is_proved_by_reading_back, Fixture)
{
    memory.setFaults({.lostResponses = 1});
    const auto proved = putVerified(store, makeAccount("a", 5), MustNotExist{});
    BOOST_REQUIRE_MESSAGE(proved, problemOf(proved));
    BOOST_TEST(proved->version == 1);
    memory.setFaults({.lostResponses = 1});
    const auto updated = putVerified(store, makeAccount("a", 6), MustHaveVersion{1});
    BOOST_REQUIRE(updated);
    BOOST_TEST(updated->version == 2);
}

namespace {

// Loses the next answers, with or without the write having taken effect, and lets a rival write in between.
class LossyStore final : public ObjectStore
{
public:
    explicit LossyStore(MemoryStore &store)
        : m_store(store)
    {
    }
    Result<Object> get(Kind kind, const std::string &name) override
    {
        if (isReadDown) {
            return tl::unexpected(Error{.code = ErrorCode::Unavailable});
        }
        return m_store.get(kind, name);
    }
    Result<Object> put(const Object &object, const WriteCondition &condition) override
    {
        ++writes;
        if (lostRequests > 0) {
            --lostRequests;
            if (rival) {
                (void)m_store.put(*rival, condition);
            }
            if (isDelayed) {
                m_delayed = {object, condition};
            }
            return tl::unexpected(Error{.code = ErrorCode::OutcomeUnknown});
        }
        if (m_delayed) {
            (void)m_store.put(m_delayed->first, m_delayed->second);
        }
        return m_store.put(object, condition);
    }
    Result<ObjectList> list(const std::vector<Kind> &kinds) override { return m_store.list(kinds); }
    Result<Object> putStatus(Kind kind, const std::string &name, const std::string &status) override
    {
        return m_store.putStatus(kind, name, status);
    }
    Result<void> remove(Kind kind, const std::string &name, std::uint64_t version) override { return m_store.remove(kind, name, version); }
    Result<Changes> watch(std::uint64_t since, const std::vector<Kind> &kinds, Duration wait) override
    {
        return m_store.watch(since, kinds, wait);
    }

    unsigned lostRequests = 0;
    unsigned writes = 0;
    bool isReadDown = false;
    bool isDelayed = false; // a lost request arrives just before the next one
    std::optional<Object> rival;

private:
    MemoryStore &m_store;
    std::optional<std::pair<Object, WriteCondition>> m_delayed;
};

} // namespace

BOOST_AUTO_TEST_CASE(write_that_never_arrived_is_written_again_after_reading)
{
    MemoryStore memory;
    LossyStore store(memory);
    store.lostRequests = 2;
    BOOST_TEST(putVerified(store, makeAccount("a", 5), MustNotExist{}).has_value());
    BOOST_TEST(store.writes == 3);
    BOOST_TEST(memory.list({})->revision == 1);
}

BOOST_AUTO_TEST_CASE(nothing_is_accepted_without_proof)
{
    MemoryStore memory;
    LossyStore store(memory);
    store.lostRequests = 9;
    BOOST_TEST((putVerified(store, makeAccount("a", 5), MustNotExist{}).error().code == ErrorCode::OutcomeUnknown));
    BOOST_TEST(store.writes == 3);
    store.isReadDown = true;
    store.writes = 0;
    BOOST_TEST((putVerified(store, makeAccount("a", 5), MustNotExist{}).error().code == ErrorCode::OutcomeUnknown));
    BOOST_TEST(store.writes == 1);
}

BOOST_AUTO_TEST_CASE(rivals_write_after_a_lost_answer_is_not_taken_for_ours)
{
    MemoryStore memory;
    LossyStore store(memory);
    store.lostRequests = 1;
    store.rival = makeAccount("a", 77);
    const auto outcome = putVerified(store, makeAccount("a", 5), MustNotExist{});
    BOOST_REQUIRE(!outcome);
    BOOST_TEST((outcome.error().code == ErrorCode::OutcomeUnknown));
    BOOST_TEST(outcome.error().version == 1);
    BOOST_TEST((memory.get(Kind::ClientAccount, "a")->spec == makeAccount("a", 77).spec));
}

BOOST_AUTO_TEST_CASE(own_write_that_arrives_late_is_not_taken_for_a_rivals)
{
    MemoryStore memory;
    LossyStore store(memory);
    store.lostRequests = 1;
    store.isDelayed = true;
    const auto written = putVerified(store, makeAccount("a", 5), MustNotExist{});
    BOOST_REQUIRE_MESSAGE(written, problemOf(written));
    BOOST_TEST(written->version == 1);
    BOOST_TEST(memory.list({})->revision == 1);
}
