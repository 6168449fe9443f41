#include <pollenspoke/proxy.h>

namespace Pollenspoke {

void LocalAdmission::admit(const AccountName &account, const Limits &limits, TimePoint now, std::function<void(Admission)> callback)
{
    Admission admission = Admitted{};
    {
        const std::lock_guard lock(m_mutex);
        TokenBucket &bucket = m_buckets.try_emplace(account, limits, now).first->second;
        if (bucket.limits() != limits) {
            bucket.setLimits(limits, now);
        }
        if (!bucket.take(now)) {
            admission = RateExceeded{.retryAfter = bucket.waitForToken(now)};
        }
    }
    callback(admission);
}

} // namespace Pollenspoke
