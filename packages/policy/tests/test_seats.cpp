// Assignment of seats: the Vms that callers are sent to and that hold the rate limit tokens.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <pollenspoke/policy.h>

using namespace Pollenspoke;

namespace {

// Appends `n` Vms, round-robin over the failure domains, registered after the existing ones.
void addVms(std::vector<RegisteredVm> &vms, std::size_t n, std::size_t domainCount, std::uint32_t millicores)
{
    vms.reserve(vms.size() + n);
    for (std::size_t i = 0; i < n; ++i) {
        const std::uint64_t number = vms.size() + 1;
        vms.push_back({.name = {"vm-" + std::to_string(number)},
                       .failureDomain = {"fd-" + std::to_string(i % domainCount)},
                       .registeredAt = {1, number},
                       .millicores = millicores});
    }
}

std::vector<VmName> sortedNames(std::vector<VmName> names)
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
    vms.push_back({.name = {"a-late-one"}, .failureDomain = {"fd-0"}, .registeredAt = {1, 99}, .millicores = 200});
    BOOST_TEST((assignSeats(vms) == before));
}

// Guards against too many seats in a large fleet of mostly small Vms: with a seat for every fourth Vm, each held so small a part
// of an account's tokens that one request in fifteen within the rate was refused, for many accounts of low rate.
BOOST_AUTO_TEST_CASE(a_few_strong_vms_hold_the_seats_of_a_large_fleet_although_they_register_last)
{
    std::vector<RegisteredVm> vms;
    addVms(vms, 116, 4, 100);
    std::vector<RegisteredVm> strongVms;
    addVms(vms, 8, 4, 500);
    std::copy(vms.end() - 8, vms.end(), std::back_inserter(strongVms));
    BOOST_TEST((sortedNames(assignSeats(vms)) == sortedNames(namesOf(strongVms))));
    addVms(vms, 15, 4, 100);
    BOOST_TEST((sortedNames(assignSeats(vms)) == sortedNames(namesOf(strongVms))));
}

BOOST_AUTO_TEST_CASE(every_failure_domain_has_two_seats)
{
    std::vector<RegisteredVm> vms;
    addVms(vms, 50, 5, 200);
    BOOST_TEST(assignSeats(vms).size() == 10U);
}

BOOST_AUTO_TEST_CASE(seat_holders_of_a_large_fleet_of_equal_vms_have_a_fifth_of_its_cpu_capacity)
{
    std::vector<RegisteredVm> vms;
    addVms(vms, 300, 4, 200);
    BOOST_TEST(assignSeats(vms).size() == 60U);
}

BOOST_AUTO_TEST_CASE(every_vm_of_a_fleet_smaller_than_its_seat_count_gets_a_seat)
{
    std::vector<RegisteredVm> vms;
    addVms(vms, 3, 2, 200);
    BOOST_TEST((sortedNames(assignSeats(vms)) == sortedNames(namesOf(vms))));
    BOOST_TEST(assignSeats({}).empty());
}
