#include <boost/test/unit_test.hpp>
#include <pollenspoke/resources.h>

using namespace Pollenspoke;

namespace {

const std::string hash(64, 'a');

const std::string valid = R"(
kind: ClientAccount
name: shop-1
spec: {state: active, limits: {rate_per_s: 50, burst: 100}, weight: 1}
---
kind: Key
name: shop-1-k1
spec: {account: shop-1, sha256: ")"
    + hash + R"(", state: active}
---
kind: Service
name: kho-ton
spec:
  targets: [{name: t1, address: "127.0.0.1:9101", failure_domain: fd-a, slots: 2, state: serving}]
  floor_percent: 60
  detection: {preset: fast}
---
kind: Route
name: stock
spec: {match: {path_prefix: /stock}, service: kho-ton, state: open, accounts: [shop-1], deadline_ms: 2000}
)";

Error errorOf(const std::string &yaml)
{
    const Result<std::vector<Object>> objects = parseYaml(yaml, "f.yaml");
    BOOST_REQUIRE(!objects);
    return objects.error();
}

} // namespace

BOOST_AUTO_TEST_CASE(one_object_of_each_declared_kind_is_parsed)
{
    const auto objects = parseYaml(valid, "f.yaml");
    BOOST_REQUIRE(objects);
    BOOST_TEST(objects->size() == 4);
    const auto snapshot = Snapshot::build(*objects, 7);
    BOOST_REQUIRE(snapshot);
    const std::optional<KeyMatch> match = (*snapshot)->findKey(hash);
    BOOST_TEST(match.value().name.value == "shop-1-k1");
    BOOST_TEST((*snapshot)->findAccount(AccountName{"shop-1"})->limits.burst == 100);
    BOOST_TEST((*snapshot)->findService(ServiceName{"kho-ton"})->targets.front().slots == 2);
}

BOOST_AUTO_TEST_CASE(json_round_trip_keeps_every_object)
{
    const auto objects = parseYaml(valid, "f.yaml");
    BOOST_REQUIRE(objects);
    for (const Object &it : *objects) {
        const auto back = parseJson(toJson(it));
        BOOST_REQUIRE_MESSAGE(back.has_value(), (back ? "" : describe(back.error())) + " in " + toJson(it));
        BOOST_TEST((*back == it), toJson(it));
    }
}

BOOST_AUTO_TEST_CASE(errors_name_the_field)
{
    const std::string head = "kind: ClientAccount\nname: a\nspec: ";
    BOOST_TEST(errorOf(head + "{limits: {rate_per_s: 0, burst: 1}}").path == "f.yaml#1: spec.limits.rate_per_s");
    BOOST_TEST((errorOf(head + "{limits: {rate_per_s: 1}}").code == ErrorCode::MissingField));
    BOOST_TEST((errorOf(head + "{limits: {rate_per_s: x, burst: 1}}").code == ErrorCode::WrongType));
    BOOST_TEST((errorOf(head + "{limits: {rate_per_s: 1, burst: 1}, colour: red}").code == ErrorCode::UnknownField));
    BOOST_TEST((errorOf(head + "{limits: {rate_per_s: 1, burst: 1}, weight: 1.5}").code == ErrorCode::OutOfRange));
    BOOST_TEST((errorOf(head + "{limits: {rate_per_s: 1, rate_per_s: 2, burst: 1}}").code == ErrorCode::Duplicate));
    BOOST_TEST((errorOf("kind: [").code == ErrorCode::InvalidSyntax));
}

BOOST_AUTO_TEST_CASE(dangling_references_are_refused)
{
    const auto objects = parseYaml("kind: Key\nname: k\nspec: {account: nobody, sha256: \"" + hash + "\"}", "f.yaml");
    BOOST_REQUIRE(objects);
    const auto snapshot = Snapshot::build(*objects, 1);
    BOOST_REQUIRE(!snapshot);
    BOOST_TEST((snapshot.error().code == ErrorCode::DanglingReference));
}

BOOST_AUTO_TEST_CASE(prefixes_match_only_at_segment_boundaries)
{
    const auto objects = parseYaml(valid, "f.yaml");
    const auto snapshot = Snapshot::build(*objects, 1);
    BOOST_REQUIRE(snapshot);
    BOOST_TEST((*snapshot)->findRoutes("any.example", "/stock").size() == 1);
    BOOST_TEST((*snapshot)->findRoutes("any.example", "/stock/bolts/m8").size() == 1);
    BOOST_TEST((*snapshot)->findRoutes("any.example", "/stockroom").size() == 0);
    BOOST_TEST((*snapshot)->findRoutes("any.example", "/").size() == 0);
}

BOOST_AUTO_TEST_CASE(route_with_host_split_and_trailing_slash_is_matched)
{
    const std::string routes = valid + R"(---
kind: Route
name: counter
spec: {match: {host: counter.example, path_prefix: /stock/}, split: [{service: kho-ton, weight: 3}], anonymous: true, priority: 0, objective_ms: 600}
)";
    const auto objects = parseYaml(routes, "f.yaml");
    BOOST_REQUIRE_MESSAGE(objects.has_value(), (objects ? "" : describe(objects.error())));
    const auto snapshot = Snapshot::build(*objects, 1);
    BOOST_REQUIRE(snapshot);
    const auto name = [&](std::string_view host, std::string_view path) { return (*snapshot)->findRoutes(host, path).at(0).name.value; };
    BOOST_TEST(name("counter.example", "/stock/bolts") == "counter");
    BOOST_TEST(name("counter.example", "/stock") == "stock");
    BOOST_TEST(name("other.example", "/stock/bolts") == "stock");
    const Route &route = *(*snapshot)->findRoutes("counter.example", "/stock/bolts").at(0).route;
    BOOST_TEST(route.split.at(0).weight == 3);
    BOOST_TEST(route.isAnonymous);
    for (const Object &it : *objects) {
        BOOST_TEST((parseJson(toJson(it)).value() == it), toJson(it));
    }
}
