#include "edge/daemon.h"

namespace endivetrestle {

namespace {

nlohmann::json toJson(const EndpointSummary& endpoint)
{
    nlohmann::json result { { "endpoint", endpoint.endpoint.value }, { "primary", endpoint.primary },
        { "leaving", endpoint.leaving }, { "suspected", endpoint.health.suspected },
        { "ejected", endpoint.health.ejected }, { "silenceMs", toMilliseconds(endpoint.health.silence) },
        { "latencyMs", toMilliseconds(endpoint.health.latency) }, { "lagMs", toMilliseconds(endpoint.lag) },
        { "applied", toString(endpoint.applied) },
        { "connections",
            { { "opening", endpoint.connections.opening }, { "idle", endpoint.connections.idle },
                { "busy", endpoint.connections.busy }, { "pinned", endpoint.connections.pinned },
                { "resetting", endpoint.connections.resetting } } } };
    return result;
}

nlohmann::json toJson(const DatabaseId& database, const ControllerReport& report)
{
    nlohmann::json endpoints = nlohmann::json::array();
    for (const auto& endpoint : report.endpoints)
        endpoints.push_back(toJson(endpoint));
    return { { "database", database.value }, { "rank", report.rank },
        { "failover", failoverStateName(report.failover) },
        { "primary", report.primary ? report.primary->endpoint.value : "" },
        { "term", report.primary ? report.primary->term : 0 }, { "queued", report.queued },
        { "pending", report.pending }, { "transactions", report.transactions }, { "endpoints", endpoints } };
}

} // namespace

nlohmann::json Daemon::statusJson()
{
    const auto fleetReport = this->fleet->report();
    nlohmann::json daemons = nlohmann::json::array();
    for (const auto& daemon : fleetReport.daemons)
        daemons.push_back({ { "daemon", daemon.id.value }, { "address", toString(daemon.peersAddress) },
            { "dataCentre", daemon.dataCentre.value }, { "region", daemon.region.value },
            { "state", daemonStateName(daemon.state) } });
    nlohmann::json inForce = nlohmann::json::object();
    for (const auto& [version, count] : fleetReport.inForce.counts)
        inForce[std::to_string(version)] = count;
    nlohmann::json behind = nlohmann::json::array();
    for (const auto& daemon : fleetReport.inForce.behind)
        behind.push_back(daemon.value);
    nlohmann::json databases = nlohmann::json::array();
    std::vector<std::pair<DatabaseId, std::shared_ptr<DatabaseRuntime>>> known;
    {
        std::lock_guard lock(this->runtimesMutex);
        known.assign(this->runtimes.begin(), this->runtimes.end());
    }
    for (const auto& [database, runtime] : known)
        databases.push_back(toJson(database, runtime->report()));
    return { { "daemon", this->settings.daemon.id.value }, { "dataCentre", this->settings.daemon.dataCentre.value },
        { "ready", this->ready() }, { "inFlight", this->callers->inFlight() },
        { "configuration",
            { { "version", fleetReport.version }, { "hash", fleetReport.hash },
                { "newestKnown", fleetReport.newestKnown }, { "storeAnswered", fleetReport.storeAnswered },
                { "inForce", inForce }, { "behind", behind } } },
        { "daemons", daemons }, { "databases", databases } };
}

} // namespace endivetrestle
