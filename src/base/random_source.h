#pragma once

#include <cstdint>
#include <functional>

namespace endivetrestle {

// Returns a uniformly distributed number in [0, bound). The bound is at least 1. Decision modules take random numbers
// from such a function, so that a test can make them deterministic.
using RandomSource = std::function<std::uint64_t(std::uint64_t bound)>;

} // namespace endivetrestle
