#pragma once

#include <functional>
#include <string>
#include <vector>

namespace endivetrestle {

// One subcommand of the binary. Each command parses its own arguments with TCLAP.
struct Command {
    std::string name;
    // One line for the list of commands.
    std::string summary;
    // Gets the arguments with the command's name as the first and returns an exit code (exit_codes.h).
    std::function<int(std::vector<std::string>& arguments)> run;
};

// All subcommands in the order in which the help lists them.
const std::vector<Command>& allCommands();

// Version of the binary as printed by --version.
inline constexpr const char* versionText = "0.1.0";

} // namespace endivetrestle
