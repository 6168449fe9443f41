#include <pollenspoke/base.h>

#include <cstdio>
#include <cstdlib>

namespace Pollenspoke {

std::string_view errorCodeName(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidSyntax:
        return "invalid_syntax";
    case ErrorCode::UnknownField:
        return "unknown_field";
    case ErrorCode::MissingField:
        return "missing_field";
    case ErrorCode::WrongType:
        return "wrong_type";
    case ErrorCode::OutOfRange:
        return "out_of_range";
    case ErrorCode::DanglingReference:
        return "dangling_reference";
    case ErrorCode::Duplicate:
        return "duplicate";
    case ErrorCode::NotFound:
        return "not_found";
    case ErrorCode::VersionConflict:
        return "version_conflict";
    case ErrorCode::TooOld:
        return "too_old";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::OutcomeUnknown:
        return "outcome_unknown";
    case ErrorCode::Io:
        return "io";
    case ErrorCode::NotAllowed:
        return "not_allowed";
    }
    return "unnamed";
}

std::string describe(const Error &error)
{
    std::string text(errorCodeName(error.code));
    if (!error.path.empty()) {
        text += " at " + error.path;
    }
    if (!error.detail.empty()) {
        text += ": " + error.detail;
    }
    return text;
}

void failAssertion(const char *condition, const char *advice, const char *file, int line)
{
    std::fprintf(stderr, "%s:%d: assertion failed: %s: %s\n", file, line, condition, advice);
    std::abort();
}

} // namespace Pollenspoke
