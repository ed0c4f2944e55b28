#pragma once

#include "version/configuration.h"

#include <string>
#include <vector>

namespace endivetrestle {

// Describes the differences between two documents in readable lines, one change per line. Empty if at most the version
// differs.
std::vector<std::string> describeDifference(const ConfigurationDocument& before, const ConfigurationDocument& after);

} // namespace endivetrestle
