// Caller keys: header spellings, keys outside their headers, withdrawal, and access to routes. A key must never reach a target,
// and no spelling of a path may bypass a route's accounts.
#include "credentials.h"
#include "front_fixture.h"
#include "guards.h"

#include <boost/algorithm/string/replace.hpp>
#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;

namespace {

const std::string otherSecret = "secret-of-shop-2";

std::string makeKeyYaml(const std::string &name, const std::string &account, const std::string &secret)
{
    return "---\nkind: Key\nname: " + name + "\nspec: {account: " + account + ", sha256: \"" + sha256Hex(secret) + "\"}\n";
}

// Account shop-2, and the routes /work/admin (shop-2 only), /closed (closed) and /read (GET only).
std::string makeExtraObjects()
{
    return "---\nkind: ClientAccount\nname: shop-2\nspec: {limits: {rate_per_s: 1000, burst: 1000}}\n"
        + makeKeyYaml("shop-2-k1", "shop-2", otherSecret)
        + "---\nkind: Route\nname: admin\nspec: {match: {path_prefix: /work/admin}, service: work, accounts: [shop-2]}\n"
          "---\nkind: Route\nname: closed\nspec: {match: {path_prefix: /closed}, service: work, state: closed}\n"
          "---\nkind: Route\nname: read\nspec: {match: {path_prefix: /read, methods: [GET]}, service: work}\n";
}

struct Rig
{
    RecordingTarget target;
    ProxyFixture fixture{{.targets = {target.address()}, .objects = makeExtraObjects()}};

    RawCaller::Response send(const std::string &text)
    {
        RawCaller caller(fixture.port());
        caller.send(text);
        return caller.readResponse();
    }

    RawCaller::Response getWithHeaders(const std::string &headers, const std::string &path = "/work")
    {
        return send("GET " + path + " HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n");
    }

    // Neither key may reach a target, in any encoding that a target would decode.
    ~Rig()
    {
        for (const ReceivedRequest &it : target.requests()) {
            for (const std::string &secret : {testSecret, otherSecret}) {
                BOOST_TEST(!containsSecret(it.head, secret), it.head);
                BOOST_TEST(!containsSecret(it.body, secret), it.body);
            }
        }
    }
};

std::string percentEncoded(const std::string &text)
{
    std::string encoded;
    for (const char it : text) {
        constexpr std::string_view digits = "0123456789aBcDeF";
        encoded += '%';
        encoded += digits[static_cast<unsigned char>(it) / 16];
        encoded += digits[static_cast<unsigned char>(it) % 16];
    }
    return encoded;
}

std::string withSpecField(std::string yaml, const std::string &object, const std::string &field)
{
    const auto at = yaml.find("name: " + object + "\nspec: {");
    POLLENSPOKE_ASSERT(at != std::string::npos, "the fixture must define this object");
    yaml.insert(yaml.find('{', at) + 1, field + ", ");
    return yaml;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_key_is_accepted_in_every_spelling_of_its_headers)
{
    Rig rig;
    for (const std::string &name : std::vector<std::string>{"X-Api-Key", "x-api-key", "X-API-KEY", "X_Api_Key", "x_api-kEy"}) {
        BOOST_TEST(rig.getWithHeaders(name + ": " + testSecret + "\r\n").status == 200U, name);
        BOOST_TEST(rig.getWithHeaders(name + ":\t" + testSecret + " \t\r\n").status == 200U, name);
    }
    for (const std::string &scheme : std::vector<std::string>{"Bearer ", "bearer ", "BEARER  ", "bEaReR\t"}) {
        BOOST_TEST(rig.getWithHeaders("authorization: " + scheme + testSecret + "\r\n").status == 200U, scheme);
    }
    BOOST_TEST(rig.getWithHeaders("X-Api-Key: " + testSecret + "\r\nX-Api-Key: " + testSecret + "\r\n").status == 200U);
    BOOST_TEST(rig.getWithHeaders("X-Api-Key: " + testSecret + "\r\nAuthorization: Bearer " + testSecret + "\r\n").status == 200U);
    BOOST_TEST(rig.getWithHeaders("X-Api-Key: " + testSecret + "\r\nAuthorization: Basic YTpi\r\n").status == 200U);
    BOOST_TEST(!rig.target.hasReceived("YTpi"));
    BOOST_TEST(rig.target.requests().size() == 17U);
}

BOOST_AUTO_TEST_CASE(a_request_without_exactly_one_valid_key_is_refused)
{
    Rig rig;
    const auto check = [&rig](const std::string &headers, unsigned status, const std::string &reason) {
        BOOST_TEST_CONTEXT(headers.substr(0, 60))
        {
            checkRefusal(rig.getWithHeaders(headers), status, reason);
        }
    };
    check("", 401, "key_missing");
    check("X-Api-Key: \r\n", 401, "key_missing");
    check("X-Api-Key:\r\nAuthorization: Bearer\r\n", 401, "key_missing");
    check("Authorization: Basic " + testSecret + "\r\n", 401, "key_missing");
    check("Authorization: " + testSecret + "\r\n", 401, "key_missing");
    check("Proxy-Authorization: Bearer " + testSecret + "\r\n", 401, "key_missing");
    check("Cookie: X-Api-Key=" + testSecret + "\r\n", 401, "key_missing");
    check("XApiKey: " + testSecret + "\r\n", 401, "key_missing");
    check("X-Api-Key: " + std::string(10000, 'k') + "\r\n", 401, "key_unknown");
    check("X-Api-Key: " + testSecret + "x\r\n", 401, "key_unknown");
    check("X-Api-Key: " + testSecret.substr(1) + "\r\n", 401, "key_unknown");
    check("X-Api-Key: SECRET-OF-SHOP-1\r\n", 401, "key_unknown");
    check("X-Api-Key: " + sha256Hex(testSecret) + "\r\n", 401, "key_unknown");
    check("X-Api-Key: " + testSecret + ", " + testSecret + "\r\n", 401, "key_unknown");
    check("X-Api-Key: " + testSecret + "\r\nX_Api_Key: " + otherSecret + "\r\n", 400, "key_ambiguous");
    check("X-Api-Key: " + testSecret + "\r\nAuthorization: Bearer " + otherSecret + "\r\n", 400, "key_ambiguous");
    check("X-Api-Key: wrong\r\nAuthorization: Bearer " + testSecret + "\r\n", 400, "key_ambiguous");
    BOOST_TEST(rig.target.requests().empty());
}

BOOST_AUTO_TEST_CASE(a_key_in_the_url_or_the_body_is_refused)
{
    Rig rig;
    const std::string encoded = percentEncoded(testSecret);
    std::string doubleEncoded = encoded;
    boost::algorithm::replace_all(doubleEncoded, "%", "%25");
    for (const std::string &text : {testSecret, encoded, "%73" + testSecret.substr(1), doubleEncoded}) {
        BOOST_TEST_CONTEXT(text)
        {
            checkRefusal(rig.send(makeRequest("GET", "/work/" + text)), 400, "key_in_content");
            checkRefusal(rig.send(makeRequest("GET", "/work?api_key=" + text)), 400, "key_in_content");
            const std::string body = "a=b&key=" + text + "&c=d";
            checkRefusal(rig.send(makeRequest("POST", "/work", "Content-Length: " + std::to_string(body.size()) + "\r\n", body)),
                         400,
                         "key_in_content");
        }
    }
    BOOST_TEST(rig.target.requests().empty());
}

BOOST_AUTO_TEST_CASE(any_other_header_that_contains_a_key_is_dropped)
{
    Rig rig;
    const std::string encodedSecret = percentEncoded(testSecret);
    const std::string headers = "Cookie: a=b; key=" + testSecret + "\r\nReferer: http://a/?key=" + encodedSecret + "\r\nX-" + testSecret
        + ": 1\r\nX-Forwarded-Authorization: Bearer " + testSecret + "\r\nX-Keys: a," + testSecret + ",b\r\nFolded: a\r\n " + testSecret
        + "\r\nProxy-Authorization: Bearer " + testSecret + "\r\nConnection: X-Api-Key, " + testSecret + "\r\nTE: " + testSecret
        + "\r\nKept: yes\r\n";
    BOOST_TEST(rig.send(makeRequest("GET", "/work", headers)).status == 200U);
    BOOST_REQUIRE(rig.target.requests().size() == 1U);
    BOOST_TEST(rig.target.requests()[0].header("Kept") == "yes");
    BOOST_TEST(rig.target.requests()[0].header("Cookie").empty());
}

BOOST_AUTO_TEST_CASE(reserved_headers_sent_by_callers_are_dropped)
{
    Rig rig;
    const std::string headers = "Pollenspoke-Account: shop-2\r\npollenspoke_account: shop-2\r\nPOLLENSPOKE-Request-Id: mine\r\n"
                                "Pollenspoke-Run: not-run\r\nPollenspoke-Future: shop-2\r\nConnection: Pollenspoke-Account\r\n";
    BOOST_TEST(rig.send(makeRequest("GET", "/work", headers)).status == 200U);
    BOOST_REQUIRE(rig.target.requests().size() == 1U);
    const ReceivedRequest received = rig.target.requests()[0];
    BOOST_TEST(received.header("Pollenspoke-Account") == "shop-1");
    BOOST_TEST(received.header("Pollenspoke-Request-Id") != "mine");
    BOOST_TEST(!received.header("Pollenspoke-Request-Id").empty());
    BOOST_TEST(!rig.target.hasReceived("shop-2"));
    BOOST_TEST(!rig.target.hasReceived("not-run"));
}

BOOST_AUTO_TEST_CASE(a_key_withdrawn_on_an_open_connection_is_refused_at_the_next_request)
{
    Rig rig;
    RawCaller caller(rig.fixture.port());
    BOOST_TEST(caller.request("GET", "/work").status == 200U);
    rig.fixture.apply(withSpecField(rig.fixture.yaml(), "shop-1-k1", "state: withdrawn"), 2);
    checkRefusal(caller.request("GET", "/work"), 401, "key_withdrawn");
    rig.fixture.apply(rig.fixture.yaml(), 1); // older revisions are ignored
    checkRefusal(caller.request("GET", "/work"), 401, "key_withdrawn");
    BOOST_TEST(rig.target.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_key_withdrawn_while_a_body_arrives_is_refused)
{
    Rig rig;
    RawCaller caller(rig.fixture.port());
    caller.send(makeRequest("POST", "/work", "Expect: 100-continue\r\nContent-Length: 5\r\n"));
    BOOST_TEST(caller.readResponse(true).status == 100U); // the key was valid when the header was checked
    caller.send("he");
    rig.fixture.apply(withSpecField(rig.fixture.yaml(), "shop-1-k1", "state: withdrawn"), 2);
    caller.send("llo");
    checkRefusal(caller.readResponse(), 401, "key_withdrawn");
    BOOST_TEST(rig.target.requests().empty());
}

BOOST_AUTO_TEST_CASE(a_suspended_account_is_refused_with_every_key)
{
    Rig rig;
    rig.fixture.apply(withSpecField(rig.fixture.yaml(), "shop-1", "state: suspended"), 2);
    checkRefusal(rig.send(makeRequest("GET", "/work")), 403, "account_suspended");
    checkRefusal(rig.send(makeRequest("GET", "/.well-known/pollenspoke/addresses")), 403, "account_suspended");
    BOOST_TEST(rig.getWithHeaders("X-Api-Key: " + otherSecret + "\r\n").status == 200U);
    BOOST_TEST(rig.target.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_route_serves_its_accounts_and_methods_while_it_is_open)
{
    Rig rig;
    checkRefusal(rig.send(makeRequest("GET", "/closed")), 503, "route_closed");
    checkRefusal(rig.send(makeRequest("GET", "/work/admin")), 403, "account_not_allowed");
    checkRefusal(rig.send(makeRequest("POST", "/read", "Content-Length: 0\r\n")), 405, "method_not_allowed");
    checkRefusal(rig.send(makeRequest("GET", "/workers")), 404, "route_not_found");
    BOOST_TEST(rig.target.requests().empty());
    BOOST_TEST(rig.send(makeRequest("GET", "/read")).status == 200U);
    BOOST_TEST(rig.getWithHeaders("X-Api-Key: " + otherSecret + "\r\n", "/work/admin").status == 200U);
}

BOOST_AUTO_TEST_CASE(no_spelling_of_a_path_bypasses_the_accounts_of_a_route)
{
    Rig rig;
    const std::vector<std::string> adminPaths{"/work/admin",
                                              "/work/admin/",
                                              "/work/admin?x",
                                              "/work//admin",
                                              "//work/admin",
                                              "/work/%61dmin",
                                              "/work%2fadmin",
                                              "/work%2Fadmin/x",
                                              "/work\\admin",
                                              "/work%5cadmin",
                                              "/work/.%2fadmin",
                                              "/work/./admin",
                                              "/work/x/../admin",
                                              "/work/x/%2e%2e/admin",
                                              "/work/x/.%2E/admin",
                                              "/work/x%2f..%2fadmin",
                                              "/work/x\\..\\admin",
                                              "/work/x/..%5cadmin",
                                              "/work/x/%252e%252e/admin",
                                              "/work/x/..;/admin",
                                              "/work/x/..;a=b/admin",
                                              "/work/x/%2e%2e%3b/admin",
                                              "/work/x#/../admin",
                                              "/work/x/..",
                                              "/..",
                                              "/work/admin;x",
                                              "/work/admin;a=b/c",
                                              "/work;y/admin",
                                              "/work/admin%3Bx",
                                              "/work/%61dmin;",
                                              "/work/;/admin"};
    for (const std::string &path : adminPaths) {
        BOOST_TEST_CONTEXT(path)
        {
            const RawCaller::Response response = rig.send(makeRequest("GET", path));
            BOOST_TEST((response.status == 403U || response.status == 400U), response.head);
            BOOST_TEST(response.header("Pollenspoke-Run") == "not-run");
        }
    }
    BOOST_TEST(rig.target.requests().empty());
    for (const std::string &path : std::vector<std::string>{
             "/work/a.b", "/work/a;b=c/d", "/work/..a", "/work/...", "/work/100%25", "/work/a%20b?x=../..", "/work/%zz"}) {
        BOOST_TEST(rig.send(makeRequest("GET", path)).status == 200U, path);
    }
}

BOOST_AUTO_TEST_CASE(paths_are_normalized_or_refused)
{
    const auto path = [](std::string_view target) { return extractPath(target).value_or("refused"); };
    BOOST_TEST(path("/a/b?c=/../d") == "/a/b");
    BOOST_TEST(path("/a//b\\\\c") == "/a/b/c");
    BOOST_TEST(path("/%61%2Fb") == "/a/b");
    BOOST_TEST(path("/a%3fb") == "/a?b");
    BOOST_TEST(path("/a%") == "/a%");
    BOOST_TEST(path("/a%4") == "/a%4");
    BOOST_TEST(path("/a%2500") == "/a%00");
    BOOST_TEST(path("/a;b") == "/a;b");
    for (const std::string_view it :
         {"", "a", "*", "http://a/b", "/a%00", "/a/..", "/./a", "/a/%2e%2E/b", "/a/%25252e./b", "/a#b", "/..;x"}) {
        BOOST_TEST(path(it) == "refused", it);
    }
}
