/// @file
/// A running Proxy with a small configuration, and a caller over raw sockets.
#pragma once

#include "scripted_target.h"

#include <pollenspoke/proxy.h>

namespace Pollenspoke {

inline const std::string testSecret = "secret-of-shop-1";

/// A caller's connection. Sends bytes as given and reads answers byte by byte, so that a test sees just what came.
class RawCaller
{
public:
    explicit RawCaller(std::uint16_t port);
    ~RawCaller();
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    struct Response
    {
        unsigned status = 0; // 0: nothing, or no whole header block, came
        std::string head;
        std::string body;     // chunked bodies are joined
        bool isWhole = false; // the end was proved by length or last chunk

        std::string header(const std::string &name) const { return ReceivedRequest{.head = head}.header(name); }
    };

    void send(std::string_view bytes);
    std::size_t sendWhatIsTaken(std::string_view bytes); // stops when nothing was taken for 300 ms; bytes sent
    Response readResponse(bool isHead = false);          // one answer, or what came of it before the connection ended or 20 s passed
    Response request(const std::string &method,          // a request with the test key
                     const std::string &path,
                     const std::string &body = "",
                     const std::string &extraHeaders = "");
    bool isClosedByOtherEnd();                       // waits up to 5 s for the end of the stream
    bool waitForBytes();                             // reads the first bytes of an answer and keeps them
    void finishSending();                            // end of stream to the proxy; answers can still be read
    std::string unread() const { return m_pending; } // bytes that came and belong to no whole answer
    void closeNow();

private:
    bool readMore();

    int m_fd = -1;
    std::string m_pending;
};

/// What differs between tests.
struct FixtureOptions
{
    std::vector<Address> targets; // one target each, t0, t1, ...; 2 slots
    ProxyOptions proxy;           // vm, failure domain and listen address are filled in
    std::string routeFields;      // more of the route's spec, such as ", deadline_ms: 500"
    std::string serviceFields;    // more of the service's spec
    std::string objects;          // more YAML documents
    Limits limits{.ratePerSecond = 1e5, .burst = 1e5};
};

/// Targets stay in the choice whatever they answered, so that a test meets a failing one again.
ProxyOptions withoutPauses();

/// A proxy on an own port; account shop-1 with testSecret, service work, route /work.
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

/// Waits up to 10 s for something that another thread brings about. False: it didn't happen.
bool eventually(const std::function<bool()> &holds);

} // namespace Pollenspoke
