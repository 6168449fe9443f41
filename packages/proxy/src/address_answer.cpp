#include "address_answer.h"

#include <pollenspoke/web.h>

namespace Pollenspoke {

AddressAnswer::AddressAnswer(std::uint32_t ttlMs, std::uint32_t count)
    : m_ttlMs(ttlMs)
    , m_count(count)
{
}

void AddressAnswer::applyVms(std::vector<VmEntry> vms)
{
    const std::lock_guard lock(m_mutex);
    m_vms = std::move(vms);
}

std::string AddressAnswer::makeJson(const AccountName &account) const
{
    std::vector<VmEntry> vms;
    {
        const std::lock_guard lock(m_mutex);
        vms = m_vms;
    }
    JsonValue json = JsonValue::makeObject();
    JsonValue addresses = JsonValue::makeList();
    for (const VmEntry &it : orderAddresses(vms, account, m_count)) {
        JsonValue &entry = addresses.append(JsonValue::makeObject());
        entry.add("address", toString(it.address));
        entry.add("failure_domain", it.failureDomain.value);
    }
    json.add("addresses", std::move(addresses));
    json.addNumber("ttl_ms", m_ttlMs);
    return formatJsonText(json);
}

} // namespace Pollenspoke
