#pragma once

#include <string>
#include <vector>

namespace endivetrestle {

// Subcommand "load": sends a deployment's mix of requests to daemons, or directly to endpoints, and checks every
// answer. Returns ExitCheckFailed if an invariant was violated, a written key could not be audited or nothing was
// completed.
int runLoad(std::vector<std::string>& arguments);

} // namespace endivetrestle
