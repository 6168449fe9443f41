// Simulates the detection of gray failures in virtual time: 40 Vms and one service, of which one target becomes faulty. Compares
// the detection presets, with and without health summaries from other Vms, against three baseline detectors. Uses fixed seeds
// and prints Markdown tables for docs/measurements/detection.md.
#include <algorithm>
#include <cmath>
#include <deque>
#include <future>
#include <iomanip>
#include <iostream>
#include <pollenspoke/policy.h>
#include <queue>
#include <sstream>

namespace {

using namespace Pollenspoke;
using namespace std::chrono_literals;

constexpr std::size_t vmCount = 40;
constexpr std::size_t domainCount = 4;
constexpr double baselineFailureShare = 0.002; // of healthy targets' responses
constexpr double outlierShare = 0.01;          // of responses, five times as slow as normal
constexpr Duration requestTimeout = 1s;
constexpr Duration faultStart = 60s;
constexpr Duration faultLength = 120s;
constexpr int seeds = 3;

/// Size and traffic of one simulated service.
struct Deployment
{
    const char *name;
    std::size_t targets;
    std::uint32_t slots;
    double requestsPerSecond; // over all Vms
    double medianSeconds;     // latency of a healthy target
};

/// Behaviour of the faulty target from faultStart on.
struct Fault
{
    const char *name;
    double slowFactor = 1;
    double failureShare = 0;
    bool isFlapping = false;     // alternates between 10 s faulty and 10 s healthy
    double partitionedShare = 0; // of the Vms, which cannot connect to the target
    bool isWholeService = false; // affects all targets
};

/// The failure detector of one Vm.
class Detector
{
public:
    virtual ~Detector() = default;
    virtual void observe(std::size_t target, const DispatchOutcome &outcome, TimePoint now) = 0;
    virtual bool isEjected(std::size_t target, TimePoint now) = 0;
    virtual HealthSummary takeSummary(std::size_t /*vm*/) { return {}; }
    virtual void observeRemote(const HealthSummary & /*summary*/, TimePoint /*now*/) { }
};

// Ejects targets for a fixed time, until about half of them are ejected; used by the baseline detectors.
class FixedEjection
{
public:
    explicit FixedEjection(std::size_t targets)
        : m_ejectedUntil(targets)
    {
    }
    bool isEjected(std::size_t target, TimePoint now) const { return now < m_ejectedUntil[target]; }
    void eject(std::size_t target, TimePoint now)
    {
        const auto ejectedCount = std::count_if(m_ejectedUntil.begin(), m_ejectedUntil.end(), [now](TimePoint it) { return now < it; });
        if (static_cast<std::size_t>(ejectedCount) * 2 < m_ejectedUntil.size()) {
            m_ejectedUntil[target] = now + 30s;
        }
    }

private:
    std::vector<TimePoint> m_ejectedUntil;
};

/// Baseline: ejects after 5 consecutive failures.
class ConsecutiveErrors final : public Detector
{
public:
    explicit ConsecutiveErrors(std::size_t targets)
        : m_consecutiveFailures(targets)
        , m_ejection(targets)
    {
    }
    void observe(std::size_t target, const DispatchOutcome &outcome, TimePoint now) override
    {
        m_consecutiveFailures[target] = outcome.kind == OutcomeKind::Success ? 0 : m_consecutiveFailures[target] + 1;
        if (m_consecutiveFailures[target] >= 5) {
            m_consecutiveFailures[target] = 0;
            m_ejection.eject(target, now);
        }
    }
    bool isEjected(std::size_t target, TimePoint now) override { return m_ejection.isEjected(target, now); }

private:
    std::vector<int> m_consecutiveFailures;
    FixedEjection m_ejection;
};

/// Baseline: ejects below a success rate of 85 % over 30 s.
class SuccessRate final : public Detector
{
public:
    explicit SuccessRate(std::size_t targets)
        : m_windows(targets)
        , m_ejection(targets)
    {
    }
    void observe(std::size_t target, const DispatchOutcome &outcome, TimePoint now) override
    {
        auto &window = m_windows[target];
        window.emplace_back(now, outcome.kind == OutcomeKind::Success);
        while (now - window.front().first > 30s) {
            window.pop_front();
        }
        const auto successes = std::count_if(window.begin(), window.end(), [](const auto &it) { return it.second; });
        if (window.size() >= 10 && static_cast<double>(successes) < 0.85 * static_cast<double>(window.size())) {
            window.clear();
            m_ejection.eject(target, now);
        }
    }
    bool isEjected(std::size_t target, TimePoint now) override { return m_ejection.isEjected(target, now); }

private:
    std::vector<std::deque<std::pair<TimePoint, bool>>> m_windows;
    FixedEjection m_ejection;
};

/// Baseline: ejects when the moving average of the latency exceeds three times the mean of the other targets.
class LatencyAverage final : public Detector
{
public:
    explicit LatencyAverage(std::size_t targets)
        : m_averages(targets)
        , m_ejection(targets)
    {
    }
    void observe(std::size_t target, const DispatchOutcome &outcome, TimePoint now) override
    {
        const Duration latency = outcome.kind == OutcomeKind::Success ? outcome.latency : requestTimeout;
        const double seconds = std::chrono::duration<double>(latency).count();
        double &average = m_averages[target];
        average = average == 0 ? seconds : average + 0.1 * (seconds - average);
        double othersMean = 0;
        for (std::size_t i = 0; i < m_averages.size(); ++i) {
            othersMean += i == target ? 0 : m_averages[i];
        }
        othersMean /= static_cast<double>(m_averages.size() - 1);
        if (othersMean > 0 && average > 3 * othersMean) {
            average = 0;
            m_ejection.eject(target, now);
        }
    }
    bool isEjected(std::size_t target, TimePoint now) override { return m_ejection.isEjected(target, now); }

private:
    std::vector<double> m_averages;
    FixedEjection m_ejection;
};

/// The detector of the product, with or without health summaries from other Vms.
class PresetDetector final : public Detector
{
public:
    PresetDetector(std::size_t targets, std::uint32_t slots, DetectionPreset preset, bool sharesSummaries)
        : m_health(makeHealthOptions(preset, 50))
        , m_sharesSummaries(sharesSummaries)
    {
        for (std::size_t i = 0; i < targets; ++i) {
            m_targets.push_back(Target{.name = {"t" + std::to_string(i)}, .slots = slots});
        }
        m_health.setTargets(m_targets);
    }
    void observe(std::size_t target, const DispatchOutcome &outcome, TimePoint now) override
    {
        m_health.observe(m_targets[target].name, outcome, now);
    }
    bool isEjected(std::size_t target, TimePoint now) override { return m_health.healthOf(m_targets[target].name, now).weight == 0; }
    HealthSummary takeSummary(std::size_t vm) override
    {
        if (!m_sharesSummaries) {
            return {};
        }
        return m_health.takeSummary({"vm-" + std::to_string(vm)}, {"fd-" + std::to_string(vm % domainCount)});
    }
    void observeRemote(const HealthSummary &summary, TimePoint now) override { m_health.observeRemote(summary, now); }

private:
    std::vector<Target> m_targets;
    ServiceHealth m_health;
    bool m_sharesSummaries;
};

enum class Method { ConsecutiveErrors, SuccessRate, LatencyAverage, FastLocalOnly, Fast, SteadyLocalOnly, Steady };

const char *methodName(Method method)
{
    switch (method) {
    case Method::ConsecutiveErrors:
        return "5 errors in a row";
    case Method::SuccessRate:
        return "success rate < 85 % in 30 s";
    case Method::LatencyAverage:
        return "latency average > 3 x others";
    case Method::FastLocalOnly:
        return "fast, own evidence only";
    case Method::Fast:
        return "fast";
    case Method::SteadyLocalOnly:
        return "steady, own evidence only";
    case Method::Steady:
        return "steady";
    }
    return "";
}

std::unique_ptr<Detector> makeDetector(Method method, const Deployment &deployment)
{
    switch (method) {
    case Method::ConsecutiveErrors:
        return std::make_unique<ConsecutiveErrors>(deployment.targets);
    case Method::SuccessRate:
        return std::make_unique<SuccessRate>(deployment.targets);
    case Method::LatencyAverage:
        return std::make_unique<LatencyAverage>(deployment.targets);
    case Method::FastLocalOnly:
        return std::make_unique<PresetDetector>(deployment.targets, deployment.slots, DetectionPreset::Fast, false);
    case Method::Fast:
        return std::make_unique<PresetDetector>(deployment.targets, deployment.slots, DetectionPreset::Fast, true);
    case Method::SteadyLocalOnly:
        return std::make_unique<PresetDetector>(deployment.targets, deployment.slots, DetectionPreset::Steady, false);
    case Method::Steady:
        return std::make_unique<PresetDetector>(deployment.targets, deployment.slots, DetectionPreset::Steady, true);
    }
    return nullptr;
}

/// An outcome that reaches the sending Vm at the given time.
struct PendingOutcome
{
    TimePoint at;
    std::size_t vm = 0;
    std::size_t target = 0;
    DispatchOutcome outcome;
    bool operator>(const PendingOutcome &other) const { return at > other.at; }
};

struct RunResult
{
    std::vector<double> detectionSeconds; // one per Vm that is exposed to the fault; faultLength if undetected
    double falseEjections = 0;            // ejections of healthy targets, counted per Vm
    double exposedShare = 0;              // share of requests after faultStart sent to a faulty target
};

class Simulation
{
public:
    Simulation(const Deployment &deployment, const Fault &fault, Method method, std::uint64_t seed)
        : m_deployment(deployment)
        , m_fault(fault)
        , m_generator(seed)
        , m_wasEjected(vmCount, std::vector<bool>(deployment.targets))
        , m_detectedAt(vmCount)
    {
        for (std::size_t i = 0; i < vmCount; ++i) {
            m_detectors.push_back(makeDetector(method, deployment));
            m_names.push_back({"vm-" + std::to_string(i)});
        }
    }

    RunResult run(Duration length)
    {
        TimePoint now{};
        TimePoint nextSharing = now + 1s;
        std::exponential_distribution<double> interarrival(m_deployment.requestsPerSecond);
        while (now < TimePoint(length)) {
            now += Duration(static_cast<std::int64_t>(interarrival(m_generator) * 1e9));
            for (; nextSharing <= now; nextSharing += 1s) {
                deliverOutcomes(nextSharing);
                shareSummaries(nextSharing);
            }
            deliverOutcomes(now);
            send(now);
        }
        return makeResult();
    }

private:
    bool isFaultyFor(std::size_t vm, std::size_t target, TimePoint now) const
    {
        const Duration since = now - TimePoint(faultStart);
        if (since < 0s || (target != 0 && !m_fault.isWholeService)) {
            return false;
        }
        if (m_fault.partitionedShare > 0 && static_cast<double>(vm) >= m_fault.partitionedShare * static_cast<double>(vmCount)) {
            return false;
        }
        return !m_fault.isFlapping || (since / 10s) % 2 == 0;
    }

    DispatchOutcome simulateOutcome(std::size_t vm, std::size_t target, TimePoint now)
    {
        const bool isFaulty = isFaultyFor(vm, target, now);
        std::uniform_real_distribution<double> uniform(0, 1);
        if (isFaulty && m_fault.partitionedShare > 0) {
            return {.kind = OutcomeKind::ConnectFailed, .latency = 300ms};
        }
        if (uniform(m_generator) < (isFaulty && m_fault.failureShare > 0 ? m_fault.failureShare : baselineFailureShare)) {
            return {.kind = OutcomeKind::Failed, .latency = 5ms};
        }
        std::lognormal_distribution<double> latency(std::log(m_deployment.medianSeconds), 0.5);
        double seconds = latency(m_generator) * (isFaulty ? m_fault.slowFactor : 1);
        seconds *= uniform(m_generator) < outlierShare ? 5 : 1;
        const Duration took(static_cast<std::int64_t>(seconds * 1e9));
        return took < requestTimeout ? DispatchOutcome{.latency = took}
                                     : DispatchOutcome{.kind = OutcomeKind::TimedOut, .latency = requestTimeout};
    }

    void send(TimePoint now)
    {
        const std::size_t vm = std::uniform_int_distribution<std::size_t>(0, vmCount - 1)(m_generator);
        std::vector<std::size_t> candidates;
        for (std::size_t i = 0; i < m_deployment.targets; ++i) {
            const bool isEjected = m_detectors[vm]->isEjected(i, now);
            updateEjection(vm, i, isEjected, now);
            if (!isEjected) {
                candidates.push_back(i);
            }
        }
        const std::size_t target = candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(m_generator)];
        if (now >= TimePoint(faultStart)) {
            ++m_sent;
            m_exposed += isFaultyFor(vm, target, now) ? 1 : 0;
        }
        const DispatchOutcome outcome = simulateOutcome(vm, target, now);
        m_pending.push({.at = now + outcome.latency, .vm = vm, .target = target, .outcome = outcome});
    }

    void updateEjection(std::size_t vm, std::size_t target, bool isEjected, TimePoint now)
    {
        const bool isNew = isEjected && !m_wasEjected[vm][target];
        m_wasEjected[vm][target] = isEjected;
        if (!isNew) {
            return;
        }
        const bool isTrueFault = now >= TimePoint(faultStart) && target == 0 && !m_fault.isWholeService
            && (m_fault.slowFactor > 1 || m_fault.failureShare > 0 || m_fault.partitionedShare > 0);
        if (!isTrueFault || (m_fault.partitionedShare > 0 && !isFaultyFor(vm, target, now))) {
            ++m_falseEjections;
        } else if (!m_detectedAt[vm]) {
            m_detectedAt[vm] = now;
        }
    }

    void deliverOutcomes(TimePoint now)
    {
        while (!m_pending.empty() && m_pending.top().at <= now) {
            const PendingOutcome it = m_pending.top();
            m_pending.pop();
            m_detectors[it.vm]->observe(it.target, it.outcome, it.at);
        }
    }

    // Delivers the summaries of the previous second to the other Vms and collects new ones. Runs once per second.
    void shareSummaries(TimePoint now)
    {
        for (const HealthSummary &it : m_summaries) {
            for (std::size_t vm = 0; vm < vmCount; ++vm) {
                if (it.vm != m_names[vm]) {
                    m_detectors[vm]->observeRemote(it, now);
                }
            }
        }
        m_summaries.clear();
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            HealthSummary summary = m_detectors[vm]->takeSummary(vm);
            if (!summary.tallies.empty()) {
                m_summaries.push_back(std::move(summary));
            }
        }
    }

    RunResult makeResult() const
    {
        RunResult result{.falseEjections = m_falseEjections};
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            if (m_fault.partitionedShare > 0 && static_cast<double>(vm) >= m_fault.partitionedShare * static_cast<double>(vmCount)) {
                continue;
            }
            const Duration took = m_detectedAt[vm] ? *m_detectedAt[vm] - TimePoint(faultStart) : faultLength;
            result.detectionSeconds.push_back(std::chrono::duration<double>(took).count());
        }
        result.exposedShare = m_sent == 0 ? 0 : static_cast<double>(m_exposed) / static_cast<double>(m_sent);
        return result;
    }

    const Deployment &m_deployment;
    const Fault &m_fault;
    Generator m_generator;
    std::vector<std::unique_ptr<Detector>> m_detectors;
    std::priority_queue<PendingOutcome, std::vector<PendingOutcome>, std::greater<>> m_pending;
    std::vector<VmName> m_names;
    std::vector<HealthSummary> m_summaries;
    std::vector<std::vector<bool>> m_wasEjected;
    std::vector<std::optional<TimePoint>> m_detectedAt;
    double m_falseEjections = 0;
    std::size_t m_sent = 0;
    std::size_t m_exposed = 0;
};

double quantileOf(std::vector<double> values, double fraction)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

std::string measureFault(const Deployment &deployment, const Fault &fault)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(2);
    out << "\n### " << deployment.name << ": " << fault.name
        << "\n\n| method | detection p50 s | p99 s | found by | requests that met it % | false ejections |\n"
        << "| --- | --- | --- | --- | --- | --- |\n";
    for (int i = 0; i <= static_cast<int>(Method::Steady); ++i) {
        std::vector<double> times;
        double falseEjections = 0;
        double exposedShare = 0;
        for (int seed = 1; seed <= seeds; ++seed) {
            Simulation simulation(deployment, fault, static_cast<Method>(i), static_cast<std::uint64_t>(seed));
            const RunResult result = simulation.run(faultStart + faultLength);
            times.insert(times.end(), result.detectionSeconds.begin(), result.detectionSeconds.end());
            falseEjections += result.falseEjections / seeds;
            exposedShare += result.exposedShare / seeds;
        }
        const double limit = std::chrono::duration<double>(faultLength).count();
        const auto detected = std::count_if(times.begin(), times.end(), [limit](double it) { return it < limit; });
        out << "| " << methodName(static_cast<Method>(i)) << " | " << quantileOf(times, 0.5) << " | " << quantileOf(times, 0.99) << " | "
            << 100.0 * static_cast<double>(detected) / static_cast<double>(times.size()) << " % | " << 100 * exposedShare << " | "
            << falseEjections << " |\n";
    }
    return out.str();
}

std::string measureFalseEjections(const Deployment &deployment)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(2);
    constexpr Duration length = 1h;
    out << "\n### " << deployment.name << ": no fault, one hour\n\n| method | false ejections per target-day and Vm |\n| --- | --- |\n";
    const Fault none{.name = "none"};
    for (int i = 0; i <= static_cast<int>(Method::Steady); ++i) {
        Simulation simulation(deployment, none, static_cast<Method>(i), 7);
        const double falseEjections = simulation.run(length).falseEjections;
        const double targetDays = static_cast<double>(deployment.targets * vmCount) / 24;
        out << "| " << methodName(static_cast<Method>(i)) << " | " << falseEjections / targetDays << " |\n";
    }
    return out.str();
}

} // namespace

int main()
{
    const std::vector<Deployment> deployments{{"Bulong Viet, kho-ton", 10, 2, 400, 0.02}, {"Lone Bluebonnet, bookdesk", 15, 6, 400, 0.06}};
    const std::vector<Fault> faults{{.name = "slow x3", .slowFactor = 3},
                                    {.name = "slow x10", .slowFactor = 10},
                                    {.name = "fails 5 %", .failureShare = 0.05},
                                    {.name = "fails 20 %", .failureShare = 0.2},
                                    {.name = "fails 100 %", .failureShare = 1},
                                    {.name = "flaps, 10 s bad and 10 s well", .failureShare = 1, .isFlapping = true},
                                    {.name = "one-way partition from a third of the Vms", .partitionedShare = 1.0 / 3},
                                    {.name = "whole service slow x5", .slowFactor = 5, .isWholeService = true}};
    std::vector<std::future<std::string>> tables;
    for (const Deployment &deployment : deployments) {
        for (const Fault &fault : faults) {
            tables.push_back(std::async(std::launch::async, measureFault, std::cref(deployment), std::cref(fault)));
        }
        tables.push_back(std::async(std::launch::async, measureFalseEjections, std::cref(deployment)));
    }
    for (auto &it : tables) {
        std::cout << it.get();
    }
    return 0;
}
