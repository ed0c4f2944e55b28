#include "base/json_identifier.h"

#include <algorithm>

namespace endivetrestle {

namespace {

constexpr std::size_t maxIdentifierBytes = 64;

bool isIdentifierByte(char byte)
{
    const bool isLetter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    const bool isDigit = byte >= '0' && byte <= '9';
    return isLetter || isDigit || byte == '.' || byte == '_' || byte == '-';
}

} // namespace

bool isIdentifier(std::string_view text)
{
    return !text.empty() && text.size() <= maxIdentifierBytes
        && std::all_of(text.begin(), text.end(), isIdentifierByte);
}

std::string readIdentifier(ObjectReader& reader, const std::string& key)
{
    auto text = reader.text(key);
    if (!text.empty() && !isIdentifier(text))
        reader.report(key, "must be 1 to 64 letters, digits, dots, underscores and hyphens");
    return text;
}

} // namespace endivetrestle
