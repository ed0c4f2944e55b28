#include "process/quota/quota_parameters.h"

#include <algorithm>

namespace endivetrestle {

namespace {

// Share of the room beside the rate that the fixed parts of all daemons get together, if each part has a whole token.
constexpr double fixedShare = 0.25;

double fixedPartOf(double room, std::size_t daemons)
{
    const auto part = room * fixedShare / static_cast<double>(std::max<std::size_t>(daemons, 1));
    return part >= 1 ? part : 0;
}

} // namespace

QuotaParameters quotaParameters(const WorkspaceQuota& quota, const QuotaBounds& bounds, const FleetSize& size)
{
    const auto window = toSeconds(bounds.window);
    const auto permitted = (quota.operationsPerSecond * window + quota.burst) * (1 + bounds.overage) + bounds.slack;
    const auto span = window + toSeconds(tokenValidity);
    QuotaParameters result;
    result.ratePerSecond = quota.operationsPerSecond;
    auto room = permitted - result.ratePerSecond * span;
    // Without an overage the validity of the tokens leaves little or no room beside the rate; the rate gives way then.
    if (room < 1) {
        result.ratePerSecond = std::max(0.0, (permitted - 1) / span);
        room = permitted - result.ratePerSecond * span;
    }
    const auto part = fixedPartOf(room, size.largest);
    const bool anyUsesFixedPart = fixedPartOf(room, size.smallest) > 0;
    result.capacity = std::max(0.0, anyUsesFixedPart ? room * (1 - fixedShare) : room);
    if (part > 0) {
        result.fixedCapacity = std::max(1.0, part / 2);
        result.fixedRatePerSecond = (part - result.fixedCapacity) / window;
    }
    // A daemon that has all clients of a workspace would lose part of the rate if the bucket filled up in a pause.
    if (result.ratePerSecond > 0) {
        const auto halfFull = Duration(static_cast<Duration::rep>(
            std::min(result.capacity / 2 / result.ratePerSecond, toSeconds(longestEmptyPause)) * 1e6));
        result.emptyPause = std::clamp(halfFull, Duration(std::chrono::milliseconds(1)), longestEmptyPause);
    }
    return result;
}

} // namespace endivetrestle
