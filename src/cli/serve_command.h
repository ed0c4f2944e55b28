#pragma once

#include <string>
#include <vector>

namespace endivetrestle {

// "serve": runs one daemon until SIGTERM or SIGINT.
int runServe(std::vector<std::string>& arguments);

// "check": reads settings and reports every problem.
int runCheck(std::vector<std::string>& arguments);

// "demo": runs two daemons and all stand-ins in one process.
int runDemo(std::vector<std::string>& arguments);

} // namespace endivetrestle
