#pragma once

#include "base/clock.h"

#include <algorithm>
#include <cmath>

namespace endivetrestle {

// Tokens that accrue at a rate up to a capacity. Rate and capacity are passed with each call, because they change with
// the configuration and the size of the fleet; a lower capacity takes effect with the next call.
struct TokenBucket {
    double tokens = 0;
    Time updatedAt;

    void refill(double ratePerSecond, double capacity, Time now)
    {
        // The time of a call may lie before that of an earlier one if a handler was delayed.
        const auto elapsed = std::max(Duration::zero(), now - this->updatedAt);
        this->tokens = std::min(capacity, this->tokens + ratePerSecond * toSeconds(elapsed));
        this->updatedAt = std::max(this->updatedAt, now);
    }
    // Takes up to the given number of whole tokens and returns how many.
    unsigned take(unsigned wanted)
    {
        // Sums of fractions may fall short of a whole token by a rounding error.
        constexpr double rounding = 1e-9;
        const auto whole = static_cast<unsigned>(std::clamp(std::floor(this->tokens + rounding), 0.0, 1e9));
        const auto taken = std::min(wanted, whole);
        this->tokens -= taken;
        return taken;
    }
};

} // namespace endivetrestle
