// Which seat holders of a failure domain callers are sent to.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <pollenspoke/policy.h>

using namespace Pollenspoke;

namespace {

VmCapacity makeLarge(const std::string &name)
{
    return {.vm = {name}, .millicores = 500, .linkMbps = 200, .memoryMb = 512, .descriptors = 8192};
}

VmCapacity makeSmall(const std::string &name)
{
    return {.vm = {name}, .millicores = 70, .linkMbps = 10, .memoryMb = 112, .descriptors = 2870};
}

std::vector<VmName> names(const std::vector<std::string> &texts)
{
    std::vector<VmName> result;
    result.reserve(texts.size());
    for (const std::string &it : texts) {
        result.push_back({it});
    }
    return result;
}

} // namespace

// Pattern: 165 Vms with 8 seats. Two of the holders had 10 Mbit/s and got the same share of callers as those with 200; they caused most of
// the failed connections and of the requests without an answer in time.
BOOST_AUTO_TEST_CASE(vms_with_a_twentieth_of_the_link_get_no_callers_beside_two_large_ones)
{
    BOOST_TEST((selectByCapacity({makeSmall("s-1"), makeLarge("l-1"), makeSmall("s-2"), makeLarge("l-2")}) == names({"l-1", "l-2"})));
}

// The caller of the function decides what to do with a single strong Vm; half of the callers would be too many for a small one.
BOOST_AUTO_TEST_CASE(a_single_large_vm_does_not_make_the_small_ones_strong)
{
    BOOST_TEST((selectByCapacity({makeLarge("l-1"), makeSmall("s-1"), makeSmall("s-2")}) == names({"l-1"})));
}

BOOST_AUTO_TEST_CASE(the_small_vms_serve_when_the_large_ones_are_lost_one_after_the_other)
{
    std::vector<VmCapacity> live{makeLarge("l-1"), makeLarge("l-2"), makeLarge("l-3"), makeSmall("s-1"), makeSmall("s-2")};
    const std::vector<std::vector<std::string>> expected{{"l-1", "l-2", "l-3"}, {"l-2", "l-3"}, {"l-3"}, {"s-1", "s-2"}, {"s-2"}, {}};
    for (const auto &it : expected) {
        BOOST_TEST((selectByCapacity(live) == names(it)));
        if (!live.empty()) {
            live.erase(live.begin());
        }
    }
}

BOOST_AUTO_TEST_CASE(equal_vms_all_get_callers)
{
    BOOST_TEST((selectByCapacity({makeSmall("a"), makeSmall("b"), makeSmall("c")}) == names({"a", "b", "c"})));
    BOOST_TEST((selectByCapacity({makeLarge("a"), makeLarge("b"), makeLarge("c")}) == names({"a", "b", "c"})));
}

// During an update, most registrations don't state their link yet.
BOOST_AUTO_TEST_CASE(unknown_capacity_counts_as_large)
{
    const VmCapacity unknown{.vm = {"u"}, .millicores = 500};
    BOOST_TEST((selectByCapacity({unknown, makeLarge("l"), makeSmall("s")}) == names({"u", "l"})));
    BOOST_TEST((selectByCapacity({{.vm = {"a"}}, {.vm = {"b"}}}) == names({"a", "b"})));
}

// Each resource alone makes a Vm weak, and a quarter is enough.
BOOST_AUTO_TEST_CASE(the_scarcest_resource_decides)
{
    for (const auto resource : {&VmCapacity::millicores, &VmCapacity::linkMbps, &VmCapacity::memoryMb, &VmCapacity::descriptors}) {
        VmCapacity vm = makeLarge("x");
        vm.*resource = vm.*resource / 4;
        BOOST_TEST((selectByCapacity({makeLarge("a"), makeLarge("b"), vm}) == names({"a", "b", "x"})));
        vm.*resource -= 1;
        BOOST_TEST((selectByCapacity({makeLarge("a"), makeLarge("b"), vm}) == names({"a", "b"})));
    }
}

// Neither has the largest of everything; compared with the largest values alone, both would be too weak.
BOOST_AUTO_TEST_CASE(vms_that_lack_different_resources_are_compared_with_each_other)
{
    const VmCapacity manyCores{.vm = {"a"}, .millicores = 1000, .linkMbps = 10};
    const VmCapacity wideLink{.vm = {"b"}, .millicores = 100, .linkMbps = 100};
    BOOST_TEST((selectByCapacity({manyCores, wideLink}) == names({"a", "b"})));
}
