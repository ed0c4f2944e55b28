#pragma once

#include "base/clock.h"

#include <kj/time.h>

namespace endivetrestle {

// Converts a duration to the event loop's unit.
inline kj::Duration toKj(Duration duration) { return duration.count() * kj::MICROSECONDS; }

// Converts the event loop's time to the time that decision modules use. Both come from the same monotonic clock.
inline Time fromKj(kj::TimePoint time)
{
    return Time(Duration((time - kj::origin<kj::TimePoint>()) / kj::MICROSECONDS));
}

} // namespace endivetrestle
