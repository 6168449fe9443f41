/// @file
/// Compares four ways to enforce an account's rate and burst over a fleet, simulated in virtual time: conforming requests that
/// are refused, requests admitted beyond the limits, messages and store calls. Prints a Markdown table.
/// Usage: pollenspoke-quota-traffic [VMS...]
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <pollenspoke/policy.h>
#include <queue>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

constexpr Duration warmUp = 20s;
constexpr Duration measureTime = 120s;
constexpr Duration messageLatency = 500us; // one-way latency between Vms
constexpr Duration storeLatency = 3ms;     // latency of one call
constexpr Duration shiftInterval = 5s;     // between changes of the hot Vm
constexpr double hotShare = 0.9;           // of requests go to the hot Vm; skewed and shifting traffic
constexpr double storeWriteRate = 300;     // writes/s that the store takes
constexpr double accountCount = 8;         // accounts that share storeWriteRate
constexpr Duration batchTime = 200ms;      // expected demand that one reservation covers
constexpr Duration leaseRenewal = 5s;
constexpr double normalLoad = 0.7;   // of the account's rate
constexpr double overloadFactor = 5; // times the account's rate
const AccountName account{"shop"};

enum class Traffic { Even, Skewed, Shifting, Overload };
enum class Callers { Homes, Random }; // callers reach the account's home VMs only, or any VM
enum class Method { GrantsAndLoans, EvenSplit, Owner, Central };

/// Event queue in virtual time.
class Simulation
{
public:
    TimePoint now() const { return m_now; }
    void schedule(Duration delay, std::function<void()> action) { m_events.push({m_now + delay, m_nextOrder++, std::move(action)}); }
    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        m_now = end;
    }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t order = 0; // events of the same time run in the order in which they were scheduled
        std::function<void()> action;
        bool operator<(const Event &other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
    };

    TimePoint m_now{1h};
    std::uint64_t m_nextOrder = 0;
    std::priority_queue<Event> m_events;
};

/// Results of the measured part of one run.
struct Counters
{
    std::uint64_t arrived = 0;
    std::uint64_t conforming = 0;        // conforming to the account's limits, by one bucket for the whole fleet
    std::uint64_t refusedConforming = 0; // of the conforming requests
    std::uint64_t admitted = 0;
    double excess = 0; // most requests beyond burst + rate * time in any interval, warm-up included
    std::uint64_t messages = 0;
    std::uint64_t storeCalls = 0;
};

using DecisionCallback = std::function<void(bool isAdmitted)>;

/// One way to enforce the limits over the fleet. Each request's callback is called once, immediately or later.
class RateLimiter
{
public:
    virtual ~RateLimiter() = default;
    virtual void request(std::size_t vm, DecisionCallback callback) = 0;
};

/// Each VM has a bucket with an equal share of the limits.
class EvenSplit final : public RateLimiter
{
public:
    EvenSplit(Simulation &simulation, std::size_t vms, const Limits &limits)
        : m_simulation(simulation)
    {
        const auto n = static_cast<double>(vms);
        m_buckets.assign(
            vms, TokenBucket({.ratePerSecond = limits.ratePerSecond / n, .burst = std::max(1.0, limits.burst / n)}, simulation.now()));
    }
    void request(std::size_t vm, DecisionCallback callback) override { callback(m_buckets[vm].take(m_simulation.now())); }

private:
    Simulation &m_simulation;
    std::vector<TokenBucket> m_buckets;
};

/// One VM holds the bucket, under a lease in the store; the others ask it for each request.
class Owner final : public RateLimiter
{
public:
    Owner(Simulation &simulation, const Limits &limits, std::size_t owner, Counters &counters)
        : m_simulation(simulation)
        , m_bucket(limits, simulation.now())
        , m_owner(owner)
        , m_counters(counters)
    {
        renew();
    }
    void request(std::size_t vm, DecisionCallback callback) override
    {
        if (vm == m_owner) {
            callback(m_bucket.take(m_simulation.now()));
            return;
        }
        m_counters.messages += 2;
        m_simulation.schedule(messageLatency, [this, callback] {
            const bool isAdmitted = m_bucket.take(m_simulation.now());
            m_simulation.schedule(messageLatency, [callback, isAdmitted] { callback(isAdmitted); });
        });
    }

private:
    void renew()
    {
        ++m_counters.storeCalls;
        m_simulation.schedule(leaseRenewal, [this] { renew(); });
    }

    Simulation &m_simulation;
    TokenBucket m_bucket;
    std::size_t m_owner;
    Counters &m_counters;
};

/// Each Vm reserves a batch of tokens by a conditional update of one counter in the store.
class Central final : public RateLimiter
{
public:
    Central(Simulation &simulation, std::size_t vms, const Limits &limits, double demand, Counters &counters)
        : m_simulation(simulation)
        , m_bucket(limits, simulation.now())
        , m_writes({.ratePerSecond = storeWriteRate / accountCount, .burst = storeWriteRate / accountCount}, simulation.now())
        , m_batch(std::max(1.0, std::floor(demand / static_cast<double>(vms) * std::chrono::duration<double>(batchTime).count())))
        , m_vms(vms)
        , m_counters(counters)
    {
    }
    void request(std::size_t vm, DecisionCallback callback) override
    {
        Reservation &reservation = m_vms[vm];
        if (m_simulation.now() < reservation.expiresAt && reservation.tokens >= 1) {
            reservation.tokens -= 1;
            callback(true);
            return;
        }
        reservation.waiting.push_back(std::move(callback));
        if (reservation.waiting.size() == 1) {
            reserve(vm);
        }
    }

private:
    struct Reservation
    {
        double tokens = 0;
        TimePoint expiresAt; // reserved tokens expire, so that they do not add to a later burst
        std::vector<DecisionCallback> waiting;
    };

    void reserve(std::size_t vm)
    {
        if (!m_writes.take(m_simulation.now())) {
            finish(vm, 0);
            return;
        }
        ++m_counters.storeCalls;
        const std::uint64_t version = m_version;
        m_simulation.schedule(storeLatency, [this, vm, version] {
            if (version != m_version) {
                reserve(vm); // another VM updated the counter first
                return;
            }
            ++m_version;
            const double wanted = std::max(m_batch, static_cast<double>(m_vms[vm].waiting.size()));
            finish(vm, std::floor(m_bucket.takeUpTo(wanted, m_simulation.now())));
        });
    }

    void finish(std::size_t vm, double tokens)
    {
        Reservation &reservation = m_vms[vm];
        reservation.tokens = tokens;
        reservation.expiresAt = m_simulation.now() + batchTime;
        const std::vector<DecisionCallback> waiting = std::exchange(reservation.waiting, {});
        for (const DecisionCallback &it : waiting) {
            it(reservation.tokens >= 1);
            reservation.tokens = std::max(0.0, reservation.tokens - 1);
        }
    }

    Simulation &m_simulation;
    TokenBucket m_bucket;
    TokenBucket m_writes;
    double m_batch;
    std::uint64_t m_version = 0;
    std::vector<Reservation> m_vms;
    Counters &m_counters;
};

/// The product's method: a QuotaLedger on each Vm, with simulated latencies of the store and of messages.
class GrantsAndLoans final : public RateLimiter
{
public:
    GrantsAndLoans(Simulation &simulation, const VmList &list, const Limits &limits, Counters &counters)
        : m_simulation(simulation)
        , m_counters(counters)
        , m_wakes(list.vms.size())
    {
        for (std::size_t vm = 0; vm < list.vms.size(); ++vm) {
            m_indexes[list.vms[vm].name] = vm;
            m_ledgers.emplace_back(QuotaOptions{}, list.vms[vm].name, transferredIncarnation + 1 + vm);
        }
        for (std::size_t vm = 0; vm < list.vms.size(); ++vm) {
            handle(vm, VmListSeen{.list = list});
            handle(vm, LimitsSeen{.account = account, .limits = limits});
            tick(vm);
        }
    }
    void request(std::size_t vm, DecisionCallback callback) override
    {
        const TicketId ticket = m_nextTicket++;
        m_callbacks[ticket] = std::move(callback);
        handle(vm, RequestArrived{.ticket = ticket, .account = account});
    }

private:
    void tick(std::size_t vm)
    {
        handle(vm, FreshnessProved{.since = m_simulation.now()});
        handle(vm, TimePassed{});
        m_simulation.schedule(500ms, [this, vm] { tick(vm); });
    }

    void handle(std::size_t vm, const QuotaEvent &event)
    {
        std::vector<QuotaCommand> commands;
        m_ledgers[vm].handle(event, m_simulation.now(), commands);
        for (const QuotaCommand &it : commands) {
            execute(vm, it);
        }
        const std::optional<TimePoint> wake = m_ledgers[vm].nextWake();
        if (wake && (m_wakes[vm] <= m_simulation.now() || *wake < m_wakes[vm])) {
            m_wakes[vm] = *wake;
            m_simulation.schedule(*wake - m_simulation.now(), [this, vm] { handle(vm, TimePassed{}); });
        }
    }

    void scheduleEvent(Duration delay, std::size_t vm, const QuotaEvent &event)
    {
        m_simulation.schedule(delay, [this, vm, event] { handle(vm, event); });
    }

    void complete(TicketId ticket, bool isAdmitted)
    {
        const DecisionCallback callback = std::move(m_callbacks.at(ticket));
        m_callbacks.erase(ticket);
        callback(isAdmitted);
    }

    void execute(std::size_t vm, const QuotaCommand &command)
    {
        if (const auto *admit = std::get_if<AdmitRequest>(&command)) {
            complete(admit->ticket, true);
        } else if (const auto *refuse = std::get_if<RefuseRequest>(&command)) {
            complete(refuse->ticket, false);
        } else if (const auto *ask = std::get_if<AskLoan>(&command)) {
            ++m_counters.messages;
            scheduleEvent(messageLatency, m_indexes.at(ask->peer), LoanAsked{ask->ask});
        } else if (const auto *answer = std::get_if<AnswerLoan>(&command)) {
            ++m_counters.messages;
            scheduleEvent(messageLatency, m_indexes.at(answer->peer), LoanAnswered{answer->answer});
        } else if (const auto *write = std::get_if<WriteGrant>(&command)) {
            ++m_counters.storeCalls;
            m_simulation.schedule(storeLatency / 2, [this, vm, write = *write] { applyWrite(vm, write); });
        } else {
            ++m_counters.storeCalls;
            scheduleEvent(storeLatency, vm, GrantSeen{.account = account, .version = m_version, .grant = m_grant});
        }
    }

    void applyWrite(std::size_t vm, const WriteGrant &write)
    {
        if (write.ifVersion.value_or(0) != m_version) {
            scheduleEvent(storeLatency / 2, vm, GrantWriteFailed{.account = account, .code = ErrorCode::VersionConflict});
            return;
        }
        ++m_version;
        m_grant = write.grant;
        scheduleEvent(storeLatency / 2, vm, GrantWritten{.account = account, .version = m_version});
        for (std::size_t i = 0; i < m_ledgers.size(); ++i) {
            scheduleEvent(100ms, i, GrantSeen{.account = account, .version = m_version, .grant = m_grant}); // delay of the change feed
        }
    }

    Simulation &m_simulation;
    Counters &m_counters;
    std::vector<TimePoint> m_wakes;
    std::vector<QuotaLedger> m_ledgers;
    std::map<VmName, std::size_t> m_indexes;
    std::map<TicketId, DecisionCallback> m_callbacks;
    TicketId m_nextTicket = 1;
    std::uint64_t m_version = 0;
    QuotaGrant m_grant;
};

struct Scenario
{
    Method method = Method::GrantsAndLoans;
    Traffic traffic = Traffic::Even;
    Callers callers = Callers::Homes;
    std::size_t vms = 8;
    Limits limits;
};

VmList makeList(std::size_t vms)
{
    VmList list;
    for (std::size_t vm = 0; vm < vms; ++vm) {
        list.vms.push_back({.name = {"vm-" + std::to_string(vm)}, .failureDomain = {"fd-" + std::to_string(vm % 4)}});
    }
    return list;
}

std::vector<std::size_t> reachableVms(const Scenario &scenario, const VmList &list)
{
    std::vector<std::size_t> reachable;
    if (scenario.callers == Callers::Random) {
        for (std::size_t vm = 0; vm < scenario.vms; ++vm) {
            reachable.push_back(vm);
        }
        return reachable;
    }
    for (const VmEntry &home : orderAddresses(list.vms, account, homeCount(scenario.limits))) {
        const auto position = std::find(list.vms.begin(), list.vms.end(), home);
        reachable.push_back(static_cast<std::size_t>(position - list.vms.begin()));
    }
    return reachable;
}

std::size_t chooseVm(const Scenario &scenario, const std::vector<std::size_t> &reachable, TimePoint now, Generator &generator)
{
    const bool isHot = (scenario.traffic == Traffic::Skewed || scenario.traffic == Traffic::Shifting)
        && std::uniform_real_distribution<double>(0, 1)(generator) < hotShare;
    if (isHot) {
        const auto shift = scenario.traffic == Traffic::Shifting ? now.time_since_epoch() / shiftInterval : 0;
        return reachable[static_cast<std::size_t>(shift) % reachable.size()];
    }
    return reachable[std::uniform_int_distribution<std::size_t>(0, reachable.size() - 1)(generator)];
}

std::unique_ptr<RateLimiter>
makeRateLimiter(const Scenario &scenario, Simulation &simulation, const VmList &list, double demand, std::size_t owner, Counters &counters)
{
    switch (scenario.method) {
    case Method::EvenSplit:
        return std::make_unique<EvenSplit>(simulation, scenario.vms, scenario.limits);
    case Method::Owner:
        return std::make_unique<Owner>(simulation, scenario.limits, owner, counters);
    case Method::Central:
        return std::make_unique<Central>(simulation, scenario.vms, scenario.limits, demand, counters);
    default:
        return std::make_unique<GrantsAndLoans>(simulation, list, scenario.limits, counters);
    }
}

Counters runScenario(const Scenario &scenario, std::uint64_t seed)
{
    Simulation simulation;
    Generator generator(seed);
    Counters counters;
    const VmList list = makeList(scenario.vms);
    const std::vector<std::size_t> reachable = reachableVms(scenario, list);
    const double demand = scenario.limits.ratePerSecond * (scenario.traffic == Traffic::Overload ? overloadFactor : normalLoad);
    const std::unique_ptr<RateLimiter> limiter = makeRateLimiter(scenario, simulation, list, demand, reachable.front(), counters);
    TokenBucket referenceBucket(scenario.limits, simulation.now());
    double admittedLevel = scenario.limits.burst; // of a bucket that counts admitted requests; negative: the excess
    TimePoint lastAdmissionAt = simulation.now();
    const auto recordAdmission = [&] {
        const double seconds = std::chrono::duration<double>(simulation.now() - lastAdmissionAt).count();
        admittedLevel = std::min(scenario.limits.burst, admittedLevel + seconds * scenario.limits.ratePerSecond) - 1;
        lastAdmissionAt = simulation.now();
        counters.excess = std::max(counters.excess, -admittedLevel);
        ++counters.admitted;
    };
    std::function<void()> arrive = [&] {
        ++counters.arrived;
        const bool isConforming = referenceBucket.take(simulation.now());
        counters.conforming += isConforming ? 1 : 0;
        limiter->request(chooseVm(scenario, reachable, simulation.now(), generator), [&, isConforming](bool isAdmitted) {
            if (isAdmitted) {
                recordAdmission();
            } else {
                counters.refusedConforming += isConforming ? 1 : 0;
            }
        });
        const double interarrival = std::exponential_distribution<double>(demand)(generator);
        simulation.schedule(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interarrival)), arrive);
    };
    simulation.schedule(1ms, arrive);
    const TimePoint start = simulation.now() + warmUp;
    simulation.runUntil(start);
    const double excess = counters.excess;
    counters = Counters{.excess = excess};
    simulation.runUntil(start + measureTime);
    return counters;
}

const char *name(Method method)
{
    const char *names[] = {"grants and loans", "even split", "one owner", "central"};
    return names[static_cast<std::size_t>(method)];
}

const char *name(Traffic traffic)
{
    const char *names[] = {"even", "skewed", "shifting", "5x overload"};
    return names[static_cast<std::size_t>(traffic)];
}

void print(const Scenario &scenario)
{
    const Counters counters = runScenario(scenario, 1);
    const double seconds = std::chrono::duration<double>(measureTime).count();
    std::printf("| %s | %zu | %s | %s | %.0f/%.0f | %.3f %% | %.1f %% | %.2f | %.1f | %.2f |\n",
                name(scenario.method),
                scenario.vms,
                name(scenario.traffic),
                scenario.callers == Callers::Homes ? "homes" : "random",
                scenario.limits.ratePerSecond,
                scenario.limits.burst,
                100.0 * static_cast<double>(counters.refusedConforming)
                    / static_cast<double>(std::max<std::uint64_t>(counters.conforming, 1)),
                100.0 * static_cast<double>(counters.admitted) / static_cast<double>(std::max<std::uint64_t>(counters.conforming, 1)),
                counters.excess > 1e-6 ? counters.excess : 0.0,
                static_cast<double>(counters.messages) / seconds,
                static_cast<double>(counters.storeCalls) / seconds);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<std::size_t> sizes;
    for (int i = 1; i < argc; ++i) {
        sizes.push_back(std::strtoul(argv[i], nullptr, 10));
    }
    if (sizes.empty()) {
        sizes = {8, 16, 40};
    }
    std::printf("| way | VMs | traffic | callers | rate/burst | refused inside | admitted of inside | excess | messages/s | store "
                "calls/s |\n");
    std::printf("| --- | --: | --- | --- | --- | --: | --: | --: | --: | --: |\n");
    for (const std::size_t vms : sizes) {
        for (const Limits &limits : {Limits{.ratePerSecond = 50, .burst = 100}, Limits{.ratePerSecond = 400, .burst = 200}}) {
            for (const Callers callers : {Callers::Homes, Callers::Random}) {
                for (const Traffic traffic : {Traffic::Even, Traffic::Skewed, Traffic::Shifting, Traffic::Overload}) {
                    for (const Method method : {Method::GrantsAndLoans, Method::EvenSplit, Method::Owner, Method::Central}) {
                        print({.method = method, .traffic = traffic, .callers = callers, .vms = vms, .limits = limits});
                    }
                }
            }
        }
    }
    return 0;
}
