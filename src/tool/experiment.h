#pragma once

#include "tool/deployment.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace endivetrestle {

// One measured value.
struct Figure {
    std::string name;
    double value = 0;
    // "ms", "%", "1/s" or empty for a count.
    std::string unit;

    bool operator==(const Figure&) const = default;
};
using Figures = std::vector<Figure>;

// What an experiment runs with.
struct ExperimentOptions {
    DeploymentOptions shape;
    // Rounds of faults, one fault per database each.
    int rounds = 4;
    // Length of the parts that run for a fixed time.
    Duration duration = std::chrono::seconds(5);
    // Table service, object store and live list are down while faults happen.
    bool storeDown = false;
    // The primary is cut off from everybody instead of killed.
    bool cutOff = false;
};

// One experiment. It starts the deployment, measures and stops it; an empty result means that the deployment did not
// start, which was logged.
struct Experiment {
    std::string name;
    std::string summary;
    std::function<Figures(const ExperimentOptions&)> run;
};

const std::vector<Experiment>& allExperiments();

// Time during which writes are refused while primaries are killed or cut off, from a steady stream of writes.
Figures runFailoverGap(const ExperimentOptions& options);
// Shares of reads that replicas serve at a lag of 50 ms, and wrong answers.
Figures runReplicaReads(const ExperimentOptions& options);
// Replacements of primaries that were only slow, delayed, or cut off from one daemon.
Figures runFalseFailovers(const ExperimentOptions& options);
// Time until a leaving endpoint, a replica and a primary, gets its last statement.
Figures runLeaving(const ExperimentOptions& options);
// Time until a configuration is in force on all daemons, and restart of a daemon while the store is down.
Figures runConfiguration(const ExperimentOptions& options);
// Latency through one daemon compared with the same statements sent directly.
Figures runAddedLatency(const ExperimentOptions& options);
// Rate of reads through one daemon and CPU time of its threads.
Figures runThroughput(const ExperimentOptions& options);
// Useful work at 3 times the load that the slots can carry, compared with the peak.
Figures runOverload(const ExperimentOptions& options);
// The deployment's mix under repeated replacements, checked by the history checker.
Figures runHistory(const ExperimentOptions& options);

// Value of a figure; NaN if there is none of that name.
double valueOf(const Figures& figures, std::string_view name);

// Shape of a deployment, "saengchan" or "prism", with the policies of a settings file; an empty name takes the
// defaults. The variant changes settings by path, "endpoints.suspectAfterMs=300,reads.maxReplicaWaitMs=80"; besides
// those it knows "readPolicy" (weighted, primary or random) and "applyLagMs". The result is checked like a settings
// file, and every problem is reported.
DeploymentOptions experimentShape(const std::string& deployment, const std::string& settingsFile,
    const std::string& variant, std::vector<std::string>& problems);

nlohmann::json toJson(const Figures& figures);

} // namespace endivetrestle
