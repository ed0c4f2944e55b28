#include "process/overload_spread.h"

#include <algorithm>

namespace endivetrestle {

// Adds a result and returns whether the threshold is reached.
bool OverloadSpread::Excess::add(bool isOverloaded, Time now)
{
    if (now - this->lastResult > resultRetention)
        this->overloaded = 0;
    this->lastResult = now;
    this->overloaded = std::clamp(this->overloaded + (isOverloaded ? 1 : -1), 0, overloadThreshold);
    return this->overloaded == overloadThreshold;
}

bool OverloadSpread::useSecond(Time now)
{
    this->lastWasSecond = this->active(now) && !this->lastWasSecond;
    return this->lastWasSecond;
}

bool OverloadSpread::report(bool isSecond, bool overloaded, Time now)
{
    const bool reached = (isSecond ? this->second : this->first).add(overloaded, now);
    if (!reached)
        return false;
    if (isSecond) {
        this->second = {};
        if (this->active(now))
            this->pausedUntil = now + retryPause;
        this->activeUntil = std::min(this->activeUntil, now);
        return false;
    }
    if (this->active(now) || now < this->pausedUntil)
        return false;
    this->first = {};
    this->second = {};
    this->activeUntil = now + spreadPeriod;
    return true;
}

} // namespace endivetrestle
