#include "cli/soak_command.h"

#include "base/log.h"
#include "cli/command.h"
#include "cli/command_input.h"
#include "cli/exit_codes.h"
#include "soak/soak.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <unistd.h>
#include <vector>

namespace endivetrestle {

namespace {

struct SoakArguments {
    TCLAP::CmdLine line { "Runs daemons as processes of their own under random faults and checks the promises.", ' ',
        versionText };
    TCLAP::ValueArg<std::uint64_t> seed { "", "seed", "seed of the first run", false, 1, "N", line };
    TCLAP::ValueArg<int> runs { "", "runs", "runs with consecutive seeds (1 to 1000)", false, 1, "N", line };
    TCLAP::ValueArg<int> seconds { "t", "seconds", "time with faults of each run (1 to 3600)", false, 20, "S", line };
    TCLAP::ValueArg<int> daemons { "", "daemons", "daemons (1 to 100)", false, 4, "N", line };
    TCLAP::ValueArg<int> clients { "", "clients", "client sessions (1 to 2000)", false, 24, "N", line };
    TCLAP::ValueArg<int> connections { "", "connections",
        "connections that an endpoint accepts (1 to 1000); below twice the number of daemons, statements are forwarded "
        "to owners. 0: by seed, 32 if it is even and one less than that bound if it is odd",
        false, 0, "N", line };
    std::vector<std::string> scenarios { "mixed", "cut-daemon", "old-lists", "restored", "repeated-answers",
        "lost-holders" };
    TCLAP::ValuesConstraint<std::string> scenarioNames { scenarios };
    TCLAP::ValueArg<std::string> scenario { "", "scenario", "which faults are injected", false, "mixed", &scenarioNames,
        line };
    TCLAP::ValueArg<std::string> daemon { "", "daemon",
        "program that is started as daemon, for example an older build; left out: this one", false, "", "PATH", line };
    TCLAP::SwitchArg json { "j", "json", "prints JSON", line };
};

bool inRange(const SoakArguments& parsed)
{
    const auto within = [](int value, int highest) { return value >= 1 && value <= highest; };
    return within(parsed.runs.getValue(), 1000) && within(parsed.seconds.getValue(), 3600)
        && within(parsed.daemons.getValue(), 100) && within(parsed.clients.getValue(), 2000)
        && (parsed.connections.getValue() == 0 || within(parsed.connections.getValue(), 1000));
}

// Without a number given, both ways of sharing connections are tried in turn.
int connectionsOf(const SoakArguments& parsed, std::uint64_t seed)
{
    constexpr int ample = 32;
    if (parsed.connections.getValue() != 0)
        return parsed.connections.getValue();
    return seed % 2 == 0 ? ample : std::max(1, 2 * parsed.daemons.getValue() - 1);
}

soak::SoakScenario scenarioOf(const std::string& name)
{
    if (name == "cut-daemon")
        return soak::SoakScenario::CutDaemon;
    if (name == "restored")
        return soak::SoakScenario::Restored;
    if (name == "repeated-answers")
        return soak::SoakScenario::RepeatedAnswers;
    if (name == "lost-holders")
        return soak::SoakScenario::LostHolders;
    return name == "old-lists" ? soak::SoakScenario::OldLists : soak::SoakScenario::Mixed;
}

std::string makeDirectory()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "endivetrestle-soak-XXXXXX").string();
    return mkdtemp(pattern.data()) == nullptr ? "" : pattern;
}

} // namespace

int runSoakCommand(std::vector<std::string>& arguments)
{
    SoakArguments parsed;
    if (const auto code = parseArguments(parsed.line, arguments))
        return *code;
    if (!inRange(parsed)) {
        std::cerr << "a value is out of its range; see --help\n";
        return ExitUsage;
    }
    if (!parsed.daemon.getValue().empty() && access(parsed.daemon.getValue().c_str(), X_OK) != 0) {
        std::cerr << "the program of --daemon cannot be run\n";
        return ExitUsage;
    }
    configureLogging("error");
    bool passed = true;
    for (int i = 0; i < parsed.runs.getValue(); ++i) {
        soak::SoakSettings settings;
        settings.seed = parsed.seed.getValue() + static_cast<std::uint64_t>(i);
        settings.scenario = scenarioOf(parsed.scenario.getValue());
        settings.seconds = parsed.seconds.getValue();
        settings.daemons = parsed.daemons.getValue();
        settings.clients = parsed.clients.getValue();
        settings.connections = connectionsOf(parsed, settings.seed);
        settings.daemonProgram = parsed.daemon.getValue();
        settings.directory = makeDirectory();
        if (settings.directory.empty()) {
            std::cerr << "no directory for settings and logs can be made\n";
            return ExitUsage;
        }
        const auto report = soak::runSoak(settings);
        std::cout << (parsed.json.getValue() ? soak::formatReportJson(report) : soak::formatReport(report))
                  << std::flush;
        if (report.violations.empty()) {
            std::filesystem::remove_all(settings.directory);
            continue;
        }
        passed = false;
        std::cerr << "logs: " << settings.directory << "\n";
    }
    return passed ? ExitSuccess : ExitCheckFailed;
}

} // namespace endivetrestle
