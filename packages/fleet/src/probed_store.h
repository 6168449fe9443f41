/// @file
/// Decorator of the platform's store that bounds how long a call without an answer can hold up the Vm.
///
/// A store that falls silent swallows calls: those that are open, and those that begin before it answers again, never end by themselves,
/// although the store would answer new ones. So no single call decides whether the store is back:
/// - A call that is overdue is doubted. Short calls, the probes, find out whether the store answers. The first answer to a probe that was
///   sent later shows that the overdue call is lost: a read begins anew, a write ends with an unknown outcome.
/// - A read that is lost casts doubt on the reads that began before it was noticed, so that these begin anew as well.
/// - While the store doesn't answer, new reads wait for the answer to a probe instead of being swallowed. The same goes for a watch that
///   begins long after the last answer.
/// - A slow store isn't a silent one: the time after which a call is overdue follows the time that answers have taken.
#pragma once

#include <list>
#include <pollenspoke/fleet.h>

namespace Pollenspoke {

class ProbedStore final : public DocumentStore
{
public:
    static constexpr Duration shortestOverdueTime = std::chrono::milliseconds(250); // past a call's wait; an answer usually takes 5 ms
    static constexpr Duration listOverdueTime = std::chrono::seconds(1);            // its pages may be large, and the link narrow

    /// How a Vm that has no answer from the store tries to get one.
    struct ProbePlan
    {
        Duration interval{};       // the longest between two probes
        bool isPersistent = false; // probe until the store answers; false: only while calls wait for that
    };

    /// All arguments must outlive this object. Not thread-safe: used on one event loop only.
    ProbedStore(boost::asio::io_context &context, DocumentStore &store, const Clock &clock, Metrics &metrics);

    Call<DocumentList> list(std::string kind, ReadConsistency consistency) override;
    Call<DocumentChanges> watch(std::string kind, StorePosition since, Duration wait) override;
    Call<StoredDocument> create(std::string kind, std::string name, JsonValue spec) override;
    Call<StoredDocument> replace(std::string kind, std::string name, JsonValue spec, std::uint64_t revision) override;
    Call<void> remove(std::string kind, std::string name, std::uint64_t revision) override;

    struct Handlers
    {
        std::function<ProbePlan()> planProbes;
        std::function<void(bool isReachable)> onAccessChanged;
        std::function<void()> onAnswer = [] {}; // to any call
    };

    void start(Handlers handlers);
    void probe(); // asks whether the store answers, although no call casts doubt on it; does nothing before the first call

private:
    enum class CallType { Watch, List, Write };
    struct OpenCall
    {
        boost::asio::steady_timer timer; // cancelled to end the call as lost
        CallType type = CallType::Watch;
        TimePoint startedAt;
        TimePoint dueAt;
        bool isOverdue = false;
        bool isLost = false;
    };
    struct HeldCall // waits for an answer to a probe
    {
        boost::asio::steady_timer timer;
    };

    template<typename Value>
    boost::asio::awaitable<std::optional<Result<Value>>> run(Call<Value> &call, CallType type, Duration wait); // empty: it is lost
    template<typename Value>
    Call<Value> runWrite(Call<Value> call);
    boost::asio::awaitable<void> waitForLoss(OpenCall &call);
    boost::asio::awaitable<bool> waitForAnswer(Duration freshTime, Duration limit);
    boost::asio::awaitable<void> sendProbes();
    boost::asio::awaitable<void> sendProbe();
    bool isVerified(Duration freshTime) const;
    bool needsProbe() const;
    bool hasWaitingCalls() const;
    Duration overdueTime(CallType type) const;
    void noteOverdue(OpenCall &call);
    void noteAnswer(TimePoint sentAt, std::optional<Duration> answerTime);
    void noteFailure();
    void noteAccess(bool isReachable);
    void noteKnown(const std::string &kind, StorePosition position);

    boost::asio::io_context &m_context;
    DocumentStore &m_store;
    const Clock &m_clock;
    Metrics &m_metrics;
    std::optional<Handlers> m_handlers;             // empty: not started
    std::list<std::weak_ptr<OpenCall>> m_openCalls; // weak: their coroutines may outlive this object
    std::list<std::weak_ptr<HeldCall>> m_heldCalls;
    boost::asio::steady_timer m_probeTimer; // cancelled when a probe is needed, or no more
    std::string m_probeKind;                // of documents that a probe asks for; empty: no call was made yet
    StorePosition m_newestPosition;         // of all answers, so that the answer to a probe is small
    std::size_t m_openProbes = 0;
    TimePoint m_lastAnswerAt;      // default: none yet
    TimePoint m_lastDoubtAt;       // when a call was last found overdue, or failed
    TimePoint m_doubtedSince;      // when the first one was since the last answer
    Duration m_answerTime{};       // that answers have taken lately, beyond the wait of a watch
    std::uint32_t m_lostLists = 0; // in a row
    bool m_isReachable = true;     // as last reported
    Generator m_generator;
};

} // namespace Pollenspoke
