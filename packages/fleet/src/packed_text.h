/// @file
/// Compression of large documents for datagrams between Vms.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Pollenspoke {

/// A text together with its compressed form, so that a Vm that passes a document on compresses it at most once.
struct PackedText
{
    std::string bytes;         // zlib format
    std::size_t textBytes = 0; // of the uncompressed text

    static constexpr std::size_t minTextBytes = 1024;     // smaller texts are sent as they are
    static constexpr std::size_t maxTextBytes = 64 << 20; // larger ones are rejected, since a few bytes could claim any size
};

std::shared_ptr<const PackedText> packText(std::string_view text); // null if it is too small or too large
std::optional<std::string> unpackText(const PackedText &packed);   // empty: malformed

} // namespace Pollenspoke
