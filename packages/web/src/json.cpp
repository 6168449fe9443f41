#include <pollenspoke/web.h>

#include <array>
// Boost.JSON without its library.
#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/src.hpp>
#include <charconv>
#include <cmath>
#include <limits>

namespace Pollenspoke {

namespace {

namespace json = boost::json;
using JsonError = json::error_code;

constexpr double maxExactInteger = 9007199254740992; // 2^53
constexpr std::size_t maxNestingDepth = 32;          // levels; recursive functions on a JsonValue could exhaust the stack on more

// Builds a JsonValue from the parser's events, without another tree in between.
class JsonBuilder
{
public:
    // NOLINTBEGIN(readability-identifier-naming): names that Boost.JSON prescribes
    static constexpr std::size_t max_object_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_array_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_key_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_string_size = std::numeric_limits<std::size_t>::max();

    JsonBuilder(JsonValue &root, std::size_t maxValues)
        : m_root(root)
        , m_valuesLeft(maxValues)
    {
    }

    static bool on_document_begin(JsonError & /*ec*/) { return true; }
    static bool on_document_end(JsonError & /*ec*/) { return true; }
    bool on_object_begin(JsonError &ec) { return open(JsonValue::Type::Object, ec); }
    bool on_object_end(std::size_t /*n*/, JsonError & /*ec*/) { return close(); }
    bool on_array_begin(JsonError &ec) { return open(JsonValue::Type::List, ec); }
    bool on_array_end(std::size_t /*n*/, JsonError & /*ec*/) { return close(); }
    bool on_key_part(json::string_view part, std::size_t /*n*/, JsonError & /*ec*/)
    {
        m_name.append(part.data(), part.size());
        return true;
    }
    bool on_key(json::string_view part, std::size_t n, JsonError &ec) { return on_key_part(part, n, ec); }
    bool on_string_part(json::string_view part, std::size_t /*n*/, JsonError & /*ec*/)
    {
        m_text.append(part.data(), part.size());
        return true;
    }
    bool on_string(json::string_view part, std::size_t n, JsonError &ec)
    {
        on_string_part(part, n, ec);
        JsonValue *value = add(JsonValue::Type::Text, ec);
        if (value != nullptr) {
            value->text = std::exchange(m_text, {});
        }
        return value != nullptr;
    }
    static bool on_number_part(json::string_view /*part*/, JsonError & /*ec*/) { return true; }
    bool on_int64(std::int64_t number, json::string_view /*text*/, JsonError &ec) { return addNumber(static_cast<double>(number), ec); }
    bool on_uint64(std::uint64_t number, json::string_view /*text*/, JsonError &ec) { return addNumber(static_cast<double>(number), ec); }
    bool on_double(double number, json::string_view /*text*/, JsonError &ec) { return addNumber(number, ec); }
    bool on_bool(bool flag, JsonError &ec)
    {
        JsonValue *value = add(JsonValue::Type::Flag, ec);
        if (value != nullptr) {
            value->flag = flag;
        }
        return value != nullptr;
    }
    bool on_null(JsonError &ec) { return add(JsonValue::Type::Null, ec) != nullptr; }
    static bool on_comment_part(json::string_view /*part*/, JsonError & /*ec*/) { return true; }
    static bool on_comment(json::string_view /*part*/, JsonError & /*ec*/) { return true; }
    // NOLINTEND(readability-identifier-naming)

private:
    // An open container's items grow only while no container within it is open, so the pointers stay valid.
    JsonValue *add(JsonValue::Type type, JsonError &ec)
    {
        if (m_valuesLeft == 0) {
            ec = json::error::array_too_large;
            return nullptr;
        }
        --m_valuesLeft;
        JsonValue &value = m_open.empty() ? m_root : m_open.back()->items.emplace_back();
        value.type = type;
        value.name = std::exchange(m_name, {});
        return &value;
    }
    bool addNumber(double number, JsonError &ec)
    {
        if (!std::isfinite(number)) {
            ec = json::error::exponent_overflow;
            return false;
        }
        JsonValue *value = add(JsonValue::Type::Number, ec);
        if (value != nullptr) {
            value->number = number;
        }
        return value != nullptr;
    }
    bool open(JsonValue::Type type, JsonError &ec)
    {
        JsonValue *value = add(type, ec);
        if (value != nullptr) {
            m_open.push_back(value);
        }
        return value != nullptr;
    }
    bool close()
    {
        m_open.pop_back();
        return true;
    }

    JsonValue &m_root;
    std::size_t m_valuesLeft;
    std::vector<JsonValue *> m_open; // containers, the innermost last
    std::string m_name;              // of the next value
    std::string m_text;              // of the string that is being parsed
};

void appendNumber(std::string &text, double number)
{
    std::array<char, 32> buf{};
    const bool isInteger = number == std::floor(number) && std::fabs(number) <= maxExactInteger;
    if (!std::isfinite(number)) {
        text += "null"; // JSON has no other form
        return;
    }
    const auto [end, ec] = isInteger ? std::to_chars(buf.data(), buf.data() + buf.size(), static_cast<long long>(number))
                                     : std::to_chars(buf.data(), buf.data() + buf.size(), number);
    text.append(buf.data(), end);
}

void appendValue(std::string &text, const JsonValue &value)
{
    switch (value.type) {
    case JsonValue::Type::Null:
        text += "null";
        break;
    case JsonValue::Type::Flag:
        text += value.flag ? "true" : "false";
        break;
    case JsonValue::Type::Number:
        appendNumber(text, value.number);
        break;
    case JsonValue::Type::Text:
        text += json::serialize(json::string_view(value.text));
        break;
    case JsonValue::Type::List:
    case JsonValue::Type::Object:
        const bool isObject = value.type == JsonValue::Type::Object;
        text += isObject ? '{' : '[';
        for (const JsonValue &it : value.items) {
            text += &it == value.items.data() ? "" : ",";
            text += isObject ? json::serialize(json::string_view(it.name)) + ":" : std::string();
            appendValue(text, it);
        }
        text += isObject ? '}' : ']';
        break;
    }
}

} // namespace

JsonValue JsonValue::makeObject()
{
    JsonValue value;
    value.type = Type::Object;
    return value;
}

JsonValue JsonValue::makeList()
{
    JsonValue value;
    value.type = Type::List;
    return value;
}

JsonValue &JsonValue::add(const std::string &memberName, JsonValue value)
{
    value.name = memberName;
    items.push_back(std::move(value));
    return items.back();
}

JsonValue &JsonValue::add(const std::string &memberName, const std::string &value)
{
    JsonValue member;
    member.type = Type::Text;
    member.text = value;
    return add(memberName, std::move(member));
}

JsonValue &JsonValue::add(const std::string &memberName, const char *value)
{
    return add(memberName, std::string(value));
}

JsonValue &JsonValue::addNumber(const std::string &memberName, double value)
{
    JsonValue member;
    member.type = Type::Number;
    member.number = value;
    return add(memberName, std::move(member));
}

JsonValue &JsonValue::addFlag(const std::string &memberName, bool value)
{
    JsonValue member;
    member.type = Type::Flag;
    member.flag = value;
    return add(memberName, std::move(member));
}

JsonValue &JsonValue::append(JsonValue value)
{
    return add("", std::move(value));
}

const JsonValue *JsonValue::find(const std::string &memberName) const
{
    for (const JsonValue &it : items) {
        if (it.name == memberName) {
            return &it;
        }
    }
    return nullptr;
}

bool JsonValue::operator==(const JsonValue &other) const
{
    return type == other.type && flag == other.flag && number == other.number && text == other.text && name == other.name
        && items == other.items;
}

bool parseJsonText(const std::string &text, JsonValue &value, std::string &problem, std::size_t maxValues)
{
    JsonValue parsed;
    json::parse_options options;
    options.max_depth = maxNestingDepth;
    json::basic_parser<JsonBuilder> parser(options, parsed, maxValues);
    JsonError ec;
    const std::size_t n = parser.write_some(false, text.data(), text.size(), ec);
    if (!ec && n < text.size()) {
        ec = json::error::extra_data;
    }
    if (ec) {
        problem = ec.message() + " at byte " + std::to_string(n);
        return false;
    }
    value = std::move(parsed);
    return true;
}

std::string formatJsonText(const JsonValue &value)
{
    std::string text;
    appendValue(text, value);
    return text;
}

} // namespace Pollenspoke
