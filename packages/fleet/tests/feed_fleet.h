/// @file
/// Vms that follow one document of a fake store through their FeedStores, in one event loop and over real datagrams.
#pragma once

#include "feed.h"
#include "kind_follower.h"

#include <list>
#include <set>

namespace Pollenspoke {

/// How a Vm's calls to the store end.
enum class StoreAccess {
    Answered,
    Refused,    // each call fails at once
    Silent,     // no call is answered until the access returns or the call times out
    Swallowing, // the calls that are open and those that begin are never answered, also if the access returns; they time out
};

/// The store's content: one kind with one document.
class FakeHistory
{
public:
    static constexpr const char *kind = "config";

    void write(const std::string &content);
    StorePosition position() const { return {1, m_revision}; }
    DocumentList list() const;
    DocumentChanges since(StorePosition position) const;

private:
    std::uint64_t m_revision = 1;
    std::optional<StoredDocument> m_document;
};

class FeedFleet;

/// One Vm. Its calls to the store go to the fleet's history.
class FeedVm final : private DocumentStore
{
public:
    FeedVm(FeedFleet &fleet, std::string name, FailureDomain domain);
    ~FeedVm() override;

    void start(); // after all Vms of the fleet were created
    void kill();  // no more messages are answered or sent
    void setStoreAccess(StoreAccess access);
    void setAnswerTime(Duration time) { m_answerTime = time; }     // of the store, for each call
    void keepContents() { m_feed.setKeptKind(FakeHistory::kind); } // before the fleet runs
    const std::optional<DocumentList> &listed() const { return m_listed; }
    void setReplyRate(double bytesPerSecond) { m_replyRate = bytesPerSecond; } // of its link; 0: unlimited

    const std::string &name() const { return m_name; }
    const FailureDomain &domain() const { return m_domain; }
    Address address() const { return m_address; }
    std::optional<TimePoint> receivedAt(std::uint64_t revision) const; // when the revision was delivered; empty: not yet
    bool isWatcher(TimePoint now) const;
    const Metrics &metrics() const { return m_metrics; }
    std::size_t storeCalls() const { return m_storeCalls; }

private:
    Call<DocumentList> list(std::string kind, ReadConsistency consistency) override;
    Call<DocumentChanges> watch(std::string kind, StorePosition since, Duration wait) override;
    Call<StoredDocument> create(std::string kind, std::string name, JsonValue spec) override;
    Call<StoredDocument> replace(std::string kind, std::string name, JsonValue spec, std::uint64_t revision) override;
    Call<void> remove(std::string kind, std::string name, std::uint64_t revision) override;

    void handle(const VmName &sender, const LinkMessage &message, const boost::asio::ip::udp::endpoint &from);
    boost::asio::awaitable<void> report();
    void sendReport();
    boost::asio::awaitable<void> sendSlowly(boost::asio::ip::udp::endpoint to, std::string bytes);

    FeedFleet &m_fleet;
    std::string m_name;
    FailureDomain m_domain;
    boost::asio::ip::udp::socket m_portReservation; // until the link binds the port
    Address m_address;
    SteadyClock m_clock;
    Metrics m_metrics;
    Members m_members;
    Link m_link;
    boost::asio::ip::udp::socket m_slowSocket; // for replies at a limited rate
    FeedStore m_feed;
    FollowHandler m_handler;
    StoreAccess m_access = StoreAccess::Answered;
    Duration m_answerTime{};
    std::size_t m_swallowCount = 0; // times that the access changed to Swallowing
    double m_replyRate = 0;
    bool m_isDead = false;
    bool m_isSending = false;
    TimePoint m_startedAt;
    std::size_t m_storeCalls = 0;
    std::optional<DocumentList> m_listed;          // the last one
    std::map<std::uint64_t, TimePoint> m_received; // by revision
};

/// Vms vm-0 to vm-7 hold the seats, two in each of four failure domains; vm-0 to vm-3 watch the store. The others are in fd-a.
class FeedFleet
{
public:
    explicit FeedFleet(std::size_t plainVms);
    ~FeedFleet();

    static constexpr std::size_t seats = 8;

    void run(Duration time);
    std::uint64_t write(const std::string &content); // returns the revision
    void setStoreAccess(StoreAccess access);         // of all Vms
    std::size_t storeCalls() const;                  // of all Vms
    /// Runs until all Vms but those named have the revision, at most for `limit`. Returns those that don't have it.
    std::vector<std::string> waitFor(std::uint64_t revision, Duration limit, const std::set<std::string> &except = {});

    FeedVm &vm(std::size_t i);
    std::list<FeedVm> &vms() { return m_vms; }
    boost::asio::io_context &context() { return m_context; }
    FakeHistory &history() { return m_history; }

private:
    boost::asio::io_context m_context;
    FakeHistory m_history;
    std::list<FeedVm> m_vms;
};

} // namespace Pollenspoke
