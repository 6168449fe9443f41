#include "settings.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace Pollenspoke {

namespace {

constexpr std::uint32_t maxMilliseconds = 3600000;

// Thrown only within this file; loadSettings() converts it to a Result.
struct SettingsException
{
    Error error;
};

// One mapping of the file. Records which keys were read, so that rejectUnknownKeys() can reject the others.
class Section
{
public:
    Section(const YAML::Node &node, std::string fileName, std::string path)
        : m_node(node)
        , m_fileName(std::move(fileName))
        , m_path(std::move(path))
    {
        if (m_node.IsDefined() && !m_node.IsNull() && !m_node.IsMap()) {
            fail(ErrorCode::WrongType, m_node, m_path, "must be a mapping");
        }
    }

    Section subsection(const std::string &key)
    {
        m_readKeys.insert(key);
        return Section(find(key), m_fileName, pathOf(key));
    }

    bool has(const std::string &key) const { return find(key).IsDefined(); }

    std::string readText(const std::string &key, const char *fallback = nullptr)
    {
        const YAML::Node node = readNode(key, fallback == nullptr);
        if (!node.IsDefined() && fallback != nullptr) {
            return fallback;
        }
        if (!node.IsScalar() || node.Scalar().empty()) {
            fail(ErrorCode::WrongType, node, pathOf(key), "must be a non-empty string");
        }
        return node.Scalar();
    }

    Address readAddress(const std::string &key)
    {
        const std::string text = readText(key);
        const Result<Address> address = parseAddress(text);
        if (!address) {
            fail(ErrorCode::OutOfRange, find(key), pathOf(key), address.error().detail);
        }
        return *address;
    }

    Address readUrl(const std::string &key)
    {
        const std::string text = readText(key);
        const Result<Address> address = parseHttpUrl(text);
        if (!address) {
            fail(ErrorCode::OutOfRange, find(key), pathOf(key), address.error().detail);
        }
        return *address;
    }

    std::vector<std::string> readTexts(const std::string &key)
    {
        std::vector<std::string> texts;
        const YAML::Node node = readNode(key, false);
        if (!node.IsDefined()) {
            return texts;
        }
        if (!node.IsSequence()) {
            fail(ErrorCode::WrongType, node, pathOf(key), "must be a list of strings");
        }
        for (const auto &it : node) {
            if (!it.IsScalar() || it.Scalar().empty()) {
                fail(ErrorCode::WrongType, it, pathOf(key), "must be a list of non-empty strings");
            }
            texts.push_back(it.Scalar());
        }
        return texts;
    }

    template<typename Number>
    void readNumber(const std::string &key, Number &value, std::uint64_t lowest, std::uint64_t highest)
    {
        const YAML::Node node = readNode(key, false);
        if (!node.IsDefined()) {
            return;
        }
        std::uint64_t number = 0;
        if (!node.IsScalar() || !YAML::convert<std::uint64_t>::decode(node, number)) {
            fail(ErrorCode::WrongType, node, pathOf(key), "must be a non-negative integer");
        }
        if (number < lowest || number > highest) {
            fail(ErrorCode::OutOfRange, node, pathOf(key), "must be between " + std::to_string(lowest) + " and " + std::to_string(highest));
        }
        value = static_cast<Number>(number);
    }

    void readReal(const std::string &key, double &value, double lowest, double highest)
    {
        const YAML::Node node = readNode(key, false);
        if (!node.IsDefined()) {
            return;
        }
        double number = 0;
        if (!node.IsScalar() || !YAML::convert<double>::decode(node, number)) {
            fail(ErrorCode::WrongType, node, pathOf(key), "must be a number");
        }
        if (!(number >= lowest && number <= highest)) {
            fail(ErrorCode::OutOfRange, node, pathOf(key), "must be between " + std::to_string(lowest) + " and " + std::to_string(highest));
        }
        value = number;
    }

    void readFlag(const std::string &key, bool &value)
    {
        const YAML::Node node = readNode(key, false);
        if (!node.IsDefined()) {
            return;
        }
        if (!node.IsScalar() || !YAML::convert<bool>::decode(node, value)) {
            fail(ErrorCode::WrongType, node, pathOf(key), "must be true or false");
        }
    }

    void readMs(const std::string &key, Duration &value)
    {
        auto ms = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
        readNumber(key, ms, 0, maxMilliseconds);
        value = std::chrono::milliseconds(ms);
    }

    std::size_t readChoice(const std::string &key, const std::vector<std::string> &choices, const char *fallback)
    {
        const std::string text = readText(key, fallback);
        const auto it = std::find(choices.begin(), choices.end(), text);
        if (it == choices.end()) {
            std::string detail = "must be one of:";
            for (const std::string &choice : choices) {
                detail += " " + choice;
            }
            fail(ErrorCode::OutOfRange, find(key), pathOf(key), detail);
        }
        return static_cast<std::size_t>(it - choices.begin());
    }

    void rejectUnknownKeys() const
    {
        if (!m_node.IsDefined() || !m_node.IsMap()) {
            return;
        }
        std::set<std::string> keys;
        for (const auto &it : m_node) {
            const std::string key = it.first.Scalar();
            if (!m_readKeys.contains(key)) {
                fail(ErrorCode::UnknownField, it.first, pathOf(key), "unknown setting");
            }
            if (!keys.insert(key).second) {
                fail(ErrorCode::Duplicate, it.first, pathOf(key), "is set twice");
            }
        }
    }

private:
    YAML::Node find(const std::string &key) const
    {
        if (!m_node.IsDefined() || !m_node.IsMap()) {
            return YAML::Node(YAML::NodeType::Undefined);
        }
        const YAML::Node &node = m_node;
        return node[key];
    }

    YAML::Node readNode(const std::string &key, bool required)
    {
        m_readKeys.insert(key);
        YAML::Node node = find(key);
        if (required && !node.IsDefined()) {
            fail(ErrorCode::MissingField, m_node, pathOf(key), "is required");
        }
        return node;
    }

    std::string pathOf(const std::string &key) const { return m_path.empty() ? key : m_path + "." + key; }

    [[noreturn]] void fail(ErrorCode code, const YAML::Node &node, const std::string &path, const std::string &detail) const
    {
        const int line = node.IsDefined() ? node.Mark().line + 1 : 1;
        throw SettingsException{Error{.code = code, .path = m_fileName + ":" + std::to_string(line) + ": " + path, .detail = detail}};
    }

    YAML::Node m_node;
    std::string m_fileName;
    std::string m_path;
    std::set<std::string> m_readKeys;
};

void readVm(Section section, Settings &settings)
{
    settings.proxy.vm.value = section.readText("name");
    settings.proxy.failureDomain.value = section.readText("failure_domain");
    section.rejectUnknownKeys();
}

void readListen(Section section, Settings &settings)
{
    settings.proxy.callers = section.readAddress("callers");
    if (auto *shared = std::get_if<SharedPlatform>(&settings.platform)) {
        shared->fleet.readiness = section.readAddress("readiness");
        shared->fleet.addresses = section.readAddress("addresses");
        shared->fleet.peers = section.readAddress("peers");
        if (section.has("metrics")) {
            shared->fleet.metrics = section.readAddress("metrics");
        }
        section.rejectUnknownKeys();
        return;
    }
    settings.operators = section.readAddress("operators");
    if (section.has("peers")) {
        settings.peers = section.readAddress("peers");
    }
    section.rejectUnknownKeys();
}

void readPlatform(Section section, Settings &settings)
{
    const std::size_t kind = section.readChoice("kind", {"embedded", "http", "shared"}, nullptr);
    if (kind == 0) {
        settings.platform = EmbeddedPlatform{.resources = section.readText("resources")};
    } else if (kind == 1) {
        settings.platform = HttpPlatform{.address = section.readUrl("url")};
    } else {
        settings.platform = SharedPlatform{.store = section.readAddress("store"), .contracts = section.readTexts("contracts")};
    }
    section.rejectUnknownKeys();
}

void readFleet(Section section, FleetOptions &fleet)
{
    section.readMs("address_ttl_ms", fleet.addressTtl);
    section.readMs("watch_wait_ms", fleet.watchWait);
    section.readMs("watch_pause_ms", fleet.watchPause);
    double cpuShare = 1;
    double cpuSpeed = 1;
    section.readReal("cpu_share", cpuShare, 0.001, 1000);
    section.readReal("cpu_speed", cpuSpeed, 0.001, 1000);
    fleet.millicores = static_cast<std::uint32_t>(std::lround(std::min(cpuShare * cpuSpeed, 1000.0) * 1000));
    // The platform renders these integers with a fraction, for example 200.0.
    double linkMbps = fleet.linkMbps;
    double descriptors = fleet.descriptors;
    section.readReal("bandwidth_mbps", linkMbps, 0, 1e6);
    section.readReal("max_fds", descriptors, 0, 1e9);
    fleet.linkMbps = static_cast<std::uint32_t>(std::ceil(linkMbps)); // a slower link than 1 Mbit/s isn't an unknown one
    fleet.descriptors = static_cast<std::uint32_t>(std::ceil(descriptors));
    section.readMs("status_period_ms", fleet.statusPeriod);
    section.readMs("news_period_ms", fleet.targetReportPeriod);
    section.readMs("silence_limit_ms", fleet.silenceLimit);
    section.readMs("grace_ms", fleet.graceTime);
    section.readMs("leave_ms", fleet.leaveTime);
    section.readMs("evacuation_ms", fleet.evacuationTime);
    section.readReal("quota_rate_factor", fleet.quota.rateFactor, 0.1, 10);
    section.readReal("quota_extra_burst", fleet.quota.extraBurst, 0, 1000);
    section.rejectUnknownKeys();
}

void readLog(Section section, Settings &settings)
{
    settings.log.level = static_cast<LogLevel>(section.readChoice("level", {"debug", "info", "warning", "error"}, "info"));
    settings.log.format = static_cast<LogFormat>(section.readChoice("format", {"text", "json"}, "json"));
    section.rejectUnknownKeys();
}

void readFront(Section section, FrontendOptions &front)
{
    section.readNumber("header_bytes", front.headerBytes, 1024, 1048576);
    section.readNumber("body_bytes", front.bodyBytes, 0, 1073741824);
    section.readNumber("vm_memory_mb", front.vmMemoryMb, 16, 1048576);
    section.readNumber("max_connections", front.maxConnections, 1, 1000000);
    section.readNumber("header_timeout_ms", front.headerTimeoutMs, 1, maxMilliseconds);
    section.readNumber("body_timeout_ms", front.bodyTimeoutMs, 1, maxMilliseconds);
    section.readNumber("idle_timeout_ms", front.idleTimeoutMs, 1, maxMilliseconds);
    section.readNumber("write_timeout_ms", front.writeTimeoutMs, 1, maxMilliseconds);
    section.rejectUnknownKeys();
}

void readDispatch(Section section, DispatchOptions &dispatch)
{
    section.readNumber("connect_timeout_ms", dispatch.connectTimeoutMs, 1, maxMilliseconds);
    section.readNumber("whole_answer_bytes", dispatch.wholeAnswerBytes, 1024, 67108864);
    section.readNumber("stream_part_bytes", dispatch.streamPartBytes, 1024, 1048576);
    section.readNumber("answer_header_bytes", dispatch.answerHeaderBytes, 1024, 1048576);
    section.readNumber("pooled_idle_ms", dispatch.pooledIdleMs, 1, maxMilliseconds);
    section.readNumber("target_queue", dispatch.targetQueue, 0, 1000);
    section.readReal("patience_factor", dispatch.patienceFactor, 0, 1000);
    section.readNumber("shortest_patience_ms", dispatch.shortestPatienceMs, 1, maxMilliseconds);
    section.readReal("retry_ratio", dispatch.retryBudget.ratio, 0, 10);
    section.readReal("retry_reserve", dispatch.retryBudget.reserve, 0, 1e6);
    section.readMs("retry_window_ms", dispatch.retryBudget.window);
    section.readMs("failure_pause_ms", dispatch.balancer.failurePause);
    section.readMs("first_pause_ms", dispatch.balancer.firstPause);
    section.readMs("longest_pause_ms", dispatch.balancer.longestPause);
    section.readReal("warmup_overage", dispatch.balancer.warmup.overage, 1, 10);
    section.readReal("warmup_slack", dispatch.balancer.warmup.slack, 0, 1000);
    section.readNumber("floor_percent", dispatch.balancer.floorPercent, 0, 100);
    section.readNumber("hedge_percent", dispatch.hedge.percent, 0, 20);
    section.readFlag("fair_shares", dispatch.hasFairShares);
    section.readFlag("admission_by_rank", dispatch.admissionByRank);
    section.rejectUnknownKeys();
}

Settings readSettings(const YAML::Node &node, const std::string &fileName)
{
    Settings settings;
    Section root(node, fileName, "");
    readVm(root.subsection("vm"), settings);
    readPlatform(root.subsection("platform"), settings);
    readListen(root.subsection("listen"), settings);
    readLog(root.subsection("log"), settings);
    readFront(root.subsection("front"), settings.proxy.front);
    readDispatch(root.subsection("dispatch"), settings.proxy.dispatch);
    root.readNumber("workers", settings.proxy.workers, 1, 256);
    root.readNumber("address_ttl_ms", settings.proxy.addressTtlMs, 100, maxMilliseconds);
    root.readNumber("address_count", settings.proxy.addressCount, 1, 16);
    root.readNumber("drain_timeout_ms", settings.drainTimeoutMs, 1, maxMilliseconds);
    if (auto *shared = std::get_if<SharedPlatform>(&settings.platform)) {
        readFleet(root.subsection("fleet"), shared->fleet);
    }
    root.rejectUnknownKeys();
    return settings;
}

} // namespace

Result<Settings> loadSettings(const std::string &fileName)
{
    std::ifstream file(fileName);
    if (!file) {
        return tl::unexpected(Error{.code = ErrorCode::Io, .path = fileName, .detail = "can't open the file"});
    }
    std::stringstream text;
    text << file.rdbuf();
    try {
        return readSettings(YAML::Load(text.str()), fileName);
    } catch (const SettingsException &failure) {
        return tl::unexpected(failure.error);
    } catch (const YAML::Exception &error) {
        const std::string location = fileName + ":" + std::to_string(error.mark.line + 1);
        return tl::unexpected(Error{.code = ErrorCode::InvalidSyntax, .path = location, .detail = error.msg});
    }
}

} // namespace Pollenspoke
