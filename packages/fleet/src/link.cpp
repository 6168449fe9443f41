#include "link.h"

#include "fleet.pb.h"
#include "packed_text.h"

#include <algorithm>
#include <iterator>
#include <random>

namespace Pollenspoke {

namespace {

namespace fleet = ::pollenspoke::fleet;
namespace net = boost::asio;
using Udp = net::ip::udp;
using SystemError = boost::system::error_code;
using std::chrono::milliseconds;

constexpr auto asTuple = net::as_tuple(net::use_awaitable);
constexpr auto receiveRetryDelay = milliseconds(10); // after a socket error, such as an ICMP port unreachable
constexpr std::size_t maxPartBytes = 16384;          // of a fragment; longer datagrams are split

std::uint32_t toMs(Duration duration)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(std::chrono::duration_cast<milliseconds>(duration).count(), 0));
}

void encode(fleet::Demand &demand, const DemandReport &report)
{
    for (const RankDemand &it : report.ranks) {
        fleet::RankDemand &rank = *demand.add_ranks();
        rank.set_rank(it.rank);
        rank.set_arrivals(static_cast<float>(it.arrivals));
        rank.set_waiting(static_cast<float>(it.waiting));
        rank.set_refused(static_cast<float>(it.refused));
        rank.set_started(static_cast<float>(it.started));
    }
    for (const AccountDemand &it : report.accounts) {
        fleet::AccountDemand &account = *demand.add_accounts();
        account.set_account(it.account.value);
        account.set_arrivals(static_cast<float>(it.arrivals));
    }
    demand.set_measured_at_ms(static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(report.measuredAt).count()));
    demand.set_run(report.run);
}

void encode(fleet::Datagram &datagram, const StatusReport &report)
{
    fleet::Status &status = *datagram.mutable_status();
    status.set_is_leaving(report.isLeaving);
    status.set_is_impaired(report.isImpaired);
    status.set_declarations_version(report.declarationsVersion);
    status.set_newest_era(report.newestChange.era());
    status.set_newest_revision(report.newestChange.revision());
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
            target.set_has_returned(it.returnAge.has_value());
            target.set_return_age_ms(toMs(it.returnAge.value_or(Duration(0))));
            target.set_failure_pause_ms(toMs(it.failurePause));
            target.set_unreachable_pause_ms(toMs(it.unreachablePause));
            target.set_is_leaving(it.leavingIncarnation.has_value());
            target.set_incarnation(it.leavingIncarnation.value_or(0));
            target.set_knows_limit(it.limit.has_value());
            if (it.limit) {
                target.set_is_limited(it.limit->limit.has_value());
                target.set_limit(it.limit->limit.value_or(0));
                target.set_limit_incarnation(it.limit->incarnation);
                target.set_limit_age_ms(toMs(it.limit->age));
            }
        }
        if (const auto it = report.demand.find(name); it != report.demand.end()) {
            encode(*service.mutable_demand(), it->second);
        }
    }
    for (const auto &[name, demand] : report.demand) {
        if (!report.targetReports->contains(name)) {
            fleet::ServiceReport &service = *status.add_services();
            service.set_service(name.value);
            encode(*service.mutable_demand(), demand);
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
    ask.set_is_leaving(request.isLeaving);
    ask.set_declarations_version(request.declarationsVersion);
    ask.set_needs_departures(request.needsDepartures);
    for (const auto &[kind, it] : request.cursors) {
        fleet::FeedCursor &cursor = *ask.add_cursors();
        cursor.set_kind(kind);
        cursor.set_era(it.since.era());
        cursor.set_since(it.since.revision());
        cursor.set_newest_change(it.newestChange.isInSameEra(it.since) ? it.newestChange.revision() : 0);
    }
}

template<typename Message>
void encodeSpec(Message &message, const StoredDocument &document)
{
    if (document.packedSpec) {
        message.set_packed_spec(document.packedSpec->bytes);
        message.set_packed_text_bytes(static_cast<std::uint32_t>(document.packedSpec->textBytes));
    } else {
        message.set_spec(formatJsonText(document.spec));
    }
}

// Returns false if the spec can't be decompressed or parsed.
template<typename Message>
bool decodeSpec(const Message &message, StoredDocument &document)
{
    std::string parseError;
    if (message.packed_spec().empty()) {
        return parseJsonText(message.spec(), document.spec, parseError);
    }
    const auto packed = std::make_shared<PackedText>(PackedText{.bytes = message.packed_spec(), .textBytes = message.packed_text_bytes()});
    const std::optional<std::string> text = unpackText(*packed);
    document.packedSpec = packed;
    return text && parseJsonText(*text, document.spec, parseError);
}

void encode(fleet::FeedKind &feedKind, const DocumentChanges &changes)
{
    feedKind.set_is_covered(true);
    feedKind.set_era(changes.position.era());
    feedKind.set_revision(changes.position.revision());
    for (const DocumentChange &it : changes.events) {
        fleet::FeedChange &change = *feedKind.add_changes();
        change.set_is_deleted(it.isDeleted);
        change.set_name(it.document.name);
        change.set_era(it.position.era());
        change.set_revision(it.document.revision);
        change.set_created(it.document.created);
        encodeSpec(change, it.document);
        change.set_age_ms(toMs(it.age));
        change.set_hops(it.hops);
    }
}

void encode(fleet::Datagram &datagram, const FeedReply &reply)
{
    fleet::FeedAnswer &answer = *datagram.mutable_feed_answer();
    answer.set_id(reply.id);
    answer.set_store_contact_age_ms(toMs(reply.storeContactAge));
    for (const auto &[kind, changes] : reply.changes) {
        fleet::FeedKind &feedKind = *answer.add_kinds();
        feedKind.set_kind(kind);
        if (changes) {
            encode(feedKind, *changes);
        }
        if (const auto age = reply.knownAges.find(kind); age != reply.knownAges.end()) {
            feedKind.set_has_known_age(true);
            feedKind.set_known_age_ms(toMs(age->second + milliseconds(1))); // rounded up: the receiver's right to its seat depends on it
        }
    }
    for (const SeatHolderStatus &it : reply.overdue) {
        fleet::SeatHolderStatus &status = *answer.add_overdue();
        status.set_vm(it.vm.value);
        status.set_report_age_ms(toMs(it.reportAge));
        status.set_is_leaving(it.isLeaving);
        status.set_is_impaired(it.isImpaired);
    }
    for (const VmName &it : reply.deputies) {
        answer.add_deputies(it.value);
    }
    if (reply.declarations) {
        fleet::HeldDeclarations &declarations = *answer.mutable_declarations();
        declarations.set_name(reply.declarations->name);
        declarations.set_revision(reply.declarations->revision);
        encodeSpec(declarations, *reply.declarations);
    }
    answer.set_has_departures(reply.departures.has_value());
    for (const TargetDeparture &it : reply.departures.value_or(std::vector<TargetDeparture>())) {
        fleet::Departure &departure = *answer.add_departures();
        departure.set_target(it.target.value);
        departure.set_started_at_ms(it.number.startedAtMs);
        departure.set_sequence(it.number.sequence);
    }
}

void encode(fleet::Datagram &datagram, const FeedNotice &notice)
{
    fleet::FeedNotice &message = *datagram.mutable_feed_notice();
    for (const auto &[kind, position] : notice.newestChanges) {
        fleet::FeedCursor &cursor = *message.add_newest();
        cursor.set_kind(kind);
        cursor.set_era(position.era());
        cursor.set_since(position.revision());
    }
}

FeedNotice decodeFeedNotice(const fleet::FeedNotice &message)
{
    FeedNotice notice;
    for (const fleet::FeedCursor &it : message.newest()) {
        notice.newestChanges[it.kind()] = {it.era(), it.since()};
    }
    return notice;
}

FeedRequest decodeFeedRequest(const fleet::FeedAsk &ask)
{
    FeedRequest request{.id = ask.id(),
                        .isLeaving = ask.is_leaving(),
                        .declarationsVersion = ask.declarations_version(),
                        .needsDepartures = ask.needs_departures()};
    for (const fleet::FeedCursor &it : ask.cursors()) {
        request.cursors[it.kind()] = {.since = {it.era(), it.since()}, .newestChange = {it.era(), it.newest_change()}};
    }
    return request;
}

// Returns nothing if a document can't be parsed; the receiver then uses the store.
std::optional<DocumentChanges> decodeChanges(const fleet::FeedKind &feedKind)
{
    if (!feedKind.is_covered()) {
        return std::nullopt;
    }
    DocumentChanges changes{.position = {feedKind.era(), feedKind.revision()}};
    for (const fleet::FeedChange &it : feedKind.changes()) {
        StoredDocument document{.name = it.name(), .revision = it.revision(), .created = it.created()};
        if (!decodeSpec(it, document)) {
            return std::nullopt;
        }
        changes.events.push_back({.isDeleted = it.is_deleted(),
                                  .document = std::move(document),
                                  .position = {it.era(), it.revision()},
                                  .age = milliseconds(it.age_ms()),
                                  .hops = it.hops()});
    }
    return changes;
}

FeedReply decodeFeedReply(const fleet::FeedAnswer &answer)
{
    FeedReply reply{.id = answer.id(), .storeContactAge = milliseconds(answer.store_contact_age_ms())};
    for (const fleet::FeedKind &it : answer.kinds()) {
        reply.changes[it.kind()] = decodeChanges(it);
        if (it.has_known_age()) {
            reply.knownAges[it.kind()] = milliseconds(it.known_age_ms());
        }
    }
    for (const fleet::SeatHolderStatus &it : answer.overdue()) {
        reply.overdue.push_back(
            {.vm = {it.vm()}, .reportAge = milliseconds(it.report_age_ms()), .isLeaving = it.is_leaving(), .isImpaired = it.is_impaired()});
    }
    for (const std::string &it : answer.deputies()) {
        reply.deputies.push_back({it});
    }
    StoredDocument declarations{.name = answer.declarations().name(), .revision = answer.declarations().revision()};
    if (answer.has_declarations() && decodeSpec(answer.declarations(), declarations)) {
        reply.declarations = std::move(declarations);
    }
    if (answer.has_departures()) {
        reply.departures.emplace();
        for (const fleet::Departure &it : answer.departures()) {
            reply.departures->push_back({.target = {it.target()}, .number = {it.started_at_ms(), it.sequence()}});
        }
    }
    return reply;
}

// A limit that isn't a number binds nobody.
std::optional<LimitReport> decodeLimit(const fleet::TargetReport &target)
{
    const bool isValid = !target.is_limited() || target.limit() >= 0;
    if (!target.knows_limit() || !isValid) {
        return std::nullopt;
    }
    return LimitReport{.incarnation = target.limit_incarnation(),
                       .limit = target.is_limited() ? std::optional(target.limit()) : std::nullopt,
                       .age = milliseconds(target.limit_age_ms())};
}

// DemandView rejects impossible numbers and counts the rejection.
DemandReport decodeDemand(const fleet::Demand &demand)
{
    constexpr std::uint64_t longestClockMs = 1ULL << 40; // 34 years; longer ones would overflow
    DemandReport report{.run = demand.run(),
                        .measuredAt = demand.measured_at_ms() <= longestClockMs ? milliseconds(demand.measured_at_ms()) : Duration(0)};
    for (const fleet::RankDemand &it : demand.ranks()) {
        report.ranks.push_back(
            {.rank = it.rank(), .arrivals = it.arrivals(), .waiting = it.waiting(), .refused = it.refused(), .started = it.started()});
    }
    for (const fleet::AccountDemand &it : demand.accounts()) {
        report.accounts.push_back({.account = {it.account()}, .arrivals = it.arrivals()});
    }
    return report;
}

StatusReport decodeStatus(const fleet::Status &status)
{
    StatusReport report{.isLeaving = status.is_leaving(),
                        .isImpaired = status.is_impaired(),
                        .newestChange = {status.newest_era(), status.newest_revision()},
                        .declarationsVersion = status.declarations_version(),
                        .storeReachableFor = milliseconds(status.store_up_ms())};
    if (!status.has_services()) {
        return report;
    }
    TargetUpdates targetReports;
    for (const fleet::ServiceReport &service : status.services()) {
        std::vector<TargetObservation> &targets = targetReports[ServiceName{service.service()}];
        for (const fleet::TargetReport &it : service.targets()) {
            targets.push_back(
                TargetObservation{.target = {it.target()},
                                  .inFlight = it.in_flight(),
                                  .failures = it.failures(),
                                  .failurePause = milliseconds(it.failure_pause_ms()),
                                  .returnAge = it.has_returned() ? std::optional<Duration>(milliseconds(it.return_age_ms())) : std::nullopt,
                                  .unreachablePause = milliseconds(it.unreachable_pause_ms()),
                                  .leavingIncarnation = it.is_leaving() ? std::optional<std::uint64_t>(it.incarnation()) : std::nullopt,
                                  .limit = decodeLimit(it)});
        }
        if (service.has_demand()) {
            report.demand[ServiceName{service.service()}] = decodeDemand(service.demand());
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
    case fleet::Datagram::kFeedAsk:
        return std::pair(sender, LinkMessage(decodeFeedRequest(datagram.feed_ask())));
    case fleet::Datagram::kFeedAnswer:
        return std::pair(sender, LinkMessage(decodeFeedReply(datagram.feed_answer())));
    case fleet::Datagram::kFeedNotice:
        return std::pair(sender, LinkMessage(decodeFeedNotice(datagram.feed_notice())));
    case fleet::Datagram::kFragment:
    case fleet::Datagram::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

std::vector<std::string> splitDatagram(const VmName &sender, std::uint64_t id, std::string_view bytes)
{
    std::vector<std::string> fragments;
    const std::size_t count = (bytes.size() + maxPartBytes - 1) / maxPartBytes;
    for (std::size_t i = 0; i < count; ++i) {
        fleet::Datagram datagram;
        datagram.set_sender(sender.value);
        fleet::Fragment &fragment = *datagram.mutable_fragment();
        fragment.set_id(id);
        fragment.set_index(static_cast<std::uint32_t>(i));
        fragment.set_count(static_cast<std::uint32_t>(count));
        fragment.set_part(std::string(bytes.substr(i * maxPartBytes, maxPartBytes)));
        fragments.push_back(datagram.SerializeAsString());
    }
    return fragments;
}

std::optional<std::pair<VmName, Fragment>> decodeFragment(std::string_view bytes)
{
    fleet::Datagram datagram;
    if (!datagram.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || !datagram.has_fragment()) {
        return std::nullopt;
    }
    fleet::Fragment &it = *datagram.mutable_fragment();
    return std::pair(VmName{datagram.sender()},
                     Fragment{.id = it.id(), .index = it.index(), .count = it.count(), .part = std::move(*it.mutable_part())});
}

std::optional<std::string> Reassembler::add(const VmName &sender, Fragment fragment)
{
    if (fragment.count == 0 || fragment.count > maxFragments || fragment.index >= fragment.count || fragment.part.empty()) {
        return std::nullopt;
    }
    auto it = std::find_if(m_incomplete.begin(), m_incomplete.end(), [&](const Incomplete &incomplete) {
        return incomplete.sender == sender && incomplete.id == fragment.id;
    });
    if (it == m_incomplete.end()) {
        if (m_incomplete.size() >= maxIncomplete) {
            m_incomplete.pop_front();
        }
        m_incomplete.push_back(
            {.sender = sender, .id = fragment.id, .parts = std::vector<std::string>(fragment.count), .missing = fragment.count});
        it = std::prev(m_incomplete.end());
    }
    if (fragment.index >= it->parts.size() || !it->parts[fragment.index].empty()) {
        return std::nullopt; // a duplicate, or of a different datagram with this id
    }
    it->parts[fragment.index] = std::move(fragment.part);
    if (--it->missing > 0) {
        return std::nullopt;
    }
    std::string bytes;
    for (const std::string &part : it->parts) {
        bytes += part;
    }
    m_incomplete.erase(it);
    return bytes;
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
    , m_lastLongDatagramId(std::random_device{}())
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
        handleDatagram({m_buffer.data(), n}, from);
    }
}

void Link::handleDatagram(std::string_view bytes, const Udp::endpoint &from)
{
    if (const auto decoded = decodeDatagram(bytes)) {
        m_handler(decoded->first, decoded->second, from);
        return;
    }
    if (auto fragment = decodeFragment(bytes)) {
        const std::optional<std::string> joined = m_reassembler.add(fragment->first, std::move(fragment->second));
        if (const auto decoded = joined ? decodeDatagram(*joined) : std::nullopt) {
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
    if (bytes.size() <= maxPartBytes) {
        m_socket.send_to(net::buffer(bytes.data(), bytes.size()), to, 0, ignored);
        return;
    }
    for (const std::string &it : splitDatagram(m_self, ++m_lastLongDatagramId, bytes)) {
        m_socket.send_to(net::buffer(it), to, 0, ignored);
    }
}

} // namespace Pollenspoke
