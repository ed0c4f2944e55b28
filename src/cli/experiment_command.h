#pragma once

#include <string>
#include <vector>

namespace endivetrestle {

// endivetrestle experiment NAME: runs one experiment, once for each variant, in one process.
int runExperiment(std::vector<std::string>& arguments);

// endivetrestle targets: measures the targets of docs/design.md and prints one row each.
int runTargets(std::vector<std::string>& arguments);

} // namespace endivetrestle
