#include "request/wait_policy.h"

#include <algorithm>

namespace endivetrestle {

namespace {

// A shorter limit would refuse statements because of pauses of a few milliseconds.
constexpr Duration minWaitLimit = std::chrono::milliseconds(100);
constexpr Duration maxWaitLimit = std::chrono::seconds(2);
constexpr double minLateCapacityShare = 0.5;

} // namespace

Duration waitLimit(Duration objective) { return std::clamp(objective / 2, minWaitLimit, maxWaitLimit); }

Duration expectedWait(std::size_t ahead, double completionsPerSecond)
{
    if (completionsPerSecond <= 0)
        return ahead == 0 ? Duration::zero() : Duration::max();
    const double seconds = static_cast<double>(ahead) / completionsPerSecond;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double lateCapacityShare(double completionsPerSecond, double arrivalsPerSecond)
{
    if (completionsPerSecond <= 0)
        return minLateCapacityShare;
    return std::clamp(1 - arrivalsPerSecond / completionsPerSecond, minLateCapacityShare, 1.0);
}

AdmissionDecision decideAdmission(const QueueLoad& load, Duration objective, Duration timeLeft)
{
    const auto usable = timeLeft - load.latency;
    const auto wait = expectedWait(load.ahead, load.completionsPerSecond);
    if (wait <= waitLimit(objective) && wait <= usable)
        return AdmissionDecision::OnTime;
    const double lateShare = lateCapacityShare(load.completionsPerSecond, load.arrivalsPerSecond);
    const auto lateWait = expectedWait(load.aheadIfLate, load.completionsPerSecond * lateShare);
    return lateWait <= usable ? AdmissionDecision::Late : AdmissionDecision::Refused;
}

} // namespace endivetrestle
