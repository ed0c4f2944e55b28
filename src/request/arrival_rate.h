#pragma once

#include "base/clock.h"

namespace endivetrestle {

// Event rate with exponential decay: the weight of an event decreases with its age.
//
// Example:
//     rate.add(now);
//     rate.perSecond(now);
class ArrivalRate {
public:
    // Time after which the weight of an event has fallen to 1/e.
    static constexpr Duration timeConstant = std::chrono::seconds(1);

    void add(Time now);
    [[nodiscard]] double perSecond(Time now) const;

private:
    double rate = 0;
    Time updatedAt;
};

} // namespace endivetrestle
