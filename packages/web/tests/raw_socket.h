/// @file
/// TCP sockets for tests that send or inspect exact bytes.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace Pollenspoke {

/// A TCP connection. Reads time out after 5 s.
class RawSocket
{
public:
    explicit RawSocket(int fd);
    static RawSocket connectTo(std::uint16_t port);
    ~RawSocket();
    RawSocket(RawSocket &&other) noexcept;
    RawSocket &operator=(RawSocket &&) = delete;
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    void send(const std::string &bytes);
    void shutdownWrite();                                // half-closes the connection
    std::string readUntil(const std::string &delimiter); // includes the delimiter, unless the stream ended or timed out
    std::string readRest(bool &hasEnded);                // up to the end of the stream; hasEnded: false on time-out

private:
    int m_fd;
};

/// Listens on 127.0.0.1 and runs the script for each connection in turn. `number` is the index of the connection, from 0.
class RawServer
{
public:
    using Script = std::function<void(RawSocket &, int number)>;

    explicit RawServer(Script script);
    ~RawServer();
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    std::uint16_t port() const { return m_port; }

private:
    void run();

    Script m_script;
    std::uint16_t m_port = 0;
    int m_listener;
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
};

/// Returns a port on 127.0.0.1 that is currently free.
std::uint16_t findFreePort();

} // namespace Pollenspoke
