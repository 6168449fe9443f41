#include "load_fleet.h"

#include <algorithm>
#include <cmath>

namespace Pollenspoke {

namespace {

using namespace std::chrono_literals;

constexpr Duration stepTime = 5ms;
constexpr Duration datagramDelay = 2ms;
constexpr Duration pressureInterval = 200ms; // as TargetReportSchedule
constexpr Duration fullInterval = 1000ms;

} // namespace

LoadFleet::LoadFleet(LoadOptions options, std::vector<LoadSource> sources)
    : m_options(options)
    , m_sources(std::move(sources))
    , m_vms(options.vms)
{
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        m_vms[i].name = {"vm-" + std::to_string(i)};
        m_vms[i].fullReportedAt = m_now - fullInterval * i / m_vms.size(); // not all in the same moment
    }
    publishVms();
}

void LoadFleet::publishVms()
{
    std::vector<VmName> names;
    for (const Vm &it : m_vms) {
        if (!it.isLost) {
            names.push_back(it.name);
        }
    }
    for (Vm &it : m_vms) {
        it.view.setVms(it.name, names);
    }
}

double LoadFleet::position(std::size_t vm) const
{
    const std::optional<AdmissionBoundary> boundary = m_vms[vm].level.boundary();
    constexpr double open = 100;
    return boundary ? boundary->rank + boundary->share : open;
}

void LoadFleet::lose(std::size_t vm)
{
    m_vms[vm].isLost = true;
    m_vms[vm].waiting.clear();
    std::erase_if(m_running, [vm](const Running &it) { return it.vm == vm; });
    std::make_heap(m_running.begin(), m_running.end(), std::greater<>());
}

void LoadFleet::restartAll()
{
    for (Vm &it : m_vms) {
        it = Vm{.name = it.name, .isLost = it.isLost, .fullReportedAt = m_now};
    }
    m_running.clear();
    m_datagrams.clear();
    publishVms();
}

void LoadFleet::updateLevel(Vm &vm)
{
    if (m_options.hasLevel && vm.level.isDue(m_now)) {
        vm.levelChanges += vm.level.update(vm.view.ranks(vm.counter.report(m_now), m_now), m_now) ? 1 : 0;
    }
}

bool LoadFleet::begin(std::size_t i, const Request &request)
{
    if (m_running.size() >= m_options.slots) {
        return false;
    }
    Vm &vm = m_vms[i];
    vm.counter.noteStarted(request.rank, m_now);
    LoadResult &result = m_results[request.rank];
    result.longestWait = std::max(result.longestWait, m_now - request.arrivedAt);
    if (std::bernoulli_distribution(m_options.declinedShare)(m_generator)) {
        ++result.refused;
        vm.counter.noteRefused(request.rank, m_now);
        return true;
    }
    ++result.served;
    const double factor = std::uniform_real_distribution<double>(0.5, 1.5)(m_generator);
    m_running.push_back({.endsAt = m_now + std::chrono::duration_cast<Duration>(m_options.work * factor), .vm = i});
    std::push_heap(m_running.begin(), m_running.end(), std::greater<>());
    return true;
}

void LoadFleet::arrive(std::size_t i, std::uint32_t rank)
{
    Vm &vm = m_vms[i];
    const Request request{.rank = rank, .arrivedAt = m_now};
    ++m_results[rank].sent;
    vm.counter.noteArrival(rank, {"account-" + std::to_string(m_lastId % 73)}, m_now);
    const std::string id = "request-" + std::to_string(++m_lastId);
    const bool isAtFront
        = std::none_of(vm.waiting.begin(), vm.waiting.end(), [rank](const auto &it) { return it.first <= rank && !it.second.empty(); });
    if (isAtFront && begin(i, request)) {
        return;
    }
    updateLevel(vm);
    if (!vm.level.mayWait(rank, id)) {
        ++m_results[rank].refused;
        vm.counter.noteRefused(rank, m_now);
        return;
    }
    vm.counter.noteWaiting(rank, m_now);
    vm.waiting[rank].push_back(request);
}

bool LoadFleet::serveWaiting(std::size_t i)
{
    Vm &vm = m_vms[i];
    for (auto &[rank, queue] : vm.waiting) {
        if (queue.empty()) {
            continue;
        }
        if (!begin(i, queue.front())) {
            return false;
        }
        vm.counter.noteWaitEnded(rank, m_now);
        queue.pop_front();
        return true;
    }
    return false;
}

void LoadFleet::expireWaits(Vm &vm)
{
    for (auto &[rank, queue] : vm.waiting) {
        while (!queue.empty() && m_now - queue.front().arrivedAt >= m_options.longestWait) {
            queue.pop_front();
            vm.counter.noteWaitEnded(rank, m_now);
            vm.counter.noteRefused(rank, m_now);
            ++m_results[rank].refused;
            ++m_results[rank].refusedAfterWait;
        }
    }
}

void LoadFleet::report()
{
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        Vm &vm = m_vms[i];
        if (vm.isLost) {
            continue;
        }
        const bool isFull = m_now - vm.fullReportedAt >= fullInterval;
        if (!isFull && m_now - vm.reportedAt < pressureInterval) {
            continue;
        }
        DemandReport report = vm.counter.report(m_now);
        if (!isFull && !isUnderPressure(report.ranks)) {
            continue;
        }
        vm.fullReportedAt = isFull ? m_now : vm.fullReportedAt;
        vm.reportedAt = m_now;
        report.run = i + 1;
        ++m_reports;
        m_datagrams.emplace_back(m_now + datagramDelay, i, std::move(report));
    }
    std::erase_if(m_datagrams, [this](const auto &it) {
        const auto &[arrivesAt, sender, datagram] = it;
        if (arrivesAt > m_now) {
            return false;
        }
        for (Vm &vm : m_vms) {
            if (&vm != &m_vms[sender] && !vm.isLost) {
                vm.view.apply(m_vms[sender].name, datagram, m_now);
            }
        }
        return true;
    });
}

void LoadFleet::run(Duration duration)
{
    for (const TimePoint end = m_now + duration; m_now < end; m_now += stepTime) {
        std::vector<std::size_t> freed; // the Vm whose request ended learns of it first
        while (!m_running.empty() && m_running.front().endsAt <= m_now) {
            freed.push_back(m_running.front().vm);
            std::pop_heap(m_running.begin(), m_running.end(), std::greater<>());
            m_running.pop_back();
        }
        for (const std::size_t i : freed) {
            serveWaiting(i);
        }
        for (const LoadSource &source : m_sources) {
            const Duration age = m_now - m_startedAt;
            for (std::size_t i = 0; i < m_vms.size(); ++i) {
                if (m_vms[i].isLost) {
                    continue;
                }
                const double share = source.shareOf ? source.shareOf(i, age) : 1.0 / static_cast<double>(m_vms.size());
                const double mean = source.perSecond(age) * share * std::chrono::duration<double>(stepTime).count();
                const auto n = mean > 0 ? std::poisson_distribution<int>(mean)(m_generator) : 0;
                for (int k = 0; k < n; ++k) {
                    arrive(i, source.rank);
                }
            }
        }
        bool isAnyServed = true;
        while (isAnyServed && m_running.size() < m_options.slots) { // the others poll
            isAnyServed = false;
            for (std::size_t i = 0; i < m_vms.size(); ++i) {
                isAnyServed = serveWaiting(i) || isAnyServed;
            }
        }
        const bool isWaiting = std::any_of(m_vms.begin(), m_vms.end(), [](const Vm &vm) {
            return std::any_of(vm.waiting.begin(), vm.waiting.end(), [](const auto &it) { return !it.second.empty(); });
        });
        m_idleSlotSteps += isWaiting && m_running.size() < m_options.slots ? 1 : 0;
        m_usedSlots += static_cast<double>(m_running.size());
        ++m_steps;
        for (Vm &it : m_vms) {
            expireWaits(it);
            updateLevel(it);
        }
        report();
    }
}

} // namespace Pollenspoke
