/// @file
/// A target over real sockets whose every connection is driven by a script, so that a test can bring about any fault.
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

/// One request as its bytes came.
struct ReceivedRequest
{
    std::string head; // request line and headers, with the empty line
    std::string body;

    std::string header(const std::string &name) const; // empty: absent
    std::string method() const { return head.substr(0, head.find(' ')); }
};

/// One accepted connection, used by the script on a thread of its own. All calls block.
class AcceptedConnection
{
public:
    using NoteBytes = std::function<void(std::string_view)>;

    AcceptedConnection(int fd, std::size_t number, const std::atomic<bool> &isStopping, NoteBytes noteBytes);
    ~AcceptedConnection();
    AcceptedConnection(const AcceptedConnection &) = delete;
    AcceptedConnection &operator=(const AcceptedConnection &) = delete;

    std::size_t number() const { return m_number; }                // 0 for the first connection of the target
    std::optional<ReceivedRequest> readRequest();                  // nothing: the other end closed
    std::optional<std::string> readSome(std::size_t most = 65536); // raw bytes
    bool readBytes(std::size_t n);                                 // just so many; false: the other end closed before
    void send(std::string_view bytes);
    void answer(const ReceivedRequest &request, const std::string &body, bool echoesId = true); // 200 with Content-Length
    void closeNow();                                                                            // FIN
    void reset();                                                                               // RST
    void readUntilClose();               // until the other end closes or the target stops
    void waitForCloseWithoutReading();   // the same, leaving what comes in the socket's buffer
    bool waitForClose(Duration longest); // true: the other end closed or reset

private:
    int m_fd;
    std::size_t m_number;
    const std::atomic<bool> &m_isStopping;
    NoteBytes m_noteBytes;
    std::string m_pending;
};

/// The text of a whole 200 answer.
std::string makeResponse(const std::string &body, const std::string &extraHeaders = "");

/// What differs from an ordinary listening socket.
struct ListenOptions
{
    int receiveBufferBytes = 0; // of each accepted connection; 0: the system's
};

/// Listens on 127.0.0.1 and runs the script once for each connection.
class ScriptedTarget
{
public:
    using Script = std::function<void(AcceptedConnection &)>;

    explicit ScriptedTarget(Script script, ListenOptions options = {});
    ~ScriptedTarget();
    ScriptedTarget(const ScriptedTarget &) = delete;
    ScriptedTarget &operator=(const ScriptedTarget &) = delete;

    Address address() const { return {.ip = "127.0.0.1", .port = m_port}; }
    std::size_t connections() const { return m_connections; }
    void recordRequest(const ReceivedRequest &request); // scripts call it for each request that requests() is to return
    std::vector<ReceivedRequest> requests() const;
    std::vector<std::string> received() const; // every byte that scripts read, one entry for each connection
    std::size_t connectionsWithBytes() const;  // those of which a script read at least one byte

private:
    void acceptLoop();

    Script m_script;
    std::uint16_t m_port = 0;
    int m_listener = -1; // sets m_port
    std::atomic<bool> m_isStopping{false};
    std::atomic<std::size_t> m_connections{0};
    mutable std::mutex m_mutex;
    std::vector<ReceivedRequest> m_requests;
    std::vector<std::string> m_received;
    std::list<std::thread> m_peers; // touched by the accepting thread only, until it ended
    std::thread m_thread;
};

/// Answers every request whole, echoes its id, and keeps the connection.
ScriptedTarget::Script wellBehaved(std::string body = "well");

/// A port on which nothing listens.
Address closedPortAddress();

/// A listening socket whose queue is full, so that further connections are neither accepted nor refused.
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
    int m_listener = -1; // sets m_port
    std::vector<int> m_fillers;
};

} // namespace Pollenspoke
