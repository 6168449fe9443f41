#include "codec.h"
#include "peer.grpc.pb.h"
#include "refusal_codes.h"

#include <condition_variable>
#include <grpcpp/grpcpp.h>
#include <list>
#include <mutex>
#include <set>
#include <thread>

namespace Pollenspoke {

namespace {

constexpr int reconnectMinMs = 100;
constexpr int reconnectMaxMs = 1000;
constexpr Duration reapPeriod = std::chrono::milliseconds(20);

// The slash distinguishes a target URI from the address of a connection: ClientContext::peer() returns the target URI if the
// call never had a connection.
constexpr std::string_view targetUriPrefix = "ipv4:/";

std::string targetUri(const Address &peer)
{
    return std::string(targetUriPrefix) + toString(peer);
}

bool isIpv4(const Address &peer)
{
    return peer.port != 0 && peer.ip.find(':') == std::string::npos && parseAddress(toString(peer)).has_value();
}

PeerFailure notSent(std::string detail)
{
    return {.kind = PeerFailureKind::NotSent, .detail = std::move(detail)};
}

PeerFailure answerLost(std::string detail)
{
    return {.kind = PeerFailureKind::AnswerLost, .detail = std::move(detail)};
}

PeerFailure toFailure(const grpc::Status &status, const grpc::ClientContext &context)
{
    if (const auto refusal = refusalFromStatusCode(status.error_code())) {
        return {.kind = PeerFailureKind::Refused, .refusal = *refusal, .detail = status.error_message()};
    }
    // For a call that ended locally, by deadline or cancellation, gRPC does not report whether it had a connection.
    const bool endedLocally = status.error_code() != grpc::StatusCode::UNAVAILABLE;
    const bool hadConnection = context.peer().compare(0, targetUriPrefix.size(), targetUriPrefix) != 0;
    return endedLocally || hadConnection ? answerLost(status.error_message()) : notSent(status.error_message());
}

std::shared_ptr<grpc::Channel> openChannel(const Address &peer, const PeerClientOptions &options)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, reconnectMinMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, reconnectMaxMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, reconnectMaxMs);
    arguments.SetMaxReceiveMessageSize(static_cast<int>(options.maxMessageBytes));
    arguments.SetMaxSendMessageSize(static_cast<int>(options.maxMessageBytes));
    return grpc::CreateCustomChannel(targetUri(peer), grpc::InsecureChannelCredentials(), arguments);
}

} // namespace

// Locking: one mutex, released before calling gRPC (except for TryCancel()) or a callback.
//
// gRPC joins its callback threads when the last channel is destroyed, and fails if that happens on one of these threads. So
// each channel is held by the cache or by `retired` until no call uses it, and is destroyed on the reaper thread.
struct PeerClient::Impl
{
    struct CachedChannel
    {
        Address peer;
        std::shared_ptr<grpc::Channel> channel;
    };

    // Common part of unary and streaming calls.
    struct Call
    {
        grpc::ClientContext context;
        Address peer;
        std::shared_ptr<grpc::Channel> channel;
        std::unique_ptr<Wire::Peer::Stub> stub;
    };

    template<typename WireRequest, typename WireAnswer>
    struct UnaryCall : Call
    {
        WireRequest request;
        WireAnswer answer;
    };

    class SnapshotCall;

    explicit Impl(const PeerClientOptions &clientOptions)
        : options(clientOptions)
        , reaper([this] { runReaper(); })
    {
    }

    std::shared_ptr<grpc::Channel> channelTo(const Address &peer)
    {
        const std::lock_guard lock(mutex);
        const auto it = std::find_if(cache.begin(), cache.end(), [&peer](const CachedChannel &entry) { return entry.peer == peer; });
        if (it != cache.end()) {
            cache.splice(cache.begin(), cache, it);
            return cache.front().channel;
        }
        cache.push_front({.peer = peer, .channel = openChannel(peer, options)});
        if (cache.size() > options.maxChannels) {
            retired.splice(retired.end(), cache, std::prev(cache.end()));
            reaperWakeUp.notify_one();
        }
        return cache.front().channel;
    }

    void retireChannel(const std::shared_ptr<grpc::Channel> &channel)
    {
        const std::lock_guard lock(mutex);
        const auto it = std::find_if(cache.begin(), cache.end(), [&channel](const auto &entry) { return entry.channel == channel; });
        if (it != cache.end()) {
            retired.splice(retired.end(), cache, it);
            reaperWakeUp.notify_one();
        }
    }

    void runReaper()
    {
        std::unique_lock lock(mutex);
        while (!isReaperStopping || !retired.empty()) {
            if (retired.empty()) {
                reaperWakeUp.wait(lock);
                continue;
            }
            std::list<CachedChannel> unused;
            for (auto it = retired.begin(); it != retired.end();) {
                const auto next = std::next(it);
                if (it->channel.use_count() == 1) {
                    unused.splice(unused.end(), retired, it);
                }
                it = next;
            }
            lock.unlock();
            unused.clear();
            lock.lock();
            reaperWakeUp.wait_for(lock, retired.empty() ? Duration(0) : reapPeriod);
        }
    }

    std::optional<PeerFailure> beginCall(Call &call, const Address &peer, Duration timeout)
    {
        if (!isIpv4(peer)) {
            return notSent("not an IPv4 address with a port: " + toString(peer));
        }
        {
            const std::lock_guard lock(mutex);
            if (isClosing || calls.size() >= options.maxConcurrentCalls) {
                return notSent("too many concurrent calls, or the client is being destroyed");
            }
            calls.insert(&call.context);
        }
        const auto wait = std::chrono::duration_cast<std::chrono::system_clock::duration>(timeout);
        call.context.set_deadline(std::chrono::system_clock::now() + wait);
        call.peer = peer;
        call.channel = channelTo(peer);
        call.stub = Wire::Peer::NewStub(call.channel);
        return std::nullopt;
    }

    // Called before the callback: a completed call must no longer be cancelled.
    void endCall(Call &call, const grpc::Status &status)
    {
        if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) {
            retireChannel(call.channel);
        }
        const std::lock_guard lock(mutex);
        calls.erase(&call.context);
        ++runningCallbacks;
    }

    void endCallback()
    {
        const std::lock_guard lock(mutex);
        --runningCallbacks;
        callsEnded.notify_all();
    }

    template<typename Answer, typename WireRequest, typename WireAnswer, typename Start>
    void callUnary(const Address &peer, WireRequest request, Duration timeout, PeerCallback<Answer> done, const Start &start)
    {
        auto call = std::make_shared<UnaryCall<WireRequest, WireAnswer>>();
        call->request = std::move(request);
        if (call->request.ByteSizeLong() > options.maxMessageBytes) {
            done(refuseCall(PeerRefusal::TooLarge, "request exceeds the message size limit"));
            return;
        }
        if (auto failure = beginCall(*call, peer, timeout)) {
            done(tl::unexpected(*std::move(failure)));
            return;
        }
        start(*call, [this, call, done = std::move(done)](const grpc::Status &status) {
            endCall(*call, status);
            done(toResult<Answer>(*call, status));
            endCallback();
        });
    }

    template<typename Answer, typename Unary>
    static PeerResult<Answer> toResult(const Unary &call, const grpc::Status &status)
    {
        if (!status.ok()) {
            return tl::unexpected(toFailure(status, call.context));
        }
        auto answer = decode(call.answer);
        if (!answer) {
            return tl::unexpected(answerLost("a field of the answer is missing or out of range"));
        }
        return *std::move(answer);
    }

    PeerClientOptions options;
    mutable std::mutex mutex;
    std::condition_variable callsEnded;
    std::condition_variable reaperWakeUp;
    std::list<CachedChannel> cache;   // most recently used first
    std::list<CachedChannel> retired; // no new calls; destroyed by the reaper when unused
    std::set<grpc::ClientContext *> calls;
    std::size_t runningCallbacks = 0;
    bool isClosing = false;        // accepts no new calls
    bool isReaperStopping = false; // the reaper ends when `retired` is empty
    std::thread reaper;            // last member: it uses the others
};

// Collects the parts of a snapshot. Deletes itself in OnDone().
class PeerClient::Impl::SnapshotCall final : public Call, public grpc::ClientReadReactor<Wire::SnapshotPart>
{
public:
    SnapshotCall(Impl &impl, PeerCallback<SnapshotAnswer> done)
        : m_impl(impl)
        , m_done(std::move(done))
    {
    }

    void begin(const VmName &self, std::uint64_t haveRevision)
    {
        m_request.set_vm(self.value);
        m_request.set_have_revision(haveRevision);
        stub->async()->FetchSnapshot(&context, &m_request, this);
        StartRead(&m_part);
        StartCall();
    }

    void fail(PeerFailure failure) { m_done(tl::unexpected(std::move(failure))); }

    void OnReadDone(bool ok) override // NOLINT(readability-identifier-naming)
    {
        if (!ok) {
            return;
        }
        m_isInconsistent = m_isInconsistent || m_hasLastPart || (m_parts > 0 && m_part.revision() != m_answer.revision);
        ++m_parts;
        m_answer.revision = m_part.revision();
        for (std::string &it : *m_part.mutable_objects()) {
            m_bytes += it.size();
            m_answer.objects.push_back(std::move(it));
        }
        m_hasLastPart = m_part.is_last();
        if (m_bytes > m_impl.options.maxSnapshotBytes) {
            m_isTooLarge = true;
            context.TryCancel();
            return;
        }
        StartRead(&m_part);
    }

    void OnDone(const grpc::Status &status) override // NOLINT(readability-identifier-naming)
    {
        m_impl.endCall(*this, status);
        m_done(result(status));
        Impl &impl = m_impl;
        delete this;
        impl.endCallback();
    }

private:
    PeerResult<SnapshotAnswer> result(const grpc::Status &status)
    {
        if (m_isTooLarge) {
            return refuseCall(PeerRefusal::TooLarge, "snapshot exceeds the size limit");
        }
        if (!status.ok()) {
            return tl::unexpected(toFailure(status, context));
        }
        if (!m_hasLastPart || m_isInconsistent) {
            return tl::unexpected(answerLost("snapshot parts are incomplete or of different revisions"));
        }
        return std::move(m_answer);
    }

    Impl &m_impl;
    PeerCallback<SnapshotAnswer> m_done;
    Wire::SnapshotRequest m_request;
    Wire::SnapshotPart m_part;
    SnapshotAnswer m_answer;
    std::size_t m_bytes = 0;
    std::size_t m_parts = 0;
    bool m_hasLastPart = false;
    bool m_isInconsistent = false;
    bool m_isTooLarge = false;
};

PeerClient::PeerClient(const PeerClientOptions &options)
    : m_impl(std::make_unique<Impl>(options))
{
}

PeerClient::~PeerClient()
{
    std::unique_lock lock(m_impl->mutex);
    m_impl->isClosing = true;
    for (grpc::ClientContext *it : m_impl->calls) {
        it->TryCancel();
    }
    m_impl->callsEnded.wait(lock, [this] { return m_impl->calls.empty() && m_impl->runningCallbacks == 0; });
    m_impl->retired.splice(m_impl->retired.end(), m_impl->cache);
    m_impl->isReaperStopping = true;
    m_impl->reaperWakeUp.notify_one();
    lock.unlock();
    m_impl->reaper.join();
}

void PeerClient::ping(const Address &peer, const PeerNews &news, Duration timeout, PeerCallback<PingAnswer> done)
{
    m_impl->callUnary<PingAnswer, Wire::News, Wire::PingAnswer>(
        peer, encode(news), timeout, std::move(done), [](auto &call, auto finished) {
            call.stub->async()->Ping(&call.context, &call.request, &call.answer, std::move(finished));
        });
}

void PeerClient::relay(const Address &peer, const RelayRequest &request, Duration timeout, PeerCallback<RelayAnswer> done)
{
    m_impl->callUnary<RelayAnswer, Wire::RelayRequest, Wire::RelayAnswer>(
        peer, encode(request), timeout, std::move(done), [](auto &call, auto finished) {
            call.stub->async()->Relay(&call.context, &call.request, &call.answer, std::move(finished));
        });
}

void PeerClient::askLoan(const Address &peer, const LoanAsk &ask, Duration timeout, PeerCallback<LoanAnswer> done)
{
    m_impl->callUnary<LoanAnswer, Wire::LoanRequest, Wire::LoanAnswer>(
        peer, encode(ask), timeout, std::move(done), [](auto &call, auto finished) {
            call.stub->async()->AskLoan(&call.context, &call.request, &call.answer, std::move(finished));
        });
}

void PeerClient::reportHealth(const Address &peer, const HealthReport &report, Duration timeout, PeerCallback<HealthAnswer> done)
{
    m_impl->callUnary<HealthAnswer, Wire::HealthReport, Wire::HealthAnswer>(
        peer, encode(report), timeout, std::move(done), [](auto &call, auto finished) {
            call.stub->async()->ReportHealth(&call.context, &call.request, &call.answer, std::move(finished));
        });
}

void PeerClient::fetchSnapshot(
    const Address &peer, const VmName &self, std::uint64_t haveRevision, Duration timeout, PeerCallback<SnapshotAnswer> done)
{
    auto call = std::make_unique<Impl::SnapshotCall>(*m_impl, std::move(done));
    if (auto failure = m_impl->beginCall(*call, peer, timeout)) {
        call->fail(*std::move(failure));
        return;
    }
    call.release()->begin(self, haveRevision); // deletes itself in OnDone()
}

std::size_t PeerClient::channelCount() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->cache.size();
}

std::size_t PeerClient::callsInFlight() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->calls.size();
}

} // namespace Pollenspoke
