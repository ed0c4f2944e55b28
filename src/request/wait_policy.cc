#include "request/wait_policy.h"

#include <algorithm>

namespace endivetrestle {

namespace {

// Short objectives would refuse statements over hiccups of a few milliseconds.
constexpr Duration shortestWaitLimit = std::chrono::milliseconds(100);
constexpr Duration longestWaitLimit = std::chrono::seconds(2);
constexpr double smallestShareLeft = 0.5;

} // namespace

Duration longestWait(Duration objective) { return std::clamp(objective / 2, shortestWaitLimit, longestWaitLimit); }

Duration expectedWait(std::size_t ahead, double completionsPerSecond)
{
    if (completionsPerSecond <= 0)
        return ahead == 0 ? Duration::zero() : Duration::max();
    const double seconds = static_cast<double>(ahead) / completionsPerSecond;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double shareLeft(double completionsPerSecond, double arrivalsPerSecond)
{
    if (completionsPerSecond <= 0)
        return smallestShareLeft;
    return std::clamp(1 - arrivalsPerSecond / completionsPerSecond, smallestShareLeft, 1.0);
}

Admission admit(const WaitOutlook& outlook, Duration objective, Duration timeLeft)
{
    const auto usable = timeLeft - outlook.latency;
    const auto wait = expectedWait(outlook.ahead, outlook.completionsPerSecond);
    if (wait <= longestWait(objective) && wait <= usable)
        return Admission::InTime;
    const double left = shareLeft(outlook.completionsPerSecond, outlook.arrivalsPerSecond);
    const auto lateWait = expectedWait(outlook.aheadIfLate, outlook.completionsPerSecond * left);
    return lateWait <= usable ? Admission::Late : Admission::Refused;
}

} // namespace endivetrestle
