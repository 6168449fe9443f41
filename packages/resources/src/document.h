/// @file
/// A JSON or YAML text parsed into a tree, and a reader that validates fields and reports errors with their path.
#pragma once

#include <optional>
#include <pollenspoke/base.h>
#include <pollenspoke/web.h>
#include <set>
#include <vector>

namespace Pollenspoke {

using Document = JsonValue;

/// Parse and format the text forms. A YAML text may contain several documents.
Result<Document> parseJsonDocument(const std::string &text);
Result<std::vector<Document>> parseYamlDocuments(const std::string &text, const std::string &fileName);
std::string formatYamlDocument(const Document &document);

/// Reads and validates the fields of one object. Only the first error is kept; finish() returns it. Invalid fields read as a
/// default or placeholder value.
class FieldReader
{
public:
    FieldReader(const Document &document, std::string path);

    bool has(const std::string &name) const;
    std::string readText(const std::string &name, std::optional<std::string> defaultValue = std::nullopt);
    double readNumber(const std::string &name, double min, double max, std::optional<double> defaultValue = std::nullopt);
    std::uint64_t
    readUnsigned(const std::string &name, std::uint64_t min, std::uint64_t max, std::optional<std::uint64_t> defaultValue = std::nullopt);
    std::optional<bool> readBool(const std::string &name);
    std::vector<std::string> readTextList(const std::string &name);
    const Document *readObject(const std::string &name, bool required);
    std::vector<const Document *> readListItems(const std::string &name);

    /// Reads one of the names in `choices` and returns its index.
    std::size_t readChoice(const std::string &name, const std::vector<std::string> &choices, std::size_t defaultIndex);

    void fail(ErrorCode code, const std::string &name, const std::string &detail); // records an error found by the caller
    void mergeError(const Result<void> &result);                                   // takes over the error of a nested reader
    std::string pathOf(const std::string &name) const;
    Result<void> finish(); // returns the first error; a field that was never read gives UnknownField

private:
    const Document *findField(const std::string &name, bool required);

    const Document &m_document;
    std::string m_path;
    std::set<std::string> m_readFields;
    std::optional<Error> m_error;
};

} // namespace Pollenspoke
