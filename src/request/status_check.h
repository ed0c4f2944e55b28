#pragma once

#include "request/endpoint_call.h"

#include <cstdint>

namespace endivetrestle {

// Highest term that is believed. Terms grow by one per attempt, so a higher value can only be a malformed message, and
// believing it would leave no room for a later term.
constexpr std::uint64_t highestPlausibleTerm = std::uint64_t { 1 } << 48;

// Whether a status can have been produced by a working endpoint: its log is not of a later term than its own, it has
// not applied more than it received, and its term is at most highestPlausibleTerm. Decision modules ignore any other
// status.
bool isPlausible(const EndpointStatus& status);

} // namespace endivetrestle
