#include "request/wait_policy.h"

#include <algorithm>

namespace endivetrestle {

namespace {

// Short objectives would refuse statements over hiccups of a few milliseconds.
constexpr Duration shortestWaitLimit = std::chrono::milliseconds(100);
constexpr Duration longestWaitLimit = std::chrono::seconds(2);

} // namespace

Duration longestWait(Duration objective) { return std::clamp(objective / 2, shortestWaitLimit, longestWaitLimit); }

Duration expectedWait(const WaitOutlook& outlook)
{
    if (outlook.completionsPerSecond <= 0)
        return outlook.ahead == 0 ? Duration::zero() : Duration::max();
    const double seconds = static_cast<double>(outlook.ahead) / outlook.completionsPerSecond;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

bool shouldRefuse(const WaitOutlook& outlook, Duration objective, Duration timeLeft)
{
    const auto wait = expectedWait(outlook);
    return wait > longestWait(objective) || wait > timeLeft - outlook.latency;
}

} // namespace endivetrestle
