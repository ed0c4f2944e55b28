#pragma once

#include "version/configuration.h"

#include <string>
#include <vector>

namespace endivetrestle {

// Readable lines for what differs between two documents, one change a line. Empty if only the version differs.
std::vector<std::string> describeDifference(const ConfigurationDocument& before, const ConfigurationDocument& after);

} // namespace endivetrestle
