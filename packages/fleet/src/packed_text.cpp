#include "packed_text.h"

#include <zlib.h>

namespace Pollenspoke {

std::shared_ptr<const PackedText> packText(std::string_view text)
{
    if (text.size() < PackedText::minTextBytes || text.size() > PackedText::maxTextBytes) {
        return nullptr;
    }
    auto packed = std::make_shared<PackedText>();
    packed->textBytes = text.size();
    uLongf n = compressBound(text.size());
    packed->bytes.resize(n);
    const int rc = compress2(
        reinterpret_cast<Bytef *>(packed->bytes.data()), &n, reinterpret_cast<const Bytef *>(text.data()), text.size(), Z_BEST_SPEED);
    if (rc != Z_OK) {
        return nullptr; // out of memory: the text is sent uncompressed
    }
    packed->bytes.resize(n);
    packed->bytes.shrink_to_fit();
    return packed;
}

std::optional<std::string> unpackText(const PackedText &packed)
{
    if (packed.textBytes > PackedText::maxTextBytes) {
        return std::nullopt;
    }
    std::string text(packed.textBytes, '\0');
    uLongf n = text.size();
    const int rc
        = uncompress(reinterpret_cast<Bytef *>(text.data()), &n, reinterpret_cast<const Bytef *>(packed.bytes.data()), packed.bytes.size());
    if (rc != Z_OK || n != text.size()) {
        return std::nullopt;
    }
    return text;
}

} // namespace Pollenspoke
