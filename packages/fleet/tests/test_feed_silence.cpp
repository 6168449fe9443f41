// How soon a change reaches every Vm after the store was silent. Calls that were open or begun during the silence are never answered.
#include "feed_fleet.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <thread>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

constexpr auto recoveryBound = 1s; // from the store's return, or a later change, to its arrival on the last Vm
constexpr auto settleTime = 3500ms;
constexpr auto watchPeriod = 1500ms; // of a watch without changes
constexpr auto step = 50ms;
constexpr std::size_t plainVms = 2;
constexpr std::size_t fleetsAtOnce = 25; // about 600 descriptors

std::string join(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &it : names) {
        text += " " + it;
    }
    return text;
}

struct Silence
{
    Duration phase; // from the end of the settle time to its begin
    Duration length;
    Duration changeAfter; // its end

    std::string describe() const
    {
        const auto ms = [](Duration it) { return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(it).count()); };
        return "phase " + ms(phase) + " ms, length " + ms(length) + " ms, change after " + ms(changeAfter) + " ms: late:";
    }
};

void pass(FeedFleet &fleet, const Silence &silence)
{
    fleet.run(silence.phase);
    fleet.setStoreAccess(StoreAccess::Swallowing);
    fleet.run(silence.length);
    fleet.setStoreAccess(StoreAccess::Answered);
    fleet.run(silence.changeAfter);
}

// Returns a line for each silence after which the change was late on a Vm. Fleets run in parallel, as most of the time passes waiting.
std::vector<std::string> findLate(const std::vector<Silence> &silences)
{
    std::vector<std::string> lines;
    for (std::size_t first = 0; first < silences.size(); first += fleetsAtOnce) {
        const std::size_t n = std::min(fleetsAtOnce, silences.size() - first);
        std::list<FeedFleet> fleets;
        std::vector<std::string> late(n);
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < n; ++i) {
            fleets.emplace_back(plainVms);
        }
        auto fleet = fleets.begin();
        for (std::size_t i = 0; i < n; ++i, ++fleet) {
            threads.emplace_back([&silence = silences[first + i], &fleet = *fleet, &late = late[i]] {
                fleet.run(settleTime);
                pass(fleet, silence);
                late = join(fleet.waitFor(fleet.write("after the silence"), recoveryBound));
            });
        }
        for (std::size_t i = 0; i < n; ++i) {
            threads[i].join();
            if (!late[i].empty()) {
                lines.push_back(silences[first + i].describe() + late[i]);
            }
        }
    }
    return lines;
}

void checkNoneLate(const std::vector<Silence> &silences)
{
    const std::vector<std::string> lines = findLate(silences);
    BOOST_TEST(lines.empty(), lines.size() << " of " << silences.size() << " silences");
    std::for_each(lines.begin(), lines.end(), [](const std::string &it) { BOOST_TEST_MESSAGE(it); });
}

} // namespace

// The next watch was begun when the one before had timed out, also into the silence, and then waited out its whole time-out.
BOOST_AUTO_TEST_CASE(a_change_arrives_within_the_bound_after_a_silence_of_any_length)
{
    std::vector<Silence> silences;
    for (Duration length = step; length <= 5s; length += step) {
        silences.push_back({.phase = length * 7 % watchPeriod, .length = length, .changeAfter = 0ms});
    }
    checkNoneLate(silences);
}

// As above, wherever the silence begins and the change is made.
BOOST_AUTO_TEST_CASE(a_change_arrives_within_the_bound_after_a_silence_of_any_phase)
{
    std::vector<Silence> silences;
    for (Duration phase = 0ms; phase < watchPeriod; phase += step) {
        silences.push_back({.phase = phase, .length = 4100ms, .changeAfter = 700ms});
        silences.push_back({.phase = phase, .length = 300ms, .changeAfter = 100ms});
    }
    checkNoneLate(silences);
}

// A silence that begins while the Vms recover from another one finds all their calls begun at the same moment.
BOOST_AUTO_TEST_CASE(a_change_arrives_within_the_bound_after_silences_in_a_row)
{
    FeedFleet fleet(plainVms);
    fleet.run(settleTime);
    for (const Duration pause : {100ms, 400ms, 900ms}) {
        pass(fleet, {.phase = 0ms, .length = 2200ms, .changeAfter = pause});
        pass(fleet, {.phase = 0ms, .length = 600ms, .changeAfter = 0ms});
        const std::vector<std::string> late = fleet.waitFor(fleet.write("after both"), recoveryBound);
        BOOST_TEST(late.empty(), "late:" << join(late));
    }
}

// The Vms that the store is silent towards get its changes from the others, whichever these are.
BOOST_AUTO_TEST_CASE(a_change_arrives_within_the_bound_although_the_store_is_silent_towards_some_vms)
{
    const auto isWatching = [](std::size_t i) { return i < 4; };
    const std::vector<std::pair<std::string, std::function<bool(std::size_t)>>> cases{
        {"one", [](std::size_t i) { return i == 1; }},
        {"one domain", [](std::size_t i) { return i % 4 == 2; }},
        {"all watchers", isWatching},
        {"all but one", [](std::size_t i) { return i != 6; }},
    };
    for (const auto &[name, isSilent] : cases) {
        FeedFleet fleet(plainVms);
        fleet.run(settleTime);
        for (std::size_t i = 0; i < FeedFleet::seats + plainVms; ++i) {
            if (isSilent(i)) {
                fleet.vm(i).setStoreAccess(StoreAccess::Swallowing);
            }
        }
        fleet.run(4s);
        const std::vector<std::string> late = fleet.waitFor(fleet.write("during the silence"), recoveryBound);
        BOOST_TEST(late.empty(), "silent towards " << name << ", late:" << join(late));
    }
}

// Calls are limited over all Vms, and charged: a silent store must not attract more of them than one that answers by much.
BOOST_AUTO_TEST_CASE(the_load_on_a_silent_store_is_bounded)
{
    constexpr double maxCallsPerSecond = 20; // of the fleet; the store takes 2,000
    FeedFleet fleet(plainVms);
    fleet.run(settleTime);
    const std::size_t before = fleet.storeCalls();
    pass(fleet, {.phase = 0ms, .length = 6s, .changeAfter = 0ms});
    const auto calls = static_cast<double>(fleet.storeCalls() - before);
    BOOST_TEST(calls < maxCallsPerSecond * 6);
}

// A slow answer is no lost one: the store needs 50 times as long at times, or longer.
BOOST_AUTO_TEST_CASE(a_slow_store_gets_few_more_calls_than_a_fast_one)
{
    const auto countCalls = [](Duration answerTime) {
        FeedFleet fleet(plainVms);
        fleet.run(settleTime);
        for (FeedVm &it : fleet.vms()) {
            it.setAnswerTime(answerTime);
        }
        const std::size_t before = fleet.storeCalls();
        fleet.run(8s);
        return static_cast<double>(fleet.storeCalls() - before);
    };
    const double fast = countCalls(4ms);
    BOOST_TEST(countCalls(200ms) <= fast * 1.25);
    BOOST_TEST(countCalls(900ms) <= fast * 1.25);
}
