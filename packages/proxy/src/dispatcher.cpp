#include "dispatcher.h"

#include "credentials.h"

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>

namespace Pollenspoke {

namespace {

using namespace net::experimental::awaitable_operators;
using std::chrono::milliseconds;

constexpr std::uint32_t mostConnectFailures = 3; // of one request: no target saw anything of it

bool carriesSecret(const http::fields::value_type &field, const std::string &secret)
{
    return containsSecret(toView(field.value()), secret) || containsSecret(toView(field.name_string()), secret);
}

bool isListedNotRun(const Service &service, const http::response_header<> &header)
{
    return std::any_of(service.notRunAnswers.begin(), service.notRunAnswers.end(), [&header](const NotRunAnswer &it) {
        return it.status == header.result_int() && (it.header.empty() || header.count(it.header) != 0);
    });
}

// Whether the answer carries the id of another request; one that carries several claims to belong to several.
bool isOthersAnswer(const http::response_header<> &header, const std::string &requestId, const WireContract &contract)
{
    const auto [begin, end] = header.equal_range(toBeast(contract.requestIdHeader));
    return std::any_of(begin, end, [&requestId](const auto &it) { return toView(it.value()) != requestId; });
}

bool isServing(const Service &service, const TargetId &id)
{
    return std::any_of(service.targets.begin(), service.targets.end(), [&id](const Target &it) {
        return it.name == id.target && it.address == id.address && it.state == TargetState::Serving;
    });
}

bool isRetriedStatus(unsigned status, const WireContract &contract)
{
    return std::find(contract.retriedStatuses.begin(), contract.retriedStatuses.end(), status) != contract.retriedStatuses.end();
}

// A success that doesn't carry the proof that the target made it.
bool lacksProof(const http::response_header<> &header, const WireContract &contract)
{
    const bool isSuccess = header.result_int() >= 200 && header.result_int() < 300;
    return isSuccess && !contract.proofHeader.empty() && header.count(contract.proofHeader) == 0;
}

constexpr unsigned misdirectedStatus = 421;
constexpr unsigned firstServerError = 500;

bool isBodiless(http::verb method, unsigned status)
{
    return method == http::verb::head || status == 204 || status == 304;
}

// What the caller is told when no attempt is left.
Refusal refusalAfter(RetryReason reason, bool mayHaveRun, bool isPastDeadline)
{
    const RunState run = mayHaveRun ? RunState::Unknown : RunState::NotRun;
    if (isPastDeadline) {
        return Refusal{.reason = mayHaveRun ? RefusalReason::AnswerTimeout : RefusalReason::DeadlineExceeded, .run = run};
    }
    switch (reason) {
    case RetryReason::ConnectFailed:
        return Refusal{.reason = RefusalReason::TargetUnreachable, .run = run};
    case RetryReason::NotRunAnswer:
        return Refusal{.reason = RefusalReason::TargetDeclined, .run = run, .retryAfter = std::chrono::seconds(1)};
    case RetryReason::AttemptTimeout:
        return Refusal{.reason = RefusalReason::AnswerTimeout, .run = run};
    case RetryReason::AnswerMismatched:
        return Refusal{.reason = RefusalReason::AnswerMismatched, .run = run};
    case RetryReason::StaleConnection:
    case RetryReason::AnswerIncomplete:
    case RetryReason::ServerError:
        return Refusal{.reason = RefusalReason::AnswerIncomplete, .run = run};
    }
    return Refusal{.reason = RefusalReason::AnswerIncomplete, .run = run};
}

} // namespace

http::request<http::string_body>
makeTargetRequest(const DispatchRequest &request, const TargetName &target, const WireContract &contract, TimePoint now)
{
    const auto &from = request.message;
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(from.method_string());
    message.target(from.target());
    for (const auto &it : from) {
        const std::string_view name = toView(it.name_string());
        const bool isDropped = isOwnHeader(name, contract) || isHopByHopHeader(name, from) || isCredentialHeader(name, contract)
            || it.name() == http::field::content_length || carriesSecret(it, request.resolved.caller.secret);
        if (!isDropped) {
            message.insert(it.name_string(), it.value());
        }
    }
    const auto left = std::chrono::duration_cast<milliseconds>(request.deadline - now).count();
    if (!request.resolved.caller.accountName.value.empty()) {
        message.set(toBeast(contract.accountHeader), request.resolved.caller.accountName.value);
    }
    if (!contract.instanceHeader.empty()) {
        message.set(toBeast(contract.instanceHeader), target.value);
    }
    message.set(toBeast(contract.requestIdHeader), request.requestId);
    message.set(toBeast(contract.deadlineHeader), std::to_string(std::max<std::int64_t>(left, 0)));
    message.body() = from.body();
    message.prepare_payload();
    return message;
}

Dispatcher::Dispatcher(const ProxyOptions &options, ProxyParts parts, const Configuration &configuration)
    : m_options(options)
    , m_parts(parts)
    , m_configuration(configuration)
    , m_targets(m_options, parts.clock)
    , m_pool(parts.metrics)
{
}

void Dispatcher::setVmCount(std::uint32_t n)
{
    m_vmCount = std::max<std::uint32_t>(n, 1);
}

void Dispatcher::closeIdle(TimePoint now)
{
    m_pool.discardIdle(now, milliseconds(m_options.dispatch.pooledIdleMs));
}

void Dispatcher::clearPool()
{
    m_pool.clear();
}

std::uint32_t Dispatcher::connectionLimit(const Service &service) const
{
    return std::max<std::uint32_t>(service.connectionsPerTarget / m_vmCount, 1);
}

net::awaitable<std::optional<Refusal>> Dispatcher::dispatch(DispatchRequest &request, DispatchTrace &trace, ReplyWriter &reply)
{
    Progress progress{.plan = {.isIdempotent = request.resolved.isIdempotent,
                               .maxAttempts = request.resolved.route->maxAttempts,
                               .deadline = request.deadline}};
    m_targets.noteRequest(request.resolved.serviceName);
    while (progress.plan.attempt <= progress.plan.maxAttempts && progress.connectFailures < mostConnectFailures
           && m_parts.clock.now() < request.deadline) {
        if (trace.mayHaveRun && !progress.plan.isIdempotent) {
            break;
        }
        if (std::optional<Refusal> refusal = resolveAgain(request, trace, progress)) {
            co_return refusal;
        }
        if (progress.sends != 0 && !mayRepeat(request, progress)) {
            break;
        }
        if (std::optional<Refusal> refusal = co_await takeTarget(request, trace, progress)) {
            co_return refusal;
        }
        if (progress.last) {
            m_parts.metrics.countRetry(progress.last->reason);
        }
        const TimePoint startedAt = m_parts.clock.now();
        progress.hasRepeat = false;
        AttemptResult result = co_await tryOnce(request, progress, trace, reply);
        const Duration taken = m_parts.clock.now() - startedAt;
        trace.timeAtTargets += taken;
        if (const auto *failure = std::get_if<AttemptFailure>(&result)) {
            logFailure(request, progress, *failure, taken);
            noteFailure(*failure, progress);
            continue;
        }
        progress.place = TargetPlace(); // a slow caller takes no target's time
        if (auto *answer = std::get_if<WholeAnswer>(&result)) {
            if (answer->header.result_int() >= firstServerError) {
                logRequestEvent(Event::FailurePassedOn,
                                {{"request_id", request.requestId},
                                 {"service", progress.id.service.value},
                                 {"target", progress.id.target.value},
                                 {"status", std::to_string(answer->header.result_int())},
                                 {"attempt", std::to_string(progress.plan.attempt)},
                                 {"after_ms", std::to_string(std::chrono::duration_cast<milliseconds>(taken).count())}});
            }
            const bool hasNoBody = isBodiless(request.message.method(), answer->header.result_int());
            if (co_await reply.sendWhole(answer->header, std::move(answer->body), hasNoBody)) {
                m_parts.metrics.count(Counter::AnswersWhole);
            }
        }
        co_return std::nullopt;
    }
    co_return refuseAfter(request, trace, progress);
}

void Dispatcher::logFailure(const DispatchRequest &request, const Progress &progress, const AttemptFailure &failure, Duration taken)
{
    logRequestEvent(Event::AttemptFailed,
                    {{"request_id", request.requestId},
                     {"service", progress.id.service.value},
                     {"target", progress.id.target.value},
                     {"reason", std::string(retryReasonName(failure.reason))},
                     {"may_have_run", failure.mayHaveRun ? "yes" : "no"},
                     {"attempt", std::to_string(progress.plan.attempt)},
                     {"after_ms", std::to_string(std::chrono::duration_cast<milliseconds>(taken).count())}});
}

Refusal Dispatcher::refuseAfter(const DispatchRequest &request, const DispatchTrace &trace, const Progress &progress) const
{
    const bool isPastDeadline = m_parts.clock.now() >= request.deadline;
    Refusal refusal = refusalAfter(progress.reason.value_or(RetryReason::ConnectFailed), trace.mayHaveRun, isPastDeadline);
    if (refusal.retryAfter) {
        refusal.retryAfter = m_targets.drainTime(request.resolved.serviceName);
    }
    return refusal;
}

// Whether the request may be sent once more: attempts and time are left, and the retry budget pays for it.
bool Dispatcher::mayRepeat(const DispatchRequest &request, Progress &progress)
{
    if (progress.hasRepeat) {
        return true;
    }
    const Duration left = request.deadline - m_parts.clock.now();
    const bool isUseful = left > m_targets.usualLatency(request.resolved.serviceName) / 2;
    progress.hasRepeat = isUseful && m_targets.takeRetry(request.resolved.serviceName);
    return progress.hasRepeat;
}

// Before a retry: a route that was closed, a key that was withdrawn or a target that left since then counts.
std::optional<Refusal> Dispatcher::resolveAgain(DispatchRequest &request, const DispatchTrace &trace, Progress &progress) const
{
    if (!progress.last) {
        return std::nullopt;
    }
    auto resolved = resolveRequest(m_configuration.load(), request.message, request.requestId, m_options.wire);
    if (!resolved) {
        Refusal refusal = resolved.error();
        refusal.run = trace.mayHaveRun ? RunState::Unknown : RunState::NotRun;
        return refusal;
    }
    request.resolved = std::move(*resolved);
    if (trace.mayHaveRun && !request.resolved.isIdempotent) {
        return refusalAfter(*progress.reason, true, false);
    }
    progress.plan.isIdempotent = request.resolved.isIdempotent;
    return std::nullopt;
}

net::awaitable<std::optional<Refusal>>
Dispatcher::takeTarget(const DispatchRequest &request, const DispatchTrace &trace, Progress &progress)
{
    const ResolvedRequest &resolved = request.resolved;
    if (progress.keepsTarget && resolved.serviceName == progress.id.service && isServing(*resolved.service, progress.id)) {
        co_return std::nullopt;
    }
    const AcquireRequest wanted{.service = resolved.serviceName,
                                .route = resolved.routeName,
                                .tried = progress.tried,
                                .rank = resolved.rank(),
                                .limit = connectionLimit(*resolved.service),
                                .isRetryable = resolved.isIdempotent && progress.plan.attempt < progress.plan.maxAttempts,
                                .objective = milliseconds(resolved.route->objectiveMs),
                                .deadline = request.deadline};
    const auto target = co_await m_targets.acquire(wanted, progress.place);
    if (target) {
        progress.id = {resolved.serviceName, target->name, target->address};
        co_return std::nullopt;
    }
    if (trace.mayHaveRun) {
        co_return refuseAfter(request, trace, progress);
    }
    const bool isFull = target.error() == AcquireFailure::QueueFull;
    const Duration retryAfter = isFull ? m_targets.drainTime(resolved.serviceName) : std::chrono::seconds(1);
    co_return Refusal{.reason = isFull ? RefusalReason::QueueFull : RefusalReason::NoTarget, .retryAfter = retryAfter};
}

void Dispatcher::noteFailure(const AttemptFailure &failure, Progress &progress)
{
    if (failure.mayHaveRun || !progress.mayHaveRun) {
        progress.reason = failure.reason;
        progress.mayHaveRun = failure.mayHaveRun;
    }
    progress.last = failure;
    progress.keepsTarget = !failure.blamesTarget;
    if (!failure.blamesTarget) {
        progress.freshOnly = true;
        const bool wasSilent = failure.reason == RetryReason::StaleConnection && failure.end == AttemptEnd::Silent;
        if (wasSilent && progress.plan.attempt < progress.plan.maxAttempts) {
            // Time was lost already, so another target is asked, if there is one.
            progress.keepsTarget = false;
            progress.tried.push_back(progress.id.target);
            ++progress.plan.attempt;
        }
        return;
    }
    progress.place.end(failure.end);
    progress.tried.push_back(progress.id.target);
    if (failure.end == AttemptEnd::Unreachable) {
        ++progress.connectFailures;
    } else {
        ++progress.plan.attempt;
    }
}

net::awaitable<Dispatcher::AttemptResult>
Dispatcher::tryOnce(const DispatchRequest &request, Progress &progress, DispatchTrace &trace, ReplyWriter &reply)
{
    AttemptPlan &plan = progress.plan;
    const DispatchOptions &options = m_options.dispatch;
    if (options.patienceFactor > 0) {
        const auto usual = m_targets.usualLatency(request.resolved.serviceName) * options.patienceFactor;
        const milliseconds objective(request.resolved.route->objectiveMs);
        plan.maxNonFinalAttempt = std::max(
            {std::chrono::duration_cast<Duration>(usual), Duration(objective), Duration(milliseconds(options.shortestPatienceMs))});
    }
    TargetConnection connection(
        co_await net::this_coro::executor,
        {.answerHeaderBytes = options.answerHeaderBytes, .takesUnframedAnswers = m_options.wire.takesUnframedAnswers});
    Attempt attempt{.id = progress.id, .place = progress.place, .startedAt = m_parts.clock.now()};
    if (plan.isIdempotent && !progress.freshOnly) {
        Descriptor idle = takeIdle(attempt);
        attempt.isPooled = idle.isOpen() && connection.adopt(attempt.id.address, std::move(idle));
    }
    attempt.giveUpAt = attempt.startedAt + attemptTimeout(plan, attempt.isPooled, attempt.startedAt);
    if (attempt.isPooled) {
        m_parts.metrics.count(Counter::ConnectionsReused);
        co_return co_await exchange(request, attempt, connection, progress, trace, reply);
    }
    makeRoom(request, attempt);
    const Duration longest = milliseconds(m_options.dispatch.connectTimeoutMs);
    const SystemError ec
        = co_await connection.connect(attempt.id.address, attempt.startedAt + connectTimeout(plan, longest, attempt.startedAt));
    if (ec) {
        co_return AttemptFailure{.reason = RetryReason::ConnectFailed, .end = AttemptEnd::Unreachable};
    }
    m_parts.metrics.count(Counter::ConnectionsOpened);
    m_parts.metrics.recordTiming(Timing::Connect, m_parts.clock.now() - attempt.startedAt);
    co_return co_await exchange(request, attempt, connection, progress, trace, reply);
}

net::awaitable<Dispatcher::AttemptResult> Dispatcher::exchange(const DispatchRequest &request,
                                                               const Attempt &attempt,
                                                               TargetConnection &connection,
                                                               Progress &progress,
                                                               DispatchTrace &trace,
                                                               ReplyWriter &reply)
{
    const TimePoint sentAt = m_parts.clock.now();
    const http::request<http::string_body> message = makeTargetRequest(request, attempt.id.target, m_options.wire, sentAt);
    RequestSerializer serializer(message);
    const bool mayHaveRunBefore = trace.mayHaveRun;
    trace.mayHaveRun = true; // holds as well if this coroutine is cancelled while it writes
    if (co_await connection.beginSend(serializer, attempt.giveUpAt) == 0) {
        trace.mayHaveRun = mayHaveRunBefore;
        co_return AttemptFailure{.reason = attempt.isPooled ? RetryReason::StaleConnection : RetryReason::ConnectFailed,
                                 .blamesTarget = !attempt.isPooled,
                                 .end = AttemptEnd::Unreachable};
    }
    ++progress.sends;
    m_parts.metrics.count(Counter::Dispatches);
    AttemptResult result;
    if (connection.hasSentAll()) {
        result = co_await receive(request, attempt, connection, progress, reply);
    } else {
        // Through a reference: the operator would merge the alternatives of two variants into one.
        const auto receiveInto
            = [&](AttemptResult &into) -> net::awaitable<void> { into = co_await receive(request, attempt, connection, progress, reply); };
        co_await (receiveInto(result) || connection.sendRest(serializer, attempt.giveUpAt));
    }
    if (const auto *failure = std::get_if<AttemptFailure>(&result)) {
        trace.mayHaveRun = failure->mayHaveRun || mayHaveRunBefore;
    } else {
        const Duration latency = m_parts.clock.now() - sentAt;
        const bool isServerError = connection.header().result_int() >= firstServerError;
        m_parts.metrics.recordTiming(Timing::Target, latency);
        const AttemptEnd end = isServerError || !connection.isWhole() ? AttemptEnd::Failed : AttemptEnd::Answered;
        keepConnection(request, attempt, connection, end, latency);
        attempt.place.end(end, latency);
    }
    co_return result;
}

net::awaitable<Dispatcher::AttemptResult> Dispatcher::receive(
    const DispatchRequest &request, const Attempt &attempt, TargetConnection &connection, Progress &progress, ReplyWriter &reply)
{
    const bool isHead = request.message.method() == http::verb::head;
    const std::optional<ReceiveFault> fault = co_await connection.receiveHeader(isHead, attempt.giveUpAt);
    if (fault) {
        co_return failureFor(*fault, attempt, connection);
    }
    if (std::optional<AttemptFailure> failure = judgeAnswer(request, attempt, connection, progress)) {
        co_return *failure;
    }
    co_return co_await receiveBody(request, attempt, connection, reply);
}

Dispatcher::AttemptFailure Dispatcher::failureFor(ReceiveFault fault, const Attempt &attempt, const TargetConnection &connection)
{
    const bool isSilent = attempt.isPooled && !connection.hasReceivedBytes();
    if (isSilent && fault == ReceiveFault::Timeout) {
        const std::size_t n = m_pool.discardOlderThan(attempt.id, attempt.startedAt);
        logEvent(Event::SilentConnectionsClosed, {{"target", attempt.id.target.value}, {"closed", std::to_string(n + 1)}});
    }
    if (isSilent && (fault == ReceiveFault::Timeout || fault == ReceiveFault::Cut)) {
        const AttemptEnd end = fault == ReceiveFault::Timeout ? AttemptEnd::Silent : AttemptEnd::Failed;
        return AttemptFailure{.reason = RetryReason::StaleConnection, .mayHaveRun = true, .blamesTarget = false, .end = end};
    }
    const bool isTimeout = fault == ReceiveFault::Timeout;
    return AttemptFailure{.reason = isTimeout ? RetryReason::AttemptTimeout : RetryReason::AnswerIncomplete,
                          .mayHaveRun = true,
                          .end = isTimeout ? AttemptEnd::Silent : AttemptEnd::Failed};
}

std::optional<Dispatcher::AttemptFailure>
Dispatcher::judgeAnswer(const DispatchRequest &request, const Attempt &attempt, const TargetConnection &connection, Progress &progress)
{
    const http::response_header<> &header = connection.header();
    const bool isEchoed = header.count(toBeast(m_options.wire.requestIdHeader)) != 0;
    const bool isUnproved = !isEchoed && attempt.isPooled && request.resolved.service->connectionReuse == ConnectionReuse::Echoed;
    if (isUnproved || isOthersAnswer(header, request.requestId, m_options.wire)) {
        logEvent(Event::AnswerDiscarded, {{"target", attempt.id.target.value}, {"request_id", request.requestId}}, LogLevel::Warning);
        return AttemptFailure{.reason = RetryReason::AnswerMismatched, .mayHaveRun = true, .blamesTarget = !attempt.isPooled};
    }
    if (isListedNotRun(*request.resolved.service, header)) {
        // On a reused connection an answer without the id could be another request's: it proves nothing.
        const bool isMisdirected = header.result_int() == misdirectedStatus;
        return AttemptFailure{.reason = RetryReason::NotRunAnswer,
                              .mayHaveRun = attempt.isPooled && !isEchoed,
                              .end = isMisdirected ? AttemptEnd::Misdirected : AttemptEnd::Declined};
    }
    if (lacksProof(header, m_options.wire)) {
        logEvent(Event::AnswerDiscarded, {{"target", attempt.id.target.value}, {"why", "no proof of the target"}}, LogLevel::Warning);
        return AttemptFailure{.reason = RetryReason::AnswerMismatched, .mayHaveRun = true};
    }
    const bool isLast = progress.plan.attempt >= progress.plan.maxAttempts;
    if (request.resolved.isIdempotent && !isLast && isRetriedStatus(header.result_int(), m_options.wire) && mayRepeat(request, progress)) {
        return AttemptFailure{.reason = RetryReason::ServerError, .mayHaveRun = true};
    }
    return std::nullopt;
}

net::awaitable<Dispatcher::AttemptResult>
Dispatcher::receiveBody(const DispatchRequest &request, const Attempt &attempt, TargetConnection &connection, ReplyWriter &reply)
{
    const std::uint64_t wholeBytes = m_options.dispatch.wholeAnswerBytes;
    const std::optional<std::uint64_t> length = connection.announcedLength();
    std::string body;
    while (!connection.isWhole() && (!length || *length <= wholeBytes) && body.size() < wholeBytes) {
        const std::size_t limit = std::min<std::uint64_t>(m_options.dispatch.streamPartBytes, wholeBytes - body.size());
        const std::optional<ReceiveFault> fault = co_await connection.receivePart(body, limit, attempt.giveUpAt);
        if (fault) {
            co_return failureFor(*fault, attempt, connection);
        }
    }
    if (!connection.isWhole()) {
        co_return co_await stream(request, connection, std::move(body), reply);
    }
    co_return WholeAnswer{.header = connection.header(), .body = std::move(body)};
}

net::awaitable<Dispatcher::AttemptResult>
Dispatcher::stream(const DispatchRequest &request, TargetConnection &connection, std::string part, ReplyWriter &reply)
{
    const std::optional<std::uint64_t> length = connection.announcedLength();
    if (!reply.canStream(length.has_value())) {
        co_return AttemptFailure{.reason = RetryReason::AnswerIncomplete, .mayHaveRun = true};
    }
    bool isSent = co_await reply.beginStream(connection.header(), length);
    bool isReceived = true;
    while (isSent && isReceived) {
        isSent = co_await reply.sendPart(part);
        if (connection.isWhole()) {
            break;
        }
        part.clear();
        const std::optional<ReceiveFault> fault
            = co_await connection.receivePart(part, m_options.dispatch.streamPartBytes, request.deadline);
        isReceived = !fault;
    }
    isSent = isSent && isReceived && co_await reply.endStream();
    if (!isSent) {
        reply.cut();
    }
    m_parts.metrics.count(isSent ? Counter::AnswersWhole : Counter::AnswersCut);
    co_return Streamed{};
}

Descriptor Dispatcher::takeIdle(const Attempt &attempt)
{
    return m_pool.take(attempt.id, attempt.startedAt, milliseconds(m_options.dispatch.pooledIdleMs));
}

// Closes idle connections to the target where a fresh one would exceed the bound. This request is in flight already.
void Dispatcher::makeRoom(const DispatchRequest &request, const Attempt &attempt)
{
    const std::uint32_t limit = connectionLimit(*request.resolved.service);
    m_targets.visitInFlight(attempt.id, [&](std::uint32_t inFlight) { m_pool.makeRoom(attempt.id, limit - std::min(inFlight, limit)); });
}

void Dispatcher::keepConnection(
    const DispatchRequest &request, const Attempt &attempt, TargetConnection &connection, AttemptEnd end, Duration latency)
{
    if (connection.hasSurplusBytes()) {
        logEvent(
            Event::AnswerDiscarded, {{"target", attempt.id.target.value}, {"why", "surplus bytes after the answer"}}, LogLevel::Warning);
    }
    const Service &service = *request.resolved.service;
    const bool isEchoed = connection.header().count(toBeast(m_options.wire.requestIdHeader)) != 0;
    const bool isAllowed
        = service.connectionReuse == ConnectionReuse::Always || (service.connectionReuse == ConnectionReuse::Echoed && isEchoed);
    if (!isAllowed || !connection.mayBeReused()) {
        return;
    }
    const std::uint32_t limit = connectionLimit(service);
    // In one step: this request's connection would count twice otherwise, and another idle one would be closed for it.
    m_targets.leave(attempt.place, end, latency, [&](std::uint32_t others) {
        m_pool.put(attempt.id, connection.release(), m_parts.clock.now(), limit - std::min(others, limit));
    });
}

} // namespace Pollenspoke
