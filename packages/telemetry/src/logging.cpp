// Formats log lines; easylogging++ writes them.
#include <pollenspoke/telemetry.h>

#include <atomic>
#include <chrono>
#include <easylogging++.h>
#include <mutex>
#include <optional>
#include <pollenspoke/web.h>
#include <span>
#include <sstream>
#include <utility>
#include <vector>

INITIALIZE_EASYLOGGINGPP

namespace Pollenspoke {

namespace {

std::atomic<LogFormat> activeFormat{LogFormat::Json};
std::atomic<LogLevel> activeLevel{LogLevel::Info};

std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "unnamed";
}

// Rate limit over fixed windows of one second.
class LineRateLimit
{
public:
    // Empty if the line must be suppressed; otherwise the number of lines suppressed since the last one written.
    std::optional<std::uint64_t> admit()
    {
        const std::lock_guard lock(m_mutex);
        const auto now = std::chrono::steady_clock::now();
        if (now - m_windowStart >= std::chrono::seconds(1)) {
            m_windowStart = now;
            m_linesInWindow = 0;
        }
        if (m_linesInWindow >= requestLinesPerSecond) {
            ++m_suppressed;
            return std::nullopt;
        }
        ++m_linesInWindow;
        return std::exchange(m_suppressed, 0);
    }

private:
    std::mutex m_mutex;
    std::chrono::steady_clock::time_point m_windowStart;
    std::uint32_t m_linesInWindow = 0;
    std::uint64_t m_suppressed = 0;
};

std::string formatLine(Event event, std::span<const LogField> fields, LogLevel level)
{
    const auto number = static_cast<int>(event);
    if (activeFormat == LogFormat::Json) {
        JsonValue jsonLine = JsonValue::makeObject();
        jsonLine.add("level", std::string(levelName(level)));
        jsonLine.addNumber("event", number);
        jsonLine.add("name", std::string(eventName(event)));
        for (const LogField &field : fields) {
            jsonLine.add(std::string(field.name), field.value);
        }
        return formatJsonText(jsonLine);
    }
    std::ostringstream line;
    line << levelName(level) << ' ' << number << ' ' << eventName(event);
    for (const LogField &field : fields) {
        line << ' ' << field.name << '=' << field.value;
    }
    return line.str();
}

} // namespace

void setUpLogging(const LogOptions &options)
{
    activeFormat = options.format;
    activeLevel = options.level;
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true"); // the stream that ELPP_CUSTOM_COUT names
    configurations.setGlobally(el::ConfigurationType::Format, "%msg");
    el::Loggers::reconfigureAllLoggers(configurations);
    el::Helpers::uninstallPreRollOutCallback();
}

void logEvent(Event event, std::initializer_list<LogField> fields, LogLevel level)
{
    if (level < activeLevel.load()) {
        return;
    }
    LOG(INFO) << formatLine(event, std::span(fields.begin(), fields.size()), level);
}

void logRequestEvent(Event event, std::initializer_list<LogField> fields, LogLevel level)
{
    static LineRateLimit limit;
    if (level < activeLevel.load()) {
        return;
    }
    const std::optional<std::uint64_t> suppressed = limit.admit();
    if (!suppressed) {
        return;
    }
    std::vector<LogField> allFields(fields);
    if (*suppressed != 0) {
        allFields.push_back({"lines_left_out", std::to_string(*suppressed)});
    }
    LOG(INFO) << formatLine(event, allFields, level);
}

} // namespace Pollenspoke
