/// @file
/// Writes responses to a caller's connection.
#pragma once

#include "refusal.h"

namespace Pollenspoke {

/// Properties of the request that determine how its response is written.
struct ReplyContext
{
    std::string requestId;
    unsigned httpVersion = 11;      // of the request, 10 or 11
    bool isHead = false;            // HEAD request: the response has no body
    bool keepsConnection = true;    // keep-alive
    std::function<bool()> isEnding; // asked when a response begins: closes the connection after it
    Duration writeTimeout{};        // of each write
};

class ReplyWriter
{
public:
    ReplyWriter(beast::tcp_stream &stream, ReplyContext context, const WireContract &contract);

    net::awaitable<bool> sendRefusal(const Refusal &refusal);

    /// Sends a completely buffered response of a target.
    net::awaitable<bool> sendWhole(const http::response_header<> &header, std::string body, bool hasNoBody);

    /// Streaming of a target's response. Without a known length it is sent with chunked encoding, which HTTP/1.0 callers don't
    /// support.
    bool canStream(bool hasLength) const { return hasLength || m_context.httpVersion != 10; }
    net::awaitable<bool> beginStream(const http::response_header<> &header, std::optional<std::uint64_t> length);
    net::awaitable<bool> sendPart(std::string_view part);
    net::awaitable<bool> endStream();
    void resetConnection(); // so that a truncated response can't be mistaken for a complete one

    bool hasStarted() const { return m_hasStarted; }
    bool isReset() const { return m_isReset; } // resetConnection() was called
    bool keepsConnection() const { return m_context.keepsConnection; }

private:
    void setConnectionHeader(http::response_header<> &header);
    http::response_header<> copyHeader(const http::response_header<> &header) const;

    template<typename Body>
    net::awaitable<bool> write(http::response<Body> &response);

    beast::tcp_stream &m_stream;
    ReplyContext m_context;
    const WireContract &m_contract;
    bool m_hasStarted = false;
    bool m_isReset = false;
    bool m_isChunked = false;
};

} // namespace Pollenspoke
