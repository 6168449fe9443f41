#include <algorithm>
#include <bit>
#include <pollenspoke/policy.h>

namespace Pollenspoke {

namespace {

constexpr std::size_t maxCachedLists = 4;
constexpr unsigned char expiredAge = 255;
constexpr std::int64_t perMille = 1000;
constexpr std::uint32_t maxDraws = 4;         // attempts to find a peer that isn't gone
constexpr double goneProbeShare = 0.125;      // fraction of the gone Vms drawn that are still probed
constexpr std::size_t suspectExtraProbes = 2; // additional pings to a new suspect, so that it can refute the suspicion

std::uint64_t listDigest(const std::vector<VmName> &vms)
{
    std::uint64_t digest = vms.size();
    for (const VmName &it : vms) {
        digest = stableHash(it.value, digest);
    }
    return digest;
}

bool isNewer(const MemberUpdate &update, std::uint64_t incarnation, Liveness liveness)
{
    if (update.incarnation != incarnation) {
        return update.incarnation > incarnation;
    }
    return update.liveness > liveness;
}

unsigned char encodeAge(Duration age, Duration step)
{
    const auto steps = (age + step - Duration(1)) / step;
    return static_cast<unsigned char>(std::clamp<std::int64_t>(steps, 0, expiredAge));
}

} // namespace

Membership::Membership(const MembershipOptions &options, Generator generator, TimePoint now)
    : m_options(options)
    , m_generator(generator)
    , m_incarnation(options.incarnation)
    , m_nextProbeAt(now)
{
    POLLENSPOKE_ASSERT(!options.self.value.empty(), "set MembershipOptions::self");
    POLLENSPOKE_ASSERT(options.probesPerPeriod > 0, "set MembershipOptions::probesPerPeriod to 1 or more");
    POLLENSPOKE_ASSERT(options.directTimeout < options.probeTimeout, "leave time for the relays: directTimeout < probeTimeout");
}

//-----------------------------------------------------------------------------
// Input from the store
//-----------------------------------------------------------------------------

void Membership::setVms(const std::vector<VmName> &vms, std::uint64_t revision, TimePoint now)
{
    if (revision < m_vmListRevision) {
        return;
    }
    m_vmListRevision = revision;
    std::vector<VmName> names = vms;
    std::sort(names.begin(), names.end());
    m_isListed = std::binary_search(names.begin(), names.end(), m_options.self);
    std::erase_if(m_members, [&names](const auto &it) { return !std::binary_search(names.begin(), names.end(), it.first); });
    std::erase_if(m_pending, [&names](const auto &it) { return !std::binary_search(names.begin(), names.end(), it.first); });
    for (const VmName &it : names) {
        if (it != m_options.self) {
            m_members.try_emplace(it, Member{.suspectSince = now});
        }
    }
    const std::uint64_t digest = listDigest(names);
    if (m_cachedLists.insert_or_assign(digest, std::move(names)).second) {
        m_listOrder.push_back(digest);
    } else {
        std::erase(m_listOrder, digest);
        m_listOrder.push_back(digest);
    }
    if (m_listOrder.size() > maxCachedLists) {
        m_cachedLists.erase(m_listOrder.front());
        m_listOrder.erase(m_listOrder.begin());
    }
}

void Membership::setSnapshot(std::uint64_t revision)
{
    if (revision <= m_revision) {
        return;
    }
    m_revision = revision;
    m_newestRevision = std::max(m_newestRevision, revision);
    if (m_pendingFreshAsOf && m_pendingFreshRevision <= revision) {
        m_freshAsOf = m_freshAsOf ? std::max(*m_freshAsOf, *m_pendingFreshAsOf) : *m_pendingFreshAsOf;
        m_pendingFreshAsOf.reset();
    }
}

void Membership::noteStoreAnswer(std::uint64_t revision, TimePoint askedAt)
{
    m_newestRevision = std::max(m_newestRevision, revision);
    if (revision <= m_revision) {
        m_freshAsOf = m_freshAsOf ? std::max(*m_freshAsOf, askedAt) : askedAt;
        return;
    }
    if (!m_pendingFreshAsOf || revision >= m_pendingFreshRevision) {
        m_pendingFreshAsOf = m_pendingFreshAsOf ? std::max(*m_pendingFreshAsOf, askedAt) : askedAt;
        m_pendingFreshRevision = revision;
    }
}

//-----------------------------------------------------------------------------
// Probing
//-----------------------------------------------------------------------------

std::vector<MembershipAction> Membership::tick(TimePoint now)
{
    std::vector<MembershipAction> actions;
    checkProbes(now, actions);
    checkSuspects(now);
    if (now < m_nextProbeAt) {
        return actions;
    }
    startProbe(now, actions);
    const Duration step = m_options.probePeriod / m_options.probesPerPeriod;
    // Probes missed during a pause of the process are not made up for.
    m_nextProbeAt = std::max(m_nextProbeAt + step, now);
    return actions;
}

void Membership::startProbe(TimePoint now, std::vector<MembershipAction> &actions)
{
    const auto to = nextPeer();
    if (!to) {
        return;
    }
    const std::uint64_t id = ++m_lastProbeId;
    m_probes[id] = ProbeState{.to = *to, .startedAt = now};
    ++m_counts.pings;
    actions.emplace_back(SendPing{.probe = id, .to = *to, .news = makeNews(*to, now)});
}

std::optional<VmName> Membership::nextPeer()
{
    // Gone Vms are probed rarely, so that an unreachable part of the fleet doesn't use up the probes, but still sometimes, so that
    // the parts find each other after a partition.
    std::optional<VmName> vm;
    for (std::uint32_t i = 0; i < maxDraws; ++i) {
        vm = drawPeer();
        const bool isGone = vm && m_members.at(*vm).liveness == Liveness::Gone;
        if (!isGone || std::bernoulli_distribution(goneProbeShare)(m_generator)) {
            return vm;
        }
    }
    return vm;
}

std::optional<VmName> Membership::drawPeer()
{
    while (!m_members.empty()) {
        if (m_probeOrder.empty()) {
            for (const auto &[vm, member] : m_members) {
                m_probeOrder.push_back(vm);
            }
            std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_generator);
        }
        const VmName vm = m_probeOrder.back();
        m_probeOrder.pop_back();
        if (m_members.contains(vm)) {
            return vm;
        }
    }
    return std::nullopt;
}

void Membership::checkProbes(TimePoint now, std::vector<MembershipAction> &actions)
{
    for (auto it = m_probes.begin(); it != m_probes.end();) {
        auto &[id, probe] = *it;
        const Duration age = now - probe.startedAt;
        if (age < m_options.probeTimeout) {
            if (age >= m_options.directTimeout && !probe.isRelayed) {
                probe.isRelayed = true;
                relayProbe(id, probe, now, actions);
            }
            ++it;
            continue;
        }
        // A time-out noticed much too late means that this Vm was paused; it says nothing about the peer.
        const bool wasPaused = age > 2 * m_options.probeTimeout;
        const auto member = m_members.find(probe.to);
        if (!wasPaused && member != m_members.end() && member->second.liveness == Liveness::Live) {
            ++m_counts.suspicions;
            apply({.vm = probe.to, .incarnation = member->second.incarnation, .liveness = Liveness::Suspect}, now);
            m_probeOrder.insert(m_probeOrder.end(), suspectExtraProbes, probe.to);
        }
        it = m_probes.erase(it);
    }
}

void Membership::relayProbe(std::uint64_t id, const ProbeState &probe, TimePoint now, std::vector<MembershipAction> &actions)
{
    std::vector<VmName> live;
    for (const auto &[vm, member] : m_members) {
        if (member.liveness == Liveness::Live && vm != probe.to) {
            live.push_back(vm);
        }
    }
    std::vector<VmName> chosen;
    std::sample(live.begin(), live.end(), std::back_inserter(chosen), m_options.relays, m_generator);
    for (const VmName &it : chosen) {
        ++m_counts.relays;
        actions.emplace_back(SendRelay{.probe = id, .via = it, .about = probe.to, .news = makeNews(it, now)});
    }
}

void Membership::checkSuspects(TimePoint now)
{
    std::vector<MemberUpdate> gone;
    for (const auto &[vm, member] : m_members) {
        if (member.liveness == Liveness::Suspect && now - member.suspectSince >= m_options.suspicionTime) {
            gone.push_back({.vm = vm, .incarnation = member.incarnation, .liveness = Liveness::Gone});
        }
    }
    for (const MemberUpdate &it : gone) {
        apply(it, now);
    }
}

PeerNews Membership::makeNews(const VmName &to, TimePoint now)
{
    PeerNews news{.vm = m_options.self, .incarnation = m_incarnation, .revision = m_revision};
    if (m_freshAsOf) {
        news.freshAge = std::max(now - *m_freshAsOf, Duration(0));
    }
    news.newestRevision = m_newestRevision;
    news.vmListRevision = m_vmListRevision;
    news.updates = selectUpdates(to);
    return news;
}

std::vector<MemberUpdate> Membership::selectUpdates(const VmName &to)
{
    std::vector<MemberUpdate> updates;
    const auto receiver = m_members.find(to);
    if (receiver != m_members.end() && receiver->second.liveness != Liveness::Live) {
        // The receiver must learn of the suspicion to refute it.
        updates.push_back({.vm = to, .incarnation = receiver->second.incarnation, .liveness = receiver->second.liveness});
    }
    std::vector<PendingUpdate *> ordered;
    for (auto &[vm, pending] : m_pending) {
        ordered.push_back(&pending);
    }
    std::shuffle(ordered.begin(), ordered.end(), m_generator);
    std::stable_sort(ordered.begin(), ordered.end(), [](const auto *left, const auto *right) { return left->sent < right->sent; });
    ordered.resize(std::min<std::size_t>(ordered.size(), m_options.updatesPerMessage));
    for (PendingUpdate *it : ordered) {
        ++it->sent;
        updates.push_back(it->update);
    }
    const std::uint32_t maxSends = m_options.updateCopies * static_cast<std::uint32_t>(std::bit_width(m_members.size() + 1));
    std::erase_if(m_pending, [maxSends](const auto &it) { return it.second.sent >= maxSends; });
    return updates;
}

PingAnswer Membership::onPing(const PeerNews &news, TimePoint now)
{
    const bool wasStale = isStale(news);
    applyTargetUpdates(news, now);
    PingAnswer answer{.news = makeNews(news.vm, now), .listsPinger = m_members.contains(news.vm)};
    if (wasStale) {
        // Tells the sender the incarnation known here, so that it moves to a higher one.
        const Member &member = m_members.at(news.vm);
        answer.news.updates.push_back({.vm = news.vm, .incarnation = member.incarnation, .liveness = member.liveness});
    }
    if (m_listOrder.empty()) {
        return answer;
    }
    answer.vmListDigest = m_listOrder.back();
    for (const VmName &it : m_cachedLists.at(answer.vmListDigest)) {
        unsigned char age = it == m_options.self ? 0 : expiredAge;
        const auto member = m_members.find(it);
        if (member != m_members.end() && member->second.reachedAt) {
            age = encodeAge(now - *member->second.reachedAt, m_options.ageStep);
        }
        answer.reachAges.push_back(static_cast<char>(age));
    }
    return answer;
}

void Membership::onPingAnswer(std::uint64_t probe, const PingAnswer &answer, TimePoint askedAt, TimePoint now)
{
    m_probes.erase(probe);
    const bool wasStale = isStale(answer.news);
    applyTargetUpdates(answer.news, now);
    if (wasStale) {
        return;
    }
    if (!answer.listsPinger && answer.news.vmListRevision > m_vmListRevision) {
        m_delistedAtRevision = std::max(m_delistedAtRevision, answer.news.vmListRevision);
    }
    applyFreshness(answer.news, askedAt);
    noteReached(answer.news.vm, askedAt);
    applyReachAges(answer, askedAt);
}

void Membership::onRelayRequest(const PeerNews &news, TimePoint now)
{
    applyTargetUpdates(news, now);
}

void Membership::onRelayAnswer(std::uint64_t probe, bool wasReached, TimePoint)
{
    if (wasReached) {
        m_probes.erase(probe);
    }
}

//-----------------------------------------------------------------------------
// Gossip
//-----------------------------------------------------------------------------

bool Membership::isStale(const PeerNews &news)
{
    const auto it = m_members.find(news.vm);
    return it != m_members.end() && news.incarnation < it->second.incarnation;
}

void Membership::applyTargetUpdates(const PeerNews &news, TimePoint now)
{
    if (isStale(news)) {
        ++m_counts.staleMessages;
        return;
    }
    m_newestRevision = std::max(m_newestRevision, news.newestRevision);
    apply({.vm = news.vm, .incarnation = news.incarnation, .liveness = Liveness::Live}, now);
    for (const MemberUpdate &it : news.updates) {
        apply(it, now);
    }
}

void Membership::apply(const MemberUpdate &update, TimePoint now)
{
    if (update.vm == m_options.self) {
        refuteSuspicion(update);
        return;
    }
    const auto it = m_members.find(update.vm);
    if (it == m_members.end() || !isNewer(update, it->second.incarnation, it->second.liveness)) {
        return;
    }
    Member &member = it->second;
    // The first contact with a Vm that already counts as live is not passed on. Nor is a suspicion with incarnation 0, raised without
    // ever having heard from the Vm: it names no incarnation, so the Vm couldn't refute it.
    const bool isInitialContact = member.incarnation == 0 && update.liveness == Liveness::Live;
    const bool shouldSpread = update.incarnation != 0 && !isInitialContact;
    member.incarnation = update.incarnation;
    member.liveness = update.liveness;
    member.suspectSince = now;
    if (shouldSpread) {
        queueUpdate(update);
    }
}

void Membership::refuteSuspicion(const MemberUpdate &update)
{
    const bool isSuspicion = update.liveness != Liveness::Live && update.incarnation >= m_incarnation;
    const bool isLaterIncarnation = update.incarnation > m_incarnation;
    if (!isSuspicion && !isLaterIncarnation) {
        return;
    }
    m_incarnation = update.incarnation + 1;
    ++m_counts.denials;
    queueUpdate({.vm = m_options.self, .incarnation = m_incarnation, .liveness = Liveness::Live});
}

void Membership::queueUpdate(const MemberUpdate &update)
{
    m_pending.insert_or_assign(update.vm, PendingUpdate{.update = update});
}

void Membership::applyFreshness(const PeerNews &news, TimePoint askedAt)
{
    if (news.freshAge) {
        noteStoreAnswer(news.revision, askedAt - addDrift(*news.freshAge));
    }
}

void Membership::applyReachAges(const PingAnswer &answer, TimePoint askedAt)
{
    const auto list = m_cachedLists.find(answer.vmListDigest);
    if (list == m_cachedLists.end() || list->second.size() != answer.reachAges.size()) {
        ++m_counts.unknownLists;
        return;
    }
    for (std::size_t i = 0; i < answer.reachAges.size(); ++i) {
        const auto steps = static_cast<unsigned char>(answer.reachAges[i]);
        if (steps != expiredAge) {
            noteReached(list->second[i], askedAt - addDrift(steps * m_options.ageStep));
        }
    }
}

void Membership::noteReached(const VmName &vm, TimePoint at)
{
    const auto it = m_members.find(vm);
    if (it == m_members.end()) {
        return;
    }
    auto &reachedAt = it->second.reachedAt;
    reachedAt = reachedAt ? std::max(*reachedAt, at) : at;
}

Duration Membership::addDrift(Duration age) const
{
    return age * (perMille + static_cast<std::int64_t>(m_options.freshness.driftPerMille)) / perMille;
}

//-----------------------------------------------------------------------------
// Results
//-----------------------------------------------------------------------------

Liveness Membership::liveness(const VmName &vm) const
{
    const auto it = m_members.find(vm);
    return it == m_members.end() ? Liveness::Gone : it->second.liveness;
}

std::size_t Membership::countOf(Liveness liveness) const
{
    const auto n = std::count_if(m_members.begin(), m_members.end(), [liveness](const auto &it) { return it.second.liveness == liveness; });
    return static_cast<std::size_t>(n);
}

Freshness Membership::freshness(TimePoint now) const
{
    FreshnessEvidence evidence{.revision = m_revision, .newestRevision = m_newestRevision, .freshAsOf = m_freshAsOf};
    evidence.isListed = m_isListed && m_vmListRevision >= m_delistedAtRevision;
    evidence.listedVms = m_members.size() + 1;
    for (const auto &[vm, member] : m_members) {
        if (member.reachedAt) {
            evidence.reachedAt.push_back(*member.reachedAt);
        }
    }
    return decideFreshness(evidence, m_options.freshness, now);
}

bool Membership::shouldAskStore(TimePoint now) const
{
    return !m_freshAsOf || now - *m_freshAsOf >= m_options.freshness.freshFor / 2;
}

} // namespace Pollenspoke
