#include <pollenspoke/store.h>

namespace Pollenspoke {

MemoryVmDirectory::MemoryVmDirectory(std::vector<VmEntry> vms)
    : m_list{.revision = 1, .vms = std::move(vms)}
{
}

Result<VmList> MemoryVmDirectory::vms()
{
    const std::lock_guard lock(m_mutex);
    return m_list;
}

void MemoryVmDirectory::setVms(std::vector<VmEntry> vms)
{
    const std::lock_guard lock(m_mutex);
    ++m_list.revision;
    m_list.vms = std::move(vms);
}

} // namespace Pollenspoke
