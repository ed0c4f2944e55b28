#include "cli/command.h"
#include "cli/exit_codes.h"

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace endivetrestle;

void printHelp(std::ostream& stream)
{
    stream << "endivetrestle " << versionText << ": database proxy with session consistency\n\n"
           << "usage: endivetrestle COMMAND [OPTIONS]\n       endivetrestle COMMAND --help\n\ncommands:\n";
    for (const auto& command : allCommands()) {
        const auto padding = std::string(command.name.size() < 12 ? 12 - command.name.size() : 1, ' ');
        stream << "  " << command.name << padding << command.summary << "\n";
    }
    stream << "\nexit codes: 0 success, 1 check failed, 2 wrong usage, 3 unreachable, 4 refused\n";
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty() || arguments[0] == "--help" || arguments[0] == "-h" || arguments[0] == "help") {
        printHelp(arguments.empty() ? std::cerr : std::cout);
        return arguments.empty() ? ExitUsage : ExitSuccess;
    }
    if (arguments[0] == "--version") {
        std::cout << "endivetrestle " << versionText << "\n";
        return ExitSuccess;
    }
    const auto& commands = allCommands();
    const auto found = std::find_if(
        commands.begin(), commands.end(), [&](const Command& command) { return command.name == arguments[0]; });
    if (found == commands.end()) {
        std::cerr << "unknown command \"" << arguments[0] << "\"; see endivetrestle --help\n";
        return ExitUsage;
    }
    return found->run(arguments);
}
