// A server's write to the store gets no answer and is executed seconds later, after the store has accepted its reports of leaving. Whether
// the VMs send it work again.
#include "../standins-3.h"

using namespace Review;

namespace {

constexpr int vmCount = 3;
constexpr int serverCount = 6;       // one of them leaves
constexpr auto beatTime = 1500ms;    // heartbeat-ms
constexpr auto drainTime = 2000ms;   // drain-ms
constexpr auto contactTime = 3000ms; // contact-ms
constexpr auto drainAt = 500ms;      // after the write that gets no answer
constexpr auto executedAt = 5950ms;  // "1 to 6 s later"
constexpr auto exitAt = 6200ms;      // of the server that leaves: 3.7 s after the end of drain-ms
constexpr auto trafficAt = 5000ms;
constexpr auto trafficTime = 4s;
constexpr int ordersPerSecond = 12; // at each VM

struct Arrival
{
    std::string id;
    TimePoint at;
};

int runCase(const std::string &recordName)
{
    Record record(recordName);
    TemporaryFolder folder;
    Store store;
    std::mutex mutex;
    std::vector<Arrival> arrivals; // at the server that leaves
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < serverCount; ++i) {
        servers.push_back(
            std::make_unique<Server>(store, record, ServerOptions{.id = "i-" + std::to_string(i), .service = "till", .work = 300ms}));
    }
    Server &leaving = *servers[0];
    leaving.onArrival = [&](const HttpMessage &request) {
        const std::lock_guard lock(mutex);
        arrivals.push_back({request.field("X-Request-Id"), SteadyClock::now()});
    };
    store.put("config",
              "main",
              makeConfiguration(7,
                                "shop.example",
                                {{.name = "r-orders", .prefix = "/orders/", .type = "unsafe", .service = "till", .timeoutMs = 2000}},
                                {"till"},
                                {{.name = "shops", .keys = {"keyofshops0123456789"}, .ratePerSecond = 100, .burst = 100}}));
    std::atomic<bool> isEnding = false;
    std::thread beats([&] {
        for (TimePoint next = SteadyClock::now() + beatTime; !isEnding; sleepFor(20ms)) {
            if (SteadyClock::now() >= next) {
                next += beatTime;
                std::for_each(servers.begin() + 1, servers.end(), [](const auto &it) { it->beat(); });
            }
        }
    });
    std::vector<std::string> ips;
    for (int i = 0; i < vmCount; ++i) {
        ips.push_back("127.0.13." + std::to_string(i + 1));
    }
    const FleetPorts ports{
        .front = findFreePort(ips), .ready = findFreePort(ips), .directory = findFreePort(ips), .peers = findFreePort(ips)};
    std::vector<std::unique_ptr<Vm>> vms;
    for (int i = 0; i < vmCount; ++i) {
        vms.push_back(std::make_unique<Vm>("edge-" + std::to_string(i + 1), ips.at(i), ports, store.port(), folder.name()));
        vms.back()->start();
    }
    const auto end = [&](int code) {
        isEnding = true;
        beats.join();
        vms.clear();
        endCase(folder, code);
        return code;
    };
    for (const auto &it : vms) {
        if (!it->waitUntilReady(15s)) {
            record.write("a VM isn't ready");
            return end(NotRun);
        }
    }
    for (int i = 0; i < 4; ++i) {
        sleepFor(beatTime);
        leaving.beat();
    }
    // From here on times count from the write that gets no answer.
    const TimePoint startedAt = SteadyClock::now() + beatTime;
    std::this_thread::sleep_until(startedAt);
    const json::value lost = leaving.prepareBeat();
    record.write("server " + leaving.id() + " writes " + json::serialize(lost) + (hasTrouble() ? ": no answer" : ": accepted"));
    if (!hasTrouble()) {
        store.put("servers", leaving.id(), lost);
    }
    TimePoint confirmedAt; // last confirmation of its leaving while the store was without impairment for contact-ms
    std::thread server([&] {
        std::this_thread::sleep_until(startedAt + drainAt);
        leaving.setDraining();
        for (TimePoint next = startedAt + drainAt; next < startedAt + exitAt; next += beatTime) {
            std::this_thread::sleep_until(next);
            record.write("server " + leaving.id() + " writes " + json::serialize(leaving.beat()) + ": accepted");
            const std::lock_guard lock(mutex);
            if (confirmedAt == TimePoint() && SteadyClock::now() >= startedAt + contactTime) {
                confirmedAt = SteadyClock::now();
            }
        }
        std::this_thread::sleep_until(startedAt + exitAt);
        record.write("server " + leaving.id() + " exits");
        leaving.exit();
        store.remove("servers", leaving.id());
    });
    std::thread late([&] {
        std::this_thread::sleep_until(startedAt + executedAt);
        if (hasTrouble()) {
            store.put("servers", leaving.id(), lost);
            record.write("the store executes the write that got no answer");
        }
    });
    std::mutex answersMutex;
    std::map<std::string, int> statuses;
    std::vector<std::thread> clients;
    std::this_thread::sleep_until(startedAt + trafficAt);
    for (int i = 0; SteadyClock::now() < startedAt + trafficAt + trafficTime; ++i) {
        for (const auto &vm : vms) {
            clients.emplace_back([&, vm = vm.get()] {
                const ClientRequest request{.method = "POST",
                                            .host = "shop.example",
                                            .path = "/orders/1",
                                            .key = "keyofshops0123456789",
                                            .id = makeId(),
                                            .deadlineMs = 4000,
                                            .body = "order"};
                Stream stream = Stream::connect(vm->ip(), vm->frontPort(), 1s);
                const ClientAnswer answer = sendRequest(stream, request);
                record.write("order " + request.id + " sent to " + vm->name() + ": " + std::to_string(answer.status));
                const std::lock_guard lock(answersMutex);
                statuses[request.id] = answer.status;
            });
        }
        std::this_thread::sleep_until(startedAt + trafficAt + Ms(1000 / ordersPerSecond) * (i + 1));
    }
    std::for_each(clients.begin(), clients.end(), [](std::thread &it) { it.join(); });
    server.join();
    late.join();
    int reached = 0;
    int unserved = 0;
    for (const Arrival &it : arrivals) {
        if (confirmedAt != TimePoint() && it.at > confirmedAt + drainTime) {
            ++reached;
            unserved += statuses[it.id] == 200 ? 0 : 1;
            record.write("order " + it.id + " reached " + leaving.id() + " at " + std::to_string(record.seconds(it.at)) + ", answered "
                         + std::to_string(statuses[it.id]));
        }
    }
    const std::string line = "leaving confirmed at " + std::to_string(record.seconds(confirmedAt))
        + "; orders that reached the server later than drain-ms after it: " + std::to_string(reached)
        + ", of them not served: " + std::to_string(unserved) + ", of " + std::to_string(statuses.size()) + " orders";
    record.write(line);
    std::cout << line << '\n';
    record.write(reached > 0 ? "BROKEN: DRAIN" : "held");
    return end(reached > 0 ? Broken : Held);
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        std::_Exit(argc == 2 ? runCase(argv[1]) : NotRun);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        std::_Exit(NotRun);
    }
}
