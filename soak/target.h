/// @file
/// A target with gray failures behind a FaultLink, registered in the stand-in of the store.
#pragma once

#include "fault_link.h"
#include "ledger.h"
#include "scripted_target.h"
#include "store_stand_in.h"

namespace Pollenspoke {

enum class TargetMode {
    Well,
    Failing,   // most requests, at once
    Slow,      // works twenty times as long
    Hanging,   // runs and never answers
    Resetting, // runs, and resets the connection
    Cutting,   // runs, and sends half of the answer
    Surplus,   // sends bytes after a whole answer
    Full,      // says that it did not run the request
};

class SoakTarget
{
public:
    SoakTarget(boost::asio::io_context &context, FakeStore &store, Ledger &ledger, std::string service);

    void setMode(TargetMode mode);
    void registerAnew(bool movesService); // as a new incarnation at the same address, of the other service if so said
    void setLeaving();                    // registered as leaving
    FaultLink &link() { return m_link; }

private:
    struct State
    {
        std::string id;
        std::string service;
        TargetMode mode = TargetMode::Well;
    };

    State state() const;
    void put(const std::string &state);
    void serve(AcceptedConnection &peer);
    bool answerRun(AcceptedConnection &peer, const std::string &id, TargetMode mode); // false: the connection is over

    FakeStore &m_store;
    Ledger &m_ledger;
    mutable std::mutex m_mutex;
    State m_state;
    ScriptedTarget m_target;
    FaultLink m_link;
};

} // namespace Pollenspoke
