#include "cli/command.h"

#include "cli/load_command.h"
#include "cli/report_command.h"

namespace endivetrestle {

const std::vector<Command>& allCommands()
{
    static const std::vector<Command> commands = {
        { "load", "sends a deployment's mix of requests and checks every answer", runLoad },
        { "report", "shows how fast error budgets are spent, and why", runReport },
    };
    return commands;
}

} // namespace endivetrestle
