#include "reply_writer.h"

#include "guards.h"

namespace Pollenspoke {

ReplyWriter::ReplyWriter(beast::tcp_stream &stream, ReplyContext context, const WireContract &contract)
    : m_stream(stream)
    , m_context(std::move(context))
    , m_contract(contract)
{
}

http::response_header<> ReplyWriter::copyHeader(const http::response_header<> &header) const
{
    http::response_header<> copy;
    copy.version(11);
    copy.result(header.result_int());
    copy.reason(header.reason());
    for (const auto &it : header) {
        const std::string_view name = toView(it.name_string());
        if (!isHopByHopHeader(name, header) && !beast::iequals(it.name_string(), toBeast(m_contract.runHeader))) {
            copy.insert(it.name_string(), it.value());
        }
    }
    copy.set(toBeast(m_contract.requestIdHeader), m_context.requestId);
    return copy;
}

void ReplyWriter::setConnectionHeader(http::response_header<> &header)
{
    m_context.keepsConnection = m_context.keepsConnection && !(m_context.isEnding && m_context.isEnding());
    if (!m_context.keepsConnection) {
        header.set(http::field::connection, "close");
    } else if (m_context.httpVersion == 10) {
        header.set(http::field::connection, "keep-alive");
    }
}

template<typename Body>
net::awaitable<bool> ReplyWriter::write(http::response<Body> &response)
{
    m_hasStarted = true;
    m_stream.expires_after(m_context.writeTimeout);
    const auto [ec, n] = co_await http::async_write(m_stream, response, asTuple);
    co_return !ec;
}

net::awaitable<bool> ReplyWriter::sendRefusal(const Refusal &refusal)
{
    m_context.keepsConnection = m_context.keepsConnection && !refusal.closesConnection;
    http::response<http::string_body> response = makeRefusalResponse(refusal, m_context.requestId, m_contract);
    setConnectionHeader(response);
    if (m_context.isHead) {
        response.body().clear(); // Content-Length stays set
    }
    co_return co_await write(response);
}

net::awaitable<bool> ReplyWriter::sendWhole(const http::response_header<> &header, std::string body, bool hasNoBody)
{
    http::response<http::string_body> response(copyHeader(header));
    setConnectionHeader(response);
    if (!hasNoBody) {
        response.erase(http::field::content_length);
        response.body() = std::move(body);
        response.content_length(response.body().size());
    }
    co_return co_await write(response);
}

net::awaitable<bool> ReplyWriter::beginStream(const http::response_header<> &header, std::optional<std::uint64_t> length)
{
    http::response<http::empty_body> response(copyHeader(header));
    setConnectionHeader(response);
    response.erase(http::field::content_length);
    m_isChunked = !length;
    if (length) {
        response.content_length(*length);
    } else {
        response.chunked(true);
    }
    m_hasStarted = true;
    http::response_serializer<http::empty_body> serializer(response);
    m_stream.expires_after(m_context.writeTimeout);
    const auto [ec, n] = co_await http::async_write_header(m_stream, serializer, asTuple);
    co_return !ec;
}

net::awaitable<bool> ReplyWriter::sendPart(std::string_view part)
{
    if (part.empty()) {
        co_return true;
    }
    m_stream.expires_after(m_context.writeTimeout);
    const net::const_buffer buf(part.data(), part.size());
    if (m_isChunked) {
        const auto [ec, n] = co_await net::async_write(m_stream, http::make_chunk(buf), asTuple);
        co_return !ec;
    }
    const auto [ec, n] = co_await net::async_write(m_stream, buf, asTuple);
    co_return !ec;
}

net::awaitable<bool> ReplyWriter::endStream()
{
    if (!m_isChunked) {
        co_return true;
    }
    m_stream.expires_after(m_context.writeTimeout);
    const auto [ec, n] = co_await net::async_write(m_stream, http::make_chunk_last(), asTuple);
    co_return !ec;
}

void ReplyWriter::resetConnection()
{
    m_context.keepsConnection = false;
    m_isReset = true;
    SystemError ec;
    m_stream.socket().set_option(net::socket_base::linger(true, 0), ec);
    m_stream.socket().close(ec);
}

} // namespace Pollenspoke
