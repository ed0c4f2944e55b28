#pragma once

#include "base/clock.h"
#include "process/proxy_settings.h"
#include "version/workspace.h"

#include <cstddef>

namespace endivetrestle {

// Time after its request was sent during which a token may be spent, on the asking daemon's clock.
inline constexpr Duration tokenValidity = std::chrono::milliseconds(500);
// Pause before a daemon asks again for a workspace whose bucket was empty.
inline constexpr Duration longestEmptyPause = std::chrono::milliseconds(50);

// Sizes of the buckets of one workspace. They satisfy
//     capacity + rate * (window + tokenValidity) + daemons * (fixedCapacity + fixedRate * window)
//         <= (rate * window + burst) * (1 + overage) + slack
// as far as the right side exceeds the term of the rate; a capacity below 1 grants nothing.
struct QuotaParameters {
    // Bucket of the coordinator. Its rate is that of the workspace unless the formula leaves no room for it.
    double ratePerSecond = 0;
    double capacity = 0;
    // Local bucket of each daemon, used while no coordinator is active; 0 if the formula leaves nothing for it.
    double fixedRatePerSecond = 0;
    double fixedCapacity = 0;
    // Pause after an empty bucket.
    Duration emptyPause = longestEmptyPause;

    bool operator==(const QuotaParameters&) const = default;
};

// Numbers of daemons that the lists of the fleet have contained lately. Daemons with lists of different age use
// different numbers, so the fixed parts are sized by the largest, and the capacity leaves room for fixed parts that a
// daemon with the smallest would use.
struct FleetSize {
    std::size_t smallest = 1;
    std::size_t largest = 1;

    bool operator==(const FleetSize&) const = default;
};

QuotaParameters quotaParameters(const WorkspaceQuota& quota, const QuotaBounds& bounds, const FleetSize& size);

} // namespace endivetrestle
