// Declarations and targets in force, also while the store is restored from an older copy.
#include "configuration.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};
const ServiceName service{"stock"};

/// Declarations have a version and the name of the only service; targets a state and a sequence.
class FakeFormat final : public PlatformFormat
{
public:
    std::string declarationsKind() const override { return "declarations"; }
    std::string declarationsName() const override { return "main"; }
    std::string targetsKind() const override { return "targets"; }
    std::string vmsKind() const override { return "vms"; }
    std::string evacuationsKind() const override { return "evacuations"; }

    Result<Declarations> decodeDeclarations(const JsonValue &spec) const override
    {
        const JsonValue *version = spec.find("version");
        const JsonValue *routedService = spec.find("service");
        if (version == nullptr || routedService == nullptr) {
            return tl::unexpected(Error{.code = ErrorCode::MissingField, .path = "declarations", .detail = "is incomplete"});
        }
        const Route route{.host = "stock.example", .pathPrefix = "/", .service = {routedService->text}, .isAnonymous = true};
        return Declarations{.version = static_cast<std::uint64_t>(version->number),
                            .objects = {{.name = service.value, .spec = Service()}, {.name = "r-1", .spec = route}}};
    }

    Result<TargetRecord> decodeTarget(const std::string &name, const JsonValue &spec) const override
    {
        const JsonValue *state = spec.find("state");
        const JsonValue *sequence = spec.find("sequence");
        if (state == nullptr || sequence == nullptr) {
            return tl::unexpected(Error{.code = ErrorCode::MissingField, .path = "target " + name, .detail = "is incomplete"});
        }
        const JsonValue *domain = spec.find("domain");
        const Target target{.name = {name},
                            .address = {.ip = "10.0.0.1", .port = 80},
                            .failureDomain = {domain == nullptr ? std::string() : domain->text},
                            .slots = 2,
                            .state = state->text == "ready" ? TargetState::Serving : TargetState::Leaving};
        const RegistrationNumber number{.startedAtMs = 1790000000000, .sequence = static_cast<std::uint64_t>(sequence->number)};
        return TargetRecord{.entry = {.service = service, .target = target, .number = number}};
    }

    Result<FailureDomain> decodeEvacuation(const std::string &name, const JsonValue & /*spec*/) const override
    {
        if (name.empty()) {
            return tl::unexpected(Error{.code = ErrorCode::OutOfRange, .path = "evacuation", .detail = "has no name"});
        }
        return FailureDomain{name};
    }

    std::string readinessPath() const override { return "/ready"; }
    std::string addressPath() const override { return "/addresses"; }
    FailureDomain decodeAddressQuery(const std::string & /*query*/) const override { return {}; }
    std::string formatAddresses(const std::vector<Address> & /*addresses*/, Duration /*ttl*/) const override { return {}; }
};

StoredDocument makeDeclarations(std::uint64_t version, const std::string &routedService = service.value)
{
    JsonValue spec = JsonValue::makeObject();
    spec.addNumber("version", static_cast<double>(version));
    spec.add("service", routedService);
    return {.name = "main", .spec = spec};
}

StoredDocument makeTarget(const std::string &name, std::uint64_t sequence, const std::string &state = "ready")
{
    JsonValue spec = JsonValue::makeObject();
    spec.add("state", state);
    spec.addNumber("sequence", static_cast<double>(sequence));
    return {.name = name, .spec = spec};
}

StoredDocument makeUnreadable(const std::string &name)
{
    return {.name = name, .spec = JsonValue::makeObject()};
}

StoredDocument makeTargetIn(const std::string &domain, const std::string &name)
{
    StoredDocument document = makeTarget(name, 1);
    document.spec.add("domain", domain);
    return document;
}

StoredDocument makeEvacuation(const std::string &domain, std::uint64_t revision = 1)
{
    return {.name = domain, .revision = revision, .spec = JsonValue::makeObject()};
}

struct Fixture
{
    // Names of the targets in a new snapshot for which the predicate holds.
    template<typename Predicate>
    std::vector<std::string> select(const Predicate &predicate)
    {
        const std::shared_ptr<const Snapshot> snapshot = configuration.buildSnapshotIfChanged(start);
        latest = snapshot ? snapshot : latest;
        std::vector<std::string> names;
        for (const Target &it : latest->findService(service)->targets) {
            if (predicate(it)) {
                names.push_back(it.name.value);
            }
        }
        return names;
    }
    std::vector<std::string> evacuated()
    {
        return select([](const Target &it) { return it.isEvacuated; });
    }
    std::vector<std::string> unknownWarmup()
    {
        return select([](const Target &it) { return it.isWarmupUnknown; });
    }

    std::vector<std::string> servingNames(TimePoint now)
    {
        std::vector<std::string> names;
        const auto targets = configuration.roster().targets(now);
        const auto match = targets.find(service);
        for (const Target &it : match == targets.end() ? std::vector<Target>() : match->second) {
            if (it.state == TargetState::Serving) {
                names.push_back(it.name.value);
            }
        }
        return names;
    }

    FakeFormat format;
    Metrics metrics;
    Configuration configuration{format, metrics};
    std::shared_ptr<const Snapshot> latest;
};

using Names = std::vector<std::string>;

} // namespace

// Guards against a route that is out of force for as long as the restored store lacks the change that added it.
BOOST_FIXTURE_TEST_CASE(declarations_stay_in_force_while_a_restored_store_has_an_older_version, Fixture)
{
    BOOST_TEST(configuration.declarationsVersion() == 0U);
    BOOST_TEST(!configuration.declarationsDocument().has_value());
    configuration.applyDeclarations(makeDeclarations(7));
    configuration.noteStoreRestored(start);
    configuration.applyDeclarations(makeDeclarations(4));
    BOOST_TEST(configuration.declarationsVersion() == 7U);
    BOOST_REQUIRE(configuration.declarationsDocument().has_value());
    BOOST_TEST((configuration.declarationsDocument()->spec == makeDeclarations(7).spec));
}

// Guards against a step back when the operator writes the lost versions again one after the other.
BOOST_FIXTURE_TEST_CASE(versions_that_are_written_again_in_order_do_not_replace_the_newest, Fixture)
{
    configuration.applyDeclarations(makeDeclarations(7));
    configuration.noteStoreRestored(start);
    for (const std::uint64_t it : {4, 5, 6, 7}) {
        configuration.applyDeclarations(makeDeclarations(it));
        BOOST_TEST(configuration.declarationsVersion() == 7U);
    }
    configuration.applyDeclarations(makeDeclarations(9));
    BOOST_TEST(configuration.declarationsVersion() == 9U);
    BOOST_TEST((configuration.declarationsDocument()->spec == makeDeclarations(9).spec));
}

// Guards against content that comes into force only with the next change of a target, at different times on each Vm.
BOOST_FIXTURE_TEST_CASE(other_content_of_the_same_version_is_taken_at_once, Fixture)
{
    configuration.replaceTargets({.position = {1, 1}, .items = {makeTarget("a", 5)}}, start);
    configuration.applyDeclarations(makeDeclarations(7));
    BOOST_TEST((configuration.buildSnapshotIfChanged(start) != nullptr));
    configuration.applyDeclarations(makeDeclarations(7));
    BOOST_TEST((configuration.buildSnapshotIfChanged(start) == nullptr));
    StoredDocument other = makeDeclarations(7);
    other.spec.add("comment", "written again");
    configuration.applyDeclarations(other);
    BOOST_TEST((configuration.buildSnapshotIfChanged(start) != nullptr));
}

// Guards against an alarm for each list of a restored store, and for the same version written again.
BOOST_FIXTURE_TEST_CASE(an_older_version_of_a_restored_store_is_reported_once, Fixture)
{
    configuration.applyDeclarations(makeDeclarations(7));
    configuration.noteStoreRestored(start);
    for (int i = 0; i < 5; ++i) {
        configuration.applyDeclarations(makeDeclarations(4));
    }
    BOOST_TEST(metrics.value(Counter::SnapshotsRefused) == 1U);
    configuration.applyDeclarations(makeDeclarations(7));
    configuration.applyDeclarations(makeDeclarations(4));
    BOOST_TEST(metrics.value(Counter::SnapshotsRefused) == 1U);
    configuration.applyDeclarations(makeDeclarations(9));
    configuration.applyDeclarations(makeDeclarations(4));
    BOOST_TEST(metrics.value(Counter::SnapshotsRefused) == 2U);
}

// Guards against an invalid document that takes the place of valid declarations, whatever its version.
BOOST_FIXTURE_TEST_CASE(invalid_declarations_never_replace_those_in_force, Fixture)
{
    configuration.applyDeclarations(makeDeclarations(7));
    configuration.noteStoreRestored(start);
    configuration.applyDeclarations(makeDeclarations(7, "no-such-service"));
    configuration.applyDeclarations(makeDeclarations(8, "no-such-service"));
    configuration.applyDeclarations(makeUnreadable("main"));
    BOOST_TEST(configuration.declarationsVersion() == 7U);
    BOOST_REQUIRE(configuration.declarationsDocument().has_value());
    BOOST_TEST((configuration.declarationsDocument()->spec == makeDeclarations(7).spec));
    BOOST_TEST(metrics.value(Counter::ObjectsSkipped) == 3U);
}

// Guards against a running target that is dropped because the copy has an unreadable document under its name.
BOOST_FIXTURE_TEST_CASE(an_unreadable_registration_in_a_restored_store_does_not_remove_the_target, Fixture)
{
    configuration.replaceTargets({.items = {makeTarget("a", 5), makeTarget("b", 3)}}, start);
    configuration.noteStoreRestored(start + 10s);
    configuration.replaceTargets({.items = {makeUnreadable("a"), makeTarget("b", 3)}}, start + 10s);
    configuration.applyTargetChange({.document = makeUnreadable("b")}, start + 10s);
    BOOST_TEST((servingNames(start + 12s) == Names{"a", "b"}));
    configuration.applyTargetChange({.document = makeTarget("a", 6)}, start + 12s);
    configuration.applyTargetChange({.document = makeTarget("b", 4)}, start + 12s);
    BOOST_TEST((servingNames(start + 20s) == Names{"a", "b"}));
}

// Guards against requests to targets that left: the list and the changes of a restored store name them as ready.
BOOST_FIXTURE_TEST_CASE(targets_that_left_are_not_used_again_because_a_restored_store_names_them, Fixture)
{
    configuration.replaceTargets({.items = {makeTarget("a", 5), makeTarget("b", 3), makeTarget("c", 1)}}, start);
    configuration.applyTargetChange({.isDeleted = true, .document = {.name = "a"}}, start + 5s);
    configuration.applyTargetChange({.document = makeTarget("b", 4, "draining")}, start + 6s);
    BOOST_TEST((servingNames(start + 6s) == Names{"c"}));
    configuration.noteStoreRestored(start + 10s);
    configuration.replaceTargets({.items = {makeTarget("a", 5), makeTarget("b", 3), makeTarget("c", 1)}}, start + 10s);
    BOOST_TEST((servingNames(start + 10s) == Names{"c"}));
    configuration.applyTargetChange({.document = makeTarget("a", 5)}, start + 11s);
    BOOST_TEST((servingNames(start + 11s) == Names{"c"}));
    BOOST_TEST(configuration.departures(start + 11s).size() == 2U);

    Configuration startedLater(format, metrics);
    startedLater.replaceTargets({.items = {makeTarget("a", 5), makeTarget("b", 3), makeTarget("c", 1)}}, start + 11s);
    startedLater.applyDepartures(configuration.departures(start + 11s), start + 11s);
    BOOST_TEST(startedLater.roster().targets(start + 11s)[service].size() == 1U);
}

// Targets change several times a second while they are replaced; routes, keys and accounts must not be copied and checked each time. On the
// smallest VMs that took the processor from requests.
BOOST_FIXTURE_TEST_CASE(a_change_of_targets_leaves_the_declared_objects_where_they_are, Fixture)
{
    configuration.applyDeclarations(makeDeclarations(1));
    configuration.applyTargetChange({.document = makeTarget("i-1", 1)}, start);
    const std::shared_ptr<const Snapshot> first = configuration.buildSnapshotIfChanged(start);
    BOOST_REQUIRE(first);
    configuration.applyTargetChange({.document = makeTarget("i-2", 1)}, start);
    const std::shared_ptr<const Snapshot> second = configuration.buildSnapshotIfChanged(start);
    BOOST_REQUIRE(second);
    BOOST_TEST(second->revision() > first->revision());
    BOOST_TEST(first->findService(service)->targets.size() == 1U);
    BOOST_TEST(second->findService(service)->targets.size() == 2U);
    BOOST_TEST(first->findRoutes("stock.example", "/x").front().route == second->findRoutes("stock.example", "/x").front().route);
    configuration.applyDeclarations(makeDeclarations(2));
    const std::shared_ptr<const Snapshot> third = configuration.buildSnapshotIfChanged(start);
    BOOST_REQUIRE(third);
    BOOST_TEST(third->findService(service)->targets.size() == 2U);
    BOOST_TEST(second->findRoutes("stock.example", "/x").front().route != third->findRoutes("stock.example", "/x").front().route);
}

struct EvacuationFixture : Fixture
{
    EvacuationFixture()
    {
        configuration.applyDeclarations(makeDeclarations(1));
        configuration.replaceTargets({.position = {1, 10}, .items = {makeTargetIn("fd-a", "a"), makeTargetIn("fd-b", "b")}}, start);
    }
};

// Guards against an evacuation without effect on the snapshot, one that takes other domains with it, and one that doesn't end.
BOOST_FIXTURE_TEST_CASE(targets_of_evacuated_domains_are_marked_until_their_return, EvacuationFixture)
{
    BOOST_TEST(!configuration.hasEvacuations());
    configuration.replaceEvacuations({.position = {1, 5}}, start);
    BOOST_TEST(configuration.hasEvacuations());
    BOOST_TEST(evacuated().empty());
    configuration.applyEvacuationChange({.document = makeEvacuation("fd-a", 11), .position = {1, 11}}, start);
    BOOST_TEST((evacuated() == Names{"a"}));
    BOOST_TEST(metrics.value(Gauge::EvacuatedDomains) == 1);
    configuration.applyEvacuationChange({.document = makeEvacuation("fd-a", 12), .position = {1, 12}}, start); // written again
    configuration.applyEvacuationChange({.document = makeEvacuation("fd-b", 13), .position = {1, 13}}, start);
    BOOST_TEST((evacuated() == Names{"a", "b"}));
    configuration.applyEvacuationChange({.isDeleted = true, .document = makeEvacuation("fd-a"), .position = {1, 14}}, start);
    BOOST_TEST((evacuated() == Names{"b"}));
    configuration.applyEvacuationChange({.isDeleted = true, .document = makeEvacuation("fd-a"), .position = {1, 14}}, start);
    BOOST_TEST(metrics.value(Gauge::EvacuatedDomains) == 1);
    configuration.replaceTargets({.position = {1, 15}, .items = {makeTargetIn("fd-a", "a"), makeTargetIn("fd-b", "c")}}, start);
    BOOST_TEST((evacuated() == Names{"c"})); // it registered inside the evacuation
}

// Guards against an evacuation that goes on after the store dropped its history, or is lost with it.
BOOST_FIXTURE_TEST_CASE(a_new_list_replaces_the_evacuations, EvacuationFixture)
{
    configuration.replaceEvacuations({.position = {1, 5}, .items = {makeEvacuation("fd-a")}}, start);
    BOOST_TEST((evacuated() == Names{"a"}));
    configuration.replaceEvacuations({.position = {1, 20}, .items = {makeEvacuation("fd-a"), makeEvacuation("fd-b", 18)}}, start);
    BOOST_TEST((evacuated() == Names{"a", "b"}));
    configuration.replaceEvacuations({.position = {1, 30}, .items = {makeEvacuation("fd-b", 18)}}, start);
    BOOST_TEST((evacuated() == Names{"b"}));
    configuration.replaceEvacuations({.position = {2, 3}}, start);
    BOOST_TEST(evacuated().empty());
}

// Guards against an unreadable entry that hides the others.
BOOST_FIXTURE_TEST_CASE(an_unreadable_evacuation_is_skipped_and_counted, EvacuationFixture)
{
    configuration.replaceEvacuations({.position = {1, 5}, .items = {makeEvacuation(""), makeEvacuation("fd-b")}}, start);
    BOOST_TEST((evacuated() == Names{"b"}));
    BOOST_TEST(metrics.value(Counter::ObjectsSkipped) == 1U);
    configuration.applyEvacuationChange({.document = makeEvacuation("", 6), .position = {1, 6}}, start);
    configuration.applyEvacuationChange({.isDeleted = true, .document = makeEvacuation("", 7), .position = {1, 7}}, start);
    BOOST_TEST((evacuated() == Names{"b"}));
    BOOST_TEST(metrics.value(Counter::ObjectsSkipped) == 2U);
}

// Guards against a burst at targets that became cold shortly before the evacuation ended, when their registrations are on their way.
BOOST_FIXTURE_TEST_CASE(the_warm_up_is_unknown_until_the_registrations_are_as_new_as_the_end_of_the_evacuation, EvacuationFixture)
{
    configuration.replaceEvacuations({.position = {1, 9}}, start);
    configuration.applyEvacuationChange({.document = makeEvacuation("fd-a", 11), .position = {1, 11}}, start);
    BOOST_TEST(unknownWarmup().empty());
    configuration.applyEvacuationChange({.isDeleted = true, .document = makeEvacuation("fd-a"), .position = {1, 20}}, start);
    BOOST_TEST((unknownWarmup() == Names{"a"}));
    BOOST_TEST(!configuration.noteTargetsKnown({1, 19}));
    BOOST_TEST((unknownWarmup() == Names{"a"}));
    BOOST_TEST(configuration.noteTargetsKnown({1, 20}));
    BOOST_TEST(unknownWarmup().empty());
    BOOST_TEST(!configuration.noteTargetsKnown({1, 21}));
}

// Guards against a Vm that starts, or lists again, after the end of an evacuation of which it never knew, with older registrations.
BOOST_FIXTURE_TEST_CASE(the_warm_up_is_unknown_while_the_registrations_are_older_than_the_list_of_evacuations, EvacuationFixture)
{
    configuration.replaceEvacuations({.position = {1, 12}, .items = {makeEvacuation("fd-b")}}, start);
    BOOST_TEST((unknownWarmup() == Names{"a"}));
    BOOST_TEST(configuration.noteTargetsKnown({1, 12}));
    BOOST_TEST(unknownWarmup().empty());
    configuration.replaceEvacuations({.position = {2, 1}, .items = {makeEvacuation("fd-b")}}, start);
    BOOST_TEST((unknownWarmup() == Names{"a"}));
    configuration.replaceTargets({.position = {2, 1}, .items = {makeTargetIn("fd-a", "a")}}, start);
    BOOST_TEST(unknownWarmup().empty());
}
