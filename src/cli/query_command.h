#pragma once

#include <string>
#include <vector>

namespace endivetrestle {

// "query": sends one statement, or the question for an earlier outcome, as a caller.
int runQuery(std::vector<std::string>& arguments);

} // namespace endivetrestle
