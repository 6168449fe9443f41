/// @file
/// One connection to a target and one exchange on it: connect or take over, send, receive.
#pragma once

#include "connection_pool.h"
#include "http.h"

#include <optional>
#include <pollenspoke/proxy.h>

namespace Pollenspoke {

/// Why an answer can't be had on this connection.
enum class ReceiveFault {
    Timeout,        // nothing more before the time was up
    Cut,            // closed or reset before the end
    Malformed,      // not HTTP, or an upgrade nobody asked for
    LengthUnproved, // neither a length nor chunks: a part would look whole
};

struct ConnectionOptions
{
    std::uint32_t answerHeaderBytes = 65536; // header block of an answer
    bool acceptsUnframedResponses = false;   // an answer without a length may end with its connection
};

/// A request on its way out; it must outlive the sending.
using RequestSerializer = http::request_serializer<http::string_body>;

/// An exchange that ends before its whole answer is reset, so that the target learns of it at once, even with a part of the
/// request still on its way.
class TargetConnection
{
public:
    TargetConnection(net::any_io_executor executor, const ConnectionOptions &options);
    ~TargetConnection();

    net::awaitable<SystemError> connect(const Address &address, TimePoint giveUpAt);
    bool adopt(const Address &address, Descriptor descriptor); // an idle pooled connection; false: this Vm is out of descriptors

    /// Sends as much of the request as goes out at once, and returns how many bytes. Zero: no target can have seen any of it.
    net::awaitable<std::size_t> beginSend(RequestSerializer &request, TimePoint giveUpAt);

    /// Sends what beginSend() left. Never returns: run it beside the receiving, which ends it. A target may answer before
    /// it has read everything, or without reading it.
    net::awaitable<void> sendRest(RequestSerializer &request, TimePoint giveUpAt);

    /// Receives the header block of the final answer; informational answers are passed over.
    net::awaitable<std::optional<ReceiveFault>> receiveHeader(bool isHead, TimePoint giveUpAt);

    /// Appends the next bytes of the body to `part`, at most `limit`. The answer is whole once isWhole() holds.
    net::awaitable<std::optional<ReceiveFault>> receivePart(std::string &part, std::size_t limit, TimePoint giveUpAt);

    const http::response_header<> &header() const;
    std::optional<std::uint64_t> announcedLength() const; // nothing for chunked answers
    bool isWhole() const;                                 // the end was proved by length or last chunk
    bool hasSentAll() const { return m_hasSentAll; }
    bool hasReceivedBytes() const { return m_hasReceivedBytes; }
    bool hasSurplusBytes() const { return m_buffer.size() != 0; } // after the whole answer: belongs to no request
    bool mayBeReused() const;                                     // sent and received whole, kept open, no surplus
    Descriptor release();                                         // hands the open connection over

private:
    using Parser = http::response_parser<http::buffer_body>;

    void setResetOnClose(bool resets);
    ReceiveFault faultFor(const SystemError &ec) const;

    ConnectionOptions m_options;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    bool m_hasSentAll = false;
    bool m_hasReceivedBytes = false;
};

} // namespace Pollenspoke
