#include "store_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;

namespace {

struct Fixture
{
    MemoryStore memory;
    CheckedStore checked{memory};
    StoreServer storeServer{checked, memory};
    HttpObjectStore store = storeServer.client();
    HttpObjectStore system = storeServer.client(true);

    std::uint64_t revision() { return memory.list({})->position.revision(); }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(dangling_reference_is_refused_and_nothing_is_written, Fixture)
{
    const auto refused = store.put(makeKey("k", "nobody"), MustNotExist{});
    BOOST_REQUIRE(!refused);
    BOOST_TEST((refused.error().code == ErrorCode::DanglingReference));
    BOOST_TEST(refused.error().path == "Key/k: spec.account");
    BOOST_TEST(revision() == 0);
    BOOST_REQUIRE(store.put(makeAccount("a"), MustNotExist{}));
    BOOST_TEST(store.put(makeKey("k", "a"), MustNotExist{}).has_value());
}

BOOST_FIXTURE_TEST_CASE(key_with_a_duplicate_secret_is_refused, Fixture)
{
    BOOST_REQUIRE(store.put(makeAccount("a"), MustNotExist{}));
    BOOST_REQUIRE(store.put(makeKey("k1", "a", 'b'), MustNotExist{}));
    BOOST_TEST((store.put(makeKey("a0", "a", 'b'), MustNotExist{}).error().code == ErrorCode::Duplicate));
    BOOST_TEST(revision() == 2);
}

BOOST_FIXTURE_TEST_CASE(removal_of_a_referenced_object_is_refused, Fixture)
{
    BOOST_REQUIRE(store.put(makeAccount("a"), MustNotExist{}));
    const auto key = store.put(makeKey("k", "a"), MustNotExist{});
    BOOST_REQUIRE(key);
    const auto refused = store.remove(Kind::ClientAccount, "a", {1});
    BOOST_REQUIRE(!refused);
    BOOST_TEST((refused.error().code == ErrorCode::DanglingReference));
    BOOST_TEST(refused.error().path == "Key/k: spec.account");
    BOOST_TEST(revision() == 2);
    BOOST_REQUIRE(store.remove(Kind::Key, "k", {key->version}));
    BOOST_TEST(store.remove(Kind::ClientAccount, "a", {1}).has_value());
}

BOOST_FIXTURE_TEST_CASE(invalid_object_does_not_block_writes_of_other_objects, Fixture)
{
    BOOST_REQUIRE(memory.put(makeKey("stray", "gone"), MustNotExist{}));
    BOOST_TEST(store.put(makeAccount("a"), MustNotExist{}).has_value());
    BOOST_TEST((store.put(makeKey("stray", "gone"), MustHaveVersion{1}).error().code == ErrorCode::DanglingReference));
    BOOST_TEST(store.put(makeKey("stray", "a"), MustHaveVersion{1}).has_value());
}

BOOST_FIXTURE_TEST_CASE(system_kinds_are_read_only_for_operators, Fixture)
{
    const Object grant{.name = "a", .spec = QuotaGrant{.shares = {QuotaShare{.holder = {"vm-1"}, .limits = {1, 1}}}}};
    const Object record{.name = "vm-1", .spec = VmRecord{.peers = {"10.0.0.1", 80}, .failureDomain = {"fd-a"}}};
    for (const Object &it : {grant, record}) {
        BOOST_TEST((store.put(it, MustNotExist{}).error().code == ErrorCode::NotAllowed));
        const auto written = system.put(it, MustNotExist{});
        BOOST_REQUIRE(written);
        BOOST_TEST((store.get(it.kind(), it.name)->object == *written));
        BOOST_TEST((store.remove(it.kind(), it.name, {written->version}).error().code == ErrorCode::NotAllowed));
        BOOST_TEST((store.putStatus(it.kind(), it.name, "{}").error().code == ErrorCode::NotAllowed));
    }
    BOOST_TEST(revision() == 2);
}

BOOST_FIXTURE_TEST_CASE(write_with_a_lost_response_is_verified_before_the_operator_gets_a_reply, Fixture)
{
    memory.setFaults({.lostResponses = 1});
    const auto written = store.put(makeAccount("a"), MustNotExist{});
    BOOST_REQUIRE_MESSAGE(written, errorText(written));
    memory.setFaults({.lostResponses = 1});
    BOOST_TEST(store.remove(Kind::ClientAccount, "a", {written->version}).has_value());
}

BOOST_FIXTURE_TEST_CASE(write_to_an_unavailable_store_is_reported_as_not_executed, Fixture)
{
    memory.setFaults({.isDown = true});
    BOOST_TEST((store.put(makeAccount("a"), MustNotExist{}).error().code == ErrorCode::Unavailable));
}

BOOST_FIXTURE_TEST_CASE(withdrawn_key_cannot_be_reactivated, Fixture)
{
    BOOST_REQUIRE(store.put(makeAccount("a"), MustNotExist{}));
    const auto key = store.put(makeKey("k", "a"), MustNotExist{});
    BOOST_REQUIRE(key);
    const auto withdrawn = store.put(makeKey("k", "a", 'a', KeyState::Withdrawn), MustHaveVersion{key->version});
    BOOST_REQUIRE(withdrawn);
    const auto reactivated = store.put(makeKey("k", "a"), MustHaveVersion{withdrawn->version});
    BOOST_REQUIRE(!reactivated);
    BOOST_TEST((reactivated.error().code == ErrorCode::NotAllowed));
    BOOST_TEST(reactivated.error().path == "Key/k: spec.state");
    BOOST_TEST((std::get<Key>(store.get(Kind::Key, "k")->object.spec).state == KeyState::Withdrawn));
    BOOST_TEST(store.put(makeKey("k", "a", 'c'), MustHaveVersion{withdrawn->version}).has_value());
}
