#pragma once

#include "process/svg_plot.h"
#include "tool/load.h"

namespace endivetrestle {

// Plot of a load run: completed and failed items per second, and latency percentiles, over the time of the run.
Plot plotOf(const LoadResult& result);

} // namespace endivetrestle
