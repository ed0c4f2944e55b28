#pragma once

#include "base/clock.h"

namespace endivetrestle {

// Smoothed rate of events, each of which counts less as it grows older.
//
// Example:
//     rate.add(now);
//     rate.perSecond(now);
class ArrivalRate {
public:
    // Time after which an event counts for a third of what it did at first.
    static constexpr Duration memory = std::chrono::seconds(1);

    void add(Time now);
    [[nodiscard]] double perSecond(Time now) const;

private:
    double rate = 0;
    Time updatedAt;
};

} // namespace endivetrestle
