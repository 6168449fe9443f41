#include "target_connection.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <netinet/tcp.h>

namespace Pollenspoke {

namespace {

using namespace net::experimental::awaitable_operators;

constexpr int maxInformationalResponses = 8;
constexpr unsigned firstStatus = 100;
constexpr unsigned switchingProtocolsStatus = 101; // never asked for, since Upgrade isn't forwarded
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned lastStatus = 599;
constexpr std::size_t maxReadAhead = 65536; // of a body; a chunk's header or a trailer may not be longer than this and a header block
constexpr std::size_t minReadBytes = 4096;  // first read of a body of unknown length; doubles with each read

bool hasFoldedLine(std::string_view text)
{
    return text.find("\r\n ") != std::string_view::npos || text.find("\r\n\t") != std::string_view::npos;
}

// Transfer codings are removed here, and chunked is the only one that is known.
bool hasUnknownTransferCoding(const http::response_header<> &header)
{
    const auto [begin, end] = header.equal_range(http::field::transfer_encoding);
    const bool isKnown = std::all_of(begin, end, [](const http::fields::value_type &it) {
        return beast::iequals(it.value(), "chunked") || beast::iequals(it.value(), "identity");
    });
    return !isKnown || std::distance(begin, end) > 1;
}

} // namespace

TargetConnection::TargetConnection(net::any_io_executor executor, const ConnectionOptions &options)
    : m_options(options)
    , m_stream(std::move(executor))
    , m_buffer(options.answerHeaderBytes + maxReadAhead)
{
}

TargetConnection::~TargetConnection()
{
    if (isComplete() && m_hasSentAll) {
        setResetOnClose(false);
    }
}

void TargetConnection::setResetOnClose(bool resets)
{
    SystemError ignored;
    m_stream.socket().set_option(net::socket_base::linger(resets, 0), ignored);
}

net::awaitable<SystemError> TargetConnection::connect(const Address &address, TimePoint deadline)
{
    m_stream.expires_at(deadline);
    const auto [ec] = co_await m_stream.async_connect(toEndpoint(address), asTuple);
    if (!ec) {
        SystemError ignored;
        m_stream.socket().set_option(Tcp::no_delay(true), ignored);
        setResetOnClose(true);
    }
    co_return ec;
}

bool TargetConnection::adopt(const Address &address, Descriptor descriptor)
{
    SystemError ec;
    m_stream.socket().assign(toEndpoint(address).protocol(), descriptor.fd(), ec);
    if (ec) {
        return false;
    }
    descriptor.release();
    setResetOnClose(true);
    return true;
}

net::awaitable<std::size_t> TargetConnection::beginSend(RequestSerializer &request, TimePoint deadline)
{
    m_stream.expires_at(deadline);
    const auto [ec, n] = co_await http::async_write_some(m_stream, request, asTuple);
    m_hasSentAll = request.is_done();
    co_return n;
}

net::awaitable<void> TargetConnection::sendRemaining(RequestSerializer &request, TimePoint deadline)
{
    m_stream.expires_at(deadline);
    SystemError ec;
    while (!ec && !request.is_done()) {
        std::tie(ec, std::ignore) = co_await http::async_write_some(m_stream, request, asTuple);
    }
    m_hasSentAll = request.is_done();
    net::steady_timer untilCancelled(co_await net::this_coro::executor, TimePoint::max());
    co_await untilCancelled.async_wait(asTuple);
}

ReceiveError TargetConnection::toReceiveError(const SystemError &ec) const
{
    if (ec == beast::error::timeout) {
        return ReceiveError::Timeout;
    }
    const bool isHttpError = ec.category() == make_error_code(http::error::bad_line_ending).category();
    const bool endedEarly = ec == http::error::end_of_stream || ec == http::error::partial_message;
    return isHttpError && !endedEarly ? ReceiveError::Malformed : ReceiveError::ConnectionClosed;
}

// The loops over single steps are here, not in Beast's composed operations: these drop a cancellation that comes between two of their
// steps, and wait for the target then.
net::awaitable<SystemError> TargetConnection::receiveStep()
{
    SystemError ec = http::error::need_more;
    if (m_buffer.size() != 0) {
        const net::const_buffer received = m_buffer.cdata();
        const bool isInHeader = !m_parser->is_header_done();
        const std::size_t n = m_parser->put(received, ec);
        // The parser would append a line that begins with a blank to the field before: a broken Content-Length or Transfer-Encoding would
        // be passed on there, and not delimit the body. A field and its continuation lines are parsed in one step.
        if (isInHeader && hasFoldedLine({static_cast<const char *>(received.data()), n})) {
            co_return http::error::bad_field;
        }
        m_buffer.consume(n);
    }
    if (ec != http::error::need_more) {
        co_return ec;
    }
    const std::size_t room = beast::read_size(m_buffer, maxReadAhead);
    if (room == 0) {
        co_return http::error::buffer_overflow;
    }
    const auto [readError, n] = co_await m_stream.async_read_some(m_buffer.prepare(room), asTuple);
    if (readError == net::error::eof && m_parser->got_some()) {
        m_parser->put_eof(ec);
        co_return ec;
    }
    m_buffer.commit(n);
    co_return readError;
}

net::awaitable<std::optional<ReceiveError>> TargetConnection::receiveHeader(bool isHead, TimePoint deadline, HeaderVisitor visit)
{
    m_stream.expires_at(deadline);
    for (int i = 0; i < maxInformationalResponses; ++i) {
        m_parser.emplace();
        m_parser->header_limit(m_options.answerHeaderBytes);
        m_parser->body_limit(boost::none);
        m_parser->skip(isHead);
        SystemError ec;
        while (!ec && !m_parser->is_header_done()) {
            ec = co_await receiveStep();
        }
        m_hasReceivedBytes = m_hasReceivedBytes || m_parser->got_some();
        if (ec) {
            co_return toReceiveError(ec);
        }
        const unsigned status = m_parser->get().result_int();
        // The parser accepts any three digits, such as 000, which no HTTP status begins with.
        if (status < firstStatus || status > lastStatus || status == switchingProtocolsStatus
            || hasUnknownTransferCoding(m_parser->get())) {
            co_return ReceiveError::Malformed;
        }
        visit(m_parser->get());
        if (status >= firstFinalStatus) {
            if (m_parser->need_eof() && !m_options.acceptsUnframedResponses) {
                co_return ReceiveError::Unframed;
            }
            co_return std::nullopt;
        }
    }
    co_return ReceiveError::Malformed;
}

net::awaitable<std::optional<ReceiveError>> TargetConnection::receivePart(std::string &part, std::size_t limit, TimePoint deadline)
{
    if (m_parser->is_done()) {
        co_return std::nullopt;
    }
    // Resize no further than needed, since std::string zero-fills the new bytes.
    const std::uint64_t left = m_parser->content_length_remaining().value_or(std::max(part.size(), minReadBytes));
    const std::size_t room = std::min<std::uint64_t>(limit, std::max<std::uint64_t>(left, 1));
    const std::size_t start = part.size();
    part.resize(start + room);
    auto &body = m_parser->get().body();
    body.data = part.data() + start;
    body.size = room;
    body.more = true;
    m_stream.expires_at(deadline);
    SystemError ec;
    while (!ec && !m_parser->is_done()) {
        ec = co_await receiveStep();
    }
    part.resize(start + room - body.size);
    m_bodyBytes += room - body.size;
    if (ec && ec != http::error::need_buffer) {
        co_return toReceiveError(ec);
    }
    m_isCut = m_parser->is_done() && m_parser->need_eof() && !hasOrderlyEnd();
    co_return m_isCut ? std::optional(ReceiveError::ConnectionClosed) : std::nullopt;
}

// The kernel reports a reset once, to a send or to a receive. A receive that follows a failed send returns the end of the stream, so that
// alone doesn't tell a close from a reset. After a successful send of the whole request, no send can have taken the error; before that,
// only the state of the connection shows that the target has closed its side.
bool TargetConnection::hasOrderlyEnd()
{
    if (m_hasSentAll) {
        return true;
    }
    tcp_info info{};
    socklen_t n = sizeof(info);
    return ::getsockopt(m_stream.socket().native_handle(), IPPROTO_TCP, TCP_INFO, &info, &n) == 0 && info.tcpi_state == TCP_CLOSE_WAIT;
}

// A parser that has parsed a part of the header has consumed it from the buffer.
std::uint64_t TargetConnection::receivedBytes() const
{
    const std::uint64_t begun = m_hasReceivedBytes || (m_parser && m_parser->got_some()) ? 1 : 0;
    return begun + m_bodyBytes + m_buffer.size();
}

net::awaitable<bool> TargetConnection::waitForBytes(TimePoint deadline)
{
    net::steady_timer timer(co_await net::this_coro::executor, deadline);
    const auto isReadable = [this]() -> net::awaitable<bool> {
        const auto [ec] = co_await m_stream.socket().async_wait(Tcp::socket::wait_read, asTuple);
        co_return !ec;
    };
    const auto isDue = [&timer]() -> net::awaitable<void> { co_await timer.async_wait(asTuple); };
    const std::variant<bool, std::monostate> first = co_await (isReadable() || isDue());
    char byte = 0;
    co_return first.index() == 0 && std::get<0>(first) && ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

const http::response_header<> &TargetConnection::header() const
{
    return m_parser->get();
}

std::optional<std::uint64_t> TargetConnection::contentLength() const
{
    const auto length = m_parser->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

bool TargetConnection::isComplete() const
{
    return m_parser && m_parser->is_done() && !m_isCut;
}

bool TargetConnection::isReusable() const
{
    return isComplete() && m_hasSentAll && m_parser->keep_alive() && !hasExtraBytes();
}

void TargetConnection::close()
{
    if (m_stream.socket().is_open()) {
        setResetOnClose(!isComplete() || !m_hasSentAll);
    }
    m_stream.close();
}

Descriptor TargetConnection::release()
{
    m_stream.expires_never();
    setResetOnClose(false);
    SystemError ec;
    const int fd = m_stream.socket().release(ec);
    return ec ? Descriptor() : Descriptor(fd);
}

} // namespace Pollenspoke
