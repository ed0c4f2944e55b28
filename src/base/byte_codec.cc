#include "base/byte_codec.h"

#include <array>

namespace endivetrestle {

namespace {

constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr unsigned char invalid = 0xff;

constexpr std::array<unsigned char, 256> inverseAlphabet = [] {
    std::array<unsigned char, 256> values {};
    values.fill(invalid);
    for (std::size_t value = 0; value < alphabet.size(); ++value)
        values[static_cast<unsigned char>(alphabet[value])] = static_cast<unsigned char>(value);
    return values;
}();

} // namespace

std::string toBase64Url(std::string_view bytes)
{
    std::string text((bytes.size() * 4 + 2) / 3, '\0');
    std::size_t written = 0;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char byte : bytes) {
        bits = (bits << 8) | static_cast<unsigned char>(byte);
        count += 8;
        for (; count >= 6; count -= 6)
            text[written++] = alphabet[(bits >> (count - 6)) & 0x3f];
    }
    if (count > 0)
        text[written] = alphabet[(bits << (6 - count)) & 0x3f];
    return text;
}

std::optional<std::string> fromBase64Url(std::string_view text)
{
    if (text.size() % 4 == 1)
        return std::nullopt;
    std::string bytes(text.size() * 3 / 4, '\0');
    std::size_t written = 0;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char character : text) {
        const auto value = inverseAlphabet[static_cast<unsigned char>(character)];
        if (value == invalid)
            return std::nullopt;
        bits = (bits << 6) | value;
        count += 6;
        if (count < 8)
            continue;
        count -= 8;
        bytes[written++] = static_cast<char>((bits >> count) & 0xff);
    }
    const auto unused = bits & ((1U << count) - 1);
    return unused == 0 ? std::optional(std::move(bytes)) : std::nullopt;
}

void appendVarint(std::string& bytes, std::uint64_t value)
{
    for (; value >= 0x80; value >>= 7)
        bytes.push_back(static_cast<char>((value & 0x7f) | 0x80));
    bytes.push_back(static_cast<char>(value));
}

void appendShortText(std::string& bytes, std::string_view text)
{
    bytes.push_back(static_cast<char>(text.size()));
    bytes.append(text);
}

std::optional<std::uint8_t> ByteReader::byte()
{
    if (this->failed || this->bytes.empty()) {
        this->failed = true;
        return std::nullopt;
    }
    const auto value = static_cast<std::uint8_t>(this->bytes.front());
    this->bytes.remove_prefix(1);
    return value;
}

std::optional<std::uint64_t> ByteReader::varint()
{
    std::uint64_t value = 0;
    for (int shift = 0; shift < 64; shift += 7) {
        const auto next = this->byte();
        if (!next)
            return std::nullopt;
        const std::uint64_t group = *next & 0x7f;
        // The tenth byte holds one bit only.
        if (shift == 63 && group > 1)
            break;
        value |= group << shift;
        if ((*next & 0x80) == 0)
            return value;
    }
    this->failed = true;
    return std::nullopt;
}

std::optional<std::string_view> ByteReader::shortText()
{
    const auto size = this->byte();
    if (!size || this->bytes.size() < *size) {
        this->failed = true;
        return std::nullopt;
    }
    const auto text = this->bytes.substr(0, *size);
    this->bytes.remove_prefix(*size);
    return text;
}

} // namespace endivetrestle
