#pragma once

#include <string>
#include <vector>

namespace endivetrestle {

// Runs one daemon that serves client sessions on the users' platform, until SIGTERM.
int runProxy(std::vector<std::string>& arguments);

} // namespace endivetrestle
