/// @file
/// Pool of idle connections to targets, shared by all workers. Connections are stored as plain file descriptors, as they are not
/// bound to a worker's event loop.
#pragma once

#include "target_table.h"

#include <pollenspoke/telemetry.h>

namespace Pollenspoke {

/// RAII wrapper of a socket descriptor.
class Descriptor
{
public:
    Descriptor() = default;
    explicit Descriptor(int fd);
    Descriptor(Descriptor &&other) noexcept;
    Descriptor &operator=(Descriptor &&other) noexcept;
    ~Descriptor();

    bool isOpen() const { return m_fd >= 0; }
    int fd() const { return m_fd; }
    int release(); // transfers ownership to the calling code

    /// Whether the connection is open and has no unread input.
    bool isIdle() const;

private:
    int m_fd = -1;
};

class ConnectionPool
{
public:
    explicit ConnectionPool(Metrics &metrics);

    void put(const TargetId &id, Descriptor descriptor, TimePoint now, std::size_t limit); // closes the oldest connections above the limit
    void closeExcess(const TargetId &id, std::size_t limit);                               // closes the oldest connections above the limit
    Descriptor take(const TargetId &id, TimePoint now, Duration maxIdle);       // most recently used idle one; closes unusable ones
    std::size_t discardOlderThan(const TargetId &id, TimePoint lastResponseAt); // returns the number of connections closed
    void discardAll(const TargetId &id);
    void discardExpired(TimePoint now, Duration maxIdle);
    void clear();

private:
    struct Idle
    {
        Descriptor descriptor;
        TimePoint lastResponseAt;
    };

    void trim(std::vector<Idle> &idle, std::size_t limit);
    void countDiscarded(std::size_t n);

    Metrics &m_metrics;
    std::mutex m_mutex;
    std::map<TargetId, std::vector<Idle>> m_idle; // oldest first
};

} // namespace Pollenspoke
