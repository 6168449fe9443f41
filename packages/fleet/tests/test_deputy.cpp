// When a Vm without a seat watches the store for the seat holders. In virtual time.
#include "deputy.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <pollenspoke/policy.h>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

constexpr Duration limit = 3s;
const TimePoint start = TimePoint() + 1h;

} // namespace

BOOST_AUTO_TEST_CASE(an_answer_makes_a_vm_a_deputy_only_if_nobody_handed_on_a_recent_contact)
{
    DeputyRole role(start);
    role.recordOwnContact(start + 1s, limit);
    BOOST_TEST(!role.isDeputy());
    BOOST_TEST(!role.isBlind(start + 4s, limit));
    BOOST_TEST(role.isBlind(start + 4100ms, limit));
    role.recordOwnContact(start + 5s, limit);
    BOOST_TEST(role.isDeputy());
    BOOST_TEST(!role.isBlind(start + 5s, limit));
}

BOOST_AUTO_TEST_CASE(a_deputy_stays_while_it_is_needed_or_nobody_else_has_the_store)
{
    DeputyRole role(start);
    role.recordOwnContact(start + 5s, limit);
    role.update(start + 20s, limit); // nobody handed on a newer contact
    BOOST_TEST(role.isDeputy());
    role.recordHandedOnContact(start + 20s);
    role.recordNeed(start + 20s);
    role.update(start + 22s, limit);
    BOOST_TEST(role.isDeputy());
    role.recordHandedOnContact(start + 23s);
    role.update(start + 23s, limit); // not needed for longer than the stand-down time
    BOOST_TEST(!role.isDeputy());
}

BOOST_AUTO_TEST_CASE(a_deputy_that_loses_the_store_ends_its_role_at_once)
{
    DeputyRole role(start);
    role.recordOwnContact(start + 5s, limit);
    role.recordLoss();
    BOOST_TEST(!role.isDeputy());
}

// Several hundred VMs lose the contact in the same moment, while the store answers nobody.
BOOST_AUTO_TEST_CASE(the_probes_of_all_blind_vms_together_are_bounded_in_any_second)
{
    Generator generator(7);
    std::uniform_real_distribution<double> part(0, 1);
    for (const std::size_t n : {24, 32, 40, 120, 411, 1000}) {
        const Duration interval = DeputyRole::probeInterval(n);
        BOOST_TEST(interval.count() <= std::chrono::duration_cast<Duration>(7s).count());
        std::vector<Duration> probes;
        for (std::size_t vm = 0; vm < n; ++vm) {
            for (auto at = std::chrono::duration_cast<Duration>(interval * part(generator)); at < Duration(20s); at += interval) {
                probes.push_back(at);
            }
        }
        std::sort(probes.begin(), probes.end());
        std::deque<Duration> second;
        std::size_t most = 0;
        for (const Duration it : probes) {
            second.push_back(it);
            while (it - second.front() >= Duration(1s)) {
                second.pop_front();
            }
            most = std::max(most, second.size());
        }
        // The first probes fall at random times: up to a third more than the mean in some second.
        BOOST_TEST(static_cast<double>(most) <= std::min(static_cast<double>(n), DeputyRole::maxFleetProbesPerSecond * 4 / 3), n << " VMs");
    }
}
