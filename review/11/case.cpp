// VMs are stopped and started in turn while clients use connections again that were idle. Whether accepted orders are answered.
#include "../standins-3.h"

using namespace Review;

namespace {

constexpr int vmCount = 3;
constexpr int serverCount = 8;
constexpr int serverSlots = 6;
constexpr int connectionCount = 1500;         // kept connections of clients at each VM
constexpr int ordersPerStop = 8;              // long ones
constexpr auto graceTime = 6000ms;            // grace-s
constexpr auto orderWork = 1900ms;            // of a long order at its server
constexpr auto ordersFrom = 2200ms;           // after SIGTERM
constexpr auto ordersUntil = 2600ms;          //
constexpr auto returnFrom = 3900ms;           // clients send over kept connections again
constexpr auto returnUntil = 4500ms;          //
constexpr auto lastSixth = graceTime * 5 / 6; // a server that is still at work then excuses the VM
constexpr auto caseTime = 95s;

struct Order
{
    std::string id;
    TimePoint sentAt;
    int status = 0;
    ReadEnd end = ReadEnd::Closed;
    TimePoint endedAt;
};

struct LookUp
{
    std::string id;
    TimePoint sentAt;
    int status = 0; // 0: no answer
};

struct Runs // at the servers
{
    std::mutex mutex;
    std::map<std::string, TimePoint> begun;
    std::map<std::string, TimePoint> ended;
    std::vector<std::pair<TimePoint, std::string>> lookUps; // written to the record at the end
};

struct Result
{
    std::mutex mutex;
    int stops = 0;
    int killed = 0;
    int orders = 0;
    int lost = 0;
    std::map<int, int> lookUps; // by status
};

// Connections of clients to one VM. All have answered one request, and are idle then.
class KeptConnections
{
public:
    KeptConnections(const Vm &vm, int n)
    {
        for (int i = 0; i < n; ++i) {
            Stream stream = Stream::connect(vm.ip(), vm.frontPort(), 1s);
            const ClientRequest request = makeLookUp();
            const ClientAnswer answer = sendRequest(stream, request);
            m_lookUps.push_back({request.id, answer.sentAt, answer.status});
            if (answer.status == 200 && ::strcasecmp(answer.message.field("Connection").c_str(), "close") != 0) {
                m_streams.push_back(std::move(stream));
            }
            if (i % 8 == 0) {
                sleepFor(1ms);
            }
        }
    }
    std::size_t size() const { return m_streams.size(); }
    const std::vector<LookUp> &lookUps() const { return m_lookUps; } // all that were sent

    // Sends one request over each of them, at random times, and returns the answers by status.
    std::map<int, int> useAgain(TimePoint from, TimePoint until)
    {
        std::mt19937 generator{std::random_device{}()};
        std::vector<std::pair<TimePoint, Stream *>> plan;
        std::uniform_real_distribution<double> part(0, 1);
        for (Stream &it : m_streams) {
            plan.emplace_back(from + std::chrono::duration_cast<SteadyClock::duration>((until - from) * part(generator)), &it);
        }
        std::sort(plan.begin(), plan.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
        std::vector<std::pair<std::size_t, Stream *>> sent; // index of the look-up
        for (const auto &[at, stream] : plan) {
            std::this_thread::sleep_until(at);
            const ClientRequest request = makeLookUp();
            if (!stream->hasEnded() && stream->send(formatRequest(request))) {
                sent.emplace_back(m_lookUps.size(), stream);
                m_lookUps.push_back({request.id, SteadyClock::now()});
            }
        }
        std::map<int, int> statuses;
        for (const auto &[index, stream] : sent) {
            LookUp &lookUp = m_lookUps[index];
            HttpMessage answer;
            lookUp.status = stream->read(answer, lookUp.sentAt + 3s) == ReadEnd::Whole ? answer.status() : 0;
            ++statuses[lookUp.status];
        }
        return statuses;
    }

private:
    static ClientRequest makeLookUp()
    {
        return {.host = "shop.example", .path = "/look/1", .key = "keyofshops0123456789", .id = makeId(), .deadlineMs = 3000};
    }

    std::vector<Stream> m_streams;
    std::vector<LookUp> m_lookUps;
};

void stopAndStart(Vm &vm, Record &record, Runs &runs, Result &result, TimePoint caseEnd)
{
    while (SteadyClock::now() + graceTime + 7s < caseEnd) {
        if (!vm.waitUntilReady(10s)) {
            record.write(vm.name() + " isn't ready");
            return;
        }
        sleepFor(3000ms);
        KeptConnections connections(vm, connectionCount);
        sleepFor(300ms);
        const TimePoint stoppedAt = SteadyClock::now();
        record.write("SIGTERM to " + vm.name() + ", which has " + std::to_string(connections.size()) + " idle connections of clients");
        if (hasTrouble()) {
            vm.kill(SIGTERM);
        }
        std::vector<std::thread> threads;
        std::vector<Order> orders(ordersPerStop);
        for (int i = 0; i < ordersPerStop; ++i) {
            threads.emplace_back([&, i] {
                Order &order = orders[static_cast<std::size_t>(i)];
                order.id = makeId();
                std::this_thread::sleep_until(stoppedAt + ordersFrom + (ordersUntil - ordersFrom) * i / ordersPerStop);
                Stream stream = Stream::connect(vm.ip(), vm.frontPort(), 1s);
                const ClientAnswer answer = sendRequest(stream,
                                                        {.method = "POST",
                                                         .host = "shop.example",
                                                         .path = "/orders/1",
                                                         .key = "keyofshops0123456789",
                                                         .id = order.id,
                                                         .deadlineMs = 8000,
                                                         .body = "order"});
                order.sentAt = answer.sentAt;
                order.status = answer.status;
                order.end = answer.end;
                order.endedAt = answer.endedAt;
            });
        }
        threads.emplace_back([&] {
            const std::map<int, int> statuses = connections.useAgain(stoppedAt + returnFrom, stoppedAt + returnUntil);
            const std::lock_guard lock(result.mutex);
            for (const auto &[status, n] : statuses) {
                result.lookUps[status] += n;
            }
        });
        bool isKilled = false;
        if (hasTrouble()) {
            isKilled = !vm.waitForEnd(std::chrono::ceil<Ms>(stoppedAt + graceTime - SteadyClock::now()));
            if (isKilled) {
                record.write(vm.name() + " still runs after grace-s: SIGKILL");
                vm.kill(SIGKILL);
                vm.waitForEnd(2s);
            }
        } else {
            std::this_thread::sleep_until(stoppedAt + graceTime);
        }
        const TimePoint endedAt = SteadyClock::now();
        std::for_each(threads.begin(), threads.end(), [](std::thread &it) { it.join(); });
        const std::lock_guard lock(result.mutex);
        ++result.stops;
        result.killed += isKilled ? 1 : 0;
        record.write(vm.name() + " ended " + std::to_string(std::chrono::duration<double>(endedAt - stoppedAt).count())
                     + " s after SIGTERM");
        for (const Order &it : orders) {
            const std::lock_guard runsLock(runs.mutex);
            const bool hasRun = runs.begun.contains(it.id);
            const bool hasEnded = runs.ended.contains(it.id) && runs.ended[it.id] < stoppedAt + lastSixth;
            const bool isClosed = it.end == ReadEnd::Closed && it.endedAt < stoppedAt + graceTime + 1s; // not the client's time budget
            const bool isLost = it.status == 0 && isClosed && hasRun && hasEnded;
            ++result.orders;
            result.lost += isLost ? 1 : 0;
            const auto since
                = [stoppedAt](TimePoint time) { return std::to_string(std::chrono::duration<double>(time - stoppedAt).count()); };
            record.write(
                "order " + it.id + " sent to " + vm.name() + " at " + since(it.sentAt) + " s, "
                + (hasRun ? "run from " + since(runs.begun[it.id]) + " to " + (runs.ended.contains(it.id) ? since(runs.ended[it.id]) : "-")
                          : "not run")
                + ", " + (it.status != 0 ? "answered " + std::to_string(it.status) : "connection closed without an answer") + " at "
                + since(it.endedAt) + (isLost ? ": LOST" : ""));
        }
        for (const LookUp &it : connections.lookUps()) {
            record.write("look-up " + it.id + " sent to " + vm.name() + " at " + std::to_string(record.seconds(it.sentAt)) + ": "
                         + (it.status == 0 ? std::string("no answer") : std::to_string(it.status)));
        }
        if (hasTrouble()) {
            vm.start();
        }
    }
}

int runCase(const std::string &recordName)
{
    Record record(recordName);
    TemporaryFolder folder;
    Store store;
    Runs runs;
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < serverCount; ++i) {
        servers.push_back(std::make_unique<Server>(
            store, record, ServerOptions{.id = "i-" + std::to_string(i), .service = "till", .slots = serverSlots, .isRecorded = false}));
        const auto isOrder = [](const HttpMessage &request) { return request.word(1).starts_with("/orders/"); };
        servers.back()->workFor = [=](const HttpMessage &request) { return isOrder(request) ? Ms(orderWork) : 5ms; };
        servers.back()->onArrival = [&runs, isOrder](const HttpMessage &request) {
            const std::lock_guard lock(runs.mutex);
            if (isOrder(request)) {
                runs.begun[request.field("X-Request-Id")] = SteadyClock::now();
            } else {
                runs.lookUps.emplace_back(SteadyClock::now(), request.field("X-Request-Id"));
            }
        };
        servers.back()->onEnd = [&runs, isOrder](const HttpMessage &request) {
            const std::lock_guard lock(runs.mutex);
            if (isOrder(request)) {
                runs.ended[request.field("X-Request-Id")] = SteadyClock::now();
            }
        };
    }
    store.put("config",
              "main",
              makeConfiguration(
                  7,
                  "shop.example",
                  {{.name = "r-orders", .prefix = "/orders/", .type = "unsafe", .service = "till", .timeoutMs = 6000, .objectiveMs = 3000},
                   {.name = "r-look", .prefix = "/look/", .type = "safe", .service = "till", .timeoutMs = 1200}},
                  {"till"},
                  {{.name = "shops", .keys = {"keyofshops0123456789"}, .ratePerSecond = 5000, .burst = 5000}}));
    std::atomic<bool> isEnding = false;
    std::thread beats([&] {
        while (!isEnding) {
            std::for_each(servers.begin(), servers.end(), [](const auto &it) { it->beat(); });
            for (int i = 0; i < 15 && !isEnding; ++i) {
                sleepFor(100ms);
            }
        }
    });
    std::vector<std::string> ips;
    for (int i = 0; i < vmCount; ++i) {
        ips.push_back("127.0.11." + std::to_string(i + 1));
    }
    const FleetPorts ports{
        .front = findFreePort(ips), .ready = findFreePort(ips), .directory = findFreePort(ips), .peers = findFreePort(ips)};
    std::vector<std::unique_ptr<Vm>> vms;
    for (int i = 0; i < vmCount; ++i) {
        vms.push_back(std::make_unique<Vm>("edge-" + std::to_string(i + 1), ips.at(i), ports, store.port(), folder.name()));
        vms.back()->start();
    }
    Result result;
    const TimePoint startedAt = SteadyClock::now();
    std::vector<std::thread> operators;
    for (std::size_t i = 0; i < vms.size(); ++i) {
        operators.emplace_back([&, i] {
            sleepFor(4000ms * static_cast<int>(i)); // in turn
            stopAndStart(*vms[i], record, runs, result, startedAt + caseTime);
        });
    }
    std::for_each(operators.begin(), operators.end(), [](std::thread &it) { it.join(); });
    std::string line = "stops " + std::to_string(result.stops) + ", ended by SIGKILL only " + std::to_string(result.killed) + ", orders "
        + std::to_string(result.orders) + ", lost " + std::to_string(result.lost) + "; look-ups by status";
    for (const auto &[status, n] : result.lookUps) {
        line += " " + (status == 0 ? std::string("none") : std::to_string(status)) + "=" + std::to_string(n);
    }
    for (const auto &[time, id] : runs.lookUps) {
        record.write("look-up " + id + " run at " + std::to_string(record.seconds(time)));
    }
    record.write(line);
    std::cout << line << '\n';
    record.write(result.lost > 0 ? "BROKEN: LOST" : "held");
    isEnding = true;
    beats.join();
    vms.clear();
    endCase(folder, result.stops == 0 ? NotRun : result.lost > 0 ? Broken : Held);
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
