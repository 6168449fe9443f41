/// @file
/// Address list for callers: the Vms that an account should connect to.
#pragma once

#include <mutex>
#include <pollenspoke/proxy.h>

namespace Pollenspoke {

inline constexpr std::string_view addressAnswerPath = "/.well-known/pollenspoke/addresses";

class AddressAnswer
{
public:
    AddressAnswer(std::uint32_t ttlMs, std::uint32_t count);

    void applyVms(std::vector<VmEntry> vms);
    std::string makeJson(const AccountName &account) const; // {"addresses":[{"address","failure_domain"}],"ttl_ms":N}

private:
    std::uint32_t m_ttlMs;
    std::uint32_t m_count;
    mutable std::mutex m_mutex;
    std::vector<VmEntry> m_vms;
};

} // namespace Pollenspoke
