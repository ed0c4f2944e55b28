#pragma once

#include <string>
#include <vector>

namespace endivetrestle {

// Runs daemons as processes of their own under random faults and checks the product's promises.
int runSoakCommand(std::vector<std::string>& arguments);

} // namespace endivetrestle
