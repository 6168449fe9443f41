#include <algorithm>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

namespace {

// Vms count at their own moments, so each stays a little short of its part.
constexpr double ratioPart = 0.95;

// Of the reserve. A window in which every Vm restarts sees both.
constexpr double laterPart = 0.65; // once a process has run for a window
constexpr double firstPart = 0.3;  // before

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

double RetryBudget::left(TimePoint now) const
{
    double requests = 0;
    double repeats = 0;
    for (const Step &it : m_steps) {
        requests += it.requests;
        repeats += it.repeats;
    }
    const bool isNew = !m_startedAt || now - *m_startedAt < m_options.window;
    const double reserve = m_options.reserve * m_share * (isNew ? firstPart : laterPart);
    return requests * m_options.ratio * ratioPart + reserve - repeats;
}

bool RetryBudget::takeRetry(TimePoint now)
{
    advance(now);
    if (left(now) < 1) {
        return false;
    }
    ++m_steps[m_newest].repeats;
    return true;
}

} // namespace Pollenspoke
