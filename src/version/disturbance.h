#pragma once

#include "version/plan.h"

namespace endivetrestle {

// Derives from two successive documents what the change interrupts.
Disturbance findDisturbance(const ConfigurationDocument& before, const ConfigurationDocument& after);

// Whether an endpoint that was active is leaving or gone, so that its primary may have to be replaced first.
bool needsSwitchover(const ConfigurationDocument& before, const ConfigurationDocument& after);

} // namespace endivetrestle
