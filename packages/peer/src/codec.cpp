#include "codec.h"

#include <cmath>

namespace Pollenspoke {

namespace {

constexpr std::uint64_t maxAgeUs = 86'400'000'000; // one day; older data is of no use
constexpr int maxUpdates = 101;                    // MembershipOptions::updatesPerMessage at its maximum, plus one about the receiver

Duration microseconds(std::uint64_t n)
{
    return std::chrono::microseconds(static_cast<std::int64_t>(n));
}

bool isFiniteNonNegative(double amount)
{
    return std::isfinite(amount) && amount >= 0;
}

Wire::Liveness encode(Liveness liveness)
{
    switch (liveness) {
    case Liveness::Live:
        return Wire::LIVE;
    case Liveness::Suspect:
        return Wire::SUSPECT;
    case Liveness::Gone:
        break;
    }
    return Wire::GONE;
}

std::optional<Liveness> decode(Wire::Liveness wire)
{
    switch (wire) {
    case Wire::LIVE:
        return Liveness::Live;
    case Wire::SUSPECT:
        return Liveness::Suspect;
    case Wire::GONE:
        return Liveness::Gone;
    default:
        return std::nullopt;
    }
}

} // namespace

Wire::News encode(const PeerNews &news)
{
    Wire::News wire;
    wire.set_vm(news.vm.value);
    wire.set_incarnation(news.incarnation);
    wire.set_revision(news.revision);
    if (news.freshAge) {
        // Rounded up: the receiver may take the data as older than it is, never as newer.
        const auto age = std::chrono::ceil<std::chrono::microseconds>(*news.freshAge).count();
        wire.set_fresh_age_us(std::min(static_cast<std::uint64_t>(std::max<std::int64_t>(age, 0)), maxAgeUs));
    }
    wire.set_newest_revision(news.newestRevision);
    wire.set_vm_list_revision(news.vmListRevision);
    for (const MemberUpdate &it : news.updates) {
        Wire::MemberUpdate *update = wire.add_updates();
        update->set_vm(it.vm.value);
        update->set_incarnation(it.incarnation);
        update->set_liveness(encode(it.liveness));
    }
    return wire;
}

std::optional<PeerNews> decode(const Wire::News &wire)
{
    if (wire.vm().empty() || wire.updates_size() > maxUpdates) {
        return std::nullopt;
    }
    PeerNews news{.vm = {wire.vm()}, .incarnation = wire.incarnation(), .revision = wire.revision()};
    if (wire.has_fresh_age_us()) {
        if (wire.fresh_age_us() > maxAgeUs) {
            return std::nullopt;
        }
        news.freshAge = microseconds(wire.fresh_age_us());
    }
    news.newestRevision = wire.newest_revision();
    news.vmListRevision = wire.vm_list_revision();
    for (const Wire::MemberUpdate &it : wire.updates()) {
        const auto liveness = decode(it.liveness());
        if (!liveness || it.vm().empty()) {
            return std::nullopt;
        }
        news.updates.push_back({.vm = {it.vm()}, .incarnation = it.incarnation(), .liveness = *liveness});
    }
    return news;
}

Wire::PingAnswer encode(const PingAnswer &answer)
{
    Wire::PingAnswer wire;
    *wire.mutable_news() = encode(answer.news);
    wire.set_lists_you(answer.listsPinger);
    wire.set_vm_list_digest(answer.vmListDigest);
    wire.set_reach_ages(answer.reachAges);
    return wire;
}

std::optional<PingAnswer> decode(const Wire::PingAnswer &wire)
{
    auto news = decode(wire.news());
    if (!news) {
        return std::nullopt;
    }
    return PingAnswer{
        .news = *std::move(news), .listsPinger = wire.lists_you(), .vmListDigest = wire.vm_list_digest(), .reachAges = wire.reach_ages()};
}

Wire::RelayRequest encode(const RelayRequest &request)
{
    Wire::RelayRequest wire;
    *wire.mutable_news() = encode(request.news);
    wire.set_about(request.about.value);
    return wire;
}

std::optional<RelayRequest> decode(const Wire::RelayRequest &wire)
{
    auto news = decode(wire.news());
    if (!news || wire.about().empty()) {
        return std::nullopt;
    }
    return RelayRequest{.news = *std::move(news), .about = {wire.about()}};
}

Wire::RelayAnswer encode(const RelayAnswer &answer)
{
    Wire::RelayAnswer wire;
    wire.set_was_reached(answer.wasReached);
    return wire;
}

std::optional<RelayAnswer> decode(const Wire::RelayAnswer &wire)
{
    return RelayAnswer{.wasReached = wire.was_reached()};
}

Wire::LoanRequest encode(const LoanAsk &ask)
{
    Wire::LoanRequest wire;
    wire.set_vm(ask.id.borrower.value);
    wire.set_incarnation(ask.id.incarnation);
    wire.set_sequence(ask.id.sequence);
    wire.set_account(ask.account.value);
    wire.set_needed_tokens(ask.neededTokens);
    wire.set_wanted_tokens(ask.wantedTokens);
    wire.set_wanted_rate_per_s(ask.wantedRate);
    // Rounded up: the loan term may be longer for the lender than for the borrower, never shorter.
    const auto term = std::chrono::ceil<std::chrono::microseconds>(ask.term).count();
    wire.set_term_us(static_cast<std::uint64_t>(std::max<std::int64_t>(term, 0)));
    return wire;
}

std::optional<LoanAsk> decode(const Wire::LoanRequest &wire)
{
    const bool hasRequiredIds = !wire.vm().empty() && !wire.account().empty();
    const bool hasValidAmounts = isFiniteNonNegative(wire.needed_tokens()) && isFiniteNonNegative(wire.wanted_tokens())
        && isFiniteNonNegative(wire.wanted_rate_per_s());
    if (!hasRequiredIds || !hasValidAmounts || wire.term_us() > maxAgeUs) {
        return std::nullopt;
    }
    return LoanAsk{.id = {.borrower = {wire.vm()}, .incarnation = wire.incarnation(), .sequence = wire.sequence()},
                   .account = {wire.account()},
                   .neededTokens = wire.needed_tokens(),
                   .wantedTokens = wire.wanted_tokens(),
                   .wantedRate = wire.wanted_rate_per_s(),
                   .term = microseconds(wire.term_us())};
}

Wire::LoanAnswer encode(const LoanAnswer &answer)
{
    Wire::LoanAnswer wire;
    wire.set_vm(answer.id.borrower.value);
    wire.set_incarnation(answer.id.incarnation);
    wire.set_sequence(answer.id.sequence);
    wire.set_account(answer.account.value);
    wire.set_rate_per_s(answer.limits.ratePerSecond);
    wire.set_burst(answer.limits.burst);
    wire.set_tokens(answer.tokens);
    wire.set_account_rate_per_s(answer.accountLimits.ratePerSecond);
    wire.set_account_burst(answer.accountLimits.burst);
    return wire;
}

std::optional<LoanAnswer> decode(const Wire::LoanAnswer &wire)
{
    const bool areLimitsValid = isFiniteNonNegative(wire.rate_per_s()) && isFiniteNonNegative(wire.burst())
        && isFiniteNonNegative(wire.tokens()) && isFiniteNonNegative(wire.account_rate_per_s())
        && isFiniteNonNegative(wire.account_burst());
    if (!areLimitsValid || wire.tokens() > wire.burst()) {
        return std::nullopt;
    }
    return LoanAnswer{.id = {.borrower = {wire.vm()}, .incarnation = wire.incarnation(), .sequence = wire.sequence()},
                      .account = {wire.account()},
                      .limits = {.ratePerSecond = wire.rate_per_s(), .burst = wire.burst()},
                      .tokens = wire.tokens(),
                      .accountLimits = {.ratePerSecond = wire.account_rate_per_s(), .burst = wire.account_burst()}};
}

Wire::HealthReport encode(const HealthReport &report)
{
    Wire::HealthReport wire;
    wire.set_vm(report.vm.value);
    wire.set_incarnation(report.incarnation);
    for (const TargetHealth &it : report.targets) {
        Wire::TargetHealth *target = wire.add_targets();
        target->set_service(it.service.value);
        target->set_target(it.target.value);
        target->set_requests(it.requests);
        target->set_connect_failures(it.connectFailures);
        target->set_timeouts(it.timeouts);
        target->set_errors(it.errors);
        target->set_mean_latency_us(it.meanLatencyUs);
        target->set_is_ejected(it.isEjected);
    }
    return wire;
}

std::optional<HealthReport> decode(const Wire::HealthReport &wire)
{
    if (wire.vm().empty()) {
        return std::nullopt;
    }
    HealthReport report{.vm = {wire.vm()}, .incarnation = wire.incarnation()};
    for (const Wire::TargetHealth &it : wire.targets()) {
        if (it.service().empty() || it.target().empty()) {
            return std::nullopt;
        }
        report.targets.push_back({.service = {it.service()},
                                  .target = {it.target()},
                                  .requests = it.requests(),
                                  .connectFailures = it.connect_failures(),
                                  .timeouts = it.timeouts(),
                                  .errors = it.errors(),
                                  .meanLatencyUs = it.mean_latency_us(),
                                  .isEjected = it.is_ejected()});
    }
    return report;
}

Wire::HealthAnswer encode(const HealthAnswer &)
{
    return {};
}

std::optional<HealthAnswer> decode(const Wire::HealthAnswer &)
{
    return HealthAnswer{};
}

} // namespace Pollenspoke
