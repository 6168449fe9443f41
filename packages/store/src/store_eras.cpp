#include <algorithm>
#include <pollenspoke/store.h>

namespace Pollenspoke {

StoreEras StoreEras::first()
{
    StoreEras eras;
    eras.m_eras.push_back(Era{.era = 1, .start = 0});
    return eras;
}

Result<StoreEras> StoreEras::fromList(std::vector<Era> eras)
{
    std::uint64_t previousEra = 0;
    std::uint64_t previousStart = 0;
    for (const Era &it : eras) {
        if (it.era <= previousEra || it.start < previousStart) {
            return tl::unexpected(Error{.code = ErrorCode::OutOfRange, .path = "eras", .detail = "eras and their starts must ascend"});
        }
        previousEra = it.era;
        previousStart = it.start;
    }
    StoreEras result;
    result.m_eras = std::move(eras);
    return result;
}

StoreEras StoreEras::restoredAs(std::uint64_t era, std::uint64_t revision) const
{
    POLLENSPOKE_ASSERT(era > this->era() && revision >= start(), "a new era has a higher number and starts at the revision of the copy");
    StoreEras eras = *this;
    eras.m_eras.push_back(Era{.era = era, .start = revision});
    return eras;
}

StorePosition StoreEras::positionOf(std::uint64_t version) const
{
    const auto it = std::find_if(m_eras.rbegin(), m_eras.rend(), [version](const Era &era) { return era.start < version; });
    return {it == m_eras.rend() ? 0 : it->era, version};
}

bool StoreEras::contains(const StorePosition &position) const
{
    if (m_eras.empty()) {
        return position.era() == 0;
    }
    const auto it = std::find_if(m_eras.begin(), m_eras.end(), [&](const Era &era) { return era.era == position.era(); });
    if (it == m_eras.end() || position.revision() < it->start) {
        return false;
    }
    const auto next = std::next(it);
    return next == m_eras.end() || position.revision() <= next->start;
}

} // namespace Pollenspoke
