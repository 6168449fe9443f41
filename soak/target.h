/// @file
/// A target that can show gray failures, behind a FaultLink and registered in the fake platform store.
#pragma once

#include "fault_link.h"
#include "ledger.h"
#include "scripted_target.h"
#include "store_stand_in.h"

namespace Pollenspoke {

enum class TargetMode {
    Healthy,
    Failing,    // answers every request with 500, at once
    Slow,       // takes 20 times the usual service time
    Hanging,    // executes the request and never responds
    Resetting,  // executes the request, then resets the connection
    Truncating, // executes the request, sends half of the response and closes
    ExtraBytes, // sends an unrequested second response after a complete one
    Overloaded, // answers 503 with X-Not-Executed and Retry-After
    Limiting,   // names a limit of requests/s in its answers
};

class SoakTarget
{
public:
    SoakTarget(boost::asio::io_context &context, FakeStore &store, Ledger &ledger, std::string service);

    void setMode(TargetMode mode);
    void replaceInstance(bool switchesService); // registers a new instance at the same address, optionally for the other service
    void setDraining();                         // registers as draining and says so in all answers; requests are still executed
    void registerAgain();                       // writes its registration once more
    std::string id() const { return state().id; }
    FaultLink &link() { return m_link; }

private:
    struct State
    {
        std::string id;
        std::string service;
        std::string registered = "ready";
        std::uint64_t writeCount = 0; // of its registration
        TargetMode mode = TargetMode::Healthy;
    };

    State state() const;
    void registerInStore(const std::string &registeredState);
    void serve(AcceptedConnection &peer);
    bool respond(AcceptedConnection &peer,
                 const std::string &id,
                 const std::string &headers,
                 TargetMode mode); // false: the connection has ended

    FakeStore &m_store;
    Ledger &m_ledger;
    mutable std::mutex m_mutex;
    State m_state;
    ScriptedTarget m_target;
    FaultLink m_link;
};

} // namespace Pollenspoke
