#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace endivetrestle {

// How the bytes of a connection are divided into units.
enum class Framing {
    // Lines that end with CR LF. The line end is not part of the unit. A CR or LF alone is an ordinary byte of the
    // line, so a line never contains CR LF and can contain any other bytes.
    Lines,
    // Units that follow their length, four bytes with the most significant first.
    Lengths,
};

// Returns the first unit of the input and removes it from there; no value if it is not complete yet.
std::optional<std::string_view> takeUnit(Framing framing, std::string_view& input);

// Returns a unit in the framing Lengths.
std::string encodeFrame(std::string_view unit);

// Whether the bytes that are left, which hold no complete unit, begin one that is longer than the limit in bytes.
bool exceedsLimit(Framing framing, std::string_view rest, std::size_t maxUnitBytes);

} // namespace endivetrestle
