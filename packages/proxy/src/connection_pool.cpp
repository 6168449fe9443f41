#include "connection_pool.h"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Pollenspoke {

Descriptor::Descriptor(int fd)
    : m_fd(fd)
{
}

Descriptor::Descriptor(Descriptor &&other) noexcept
    : m_fd(std::exchange(other.m_fd, -1))
{
}

Descriptor &Descriptor::operator=(Descriptor &&other) noexcept
{
    std::swap(m_fd, other.m_fd);
    return *this;
}

Descriptor::~Descriptor()
{
    if (m_fd >= 0) {
        ::close(m_fd);
    }
}

int Descriptor::release()
{
    return std::exchange(m_fd, -1);
}

bool Descriptor::isIdle() const
{
    char buf = 0;
    const ssize_t n = ::recv(m_fd, &buf, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

ConnectionPool::ConnectionPool(Metrics &metrics)
    : m_metrics(metrics)
{
}

void ConnectionPool::countDiscarded(std::size_t n)
{
    m_metrics.count(Counter::ConnectionsDiscarded, n);
    m_metrics.addGauge(Gauge::PooledConnections, -static_cast<std::int64_t>(n));
}

void ConnectionPool::trim(std::vector<Idle> &idle, std::size_t limit)
{
    if (idle.size() > limit) {
        const std::size_t n = idle.size() - limit;
        idle.erase(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(n));
        countDiscarded(n);
    }
}

void ConnectionPool::put(const TargetId &id, Descriptor descriptor, TimePoint now, std::size_t limit)
{
    const std::lock_guard lock(m_mutex);
    std::vector<Idle> &idle = m_idle[id];
    idle.push_back(Idle{.descriptor = std::move(descriptor), .lastResponseAt = now});
    m_metrics.addGauge(Gauge::PooledConnections, 1);
    trim(idle, limit);
}

void ConnectionPool::closeExcess(const TargetId &id, std::size_t limit)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_idle.find(id);
    if (it != m_idle.end()) {
        trim(it->second, limit);
    }
}

Descriptor ConnectionPool::take(const TargetId &id, TimePoint now, Duration maxIdle)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_idle.find(id);
    if (it == m_idle.end()) {
        return {};
    }
    std::vector<Idle> &idle = it->second;
    while (!idle.empty()) {
        Idle newest = std::move(idle.back());
        idle.pop_back();
        if (now - newest.lastResponseAt <= maxIdle && newest.descriptor.isIdle()) {
            m_metrics.addGauge(Gauge::PooledConnections, -1);
            return std::move(newest.descriptor);
        }
        countDiscarded(1);
    }
    return {};
}

std::size_t ConnectionPool::discardOlderThan(const TargetId &id, TimePoint lastResponseAt)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_idle.find(id);
    if (it == m_idle.end()) {
        return 0;
    }
    const std::size_t n = std::erase_if(it->second, [lastResponseAt](const Idle &idle) { return idle.lastResponseAt < lastResponseAt; });
    countDiscarded(n);
    return n;
}

void ConnectionPool::discardAll(const TargetId &id)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_idle.find(id);
    if (it != m_idle.end()) {
        countDiscarded(it->second.size());
        m_idle.erase(it);
    }
}

void ConnectionPool::discardExpired(TimePoint now, Duration maxIdle)
{
    const std::lock_guard lock(m_mutex);
    for (auto &[id, idle] : m_idle) {
        countDiscarded(std::erase_if(idle, [now, maxIdle](const Idle &it) { return now - it.lastResponseAt > maxIdle; }));
    }
    std::erase_if(m_idle, [](const auto &it) { return it.second.empty(); });
}

void ConnectionPool::clear()
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[id, idle] : m_idle) {
        countDiscarded(idle.size());
    }
    m_idle.clear();
}

} // namespace Pollenspoke
