#include "tool/experiment.h"

#include <cmath>
#include <fstream>
#include <limits>
#include <random>
#include <sstream>

namespace endivetrestle {

namespace {

std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> result;
    std::stringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);)
        result.push_back(part);
    return result;
}

// Settings with nothing but the required sections, so that everything else has its default. A deployment fills in
// identity and addresses itself.
nlohmann::json defaultDocument()
{
    const nlohmann::json address { { "address", "127.0.0.1" }, { "port", 0 } };
    return { { "daemon",
                 { { "id", "variant" }, { "host", "variant" }, { "dataCentre", "variant" }, { "region", "variant" } } },
        { "listen", { { "callers", address }, { "peers", address }, { "operators", address } } },
        { "platform",
            { { "tableService", "127.0.0.1:1" }, { "objectStore", "127.0.0.1:1" }, { "liveList", "127.0.0.1:1" } } },
        { "secrets", { { "fleetKeyFile", "none" }, { "tokenKeyFiles", { "none" } }, { "operatorKeyFile", "none" } } } };
}

nlohmann::json readDocument(const std::string& path, std::vector<std::string>& problems)
{
    if (path.empty())
        return defaultDocument();
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    auto document = nlohmann::json::parse(text.str(), nullptr, false, true);
    if (file && document.is_object())
        return document;
    problems.push_back(path + ": cannot be read");
    return defaultDocument();
}

// Sets the value at a path such as "endpoints.suspectAfterMs".
void setValue(nlohmann::json& document, const std::string& path, const std::string& text)
{
    auto value = nlohmann::json::parse(text, nullptr, false);
    if (value.is_discarded())
        value = text;
    auto* place = &document;
    for (const auto& part : split(path, '.'))
        place = &(*place)[part];
    *place = std::move(value);
}

bool applyReadPolicy(DeploymentOptions& shape, const std::string& name)
{
    ReadRouterSettings router;
    router.replicaWait = shape.settings.reads.maxReplicaWait;
    if (name == "primary")
        shape.daemonOptions.readPolicy = primaryOnlyReadPolicy();
    else if (name == "random")
        shape.daemonOptions.readPolicy = randomReplicaReadPolicy(router, [] {
            static thread_local std::mt19937_64 engine(1);
            return engine();
        });
    else if (name == "weighted")
        shape.daemonOptions.readPolicy = nullptr;
    else
        return false;
    return true;
}

} // namespace

const std::vector<Experiment>& allExperiments()
{
    static const std::vector<Experiment> experiments = {
        { "failover-gap", "time without acknowledged writes while primaries are replaced", runFailoverGap },
        { "history", "the mix under repeated replacements, checked answer by answer", runHistory },
        { "replica-reads", "share of reads that replicas serve at a lag of 50 ms", runReplicaReads },
        { "false-failovers", "replacements of primaries that were only slow or partly cut off", runFalseFailovers },
        { "leaving", "time until a leaving endpoint gets its last statement", runLeaving },
        { "configuration", "time until a configuration is in force, restart without the store", runConfiguration },
        { "added-latency", "latency through one daemon compared with direct access", runAddedLatency },
        { "throughput", "reads through one daemon and CPU time of its threads", runThroughput },
        { "overload", "useful work at 3 times the load that the slots can carry", runOverload },
    };
    return experiments;
}

double valueOf(const Figures& figures, std::string_view name)
{
    for (const auto& figure : figures) {
        if (figure.name == name)
            return figure.value;
    }
    return std::numeric_limits<double>::quiet_NaN();
}

DeploymentOptions experimentShape(const std::string& deployment, const std::string& settingsFile,
    const std::string& variant, std::vector<std::string>& problems)
{
    if (deployment != "saengchan" && deployment != "prism")
        problems.push_back("the deployment must be saengchan or prism");
    auto shape = deployment == "prism" ? prismShape() : saengchanShape();
    auto document = readDocument(settingsFile, problems);
    std::string readPolicy = "weighted";
    for (const auto& assignment : split(variant, ',')) {
        const auto equals = assignment.find('=');
        const auto key = assignment.substr(0, equals);
        const auto value = equals == std::string::npos ? std::string() : assignment.substr(equals + 1);
        if (key == "readPolicy")
            readPolicy = value;
        else if (key == "applyLagMs")
            shape.applyLag = Duration(std::llround(std::atof(value.c_str()) * 1000));
        else
            setValue(document, key, value);
    }
    const auto parsed = parseSettings(document.dump(), settingsFile.empty() ? "variant" : settingsFile);
    for (const auto& problem : parsed.problems)
        problems.push_back(toString(problem));
    shape.settings = parsed.settings;
    if (!applyReadPolicy(shape, readPolicy))
        problems.emplace_back("readPolicy must be weighted, primary or random");
    return shape;
}

nlohmann::json toJson(const Figures& figures)
{
    nlohmann::json result = nlohmann::json::object();
    for (const auto& figure : figures)
        result[figure.name] = std::isfinite(figure.value) ? nlohmann::json(figure.value) : nlohmann::json();
    return result;
}

} // namespace endivetrestle
