// Fuzzing with fixed seeds: mutated requests against a running proxy, and random paths and headers against the functions that
// check them. Guards against request smuggling, path traversal and ambiguous keys.
#include "credentials.h"
#include "front_fixture.h"
#include "guards.h"
#include "percent.h"
#include "resolve.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/algorithm/string/replace.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/test/unit_test.hpp>
#include <set>
#include <sstream>

using namespace Pollenspoke;

namespace {

constexpr int functionRuns = 20000;
constexpr int proxyRuns = 4000;

std::size_t randomIndex(Generator &generator, std::size_t n)
{
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(generator);
}

const std::string &randomElement(Generator &generator, const std::vector<std::string> &candidates)
{
    return candidates[randomIndex(generator, candidates.size())];
}

// Texts that mutations insert: framing headers, keys, separators and complete requests.
std::vector<std::string> makeFragments()
{
    using namespace std::string_literals;
    return {"\r\n",
            "\n",
            "\r",
            "\0"s,
            " ",
            "\t",
            ":",
            "/",
            "%2e%2e/",
            "%",
            "\\",
            "..;/",
            "Content-Length: 3\r\n",
            "Content-Length: 0\r\n",
            "content_length: 9\r\n",
            "Transfer-Encoding: chunked\r\n",
            "Transfer-Encoding:\r\n chunked\r\n",
            "X-Api-Key: " + testSecret + "\r\n",
            "X-Api-Key: other\r\n",
            "Authorization: Bearer " + testSecret + "\r\n",
            "Cookie: " + testSecret + "\r\n",
            "Connection: close\r\n",
            "Expect: 100-continue\r\n",
            "Upgrade: h2c\r\n",
            "Host: b\r\n",
            "Pollenspoke-Account: shop-9\r\n",
            "0\r\n\r\n",
            "5\r\nhello\r\n",
            "GET /work HTTP/1.1\r\nHost: a\r\n\r\n",
            testSecret};
}

std::string randomRequest(Generator &generator)
{
    const std::string method = randomElement(generator, {"GET", "POST", "PUT", "DELETE", "PATCH"});
    const std::string path
        = randomElement(generator, {"/work", "/work/a?b=c", "/nowhere", "/.well-known/pollenspoke/addresses", "/work/%41"});
    const std::string body = randomElement(generator, {"", "hello", "GET /work HTTP/1.1\r\n\r\n", std::string(3000, 'b')});
    return makeRequest(method, path, "Content-Length: " + std::to_string(body.size()) + "\r\n", body);
}

void mutate(std::string &text, Generator &generator)
{
    static const std::vector<std::string> fragments = makeFragments();
    const std::size_t at = randomIndex(generator, text.size());
    switch (randomIndex(generator, 5)) {
    case 0:
        text[at] = static_cast<char>(text[at] ^ (1 << randomIndex(generator, 8)));
        break;
    case 1:
        text.insert(at, randomElement(generator, fragments));
        break;
    case 2:
        text.erase(at, 1 + randomIndex(generator, 8));
        break;
    case 3: // at the start of a line, so that a header fragment becomes a header
        text.insert(std::min(text.size(), text.find("\r\n", at) == std::string::npos ? 0 : text.find("\r\n", at) + 2),
                    randomElement(generator, fragments));
        break;
    default: { // duplicates a line
        const std::size_t start = text.find("\r\n", at);
        const std::size_t end = start == std::string::npos ? start : text.find("\r\n", start + 2);
        if (end != std::string::npos) {
            text.insert(end, text.substr(start, end - start));
        }
        break;
    }
    }
    if (text.empty()) {
        text = "G";
    }
}

std::string makeMutatedRequests(Generator &generator, std::size_t maxMutations)
{
    std::string text = randomRequest(generator);
    if (randomIndex(generator, 3) == 0) {
        text += randomRequest(generator);
    }
    for (std::size_t i = randomIndex(generator, maxMutations + 1); i > 0; --i) {
        mutate(text, generator);
    }
    return text;
}

std::string normalizeName(const std::string &name)
{
    return boost::algorithm::replace_all_copy(boost::algorithm::to_lower_copy(name), "_", "-");
}

// The key that a header presents; empty if none.
std::string keyOf(const std::string &normalizedName, const std::string &value)
{
    std::string trimmed = boost::algorithm::trim_copy(value);
    if (normalizedName == "x-api-key") {
        return trimmed;
    }
    const bool isBearer = normalizedName == "authorization" && boost::algorithm::to_lower_copy(trimmed).starts_with("bearer ");
    return isBearer ? boost::algorithm::trim_copy(trimmed.substr(7)) : "";
}

// Reference parser. Returns the requests in order, up to the first invalid one. The end of a body is given by a single plain
// Content-Length only. Folded header lines are joined with the line before.
class StrictParser
{
public:
    struct Request
    {
        std::string method;
        std::string target;
        std::string body;
    };

    static std::vector<Request> parseAll(std::string text)
    {
        std::vector<Request> requests;
        while (parseOne(text, requests)) { }
        return requests;
    }

private:
    static std::string unfold(std::string head)
    {
        for (std::size_t at = 0; (at = head.find("\r\n", at)) != std::string::npos;) {
            if (at + 2 < head.size() && (head[at + 2] == ' ' || head[at + 2] == '\t')) {
                head.replace(at, 2, " ");
            } else {
                at += 2;
            }
        }
        return head;
    }

    static bool parseOne(std::string &text, std::vector<Request> &requests)
    {
        const std::size_t end = text.find("\r\n\r\n");
        if (end == std::string::npos) {
            return false;
        }
        std::istringstream lines(unfold(text.substr(0, end + 2)));
        std::string line;
        std::getline(lines, line);
        const std::size_t first = line.find(' ');
        const std::size_t second = line.find(' ', first + 1);
        if (first == std::string::npos || second == std::string::npos) {
            return false;
        }
        Request request{.method = line.substr(0, first), .target = line.substr(first + 1, second - first - 1), .body = {}};
        int lengths = 0;
        std::size_t length = 0;
        while (std::getline(lines, line)) {
            if (line.empty() || line.back() != '\r' || line.find('\0') != std::string::npos) {
                return false;
            }
            const std::size_t colon = line.find(':');
            const std::string name = normalizeName(line.substr(0, colon));
            if (colon == std::string::npos || name == "transfer-encoding" || name == "upgrade") {
                return false;
            }
            if (name == "content-length") {
                const std::string digits = boost::algorithm::trim_copy(line.substr(colon + 1));
                if (digits.empty() || digits.size() > 9 || digits.find_first_not_of("0123456789") != std::string::npos) {
                    return false;
                }
                ++lengths;
                length = std::stoul(digits);
            }
        }
        if (lengths > 1 || text.size() < end + 4 + length) {
            return false;
        }
        request.body = text.substr(end + 4, length);
        text.erase(0, end + 4 + length);
        requests.push_back(request);
        return true;
    }
};

// Sends the text in parts of random size.
void sendInParts(RawCaller &caller, const std::string &text, Generator &generator)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const std::size_t n = randomIndex(generator, 4) == 0 ? text.size() : 1 + randomIndex(generator, 200);
        caller.send(std::string_view(text).substr(sent, n));
        sent += n;
    }
}

bool isWellFormed(const RawCaller::Response &response)
{
    if (response.status == 100) {
        return true;
    }
    const bool isRefusal = response.header("Content-Type") == "application/problem+json";
    return response.status >= 200 && response.status < 600 && response.head.starts_with("HTTP/1.1 ")
        && (!isRefusal || response.header("Pollenspoke-Run") == "not-run");
}

bool hasDecodedDotSegment(std::string_view path)
{
    return ("/" + std::string(path) + "/").find("/../") != std::string::npos
        || ("/" + std::string(path) + "/").find("/./") != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(normalized_paths_contain_no_dot_segments_after_repeated_decoding)
{
    Generator generator(4711);
    const std::vector<std::string> parts{
        "/", "\\", ".", "..", "%2e", "%2E", "%2f", "%5c", "%25", "2e", ";", "a", "?", "#", "%00", "%", "//", "\x80"};
    for (int i = 0; i < functionRuns; ++i) {
        std::string target = "/";
        for (std::size_t n = randomIndex(generator, 12); n > 0; --n) {
            target += randomElement(generator, parts);
        }
        const std::optional<std::string> path = extractPath(target);
        if (!path) {
            continue;
        }
        BOOST_TEST_REQUIRE(path->starts_with('/'), target);
        BOOST_TEST_REQUIRE(path->find("//") == std::string::npos, target);
        BOOST_TEST_REQUIRE(path->find_first_of("\\") == std::string::npos, target);
        BOOST_TEST_REQUIRE(path->find('\0') == std::string::npos, target);
        std::string decoded = *path;
        for (int depth = 0; depth < maxDecodePasses; ++depth) {
            BOOST_TEST_REQUIRE(!hasDecodedDotSegment(decoded), target);
            decoded = decodePercent(decoded);
        }
    }
}

BOOST_AUTO_TEST_CASE(accepted_headers_have_one_framing_and_one_key)
{
    Generator generator(4712);
    const std::vector<std::string> names{"Content-Length",
                                         "content_length",
                                         "CONTENT-LENGTH",
                                         "Transfer-Encoding",
                                         "Transfer_Encoding",
                                         "X-Api-Key",
                                         "x_api_key",
                                         "Authorization",
                                         "Host",
                                         "Upgrade",
                                         "Cookie",
                                         "Accept"};
    const std::vector<std::string> values{
        "5", "5, 5", "+5", "", "chunked", "a", "b", "Bearer a", "Bearer b", "bearer  a", "Basic a", "\ta "};
    int accepted = 0;
    for (int i = 0; i < functionRuns; ++i) {
        RequestHeader header;
        header.method(http::verb::post);
        header.target("/work");
        header.version(11);
        header.set(http::field::host, "a");
        std::vector<std::string> normalizedNames;
        std::set<std::string> presentedKeys;
        for (std::size_t n = randomIndex(generator, 4); n > 0; --n) {
            const std::string &name = randomElement(generator, names);
            const std::string &value = randomElement(generator, values);
            header.insert(name, value);
            normalizedNames.push_back(normalizeName(name));
            const std::string key = keyOf(normalizedNames.back(), value);
            if (!key.empty()) {
                presentedKeys.insert(key);
            }
        }
        const auto key = extractKey(header);
        BOOST_TEST_REQUIRE(key.has_value() == (presentedKeys.size() == 1));
        if (key) {
            BOOST_TEST_REQUIRE(*key == *presentedKeys.begin());
        } else {
            BOOST_TEST_REQUIRE((key.error() == (presentedKeys.empty() ? RefusalReason::KeyMissing : RefusalReason::KeyAmbiguous)));
        }
        if (checkHeader(header)) {
            continue;
        }
        ++accepted;
        const auto count
            = [&normalizedNames](const char *name) { return std::count(normalizedNames.begin(), normalizedNames.end(), name); };
        BOOST_TEST_REQUIRE(count("transfer-encoding") == 0);
        BOOST_TEST_REQUIRE(count("upgrade") == 0);
        BOOST_TEST_REQUIRE(count("host") == 0); // the header already has one
        BOOST_TEST_REQUIRE(count("content-length") <= 1);
        if (count("content-length") == 1) {
            BOOST_TEST_REQUIRE(toView(header[http::field::content_length]) == "5");
        }
    }
    BOOST_TEST(accepted > functionRuns / 10); // enough headers reached the checks above
}

BOOST_AUTO_TEST_CASE(mutated_requests_run_only_what_a_strict_parser_accepts)
{
    RecordingTarget target;
    ProxyFixture fixture(
        {.targets = {target.address()},
         .proxy = {.front = {.headerBytes = 4096, .bodyBytes = 4000, .headerTimeoutMs = 50, .bodyTimeoutMs = 50, .idleTimeoutMs = 100}}});
    Generator generator(4713);
    std::size_t receivedBefore = 0;
    int dispatched = 0;
    int refused = 0;
    for (int run = 0; run < proxyRuns; ++run) {
        const std::string text = makeMutatedRequests(generator, 4);
        BOOST_TEST_CONTEXT("run " << run << ":\n" << text)
        {
            RawCaller caller(fixture.port());
            sendInParts(caller, text, generator);
            // Always ends the connection, so that all responses to the requests before it can be read.
            const std::string closingRequest = "\r\n\r\nGET /nowhere HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
            caller.send(closingRequest);
            std::size_t responses = 0;
            for (RawCaller::Response it = caller.readResponse(); it.status != 0; it = caller.readResponse()) {
                BOOST_TEST(it.isComplete);
                BOOST_TEST(isWellFormed(it), it.head);
                refused += it.status >= 400 ? 1 : 0;
                responses += it.status >= 200 ? 1 : 0;
            }
            BOOST_TEST(caller.unreadBytes().empty());
            const std::vector<ReceivedRequest> received = target.requests();
            const std::vector<StrictParser::Request> allowed = StrictParser::parseAll(text + closingRequest);
            std::size_t at = 0;
            for (std::size_t i = receivedBefore; i < received.size(); ++i, ++dispatched) {
                const auto isSameRequest = [&](const StrictParser::Request &it) {
                    return it.method == received[i].method() && it.target == pathOf(received[i]) && it.body == received[i].body;
                };
                const auto match = std::find_if(
                    allowed.begin() + static_cast<std::ptrdiff_t>(std::min(at, allowed.size())), allowed.end(), isSameRequest);
                BOOST_TEST((match != allowed.end()), received[i].head);
                at = static_cast<std::size_t>(match - allowed.begin()) + 1;
                BOOST_TEST(!containsSecret(received[i].head + received[i].body, testSecret), received[i].head);
                BOOST_TEST(received[i].header("Pollenspoke-Account") == "shop-1");
            }
            BOOST_TEST(responses >= received.size() - receivedBefore);
            receivedBefore = received.size();
        }
        if (run % 50 == 0) {
            BOOST_TEST_REQUIRE(RawCaller(fixture.port()).request("GET", "/work/alive").status == 200U);
            receivedBefore = target.requests().size();
        }
    }
    BOOST_TEST(dispatched > proxyRuns / 10);
    BOOST_TEST(refused > proxyRuns / 10);
    BOOST_TEST(eventually([&] { return fixture.metrics().value(Gauge::CallerConnections) == 0; }));
    BOOST_TEST(fixture.metrics().value(Gauge::RequestsInFlight) == 0);
    BOOST_TEST_MESSAGE("dispatched " << dispatched << ", refused " << refused);
}
