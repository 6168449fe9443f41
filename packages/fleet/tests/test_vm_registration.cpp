// Registrations of Vms in the store, also those of programs of other versions.
#include "vm_registration.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;

namespace {

VmRegistration makeRegistration()
{
    return {.callers = {.ip = "10.1.0.30", .port = 8782},
            .peers = {.ip = "10.1.0.30", .port = 7340},
            .failureDomain = {"fd-a"},
            .millicores = 500,
            .linkMbps = 200,
            .memoryMb = 512,
            .descriptors = 8192};
}

JsonValue parse(const std::string &text)
{
    JsonValue value;
    std::string problem;
    BOOST_REQUIRE_MESSAGE(parseJsonText(text, value, problem), problem);
    return value;
}

// As earlier versions write it.
const std::string oldRegistration = R"({"callers":"10.1.0.30:8782","peers":"10.1.0.30:7340","failure_domain":"fd-a","millicores":500,)"
                                    R"("joined_era":1,"joined_revision":7,"seat_claim":"held","seat_used_era":1,"seat_used_revision":9)";

} // namespace

// A difference after a restart would cost a write for each restart.
BOOST_AUTO_TEST_CASE(a_registration_is_the_same_after_the_store_returned_it)
{
    const SeatRecord seat{.claim = SeatClaim::Contested, .usedAt = {2, 17}};
    const JsonValue spec = parse(formatJsonText(encodeRegistration(makeRegistration(), {2, 11}, seat)));
    BOOST_TEST((decodeRegistration(spec) == makeRegistration()));
    BOOST_TEST((decodeSeatRecord(spec) == seat));
    BOOST_TEST((decodeJoinedAt({.name = "vm-1", .revision = 20, .created = 20, .spec = spec}) == StorePosition(2, 11)));
}

// The small Vms of an older program must not lose their callers to a single newer one.
BOOST_AUTO_TEST_CASE(a_registration_of_an_earlier_version_has_unknown_link_memory_and_descriptors)
{
    VmRegistration expected = makeRegistration();
    expected.linkMbps = 0;
    expected.memoryMb = 0;
    expected.descriptors = 0;
    const auto decoded = decodeRegistration(parse(oldRegistration + "}"));
    BOOST_TEST((decoded == expected));
    BOOST_TEST((expected != makeRegistration())); // so the Vm writes it again
    // A Vm of an earlier version that writes a claim drops the fields; the Vm concerned must not take that for another process.
    BOOST_TEST(isSameVm(*decoded, makeRegistration()));
}

BOOST_AUTO_TEST_CASE(a_vm_of_other_addresses_domain_or_processor_is_another_one)
{
    for (const auto &change : std::vector<std::function<void(VmRegistration &)>>{
             [](VmRegistration &it) { it.callers.port = 1; },
             [](VmRegistration &it) { it.peers.port = 1; },
             [](VmRegistration &it) { it.failureDomain = {"fd-b"}; },
             [](VmRegistration &it) { it.millicores = 100; },
         }) {
        VmRegistration other = makeRegistration();
        change(other);
        BOOST_TEST(!isSameVm(other, makeRegistration()));
    }
}

BOOST_AUTO_TEST_CASE(unknown_quantities_are_not_written)
{
    VmRegistration registration = makeRegistration();
    registration.linkMbps = 0;
    const JsonValue spec = encodeRegistration(registration, {1, 7}, {});
    BOOST_TEST(spec.find("link_mbps") == nullptr);
    BOOST_TEST(spec.find("memory_mb") != nullptr);
}

BOOST_AUTO_TEST_CASE(implausible_quantities_count_as_unknown)
{
    for (const char *it : {"-1", "1e12", "\"200\"", "null", "[200]"}) {
        const std::string text = oldRegistration + ",\"link_mbps\":" + it + ",\"memory_mb\":" + it + ",\"descriptors\":" + it + "}";
        const auto decoded = decodeRegistration(parse(text));
        BOOST_REQUIRE_MESSAGE(decoded, it);
        BOOST_TEST((decoded == decodeRegistration(parse(oldRegistration + "}"))), it);
    }
}
