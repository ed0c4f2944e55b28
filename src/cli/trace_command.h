#pragma once

#include <string>
#include <vector>

namespace endivetrestle {

// Prints the history of a request or of a database group from the logs of several daemons.
int runTrace(std::vector<std::string>& arguments);

} // namespace endivetrestle
