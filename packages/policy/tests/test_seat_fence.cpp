// From when a VM uses a seat that it has gained: two sets of seat holders must not spend the same shares.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <pollenspoke/policy.h>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

const TimePoint start = TimePoint() + 1h;
const StorePosition now7(1, 7);

RegisteredVm makeVm(std::size_t i, std::uint32_t millicores = 100)
{
    return {.name = {"vm-" + std::to_string(i)},
            .failureDomain = {"fd-" + std::to_string(i % 4)},
            .registeredAt = {1, i + 1},
            .millicores = millicores};
}

std::vector<RegisteredVm> makeVms(std::size_t n)
{
    std::vector<RegisteredVm> vms;
    for (std::size_t i = 0; i < n; ++i) {
        vms.push_back(makeVm(i));
    }
    return vms;
}

} // namespace

// Larger VMs were added while the seat holders had lost the store: both sets admitted the same account's allowance.
BOOST_AUTO_TEST_CASE(a_seat_is_used_after_the_vm_that_had_it_has_confirmed)
{
    std::vector<RegisteredVm> vms = makeVms(24);
    vms.push_back(makeVm(100, 500)); // in fd-0; takes the seat of vm-4
    SeatFence fence;
    BOOST_TEST(!fence.mayUseSeat(start));
    fence.update({"vm-100"}, vms, now7, false, start);
    BOOST_TEST((fence.unconfirmed() == std::set<VmName>{{"vm-4"}}));
    BOOST_TEST(!fence.mayUseSeat(start + 20s));
    fence.recordPosition({"vm-4"}, {1, 6}, start + 20s); // it doesn't know yet
    fence.recordPosition({"vm-5"}, {1, 9}, start + 20s);
    BOOST_TEST(!fence.mayUseSeat(start + 25s));
    fence.recordPosition({"vm-4"}, {1, 8}, start + 25s);
    BOOST_TEST(!fence.mayUseSeat(start + 26s)); // it may not have acted on it yet
    BOOST_TEST(fence.mayUseSeat(start + 25s + SeatFence::applyTime));
}

BOOST_AUTO_TEST_CASE(a_seat_is_used_after_the_fence_without_a_confirmation)
{
    std::vector<RegisteredVm> vms = makeVms(24);
    vms.push_back(makeVm(100, 500));
    SeatFence fence;
    fence.update({"vm-100"}, vms, now7, false, start);
    fence.update({"vm-100"}, vms, {1, 9}, false, start + 10s); // later lists don't begin the fence anew
    BOOST_TEST(!fence.mayUseSeat(start + SeatFence::isolationTimeout + 1s));
    BOOST_TEST(fence.mayUseSeat(start + SeatFence::fenceTime));
}

BOOST_AUTO_TEST_CASE(a_vm_whose_seat_adds_to_the_others_waits_for_all_of_them)
{
    std::vector<RegisteredVm> vms = makeVms(4);
    SeatFence fence;
    fence.update({"vm-3"}, vms, now7, false, start);
    BOOST_TEST(fence.unconfirmed().size() == 3U);
    for (const std::string it : {"vm-0", "vm-1", "vm-2"}) {
        BOOST_TEST(!fence.mayUseSeat(start + 10s));
        fence.recordPosition({it}, now7, start + 5s);
    }
    BOOST_TEST(fence.mayUseSeat(start + 10s));
}

// A restarted process takes over the seat of its predecessor, which has ended. A VM that was removed had been silent for long.
BOOST_AUTO_TEST_CASE(nobody_is_waited_for_who_can_not_use_the_seat)
{
    std::vector<RegisteredVm> vms = makeVms(24);
    SeatFence restarted;
    restarted.update({"vm-2"}, vms, now7, true, start);
    BOOST_TEST(restarted.mayUseSeat(start));
    SeatFence only;
    only.update({"vm-0"}, makeVms(1), now7, false, start);
    BOOST_TEST(only.mayUseSeat(start));

    vms.push_back(makeVm(100, 500));
    SeatFence fence;
    fence.update({"vm-100"}, vms, now7, false, start);
    std::erase_if(vms, [](const RegisteredVm &it) { return it.name.value == "vm-4"; });
    fence.update({"vm-100"}, vms, {1, 9}, false, start + 1s);
    BOOST_TEST(fence.mayUseSeat(start + 1s + SeatFence::applyTime));
}

BOOST_AUTO_TEST_CASE(a_vm_that_lost_its_seat_waits_again_when_it_gets_one)
{
    std::vector<RegisteredVm> vms = makeVms(24);
    SeatFence fence;
    fence.update({"vm-4"}, vms, now7, true, start);
    BOOST_TEST(fence.mayUseSeat(start));
    vms.push_back(makeVm(100, 500));
    fence.update({"vm-4"}, vms, {1, 9}, false, start + 1s);
    BOOST_TEST(!fence.mayUseSeat(start + 1s));
    vms.pop_back();
    fence.update({"vm-4"}, vms, {1, 11}, false, start + 2s);
    BOOST_TEST((fence.unconfirmed() == std::set<VmName>{{"vm-8"}}));
    BOOST_TEST(!fence.mayUseSeat(start + 30s));
}

// Any set of VMs that haven't heard of the added ones, and any that have: the seats in use are never more than there are.
BOOST_AUTO_TEST_CASE(seats_in_use_never_exceed_their_number_whoever_has_not_heard)
{
    Generator generator(3);
    for (int round = 0; round < 300; ++round) {
        const std::vector<RegisteredVm> before = makeVms(24);
        std::vector<RegisteredVm> after = before;
        const std::size_t added = 1 + generator() % 4;
        for (std::size_t i = 0; i < added; ++i) {
            after.push_back(makeVm(100 + i, 500));
        }
        std::set<VmName> informed;
        for (const RegisteredVm &it : before) {
            if (generator() % 2 == 0) {
                informed.insert(it.name);
            }
        }
        const std::vector<VmName> oldHolders = assignSeats(before);
        const std::vector<VmName> newHolders = assignSeats(after);
        std::size_t used = 0;
        for (const VmName &it : oldHolders) {
            const bool keeps = std::find(newHolders.begin(), newHolders.end(), it) != newHolders.end();
            used += keeps || !informed.contains(it) ? 1 : 0;
        }
        for (std::size_t i = 0; i < added; ++i) {
            const VmName name{"vm-" + std::to_string(100 + i)};
            SeatFence fence;
            fence.update(name, after, now7, false, start);
            for (const VmName &it : informed) {
                fence.recordPosition(it, now7, start + 1s);
            }
            used += fence.mayUseSeat(start + 10s) ? 1 : 0;
        }
        BOOST_TEST(used <= newHolders.size());
    }
}
