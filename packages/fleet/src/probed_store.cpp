#include "probed_store.h"

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>

namespace Pollenspoke {

namespace {

namespace net = boost::asio;
using namespace net::experimental::awaitable_operators;

constexpr auto asTuple = net::as_tuple(net::use_awaitable);
constexpr auto longestOverdueTime = std::chrono::milliseconds(2500); // after that the call times out by itself
constexpr auto answerFreshTime = std::chrono::seconds(1);            // a watch is begun without a probe for so long after an answer
constexpr auto confirmTime = std::chrono::milliseconds(600);         // without any answer, until the store counts as unreachable
constexpr auto holdMargin = std::chrono::milliseconds(2500);         // beyond the wait of a read that waits for an answer to a probe
constexpr std::size_t maxOpenProbes = 8;                             // as many as are sent before the first one times out
constexpr int maxReadAttempts = 3;                                   // of one read, as earlier ones were lost
constexpr std::uint32_t maxListDoublings = 2;                        // of listOverdueTime
constexpr double overdueFactor = 2;                                  // of the time that answers take
constexpr double answerTimeDecay = 0.8;                              // by each answer that took less

// An answer of any kind proves access.
bool isAnswer(const std::optional<Error> &error)
{
    return !error || (error->code != ErrorCode::Unavailable && error->code != ErrorCode::OutcomeUnknown);
}

template<typename Value>
std::optional<Error> errorOf(const Result<Value> &result)
{
    return result ? std::nullopt : std::optional(result.error());
}

} // namespace

ProbedStore::ProbedStore(net::io_context &context, DocumentStore &store, const Clock &clock, Metrics &metrics)
    : m_context(context)
    , m_store(store)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_probeTimer(context)
    , m_generator(std::random_device{}())
{
}

void ProbedStore::start(Handlers handlers)
{
    m_handlers = std::move(handlers);
    net::co_spawn(m_context, sendProbes(), net::detached);
}

void ProbedStore::probe()
{
    if (!m_probeKind.empty() && m_openProbes < maxOpenProbes) {
        net::co_spawn(m_context, sendProbe(), net::detached);
    }
}

//-----------------------------------------------------------------------------
// Calls
//-----------------------------------------------------------------------------

Duration ProbedStore::overdueTime(CallType type) const
{
    const auto usual = std::chrono::duration_cast<Duration>(m_answerTime * overdueFactor);
    const Duration time = std::clamp<Duration>(usual, shortestOverdueTime, longestOverdueTime);
    return type == CallType::List ? std::max(time, listOverdueTime * (1U << m_lostLists)) : time;
}

template<typename Value>
net::awaitable<std::optional<Result<Value>>> ProbedStore::run(Call<Value> &call, CallType type, Duration wait)
{
    m_metrics.count(Counter::StoreCalls);
    const TimePoint startedAt = m_clock.now();
    auto open = std::make_shared<OpenCall>(OpenCall{
        .timer = net::steady_timer(m_context), .type = type, .startedAt = startedAt, .dueAt = startedAt + wait + overdueTime(type)});
    std::erase_if(m_openCalls, [](const auto &it) { return it.expired(); });
    m_openCalls.push_back(open);
    net::awaitable<void> loss = waitForLoss(*open);
    std::variant<Result<Value>, std::monostate> first = co_await (std::move(call) || std::move(loss));
    const net::cancellation_state state = co_await net::this_coro::cancellation_state;
    if (state.cancelled() != net::cancellation_type::none) {
        co_return Result<Value>(tl::unexpected(Error{.code = ErrorCode::Unavailable, .detail = "cancelled"}));
    }
    const Duration elapsed = m_clock.now() - startedAt;
    if (first.index() == 1) {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count();
        m_metrics.count(Counter::StoreCallsLost);
        logEvent(Event::StoreCallFailed,
                 {{"after_ms", std::to_string(ms)}, {"error", "lost: the store answers, but not this call"}},
                 LogLevel::Warning);
        co_return std::nullopt;
    }
    Result<Value> result = std::move(std::get<0>(first));
    if (isAnswer(errorOf(result))) {
        noteAnswer(startedAt, elapsed >= wait ? std::optional(elapsed - wait) : std::nullopt);
    } else {
        noteFailure();
    }
    co_return result;
}

// Returns when the call is lost.
net::awaitable<void> ProbedStore::waitForLoss(OpenCall &call)
{
    for (;;) {
        call.timer.expires_at(call.isOverdue ? TimePoint::max() : call.dueAt);
        const auto [ec] = co_await call.timer.async_wait(asTuple);
        const net::cancellation_state state = co_await net::this_coro::cancellation_state;
        if (call.isLost || state.cancelled() != net::cancellation_type::none) {
            co_return;
        }
        if (!ec && !call.isOverdue) {
            noteOverdue(call);
        }
    }
}

DocumentStore::Call<DocumentList> ProbedStore::list(std::string kind, ReadConsistency consistency)
{
    noteKnown(kind, {});
    for (int attempt = 0; attempt < maxReadAttempts; ++attempt) {
        const bool isAnswering = co_await waitForAnswer(Duration::max(), holdMargin);
        if (!isAnswering) {
            break;
        }
        Call<DocumentList> call = m_store.list(kind, consistency);
        std::optional<Result<DocumentList>> result = co_await run(call, CallType::List, Duration(0));
        if (result) {
            m_lostLists = 0;
            if (*result) {
                noteKnown(kind, (*result)->position);
            }
            co_return std::move(*result);
        }
        m_lostLists = std::min(m_lostLists + 1, maxListDoublings);
    }
    co_return tl::unexpected(Error{.code = ErrorCode::Unavailable, .path = kind, .detail = "the store doesn't answer"});
}

DocumentStore::Call<DocumentChanges> ProbedStore::watch(std::string kind, StorePosition since, Duration wait)
{
    noteKnown(kind, since);
    for (int attempt = 0; attempt < maxReadAttempts; ++attempt) {
        const bool isAnswering = co_await waitForAnswer(answerFreshTime, wait + holdMargin);
        if (!isAnswering) {
            break;
        }
        Call<DocumentChanges> call = m_store.watch(kind, since, wait);
        std::optional<Result<DocumentChanges>> result = co_await run(call, CallType::Watch, wait);
        if (result) {
            if (*result) {
                noteKnown(kind, (*result)->position);
            }
            co_return std::move(*result);
        }
    }
    co_return tl::unexpected(Error{.code = ErrorCode::Unavailable, .path = kind, .detail = "the store doesn't answer"});
}

template<typename Value>
DocumentStore::Call<Value> ProbedStore::runWrite(Call<Value> call)
{
    std::optional<Result<Value>> result = co_await run(call, CallType::Write, Duration(0));
    if (result) {
        co_return std::move(*result);
    }
    co_return tl::unexpected(Error{.code = ErrorCode::OutcomeUnknown, .detail = "the store answers, but not this call"});
}

DocumentStore::Call<StoredDocument> ProbedStore::create(std::string kind, std::string name, JsonValue spec)
{
    return runWrite(m_store.create(std::move(kind), std::move(name), std::move(spec)));
}

DocumentStore::Call<StoredDocument> ProbedStore::replace(std::string kind, std::string name, JsonValue spec, std::uint64_t revision)
{
    return runWrite(m_store.replace(std::move(kind), std::move(name), std::move(spec), revision));
}

DocumentStore::Call<void> ProbedStore::remove(std::string kind, std::string name, std::uint64_t revision)
{
    return runWrite(m_store.remove(std::move(kind), std::move(name), revision));
}

//-----------------------------------------------------------------------------
// Evidence
//-----------------------------------------------------------------------------

bool ProbedStore::isVerified(Duration freshTime) const
{
    const bool isDoubted = m_lastDoubtAt > m_lastAnswerAt;
    return !isDoubted && (freshTime == Duration::max() || m_clock.now() - m_lastAnswerAt <= freshTime);
}

// Returns false if the store didn't answer in time. A call that may wait goes ahead without a probe only if the last answer is fresh.
net::awaitable<bool> ProbedStore::waitForAnswer(Duration freshTime, Duration limit)
{
    const TimePoint deadline = m_clock.now() + limit;
    std::shared_ptr<HeldCall> held;
    while (!isVerified(freshTime) && m_clock.now() < deadline) {
        if (!held) {
            held = std::make_shared<HeldCall>(HeldCall{.timer = net::steady_timer(m_context)});
            std::erase_if(m_heldCalls, [](const auto &it) { return it.expired(); });
            m_heldCalls.push_back(held);
            m_probeTimer.cancel();
        }
        held->timer.expires_after(deadline - m_clock.now());
        co_await held->timer.async_wait(asTuple);
        const net::cancellation_state state = co_await net::this_coro::cancellation_state;
        if (state.cancelled() != net::cancellation_type::none) {
            co_return false;
        }
    }
    co_return isVerified(freshTime);
}

void ProbedStore::noteKnown(const std::string &kind, StorePosition position)
{
    m_probeKind = kind;
    m_newestPosition = std::max(m_newestPosition, position);
}

void ProbedStore::noteOverdue(OpenCall &call)
{
    call.isOverdue = true;
    noteFailure();
    m_probeTimer.cancel();
}

void ProbedStore::noteFailure()
{
    const TimePoint now = m_clock.now();
    m_doubtedSince = m_lastDoubtAt > m_lastAnswerAt ? m_doubtedSince : now;
    m_lastDoubtAt = now;
    m_probeTimer.cancel();
}

// An answer proves that the calls that were overdue when its own call was sent are lost.
void ProbedStore::noteAnswer(TimePoint sentAt, std::optional<Duration> answerTime)
{
    const TimePoint now = m_clock.now();
    m_lastAnswerAt = now;
    if (answerTime) {
        const auto decayed = std::chrono::duration_cast<Duration>(m_answerTime * answerTimeDecay);
        m_answerTime = std::max(*answerTime, decayed);
    }
    std::vector<std::shared_ptr<OpenCall>> open;
    for (const auto &it : m_openCalls) {
        if (std::shared_ptr<OpenCall> call = it.lock()) {
            open.push_back(std::move(call));
        }
    }
    const auto isProvedLost = [sentAt](const auto &it) { return it->isOverdue && it->dueAt <= sentAt; };
    const bool isWatchLost
        = std::any_of(open.begin(), open.end(), [&](const auto &it) { return isProvedLost(it) && it->type == CallType::Watch; });
    for (const auto &it : open) {
        if (isProvedLost(it) || (isWatchLost && it->type == CallType::Watch && it->startedAt < sentAt)) {
            it->isLost = true;
            it->timer.cancel();
        }
    }
    for (const auto &it : m_heldCalls) {
        if (const std::shared_ptr<HeldCall> held = it.lock()) {
            held->timer.cancel();
        }
    }
    m_probeTimer.cancel();
    noteAccess(true);
    if (m_handlers) {
        m_handlers->onAnswer();
    }
}

void ProbedStore::noteAccess(bool isReachable)
{
    if (m_isReachable != isReachable && m_handlers) {
        m_isReachable = isReachable;
        m_handlers->onAccessChanged(isReachable);
    }
}

//-----------------------------------------------------------------------------
// Probes
//-----------------------------------------------------------------------------

bool ProbedStore::hasWaitingCalls() const
{
    const bool isHeld = std::any_of(m_heldCalls.begin(), m_heldCalls.end(), [](const auto &it) { return !it.expired(); });
    return isHeld || std::any_of(m_openCalls.begin(), m_openCalls.end(), [](const auto &it) {
               const std::shared_ptr<OpenCall> call = it.lock();
               return call && call->isOverdue && !call->isLost;
           });
}

bool ProbedStore::needsProbe() const
{
    return !m_probeKind.empty() && (hasWaitingCalls() || (m_lastDoubtAt > m_lastAnswerAt && m_handlers->planProbes().isPersistent));
}

net::awaitable<void> ProbedStore::sendProbes()
{
    std::uniform_real_distribution<double> jitter(0.5, 1.0); // the Vms noticed the silence in the same moment
    TimePoint lastProbeAt;
    for (;;) {
        const TimePoint now = m_clock.now();
        if (!needsProbe()) {
            m_probeTimer.expires_at(TimePoint::max());
        } else {
            const auto interval = std::chrono::duration_cast<Duration>(m_handlers->planProbes().interval * jitter(m_generator));
            const bool isFirst = lastProbeAt < std::max(m_lastAnswerAt, m_doubtedSince);
            if ((isFirst || now - lastProbeAt >= interval) && m_openProbes < maxOpenProbes) {
                lastProbeAt = now;
                net::co_spawn(m_context, sendProbe(), net::detached);
            }
            m_probeTimer.expires_after(std::max<Duration>(lastProbeAt + interval - now, std::chrono::milliseconds(10)));
        }
        co_await m_probeTimer.async_wait(asTuple);
        if (m_lastDoubtAt > m_lastAnswerAt && m_clock.now() - m_doubtedSince >= confirmTime) {
            noteAccess(false);
        }
    }
}

net::awaitable<void> ProbedStore::sendProbe()
{
    m_metrics.count(Counter::StoreCalls);
    m_metrics.count(Counter::StoreProbes);
    const TimePoint sentAt = m_clock.now();
    ++m_openProbes;
    const Result<DocumentChanges> result = co_await m_store.watch(m_probeKind, m_newestPosition, Duration(0));
    --m_openProbes;
    if (isAnswer(errorOf(result))) {
        noteAnswer(sentAt, m_clock.now() - sentAt);
    } else if (m_lastAnswerAt < sentAt) {
        noteFailure();
    }
}

} // namespace Pollenspoke
