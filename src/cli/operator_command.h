#pragma once

#include <string>
#include <vector>

namespace endivetrestle {

// "status": state of daemons, versions in force and databases.
int runStatus(std::vector<std::string>& arguments);

// "explain": recorded decisions and their reasons.
int runExplain(std::vector<std::string>& arguments);

// "plan": turns an intent into a plan that can be confirmed.
int runPlan(std::vector<std::string>& arguments);

// "confirm": puts a plan in force by its id.
int runConfirm(std::vector<std::string>& arguments);

} // namespace endivetrestle
