#include "base/sha256.h"

#include <openssl/sha.h>

#include <array>

namespace endivetrestle {

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    for (const auto byte : digest) {
        hex += digits[byte >> 4U];
        hex += digits[byte & 15U];
    }
    return hex;
}

} // namespace endivetrestle
