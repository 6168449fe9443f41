#include <algorithm>
#include <pollenspoke/policy.h>
#include <set>

namespace Pollenspoke {

namespace {

struct ScoredVm
{
    std::uint64_t score = 0;
    const VmEntry *vm = nullptr;

    // Highest score first; ties are broken by name, so that all Vms agree on the order.
    bool operator<(const ScoredVm &other) const { return score != other.score ? score > other.score : vm->name < other.vm->name; }
};

std::vector<ScoredVm> scoreLiveVms(const std::vector<VmEntry> &vms, const AccountName &account)
{
    std::vector<ScoredVm> live;
    live.reserve(vms.size());
    for (const VmEntry &it : vms) {
        if (it.state == VmState::Live) {
            live.push_back({.score = homeScore(account, it.name), .vm = &it});
        }
    }
    return live;
}

} // namespace

std::uint64_t homeScore(const AccountName &account, const VmName &vm)
{
    return stableHash(vm.value, stableHash(account.value));
}

std::vector<VmEntry> orderAddresses(const std::vector<VmEntry> &vms, const AccountName &account, std::size_t count)
{
    std::vector<ScoredVm> live = scoreLiveVms(vms, account);
    std::sort(live.begin(), live.end());
    std::vector<VmEntry> ordered;
    std::set<FailureDomain> usedDomains;
    while (ordered.size() < count && !live.empty()) {
        const auto it = std::find_if(
            live.begin(), live.end(), [&usedDomains](const ScoredVm &scored) { return !usedDomains.contains(scored.vm->failureDomain); });
        if (it == live.end()) {
            usedDomains.clear();
            continue;
        }
        usedDomains.insert(it->vm->failureDomain);
        ordered.push_back(*it->vm);
        live.erase(it);
    }
    return ordered;
}

} // namespace Pollenspoke
