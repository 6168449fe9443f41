/// @file
/// What the tests of the callers' face share: a target that keeps what it saw, and texts of requests.
#pragma once

#include "proxy_fixture.h"

namespace Pollenspoke {

/// Answers each request with its own path and keeps every request that arrived.
class RecordingTarget
{
public:
    RecordingTarget();

    Address address() const { return m_target.address(); }
    std::vector<ReceivedRequest> requests() const { return m_target.requests(); }
    bool hasSeen(std::string_view text) const; // in any byte of any request

private:
    ScriptedTarget m_target;
};

/// The request path of a ReceivedRequest.
std::string pathOf(const ReceivedRequest &request);

/// "METHOD /path HTTP/1.1" with a Host, the test key and the given header lines, each ended by CRLF.
std::string
makeRequest(const std::string &method, const std::string &path, const std::string &extraHeaders = "", const std::string &body = "");

/// Checks that the answer is one of this system's refusals, that it says not-run, and that its parts agree.
void checkRefusal(const RawCaller::Response &answer, unsigned status, const std::string &reason);

} // namespace Pollenspoke
