#include "ledger.h"

#include <algorithm>
#include <array>
#include <deque>

namespace Pollenspoke {

namespace {

// How far the platform's specification lets an account's executed requests exceed its quota within a window.
constexpr auto quotaWindow = std::chrono::seconds(5);
constexpr double quotaTolerance = 1.1; // factor
constexpr double quotaAllowance = 20;  // requests

// How long requests may still reach a target after it announced that it is leaving, or asked for a pause.
constexpr auto drainTime = std::chrono::seconds(2);
constexpr auto pauseSlack = std::chrono::milliseconds(500);
constexpr std::size_t maxArrivalsInPause = 2;

// How far the platform's specification lets requests to a target exceed the limit that it named, from the Vms that had been told.
constexpr auto limitContactTime = std::chrono::seconds(3); // after it was first named
constexpr auto limitToldTime = std::chrono::milliseconds(500);
constexpr auto limitWindow = std::chrono::seconds(4);
constexpr double limitTolerance = 1.5; // factor
constexpr double limitAllowance = 5;   // requests

constexpr std::array<unsigned, 4> notExecutedStatuses{408, 421, 429, 503};

bool isNotExecuted(unsigned status)
{
    return std::find(notExecutedStatuses.begin(), notExecutedStatuses.end(), status) != notExecutedStatuses.end();
}

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

} // namespace

void Ledger::recordRequest(const std::string &id, SentRequest request)
{
    const std::lock_guard lock(m_mutex);
    m_entries[id] = Entry{.request = std::move(request), .sentAt = Clock::now()};
}

void Ledger::recordExecution(const Execution &execution)
{
    const std::lock_guard lock(m_mutex);
    const auto iterator = m_entries.find(execution.id);
    if (iterator == m_entries.end()) {
        m_violations.push_back("UNASKED: request " + execution.id + " was executed but no caller sent it");
        return;
    }
    Entry &entry = iterator->second;
    const SentRequest &sent = entry.request;
    if (execution.method != sent.method || execution.path != sent.path || execution.body != sent.body) {
        m_violations.push_back("UNASKED: request " + execution.id + " was executed in altered form: " + execution.method + " "
                               + execution.path);
    }
    if (execution.account != sent.account || execution.hasCallerKey) {
        m_violations.push_back("UNASKED: request " + execution.id + " was executed for account " + execution.account
                               + (execution.hasCallerKey ? " with the caller's key" : ""));
    }
    if (execution.service != sent.service) {
        m_violations.push_back("ROUTE: request " + execution.id + " was executed by service " + execution.service);
    }
    if (!entry.executedAt.empty() && !sent.isIdempotent) {
        m_violations.push_back("TWICE: request " + execution.id + " was executed more than once");
    }
    if (isNotExecuted(entry.status) && !sent.isIdempotent) {
        m_violations.push_back("REFUSED: request " + execution.id + " was executed after status " + std::to_string(entry.status));
    }
    entry.executedAt.push_back(Clock::now());
}

void Ledger::recordLimit(const std::string &instance, std::optional<double> limit)
{
    const std::lock_guard lock(m_mutex);
    if (limit) {
        LimitedInstance &it = m_limited.try_emplace(instance, LimitedInstance{.since = Clock::now()}).first->second;
        it.limit = *limit;
    } else {
        m_limited.erase(instance);
    }
}

void Ledger::checkLimit(const std::string &id, const std::string &vm, const std::string &instance)
{
    const auto found = m_limited.find(instance);
    if (found == m_limited.end()) {
        return;
    }
    LimitedInstance &it = found->second;
    const Clock::time_point now = Clock::now();
    const auto told = it.toldAt.find(vm);
    if (told == it.toldAt.end() || now - told->second < limitToldTime || now - it.since < limitContactTime) {
        return;
    }
    it.arrivals.push_back(now);
    while (now - it.arrivals.front() > limitWindow) {
        it.arrivals.pop_front();
    }
    const double allowed = it.limit * limitTolerance * std::chrono::duration<double>(limitWindow).count() + limitAllowance;
    if (static_cast<double>(it.arrivals.size()) > allowed) {
        m_violations.push_back("LIMIT: request " + id + " reached " + instance + ", the " + std::to_string(it.arrivals.size())
                               + "th in a window");
    }
}

void Ledger::recordResponse(const std::string &id, const ReceivedResponse &response)
{
    const std::lock_guard lock(m_mutex);
    Entry &entry = m_entries[id];
    entry.status = response.status;
    entry.isComplete = true;
    if (const auto it = m_limited.find(response.limitingInstance); it != m_limited.end()) {
        it->second.toldAt.emplace(entry.request.vm, Clock::now());
    }
    if (!response.leavingInstance.empty()) {
        std::optional<Clock::time_point> &since = m_announcements[{entry.request.vm, response.leavingInstance}].leavingSince;
        since = since.value_or(Clock::now());
    }
    if (isSuccess(response.status) && (!response.isSigned || response.id != id || response.body != expectedBody(id))) {
        m_violations.push_back("MIXED: request " + id + " got the response of another request or an unsigned one: " + response.id);
    }
    if (isNotExecuted(response.status) && !entry.request.isIdempotent && !entry.executedAt.empty()) {
        m_violations.push_back("REFUSED: request " + id + " was executed but got status " + std::to_string(response.status));
    }
}

void Ledger::recordArrival(const std::string &id, const std::string &instance)
{
    const std::lock_guard lock(m_mutex);
    const auto entry = m_entries.find(id);
    if (entry == m_entries.end()) {
        return; // recordExecution() reports it
    }
    checkLimit(id, entry->second.request.vm, instance);
    const auto it = m_announcements.find({entry->second.request.vm, instance});
    if (it == m_announcements.end()) {
        return;
    }
    Announcement &announcement = it->second;
    if (announcement.leavingSince && entry->second.sentAt > *announcement.leavingSince + drainTime) {
        m_violations.push_back("DRAIN: request " + id + " reached " + instance + ", which had announced its leaving");
    }
    const Clock::time_point now = Clock::now();
    if (now > announcement.pauseStart + pauseSlack && now < announcement.pauseEnd && ++announcement.arrivalsInPause > maxArrivalsInPause) {
        m_violations.push_back("BUDGET: request " + id + " reached " + instance + ", which had asked for a pause");
    }
}

void Ledger::recordPause(const std::string &id, const std::string &instance, Clock::duration pause)
{
    const std::lock_guard lock(m_mutex);
    const auto entry = m_entries.find(id);
    if (entry == m_entries.end()) {
        return;
    }
    Announcement &announcement = m_announcements[{entry->second.request.vm, instance}];
    const Clock::time_point now = Clock::now();
    if (now >= announcement.pauseEnd) {
        announcement.pauseStart = now;
        announcement.arrivalsInPause = 0;
    }
    announcement.pauseEnd = std::max(announcement.pauseEnd, now + pause);
}

void Ledger::forgetAnnouncements(const std::string &vm)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_announcements, [&vm](const auto &it) { return it.first.first == vm; });
    std::for_each(m_limited.begin(), m_limited.end(), [&vm](auto &it) { it.second.toldAt.erase(vm); });
}

std::vector<std::string> Ledger::violations(const std::map<std::string, AccountLimits> &limits) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> result = m_violations;
    for (const auto &[account, limit] : limits) {
        std::vector<std::pair<Clock::time_point, Clock::time_point>> executions; // executed, sent
        for (const auto &[id, entry] : m_entries) {
            if (entry.request.account == account && !entry.executedAt.empty()) {
                executions.emplace_back(entry.executedAt.front(), entry.sentAt);
            }
        }
        std::sort(executions.begin(), executions.end());
        const double seconds = std::chrono::duration<double>(quotaWindow).count();
        const double maxCount = (limit.ratePerSecond * seconds + limit.burst) * quotaTolerance + quotaAllowance;
        for (const auto &[end, unused] : executions) {
            const auto count = std::count_if(executions.begin(), executions.end(), [end = end](const auto &it) {
                return it.first <= end && it.second >= end - quotaWindow;
            });
            if (static_cast<double>(count) > maxCount) {
                result.push_back("QUOTA: " + std::to_string(count) + " requests of account " + account + " executed within 5 s");
                break;
            }
        }
    }
    return result;
}

std::string Ledger::summary() const
{
    const std::lock_guard lock(m_mutex);
    std::map<unsigned, std::size_t> statuses;
    for (const auto &[id, entry] : m_entries) {
        ++statuses[entry.status];
    }
    std::string text = std::to_string(m_entries.size()) + " requests;";
    for (const auto &[status, count] : statuses) {
        text += " " + (status == 0 ? std::string("none") : std::to_string(status)) + ": " + std::to_string(count);
    }
    return text;
}

double Ledger::successRateSince(Clock::time_point since) const
{
    const std::lock_guard lock(m_mutex);
    std::size_t total = 0;
    std::size_t succeeded = 0;
    for (const auto &[id, entry] : m_entries) {
        if (entry.sentAt >= since && entry.isComplete && entry.status != 429 && entry.status != 401) {
            ++total;
            succeeded += isSuccess(entry.status) ? 1 : 0;
        }
    }
    return total == 0 ? 0 : static_cast<double>(succeeded) / static_cast<double>(total);
}

std::vector<std::string> Ledger::unansweredExecutionsSince(Clock::time_point since) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> ids;
    for (const auto &[id, entry] : m_entries) {
        if (entry.sentAt >= since && entry.isComplete && !entry.executedAt.empty() && entry.status == 0) {
            ids.push_back(id);
        }
    }
    return ids;
}

} // namespace Pollenspoke
