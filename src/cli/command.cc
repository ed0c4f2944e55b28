#include "cli/command.h"

#include "cli/experiment_command.h"
#include "cli/load_command.h"
#include "cli/operator_command.h"
#include "cli/proxy_command.h"
#include "cli/query_command.h"
#include "cli/report_command.h"
#include "cli/serve_command.h"
#include "cli/soak_command.h"
#include "cli/trace_command.h"

namespace endivetrestle {

const std::vector<Command>& allCommands()
{
    static const std::vector<Command> commands = {
        { "serve", "runs one daemon from a settings file", runServe },
        { "proxy", "serves client sessions on the users' platform", runProxy },
        { "trace", "prints the history of a request or group from the proxy's logs", runTrace },
        { "demo", "runs two daemons and all stand-ins in one process", runDemo },
        { "check", "checks a settings file or a configuration", runCheck },
        { "query", "sends one statement as a caller", runQuery },
        { "status", "prints the state of daemons, versions and databases", runStatus },
        { "explain", "prints recorded decisions and their reasons", runExplain },
        { "plan", "makes a plan from an operator's intent", runPlan },
        { "confirm", "puts a plan in force", runConfirm },
        { "load", "sends a deployment's mix of requests and checks every answer", runLoad },
        { "experiment", "measures one property of a deployment, with variants of its settings", runExperiment },
        { "targets", "measures the targets of the design page and prints one row each", runTargets },
        { "soak", "runs daemons as processes under random faults and checks the promises", runSoakCommand },
        { "report", "shows how fast error budgets are spent, and why", runReport },
    };
    return commands;
}

} // namespace endivetrestle
