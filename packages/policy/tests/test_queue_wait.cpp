// Which requests wait for a slot and which are refused at once, in virtual time.
#include "queue_fleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};

} // namespace

// Each of eight Vms expected to get all slots, so that most refused requests had waited for as long as they may.
BOOST_AUTO_TEST_CASE(a_burst_of_twice_the_traffic_is_refused_at_once_and_not_after_the_wait)
{
    const QueueFleetOptions options{};
    QueueFleetOptions unmeasured = options;
    unmeasured.measuresPart = false;
    const std::vector<QueueTraffic> traffic{evenly(options, 0.8, 0s, 7s), evenly(options, 1.2, 2s, 6s)};
    const QueueFleetResult before = play(unmeasured, traffic, 8s);
    const QueueFleetResult after = play(options, traffic, 8s);
    BOOST_TEST(before.refusedLate > before.refusedAtOnce);
    BOOST_TEST(after.refusedLate * 5 < after.refusedAtOnce);
}

// A Vm that gets a burst alone has the slots that the others leave free. Its part before the burst says nothing about that.
BOOST_AUTO_TEST_CASE(a_burst_at_one_vm_beside_idle_ones_is_served)
{
    const QueueFleetOptions options{};
    QueueFleetOptions unmeasured = options;
    unmeasured.measuresPart = false;
    QueueTraffic alone{.perSecond = std::vector<double>(options.vms, 0), .from = 1s, .until = 4s};
    alone.perSecond[3] = capacityOf(options) * 0.8;
    const std::vector<QueueTraffic> traffic{evenly(options, 0.05, 0s, 5s), alone};
    const QueueFleetResult before = play(unmeasured, traffic, 6s);
    const QueueFleetResult after = play(options, traffic, 6s);
    BOOST_TEST(after.refusedAtOnce <= before.refusedAtOnce);
    BOOST_TEST(after.served >= before.served - 2);
}

// A short peak ends before the queue is full: refusing at once would lose what a wait serves.
BOOST_AUTO_TEST_CASE(a_short_peak_waits_and_is_served)
{
    const QueueFleetOptions options{};
    const std::vector<QueueTraffic> traffic{evenly(options, 0.6, 0s, 3s), evenly(options, 1.2, 2s, 2300ms)};
    const QueueFleetResult result = play(options, traffic, 4s);
    BOOST_TEST(result.refusedAtOnce * 200 < result.requests);
    BOOST_TEST(static_cast<double>(result.served) >= 0.99 * static_cast<double>(result.requests));
}

// At 90 % load queues are short and end often, which must not look like a small part.
BOOST_AUTO_TEST_CASE(a_load_of_90_percent_is_not_refused_at_once)
{
    const QueueFleetOptions options{};
    const QueueFleetResult result = play(options, {evenly(options, 0.9, 0s, 7s)}, 8s);
    BOOST_TEST(result.refusedAtOnce * 200 < result.requests);
}

BOOST_AUTO_TEST_CASE(without_evidence_a_vm_expects_all_slots)
{
    QueueDrain drain;
    BOOST_TEST(!drain.rate(start));
    drain.noteStart(start); // nothing waits
    drain.noteWaiting(true, start);
    BOOST_TEST(!drain.rate(start + 249ms));
    BOOST_TEST((expectedQueueWait({.ahead = 9, .usualLatency = 200ms, .usableSlots = 20, .ownSlots = 1}) == 100ms));
    BOOST_TEST((expectedQueueWait({.ahead = 0, .usualLatency = 200ms, .usableSlots = 0}) == 200ms)); // no slot is usable now
    drain.noteWaiting(true, start + 100ms);                                                          // still waiting, not again
    BOOST_TEST(drain.rate(start + 250ms).value() == 0.0);
    drain.noteWaiting(false, start + 300ms);
    BOOST_TEST(!drain.rate(start + 600ms));
}

BOOST_AUTO_TEST_CASE(the_rate_is_that_of_the_last_second_with_waiting_requests)
{
    QueueDrain drain;
    drain.noteWaiting(true, start);
    for (int i = 1; i <= 40; ++i) {
        drain.noteStart(start + 50ms * i);
    }
    BOOST_TEST(drain.rate(start + 500ms + 1500ms).value() == 20.0, boost::test_tools::tolerance(0.06));
    BOOST_TEST(drain.rate(start + 2500ms).value() == 10.0, boost::test_tools::tolerance(0.11));
    BOOST_TEST(drain.rate(start + 4s).value() == 0.0);
}

// The better of the two signs counts: when in doubt, a request waits.
BOOST_AUTO_TEST_CASE(a_vm_expects_its_part_of_the_slots_or_what_it_got_lately)
{
    const QueueWaitInput input{.ahead = 8, .usualLatency = 200ms, .usableSlots = 80, .ownSlots = 10, .drainRate = 0.0};
    BOOST_TEST((expectedQueueWait(input) == 220ms)); // 8 x 1.25 + 1 requests at 50/s
    QueueWaitInput faster = input;
    faster.drainRate = 100;
    BOOST_TEST((expectedQueueWait(faster) == 110ms));
    QueueWaitInput slower = input;
    slower.drainRate = 10;
    BOOST_TEST((expectedQueueWait(slower) == 220ms));
    QueueWaitInput none = input;
    none.ownSlots = 0; // all slots are held by others; the next one to be released may still be had
    none.ahead = 0;
    BOOST_TEST((expectedQueueWait(none) == 200ms));
}

// The slots of a target that others fill up don't count as this Vm's.
BOOST_AUTO_TEST_CASE(own_slots_are_the_part_of_the_slots_in_use_and_those_that_are_free)
{
    Generator generator(1);
    ServiceBalancer balancer;
    balancer.setTargets({{.name = {"t0"}, .slots = 4}, {.name = {"t1"}, .slots = 4}}, start);
    BOOST_TEST(balancer.ownSlots(start) == 8.0); // all are free
    balancer.applyObservations({"other"}, {{.target = {"t0"}, .inFlight = 3}, {.target = {"t1"}, .inFlight = 4}}, true, start);
    BOOST_TEST(balancer.ownSlots(start) == 1.0);
    BOOST_TEST(balancer.choose({}, start, generator)->name.value == "t0");
    BOOST_TEST(balancer.ownSlots(start) == 1.0);
    balancer.applyObservations({"other"}, {{.target = {"t0"}, .inFlight = 7}}, true, start);
    BOOST_TEST(balancer.ownSlots(start) == 0.5 + 4.0); // t0 holds 8 for 4 slots, t1 is free
}

// Reports are late, so that slots were idle while requests waited at another Vm, and targets were sent more than they queue.
BOOST_AUTO_TEST_CASE(at_90_percent_load_a_request_queued_at_its_target_keeps_slots_in_use)
{
    QueueFleetOptions options{.targets = 13};
    const std::vector<QueueTraffic> traffic{evenly(options, 0.9, 0s, 19s)};
    const QueueFleetResult with = play(options, traffic, 20s);
    options.queuesAtTargets = false;
    const QueueFleetResult without = play(options, traffic, 20s);
    BOOST_TEST(with.served > without.served);
    BOOST_TEST(with.idleSlots < without.idleSlots);
    BOOST_TEST(with.declined < without.declined);
    BOOST_TEST(with.targetQueue < 1);
}

// Under overload, requests beyond the slots must not make targets decline more.
BOOST_AUTO_TEST_CASE(in_overload_a_request_queued_at_its_target_costs_nothing)
{
    QueueFleetOptions options{.targets = 13};
    const std::vector<QueueTraffic> traffic{evenly(options, 1.2, 0s, 9s)};
    const QueueFleetResult with = play(options, traffic, 10s);
    options.queuesAtTargets = false;
    const QueueFleetResult without = play(options, traffic, 10s);
    BOOST_TEST(static_cast<double>(with.served) >= 0.99 * static_cast<double>(without.served));
    BOOST_TEST(static_cast<double>(with.declined) <= 1.1 * static_cast<double>(without.declined));
}

// A full target that is in any way restricted, or too slow for the request, must not get one more.
BOOST_AUTO_TEST_CASE(one_request_is_queued_at_a_target_that_is_well_and_fast_enough)
{
    Generator generator(1);
    const Target target{.name = {"t0"}, .address = {.ip = "10.0.0.1", .port = 80}, .slots = 2};
    const ChoiceRequest waiting{.answerWithin = 500ms, .usualLatency = 200ms};
    const auto fullBalancer = [&](const Target &only = Target{}) {
        ServiceBalancer balancer; // with a usual latency of 200 ms
        balancer.setTargets({only.name.value.empty() ? target : only}, start);
        balancer.setLimitSharers({.self = {"vm"}, .vms = std::vector<VmName>{{"vm"}, {"other"}}, .fleetSize = 2}, start);
        balancer.applyObservations({"other"}, {{.target = {"t0"}, .inFlight = 2}}, true, start);
        return balancer;
    };
    ServiceBalancer well = fullBalancer();
    BOOST_TEST(!well.choose({.usualLatency = 200ms}, start, generator));
    BOOST_TEST(well.choose(waiting, start, generator).has_value());
    BOOST_TEST(!well.choose(waiting, start, generator)); // one, as known from all Vms

    ServiceBalancer slow = fullBalancer();
    BOOST_TEST(!slow.choose({.answerWithin = 299ms, .usualLatency = 200ms}, start, generator)); // 100 ms in its queue, 200 ms of work
    BOOST_TEST(slow.choose({.answerWithin = 300ms, .usualLatency = 200ms}, start, generator).has_value());

    Target cold = target;
    cold.warmupMs = 1000;
    BOOST_TEST(!fullBalancer(cold).choose(waiting, start, generator));

    ServiceBalancer coldByAnswer = fullBalancer();
    coldByAnswer.announce({.name = target.name, .address = target.address}, {.warmup = 1s}, start);
    BOOST_TEST(!coldByAnswer.choose(waiting, start, generator));

    ServiceBalancer limited = fullBalancer();
    limited.announce({.name = target.name, .address = target.address}, {.limit = 100}, start);
    BOOST_TEST(!limited.choose(waiting, start, generator));

    ServiceBalancer returned = fullBalancer();
    returned.applyObservations({"other"}, {{.target = {"t0"}, .inFlight = 2, .returnAge = 100ms}}, true, start);
    BOOST_TEST(!returned.choose(waiting, start, generator));

    ServiceBalancer failed = fullBalancer();
    failed.applyObservations({"other"}, {{.target = {"t0"}, .inFlight = 2, .failures = 1, .failurePause = 1ms}}, true, start);
    BOOST_TEST(!failed.choose(waiting, start + 400ms, generator)); // half-open

    for (const std::vector<VmName> &vms : {std::vector<VmName>{}, std::vector<VmName>{{"vm"}}}) { // not known, alone
        ServiceBalancer balancer = fullBalancer();
        balancer.setLimitSharers({.self = {"vm"}, .vms = vms, .fleetSize = vms.size()}, start);
        BOOST_TEST(!balancer.choose(waiting, start, generator));
    }

    std::vector<VmName> vms;
    vms.reserve(8);
    for (int i = 0; i < 8; ++i) {
        vms.push_back({"vm-" + std::to_string(i)});
    }
    const auto queueing = std::count_if(vms.begin(), vms.end(), [&](const VmName &it) {
        ServiceBalancer balancer = fullBalancer();
        balancer.setLimitSharers({.self = it, .vms = vms, .fleetSize = vms.size()}, start);
        return balancer.choose(waiting, start, generator).has_value();
    });
    BOOST_TEST(queueing == 2);
}
