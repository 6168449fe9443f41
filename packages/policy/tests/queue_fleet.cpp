#include "queue_fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace Pollenspoke {

namespace {

constexpr auto step = std::chrono::milliseconds(1);
constexpr auto reportInterval = std::chrono::milliseconds(20);

} // namespace

QueueFleet::QueueFleet(const QueueFleetOptions &options)
    : m_options(options)
    , m_generator(options.seed)
    , m_arrivals(options.seed)
{
    std::vector<Target> targets;
    for (std::size_t i = 0; i < options.targets; ++i) {
        targets.push_back({.name = {"t" + std::to_string(i)}, .failureDomain = {"fd-a"}, .slots = options.slots});
        m_targets[targets.back().name];
    }
    std::vector<VmName> names;
    for (std::size_t i = 0; i < options.vms; ++i) {
        names.push_back({"vm-" + std::to_string(i)});
    }
    for (const VmName &it : names) {
        Vm vm{.name = it, .balancer = ServiceBalancer({.firstLatency = options.workTime}), .queue = FairQueue()};
        vm.balancer.setTargets(targets, m_now);
        vm.balancer.setLimitSharers({.self = it, .vms = names, .fleetSize = names.size()}, m_now);
        m_vms.push_back(std::move(vm));
    }
}

Duration QueueFleet::maxWait(const Vm &vm) const
{
    return maxQueueTime(m_options.objective, m_options.objective, vm.balancer.usualLatency());
}

Duration QueueFleet::expectedWait(const Vm &vm, std::size_t ahead) const
{
    return expectedQueueWait({.ahead = ahead,
                              .usualLatency = vm.balancer.usualLatency(),
                              .usableSlots = vm.balancer.usableSlots(m_now),
                              .ownSlots = vm.balancer.ownSlots(m_now),
                              .drainRate = m_options.measuresPart ? vm.drain.rate(m_now) : std::nullopt});
}

void QueueFleet::refuse(bool hasWaited)
{
    ++(hasWaited ? m_result.refusedLate : m_result.refusedAtOnce);
}

void QueueFleet::wake(Vm &vm)
{
    const std::uint32_t free = vm.queue.empty() ? 0 : vm.balancer.freeSlots(m_now);
    for (const std::uint64_t it : vm.queue.first(free, m_now)) {
        vm.waiting.at(it).pollAt = m_now;
    }
}

void QueueFleet::leaveQueue(Vm &vm, std::uint64_t sequence)
{
    vm.queue.remove(sequence, m_now);
    vm.waiting.erase(sequence);
    vm.drain.noteWaiting(!vm.queue.empty(), m_now);
    wake(vm);
}

bool QueueFleet::trySend(Vm &vm, std::size_t index, TimePoint arrivedAt, bool isAtFront, bool hasWaitedLong)
{
    ChoiceRequest request{.local = {"fd-a"}, .overcommit = hasWaitedLong ? 1U : 0U};
    std::optional<Target> target = vm.balancer.choose(request, m_now, m_generator);
    if (!target && isAtFront && m_options.queuesAtTargets) {
        request.answerWithin = m_options.objective - (m_now - arrivedAt);
        request.usualLatency = vm.balancer.usualLatency();
        target = vm.balancer.choose(request, m_now, m_generator);
    }
    if (!target) {
        return false;
    }
    if (m_targets[target->name].size() >= m_options.slots + m_options.targetQueue) {
        vm.balancer.end(target->name, AttemptEnd::Declined, Duration(0), m_now, m_now);
        ++m_result.declined;
        return trySend(vm, index, arrivedAt, isAtFront, hasWaitedLong);
    }
    const double factor = std::uniform_real_distribution<double>(0.5, 1.5)(m_generator);
    m_targets[target->name].push_back({.vm = index,
                                       .arrivedAt = arrivedAt,
                                       .sentAt = m_now,
                                       .workTime = std::chrono::duration_cast<Duration>(m_options.workTime * factor)});
    vm.drain.noteStart(m_now);
    return true;
}

void QueueFleet::arrive(std::size_t vm, const std::vector<QueueTraffic> &traffic)
{
    Vm &it = m_vms[vm];
    double perSecond = 0;
    for (const QueueTraffic &kind : traffic) {
        const Duration time = m_now.time_since_epoch() - std::chrono::hours(1);
        perSecond += time >= kind.from && time < kind.until ? kind.perSecond[vm] : 0;
    }
    const int n = perSecond > 0 ? std::poisson_distribution<int>(perSecond * 0.001)(m_arrivals) : 0;
    for (int i = 0; i < n; ++i) {
        ++m_result.requests;
        QueuedRequest queued{.sequence = UINT64_MAX};
        const std::size_t ahead = it.queue.countAhead(queued, m_now);
        if (ahead == 0 && trySend(it, vm, m_now, true, false)) {
            continue;
        }
        if (expectedWait(it, ahead) > maxWait(it)) {
            refuse(false);
            continue;
        }
        queued.sequence = ++m_sequence;
        it.queue.push(queued, m_now);
        it.waiting.emplace(queued.sequence, Waiting{.queued = queued, .arrivedAt = m_now, .pollAt = m_now + m_options.pollInterval});
        it.drain.noteWaiting(true, m_now);
    }
}

void QueueFleet::poll(Vm &vm, std::size_t index, std::uint64_t sequence)
{
    Waiting &waiting = vm.waiting.at(sequence);
    const Duration waited = m_now - waiting.arrivedAt;
    const bool hasWaitedLong = waited >= maxWait(vm) / 2;
    const bool isAtFront = vm.queue.first(1, m_now).front() == sequence;
    if ((isAtFront || hasWaitedLong) && trySend(vm, index, waiting.arrivedAt, isAtFront, hasWaitedLong)) {
        vm.queue.start(sequence, m_now);
        leaveQueue(vm, sequence);
    } else if (waited >= maxWait(vm)) {
        refuse(true);
        leaveQueue(vm, sequence);
    } else {
        waiting.pollAt = m_now + m_options.pollInterval;
    }
}

void QueueFleet::advanceTargets()
{
    const bool doRequestsWait = std::any_of(m_vms.begin(), m_vms.end(), [](const Vm &it) { return !it.waiting.empty(); });
    for (auto &[name, running] : m_targets) {
        m_result.idleSlots += doRequestsWait && running.size() < m_options.slots ? m_options.slots - running.size() : 0;
        for (auto it = running.begin(); it != running.end();) {
            if (it->endsAt == TimePoint() || it->endsAt > m_now) {
                ++it;
                continue;
            }
            Vm &vm = m_vms[it->vm];
            vm.balancer.end(name, AttemptEnd::Answered, m_now - it->sentAt, it->sentAt, m_now);
            ++(m_now - it->arrivedAt <= m_options.objective ? m_result.served : m_result.late);
            it = running.erase(it);
            wake(vm);
        }
        const std::size_t begun = std::min<std::size_t>(running.size(), m_options.slots);
        for (std::size_t i = 0; i < begun; ++i) {
            running[i].endsAt = running[i].endsAt == TimePoint() ? m_now + running[i].workTime : running[i].endsAt;
        }
        m_result.targetQueue += static_cast<double>(running.size() - begun);
    }
}

void QueueFleet::exchangeReports()
{
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        m_reports.push_back({.vm = i, .dueAt = m_now + m_options.reportDelay, .observations = m_vms[i].balancer.observations(m_now)});
    }
}

QueueFleetResult QueueFleet::run(const std::vector<QueueTraffic> &traffic, Duration time)
{
    m_result = {};
    const auto steps = time / step;
    for (std::int64_t i = 0; i < steps; ++i, m_now += step) {
        if (i % (reportInterval / step) == 0) {
            exchangeReports();
        }
        for (; !m_reports.empty() && m_reports.front().dueAt <= m_now; m_reports.pop_front()) {
            const Report &report = m_reports.front();
            for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
                if (vm != report.vm) {
                    m_vms[vm].balancer.applyObservations(m_vms[report.vm].name, report.observations, true, m_now);
                    wake(m_vms[vm]);
                }
            }
        }
        advanceTargets();
        for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
            std::vector<std::uint64_t> due;
            for (const auto &[sequence, it] : m_vms[vm].waiting) {
                if (it.pollAt <= m_now) {
                    due.push_back(sequence);
                }
            }
            std::for_each(due.begin(), due.end(), [this, vm](std::uint64_t it) { poll(m_vms[vm], vm, it); });
            arrive(vm, traffic);
        }
    }
    const double targetSteps = static_cast<double>(steps) * static_cast<double>(m_targets.size());
    m_result.targetQueue /= targetSteps;
    m_result.idleSlots /= targetSteps * m_options.slots;
    return m_result;
}

double capacityOf(const QueueFleetOptions &options)
{
    return static_cast<double>(options.targets) * options.slots / std::chrono::duration<double>(options.workTime).count();
}

QueueTraffic evenly(const QueueFleetOptions &options, double load, Duration from, Duration until)
{
    const double each = capacityOf(options) * load / static_cast<double>(options.vms);
    return {.perSecond = std::vector<double>(options.vms, each), .from = from, .until = until};
}

QueueFleetResult play(QueueFleetOptions options, const std::vector<QueueTraffic> &traffic, Duration time)
{
    QueueFleetResult sum;
    for (const std::uint64_t seed : {1, 2, 3}) {
        options.seed = seed;
        const QueueFleetResult result = QueueFleet(options).run(traffic, time);
        BOOST_TEST_MESSAGE("part measured: " << options.measuresPart << ", queues at targets: " << options.queuesAtTargets << ", requests "
                                             << result.requests << ", served " << result.served << ", late " << result.late
                                             << ", refused at once " << result.refusedAtOnce << ", later " << result.refusedLate
                                             << ", declined " << result.declined << ", target queue " << result.targetQueue << ", idle "
                                             << result.idleSlots);
        sum.requests += result.requests;
        sum.served += result.served;
        sum.late += result.late;
        sum.refusedAtOnce += result.refusedAtOnce;
        sum.refusedLate += result.refusedLate;
        sum.declined += result.declined;
        sum.targetQueue += result.targetQueue / 3;
        sum.idleSlots += result.idleSlots / 3;
    }
    return sum;
}

} // namespace Pollenspoke
