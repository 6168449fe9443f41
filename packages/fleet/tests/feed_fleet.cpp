#include "feed_fleet.h"

#include <algorithm>
#include <numeric>

namespace Pollenspoke {

namespace {

namespace net = boost::asio;

constexpr auto storePollInterval = std::chrono::milliseconds(5); // of a watch for a change of the history
constexpr auto callTimeout = std::chrono::milliseconds(2500);    // of a call that isn't answered, beyond a watch's wait
constexpr auto watchWait = std::chrono::milliseconds(1500);
constexpr auto statusPeriod = std::chrono::seconds(1);
constexpr auto silenceLimit = std::chrono::seconds(3);
constexpr std::array<const char *, 4> domains{"fd-a", "fd-b", "fd-c", "fd-d"};

// Below the range from which the system chooses ports, where hundreds of sockets would take those that other tests are about to bind.
net::ip::udp::socket bindUnusedPort(net::io_context &context)
{
    constexpr std::uint16_t firstPort = 10000;
    constexpr std::uint16_t portCount = 20000;
    static std::uint16_t next = static_cast<std::uint16_t>(std::random_device{}() % portCount);
    for (;;) {
        next = static_cast<std::uint16_t>((next + 1) % portCount);
        net::ip::udp::socket socket(context, net::ip::udp::v4());
        boost::system::error_code ec;
        socket.bind({net::ip::address_v4::loopback(), static_cast<std::uint16_t>(firstPort + next)}, ec);
        if (!ec) {
            return socket;
        }
    }
}

tl::unexpected<Error> unavailable()
{
    return tl::unexpected(Error{.code = ErrorCode::Unavailable});
}

} // namespace

void FakeHistory::write(const std::string &content)
{
    JsonValue spec = JsonValue::makeObject();
    spec.add("content", content);
    m_document = StoredDocument{.name = "main", .revision = ++m_revision, .created = 2, .spec = std::move(spec)};
}

DocumentList FakeHistory::list() const
{
    DocumentList list{.position = position()};
    if (m_document) {
        list.items.push_back(*m_document);
    }
    return list;
}

DocumentChanges FakeHistory::since(StorePosition position) const
{
    DocumentChanges changes{.position = this->position()};
    if (m_document && m_document->revision > position.revision()) {
        changes.events.push_back({.document = *m_document, .position = {1, m_document->revision}});
    }
    return changes;
}

FeedVm::FeedVm(FeedFleet &fleet, std::string name, FailureDomain domain)
    : m_fleet(fleet)
    , m_name(std::move(name))
    , m_domain(std::move(domain))
    , m_portReservation(bindUnusedPort(fleet.context()))
    , m_address{.ip = "127.0.0.1", .port = m_portReservation.local_endpoint().port()}
    , m_members({m_name}, m_domain, silenceLimit)
    , m_link(fleet.context(),
             {m_name},
             m_address,
             [this](const VmName &sender, const LinkMessage &message, const auto &from) { handle(sender, message, from); })
    , m_slowSocket(bindUnusedPort(fleet.context()))
    , m_feed(fleet.context(), *this, m_link, m_members, m_clock, m_metrics)
{
}

FeedVm::~FeedVm() = default;

void FeedVm::start()
{
    std::uint64_t number = 0;
    m_startedAt = m_clock.now();
    for (const FeedVm &it : m_fleet.vms()) {
        m_members.put({{it.name()}, it.domain(), {1, ++number}},
                      {.callers = it.address(), .peers = it.address(), .failureDomain = it.domain()},
                      m_clock.now());
    }
    m_portReservation.close();
    const Result<void> started = m_link.start();
    POLLENSPOKE_ASSERT(started.has_value(), "the tests must be able to bind a port on 127.0.0.1");
    m_handler = {.onListed = [this](const DocumentList &list) { m_listed = list; },
                 .onChange = [this](const DocumentChange &change) { m_received.emplace(change.document.revision, m_clock.now()); },
                 .onUpdated = [] {}};
    net::co_spawn(m_fleet.context(), followKind(m_feed, {.kind = FakeHistory::kind, .watchWait = watchWait}, m_handler), net::detached);
    net::co_spawn(m_fleet.context(), report(), net::detached);
    m_feed.startPolling([this] { sendReport(); });
}

void FeedVm::kill()
{
    m_isDead = true;
    m_access = StoreAccess::Silent;
}

std::optional<TimePoint> FeedVm::receivedAt(std::uint64_t revision) const
{
    const auto it = m_received.lower_bound(revision);
    return it == m_received.end() ? std::nullopt : std::optional(it->second);
}

bool FeedVm::isWatcher(TimePoint now) const
{
    const std::vector<VmName> watchers = m_members.watchers(now);
    return std::find(watchers.begin(), watchers.end(), VmName{m_name}) != watchers.end();
}

void FeedVm::setStoreAccess(StoreAccess access)
{
    m_access = access;
    m_swallowCount += access == StoreAccess::Swallowing ? 1 : 0;
}

DocumentStore::Call<DocumentList> FeedVm::list(std::string /*kind*/, ReadConsistency /*consistency*/)
{
    ++m_storeCalls;
    net::steady_timer timer(co_await net::this_coro::executor);
    timer.expires_after(m_answerTime);
    co_await timer.async_wait(net::use_awaitable);
    if (m_access == StoreAccess::Refused) {
        co_return unavailable();
    }
    if (m_access == StoreAccess::Swallowing) {
        timer.expires_after(callTimeout);
        co_await timer.async_wait(net::use_awaitable);
        co_return unavailable();
    }
    co_return m_fleet.history().list();
}

DocumentStore::Call<DocumentChanges> FeedVm::watch(std::string /*kind*/, StorePosition since, Duration wait)
{
    ++m_storeCalls;
    net::steady_timer timer(co_await net::this_coro::executor);
    const TimePoint startedAt = m_clock.now();
    const std::size_t swallowCount = m_swallowCount;
    bool isSwallowed = m_access == StoreAccess::Swallowing;
    for (;;) {
        isSwallowed = isSwallowed || m_swallowCount != swallowCount;
        if (m_access == StoreAccess::Refused) {
            timer.expires_after(m_answerTime);
            co_await timer.async_wait(net::use_awaitable);
            co_return unavailable();
        }
        if (m_access == StoreAccess::Answered && !isSwallowed) {
            DocumentChanges changes = m_fleet.history().since(since);
            if (!changes.events.empty() || m_clock.now() - startedAt >= wait) {
                timer.expires_after(m_answerTime);
                co_await timer.async_wait(net::use_awaitable);
                co_return changes;
            }
        } else if (m_clock.now() - startedAt >= wait + callTimeout) {
            co_return unavailable();
        }
        timer.expires_after(storePollInterval);
        co_await timer.async_wait(net::use_awaitable);
    }
}

DocumentStore::Call<StoredDocument> FeedVm::create(std::string /*kind*/, std::string /*name*/, JsonValue /*spec*/)
{
    co_return unavailable();
}

DocumentStore::Call<StoredDocument>
FeedVm::replace(std::string /*kind*/, std::string /*name*/, JsonValue /*spec*/, std::uint64_t /*revision*/)
{
    co_return unavailable();
}

DocumentStore::Call<void> FeedVm::remove(std::string /*kind*/, std::string /*name*/, std::uint64_t /*revision*/)
{
    co_return unavailable();
}

void FeedVm::handle(const VmName &sender, const LinkMessage &message, const net::ip::udp::endpoint &from)
{
    if (m_isDead) {
        return;
    }
    if (const auto *status = std::get_if<StatusReport>(&message)) {
        m_members.recordReport(sender, false, status->storeReachableFor, status->newestChange, m_clock.now());
    } else if (const auto *request = std::get_if<FeedRequest>(&message)) {
        m_members.recordContact(sender, false, m_clock.now());
        std::string bytes = encodeDatagram({m_name}, m_feed.answerRequest(*request));
        if (m_replyRate > 0) {
            net::co_spawn(m_fleet.context(), sendSlowly(from, std::move(bytes)), net::detached);
        } else {
            m_link.send(from, bytes);
        }
    } else if (const auto *reply = std::get_if<FeedReply>(&message)) {
        m_feed.handleReply(*reply);
    } else if (const auto *notice = std::get_if<FeedNotice>(&message)) {
        m_feed.handleNotice(sender, *notice);
    }
}

// Sends one datagram after the other, as a link with a queue does.
net::awaitable<void> FeedVm::sendSlowly(net::ip::udp::endpoint to, std::string bytes)
{
    static std::uint64_t lastId = 0;
    net::steady_timer timer(m_fleet.context());
    while (std::exchange(m_isSending, true)) {
        timer.expires_after(std::chrono::milliseconds(1));
        co_await timer.async_wait(net::use_awaitable);
    }
    const std::uint64_t id = ++lastId;
    for (const std::string &it : splitDatagram({m_name}, id, bytes)) {
        timer.expires_after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(it.size() / m_replyRate)));
        co_await timer.async_wait(net::use_awaitable);
        boost::system::error_code ignored; // as in Link
        m_slowSocket.send_to(net::buffer(it), to, 0, ignored);
    }
    m_isSending = false;
}

void FeedVm::sendReport()
{
    const StatusReport status{.newestChange = m_feed.newestPosition(),
                              .storeReachableFor = m_members.hasStoreAccess() ? m_clock.now() - m_startedAt + silenceLimit : Duration(0)};
    for (const Member *it : m_members.reportReceivers()) {
        m_link.send(it->registration.peers, status);
    }
}

net::awaitable<void> FeedVm::report()
{
    net::steady_timer timer(m_fleet.context());
    while (!m_isDead) {
        sendReport();
        timer.expires_after(statusPeriod);
        co_await timer.async_wait(net::use_awaitable);
    }
}

FeedFleet::FeedFleet(std::size_t plainVms)
{
    for (std::size_t i = 0; i < seats + plainVms; ++i) {
        m_vms.emplace_back(*this, "vm-" + std::to_string(i), FailureDomain{i < seats ? domains[i % domains.size()] : domains[0]});
    }
    for (FeedVm &it : m_vms) {
        it.start();
    }
}

FeedFleet::~FeedFleet()
{
    m_context.stop();
}

void FeedFleet::run(Duration time)
{
    m_context.run_for(time);
}

std::uint64_t FeedFleet::write(const std::string &content)
{
    m_history.write(content);
    return m_history.position().revision();
}

std::vector<std::string> FeedFleet::waitFor(std::uint64_t revision, Duration limit, const std::set<std::string> &except)
{
    const auto missing = [&] {
        std::vector<std::string> names;
        for (const FeedVm &it : m_vms) {
            if (!except.contains(it.name()) && !it.receivedAt(revision)) {
                names.push_back(it.name());
            }
        }
        return names;
    };
    const auto deadline = std::chrono::steady_clock::now() + limit;
    std::vector<std::string> names = missing();
    while (!names.empty() && std::chrono::steady_clock::now() < deadline) {
        run(std::chrono::milliseconds(10));
        names = missing();
    }
    return names;
}

void FeedFleet::setStoreAccess(StoreAccess access)
{
    for (FeedVm &it : m_vms) {
        it.setStoreAccess(access);
    }
}

std::size_t FeedFleet::storeCalls() const
{
    return std::accumulate(
        m_vms.begin(), m_vms.end(), std::size_t(0), [](std::size_t sum, const FeedVm &it) { return sum + it.storeCalls(); });
}

FeedVm &FeedFleet::vm(std::size_t i)
{
    return *std::next(m_vms.begin(), static_cast<std::ptrdiff_t>(i));
}

} // namespace Pollenspoke
