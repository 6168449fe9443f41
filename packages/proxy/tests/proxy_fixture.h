/// @file
/// A running Proxy with a small configuration, and a caller on a raw socket.
#pragma once

#include "scripted_target.h"

#include <pollenspoke/proxy.h>

namespace Pollenspoke {

inline const std::string testSecret = "secret-of-shop-1";

/// A caller's connection. Sends bytes unchanged and parses responses itself, so that a test sees exactly what was received.
class RawCaller
{
public:
    explicit RawCaller(std::uint16_t port);
    ~RawCaller();
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    struct Response
    {
        unsigned status = 0; // 0: no complete header block was received
        std::string head;
        std::string body;        // without the chunked encoding
        bool isComplete = false; // body received up to Content-Length or the last chunk

        std::string header(const std::string &name) const { return ReceivedRequest{.head = head}.header(name); }
    };

    void send(std::string_view bytes);
    std::size_t sendUntilBlocked(std::string_view bytes); // stops after blocking for 300 ms; returns the bytes sent
    Response readResponse(bool isHead = false);           // one response, or the part received before the connection ended or 20 s passed
    Response request(const std::string &method,           // sends a request with the test key and reads the response
                     const std::string &path,
                     const std::string &body = "",
                     const std::string &extraHeaders = "");
    bool isClosedByProxy();                              // waits up to 5 s for end of stream or reset
    bool waitForBytes();                                 // buffers the first bytes of a response
    void shutdownWrite();                                // half-closes the connection; responses can still be read
    std::string unreadBytes() const { return m_buffer; } // received, but not yet returned in a response
    void closeNow();

private:
    bool readMore();

    int m_fd = -1;
    std::string m_buffer;
};

/// The parts of the configuration that vary between tests.
struct FixtureOptions
{
    std::vector<Address> targets; // named t0, t1, ..., with 2 slots each
    ProxyOptions proxy;           // the fixture sets vm, failure domain, listen address and workers
    std::string routeFields;      // further fields of the route's spec, such as ", deadline_ms: 500"
    std::string serviceFields;    // further fields of the service's spec
    std::string objects;          // further YAML documents
    Limits limits{.ratePerSecond = 1e5, .burst = 1e5};
};

/// Options with which a failing target stays eligible, so that a test can reach it again.
ProxyOptions withoutTargetPauses();

/// A proxy on a port of its own, with account shop-1 (key testSecret), service work and route /work.
class ProxyFixture
{
public:
    explicit ProxyFixture(FixtureOptions options);

    std::uint16_t port() const { return m_proxy.port(); }
    Proxy &proxy() { return m_proxy; }
    Metrics &metrics() { return m_metrics; }
    void apply(const std::string &yaml, std::uint64_t revision); // replaces the whole configuration
    std::string yaml() const { return m_yaml; }

private:
    SteadyClock m_clock;
    Metrics m_metrics;
    LocalAdmission m_admission;
    std::string m_yaml;
    Proxy m_proxy;
};

/// Polls for up to 10 s until the condition holds. False: timed out.
bool eventually(const std::function<bool()> &condition);

} // namespace Pollenspoke
