#include <pollenspoke/policy.h>

namespace Pollenspoke {

namespace {

// Requests per slot, including the one to be sent.
double loadOf(const TargetLoad &load)
{
    return (load.inFlight + 1.0) / load.target->slots;
}

bool isBetter(const TargetLoad &left, const TargetLoad &right, const FailureDomain &local)
{
    const double leftLoad = loadOf(left);
    const double rightLoad = loadOf(right);
    if (leftLoad != rightLoad) {
        return leftLoad < rightLoad;
    }
    return left.target->failureDomain == local && right.target->failureDomain != local;
}

std::vector<std::size_t> collectCandidates(const std::vector<TargetLoad> &loads, bool includeTried)
{
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        const bool isServing = loads[i].target->state == TargetState::Serving;
        if (isServing && (includeTried || !loads[i].isTried)) {
            candidates.push_back(i);
        }
    }
    return candidates;
}

} // namespace

std::optional<std::size_t> chooseTarget(const std::vector<TargetLoad> &loads, const FailureDomain &local, Generator &generator)
{
    std::vector<std::size_t> candidates = collectCandidates(loads, false);
    if (candidates.empty()) {
        candidates = collectCandidates(loads, true);
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto last = candidates.size() - 1;
    const std::size_t first = std::uniform_int_distribution<std::size_t>(0, last)(generator);
    if (last == 0) {
        return candidates[first];
    }
    std::size_t second = std::uniform_int_distribution<std::size_t>(0, last - 1)(generator);
    second += second >= first ? 1 : 0;
    const bool isSecondBetter = isBetter(loads[candidates[second]], loads[candidates[first]], local);
    return isSecondBetter ? candidates[second] : candidates[first];
}

ServiceName chooseService(const Route &route, std::string_view requestId)
{
    double total = 0;
    for (const ServiceShare &it : route.split) {
        total += it.weight;
    }
    if (total <= 0) {
        return route.split.empty() ? route.service : route.split.front().service;
    }
    constexpr double hashRange = 18446744073709551616.0; // 2^64
    double position = static_cast<double>(stableHash(requestId)) / hashRange * total;
    for (const ServiceShare &it : route.split) {
        if (position < it.weight) {
            return it.service;
        }
        position -= it.weight;
    }
    return route.split.back().service;
}

} // namespace Pollenspoke
