// A server begins to leave while safe requests are at work there on kept connections, on a machine that got SIGTERM. At half of the time
// that is left, the machine takes the silent connections for dead and gives the requests up, to send them once more on new connections. It
// may not send them to a leaving server any more, nor to another one, and answers 502 instead.
// Checks LOST: after a SIGTERM, a request is broken off at which its server is at work, and gets an answer of the machine's own.
#include "../standins-2.h"

using namespace standins;

namespace {

constexpr int longRequests = 20;
constexpr double routeTimeoutS = 6;
constexpr int workMs = 3500; // of a long request; the others take 100 ms

constexpr const char *configuration
    = R"({"version":"00000007","limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000},)"
      R"("tenants":[{"name":"shop","api-keys":["keyofthetenant000001"],"priority":1,"rate-per-s":400,"burst":400}],)"
      R"("listeners":[{"hostname":"shop.example","rules":[{"name":"calendar","route-type":"safe","target-latency-ms":2000,"priority":2,)"
      R"("anonymous":false,"match":{"path-prefix":"/calendar/"},"action":{"service":"crew","timeout-ms":6000,"max-attempts":1}}]}],)"
      R"("clusters":[{"name":"crew","health-path":"/health","max-connections":330,"protocol":"h1","tls":false}]})";

struct Outcome
{
    double sentAt = 0;
    double answeredAt = 0;
    int status = 0;
    bool hasSignature = false;
};

// Sends one request on a connection of its own.
Outcome request(Record &record, const Address &machine, const std::string &id, const std::string &path, const std::string &key)
{
    Connection connection;
    Message answer;
    Outcome outcome;
    if (!connection.connect(machine, 1000)) {
        return outcome;
    }
    outcome.sentAt = nowS();
    record.line("sent " + id + " " + path);
    if (connection.send("GET " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
                        + "\r\nX-Deadline-Ms: 8000\r\nAuthorization: Bearer " + key + "\r\n\r\n")
        && readMessage(connection, answer, 8000)) {
        outcome.status = answer.status();
        outcome.hasSignature = !answer.header("x-response-signature").empty();
    }
    outcome.answeredAt = nowS();
    record.line("answer " + id + " " + std::to_string(outcome.status) + (outcome.hasSignature ? " of a server" : ""));
    return outcome;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
    Folder folder;
    Store store(record);
    store.put("config", "main", configuration);
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 1; i <= 6; ++i) {
        servers.push_back(std::make_unique<Server>(store, record, "i-" + std::to_string(i), "crew", i % 2 == 0 ? "z-a" : "z-b", 100, workMs));
    }
    Store::Gate &gate = store.openGate("127.0.0.1");
    Machine a("edge-a-1", "z-a", "127.0.0.2", gate.listener->address(), folder.path());
    Machine b("edge-b-1", "z-b", "127.0.0.3", gate.listener->address(), folder.path());
    a.start();
    b.start();
    if (!a.waitReady(10000) || !b.waitReady(10000)) {
        record.note("the machines don't get ready");
        return 2;
    }
    sleepMs(4000); // the seats of a new fleet are in use
    for (int round = 0; round < 3; ++round) { // ordinary requests, which leave kept connections to the servers
        std::vector<std::thread> ordinary;
        for (int i = 0; i < longRequests; ++i) {
            ordinary.emplace_back([&, i, round] {
                request(record, a.front, "w" + std::to_string(round) + "-" + std::to_string(i), "/calendar/short", "keyofthetenant000001");
            });
        }
        for (std::thread &it : ordinary) {
            it.join();
        }
    }
    std::vector<Outcome> outcomes(longRequests);
    std::vector<std::thread> clients;
    for (int i = 0; i < longRequests; ++i) {
        clients.emplace_back([&, i] {
            outcomes[static_cast<std::size_t>(i)] = request(record, a.front, "l" + std::to_string(i), "/calendar/long", "keyofthetenant000001");
        });
    }
    sleepMs(500);
    std::thread stop;
    if (hasTrouble()) {
        record.note("SIGTERM: edge-a-1");
        stop = std::thread([&] { a.stop(SIGTERM); });
        sleepMs(500);
        for (int i = 7; i <= 12; ++i) {
            servers.push_back(std::make_unique<Server>(store, record, "i-" + std::to_string(i), "crew", i % 2 == 0 ? "z-a" : "z-b", 100, workMs));
        }
        sleepMs(200);
        for (int i = 0; i < 6; ++i) {
            servers[static_cast<std::size_t>(i)]->drain();
        }
        record.note("release: six new servers are ready, the six old ones report that they are draining, and go on serving");
    }
    for (std::thread &it : clients) {
        it.join();
    }
    if (stop.joinable()) {
        stop.join();
    } else if (a.hasEnded()) {
        record.note("a process ended by itself");
        return 2;
    }
    std::map<int, int> statuses;
    int given = 0;
    for (int i = 0; i < longRequests; ++i) {
        const Outcome &it = outcomes[static_cast<std::size_t>(i)];
        ++statuses[it.status];
        std::vector<std::string> at;
        double ranAt = 0;
        for (const auto &server : servers) {
            for (const Run &run : server->runs()) {
                if (run.id == "l" + std::to_string(i)) {
                    at.push_back(run.server);
                    ranAt = run.at;
                }
            }
        }
        // Excused: the route's timeout was reached.
        const bool isExcused = it.answeredAt - it.sentAt > routeTimeoutS - .05;
        const bool isBroken = !at.empty() && it.answeredAt < ranAt + workMs / 1000.0 && !it.hasSignature && !isExcused;
        given += isBroken ? 1 : 0;
        std::ostringstream line;
        line << "l" << i << ": sent " << it.sentAt << ", last ran at " << (at.empty() ? "none" : at.back()) << " from " << ranAt << ", answered "
             << it.answeredAt << " with " << it.status << (isBroken ? ": broken off, answer of the machine's own" : "");
        record.line(line.str());
    }
    std::string line = "statuses of the long requests:";
    for (const auto &[status, n] : statuses) {
        line += " " + std::to_string(status) + ":" + std::to_string(n);
    }
    record.note(line);
    record.note(std::to_string(given) + " of " + std::to_string(longRequests)
                + " requests were broken off at a server at work, and got an answer of the machine's own");
    if (given == 0 && statuses[200] + statuses[504] < longRequests) {
        record.note("the case couldn't run");
        return 2;
    }
    record.note(given > 0 ? "LOST is broken" : "LOST holds");
    return given > 0 ? 1 : 0;
}
