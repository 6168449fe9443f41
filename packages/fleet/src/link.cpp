#include "link.h"

#include "fleet.pb.h"

namespace Pollenspoke {

namespace {

namespace fleet = ::pollenspoke::fleet;
namespace net = boost::asio;
using Udp = net::ip::udp;
using SystemError = boost::system::error_code;
using std::chrono::milliseconds;

constexpr auto asTuple = net::as_tuple(net::use_awaitable);
constexpr auto receiveRetryDelay = milliseconds(10); // after a socket error, such as an ICMP port unreachable

std::uint32_t toMs(Duration duration)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(std::chrono::duration_cast<milliseconds>(duration).count(), 0));
}

void encode(fleet::Datagram &datagram, const StatusReport &report)
{
    fleet::Status &status = *datagram.mutable_status();
    status.set_is_leaving(report.isLeaving);
    status.set_configuration_revision(report.declarationsRevision);
    status.set_roster_revision(report.rosterRevision);
    status.set_store_up_ms(toMs(report.storeReachableFor));
    status.set_has_services(report.targetReports.has_value());
    status.set_is_whole(report.isFullReport);
    if (!report.targetReports) {
        return;
    }
    for (const auto &[name, targets] : *report.targetReports) {
        fleet::ServiceReport &service = *status.add_services();
        service.set_service(name.value);
        for (const TargetObservation &it : targets) {
            fleet::TargetReport &target = *service.add_targets();
            target.set_target(it.target.value);
            target.set_in_flight(it.inFlight);
            target.set_failures(it.failures);
            target.set_avoidance_ms(toMs(it.avoidance));
            target.set_failure_pause_ms(toMs(it.failurePause));
            target.set_unreachable_pause_ms(toMs(it.unreachablePause));
        }
    }
}

void encode(fleet::Datagram &datagram, const TokenRequest &request)
{
    datagram.mutable_token_ask()->set_id(request.id);
    datagram.mutable_token_ask()->set_account(request.account.value);
}

void encode(fleet::Datagram &datagram, const TokenReply &reply)
{
    datagram.mutable_token_answer()->set_id(reply.id);
    datagram.mutable_token_answer()->set_is_granted(reply.isGranted);
}

void encode(fleet::Datagram &datagram, const FeedRequest &request)
{
    fleet::FeedAsk &ask = *datagram.mutable_feed_ask();
    ask.set_id(request.id);
    ask.set_kind(request.kind);
    ask.set_since(request.since);
}

void encode(fleet::Datagram &datagram, const FeedReply &reply)
{
    fleet::FeedAnswer &answer = *datagram.mutable_feed_answer();
    answer.set_id(reply.id);
    answer.set_is_known(reply.changes.has_value());
    if (!reply.changes) {
        return;
    }
    answer.set_revision(reply.changes->revision);
    for (const DocumentChange &it : reply.changes->events) {
        fleet::FeedChange &change = *answer.add_changes();
        change.set_is_deleted(it.isDeleted);
        change.set_name(it.document.name);
        change.set_revision(it.document.revision);
        change.set_created(it.document.created);
        change.set_spec(formatJsonText(it.document.spec));
    }
}

// Returns nothing if a document can't be parsed; the receiver then uses the store.
std::optional<DocumentChanges> decodeChanges(const fleet::FeedAnswer &answer)
{
    if (!answer.is_known()) {
        return std::nullopt;
    }
    DocumentChanges changes{.revision = answer.revision()};
    for (const fleet::FeedChange &it : answer.changes()) {
        StoredDocument document{.name = it.name(), .revision = it.revision(), .created = it.created()};
        std::string parseError;
        if (!parseJsonText(it.spec(), document.spec, parseError)) {
            return std::nullopt;
        }
        changes.events.push_back({.isDeleted = it.is_deleted(), .document = std::move(document)});
    }
    return changes;
}

StatusReport decodeStatus(const fleet::Status &status)
{
    StatusReport report{.isLeaving = status.is_leaving(),
                        .declarationsRevision = status.configuration_revision(),
                        .rosterRevision = status.roster_revision(),
                        .storeReachableFor = milliseconds(status.store_up_ms())};
    if (!status.has_services()) {
        return report;
    }
    TargetUpdates targetReports;
    for (const fleet::ServiceReport &service : status.services()) {
        std::vector<TargetObservation> &targets = targetReports[ServiceName{service.service()}];
        for (const fleet::TargetReport &it : service.targets()) {
            targets.push_back(TargetObservation{.target = {it.target()},
                                                .inFlight = it.in_flight(),
                                                .failures = it.failures(),
                                                .failurePause = milliseconds(it.failure_pause_ms()),
                                                .avoidance = milliseconds(it.avoidance_ms()),
                                                .unreachablePause = milliseconds(it.unreachable_pause_ms())});
        }
    }
    report.targetReports = std::move(targetReports);
    report.isFullReport = status.is_whole();
    return report;
}

} // namespace

std::string encodeDatagram(const VmName &sender, const LinkMessage &message)
{
    fleet::Datagram datagram;
    datagram.set_sender(sender.value);
    std::visit([&datagram](const auto &it) { encode(datagram, it); }, message);
    return datagram.SerializeAsString();
}

std::optional<std::pair<VmName, LinkMessage>> decodeDatagram(std::string_view bytes)
{
    fleet::Datagram datagram;
    if (!datagram.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || datagram.sender().empty()) {
        return std::nullopt;
    }
    const VmName sender{datagram.sender()};
    switch (datagram.body_case()) {
    case fleet::Datagram::kStatus:
        return std::pair(sender, LinkMessage(decodeStatus(datagram.status())));
    case fleet::Datagram::kTokenAsk:
        return std::pair(sender, LinkMessage(TokenRequest{datagram.token_ask().id(), {datagram.token_ask().account()}}));
    case fleet::Datagram::kTokenAnswer:
        return std::pair(sender, LinkMessage(TokenReply{datagram.token_answer().id(), datagram.token_answer().is_granted()}));
    case fleet::Datagram::kFeedAsk: {
        const fleet::FeedAsk &ask = datagram.feed_ask();
        return std::pair(sender, LinkMessage(FeedRequest{ask.id(), ask.kind(), ask.since()}));
    }
    case fleet::Datagram::kFeedAnswer:
        return std::pair(sender, LinkMessage(FeedReply{datagram.feed_answer().id(), decodeChanges(datagram.feed_answer())}));
    case fleet::Datagram::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

Udp::endpoint toDatagramEndpoint(const Address &address)
{
    SystemError ec;
    const net::ip::address ip = net::ip::make_address(address.ip, ec);
    return ec ? Udp::endpoint() : Udp::endpoint(ip, address.port);
}

Link::Link(net::io_context &context, VmName self, Address address, Handler handler)
    : m_context(context)
    , m_self(std::move(self))
    , m_address(std::move(address))
    , m_handler(std::move(handler))
    , m_socket(context)
{
}

Result<void> Link::start()
{
    SystemError ec;
    const Udp::endpoint endpoint = toDatagramEndpoint(m_address);
    m_socket.open(endpoint.protocol(), ec);
    if (!ec) {
        m_socket.bind(endpoint, ec);
    }
    if (!ec) {
        m_socket.non_blocking(true, ec);
    }
    if (ec) {
        return tl::unexpected(Error{.code = ErrorCode::Io, .path = toString(m_address), .detail = ec.message()});
    }
    net::co_spawn(m_context, receive(), net::detached);
    return {};
}

net::awaitable<void> Link::receive()
{
    for (;;) {
        Udp::endpoint from;
        const auto [ec, n] = co_await m_socket.async_receive_from(net::buffer(m_buffer), from, asTuple);
        if (ec == net::error::operation_aborted) {
            co_return;
        }
        if (ec) {
            net::steady_timer timer(m_context, receiveRetryDelay);
            co_await timer.async_wait(asTuple);
            continue;
        }
        if (const auto decoded = decodeDatagram({m_buffer.data(), n})) {
            m_handler(decoded->first, decoded->second, from);
        }
    }
}

void Link::send(const Address &to, const LinkMessage &message)
{
    send(toDatagramEndpoint(to), encodeDatagram(m_self, message));
}

// A datagram that can't be sent at once is dropped: status is sent again periodically, and requests are retried elsewhere.
void Link::send(const Udp::endpoint &to, std::string_view bytes)
{
    SystemError ignored;
    m_socket.send_to(net::buffer(bytes.data(), bytes.size()), to, 0, ignored);
}

} // namespace Pollenspoke
