#include "edge/framing.h"

namespace endivetrestle {

namespace {

constexpr std::string_view lineEnd = "\r\n";
// Bytes of a frame's length.
constexpr std::size_t lengthBytes = 4;

std::optional<std::string_view> takeLine(std::string_view& input)
{
    const auto end = input.find(lineEnd);
    if (end == std::string_view::npos)
        return std::nullopt;
    const auto line = input.substr(0, end);
    input.remove_prefix(end + lineEnd.size());
    return line;
}

std::optional<std::string_view> takeFrame(std::string_view& input)
{
    if (input.size() < lengthBytes)
        return std::nullopt;
    std::size_t length = 0;
    for (const char byte : input.substr(0, lengthBytes))
        length = length << 8U | static_cast<unsigned char>(byte);
    if (input.size() - lengthBytes < length)
        return std::nullopt;
    const auto frame = input.substr(lengthBytes, length);
    input.remove_prefix(lengthBytes + length);
    return frame;
}

} // namespace

std::optional<std::string_view> takeUnit(Framing framing, std::string_view& input)
{
    return framing == Framing::Lines ? takeLine(input) : takeFrame(input);
}

std::string encodeFrame(std::string_view unit)
{
    std::string bytes;
    bytes.reserve(lengthBytes + unit.size());
    for (int shift = 24; shift >= 0; shift -= 8)
        bytes += static_cast<char>(unit.size() >> static_cast<unsigned>(shift) & 0xffU);
    bytes += unit;
    return bytes;
}

bool exceedsLimit(Framing framing, std::string_view rest, std::size_t maxUnitBytes)
{
    // The last byte may be the CR of the line end.
    const bool halfLineEnd = framing == Framing::Lines && !rest.empty() && rest.back() == lineEnd.front();
    return rest.size() > maxUnitBytes + (halfLineEnd ? 1 : 0);
}

} // namespace endivetrestle
