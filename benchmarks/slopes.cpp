// Measures how memory and CPU time of one Vm grow with the size of the configuration, up to 9900 accounts, 2000 routes and 87
// services. Uses fixed seeds, counts heap bytes through operator new and delete, and prints Markdown tables for
// docs/measurements/slopes.md.
#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <malloc.h>
#include <new>
#include <pollenspoke/policy.h>

namespace {

std::atomic<std::int64_t> heapBytes{0};

} // namespace

void *operator new(std::size_t n)
{
    void *p = std::malloc(n);
    if (p == nullptr) {
        throw std::bad_alloc();
    }
    heapBytes += static_cast<std::int64_t>(malloc_usable_size(p));
    return p;
}

void operator delete(void *p) noexcept
{
    heapBytes -= static_cast<std::int64_t>(malloc_usable_size(p));
    std::free(p);
}

void operator delete(void *p, std::size_t) noexcept
{
    operator delete(p);
}

namespace {

using namespace Pollenspoke;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr std::size_t targetsPerService = 45; // 3,900 targets in 87 services
constexpr std::size_t timedIterations = 200000;

/// Numbers of declared objects.
struct Size
{
    std::size_t accounts = 0;
    std::size_t routes = 0;
    std::size_t services = 0;
};

std::string numberedName(const char *prefix, std::size_t n)
{
    return prefix + std::to_string(n);
}

Object makeService(std::size_t n)
{
    Service service;
    for (std::size_t i = 0; i < targetsPerService; ++i) {
        const Address address{.ip = "10.1." + std::to_string(n % 250) + "." + std::to_string(i + 1), .port = 8080};
        service.targets.push_back(Target{.name = {numberedName("target-", i)}, .address = address, .failureDomain = {"fd-a"}, .slots = 2});
    }
    return Object{.name = numberedName("service-", n), .spec = std::move(service)};
}

std::vector<Object> makeObjects(const Size &size)
{
    std::vector<Object> objects;
    for (std::size_t i = 0; i < size.accounts; ++i) {
        objects.push_back({.name = numberedName("account-", i), .spec = ClientAccount{.limits = {.ratePerSecond = 10, .burst = 20}}});
        objects.push_back({.name = numberedName("key-", i),
                           .spec = Key{.account = {numberedName("account-", i)}, .sha256 = sha256Hex(std::to_string(i))}});
    }
    for (std::size_t i = 0; i < size.services; ++i) {
        objects.push_back(makeService(i));
    }
    for (std::size_t i = 0; i < size.routes; ++i) {
        const ServiceName service{numberedName("service-", i % size.services)};
        objects.push_back(
            {.name = numberedName("route-", i), .spec = Route{.pathPrefix = "/api/" + numberedName("path-", i), .service = service}});
    }
    return objects;
}

double secondsSince(SteadyTime start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

template<typename Step>
double nanosecondsEach(Step step)
{
    const SteadyTime start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < timedIterations; ++i) {
        step(i);
    }
    return secondsSince(start) / static_cast<double>(timedIterations) * 1e9;
}

void measureSnapshot(const Size &size)
{
    const std::vector<Object> objects = makeObjects(size);
    const std::int64_t before = heapBytes;
    const SteadyTime start = std::chrono::steady_clock::now();
    const auto built = Snapshot::build(objects, 1);
    const double buildMs = secondsSince(start) * 1e3;
    const std::int64_t bytes = heapBytes - before;
    const Snapshot &snapshot = **built;
    std::size_t matches = 0;
    const double keyNs = nanosecondsEach(
        [&](std::size_t i) { matches += snapshot.findKey(sha256Hex(std::to_string(i % size.accounts))).has_value() ? 1 : 0; });
    const double routeNs = nanosecondsEach([&](std::size_t i) {
        matches += snapshot.findRoutes("any.example", "/api/" + numberedName("path-", i % size.routes) + "/item/7").size();
    });
    std::size_t jsonBytes = 0;
    for (const Object &it : objects) {
        jsonBytes += toJson(it).size();
    }
    std::cout << "| " << size.accounts << " | " << size.routes << " | " << size.services * targetsPerService << " | " << bytes / 1024
              << " | " << jsonBytes / 1024 << " | " << buildMs << " | " << keyNs << " | " << routeNs << " | "
              << (matches == 2 * timedIterations ? "all" : "not all") << " |\n";
}

void measureTargetChoice(std::size_t n)
{
    std::vector<Target> targets(n);
    std::vector<TargetLoad> loads;
    for (std::size_t i = 0; i < n; ++i) {
        targets[i] = Target{.name = {numberedName("target-", i)}, .slots = 2};
        loads.push_back({.target = &targets[i], .inFlight = static_cast<std::uint32_t>(i % 3)});
    }
    Generator generator(1);
    std::size_t sum = 0;
    const double ns = nanosecondsEach([&](std::size_t) { sum += chooseTarget(loads, {"fd-a"}, generator).value(); });
    std::cout << "| " << n << " | " << ns << " | " << (sum > 0 ? "yes" : "no") << " |\n";
}

void measureAddressOrder(std::size_t n)
{
    std::vector<VmEntry> vms;
    for (std::size_t i = 0; i < n; ++i) {
        vms.push_back({.name = {numberedName("vm-", i)}, .failureDomain = {numberedName("fd-", i % 8)}});
    }
    const SteadyTime start = std::chrono::steady_clock::now();
    constexpr std::size_t iterations = 2000;
    std::size_t sum = 0;
    for (std::size_t i = 0; i < iterations; ++i) {
        sum += orderAddresses(vms, {numberedName("account-", i)}, 3).size();
    }
    std::cout << "| " << n << " | " << secondsSince(start) / static_cast<double>(iterations) * 1e6 << " | "
              << (sum == 3 * iterations ? "yes" : "no") << " |\n";
}

// Times each call by itself: a decision must not be slow now and then either.
template<typename Step>
void printQuantiles(const char *name, std::size_t vms, Step step)
{
    std::vector<double> us;
    us.reserve(timedIterations);
    for (std::size_t i = 0; i < timedIterations; ++i) {
        const SteadyTime start = std::chrono::steady_clock::now();
        step(i);
        us.push_back(secondsSince(start) * 1e6);
    }
    std::sort(us.begin(), us.end());
    std::cout << "| " << name << " | " << vms << " | " << us[us.size() / 2] << " | " << us[us.size() * 99 / 100] << " |\n";
}

// Decisions under load at one Vm: 8 ranks, 73 accounts, and reports of all other seat holders.
void measureDemand(std::size_t vms)
{
    DemandCounter counter;
    DemandView view;
    AdmissionLevel level;
    ReturnSchedule returns;
    std::vector<VmName> names;
    for (std::size_t i = 0; i < vms; ++i) {
        names.push_back({numberedName("vm-", i)});
    }
    view.setVms(names.front(), names);
    std::vector<AccountName> accounts;
    for (std::size_t i = 0; i < 73; ++i) {
        accounts.push_back({numberedName("account-", i)});
    }
    TimePoint now{std::chrono::hours(1)};
    const auto rankOf = [](std::size_t i) { return static_cast<std::uint32_t>(i % maxDemandRanks); };
    const std::string id = "0123456789abcdef";
    printQuantiles("count an arrival", vms, [&](std::size_t i) {
        now += std::chrono::microseconds(500);
        counter.noteArrival(rankOf(i), accounts[i * 31 % accounts.size()], now);
    });
    const DemandReport part = counter.report(now);
    printQuantiles("take a report", vms, [&](std::size_t i) {
        now += std::chrono::microseconds(200);
        DemandReport report = part;
        report.run = 1;
        report.measuredAt = now.time_since_epoch();
        view.apply(names[i % vms], std::move(report), now);
    });
    printQuantiles("compute the level", vms, [&](std::size_t i) {
        counter.noteArrival(rankOf(i), accounts[i % accounts.size()], now);
        counter.noteRefused(rankOf(i), now);
        level.update(view.ranks(counter.report(now), now), now + std::chrono::seconds(i));
    });
    printQuantiles("decide whether a request may wait", vms, [&](std::size_t i) { level.mayWait(rankOf(i), id); });
    printQuantiles("schedule a return", vms, [&](std::size_t i) {
        counter.noteRefused(rankOf(i), now);
        const std::vector<RankDemand> ranks = view.ranks(counter.report(now), now);
        returns.refuse({.rank = rankOf(i), .id = id, .waitingAhead = ranks.front().waiting, .startsPerSecond = 400}, now);
    });
}

} // namespace

int main()
{
    std::cout << std::fixed << std::setprecision(1);
    std::cout << "| accounts (one key each) | routes | targets | snapshot KB | as JSON KB | build ms | find key ns (with SHA-256) | find "
                 "route ns | found |\n"
              << "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (const Size &it :
         {Size{100, 20, 1}, Size{1000, 200, 9}, Size{9900, 20, 1}, Size{100, 2000, 1}, Size{100, 20, 87}, Size{9900, 2000, 87}}) {
        measureSnapshot(it);
    }
    std::cout << "\n| targets in the service | choose ns | chosen |\n| --- | --- | --- |\n";
    for (const std::size_t it : {10, 15, 45, 450, 3900}) {
        measureTargetChoice(it);
    }
    std::cout << "\n| Vms | order addresses us | all given |\n| --- | --- | --- |\n";
    for (const std::size_t it : {40, 460}) {
        measureAddressOrder(it);
    }
    std::cout << "\n| decision under load | seat holders | median us | 0.99 quantile us |\n| --- | --- | --- | --- |\n";
    for (const std::size_t it : {8, 60}) {
        measureDemand(it);
    }
    return 0;
}
