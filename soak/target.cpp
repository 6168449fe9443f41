#include "target.h"

namespace Pollenspoke {

namespace {

using std::chrono::milliseconds;

constexpr auto serviceTime = milliseconds(8);
constexpr auto slowServiceTime = serviceTime * 20;
constexpr auto requestedPause = std::chrono::seconds(1); // by an overloaded target, with Retry-After
constexpr const char *requestLimit = "3";                // requests/s from all Vms, by a target in need
constexpr const char *signature = "X-Response-Signature: s\r\n";

std::string nextInstanceId()
{
    static std::atomic<unsigned> lastId{0};
    return "i-" + std::to_string(++lastId);
}

std::string makeResponse(const std::string &status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body;
}

std::string pathOf(const ReceivedRequest &request)
{
    const std::size_t start = request.head.find(' ') + 1;
    return request.head.substr(start, request.head.find(' ', start) - start);
}

} // namespace

SoakTarget::SoakTarget(boost::asio::io_context &context, FakeStore &store, Ledger &ledger, std::string service)
    : m_store(store)
    , m_ledger(ledger)
    , m_state{.id = nextInstanceId(), .service = std::move(service)}
    , m_target([this](AcceptedConnection &peer) { serve(peer); })
    , m_link(context, m_target.address())
{
    registerInStore("ready");
}

SoakTarget::State SoakTarget::state() const
{
    const std::lock_guard lock(m_mutex);
    return m_state;
}

void SoakTarget::setMode(TargetMode mode)
{
    const std::lock_guard lock(m_mutex);
    m_state.mode = mode;
    m_ledger.recordLimit(m_state.id, mode == TargetMode::Limiting ? std::optional(std::stod(requestLimit)) : std::nullopt);
}

void SoakTarget::registerInStore(const std::string &registeredState)
{
    State current;
    {
        const std::lock_guard lock(m_mutex);
        m_state.registered = registeredState;
        ++m_state.writeCount;
        current = m_state;
    }
    m_store.put("servers",
                current.id,
                R"({"service":")" + current.service + R"(","address":")" + toString(m_link.address())
                    + R"(","zone":"fd-a","version":"v1","slots":6,"state":")" + registeredState
                    + R"(","warmup-left-ms":0,"born":1790000000000,"sequence":)" + std::to_string(current.writeCount) + "}");
}

void SoakTarget::registerAgain()
{
    registerInStore(state().registered);
}

void SoakTarget::setDraining()
{
    registerInStore("draining");
}

void SoakTarget::replaceInstance(bool switchesService)
{
    m_store.remove("servers", state().id);
    m_link.resetAll();
    {
        const std::lock_guard lock(m_mutex);
        m_state.id = nextInstanceId();
        m_state.registered = "ready";
        if (switchesService) {
            m_state.service = m_state.service == "s-read" ? "s-write" : "s-read";
        }
    }
    registerInStore("ready");
}

void SoakTarget::serve(AcceptedConnection &peer)
{
    while (const std::optional<ReceivedRequest> request = peer.readRequest()) {
        const State current = state();
        const std::string id = request->header("X-Request-Id");
        std::string headers = "X-Request-Id: " + id + "\r\n";
        if (current.registered == "draining") {
            headers += "Server-Leaving: 1\r\nX-Instance-Id: " + current.id + "\r\n";
        }
        if (current.mode == TargetMode::Limiting) {
            headers += std::string("Server-Limit: ") + requestLimit + "\r\nX-Instance-Id: " + current.id + "\r\n";
        }
        if (request->header("X-Target-Instance") != current.id) {
            peer.send(makeResponse("421 Misdirected", headers + "X-Not-Executed: instance\r\n", ""));
            continue;
        }
        m_ledger.recordArrival(id, current.id);
        if (current.mode == TargetMode::Overloaded) {
            m_ledger.recordPause(id, current.id, requestedPause);
            peer.send(makeResponse(
                "503 Full", headers + "X-Not-Executed: full\r\nRetry-After: " + std::to_string(requestedPause.count()) + "\r\n", ""));
            continue;
        }
        m_ledger.recordExecution({.id = id,
                                  .account = request->header("X-Tenant"),
                                  .method = request->method(),
                                  .path = pathOf(*request),
                                  .body = request->body,
                                  .service = current.service,
                                  .hasCallerKey = !request->header("Authorization").empty()});
        if (!respond(peer, id, headers, current.mode)) {
            return;
        }
    }
}

bool SoakTarget::respond(AcceptedConnection &peer, const std::string &id, const std::string &headers, TargetMode mode)
{
    const std::string response = makeResponse("200 OK", headers + signature, Ledger::expectedBody(id));
    switch (mode) {
    case TargetMode::Failing:
        peer.send(makeResponse("500 Failed", headers + signature, "failed"));
        return true;
    case TargetMode::Hanging:
        peer.readUntilClose();
        return false;
    case TargetMode::Resetting:
        peer.reset();
        return false;
    case TargetMode::Truncating:
        peer.send(response.substr(0, response.size() / 2));
        peer.closeNow();
        return false;
    case TargetMode::ExtraBytes:
        peer.send(response + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + signature + "\r\nlate");
        return true;
    case TargetMode::Slow:
        std::this_thread::sleep_for(slowServiceTime);
        break;
    case TargetMode::Healthy:
    case TargetMode::Limiting:
    case TargetMode::Overloaded:
        std::this_thread::sleep_for(serviceTime);
        break;
    }
    peer.send(response);
    return true;
}

} // namespace Pollenspoke
