#pragma once

#include "request/forward_message.h"

#include <optional>
#include <string>
#include <string_view>

namespace endivetrestle {

// Largest message of a link between daemons, in bytes: the longest statement of a client and its session values, or
// the longest result.
inline constexpr std::size_t maxForwardBytes = 8U << 20U;

// Encodes a message as one frame without its length. Times are encoded relative to `now`.
std::string encodeForward(const ForwardMessage& message, Time now);

// Decodes a frame. Times count from `now`, the time of arrival, so that a bound on the age of data becomes stricter by
// the time under way. No value for bytes that are not such a message.
std::optional<ForwardMessage> decodeForward(std::string_view frame, Time now);

} // namespace endivetrestle
