// Planned stop of real pollenspoked processes by signals, in both ways of running it: with its own object API and in a fleet on a
// shared platform.
#include "processes.h"
#include "proxy_fixture.h"
#include "store_stand_in.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fcntl.h>
#include <pollenspoke/web.h>
#include <sys/stat.h>
#include <unistd.h>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

constexpr int successStatus = 0;
constexpr int requestsAbortedStatus = 3;
constexpr auto exitAllowance = 5s; // beyond a stop's total time, for a loaded machine

// Times of a planned stop, counted from the signal.
struct StopTimes
{
    std::chrono::milliseconds addressTtl{100}; // in a fleet, determines the accept time
    std::chrono::milliseconds leaveTime{100};  // the listener stays open; with the own object API, also the accept time
    std::chrono::milliseconds totalTime{20000};
};

constexpr StopTimes longStop{.leaveTime = 25s, .totalTime = 30s};
constexpr StopTimes shortStop{.leaveTime = 300ms, .totalTime = 1500ms};

std::string fleetSettings(const StopTimes &times)
{
    constexpr auto exitTime = 400ms; // of the grace time, not part of the stop
    return "fleet: {address_ttl_ms: " + std::to_string(times.addressTtl.count()) + ", leave_ms: " + std::to_string(times.leaveTime.count())
        + ", grace_ms: " + std::to_string((times.totalTime + exitTime).count()) + ", watch_wait_ms: 1000}\n";
}

// Records each request and answers it at once, or once open() has been called if it is closed.
class GatedTarget
{
public:
    explicit GatedTarget(bool isOpen)
        : m_isOpen(isOpen)
        , m_target([this](AcceptedConnection &connection) { serve(connection); })
    {
    }
    ~GatedTarget() { open(); }
    GatedTarget(const GatedTarget &) = delete;
    GatedTarget &operator=(const GatedTarget &) = delete;

    Address address() const { return m_target.address(); }
    std::size_t received() const { return m_target.requests().size(); }
    void open()
    {
        m_isOpen = true;
        m_isOpen.notify_all();
    }
    void close() { m_isOpen = false; }

private:
    void serve(AcceptedConnection &connection)
    {
        while (const std::optional<ReceivedRequest> request = connection.readRequest()) {
            m_target.recordRequest(*request);
            m_isOpen.wait(false);
            std::string headers = "X-Response-Signature: s\r\n";
            for (const char *it : {"X-Request-Id", "Pollenspoke-Request-Id"}) {
                const std::string id = request->header(it);
                headers += id.empty() ? "" : std::string(it) + ": " + id + "\r\n";
            }
            connection.send(makeResponse("done", headers));
        }
    }

    std::atomic<bool> m_isOpen;
    ScriptedTarget m_target; // declared last: its threads use the other members
};

enum class StoreState {
    Filled,
    Empty, // the Vm never gets a configuration; with its own object API, the store can't be reached
    Hung,  // takes each call and never answers
};

// What the two ways of running pollenspoked have in common.
class RunningVm
{
public:
    RunningVm() = default;
    RunningVm(const RunningVm &) = delete;
    RunningVm &operator=(const RunningVm &) = delete;

    GatedTarget target{true};
    ScratchFolder folder;
    Address callers = closedPortAddress();
    std::unique_ptr<Process> process;
    std::size_t probes = 0; // requests that the target received before the test began

    std::size_t received() const { return target.received() - probes; }
    void signal(int number) const { process->signal(number); }
    std::string log() const { return readFile(folder.path("vm.log")); }

    // Waits for the process to exit and checks that it isn't later than the stop allows.
    int waitForExit(const StopTimes &times) const
    {
        const auto startedAt = std::chrono::steady_clock::now();
        const int status = process->wait();
        BOOST_TEST((std::chrono::steady_clock::now() - startedAt < times.totalTime + exitAllowance));
        return status;
    }

protected:
    void startProcess(const std::string &settingsText)
    {
        const std::string file = folder.write("vm.yaml", "vm: {name: vm-1, failure_domain: fd-a}\nworkers: 1\n" + settingsText);
        process
            = std::make_unique<Process>(binaryPath("pollenspoked"), std::vector<std::string>{"--settings", file}, folder.path("vm.log"));
    }

    static unsigned expectedReadiness(StoreState storeState) { return storeState == StoreState::Filled ? 200 : 503; }

    static unsigned pageStatus(const Address &server, const std::string &path)
    {
        const HttpExchange exchange = HttpClient({server.ip, server.port}).send({"GET", path, "", {}, ""}, 2000);
        return exchange.outcome == HttpOutcome::Answered ? exchange.reply.status : 0;
    }
};

// A single Vm with its own object API.
class OwnApiVm : public RunningVm
{
public:
    explicit OwnApiVm(const StopTimes &times, StoreState storeState = StoreState::Filled)
    {
        const std::string resources
            = "kind: ClientAccount\nname: shop-1\nspec: {limits: {rate_per_s: 100000, burst: 100000}}\n---\nkind: Key\nname: k1\n"
              "spec: {account: shop-1, sha256: \""
            + sha256Hex(testSecret) + "\"}\n---\nkind: Service\nname: work\nspec: {targets: [{name: t1, address: \""
            + toString(target.address())
            + "\", slots: 8}]}\n---\nkind: Route\nname: work\nspec: {match: {path_prefix: /work}, service: work, deadline_ms: 60000}\n";
        const Address store = storeState == StoreState::Hung ? m_hungStore.address() : closedPortAddress();
        const std::string platform = storeState == StoreState::Filled
            ? "{kind: embedded, resources: \"" + folder.write("resources.yaml", resources) + "\"}"
            : "{kind: http, url: \"http://" + toString(store) + "\"}";
        startProcess("listen: {callers: \"" + toString(callers) + "\", operators: \"" + toString(m_operators) + "\"}\nplatform: " + platform
                     + "\naddress_ttl_ms: " + std::to_string(times.leaveTime.count())
                     + "\ndrain_timeout_ms: " + std::to_string((times.totalTime - times.leaveTime).count()) + "\n");
        BOOST_REQUIRE_MESSAGE(eventually([this, storeState] { return readiness() == expectedReadiness(storeState); }), log());
    }

    unsigned readiness() const { return pageStatus(m_operators, "/healthz"); }

    static std::string makePost(const std::string &content, std::size_t length)
    {
        return "POST /work/order HTTP/1.1\r\nHost: test\r\nX-Api-Key: " + testSecret + "\r\nContent-Length: " + std::to_string(length)
            + "\r\n\r\n" + content;
    }

private:
    ScriptedTarget m_hungStore{[](AcceptedConnection &connection) { connection.readUntilClose(); }};
    Address m_operators = closedPortAddress();
};

// A Vm of a fleet on a shared platform.
class FleetMember : public RunningVm
{
public:
    explicit FleetMember(const StopTimes &times, StoreState storeState = StoreState::Filled)
    {
        if (storeState == StoreState::Filled) {
            configure();
        }
        if (storeState == StoreState::Hung) {
            m_store.setFault(StoreFault::Silent);
        }
        startProcess("listen: {callers: \"" + toString(callers) + "\", readiness: \"" + toString(m_readiness) + "\", addresses: \""
                     + toString(m_addresses) + "\", peers: \"" + toString(closedPortAddress()) + "\"}\nplatform: {kind: shared, store: \""
                     + toString(m_store.address()) + "\"}\n" + fleetSettings(times));
        BOOST_REQUIRE_MESSAGE(eventually([this, storeState] { return readiness() == expectedReadiness(storeState); }), log());
        BOOST_REQUIRE_MESSAGE(storeState != StoreState::Filled || eventually([this] { return sendProbe(); }), log()); // it has its seat
    }

    void configure()
    {
        m_store.put("servers",
                    "i-1",
                    R"({"service":"s-1","address":")" + toString(target.address())
                        + R"(","zone":"fd-a","version":"v1","slots":8,"state":"ready","warmup-left-ms":0,"sequence":1})");
        m_store.put("config",
                    "main",
                    R"({"version":"00000001","tenants":[{"name":"shop-1","api-keys":["secret-1"],"rate-per-s":100000,"burst":100000}],)"
                    R"("listeners":[{"hostname":"test","rules":[{"name":"r-1","route-type":"unsafe","target-latency-ms":600,"priority":1,)"
                    R"("match":{"path-prefix":"/work/"},"action":{"service":"s-1","timeout-ms":60000,"max-attempts":2}}]}],)"
                    R"("clusters":[{"name":"s-1","health-path":"/health","max-connections":360}]})");
    }

    unsigned readiness() const { return pageStatus(m_readiness, "/api/readiness"); }
    bool isInAddressAnswer() const
    {
        const HttpExchange exchange
            = HttpClient({m_addresses.ip, m_addresses.port}).send({"GET", "/api/resolve", "name=test&zone=fd-a", {}, ""}, 2000);
        return exchange.reply.body.find(toString(callers)) != std::string::npos;
    }

    static std::string makePost(const std::string &content, std::size_t length)
    {
        return "POST /work/order HTTP/1.1\r\nHost: test\r\nX-Request-Id: order-1\r\nX-Deadline-Ms: 60000\r\nAuthorization: Bearer "
               "secret-1\r\nContent-Length: "
            + std::to_string(length) + "\r\n\r\n" + content;
    }

private:
    bool sendProbe()
    {
        RawCaller caller(callers.port);
        caller.send(makePost("hi", 2));
        const bool isServed = caller.readResponse().status == 200U;
        probes = target.received();
        return isServed;
    }

    FakeStore m_store;
    Address m_readiness = closedPortAddress();
    Address m_addresses = closedPortAddress();
};

using VmKinds = std::tuple<OwnApiVm, FleetMember>;

// Sends a request that the target begins and doesn't answer before it is opened.
template<typename VmKind>
void startOrder(VmKind &vm, RawCaller &caller)
{
    const std::size_t before = vm.received();
    vm.target.close();
    caller.send(VmKind::makePost("hi", 2));
    BOOST_REQUIRE(eventually([&vm, before] { return vm.received() == before + 1; }));
}

template<typename VmKind>
bool waitForLeaving(const VmKind &vm)
{
    return eventually([&vm] { return vm.readiness() == 503; });
}

void checkNotRun(const RawCaller::Response &response)
{
    BOOST_TEST(response.status == 503U);
    BOOST_TEST(response.isComplete);
    BOOST_TEST(response.header("Pollenspoke-Run") == "not-run");
    BOOST_TEST(response.header("Connection") == "close");
    BOOST_TEST(response.body.find("\"reason\":\"shutting_down\"") != std::string::npos, response.body);
}

void checkUnknown(const RawCaller::Response &response)
{
    BOOST_TEST(response.status >= 500U);
    BOOST_TEST(response.isComplete);
    BOOST_TEST(response.header("Pollenspoke-Run") == "unknown");
    BOOST_TEST(response.header("Connection") == "close");
}

// The value of a text member of a problem body.
std::string readProblemMember(const std::string &body, const std::string &name)
{
    JsonValue problem;
    std::string parseError;
    const bool isParsed = parseJsonText(body, problem, parseError);
    const JsonValue *value = isParsed ? problem.find(name) : nullptr;
    return value == nullptr ? "" : value->text;
}

} // namespace

//-----------------------------------------------------------------------------
// Phases of a stop
//-----------------------------------------------------------------------------

// Callers kept getting the address of a Vm that was about to end; those that had it before were turned away.
BOOST_AUTO_TEST_CASE(a_leaving_fleet_member_is_no_longer_offered_at_once_and_still_accepts_requests)
{
    const FleetMember vm({.addressTtl = 20s, .leaveTime = 50s, .totalTime = 60s});
    BOOST_REQUIRE(eventually([&vm] { return vm.isInAddressAnswer(); }));
    vm.signal(SIGTERM);
    BOOST_TEST(eventually([&vm] { return vm.readiness() == 503; }));
    BOOST_TEST(eventually([&vm] { return !vm.isInAddressAnswer(); }));
    RawCaller caller(vm.callers.port);
    caller.send(FleetMember::makePost("hi", 2));
    BOOST_TEST(caller.readResponse().status == 200U);
}

// A request that arrived 3.7 s after SIGTERM with 8 s of time was begun at a target and cut off unanswered when the process ended.
BOOST_AUTO_TEST_CASE(a_fleet_member_refuses_late_requests_that_may_outlive_it_and_sends_them_to_no_target)
{
    const FleetMember vm(longStop);
    RawCaller kept(vm.callers.port);
    vm.signal(SIGTERM);
    std::size_t served = 0;
    RawCaller::Response response;
    BOOST_TEST(eventually([&] {
        RawCaller caller(vm.callers.port);
        caller.send(FleetMember::makePost("hi", 2));
        response = caller.readResponse();
        served += response.status == 200U ? 1 : 0;
        return response.status != 200U;
    }));
    checkNotRun(response);
    kept.send(FleetMember::makePost("hi", 2));
    checkNotRun(kept.readResponse());
    BOOST_TEST(vm.received() == served);
}

// A request that was complete only when the process had little time left was begun at a target.
BOOST_AUTO_TEST_CASE_TEMPLATE(a_request_whose_body_arrives_late_in_the_stop_is_refused, VmKind, VmKinds)
{
    const VmKind vm({.leaveTime = 100ms, .totalTime = 30s});
    RawCaller caller(vm.callers.port);
    caller.send(VmKind::makePost("h", 2));
    BOOST_TEST(vm.readiness() == 200U); // a round trip: the head has arrived, too
    vm.signal(SIGTERM);
    BOOST_REQUIRE(waitForLeaving(vm));
    std::this_thread::sleep_for(1200ms); // longer than the accept time
    caller.send("i");
    checkNotRun(caller.readResponse());
    BOOST_TEST(vm.received() == 0U);
}

// A request that a target was running when the process ended got no answer, and no log line told which one it was.
BOOST_AUTO_TEST_CASE_TEMPLATE(a_request_that_is_running_at_the_end_is_answered_as_unknown_and_logged, VmKind, VmKinds)
{
    VmKind vm(shortStop);
    RawCaller caller(vm.callers.port);
    startOrder(vm, caller);
    vm.signal(SIGTERM);
    BOOST_TEST(vm.waitForExit(shortStop) == requestsAbortedStatus);
    const RawCaller::Response response = caller.readResponse();
    checkUnknown(response);
    const std::string requestId = readProblemMember(response.body, "request_id");
    BOOST_TEST(!requestId.empty());
    BOOST_TEST(vm.log().find("\"request_id\":\"" + requestId + "\"") != std::string::npos, vm.log());
}

// A caller that stalled within its request got no answer when the process ended, though no target had seen the request.
BOOST_AUTO_TEST_CASE_TEMPLATE(a_request_that_never_arrived_whole_is_answered_as_not_run_at_the_end, VmKind, VmKinds)
{
    const VmKind vm(shortStop);
    RawCaller caller(vm.callers.port);
    caller.send(VmKind::makePost("h", 2));
    BOOST_TEST(vm.readiness() == 200U); // a round trip: the head has arrived, too
    vm.signal(SIGTERM);
    vm.waitForExit(shortStop);
    checkNotRun(caller.readResponse());
    BOOST_TEST(vm.received() == 0U);
}

// With a leave time longer than the whole stop, or a process held up meanwhile, no time was left for the answers.
BOOST_AUTO_TEST_CASE(a_leave_time_longer_than_the_stop_leaves_time_for_the_last_answers)
{
    constexpr StopTimes times{.leaveTime = 3000ms, .totalTime = 1000ms};
    FleetMember vm(times);
    RawCaller caller(vm.callers.port);
    startOrder(vm, caller);
    vm.signal(SIGTERM);
    BOOST_TEST(vm.waitForExit(times) == requestsAbortedStatus);
    checkUnknown(caller.readResponse());
}

// A process that was suspended during its stop, until after its end, closed its connections without an answer.
BOOST_AUTO_TEST_CASE_TEMPLATE(a_process_suspended_until_after_its_stop_still_answers, VmKind, VmKinds)
{
    VmKind vm(shortStop);
    RawCaller caller(vm.callers.port);
    startOrder(vm, caller);
    vm.signal(SIGTERM);
    BOOST_REQUIRE(waitForLeaving(vm));
    vm.signal(SIGSTOP);
    std::this_thread::sleep_for(shortStop.totalTime);
    vm.signal(SIGCONT);
    vm.waitForExit(shortStop);
    checkUnknown(caller.readResponse());
}

//-----------------------------------------------------------------------------
// Signals
//-----------------------------------------------------------------------------

// A second signal ended the process at once, and with it the requests it had accepted.
BOOST_AUTO_TEST_CASE_TEMPLATE(further_signals_during_the_stop_change_nothing, VmKind, VmKinds)
{
    constexpr StopTimes times{.leaveTime = 300ms, .totalTime = 20s};
    VmKind vm(times);
    RawCaller caller(vm.callers.port);
    startOrder(vm, caller);
    vm.signal(SIGTERM);
    BOOST_REQUIRE(waitForLeaving(vm));
    for (const int it : {SIGTERM, SIGHUP, SIGINT}) {
        vm.signal(it);
    }
    vm.target.open();
    BOOST_TEST(caller.readResponse().body == "done");
    caller.closeNow();
    BOOST_TEST(vm.waitForExit(times) == successStatus, vm.log());
}

// A SIGHUP that was still pending ended the process, or hid the SIGTERM behind it.
BOOST_AUTO_TEST_CASE_TEMPLATE(sighup_before_sigterm_does_not_prevent_an_orderly_stop, VmKind, VmKinds)
{
    constexpr StopTimes times{.leaveTime = 300ms, .totalTime = 20s};
    VmKind vm(times);
    RawCaller caller(vm.callers.port);
    startOrder(vm, caller);
    for (const int it : {SIGSTOP, SIGHUP, SIGTERM, SIGCONT}) { // both are pending when the process goes on
        vm.signal(it);
    }
    BOOST_REQUIRE(waitForLeaving(vm));
    vm.target.open();
    BOOST_TEST(caller.readResponse().body == "done");
    caller.closeNow();
    BOOST_TEST(vm.waitForExit(times) == successStatus, vm.log());
    BOOST_TEST(vm.log().find("settings_checked") != std::string::npos, vm.log());
}

// SIGHUP asks for a check of the settings; a process that waited for its first configuration ended on it.
BOOST_AUTO_TEST_CASE_TEMPLATE(sighup_before_the_first_configuration_does_not_end_the_process, VmKind, VmKinds)
{
    const VmKind vm(shortStop, StoreState::Empty);
    vm.signal(SIGHUP);
    BOOST_TEST(eventually([&vm] { return vm.log().find("settings_checked") != std::string::npos; }), vm.log());
    BOOST_TEST(vm.readiness() == 503U); // still running
    vm.signal(SIGTERM);
    BOOST_TEST(vm.waitForExit(shortStop) == successStatus, vm.log());
}

// A process without a configuration has nothing to finish and must not wait for one.
BOOST_AUTO_TEST_CASE_TEMPLATE(sigterm_before_the_first_configuration_ends_the_process_with_success, VmKind, VmKinds)
{
    const VmKind vm(shortStop, StoreState::Empty);
    vm.signal(SIGTERM);
    BOOST_TEST(vm.waitForExit(shortStop) == successStatus, vm.log());
}

// A process that waited for a store that hangs ended long after its stop, or was killed in it.
BOOST_AUTO_TEST_CASE_TEMPLATE(sigterm_ends_the_process_in_time_although_the_store_hangs, VmKind, VmKinds)
{
    const VmKind vm(shortStop, StoreState::Hung);
    vm.signal(SIGTERM);
    BOOST_TEST(vm.waitForExit(shortStop) == successStatus, vm.log());
}

namespace {

// A process that is held while it reads its settings, which come through a named pipe.
struct ProcessReadingSettings
{
    ProcessReadingSettings()
    {
        std::signal(SIGPIPE, SIG_IGN); // a process that ended closes the pipe
        const std::string file = folder.path("vm.yaml");
        BOOST_REQUIRE(::mkfifo(file.c_str(), 0600) == 0);
        process
            = std::make_unique<Process>(binaryPath("pollenspoked"), std::vector<std::string>{"--settings", file}, folder.path("vm.log"));
        BOOST_REQUIRE(eventually([this, &file] { // can be opened once the process is reading
            pipe = ::open(file.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
            return pipe >= 0;
        }));
    }
    ~ProcessReadingSettings() { ::close(pipe); }
    ProcessReadingSettings(const ProcessReadingSettings &) = delete;
    ProcessReadingSettings &operator=(const ProcessReadingSettings &) = delete;

    // Lets the process go on. A later check of the settings finds a regular file.
    void finishSettings()
    {
        const std::string resources
            = folder.write("resources.yaml", "kind: ClientAccount\nname: shop-1\nspec: {limits: {rate_per_s: 1, burst: 1}}\n");
        const std::string text = "vm: {name: vm-1, failure_domain: fd-a}\nlisten: {callers: \"" + toString(closedPortAddress())
            + "\", operators: \"" + toString(operators) + "\"}\nplatform: {kind: embedded, resources: \"" + resources
            + "\"}\naddress_ttl_ms: 100\ndrain_timeout_ms: 1000\n";
        BOOST_REQUIRE(::rename(folder.write("regular.yaml", text).c_str(), folder.path("vm.yaml").c_str()) == 0);
        const ssize_t n = ::write(pipe, text.data(), text.size());
        BOOST_TEST(n == static_cast<ssize_t>(text.size()), "the process has ended");
        ::close(std::exchange(pipe, -1));
    }
    bool isReady() const
    {
        const HttpExchange exchange = HttpClient({operators.ip, operators.port}).send({"GET", "/healthz", "", {}, ""}, 2000);
        return exchange.outcome == HttpOutcome::Answered && exchange.reply.status == 200;
    }

    ScratchFolder folder;
    Address operators = closedPortAddress();
    std::unique_ptr<Process> process;
    int pipe = -1;
};

} // namespace

// A SIGHUP sent to a process that had just been started ended it, since it hadn't set up its signals yet.
BOOST_AUTO_TEST_CASE(sighup_while_the_settings_are_read_does_not_end_the_process)
{
    ProcessReadingSettings starting;
    starting.process->signal(SIGHUP);
    starting.finishSettings();
    BOOST_TEST(eventually([&starting] { return starting.isReady(); }), readFile(starting.folder.path("vm.log")));
    starting.process->signal(SIGTERM);
    BOOST_TEST(starting.process->wait() == successStatus);
}

// A SIGTERM sent to a process that had just been started was lost, and the process went on serving.
BOOST_AUTO_TEST_CASE(sigterm_while_the_settings_are_read_ends_the_process)
{
    ProcessReadingSettings starting;
    starting.process->signal(SIGTERM);
    starting.finishSettings();
    const int status = starting.process->wait();
    BOOST_TEST((status == successStatus || status == 128 + SIGTERM));
}
