#include <pollenspoke/web.h>

#include <cmath>
#include <cxxtools/json.h>
#include <sstream>

namespace Pollenspoke {

namespace {

constexpr double maxExactInteger = 9007199254740992; // 2^53
constexpr int maxNestingDepth = 32;                  // levels; the recursive parser could exhaust the stack on more

void fromSerializationInfo(const cxxtools::SerializationInfo &source, JsonValue &destination)
{
    destination.name = source.name();
    if (source.category() == cxxtools::SerializationInfo::Object || source.category() == cxxtools::SerializationInfo::Array) {
        destination.type = source.category() == cxxtools::SerializationInfo::Object ? JsonValue::Type::Object : JsonValue::Type::List;
        for (const auto &it : source) {
            fromSerializationInfo(it, destination.items.emplace_back());
        }
    } else if (source.typeName() == "bool") {
        destination.type = JsonValue::Type::Flag;
        source.getValue(destination.flag);
    } else if (source.typeName() == "int" || source.typeName() == "double") {
        destination.type = JsonValue::Type::Number;
        source.getValue(destination.number);
    } else if (!source.isNull()) {
        destination.type = JsonValue::Type::Text;
        source.getValue(destination.text);
    }
}

void toSerializationInfo(const JsonValue &source, cxxtools::SerializationInfo &destination)
{
    switch (source.type) {
    case JsonValue::Type::Null:
        destination.setNull();
        break;
    case JsonValue::Type::Flag:
        destination.setValue(source.flag);
        break;
    case JsonValue::Type::Number:
        if (source.number == std::floor(source.number) && std::fabs(source.number) <= maxExactInteger) {
            destination.setValue(static_cast<long long>(source.number));
        } else {
            destination.setValue(source.number);
        }
        break;
    case JsonValue::Type::Text:
        destination.setValue(source.text);
        break;
    case JsonValue::Type::List:
    case JsonValue::Type::Object:
        destination.setCategory(source.type == JsonValue::Type::List ? cxxtools::SerializationInfo::Array
                                                                     : cxxtools::SerializationInfo::Object);
        for (const JsonValue &it : source.items) {
            toSerializationInfo(it, destination.addMember(it.name));
        }
        break;
    }
}

// The cxxtools parser ignores text after the value and does not limit nesting, so both are checked here.
bool isSingleValueWithinDepth(const std::string &text, std::string &problem)
{
    int depth = 0;
    bool isInString = false;
    bool isValueComplete = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char it = text[i];
        if (isInString) {
            i += it == '\\' ? 1 : 0;
            isInString = it != '"';
            continue;
        }
        if (isValueComplete && std::string(" \t\r\n").find(it) == std::string::npos) {
            problem = "unexpected text after the end of the JSON value";
            return false;
        }
        isInString = it == '"';
        if (it == '{' || it == '[') {
            ++depth;
        } else if (it == '}' || it == ']') {
            --depth;
            isValueComplete = depth == 0;
        }
        if (depth > maxNestingDepth) {
            problem = "nested too deep";
            return false;
        }
    }
    return true;
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

bool parseJsonText(const std::string &text, JsonValue &value, std::string &problem)
{
    if (!isSingleValueWithinDepth(text, problem)) {
        return false;
    }
    try {
        cxxtools::SerializationInfo info;
        std::istringstream in(text);
        cxxtools::JsonDeserializer deserializer(in);
        deserializer.deserialize(info);
        value = JsonValue();
        fromSerializationInfo(info, value);
        value.name.clear();
        return true;
    } catch (const std::exception &error) {
        problem = error.what();
        return false;
    }
}

std::string formatJsonText(const JsonValue &value)
{
    cxxtools::SerializationInfo info;
    toSerializationInfo(value, info);
    std::ostringstream out;
    out << cxxtools::Json(info);
    return out.str();
}

} // namespace Pollenspoke
