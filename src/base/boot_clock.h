#pragma once

#include "base/clock.h"

#include <ctime>

namespace endivetrestle {

// Reads CLOCK_BOOTTIME, which, unlike the steady clock, also counts the time during which the host is suspended. Leases
// and data ages use it, so that a process that was suspended finds its lease expired when it continues.
inline Time bootNow()
{
    timespec value {};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return Time(std::chrono::duration_cast<Duration>(
        std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec)));
}

} // namespace endivetrestle
