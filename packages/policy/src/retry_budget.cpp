#include <algorithm>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

namespace {

// Parts of the reserve: what a new process may use at once, and what it may save up. A window in which every Vm restarts
// sees both, and what came back meanwhile: 0.2 + 0.4 + 0.4.
constexpr double firstPart = 0.2;
constexpr double savedPart = 0.4;
constexpr double refilledPart = 0.4;

// Tokens for first requests are given out slightly short of the ratio, since Vms count at their own moments.
constexpr double ratioMargin = 0.9;

} // namespace

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
{
}

double RetryBudget::capacity() const
{
    return std::max(1.0, m_options.reserve * savedPart * m_share);
}

void RetryBudget::setShare(double share)
{
    m_share = share;
    m_tokens = std::min(m_tokens, capacity());
}

void RetryBudget::refill(TimePoint now)
{
    if (!m_refilledAt) {
        m_tokens = std::min(capacity(), m_options.reserve * firstPart * m_share);
    } else {
        const double windows = std::chrono::duration<double>(now - *m_refilledAt) / std::chrono::duration<double>(m_options.window);
        m_tokens = std::min(capacity(), m_tokens + m_options.reserve * refilledPart * m_share * windows);
    }
    m_refilledAt = now;
}

void RetryBudget::noteRequest()
{
    m_tokens = std::min(capacity(), m_tokens + m_options.ratio * ratioMargin);
}

bool RetryBudget::takeRepeat()
{
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace Pollenspoke
