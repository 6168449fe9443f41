#include "ledger.h"

#include <algorithm>
#include <array>
#include <deque>

namespace Pollenspoke {

namespace {

// Of the platform's pages: what a quota may be exceeded by in a window.
constexpr auto quotaWindow = std::chrono::seconds(5);
constexpr double quotaOverage = 1.1;
constexpr double quotaSlack = 20; // requests

constexpr std::array<unsigned, 4> notRunStatuses{408, 421, 429, 503};

bool isNotRun(unsigned status)
{
    return std::find(notRunStatuses.begin(), notRunStatuses.end(), status) != notRunStatuses.end();
}

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

} // namespace

void Ledger::noteSent(const std::string &id, SentRequest request)
{
    const std::lock_guard lock(m_mutex);
    m_entries[id] = Entry{.request = std::move(request), .sentAt = Clock::now()};
}

void Ledger::noteRun(const SeenRun &run)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(run.id);
    if (found == m_entries.end()) {
        m_violations.push_back("UNASKED: request " + run.id + " ran and nobody sent it");
        return;
    }
    Entry &entry = found->second;
    const SentRequest &sent = entry.request;
    if (run.method != sent.method || run.path != sent.path || run.body != sent.body) {
        m_violations.push_back("UNASKED: request " + run.id + " ran changed: " + run.method + " " + run.path);
    }
    if (run.account != sent.account || run.carriesKey) {
        m_violations.push_back("UNASKED: request " + run.id + " ran for " + run.account + (run.carriesKey ? " with its key" : ""));
    }
    if (run.service != sent.service) {
        m_violations.push_back("ROUTE: request " + run.id + " ran at " + run.service);
    }
    if (!entry.runs.empty() && !sent.isRetryable) {
        m_violations.push_back("TWICE: request " + run.id + " ran again");
    }
    if (isNotRun(entry.status) && !sent.isRetryable) {
        m_violations.push_back("REFUSED: request " + run.id + " ran after " + std::to_string(entry.status));
    }
    entry.runs.push_back(Clock::now());
}

void Ledger::noteAnswer(const std::string &id, const SeenAnswer &answer)
{
    const std::lock_guard lock(m_mutex);
    Entry &entry = m_entries[id];
    entry.status = answer.status;
    entry.isOver = true;
    if (isSuccess(answer.status) && (!answer.isProved || answer.id != id || answer.body != bodyFor(id))) {
        m_violations.push_back("MIXED: request " + id + " got another body or no signature: " + answer.id);
    }
    if (isNotRun(answer.status) && !entry.request.isRetryable && !entry.runs.empty()) {
        m_violations.push_back("REFUSED: request " + id + " ran and got " + std::to_string(answer.status));
    }
}

std::vector<std::string> Ledger::violations(const std::map<std::string, AccountBound> &bounds) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> found = m_violations;
    for (const auto &[account, bound] : bounds) {
        std::vector<std::pair<Clock::time_point, Clock::time_point>> runs; // ran, sent
        for (const auto &[id, it] : m_entries) {
            if (it.request.account == account && !it.runs.empty()) {
                runs.emplace_back(it.runs.front(), it.sentAt);
            }
        }
        std::sort(runs.begin(), runs.end());
        const double seconds = std::chrono::duration<double>(quotaWindow).count();
        const double most = (bound.ratePerSecond * seconds + bound.burst) * quotaOverage + quotaSlack;
        for (const auto &[end, unused] : runs) {
            const auto n = std::count_if(
                runs.begin(), runs.end(), [end = end](const auto &it) { return it.first <= end && it.second >= end - quotaWindow; });
            if (static_cast<double>(n) > most) {
                found.push_back("QUOTA: " + std::to_string(n) + " requests of " + account + " within 5 s");
                break;
            }
        }
    }
    return found;
}

std::string Ledger::summary() const
{
    const std::lock_guard lock(m_mutex);
    std::map<unsigned, std::size_t> statuses;
    for (const auto &[id, it] : m_entries) {
        ++statuses[it.status];
    }
    std::string text = std::to_string(m_entries.size()) + " requests;";
    for (const auto &[status, n] : statuses) {
        text += " " + (status == 0 ? std::string("none") : std::to_string(status)) + ": " + std::to_string(n);
    }
    return text;
}

double Ledger::servedShareSince(Clock::time_point since) const
{
    const std::lock_guard lock(m_mutex);
    std::size_t all = 0;
    std::size_t served = 0;
    for (const auto &[id, it] : m_entries) {
        if (it.sentAt >= since && it.isOver && it.status != 429 && it.status != 401) {
            ++all;
            served += isSuccess(it.status) ? 1 : 0;
        }
    }
    return all == 0 ? 0 : static_cast<double>(served) / static_cast<double>(all);
}

std::vector<std::string> Ledger::unansweredRunsSince(Clock::time_point since) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> ids;
    for (const auto &[id, it] : m_entries) {
        if (it.sentAt >= since && it.isOver && !it.runs.empty() && it.status == 0) {
            ids.push_back(id);
        }
    }
    return ids;
}

} // namespace Pollenspoke
