#include "front_fixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <pollenspoke/web.h>

namespace Pollenspoke {

namespace {

std::string readMember(const JsonValue &object, const std::string &name)
{
    const JsonValue *value = object.find(name);
    return value == nullptr ? "" : value->text;
}

} // namespace

RecordingTarget::RecordingTarget()
    : m_target([this](AcceptedConnection &peer) {
        while (const std::optional<ReceivedRequest> request = peer.readRequest()) {
            m_target.recordRequest(*request);
            if (request->method() == "HEAD") {
                peer.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
            } else {
                peer.answer(*request, pathOf(*request));
            }
        }
    })
{
}

bool RecordingTarget::hasSeen(std::string_view text) const
{
    const std::vector<ReceivedRequest> seen = m_target.requests();
    return std::any_of(seen.begin(), seen.end(), [text](const ReceivedRequest &it) {
        return it.head.find(text) != std::string::npos || it.body.find(text) != std::string::npos;
    });
}

std::string pathOf(const ReceivedRequest &request)
{
    const auto start = request.head.find(' ') + 1;
    return request.head.substr(start, request.head.find(' ', start) - start);
}

std::string makeRequest(const std::string &method, const std::string &path, const std::string &extraHeaders, const std::string &body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: test\r\nX-Api-Key: " + testSecret + "\r\n" + extraHeaders + "\r\n" + body;
}

void checkRefusal(const RawCaller::Response &answer, unsigned status, const std::string &reason)
{
    BOOST_TEST(answer.status == status);
    BOOST_TEST(answer.isWhole);
    BOOST_TEST(answer.header("Pollenspoke-Run") == "not-run");
    BOOST_TEST(answer.header("Content-Type") == "application/problem+json");
    JsonValue problem;
    std::string fault;
    BOOST_TEST(parseJsonText(answer.body, problem, fault));
    BOOST_TEST(readMember(problem, "reason") == reason);
    BOOST_TEST(readMember(problem, "type") == "urn:pollenspoke:refusal:" + reason);
    BOOST_TEST(readMember(problem, "run") == "not-run");
}

} // namespace Pollenspoke
