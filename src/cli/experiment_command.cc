#include "cli/experiment_command.h"

#include "base/log.h"
#include "cli/command.h"
#include "cli/command_input.h"
#include "cli/exit_codes.h"
#include "tool/experiment.h"
#include "tool/targets.h"

#include <algorithm>
#include <cstdio>
#include <iostream>

namespace endivetrestle {

namespace {

struct ExperimentArguments {
    TCLAP::CmdLine line { "Runs one experiment, once for each variant, on a deployment in this process.", ' ',
        versionText };
    TCLAP::ValueArg<std::string> deployment { "m", "deployment", "saengchan or prism", false, "saengchan", "NAME",
        line };
    TCLAP::ValueArg<std::string> settings { "", "settings", "settings file whose policies are used", false, "", "FILE",
        line };
    TCLAP::MultiArg<std::string> variants { "V", "variant",
        "changed settings, for example endpoints.suspectAfterMs=300,reads.maxReplicaWaitMs=80; may be repeated", false,
        "SETTINGS", line };
    TCLAP::ValueArg<int> rounds { "r", "rounds", "rounds of faults, one fault per database each", false, 4, "N", line };
    TCLAP::ValueArg<int> repeat { "", "repeat", "runs of the whole list of variants", false, 1, "N", line };
    TCLAP::ValueArg<double> duration { "t", "duration", "seconds of the parts of fixed length", false, 5, "SECONDS",
        line };
    TCLAP::SwitchArg storeDown { "", "store-down", "table service, object store and live list are down", line };
    TCLAP::SwitchArg cutOff { "", "cut-off", "primaries are cut off from everybody instead of killed", line };
    TCLAP::SwitchArg json { "j", "json", "prints the figures as JSON", line };
    TCLAP::UnlabeledValueArg<std::string> name { "experiment", "name of the experiment, or list", true, "", "NAME",
        line };
};

struct TargetArguments {
    TCLAP::CmdLine line { "Measures the targets of docs/design.md in this process; takes a few minutes.", ' ',
        versionText };
    TCLAP::ValueArg<std::string> samples { "", "samples",
        "directory with saengchan.daemon.jsonc and prism.daemon.jsonc, whose policies are used", false, "samples",
        "DIRECTORY", line };
    TCLAP::ValueArg<int> rounds { "r", "rounds", "rounds of replacements, one per database each", false, 4, "N", line };
    TCLAP::ValueArg<double> duration { "t", "duration", "seconds of the parts of fixed length", false, 5, "SECONDS",
        line };
    TCLAP::SwitchArg json { "j", "json", "prints the rows as JSON", line };
};

std::string listOfExperiments()
{
    std::string text;
    for (const auto& experiment : allExperiments())
        text += "  " + experiment.name + std::string(20 - std::min<std::size_t>(experiment.name.size(), 19), ' ')
            + experiment.summary + "\n";
    return text;
}

void printFigures(const std::string& title, const Figures& figures)
{
    std::printf("%s\n", title.c_str());
    for (const auto& figure : figures)
        std::printf("  %-44s %12.2f %s\n", figure.name.c_str(), figure.value, figure.unit.c_str());
    std::fflush(stdout);
}

} // namespace

int runExperiment(std::vector<std::string>& arguments)
{
    ExperimentArguments parsed;
    if (const auto exit = parseArguments(parsed.line, arguments))
        return *exit;
    configureLogging("error");
    const auto& experiments = allExperiments();
    const auto found = std::find_if(experiments.begin(), experiments.end(),
        [&](const Experiment& experiment) { return experiment.name == parsed.name.getValue(); });
    if (found == experiments.end()) {
        (parsed.name.getValue() == "list" ? std::cout : std::cerr) << "experiments:\n" << listOfExperiments();
        return parsed.name.getValue() == "list" ? ExitSuccess : ExitUsage;
    }
    auto variants = parsed.variants.getValue();
    if (variants.empty())
        variants.emplace_back();
    nlohmann::json list = nlohmann::json::array();
    bool complete = true;
    for (int run = 0; run < parsed.repeat.getValue(); ++run) {
        for (const auto& variant : variants) {
            std::vector<std::string> problems;
            ExperimentOptions options;
            options.shape
                = experimentShape(parsed.deployment.getValue(), parsed.settings.getValue(), variant, problems);
            for (const auto& problem : problems)
                std::cerr << problem << "\n";
            if (!problems.empty())
                return ExitUsage;
            options.rounds = parsed.rounds.getValue();
            options.duration = Duration(static_cast<Duration::rep>(parsed.duration.getValue() * 1e6));
            options.storeDown = parsed.storeDown.getValue();
            options.cutOff = parsed.cutOff.getValue();
            const auto figures = found->run(options);
            complete = complete && !figures.empty();
            const auto title = found->name + " " + parsed.deployment.getValue() + (options.cutOff ? " cut off" : "")
                + (options.storeDown ? " store down" : "") + (variant.empty() ? "" : " " + variant);
            list.push_back({ { "title", title }, { "figures", toJson(figures) } });
            if (!parsed.json.getValue())
                printFigures(title, figures);
        }
    }
    if (parsed.json.getValue())
        std::cout << list.dump(2) << "\n";
    return complete ? ExitSuccess : ExitUnreachable;
}

int runTargets(std::vector<std::string>& arguments)
{
    TargetArguments parsed;
    if (const auto exit = parseArguments(parsed.line, arguments))
        return *exit;
    configureLogging("error");
    std::vector<std::string> problems;
    TargetOptions options;
    for (auto* deployment : { &options.saengchan, &options.prism }) {
        const std::string name = deployment == &options.prism ? "prism" : "saengchan";
        deployment->shape
            = experimentShape(name, parsed.samples.getValue() + "/" + name + ".daemon.jsonc", "", problems);
        deployment->rounds = parsed.rounds.getValue();
        deployment->duration = Duration(static_cast<Duration::rep>(parsed.duration.getValue() * 1e6));
    }
    for (const auto& problem : problems)
        std::cerr << problem << "\n";
    if (!problems.empty())
        return ExitUsage;
    options.onProgress = [](const std::string& text) { std::cerr << text << std::endl; };
    const auto rows = measureTargets(options);
    std::cout << (parsed.json.getValue() ? toJson(rows).dump(2) + "\n" : toTable(rows));
    const bool met = std::all_of(rows.begin(), rows.end(), [](const TargetRow& row) { return row.met; });
    return met ? ExitSuccess : ExitCheckFailed;
}

} // namespace endivetrestle
