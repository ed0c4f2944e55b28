#include "request/arrival_rate.h"

#include <cmath>

namespace endivetrestle {

void ArrivalRate::add(Time now)
{
    this->rate = this->perSecond(now) + 1 / toSeconds(timeConstant);
    this->updatedAt = now;
}

double ArrivalRate::perSecond(Time now) const
{
    return this->rate * std::exp(-toSeconds(now - this->updatedAt) / toSeconds(timeConstant));
}

} // namespace endivetrestle
