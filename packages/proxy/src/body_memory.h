/// @file
/// Bounds the bytes of all bodies that a Vm holds at once, and the form in which a request's body is held.
#pragma once

#include "http.h"

#include <map>
#include <mutex>
#include <pollenspoke/telemetry.h>
#include <vector>

namespace Pollenspoke {

/// Divides the memory for bodies. Thread-safe. Small bodies may use all of it. A part of it is kept from the others, so that uploads
/// don't turn small requests away; and an account that holds some already gets no more than half of it, so that those of one
/// account don't turn away those of another.
class BodyMemory
{
public:
    static constexpr std::uint64_t smallBodyBytes = 65536;
    static constexpr std::uint64_t smallBodyDivisor = 8; // of the limit: the part for small bodies
    static constexpr std::uint64_t accountDivisor = 2;   // of the limit: the most of an account with several bodies

    BodyMemory(std::uint64_t limitBytes, Metrics &metrics);

    /// Takes `n` bytes for a body that holds `held` already. False: there is no room for them now.
    bool take(const AccountName &account, std::uint64_t held, std::uint64_t n);
    void give(const AccountName &account, std::uint64_t n);
    std::uint64_t heldBytes() const;

private:
    const std::uint64_t m_limit;
    Metrics &m_metrics;
    mutable std::mutex m_mutex;
    std::uint64_t m_held = 0;
    std::map<AccountName, std::uint64_t> m_heldByAccount;
};

/// The memory that one body has taken. Gives it back when destroyed. The default takes any number of bytes from nowhere.
class BodyLease
{
public:
    BodyLease() = default;
    BodyLease(BodyMemory &memory, AccountName account);
    ~BodyLease();
    BodyLease(BodyLease &&other) noexcept;
    BodyLease &operator=(BodyLease &&other) noexcept;

    bool coverUpTo(std::uint64_t bytes); // false: no room; what it has stays

private:
    BodyMemory *m_memory = nullptr;
    AccountName m_account;
    std::uint64_t m_bytes = 0;
};

/// The body of a request in blocks, each allocated once, so that a growing body is never copied.
struct HeldBody
{
    static constexpr std::size_t blockBytes = 262144;

    std::vector<std::string> blocks; // all but the last one are full
    std::uint64_t bytes = 0;         // of all blocks
    BodyLease lease;

    void append(const char *data, std::size_t n);
};

// NOLINTBEGIN(readability-identifier-naming): names that Boost.Beast prescribes

/// Body of a Beast message that is received into a HeldBody. Fails with net::error::no_memory if there is no room for it.
struct ReceivedBody
{
    using value_type = HeldBody;

    static std::uint64_t size(const value_type &body) { return body.bytes; }

    class reader
    {
    public:
        template<bool isRequest, typename Fields>
        reader(http::header<isRequest, Fields> & /*header*/, value_type &body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t> &length, SystemError &ec)
        {
            const bool hasRoom = m_body.lease.coverUpTo(length.value_or(0));
            ec = hasRoom ? SystemError() : SystemError(net::error::no_memory);
        }

        template<typename Buffers>
        std::size_t put(const Buffers &buffers, SystemError &ec)
        {
            const std::size_t n = beast::buffer_bytes(buffers);
            if (!m_body.lease.coverUpTo(m_body.bytes + n)) {
                ec = net::error::no_memory;
                return 0;
            }
            for (const net::const_buffer it : beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char *>(it.data()), it.size());
            }
            ec = {};
            return n;
        }

        static void finish(SystemError &ec) { ec = {}; }

    private:
        value_type &m_body;
    };
};

/// Body of a Beast message that sends a HeldBody, which must outlive the message.
struct SentBody
{
    using value_type = const HeldBody *; // null: empty

    static std::uint64_t size(value_type body) { return body == nullptr ? 0 : body->bytes; }

    class writer
    {
    public:
        using const_buffers_type = net::const_buffer;

        template<bool isRequest, typename Fields>
        writer(const http::header<isRequest, Fields> & /*header*/, const value_type &body)
            : m_body(body)
        {
        }

        static void init(SystemError &ec) { ec = {}; }

        boost::optional<std::pair<const_buffers_type, bool>> get(SystemError &ec)
        {
            ec = {};
            if (m_body == nullptr || m_next == m_body->blocks.size()) {
                return boost::none;
            }
            const std::string &block = m_body->blocks[m_next++];
            return std::pair(net::const_buffer(block.data(), block.size()), m_next < m_body->blocks.size());
        }

    private:
        value_type m_body;
        std::size_t m_next = 0;
    };
};

// NOLINTEND(readability-identifier-naming)

} // namespace Pollenspoke
