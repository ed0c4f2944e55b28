#pragma once

#include "base/clock.h"

#include <algorithm>

namespace endivetrestle {

// Time during which this process was running and able to notice an answer. Every step between two calls of advance()
// counts for at most longestStep, so a pause of the process, a forward jump of the clock or a backward jump adds at
// most one step. Silence of an endpoint is measured in this time.
class ObservedTime {
public:
    ObservedTime(Duration longestStep, Time now)
        : longestStep(longestStep)
        , last(now)
    {
    }

    // Moves to the given time. Returns the observed time since construction.
    Duration advance(Time now)
    {
        this->observed = this->at(now);
        this->last = std::max(this->last, now);
        return this->observed;
    }

    // What advance() would return.
    [[nodiscard]] Duration at(Time now) const
    {
        return this->observed + std::clamp(now - this->last, Duration::zero(), this->longestStep);
    }

    [[nodiscard]] Duration value() const { return this->observed; }

private:
    Duration longestStep;
    Time last;
    Duration observed {};
};

} // namespace endivetrestle
