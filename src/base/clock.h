#pragma once

#include <chrono>
#include <cstdint>

namespace endivetrestle {

// Duration in microseconds, the resolution of every timer and latency figure.
using Duration = std::chrono::microseconds;

// Monotonic clock, unaffected by wall-clock adjustments. Decision modules never read it: they receive a Time as an
// argument, so that a test can pass any value.
struct MonotonicClock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name required by the standard.

    static time_point now()
    {
        return time_point(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
    }
};

// Point in monotonic time. Values of different processes are not comparable.
using Time = MonotonicClock::time_point;

// Converts a duration to fractional milliseconds, for reports.
inline double toMilliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1000.0; }

// Converts a duration to fractional seconds, for reports.
inline double toSeconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }

} // namespace endivetrestle
