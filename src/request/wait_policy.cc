#include "request/wait_policy.h"

#include <algorithm>

namespace endivetrestle {

namespace {

// Short objectives would refuse statements over hiccups of a few milliseconds.
constexpr Duration shortestWaitLimit = std::chrono::milliseconds(100);
constexpr Duration longestWaitLimit = std::chrono::seconds(2);
// Statements that can be in time keep arriving and go first, so a late one may wait this many times as long as
// expected.
constexpr int lateMargin = 2;

} // namespace

Duration longestWait(Duration objective) { return std::clamp(objective / 2, shortestWaitLimit, longestWaitLimit); }

Duration expectedWait(std::size_t ahead, double completionsPerSecond)
{
    if (completionsPerSecond <= 0)
        return ahead == 0 ? Duration::zero() : Duration::max();
    const double seconds = static_cast<double>(ahead) / completionsPerSecond;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

Admission admit(const WaitOutlook& outlook, Duration objective, Duration timeLeft)
{
    const auto usable = timeLeft - outlook.latency;
    const auto wait = expectedWait(outlook.ahead, outlook.completionsPerSecond);
    if (wait <= longestWait(objective) && wait <= usable)
        return Admission::InTime;
    const auto lateWait = expectedWait(outlook.aheadIfLate, outlook.completionsPerSecond);
    return lateWait <= usable / lateMargin ? Admission::Late : Admission::Refused;
}

} // namespace endivetrestle
