#include <algorithm>
#include <cmath>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

FairQueue::FairQueue(FairQueueOptions options)
    : m_options(options)
{
}

double FairQueue::tagOnArrival(const Lane &lane, const Flow &flow, TimePoint now) const
{
    if (flow.isWaiting()) {
        return flow.startTag;
    }
    const bool isForgotten = now - flow.usedAt >= m_options.shareMemory;
    return isForgotten ? lane.virtualTime : std::max(flow.startTag, lane.virtualTime);
}

FairQueue::Flow &FairQueue::useFlow(const QueuedRequest &request, TimePoint now)
{
    Lane &lane = m_lanes[request.rank];
    if (now - m_forgottenAt >= m_options.shareMemory) {
        m_forgottenAt = now;
        for (auto &[rank, it] : m_lanes) {
            forgetUnused(it, now);
        }
    }
    const auto [it, isNew] = lane.flows.try_emplace(flowName(request), Flow{.startTag = lane.virtualTime, .usedAt = now});
    Flow &flow = it->second;
    flow.startTag = tagOnArrival(lane, flow, now);
    flow.weight = std::max<std::uint32_t>(request.weight, 1);
    return flow;
}

void FairQueue::forgetUnused(Lane &lane, TimePoint now) const
{
    std::erase_if(lane.flows,
                  [this, now](const auto &it) { return !it.second.isWaiting() && now - it.second.usedAt >= m_options.shareMemory; });
}

void FairQueue::push(const QueuedRequest &request, TimePoint now)
{
    Flow &flow = useFlow(request, now);
    const bool isRequestLate = isLate(request, now);
    (isRequestLate ? flow.late : flow.timely).insert(request.sequence);
    ++m_lanes[request.rank].size;
    if (m_options.hasFairShares && !isRequestLate && request.startBy != TimePoint::max()) {
        m_startBys.emplace(request.startBy, request.sequence);
    }
    m_requests.emplace(request.sequence, request);
}

std::optional<QueuedRequest> FairQueue::take(std::uint64_t sequence, TimePoint usedAt)
{
    const auto it = m_requests.find(sequence);
    if (it == m_requests.end()) {
        return std::nullopt;
    }
    QueuedRequest request = it->second;
    m_requests.erase(it);
    Lane &lane = m_lanes[request.rank];
    Flow &flow = lane.flows[flowName(request)];
    flow.timely.erase(sequence);
    flow.late.erase(sequence);
    flow.usedAt = std::max(flow.usedAt, usedAt);
    --lane.size;
    m_startBys.erase({request.startBy, sequence});
    return request;
}

void FairQueue::remove(std::uint64_t sequence, TimePoint now)
{
    take(sequence, now);
}

void FairQueue::start(std::uint64_t sequence, TimePoint now)
{
    const auto it = m_requests.find(sequence);
    if (it == m_requests.end()) {
        return;
    }
    charge(it->second, now);
    take(sequence, now);
}

void FairQueue::noteStart(const QueuedRequest &request, TimePoint now)
{
    charge(request, now);
}

// The virtual time follows the start tags of the requests that start, but doesn't pass an account that waits: an account that starts out of
// turn would otherwise move it past the others, and new accounts would be put behind their backlog.
void FairQueue::charge(const QueuedRequest &request, TimePoint now)
{
    if (!m_options.hasFairShares) {
        return;
    }
    Flow &flow = useFlow(request, now);
    Lane &lane = m_lanes[request.rank];
    double reached = flow.startTag;
    for (const auto &[account, it] : lane.flows) {
        reached = it.isWaiting() ? std::min(reached, it.startTag) : reached;
    }
    lane.virtualTime = std::max(lane.virtualTime, reached);
    flow.startTag = flow.tagAfter(1);
    flow.usedAt = now;
}

void FairQueue::sortOutLate(TimePoint now)
{
    while (!m_startBys.empty() && m_startBys.begin()->first < now) {
        const std::uint64_t sequence = m_startBys.begin()->second;
        m_startBys.erase(m_startBys.begin());
        const QueuedRequest &request = m_requests.at(sequence);
        Flow &flow = m_lanes[request.rank].flows[flowName(request)];
        flow.timely.erase(sequence);
        flow.late.insert(sequence);
    }
}

void FairQueue::appendInOrder(const Lane &lane, std::size_t n, std::vector<std::uint64_t> &sequences)
{
    struct Cursor
    {
        const Flow &flow;
        std::size_t starts = 0;
        std::set<std::uint64_t>::const_iterator next;
        std::set<std::uint64_t>::const_iterator end;

        std::pair<double, std::uint64_t> key() const { return {flow.tagAfter(starts), *next}; }
    };
    std::vector<Cursor> cursors;
    for (const auto &[account, it] : lane.flows) {
        if (it.isWaiting()) {
            cursors.push_back({.flow = it, .next = it.timely.begin(), .end = it.timely.end()});
        }
    }
    for (const bool isLatePass : {false, true}) {
        if (isLatePass) {
            for (Cursor &it : cursors) {
                it.next = it.flow.late.begin();
                it.end = it.flow.late.end();
            }
        }
        while (sequences.size() < n) {
            Cursor *least = nullptr;
            for (Cursor &it : cursors) {
                if (it.next != it.end && (least == nullptr || it.key() < least->key())) {
                    least = &it;
                }
            }
            if (least == nullptr) {
                break;
            }
            sequences.push_back(*least->next++);
            ++least->starts;
        }
    }
}

std::vector<std::uint64_t> FairQueue::first(std::size_t n, TimePoint now)
{
    sortOutLate(now);
    std::vector<std::uint64_t> sequences;
    for (auto it = m_lanes.begin(); it != m_lanes.end() && sequences.size() < n; ++it) {
        appendInOrder(it->second, n, sequences);
    }
    return sequences;
}

// Of `waiting` requests of a flow, after `startsBefore` others of it: those whose start tags aren't after the given one.
std::size_t FairQueue::countInFlow(const Flow &flow, std::size_t startsBefore, std::size_t waiting, double beforeTag)
{
    const double lead = beforeTag - flow.tagAfter(startsBefore);
    if (waiting == 0 || lead < 0) {
        return 0;
    }
    return static_cast<std::size_t>(std::min(std::floor(lead * flow.weight) + 1, static_cast<double>(waiting)));
}

std::size_t FairQueue::countAhead(const QueuedRequest &request, TimePoint now)
{
    sortOutLate(now);
    std::size_t n = 0;
    for (auto it = m_lanes.begin(); it != m_lanes.end() && it->first < request.rank; ++it) {
        n += it->second.size;
    }
    const auto laneIt = m_lanes.find(request.rank);
    if (laneIt == m_lanes.end() || laneIt->second.size == 0) {
        return n;
    }
    const Lane &lane = laneIt->second;
    const bool isRequestLate = isLate(request, now);
    const auto own = lane.flows.find(flowName(request));
    std::size_t ownAhead = 0;
    double tag = lane.virtualTime;
    if (own != lane.flows.end()) {
        const Flow &flow = own->second;
        const std::set<std::uint64_t> &same = isRequestLate ? flow.late : flow.timely;
        const auto before = static_cast<std::size_t>(std::distance(same.begin(), same.lower_bound(request.sequence)));
        ownAhead = before + (isRequestLate ? flow.timely.size() : 0);
        tag = tagOnArrival(lane, flow, now) + static_cast<double>(ownAhead) / std::max<std::uint32_t>(request.weight, 1);
    }
    n += ownAhead;
    for (auto it = lane.flows.begin(); it != lane.flows.end(); ++it) {
        if (it == own) {
            continue;
        }
        const Flow &flow = it->second;
        n += isRequestLate ? flow.timely.size() + countInFlow(flow, flow.timely.size(), flow.late.size(), tag)
                           : countInFlow(flow, 0, flow.timely.size(), tag);
    }
    return n;
}

} // namespace Pollenspoke
