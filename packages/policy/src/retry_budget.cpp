#include <algorithm>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

namespace {

// Safety margin: the Vms' windows are not aligned, so each stays slightly below its part.
constexpr double ratioMargin = 0.95;

// Fractions of the reserve. Their sum stays below 1, as both apply in a window in which every Vm restarts.
constexpr double steadyReserveShare = 0.65; // after a process has run for one window
constexpr double startupReserveShare = 0.3; // before that

constexpr double shareForFailures = 0.5; // of the allowance; hedges use only what is above it

} // namespace

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
    , m_steps()
{
}

void RetryBudget::setShare(double share)
{
    m_share = share;
}

void RetryBudget::advance(TimePoint now)
{
    if (!m_startedAt) {
        m_startedAt = now;
        m_stepAt = now;
    }
    const Duration step = m_options.window / static_cast<int>(stepCount);
    if (now - m_stepAt > m_options.window + step) {
        m_steps = {};
        m_stepAt = now;
    }
    for (; now - m_stepAt >= step; m_stepAt += step) {
        m_newest = (m_newest + 1) % stepCount;
        m_steps[m_newest] = {};
    }
}

void RetryBudget::noteRequest(TimePoint now)
{
    advance(now);
    ++m_steps[m_newest].requests;
}

double RetryBudget::allowance(TimePoint now) const
{
    double requests = 0;
    for (const Step &it : m_steps) {
        requests += it.requests;
    }
    const bool isNew = !m_startedAt || now - *m_startedAt < m_options.window;
    const double reserve = m_options.reserve * m_share * (isNew ? startupReserveShare : steadyReserveShare);
    return requests * m_options.ratio * ratioMargin + reserve;
}

double RetryBudget::available(TimePoint now) const
{
    double retries = 0;
    for (const Step &it : m_steps) {
        retries += it.retries;
    }
    return allowance(now) - retries;
}

bool RetryBudget::mayHedge(TimePoint now)
{
    advance(now);
    return available(now) - 1 >= allowance(now) * shareForFailures;
}

bool RetryBudget::takeRetry(TimePoint now)
{
    advance(now);
    if (available(now) < 1) {
        return false;
    }
    ++m_steps[m_newest].retries;
    return true;
}

} // namespace Pollenspoke
