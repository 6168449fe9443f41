#include "codec.h"
#include "peer.grpc.pb.h"
#include "refusal_codes.h"

#include <atomic>
#include <grpcpp/grpcpp.h>
#include <grpcpp/resource_quota.h>

namespace Pollenspoke {

namespace {

constexpr int maxServerThreads = 16;

// Limits and counts calls and refusals. Shared by the reactors.
struct CallTracker
{
    explicit CallTracker(std::uint32_t maxConcurrentCalls)
        : maxConcurrentCalls(maxConcurrentCalls)
    {
    }

    bool beginCall()
    {
        ++calls;
        const std::uint64_t current = ++inFlight;
        std::uint64_t peak = peakConcurrentCalls;
        while (current > peak && !peakConcurrentCalls.compare_exchange_weak(peak, current)) { }
        return current <= maxConcurrentCalls;
    }

    grpc::Status refuse(const PeerFailure &failure)
    {
        ++refusals[static_cast<std::size_t>(failure.refusal)];
        return toStatus(failure);
    }

    std::uint32_t maxConcurrentCalls;
    std::atomic<std::uint64_t> calls{0};
    std::atomic<std::uint64_t> inFlight{0};
    std::atomic<std::uint64_t> peakConcurrentCalls{0};
    std::atomic<std::uint64_t> refusals[peerRefusalCount] = {};
};

PeerFailure makeRefusal(PeerRefusal refusal, std::string detail)
{
    return refuseCall(refusal, std::move(detail)).value();
}

// A unary call. Deletes itself in OnDone().
class UnaryReactor final : public grpc::ServerUnaryReactor
{
public:
    explicit UnaryReactor(CallTracker &tracker)
        : m_tracker(tracker)
        , m_isAdmitted(tracker.beginCall())
    {
    }

    bool isAdmitted() const { return m_isAdmitted; }
    void refuse(const PeerFailure &failure) { Finish(m_tracker.refuse(failure)); }

    template<typename Answer, typename WireAnswer>
    void finish(const PeerResult<Answer> &result, WireAnswer *wire)
    {
        if (!result) {
            refuse(result.error());
            return;
        }
        *wire = encode(*result);
        Finish(grpc::Status::OK);
    }

    void OnDone() override // NOLINT(readability-identifier-naming)
    {
        --m_tracker.inFlight;
        delete this;
    }

private:
    CallTracker &m_tracker;
    bool m_isAdmitted;
};

// Streams a snapshot in parts. Deletes itself in OnDone().
class SnapshotReactor final : public grpc::ServerWriteReactor<Wire::SnapshotPart>
{
public:
    SnapshotReactor(CallTracker &tracker, std::uint32_t snapshotPartBytes)
        : m_tracker(tracker)
        , m_snapshotPartBytes(snapshotPartBytes)
        , m_isAdmitted(tracker.beginCall())
    {
    }

    bool isAdmitted() const { return m_isAdmitted; }
    void refuse(const PeerFailure &failure) { Finish(m_tracker.refuse(failure)); }

    void send(std::shared_ptr<const SnapshotAnswer> snapshot)
    {
        m_snapshot = std::move(snapshot);
        writePart();
    }

    void OnWriteDone(bool ok) override // NOLINT(readability-identifier-naming)
    {
        if (!ok || m_part.is_last()) {
            Finish(ok ? grpc::Status::OK : grpc::Status::CANCELLED);
            return;
        }
        writePart();
    }

    void OnDone() override // NOLINT(readability-identifier-naming)
    {
        --m_tracker.inFlight;
        delete this;
    }

private:
    void writePart()
    {
        m_part.Clear();
        m_part.set_revision(m_snapshot->revision);
        std::size_t bytes = 0;
        while (m_nextObject < m_snapshot->objects.size()) {
            const std::string &object = m_snapshot->objects[m_nextObject];
            if (bytes > 0 && bytes + object.size() > m_snapshotPartBytes) {
                break;
            }
            bytes += object.size();
            m_part.add_objects(object);
            ++m_nextObject;
        }
        m_part.set_is_last(m_nextObject == m_snapshot->objects.size());
        StartWrite(&m_part);
    }

    CallTracker &m_tracker;
    std::uint32_t m_snapshotPartBytes;
    bool m_isAdmitted;
    std::shared_ptr<const SnapshotAnswer> m_snapshot;
    std::size_t m_nextObject = 0;
    Wire::SnapshotPart m_part;
};

// NOLINTBEGIN(readability-identifier-naming): gRPC generates these method names from the .proto file.
class CallbackService final : public Wire::Peer::CallbackService
{
public:
    CallbackService(const PeerServerOptions &options, PeerHandler &handler)
        : m_options(options)
        , m_handler(handler)
        , tracker(options.maxConcurrentCalls)
    {
    }

    grpc::ServerUnaryReactor *Ping(grpc::CallbackServerContext *, const Wire::News *request, Wire::PingAnswer *answer) override
    {
        return serve(*request, answer, [this](const PeerNews &news) { return m_handler.onPing(news); });
    }

    grpc::ServerUnaryReactor *AskLoan(grpc::CallbackServerContext *, const Wire::LoanRequest *request, Wire::LoanAnswer *answer) override
    {
        return serve(*request, answer, [this](const LoanAsk &ask) { return m_handler.onAskLoan(ask); });
    }

    grpc::ServerUnaryReactor *
    ReportHealth(grpc::CallbackServerContext *, const Wire::HealthReport *request, Wire::HealthAnswer *answer) override
    {
        return serve(*request, answer, [this](const HealthReport &report) -> PeerResult<HealthAnswer> {
            if (report.targets.size() > m_options.maxReportTargets) {
                return refuseCall(PeerRefusal::TooLarge, "too many targets in one report");
            }
            return m_handler.onReportHealth(report);
        });
    }

    grpc::ServerUnaryReactor *Relay(grpc::CallbackServerContext *, const Wire::RelayRequest *request, Wire::RelayAnswer *answer) override
    {
        auto *reactor = new UnaryReactor(tracker);
        const auto decoded = decode(*request);
        if (!validateRequest(*reactor, *request, decoded.has_value())) {
            return reactor;
        }
        m_handler.onRelay(*decoded, [reactor, answer](const PeerResult<RelayAnswer> &result) { reactor->finish(result, answer); });
        return reactor;
    }

    grpc::ServerWriteReactor<Wire::SnapshotPart> *FetchSnapshot(grpc::CallbackServerContext *,
                                                                const Wire::SnapshotRequest *request) override
    {
        auto *reactor = new SnapshotReactor(tracker, m_options.snapshotPartBytes);
        if (!validateRequest(*reactor, *request, true)) {
            return reactor;
        }
        const auto snapshot = m_handler.onFetchSnapshot(request->have_revision());
        if (!snapshot) {
            reactor->refuse(snapshot.error());
            return reactor;
        }
        const auto unchangedAnswer = std::make_shared<const SnapshotAnswer>(SnapshotAnswer{.revision = request->have_revision()});
        reactor->send(*snapshot ? *snapshot : unchangedAnswer);
        return reactor;
    }

private:
    template<typename Reactor, typename WireRequest>
    bool validateRequest(Reactor &reactor, const WireRequest &request, bool isValid)
    {
        if (!reactor.isAdmitted()) {
            reactor.refuse(makeRefusal(PeerRefusal::Busy, "too many calls at once"));
            return false;
        }
        if (request.ByteSizeLong() > m_options.maxMessageBytes) {
            reactor.refuse(makeRefusal(PeerRefusal::TooLarge, "the message is over the bound"));
            return false;
        }
        if (!isValid) {
            reactor.refuse(makeRefusal(PeerRefusal::InvalidMessage, "a field is missing or out of range"));
            return false;
        }
        return true;
    }

    template<typename WireRequest, typename WireAnswer, typename Handle>
    grpc::ServerUnaryReactor *serve(const WireRequest &request, WireAnswer *answer, const Handle &handleRequest)
    {
        auto *reactor = new UnaryReactor(tracker);
        const auto decoded = decode(request);
        if (validateRequest(*reactor, request, decoded.has_value())) {
            reactor->finish(handleRequest(*decoded), answer);
        }
        return reactor;
    }

    PeerServerOptions m_options;
    PeerHandler &m_handler;

public:
    CallTracker tracker;
};
// NOLINTEND(readability-identifier-naming)

} // namespace

struct PeerServer::Impl
{
    Impl(const PeerServerOptions &options, PeerHandler &handler)
        : service(options, handler)
        , address(options.listen)
    {
    }

    CallbackService service;
    Address address;
    std::unique_ptr<grpc::Server> server;
};

PeerServer::PeerServer(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

PeerServer::~PeerServer()
{
    stop(Duration(0));
}

Result<std::unique_ptr<PeerServer>> PeerServer::start(const PeerServerOptions &options, PeerHandler &handler)
{
    auto impl = std::make_unique<Impl>(options, handler);
    grpc::ResourceQuota quota("peer");
    quota.Resize(options.maxMemoryBytes);
    quota.SetMaxThreads(maxServerThreads);
    grpc::ServerBuilder builder;
    builder.SetResourceQuota(quota);
    // Messages up to twice the limit are read, so that the caller gets a refusal. gRPC aborts larger ones without one.
    builder.SetMaxReceiveMessageSize(static_cast<int>(2 * options.maxMessageBytes));
    builder.SetMaxSendMessageSize(static_cast<int>(options.maxMessageBytes));
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    int port = 0;
    builder.AddListeningPort(toString(options.listen), grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&impl->service);
    impl->server = builder.BuildAndStart();
    if (!impl->server || port == 0) {
        return tl::unexpected(
            Error{.code = ErrorCode::Io, .path = toString(options.listen), .detail = "cannot listen for peer connections"});
    }
    impl->address.port = static_cast<std::uint16_t>(port);
    return std::unique_ptr<PeerServer>(new PeerServer(std::move(impl)));
}

Address PeerServer::address() const
{
    return m_impl->address;
}

PeerServerCounts PeerServer::counts() const
{
    const CallTracker &tracker = m_impl->service.tracker;
    PeerServerCounts counts{.calls = tracker.calls, .peakConcurrentCalls = tracker.peakConcurrentCalls};
    for (std::size_t i = 0; i < peerRefusalCount; ++i) {
        counts.refusals[i] = tracker.refusals[i];
    }
    return counts;
}

void PeerServer::stop(Duration grace)
{
    if (!m_impl->server) {
        return;
    }
    const auto deadline = std::chrono::system_clock::now() + std::chrono::duration_cast<std::chrono::system_clock::duration>(grace);
    m_impl->server->Shutdown(deadline);
    m_impl->server->Wait();
    m_impl->server.reset();
}

} // namespace Pollenspoke
