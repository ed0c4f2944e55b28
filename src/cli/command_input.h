#pragma once

#include "tool/caller_message.h"

#include <tclap/CmdLine.h>

#include <optional>
#include <string>
#include <vector>

namespace endivetrestle {

// Parses the arguments of a subcommand, the first of which is the command's name. Returns an exit code if the command
// must end: ExitSuccess after --help, ExitUsage after an error, which is printed to standard error.
std::optional<int> parseArguments(TCLAP::CmdLine& line, std::vector<std::string>& arguments);

// Content of a file without blanks and line ends at its end. No value, and a message on standard error, if the file
// cannot be read or holds nothing.
std::optional<std::string> readKeyFile(const std::string& path);

// Writes a file. Returns false, and prints a message to standard error, if that fails.
bool writeTextFile(const std::string& path, const std::string& text);

// Parses the addresses of daemons. No value, and a message on standard error, if one is wrong or there is none.
std::optional<std::vector<DaemonAddress>> parseDaemons(const std::vector<std::string>& texts);

} // namespace endivetrestle
