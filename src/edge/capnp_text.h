#pragma once

#include <capnp/blob.h>

#include <string>

namespace endivetrestle {

// A text as Cap'n Proto writes it, with all of its bytes. A std::string that is passed on as it is would end at its
// first zero byte. The text must outlive the result.
inline capnp::Text::Reader textOf(const std::string& text) { return { text.c_str(), text.size() }; }

// All bytes of a text that was read.
inline std::string stringOf(capnp::Text::Reader text) { return { text.begin(), text.size() }; }

} // namespace endivetrestle
