#include "cli/command.h"

namespace endivetrestle {

const std::vector<Command>& allCommands()
{
    static const std::vector<Command> commands = {};
    return commands;
}

} // namespace endivetrestle
