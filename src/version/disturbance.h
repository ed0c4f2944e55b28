#pragma once

#include "version/plan.h"

namespace endivetrestle {

// Determines what the change from one document to the next interrupts.
Disturbance findDisturbance(const ConfigurationDocument& before, const ConfigurationDocument& after);

// Whether an active endpoint of a database becomes inactive or is removed. If it is the primary, another one must take
// over first.
bool needsSwitchover(const ConfigurationDocument& before, const ConfigurationDocument& after);

} // namespace endivetrestle
