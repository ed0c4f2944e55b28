#pragma once

#include "base/strict_json.h"

#include <string>
#include <string_view>

namespace endivetrestle {

// Whether the text is 1 to 64 letters, digits, dots, underscores and hyphens. Such identifiers need no quoting in log
// lines, object keys and gossip messages, and bound their size.
bool isIdentifier(std::string_view text);

// Reads a required identifier and reports any other text.
std::string readIdentifier(ObjectReader& reader, const std::string& key);

} // namespace endivetrestle
