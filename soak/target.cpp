#include "target.h"

namespace Pollenspoke {

namespace {

using std::chrono::milliseconds;

constexpr auto work = milliseconds(8);
constexpr auto slowWork = work * 20;
constexpr const char *signature = "X-Response-Signature: s\r\n";

std::string nextId()
{
    static std::atomic<unsigned> last{0};
    return "i-" + std::to_string(++last);
}

std::string makeReply(const std::string &status, const std::string &headers, const std::string &body)
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
    , m_state{.id = nextId(), .service = std::move(service)}
    , m_target([this](AcceptedConnection &peer) { serve(peer); })
    , m_link(context, m_target.address())
{
    put("ready");
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
}

void SoakTarget::put(const std::string &registered)
{
    const State it = state();
    m_store.put("servers",
                it.id,
                R"({"service":")" + it.service + R"(","address":")" + toString(m_link.address())
                    + R"(","zone":"fd-a","version":"v1","slots":6,"state":")" + registered + R"(","warmup-left-ms":0,"sequence":1})");
}

void SoakTarget::setLeaving()
{
    put("draining");
}

void SoakTarget::registerAnew(bool movesService)
{
    m_store.remove("servers", state().id);
    m_link.resetAll();
    {
        const std::lock_guard lock(m_mutex);
        m_state.id = nextId();
        if (movesService) {
            m_state.service = m_state.service == "s-read" ? "s-write" : "s-read";
        }
    }
    put("ready");
}

void SoakTarget::serve(AcceptedConnection &peer)
{
    while (const std::optional<ReceivedRequest> request = peer.readRequest()) {
        const State now = state();
        const std::string echo = "X-Request-Id: " + request->header("X-Request-Id") + "\r\n";
        if (request->header("X-Target-Instance") != now.id) {
            peer.send(makeReply("421 Misdirected", echo + "X-Not-Executed: instance\r\n", ""));
            continue;
        }
        if (now.mode == TargetMode::Full) {
            peer.send(makeReply("503 Full", echo + "X-Not-Executed: full\r\n", ""));
            continue;
        }
        m_ledger.noteRun({.id = request->header("X-Request-Id"),
                          .account = request->header("X-Tenant"),
                          .method = request->method(),
                          .path = pathOf(*request),
                          .body = request->body,
                          .service = now.service,
                          .carriesKey = !request->header("Authorization").empty()});
        if (!answerRun(peer, request->header("X-Request-Id"), now.mode)) {
            return;
        }
    }
}

bool SoakTarget::answerRun(AcceptedConnection &peer, const std::string &id, TargetMode mode)
{
    const std::string echo = "X-Request-Id: " + id + "\r\n";
    const std::string whole = makeReply("200 OK", echo + signature, Ledger::bodyFor(id));
    switch (mode) {
    case TargetMode::Failing:
        peer.send(makeReply("500 Failed", echo + signature, "failed"));
        return true;
    case TargetMode::Hanging:
        peer.readUntilClose();
        return false;
    case TargetMode::Resetting:
        peer.reset();
        return false;
    case TargetMode::Cutting:
        peer.send(whole.substr(0, whole.size() / 2));
        peer.closeNow();
        return false;
    case TargetMode::Surplus:
        peer.send(whole + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + signature + "\r\nlate");
        return true;
    case TargetMode::Slow:
        std::this_thread::sleep_for(slowWork);
        break;
    case TargetMode::Well:
    case TargetMode::Full:
        std::this_thread::sleep_for(work);
        break;
    }
    peer.send(whole);
    return true;
}

} // namespace Pollenspoke
