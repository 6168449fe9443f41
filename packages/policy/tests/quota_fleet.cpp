#include "quota_fleet.h"
#include <algorithm>
#include <bit>
#include <deque>
#include <queue>

namespace Pollenspoke {

namespace {

using namespace std::chrono_literals;

constexpr Duration faultDuration = 2500ms;     // virtual time with faults
constexpr Duration restorationDuration = 5s;   // virtual time within which all capacity must be restored
constexpr Duration pollInterval = 100ms;       // longest time between configuration feed polls of a process
constexpr Duration listInterval = 60ms;        // between reads of the Vm list
constexpr Duration maxListLag = 150ms;         // longest lag of the Vm list
constexpr Duration maxVouchingListAge = 200ms; // oldest list read on which a Vm vouches for another
constexpr Duration maxPeerProofAge = 100ms;    // oldest proof of freshness that a peer forwards
constexpr Duration tickInterval = 25ms;
constexpr Duration storeTimeout = 60ms;
constexpr double tokenTolerance = 1e-6; // tokens
constexpr double restoredShare = 0.97;  // of the limits; the rest allows for clock drift

const AccountName account{"shop"};

const VmName &vmName(std::size_t vm)
{
    static const std::vector<VmName> names{{"vm-0"}, {"vm-1"}, {"vm-2"}, {"vm-3"}, {"vm-4"}};
    return names[vm];
}

const QuotaOptions quotaOptions{.loanTerm = 100ms,
                                .tokenLoanTerm = 30ms,
                                .answerWait = 5ms,
                                .admitWait = 15ms,
                                .askPause = 10ms,
                                .freshTerm = 300ms,
                                .fence = 800ms,
                                .takeoverDelay = 450ms,
                                .listMemory = 20s,
                                .listTerm = 200ms,
                                .writeDelay = 40ms,
                                .rankDelay = 100ms,
                                .tickInterval = 20ms,
                                .driftBound = 0.01,
                                .rateLoanDemand = 4,
                                .waitingLimit = 32};

/// Configuration at one store revision.
struct Configuration
{
    std::uint64_t revision = 0;
    Limits limits;
    std::uint64_t grantVersion = 0;
    QuotaGrant grant;
};

using SharedConfiguration = std::shared_ptr<const Configuration>;

struct FeedReply
{
    SharedConfiguration configuration;
    TimePoint since;
};

struct ListReading
{
    std::uint32_t listedMask = 0; // one bit per Vm
};

struct StoreWrite
{
    WriteGrant write;
};

struct StoreRead
{
};

struct PauseEnd
{
};

using Payload = std::variant<FeedReply, ListReading, StoreWrite, StoreRead, PauseEnd, QuotaEvent>;

struct Message
{
    Duration at{0};
    std::uint64_t order = 0;
    std::size_t process = 0; // receiver; for messages to the store, the sender
    Payload payload;

    bool operator>(const Message &other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
};

struct Process
{
    std::size_t vm = 0;
    std::uint64_t incarnation = 0;
    double clockDrift = 0;
    bool isRunning = true;
    bool isNewest = true; // no later process of the same Vm was started
    bool isLeaving = false;
    std::optional<QuotaLedger> ledger;
    std::deque<Payload> queuedPayloads; // received while paused
    std::optional<Duration> pausedUntil;
    SharedConfiguration configuration = std::make_shared<Configuration>();
    Duration storeSyncedAt{-1}; // start of the last exchange with the store, in true time; negative: none
    TimePoint storeSyncedAtLocal;
    std::uint32_t listedMask = 0;
    Duration listReadAt{-1};
    Duration nextPoll{0};
    Duration nextList{0};
    Duration nextTick{0};
};

/// One admission, taken as the start of the intervals that are checked.
struct Admission
{
    double accrued = 0; // requests allowed by the rate before this admission
    double burst = 0;   // largest allowed burst since then
};

class Fleet
{
public:
    explicit Fleet(const QuotaFleetOptions &options);
    QuotaFleetResult run();

private:
    // Random choices.
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_generator); }
    std::size_t pickIndex(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_generator); }
    bool withProbability(double probability) { return uniform() < probability; }
    Duration randomDuration(Duration longest)
    {
        return Duration(static_cast<std::int64_t>(uniform() * static_cast<double>(longest.count())));
    }
    Duration messageDelay();

    // Time and messages.
    TimePoint localTime(const Process &process) const;
    void send(Duration delay, std::size_t process, Payload payload);
    void advanceTo(Duration until);
    void deliver(std::size_t index, Payload payload);
    void resume(std::size_t index);
    void runDueTimers(std::size_t index);
    void handle(std::size_t index, const QuotaEvent &event);
    void execute(std::size_t index, const QuotaCommand &command);
    std::optional<std::size_t> newestProcess(const VmName &vm) const;

    // Store, feed and list.
    bool canSendToStore(std::size_t vm) const { return !m_isStoreDown && !m_isLinkDown[vm][storeIndex]; }
    bool canExchangeWithStore(std::size_t vm) const { return canSendToStore(vm) && !m_isLinkDown[storeIndex][vm]; }
    bool areConnected(std::size_t left, std::size_t right) const { return !m_isLinkDown[left][right] && !m_isLinkDown[right][left]; }
    void pollFeed(std::size_t index);
    bool pollFeedFromPeers(std::size_t index);
    void pollFeedFromMajority(std::size_t index);
    void readList(std::size_t index);
    void writeGrant(std::size_t index, const WriteGrant &write);
    void readGrant(std::size_t index);
    void applyFeed(std::size_t index, const FeedReply &reply);
    std::uint32_t listedMaskAt(Duration time) const;
    void changeList(std::uint32_t listedMask);

    // Reference model of the limits.
    Limits allowedLimits() const;
    void accrue();
    void checkAdmission();

    // Faults.
    void startProcess(std::size_t vm);
    void crash(std::size_t index);
    void injectTraffic();
    void injectFault();
    void changeLimits(const Limits &limits);
    void clearFaults();
    void checkRestoration();

    static constexpr std::size_t storeIndex = 5;

    QuotaFleetOptions m_options;
    Generator m_generator;
    std::size_t m_vmCount = 3;
    Duration m_now{0};
    std::uint64_t m_order = 0;
    std::priority_queue<Message, std::vector<Message>, std::greater<>> m_messages;
    std::vector<Process> m_processes;
    SharedConfiguration m_store;
    bool m_isStoreDown = false;
    bool m_isLinkDown[storeIndex + 1][storeIndex + 1] = {};
    std::vector<std::pair<Duration, std::uint32_t>> m_listHistory;
    bool m_faultsEnded = false;
    TicketId m_nextTicket = 1;
    std::uint64_t m_nextIncarnation = transferredIncarnation + 1;
    double m_lossProbability = 0;
    double m_slowProbability = 0;
    std::vector<Admission> m_admissions;
    double m_accrued = 0; // requests allowed by the rate so far
    Limits m_allowedLimits;
    Duration m_accruedAt{0};
    QuotaFleetResult m_result;
};

Fleet::Fleet(const QuotaFleetOptions &options)
    : m_options(options)
    , m_generator(options.seed)
{
    m_vmCount = 3 + pickIndex(3);
    m_lossProbability = withProbability(0.5) ? 0.2 * uniform() : 0;
    m_slowProbability = withProbability(0.5) ? 0.2 * uniform() : 0;
    m_store = std::make_shared<Configuration>(
        Configuration{.revision = 1, .limits = {.ratePerSecond = 10 + 30 * uniform(), .burst = std::floor(1 + 15 * uniform())}});
    m_listHistory.emplace_back(-1s, (1U << m_vmCount) - 1);
    m_allowedLimits = m_store->limits;
    for (std::size_t vm = 0; vm < m_vmCount; ++vm) {
        startProcess(vm);
    }
}

Duration Fleet::messageDelay()
{
    if (withProbability(m_slowProbability)) {
        return randomDuration(quotaOptions.loanTerm * 2);
    }
    return 200us + randomDuration(2ms);
}

TimePoint Fleet::localTime(const Process &process) const
{
    const double offset = static_cast<double>(process.incarnation) * 1e12;
    return TimePoint(Duration(static_cast<std::int64_t>(offset + static_cast<double>(m_now.count()) * (1 + process.clockDrift))));
}

void Fleet::send(Duration delay, std::size_t process, Payload payload)
{
    m_messages.push({.at = m_now + delay, .order = m_order++, .process = process, .payload = std::move(payload)});
}

void Fleet::startProcess(std::size_t vm)
{
    for (Process &it : m_processes) {
        it.isNewest = it.isNewest && it.vm != vm;
    }
    Process process{.vm = vm, .incarnation = m_nextIncarnation++};
    process.clockDrift = quotaOptions.driftBound * (2 * uniform() - 1) * 0.99;
    process.ledger.emplace(quotaOptions, vmName(vm), process.incarnation, m_options.rules);
    process.nextPoll = m_now + randomDuration(pollInterval / 4);
    process.nextList = m_now;
    process.nextTick = m_now + randomDuration(tickInterval);
    m_processes.push_back(std::move(process));
}

std::optional<std::size_t> Fleet::newestProcess(const VmName &vm) const
{
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
        const Process &it = m_processes[i];
        if (it.isNewest && it.isRunning && vmName(it.vm) == vm) {
            return i;
        }
    }
    return std::nullopt;
}

void Fleet::advanceTo(Duration until)
{
    while (!m_result.limitExceededAt) {
        Duration next = until;
        std::optional<std::size_t> processWithDueTimer;
        for (std::size_t i = 0; i < m_processes.size(); ++i) {
            const Process &it = m_processes[i];
            if (!it.isRunning || it.pausedUntil) {
                continue;
            }
            const Duration due = std::min({it.nextPoll, it.nextList, it.nextTick});
            if (due < next) {
                next = due;
                processWithDueTimer = i;
            }
        }
        if (!m_messages.empty() && m_messages.top().at <= next) {
            Message message = std::move(const_cast<Message &>(m_messages.top())); // top() is const; the moved-from entry is popped next
            m_messages.pop();
            m_now = std::max(m_now, message.at);
            deliver(message.process, std::move(message.payload));
            continue;
        }
        m_now = std::max(m_now, next);
        if (!processWithDueTimer) {
            return;
        }
        runDueTimers(*processWithDueTimer);
    }
}

void Fleet::runDueTimers(std::size_t index)
{
    if (m_processes[index].nextList <= m_now) {
        m_processes[index].nextList = m_now + listInterval;
        readList(index);
    }
    if (m_processes[index].nextPoll <= m_now) {
        m_processes[index].nextPoll = m_now + pollInterval / 2 + randomDuration(pollInterval / 2);
        pollFeed(index);
    }
    if (m_processes[index].nextTick <= m_now) {
        m_processes[index].nextTick = m_now + tickInterval;
        handle(index, TimePassed{});
    }
}

void Fleet::deliver(std::size_t index, Payload payload)
{
    if (const auto *it = std::get_if<StoreWrite>(&payload)) {
        writeGrant(index, it->write);
        return;
    }
    if (std::holds_alternative<StoreRead>(payload)) {
        readGrant(index);
        return;
    }
    Process &process = m_processes[index];
    if (!process.isRunning) {
        return;
    }
    if (std::holds_alternative<PauseEnd>(payload)) {
        if (process.pausedUntil && *process.pausedUntil <= m_now) {
            resume(index);
        }
        return;
    }
    if (process.pausedUntil) {
        process.queuedPayloads.push_back(std::move(payload));
        return;
    }
    if (const auto *it = std::get_if<FeedReply>(&payload)) {
        applyFeed(index, *it);
    } else if (const auto *list = std::get_if<ListReading>(&payload)) {
        process.listedMask = list->listedMask;
        process.listReadAt = m_now;
        VmList vms;
        for (std::size_t vm = 0; vm < m_vmCount; ++vm) {
            if ((list->listedMask >> vm & 1U) != 0) {
                vms.vms.push_back({.name = vmName(vm), .failureDomain = {"fd-" + std::to_string(vm % 2)}});
            }
        }
        handle(index, VmListSeen{.list = vms});
    } else {
        handle(index, std::get<QuotaEvent>(payload));
    }
}

void Fleet::resume(std::size_t index)
{
    m_processes[index].pausedUntil.reset();
    std::deque<Payload> queuedPayloads = std::move(m_processes[index].queuedPayloads);
    m_processes[index].queuedPayloads.clear();
    std::vector<Payload> payloads(queuedPayloads.begin(), queuedPayloads.end());
    if (withProbability(0.3)) {
        std::shuffle(payloads.begin(), payloads.end(), m_generator);
    }
    for (Payload &it : payloads) {
        deliver(index, std::move(it));
    }
}

void Fleet::handle(std::size_t index, const QuotaEvent &event)
{
    std::vector<QuotaCommand> commands;
    Process &process = m_processes[index];
    process.ledger->handle(event, localTime(process), commands);
    if (const std::optional<TimePoint> wake = process.ledger->nextWake()) {
        process.nextTick = std::min(process.nextTick, m_now + std::max<Duration>(*wake - localTime(process), 100us));
    }
    for (const QuotaCommand &it : commands) {
        execute(index, it);
    }
}

void Fleet::execute(std::size_t index, const QuotaCommand &command)
{
    const std::size_t vm = m_processes[index].vm;
    const auto sendToPeer = [&](const VmName &peer, const QuotaEvent &event) {
        const std::optional<std::size_t> to = newestProcess(peer);
        if (!to || m_isLinkDown[vm][m_processes[*to].vm] || withProbability(m_lossProbability)) {
            ++m_result.counts.lostMessages;
            return;
        }
        send(messageDelay(), *to, event);
        if (withProbability(m_lossProbability)) {
            ++m_result.counts.duplicates;
            send(messageDelay(), *to, event);
        }
    };
    if (std::holds_alternative<AdmitRequest>(command)) {
        checkAdmission();
    } else if (std::holds_alternative<RefuseRequest>(command)) {
        ++m_result.counts.refused;
    } else if (const auto *ask = std::get_if<AskLoan>(&command)) {
        sendToPeer(ask->peer, LoanAsked{ask->ask});
    } else if (const auto *answer = std::get_if<AnswerLoan>(&command)) {
        m_result.counts.loans += answer->answer.tokens > 0 ? 1 : 0;
        sendToPeer(answer->peer, LoanAnswered{answer->answer});
    } else if (const auto *write = std::get_if<WriteGrant>(&command)) {
        send(messageDelay(), index, StoreWrite{*write});
    } else {
        send(messageDelay(), index, StoreRead{});
    }
}

void Fleet::writeGrant(std::size_t index, const WriteGrant &write)
{
    const std::size_t vm = m_processes[index].vm;
    ++m_result.counts.writes;
    if (!canSendToStore(vm)) {
        const bool isStoreKnownDown = m_isStoreDown && !m_isLinkDown[storeIndex][vm];
        const ErrorCode code = isStoreKnownDown ? ErrorCode::Unavailable : ErrorCode::OutcomeUnknown;
        send(storeTimeout, index, QuotaEvent(GrantWriteFailed{.account = account, .code = code}));
        return;
    }
    const bool versionMatches = write.ifVersion.value_or(0) == m_store->grantVersion;
    if (versionMatches) {
        Configuration nextConfiguration = *m_store;
        nextConfiguration.grantVersion = ++nextConfiguration.revision;
        nextConfiguration.grant = write.grant;
        m_store = std::make_shared<Configuration>(std::move(nextConfiguration));
    } else {
        ++m_result.counts.conflicts;
    }
    if (m_isLinkDown[storeIndex][vm] || withProbability(m_lossProbability)) {
        ++m_result.counts.lostWriteAnswers;
        send(storeTimeout, index, QuotaEvent(GrantWriteFailed{.account = account, .code = ErrorCode::OutcomeUnknown}));
        return;
    }
    const QuotaEvent written = GrantWritten{.account = account, .version = m_store->grantVersion};
    const QuotaEvent conflict = GrantWriteFailed{.account = account, .code = ErrorCode::VersionConflict};
    send(messageDelay(), index, versionMatches ? written : conflict);
}

void Fleet::readGrant(std::size_t index)
{
    const std::size_t vm = m_processes[index].vm;
    if (!canExchangeWithStore(vm)) {
        send(storeTimeout, index, QuotaEvent(GrantReadFailed{.account = account}));
    } else if (m_store->grantVersion == 0) {
        send(messageDelay(), index, QuotaEvent(GrantAbsent{.account = account}));
    } else {
        send(messageDelay(), index, QuotaEvent(GrantSeen{.account = account, .version = m_store->grantVersion, .grant = m_store->grant}));
    }
}

void Fleet::pollFeed(std::size_t index)
{
    Process &process = m_processes[index];
    if (canExchangeWithStore(process.vm)) {
        process.storeSyncedAt = m_now;
        process.storeSyncedAtLocal = localTime(process);
        send(messageDelay(), index, FeedReply{.configuration = m_store, .since = localTime(process)});
        return;
    }
    if (!pollFeedFromPeers(index)) {
        pollFeedFromMajority(index);
    }
}

// A peer that recently exchanged with the store forwards its configuration and its proof of freshness.
bool Fleet::pollFeedFromPeers(std::size_t index)
{
    const Process &process = m_processes[index];
    for (const Process &it : m_processes) {
        const bool canAnswer = it.isRunning && it.isNewest && !it.pausedUntil && it.vm != process.vm && areConnected(it.vm, process.vm);
        if (!canAnswer || it.storeSyncedAt < Duration::zero() || m_now - it.storeSyncedAt > maxPeerProofAge) {
            continue;
        }
        if (it.configuration->revision == 0) {
            continue;
        }
        const Duration age = localTime(it) - it.storeSyncedAtLocal;
        const auto scaledAge = static_cast<double>(age.count()) * (1 + 3 * quotaOptions.driftBound);
        const TimePoint since = localTime(process) - Duration(static_cast<std::int64_t>(scaledAge)) - 5ms;
        send(messageDelay(), index, FeedReply{.configuration = it.configuration, .since = since});
        return true;
    }
    return false;
}

// When no reachable Vm can exchange with the store, a majority of Vms that list this one proves its freshness.
void Fleet::pollFeedFromMajority(std::size_t index)
{
    const Process &process = m_processes[index];
    if (!process.isNewest || process.listReadAt < Duration::zero()) {
        return;
    }
    SharedConfiguration newest = process.configuration;
    std::size_t votes = 1;
    for (const Process &it : m_processes) {
        const bool canAnswer = it.isRunning && it.isNewest && !it.pausedUntil && it.vm != process.vm && areConnected(it.vm, process.vm);
        if (!canAnswer || it.listReadAt < Duration::zero()) {
            continue;
        }
        if (canExchangeWithStore(it.vm) || (it.listedMask >> process.vm & 1U) == 0 || m_now - it.listReadAt > maxVouchingListAge) {
            return;
        }
        ++votes;
        newest = it.configuration->revision > newest->revision ? it.configuration : newest;
    }
    const auto listedCount = static_cast<std::size_t>(std::popcount(process.listedMask));
    if (votes * 2 <= std::max(listedCount, m_vmCount) || newest->revision == 0) {
        return;
    }
    ++m_result.counts.majorityProofs;
    send(messageDelay(), index, FeedReply{.configuration = newest, .since = localTime(process)});
}

void Fleet::applyFeed(std::size_t index, const FeedReply &reply)
{
    Process &process = m_processes[index];
    if (reply.configuration->revision > process.configuration->revision) {
        process.configuration = reply.configuration;
        handle(index, LimitsSeen{.account = account, .limits = reply.configuration->limits});
        if (reply.configuration->grantVersion != 0) {
            handle(index, GrantSeen{.account = account, .version = reply.configuration->grantVersion, .grant = reply.configuration->grant});
        }
    }
    handle(index, FreshnessProved{.since = reply.since});
}

std::uint32_t Fleet::listedMaskAt(Duration time) const
{
    std::uint32_t listedMask = m_listHistory.front().second;
    for (const auto &[since, mask] : m_listHistory) {
        if (since <= time) {
            listedMask = mask;
        }
    }
    return listedMask;
}

void Fleet::changeList(std::uint32_t listedMask)
{
    m_listHistory.emplace_back(m_now, listedMask);
}

void Fleet::readList(std::size_t index)
{
    send(messageDelay() / 4, index, ListReading{.listedMask = listedMaskAt(m_now - randomDuration(maxListLag / 2))});
}

// A lowered limit applies only once it has reached every Vm that may admit; until then the former one is allowed.
Limits Fleet::allowedLimits() const
{
    Limits allowed = m_store->limits;
    for (const Process &it : m_processes) {
        if (it.isRunning && it.ledger->isFresh(localTime(it))) {
            allowed.ratePerSecond = std::max(allowed.ratePerSecond, it.configuration->limits.ratePerSecond);
            allowed.burst = std::max(allowed.burst, it.configuration->limits.burst);
        }
    }
    return allowed;
}

// Accumulates the allowed rate. When the limits have changed since the last call, the greater rate counts for that time.
void Fleet::accrue()
{
    const Limits allowed = allowedLimits();
    const double seconds = std::chrono::duration<double>(m_now - m_accruedAt).count();
    m_accrued += seconds * std::max(allowed.ratePerSecond, m_allowedLimits.ratePerSecond);
    m_accruedAt = m_now;
    m_allowedLimits = allowed;
    for (Admission &it : m_admissions) {
        it.burst = std::max(it.burst, allowed.burst);
    }
}

// Checks every interval that starts at an admission and ends now.
void Fleet::checkAdmission()
{
    ++m_result.counts.admitted;
    accrue();
    m_admissions.push_back({.accrued = m_accrued, .burst = m_allowedLimits.burst});
    for (std::size_t i = 0; i < m_admissions.size(); ++i) {
        const auto n = static_cast<double>(m_admissions.size() - i);
        const double allowed = m_admissions[i].burst + m_accrued - m_admissions[i].accrued;
        if (n > allowed + tokenTolerance && !m_result.limitExceededAt) {
            m_result.limitExceededAt = std::chrono::duration<double>(m_now).count();
        }
    }
}

void Fleet::injectTraffic()
{
    const std::size_t index = pickIndex(m_processes.size());
    const std::size_t n = withProbability(0.3) ? 1 + pickIndex(16) : 1 + pickIndex(3);
    for (std::size_t i = 0; i < n; ++i) {
        const Process &process = m_processes[index];
        if (process.isRunning && !process.pausedUntil) {
            handle(index, RequestArrived{.ticket = m_nextTicket++, .account = account});
        }
    }
}

void Fleet::crash(std::size_t index)
{
    Process &process = m_processes[index];
    if (!process.isRunning) {
        return;
    }
    ++m_result.counts.crashes;
    process.isRunning = false;
    if (process.isNewest && withProbability(0.5)) {
        changeList(m_listHistory.back().second & ~(1U << process.vm));
    }
}

void Fleet::injectFault()
{
    const std::size_t index = pickIndex(m_processes.size());
    const std::size_t vm = m_processes[index].vm;
    switch (pickIndex(12)) {
    case 0: { // pause a process, often beyond a loan term and sometimes beyond the fence
        const Duration pauseDuration
            = withProbability(0.5) ? randomDuration(quotaOptions.loanTerm * 2) : randomDuration(quotaOptions.fence * 2);
        m_processes[index].pausedUntil = m_now + pauseDuration;
        ++m_result.counts.pauses;
        send(pauseDuration, index, PauseEnd{});
        break;
    }
    case 1:
        crash(index);
        break;
    case 2: // restart a crashed process, or start a replacement while the old process keeps running
        if (m_processes.size() < m_vmCount + 4) {
            m_result.counts.replacements += m_processes[index].isRunning ? 1 : 0;
            changeList(m_listHistory.back().second | (1U << vm));
            startProcess(vm);
        }
        break;
    case 3:
        m_isStoreDown = !m_isStoreDown;
        m_result.counts.storeOutages += m_isStoreDown ? 1 : 0;
        break;
    case 4:
    case 5:
    case 6: { // toggle one direction of a link
        const std::size_t to = withProbability(0.5) ? storeIndex : pickIndex(m_vmCount);
        const bool isOutgoing = withProbability(0.5);
        bool &isLinkDown = isOutgoing ? m_isLinkDown[vm][to] : m_isLinkDown[to][vm];
        isLinkDown = !isLinkDown && to != vm;
        m_result.counts.cuts += isLinkDown ? 1 : 0;
        break;
    }
    case 7:
        if ((m_listHistory.back().second & ~(1U << vm)) != 0) {
            changeList(m_listHistory.back().second & ~(1U << vm));
            ++m_result.counts.listDrops;
        }
        break;
    case 8:
        changeList(m_listHistory.back().second | (1U << vm));
        break;
    case 9:
        accrue();
        changeLimits({.ratePerSecond = 5 + 40 * uniform(), .burst = std::floor(1 + 20 * uniform())});
        ++m_result.counts.limitChanges;
        accrue();
        break;
    case 10: // start a planned stop; the process ends later
        if (m_processes[index].isRunning && !m_processes[index].pausedUntil && !m_processes[index].isLeaving) {
            m_processes[index].isLeaving = true;
            ++m_result.counts.leaves;
            handle(index, LeaveStarted{});
        }
        break;
    default: // restore all links, so that a run does not stay partitioned
        std::fill(&m_isLinkDown[0][0], &m_isLinkDown[0][0] + (storeIndex + 1) * (storeIndex + 1), false);
        break;
    }
}

void Fleet::changeLimits(const Limits &limits)
{
    Configuration nextConfiguration = *m_store;
    nextConfiguration.limits = limits;
    ++nextConfiguration.revision;
    m_store = std::make_shared<Configuration>(std::move(nextConfiguration));
}

void Fleet::clearFaults()
{
    m_isStoreDown = false;
    m_lossProbability = 0;
    m_slowProbability = 0;
    std::fill(&m_isLinkDown[0][0], &m_isLinkDown[0][0] + (storeIndex + 1) * (storeIndex + 1), false);
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
        Process &it = m_processes[i];
        if (!it.isNewest || it.isLeaving) {
            it.isRunning = false;
        } else if (it.pausedUntil && it.isRunning) {
            resume(i);
        }
    }
    const std::size_t count = m_processes.size();
    for (std::size_t i = 0; i < count; ++i) {
        if (m_processes[i].isNewest && !m_processes[i].isRunning) {
            startProcess(m_processes[i].vm);
        }
    }
    changeList((1U << m_vmCount) - 1);
}

void Fleet::checkRestoration()
{
    clearFaults();
    const Duration until = m_now + restorationDuration;
    advanceTo(m_now + 50ms);
    injectTraffic();
    advanceTo(until);
    Limits heldLimits;
    double heldTokens = 0;
    for (const Process &it : m_processes) {
        if (it.isRunning) {
            const QuotaHolding holding = it.ledger->holding(account, localTime(it));
            heldLimits.ratePerSecond += holding.own.ratePerSecond + holding.lent.ratePerSecond;
            heldLimits.burst += holding.own.burst + holding.lent.burst;
            heldTokens += holding.ownTokens;
        }
    }
    const Limits &limits = m_store->limits;
    const bool isRestored = heldLimits.ratePerSecond >= limits.ratePerSecond * restoredShare
        && heldLimits.burst >= limits.burst * restoredShare && heldTokens >= limits.burst * restoredShare;
    if (!isRestored && m_store->grantVersion != 0) {
        m_result.unrestoredCapacity = "rate " + std::to_string(heldLimits.ratePerSecond) + "/" + std::to_string(limits.ratePerSecond)
            + ", burst " + std::to_string(heldLimits.burst) + "/" + std::to_string(limits.burst) + ", tokens " + std::to_string(heldTokens);
    }
}

QuotaFleetResult Fleet::run()
{
    advanceTo(20ms + randomDuration(200ms));
    while (m_now < faultDuration && !m_result.limitExceededAt) {
        const double draw = uniform();
        if (draw < 0.75) {
            injectTraffic();
            advanceTo(m_now + (withProbability(0.7) ? randomDuration(5ms) : randomDuration(120ms)));
        } else {
            injectFault();
            advanceTo(m_now + (withProbability(0.9) ? randomDuration(20ms) : randomDuration(900ms)));
        }
    }
    if (m_options.checksRestoration && !m_result.limitExceededAt) {
        checkRestoration();
    }
    m_result.counts.runs = 1;
    return m_result;
}

} // namespace

void QuotaFleetCounts::add(const QuotaFleetCounts &other)
{
    runs += other.runs;
    admitted += other.admitted;
    refused += other.refused;
    loans += other.loans;
    lostMessages += other.lostMessages;
    duplicates += other.duplicates;
    writes += other.writes;
    conflicts += other.conflicts;
    lostWriteAnswers += other.lostWriteAnswers;
    pauses += other.pauses;
    crashes += other.crashes;
    replacements += other.replacements;
    leaves += other.leaves;
    storeOutages += other.storeOutages;
    cuts += other.cuts;
    listDrops += other.listDrops;
    limitChanges += other.limitChanges;
    majorityProofs += other.majorityProofs;
}

QuotaFleetResult runQuotaFleet(const QuotaFleetOptions &options)
{
    return Fleet(options).run();
}

} // namespace Pollenspoke
