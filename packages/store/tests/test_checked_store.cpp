#include "store_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;

namespace {

struct Fixture
{
    MemoryStore memory;
    CheckedStore checked{memory};
    ServedStore served{checked, memory};
    HttpObjectStore store = served.client();
    HttpObjectStore system = served.client(true);

    std::uint64_t revision() { return memory.list({})->revision; }
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

BOOST_FIXTURE_TEST_CASE(second_claim_is_refused, Fixture)
{
    BOOST_REQUIRE(store.put(makeAccount("a"), MustNotExist{}));
    BOOST_REQUIRE(store.put(makeKey("k1", "a", 'b'), MustNotExist{}));
    BOOST_TEST((store.put(makeKey("a0", "a", 'b'), MustNotExist{}).error().code == ErrorCode::Duplicate));
    BOOST_TEST(revision() == 2);
}

BOOST_FIXTURE_TEST_CASE(object_that_others_refer_to_stays, Fixture)
{
    BOOST_REQUIRE(store.put(makeAccount("a"), MustNotExist{}));
    const auto key = store.put(makeKey("k", "a"), MustNotExist{});
    BOOST_REQUIRE(key);
    const auto refused = store.remove(Kind::ClientAccount, "a", 1);
    BOOST_REQUIRE(!refused);
    BOOST_TEST((refused.error().code == ErrorCode::DanglingReference));
    BOOST_TEST(refused.error().path == "Key/k: spec.account");
    BOOST_TEST(revision() == 2);
    BOOST_REQUIRE(store.remove(Kind::Key, "k", key->version));
    BOOST_TEST(store.remove(Kind::ClientAccount, "a", 1).has_value());
}

BOOST_FIXTURE_TEST_CASE(fault_of_another_object_holds_up_nobody, Fixture)
{
    BOOST_REQUIRE(memory.put(makeKey("stray", "gone"), MustNotExist{}));
    BOOST_TEST(store.put(makeAccount("a"), MustNotExist{}).has_value());
    BOOST_TEST((store.put(makeKey("stray", "gone"), MustHaveVersion{1}).error().code == ErrorCode::DanglingReference));
    BOOST_TEST(store.put(makeKey("stray", "a"), MustHaveVersion{1}).has_value());
}

BOOST_FIXTURE_TEST_CASE(systems_own_kinds_are_read_only_for_operators, Fixture)
{
    const Object grant{.name = "a", .spec = QuotaGrant{.shares = {QuotaShare{.holder = {"vm-1"}, .limits = {1, 1}}}}};
    const Object record{.name = "vm-1", .spec = VmRecord{.peers = {"10.0.0.1", 80}, .failureDomain = {"fd-a"}}};
    for (const Object &it : {grant, record}) {
        BOOST_TEST((store.put(it, MustNotExist{}).error().code == ErrorCode::NotAllowed));
        const auto written = system.put(it, MustNotExist{});
        BOOST_REQUIRE(written);
        BOOST_TEST((*store.get(it.kind(), it.name) == *written));
        BOOST_TEST((store.remove(it.kind(), it.name, written->version).error().code == ErrorCode::NotAllowed));
        BOOST_TEST((store.putStatus(it.kind(), it.name, "{}").error().code == ErrorCode::NotAllowed));
    }
    BOOST_TEST(revision() == 2);
}

BOOST_FIXTURE_TEST_CASE(lost_answers_of_the_store_are_proved_before_the_operator_is_told, Fixture)
{
    memory.setFaults({.lostResponses = 1});
    const auto written = store.put(makeAccount("a"), MustNotExist{});
    BOOST_REQUIRE_MESSAGE(written, problemOf(written));
    memory.setFaults({.lostResponses = 1});
    BOOST_TEST(store.remove(Kind::ClientAccount, "a", written->version).has_value());
}

BOOST_FIXTURE_TEST_CASE(store_that_is_down_means_not_done, Fixture)
{
    memory.setFaults({.isDown = true});
    BOOST_TEST((store.put(makeAccount("a"), MustNotExist{}).error().code == ErrorCode::Unavailable));
}

BOOST_FIXTURE_TEST_CASE(withdrawn_key_stays_withdrawn, Fixture)
{
    BOOST_REQUIRE(store.put(makeAccount("a"), MustNotExist{}));
    const auto key = store.put(makeKey("k", "a"), MustNotExist{});
    BOOST_REQUIRE(key);
    const auto withdrawn = store.put(makeKey("k", "a", 'a', KeyState::Withdrawn), MustHaveVersion{key->version});
    BOOST_REQUIRE(withdrawn);
    const auto revived = store.put(makeKey("k", "a"), MustHaveVersion{withdrawn->version});
    BOOST_REQUIRE(!revived);
    BOOST_TEST((revived.error().code == ErrorCode::NotAllowed));
    BOOST_TEST(revived.error().path == "Key/k: spec.state");
    BOOST_TEST((std::get<Key>(store.get(Kind::Key, "k")->spec).state == KeyState::Withdrawn));
    BOOST_TEST(store.put(makeKey("k", "a", 'c'), MustHaveVersion{withdrawn->version}).has_value());
}
