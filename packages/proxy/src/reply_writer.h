/// @file
/// Writes answers to one caller's connection.
#pragma once

#include "refusal.h"

namespace Pollenspoke {

/// What a reply depends on besides the answer itself.
struct ReplyContext
{
    std::string requestId;
    unsigned httpVersion = 11;   // 10 or 11, of the request
    bool isHead = false;         // the request's method: answers have no body
    bool keepsConnection = true; // the caller may send another request on it
    Duration writeTimeout{};     // without progress
};

class ReplyWriter
{
public:
    ReplyWriter(beast::tcp_stream &stream, ReplyContext context, const WireContract &contract);

    net::awaitable<bool> sendRefusal(const Refusal &refusal);

    /// A target's whole answer.
    net::awaitable<bool> sendWhole(const http::response_header<> &header, std::string body, bool hasNoBody);

    /// A target's answer passed on as it comes. Without a length it goes out in chunks, which HTTP/1.0 callers can't take.
    bool canStream(bool hasLength) const { return hasLength || m_context.httpVersion != 10; }
    net::awaitable<bool> beginStream(const http::response_header<> &header, std::optional<std::uint64_t> length);
    net::awaitable<bool> sendPart(std::string_view part);
    net::awaitable<bool> endStream();
    void cut(); // resets the connection, so that the part already sent can't look whole

    bool hasBegun() const { return m_hasBegun; }
    bool keepsConnection() const { return m_context.keepsConnection; }

private:
    void setConnectionHeader(http::response_header<> &header) const;
    http::response_header<> copyHeader(const http::response_header<> &header) const;

    template<typename Body>
    net::awaitable<bool> write(http::response<Body> &answer);

    beast::tcp_stream &m_stream;
    ReplyContext m_context;
    const WireContract &m_contract;
    bool m_hasBegun = false;
    bool m_isChunked = false;
};

} // namespace Pollenspoke
