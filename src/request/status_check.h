#pragma once

#include "request/endpoint_call.h"

#include <cstdint>

namespace endivetrestle {

// Highest term that is accepted. Terms grow by one per attempt, so a higher value can only come from a malformed
// message, and accepting it would leave no room for a later term.
constexpr std::uint64_t highestPlausibleTerm = std::uint64_t { 1 } << 48;

// Whether a correctly working endpoint can have produced the status: its log is not of a later term than its own, it
// has not applied more than it received, and its term is at most highestPlausibleTerm. Decision modules ignore any
// other status.
bool isPlausible(const EndpointStatus& status);

} // namespace endivetrestle
