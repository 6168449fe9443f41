#include "session.h"

#include "credentials.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <charconv>

namespace Pollenspoke {

namespace {

using namespace net::experimental::awaitable_operators;
using std::chrono::milliseconds;

constexpr std::size_t firstReadBytes = 2048;
constexpr std::size_t watchedBytes = 65536; // of a following request, read while the present one runs
constexpr std::size_t requestIdBytes = 16;
constexpr auto lingerTime = std::chrono::seconds(1); // to let a caller read the last answer before the connection goes
constexpr std::uint64_t longestDeadlineMs = 3600000;

// The route's deadline, shortened by the caller's; nothing when the caller's isn't a number.
std::optional<milliseconds> deadlineFor(const Route &route, const http::fields &fields, const WireContract &contract)
{
    milliseconds deadline(route.deadlineMs);
    const auto it = fields.find(toBeast(contract.deadlineHeader));
    if (it == fields.end()) {
        return deadline;
    }
    const std::string_view text = toView(it->value());
    std::uint64_t wanted = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), wanted);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return std::min(deadline, milliseconds(std::min(wanted, longestDeadlineMs)));
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

    template<typename Handler>
    void operator()(Handler handler) const
    {
        auto shared = std::make_shared<Handler>(std::move(handler));
        admission.admit(account, limits, now, [shared](const Admission &decision) {
            const auto executor = net::get_associated_executor(*shared);
            net::post(executor, [shared, decision] { std::move (*shared)(decision); });
        });
    }
};

net::awaitable<Admission> askAdmission(AdmissionControl &admission, const Caller &caller, TimePoint now)
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

void logRefusal(const Refusal &refusal, const std::string &requestId, const AccountName &account, const std::string &path, Duration total)
{
    const auto ms = [](Duration duration) { return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count()); };
    logRequestEvent(Event::RequestRefused,
                    {{"request_id", requestId},
                     {"reason", std::string(refusalReasonName(refusal.reason))},
                     {"run", refusal.run == RunState::NotRun ? "not-run" : "unknown"},
                     {"account", account.value},
                     {"path", path},
                     {"after_ms", ms(total)},
                     {"retry_after_ms", refusal.retryAfter ? ms(*refusal.retryAfter) : "none"}});
}

// Adds one to a gauge for as long as it lives, however the scope is left.
class GaugeHold
{
public:
    GaugeHold(Metrics &metrics, Gauge gauge)
        : m_metrics(metrics)
        , m_gauge(gauge)
    {
        m_metrics.addGauge(m_gauge, 1);
    }
    ~GaugeHold() { m_metrics.addGauge(m_gauge, -1); }
    GaugeHold(const GaugeHold &) = delete;
    GaugeHold &operator=(const GaugeHold &) = delete;

private:
    Metrics &m_metrics;
    Gauge m_gauge;
};

} // namespace

Session::Session(Tcp::socket socket, SessionParts shared)
    : m_shared(shared)
    , m_stream(std::move(socket))
{
    SystemError ec;
    m_stream.socket().set_option(Tcp::no_delay(true), ec);
}

net::awaitable<void> runSession(std::shared_ptr<Session> session)
{
    co_await session->run();
}

net::awaitable<void> runTurnAway(std::shared_ptr<Session> session, Refusal refusal)
{
    co_await session->turnAway(refusal);
}

net::awaitable<void> Session::run()
{
    m_shared.parts.metrics.count(Counter::CallersAccepted);
    try {
        co_await serve();
    } catch (const std::exception &) {
        // The connection was cancelled, or memory ran out for it alone; what is left of it is closed below.
    }
    SystemError ec;
    m_stream.socket().close(ec);
}

net::awaitable<void> Session::turnAway(Refusal refusal)
{
    refusal.closes = true;
    if (co_await refuse(refusal) == Next::Close) {
        co_await closeGently();
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
        Next next = Next::Drop;
        {
            const GaugeHold inFlight(m_shared.parts.metrics, Gauge::RequestsInFlight);
            next = co_await serveRequest();
        }
        if (next == Next::Drop) {
            co_return;
        }
        if (next == Next::Close) {
            break;
        }
    }
    co_await closeGently();
}

// Waits for the first byte of the next request. False: the connection is over.
net::awaitable<bool> Session::waitForRequest()
{
    if (m_buffer.size() != 0) {
        co_return true;
    }
    m_buffer.shrink_to_fit();
    if (!m_isStopping) {
        m_isIdle = true;
        m_stream.expires_after(milliseconds(m_shared.options.front.idleTimeoutMs));
        const auto [ec, n] = co_await m_stream.async_read_some(m_buffer.prepare(firstReadBytes), asTuple);
        m_isIdle = false;
        m_buffer.commit(n);
        if (!m_isStopping || ec != net::error::operation_aborted) {
            co_return !ec;
        }
    }
    SystemError ec;
    if (m_stream.socket().available(ec) != 0) {
        // A request that came in time is served, and its answer ends the connection.
        m_buffer.commit(m_stream.socket().receive(m_buffer.prepare(firstReadBytes), 0, ec));
        co_return !ec;
    }
    // Any request that crosses this answer on its way is never read, so "not run" is true of it.
    co_await refuse(Refusal{.reason = RefusalReason::ShuttingDown, .closes = true});
    co_return false;
}

// Stops reading after `longest` with error::timeout; the connection stays open, so that the caller can be told.
net::awaitable<SystemError> Session::readWithin(Duration longest, net::awaitable<ReadResult> reading)
{
    m_stream.expires_never();
    net::steady_timer timer(m_stream.get_executor(), longest);
    const auto outcome = co_await (std::move(reading) || timer.async_wait(asTuple));
    if (outcome.index() == 1) {
        co_return beast::error::timeout;
    }
    co_return std::get<0>(std::get<0>(outcome));
}

net::awaitable<SystemError> Session::readHeader(HeaderParser &header)
{
    SystemError ec;
    m_buffer.consume(header.put(m_buffer.data(), ec));
    if (header.is_header_done() || (ec && ec != http::error::need_more)) {
        co_return ec;
    }
    co_return co_await readWithin(milliseconds(m_shared.options.front.headerTimeoutMs),
                                  http::async_read_header(m_stream, m_buffer, header, asTuple));
}

net::awaitable<Session::Next> Session::serveRequest()
{
    HeaderParser header;
    header.header_limit(m_shared.options.front.headerBytes);
    header.body_limit(m_shared.options.front.bodyBytes);
    const SystemError ec = co_await readHeader(header);
    if (ec == beast::error::timeout) {
        co_return co_await refuse(Refusal{.reason = RefusalReason::RequestTimeout, .closes = true});
    }
    if (ec == http::error::end_of_stream || ec == http::error::partial_message
        || (ec && ec.category() == net::error::get_system_category())) {
        co_return Next::Drop;
    }
    m_shared.parts.metrics.count(Counter::RequestsReceived);
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
                        .keepsConnection = !isClosing && (header.version() != 10 || isKeepAlive) && !isStopping(),
                        .writeTimeout = milliseconds(m_shared.options.front.writeTimeoutMs)};
}

net::awaitable<Session::Next> Session::refuse(const Refusal &refusal, const RequestHeader &header)
{
    ReplyWriter reply(m_stream, makeReplyContext({}, header), m_shared.options.wire);
    m_shared.parts.metrics.countRefusal(refusal.reason, refusal.run);
    const bool isSent = co_await reply.sendRefusal(refusal);
    if (!isSent) {
        co_return Next::Drop;
    }
    co_return reply.keepsConnection() ? Next::KeepOpen : Next::Close;
}

net::awaitable<Session::Next> Session::serveParsed(HeaderParser &header)
{
    const TimePoint receivedAt = m_shared.parts.clock.now();
    const bool hasBody = header.content_length().value_or(0) != 0 || header.chunked();
    const std::string requestId = requestIdFor(header.get(), m_shared.options.wire);
    const std::string path(toView(header.get().target()));
    ReplyWriter reply(m_stream, makeReplyContext(requestId, header.get()), m_shared.options.wire);
    DispatchTrace trace;
    std::optional<Refusal> refusal;
    if (extractPath(toView(header.get().target())) == addressAnswerPath) {
        co_return co_await answerAddresses(header, reply);
    }
    const auto early = resolveRequest(m_shared.snapshot.load(), header.get(), requestId, m_shared.options.wire);
    if (!early) {
        refusal = early.error();
        refusal->closes = refusal->closes || hasBody;
    }
    if (!refusal) {
        BodyParser whole(std::move(header));
        refusal = co_await readBody(whole);
        if (!refusal) {
            DispatchRequest request{.message = whole.release(), .requestId = requestId};
            bool isCallerGone = false;
            {
                auto outcome = co_await (dispatchGuarded(std::move(request), trace, reply) || watchCaller());
                isCallerGone = outcome.index() == 1;
                if (!isCallerGone) {
                    refusal = std::get<0>(outcome);
                }
            }
            if (isCallerGone && reply.hasBegun()) {
                // It left or stopped reading within its answer, which isn't a refusal.
                m_shared.parts.metrics.count(Counter::AnswersCut);
                reply.cut();
                co_return Next::Drop;
            }
            if (isCallerGone) {
                m_shared.parts.metrics.countRefusal(RefusalReason::CallerGone, trace.mayHaveRun ? RunState::Unknown : RunState::NotRun);
                co_return Next::Drop;
            }
        }
    }
    bool isSent = true;
    if (refusal && !reply.hasBegun()) {
        m_shared.parts.metrics.countRefusal(refusal->reason, refusal->run);
        isSent = refusal->reason != RefusalReason::CallerGone && co_await reply.sendRefusal(*refusal);
    }
    const Duration total = m_shared.parts.clock.now() - receivedAt;
    if (!trace.service.value.empty()) {
        m_shared.dispatcher.targets().noteOutcome(trace.service, refusal.has_value());
    }
    if (refusal) {
        logRefusal(*refusal, requestId, trace.account, path, total);
    }
    m_shared.parts.metrics.recordTiming(Timing::Total, total);
    m_shared.parts.metrics.recordTiming(Timing::Added, total - trace.timeAtTargets);
    if (!isSent || !m_stream.socket().is_open()) {
        co_return Next::Drop;
    }
    co_return reply.keepsConnection() ? Next::KeepOpen : Next::Close;
}

net::awaitable<Session::Next> Session::answerAddresses(HeaderParser &header, ReplyWriter &reply)
{
    const auto caller = resolveCaller(m_shared.snapshot.load(), header.get(), m_shared.options.wire);
    const bool hasBody = header.content_length().value_or(0) != 0;
    bool isSent = false;
    if (!caller || header.get().method() != http::verb::get || hasBody) {
        Refusal refusal = caller ? Refusal{.reason = RefusalReason::MethodNotAllowed} : caller.error();
        refusal.closes = refusal.closes || hasBody;
        m_shared.parts.metrics.countRefusal(refusal.reason, refusal.run);
        isSent = co_await reply.sendRefusal(refusal);
    } else {
        http::response_header<> answer;
        answer.result(200);
        answer.set(http::field::content_type, "application/json");
        answer.set(http::field::cache_control, "private, max-age=" + std::to_string(m_shared.options.addressTtlMs / 1000));
        isSent = co_await reply.sendWhole(answer, m_shared.addresses.makeJson(caller->accountName), false);
    }
    if (!isSent) {
        co_return Next::Drop;
    }
    co_return reply.keepsConnection() ? Next::KeepOpen : Next::Close;
}

net::awaitable<std::optional<Refusal>> Session::readBody(BodyParser &parser)
{
    const milliseconds longest(m_shared.options.front.bodyTimeoutMs);
    const bool isAsked = parser.get().version() == 11 && beast::iequals(parser.get()[http::field::expect], "100-continue");
    if (isAsked && !parser.is_done()) {
        m_stream.expires_after(longest);
        static constexpr std::string_view goOn = "HTTP/1.1 100 Continue\r\n\r\n";
        const auto [ec, n] = co_await net::async_write(m_stream, net::buffer(goOn), asTuple);
        if (ec) {
            co_return Refusal{.reason = RefusalReason::CallerGone, .closes = true};
        }
    }
    if (parser.is_done()) {
        co_return std::nullopt;
    }
    const SystemError ec = co_await readWithin(longest, http::async_read(m_stream, m_buffer, parser, asTuple));
    if (ec == beast::error::timeout) {
        co_return Refusal{.reason = RefusalReason::RequestTimeout, .closes = true};
    }
    if (ec == http::error::body_limit) {
        co_return refusalForParseError(ec, parser.get(), m_shared.options.wire);
    }
    if (ec) {
        co_return Refusal{.reason = RefusalReason::CallerGone, .closes = true};
    }
    co_return std::nullopt;
}

net::awaitable<std::optional<Refusal>> Session::admitAndDispatch(DispatchRequest request, DispatchTrace &trace, ReplyWriter &reply)
{
    const TimePoint now = m_shared.parts.clock.now();
    // Resolved anew: the body may have taken long, and a key withdrawn meanwhile counts.
    auto resolved = resolveRequest(m_shared.snapshot.load(), request.message, request.requestId, m_shared.options.wire);
    if (!resolved) {
        co_return resolved.error();
    }
    trace.account = resolved->caller.accountName;
    trace.service = resolved->serviceName;
    if (containsSecret(request.message.body(), resolved->caller.secret)) {
        co_return Refusal{.reason = RefusalReason::KeyInContent};
    }
    const std::optional<milliseconds> deadline = deadlineFor(*resolved->route, request.message, m_shared.options.wire);
    if (!deadline) {
        co_return Refusal{.reason = RefusalReason::MalformedRequest};
    }
    if (resolved->caller.account != nullptr) {
        const Admission admission = co_await askAdmission(m_shared.parts.admission, resolved->caller, now);
        if (std::optional<Refusal> refusal = refusalFor(admission)) {
            co_return refusal;
        }
    }
    request.resolved = std::move(*resolved);
    request.deadline = now + *deadline;
    co_return co_await m_shared.dispatcher.dispatch(request, trace, reply);
}

// Lets no exception out: beside watchCaller() it would be seen only once the caller left.
net::awaitable<std::optional<Refusal>> Session::dispatchGuarded(DispatchRequest request, DispatchTrace &trace, ReplyWriter &reply)
{
    try {
        co_return co_await admitAndDispatch(std::move(request), trace, reply);
    } catch (const std::exception &) {
        if (reply.hasBegun()) {
            reply.cut();
        }
    }
    co_return Refusal{
        .reason = RefusalReason::AnswerIncomplete, .run = trace.mayHaveRun ? RunState::Unknown : RunState::NotRun, .closes = true};
}

// Returns when the caller has closed its connection. Bytes of a following request are kept for later.
net::awaitable<void> Session::watchCaller()
{
    while (m_buffer.size() < watchedBytes) {
        const auto [waited] = co_await m_stream.socket().async_wait(Tcp::socket::wait_read, asTuple);
        if (waited) {
            co_return;
        }
        SystemError ec;
        const std::size_t n = m_stream.socket().receive(m_buffer.prepare(firstReadBytes), 0, ec);
        m_buffer.commit(n);
        if (ec) {
            co_return;
        }
    }
    co_await m_stream.socket().async_wait(Tcp::socket::wait_error, asTuple);
}

// Sends the end of stream and reads on for a moment: closing at once with unread bytes would reset the connection and
// could take the last answer from the caller.
net::awaitable<void> Session::closeGently()
{
    SystemError ignored;
    m_stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    m_stream.expires_after(lingerTime);
    m_buffer.clear();
    for (;;) {
        const auto [ec, n] = co_await m_stream.async_read_some(m_buffer.prepare(firstReadBytes), asTuple);
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
