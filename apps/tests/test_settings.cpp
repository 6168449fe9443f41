#include "processes.h"

#include <boost/test/unit_test.hpp>
#include <pollenspoked/settings.h>

using namespace Pollenspoke;

namespace {

const std::string vmAndListen = "vm: {name: vm-1, failure_domain: fd-a}\n"
                                "listen: {callers: \"127.0.0.1:8080\", operators: \"127.0.0.1:8081\"}\n";
const std::string httpPlatform = "platform: {kind: http, url: \"http://10.0.0.5:9000\"}\n";

ScratchFolder &folder()
{
    static ScratchFolder instance;
    return instance;
}

Result<Settings> load(const std::string &text)
{
    return loadSettings(folder().write("settings.yaml", text));
}

Error errorOf(const std::string &text)
{
    const Result<Settings> settings = load(text);
    BOOST_REQUIRE_MESSAGE(!settings, text);
    return settings.error();
}

// A numeric setting: its section ("" for the root), key and accepted range.
struct Range
{
    std::string section;
    std::string key;
    std::uint64_t lowest;
    std::uint64_t highest;
};

constexpr std::uint64_t hourMs = 3600000; // the highest duration accepted

const std::vector<Range> ranges{
    {"front", "header_bytes", 1024, 1048576},
    {"front", "body_bytes", 0, 1073741824},
    {"front", "vm_memory_mb", 16, 1048576},
    {"front", "max_connections", 1, 1000000},
    {"front", "header_timeout_ms", 1, hourMs},
    {"front", "body_timeout_ms", 1, hourMs},
    {"front", "idle_timeout_ms", 1, hourMs},
    {"front", "write_timeout_ms", 1, hourMs},
    {"dispatch", "connect_timeout_ms", 1, hourMs},
    {"dispatch", "whole_answer_bytes", 1024, 67108864},
    {"dispatch", "stream_part_bytes", 1024, 1048576},
    {"dispatch", "answer_header_bytes", 1024, 1048576},
    {"dispatch", "pooled_idle_ms", 1, hourMs},
    {"dispatch", "hedge_percent", 0, 20},
    {"", "workers", 1, 256},
    {"", "address_ttl_ms", 100, hourMs},
    {"", "address_count", 1, 16},
    {"", "drain_timeout_ms", 1, hourMs},
};

std::string withNumber(const Range &range, const std::string &value)
{
    const std::string line = range.key + ": " + value;
    return vmAndListen + httpPlatform + (range.section.empty() ? line : range.section + ": {" + line + "}") + "\n";
}

std::string pathOf(const Range &range)
{
    return range.section.empty() ? range.key : range.section + "." + range.key;
}

} // namespace

BOOST_AUTO_TEST_CASE(http_and_embedded_platforms_are_read)
{
    const Result<Settings> http = load(vmAndListen + httpPlatform);
    BOOST_REQUIRE(http);
    BOOST_TEST((std::get<HttpPlatform>(http->platform).address == Address{.ip = "10.0.0.5", .port = 9000}));
    const Result<Settings> embedded = load(vmAndListen + "platform: {kind: embedded, resources: r.yaml}\n");
    BOOST_REQUIRE(embedded);
    BOOST_TEST(std::get<EmbeddedPlatform>(embedded->platform).resources == "r.yaml");
}

BOOST_AUTO_TEST_CASE(invalid_platforms_are_refused)
{
    BOOST_TEST((errorOf(vmAndListen).code == ErrorCode::MissingField));
    BOOST_TEST((errorOf(vmAndListen + "platform: {kind: cloud}\n").code == ErrorCode::OutOfRange));
    BOOST_TEST((errorOf(vmAndListen + "platform: {kind: http}\n").code == ErrorCode::MissingField));
    BOOST_TEST((errorOf(vmAndListen + "platform: {kind: http, address: \"10.0.0.5:9000\"}\n").code == ErrorCode::MissingField));
    BOOST_TEST((errorOf(vmAndListen + "platform: {kind: http, url: \"10.0.0.5:9000\"}\n").code == ErrorCode::OutOfRange));
    BOOST_TEST((errorOf(vmAndListen + "platform: {kind: http, url: \"http://platform:9000\"}\n").code == ErrorCode::OutOfRange));
    BOOST_TEST((errorOf(vmAndListen + "platform: {kind: embedded, resources: r.yaml, url: x}\n").code == ErrorCode::UnknownField));
}

BOOST_AUTO_TEST_CASE(unknown_key_is_refused_with_file_line_and_path)
{
    const std::string file = folder().path("settings.yaml");
    const Error atRoot = errorOf(vmAndListen + httpPlatform + "colour: red\n");
    BOOST_TEST((atRoot.code == ErrorCode::UnknownField));
    BOOST_TEST(atRoot.path == file + ":4: colour");
    const Error nested = errorOf(vmAndListen + httpPlatform + "log:\n  level: info\n  colour: red\n");
    BOOST_TEST(nested.path == file + ":6: log.colour");
    for (const char *it : {"vm", "listen", "platform", "log", "front", "dispatch"}) {
        const std::string section = std::string(it) + ": {";
        std::string text = vmAndListen + httpPlatform;
        const auto position = text.find(section);
        if (position == std::string::npos) {
            text += section + "colour: red}\n";
        } else {
            text.insert(position + section.size(), "colour: red, ");
        }
        const Error error = errorOf(text);
        BOOST_TEST((error.code == ErrorCode::UnknownField), it);
        BOOST_TEST(error.path.ends_with(std::string(it) + ".colour"), error.path);
    }
}

BOOST_AUTO_TEST_CASE(number_outside_its_range_is_refused)
{
    for (const Range &it : ranges) {
        BOOST_TEST(load(withNumber(it, std::to_string(it.lowest))).has_value(), pathOf(it));
        BOOST_TEST(load(withNumber(it, std::to_string(it.highest))).has_value(), pathOf(it));
        std::vector<std::string> refused{std::to_string(it.highest + 1)};
        if (it.lowest > 0) {
            refused.push_back(std::to_string(it.lowest - 1));
        }
        for (const std::string &value : refused) {
            const Error error = errorOf(withNumber(it, value));
            BOOST_TEST((error.code == ErrorCode::OutOfRange), pathOf(it));
            BOOST_TEST(error.path == folder().path("settings.yaml") + ":4: " + pathOf(it));
        }
        BOOST_TEST((errorOf(withNumber(it, "many")).code == ErrorCode::WrongType), pathOf(it));
        BOOST_TEST((errorOf(withNumber(it, "-1")).code == ErrorCode::WrongType), pathOf(it));
    }
}

// A switch that is misspelled must not count as off.
BOOST_AUTO_TEST_CASE(flags_are_true_or_false)
{
    const auto isOn = [](const std::string &value) {
        return load(vmAndListen + httpPlatform + "dispatch: {fair_shares: " + value + "}\n").value().proxy.dispatch.hasFairShares;
    };
    BOOST_TEST(!load(vmAndListen + httpPlatform).value().proxy.dispatch.hasFairShares);
    BOOST_TEST(isOn("true"));
    BOOST_TEST(!isOn("false"));
    for (const char *it : {"2", "ja", "[true]"}) {
        BOOST_TEST((errorOf(vmAndListen + httpPlatform + "dispatch: {fair_shares: " + it + "}\n").code == ErrorCode::WrongType), it);
    }
}

BOOST_AUTO_TEST_CASE(duplicate_key_and_invalid_yaml_are_refused)
{
    BOOST_TEST((errorOf(vmAndListen + httpPlatform + "workers: 2\nworkers: 3\n").code == ErrorCode::Duplicate));
    BOOST_TEST((errorOf(vmAndListen + "platform: {kind: http").code == ErrorCode::InvalidSyntax));
    BOOST_TEST((errorOf("vm: [1]\n").code == ErrorCode::WrongType));
}

// The platform renders integers with a fraction; a registration states whole numbers, the same after each restart.
BOOST_AUTO_TEST_CASE(link_and_descriptors_of_the_vm_are_read_with_a_fraction)
{
    const std::string shared = "vm: {name: vm-1, failure_domain: fd-a}\nplatform: {kind: shared, store: \"10.0.0.5:9000\"}\n"
                               "listen: {callers: \"127.0.0.1:8080\", readiness: \"127.0.0.1:8081\", addresses: \"127.0.0.1:8082\", "
                               "peers: \"127.0.0.1:8083\"}\n";
    const auto fleetOf = [&shared](const std::string &section) {
        const Result<Settings> settings = load(shared + section);
        BOOST_REQUIRE_MESSAGE(settings, section);
        return std::get<SharedPlatform>(settings->platform).fleet;
    };
    BOOST_TEST(fleetOf("").linkMbps == 0U);
    BOOST_TEST(fleetOf("").descriptors == 0U);
    BOOST_TEST(fleetOf("fleet: {bandwidth_mbps: 200.0, max_fds: 4100.0}\n").linkMbps == 200U);
    BOOST_TEST(fleetOf("fleet: {bandwidth_mbps: 200.0, max_fds: 4100.0}\n").descriptors == 4100U);
    BOOST_TEST(fleetOf("fleet: {bandwidth_mbps: 0.2, max_fds: 4100}\n").linkMbps == 1U); // 0 would be unknown
    for (const char *it : {"bandwidth_mbps: -1", "bandwidth_mbps: 1000001", "max_fds: -1", "max_fds: 1000000001"}) {
        BOOST_TEST((errorOf(shared + "fleet: {" + it + "}\n").code == ErrorCode::OutOfRange), it);
    }
    BOOST_TEST((errorOf(shared + "fleet: {bandwidth_mbps: wide}\n").code == ErrorCode::WrongType));
}

// Guards against limits of the operators that are dropped, or taken although they are out of range.
BOOST_AUTO_TEST_CASE(the_bounds_of_evacuations_and_warm_ups_are_read)
{
    const std::string shared = "vm: {name: vm-1, failure_domain: fd-a}\n"
                               "listen: {callers: \"127.0.0.1:8080\", readiness: \"127.0.0.1:8081\", addresses: \"127.0.0.1:8082\", "
                               "peers: \"127.0.0.1:8083\"}\n"
                               "platform: {kind: shared, store: \"10.0.0.5:9000\"}\n";
    const Result<Settings> absent = load(shared);
    BOOST_REQUIRE(absent);
    BOOST_TEST((std::get<SharedPlatform>(absent->platform).fleet.evacuationTime == Duration(0)));
    BOOST_TEST((absent->proxy.dispatch.balancer.warmup == WarmupBound{.overage = 1.5, .slack = 8}));
    const Result<Settings> given = load(shared + "dispatch:\n  warmup_overage: 2.5\n  warmup_slack: 3\nfleet:\n  evacuation_ms: 5000\n");
    BOOST_REQUIRE(given);
    BOOST_TEST((std::get<SharedPlatform>(given->platform).fleet.evacuationTime == std::chrono::seconds(5)));
    BOOST_TEST((given->proxy.dispatch.balancer.warmup == WarmupBound{.overage = 2.5, .slack = 3}));
    for (const std::string it :
         {"warmup_overage: 0.9", "warmup_overage: 11", "warmup_slack: -1", "warmup_slack: 1001", "warmup_slack: .nan"}) {
        BOOST_TEST((errorOf(shared + "dispatch: {" + it + "}\n").code == ErrorCode::OutOfRange), it);
    }
    BOOST_TEST((errorOf(shared + "fleet: {evacuation_ms: 3600001}\n").code == ErrorCode::OutOfRange));
    BOOST_TEST((errorOf(shared + "fleet: {evacuation_ms: soon}\n").code == ErrorCode::WrongType));
}

BOOST_AUTO_TEST_CASE(admission_by_rank_is_off_unless_set)
{
    BOOST_TEST(!load(vmAndListen + httpPlatform)->proxy.dispatch.admissionByRank);
    BOOST_TEST(load(vmAndListen + httpPlatform + "dispatch: {admission_by_rank: true}\n")->proxy.dispatch.admissionByRank);
    BOOST_TEST(!load(vmAndListen + httpPlatform + "dispatch: {admission_by_rank: false}\n")->proxy.dispatch.admissionByRank);
    const Error error = errorOf(vmAndListen + httpPlatform + "dispatch: {admission_by_rank: 3}\n");
    BOOST_TEST((error.code == ErrorCode::WrongType));
    BOOST_TEST(error.path.ends_with("dispatch.admission_by_rank"), error.path);
}

BOOST_AUTO_TEST_CASE(contracts_of_a_shared_platform_are_kept_as_texts)
{
    const auto shared = [](const std::string &contracts) {
        return "vm: {name: vm-1, failure_domain: fd-a}\n"
               "listen: {callers: \"127.0.0.1:8080\", readiness: \"127.0.0.1:8081\", addresses: \"127.0.0.1:8082\", "
               "peers: \"127.0.0.1:8083\"}\n"
               "platform: {kind: shared, store: \"10.0.0.5:9000\""
            + contracts + "}\n";
    };
    const auto contractsOf = [](const Result<Settings> &settings) {
        BOOST_REQUIRE(settings);
        return std::get<SharedPlatform>(settings->platform).contracts;
    };
    BOOST_TEST(contractsOf(load(shared(""))).empty());
    BOOST_TEST(contractsOf(load(shared(", contracts: []"))).empty());
    const std::vector<std::string> expected{"one", "two-b"};
    BOOST_TEST(contractsOf(load(shared(", contracts: [one,two-b]"))) == expected);
    BOOST_TEST(!load(shared(", contracts: [one]"))->proxy.dispatch.admissionByRank); // only the platform's adapter knows the names
    BOOST_TEST((errorOf(shared(", contracts: one")).code == ErrorCode::WrongType));
    BOOST_TEST((errorOf(shared(", contracts: [{a: b}]")).code == ErrorCode::WrongType));
    BOOST_TEST((errorOf(vmAndListen + "platform: {kind: http, url: \"http://10.0.0.5:9000\", contracts: [one]}\n").code
                == ErrorCode::UnknownField));
}
