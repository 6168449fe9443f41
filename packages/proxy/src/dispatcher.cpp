#include "dispatcher.h"

#include "announcement.h"
#include "credentials.h"

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <set>

namespace Pollenspoke {

namespace {

using namespace net::experimental::awaitable_operators;
using std::chrono::milliseconds;

constexpr auto hedgePollInterval = milliseconds(20); // at which a slow attempt notices that its hedge has failed
constexpr std::uint32_t maxConnectFailures = 3;      // per request; not counted as attempts, since no target received any byte

bool carriesSecret(const http::fields::value_type &field, const std::string &secret)
{
    return containsSecret(toView(field.value()), secret) || containsSecret(toView(field.name_string()), secret);
}

bool isNotRunResponse(const Service &service, const http::response_header<> &header)
{
    return std::any_of(service.notRunAnswers.begin(), service.notRunAnswers.end(), [&header](const NotRunAnswer &it) {
        return it.status == header.result_int() && (it.header.empty() || header.count(it.header) != 0);
    });
}

// Whether the response carries the id of another request. A response with several ids is rejected unless all of them match.
bool hasForeignRequestId(const http::response_header<> &header, const std::string &requestId, const WireContract &contract)
{
    const auto [begin, end] = header.equal_range(toBeast(contract.requestIdHeader));
    return std::any_of(begin, end, [&requestId](const auto &it) { return toView(it.value()) != requestId; });
}

bool isServing(const Service &service, const TargetId &id)
{
    return std::any_of(service.targets.begin(), service.targets.end(), [&id](const Target &it) {
        return it.name == id.target && it.address == id.address && it.incarnation == id.incarnation && it.state == TargetState::Serving
            && !it.isEvacuated;
    });
}

bool isRetriedStatus(unsigned status, const WireContract &contract)
{
    return std::find(contract.retriedStatuses.begin(), contract.retriedStatuses.end(), status) != contract.retriedStatuses.end();
}

// Whether a 2xx response lacks the header that shows that it was produced by the target.
bool lacksRequiredHeader(const http::response_header<> &header, const WireContract &contract)
{
    const bool isSuccess = header.result_int() >= 200 && header.result_int() < 300;
    return isSuccess && !contract.requiredResponseHeader.empty() && header.count(contract.requiredResponseHeader) == 0;
}

constexpr unsigned misdirectedStatus = 421;
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned firstServerErrorStatus = 500;

bool isBodilessResponse(http::verb method, unsigned status)
{
    return method == http::verb::head || status == 204 || status == 304;
}

// The refusal sent to the caller when no attempt is left.
Refusal refusalForFailure(RetryReason reason, bool mayHaveRun, bool isPastDeadline)
{
    const RunState run = mayHaveRun ? RunState::Unknown : RunState::NotRun;
    if (isPastDeadline) {
        return Refusal{.reason = mayHaveRun ? RefusalReason::AnswerTimeout : RefusalReason::DeadlineExceeded, .run = run};
    }
    switch (reason) {
    case RetryReason::ConnectFailed:
        if (mayHaveRun) { // the status of TargetUnreachable promises that the request didn't run
            return Refusal{.reason = RefusalReason::AnswerIncomplete, .run = run};
        }
        return Refusal{.reason = RefusalReason::TargetUnreachable, .retryAfter = std::chrono::seconds(1)};
    case RetryReason::NotRunAnswer:
    case RetryReason::TargetClosed:
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

Refusal makeStopRefusal()
{
    return Refusal{.reason = RefusalReason::ShuttingDown, .retryAfter = Duration(0), .closesConnection = true};
}

http::request<SentBody>
makeTargetRequest(const DispatchRequest &request, const TargetName &target, const WireContract &contract, TimePoint now)
{
    const auto &original = request.message;
    http::request<SentBody> message;
    message.version(11);
    message.method_string(original.method_string());
    message.target(original.target());
    for (const auto &it : original) {
        const std::string_view name = toView(it.name_string());
        const bool isDropped = isReservedHeader(name, contract) || isHopByHopHeader(name, original) || isCredentialHeader(name, contract)
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
    message.body() = &original.body();
    message.prepare_payload();
    return message;
}

Dispatcher::OutgoingRequest::OutgoingRequest(const DispatchRequest &request,
                                             const TargetName &target,
                                             const WireContract &contract,
                                             TimePoint sendAt)
    : message(makeTargetRequest(request, target, contract, sendAt))
    , serializer(message)
    , sentAt(sendAt)
{
}

Dispatcher::Dispatcher(const ProxyOptions &options,
                       ProxyDependencies dependencies,
                       const Configuration &configuration,
                       const CurrentStop &stop,
                       BodyMemory &bodyMemory)
    : m_options(options)
    , m_dependencies(dependencies)
    , m_configuration(configuration)
    , m_stop(stop)
    , m_bodyMemory(bodyMemory)
    , m_targets(m_options, dependencies.clock, dependencies.metrics)
    , m_pool(dependencies.metrics)
{
}

void Dispatcher::setVmCount(std::uint32_t n)
{
    m_vmCount = std::max<std::uint32_t>(n, 1);
}

void Dispatcher::closeExpired(TimePoint now)
{
    m_pool.discardExpired(now, milliseconds(m_options.dispatch.pooledIdleMs));
}

void Dispatcher::applySnapshot(const Snapshot &snapshot)
{
    m_targets.applySnapshot(snapshot);
    for (const auto &[name, service] : snapshot.services()) {
        for (const Target &it : service.targets) {
            if (it.isEvacuated) {
                m_pool.discardAll({name, it.name, it.address, it.incarnation});
            }
        }
    }
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
    Progress progress{
        .plan
        = {.isIdempotent = request.resolved.isIdempotent, .maxAttempts = request.resolved.route->maxAttempts, .deadline = request.deadline},
        .startedAt = m_dependencies.clock.now()};
    m_targets.noteRequest(request.resolved.serviceName, request.resolved.effectivePriority(), request.resolved.caller.accountName);
    while (progress.replacement
           || (progress.plan.attempt <= progress.plan.maxAttempts && progress.connectFailures < maxConnectFailures
               && m_dependencies.clock.now() < request.deadline)) {
        if (progress.replacement) {
            useReplacement(request, progress);
        } else {
            if (trace.mayHaveRun && !progress.plan.isIdempotent) {
                break;
            }
            if (std::optional<Refusal> refusal = resolveForRetry(request, trace, progress)) {
                co_return refusal;
            }
            if (progress.sendCount != 0 && !reserveRetry(request.resolved.serviceName, request.deadline, progress)) {
                break;
            }
            if (std::optional<Refusal> refusal = co_await acquireTarget(request, trace, progress)) {
                co_return refusal;
            }
            if (exceedsAttempts(progress)) {
                break;
            }
            if (isStopTooClose(request, trace)) { // checked last, since the request may have waited for a target
                co_return trace.mayHaveRun ? makeFinalRefusal(request, trace, progress) : makeStopRefusal();
            }
            progress.hasReservedRetry = false;
        }
        if (progress.last) {
            m_dependencies.metrics.countRetry(progress.last->reason);
        }
        const TimePoint startedAt = m_dependencies.clock.now();
        AttemptResult result = co_await runAttempt(request, progress, trace, reply);
        if ((co_await net::this_coro::cancellation_state).cancelled() != net::cancellation_type::none) {
            // The caller left, or a planned stop ended: the attempt didn't fail, and its reservation is released as abandoned.
            co_return refusalForFailure(RetryReason::AnswerIncomplete, trace.mayHaveRun, false);
        }
        const Duration elapsed = m_dependencies.clock.now() - startedAt;
        trace.timeAtTargets += elapsed;
        if (const auto *failure = std::get_if<AttemptFailure>(&result)) {
            logFailure(request, progress.id, progress, *failure, elapsed);
            recordFailure(*failure, progress);
            continue;
        }
        progress.replacement.reset();
        progress.reservation = TargetReservation(); // release the slot early, so that a slow caller doesn't occupy the target
        if (auto *response = std::get_if<BufferedResponse>(&result)) {
            if (response->header.result_int() >= firstServerErrorStatus) {
                logRequestEvent(Event::FailurePassedOn,
                                {{"request_id", request.requestId},
                                 {"service", progress.id.service.value},
                                 {"target", progress.id.target.value},
                                 {"status", std::to_string(response->header.result_int())},
                                 {"attempt", std::to_string(progress.plan.attempt)},
                                 {"after_ms", std::to_string(std::chrono::duration_cast<milliseconds>(elapsed).count())}});
            }
            const bool hasNoBody = isBodilessResponse(request.message.method(), response->header.result_int());
            if (co_await reply.sendWhole(response->header, std::move(response->body), hasNoBody)) {
                m_dependencies.metrics.count(Counter::AnswersWhole);
            }
        }
        co_return std::nullopt;
    }
    co_return makeFinalRefusal(request, trace, progress);
}

void Dispatcher::logFailure(
    const DispatchRequest &request, const TargetId &id, const Progress &progress, const AttemptFailure &failure, Duration elapsed)
{
    logRequestEvent(Event::AttemptFailed,
                    {{"request_id", request.requestId},
                     {"service", id.service.value},
                     {"target", id.target.value},
                     {"reason", std::string(retryReasonName(failure.reason))},
                     {"may_have_run", failure.mayHaveRun ? "yes" : "no"},
                     {"attempt", std::to_string(progress.plan.attempt)},
                     {"after_ms", std::to_string(std::chrono::duration_cast<milliseconds>(elapsed).count())}});
}

// Adds to a refusal for lack of capacity when the caller should come back.
void Dispatcher::scheduleReturn(const DispatchRequest &request, Refusal &refusal)
{
    const DispatchRefusal scheduled = m_targets.refuse({.service = request.resolved.serviceName,
                                                        .priority = request.resolved.effectivePriority(),
                                                        .requestId = request.requestId,
                                                        .deadline = request.deadline});
    refusal.retryAfter = scheduled.returnTime.retryAfter;
    refusal.boundary = scheduled.boundary;
    if (!scheduled.returnTime.isBeforeDeadline) {
        refusal.capacityIn = scheduled.returnTime.capacityIn;
    }
}

Refusal Dispatcher::makeFinalRefusal(const DispatchRequest &request, const DispatchTrace &trace, const Progress &progress)
{
    const bool isPastDeadline = m_dependencies.clock.now() >= request.deadline;
    Refusal refusal = refusalForFailure(progress.reason.value_or(RetryReason::ConnectFailed), trace.mayHaveRun, isPastDeadline);
    if (refusal.reason == RefusalReason::TargetDeclined) {
        scheduleReturn(request, refusal);
    } else if (refusal.retryAfter) {
        refusal.retryAfter = m_targets.retryAfter(request.resolved.serviceName);
    }
    return refusal;
}

// Charges the retry budget for another attempt. Returns false if the budget is exhausted or too little time is left before
// the deadline.
bool Dispatcher::reserveRetry(const ServiceName &service, TimePoint deadline, Progress &progress)
{
    if (progress.hasReservedRetry) {
        return true;
    }
    const Duration left = deadline - m_dependencies.clock.now();
    const bool isUseful = left > m_targets.usualLatency(service) / 2;
    progress.hasReservedRetry = isUseful && m_targets.takeRetry(service);
    return progress.hasReservedRetry;
}

// A connection that failed isn't counted as an attempt, but its target may have executed the request.
bool Dispatcher::exceedsAttempts(const Progress &progress)
{
    return progress.ranAt.size() >= progress.plan.maxAttempts
        && std::find(progress.ranAt.begin(), progress.ranAt.end(), progress.id.target) == progress.ranAt.end();
}

// Everything that could forbid this attempt was checked before it was sent.
void Dispatcher::useReplacement(DispatchRequest &request, Progress &progress)
{
    Replacement &replacement = *progress.replacement;
    request.resolved = std::move(replacement.resolved);
    progress.id = replacement.id;
    if (replacement.reservation) {
        progress.reservation = std::move(*replacement.reservation);
    }
}

bool Dispatcher::isStopTooClose(const DispatchRequest &request, const DispatchTrace &trace) const
{
    const std::shared_ptr<const PlannedStop> stop = m_stop.load();
    const TimePoint now = m_dependencies.clock.now();
    return stop
        && !(trace.mayHaveRun ? stop->mayRetry(m_targets.usualLatency(request.resolved.serviceName), now)
                              : stop->mayStart(request.deadline, now));
}

// Resolves the request again before a retry, so that routes closed, keys withdrawn and targets removed since then are
// respected.
std::optional<Refusal> Dispatcher::resolveForRetry(DispatchRequest &request, const DispatchTrace &trace, Progress &progress)
{
    if (!progress.last) {
        return std::nullopt;
    }
    auto resolved = resolveRequest(m_configuration.load(), request.message, request.requestId, m_options.wire);
    if (!resolved) { // the caller of a request that may have run must not be told that it was refused
        return trace.mayHaveRun ? makeFinalRefusal(request, trace, progress) : resolved.error();
    }
    request.resolved = std::move(*resolved);
    if (trace.mayHaveRun && !request.resolved.isIdempotent) {
        return refusalForFailure(*progress.reason, true, false);
    }
    progress.plan.isIdempotent = request.resolved.isIdempotent;
    return std::nullopt;
}

net::awaitable<std::optional<Refusal>> Dispatcher::acquireTarget(const DispatchRequest &request, DispatchTrace &trace, Progress &progress)
{
    const ResolvedRequest &resolved = request.resolved;
    if (progress.retriesSameTarget && resolved.serviceName == progress.id.service && isUsable(*resolved.service, progress.id)) {
        co_return std::nullopt;
    }
    const auto target = co_await acquireSlot(request, resolved, progress, progress.tried, true, progress.reservation, trace.waitingAhead);
    if (target) {
        progress.id = {resolved.serviceName, target->name, target->address, target->incarnation};
        co_return std::nullopt;
    }
    const bool wasDeclined = target.error() == AcquireFailure::NoTarget && progress.reason == RetryReason::NotRunAnswer;
    if (trace.mayHaveRun || wasDeclined) {
        co_return makeFinalRefusal(request, trace, progress);
    }
    const bool isQueueFull = target.error() == AcquireFailure::QueueFull;
    Refusal refusal{.reason = isQueueFull ? RefusalReason::QueueFull : RefusalReason::NoTarget};
    if (isQueueFull) {
        scheduleReturn(request, refusal);
    } else {
        refusal.retryAfter = m_targets.retryAfter(resolved.serviceName);
    }
    co_return refusal;
}

bool Dispatcher::isUsable(const Service &service, const TargetId &id) const
{
    return isServing(service, id) && m_targets.accepts(id);
}

ConnectionOptions Dispatcher::connectionOptions() const
{
    return {.answerHeaderBytes = m_options.dispatch.answerHeaderBytes, .acceptsUnframedResponses = m_options.wire.acceptsUnframedResponses};
}

net::awaitable<tl::expected<Target, AcquireFailure>> Dispatcher::acquireSlot(const DispatchRequest &request,
                                                                             const ResolvedRequest &resolved,
                                                                             const Progress &progress,
                                                                             std::vector<TargetName> tried,
                                                                             bool mayOvercommit,
                                                                             TargetReservation &reservation,
                                                                             std::optional<std::size_t> &waitingAhead)
{
    const AcquireRequest acquireRequest{.service = resolved.serviceName,
                                        .route = resolved.routeName,
                                        .requestId = request.requestId,
                                        .tried = std::move(tried),
                                        .account = resolved.caller.accountName,
                                        .weight = resolved.caller.account != nullptr ? resolved.caller.account->weight : 1,
                                        .priority = resolved.effectivePriority(),
                                        .limit = connectionLimit(*resolved.service),
                                        .isRetryable = resolved.isIdempotent && progress.plan.attempt < progress.plan.maxAttempts,
                                        .mayOvercommit = mayOvercommit,
                                        .objective = milliseconds(resolved.route->objectiveMs),
                                        .deadline = request.deadline,
                                        .arrivedAt = progress.startedAt};
    co_return co_await m_targets.acquire(acquireRequest, reservation, waitingAhead);
}

void Dispatcher::recordFailure(const AttemptFailure &failure, Progress &progress)
{
    if (failure.mayHaveRun || !progress.mayHaveRun) {
        progress.reason = failure.reason;
        progress.mayHaveRun = failure.mayHaveRun;
    }
    if (failure.mayHaveRun && std::find(progress.ranAt.begin(), progress.ranAt.end(), progress.id.target) == progress.ranAt.end()) {
        progress.ranAt.push_back(progress.id.target);
    }
    progress.last = failure;
    progress.retriesSameTarget = !failure.isTargetFault;
    if (!failure.isTargetFault) {
        progress.needsNewConnection = true;
        const bool hasTimedOut = failure.reason == RetryReason::StaleConnection && failure.end == AttemptEnd::Silent;
        if (hasTimedOut && progress.plan.attempt < progress.plan.maxAttempts) {
            // The attempt already used up its time, so the retry prefers a different target.
            progress.retriesSameTarget = false;
            progress.tried.push_back(progress.id.target);
            ++progress.plan.attempt;
        }
        return;
    }
    progress.reservation.finish(failure.end);
    progress.tried.push_back(progress.id.target);
    if (failure.end == AttemptEnd::Unreachable) {
        ++progress.connectFailures;
    } else if (failure.reason != RetryReason::TargetClosed) {
        ++progress.plan.attempt;
    }
}

net::awaitable<Dispatcher::AttemptResult>
Dispatcher::runAttempt(const DispatchRequest &request, Progress &progress, DispatchTrace &trace, ReplyWriter &reply)
{
    AttemptPlan &plan = progress.plan;
    const DispatchOptions &options = m_options.dispatch;
    if (options.patienceFactor > 0) {
        const auto scaledLatency = m_targets.usualLatency(request.resolved.serviceName) * options.patienceFactor;
        const milliseconds objective(request.resolved.route->objectiveMs);
        plan.maxNonFinalAttempt = std::max(
            {std::chrono::duration_cast<Duration>(scaledLatency), Duration(objective), Duration(milliseconds(options.shortestPatienceMs))});
    }
    if (progress.replacement) {
        Replacement replacement = std::move(*progress.replacement);
        progress.replacement.reset();
        const Attempt attempt{.id = progress.id,
                              .reservation = progress.reservation,
                              .startedAt = replacement.startedAt,
                              .patienceEndsAt = replacement.startedAt + attemptTimeout(plan, false, replacement.startedAt)};
        co_return co_await awaitResponse(request, attempt, *replacement.connection, *replacement.outgoing, progress, trace, reply);
    }
    TargetConnection connection(co_await net::this_coro::executor, connectionOptions());
    Attempt attempt{.id = progress.id, .reservation = progress.reservation, .startedAt = m_dependencies.clock.now()};
    if (plan.isIdempotent && !progress.needsNewConnection) {
        Descriptor idle = takePooledConnection(attempt);
        attempt.isPooled = idle.isOpen() && connection.adopt(attempt.id.address, std::move(idle));
    }
    attempt.patienceEndsAt = attempt.startedAt + attemptTimeout(plan, attempt.isPooled, attempt.startedAt);
    if (attempt.isPooled) {
        m_dependencies.metrics.count(Counter::ConnectionsReused);
        co_return co_await exchange(request, attempt, connection, progress, trace, reply);
    }
    closeExcess(request.resolved, attempt.id);
    const Duration maxConnectTime = milliseconds(m_options.dispatch.connectTimeoutMs);
    const Duration connectTime = connectTimeout(plan, maxConnectTime, attempt.startedAt);
    const SystemError ec = co_await connection.connect(attempt.id.address, attempt.startedAt + connectTime);
    const bool isCancelled = (co_await net::this_coro::cancellation_state).cancelled() != net::cancellation_type::none;
    if (!isCancelled && (!ec || connectTime == maxConnectTime)) { // a failure near the request's deadline says little about the link
        m_targets.noteConnect(attempt.id, !ec);
    }
    if (ec) {
        co_return AttemptFailure{.reason = RetryReason::ConnectFailed, .end = AttemptEnd::Unreachable};
    }
    m_dependencies.metrics.count(Counter::ConnectionsOpened);
    m_dependencies.metrics.recordTiming(Timing::Connect, m_dependencies.clock.now() - attempt.startedAt);
    co_return co_await exchange(request, attempt, connection, progress, trace, reply);
}

net::awaitable<Dispatcher::AttemptResult> Dispatcher::exchange(const DispatchRequest &request,
                                                               const Attempt &attempt,
                                                               TargetConnection &connection,
                                                               Progress &progress,
                                                               DispatchTrace &trace,
                                                               ReplyWriter &reply)
{
    // Checked last: the target may have announced its leaving or a limit, in another answer, while this attempt connected.
    if (!m_targets.admit(attempt.id)) {
        m_dependencies.metrics.count(Counter::DispatchesWithheld);
        co_return AttemptFailure{.reason = RetryReason::TargetClosed, .end = AttemptEnd::Abandoned};
    }
    OutgoingRequest outgoing(request, attempt.id.target, m_options.wire, m_dependencies.clock.now());
    const bool mayHaveRunBefore = trace.mayHaveRun;
    trace.mayHaveRun = true; // set before writing: the coroutine may be cancelled during the write
    if (co_await connection.beginSend(outgoing.serializer, attempt.patienceEndsAt) == 0) {
        trace.mayHaveRun = mayHaveRunBefore;
        m_targets.returnToken(attempt.id);
        co_return AttemptFailure{.reason = attempt.isPooled ? RetryReason::StaleConnection : RetryReason::ConnectFailed,
                                 .isTargetFault = !attempt.isPooled,
                                 .end = AttemptEnd::Unreachable};
    }
    ++progress.sendCount;
    m_dependencies.metrics.count(Counter::Dispatches);
    AttemptResult result = co_await awaitResponse(request, attempt, connection, outgoing, progress, trace, reply);
    if (const auto *failure = std::get_if<AttemptFailure>(&result)) {
        trace.mayHaveRun = failure->mayHaveRun || mayHaveRunBefore || progress.mayHaveRun; // the latter in a race of two attempts
    }
    co_return result;
}

net::awaitable<Dispatcher::AttemptResult> Dispatcher::awaitResponse(const DispatchRequest &request,
                                                                    const Attempt &attempt,
                                                                    TargetConnection &connection,
                                                                    OutgoingRequest &outgoing,
                                                                    Progress &progress,
                                                                    DispatchTrace &trace,
                                                                    ReplyWriter &reply)
{
    Attempt own = attempt;
    own.isFirst = progress.sendCount == 1 && progress.plan.isIdempotent && m_options.dispatch.hedge.percent != 0;
    const auto hedgeDelay
        = own.isFirst ? m_targets.hedgeDelay(request.resolved.serviceName, request.resolved.routeName) : std::optional<Duration>();
    if (hedgeDelay && outgoing.sentAt + *hedgeDelay < std::min(attempt.patienceEndsAt, request.deadline)) {
        co_return co_await raceHedge(request, own, connection, outgoing, *hedgeDelay, progress, trace, reply);
    }
    AttemptResult result = co_await awaitFirst(request, own, connection, outgoing, progress, trace, reply);
    const bool isCancelled = (co_await net::this_coro::cancellation_state).cancelled() != net::cancellation_type::none;
    finishAttempt(request, own, connection, outgoing.sentAt, result, isCancelled);
    co_return result;
}

net::awaitable<Dispatcher::AttemptResult> Dispatcher::awaitFirst(const DispatchRequest &request,
                                                                 const Attempt &attempt,
                                                                 TargetConnection &connection,
                                                                 OutgoingRequest &outgoing,
                                                                 Progress &progress,
                                                                 DispatchTrace &trace,
                                                                 ReplyWriter &reply)
{
    if (attempt.patienceEndsAt >= request.deadline) {
        co_return co_await receiveWhileSending(request, attempt, connection, outgoing, progress, reply);
    }
    std::optional<AttemptResult> received;
    const auto receiveInto = [&]() -> net::awaitable<void> {
        received = co_await receiveWhileSending(request, attempt, connection, outgoing, progress, reply);
    };
    co_await (receiveInto() || waitForReplacement(request, attempt, connection, progress, trace, reply));
    const bool isAnswered = received && !std::holds_alternative<AttemptFailure>(*received);
    if (progress.replacement && isAnswered) {
        progress.replacement.reset(); // both in the same moment
    } else if (progress.replacement) {
        received = makeFailure(ReceiveError::Timeout, attempt, connection);
    }
    co_return received ? std::move(*received) : makeFailure(ReceiveError::ConnectionClosed, attempt, connection);
}

net::awaitable<Dispatcher::AttemptResult> Dispatcher::receiveWhileSending(const DispatchRequest &request,
                                                                          const Attempt &attempt,
                                                                          TargetConnection &connection,
                                                                          OutgoingRequest &outgoing,
                                                                          Progress &progress,
                                                                          ReplyWriter &reply)
{
    if (connection.hasSentAll()) {
        co_return co_await receive(request, attempt, connection, progress, reply);
    }
    // Assigned through a reference, since operator|| would flatten the nested variants.
    std::optional<AttemptResult> received;
    const auto receiveInto = [&]() -> net::awaitable<void> { received = co_await receive(request, attempt, connection, progress, reply); };
    co_await (receiveInto() || connection.sendRemaining(outgoing.serializer, request.deadline));
    co_return received ? std::move(*received) : makeFailure(ReceiveError::ConnectionClosed, attempt, connection);
}

// Releases the slot and the connection of an attempt that has an answer.
void Dispatcher::finishAttempt(const DispatchRequest &request,
                               const Attempt &attempt,
                               TargetConnection &connection,
                               TimePoint sentAt,
                               const AttemptResult &result,
                               bool isCancelled)
{
    if (std::holds_alternative<AttemptFailure>(result)) {
        return;
    }
    const Duration latency = m_dependencies.clock.now() - sentAt;
    const bool isServerError = connection.header().result_int() >= firstServerErrorStatus;
    m_dependencies.metrics.recordTiming(Timing::Target, latency);
    AttemptEnd end = isServerError || !connection.isComplete() ? AttemptEnd::Failed : AttemptEnd::Answered;
    const auto *streamed = std::get_if<StreamedResponse>(&result);
    if (!isServerError && !connection.isComplete() && (isCancelled || (streamed != nullptr && streamed->hasCallerLeft))) {
        end = AttemptEnd::Abandoned; // the target wasn't the one that stopped
    }
    if (attempt.isFirst && end == AttemptEnd::Answered && streamed == nullptr) { // the time of a streamed answer is the caller's
        m_targets.noteHedgeLatency(request.resolved.serviceName, request.resolved.routeName, latency);
    }
    returnToPool(request, attempt, connection, end, latency);
    attempt.reservation.finish(end, latency);
}

// Runs the first attempt and, once it is slower than almost all of its route, another one at a second target. Ends with the first whole
// answer, which is also the only one that is passed on; whoever destroys or closes the other connection cancels that attempt. An attempt
// that fails leaves the other one running.
net::awaitable<Dispatcher::AttemptResult> Dispatcher::raceHedge(const DispatchRequest &request,
                                                                const Attempt &attempt,
                                                                TargetConnection &connection,
                                                                OutgoingRequest &outgoing,
                                                                Duration hedgeDelay,
                                                                Progress &progress,
                                                                DispatchTrace &trace,
                                                                ReplyWriter &reply)
{
    const auto executor = co_await net::this_coro::executor;
    const auto isCancelled = [](const net::cancellation_state &it) { return it.cancelled() != net::cancellation_type::none; };
    const auto isAnswer = [](const AttemptResult &result) {
        const auto *response = std::get_if<BufferedResponse>(&result);
        return std::holds_alternative<StreamedResponse>(result)
            || (response != nullptr && response->header.result_int() < firstServerErrorStatus);
    };
    HedgeRace race;
    race.first = &connection;
    Attempt first = attempt;
    first.race = &race;
    const auto waitUntilCancelled = [&executor]() -> net::awaitable<void> {
        net::steady_timer timer(executor, net::steady_timer::time_point::max());
        co_await timer.async_wait(asTuple);
    };
    const auto runFirst = [&]() -> net::awaitable<void> {
        AttemptResult result = co_await awaitFirst(request, first, connection, outgoing, progress, trace, reply);
        if (isCancelled(co_await net::this_coro::cancellation_state)) {
            co_return;
        }
        if (!race.isLost(false) && (isAnswer(result) || !race.isContested())) {
            race.winner = false;
            race.firstResult = std::move(result);
            co_return;
        }
        if (!race.isLost(false)) {
            race.hasFirstFailed = true;
            settleFailure(request, first, connection, outgoing.sentAt, std::move(result), progress);
        }
        co_await waitUntilCancelled();
    };
    const auto runHedge = [&]() -> net::awaitable<void> {
        net::steady_timer timer(executor);
        timer.expires_after(outgoing.sentAt + hedgeDelay - m_dependencies.clock.now());
        if (const auto [ec] = co_await timer.async_wait(asTuple); ec) {
            co_return;
        }
        m_targets.noteHedgeDue(request.resolved.serviceName);
        race.phase = HedgeRace::Phase::Connecting;
        const std::optional<HedgeHoldback> heldBack = co_await sendHedge(request, first, race, progress, reply);
        if (isCancelled(co_await net::this_coro::cancellation_state)) {
            co_return;
        }
        if (heldBack) {
            race.phase = HedgeRace::Phase::Idle;
            m_dependencies.metrics.countHedgeHeldBack(*heldBack);
            co_await waitUntilCancelled();
            co_return;
        }
        const Attempt hedge{.id = race.hedge->id,
                            .reservation = *race.hedge->reservation,
                            .startedAt = race.hedge->startedAt,
                            .patienceEndsAt = request.deadline,
                            .isHedge = true,
                            .race = &race};
        TargetConnection &hedgeConnection = *race.hedge->connection;
        OutgoingRequest &hedgeOutgoing = *race.hedge->outgoing;
        AttemptResult result = co_await receiveWhileSending(request, hedge, hedgeConnection, hedgeOutgoing, progress, reply);
        if (isCancelled(co_await net::this_coro::cancellation_state)) {
            co_return;
        }
        if (!race.isLost(true) && (isAnswer(result) || race.hasFirstFailed)) {
            race.winner = true;
            race.hedgeResult = std::move(result);
            co_return;
        }
        if (!race.isLost(true)) {
            race.phase = HedgeRace::Phase::Idle;
            settleFailure(request, hedge, hedgeConnection, hedgeOutgoing.sentAt, std::move(result), progress);
            noteHedgeEnd(request, first, *race.hedge, "failed");
        }
        co_await waitUntilCancelled();
    };
    try {
        co_await (runFirst() || runHedge());
    } catch (...) {
        if (race.phase == HedgeRace::Phase::Running) {
            noteHedgeEnd(request, first, *race.hedge, "aborted");
        }
        throw;
    }
    const bool isStopped = isCancelled(co_await net::this_coro::cancellation_state);
    co_return settleRace(request, first, connection, outgoing.sentAt, isStopped, progress);
}

// Result of the attempt that has decided the race; the request goes on as if there had been only this one.
Dispatcher::AttemptResult Dispatcher::settleRace(const DispatchRequest &request,
                                                 const Attempt &first,
                                                 TargetConnection &connection,
                                                 TimePoint sentAt,
                                                 bool isCancelled,
                                                 Progress &progress)
{
    HedgeRace &race = *first.race;
    const bool isRunning = race.phase == HedgeRace::Phase::Running;
    AttemptResult result = makeFailure(ReceiveError::ConnectionClosed, first, connection);
    if (race.hedgeResult) {
        const bool isAnswered = !std::holds_alternative<AttemptFailure>(*race.hedgeResult);
        if (isAnswered && !race.hasFirstFailed) {
            const Duration elapsed = m_dependencies.clock.now() - sentAt;
            m_targets.noteHedgeLatency(request.resolved.serviceName, request.resolved.routeName, elapsed);
        }
        connection.close();
        result = std::move(*race.hedgeResult);
        progress.id = race.hedge->id;
        progress.reservation = std::move(*race.hedge->reservation);
        race.hedge->reservation.reset(); // that of the first attempt, which is abandoned unless it has failed
        const Attempt hedge{.id = progress.id,
                            .reservation = progress.reservation,
                            .startedAt = race.hedge->startedAt,
                            .patienceEndsAt = request.deadline,
                            .isHedge = true};
        finishAttempt(request, hedge, *race.hedge->connection, race.hedge->outgoing->sentAt, result, isCancelled);
        noteHedgeEnd(request, first, *race.hedge, isAnswered ? "won" : "failed");
    } else {
        if (isRunning) {
            race.hedge->connection->close();
            noteHedgeEnd(request, first, *race.hedge, race.firstResult ? "cancelled" : "aborted");
        }
        if (race.firstResult) {
            result = std::move(*race.firstResult);
            finishAttempt(request, first, connection, sentAt, result, isCancelled);
        }
    }
    const auto *failure = std::get_if<AttemptFailure>(&result);
    if (failure != nullptr && race.errorResponse && !mayRetryAnswer(request, race.errorResponse->header, progress)) {
        logFailure(request, progress.id, progress, *failure, m_dependencies.clock.now() - sentAt);
        recordFailure(*failure, progress);
        return std::move(*race.errorResponse);
    }
    return result;
}

// Records the failure of one of two attempts that were both running. The other one goes on.
void Dispatcher::settleFailure(const DispatchRequest &request,
                               const Attempt &attempt,
                               TargetConnection &connection,
                               TimePoint sentAt,
                               AttemptResult result,
                               Progress &progress)
{
    AttemptFailure failure{.reason = RetryReason::ServerError, .mayHaveRun = true};
    if (auto *response = std::get_if<BufferedResponse>(&result)) {
        finishAttempt(request, attempt, connection, sentAt, result, false);
        attempt.race->errorResponse = std::move(*response);
    } else if (const auto *other = std::get_if<AttemptFailure>(&result)) {
        failure = *other;
    }
    logFailure(request, attempt.id, progress, failure, m_dependencies.clock.now() - attempt.startedAt);
    connection.close();
    if (!attempt.isHedge) {
        recordFailure(failure, progress);
        return;
    }
    attempt.reservation.finish(failure.end);
    progress.tried.push_back(attempt.id.target);
    if (failure.mayHaveRun) {
        progress.ranAt.push_back(attempt.id.target);
    }
    if (failure.mayHaveRun || !progress.mayHaveRun) {
        progress.reason = failure.reason;
        progress.mayHaveRun = failure.mayHaveRun;
    }
    ++progress.plan.attempt;
}

// An answer that is passed on as it arrives can't be taken back, so its first part decides the race. False: the other attempt has.
bool Dispatcher::claimRace(const Attempt &attempt)
{
    HedgeRace *race = attempt.race;
    if (race == nullptr) {
        return true;
    }
    if (race->isLost(attempt.isHedge)) {
        return false;
    }
    race->winner = attempt.isHedge;
    TargetConnection *other = attempt.isHedge ? race->first : race->hedge ? race->hedge->connection.get() : nullptr;
    if (other != nullptr) {
        other->close();
    }
    return true;
}

// Sends the request to a second target. All that may forbid it is checked, and charged, in one step after the connection is open.
net::awaitable<std::optional<HedgeHoldback>>
Dispatcher::sendHedge(const DispatchRequest &request, const Attempt &first, HedgeRace &race, Progress &progress, const ReplyWriter &reply)
{
    const auto findObstacle = [&]() -> std::optional<HedgeHoldback> {
        if (m_stop.load()) {
            return HedgeHoldback::Stopping;
        }
        if (race.winner || reply.hasStarted() || race.first->receivedBytes() != 0) {
            return HedgeHoldback::Answering;
        }
        return progress.plan.attempt >= progress.plan.maxAttempts ? std::optional(HedgeHoldback::Attempts) : std::nullopt;
    };
    if (const std::optional<HedgeHoldback> obstacle = findObstacle()) {
        co_return obstacle;
    }
    std::optional<ResolvedRequest> resolved = resolveReplacement(request);
    if (!resolved || resolved->serviceName != first.id.service) {
        co_return HedgeHoldback::Withdrawn;
    }
    Replacement hedge{.id = first.id, .startedAt = m_dependencies.clock.now()};
    hedge.resolved = std::move(*resolved);
    AcquireRequest acquireRequest{.service = hedge.resolved.serviceName,
                                  .route = hedge.resolved.routeName,
                                  .tried = progress.tried,
                                  .limit = connectionLimit(*hedge.resolved.service)};
    acquireRequest.tried.push_back(first.id.target);
    TargetReservation reservation;
    const tl::expected<Target, HedgeHoldback> target = m_targets.acquireForHedge(acquireRequest, reservation);
    if (!target) {
        co_return target.error();
    }
    hedge.id = {hedge.resolved.serviceName, target->name, target->address, target->incarnation};
    hedge.reservation = std::move(reservation);
    hedge.connection = std::make_unique<TargetConnection>(co_await net::this_coro::executor, connectionOptions());
    closeExcess(hedge.resolved, hedge.id);
    const TimePoint connectUntil
        = hedge.startedAt + std::min<Duration>(milliseconds(m_options.dispatch.connectTimeoutMs), request.deadline - hedge.startedAt);
    const SystemError ec = co_await hedge.connection->connect(hedge.id.address, connectUntil);
    if ((co_await net::this_coro::cancellation_state).cancelled() != net::cancellation_type::none) {
        co_return HedgeHoldback::Answering;
    }
    m_targets.noteConnect(hedge.id, !ec);
    if (ec) {
        hedge.reservation->finish(AttemptEnd::Unreachable);
        progress.tried.push_back(hedge.id.target);
        co_return HedgeHoldback::Unreachable;
    }
    m_dependencies.metrics.count(Counter::ConnectionsOpened);
    // From here on nothing is awaited until the first bytes are written.
    if (const std::optional<HedgeHoldback> obstacle = findObstacle()) {
        co_return obstacle;
    }
    if (!mayBeSent(request, hedge, first, progress) || !m_targets.admit(hedge.id)) {
        co_return HedgeHoldback::Withdrawn;
    }
    if (const std::optional<HedgeHoldback> heldBack = m_targets.takeHedge(hedge.id.service)) {
        m_targets.returnToken(hedge.id);
        co_return heldBack;
    }
    hedge.outgoing = std::make_unique<OutgoingRequest>(request, hedge.id.target, m_options.wire, m_dependencies.clock.now());
    race.hedge = std::move(hedge);
    race.phase = HedgeRace::Phase::Running;
    ++progress.sendCount;
    m_dependencies.metrics.count(Counter::Dispatches);
    m_dependencies.metrics.count(Counter::HedgesSent);
    co_await race.hedge->connection->beginSend(race.hedge->outgoing->serializer, request.deadline);
    co_return std::nullopt;
}

void Dispatcher::noteHedgeEnd(const DispatchRequest &request,
                              const Attempt &first,
                              const Replacement &hedge,
                              std::string_view outcome) const
{
    const TimePoint now = m_dependencies.clock.now();
    if (outcome == "won") {
        m_dependencies.metrics.count(Counter::HedgesWon);
    } else if (outcome != "failed") {
        m_dependencies.metrics.count(Counter::HedgesCancelled);
    }
    logRequestEvent(Event::HedgeSent,
                    {{"request_id", request.requestId},
                     {"service", first.id.service.value},
                     {"target", first.id.target.value},
                     {"after_ms", std::to_string(std::chrono::duration_cast<milliseconds>(hedge.startedAt - first.startedAt).count())},
                     {"next_target", hedge.id.target.value},
                     {"took_ms", std::to_string(std::chrono::duration_cast<milliseconds>(now - hedge.startedAt).count())},
                     {"outcome", std::string(outcome)}});
}

// Returns once the attempt has been too slow and another one was sent, which is then the replacement. Until then the target may still
// answer: giving up the attempt for one that can be refused would fail a request that is being served.
net::awaitable<void> Dispatcher::waitForReplacement(const DispatchRequest &request,
                                                    const Attempt &attempt,
                                                    const TargetConnection &connection,
                                                    Progress &progress,
                                                    const DispatchTrace &trace,
                                                    const ReplyWriter &reply)
{
    if (!co_await waitUntilOverdue(attempt, connection)) {
        co_return; // the attempt has ended
    }
    net::steady_timer hedgeTimer(co_await net::this_coro::executor);
    while (attempt.race != nullptr && attempt.race->phase != HedgeRace::Phase::Idle) { // the second attempt is under way already
        hedgeTimer.expires_after(hedgePollInterval);
        if (const auto [ec] = co_await hedgeTimer.async_wait(asTuple); ec) {
            co_return;
        }
    }
    const std::uint64_t receivedBytes = connection.receivedBytes();
    const bool isSilent = attempt.isPooled && receivedBytes == 0;
    if (isSilent) {
        m_pool.discardOlderThan(attempt.id, attempt.startedAt); // so that no other request takes a dead connection meanwhile
    }
    const bool isLast = progress.plan.attempt >= progress.plan.maxAttempts;
    const auto isWanted
        = [&] { return !reply.hasStarted() && connection.receivedBytes() == receivedBytes && !isStopTooClose(request, trace); };
    if ((!isLast || isSilent) && progress.plan.isIdempotent) {
        std::optional<Replacement> replacement = co_await sendReplacement(request, attempt, isLast, progress, isWanted);
        // The silence of a pooled connection is no proof that it is dead. The target may be at work, so the attempt goes on until the new
        // connection to the same target has an answer.
        if (replacement && isLast && !co_await replacement->connection->waitForBytes(request.deadline)) {
            replacement.reset();
        }
        if ((co_await net::this_coro::cancellation_state).cancelled() != net::cancellation_type::none) {
            co_return;
        }
        if (replacement) {
            progress.replacement = std::move(replacement);
            co_return;
        }
    }
    net::steady_timer timer(co_await net::this_coro::executor, net::steady_timer::time_point::max());
    co_await timer.async_wait(asTuple);
}

// Returns at the end of the patience with the attempt, or later if bytes of a response arrive then. False: cancelled, since it has ended.
net::awaitable<bool> Dispatcher::waitUntilOverdue(const Attempt &attempt, const TargetConnection &connection) const
{
    constexpr int stepsOfPatience = 4; // a response that didn't get on during the last one has stalled
    const Duration step = (attempt.patienceEndsAt - attempt.startedAt) / stepsOfPatience;
    net::steady_timer timer(co_await net::this_coro::executor);
    timer.expires_after(attempt.patienceEndsAt - step - m_dependencies.clock.now());
    for (std::optional<std::uint64_t> receivedBytes;;) {
        if (const auto [ec] = co_await timer.async_wait(asTuple); ec) {
            co_return false;
        }
        if (receivedBytes == connection.receivedBytes()) {
            co_return true;
        }
        receivedBytes = connection.receivedBytes();
        timer.expires_after(step);
    }
}

// The request by the configuration in force, if it may be sent again. A key or route that was withdrawn since ends no attempt that runs,
// but permits no other one.
std::optional<ResolvedRequest> Dispatcher::resolveReplacement(const DispatchRequest &request) const
{
    auto resolved = resolveRequest(m_configuration.load(), request.message, request.requestId, m_options.wire);
    const bool isAllowed = resolved && resolved->isIdempotent && resolved->caller.accountName == request.resolved.caller.accountName;
    return isAllowed ? std::optional(std::move(*resolved)) : std::nullopt;
}

bool Dispatcher::mayBeSent(const DispatchRequest &request, Replacement &replacement, const Attempt &running, const Progress &progress) const
{
    if (replacement.resolved.caller.snapshot != m_configuration.load()) {
        std::optional<ResolvedRequest> resolved = resolveReplacement(request);
        if (!resolved || resolved->serviceName != replacement.id.service) {
            return false;
        }
        replacement.resolved = std::move(*resolved);
    }
    std::set<TargetName> ranAt(progress.ranAt.begin(), progress.ranAt.end());
    ranAt.insert(running.id.target);
    ranAt.insert(replacement.id.target);
    const std::size_t maxAttempts = std::min(progress.plan.maxAttempts, replacement.resolved.route->maxAttempts);
    return ranAt.size() <= maxAttempts && isUsable(*replacement.resolved.service, replacement.id);
}

// Sends the request once more while the attempt runs. All that may forbid it is checked, and reserved, in one step after the connection is
// open; `isWanted` is asked in that step.
net::awaitable<std::optional<Dispatcher::Replacement>> Dispatcher::sendReplacement(
    const DispatchRequest &request, const Attempt &attempt, bool isAtSameTarget, Progress &progress, const std::function<bool()> &isWanted)
{
    const auto isCancelled = [](const net::cancellation_state &it) { return it.cancelled() != net::cancellation_type::none; };
    std::vector<TargetName> tried = progress.tried;
    tried.push_back(attempt.id.target);
    for (std::uint32_t i = 0; i < maxConnectFailures && isWanted(); ++i) {
        Replacement replacement{.id = attempt.id, .startedAt = m_dependencies.clock.now()};
        std::optional<ResolvedRequest> resolved = resolveReplacement(request);
        if (!resolved) {
            logReplacement(request, attempt, attempt.id.target, "not allowed by the configuration");
            co_return std::nullopt;
        }
        replacement.resolved = std::move(*resolved);
        if (!isAtSameTarget) {
            // Only a free slot: at a full target, which may be this one, another attempt would wait behind the work that it replaces.
            TargetReservation reservation;
            std::optional<std::size_t> waitingAhead;
            const auto target = co_await acquireSlot(request, replacement.resolved, progress, tried, false, reservation, waitingAhead);
            const bool isOther = target && (target->name != attempt.id.target || replacement.resolved.service->targets.size() == 1);
            if (!isOther || isCancelled(co_await net::this_coro::cancellation_state)) {
                co_return std::nullopt;
            }
            replacement.id = {replacement.resolved.serviceName, target->name, target->address, target->incarnation};
            replacement.reservation = std::move(reservation);
        }
        replacement.connection = std::make_unique<TargetConnection>(co_await net::this_coro::executor, connectionOptions());
        closeExcess(replacement.resolved, replacement.id);
        const TimePoint connectUntil = replacement.startedAt
            + std::min<Duration>(milliseconds(m_options.dispatch.connectTimeoutMs), request.deadline - replacement.startedAt);
        const SystemError ec = co_await replacement.connection->connect(replacement.id.address, connectUntil);
        if (isCancelled(co_await net::this_coro::cancellation_state)) {
            co_return std::nullopt;
        }
        m_targets.noteConnect(replacement.id, !ec);
        if (ec) {
            logReplacement(request, attempt, replacement.id.target, "unreachable");
            if (!replacement.reservation) {
                co_return std::nullopt;
            }
            replacement.reservation->finish(AttemptEnd::Unreachable);
            tried.push_back(replacement.id.target);
            continue;
        }
        m_dependencies.metrics.count(Counter::ConnectionsOpened);
        // From here on nothing is awaited until the first bytes are written.
        if (!isWanted() || !mayBeSent(request, replacement, attempt, progress)
            || !reserveRetry(replacement.id.service, request.deadline, progress)) {
            logReplacement(request, attempt, replacement.id.target, "not allowed any more");
            co_return std::nullopt;
        }
        if (!m_targets.admit(replacement.id)) {
            m_dependencies.metrics.count(Counter::DispatchesWithheld);
            logReplacement(request, attempt, replacement.id.target, "withheld");
            co_return std::nullopt;
        }
        replacement.outgoing
            = std::make_unique<OutgoingRequest>(request, replacement.id.target, m_options.wire, m_dependencies.clock.now());
        if (co_await replacement.connection->beginSend(replacement.outgoing->serializer, request.deadline) == 0) {
            m_targets.returnToken(replacement.id);
            co_return std::nullopt;
        }
        progress.hasReservedRetry = false;
        ++progress.sendCount;
        m_dependencies.metrics.count(Counter::Dispatches);
        logReplacement(request, attempt, replacement.id.target, "sent");
        co_return replacement;
    }
    co_return std::nullopt;
}

void Dispatcher::logReplacement(const DispatchRequest &request,
                                const Attempt &attempt,
                                const TargetName &target,
                                std::string_view outcome) const
{
    const Duration elapsed = m_dependencies.clock.now() - attempt.startedAt;
    logRequestEvent(Event::AttemptOverdue,
                    {{"request_id", request.requestId},
                     {"service", attempt.id.service.value},
                     {"target", attempt.id.target.value},
                     {"pooled", attempt.isPooled ? "yes" : "no"},
                     {"after_ms", std::to_string(std::chrono::duration_cast<milliseconds>(elapsed).count())},
                     {"next_target", target.value},
                     {"outcome", std::string(outcome)}});
}

net::awaitable<Dispatcher::AttemptResult> Dispatcher::receive(
    const DispatchRequest &request, const Attempt &attempt, TargetConnection &connection, Progress &progress, ReplyWriter &reply)
{
    const bool isHead = request.message.method() == http::verb::head;
    const auto visit = [&](const http::response_header<> &header) { noteAnnouncement(request, attempt, header); };
    const std::optional<ReceiveError> receiveError = co_await connection.receiveHeader(isHead, request.deadline, visit);
    if (receiveError) {
        co_return makeFailure(*receiveError, attempt, connection);
    }
    if (std::optional<AttemptFailure> failure = checkResponse(request, attempt, connection, progress)) {
        co_return *failure;
    }
    co_return co_await receiveBody(request, attempt, connection, reply);
}

void Dispatcher::noteAnnouncement(const DispatchRequest &request, const Attempt &attempt, const http::response_header<> &header)
{
    TargetAnnouncement announcement = readAnnouncement(header, m_options.wire);
    if (header.result_int() == misdirectedStatus || hasForeignRequestId(header, request.requestId, m_options.wire)) {
        announcement.limit.reset(); // of another target, or an earlier answer
        announcement.warmup = Duration(0);
    }
    if (announcement != TargetAnnouncement()) {
        m_targets.announce(attempt.id, announcement, request.requestId);
    }
    if (announcement.isLeaving) {
        m_pool.discardAll(attempt.id);
    }
    const bool isFinal = header.result_int() >= firstFinalStatus && header.result_int() != misdirectedStatus;
    if (!announcement.limit && isFinal && !hasForeignRequestId(header, request.requestId, m_options.wire)) {
        m_targets.noteUnlimited(attempt.id, attempt.startedAt, request.requestId);
    }
}

Dispatcher::AttemptFailure Dispatcher::makeFailure(ReceiveError receiveError, const Attempt &attempt, const TargetConnection &connection)
{
    const bool isPooledAndUnanswered = attempt.isPooled && !connection.hasReceivedBytes();
    if (isPooledAndUnanswered && receiveError == ReceiveError::Timeout) {
        const std::size_t n = m_pool.discardOlderThan(attempt.id, attempt.startedAt);
        logEvent(Event::SilentConnectionsClosed, {{"target", attempt.id.target.value}, {"closed", std::to_string(n + 1)}});
    }
    if (isPooledAndUnanswered && (receiveError == ReceiveError::Timeout || receiveError == ReceiveError::ConnectionClosed)) {
        const AttemptEnd end = receiveError == ReceiveError::Timeout ? AttemptEnd::Silent : AttemptEnd::Failed;
        return AttemptFailure{.reason = RetryReason::StaleConnection, .mayHaveRun = true, .isTargetFault = false, .end = end};
    }
    const bool isTimeout = receiveError == ReceiveError::Timeout;
    return AttemptFailure{.reason = isTimeout ? RetryReason::AttemptTimeout : RetryReason::AnswerIncomplete,
                          .mayHaveRun = true,
                          .end = isTimeout ? AttemptEnd::Silent : AttemptEnd::Failed};
}

std::optional<Dispatcher::AttemptFailure>
Dispatcher::checkResponse(const DispatchRequest &request, const Attempt &attempt, const TargetConnection &connection, Progress &progress)
{
    const http::response_header<> &header = connection.header();
    const bool isEchoed = header.count(toBeast(m_options.wire.requestIdHeader)) != 0;
    const bool isUnconfirmed = !isEchoed && attempt.isPooled && request.resolved.service->connectionReuse == ConnectionReuse::Echoed;
    if (isUnconfirmed || hasForeignRequestId(header, request.requestId, m_options.wire)) {
        logEvent(Event::AnswerDiscarded, {{"target", attempt.id.target.value}, {"request_id", request.requestId}}, LogLevel::Warning);
        return AttemptFailure{.reason = RetryReason::AnswerMismatched, .mayHaveRun = true, .isTargetFault = !attempt.isPooled};
    }
    if (isNotRunResponse(*request.resolved.service, header)) {
        // On a reused connection, a response without the request id may belong to another request.
        const bool isMisdirected = header.result_int() == misdirectedStatus;
        return AttemptFailure{.reason = RetryReason::NotRunAnswer,
                              .mayHaveRun = attempt.isPooled && !isEchoed,
                              .end = isMisdirected ? AttemptEnd::Misdirected : AttemptEnd::Declined};
    }
    if (lacksRequiredHeader(header, m_options.wire)) {
        logEvent(Event::AnswerDiscarded,
                 {{"target", attempt.id.target.value}, {"why", "required response header is missing"}},
                 LogLevel::Warning);
        return AttemptFailure{.reason = RetryReason::AnswerMismatched, .mayHaveRun = true};
    }
    const bool isServerError = header.result_int() >= firstServerErrorStatus;
    if (isServerError && attempt.race != nullptr && attempt.race->isContested()) {
        return std::nullopt; // kept for the case that the other attempt has no answer
    }
    if (mayRetryAnswer(request, header, progress)) {
        return AttemptFailure{.reason = RetryReason::ServerError, .mayHaveRun = true};
    }
    return std::nullopt;
}

// Whether the request is sent again because of the status of its answer; the retry is then charged.
bool Dispatcher::mayRetryAnswer(const DispatchRequest &request, const http::response_header<> &header, Progress &progress)
{
    const bool isLast = progress.plan.attempt >= progress.plan.maxAttempts;
    return request.resolved.isIdempotent && !isLast && isRetriedStatus(header.result_int(), m_options.wire)
        && m_targets.hasOpenTarget(request.resolved.serviceName) && reserveRetry(request.resolved.serviceName, request.deadline, progress);
}

net::awaitable<Dispatcher::AttemptResult>
Dispatcher::receiveBody(const DispatchRequest &request, const Attempt &attempt, TargetConnection &connection, ReplyWriter &reply)
{
    const std::uint64_t maxBufferedBytes = m_options.dispatch.wholeAnswerBytes;
    const std::optional<std::uint64_t> length = connection.contentLength();
    BodyLease lease(m_bodyMemory, request.resolved.caller.accountName);
    http::response_header<> header = connection.header(); // the parser adds the fields of a trailer to its own
    std::string body;
    // A response that doesn't fit is passed on as it arrives.
    bool hasRoom = !length || (*length <= maxBufferedBytes && lease.coverUpTo(*length));
    while (!connection.isComplete() && hasRoom && body.size() < maxBufferedBytes) {
        const std::size_t limit = std::min<std::uint64_t>(m_options.dispatch.streamPartBytes, maxBufferedBytes - body.size());
        const std::optional<ReceiveError> receiveError = co_await connection.receivePart(body, limit, request.deadline);
        if (receiveError) {
            co_return makeFailure(*receiveError, attempt, connection);
        }
        hasRoom = lease.coverUpTo(body.size());
    }
    const bool isServerError = connection.header().result_int() >= firstServerErrorStatus;
    const bool isContested = attempt.race != nullptr && attempt.race->isContested();
    if (!connection.isComplete() && ((isServerError && isContested) || !claimRace(attempt))) {
        co_return AttemptFailure{.reason = RetryReason::ServerError, .mayHaveRun = true};
    }
    if (!connection.isComplete()) {
        co_return co_await streamBody(request, connection, std::move(body), reply);
    }
    co_return BufferedResponse{.header = std::move(header), .body = std::move(body), .lease = std::move(lease)};
}

net::awaitable<Dispatcher::AttemptResult>
Dispatcher::streamBody(const DispatchRequest &request, TargetConnection &connection, std::string part, ReplyWriter &reply)
{
    const std::optional<std::uint64_t> length = connection.contentLength();
    if (!reply.canStream(length.has_value())) {
        co_return AttemptFailure{.reason = RetryReason::AnswerIncomplete, .mayHaveRun = true};
    }
    bool isSent = co_await reply.beginStream(connection.header(), length);
    bool isReceived = true;
    while (isSent && isReceived) {
        isSent = co_await reply.sendPart(part);
        if (connection.isComplete()) {
            break;
        }
        part.clear();
        const std::optional<ReceiveError> receiveError
            = co_await connection.receivePart(part, m_options.dispatch.streamPartBytes, request.deadline);
        isReceived = !receiveError;
    }
    const bool hasCallerLeft = !isSent;
    isSent = isSent && isReceived && co_await reply.endStream();
    if (!isSent) {
        reply.resetConnection();
    }
    m_dependencies.metrics.count(isSent ? Counter::AnswersWhole : Counter::AnswersCut);
    co_return StreamedResponse{.hasCallerLeft = hasCallerLeft};
}

Descriptor Dispatcher::takePooledConnection(const Attempt &attempt)
{
    return m_pool.take(attempt.id, attempt.startedAt, milliseconds(m_options.dispatch.pooledIdleMs));
}

// Closes idle connections to the target so that a new one doesn't exceed the limit. The in-flight count already includes
// this request.
void Dispatcher::closeExcess(const ResolvedRequest &resolved, const TargetId &id)
{
    const std::uint32_t limit = connectionLimit(*resolved.service);
    m_targets.withInFlightCount(id, [&](std::uint32_t inFlight) { m_pool.closeExcess(id, limit - std::min(inFlight, limit)); });
}

void Dispatcher::returnToPool(
    const DispatchRequest &request, const Attempt &attempt, TargetConnection &connection, AttemptEnd end, Duration latency)
{
    if (connection.hasExtraBytes()) {
        logEvent(Event::AnswerDiscarded,
                 {{"target", attempt.id.target.value}, {"why", "unexpected bytes after the response"}},
                 LogLevel::Warning);
    }
    const Service &service = *request.resolved.service;
    const bool isEchoed = connection.header().count(toBeast(m_options.wire.requestIdHeader)) != 0;
    const bool isAllowed
        = service.connectionReuse == ConnectionReuse::Always || (service.connectionReuse == ConnectionReuse::Echoed && isEchoed);
    if (!isAllowed || !connection.isReusable()) {
        return;
    }
    if (!m_targets.accepts(attempt.id)) {
        return;
    }
    const std::uint32_t limit = connectionLimit(service);
    // Must be atomic with releasing the reservation. Otherwise this connection would be counted as both in flight and idle, and
    // another idle connection would be closed.
    m_targets.releaseReservation(attempt.reservation, end, latency, [&](std::uint32_t otherRequests) {
        m_pool.put(attempt.id, connection.release(), m_dependencies.clock.now(), limit - std::min(otherRequests, limit));
    });
}

} // namespace Pollenspoke
