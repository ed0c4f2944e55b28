#pragma once

#include <cstdint>
#include <functional>

namespace endivetrestle {

// Returns a uniformly distributed number in [0, bound). The bound is at least 1. Decision modules take their randomness
// from such a hook, so that a test can fix it.
using RandomHook = std::function<std::uint64_t(std::uint64_t bound)>;

} // namespace endivetrestle
