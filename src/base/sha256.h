#pragma once

#include <string>
#include <string_view>

namespace endivetrestle {

// SHA-256 of a text as 64 lower-case hexadecimal digits. Used as content hash, for caller keys and for names.
std::string sha256Hex(std::string_view text);

} // namespace endivetrestle
