#include "codec.h"

namespace Pollenspoke {

Result<std::vector<Object>> parseYaml(const std::string &text, const std::string &fileName)
{
    const Result<std::vector<Document>> documents = parseYamlDocuments(text, fileName);
    if (!documents) {
        return tl::unexpected(documents.error());
    }
    std::vector<Object> objects;
    for (const Document &it : *documents) {
        const std::string documentPath = fileName + "#" + std::to_string(objects.size() + 1);
        Result<Object> object = decodeObject(it, "");
        if (!object) {
            Error error = object.error();
            error.path = documentPath + ": " + error.path;
            return tl::unexpected(error);
        }
        objects.push_back(std::move(*object));
    }
    return objects;
}

Result<Object> parseJson(const std::string &text)
{
    const Result<Document> document = parseJsonDocument(text);
    if (!document) {
        return tl::unexpected(document.error());
    }
    return decodeObject(*document, "");
}

Result<Object> decodeJson(const JsonValue &envelope)
{
    return decodeObject(envelope, "");
}

JsonValue encodeJson(const Object &object)
{
    return encodeObject(object);
}

std::string toYaml(const Object &object)
{
    return formatYamlDocument(encodeObject(object));
}

std::string toJson(const Object &object)
{
    return formatJsonText(encodeObject(object));
}

} // namespace Pollenspoke
