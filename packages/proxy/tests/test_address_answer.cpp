// The address list: which VMs a caller is told to connect to, and in which order.
#include "front_fixture.h"

#include <boost/test/unit_test.hpp>
#include <pollenspoke/web.h>
#include <set>

using namespace Pollenspoke;

namespace {

constexpr std::uint32_t ttlMs = 7000;
const std::string addressPath = "/.well-known/pollenspoke/addresses";

struct ListedAddress
{
    std::string address;
    std::string failureDomain;
    bool operator==(const ListedAddress &) const = default;
};

struct AddressList
{
    std::vector<ListedAddress> addresses;
    double ttl = 0;
};

AddressList parseResponse(const RawCaller::Response &response)
{
    BOOST_TEST(response.status == 200U);
    BOOST_TEST(response.header("Content-Type") == "application/json");
    JsonValue value;
    std::string parseError;
    BOOST_REQUIRE_MESSAGE(parseJsonText(response.body, value, parseError), parseError);
    AddressList list;
    for (const JsonValue &it : value.find("addresses")->items) {
        list.addresses.push_back({.address = it.find("address")->text, .failureDomain = it.find("failure_domain")->text});
    }
    list.ttl = value.find("ttl_ms")->number;
    return list;
}

// Twelve VMs, three in each of four failure domains. vm-1, the VM under test, is in fd-a; vm-6 is leaving.
std::vector<VmEntry> makeVms()
{
    std::vector<VmEntry> vms;
    for (int i = 0; i < 12; ++i) {
        const std::string domain(1, static_cast<char>('a' + i % 4));
        vms.push_back({.name = {"vm-" + std::to_string(i + 1)},
                       .address = {.ip = "127.0.0.1", .port = static_cast<std::uint16_t>(9001 + i)},
                       .failureDomain = {"fd-" + domain}});
    }
    vms[5].state = VmState::Leaving;
    return vms;
}

std::string makeAccountsYaml(int n)
{
    std::string yaml;
    for (int i = 0; i < n; ++i) {
        const std::string name = "client-" + std::to_string(i);
        yaml += "---\nkind: ClientAccount\nname: " + name + "\nspec: {limits: {rate_per_s: 1, burst: 1}}\n---\nkind: Key\nname: " + name
            + "-k\nspec: {account: " + name + ", sha256: \"" + sha256Hex("secret of " + name) + "\"}\n";
    }
    return yaml;
}

AddressList requestAddresses(RawCaller &caller, const std::string &secret)
{
    caller.send("GET " + addressPath + " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + secret + "\r\n\r\n");
    return parseResponse(caller.readResponse());
}

const VmEntry &findHomeVm(const std::vector<VmEntry> &vms, const AccountName &account)
{
    const VmEntry *best = nullptr;
    for (const VmEntry &it : vms) {
        const bool isBetter = best == nullptr || homeScore(account, it.name) > homeScore(account, best->name);
        if (it.state == VmState::Live && isBetter) {
            best = &it;
        }
    }
    return *best;
}

} // namespace

BOOST_AUTO_TEST_CASE(each_account_gets_its_home_vm_first_and_then_other_failure_domains)
{
    constexpr int accounts = 100;
    ProxyFixture fixture({.proxy = {.addressTtlMs = ttlMs, .addressCount = 3}, .objects = makeAccountsYaml(accounts)});
    const std::vector<VmEntry> vms = makeVms();
    fixture.proxy().applyVms(vms);
    RawCaller caller(fixture.port());
    std::set<std::string> homes;
    for (int i = 0; i < accounts; ++i) {
        const std::string name = "client-" + std::to_string(i);
        const AddressList response = requestAddresses(caller, "secret of " + name);
        BOOST_REQUIRE(response.addresses.size() == 3U);
        BOOST_TEST(response.ttl == ttlMs);
        BOOST_TEST(response.addresses[0].address == toString(findHomeVm(vms, {name}).address));
        std::set<std::string> domains;
        for (const ListedAddress &it : response.addresses) {
            domains.insert(it.failureDomain);
            BOOST_TEST(it.address != toString(vms[5].address)); // leaving
        }
        BOOST_TEST(domains.size() == 3U);
        BOOST_TEST((requestAddresses(caller, "secret of " + name).addresses == response.addresses)); // stable between requests
        homes.insert(response.addresses[0].address);
    }
    BOOST_TEST(homes.size() == 11U); // every live VM is the home of some account
}

BOOST_AUTO_TEST_CASE(a_leaving_vm_omits_itself_at_once_even_if_the_list_shows_it_live)
{
    ProxyFixture fixture({.proxy = {.addressCount = 100}});
    const std::vector<VmEntry> vms = makeVms();
    fixture.proxy().applyVms(vms);
    const auto listsItself = [&] {
        RawCaller caller(fixture.port());
        const AddressList response = requestAddresses(caller, testSecret);
        BOOST_TEST(response.addresses.size() >= 10U);
        return std::any_of(response.addresses.begin(), response.addresses.end(), [&](const ListedAddress &it) {
            return it.address == toString(vms[0].address);
        });
    };
    BOOST_TEST(listsItself());
    fixture.proxy().beginLeave({.acceptTime = std::chrono::seconds(20), .totalTime = std::chrono::seconds(20)});
    BOOST_TEST(!listsItself());
    fixture.proxy().applyVms(vms); // an outdated list that still shows it as live
    BOOST_TEST(!listsItself());
}

// The chunked body of a request for the address list was read as the next request and run.
BOOST_AUTO_TEST_CASE(a_chunked_body_of_a_request_for_addresses_is_not_run_as_a_request)
{
    RecordingTarget target;
    ProxyOptions options;
    options.addressTtlMs = ttlMs;
    options.wire.acceptsChunkedRequests = true;
    ProxyFixture fixture({.targets = {target.address()}, .proxy = options});
    RawCaller caller(fixture.port());
    caller.send(
        makeRequest("GET", "/.well-known/pollenspoke/addresses", "Transfer-Encoding: chunked\r\n", makeRequest("GET", "/work/smuggled")));
    BOOST_TEST(caller.readResponse().header("Connection") == "close");
    BOOST_TEST(caller.isClosedByProxy());
    BOOST_TEST(!target.hasReceived("/work/smuggled"));
}

BOOST_AUTO_TEST_CASE(the_address_list_requires_get_and_a_valid_key)
{
    ProxyFixture fixture({.proxy = {.addressTtlMs = ttlMs}});
    const auto send = [&fixture](const std::string &text) {
        RawCaller caller(fixture.port());
        caller.send(text);
        return caller.readResponse(text.starts_with("HEAD"));
    };
    const std::string requestRest = addressPath + " HTTP/1.1\r\nHost: a\r\n";
    checkRefusal(send("GET " + requestRest + "\r\n"), 401, "key_missing");
    checkRefusal(send("GET " + requestRest + "X-Api-Key: wrong\r\n\r\n"), 401, "key_unknown");
    checkRefusal(send(makeRequest("POST", addressPath)), 405, "method_not_allowed");
    BOOST_TEST(send(makeRequest("HEAD", addressPath)).status == 405U);
    const RawCaller::Response response = send(makeRequest("GET", addressPath + "?x=y"));
    BOOST_TEST(parseResponse(response).addresses.size() == 1U); // only itself until the VM list arrives
    BOOST_TEST(parseResponse(response).addresses[0].address == "127.0.0.1:" + std::to_string(fixture.port()));
    BOOST_TEST(response.header("Cache-Control") == "private, max-age=7");
}

BOOST_AUTO_TEST_CASE(vms_that_are_all_leaving_are_not_listed)
{
    ProxyFixture fixture({});
    std::vector<VmEntry> vms = makeVms();
    for (VmEntry &it : vms) {
        it.state = VmState::Leaving;
    }
    fixture.proxy().applyVms(vms);
    RawCaller caller(fixture.port());
    BOOST_TEST(requestAddresses(caller, testSecret).addresses.empty());
}
