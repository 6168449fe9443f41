#include "document.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace Pollenspoke {

namespace {

constexpr int maxNesting = 32; // levels; prevents a stack overflow by deeply nested input

bool parseNumber(const std::string &text, double &value)
{
    std::istringstream in(text);
    in.imbue(std::locale::classic());
    in >> value;
    return !in.fail() && in.eof() && std::isfinite(value);
}

void convertScalar(const YAML::Node &node, Document &document)
{
    const std::string &text = node.Scalar();
    const bool isQuoted = node.Tag() == "!";
    if (!isQuoted && (text == "true" || text == "false")) {
        document.type = Document::Type::Flag;
        document.flag = text == "true";
    } else if (!isQuoted && parseNumber(text, document.number)) {
        document.type = Document::Type::Number;
    } else {
        document.type = Document::Type::Text;
        document.number = 0;
        document.text = text;
    }
}

// Converts a YAML node. Returns an error for a duplicate key or too deep nesting.
std::optional<Error> convertYaml(const YAML::Node &node, Document &document, const std::string &path, int depth)
{
    if (depth > maxNesting) {
        return Error{.code = ErrorCode::OutOfRange, .path = path, .detail = "nested too deeply"};
    }
    if (node.IsMap()) {
        document.type = Document::Type::Object;
        for (const auto &it : node) {
            const std::string name = it.first.Scalar();
            const std::string fieldPath = path.empty() ? name : path + "." + name;
            if (document.find(name) != nullptr) {
                return Error{.code = ErrorCode::Duplicate, .path = fieldPath, .detail = "duplicate key"};
            }
            if (auto error = convertYaml(it.second, document.add(name, Document()), fieldPath, depth + 1)) {
                return error;
            }
        }
    } else if (node.IsSequence()) {
        document.type = Document::Type::List;
        for (std::size_t i = 0; i < node.size(); ++i) {
            if (auto error = convertYaml(node[i], document.append(Document()), path + "[" + std::to_string(i) + "]", depth + 1)) {
                return error;
            }
        }
    } else if (node.IsScalar()) {
        convertScalar(node, document);
    }
    return std::nullopt;
}

// Numbers and Booleans are written as in JSON. Texts are always quoted, so that they are read back as texts.
void emitYaml(YAML::Emitter &out, const Document &document)
{
    if (document.type == Document::Type::Object) {
        out << YAML::BeginMap;
        for (const Document &it : document.items) {
            out << YAML::Key << it.name << YAML::Value;
            emitYaml(out, it);
        }
        out << YAML::EndMap;
    } else if (document.type == Document::Type::List) {
        out << YAML::BeginSeq;
        for (const Document &it : document.items) {
            emitYaml(out, it);
        }
        out << YAML::EndSeq;
    } else if (document.type == Document::Type::Text) {
        out << YAML::DoubleQuoted << document.text;
    } else {
        out << formatJsonText(document);
    }
}

} // namespace

Result<Document> parseJsonDocument(const std::string &text)
{
    Document document;
    std::string problem;
    if (!parseJsonText(text, document, problem)) {
        return tl::unexpected(Error{.code = ErrorCode::InvalidSyntax, .detail = problem});
    }
    return document;
}

Result<std::vector<Document>> parseYamlDocuments(const std::string &text, const std::string &fileName)
{
    std::vector<Document> documents;
    try {
        for (const YAML::Node &it : YAML::LoadAll(text)) {
            if (it.IsNull()) {
                continue;
            }
            Document document;
            if (auto error = convertYaml(it, document, "", 0)) {
                error->path = fileName + ":" + std::to_string(it.Mark().line + 1) + ": " + error->path;
                return tl::unexpected(*error);
            }
            documents.push_back(std::move(document));
        }
    } catch (const YAML::Exception &error) {
        const std::string where = fileName + ":" + std::to_string(error.mark.line + 1);
        return tl::unexpected(Error{.code = ErrorCode::InvalidSyntax, .path = where, .detail = error.msg});
    }
    return documents;
}

std::string formatYamlDocument(const Document &document)
{
    YAML::Emitter out;
    emitYaml(out, document);
    return std::string(out.c_str()) + "\n";
}

FieldReader::FieldReader(const Document &document, std::string path)
    : m_document(document)
    , m_path(std::move(path))
{
    if (document.type != Document::Type::Object) {
        m_error = Error{.code = ErrorCode::WrongType, .path = m_path, .detail = "must be an object"};
    }
}

bool FieldReader::has(const std::string &name) const
{
    return m_document.find(name) != nullptr;
}

std::string FieldReader::pathOf(const std::string &name) const
{
    return m_path.empty() ? name : m_path + "." + name;
}

void FieldReader::fail(ErrorCode code, const std::string &name, const std::string &detail)
{
    if (!m_error) {
        m_error = Error{.code = code, .path = pathOf(name), .detail = detail};
    }
}

void FieldReader::mergeError(const Result<void> &result)
{
    if (!result && !m_error) {
        m_error = result.error();
    }
}

const Document *FieldReader::findField(const std::string &name, bool required)
{
    m_readFields.insert(name);
    const Document *member = m_document.find(name);
    if (member != nullptr && member->type == Document::Type::Null) {
        member = nullptr;
    }
    if (member == nullptr && required) {
        fail(ErrorCode::MissingField, name, "is required");
    }
    return member;
}

std::string FieldReader::readText(const std::string &name, std::optional<std::string> defaultValue)
{
    const Document *member = findField(name, !defaultValue);
    if (member == nullptr) {
        return defaultValue.value_or("");
    }
    if (member->type != Document::Type::Text) {
        fail(ErrorCode::WrongType, name, "must be a string; quote it");
        return "";
    }
    return member->text;
}

double FieldReader::readNumber(const std::string &name, double min, double max, std::optional<double> defaultValue)
{
    const Document *member = findField(name, !defaultValue);
    if (member == nullptr) {
        return defaultValue.value_or(0);
    }
    if (member->type != Document::Type::Number) {
        fail(ErrorCode::WrongType, name, "must be a number");
        return 0;
    }
    const double value = member->number;
    if (!(value >= min && value <= max)) {
        std::ostringstream detail;
        detail << "must be from " << min << " to " << max;
        fail(ErrorCode::OutOfRange, name, detail.str());
    }
    return value;
}

std::uint64_t
FieldReader::readUnsigned(const std::string &name, std::uint64_t min, std::uint64_t max, std::optional<std::uint64_t> defaultValue)
{
    std::optional<double> defaultNumber;
    if (defaultValue) {
        defaultNumber = static_cast<double>(*defaultValue);
    }
    const double value = readNumber(name, static_cast<double>(min), static_cast<double>(max), defaultNumber);
    if (value != std::floor(value)) {
        fail(ErrorCode::OutOfRange, name, "must be an integer");
        return min;
    }
    return value < 0 ? min : static_cast<std::uint64_t>(value);
}

std::optional<bool> FieldReader::readBool(const std::string &name)
{
    const Document *member = findField(name, false);
    if (member == nullptr) {
        return std::nullopt;
    }
    if (member->type != Document::Type::Flag) {
        fail(ErrorCode::WrongType, name, "must be true or false");
        return std::nullopt;
    }
    return member->flag;
}

std::vector<std::string> FieldReader::readTextList(const std::string &name)
{
    std::vector<std::string> values;
    const Document *member = findField(name, false);
    if (member == nullptr) {
        return values;
    }
    if (member->type != Document::Type::List) {
        fail(ErrorCode::WrongType, name, "must be a list");
        return values;
    }
    for (const Document &it : member->items) {
        if (it.type != Document::Type::Text) {
            fail(ErrorCode::WrongType, name + "[" + std::to_string(values.size()) + "]", "must be a string; quote it");
            return values;
        }
        values.push_back(it.text);
    }
    return values;
}

const Document *FieldReader::readObject(const std::string &name, bool required)
{
    const Document *member = findField(name, required);
    if (member != nullptr && member->type != Document::Type::Object) {
        fail(ErrorCode::WrongType, name, "must be an object");
        return nullptr;
    }
    return member;
}

std::vector<const Document *> FieldReader::readListItems(const std::string &name)
{
    std::vector<const Document *> objects;
    const Document *member = findField(name, false);
    if (member == nullptr) {
        return objects;
    }
    if (member->type != Document::Type::List) {
        fail(ErrorCode::WrongType, name, "must be a list");
        return objects;
    }
    for (const Document &it : member->items) {
        objects.push_back(&it);
    }
    return objects;
}

std::size_t FieldReader::readChoice(const std::string &name, const std::vector<std::string> &choices, std::size_t defaultIndex)
{
    const std::string value = readText(name, choices[defaultIndex]);
    const auto it = std::find(choices.begin(), choices.end(), value);
    if (it != choices.end()) {
        return static_cast<std::size_t>(it - choices.begin());
    }
    std::string detail = "must be one of:";
    for (const std::string &choice : choices) {
        detail += " " + choice;
    }
    fail(ErrorCode::OutOfRange, name, detail);
    return defaultIndex;
}

Result<void> FieldReader::finish()
{
    for (const Document &it : m_document.items) {
        if (!m_error && !m_readFields.contains(it.name)) {
            fail(ErrorCode::UnknownField, it.name, "unknown field");
        }
    }
    if (m_error) {
        return tl::unexpected(*m_error);
    }
    return {};
}

} // namespace Pollenspoke
