// Which Vms take callers.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <pollenspoke/policy.h>

using namespace Pollenspoke;

namespace {

// `n` Vms in turn over the failure domains, registered after those that are there.
void addVms(std::vector<RegisteredVm> &vms, std::size_t n, std::size_t domains, std::uint32_t millicores)
{
    vms.reserve(vms.size() + n);
    for (std::size_t i = 0; i < n; ++i) {
        const std::uint64_t number = vms.size() + 1;
        vms.push_back({.name = {"vm-" + std::to_string(number)},
                       .failureDomain = {"fd-" + std::to_string(i % domains)},
                       .registeredAt = number,
                       .millicores = millicores});
    }
}

std::vector<VmName> sorted(std::vector<VmName> names)
{
    std::sort(names.begin(), names.end());
    return names;
}

std::vector<VmName> namesOf(const std::vector<RegisteredVm> &vms)
{
    std::vector<VmName> names;
    names.reserve(vms.size());
    for (const RegisteredVm &it : vms) {
        names.push_back(it.name);
    }
    return names;
}

} // namespace

BOOST_AUTO_TEST_CASE(earlier_registrations_keep_their_seats)
{
    std::vector<RegisteredVm> vms;
    addVms(vms, 40, 4, 200);
    const std::vector<VmName> before = assignSeats(vms);
    BOOST_TEST(before.size() == 8U);
    vms.push_back({.name = {"a-late-one"}, .failureDomain = {"fd-0"}, .registeredAt = 99, .millicores = 200});
    BOOST_TEST((assignSeats(vms) == before));
}

// Pattern: a large fleet of mostly weak Vms, many accounts of small rate: with a seat for every fourth Vm each held so small
// a part of an account's tokens that one request in fifteen inside the rate was refused (lbl-gateway-grown, quiet-1).
BOOST_AUTO_TEST_CASE(a_few_strong_vms_hold_the_seats_of_a_large_fleet_although_they_register_last)
{
    std::vector<RegisteredVm> vms;
    addVms(vms, 116, 4, 100);
    std::vector<RegisteredVm> strong;
    addVms(vms, 8, 4, 500);
    std::copy(vms.end() - 8, vms.end(), std::back_inserter(strong));
    BOOST_TEST((sorted(assignSeats(vms)) == sorted(namesOf(strong))));
    addVms(vms, 15, 4, 100);
    BOOST_TEST((sorted(assignSeats(vms)) == sorted(namesOf(strong))));
}

BOOST_AUTO_TEST_CASE(every_failure_domain_has_two_seats)
{
    std::vector<RegisteredVm> vms;
    addVms(vms, 50, 5, 200);
    BOOST_TEST(assignSeats(vms).size() == 10U);
}

BOOST_AUTO_TEST_CASE(seats_of_a_large_fleet_of_equal_vms_have_a_fifth_of_its_processors)
{
    std::vector<RegisteredVm> vms;
    addVms(vms, 300, 4, 200);
    BOOST_TEST(assignSeats(vms).size() == 60U);
}

BOOST_AUTO_TEST_CASE(a_fleet_smaller_than_its_seats_gives_one_to_every_vm)
{
    std::vector<RegisteredVm> vms;
    addVms(vms, 3, 2, 200);
    BOOST_TEST((sorted(assignSeats(vms)) == sorted(namesOf(vms))));
    BOOST_TEST(assignSeats({}).empty());
}
