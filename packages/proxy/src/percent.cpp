#include "percent.h"

namespace Pollenspoke {

namespace {

int hexValue(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const char lower = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

} // namespace

std::string decodePercent(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool hasPair = text[i] == '%' && i + 2 < text.size();
        const int high = hasPair ? hexValue(text[i + 1]) : -1;
        const int low = hasPair ? hexValue(text[i + 2]) : -1;
        if (high >= 0 && low >= 0) {
            decoded += static_cast<char>(high * 16 + low);
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

} // namespace Pollenspoke
