#include "body_memory.h"

#include <algorithm>
#include <limits>

namespace Pollenspoke {

BodyMemory::BodyMemory(std::uint64_t limitBytes, Metrics &metrics)
    : m_limit(limitBytes)
    , m_metrics(metrics)
{
}

bool BodyMemory::take(const AccountName &account, std::uint64_t held, std::uint64_t n)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_heldByAccount.find(account);
    const std::uint64_t heldByAccount = it == m_heldByAccount.end() ? 0 : it->second;
    const bool isSmall = held + n <= smallBodyBytes;
    const bool hasOthers = heldByAccount > held;
    const std::uint64_t room = m_limit - (isSmall ? 0 : m_limit / smallBodyDivisor);
    if (m_held + n > room || (!isSmall && hasOthers && heldByAccount + n > m_limit / accountDivisor)) {
        return false;
    }
    m_held += n;
    m_heldByAccount[account] += n;
    m_metrics.setGauge(Gauge::BodyBytes, static_cast<std::int64_t>(m_held));
    return true;
}

void BodyMemory::give(const AccountName &account, std::uint64_t n)
{
    const std::lock_guard lock(m_mutex);
    m_held -= n;
    const auto it = m_heldByAccount.find(account);
    it->second -= n;
    if (it->second == 0) {
        m_heldByAccount.erase(it);
    }
    m_metrics.setGauge(Gauge::BodyBytes, static_cast<std::int64_t>(m_held));
}

std::uint64_t BodyMemory::heldBytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_held;
}

BodyLease::BodyLease(BodyMemory &memory, AccountName account)
    : m_memory(&memory)
    , m_account(std::move(account))
{
}

BodyLease::~BodyLease()
{
    if (m_memory != nullptr && m_bytes > 0) {
        m_memory->give(m_account, m_bytes);
    }
}

BodyLease::BodyLease(BodyLease &&other) noexcept
    : m_memory(std::exchange(other.m_memory, nullptr))
    , m_account(std::move(other.m_account))
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

BodyLease &BodyLease::operator=(BodyLease &&other) noexcept
{
    std::swap(m_memory, other.m_memory);
    std::swap(m_account, other.m_account);
    std::swap(m_bytes, other.m_bytes);
    return *this;
}

bool BodyLease::coverUpTo(std::uint64_t bytes)
{
    if (m_memory == nullptr || bytes <= m_bytes) {
        return true;
    }
    if (!m_memory->take(m_account, m_bytes, bytes - m_bytes)) {
        return false;
    }
    m_bytes = bytes;
    return true;
}

void HeldBody::append(const char *data, std::size_t n)
{
    while (n > 0) {
        if (blocks.empty() || blocks.back().size() == blockBytes) {
            blocks.emplace_back();
            blocks.back().reserve(bytes == 0 ? std::min(n, blockBytes) : blockBytes); // a small body comes in one piece
        }
        const std::size_t part = std::min(n, blockBytes - blocks.back().size());
        blocks.back().append(data, part);
        data += part;
        n -= part;
        bytes += part;
    }
}

} // namespace Pollenspoke
