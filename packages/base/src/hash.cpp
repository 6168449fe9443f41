#include <pollenspoke/base.h>

#include <array>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <vector>
#include <xxhash.h>

namespace Pollenspoke {

namespace {

std::string toHex(std::span<const unsigned char> bytes)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const unsigned char it : bytes) {
        text += digits[it >> 4];
        text += digits[it & 15];
    }
    return text;
}

} // namespace

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned digestLength = 0;
    static const EVP_MD *const algorithm = EVP_MD_fetch(nullptr, "SHA256", nullptr); // fetched once: a fetch costs more than a digest
    const int status = EVP_Digest(bytes.data(), bytes.size(), digest.data(), &digestLength, algorithm, nullptr);
    POLLENSPOKE_ASSERT(status == 1, "libcrypto must provide SHA-256; install libssl");
    return toHex(std::span(digest).first(digestLength));
}

std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string randomHex(std::size_t bytes)
{
    std::vector<unsigned char> buffer(bytes);
    const int status = RAND_bytes(buffer.data(), static_cast<int>(buffer.size()));
    POLLENSPOKE_ASSERT(status == 1, "the system's secure random source must be readable");
    return toHex(buffer);
}

} // namespace Pollenspoke
