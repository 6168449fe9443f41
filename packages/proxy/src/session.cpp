#include "session.h"

#include "credentials.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <charconv>

namespace Pollenspoke {

namespace {

using namespace net::experimental::awaitable_operators;
using std::chrono::milliseconds;

constexpr std::size_t readChunkBytes = 2048;
constexpr std::size_t maxPipelinedBytes = 65536; // read ahead while a request is being processed
constexpr std::size_t maxReadAhead = 65536;      // of a body; a chunk's header or a trailer may not be much longer
constexpr std::size_t requestIdBytes = 16;
constexpr auto lingerTimeout = std::chrono::seconds(1); // for the caller to read the last response before the connection closes
constexpr std::uint64_t maxDeadlineMs = 3600000;
constexpr auto bodyMemoryRetryAfter = std::chrono::seconds(1); // an upload usually takes as long
constexpr auto impairedRetryAfter = milliseconds(200);         // other Vms can serve the caller at once

// The shorter of the route's and the caller's deadline. nullopt if the caller's isn't a number.
std::optional<milliseconds> deadlineFor(const Route &route, const http::fields &fields, const WireContract &contract)
{
    milliseconds deadline(route.deadlineMs);
    const auto it = fields.find(toBeast(contract.deadlineHeader));
    if (it == fields.end()) {
        return deadline;
    }
    const std::string_view text = toView(it->value());
    std::uint64_t requestedMs = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), requestedMs);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return std::min(deadline, milliseconds(std::min(requestedMs, maxDeadlineMs)));
}

std::string requestIdFor(const http::fields &fields, const WireContract &contract)
{
    const auto it = contract.preservesRequestId ? fields.find(contract.requestIdHeader) : fields.end();
    return it == fields.end() || it->value().empty() ? randomHex(requestIdBytes) : std::string(toView(it->value()));
}

struct AdmissionInitiation
{
    AdmissionControl &admission;
    AccountName account;
    Limits limits;
    TimePoint now;

    // The handler is called once, on its executor: with the decision, or when the wait is cancelled.
    template<typename Handler>
    void operator()(Handler handler) const
    {
        auto slot = net::get_associated_cancellation_slot(handler);
        const auto executor = net::get_associated_executor(handler);
        const auto pending = std::make_shared<std::optional<Handler>>(std::move(handler));
        const auto complete = [executor, slot](const std::shared_ptr<std::optional<Handler>> &waiting, const Admission &decision) {
            net::post(executor, [waiting, slot, decision]() mutable {
                if (!waiting->has_value()) {
                    return;
                }
                slot.clear();
                Handler called = std::move(**waiting);
                waiting->reset();
                std::move(called)(decision);
            });
        };
        if (slot.is_connected()) {
            slot.assign([complete, weak = std::weak_ptr(pending)](net::cancellation_type_t) {
                if (const auto waiting = weak.lock()) { // weak, since the handler owns the slot
                    complete(waiting, RateExceeded{});
                }
            });
        }
        admission.admit(account, limits, now, [complete, pending](const Admission &decision) { complete(pending, decision); });
    }
};

net::awaitable<Admission> requestAdmission(AdmissionControl &admission, const Caller &caller, TimePoint now)
{
    AdmissionInitiation initiation{.admission = admission, .account = caller.accountName, .limits = caller.account->limits, .now = now};
    return net::async_initiate<const net::use_awaitable_t<>, void(Admission)>(std::move(initiation), net::use_awaitable);
}

std::optional<Refusal> refusalFor(const Admission &admission)
{
    if (const auto *exceeded = std::get_if<RateExceeded>(&admission)) {
        return Refusal{.reason = RefusalReason::RateLimited, .retryAfter = exceeded->retryAfter};
    }
    if (std::holds_alternative<ConfigurationUnverified>(admission)) {
        return Refusal{.reason = RefusalReason::ConfigurationStale};
    }
    return std::nullopt;
}

void logRefusal(
    const Refusal &refusal, const std::string &requestId, const DispatchTrace &trace, const std::string &path, Duration totalTime)
{
    const auto number = [](const auto &value) { return value ? std::to_string(*value) : "none"; };
    const auto ms = [](Duration duration) { return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count()); };
    logRequestEvent(Event::RequestRefused,
                    {{"request_id", requestId},
                     {"reason", std::string(refusalReasonName(refusal.reason))},
                     {"run", refusal.run == RunState::NotRun ? "not-run" : "unknown"},
                     {"account", trace.account.value},
                     {"service", trace.service.value},
                     {"rank", number(trace.rank)},
                     {"waiting_ahead", number(trace.waitingAhead)},
                     {"path", path},
                     {"after_ms", ms(totalTime)},
                     {"retry_after_ms", refusal.retryAfter ? ms(*refusal.retryAfter) : "none"},
                     {"capacity_in_ms", refusal.capacityIn ? ms(*refusal.capacityIn) : "before the deadline"},
                     {"boundary_rank", refusal.boundary ? std::to_string(refusal.boundary->rank) : "none"}});
}

void logAborted(
    const Refusal &refusal, const std::string &requestId, const DispatchTrace &trace, bool hasResponseStarted, Duration totalTime)
{
    logRequestEvent(Event::RequestAborted,
                    {{"request_id", requestId},
                     {"run", refusal.run == RunState::NotRun ? "not-run" : "unknown"},
                     {"account", trace.account.value},
                     {"service", trace.service.value},
                     {"response", hasResponseStarted ? "partly sent" : "not started"},
                     {"after_ms", std::to_string(std::chrono::duration_cast<milliseconds>(totalTime).count())}});
}

// Increments a gauge for the lifetime of the object.
class ScopedGaugeIncrement
{
public:
    ScopedGaugeIncrement(Metrics &metrics, Gauge gauge)
        : m_metrics(metrics)
        , m_gauge(gauge)
    {
        m_metrics.addGauge(m_gauge, 1);
    }
    ~ScopedGaugeIncrement() { m_metrics.addGauge(m_gauge, -1); }
    ScopedGaugeIncrement(const ScopedGaugeIncrement &) = delete;
    ScopedGaugeIncrement &operator=(const ScopedGaugeIncrement &) = delete;

private:
    Metrics &m_metrics;
    Gauge m_gauge;
};

} // namespace

Session::Session(Tcp::socket socket, SessionContext shared)
    : m_shared(shared)
    , m_stream(std::move(socket))
    , m_buffer(shared.options.front.headerBytes + maxPipelinedBytes + maxReadAhead)
    , m_abortTimer(m_stream.get_executor(), net::steady_timer::time_point::max())
{
    SystemError ec;
    m_stream.socket().set_option(Tcp::no_delay(true), ec);
}

net::awaitable<void> runSession(std::shared_ptr<Session> session)
{
    co_await session->run();
}

net::awaitable<void> runRejection(std::shared_ptr<Session> session, Refusal refusal)
{
    co_await session->rejectConnection(refusal);
}

net::awaitable<void> Session::run()
{
    m_shared.dependencies.metrics.count(Counter::CallersAccepted);
    try {
        co_await serve();
    } catch (const std::exception &) {
        // The operation was cancelled or an allocation failed. Only this connection is affected; it is closed below.
    }
    SystemError ec;
    m_stream.socket().close(ec);
}

net::awaitable<void> Session::rejectConnection(Refusal refusal)
{
    refusal.closesConnection = true;
    if (co_await refuse(refusal) == ConnectionAction::Close) {
        co_await closeWithLinger();
    }
    SystemError ec;
    m_stream.socket().close(ec);
}

net::awaitable<void> Session::serve()
{
    for (;;) {
        if (!co_await waitForRequest()) {
            break;
        }
        ConnectionAction action = ConnectionAction::Drop;
        {
            const ScopedGaugeIncrement inFlight(m_shared.dependencies.metrics, Gauge::RequestsInFlight);
            action = co_await serveRequest();
        }
        if (action == ConnectionAction::Drop) {
            co_return;
        }
        if (action == ConnectionAction::Close) {
            break;
        }
    }
    co_await closeWithLinger();
}

// Waits for the first byte of the next request. Returns false if the connection has ended.
net::awaitable<bool> Session::waitForRequest()
{
    if (m_buffer.size() != 0) {
        co_return true;
    }
    m_buffer.shrink_to_fit();
    if (!m_isStopping) {
        m_isIdle = true;
        m_stream.expires_after(milliseconds(m_shared.options.front.idleTimeoutMs));
        const auto [ec, n] = co_await m_stream.async_read_some(m_buffer.prepare(readChunkBytes), asTuple);
        m_isIdle = false;
        m_buffer.commit(n);
        if (!m_isStopping || ec != net::error::operation_aborted) {
            co_return !ec;
        }
    }
    SystemError ec;
    m_buffer.commit(receiveArrived(m_stream.socket(), m_buffer.prepare(readChunkBytes), ec));
    if (m_buffer.size() != 0) {
        co_return true; // a request that has already arrived is served; the connection closes after its response
    }
    // A request that is sent concurrently with this refusal is never read, so reporting "not run" is correct for it.
    co_await refuse(makeStopRefusal());
    co_return false;
}

// Fails with error::timeout after `maxDuration`. The connection stays open, so that a refusal can be sent.
net::awaitable<SystemError> Session::readWithTimeout(Duration maxDuration, net::awaitable<ReadResult> readOperation)
{
    m_stream.expires_never();
    net::steady_timer timer(m_stream.get_executor(), maxDuration);
    const auto outcome = co_await (std::move(readOperation) || timer.async_wait(asTuple) || waitForAbort());
    if (outcome.index() == 1) {
        co_return beast::error::timeout;
    }
    co_return outcome.index() == 2 ? SystemError(net::error::operation_aborted) : std::get<0>(std::get<0>(outcome));
}

net::awaitable<SystemError> Session::readHeader(HeaderParser &header)
{
    SystemError ec;
    m_buffer.consume(header.put(m_buffer.data(), ec));
    if (header.is_header_done() || (ec && ec != http::error::need_more)) {
        co_return ec;
    }
    co_return co_await readWithTimeout(milliseconds(m_shared.options.front.headerTimeoutMs),
                                       http::async_read_header(m_stream, m_buffer, header, asTuple));
}

net::awaitable<Session::ConnectionAction> Session::serveRequest()
{
    HeaderParser header;
    header.header_limit(m_shared.options.front.headerBytes);
    header.body_limit(m_shared.options.front.bodyBytes);
    const SystemError ec = co_await readHeader(header);
    if (ec == beast::error::timeout) {
        co_return co_await refuse(Refusal{.reason = RefusalReason::RequestTimeout, .closesConnection = true});
    }
    if (m_isAborted) {
        co_return co_await refuse(makeStopRefusal());
    }
    if (ec == http::error::end_of_stream || ec == http::error::partial_message
        || (ec && ec.category() == net::error::get_system_category())) {
        co_return ConnectionAction::Drop;
    }
    m_shared.dependencies.metrics.count(Counter::RequestsReceived);
    if (ec) {
        co_return co_await refuse(refusalForParseError(ec, header.get(), m_shared.options.wire), header.get());
    }
    if (std::optional<Refusal> refusal = checkHeader(header.get(), m_shared.options.wire)) {
        co_return co_await refuse(*refusal, header.get());
    }
    co_return co_await serveParsed(header);
}

ReplyContext Session::makeReplyContext(std::string requestId, const RequestHeader &header) const
{
    const bool isClosing = hasConnectionToken(header, "close");
    const bool isKeepAlive = hasConnectionToken(header, "keep-alive");
    return ReplyContext{.requestId = std::move(requestId),
                        .httpVersion = header.version(),
                        .isHead = header.method() == http::verb::head,
                        .keepsConnection = !isClosing && (header.version() != 10 || isKeepAlive),
                        .isEnding = [this] { return isStopping() && m_buffer.size() == 0; }, // a request that was read is answered, too
                        .writeTimeout = milliseconds(m_shared.options.front.writeTimeoutMs)};
}

net::awaitable<Session::ConnectionAction> Session::refuse(const Refusal &refusal, const RequestHeader &header)
{
    ReplyWriter reply(m_stream, makeReplyContext({}, header), m_shared.options.wire);
    m_shared.dependencies.metrics.countRefusal(refusal.reason, refusal.run);
    const bool isSent = co_await reply.sendRefusal(refusal);
    if (!isSent) {
        co_return ConnectionAction::Drop;
    }
    co_return reply.keepsConnection() ? ConnectionAction::KeepOpen : ConnectionAction::Close;
}

net::awaitable<Session::ConnectionAction> Session::serveParsed(HeaderParser &header)
{
    const TimePoint receivedAt = m_shared.dependencies.clock.now();
    const bool hasBody = header.content_length().value_or(0) != 0 || header.chunked();
    const std::string requestId = requestIdFor(header.get(), m_shared.options.wire);
    const std::string path(toView(header.get().target()));
    ReplyWriter reply(m_stream, makeReplyContext(requestId, header.get()), m_shared.options.wire);
    DispatchTrace trace;
    std::optional<Refusal> refusal;
    if (extractPath(toView(header.get().target())) == addressAnswerPath) {
        co_return co_await sendAddresses(header, reply);
    }
    const auto preliminary = resolveRequest(m_shared.snapshot.load(), header.get(), requestId, m_shared.options.wire);
    if (!preliminary) {
        refusal = preliminary.error();
        refusal->closesConnection = refusal->closesConnection || hasBody;
    } else if (const auto deadline = deadlineFor(*preliminary->route, header.get(), m_shared.options.wire);
               deadline && !mayStart(receivedAt + *deadline)) {
        refusal = makeStopRefusal(); // before its body is read
    } else if (!m_shared.dispatcher.targets().admitsRequest(preliminary->isIdempotent)) {
        refusal = Refusal{.reason = RefusalReason::VmImpaired, .retryAfter = impairedRetryAfter, .closesConnection = true};
    }
    if (!refusal) {
        BodyParser bodyParser(std::move(header));
        bodyParser.get().body().lease = BodyLease(m_shared.bodyMemory, preliminary->caller.accountName);
        refusal = co_await readBody(bodyParser);
        if (!refusal) {
            DispatchRequest request{.message = bodyParser.release(), .requestId = requestId};
            bool isCallerGone = false;
            bool isAborted = false;
            {
                auto outcome = co_await (dispatchNoThrow(std::move(request), trace, reply) || waitForCallerDisconnect() || waitForAbort());
                isCallerGone = outcome.index() == 1;
                isAborted = outcome.index() == 2;
                if (outcome.index() == 0) {
                    refusal = std::get<0>(outcome);
                }
            }
            if (isAborted) {
                refusal = abortRefusal(trace);
                logAborted(*refusal, requestId, trace, reply.hasStarted(), m_shared.dependencies.clock.now() - receivedAt);
                if (reply.hasStarted()) { // a part of a response must not look complete
                    cutResponse(reply);
                    co_return ConnectionAction::Drop;
                }
            }
            if (isCallerGone && reply.hasStarted()) {
                // The caller disconnected or stopped reading while its response was being sent. This doesn't count as a refusal.
                cutResponse(reply);
                co_return ConnectionAction::Drop;
            }
            if (isCallerGone) {
                m_shared.dependencies.metrics.countRefusal(RefusalReason::CallerGone,
                                                           trace.mayHaveRun ? RunState::Unknown : RunState::NotRun);
                co_return ConnectionAction::Drop;
            }
        }
    }
    bool isSent = true;
    if (refusal && !reply.hasStarted()) {
        m_shared.dependencies.metrics.countRefusal(refusal->reason, refusal->run);
        isSent = refusal->reason != RefusalReason::CallerGone && co_await reply.sendRefusal(*refusal);
    }
    const Duration totalTime = m_shared.dependencies.clock.now() - receivedAt;
    if (!trace.service.value.empty()) {
        m_shared.dispatcher.targets().recordOutcome(trace.service, refusal.has_value());
    }
    if (refusal) {
        logRefusal(*refusal, requestId, trace, path, totalTime);
    }
    m_shared.dependencies.metrics.recordTiming(Timing::Total, totalTime);
    m_shared.dependencies.metrics.recordTiming(Timing::Added, totalTime - trace.timeAtTargets);
    if (!isSent || !m_stream.socket().is_open()) {
        co_return ConnectionAction::Drop;
    }
    co_return reply.keepsConnection() ? ConnectionAction::KeepOpen : ConnectionAction::Close;
}

net::awaitable<Session::ConnectionAction> Session::sendAddresses(HeaderParser &header, ReplyWriter &reply)
{
    const auto caller = resolveCaller(m_shared.snapshot.load(), header.get(), m_shared.options.wire);
    const bool hasBody = header.content_length().value_or(0) != 0 || header.chunked();
    bool isSent = false;
    if (!caller || header.get().method() != http::verb::get || hasBody) {
        Refusal refusal = caller ? Refusal{.reason = RefusalReason::MethodNotAllowed} : caller.error();
        refusal.closesConnection = refusal.closesConnection || hasBody;
        m_shared.dependencies.metrics.countRefusal(refusal.reason, refusal.run);
        isSent = co_await reply.sendRefusal(refusal);
    } else {
        http::response_header<> response;
        response.result(200);
        response.set(http::field::content_type, "application/json");
        response.set(http::field::cache_control, "private, max-age=" + std::to_string(m_shared.options.addressTtlMs / 1000));
        isSent = co_await reply.sendWhole(response, m_shared.addresses.makeJson(caller->accountName), false);
    }
    if (!isSent) {
        co_return ConnectionAction::Drop;
    }
    co_return reply.keepsConnection() ? ConnectionAction::KeepOpen : ConnectionAction::Close;
}

bool Session::mayStart(TimePoint requestDeadline) const
{
    const std::shared_ptr<const PlannedStop> stop = m_shared.stop.load();
    return !stop || stop->mayStart(requestDeadline, m_shared.dependencies.clock.now());
}

net::awaitable<std::optional<Refusal>> Session::readBody(BodyParser &parser)
{
    const milliseconds maxDuration(m_shared.options.front.bodyTimeoutMs);
    const Refusal noRoom{.reason = RefusalReason::BodyMemoryFull, .retryAfter = bodyMemoryRetryAfter, .closesConnection = true};
    if (!parser.get().body().lease.coverUpTo(parser.content_length().value_or(0))) {
        co_return noRoom; // before the caller sends it
    }
    const bool expectsContinue = parser.get().version() == 11 && beast::iequals(parser.get()[http::field::expect], "100-continue");
    if (expectsContinue && !parser.is_done()) {
        m_stream.expires_after(maxDuration);
        static constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
        const auto [ec, n] = co_await net::async_write(m_stream, net::buffer(continueResponse), asTuple);
        if (ec) {
            co_return Refusal{.reason = RefusalReason::CallerGone, .closesConnection = true};
        }
    }
    if (parser.is_done()) {
        co_return std::nullopt;
    }
    const SystemError ec = co_await readWithTimeout(maxDuration, http::async_read(m_stream, m_buffer, parser, asTuple));
    if (ec == beast::error::timeout) {
        co_return Refusal{.reason = RefusalReason::RequestTimeout, .closesConnection = true};
    }
    if (m_isAborted) {
        co_return makeStopRefusal();
    }
    if (ec == http::error::body_limit || ec == http::error::buffer_overflow) {
        co_return refusalForParseError(ec, parser.get(), m_shared.options.wire);
    }
    if (ec == net::error::no_memory) {
        co_return noRoom;
    }
    if (ec) {
        co_return Refusal{.reason = RefusalReason::CallerGone, .closesConnection = true};
    }
    co_return std::nullopt;
}

net::awaitable<std::optional<Refusal>> Session::admitAndDispatch(DispatchRequest request, DispatchTrace &trace, ReplyWriter &reply)
{
    const TimePoint now = m_shared.dependencies.clock.now();
    // Resolve again: the configuration may have changed while the body was received, for example a key was withdrawn.
    auto resolved = resolveRequest(m_shared.snapshot.load(), request.message, request.requestId, m_shared.options.wire);
    if (!resolved) {
        co_return resolved.error();
    }
    trace.account = resolved->caller.accountName;
    trace.service = resolved->serviceName;
    trace.rank = resolved->effectivePriority();
    if (containsSecret(request.message.body().blocks, resolved->caller.secret)) {
        co_return Refusal{.reason = RefusalReason::KeyInContent};
    }
    const std::optional<milliseconds> deadline = deadlineFor(*resolved->route, request.message, m_shared.options.wire);
    if (!deadline) {
        co_return Refusal{.reason = RefusalReason::MalformedRequest};
    }
    if (!mayStart(now + *deadline)) {
        co_return makeStopRefusal(); // before it takes a token
    }
    if (resolved->caller.account != nullptr) {
        const Admission admission = co_await requestAdmission(m_shared.dependencies.admission, resolved->caller, now);
        if (std::optional<Refusal> refusal = refusalFor(admission)) {
            co_return refusal;
        }
    }
    request.resolved = std::move(*resolved);
    request.deadline = now + *deadline;
    co_return co_await m_shared.dispatcher.dispatch(request, trace, reply);
}

// Ends the connection so that the part of the response that was sent can't look whole. The dispatch may have done so already.
void Session::cutResponse(ReplyWriter &reply) const
{
    if (!reply.isReset()) {
        m_shared.dependencies.metrics.count(Counter::AnswersCut);
        reply.resetConnection();
    }
}

// Catches all exceptions. In the parallel group with waitForCallerDisconnect(), an exception would be reported only after the
// caller disconnects.
net::awaitable<std::optional<Refusal>> Session::dispatchNoThrow(DispatchRequest request, DispatchTrace &trace, ReplyWriter &reply)
{
    try {
        co_return co_await admitAndDispatch(std::move(request), trace, reply);
    } catch (const std::exception &) {
        if (reply.hasStarted()) {
            cutResponse(reply);
        }
    }
    co_return Refusal{.reason = RefusalReason::AnswerIncomplete,
                      .run = trace.mayHaveRun ? RunState::Unknown : RunState::NotRun,
                      .closesConnection = true};
}

// Returns when the caller has closed the connection. Bytes of a pipelined request are buffered.
net::awaitable<void> Session::waitForCallerDisconnect()
{
    while (m_buffer.size() < maxPipelinedBytes) {
        const auto [waited] = co_await m_stream.socket().async_wait(Tcp::socket::wait_read, asTuple);
        if (waited) {
            co_return;
        }
        SystemError ec;
        m_buffer.commit(receiveArrived(m_stream.socket(), m_buffer.prepare(readChunkBytes), ec));
        if (ec && ec != net::error::would_block) {
            co_return;
        }
    }
    co_await m_stream.socket().async_wait(Tcp::socket::wait_error, asTuple);
}

net::awaitable<void> Session::waitForAbort()
{
    co_await m_abortTimer.async_wait(asTuple);
}

Refusal Session::abortRefusal(const DispatchTrace &trace) const
{
    if (!trace.mayHaveRun) {
        return makeStopRefusal();
    }
    return Refusal{.reason = RefusalReason::StopTimeout, .run = RunState::Unknown, .closesConnection = true};
}

void Session::abortRequest()
{
    m_isAborted = true;
    m_abortTimer.expires_at(net::steady_timer::time_point::min()); // ends the present wait and all later ones
}

// Lingering close: shuts down the sending side and discards input for a while. Closing a socket with unread input resets the
// connection, which may discard the last response before the caller has read it.
net::awaitable<void> Session::closeWithLinger()
{
    SystemError ignored;
    m_stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    m_stream.expires_after(lingerTimeout);
    m_buffer.clear();
    for (;;) {
        const auto [ec, n] = co_await m_stream.async_read_some(m_buffer.prepare(readChunkBytes), asTuple);
        if (ec) {
            co_return;
        }
    }
}

void Session::closeWhenIdle()
{
    m_isStopping = true;
    if (m_isIdle) {
        SystemError ec;
        m_stream.socket().cancel(ec);
    }
}

} // namespace Pollenspoke
