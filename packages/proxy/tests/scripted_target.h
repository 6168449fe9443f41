/// @file
/// A target on real sockets. A script drives each of its connections, so that a test can produce any fault.
#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <pollenspoke/base.h>
#include <string>
#include <thread>
#include <vector>

namespace Pollenspoke {

/// A request as received, without normalization.
struct ReceivedRequest
{
    std::string head; // request line and headers, up to and including the empty line
    std::string body;

    std::string header(const std::string &name) const; // empty if absent
    std::string method() const { return head.substr(0, head.find(' ')); }
};

/// An accepted connection. The script uses it on a dedicated thread; all calls block.
class AcceptedConnection
{
public:
    using BytesCallback = std::function<void(std::string_view)>;

    AcceptedConnection(int fd, std::size_t number, const std::atomic<bool> &isStopping, BytesCallback onBytes);
    ~AcceptedConnection();
    AcceptedConnection(const AcceptedConnection &) = delete;
    AcceptedConnection &operator=(const AcceptedConnection &) = delete;

    std::size_t number() const { return m_number; }                    // index in the order of acceptance, from 0
    std::optional<ReceivedRequest> readRequest();                      // nullopt: closed by the proxy
    std::optional<ReceivedRequest> readHead();                         // leaves the body unread; nullopt: closed by the proxy
    std::optional<std::string> readSome(std::size_t maxBytes = 65536); // as received; nullopt: closed by the proxy
    bool readBytes(std::size_t n);                                     // reads exactly n; false: closed by the proxy before that
    void send(std::string_view bytes);
    void respond(const ReceivedRequest &request, const std::string &body, bool echoesId = true); // 200 with Content-Length
    void shutdownWrite();                                                                        // FIN; input can still be read
    void closeNow();                                                                             // FIN, or RST if input is unread
    void reset();                                                                                // RST
    void readUntilClose();               // discards input until the proxy closes or the target is destroyed
    void waitForCloseWithoutReading();   // leaves input in the receive buffer, so that the window fills up
    bool waitForClose(Duration timeout); // discards input; true: closed or reset by the proxy

private:
    int m_fd;
    std::size_t m_number;
    const std::atomic<bool> &m_isStopping;
    BytesCallback m_onBytes;
    std::string m_buffer;
};

/// A complete 200 response with Content-Length.
std::string makeResponse(const std::string &body, const std::string &extraHeaders = "");

/// Options of the listening socket.
struct ListenOptions
{
    int receiveBufferBytes = 0; // of each accepted connection; 0: system default
};

/// Listens on 127.0.0.1 and runs the script once per accepted connection.
class ScriptedTarget
{
public:
    using Script = std::function<void(AcceptedConnection &)>;

    explicit ScriptedTarget(Script script, ListenOptions options = {});
    ~ScriptedTarget();
    ScriptedTarget(const ScriptedTarget &) = delete;
    ScriptedTarget &operator=(const ScriptedTarget &) = delete;

    Address address() const { return {.ip = "127.0.0.1", .port = m_port}; }
    std::size_t connectionCount() const { return m_connectionCount; }
    void recordRequest(const ReceivedRequest &request); // called by scripts; adds to requests()
    std::vector<ReceivedRequest> requests() const;
    std::vector<std::string> receivedBytes() const; // all bytes that scripts read, one entry per connection
    std::size_t connectionsWithBytes() const;       // on which a script read at least one byte

private:
    void acceptLoop();

    Script m_script;
    std::uint16_t m_port = 0;
    int m_listener = -1; // its initializer sets m_port
    std::atomic<bool> m_isStopping{false};
    std::atomic<std::size_t> m_connectionCount{0};
    mutable std::mutex m_mutex;
    std::vector<ReceivedRequest> m_requests;
    std::vector<std::string> m_receivedBytes;
    std::list<std::thread> m_connectionThreads; // used only by m_thread until it has been joined
    std::thread m_thread;
};

/// Sends a complete response to every request, echoes the request id, and keeps the connection open.
ScriptedTarget::Script healthyScript(std::string body = "healthy");

/// An address that refuses connections, since nothing listens on its port.
Address closedPortAddress();

/// A listening socket whose backlog is full: further connection attempts are neither accepted nor refused.
class UnansweredListener
{
public:
    UnansweredListener();
    ~UnansweredListener();
    UnansweredListener(const UnansweredListener &) = delete;
    UnansweredListener &operator=(const UnansweredListener &) = delete;

    Address address() const { return {.ip = "127.0.0.1", .port = m_port}; }

private:
    std::uint16_t m_port = 0;
    int m_listener = -1; // its initializer sets m_port
    std::vector<int> m_queuedSockets;
};

} // namespace Pollenspoke
