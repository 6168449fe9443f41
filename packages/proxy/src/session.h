/// @file
/// One connection from a caller. Reads requests sequentially, dispatches each of them, and sends a response or refusal.
#pragma once

#include "address_answer.h"
#include "dispatcher.h"

#include <memory>

namespace Pollenspoke {

/// State shared by all sessions of a proxy.
struct SessionContext
{
    const ProxyOptions &options;
    ProxyDependencies dependencies;
    Dispatcher &dispatcher;
    BodyMemory &bodyMemory;
    AddressAnswer &addresses;
    std::atomic<std::shared_ptr<const Snapshot>> &snapshot;
    std::atomic<bool> &isLeaving;
    const CurrentStop &stop;
};

class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(Tcp::socket socket, SessionContext shared);

    net::awaitable<void> run();                             // returns when the connection has ended; never throws
    net::awaitable<void> rejectConnection(Refusal refusal); // used instead of run(): sends the refusal without reading a request
    void closeWhenIdle();                                   // graceful shutdown; call on the session's executor
    void abortRequest();                                    // the shutdown ends now: answers the current request; call likewise

private:
    using HeaderParser = http::request_parser<http::empty_body>;
    using BodyParser = http::request_parser<ReceivedBody>;
    using ReadResult = std::tuple<SystemError, std::size_t>;
    enum class ConnectionAction { KeepOpen, Close, Drop };

    net::awaitable<void> serve();
    net::awaitable<SystemError> readWithTimeout(Duration maxDuration, net::awaitable<ReadResult> readOperation);
    net::awaitable<SystemError> readHeader(HeaderParser &header);
    net::awaitable<bool> waitForRequest();
    net::awaitable<ConnectionAction> serveRequest();
    net::awaitable<ConnectionAction> serveParsed(HeaderParser &header);
    net::awaitable<ConnectionAction> refuse(const Refusal &refusal, const RequestHeader &header = {});
    net::awaitable<ConnectionAction> sendAddresses(HeaderParser &header, ReplyWriter &reply);
    net::awaitable<std::optional<Refusal>> readBody(BodyParser &parser);
    net::awaitable<std::optional<Refusal>> dispatchNoThrow(DispatchRequest request, DispatchTrace &trace, ReplyWriter &reply);
    net::awaitable<std::optional<Refusal>> admitAndDispatch(DispatchRequest request, DispatchTrace &trace, ReplyWriter &reply);
    net::awaitable<void> waitForCallerDisconnect();
    net::awaitable<void> waitForAbort();
    bool mayStart(TimePoint requestDeadline) const; // whether a planned stop, if any, leaves time for the request
    void cutResponse(ReplyWriter &reply) const;
    Refusal abortRefusal(const DispatchTrace &trace) const;
    net::awaitable<void> closeWithLinger();

    ReplyContext makeReplyContext(std::string requestId, const RequestHeader &header) const;
    bool isStopping() const { return m_isStopping || m_shared.isLeaving.load(); }

    SessionContext m_shared;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    net::steady_timer m_abortTimer; // expires when abortRequest() is called
    bool m_isAborted = false;
    bool m_isIdle = false;
    bool m_isStopping = false; // close the connection after the current response
};

/// Entry points for co_spawn. The shared_ptr parameter keeps the session alive while the coroutine runs.
net::awaitable<void> runSession(std::shared_ptr<Session> session);
net::awaitable<void> runRejection(std::shared_ptr<Session> session, Refusal refusal);

} // namespace Pollenspoke
