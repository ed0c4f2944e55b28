#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endivetrestle {

// Base64url without padding (RFC 4648, section 5).
std::string toBase64Url(std::string_view bytes);

// Inverse of toBase64Url(). Returns no value for characters outside the alphabet, impossible lengths and non-zero
// unused bits, so that every byte string has exactly one accepted text.
std::optional<std::string> fromBase64Url(std::string_view text);

// Appends an integer in 7-bit groups, least significant first (1 to 10 bytes).
void appendVarint(std::string& bytes, std::uint64_t value);

// Appends one length byte and the text. The text must not be longer than 255 bytes.
void appendShortText(std::string& bytes, std::string_view text);

// Reads back what the append functions wrote. After the first failure every read fails, so that a parser may check
// only the end.
class ByteReader {
public:
    explicit ByteReader(std::string_view bytes)
        : bytes(bytes)
    {
    }

    std::optional<std::uint8_t> byte();
    std::optional<std::uint64_t> varint();
    std::optional<std::string_view> shortText();
    // True if every read succeeded and all bytes were read.
    [[nodiscard]] bool complete() const { return !this->failed && this->bytes.empty(); }

private:
    std::string_view bytes;
    bool failed = false;
};

} // namespace endivetrestle
