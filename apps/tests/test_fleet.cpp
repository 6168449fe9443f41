// End-to-end tests with real processes: a pollenspoked with an embedded store as the platform, several that follow it, and
// pollenspokectl.
#include "processes.h"
#include "proxy_fixture.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <pollenspoke/web.h>

using namespace Pollenspoke;

namespace {

constexpr std::size_t vmCount = 4;
constexpr int successStatus = 0;
constexpr int refusedStatus = 1;
constexpr int unavailableStatus = 2;

/// A target that counts requests and responds with its name.
class CountingTarget
{
public:
    explicit CountingTarget(std::string name)
        : m_name(std::move(name))
        , m_port(findFreePort())
        , m_server({"127.0.0.1", m_port}, [this](const HttpRequest &request) {
            ++m_requests;
            return HttpReply{200, {{"Pollenspoke-Request-Id", findHeader(request.headers, "Pollenspoke-Request-Id")}}, m_name};
        })
    {
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    unsigned requests() const { return m_requests; }

private:
    std::string m_name;
    std::uint16_t m_port;
    std::atomic<unsigned> m_requests{0};
    HttpServer m_server;
};

/// One pollenspoked process.
struct RunningVm
{
    std::string name;
    std::uint16_t callers = findFreePort();
    std::uint16_t operators = findFreePort();
    std::unique_ptr<Process> process;

    std::string url() const { return "http://127.0.0.1:" + std::to_string(operators); }
    HttpExchange get(const std::string &path) const { return HttpClient({"127.0.0.1", operators}).send({"GET", path, "", {}, ""}, 2000); }
    bool isReady() const
    {
        const HttpExchange exchange = get("/healthz");
        return exchange.outcome == HttpOutcome::Answered && exchange.reply.status == 200;
    }
    std::string status() const { return get("/status").reply.body; }
    std::uint64_t metric(const std::string &metricName) const
    {
        const std::string text = get("/metrics").reply.body;
        const std::string line = "\npollenspoke_" + metricName + " ";
        const auto position = text.find(line);
        return position == std::string::npos ? 0 : std::stoull(text.substr(position + line.size()));
    }
};

class Fleet
{
public:
    Fleet()
    {
        platform.name = "platform";
        startPlatform();
        for (std::size_t i = 0; i < vms.size(); ++i) {
            vms[i].name = "vm-" + std::to_string(i + 1);
            start(vms[i], "{kind: http, url: \"" + platform.url() + "\"}");
        }
        for (const RunningVm &it : vms) {
            BOOST_REQUIRE_MESSAGE(eventually([&it] { return it.isReady(); }), it.name + ": " + readFile(folder.path(it.name + ".log")));
        }
    }

    void startPlatform()
    {
        const std::string file = folder.write("resources.yaml", resources());
        start(platform, "{kind: embedded, resources: \"" + file + "\"}");
        BOOST_REQUIRE_MESSAGE(eventually([this] { return platform.isReady(); }), readFile(folder.path("platform.log")));
    }

    ProcessResult runCtl(const std::vector<std::string> &arguments, const RunningVm &vm)
    {
        const std::string output = folder.path("ctl-" + std::to_string(++m_ctlCalls) + ".log");
        std::vector<std::string> all = arguments;
        all.insert(all.end(), {"--server", vm.url()});
        Process process(binaryPath("pollenspokectl"), all, output);
        const int status = process.wait();
        return ProcessResult{.status = status, .output = readFile(output)};
    }

    // Applies one document through a Vm and waits until it is in force on all Vms, for at most the promised 3 s.
    void applyToAllVms(const std::string &yaml, const RunningVm &vm)
    {
        const ProcessResult applied = runCtl({"apply", "-f", folder.write("change.yaml", yaml)}, vm);
        BOOST_REQUIRE_MESSAGE(applied.status == successStatus, applied.output);
        waitForAllVms(parseVersion(applied.output));
    }

    void waitForAllVms(const std::string &revision)
    {
        std::string servers;
        for (const RunningVm &it : vms) {
            servers += (servers.empty() ? "" : ",") + it.url();
        }
        Process process(
            binaryPath("pollenspokectl"), {"wait", "--in-force", revision, "--timeout", "3", "--server", servers}, folder.path("wait.log"));
        BOOST_REQUIRE_MESSAGE(process.wait() == successStatus, readFile(folder.path("wait.log")));
    }

    void waitForPlatform(const ProcessResult &changed)
    {
        BOOST_REQUIRE_MESSAGE(changed.status == successStatus, changed.output);
        const ProcessResult waited = runCtl({"wait", "--in-force", parseVersion(changed.output), "--timeout", "3"}, platform);
        BOOST_REQUIRE_MESSAGE(waited.status == successStatus, waited.output);
    }

    static std::string parseVersion(const std::string &output) // "7" from "...: changed, version 7"
    {
        const std::string label = "version ";
        const auto position = output.rfind(label);
        BOOST_REQUIRE_MESSAGE(position != std::string::npos, output);
        return std::to_string(std::stoull(output.substr(position + label.size())));
    }

    std::string service(const std::string &firstTargetState) const
    {
        return "kind: Service\nname: work\nspec: {targets: [{name: t1, address: \"" + firstTarget.address()
            + "\", slots: 2, state: " + firstTargetState + "}, {name: t2, address: \"" + secondTarget.address() + "\", slots: 2}]}\n";
    }

    static std::string account(int rate, const std::string &version = "")
    {
        return "kind: ClientAccount\nname: shop-1\n" + (version.empty() ? "" : "version: " + version + "\n")
            + "spec: {limits: {rate_per_s: " + std::to_string(rate) + ", burst: 100000}}\n";
    }

    static std::string route(const std::string &state)
    {
        return "kind: Route\nname: work\nspec: {match: {path_prefix: /work}, service: work, state: " + state + "}\n";
    }

    std::string resources() const
    {
        return account(100000) + "---\nkind: Key\nname: shop-1-k1\nspec: {account: shop-1, sha256: \"" + sha256Hex(testSecret)
            + "\"}\n---\n" + service("serving") + "---\n" + route("open");
    }

    void checkTrafficOnAllVms()
    {
        for (const RunningVm &it : vms) {
            BOOST_TEST(RawCaller(it.callers).request("GET", "/work").status == 200U, it.name);
        }
    }

    ScratchFolder folder;
    CountingTarget firstTarget{"t1"};
    CountingTarget secondTarget{"t2"};
    RunningVm platform;
    std::vector<RunningVm> vms{vmCount};

private:
    void start(RunningVm &vm, const std::string &platformSetting)
    {
        const std::string text = "vm: {name: " + vm.name + ", failure_domain: fd-a}\nlisten: {callers: \"127.0.0.1:"
            + std::to_string(vm.callers) + "\", operators: \"127.0.0.1:" + std::to_string(vm.operators)
            + "\"}\nplatform: " + platformSetting + "\naddress_ttl_ms: 100\nworkers: 1\n";
        const std::string file = folder.write(vm.name + ".yaml", text);
        vm.process = std::make_unique<Process>(
            binaryPath("pollenspoked"), std::vector<std::string>{"--settings", file}, folder.path(vm.name + ".log"));
    }

    unsigned m_ctlCalls = 0;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(change_through_one_vm_is_in_force_on_all, Fleet)
{
    checkTrafficOnAllVms();
    applyToAllVms(route("closed"), vms[1]);
    for (const RunningVm &it : vms) {
        BOOST_TEST(RawCaller(it.callers).request("GET", "/work").status == 503U, it.name);
    }
    applyToAllVms(route("open"), vms[2]);
    checkTrafficOnAllVms();
}

BOOST_FIXTURE_TEST_CASE(withdrawn_key_is_refused_on_an_open_connection, Fleet)
{
    std::vector<std::unique_ptr<RawCaller>> open;
    for (const RunningVm &it : vms) {
        open.push_back(std::make_unique<RawCaller>(it.callers));
        BOOST_TEST(open.back()->request("GET", "/work").status == 200U);
    }
    const ProcessResult withdrawn = runCtl({"key", "withdraw", "shop-1-k1"}, vms[0]);
    BOOST_REQUIRE_MESSAGE(withdrawn.status == successStatus, withdrawn.output);
    waitForAllVms(parseVersion(withdrawn.output));
    for (const auto &it : open) {
        BOOST_TEST(it->request("GET", "/work").status == 401U);
    }
}

BOOST_FIXTURE_TEST_CASE(leaving_target_gets_no_new_work, Fleet)
{
    applyToAllVms(service("leaving"), vms[3]);
    const unsigned before = firstTarget.requests();
    for (const RunningVm &it : vms) {
        for (int i = 0; i < 20; ++i) {
            BOOST_TEST(RawCaller(it.callers).request("GET", "/work").status == 200U);
        }
    }
    BOOST_TEST(firstTarget.requests() == before);
    BOOST_TEST(secondTarget.requests() >= vmCount * 20);
}

BOOST_FIXTURE_TEST_CASE(hung_or_restarted_store_neither_stops_traffic_nor_reverts_configuration, Fleet)
{
    applyToAllVms(service("leaving"), vms[0]);
    const unsigned before = firstTarget.requests();
    platform.process->signal(SIGSTOP);
    for (const RunningVm &it : vms) {
        BOOST_TEST(eventually([&it] { return it.status().find("\"reachable\":false") != std::string::npos; }), it.status());
    }
    checkTrafficOnAllVms();
    const ProcessResult refused = runCtl({"apply", "-f", folder.write("late.yaml", route("closed"))}, vms[0]);
    BOOST_TEST(refused.status == unavailableStatus, refused.output);
    platform.process->signal(SIGCONT);
    for (const RunningVm &it : vms) {
        BOOST_TEST(eventually([&it] { return it.status().find("\"reachable\":true") != std::string::npos; }), it.status());
    }
    checkTrafficOnAllVms();
    // A restarted platform is filled from its file again: an older revision, in which the first target is serving.
    platform.process->signal(SIGKILL);
    platform.process->wait();
    checkTrafficOnAllVms();
    startPlatform();
    for (const RunningVm &it : vms) {
        BOOST_TEST(eventually([&it] { return it.metric("snapshots_refused_total") > 0; }), it.name);
    }
    checkTrafficOnAllVms();
    BOOST_TEST(firstTarget.requests() == before);
}

BOOST_FIXTURE_TEST_CASE(loser_of_concurrent_writes_is_told_the_current_version, Fleet)
{
    const std::string version = "1";
    const std::string fileA = folder.write("a.yaml", account(111, version));
    const std::string fileB = folder.write("b.yaml", account(222, version));
    Process a(binaryPath("pollenspokectl"), {"apply", "-f", fileA, "--server", vms[0].url()}, folder.path("a.log"));
    Process b(binaryPath("pollenspokectl"), {"apply", "-f", fileB, "--server", vms[1].url()}, folder.path("b.log"));
    const int statusA = a.wait();
    const int statusB = b.wait();
    BOOST_TEST(statusA + statusB == refusedStatus, readFile(folder.path("a.log")) + readFile(folder.path("b.log")));
    const std::string winnerOutput = readFile(folder.path(statusA == successStatus ? "a.log" : "b.log"));
    const std::string loserOutput = readFile(folder.path(statusA == successStatus ? "b.log" : "a.log"));
    BOOST_TEST(loserOutput.find("version_conflict") != std::string::npos, loserOutput);
    BOOST_TEST(loserOutput.find("present version " + parseVersion(winnerOutput)) != std::string::npos, winnerOutput + loserOutput);
}

BOOST_FIXTURE_TEST_CASE(refused_write_names_the_field_and_changes_nothing, Fleet)
{
    const std::string before = platform.status();
    const ProcessResult dangling = runCtl(
        {"apply", "-f", folder.write("r.yaml", "kind: Route\nname: r2\nspec: {match: {path_prefix: /x}, service: none}\n")}, vms[0]);
    BOOST_TEST(dangling.status == refusedStatus);
    BOOST_TEST(dangling.output.find("Route/r2: spec.service") != std::string::npos, dangling.output);
    const ProcessResult removed = runCtl({"delete", "Service", "work"}, vms[1]);
    BOOST_TEST(removed.status == refusedStatus);
    BOOST_TEST(removed.output.find("Route/work: spec.service") != std::string::npos, removed.output);
    BOOST_TEST(runCtl({"get", "Route", "r2"}, vms[2]).status == refusedStatus);
    const ProcessResult shown = runCtl({"get", "Service", "work", "-o", "yaml"}, vms[2]);
    BOOST_TEST(shown.status == successStatus);
    BOOST_TEST(parseYaml(shown.output, "shown").has_value(), shown.output);
}

BOOST_FIXTURE_TEST_CASE(limit_and_key_changes_apply_without_restart_on_a_single_vm, Fleet)
{
    RawCaller caller(platform.callers);
    BOOST_TEST(caller.request("GET", "/work").status == 200U);
    const std::string lowered = "kind: ClientAccount\nname: shop-1\nspec: {limits: {rate_per_s: 0.001, burst: 1}}\n";
    waitForPlatform(runCtl({"apply", "-f", folder.write("lowered.yaml", lowered)}, platform));
    caller.request("GET", "/work");
    BOOST_TEST(caller.request("GET", "/work").status == 429U);
    waitForPlatform(runCtl({"key", "withdraw", "shop-1-k1"}, platform));
    BOOST_TEST(caller.request("GET", "/work").status == 401U);
}

BOOST_FIXTURE_TEST_CASE(graceful_shutdown_of_a_following_vm_exits_with_success, Fleet)
{
    for (const RunningVm &it : vms) {
        it.process->signal(SIGTERM);
    }
    for (const RunningVm &it : vms) {
        BOOST_TEST(it.process->wait() == 0, readFile(folder.path(it.name + ".log")));
    }
}
