/// @file
/// One request/response exchange on a new or pooled connection to a target.
#pragma once

#include "body_memory.h"
#include "connection_pool.h"
#include "http.h"

#include <functional>
#include <optional>
#include <pollenspoke/proxy.h>

namespace Pollenspoke {

/// Reason why receiving a response failed.
enum class ReceiveError {
    Timeout,          // deadline reached
    ConnectionClosed, // closed or reset before the response was complete
    Malformed,        // invalid HTTP, or an unrequested upgrade
    Unframed,         // neither Content-Length nor chunked: truncation can't be detected
};

struct ConnectionOptions
{
    std::uint32_t answerHeaderBytes = 65536; // limit of the response header block
    bool acceptsUnframedResponses = false;   // a response body may be delimited by connection close
};

/// Serializer of a request. It must outlive the send operations.
using RequestSerializer = http::request_serializer<SentBody>;

/// Destroying the object before the exchange is complete resets the connection, so that the target notices at once even if
/// it hasn't received the whole request.
class TargetConnection
{
public:
    TargetConnection(net::any_io_executor executor, const ConnectionOptions &options);
    ~TargetConnection();

    net::awaitable<SystemError> connect(const Address &address, TimePoint deadline);
    bool adopt(const Address &address, Descriptor descriptor); // takes over a pooled connection; false: this Vm is out of descriptors

    /// Sends as much of the request as a single write accepts and returns the number of bytes. Zero means that the target has
    /// received nothing of the request.
    net::awaitable<std::size_t> beginSend(RequestSerializer &request, TimePoint deadline);

    /// Sends the rest of the request and then waits until cancelled. Run it in parallel with receiving, since a target may respond
    /// before it has read the whole request.
    net::awaitable<void> sendRemaining(RequestSerializer &request, TimePoint deadline);

    using HeaderVisitor = std::function<void(const http::response_header<> &)>;

    /// Receives the header block of the final response. Informational (1xx) responses are skipped. Calls `visit` with each header
    /// block, also those of informational responses.
    net::awaitable<std::optional<ReceiveError>> receiveHeader(bool isHead, TimePoint deadline, HeaderVisitor visit);

    /// Appends up to `limit` bytes of the body to `part`. Repeat until isComplete().
    net::awaitable<std::optional<ReceiveError>> receivePart(std::string &part, std::size_t limit, TimePoint deadline);

    const http::response_header<> &header() const;
    std::optional<std::uint64_t> contentLength() const; // nullopt for chunked responses
    bool isComplete() const;                            // end reached by length, last chunk or permitted close
    bool hasSentAll() const { return m_hasSentAll; }
    bool hasReceivedBytes() const { return m_hasReceivedBytes; } // as of the last operation that has ended
    std::uint64_t receivedBytes() const;                         // of the response, also during an operation

    /// Waits until there is something to read. False: the connection was closed or reset, or the deadline was reached.
    net::awaitable<bool> waitForBytes(TimePoint deadline);
    bool hasExtraBytes() const { return m_buffer.size() != 0; } // received after the end of the response
    bool isReusable() const;                                    // exchange complete, keep-alive, no extra bytes
    void close();                                               // ends a pending operation; resets the connection if it is incomplete
    Descriptor release();                                       // transfers ownership of the open socket

private:
    using Parser = http::response_parser<http::buffer_body>;

    net::awaitable<SystemError> receiveStep(); // parses what was received, or receives more if the parser needs it
    void setResetOnClose(bool resets);
    bool hasOrderlyEnd(); // the end of the stream that was received is a close by the target, not a reset
    ReceiveError toReceiveError(const SystemError &ec) const;

    ConnectionOptions m_options;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    bool m_hasSentAll = false;
    bool m_hasReceivedBytes = false;
    bool m_isCut = false; // a body without length ended by what may have been a reset
    std::uint64_t m_bodyBytes = 0;
};

} // namespace Pollenspoke
