#include <boost/test/unit_test.hpp>
#include <pollenspoke/telemetry.h>

using namespace Pollenspoke;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(every_refusal_and_retry_reason_has_a_metric)
{
    Metrics metrics;
    metrics.countRefusal(RefusalReason::RateLimited, RunState::NotRun);
    const std::string text = metrics.expose();
    BOOST_TEST(text.find("pollenspoke_refusals_total{reason=\"rate_limited\",run=\"not-run\"} 1\n") != std::string::npos);
    for (std::size_t i = 0; i < refusalReasonCount; ++i) {
        const std::string label = "reason=\"" + std::string(refusalReasonName(static_cast<RefusalReason>(i))) + '"';
        BOOST_TEST(text.find(label) != std::string::npos, label);
    }
    for (std::size_t i = 0; i < retryReasonCount; ++i) {
        const std::string label = "reason=\"" + std::string(retryReasonName(static_cast<RetryReason>(i))) + '"';
        BOOST_TEST(text.find(label) != std::string::npos, label);
    }
}

BOOST_AUTO_TEST_CASE(quantile_is_the_upper_bound_of_its_bin)
{
    Metrics metrics;
    BOOST_TEST(metrics.quantile(Timing::Total, 0.99).count() == 0);
    for (int i = 0; i < 99; ++i) {
        metrics.recordTiming(Timing::Total, 1ms);
    }
    metrics.recordTiming(Timing::Total, 1s);
    const Duration median = metrics.quantile(Timing::Total, 0.5);
    BOOST_TEST((median >= 1ms && median <= 1150us));
    const Duration highest = metrics.quantile(Timing::Total, 1.0);
    BOOST_TEST((highest >= 1s && highest <= 1150ms));
}
