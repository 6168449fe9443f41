#include "scripted_peer.h"

namespace Pollenspoke {

using boost::asio::ip::tcp;

PeerResult<PingAnswer> ScriptedHandler::onPing(const PeerNews &news)
{
    if (news.incarnation < minIncarnation) {
        return refuseCall(PeerRefusal::StaleIncarnation);
    }
    return pingAnswer;
}

void ScriptedHandler::onRelay(const RelayRequest &request, PeerCallback<RelayAnswer> done)
{
    if (!defersRelays) {
        done(RelayAnswer{.wasReached = request.about.value == "live"});
        return;
    }
    const std::lock_guard lock(m_mutex);
    m_deferredRelays.push_back(std::move(done));
}

PeerResult<LoanAnswer> ScriptedHandler::onAskLoan(const LoanAsk &request)
{
    const std::lock_guard lock(m_mutex);
    m_lastLoan = request;
    if (request.id.incarnation < minIncarnation) {
        return refuseCall(PeerRefusal::StaleIncarnation, "stale incarnation");
    }
    return loanAnswer;
}

PeerResult<std::shared_ptr<const SnapshotAnswer>> ScriptedHandler::onFetchSnapshot(std::uint64_t haveRevision)
{
    if (snapshot.revision == 0) {
        return refuseCall(PeerRefusal::NotReady);
    }
    if (haveRevision >= snapshot.revision) {
        return std::shared_ptr<const SnapshotAnswer>();
    }
    return std::make_shared<const SnapshotAnswer>(snapshot);
}

PeerResult<HealthAnswer> ScriptedHandler::onReportHealth(const HealthReport &report)
{
    const std::lock_guard lock(m_mutex);
    m_lastHealth = report;
    return HealthAnswer{};
}

std::size_t ScriptedHandler::deferredRelayCount()
{
    const std::lock_guard lock(m_mutex);
    return m_deferredRelays.size();
}

void ScriptedHandler::completeDeferredRelays()
{
    std::vector<PeerCallback<RelayAnswer>> relays;
    {
        const std::lock_guard lock(m_mutex);
        relays.swap(m_deferredRelays);
    }
    for (const auto &it : relays) {
        it(RelayAnswer{.wasReached = true});
    }
}

LoanAsk ScriptedHandler::lastLoan()
{
    const std::lock_guard lock(m_mutex);
    return m_lastLoan;
}

HealthReport ScriptedHandler::lastHealth()
{
    const std::lock_guard lock(m_mutex);
    return m_lastHealth;
}

RawListener::RawListener(std::string greeting, bool closesAfterRequest)
    : m_greeting(std::move(greeting))
    , m_closesAfterRequest(closesAfterRequest)
    , m_acceptor(m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
{
    m_thread = std::thread([this] { serve(); });
}

RawListener::~RawListener()
{
    m_isStopping = true;
    tcp::socket wakeUpSocket(m_context);
    boost::system::error_code ec;
    wakeUpSocket.connect(m_acceptor.local_endpoint(), ec);
    m_thread.join();
}

Address RawListener::address() const
{
    return {.ip = "127.0.0.1", .port = m_acceptor.local_endpoint().port()};
}

void RawListener::serve()
{
    while (true) {
        boost::system::error_code ec;
        tcp::socket socket = m_acceptor.accept(ec);
        if (m_isStopping || ec) {
            return;
        }
        ++m_acceptedCount;
        boost::asio::write(socket, boost::asio::buffer(m_greeting), ec);
        if (m_closesAfterRequest) {
            readThenClose(socket);
            continue;
        }
        m_sockets.push_back(std::move(socket));
    }
}

void RawListener::readThenClose(tcp::socket &socket)
{
    // Reads past the HTTP/2 preface until the header block with the path of the call, which contains the package name.
    std::string received;
    std::array<char, 4096> buf{};
    boost::system::error_code ec;
    while (!ec && received.find("pollenspoke") == std::string::npos && received.size() < 65536) {
        const std::size_t n = socket.read_some(boost::asio::buffer(buf), ec);
        received.append(buf.data(), n);
    }
}

} // namespace Pollenspoke
