/// @file
/// A PeerHandler and raw TCP listeners with behaviour set by the test.
#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <condition_variable>
#include <future>
#include <mutex>
#include <pollenspoke/peer.h>
#include <thread>

namespace Pollenspoke {

/// Answers calls with the values of its public members, which must be set before the server starts.
class ScriptedHandler : public PeerHandler
{
public:
    PeerResult<PingAnswer> onPing(const PeerNews &news) override;
    void onRelay(const RelayRequest &request, PeerCallback<RelayAnswer> done) override;
    PeerResult<LoanAnswer> onAskLoan(const LoanAsk &request) override;
    PeerResult<std::shared_ptr<const SnapshotAnswer>> onFetchSnapshot(std::uint64_t haveRevision) override;
    PeerResult<HealthAnswer> onReportHealth(const HealthReport &report) override;

    std::size_t deferredRelayCount(); // number of relay calls deferred until completeDeferredRelays()
    void completeDeferredRelays();    // completes the deferred relay calls
    LoanAsk lastLoan();               // last request received
    HealthReport lastHealth();

    PingAnswer pingAnswer;
    std::uint64_t minIncarnation = 0; // calls with a lower one are refused
    LoanAnswer loanAnswer;
    SnapshotAnswer snapshot;
    bool defersRelays = false;

private:
    std::mutex m_mutex;
    std::vector<PeerCallback<RelayAnswer>> m_deferredRelays;
    LoanAsk m_lastLoan;
    HealthReport m_lastHealth;
};

/// A TCP listener that accepts connections and sends `greeting`. It then keeps them open without a reply or, with
/// `closesAfterRequest`, closes each one after the client's request headers have arrived.
class RawListener
{
public:
    RawListener(std::string greeting, bool closesAfterRequest);
    ~RawListener();
    Address address() const;
    std::size_t acceptedCount() const { return m_acceptedCount; }

private:
    void serve();
    void readThenClose(boost::asio::ip::tcp::socket &socket);

    std::string m_greeting;
    bool m_closesAfterRequest;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_isStopping{false};
    std::atomic<std::size_t> m_acceptedCount{0};
    std::vector<boost::asio::ip::tcp::socket> m_sockets;
    std::thread m_thread;
};

/// Waits for the result of an asynchronous call.
template<typename Answer>
class ResultWaiter
{
public:
    PeerCallback<Answer> callback()
    {
        return [promise = m_promise](const PeerResult<Answer> &result) { promise->set_value(result); };
    }

    PeerResult<Answer> get()
    {
        auto future = m_promise->get_future();
        POLLENSPOKE_ASSERT(future.wait_for(std::chrono::seconds(30)) == std::future_status::ready, "the callback must be called");
        return future.get();
    }

private:
    std::shared_ptr<std::promise<PeerResult<Answer>>> m_promise = std::make_shared<std::promise<PeerResult<Answer>>>();
};

} // namespace Pollenspoke
