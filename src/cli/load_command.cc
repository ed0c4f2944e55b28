#include "cli/load_command.h"

#include "cli/command.h"
#include "cli/command_input.h"
#include "cli/exit_codes.h"
#include "tool/load.h"
#include "tool/load_plot.h"

#include <chrono>
#include <cmath>
#include <iostream>

namespace endivetrestle {

namespace {

// Runs longer than this print their progress.
constexpr auto progressThreshold = std::chrono::seconds(4);

// Prefix that differs between runs, so that a run does not find the keys and request ids of an earlier one.
std::string uniquePrefix()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return "load" + std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

struct LoadArguments {
    TCLAP::CmdLine line { "Sends the mix of a deployment at a fixed rate and checks every answer.", ' ', versionText };
    TCLAP::MultiArg<std::string> daemons { "d", "daemon", "address of a daemon's port for callers", false, "IP:PORT",
        line };
    TCLAP::MultiArg<std::string> raw { "", "raw",
        "sends statements directly to the primary endpoint of a database instead, as a baseline", false,
        "DATABASE=IP:PORT", line };
    TCLAP::ValueArg<std::string> keyFile { "k", "key-file", "file with the caller key", false, "", "FILE", line };
    TCLAP::ValueArg<std::string> mix { "m", "mix", "saengchan or prism", false, "saengchan", "NAME", line };
    TCLAP::MultiArg<std::string> databases { "b", "database", "database to use", false, "NAME", line };
    TCLAP::ValueArg<std::size_t> sessions { "s", "sessions", "number of sessions", false, 100, "N", line };
    TCLAP::ValueArg<double> rate { "r", "rate", "items per second outside of the peak", false, 100, "N", line };
    TCLAP::ValueArg<double> duration { "t", "duration", "seconds", false, 10, "SECONDS", line };
    TCLAP::ValueArg<double> peak { "", "peak", "highest rate as a multiple of the rate", false, 1, "FACTOR", line };
    TCLAP::ValueArg<std::uint64_t> seed { "", "seed", "seed of the workload", false, 1, "N", line };
    TCLAP::ValueArg<std::string> prefix { "", "prefix", "prefix of keys and request ids", false, "", "TEXT", line };
    TCLAP::ValueArg<long> deadline { "", "deadline-ms", "deadline of each request", false, 2000, "MS", line };
    TCLAP::ValueArg<long> glanceAge { "", "glance-age-ms", "age bound of stock glances", false, 1000, "MS", line };
    TCLAP::ValueArg<long> certificateAge { "", "certificate-age-ms", "age bound of certificate checks", false, 10000,
        "MS", line };
    TCLAP::SwitchArg noAudit { "", "no-audit", "does not read all written keys at the end", line };
    TCLAP::SwitchArg json { "j", "json", "prints the result as JSON", line };
    TCLAP::ValueArg<std::string> svg { "", "svg", "writes a plot of rate and latency", false, "", "FILE", line };
};

bool isValid(LoadArguments& arguments)
{
    std::string problem;
    if (!deploymentFromName(arguments.mix.getValue()))
        problem = "--mix must be saengchan or prism";
    else if (arguments.databases.getValue().empty() && arguments.raw.getValue().empty())
        problem = "at least one --database is needed";
    else if (!(arguments.rate.getValue() > 0) || !(arguments.duration.getValue() > 0)
        || !(arguments.peak.getValue() >= 1))
        problem = "--rate and --duration must be above 0 and --peak at least 1";
    else if (arguments.sessions.getValue() == 0 || arguments.deadline.getValue() <= 0)
        problem = "--sessions and --deadline-ms must be above 0";
    else if (arguments.glanceAge.getValue() <= 0 || arguments.certificateAge.getValue() <= 0)
        problem = "ages must be above 0 ms";
    if (!problem.empty())
        std::cerr << problem << "\n";
    return problem.empty();
}

bool addTargets(LoadSettings& settings, LoadArguments& arguments)
{
    for (const auto& text : arguments.raw.getValue()) {
        const auto equals = text.find('=');
        const auto address = parseDaemonAddress(text.substr(equals == std::string::npos ? 0 : equals + 1));
        if (equals == std::string::npos || equals == 0 || !address) {
            std::cerr << "not of the form DATABASE=IP:PORT: " << text << "\n";
            return false;
        }
        settings.rawEndpoints[DatabaseId(text.substr(0, equals))] = *address;
    }
    if (!settings.rawEndpoints.empty()) {
        for (const auto& [database, address] : settings.rawEndpoints)
            settings.workload.databases.push_back(database);
        return true;
    }
    for (const auto& name : arguments.databases.getValue())
        settings.workload.databases.emplace_back(name);
    const auto daemons = parseDaemons(arguments.daemons.getValue());
    const auto key = arguments.keyFile.isSet() ? readKeyFile(arguments.keyFile.getValue()) : std::string();
    settings.daemons = daemons.value_or(std::vector<DaemonAddress> {});
    settings.callerKey = key.value_or("");
    return daemons && key;
}

LoadSettings toSettings(LoadArguments& arguments)
{
    LoadSettings settings;
    auto& workload = settings.workload;
    workload.deployment = deploymentFromName(arguments.mix.getValue()).value_or(DeploymentMix::Saengchan);
    workload.sessions = arguments.sessions.getValue();
    workload.rate = arguments.rate.getValue();
    workload.duration = Duration(std::llround(arguments.duration.getValue() * 1e6));
    workload.peakFactor = arguments.peak.getValue();
    workload.seed = arguments.seed.getValue();
    workload.prefix = arguments.prefix.isSet() ? arguments.prefix.getValue() : uniquePrefix();
    workload.glanceAge = std::chrono::milliseconds(arguments.glanceAge.getValue());
    workload.certificateAge = std::chrono::milliseconds(arguments.certificateAge.getValue());
    settings.deadline = std::chrono::milliseconds(arguments.deadline.getValue());
    settings.audit = !arguments.noAudit.getValue();
    if (workload.duration > progressThreshold)
        settings.onProgress = [](const std::string& text) { std::cerr << text << std::endl; };
    return settings;
}

} // namespace

int runLoad(std::vector<std::string>& arguments)
{
    LoadArguments parsed;
    if (const auto exit = parseArguments(parsed.line, arguments))
        return *exit;
    if (!isValid(parsed))
        return ExitUsage;
    auto settings = toSettings(parsed);
    if (!addTargets(settings, parsed))
        return ExitUsage;
    const auto result = runLoadTest(settings);
    std::cout << (parsed.json.getValue() ? toJson(result).dump(2) + "\n" : toTable(result));
    if (parsed.svg.isSet() && !writeTextFile(parsed.svg.getValue(), toSvg(plotOf(result))))
        return ExitUsage;
    if (result.violationCount() > 0 || result.unauditedKeys > 0)
        return ExitCheckFailed;
    if (result.total().completed > 0)
        return ExitSuccess;
    return result.codes.contains(ErrorCode::EndpointUnreachable) ? ExitUnreachable : ExitCheckFailed;
}

} // namespace endivetrestle
